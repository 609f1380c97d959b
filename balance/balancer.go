// Package balance selects the server for each request of a proxy. It does no I/O and reads no clock: a call reports an
// event with the present time in seconds, and returns the Actions that the proxy has to carry out. RequestArrived
// returns a handle of the request, on which the proxy reports all later events of that request.
//
// A Balancer is not safe for concurrent use; one goroutine owns it and all its requests. The same calls with the same
// Deployment.Seed always return the same actions. Each mechanism has a file and a type of its own; docs/design.md
// explains the mechanisms, docs/capacity.md the constants.
package balance

import (
	"cmp"
	"math"

	"lockloom/internal/histogram"
	"lockloom/internal/pcg"
)

// timerTolerance is how many seconds before the requested time a timer may fire.
const timerTolerance = 1e-6

// Balancer selects servers for the requests of one proxy. It is not safe for concurrent use.
type Balancer struct {
	deployment Deployment
	random     pcg.Rand
	now        float64      // s, time of the call in progress
	actions    Actions      // to be returned by the call in progress
	servers    []*server    // by Endpoint.Index; nil if no server has the index
	classes    []classState // by RequestInfo.Class

	traffic     trafficStats
	queue       requestQueue
	failures    failureStats
	estimates   sharedEstimates
	concurrency concurrencyStats
	selection   selectionState
	endpoints   endpointPoller
	loadReports loadReportStats
	gossip      gossipState
	process     processState
}

// trafficStats describes the requests that this proxy receives and the latencies of their answers.
type trafficStats struct {
	keys        histogram.Shares
	latencies   histogram.Times // s, of all classes
	priority    float64         // mean priority of requests, smoothed
	arrivals    float64         // requests so far
	interval    float64         // s between arrivals, smoothed
	lastArrival float64
}

// arrived counts a request and updates the mean interval between arrivals.
func (t *trafficStats) arrived(now float64) {
	t.arrivals++
	t.interval += max(meanSmoothing, 1/t.arrivals) * (now - t.lastArrival - t.interval)
	t.lastArrival = now
}

// processState is what the proxy process reports about itself.
type processState struct {
	budgetShare float64 // see SetBudgetShare
	delayFactor float64 // see SetLocalDelay
	localDelay  float64 // s, see SetLocalDelay
}

// New returns a Balancer, or an error that names the missing or invalid setting.
func New(d Deployment, now float64) (*Balancer, error) {
	if err := d.validate(); err != nil {
		return nil, err
	}
	d.Proxies, d.MaxAttempts = max(d.Proxies, 1), max(d.MaxAttempts, 1)
	b := &Balancer{
		deployment: d,
		random:     pcg.Rand(d.Seed),
		now:        now,
		traffic:    trafficStats{lastArrival: now},
		queue:      requestQueue{lastSend: now},
		estimates:  sharedEstimates{fleet: &estimate{lifetime: estimateLifetime}},
		endpoints:  endpointPoller{delay: minPollDelay, pollAt: math.Inf(1)},
		process:    processState{budgetShare: 1, delayFactor: 1},
	}
	// In a large fleet without gossip, each proxy sees too few answers to learn the limits at the normal rate.
	if initial, _ := b.limitBounds(0); initial < minBindingLimit && !d.Gossip {
		b.concurrency.growth = initialLimitGrowth
	}
	for _, class := range d.Classes {
		class.LatencyObjective = cmp.Or(class.LatencyObjective, class.Deadline/2)
		b.classes = append(b.classes, classState{
			Class:        class,
			baseLatency:  class.LatencyObjective / 4,
			allLatencies: &b.traffic.latencies,
		})
	}
	return b, nil
}

// Deployment returns the settings that the balancer was created with.
func (b *Balancer) Deployment() Deployment { return b.deployment }

// RequestArrived accepts a request. The request gets exactly one answer: the response of an attempt, or a Reply.
func (b *Balancer) RequestArrived(now float64, info RequestInfo) (*Request, *Actions) {
	b.beginCall(now)
	class := &b.classes[info.Class]
	r := &Request{
		RequestInfo:  info,
		balancer:     b,
		class:        class,
		arrivedAt:    now,
		relativeWork: class.relativeWork(info.ExpectedWork),
	}
	b.traffic.arrived(now)
	r.placement = b.placement(r)
	b.requestHealthChecks()
	b.sendGossip()
	r.priority = b.priority(r)
	b.traffic.priority += meanSmoothing * (r.priority - b.traffic.priority)
	b.addAction(RequestAction{Ref: info.Ref, WakeAt: info.Deadline - answerMargin})
	b.enqueue(r)
	return r, b.dispatch()
}

