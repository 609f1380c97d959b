package simulation

import (
	"math"
	"math/rand/v2"

	"lockloom/balance"
)

// baseline is a proxy as most are set up: every listed server alike, an attempt at once, another one after what never
// ran or may run twice, no limits, no pauses, no care for cold servers. It keeps rules 1 to 3.
type baseline struct {
	d          balance.Deployment
	rand       *rand.Rand
	choose     func(*baseline, []int) int
	list       []balance.Endpoint // by index
	inFlight   []int              // attempts in flight, by index
	next       int
	candidates []int
	actions    balance.Actions

	controller *steeringController // nil: nobody tells it where to send
}

func newBaseline(choose func(*baseline, []int) int) Policy {
	return func(d balance.Deployment, now float64) (Decider, error) {
		return &baseline{d: d, choose: choose, rand: rand.New(rand.NewPCG(d.Seed, 3))}, nil
	}
}

// roundRobin is round robin over servers, whatever part of them may be used.
func roundRobin(p *baseline, candidates []int) int {
	p.next++
	return candidates[p.next%len(candidates)]
}

// leastInFlight is the one with the fewest of this proxy's attempts, by chance among equals.
func leastInFlight(p *baseline, candidates []int) int {
	best, ties := candidates[0], 0
	for _, c := range candidates {
		switch n := p.inFlight[c] - p.inFlight[best]; {
		case n < 0:
			best, ties = c, 1
		case n == 0:
			if ties++; p.rand.IntN(ties) == 0 {
				best = c
			}
		}
	}
	return best
}

func (p *baseline) begin() *balance.Actions {
	p.actions = balance.Actions{Requests: p.actions.Requests[:0]}
	return &p.actions
}

func (p *baseline) EndpointsUpdated(now float64, full, _ bool, list []balance.Endpoint) *balance.Actions {
	for i := range p.list {
		if full {
			p.list[i].State = balance.Removed
		}
	}
	for _, b := range list {
		for len(p.list) <= b.Index {
			p.list = append(p.list, balance.Endpoint{State: balance.Removed})
			p.inFlight = append(p.inFlight, 0)
		}
		p.list[b.Index] = b
	}
	if p.controller != nil {
		p.controller.listUpdated(now, p.list)
	}
	return p.begin()
}

func (p *baseline) TimerFired(float64) *balance.Actions { return p.begin() }

func (p *baseline) RequestArrived(now float64, a balance.RequestInfo) (RequestHandle, *balance.Actions) {
	p.begin()
	if p.controller != nil {
		p.controller.update(now)
	}
	l := &baselineRequest{p: p, RequestInfo: a, class: &p.d.Classes[a.Class]}
	p.actions.Requests = append(p.actions.Requests, balance.RequestAction{Ref: a.Ref, WakeAt: a.Deadline - baselineReplyMargin})
	l.next(now)
	return l, &p.actions
}

const baselineReplyMargin = 0.01 // s before the deadline at which a baseline answers

// intentDue is a request of a baseline's.
type baselineRequest struct {
	balance.RequestInfo
	p        *baseline
	class    *balance.Class
	attempts []struct {
		to       int
		sent     float64
		neverRan bool
	}
	over, out bool
}

func (l *baselineRequest) next(now float64) {
	p := l.p
	p.candidates = p.candidates[:0]
	for i, b := range p.list {
		if b.State == balance.Ready && l.allowed(now, b) {
			p.candidates = append(p.candidates, i)
		}
	}
	if len(p.candidates) == 0 || len(l.attempts) >= p.d.MaxAttempts || now >= l.Deadline-baselineReplyMargin {
		l.giveUp()
		return
	}
	to := p.choose(p, p.candidates)
	if to < 0 {
		l.giveUp()
		return
	}
	l.attempts = append(l.attempts, struct {
		to       int
		sent     float64
		neverRan bool
	}{to: to, sent: now})
	p.inFlight[to]++
	l.out = true
	p.actions.Requests = append(p.actions.Requests, balance.RequestAction{Ref: l.Ref, Send: true, Endpoint: to, Deadline: l.Deadline})
}

func (l *baselineRequest) allowed(now float64, b balance.Endpoint) bool {
	for _, g := range l.attempts {
		was := l.p.list[g.to]
		if g.to == b.Index || !g.neverRan && (l.class.Idempotency == balance.NonIdempotent || l.class.Idempotency == balance.Keyed &&
			(now > g.sent+l.class.DedupWindow-baselineReplyMargin || l.class.DedupScope == balance.DedupZone && was.Zone != b.Zone ||
				l.class.DedupScope == balance.DedupPod && was.Pod != b.Pod)) {
			return false
		}
	}
	return true
}

func (l *baselineRequest) giveUp() {
	answer := balance.Rejected
	for _, g := range l.attempts {
		if !g.neverRan && (l.class.Idempotency == balance.NonIdempotent || l.class.Idempotency == balance.Keyed && l.class.DedupScope != balance.DedupAll) {
			answer = balance.Failed
		}
	}
	l.over = true
	l.p.actions.Requests = append(l.p.actions.Requests, balance.RequestAction{Ref: l.Ref, Reply: answer, RetryAfter: min(l.class.LatencyObjective, l.p.d.MaxRetryAfter)})
	l.cancel()
}

func (l *baselineRequest) cancel() {
	if l.out && l.p.d.CancelAllowed {
		l.p.actions.Requests = append(l.p.actions.Requests, balance.RequestAction{Ref: l.Ref, CancelAttempt: len(l.attempts)})
	}
}

func (l *baselineRequest) AttemptEnded(now float64, attempt int, o balance.Outcome, _ float64, over bool) *balance.Actions {
	l.p.begin()
	g := &l.attempts[attempt]
	l.p.inFlight[g.to]--
	if l.p.controller != nil {
		l.p.controller.attemptEnded(g.to, o)
	}
	g.neverRan, l.out = o.NeverRan(), false
	if l.over = l.over || over || o == balance.Succeeded; !l.over {
		l.next(now)
	}
	return &l.p.actions
}

func (l *baselineRequest) ClientDisconnected(float64) *balance.Actions {
	l.p.begin()
	l.over = true
	l.cancel()
	return &l.p.actions
}

func (l *baselineRequest) TimerFired(now float64) *balance.Actions {
	l.p.begin()
	if !l.over && now >= l.Deadline-baselineReplyMargin-1e-9 {
		l.giveUp()
	}
	return &l.p.actions
}

// never is a time that never comes.
var never = math.Inf(1)
