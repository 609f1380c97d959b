package balance

import "math"

const (
	minBudgetMargin      = 0.4  // of the budget, that flows at least
	maxBudgetMargin      = 0.55 // of the budget, that flows at most
	budgetDeviations     = 3.5  // standard deviations of what chance sends, to fit above the flow
	budgetWindowFraction = 0.5  // of a window's flow, that may be spent at once
)

// slowStartBudget is the work that this proxy may send to a server that is warming up.
type slowStartBudget struct {
	saved    float64 // s of work
	filledAt float64
}

// warmingUp reports whether a server started lately and is below its full capacity.
func (b *Balancer) warmingUp(s *server) bool {
	return s.StartedAt > 0 && b.now < s.StartedAt+b.deployment.SlowStartDuration
}

// takeSlowStartBudget takes a request's work from the budget of a server: this proxy's part of what overloads a server
// that is warming up, at the least capacity that it can have by now. An answer that waited little stands for the work;
// counted with its wait, a crowd at the warm servers would shut the others too. One core is taken for granted. The
// budget holds what flows until the server's turn; what it holds short of a request is staked by chance, since one
// request each from hundreds of proxies is a flood.
func (b *Balancer) takeSlowStartBudget(r *Request, s *server) bool {
	work := r.expectedWork()
	rate := b.slowStartRate(s, work)
	turn := max(b.deployment.CrashDuration*budgetWindowFraction, b.traffic.interval*b.selection.admitted)
	budget := &s.slowStart
	budget.saved, budget.filledAt = min(budget.saved+(b.now-budget.filledAt)*rate, rate*turn), b.now
	stake := min(budget.saved, work)
	budget.saved -= stake
	return b.random.Float64()*work < stake
}

// slowStartRate is the work that this proxy may send to a server, in seconds of work a second. The fewer requests fit
// into the budget of the whole fleet, the wider they spread by chance, and the more of it stays unused.
func (b *Balancer) slowStartRate(s *server, work float64) float64 {
	d := &b.deployment
	capacity := d.SlowStartFraction + (1-d.SlowStartFraction)*max(b.now-s.StartedAt, 0)/max(d.SlowStartDuration, 1e-9)
	budget := d.CrashFactor * capacity
	spread := budgetDeviations * math.Sqrt(2*work/max(budget*d.CrashDuration, 1e-9)) // of a flow of one whole budget
	margin := math.Pow((math.Sqrt(spread*spread+4)-spread)/2, 2)                     // a flow that makes one with its own
	return max(minBudgetMargin, min(margin, maxBudgetMargin)) * budget / float64(d.Proxies) * b.process.budgetShare
}
