package capture

import (
	"errors"

	"lockloom/balance"
)

const (
	kindBits = 4
	kindMask = 1<<kindBits - 1

	// An outcome and AttemptEvent.RequestOver are encoded as one number.
	outcomeMask     = 15
	requestOverFlag = 16
)

// errCorruptCalls is the error for a block of calls that does not consist of complete calls.
var errCorruptCalls = errors.New("malformed call in a block of calls")

// decodeCalls decodes the calls of a block and passes each to visit, which may keep it. It stops at the first error
// that visit returns.
func decodeCalls(data []byte, visit func(*Call) error) error {
	c := coder{decoding: true, in: data}
	for len(c.in) > 0 {
		var call Call
		c.call(&call)
		if c.corrupt {
			return errCorruptCalls
		}
		if err := visit(&call); err != nil {
			return err
		}
	}
	return nil
}

// call encodes or decodes a call. With a table of functions instead of the switch, every recorded call would be
// allocated on the heap.
func (c *coder) call(call *Call) {
	c.head(call)
	if c.corrupt {
		return
	}
	switch call.Kind {
	case RequestArrived:
		c.requestArrived(call)
	case AttemptEnded:
		c.attemptEnded(call)
	case ResponseStarted:
		c.responseStarted(call)
	case ClientDisconnected, BodyCompleted, RequestTimerFired:
		c.uint(&call.Request)
	case EndpointsUpdated:
		c.endpointsUpdated(&call.Endpoints)
	case HealthChecked:
		c.healthChecked(&call.HealthCheck)
	case GossipReceived:
		c.gossipReceived(&call.Gossip)
	case OutcomesReported:
		codeList(c, &call.Outcomes, c.reportedOutcomes)
	case BudgetShareSet:
		c.float(&call.BudgetShare)
	case LocalDelaySet:
		c.float(&call.LocalDelay.Stretch)
		c.float(&call.LocalDelay.Delay)
	case SnapshotRestored:
		codeList(c, &call.Snapshot.BaseLatencies, c.float)
		codeList(c, &call.Snapshot.Servers, c.serverSnapshot)
	}
}

// head encodes or decodes the fields that calls of all kinds have.
func (c *coder) head(call *Call) {
	kindAndPool := uint64(call.Kind) | uint64(call.Pool)<<kindBits
	c.uint(&kindAndPool)
	call.Kind, call.Pool = Kind(kindAndPool&kindMask), int(kindAndPool>>kindBits)
	c.callTime(&call.Now)
	c.fixed16(&call.Digest)
}

func (c *coder) requestArrived(call *Call) {
	c.uint(&call.Request)
	c.fixed32(&call.IDHash)
	info := &call.Arrival
	c.int(&info.Ref)
	c.int(&info.Class)
	c.int(&info.Tenant)
	hasKey := info.Key != 0
	c.bool(&hasKey)
	if hasKey {
		c.fixed64(&info.Key)
	}
	c.time(&info.Deadline)
	c.float(&info.ExpectedWork)
	c.bool(&info.ClientRetry)
	c.bool(&info.StreamingBody)
}

func (c *coder) attemptEnded(call *Call) {
	c.uint(&call.Request)
	attempt := &call.Attempt
	c.int(&attempt.Index)
	outcome := uint64(attempt.Outcome)
	if attempt.RequestOver {
		outcome |= requestOverFlag
	}
	c.uint(&outcome)
	attempt.Outcome = balance.Outcome(outcome & outcomeMask)
	attempt.RequestOver = outcome&requestOverFlag != 0
	c.float(&attempt.Latency)
}

func (c *coder) responseStarted(call *Call) {
	c.uint(&call.Request)
	c.int(&call.Attempt.Index)
}

func (c *coder) endpointsUpdated(update *EndpointUpdate) {
	c.bool(&update.Full)
	c.bool(&update.First)
	codeList(c, &update.List, c.endpoint)
}

func (c *coder) endpoint(e *balance.Endpoint) {
	c.int(&e.Index)
	c.fixed64(&e.NameHash)
	c.int(&e.Zone)
	c.int(&e.Pod)
	c.int(&e.Model)
	state := uint64(e.State)
	c.uint(&state)
	e.State = balance.EndpointState(state)
	c.float(&e.Cores)
	c.float(&e.StartedAt)
}

func (c *coder) healthChecked(check *HealthCheck) {
	c.int(&check.Endpoint)
	c.bool(&check.OK)
	c.float(&check.Report.InFlight)
	c.float(&check.Report.Utilization)
}

func (c *coder) gossipReceived(gossip *Gossip) {
	c.int(&gossip.From)
	c.float(&gossip.Message.Rate)
	codeList(c, &gossip.Message.Observations, c.observation)
}

func (c *coder) observation(o *balance.Observation) {
	c.fixed32(&o.NameHash)
	c.int(&o.Class)
	c.float(&o.Age)
	c.float(&o.Value)
}

func (c *coder) reportedOutcomes(o *balance.ReportedOutcomes) {
	c.int(&o.Endpoint)
	c.int(&o.Class)
	c.int(&o.Succeeded)
	c.int(&o.Failed)
}

func (c *coder) serverSnapshot(s *balance.ServerSnapshot) {
	c.fixed64(&s.NameHash)
	c.float(&s.StartedAt)
	c.float(&s.Limit)
	c.float(&s.RelativeLatency)
	c.float(&s.Payoff)
	c.float(&s.Confidence)
	c.float(&s.Age)
	c.float(&s.PauseRemaining)
	c.bool(&s.Paused)
	c.int(&s.Errors)
	c.int(&s.Results)
}
