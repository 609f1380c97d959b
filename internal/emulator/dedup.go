package emulator

import "slices"

const dedupRetention = 60.0 // seconds for which a key is kept after its window, to recognize late duplicates

// DedupGroup holds the idempotency keys that a group of servers has seen, and detects duplicates of keyed jobs by them.
type DedupGroup struct {
	LateDuplicates int                // duplicates that arrived after their window and ran again
	windowStart    map[uint64]float64 // by key: when the job that opened its latest window started, in seconds
	order          []expiringKey      // in the order of their windows' starts; those before head have expired
	head           int
}

type expiringKey struct {
	key       uint64
	expiresAt float64
}

// isDuplicate reports whether the job that opened the key's latest window started at most a window ago. If not, the job
// that starts now opens a new window. Times are in seconds.
func (g *DedupGroup) isDuplicate(now float64, key uint64, window float64) bool {
	for g.head < len(g.order) && g.order[g.head].expiresAt < now {
		if oldest := g.order[g.head]; g.windowStart[oldest.key] <= now-window { // the key has no newer window
			delete(g.windowStart, oldest.key)
		}
		g.head++
	}
	if g.head > compactLength && g.head > len(g.order)/2 {
		g.order, g.head = slices.Delete(g.order, 0, g.head), 0
	}
	if start, seen := g.windowStart[key]; seen {
		if now <= start+window {
			return true
		}
		g.LateDuplicates++
	}
	if g.windowStart == nil {
		g.windowStart = map[uint64]float64{}
	}
	g.windowStart[key] = now
	g.order = append(g.order, expiringKey{key, now + window + dedupRetention})
	return false
}
