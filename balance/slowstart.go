package balance

import "math"

const (
	minBudgetShare       = 0.4  // the minimum mean rate at which the fleet sends work, as a share of the budget
	maxBudgetShare       = 0.55 // the maximum mean rate at which the fleet sends work, as a share of the budget
	budgetDeviations     = 3.5  // standard deviations of the work sent that have to fit between the mean and the budget
	budgetWindowFraction = 0.5  // minimum time in which a slowStartBudget fills, as a share of Deployment.CrashDuration
)

// slowStartBudget is a token bucket for the work that this proxy may send to a server that is warming up.
type slowStartBudget struct {
	tokens     float64 // s of work that may be sent to the server
	refilledAt float64 // time of the last refill
}

// warmingUp reports whether a server started less than SlowStartDuration ago, so that it is below its full capacity.
func (b *Balancer) warmingUp(s *server) bool {
	return s.StartedAt > 0 && b.now < s.StartedAt+b.deployment.SlowStartDuration
}

// takeSlowStartBudget reports whether a request may be sent to a server that is warming up, and takes the request's
// work from the server's budget. The budget is this proxy's part of the work that would overload a server of one core,
// at the least capacity that the server can have by now. The work is estimated from latencies without queueing: if
// queueing counted, overload at the other servers would exclude those that are warming up. The bucket can hold at least
// the tokens of the mean time between two requests to the same server. If the tokens are less than the request's work,
// all are taken and the request is admitted with a probability of tokens divided by work: if each proxy always sent one
// request, hundreds of proxies would overload the server.
func (b *Balancer) takeSlowStartBudget(r *Request, s *server) bool {
	work := r.expectedWork()
	rate := b.slowStartRate(s, work)
	fillTime := max(b.deployment.CrashDuration*budgetWindowFraction, b.traffic.interval*b.selection.admitted)
	budget := &s.slowStart
	budget.tokens, budget.refilledAt = min(budget.tokens+(b.now-budget.refilledAt)*rate, rate*fillTime), b.now
	taken := min(budget.tokens, work)
	budget.tokens -= taken
	return b.random.Float64()*work < taken
}

// slowStartRate is the work that this proxy may send to a server on average, in seconds of work per second. The fewer
// requests fit into the budget of the whole fleet, the more the work sent varies, and the smaller is the share of the
// budget that the mean of the work sent may take.
func (b *Balancer) slowStartRate(s *server, work float64) float64 {
	d := &b.deployment
	capacity := d.SlowStartFraction + (1-d.SlowStartFraction)*max(b.now-s.StartedAt, 0)/max(d.SlowStartDuration, 1e-9)
	budget := d.CrashFactor * capacity
	// deviation is budgetDeviations standard deviations of the work sent, relative to the budget, if its mean is the whole
	// budget. If the mean is only a share of the budget, this is deviation*sqrt(share). The share solves
	// share + deviation*sqrt(share) = 1.
	deviation := budgetDeviations * math.Sqrt(2*work/max(budget*d.CrashDuration, 1e-9))
	share := math.Pow((math.Sqrt(deviation*deviation+4)-deviation)/2, 2)
	return max(minBudgetShare, min(share, maxBudgetShare)) * budget / float64(d.Proxies) * b.process.budgetShare
}
