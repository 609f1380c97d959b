package assignment

import "math"

const (
	minSlowStartMargin  = 0.4  // fraction of what crashes a warming server; package balance uses the same margins
	maxSlowStartMargin  = 0.55 // the same: the load may have grown since it was reported
	slowStartDeviations = 3.5  // standard deviations of random arrivals that must fit above the mean
	minCapDecrease      = 0.05 // fraction of a cap; a smaller decrease waits for the next increase
)

// slowStartCaps is when and for what load the slow-start caps of a pool's servers were made.
type slowStartCaps struct {
	raisedAt float64
	load     float64 // requests in flight
}

// updateSlowStartCaps limits the fraction of all requests that each warming server receives, so that the subscribers
// together do not crash it. A lower cap applies at once, and a higher one, as the server warms up, every
// weightUpdateInterval. A sudden load is reported only after it arrived, so the load is taken as one request in flight
// for each server at least.
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

// slowStartLimit is the maximum fraction of all requests that a server can be sent; +Inf for one that cannot crash.
func (p *Pool) slowStartLimit(server *serverState) float64 {
	capacity := p.warmCapacity(server)
	if capacity >= 1 || p.settings.CrashFactor <= 0 {
		return math.Inf(1)
	}
	budget := p.settings.CrashFactor * capacity * max(server.Cores, 1)
	return p.slowStartMargin(budget) * budget / p.caps.load
}

// slowStartMargin is the fraction of a warming server's budget that may be used, so that random arrivals above the mean
// still fit during CrashDuration. Fewer requests deviate more.
func (p *Pool) slowStartMargin(budget float64) float64 {
	if p.load.unloadedTime == 0 || p.settings.CrashDuration == 0 {
		return minSlowStartMargin
	}
	deviation := slowStartDeviations * math.Sqrt(2*p.load.unloadedTime/(budget*p.settings.CrashDuration))
	margin := math.Pow((math.Sqrt(deviation*deviation+4)-deviation)/2, 2)
	return max(minSlowStartMargin, min(margin, maxSlowStartMargin))
}

// warmCapacity is the fraction of its capacity that a server has at least.
func (p *Pool) warmCapacity(server *serverState) float64 {
	if server.StartedAt == 0 || p.now >= server.StartedAt+p.settings.SlowStartDuration {
		return 1
	}
	fraction := p.settings.SlowStartFraction
	age := max(p.now-server.StartedAt, 0)
	return min(fraction+(1-fraction)*age/p.settings.SlowStartDuration, 1)
}
