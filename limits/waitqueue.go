package limits

import (
	"container/heap"
	"math"
	"slices"
)

// arrivalsSlack sets when arrivals is compacted: once it holds more dispatched requests than arrivalsSlack plus the
// number of queued ones.
const arrivalsSlack = 64

// waitQueue holds the queued requests in two orders: by priority and by arrival.
type waitQueue struct {
	byPriority    waiterHeap
	arrivals      []*QueuedRequest // in order of arrival; may include requests already dispatched
	nonEmptySince float64          // time in seconds; +Inf: the queue is empty
}

func newWaitQueue() waitQueue { return waitQueue{nonEmptySince: math.Inf(1)} }

func (q *waitQueue) empty() bool { return len(q.byPriority) == 0 }

func (q *waitQueue) add(now float64, waiter *QueuedRequest) {
	if q.empty() {
		q.nonEmptySince = now
		q.arrivals = q.arrivals[:0]
	}
	heap.Push(&q.byPriority, waiter)
	q.arrivals = append(q.arrivals, waiter)
}

// first returns the queued request of the highest priority. The queue must not be empty.
func (q *waitQueue) first() *QueuedRequest { return q.byPriority[0] }

// oldest returns the queued request that arrived first. The queue must not be empty.
func (q *waitQueue) oldest() *QueuedRequest {
	dispatched := func(waiter *QueuedRequest) bool { return waiter.heapIndex < 0 }
	passed := 0
	for dispatched(q.arrivals[passed]) {
		passed++
	}
	q.arrivals = q.arrivals[passed:]
	if len(q.arrivals) > arrivalsSlack+2*len(q.byPriority) {
		q.arrivals = slices.DeleteFunc(q.arrivals, dispatched)
	}
	return q.arrivals[0]
}

func (q *waitQueue) remove(waiter *QueuedRequest) { heap.Remove(&q.byPriority, waiter.heapIndex) }

// waiterHeap implements heap.Interface. The request to dispatch first is at the root: the one of the highest priority,
// and among equals the one with the smallest finish tag.
type waiterHeap []*QueuedRequest

func (h waiterHeap) Len() int { return len(h) }

func (h waiterHeap) Less(i, j int) bool {
	if h[i].priority != h[j].priority {
		return h[i].priority > h[j].priority
	}
	return h[i].finishTag < h[j].finishTag
}

func (h waiterHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

func (h *waiterHeap) Push(x any) {
	waiter := x.(*QueuedRequest)
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