// ResponseStarted reports that the response of an attempt began to stream to the client. The request ends with that
// attempt, and its others are canceled where that is allowed.
func (r *Request) ResponseStarted(now float64, index int) *Actions {
	b := r.balancer.beginCall(now)
	if !r.finished && index < len(r.attempts) {
		a := &r.attempts[index]
		b.recordOutcome(r, a, Succeeded, now-a.sentAt)
		a.started = true
		b.release(a) // responses that stream for minutes would exhaust the server's limit
		b.finish(r, index)
	}
	return &b.actions
}

// BodyCompleted reports that the last byte of a streamed request body was sent. The latency of the attempt is measured
// from now, and it takes capacity from now on: the server starts work on the last byte, and a slow client must not make
// the server look slow.
func (r *Request) BodyCompleted(now float64) *Actions {
	b := r.balancer.beginCall(now)
	if r.finished {
		return &b.actions
	}
	for i := range r.attempts {
		a := &r.attempts[i]
		if !a.inFlight {
			continue
		}
		a.sentAt = now
		b.acquire(a)
		b.addAction(RequestAction{Ref: r.Ref, WakeAt: now + b.overdueAge(r)})
	}
	return &b.actions
}

// ClientDisconnected reports that the client closed its connection. The request gets no answer.
func (r *Request) ClientDisconnected(now float64) *Actions {
	b := r.balancer.beginCall(now)
	if !r.finished {
		b.finish(r, noAttempt)
	}
	return &b.actions
}

// AttemptEnded reports the outcome of an attempt and its latency in seconds. finished says whether the request is
// answered, by this attempt or earlier.
func (r *Request) AttemptEnded(now float64, index int, outcome Outcome, latency float64, finished bool) *Actions {
	b := r.balancer.beginCall(now)
	if index >= len(r.attempts) || !r.attempts[index].inFlight {
		return &b.actions
	}
	a := &r.attempts[index]
	b.endAttempt(r, a, outcome)
	streamed := a.started && outcome == Succeeded // the client's read rate sets the time to the end of the stream
	if !streamed {
		b.recordOutcome(r, a, outcome, latency)
	}
	b.continueRequest(r, outcome, finished)
	return b.dispatch()
}

// TimerFired handles the request's timer, set by RequestAction.WakeAt: it hedges an overdue attempt, and answers the
// request just before its deadline.
func (r *Request) TimerFired(now float64) *Actions {
	b := r.balancer.beginCall(now)
	if r.finished {
		return &b.actions
	}
	if now >= r.Deadline-answerMargin { // AttemptEnded might not be called before the deadline
		b.answerUnserved(r)
		return &b.actions
	}
	for i := range r.attempts {
		if b.overdue(r, &r.attempts[i]) {
			b.recordOverdue(r, &r.attempts[i])
			b.hedge(r)
		}
	}
	return b.dispatch()
}

// TimerFired handles the balancer's timer, set by Actions.WakeAt.
func (b *Balancer) TimerFired(now float64) *Actions {
	b.beginCall(now)
	b.actions.Subscribe = b.endpoints.takePoll(now)
	return b.dispatch()
}

// SetBudgetShare sets this balancer's share, from 0 to 1, of the proxy's slow-start budgets. Two processes of one proxy
// that each used the whole budget would together overload a server.
func (b *Balancer) SetBudgetShare(share float64) { b.process.budgetShare = share }

// SetLocalDelay sets the delay that this proxy adds to attempts while its own core is overloaded: factor is the latency
// measured here over the latency at the server, and delay is an upper estimate of the added seconds. It raises the
// capacity of servers and the age at which an attempt is overdue, so that no server counts as full or hanging for it.
func (b *Balancer) SetLocalDelay(factor, delay float64) {
	b.process.delayFactor, b.process.localDelay = max(factor, 1), max(delay, 0)
}

// beginCall advances the clock to now and clears the actions of the last call.
func (b *Balancer) beginCall(now float64) *Balancer {
	if b.loadsKnown() {
		b.concurrency.credit = 0
		b.loadReports.latencyHeadroom = b.latencyHeadroom()
	}
	b.concurrency.accrue(now-b.now, b.classes[0].medianLatency())
	b.now = now
	b.actions = Actions{Requests: b.actions.Requests[:0]}
	return b
}

// addAction appends an action for a request to the result of the call in progress.
func (b *Balancer) addAction(action RequestAction) {
	b.actions.Requests = append(b.actions.Requests, action)
}

// wakeAt sets the balancer's timer, unless it is set to an earlier time; 0 sets none.
func (b *Balancer) wakeAt(at float64) {
	if at > 0 && (b.actions.WakeAt == 0 || at < b.actions.WakeAt) {
		b.actions.WakeAt = at
	}
}
