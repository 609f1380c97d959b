package main

import (
	"fmt"
	"io"

	"lockloom/balance"
	"lockloom/internal/gossip"
	"lockloom/internal/simwire"
)

// noInstance is the number of no instance.
const noInstance = -1

// reply writes what instances order in a batch.
type reply struct {
	wire     *simwire.Writer
	instance int // the one that was written of last in this reply
}

func newReply(out io.Writer) *reply {
	return &reply{wire: simwire.NewWriter(out), instance: noInstance}
}

// begin begins the reply to a batch.
func (r *reply) begin() { r.instance = noInstance }

// end ends the reply to a batch, and sends it.
func (r *reply) end(batch string) error { return r.wire.BatchReady(batch) }

// selectInstance names an instance, unless the last lines are of it.
func (r *reply) selectInstance(number int) {
	if r.instance != number {
		r.wire.SelectInstance(number)
		r.instance = number
	}
}

// failed writes that an instance's decisions have failed.
func (r *reply) failed(number int, failure any) {
	r.selectInstance(number)
	r.wire.ReportFailure(fmt.Sprint(failure))
}

// write writes the actions that an instance orders.
func (r *reply) write(number int, in *instance, now float64, actions *balance.Actions) {
	if !isEmpty(actions) {
		r.selectInstance(number)
	}
	for _, server := range actions.CloseIdle { // before attempts, which then open connections
		r.wire.CloseIdle(in.names.Name(server))
	}
	for _, server := range actions.HealthChecks {
		r.wire.CheckHealth(in.names.Name(server))
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

// writeRequest writes what is ordered for one request.
func (r *reply) writeRequest(in *instance, now float64, action *balance.RequestAction) {
	id := in.slots[action.Ref].id
	if action.Send {
		r.wire.Send(id, in.names.Name(action.Endpoint), action.Deadline)
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

// isEmpty reports whether there is nothing to do.
func isEmpty(actions *balance.Actions) bool {
	return len(actions.Requests) == 0 && len(actions.HealthChecks) == 0 && len(actions.CloseIdle) == 0 &&
		actions.Gossip == nil && !actions.Subscribe && actions.WakeAt <= 0
}
