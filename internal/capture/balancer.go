package capture

import "lockloom/balance"

// Balancer is a balance.Balancer whose calls are recorded. It has the same methods; only RequestArrived differs, which
// also takes the request's id.
type Balancer struct {
	*balance.Balancer
	recorder    *Recorder
	pool        int                         // number of the pool in the capture
	name        string                      // of the pool
	inFlight    map[uint64]*balance.Request // requests in flight, by number
	lastRequest uint64                      // number of the request that arrived last; 0: none
}

// Request is a balance.Request whose calls are recorded.
type Request struct {
	*balance.Request
	balancer *Balancer
	number   uint64 // of the request in its pool, from 1
}

// Drop removes the pool from the capture: segments that begin later do not contain its state.
func (b *Balancer) Drop() { b.recorder.pools[b.pool] = nil }

func (b *Balancer) state() *state {
	balancer, requests := b.Checkpoint(b.inFlight)
	return &state{
		Pool:        b.pool,
		Name:        b.name,
		Balancer:    balancer,
		Requests:    requests,
		LastRequest: b.lastRequest,
	}
}

func (b *Balancer) record(call Call, actions *balance.Actions) *balance.Actions {
	call.Pool = b.pool
	b.recorder.record(&call, actions)
	return actions
}

func (r *Request) record(call Call, actions *balance.Actions) *balance.Actions {
	call.Request = r.number
	r.balancer.record(call, actions)
	if r.Done() {
		delete(r.balancer.inFlight, r.number)
	}
	return actions
}

// RequestArrived is balance.Balancer.RequestArrived, recorded with a hash of the request's id.
func (b *Balancer) RequestArrived(now float64, info balance.RequestInfo, id string) (*Request, *balance.Actions) {
	b.recorder.prepare(now)
	inner, actions := b.Balancer.RequestArrived(now, info)
	b.lastRequest++
	r := &Request{inner, b, b.lastRequest}
	b.inFlight[r.number] = inner
	return r, r.record(Call{Kind: RequestArrived, Now: now, Arrival: info, IDHash: HashID(id)}, actions)
}

// AttemptEnded is balance.Request.AttemptEnded, recorded.
func (r *Request) AttemptEnded(
	now float64, index int, outcome balance.Outcome, latency float64, over bool,
) *balance.Actions {
	r.balancer.recorder.prepare(now)
	actions := r.Request.AttemptEnded(now, index, outcome, latency, over)
	event := AttemptEvent{Index: index, Outcome: outcome, Latency: latency, RequestOver: over}
	return r.record(Call{Kind: AttemptEnded, Now: now, Attempt: event}, actions)
}

// ClientDisconnected is balance.Request.ClientDisconnected, recorded.
func (r *Request) ClientDisconnected(now float64) *balance.Actions {
	r.balancer.recorder.prepare(now)
	return r.record(Call{Kind: ClientDisconnected, Now: now}, r.Request.ClientDisconnected(now))
}

// ResponseStarted is balance.Request.ResponseStarted, recorded.
func (r *Request) ResponseStarted(now float64, index int) *balance.Actions {
	r.balancer.recorder.prepare(now)
	actions := r.Request.ResponseStarted(now, index)
	return r.record(Call{Kind: ResponseStarted, Now: now, Attempt: AttemptEvent{Index: index}}, actions)
}

// BodyCompleted is balance.Request.BodyCompleted, recorded.
func (r *Request) BodyCompleted(now float64) *balance.Actions {
	r.balancer.recorder.prepare(now)
	return r.record(Call{Kind: BodyCompleted, Now: now}, r.Request.BodyCompleted(now))
}

// TimerFired is balance.Request.TimerFired, recorded.
func (r *Request) TimerFired(now float64) *balance.Actions {
	r.balancer.recorder.prepare(now)
	return r.record(Call{Kind: RequestTimerFired, Now: now}, r.Request.TimerFired(now))
}

// TimerFired is balance.Balancer.TimerFired, recorded.
func (b *Balancer) TimerFired(now float64) *balance.Actions {
	b.recorder.prepare(now)
	return b.record(Call{Kind: TimerFired, Now: now}, b.Balancer.TimerFired(now))
}

