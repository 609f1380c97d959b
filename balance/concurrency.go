package balance

import "math"

// Limits are in attempts in flight at one server, of all proxies together, unless noted otherwise.
const (
	initialLimit        = 2.0  // attempts at a server of unknown capacity: one running, one queued
	initialLimitPerCore = 3.0  // attempts, also the minimum, in a fleet that gossips, if the endpoint list gives the cores
	minLimit            = 1.0  // attempts; no server is excluded by its limit alone
	minBindingLimit     = 0.5  // attempts of one proxy; lower limits hold back attempts only by their sum over all servers
	limitGrowth         = 1.2  // attempts per second at a server, divided by the number of proxies plus one
	initialLimitGrowth  = 4.8  // the same, in a large fleet without gossip, until the limits were cut a few times
	slowAnswerCut       = 0.9  // factor on the limit after a slow answer
	rejectionCut        = 0.7  // factor on the limit after a rejection
	gossipRejectionCut  = 0.95 // the same in a fleet that gossips, where many proxies count the same rejection
	busyShare           = 0.9  // of the available capacity; with less in flight the limits do not bind
	slowObjectiveShare  = 0.35 // of the latency objective; a slower answer was queued at the server
	slowBaseMultiple    = 2.5  // of the base latency; a slower answer was queued at the server
	minSlowBaseMultiple = 2.2  // of the base latency; in a fleet that gossips, a faster answer was not queued
	maxBurst            = 10.0 // attempts beyond the capacity that unused capacity may pay for
	burstCapacity       = 4.0  // attempts; the capacity at which maxBurst is halved
	reservedShare       = 0.3  // of the reported capacity, for requests above the mean priority
	fullServerObjective = 0.55 // of the latency objective, taken by a request at a full server that reports its load
)

// concurrencyLimit is the maximum number of attempts of this proxy in flight at a server. A limit below one is a mean
// over time.
type concurrencyLimit struct {
	value, minimum float64
}

// multiply multiplies the limit by a factor, but does not lower it below its minimum.
func (l *concurrencyLimit) multiply(factor float64) { l.value = max(l.minimum, l.value*factor) }

// concurrencyStats describes the attempts in flight at all servers and their capacity.
type concurrencyStats struct {
	inFlight    int     // attempts
	capacity    float64 // attempts, at all admitted servers, as of the last draw
	utilization float64 // of that capacity, from 0 to 1
	credit      float64 // unused capacity, in attempts times seconds; negative: overused
	growth      float64 // of limits, attempts per second; lowered by each cut; no effect below limitGrowth
}

// accrue adds the capacity that was unused for some seconds to the credit, up to maxCredit over a median latency.
func (c *concurrencyStats) accrue(seconds, medianLatency float64) {
	c.credit += (c.capacity - float64(c.inFlight)) * seconds
	c.credit = min(c.credit, c.maxCredit()*medianLatency)
}

// maxCredit is the number of attempts beyond the capacity that credit may pay for. It is larger at a small capacity,
// where arrivals are burstier.
func (c *concurrencyStats) maxCredit() float64 { return maxBurst / (1 + c.capacity/burstCapacity) }

// acquire counts an attempt as in flight again after release. Neither counts an attempt twice.
func (b *Balancer) acquire(a *attempt) {
	if a.released {
		a.released = false
		b.concurrency.inFlight++
		a.server.breaker.inFlight++
	}
}

// release stops counting an attempt as in flight: when it ends, or while it takes no capacity of its server.
func (b *Balancer) release(a *attempt) {
	if !a.released {
		a.released = true
		b.concurrency.inFlight--
		a.server.breaker.inFlight--
	}
}

// capacityOf is the number of attempts that a server may have in flight. If loads are reported, it is the number at
// which a median request takes fullServerObjective of its latency objective, else this proxy's limit there. Attempts
// that this proxy's own overloaded core delays are no load of the server, so delayFactor raises the limit.
func (b *Balancer) capacityOf(s *server) float64 {
	if !b.loadsKnown() {
		return s.limit.value * b.trafficMultiple() * b.process.delayFactor
	}
	return s.model.coresOrOne() * max(fullServerObjective*b.loadReports.latencyHeadroom/s.scores.relativeLatency, 1)
}

