package emulator

import "slices"

// workWindow sums the work that arrived within a duration.
type workWindow struct {
	arrivals []arrival
	head     int
	sum      float64
}

type arrival struct{ at, work float64 }

// add counts work that arrives now and returns the sum of what arrived within the last seconds.
func (w *workWindow) add(now, work, within float64) float64 {
	w.arrivals = append(w.arrivals, arrival{now, work})
	w.sum += work
	for w.arrivals[w.head].at <= now-within {
		w.sum -= w.arrivals[w.head].work
		w.head++
	}
	if w.head > compactLength {
		w.arrivals = slices.Delete(w.arrivals, 0, w.head)
		w.head = 0
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
func (c *keyCache) touch(key uint64) bool {
	if c.capacity == 0 || c.known[key] {
		return c.capacity > 0
	}
	if c.known == nil {
		c.known = map[uint64]bool{}
	}
	c.known[key] = true
	if len(c.order) < c.capacity {
		c.order = append(c.order, key)
		return false
	}
	delete(c.known, c.order[c.head])
	c.order[c.head] = key
	c.head = (c.head + 1) % c.capacity
	return false
}
