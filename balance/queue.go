package balance

import "slices"

const (
	answerMargin          = 0.01 // s before the deadline at which a request is answered; over two timer ticks of any proxy
	clientRetryPriority   = 0.2  // factor on the priority of a client's retry: most of its latency objective has passed
	maxQueueShare         = 0.4  // of the time to the deadline, for which a request is queued before its first attempt
	maxFailedDraws        = 8    // draws without a server in one dispatch
	dispatchInterval      = 0.02 // s between dispatches in the absence of other calls
	sendIntervalSmoothing = 0.05 // weight of one interval in the smoothed interval between sends
)

// requestQueue holds the requests that have no attempt in flight, by descending priority, then by arrival.
type requestQueue struct {
	requests     []*Request
	sendInterval float64 // s between sends while requests are queued, smoothed
	lastSend     float64 // time of the last send
	dispatchAt   float64 // time for which the timer was last set
}

// insert adds a request. If the queue was empty, the time since the last send must not count in sendInterval: there was
// no request to send.
func (q *requestQueue) insert(r *Request, now float64) {
	i := len(q.requests)
	if i == 0 {
		q.lastSend = now
	}
	for i > 0 && q.requests[i-1].priority < r.priority {
		i--
	}
	q.requests, r.queued = slices.Insert(q.requests, i, r), true
}

// remove removes a request.
func (q *requestQueue) remove(r *Request) {
	i := slices.Index(q.requests, r)
	q.requests = slices.Delete(q.requests, i, i+1)
	r.queued = false
}

// sent counts a send. The interval is updated only while requests are queued, when every send takes one of them.
func (q *requestQueue) sent(now float64) {
	if len(q.requests) > 0 {
		q.sendInterval += sendIntervalSmoothing * (now - q.lastSend - q.sendInterval)
	}
	q.lastSend = now
}

// nextDispatch returns the time at which to dispatch the queued requests again, or 0 if none are queued or the timer is
// already set. If every call set a timer, each of which makes a call, the timers would multiply without bound.
func (q *requestQueue) nextDispatch(now float64) float64 {
	if len(q.requests) == 0 || q.dispatchAt > now {
		return 0
	}
	q.dispatchAt = now + dispatchInterval
	return q.dispatchAt
}

// priority is the weight of answering this request in time per second of its work.
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

// enqueue queues a request for dispatch, which sends it at once if there is capacity.
func (b *Balancer) enqueue(r *Request) { b.queue.insert(r, b.now) }

// dispatch sends queued requests while there is capacity, answers those that can no longer be answered in time, and
// returns the actions of the call.
func (b *Balancer) dispatch() *Actions {
	full, failedDraws := false, 0
	for i := 0; i < len(b.queue.requests); {
		r := b.queue.requests[i]
		var s *server
		possible := true
		if !full || len(r.attempts) > 0 { // a retry for which no server is left has to be answered at once
			if s, possible = b.selectServer(r); s == nil && possible {
				failedDraws++
				full = full || failedDraws >= maxFailedDraws || b.noServerForRest(r)
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

// noServerForRest reports, after no server was found for a request, whether none would be found for those queued behind
// it either. Drawing for all of them at each event would take the whole core.
func (b *Balancer) noServerForRest(r *Request) bool {
	return float64(b.concurrency.inFlight) >= b.availableCapacity(r.priority) ||
		len(r.attempts) == 0 && !b.cacheAffine(r)
}

// canAnswerInTime reports whether a request with so many ahead of it in the queue can still be answered in time.
// Without an attempt it is rejected earlier, since its client would otherwise wait for most of its deadline in vain.
func (b *Balancer) canAnswerInTime(r *Request, ahead int) bool {
	sendAt := b.now + float64(ahead+1)*b.queue.sendInterval
	inTime := sendAt+r.expectedLatency() <= min(r.arrivedAt+r.class.LatencyObjective, r.Deadline-answerMargin)
	return inTime && (len(r.attempts) > 0 || sendAt <= r.arrivedAt+maxQueueShare*(r.Deadline-r.arrivedAt))
}

// Capacity returns the number of attempts in flight, the capacity available to this request at its priority, in
// attempts as of the last draw, and the number of queued requests.
func (r *Request) Capacity() (inFlight int, available float64, queued int) {
	b := r.balancer
	return b.concurrency.inFlight, b.availableCapacity(r.priority), len(b.queue.requests)
}
