package rehearse

import (
	"math"
	"math/rand/v2"

	"lockloom/balance"
)

// Decider is what decides at one proxy: the decision module, or a baseline to compare it with.
type Decider interface {
	Listed(now float64, full, first bool, list []balance.Backend) *balance.Orders
	Take(now float64, a balance.Arrival) (Handle, *balance.Orders)
	Wake(now float64) *balance.Orders
}

// Handle is a lookup that a Decider was given.
type Handle interface {
	Ended(now float64, leg int, o balance.Outcome, latency float64, over bool) *balance.Orders
	Left(now float64) *balance.Orders
	Wake(now float64) *balance.Orders
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

func (m module) Take(now float64, a balance.Arrival) (Handle, *balance.Orders) {
	return m.Balancer.Take(now, a)
}

// plain is a proxy as most are set up: every listed server alike, a leg at once, another one after what never ran or may
// run twice, no limits, no pauses, no care for cold servers. It keeps rules 1 to 3.
type plain struct {
	d      balance.Deployment
	chance *rand.Rand
	choose func(*plain, []int) int
	list   []balance.Backend // by index
	out    []int             // legs in flight, by index
	turn   int
	cands  []int
	orders balance.Orders

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

// leastInFlight is the one with the fewest of this proxy's legs, by chance among equals.
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

func (p *plain) begin() *balance.Orders {
	p.orders = balance.Orders{Steps: p.orders.Steps[:0]}
	return &p.orders
}

func (p *plain) Listed(now float64, full, _ bool, list []balance.Backend) *balance.Orders {
	for i := range p.list {
		if full {
			p.list[i].State = balance.Gone
		}
	}
	for _, b := range list {
		for len(p.list) <= b.Index {
			p.list = append(p.list, balance.Backend{State: balance.Gone})
			p.out = append(p.out, 0)
		}
		p.list[b.Index] = b
	}
	if p.steward != nil {
		p.steward.listed(now, p.list)
	}
	return p.begin()
}

func (p *plain) Wake(float64) *balance.Orders { return p.begin() }

func (p *plain) Take(now float64, a balance.Arrival) (Handle, *balance.Orders) {
	p.begin()
	if p.steward != nil {
		p.steward.look(now)
	}
	l := &asked{p: p, Arrival: a, row: &p.d.Tariffs[a.Tariff]}
	p.orders.Steps = append(p.orders.Steps, balance.Step{Ref: a.Ref, Wake: a.HardStop - plainEarly})
	l.next(now)
	return l, &p.orders
}

const plainEarly = 0.01 // s before the hard stop at which a baseline answers

// asked is a lookup of a baseline's.
type asked struct {
	balance.Arrival
	p    *plain
	row  *balance.Tariff
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
	if len(p.cands) == 0 || len(l.legs) >= p.d.MaxLegs || now >= l.HardStop-plainEarly {
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
	p.orders.Steps = append(p.orders.Steps, balance.Step{Ref: l.Ref, Send: true, Backend: to, Until: l.HardStop})
}

func (l *asked) may(now float64, b balance.Backend) bool {
	for _, g := range l.legs {
		was := l.p.list[g.to]
		if g.to == b.Index || !g.neverRan && (l.row.Kind == balance.SingleUse || l.row.Kind == balance.Referenced &&
			(now > g.sent+l.row.Window-plainEarly || l.row.Scope == balance.ScopeZone && was.Zone != b.Zone ||
				l.row.Scope == balance.ScopePod && was.Pod != b.Pod)) {
			return false
		}
	}
	return true
}

func (l *asked) giveUp() {
	answer := balance.Dismissed
	for _, g := range l.legs {
		if !g.neverRan && (l.row.Kind == balance.SingleUse || l.row.Kind == balance.Referenced && l.row.Scope != balance.ScopeAll) {
			answer = balance.Forfeited
		}
	}
	l.over = true
	l.p.orders.Steps = append(l.p.orders.Steps, balance.Step{Ref: l.Ref, Answer: answer, Advice: min(l.row.Due, l.p.d.MaxAdvice)})
	l.callOff()
}

func (l *asked) callOff() {
	if l.out && l.p.d.CallOff {
		l.p.orders.Steps = append(l.p.orders.Steps, balance.Step{Ref: l.Ref, CallOff: len(l.legs)})
	}
}

func (l *asked) Ended(now float64, leg int, o balance.Outcome, _ float64, over bool) *balance.Orders {
	l.p.begin()
	g := &l.legs[leg]
	l.p.out[g.to]--
	if l.p.steward != nil {
		l.p.steward.ended(g.to, o)
	}
	g.neverRan, l.out = o.NeverRan(), false
	if l.over = l.over || over || o == balance.Honoured; !l.over {
		l.next(now)
	}
	return &l.p.orders
}

func (l *asked) Left(float64) *balance.Orders {
	l.p.begin()
	l.over = true
	l.callOff()
	return &l.p.orders
}

func (l *asked) Wake(now float64) *balance.Orders {
	l.p.begin()
	if !l.over && now >= l.HardStop-plainEarly-1e-9 {
		l.giveUp()
	}
	return &l.p.orders
}

// farOff is a time that never comes.
var farOff = math.Inf(1)
