// Package loadgen generates the load of a simulation's clients: a workload in the form of a plan of intents, the
// clients' retries, and an open-loop driver, which sends requests on sockets at the planned times, however late the
// responses are.
package loadgen

import (
	"math"
	"math/rand/v2"
	"sort"

	"lockloom/balance"
)

// Intent is an operation that a client wants to succeed, with one request or, with retries, several.
type Intent struct {
	Number        int
	At            float64 // seconds since the start of the workload
	Class, Tenant int     // Tenant -1: none
	Key           uint64  // affinity key; 0: none
	Work          float64 // in seconds of a core at speed 1
}

// ClassLoad is the part of a workload that belongs to one class.
type ClassLoad struct {
	Weight        float64 // how frequent the class's intents are, relative to the other classes
	Work          float64 // mean work of an intent, in seconds of a core at speed 1
	WorkVariation float64 // coefficient of variation (standard deviation over mean) of the work; 0: constant work
	KeyedFraction float64 // fraction of the class's intents that have an affinity key
}

// Phase changes the rate of intents during a time interval. Times and durations are in seconds.
type Phase struct {
	At, Duration  float64
	Shape         Shape
	Factor        float64 // multiplier of the rate; Shape defines when it applies
	BurstInterval float64 // for Bursts: seconds from the start of one burst to the start of the next
	BurstDuration float64 // for Bursts: duration of each burst in seconds
}

// Shape is how a phase changes the rate.
type Shape uint8

// The shapes of phases.
const (
	Steady       Shape = iota // the rate is multiplied by Factor during the whole phase
	Ramp                      // the multiplier changes linearly from 1 to Factor
	Bursts                    // the rate is multiplied by Factor in each burst, and unchanged between bursts
	DeadlineRush              // the multiplier rises exponentially to Factor; then the rate is 0 for another Duration
)

// Workload describes the load from all clients. Its times are in seconds since its start.
type Workload struct {
	Rate          float64 // intents per second while no phase changes the rate
	Duration      float64 // duration of the whole workload in seconds
	Phases        []Phase
	Classes       []ClassLoad
	TenantWeights []float64 // how frequent each tenant's intents are, relative to the other tenants
	KeyCount      int       // number of different affinity keys
	ZipfExponent  float64   // exponent of the Zipf distribution of the affinity keys; 0: all are equally frequent
}

const deadlineSteepness = 5.0 // the rate of a DeadlineRush grows by a factor of e in 1/5 of its duration

// RateAt returns the rate, in intents per second, at t seconds after the start.
func (w *Workload) RateAt(t float64) float64 {
	rate := w.Rate
	for i := range w.Phases {
		rate *= w.Phases[i].factorAt(t)
	}
	return rate
}

// factorAt returns the factor by which the phase multiplies the rate at t seconds after the start of the workload,
// or 1 if it does not change the rate then.
func (p *Phase) factorAt(t float64) float64 {
	x := (t - p.At) / p.Duration
	switch {
	case x < 0:
		return 1
	case p.Shape == DeadlineRush && x >= 1 && x < 2:
		return 0
	case x >= 1:
		return 1
	case p.Shape == Steady:
		return p.Factor
	case p.Shape == Ramp:
		return 1 + (p.Factor-1)*x
	case p.Shape == Bursts && math.Mod(t-p.At, p.BurstInterval) < p.BurstDuration:
		return p.Factor
	case p.Shape == DeadlineRush:
		return 1 + (p.Factor-1)*math.Exp(deadlineSteepness*(x-1))
	}
	return 1
}

// maxRate returns an upper bound of the rate. The product of the factors of concurrent phases is largest at the start
// of one of them.
func (w *Workload) maxRate() float64 {
	maxFactor := 1.0
	for _, start := range w.Phases {
		factor := 1.0
		for _, p := range w.Phases {
			if p.At <= start.At && start.At < p.At+p.Duration {
				factor *= max(p.Factor, 1)
			}
		}
		maxFactor = max(maxFactor, factor)
	}
	return w.Rate * maxFactor
}

// Plan draws the intents of a workload in order of time. The same seed draws the same intents.
type Plan struct {
	workload   Workload
	rand       *rand.Rand
	now        float64
	number     int
	maxRate    float64
	classSums  []float64 // cumulative weights of the classes
	tenantSums []float64 // cumulative weights of the tenants
	keySums    []float64 // cumulative weights of the keys
}

