package balance

import "math"

// Limits are in attempts in flight at one server, of all proxies together, unless noted otherwise.
const (
	initialLimit        = 2.0  // attempts at a server of unknown capacity: one running, one queued
	initialLimitPerCore = 3.0  // attempts, initial and minimum limit per core; see limitBounds for when it applies
	minLimit            = 1.0  // attempts; limits do not fall further, since no server may be excluded by its limit alone
	minBindingLimit     = 0.5  // attempts of one proxy; a lower limit acts only as part of the sum of all servers' limits
	limitGrowth         = 1.2  // attempts per second by which a limit grows, to be divided by the number of proxies plus 1
	initialLimitGrowth  = 4.8  // limitGrowth in a large fleet without gossip, until the limits have been cut a few times
	slowAnswerCut       = 0.9  // factor by which a slow answer multiplies the limit
	rejectionCut        = 0.7  // factor by which a rejection multiplies the limit
	gossipRejectionCut  = 0.95 // rejectionCut in a fleet that gossips, where many proxies count the same rejection
	busyShare           = 0.9  // share of the available capacity; with less in flight, limits do not bind or change
	slowObjectiveShare  = 0.35 // share of the latency objective; a slower answer was queued at the server
	slowBaseMultiple    = 2.5  // multiple of the base latency; a slower answer was queued at the server
	minSlowBaseMultiple = 2.2  // multiple of the base latency; in a fleet that gossips, a faster answer was not queued
	maxBurst            = 10.0 // attempts beyond the capacity that credit may allow; see concurrencyStats.credit
	burstCapacity       = 4.0  // attempts; the capacity at which only half of maxBurst is allowed
	reservedShare       = 0.3  // share of the capacity kept for requests above the mean priority, if servers report loads
	fullServerObjective = 0.55 // share of the latency objective that a request takes at a full server that reports loads
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
	inFlight    int     // attempts at all servers that are in flight and not released
	capacity    float64 // attempts at all admitted servers together, as of the last selection of a server
	utilization float64 // share of that capacity in use, from 0 to 1
	credit      float64 // unused capacity, in attempts times seconds; negative: more was used than the capacity
	growth      float64 // attempts per second by which limits grow, at least limitGrowth; each cut of a limit lowers it
}

// accrue adds the unused capacity of some seconds to the credit, up to the credit that maxCredit attempts of the median
// latency use.
func (c *concurrencyStats) accrue(seconds, medianLatency float64) {
	c.credit += (c.capacity - float64(c.inFlight)) * seconds
	c.credit = min(c.credit, c.maxCredit()*medianLatency)
}

// maxCredit is the number of attempts beyond the capacity that credit may pay for. It is larger at a small capacity,
// where arrivals are burstier.
func (c *concurrencyStats) maxCredit() float64 { return maxBurst / (1 + c.capacity/burstCapacity) }

// acquire counts an attempt as in flight again after release. To call either of them twice in a row changes nothing.
func (b *Balancer) acquire(a *attempt) {
	if a.released {
		a.released = false
		b.concurrency.inFlight++
		a.server.breaker.inFlight++
	}
}

// release stops counting an attempt as in flight: when the attempt ends, or as long as it takes no capacity of its
// server, for example while the request body is still being received.
func (b *Balancer) release(a *attempt) {
	if !a.released {
		a.released = true
		b.concurrency.inFlight--
		a.server.breaker.inFlight--
	}
}

// capacityOf is the number of attempts that a server may have in flight. If loads are reported, it is the number at
// which a median request takes fullServerObjective of its latency objective, else this proxy's limit there. The time by
// which this proxy's own overloaded core delays attempts is no load on the server, so delayFactor raises the limit.
func (b *Balancer) capacityOf(s *server) float64 {
	if !b.loadsKnown() {
		return s.limit.value * b.trafficMultiple() * b.process.delayFactor
	}
	return s.model.coresOrOne() * max(fullServerObjective*b.loadReports.latencyHeadroom/s.scores.relativeLatency, 1)
}

// availableCapacity is the number of attempts in flight below which a request of this priority may be sent: the
// capacity, plus the credit spent over a median latency. A request below the mean priority has to leave a reserve. One
// above it may exceed the capacity: the queue is usually too short for its order alone to favor that request.
func (b *Balancer) availableCapacity(priority float64) float64 {
	mean, c := b.traffic.priority, &b.concurrency
	reserve := (mean - priority) / max(mean+priority, 1e-9)
	if b.loadsKnown() {
		return c.capacity * (1 - reservedShare*reserve)
	}
	return c.capacity + c.credit/b.classes[0].medianLatency() - c.maxCredit()*reserve
}

// limitBounds returns a server's initial and minimum limit. In a fleet that gossips, if the endpoint list gives the
// cores, both are the attempts that the cores serve without queueing: a server that rejects attempts before it becomes
// slow would be left idle by a limit learned from its answers alone.
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
	inFlight := float64(b.concurrency.inFlight + 1) // includes the attempt that has just ended
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

// scaleLimits changes the limits after an answer or a rejection of server s. If many results of s are known, the limit
// of s is multiplied by factor. The fewer are known, the less of this change applies, and the more the limits of all
// servers are multiplied by others instead. A limit below minBindingLimit acts only as part of the sum of all limits,
// so in a fleet that gossips, the lower it is, the more of its change is spread over all servers.
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
