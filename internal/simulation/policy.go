package simulation

import (
	"math"
	"math/rand/v2"

	"lockloom/balance"
)

// Decider is what decides at one proxy: the decision module, or a baseline to compare it with.
type Decider interface {
	EndpointsUpdated(now float64, full, first bool, list []balance.Endpoint) *balance.Actions
	RequestArrived(now float64, a balance.RequestInfo) (RequestHandle, *balance.Actions)
	TimerFired(now float64) *balance.Actions
}

// RequestHandle is a request that a Decider was given.
type RequestHandle interface {
	AttemptEnded(now float64, attempt int, o balance.Outcome, latency float64, over bool) *balance.Actions
	ClientDisconnected(now float64) *balance.Actions
	TimerFired(now float64) *balance.Actions
}

// Policy makes a decider.
type Policy func(d balance.Deployment, now float64) (Decider, error)

// Policies are those that can be asked for, each made anew for a run; all but lockloom and steered are plain baselines, kept for
// comparison only.
var Policies = map[string]func() Policy{
	"lockloom": func() Policy {
		return func(d balance.Deployment, now float64) (Decider, error) {
			b, err := balance.New(d, now)
			return module{b}, err
		}
	},
	"steered":     steered,
	"random":      func() Policy { return plainly(func(p *plain, c []int) int { return c[p.chance.IntN(len(c))] }) },
	"round-robin": func() Policy { return plainly(inTurn) },
	"least":       func() Policy { return plainly(leastInFlight) },
}

// module is the decision module as a Decider.
type module struct{ *balance.Balancer }

func (m module) RequestArrived(now float64, a balance.RequestInfo) (RequestHandle, *balance.Actions) {
	return m.Balancer.RequestArrived(now, a)
}

// plain is a proxy as most are set up: every listed server alike, an attempt at once, another one after what never ran or may
// run twice, no limits, no pauses, no care for cold servers. It keeps rules 1 to 3.
type plain struct {
	d      balance.Deployment
	chance *rand.Rand
	choose func(*plain, []int) int
	list   []balance.Endpoint // by index
	out    []int              // attempts in flight, by index
	turn   int
	cands  []int
	orders balance.Actions

	steward *steward // nil: nobody tells it where to send
}

func plainly(choose func(*plain, []int) int) Policy {
	return func(d balance.Deployment, now float64) (Decider, error) {
		return &plain{d: d, choose: choose, chance: rand.New(rand.NewPCG(d.Seed, 3))}, nil
	}
}

// inTurn is round robin over servers, whatever part of them may be used.
func inTurn(p *plain, cands []int) int {
	p.turn++
	return cands[p.turn%len(cands)]
}

// leastInFlight is the one with the fewest of this proxy's attempts, by chance among equals.
func leastInFlight(p *plain, cands []int) int {
	best, ties := cands[0], 0
	for _, c := range cands {
		switch n := p.out[c] - p.out[best]; {
		case n < 0:
			best, ties = c, 1
		case n == 0:
			if ties++; p.chance.IntN(ties) == 0 {
				best = c
			}
		}
	}
	return best
}

func (p *plain) begin() *balance.Actions {
	p.orders = balance.Actions{Requests: p.orders.Requests[:0]}
	return &p.orders
}

func (p *plain) EndpointsUpdated(now float64, full, _ bool, list []balance.Endpoint) *balance.Actions {
	for i := range p.list {
		if full {
			p.list[i].State = balance.Removed
		}
	}
	for _, b := range list {
		for len(p.list) <= b.Index {
			p.list = append(p.list, balance.Endpoint{State: balance.Removed})
			p.out = append(p.out, 0)
		}
		p.list[b.Index] = b
	}
	if p.steward != nil {
		p.steward.listed(now, p.list)
	}
	return p.begin()
}

func (p *plain) TimerFired(float64) *balance.Actions { return p.begin() }