// NewPlan returns the plan of a workload, before its first intent.
func NewPlan(w Workload, seed uint64) *Plan {
	p := &Plan{workload: w, maxRate: w.maxRate(), rand: rand.New(rand.NewPCG(seed, 2))}
	for _, class := range w.Classes {
		p.classSums = appendSum(p.classSums, class.Weight)
	}
	for _, weight := range w.TenantWeights {
		p.tenantSums = appendSum(p.tenantSums, weight)
	}
	for i := range w.KeyCount {
		p.keySums = appendSum(p.keySums, math.Pow(float64(i+1), -w.ZipfExponent))
	}
	return p
}

// appendSum appends a weight to a list of cumulative weights.
func appendSum(sums []float64, weight float64) []float64 {
	if n := len(sums); n > 0 {
		weight += sums[n-1]
	}
	return append(sums, weight)
}

// draw returns an index drawn in proportion to its weight, from cumulative weights; -1 if there are none.
func (p *Plan) draw(sums []float64) int {
	if len(sums) == 0 {
		return -1
	}
	return sort.SearchFloat64s(sums, p.rand.Float64()*sums[len(sums)-1])
}

// Next returns the next intent, or false after the last one.
func (p *Plan) Next() (Intent, bool) {
	if !p.advance() {
		return Intent{}, false
	}
	intent := Intent{Number: p.number, At: p.now, Class: p.draw(p.classSums), Tenant: p.draw(p.tenantSums)}
	p.number++
	class := &p.workload.Classes[intent.Class]
	intent.Work = class.Work
	if class.WorkVariation > 0 {
		intent.Work *= p.logNormal(class.WorkVariation)
	}
	if class.KeyedFraction > 0 && p.workload.KeyCount > 0 && p.rand.Float64() < class.KeyedFraction {
		intent.Key = uint64(p.draw(p.keySums)) + 1
	}
	return intent, true
}

// advance moves on to the time of the next intent, and reports false past the end. It draws from a Poisson process at
// maxRate and keeps each time with a probability proportional to the rate then (thinning).
func (p *Plan) advance() bool {
	for {
		p.now += p.rand.ExpFloat64() / p.maxRate
		if !(p.now < p.workload.Duration) {
			return false
		}
		if rate := p.workload.RateAt(p.now); rate == p.maxRate || p.rand.Float64()*p.maxRate < rate {
			return true
		}
	}
}

// logNormal draws a log-normal factor with mean 1 and a standard deviation of variation.
func (p *Plan) logNormal(variation float64) float64 {
	v := math.Log(1 + variation*variation)
	return math.Exp(math.Sqrt(v)*p.rand.NormFloat64() - v/2)
}

// Source returns intents in order of time: a Plan, or a recorded list.
type Source interface{ Next() (Intent, bool) }

// NewListSource returns a Source of the intents in a list.
func NewListSource(list []Intent) Source { return &intentList{list} }

type intentList struct{ rest []Intent }

func (l *intentList) Next() (Intent, bool) {
	if len(l.rest) == 0 {
		return Intent{}, false
	}
	next := l.rest[0]
	l.rest = l.rest[1:]
	return next, true
}

// ClientPolicy describes how clients retry and how long they wait.
type ClientPolicy struct {
	MaxRequests int // maximum number of requests for one intent, including the first
	// Backoff is the seconds before the first retry; it is doubled for each further one, up to maxBackoffFactor * Backoff.
	Backoff         float64
	AbandonFraction float64 // fraction of a request's deadline after which the client abandons the request
	MarksRetries    bool    // retries are sent with the header field X-Second-Try
}

const (
	minJitter        = 0.5 // a backoff is multiplied by a random factor from minJitter to minJitter + 1
	maxBackoffFactor = 8.0 // maximum backoff, as a multiple of the first one
)

// RetryDelay reports whether a client retries after its n-th request, counted from 1, and after how many seconds. A
// rejected request may always be retried, though not before retryAfter seconds; a failed one only if the class is
// idempotent.
func (c *ClientPolicy) RetryDelay(
	n int, idempotency balance.Idempotency, reply balance.Reply, retryAfter float64, random *rand.Rand,
) (float64, bool) {
	if n >= c.MaxRequests || reply == balance.NoReply {
		return 0, false
	}
	if reply == balance.Failed && idempotency != balance.Idempotent {
		return 0, false
	}
	delay := c.Backoff * min(math.Exp2(float64(n-1)), maxBackoffFactor) * (minJitter + random.Float64())
	return max(delay, retryAfter), true
}
