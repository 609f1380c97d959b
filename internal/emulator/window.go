package emulator

import "slices"

// workWindow sums the work that arrives within a sliding time window.
type workWindow struct {
	arrivals []arrival
	head     int
	sum      float64
}

type arrival struct{ at, work float64 }

// add records work that arrives now and returns the work that arrived within the last window seconds.
func (w *workWindow) add(now, work, window float64) float64 {
	w.arrivals = append(w.arrivals, arrival{now, work})
	w.sum += work
	for w.arrivals[w.head].at <= now-window {
		w.sum -= w.arrivals[w.head].work
		w.head++
	}
	if w.head > compactLength {
		w.arrivals = slices.Delete(w.arrivals, 0, w.head)
		w.head = 0
	}
	return w.sum
}

// keyCache is a cache of keys that, when full, evicts the key that was added first.
type keyCache struct {
	capacity int
	cached   map[uint64]bool
	order    []uint64 // ring buffer of the cached keys; once it is full, the oldest is at head
	head     int
}

// lookupOrAdd reports whether a key is cached, and adds it if not.
func (c *keyCache) lookupOrAdd(key uint64) bool {
	if c.capacity == 0 || c.cached[key] {
		return c.capacity > 0
	}
	if c.cached == nil {
		c.cached = map[uint64]bool{}
	}
	c.cached[key] = true
	if len(c.order) < c.capacity {
		c.order = append(c.order, key)
		return false
	}
	delete(c.cached, c.order[c.head])
	c.order[c.head] = key
	c.head = (c.head + 1) % c.capacity
	return false
}
