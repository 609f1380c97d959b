// Package balance selects the server for each request of a proxy. It does no I/O and reads no clock: a call reports an
// event and the current time in seconds, and returns the Actions that the proxy has to carry out. RequestArrived also
// returns a handle for the request; the proxy reports all later events of that request by calling the handle's methods.
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

// A timer that fires up to timerTolerance seconds before the requested time counts as on time.
const timerTolerance = 1e-6

// Balancer selects servers for the requests of one proxy. It is not safe for concurrent use.
type Balancer struct {
	deployment Deployment
	random     pcg.Rand
	now        float64      // s, the time passed to the call in progress
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
	priority    float64         // smoothed mean priority of requests
	arrivals    float64         // number of requests received so far
	interval    float64         // s, smoothed mean time between arrivals
	lastArrival float64         // time of the last arrival
}

// arrived counts a request and updates the mean interval between arrivals.
func (t *trafficStats) arrived(now float64) {
	t.arrivals++
	t.interval += max(meanSmoothing, 1/t.arrivals) * (now - t.lastArrival - t.interval)
	t.lastArrival = now
}

// processState holds what the proxy process reports about itself.
type processState struct {
	budgetShare float64 // see SetSlowStartShare
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
	// In a large fleet without gossip, a proxy receives too few answers to raise the limits fast enough at the normal
	// rate of growth.
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

// RequestArrived accepts a request. Unless its client disconnects, the request gets exactly one answer: the response to
// an attempt, or a Reply.
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

// ResponseStarted reports that the response to an attempt has begun to stream to the client. No further attempt is
// sent, and the other attempts are canceled if Deployment.CancelAllowed is set.
func (r *Request) ResponseStarted(now float64, index int) *Actions {
	b := r.balancer.beginCall(now)
	if !r.finished && index < len(r.attempts) {
		a := &r.attempts[index]
		b.recordOutcome(r, a, Succeeded, now-a.sentAt)
		a.started = true
		b.release(a) // a response can stream for minutes: if counted as in flight, a few would use up the server's limit
		b.finish(r, index)
	}
	return &b.actions
}

// BodyCompleted reports that the last byte of a streamed request body was sent. From now on the attempt takes capacity
// and its latency is measured: the server starts work when it has received the last byte, and a slow client must not
// make the server look slow.
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

// AttemptEnded reports the outcome of an attempt and its latency in seconds. finished reports whether the client has
// received an answer, from this attempt or an earlier one.
func (r *Request) AttemptEnded(now float64, index int, outcome Outcome, latency float64, finished bool) *Actions {
	b := r.balancer.beginCall(now)
	if index >= len(r.attempts) || !r.attempts[index].inFlight {
		return &b.actions
	}
	a := &r.attempts[index]
	b.endAttempt(r, a, outcome)
	// The latency of a streamed response was recorded at its start: its end depends on how fast the client reads.
	streamed := a.started && outcome == Succeeded
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
	if now >= r.Deadline-answerMargin { // the attempts in flight may not end before the deadline
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

// SetSlowStartShare sets this balancer's share, from 0 to 1, of the proxy's slow-start budgets. Two processes of one
// proxy that each used the whole budget would together overload a server.
func (b *Balancer) SetSlowStartShare(share float64) { b.process.budgetShare = share }

// SetLocalDelay sets the delay that this proxy adds to attempts while its own CPU core is overloaded. factor is the
// latency measured by the proxy divided by the latency at the server; it raises the capacity of servers, so that none
// counts as full because of the delay. delay is an upper estimate of the added seconds; it raises the age at which an
// attempt is overdue, so that no server counts as hanging because of the delay.
func (b *Balancer) SetLocalDelay(factor, delay float64) {
	b.process.delayFactor, b.process.localDelay = max(factor, 1), max(delay, 0)
}

// beginCall advances the clock to now and clears the actions that the previous call returned.
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
