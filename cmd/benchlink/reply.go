package main

import (
	"fmt"
	"io"

	"lockloom/balance"
	"lockloom/internal/gossip"
	"lockloom/internal/simwire"
)

// noInstance is used in place of an instance's number where there is none.
const noInstance = -1

// reply writes the actions of the instances in reply to a batch.
type reply struct {
	wire     *simwire.Writer
	instance int // the instance that the simulator takes the next message to be from; noInstance: none
}

func newReply(out io.Writer) *reply {
	return &reply{wire: simwire.NewWriter(out), instance: noInstance}
}

// begin starts the reply to a batch.
func (r *reply) begin() { r.instance = noInstance }

// end ends the reply to a batch and flushes it.
func (r *reply) end(batch string) error { return r.wire.BatchReady(batch) }

// selectInstance writes which instance the next messages are from, unless the last message of this reply was from it.
func (r *reply) selectInstance(number int) {
	if r.instance != number {
		r.wire.SelectInstance(number)
		r.instance = number
	}
}

// reportFailure writes that an instance's balancer has panicked.
func (r *reply) reportFailure(number int, failure any) {
	r.selectInstance(number)
	r.wire.ReportFailure(fmt.Sprint(failure))
}

// write writes the actions that an instance's balancer returned.
func (r *reply) write(number int, in *instance, now float64, actions *balance.Actions) {
	if !isEmpty(actions) {
		r.selectInstance(number)
	}
	for _, server := range actions.CloseIdle { // first, so that the attempts below do not use these connections
		r.wire.CloseIdle(in.registry.Name(server))
	}
	for _, server := range actions.HealthChecks {
		r.wire.CheckHealth(in.registry.Name(server))
	}
	if actions.Gossip != nil {
		r.wire.SendGossip(actions.GossipPeer, gossip.ToHex(*actions.Gossip))
	}
	for i := range actions.Requests {
		r.writeRequest(in, now, &actions.Requests[i])
	}
	if actions.Subscribe {
		r.wire.Subscribe()
	}
	if actions.WakeAt > 0 {
		r.wire.SetTimer(max(0, actions.WakeAt-now), balancerTimer)
	}
}

// writeRequest writes the action for one request.
func (r *reply) writeRequest(in *instance, now float64, action *balance.RequestAction) {
	id := in.slots[action.Ref].id
	if action.Send {
		r.wire.Send(id, in.registry.Name(action.Endpoint), action.Deadline)
	}
	if action.CancelAttempt > 0 {
		r.wire.CancelAttempt(id, action.CancelAttempt-1)
	}
	switch action.Reply {
	case balance.Rejected:
		r.wire.Reject(id, action.RetryAfter)
	case balance.Failed:
		r.wire.Fail(id)
	case balance.NoReply:
	}
	if action.WakeAt > 0 {
		r.wire.SetTimer(max(0, action.WakeAt-now), timerLabel(action.Ref))
	}
}

// isEmpty reports whether actions contains nothing to do.
func isEmpty(actions *balance.Actions) bool {
	return len(actions.Requests) == 0 && len(actions.HealthChecks) == 0 && len(actions.CloseIdle) == 0 &&
		actions.Gossip == nil && !actions.Subscribe && actions.WakeAt <= 0
}
