package balance

import "math"

// Limits count the attempts of all proxies together at a server, unless noted.
const (
	initialLimit        = 2.0  // attempts at a server of which nothing is known: one at work, one waiting
	initialLimitPerCore = 3.0  // attempts, and the minimum, where a fleet gossips and the endpoint list tells the cores
	minLimit            = 1.0  // attempts; a server is never shut by its limit alone
	minBindingLimit     = 0.5  // attempts of one proxy; a lower limit binds only in the sum of all servers
	limitGrowth         = 1.2  // attempts a second at a server, over the number of proxies and one
	initialLimitGrowth  = 4.8  // the same at first in a fleet without gossip, until a few cuts
	slowAnswerCut       = 0.9  // factor on a limit after a slow answer
	rejectionCut        = 0.7  // factor after a rejection
	gossipRejectionCut  = 0.95 // the same where peers tell of rejections, since many count the same one
	busyShare           = 0.9  // of the available capacity; with less in flight the limits do not bind
	slowObjectiveShare  = 0.35 // of the latency objective; a slower answer had to wait
	slowBaseMultiple    = 2.5  // of the base latency; a slower answer had to wait
	minSlowBaseMultiple = 2.2  // of the base latency; a faster answer did not wait, in a fleet that gossips
	maxBurst            = 10.0 // attempts past the capacity that may be saved up
	burstCapacity       = 4.0  // attempts; a capacity of so many halves maxBurst
	reservedShare       = 0.3  // of the reported capacity, for requests of more than the usual priority
	fullServerObjective = 0.55 // of the latency objective that a request may take at a full server that reports its load
)

// concurrencyLimit is how many attempts of this proxy a server can have at once. Below one, only some of the time.
type concurrencyLimit struct {
	value, minimum float64
}

// multiply changes the limit by a factor, but not below its minimum.
func (l *concurrencyLimit) multiply(factor float64) { l.value = max(l.minimum, l.value*factor) }

// concurrencyStats are the attempts in flight and the capacity of all servers together.
type concurrencyStats struct {
	inFlight    int     // attempts
	capacity    float64 // attempts at all admitted servers, as of the last draw
	utilization float64 // of that capacity, from 0 to 1
	credit      float64 // attempts times seconds that were left unused
	growth      float64 // of limits, attempts a second, while over limitGrowth: less with each cut
}

// accrue saves up the capacity that was unused for a time, as far as it may be spent at once.
func (c *concurrencyStats) accrue(seconds, medianLatency float64) {
	c.credit += (c.capacity - float64(c.inFlight)) * seconds
	c.credit = min(c.credit, c.maxCredit()*medianLatency)
}

// maxCredit is how many attempts past the capacity may be saved up: what comes to a small capacity comes in bursts.
func (c *concurrencyStats) maxCredit() float64 { return maxBurst / (1 + c.capacity/burstCapacity) }

// acquire and release count an attempt in flight, each once: it is released when it ends, or when it is overdue.
func (b *Balancer) acquire(a *attempt) {
	if a.released {
		a.released = false
		b.concurrency.inFlight++
		a.server.breaker.inFlight++
	}
}

func (b *Balancer) release(a *attempt) {
	if !a.released {
		a.released = true
		b.concurrency.inFlight--
		a.server.breaker.inFlight--
	}
}

// capacityOf is how many attempts a server is given: where loads are reported, as many as leave a usual request
// fullServerObjective of its latency objective, else the limit of this proxy there. What waits for this proxy's own
// core is no load of the server.
func (b *Balancer) capacityOf(s *server) float64 {
	if !b.loadsKnown() {
		return s.limit.value * b.trafficMultiple() * b.process.attemptStretch
	}
	return s.model.coresOrOne() * max(fullServerObjective*b.loadReports.latencyHeadroom/s.scores.relativeLatency, 1)
}

// availableCapacity is what may be in flight for a request of this priority: the capacity and what was saved up below
// it, spent over the usual latency. A request of less than the usual priority leaves some; one of more may run into
// debt, since few ever wait to choose from.
func (b *Balancer) availableCapacity(priority float64) float64 {
	usual, c := b.traffic.priority, &b.concurrency
	reserve := (usual - priority) / max(usual+priority, 1e-9)
	if b.loadsKnown() {
		return c.capacity * (1 - reservedShare*reserve)
	}
	return c.capacity + c.credit/b.classes[0].medianLatency() - c.maxCredit()*reserve
}

// limitBounds are a server's initial limit and its minimum. In a fleet that gossips, where the list tells the cores,
// both are what the cores take without waiting: by its own answers, a server that rejects before it is slow would be
// left idle.
func (b *Balancer) limitBounds(cores float64) (initial, least float64) {
	initial, least = initialLimit, minLimit
	if b.deployment.Gossip && !b.deployment.HealthChecks && cores > 0 {
		initial = max(initialLimit, initialLimitPerCore*cores)
		least = initial
	}
	return initial / float64(b.deployment.Proxies), least / float64(b.deployment.Proxies)
}

// learnLimit moves the limits by what an answer took, while they bind: a limit that moves while it does not bind is
// wrong when it does.
func (b *Balancer) learnLimit(r *Request, s *server, latency float64) {
	withEnded := float64(b.concurrency.inFlight + 1)
	if b.loadsKnown() || withEnded < busyShare*b.availableCapacity(b.traffic.priority) {
		return
	}
	growth := max(b.concurrency.growth, limitGrowth)
	grow := 1 + growth*latency/float64(1+b.deployment.Proxies)/s.limit.value
	switch {
	case latency > r.latencyObjective():
		b.moveLimits(s, slowAnswerCut, slowAnswerCut)
	case b.waited(r, latency):
		b.moveLimits(s, slowAnswerCut, grow)
	case float64(s.breaker.inFlight)+2 > s.limit.value:
		b.moveLimits(s, grow, grow)
	}
}

// waited reports whether an answer took so long that its attempt had to wait at the server.
func (b *Balancer) waited(r *Request, latency float64) bool {
	usual := r.class.baseLatency * max(r.relativeWork, 1)
	return latency > min(slowObjectiveShare*r.latencyObjective(), slowBaseMultiple*usual) &&
		(!b.deployment.Gossip || latency > minSlowBaseMultiple*usual)
}

// moveLimits changes a server's limit by a factor, and the limits of the others by another as far as too little is
// heard from the server to learn it alone. A limit too small to hold back an attempt moves with the others only, since
// it binds by their sum.
func (b *Balancer) moveLimits(s *server, factor, others float64) {
	alone := 1 - math.Pow(1-s.scores.general[ownEstimate].confidence, 2) //nolint:staticcheck // x*x may round otherwise
	own := alone * min(s.limit.value/minBindingLimit, 1)
	shared := math.Pow(others, 1-alone)
	b.concurrency.growth *= min(factor, 1)
	if b.deployment.Gossip {
		shared *= math.Pow(factor, (alone-own)/b.selection.admitted)
	}
	for _, other := range b.servers {
		switch other {
		case nil:
		case s:
			other.limit.multiply(shared * math.Pow(factor, own))
		default:
			other.limit.multiply(shared)
		}
	}
}
