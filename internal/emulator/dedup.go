package emulator

import "slices"

const dedupRetention = 60.0 // s past its window that a mark is remembered, so that a late repeat is told from a new one

// DedupGroups is what a group of servers remembers of referenced requests, to drop repeats.
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

// isDuplicate tells whether a mark's first request came less than its window ago, and takes it for the first if not.
func (m *DedupGroup) isDuplicate(now float64, mark uint64, window float64) bool {
	for m.head < len(m.order) && m.order[m.head].until < now {
		if x := m.order[m.head]; m.firstSeen[x.key] <= now-window { // not begun anew since
			delete(m.firstSeen, x.key)
		}
		m.head++
	}
	if m.head > 1024 && m.head > len(m.order)/2 {
		m.order, m.head = slices.Delete(m.order, 0, m.head), 0
	}
	if first, met := m.firstSeen[mark]; met {
		if now <= first+window {
			return true
		}
		m.LateDuplicates++
	}
	if m.firstSeen == nil {
		m.firstSeen = map[uint64]float64{}
	}
	m.firstSeen[mark] = now
	m.order = append(m.order, expiringKey{mark, now + window + dedupRetention})
	return false
}

// queue holds waiting jobs, first in first out.
type queue struct {
	jobs []Job
	head int
}

func (q *queue) len() int   { return len(q.jobs) - q.head }
func (q *queue) push(j Job) { q.jobs = append(q.jobs, j) }

func (q *queue) pop() Job {
	j := q.jobs[q.head]
	if q.head++; q.head == len(q.jobs) || q.head > 1024 {
		q.jobs = append(q.jobs[:0], q.jobs[q.head:]...)
		q.head = 0
	}
	return j
}

func (q *queue) remove(match func(Job) bool) bool {
	i := slices.IndexFunc(q.jobs[q.head:], match)
	if i >= 0 {
		q.jobs = slices.Delete(q.jobs, q.head+i, q.head+i+1)
	}
	return i >= 0
}

func remove(jobs *[]Job, match func(Job) bool) bool {
	i := slices.IndexFunc(*jobs, match)
	if i >= 0 {
		*jobs = slices.Delete(*jobs, i, i+1)
	}
	return i >= 0
}

// workWindow sums what came within a time.
type workWindow struct {
	arrivals []arrival
	head     int
	sum      float64
}

type arrival struct{ at, work float64 }

func (w *workWindow) add(now, work, within float64) float64 {
	w.arrivals, w.sum = append(w.arrivals, arrival{now, work}), w.sum+work
	for w.arrivals[w.head].at <= now-within {
		w.sum -= w.arrivals[w.head].work
		w.head++
	}
	if w.head > 1024 {
		w.arrivals, w.head = slices.Delete(w.arrivals, 0, w.head), 0
	}
	return w.sum
}

// keyCache remembers the last keys that were new, so many at most.
type keyCache struct {
	capacity int
	known    map[uint64]bool
	order    []uint64
	head     int
}

// touch tells whether a key is remembered, and remembers it from now on.
func (r *keyCache) touch(key uint64) bool {
	if r.capacity == 0 || r.known[key] {
		return r.capacity > 0
	}
	if r.known == nil {
		r.known = map[uint64]bool{}
	}
	if r.known[key] = true; len(r.order) < r.capacity {
		r.order = append(r.order, key)
		return false
	}
	delete(r.known, r.order[r.head])
	r.order[r.head] = key
	r.head = (r.head + 1) % r.capacity
	return false
}
