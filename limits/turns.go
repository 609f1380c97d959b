package limits

import "container/heap"

const (
	// turnWork is how much work a connection may do in one turn.
	turnWork = 400e-6 // seconds
	// allowanceRate is the share of this core that a connection may use without waiting for a turn.
	allowanceRate = 0.01
	// maxAllowance is the work that a connection may do without a turn after it was idle for long.
	maxAllowance = 1e-3 // seconds
	// newAllowance is the work that a new connection may do without a turn: enough for a usual request.
	newAllowance = 200e-6 // seconds
)

// TurnQueue shares this core among client connections that have more work for it than their allowance, by start-time
// fair queueing: the connection that was served least goes first. Work is in seconds of processor time, as estimated by
// the caller.
type TurnQueue struct {
	now      float64 // virtual time: the start tag of the connection that had its turn last
	arrivals uint64
	waiting  turnHeap
}

// CoreShare is the use of this core by one connection.
type CoreShare struct {
	used      float64 // work done without a turn that the allowance has not made up for
	usedAt    float64 // time in seconds of the last change of used
	granted   float64 // work left of the current turn
	finishTag float64 // virtual time up to which the connection was served
}

// NewCoreShare returns the share of a new connection. Work that was done for it before counts as done.
func NewCoreShare(now float64) CoreShare {
	return CoreShare{used: maxAllowance - newAllowance, usedAt: now}
}

// Charge records work that was done for the connection: it uses up the current turn first, then the allowance. During a
// turn now has no effect.
func (s *CoreShare) Charge(now, work float64) {
	if s.granted > 0 {
		s.granted -= work
		return
	}
	s.refill(now)
	s.used += work
}

// refill makes up for work done in the past at allowanceRate.
func (s *CoreShare) refill(now float64) {
	s.used = max(s.used-allowanceRate*(now-s.usedAt), 0)
	s.usedAt = now
}

// HasTurn reports whether work is left of the connection's current turn.
func (s *CoreShare) HasTurn() bool { return s.granted > 0 }

// MayRun reports whether the connection has a turn or an allowance left.
func (s *CoreShare) MayRun(now float64) bool {
	if s.HasTurn() {
		return true
	}
	s.refill(now)
	return s.used < maxAllowance
}

// EndTurn ends the connection's turn. What is left of it counts as not used, and what exceeded it as used.
func (s *CoreShare) EndTurn() {
	s.finishTag -= s.granted
	s.granted = 0
}

// TurnWaiter is a connection that waits for a turn.
type TurnWaiter struct {
	Owner    any // the caller's value for the connection
	share    *CoreShare
	startTag float64
	arrival  uint64
	index    int // in the heap; -1: it does not wait any more
}

// Add makes a connection wait for a turn.
func (q *TurnQueue) Add(share *CoreShare, owner any) *TurnWaiter {
	share.EndTurn()
	q.arrivals++
	waiter := &TurnWaiter{Owner: owner, share: share, startTag: max(share.finishTag, q.now), arrival: q.arrivals}
	heap.Push(&q.waiting, waiter)
	return waiter
}

// Remove ends the wait of a connection, if it has not had its turn.
func (q *TurnQueue) Remove(waiter *TurnWaiter) {
	if waiter.index >= 0 {
		heap.Remove(&q.waiting, waiter.index)
	}
}

// Len returns how many connections wait.
func (q *TurnQueue) Len() int { return len(q.waiting) }

// Next gives the next connection its turn and returns it, or nil if none waits.
func (q *TurnQueue) Next() *TurnWaiter {
	if len(q.waiting) == 0 {
		return nil
	}
	waiter := heap.Pop(&q.waiting).(*TurnWaiter)
	q.now = waiter.startTag
	waiter.share.granted = turnWork
	waiter.share.finishTag = waiter.startTag + turnWork
	return waiter
}

// turnHeap implements heap.Interface. The connection with the smallest start tag is at the root, of equals the one that
// has waited longest.
type turnHeap []*TurnWaiter

func (h turnHeap) Len() int { return len(h) }

func (h turnHeap) Less(i, j int) bool {
	if h[i].startTag != h[j].startTag {
		return h[i].startTag < h[j].startTag
	}
	return h[i].arrival < h[j].arrival
}

func (h turnHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

func (h *turnHeap) Push(x any) {
	waiter := x.(*TurnWaiter)
	waiter.index = len(*h)
	*h = append(*h, waiter)
}

func (h *turnHeap) Pop() any {
	old := *h
	last := len(old) - 1
	waiter := old[last]
	waiter.index = -1
	old[last] = nil
	*h = old[:last]
	return waiter
}
