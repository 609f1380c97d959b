package capture

import (
	"fmt"
	"strings"

	"lockloom/balance"
)

// Pool is a Balancer in a replay, with its requests.
type Pool struct {
	Number      int
	Name        string
	Balancer    *balance.Balancer
	InFlight    map[uint64]*balance.Request // by number of the request
	LastRequest *balance.Request            // request that the last call was on; nil: it was on the Balancer
}

// apply makes a recorded call on the pool. A call on a request that is not in InFlight is not made, and known is false.
func (p *Pool) apply(call *Call) (actions *balance.Actions, known bool) {
	p.LastRequest = nil
	switch {
	case call.Kind == RequestArrived:
		return p.applyArrival(call), true
	case call.Kind.onRequest():
		return p.applyToRequest(call)
	}
	return p.applyToBalancer(call), true
}

func (p *Pool) applyArrival(call *Call) *balance.Actions {
	r, actions := p.Balancer.RequestArrived(call.Now, call.Arrival)
	p.InFlight[call.Request] = r
	p.setLastRequest(call, r)
	return actions
}

func (p *Pool) applyToRequest(call *Call) (actions *balance.Actions, known bool) {
	r := p.InFlight[call.Request]
	if r == nil {
		return nil, false
	}
	switch call.Kind {
	case AttemptEnded:
		a := &call.Attempt
		actions = r.AttemptEnded(call.Now, a.Index, a.Outcome, a.Latency, a.RequestOver)
	case ClientDisconnected:
		actions = r.ClientDisconnected(call.Now)
	case ResponseStarted:
		actions = r.ResponseStarted(call.Now, call.Attempt.Index)
	case BodyCompleted:
		actions = r.BodyCompleted(call.Now)
	case RequestTimerFired:
		actions = r.TimerFired(call.Now)
	}
	p.setLastRequest(call, r)
	return actions, true
}

// setLastRequest sets LastRequest to the request of a call, and removes the request from InFlight if it is done.
func (p *Pool) setLastRequest(call *Call, r *balance.Request) {
	p.LastRequest = r
	if r.Done() {
		delete(p.InFlight, call.Request)
	}
}

func (p *Pool) applyToBalancer(call *Call) *balance.Actions {
	b := p.Balancer
	switch call.Kind {
	case TimerFired:
		return b.TimerFired(call.Now)
	case EndpointsUpdated:
		return b.EndpointsUpdated(call.Now, call.Endpoints.Full, call.Endpoints.First, call.Endpoints.List)
	case PollFailed:
		return b.PollFailed(call.Now)
	case HealthChecked:
		return b.HealthChecked(call.Now, call.HealthCheck.Endpoint, call.HealthCheck.OK, call.HealthCheck.Report)
	case GossipReceived:
		return b.GossipReceived(call.Now, call.Gossip.From, call.Gossip.Message)
	case OutcomesReported:
		b.OutcomesReported(call.Now, call.Outcomes)
	case BudgetShareSet:
		b.SetSlowStartShare(call.BudgetShare)
	case LocalDelaySet:
		b.SetLocalDelay(call.LocalDelay.Stretch, call.LocalDelay.Delay)
	case SnapshotRestored:
		b.Restore(call.Now, call.Snapshot)
	case StateRead:
		b.ServerStatuses(call.Now)
	}
	return nil
}

// summary returns a short description of the actions on requests.
func summary(actions *balance.Actions) string {
	const nothing = "none"
	if actions == nil {
		return nothing
	}
	var text strings.Builder
	for i := range actions.Requests {
		text.WriteString(requestSummary(&actions.Requests[i]))
	}
	if text.Len() == 0 {
		return nothing
	}
	return text.String()
}

func requestSummary(action *balance.RequestAction) string {
	switch {
	case action.Send:
		return fmt.Sprintf("request %d to server %d; ", action.Ref, action.Endpoint)
	case action.Reply == balance.Rejected:
		return fmt.Sprintf("request %d rejected; ", action.Ref)
	case action.Reply == balance.Failed:
		return fmt.Sprintf("request %d failed; ", action.Ref)
	case action.CancelAttempt > 0:
		return fmt.Sprintf("request %d: cancel attempt %d; ", action.Ref, action.CancelAttempt)
	}
	return ""
}
