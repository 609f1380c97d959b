package assignment

import "math"

const (
	// minSlowStartMargin and maxSlowStartMargin bound the load that a server in slow start may be assigned, as a fraction
	// of the load that crashes it. The maximum is low because the load may have grown since it was reported. Package
	// balance uses the same margins.
	minSlowStartMargin  = 0.4
	maxSlowStartMargin  = 0.55
	slowStartDeviations = 3.5  // random arrivals this many standard deviations above the mean must not crash a server
	minCapDecrease      = 0.05 // fraction of a cap; smaller decreases are deferred to the next time caps are raised
)

// slowStartCaps records when the slow-start caps of a pool were last raised, and the load that they are based on.
type slowStartCaps struct {
	raisedAt float64
	load     float64 // requests in flight
}

// updateSlowStartCaps caps the fraction of the pool's requests that each server in slow start receives, so that the
// subscribers together do not crash it. Caps are lowered at once, and raised every weightUpdateInterval while a server
// warms up. The load is assumed to be at least one request in flight per server, since a sudden load is reported only
// after it has arrived.
func (p *Pool) updateSlowStartCaps() (raised, lowered bool) {
	p.caps.load = max(p.load.value, float64(len(p.servers)))
	mayRaise := p.now >= p.caps.raisedAt+weightUpdateInterval
	for _, server := range p.servers {
		limit := p.slowStartLimit(server)
		switch {
		case limit < server.slowStartCap*(1-minCapDecrease):
			server.slowStartCap, lowered = limit, true
		case mayRaise && server.slowStartCap != limit:
			server.slowStartCap, raised = limit, true
		}
	}
	if raised {
		p.caps.raisedAt = p.now
	}
	return raised, lowered
}

// slowStartLimit returns the maximum fraction of the pool's requests that a server may receive; +Inf if it cannot
// crash.
func (p *Pool) slowStartLimit(server *serverState) float64 {
	capacity := p.warmCapacity(server)
	if capacity >= 1 || p.settings.CrashFactor <= 0 {
		return math.Inf(1)
	}
	budget := p.settings.CrashFactor * capacity * max(server.Cores, 1)
	return p.slowStartMargin(budget) * budget / p.caps.load
}

// slowStartMargin returns the fraction of the budget of a server in slow start that may be used. The rest is for random
// arrivals above the mean during CrashDuration, whose relative deviation is greater the smaller the budget is.
func (p *Pool) slowStartMargin(budget float64) float64 {
	if p.load.unloadedTime == 0 || p.settings.CrashDuration == 0 {
		return minSlowStartMargin
	}
	deviation := slowStartDeviations * math.Sqrt(2*p.load.unloadedTime/(budget*p.settings.CrashDuration))
	margin := math.Pow((math.Sqrt(deviation*deviation+4)-deviation)/2, 2)
	return max(minSlowStartMargin, min(margin, maxSlowStartMargin))
}

// warmCapacity returns the minimum fraction of its full capacity that a server has now.
func (p *Pool) warmCapacity(server *serverState) float64 {
	if server.StartedAt == 0 || p.now >= server.StartedAt+p.settings.SlowStartDuration {
		return 1
	}
	fraction := p.settings.SlowStartFraction
	age := max(p.now-server.StartedAt, 0)
	return min(fraction+(1-fraction)*age/p.settings.SlowStartDuration, 1)
}
