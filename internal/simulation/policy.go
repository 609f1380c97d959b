package simulation

import (
	"lockloom/balance"
)

// Decider is what decides at one proxy: the decision module, or a baseline to compare it with.
type Decider interface {
	EndpointsUpdated(now float64, full, first bool, list []balance.Endpoint) *balance.Actions
	RequestArrived(now float64, a balance.RequestInfo) (RequestHandle, *balance.Actions)
	TimerFired(now float64) *balance.Actions
}

// RequestHandle is a request that a Decider was given.
type RequestHandle interface {
	AttemptEnded(now float64, attempt int, o balance.Outcome, latency float64, over bool) *balance.Actions
	ClientDisconnected(now float64) *balance.Actions
	TimerFired(now float64) *balance.Actions
}

// Policy makes a decider.
type Policy func(d balance.Deployment, now float64) (Decider, error)

// Policies are those that can be asked for, each made anew for a run; all but lockloom and steered are plain baselines,
// kept for comparison only.
var Policies = map[string]func() Policy{
	"lockloom": func() Policy {
		return func(d balance.Deployment, now float64) (Decider, error) {
			b, err := balance.New(d, now)
			return module{b}, err
		}
	},
	"steered":     steered,
	"random":      func() Policy { return newBaseline(randomChoice) },
	"round-robin": func() Policy { return newBaseline(roundRobin) },
	"least":       func() Policy { return newBaseline(leastInFlight) },
}

// module is the decision module as a Decider.
type module struct{ *balance.Balancer }

func (m module) RequestArrived(now float64, a balance.RequestInfo) (RequestHandle, *balance.Actions) {
	return m.Balancer.RequestArrived(now, a)
}

// PolicyNames are those of Policies, in order.
func PolicyNames() []string { return sortedNames(Policies) }