// availableCapacity is the number of attempts in flight below which a request of this priority may be sent: the
// capacity, plus the credit spent over a median latency. A request below the mean priority has to leave a reserve. One
// above it may exceed the capacity, since the queue is mostly too short for its order to favor that request.
func (b *Balancer) availableCapacity(priority float64) float64 {
	mean, c := b.traffic.priority, &b.concurrency
	reserve := (mean - priority) / max(mean+priority, 1e-9)
	if b.loadsKnown() {
		return c.capacity * (1 - reservedShare*reserve)
	}
	return c.capacity + c.credit/b.classes[0].medianLatency() - c.maxCredit()*reserve
}

// limitBounds returns a server's initial and minimum limit. In a fleet that gossips, if the endpoint list gives the
// cores, both are the attempts that the cores serve without queueing: a limit learned from answers alone would leave a
// server idle that rejects before it becomes slow.
func (b *Balancer) limitBounds(cores float64) (initial, minimum float64) {
	initial, minimum = initialLimit, minLimit
	if b.deployment.Gossip && !b.deployment.HealthChecks && cores > 0 {
		initial = max(initialLimit, initialLimitPerCore*cores)
		minimum = initial
	}
	return initial / float64(b.deployment.Proxies), minimum / float64(b.deployment.Proxies)
}

// learnLimit adjusts the limits to the latency of an answer, but only while most of the available capacity is in use.
// At low load the latency does not depend on the limits, so limits adjusted then would be wrong once the load rises.
func (b *Balancer) learnLimit(r *Request, s *server, latency float64) {
	inFlight := float64(b.concurrency.inFlight + 1) // with the attempt that has ended
	if b.loadsKnown() || inFlight < busyShare*b.availableCapacity(b.traffic.priority) {
		return
	}
	growth := max(b.concurrency.growth, limitGrowth)
	increase := 1 + growth*latency/float64(1+b.deployment.Proxies)/s.limit.value
	switch {
	case latency > r.latencyObjective():
		b.scaleLimits(s, slowAnswerCut, slowAnswerCut)
	case b.queuedAtServer(r, latency):
		b.scaleLimits(s, slowAnswerCut, increase)
	case float64(s.breaker.inFlight)+2 > s.limit.value:
		b.scaleLimits(s, increase, increase)
	}
}

// queuedAtServer reports whether an answer took so long that its attempt must have been queued at the server.
func (b *Balancer) queuedAtServer(r *Request, latency float64) bool {
	unloaded := r.class.baseLatency * max(r.relativeWork, 1)
	return latency > min(slowObjectiveShare*r.latencyObjective(), slowBaseMultiple*unloaded) &&
		(!b.deployment.Gossip || latency > minSlowBaseMultiple*unloaded)
}

// scaleLimits multiplies the limit of a server by a factor. The fewer results are known of this server, the more of the
// change applies to all servers instead, by the factor others. A limit below minBindingLimit holds back attempts only
// by its sum with the other limits, so in a fleet that gossips that part of its change is spread over all servers.
func (b *Balancer) scaleLimits(s *server, factor, others float64) {
	ownShare := 1 - math.Pow(1-s.scores.general[ownEstimate].confidence, 2) //nolint:staticcheck // x*x may round otherwise
	ownExponent := ownShare * min(s.limit.value/minBindingLimit, 1)
	shared := math.Pow(others, 1-ownShare)
	b.concurrency.growth *= min(factor, 1)
	if b.deployment.Gossip {
		shared *= math.Pow(factor, (ownShare-ownExponent)/b.selection.admitted)
	}
	for _, other := range b.servers {
		switch other {
		case nil:
		case s:
			other.limit.multiply(shared * math.Pow(factor, ownExponent))
		default:
			other.limit.multiply(shared)
		}
	}
}
