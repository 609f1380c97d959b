package emulator

import "slices"

// workWindow sums the work that arrived within a duration.
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
	if w.head > compactLength {
		w.arrivals, w.head = slices.Delete(w.arrivals, 0, w.head), 0
	}
	return w.sum
}

// keyCache holds the last keys that were new, up to a capacity.
type keyCache struct {
	capacity int
	known    map[uint64]bool
	order    []uint64
	head     int
}

// touch reports whether a key is cached, and caches it.
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
