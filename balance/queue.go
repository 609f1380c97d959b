package balance

import "slices"

const (
	answerMargin          = 0.01 // s before the deadline, by when a request is answered; over two timer ticks of any proxy
	clientRetryPriority   = 0.2  // factor on the priority of a client's retry: most of its latency objective has passed
	maxQueueShare         = 0.4  // share of the time to the deadline that a request may be queued before its first attempt
	maxFailedSelections   = 8    // selections that found no server, after which a dispatch selects only for retries
	dispatchInterval      = 0.02 // s until queued requests are dispatched again, if no other call does so before
	sendIntervalSmoothing = 0.05 // weight of one interval in requestQueue.sendInterval
)

// requestQueue holds the requests that are to be sent, ordered by descending priority, then by time of enqueueing.
type requestQueue struct {
	requests     []*Request
	sendInterval float64 // s, smoothed interval between sent attempts while requests are queued
	lastSend     float64 // time at which the last attempt was sent
	dispatchAt   float64 // time for which the balancer's timer was last set to dispatch the queue
}

// insert adds a request. If the queue was empty, the time since the last sent attempt must not count in sendInterval:
// there was no request to send.
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

// sent records that an attempt was sent. It updates sendInterval only while other requests are queued: only then is the
// next attempt sent as soon as there is capacity.
func (q *requestQueue) sent(now float64) {
	if len(q.requests) > 0 {
		q.sendInterval += sendIntervalSmoothing * (now - q.lastSend - q.sendInterval)
	}
	q.lastSend = now
}

// nextDispatch returns the time at which to dispatch the queued requests again, or 0 if none are queued or the timer is
// already set. If every call set a timer, and every timer made a call, the number of timers would grow without bound.
func (q *requestQueue) nextDispatch(now float64) float64 {
	if len(q.requests) == 0 || q.dispatchAt > now {
		return 0
	}
	q.dispatchAt = now + dispatchInterval
	return q.dispatchAt
}

// priority is the value of answering this request in time, per second of its work.
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

// dispatch sends queued requests while there is capacity, rejects or fails those that no server can answer in time, and
// returns the actions of the call.
func (b *Balancer) dispatch() *Actions {
	full, failedSelections := false, 0
	for i := 0; i < len(b.queue.requests); {
		r := b.queue.requests[i]
		var s *server
		possible := true
		if !full || len(r.attempts) > 0 { // a retry for which no server is left has to be answered at once
			if s, possible = b.selectServer(r); s == nil && possible {
				failedSelections++
				full = full || failedSelections >= maxFailedSelections || b.noServerForRest(r)
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
// it either. To select servers for all of them at each event would take a whole CPU core.
func (b *Balancer) noServerForRest(r *Request) bool {
	return float64(b.concurrency.inFlight) >= b.availableCapacity(r.priority) ||
		len(r.attempts) == 0 && !b.cacheAffine(r)
}

// canAnswerInTime reports whether a request can still be answered in time; ahead is the number of requests before it in
// the queue. A request without any attempt is rejected earlier than that, after maxQueueShare of the time to its
// deadline, since otherwise the client would spend most of that time waiting for a rejection.
func (b *Balancer) canAnswerInTime(r *Request, ahead int) bool {
	sendAt := b.now + float64(ahead+1)*b.queue.sendInterval
	inTime := sendAt+r.expectedLatency() <= min(r.arrivedAt+r.class.LatencyObjective, r.Deadline-answerMargin)
	return inTime && (len(r.attempts) > 0 || sendAt <= r.arrivedAt+maxQueueShare*(r.Deadline-r.arrivedAt))
}

// Capacity returns the number of attempts in flight, the number of attempts up to which this request may be sent at its
// priority, based on the capacity as of the last selection of a server, and the number of queued requests.
func (r *Request) Capacity() (inFlight int, available float64, queued int) {
	b := r.balancer
	return b.concurrency.inFlight, b.availableCapacity(r.priority), len(b.queue.requests)
}
