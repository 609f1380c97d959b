package emulator

import "slices"

const dedupRetention = 60.0 // s past its window that a key is kept, to tell a late duplicate from a new job

// DedupGroup holds the keys that a group of servers has seen, by which it drops duplicates of keyed jobs.
type DedupGroup struct {
	LateDuplicates int // came after their window, and ran again
	firstSeen      map[uint64]float64
	order          []expiringKey
	head           int
}

type expiringKey struct {
	key   uint64
	until float64
}

// isDuplicate reports whether a key's first job started less than a window ago; if not, this one becomes its first.
func (g *DedupGroup) isDuplicate(now float64, key uint64, window float64) bool {
	for g.head < len(g.order) && g.order[g.head].until < now {
		if oldest := g.order[g.head]; g.firstSeen[oldest.key] <= now-window { // no later window has begun
			delete(g.firstSeen, oldest.key)
		}
		g.head++
	}
	if g.head > compactLength && g.head > len(g.order)/2 {
		g.order, g.head = slices.Delete(g.order, 0, g.head), 0
	}
	if first, seen := g.firstSeen[key]; seen {
		if now <= first+window {
			return true
		}
		g.LateDuplicates++
	}
	if g.firstSeen == nil {
		g.firstSeen = map[uint64]float64{}
	}
	g.firstSeen[key] = now
	g.order = append(g.order, expiringKey{key, now + window + dedupRetention})
	return false
}
