// Package balance decides where a proxy sends its requests. It does no input or output and keeps no clock: every call
// takes the present time in seconds and returns the Actions that the proxy has to carry out. RequestArrived returns a
// handle of a request; what happens to the request later is a call on that handle.
//
// A Balancer is not safe for concurrent use; one goroutine owns it and all its requests. The same calls with the same
// Deployment.Seed always return the same actions. Each mechanism has a file and a type of its own; the reasons for
// them are in docs/design.md, those of the constants in docs/capacity.md.
package balance

import (
	"cmp"
	"math"

	"lockloom/internal/histogram"
	"lockloom/internal/pcg"
)

// timerTolerance, in seconds, is how much earlier than asked for a timer may fire.
const timerTolerance = 1e-6

// Balancer decides for one proxy. It is not safe for concurrent use.
type Balancer struct {
	deployment Deployment
	random     pcg.Rand
	now        float64      // s, of the call that is being answered
	actions    Actions      // of that call
	servers    []*server    // by Endpoint.Index; nil where there is none
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

// trafficStats are what this proxy receives, and how long answers take.
type trafficStats struct {
	keys        histogram.Shares
	latencies   histogram.Times // s, of all classes
	priority    float64         // of requests, smoothed
	arrivals    float64         // requests so far
	interval    float64         // s between arrivals, smoothed
	lastArrival float64
}

// arrived counts a request.
func (t *trafficStats) arrived(now float64) {
	t.arrivals++
	t.interval += max(meanSmoothing, 1/t.arrivals) * (now - t.lastArrival - t.interval)
	t.lastArrival = now
}

// processState is what the proxy process tells of itself.
type processState struct {
	budgetShare    float64 // see SetBudgetShare
	attemptStretch float64 // see SetLocalDelay
	localDelay     float64 // s
}

// New returns a Balancer, or an error that names the setting on which it cannot decide.
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
		process:    processState{budgetShare: 1, attemptStretch: 1},
	}
	// One proxy of many, which hears nothing from the others, would learn the limits too slowly.
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

// Deployment returns what the balancer was made with.
func (b *Balancer) Deployment() Deployment { return b.deployment }

// RequestArrived accepts a request. The request gets exactly one answer: that of an attempt, or a Reply.
func (b *Balancer) RequestArrived(now float64, info RequestInfo) (*Request, *Actions) {
	b.begin(now)
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

// ResponseStarted tells that a streamed answer began: the request now belongs to that attempt.
func (r *Request) ResponseStarted(now float64, index int) *Actions {
	b := r.balancer.begin(now)
	if !r.over && index < len(r.attempts) {
		a := &r.attempts[index]
		b.recordOutcome(r, a, Succeeded, now-a.sentAt)
		a.started = true
		b.release(a) // answers that are streamed for minutes would fill the server's limit
		b.finish(r, index)
	}
	return &b.actions
}

// BodyCompleted tells that the last byte of a streamed request body was sent. The attempt counts from now, and takes
// capacity from now on: the server begins with the last byte, and a slow client is no fault of the server.
func (r *Request) BodyCompleted(now float64) *Actions {
	b := r.balancer.begin(now)
	if r.over {
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

// ClientDisconnected tells that the client has gone; no answer is owed.
func (r *Request) ClientDisconnected(now float64) *Actions {
	b := r.balancer.begin(now)
	if !r.over {
		b.finish(r, noAttempt)
	}
	return &b.actions
}

// AttemptEnded tells how an attempt ended after a latency in seconds, and whether the request is over with it or was
// over before.
func (r *Request) AttemptEnded(now float64, index int, outcome Outcome, latency float64, over bool) *Actions {
	b := r.balancer.begin(now)
	if index >= len(r.attempts) || !r.attempts[index].inFlight {
		return &b.actions
	}
	a := &r.attempts[index]
	b.endAttempt(r, a, outcome)
	streamed := a.started && outcome == Succeeded // the time to its end is the client's
	if !streamed {
		b.recordOutcome(r, a, outcome, latency)
	}
	b.continueRequest(r, outcome, over)
	return b.dispatch()
}

// TimerFired is the request's own timer: for an overdue attempt, and for the answer before the deadline.
func (r *Request) TimerFired(now float64) *Actions {
	b := r.balancer.begin(now)
	if r.over {
		return &b.actions
	}
	if now >= r.Deadline-answerMargin { // the end of an attempt may be told only after the deadline
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

// TimerFired is the balancer's own timer, set by Actions.WakeAt.
func (b *Balancer) TimerFired(now float64) *Actions {
	b.begin(now)
	b.actions.Subscribe = b.endpoints.takePoll(now)
	return b.dispatch()
}

// SetBudgetShare sets this balancer's share, from 0 to 1, of the slow-start budgets of its proxy: two processes of one
// proxy, each with the whole budget, would overload a server together.
func (b *Balancer) SetBudgetShare(share float64) { b.process.budgetShare = share }

// SetLocalDelay sets how many times longer attempts take here than at their servers, and by how many seconds at most in
// all likelihood: answers wait here while this proxy's own core is overloaded. No server counts as overdue or full for
// that.
func (b *Balancer) SetLocalDelay(stretch, delay float64) {
	b.process.attemptStretch, b.process.localDelay = max(stretch, 1), max(delay, 0)
}

// begin starts the answer to a call.
func (b *Balancer) begin(now float64) *Balancer {
	if b.loadsKnown() {
		b.concurrency.credit = 0
		b.loadReports.latencyHeadroom = b.latencyHeadroom()
	}
	b.concurrency.accrue(now-b.now, b.classes[0].medianLatency())
	b.now = now
	b.actions = Actions{Requests: b.actions.Requests[:0]}
	return b
}

// addAction adds an action for a request.
func (b *Balancer) addAction(action RequestAction) {
	b.actions.Requests = append(b.actions.Requests, action)
}

// wakeAt asks for a call at this time, unless an earlier one is asked for.
func (b *Balancer) wakeAt(at float64) {
	if at > 0 && (b.actions.WakeAt == 0 || at < b.actions.WakeAt) {
		b.actions.WakeAt = at
	}
}
