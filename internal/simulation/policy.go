package simulation

import (
	"lockloom/balance"
)

// Decider makes the load-balancing decisions of one proxy for one pool. It is the decision module, balance.Balancer,
// or a baseline to compare with it. Its methods, and those of RequestHandle, return actions that are valid until the
// next call.
type Decider interface {
	EndpointsUpdated(now float64, full, first bool, list []balance.Endpoint) *balance.Actions
	RequestArrived(now float64, info balance.RequestInfo) (RequestHandle, *balance.Actions)
	TimerFired(now float64) *balance.Actions
}

// RequestHandle represents a request that has arrived at a Decider.
type RequestHandle interface {
	AttemptEnded(now float64, attempt int, outcome balance.Outcome, latency float64, over bool) *balance.Actions
	ClientDisconnected(now float64) *balance.Actions
	TimerFired(now float64) *balance.Actions
}

// Policy returns the Decider of a proxy that starts at now.
type Policy func(d balance.Deployment, now float64) (Decider, error)

// Policies holds a constructor for each policy by name. Each run needs a policy of its own, since the deciders of a
// policy may share state. All but lockloom and steered are plain baselines, kept for comparison only.
var Policies = map[string]func() Policy{
	"lockloom": func() Policy {
		return func(d balance.Deployment, now float64) (Decider, error) {
			b, err := balance.New(d, now)
			return balancerAdapter{b}, err
		}
	},
	"steered":     steered,
	"random":      func() Policy { return newBaseline(randomChoice) },
	"round-robin": func() Policy { return newBaseline(roundRobin) },
	"least":       func() Policy { return newBaseline(leastInFlight) },
}

// balancerAdapter makes a balance.Balancer implement Decider.
type balancerAdapter struct{ *balance.Balancer }

func (m balancerAdapter) RequestArrived(now float64, info balance.RequestInfo) (RequestHandle, *balance.Actions) {
	return m.Balancer.RequestArrived(now, info)
}

// PolicyNames returns the names of Policies in alphabetical order.
func PolicyNames() []string { return sortedNames(Policies) }
