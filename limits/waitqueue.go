package limits

import (
	"container/heap"
	"math"
	"slices"
)

// arrivalsSlack is how many waiters that had their turn may still stand among the arrivals, beside as many as wait.
const arrivalsSlack = 64

// waitQueue is the waiters in the order of their turns and in that of their arrival.
type waitQueue struct {
	byTurn        waiterHeap
	arrivals      []*Waiter // with some that had their turn
	nonEmptySince float64   // seconds; +Inf: it is empty
}

func newWaitQueue() waitQueue { return waitQueue{nonEmptySince: math.Inf(1)} }

func (q *waitQueue) empty() bool { return len(q.byTurn) == 0 }

func (q *waitQueue) add(now float64, waiter *Waiter) {
	if q.empty() {
		q.nonEmptySince = now
		q.arrivals = q.arrivals[:0]
	}
	heap.Push(&q.byTurn, waiter)
	q.arrivals = append(q.arrivals, waiter)
}

// first returns the waiter that goes first; there is one.
func (q *waitQueue) first() *Waiter { return q.byTurn[0] }

// oldest returns the waiter that arrived first; there is one.
func (q *waitQueue) oldest() *Waiter {
	hadTurn := func(waiter *Waiter) bool { return waiter.heapIndex < 0 }
	passed := 0
	for hadTurn(q.arrivals[passed]) {
		passed++
	}
	q.arrivals = q.arrivals[passed:]
	if len(q.arrivals) > arrivalsSlack+2*len(q.byTurn) {
		q.arrivals = slices.DeleteFunc(q.arrivals, hadTurn)
	}
	return q.arrivals[0]
}

func (q *waitQueue) remove(waiter *Waiter) { heap.Remove(&q.byTurn, waiter.heapIndex) }

// waiterHeap is a heap.Interface with the waiter that goes first at its top.
type waiterHeap []*Waiter

func (h waiterHeap) Len() int { return len(h) }

func (h waiterHeap) Less(i, j int) bool {
	if h[i].grade != h[j].grade {
		return h[i].grade > h[j].grade
	}
	return h[i].finishTag < h[j].finishTag
}

func (h waiterHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

func (h *waiterHeap) Push(x any) {
	waiter := x.(*Waiter)
	waiter.heapIndex = len(*h)
	*h = append(*h, waiter)
}

func (h *waiterHeap) Pop() any {
	old := *h
	last := len(old) - 1
	waiter := old[last]
	waiter.heapIndex = -1
	old[last] = nil
	*h = old[:last]
	return waiter
}
