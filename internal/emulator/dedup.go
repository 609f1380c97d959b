package emulator

import "slices"

const dedupRetention = 60.0 // s past its window that a mark is remembered, so that a late repeat is told from a new one

// DedupGroup is the memory of a group of servers for keyed jobs, by which duplicates are dropped.
type DedupGroup struct {
	LateDuplicates int // repeats that came after their window, and ran again
	firstSeen      map[uint64]float64
	order          []expiringKey
	head           int
}

type expiringKey struct {
	key   uint64
	until float64
}

// isDuplicate reports whether a key's first job started less than a window ago; if not, this one becomes its first.
func (m *DedupGroup) isDuplicate(now float64, key uint64, window float64) bool {
	for m.head < len(m.order) && m.order[m.head].until < now {
		if x := m.order[m.head]; m.firstSeen[x.key] <= now-window { // not begun anew since
			delete(m.firstSeen, x.key)
		}
		m.head++
	}
	if m.head > compactLength && m.head > len(m.order)/2 {
		m.order, m.head = slices.Delete(m.order, 0, m.head), 0
	}
	if first, met := m.firstSeen[key]; met {
		if now <= first+window {
			return true
		}
		m.LateDuplicates++
	}
	if m.firstSeen == nil {
		m.firstSeen = map[uint64]float64{}
	}
	m.firstSeen[key] = now
	m.order = append(m.order, expiringKey{key, now + window + dedupRetention})
	return false
}
