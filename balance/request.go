package balance

// Request is the handle of one request. It belongs to the goroutine that owns its Balancer.
type Request struct {
	RequestInfo
	balancer     *Balancer
	class        *classState
	arrivedAt    float64
	attempts     []attempt
	inFlight     int // attempts
	over         bool
	waiting      bool    // in the queue
	relativeWork float64 // over the usual of its class
	priority     float64
	placement    uint64 // settles the noise of its draw; 0: chance does
}

// attempt is one sending of a request to one server.
type attempt struct {
	server     *server
	pod, zone  int // of the server when it was sent
	sentAt     float64
	contention float64 // attempts that shared each core of the server when it was sent
	inFlight   bool
	neverRan   bool
	started    bool // its answer is streamed
	overdue    bool // it was counted as a failure
	released   bool // it takes no capacity
	noRoute    bool // it could not connect
}

// noAttempt stands for the index of an attempt where there is none.
const noAttempt = -1

// Done reports whether nothing more will happen to the request or its attempts.
func (r *Request) Done() bool { return r.over && r.inFlight == 0 }

// lostAttempts counts the attempts that failed where they may have run.
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
	if r.Streaming { // slow clients would fill a limit with idle attempts
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

// endAttempt counts an attempt as ended.
func (b *Balancer) endAttempt(r *Request, a *attempt, outcome Outcome) {
	a.inFlight, a.neverRan, a.noRoute = false, outcome.NeverRan(), outcome == ConnectFailed
	r.inFlight--
	b.release(a)
	a.server.attemptEnded(r.Class, a.sentAt, b.now)
}

// finish ends a request and cancels every attempt but the one to keep.
func (b *Balancer) finish(r *Request, keep int) {
	r.over = true
	if r.waiting {
		b.queue.remove(r)
	}
	for i := range r.attempts {
		if r.attempts[i].inFlight && i != keep && b.deployment.CancelAllowed {
			b.addAction(RequestAction{Ref: r.Ref, CancelAttempt: i + 1})
		}
	}
}
