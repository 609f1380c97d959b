package proxy

import (
	"container/heap"
	"slices"
)

// timer is a function and the times at which to call it. It belongs to the owner.
type timer struct {
	call   func()
	times  []float64  // when to call, in seconds since 1970, earliest first; if empty, the timer is not in the heap
	index  int        // position in the heap
	inline [4]float64 // initial backing array of times
}

// timerHeap orders timers by their next time. A timer is in the heap only once, even if it is scheduled for several
// times. With one entry for each time, every request would stay in memory until its deadline.
type timerHeap []*timer

// add schedules an additional call of a timer at the given time, in seconds since 1970.
func (h *timerHeap) add(t *timer, at float64) {
	if t.times == nil {
		t.times = t.inline[:0]
	}
	i, found := slices.BinarySearch(t.times, at)
	if found {
		return
	}
	t.times = slices.Insert(t.times, i, at)
	switch {
	case len(t.times) == 1:
		heap.Push(h, t)
	case i == 0:
		heap.Fix(h, t.index)
	}
}

// cancel removes all times of a timer.
func (h *timerHeap) cancel(t *timer) {
	if len(t.times) > 0 {
		heap.Remove(h, t.index)
		t.times = t.times[:0]
	}
}

// next returns the time at which the first timer fires, in seconds since 1970. The heap must not be empty.
func (h timerHeap) next() float64 { return h[0].times[0] }

// fire removes all times up to now from the first timer and returns its function, which the caller calls once.
func (h *timerHeap) fire(now float64) func() {
	t := (*h)[0]
	n := 1
	for n < len(t.times) && t.times[n] <= now {
		n++
	}
	if t.times = slices.Delete(t.times, 0, n); len(t.times) > 0 {
		heap.Fix(h, 0)
	} else {
		heap.Pop(h)
	}
	return t.call
}

// Len, Less, Swap, Push and Pop implement heap.Interface.
func (h timerHeap) Len() int           { return len(h) }
func (h timerHeap) Less(i, j int) bool { return h[i].times[0] < h[j].times[0] }
func (h timerHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

func (h *timerHeap) Push(x any) {
	t := x.(*timer)
	t.index = len(*h)
	*h = append(*h, t)
}

func (h *timerHeap) Pop() any {
	old := *h
	last := len(old) - 1
	t := old[last]
	old[last] = nil
	*h = old[:last]
	return t
}
