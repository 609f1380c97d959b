package balance

import "math"

const (
	minBudgetShare       = 0.4  // of the budget: the minimum mean rate of the fleet
	maxBudgetShare       = 0.55 // of the budget: the maximum mean rate of the fleet
	budgetDeviations     = 3.5  // standard deviations of the work sent that have to fit between the mean and the budget
	budgetWindowFraction = 0.5  // of Deployment.CrashDuration, over which a token bucket fills at least
)

// slowStartBudget is a token bucket for the work that this proxy may send to a server that is warming up.
type slowStartBudget struct {
	tokens     float64 // s of work
	refilledAt float64
}

// warmingUp reports whether a server started within SlowStartDuration, so that it is below its full capacity.
func (b *Balancer) warmingUp(s *server) bool {
	return s.StartedAt > 0 && b.now < s.StartedAt+b.deployment.SlowStartDuration
}

// takeSlowStartBudget reports whether a request may be sent to a server that is warming up, and takes its work from the
// server's budget. The budget is this proxy's part of the work that overloads a server of one core at the least
// capacity that it can have by now. The work is estimated by latencies without queueing: with it, overload at the warm
// servers would exclude those that are warming up. The bucket holds the tokens of the time between two sends to the
// same server. If they do not pay for the whole request, they are all taken and it is admitted at random, with a
// probability of tokens over work: if each proxy always sent one request, hundreds of proxies would overload the
// server.
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
// requests fit into the budget of the whole fleet, the more the work sent varies, and the lower is the share of the
// budget that the mean may take.
func (b *Balancer) slowStartRate(s *server, work float64) float64 {
	d := &b.deployment
	capacity := d.SlowStartFraction + (1-d.SlowStartFraction)*max(b.now-s.StartedAt, 0)/max(d.SlowStartDuration, 1e-9)
	budget := d.CrashFactor * capacity
	// deviation is that of a mean of the whole budget; a mean of share varies by deviation*sqrt(share). The share solves
	// share + deviation*sqrt(share) = 1.
	deviation := budgetDeviations * math.Sqrt(2*work/max(budget*d.CrashDuration, 1e-9))
	share := math.Pow((math.Sqrt(deviation*deviation+4)-deviation)/2, 2)
	return max(minBudgetShare, min(share, maxBudgetShare)) * budget / float64(d.Proxies) * b.process.budgetShare
}
