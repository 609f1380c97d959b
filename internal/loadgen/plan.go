// Package loadgen is the clients' side: what they ask and when, whether they try again, and an open loop that does so on
// sockets at the times intended, however late the answers are.
package loadgen

import (
	"math"
	"math/rand/v2"
	"sort"

	"lockloom/balance"
)

// Intent is one request that somebody wants answered, tried once or more.
type Intent struct {
	Number           int
	At               float64 // s since the start
	Tariff, Customer int     // Tenant -1: none
	Key              uint64  // 0: none
	Work             float64 // s of a core at speed 1
}

// Asked is what a class gets of all requests, and what they are like.
type Asked struct {
	Share  float64 // of all, in proportion to the others'
	Work   float64 // mean
	Spread float64 // its standard deviation over the mean; 0: all alike
	Keyed  float64 // part of the requests that have a key
}

// Phase changes the rate for a time.
type Phase struct {
	At, For float64
	Shape   Shape
	Times   float64 // the rate's factor
	Every   float64 // of Bursts: from one to the next
	Lasts   float64 // of Bursts: each
}

// Shape is how a phase changes the rate.
type Shape uint8

const (
	Steady   Shape = iota // Times all along
	Ramp                  // from 1 to Times, in a straight line
	Bursts                // Times for a moment, again and again
	Deadline              // rising ever faster to Times at its end, when nobody asks any more for as long again
)

// Mix is all that clients ask.
type Mix struct {
	Rate      float64 // requests a second
	For       float64 // s
	Phases    []Phase
	Tariffs   []Asked
	Customers []float64 // their shares
	Keys      int
	Skew      float64 // Zipf's exponent: 0 makes all keys alike
}

const steep = 5.0 // how much of a deadline's rise falls in its last fifth: e times the rate there

// Rate is the rate at a time.
func (m *Mix) RateAt(t float64) float64 {
	rate := m.Rate
	for _, p := range m.Phases {
		x := (t - p.At) / p.For
		switch {
		case x < 0:
		case p.Shape == Deadline && x >= 1 && x < 2:
			rate = 0
		case x >= 1:
		case p.Shape == Steady:
			rate *= p.Times
		case p.Shape == Ramp:
			rate *= 1 + (p.Times-1)*x
		case p.Shape == Bursts && math.Mod(t-p.At, p.Every) < p.Lasts:
			rate *= p.Times
		case p.Shape == Deadline:
			rate *= 1 + (p.Times-1)*math.Exp(steep*(x-1))
		}
	}
	return rate
}

// peak is a bound on the rate: the most that phases can make of it together, which is from the start of one of them on.
func (m *Mix) peak() float64 {
	most := 1.0
	for _, p := range m.Phases {
		times := 1.0
		for _, q := range m.Phases {
			if q.At <= p.At && p.At < q.At+q.For {
				times *= max(q.Times, 1)
			}
		}
		most = max(most, times)
	}
	return m.Rate * most
}

// Plan deals out a mix's requests in order of time, the same ones for the same seed.
type Plan struct {
	mix       Mix
	chance    *rand.Rand
	now       float64
	number    int
	peak      float64
	tariffs   []float64 // cumulated
	customers []float64
	keys      []float64
}

// NewPlan begins a plan.
func NewPlan(m Mix, seed uint64) *Plan {
	p := &Plan{mix: m, peak: m.peak(), chance: rand.New(rand.NewPCG(seed, 2))}
	for _, t := range m.Tariffs {
		p.tariffs = pile(p.tariffs, t.Share)
	}
	for _, c := range m.Customers {
		p.customers = pile(p.customers, c)
	}
	for i := range m.Keys {
		p.keys = pile(p.keys, math.Pow(float64(i+1), -m.Skew))
	}
	return p
}

func pile(sums []float64, x float64) []float64 {
	if n := len(sums); n > 0 {
		x += sums[n-1]
	}
	return append(sums, x)
}

func (p *Plan) draw(sums []float64) int {
	if len(sums) == 0 {
		return -1
	}
	return sort.SearchFloat64s(sums, p.chance.Float64()*sums[len(sums)-1])
}

// Next is the next request; false after the last.
func (p *Plan) Next() (Intent, bool) {
	for { // by thinning: the gaps are those of the highest rate, and what is too many is left out
		p.now += p.chance.ExpFloat64() / p.peak
		if !(p.now < p.mix.For) {
			return Intent{}, false
		}
		if rate := p.mix.RateAt(p.now); rate == p.peak || p.chance.Float64()*p.peak < rate {
			break
		}
	}
	in := Intent{Number: p.number, At: p.now, Tariff: p.draw(p.tariffs), Customer: p.draw(p.customers)}
	p.number++
	t := &p.mix.Tariffs[in.Tariff]
	in.Work = t.Work
	if t.Spread > 0 {
		v := math.Log(1 + t.Spread*t.Spread)
		in.Work *= math.Exp(math.Sqrt(v)*p.chance.NormFloat64() - v/2)
	}
	if t.Keyed > 0 && p.mix.Keys > 0 && p.chance.Float64() < t.Keyed {
		in.Key = uint64(p.draw(p.keys)) + 1
	}
	return in, true
}

// Source deals out requests in order of time: a Plan, or given ones.
type Source interface{ Next() (Intent, bool) }

// Given deals out requests that were written down.
func Given(list []Intent) Source { return &given{list} }

type given struct{ rest []Intent }

func (g *given) Next() (in Intent, ok bool) {
	if len(g.rest) == 0 {
		return in, false
	}
	in, g.rest = g.rest[0], g.rest[1:]
	return in, true
}

// Clients is how they take what they are told.
type Clients struct {
	Tries    int     // of one request, most
	Backoff  float64 // s before the second, twice that before the third
	Patience float64 // of the deadline that they wait
	Marked   bool    // they mark further tries
}

const (
	backoffLeast = 0.5 // of a back-off, which chance spreads up to 1.5 of it
	backoffMost  = 8.0 // times the first
)

// Again tells whether a client tries again after its try-th, from 1, and how much later. A dismissal may always be tried
// again, and no sooner than advised; of what failed only what may run twice.
func (c *Clients) Again(try int, kind balance.Idempotency, answer balance.Reply, advice float64, chance *rand.Rand) (float64, bool) {
	if try >= c.Tries || answer == balance.NoReply || answer == balance.Failed && kind != balance.Idempotent {
		return 0, false
	}
	after := c.Backoff * min(math.Exp2(float64(try-1)), backoffMost) * (backoffLeast + chance.Float64())
	return max(after, advice), true
}
