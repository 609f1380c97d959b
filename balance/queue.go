package balance

import "slices"

const (
	answerMargin          = 0.01 // s before the deadline that a request is answered; over two timer ticks of any proxy
	clientRetryPriority   = 0.2  // of the priority, for a client's retry: most of its latency objective is gone
	maxWaitShare          = 0.4  // of the time to the deadline, to wait for a first attempt
	maxFruitlessDraws     = 8    // for waiting requests, in one dispatch
	dispatchInterval      = 0.02 // s between dispatches when nothing else happens
	sendIntervalSmoothing = 0.05 // part of the interval between sends that one replaces
)

// requestQueue holds the requests that wait with nothing in flight, by priority, then by age.
type requestQueue struct {
	waiting      []*Request
	sendInterval float64 // s between sends while requests wait, smoothed
	lastSend     float64
	dispatchAt   float64 // the timer that was asked for last
}

// insert adds a request. At a quiet proxy the time since the last send is not what requests wait.
func (q *requestQueue) insert(r *Request, now float64) {
	i := len(q.waiting)
	if i == 0 {
		q.lastSend = now
	}
	for i > 0 && q.waiting[i-1].priority < r.priority {
		i--
	}
	q.waiting, r.waiting = slices.Insert(q.waiting, i, r), true
}

// remove takes a request out.
func (q *requestQueue) remove(r *Request) {
	i := slices.Index(q.waiting, r)
	q.waiting = slices.Delete(q.waiting, i, i+1)
	r.waiting = false
}

// sent counts a send. Only while requests wait does each send go to one of them.
func (q *requestQueue) sent(now float64) {
	if len(q.waiting) > 0 {
		q.sendInterval += sendIntervalSmoothing * (now - q.lastSend - q.sendInterval)
	}
	q.lastSend = now
}

// nextDispatch returns when to look at the waiting requests again; 0: a timer is set already. A timer for every call
// would multiply without end.
func (q *requestQueue) nextDispatch(now float64) float64 {
	if len(q.waiting) == 0 || q.dispatchAt > now {
		return 0
	}
	q.dispatchAt = now + dispatchInterval
	return q.dispatchAt
}

// priority is the value of answering this request in time, for its work.
func (b *Balancer) priority(r *Request) float64 {
	priority := r.class.PriorityWeight
	if !b.deployment.WeightByWork {
		priority /= r.class.medianLatency()
	}
	if r.ClientRetry {
		priority *= clientRetryPriority
	}
	return priority
}

// enqueue has a request wait for dispatch, which sends it at once where there is capacity.
func (b *Balancer) enqueue(r *Request) { b.queue.insert(r, b.now) }

// dispatch sends waiting requests where there is capacity, answers those that can no longer be in time, and returns the
// actions of the call.
func (b *Balancer) dispatch() *Actions {
	full, fruitless := false, 0
	for i := 0; i < len(b.queue.waiting); {
		r := b.queue.waiting[i]
		var s *server
		possible := true
		if !full || len(r.attempts) > 0 { // one with attempts may have nowhere left to go, and is answered at once then
			if s, possible = b.selectServer(r); s == nil && possible {
				fruitless++
				full = full || fruitless >= maxFruitlessDraws || b.othersFruitless(r)
			}
		}
		switch {
		case s != nil:
			b.queue.remove(r)
			b.send(r, s)
		case possible && b.canAnswerInTime(r, i):
			i++
		default:
			b.answerUnserved(r)
		}
	}
	b.wakeAt(b.queue.nextDispatch(b.now))
	b.closeIdleConnections()
	return &b.actions
}

// othersFruitless reports whether those that wait behind a request would find no server either, after it found none:
// drawing for all of them at each event would take the core.
func (b *Balancer) othersFruitless(r *Request) bool {
	return float64(b.concurrency.inFlight) >= b.availableCapacity(r.priority) ||
		len(r.attempts) == 0 && !b.cacheAffine(r)
}

// canAnswerInTime reports whether a request with so many before it can still be answered in time. A client that is
// rejected with nothing sent has waited in vain.
func (b *Balancer) canAnswerInTime(r *Request, before int) bool {
	sendAt := b.now + float64(before+1)*b.queue.sendInterval
	inTime := sendAt+r.expectedLatency() <= min(r.arrivedAt+r.class.LatencyObjective, r.Deadline-answerMargin)
	return inTime && (len(r.attempts) > 0 || sendAt <= r.arrivedAt+maxWaitShare*(r.Deadline-r.arrivedAt))
}

// Capacity returns the attempts in flight, how many a request of this priority may have in flight, both as of the last
// draw, and how many requests wait.
func (r *Request) Capacity() (inFlight int, available float64, waiting int) {
	b := r.balancer
	return b.concurrency.inFlight, b.availableCapacity(r.priority), len(b.queue.waiting)
}