// EndpointsUpdated is balance.Balancer.EndpointsUpdated, recorded.
func (b *Balancer) EndpointsUpdated(now float64, full, first bool, list []balance.Endpoint) *balance.Actions {
	b.recorder.prepare(now)
	actions := b.Balancer.EndpointsUpdated(now, full, first, list)
	update := EndpointUpdate{Full: full, First: first, List: list}
	return b.record(Call{Kind: EndpointsUpdated, Now: now, Endpoints: update}, actions)
}

// PollFailed is balance.Balancer.PollFailed, recorded.
func (b *Balancer) PollFailed(now float64) *balance.Actions {
	b.recorder.prepare(now)
	return b.record(Call{Kind: PollFailed, Now: now}, b.Balancer.PollFailed(now))
}

// HealthChecked is balance.Balancer.HealthChecked, recorded.
func (b *Balancer) HealthChecked(now float64, index int, ok bool, report balance.LoadReport) *balance.Actions {
	b.recorder.prepare(now)
	actions := b.Balancer.HealthChecked(now, index, ok, report)
	check := HealthCheck{Endpoint: index, OK: ok, Report: report}
	return b.record(Call{Kind: HealthChecked, Now: now, HealthCheck: check}, actions)
}

// GossipReceived is balance.Balancer.GossipReceived, recorded.
func (b *Balancer) GossipReceived(now float64, from int, message balance.GossipMessage) *balance.Actions {
	b.recorder.prepare(now)
	actions := b.Balancer.GossipReceived(now, from, message)
	gossip := Gossip{From: from, Message: message}
	return b.record(Call{Kind: GossipReceived, Now: now, Gossip: gossip}, actions)
}

// OutcomesReported is balance.Balancer.OutcomesReported, recorded.
func (b *Balancer) OutcomesReported(now float64, outcomes []balance.ReportedOutcomes) {
	b.recorder.prepare(now)
	b.Balancer.OutcomesReported(now, outcomes)
	b.record(Call{Kind: OutcomesReported, Now: now, Outcomes: outcomes}, nil)
}

// SetSlowStartShare is balance.Balancer.SetSlowStartShare, recorded with the start time of the segment, since it has no
// time argument.
func (b *Balancer) SetSlowStartShare(share float64) {
	b.recorder.prepare(b.recorder.segment.beganAt)
	b.Balancer.SetSlowStartShare(share)
	b.record(Call{Kind: BudgetShareSet, Now: b.recorder.segment.beganAt, BudgetShare: share}, nil)
}

// SetLocalDelay is balance.Balancer.SetLocalDelay, recorded with the start time of the segment, since it has no time
// argument.
func (b *Balancer) SetLocalDelay(stretch, delay float64) {
	b.recorder.prepare(b.recorder.segment.beganAt)
	b.Balancer.SetLocalDelay(stretch, delay)
	local := LocalDelay{Stretch: stretch, Delay: delay}
	b.record(Call{Kind: LocalDelaySet, Now: b.recorder.segment.beganAt, LocalDelay: local}, nil)
}

// Restore is balance.Balancer.Restore, recorded.
func (b *Balancer) Restore(now float64, snapshot balance.Snapshot) {
	b.recorder.prepare(now)
	b.Balancer.Restore(now, snapshot)
	b.record(Call{Kind: SnapshotRestored, Now: now, Snapshot: snapshot}, nil)
}

// Snapshot is balance.Balancer.Snapshot, recorded.
func (b *Balancer) Snapshot(now float64) balance.Snapshot {
	b.recorder.prepare(now)
	snapshot := b.Balancer.Snapshot(now)
	b.record(Call{Kind: StateRead, Now: now}, nil)
	return snapshot
}

// ServerStatuses is balance.Balancer.ServerStatuses, recorded.
func (b *Balancer) ServerStatuses(now float64) []balance.ServerStatus {
	b.recorder.prepare(now)
	statuses := b.Balancer.ServerStatuses(now)
	b.record(Call{Kind: StateRead, Now: now}, nil)
	return statuses
}

// Availability is balance.Balancer.Availability, recorded.
func (b *Balancer) Availability(now float64) (anyAdmitted, trial bool) {
	b.recorder.prepare(now)
	anyAdmitted, trial = b.Balancer.Availability(now)
	b.record(Call{Kind: StateRead, Now: now}, nil)
	return anyAdmitted, trial
}
