package balance

// Request is the handle of one request. It belongs to the goroutine that owns its Balancer.
type Request struct {
	RequestInfo
	balancer     *Balancer
	class        *classState
	arrivedAt    float64
	attempts     []attempt
	inFlight     int     // attempts in flight
	finished     bool    // answered, or the client has disconnected
	queued       bool    // in the queue
	relativeWork float64 // expected work over the mean of its class
	priority     float64
	placement    uint64 // see Balancer.placement; 0: none
}

// attempt is one attempt of a request at a server.
type attempt struct {
	server        *server
	pod, zone     int // of the server, when the attempt was sent
	sentAt        float64
	contention    float64 // attempts per core of the server, when the attempt was sent
	inFlight      bool
	neverRan      bool // it is certain that no server ran it
	started       bool // its response is being streamed to the client
	overdue       bool // counted as a failure before its end
	released      bool // not counted in breaker.inFlight and concurrencyStats.inFlight; see Balancer.release
	connectFailed bool // its outcome was ConnectFailed
}

// noAttempt is an index that no attempt has.
const noAttempt = -1

// Done reports whether nothing more will happen to the request or its attempts.
func (r *Request) Done() bool { return r.finished && r.inFlight == 0 }

// lostAttempts counts the attempts that have ended and may have run. It is called only while the request is unanswered,
// so all of them failed.
func (r *Request) lostAttempts() (n int) {
	for i := range r.attempts {
		if a := &r.attempts[i]; !a.inFlight && !a.neverRan {
			n++
		}
	}
	return n
}

// send sends an attempt to a server.
func (b *Balancer) send(r *Request, s *server) {
	r.attempts = append(r.attempts, attempt{server: s, pod: s.Pod, zone: s.Zone, sentAt: b.now, inFlight: true})
	a := &r.attempts[len(r.attempts)-1]
	if b.loadsKnown() {
		a.contention = (b.loadOf(s) + 1) / s.model.coresOrOne()
	}
	s.attemptSent(r.Class)
	r.inFlight++
	b.concurrency.inFlight++
	b.queue.sent(b.now)
	if r.StreamingBody { // otherwise slow clients would use up a server's limit; see BodyCompleted
		b.release(a)
	}
	b.addAction(RequestAction{
		Ref:      r.Ref,
		Send:     true,
		Endpoint: s.Index,
		Deadline: r.Deadline,
		WakeAt:   min(b.now+b.overdueAge(r), r.Deadline-answerMargin),
	})
}

// endAttempt marks an attempt as ended and releases its capacity.
func (b *Balancer) endAttempt(r *Request, a *attempt, outcome Outcome) {
	a.inFlight, a.neverRan, a.connectFailed = false, outcome.NeverRan(), outcome == ConnectFailed
	r.inFlight--
	b.release(a)
	a.server.attemptEnded(r.Class, a.sentAt, b.now)
}

// finish marks a request as finished. If canceling is allowed, it cancels all its attempts but the one with index keep.
func (b *Balancer) finish(r *Request, keep int) {
	r.finished = true
	if r.queued {
		b.queue.remove(r)
	}
	for i := range r.attempts {
		if r.attempts[i].inFlight && i != keep && b.deployment.CancelAllowed {
			b.addAction(RequestAction{Ref: r.Ref, CancelAttempt: i + 1})
		}
	}
}