func (p *plain) RequestArrived(now float64, a balance.RequestInfo) (RequestHandle, *balance.Actions) {
	p.begin()
	if p.steward != nil {
		p.steward.look(now)
	}
	l := &asked{p: p, RequestInfo: a, row: &p.d.Classes[a.Class]}
	p.orders.Requests = append(p.orders.Requests, balance.RequestAction{Ref: a.Ref, WakeAt: a.Deadline - plainEarly})
	l.next(now)
	return l, &p.orders
}

const plainEarly = 0.01 // s before the deadline at which a baseline answers

// asked is a request of a baseline's.
type asked struct {
	balance.RequestInfo
	p    *plain
	row  *balance.Class
	legs []struct {
		to       int
		sent     float64
		neverRan bool
	}
	over, out bool
}

func (l *asked) next(now float64) {
	p := l.p
	p.cands = p.cands[:0]
	for i, b := range p.list {
		if b.State == balance.Ready && l.may(now, b) {
			p.cands = append(p.cands, i)
		}
	}
	if len(p.cands) == 0 || len(l.legs) >= p.d.MaxAttempts || now >= l.Deadline-plainEarly {
		l.giveUp()
		return
	}
	to := p.choose(p, p.cands)
	if to < 0 {
		l.giveUp()
		return
	}
	l.legs = append(l.legs, struct {
		to       int
		sent     float64
		neverRan bool
	}{to: to, sent: now})
	p.out[to]++
	l.out = true
	p.orders.Requests = append(p.orders.Requests, balance.RequestAction{Ref: l.Ref, Send: true, Endpoint: to, Deadline: l.Deadline})
}

func (l *asked) may(now float64, b balance.Endpoint) bool {
	for _, g := range l.legs {
		was := l.p.list[g.to]
		if g.to == b.Index || !g.neverRan && (l.row.Idempotency == balance.NonIdempotent || l.row.Idempotency == balance.Keyed &&
			(now > g.sent+l.row.DedupWindow-plainEarly || l.row.DedupScope == balance.DedupZone && was.Zone != b.Zone ||
				l.row.DedupScope == balance.DedupPod && was.Pod != b.Pod)) {
			return false
		}
	}
	return true
}

func (l *asked) giveUp() {
	answer := balance.Rejected
	for _, g := range l.legs {
		if !g.neverRan && (l.row.Idempotency == balance.NonIdempotent || l.row.Idempotency == balance.Keyed && l.row.DedupScope != balance.DedupAll) {
			answer = balance.Failed
		}
	}
	l.over = true
	l.p.orders.Requests = append(l.p.orders.Requests, balance.RequestAction{Ref: l.Ref, Reply: answer, RetryAfter: min(l.row.LatencyObjective, l.p.d.MaxRetryAfter)})
	l.callOff()
}

func (l *asked) callOff() {
	if l.out && l.p.d.CancelAllowed {
		l.p.orders.Requests = append(l.p.orders.Requests, balance.RequestAction{Ref: l.Ref, CancelAttempt: len(l.legs)})
	}
}

func (l *asked) AttemptEnded(now float64, attempt int, o balance.Outcome, _ float64, over bool) *balance.Actions {
	l.p.begin()
	g := &l.legs[attempt]
	l.p.out[g.to]--
	if l.p.steward != nil {
		l.p.steward.ended(g.to, o)
	}
	g.neverRan, l.out = o.NeverRan(), false
	if l.over = l.over || over || o == balance.Succeeded; !l.over {
		l.next(now)
	}
	return &l.p.orders
}

func (l *asked) ClientDisconnected(float64) *balance.Actions {
	l.p.begin()
	l.over = true
	l.callOff()
	return &l.p.orders
}

func (l *asked) TimerFired(now float64) *balance.Actions {
	l.p.begin()
	if !l.over && now >= l.Deadline-plainEarly-1e-9 {
		l.giveUp()
	}
	return &l.p.orders
}

// farOff is a time that never comes.
var farOff = math.Inf(1)
