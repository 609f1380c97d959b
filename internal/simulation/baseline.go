package simulation

import (
	"math"
	"math/rand/v2"

	"lockloom/balance"
)

// baselineReplyMargin is how long before the deadline, in seconds, a baseline ends a request that has no answer yet.
const baselineReplyMargin = 0.01

// never is the time of an event that is not scheduled.
var never = math.Inf(1)

// baseline is a load balancer in a common configuration: it treats all listed servers alike, sends each attempt without
// queueing it, and retries if the attempt never ran or the class of the request permits a retry. It has no concurrency
// limits, pauses or slow start, but keeps rules 1 to 3 of Audit.
type baseline struct {
	d          balance.Deployment
	rand       *rand.Rand
	choose     func(*baseline, []int) int // returns one of the candidates, or -1 to send to none
	list       []balance.Endpoint         // by endpoint index
	inFlight   []int                      // attempts, by endpoint index
	picks      int                        // number of picks by roundRobin
	candidates []int                      // endpoint indices; the slice is reused by next
	actions    balance.Actions            // returned by each call, and overwritten by the next

	controller *steeringController // nil: the baseline is not steered
}

func newBaseline(choose func(*baseline, []int) int) Policy {
	return func(d balance.Deployment, _ float64) (Decider, error) {
		return &baseline{d: d, choose: choose, rand: rand.New(rand.NewPCG(d.Seed, 3))}, nil
	}
}

func randomChoice(b *baseline, candidates []int) int {
	return candidates[b.rand.IntN(len(candidates))]
}

// roundRobin picks the candidates in turn. One counter serves all requests, whichever servers are candidates for each.
func roundRobin(b *baseline, candidates []int) int {
	b.picks++
	return candidates[b.picks%len(candidates)]
}

// leastInFlight picks the candidate with the fewest attempts in flight from this proxy, at random among equals.
func leastInFlight(b *baseline, candidates []int) int {
	best, ties := candidates[0], 0
	for _, c := range candidates {
		switch difference := b.inFlight[c] - b.inFlight[best]; {
		case difference < 0:
			best, ties = c, 1
		case difference == 0:
			ties++
			if b.rand.IntN(ties) == 0 {
				best = c
			}
		}
	}
	return best
}

// resetActions clears the actions at the start of a call and returns them.
func (b *baseline) resetActions() *balance.Actions {
	b.actions = balance.Actions{Requests: b.actions.Requests[:0]}
	return &b.actions
}

// EndpointsUpdated implements Decider.
func (b *baseline) EndpointsUpdated(now float64, full, _ bool, list []balance.Endpoint) *balance.Actions {
	for i := range b.list {
		if full {
			b.list[i].State = balance.Removed
		}
	}
	for _, endpoint := range list {
		for len(b.list) <= endpoint.Index {
			b.list = append(b.list, balance.Endpoint{State: balance.Removed})
			b.inFlight = append(b.inFlight, 0)
		}
		b.list[endpoint.Index] = endpoint
	}
	if b.controller != nil {
		b.controller.endpointsUpdated(now, b.list)
	}
	return b.resetActions()
}

// TimerFired implements Decider.
func (b *baseline) TimerFired(float64) *balance.Actions { return b.resetActions() }

// RequestArrived implements Decider.
func (b *baseline) RequestArrived(now float64, info balance.RequestInfo) (RequestHandle, *balance.Actions) {
	b.resetActions()
	if b.controller != nil {
		b.controller.update(now)
	}
	request := &baselineRequest{baseline: b, RequestInfo: info, class: &b.d.Classes[info.Class]}
	request.addAction(balance.RequestAction{Ref: info.Ref, WakeAt: info.Deadline - baselineReplyMargin})
	request.next(now)
	return request, &b.actions
}

// baselineRequest is a request at a baseline.
type baselineRequest struct {
	balance.RequestInfo
	baseline *baseline
	class    *balance.Class
	attempts []baselineAttempt
	over     bool // answered, or its client has gone
	inFlight bool // the last attempt is in flight
}

type baselineAttempt struct {
	endpoint int
	sentAt   float64
	neverRan bool
}

