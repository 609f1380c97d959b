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
	Class, Tenant int     // Tenant -1: none
	Key              uint64  // 0: none
	Work             float64 // s of a core at speed 1
}

// Asked is what a class gets of all requests, and what they are like.
type ClassLoad struct {
	Weight  float64 // of all, in proportion to the others'
	Work   float64 // mean
	WorkVariation float64 // its standard deviation over the mean; 0: all alike
	KeyedFraction  float64 // part of the requests that have a key
}

// Phase changes the rate for a time.
type Phase struct {
	At, Duration float64
	Shape   Shape
	Factor   float64 // the rate's factor
	BurstInterval   float64 // of Bursts: from one to the next
	BurstDuration   float64 // of Bursts: each
}

// Shape is how a phase changes the rate.
type Shape uint8

const (
	Steady   Shape = iota // Times all along
	Ramp                  // from 1 to Times, in a straight line
	Bursts                // Times for a moment, again and again
	DeadlineRush              // rising ever faster to Times at its end, when nobody asks any more for as long again
)

// Mix is all that clients ask.
type Workload struct {
	Rate      float64 // requests a second
	Duration       float64 // s
	Phases    []Phase
	Classes   []ClassLoad
	TenantWeights []float64 // their shares
	KeyCount      int
	ZipfExponent      float64 // Zipf's exponent: 0 makes all keys alike
}

const deadlineSteepness = 5.0 // how much of a deadline's rise falls in its last fifth: e times the rate there

// Rate is the rate at a time.
func (m *Workload) RateAt(t float64) float64 {
	rate := m.Rate
	for _, p := range m.Phases {
		x := (t - p.At) / p.Duration
		switch {
		case x < 0:
		case p.Shape == DeadlineRush && x >= 1 && x < 2:
			rate = 0
		case x >= 1:
		case p.Shape == Steady:
			rate *= p.Factor
		case p.Shape == Ramp:
			rate *= 1 + (p.Factor-1)*x
		case p.Shape == Bursts && math.Mod(t-p.At, p.BurstInterval) < p.BurstDuration:
			rate *= p.Factor
		case p.Shape == DeadlineRush:
			rate *= 1 + (p.Factor-1)*math.Exp(deadlineSteepness*(x-1))
		}
	}
	return rate
}

// peak is a bound on the rate: the most that phases can make of it together, which is from the start of one of them on.
func (m *Workload) maxRate() float64 {
	most := 1.0
	for _, p := range m.Phases {
		times := 1.0
		for _, q := range m.Phases {
			if q.At <= p.At && p.At < q.At+q.Duration {
				times *= max(q.Factor, 1)
			}
		}
		most = max(most, times)
	}
	return m.Rate * most
}

// Plan deals out a mix's requests in order of time, the same ones for the same seed.
type Plan struct {
	workload       Workload
	rand    *rand.Rand
	now       float64
	number    int
	maxRate      float64
	classSums   []float64 // cumulated
	tenantSums []float64
	keySums      []float64
}

// NewPlan begins a plan.
func NewPlan(m Workload, seed uint64) *Plan {
	p := &Plan{workload: m, maxRate: m.maxRate(), rand: rand.New(rand.NewPCG(seed, 2))}
	for _, t := range m.Classes {
		p.classSums = appendSum(p.classSums, t.Weight)
	}
	for _, c := range m.TenantWeights {
		p.tenantSums = appendSum(p.tenantSums, c)
	}
	for i := range m.KeyCount {
		p.keySums = appendSum(p.keySums, math.Pow(float64(i+1), -m.ZipfExponent))
	}
	return p
}

func appendSum(sums []float64, x float64) []float64 {
	if n := len(sums); n > 0 {
		x += sums[n-1]
	}
	return append(sums, x)
}

func (p *Plan) draw(sums []float64) int {
	if len(sums) == 0 {
		return -1
	}
	return sort.SearchFloat64s(sums, p.rand.Float64()*sums[len(sums)-1])
}

// Next is the next request; false after the last.
func (p *Plan) Next() (Intent, bool) {
	for { // by thinning: the gaps are those of the highest rate, and what is too many is left out
		p.now += p.rand.ExpFloat64() / p.maxRate
		if !(p.now < p.workload.Duration) {
			return Intent{}, false
		}
		if rate := p.workload.RateAt(p.now); rate == p.maxRate || p.rand.Float64()*p.maxRate < rate {
			break
		}
	}
	in := Intent{Number: p.number, At: p.now, Class: p.draw(p.classSums), Tenant: p.draw(p.tenantSums)}
	p.number++
	t := &p.workload.Classes[in.Class]
	in.Work = t.Work
	if t.WorkVariation > 0 {
		v := math.Log(1 + t.WorkVariation*t.WorkVariation)
		in.Work *= math.Exp(math.Sqrt(v)*p.rand.NormFloat64() - v/2)
	}
	if t.KeyedFraction > 0 && p.workload.KeyCount > 0 && p.rand.Float64() < t.KeyedFraction {
		in.Key = uint64(p.draw(p.keySums)) + 1
	}
	return in, true
}

// Source deals out requests in order of time: a Plan, or given ones.
type Source interface{ Next() (Intent, bool) }

// Given deals out requests that were written down.
func SourceOf(list []Intent) Source { return &intentList{list} }

type intentList struct{ rest []Intent }

func (g *intentList) Next() (in Intent, ok bool) {
	if len(g.rest) == 0 {
		return in, false
	}
	in, g.rest = g.rest[0], g.rest[1:]
	return in, true
}

// Clients is how they take what they are told.
type Clients struct {
	MaxRequests    int     // of one request, most
	Backoff  float64 // s before the second, twice that before the third
	Patience float64 // of the deadline that they wait
	MarksRetries   bool    // they mark further tries
}

const (
	minJitter = 0.5 // of a back-off, which chance spreads up to 1.5 of it
	maxBackoffFactor  = 8.0 // times the first
)

// Again tells whether a client tries again after its try-th, from 1, and how much later. A dismissal may always be tried
// again, and no sooner than advised; of what failed only what may run twice.
func (c *Clients) RetryDelay(try int, kind balance.Idempotency, answer balance.Reply, advice float64, chance *rand.Rand) (float64, bool) {
	if try >= c.MaxRequests || answer == balance.NoReply || answer == balance.Failed && kind != balance.Idempotent {
		return 0, false
	}
	after := c.Backoff * min(math.Exp2(float64(try-1)), maxBackoffFactor) * (minJitter + chance.Float64())
	return max(after, advice), true
}