// next sends the next attempt, or replies if no more attempts may be sent.
func (r *baselineRequest) next(now float64) {
	b := r.baseline
	b.candidates = b.candidates[:0]
	for i, endpoint := range b.list {
		if endpoint.State == balance.Ready && r.allowed(now, endpoint) {
			b.candidates = append(b.candidates, i)
		}
	}
	if len(b.candidates) == 0 || len(r.attempts) >= b.d.MaxAttempts || now >= r.Deadline-baselineReplyMargin {
		r.giveUp()
		return
	}
	endpoint := b.choose(b, b.candidates)
	if endpoint < 0 {
		r.giveUp()
		return
	}
	r.attempts = append(r.attempts, baselineAttempt{endpoint: endpoint, sentAt: now})
	b.inFlight[endpoint]++
	r.inFlight = true
	r.addAction(balance.RequestAction{Ref: r.Ref, Send: true, Endpoint: endpoint, Deadline: r.Deadline})
}

func (r *baselineRequest) addAction(action balance.RequestAction) {
	r.baseline.actions.Requests = append(r.baseline.actions.Requests, action)
}

// allowed reports whether an attempt may be sent to an endpoint: no earlier attempt went there, and the request cannot
// take effect twice.
func (r *baselineRequest) allowed(now float64, endpoint balance.Endpoint) bool {
	for i := range r.attempts {
		attempt := &r.attempts[i]
		if attempt.endpoint == endpoint.Index {
			return false
		}
		if !attempt.neverRan && !r.mayFollow(now, attempt, endpoint) {
			return false
		}
	}
	return true
}

// mayFollow reports whether the request may be sent to an endpoint although an earlier attempt may have run.
func (r *baselineRequest) mayFollow(now float64, attempt *baselineAttempt, endpoint balance.Endpoint) bool {
	switch r.class.Idempotency {
	case balance.NonIdempotent:
		return false
	case balance.Keyed:
		if now > attempt.sentAt+r.class.DedupWindow-baselineReplyMargin {
			return false
		}
		previous := r.baseline.list[attempt.endpoint]
		switch r.class.DedupScope {
		case balance.DedupZone:
			return previous.Zone == endpoint.Zone
		case balance.DedupPod:
			return previous.Pod == endpoint.Pod
		}
	}
	return true
}

// giveUp ends the request with the reply that it was rejected, which lets the client retry it, or that it failed if a
// retry is not safe.
func (r *baselineRequest) giveUp() {
	reply := balance.Rejected
	for _, attempt := range r.attempts {
		if !attempt.neverRan && !r.clientMayRetry() {
			reply = balance.Failed
		}
	}
	r.over = true
	retryAfter := min(r.class.LatencyObjective, r.baseline.d.MaxRetryAfter)
	r.addAction(balance.RequestAction{Ref: r.Ref, Reply: reply, RetryAfter: retryAfter})
	r.cancel()
}

// clientMayRetry reports whether the client may resend the request through any proxy although it may have run.
func (r *baselineRequest) clientMayRetry() bool {
	return r.class.Idempotency == balance.Idempotent ||
		r.class.Idempotency == balance.Keyed && r.class.DedupScope == balance.DedupAll
}

func (r *baselineRequest) cancel() {
	if r.inFlight && r.baseline.d.CancelAllowed {
		r.addAction(balance.RequestAction{Ref: r.Ref, CancelAttempt: len(r.attempts)})
	}
}

// AttemptEnded implements RequestHandle.
func (r *baselineRequest) AttemptEnded(
	now float64, attempt int, outcome balance.Outcome, _ float64, over bool,
) *balance.Actions {
	b := r.baseline
	b.resetActions()
	ended := &r.attempts[attempt]
	b.inFlight[ended.endpoint]--
	if b.controller != nil {
		b.controller.attemptEnded(ended.endpoint, outcome)
	}
	ended.neverRan = outcome.NeverRan()
	r.inFlight = false
	r.over = r.over || over || outcome == balance.Succeeded
	if !r.over {
		r.next(now)
	}
	return &b.actions
}

// ClientDisconnected implements RequestHandle.
func (r *baselineRequest) ClientDisconnected(float64) *balance.Actions {
	r.baseline.resetActions()
	r.over = true
	r.cancel()
	return &r.baseline.actions
}

// TimerFired implements RequestHandle.
func (r *baselineRequest) TimerFired(now float64) *balance.Actions {
	r.baseline.resetActions()
	if !r.over && now >= r.Deadline-baselineReplyMargin-1e-9 {
		r.giveUp()
	}
	return &r.baseline.actions
}
