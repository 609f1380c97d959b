package proxy

import (
	"lockloom/balance"
	"lockloom/internal/invariant"
)

// decide makes one call to a pool's balancer and carries out the actions that it returns. The actions are valid only
// until the next call, so anything that would lead to another call is deferred. The owner calls it.
func (p *Proxy) decide(pool *serverPool, call func(now float64) *balance.Actions) {
	actions := call(p.now())
	for _, server := range actions.CloseIdle { // before attempts are sent to the server, so that they open new connections
		p.upstream.CloseIdle(server)
	}
	for _, server := range actions.HealthChecks {
		p.healthCheck(pool, server)
	}
	if actions.Gossip != nil {
		p.gossip.send(actions.GossipPeer, *actions.Gossip)
	}
	for i := range actions.Requests {
		p.applyRequestAction(&actions.Requests[i])
	}
	// Responses are sent after the cancellations: this goroutine may be delayed anywhere, and an attempt that is canceled
	// only after its request is answered might be sent to a server in between.
	for i := range actions.Requests {
		if action := &actions.Requests[i]; action.Reply != balance.NoReply {
			p.respond(p.requests.byRef[action.Ref], action.Reply, action.RetryAfter)
		}
	}
	if actions.WakeAt > 0 {
		p.scheduleWake(pool, actions.WakeAt)
	}
	// actions.Subscribe needs no handling: the proxy is always subscribed.
	for i := range actions.Requests {
		p.releaseRequest(p.requests.byRef[actions.Requests[i].Ref])
	}
}

// scheduleWake schedules a call to TimerFired of a pool's balancer at the given time, in seconds since 1970.
func (p *Proxy) scheduleWake(pool *serverPool, at float64) {
	if pool.timer.call == nil {
		pool.timer.call = func() { p.decide(pool, pool.decisions.TimerFired) }
	}
	p.loop.timers.add(&pool.timer, at)
}

// applyRequestAction carries out what an action demands for a request. It does not send the response: decide does that
// after all actions are carried out.
func (p *Proxy) applyRequestAction(action *balance.RequestAction) {
	req := p.requests.byRef[action.Ref]
	if action.Send {
		p.startAttempt(req, action.Endpoint, action.Deadline)
	}
	if action.CancelAttempt > 0 {
		if att := req.attempts[action.CancelAttempt-1]; !att.ended && att.started {
			p.upstream.Cancel(&att.exchange)
		}
	}
	if action.WakeAt > 0 {
		p.loop.timers.add(&req.timer, action.WakeAt)
	}
}

// decideRequest makes a call to the balancer about one request. It then releases the request if the balancer needs no
// further call about it.
func (p *Proxy) decideRequest(req *request, call func(now float64) *balance.Actions) {
	p.decide(req.pool, call)
	p.releaseRequest(req)
}

// releaseRequest frees what a request holds once its handle is done: no further call about it will be made.
func (p *Proxy) releaseRequest(req *request) {
	if req == nil || req.released || req.handle == nil || !req.handle.Done() {
		return
	}
	req.released = true
	p.loop.timers.cancel(&req.timer)
	req.releaseQuota()
	p.memory.release(req.reservedBytes)
	if failure := req.serverFailure; failure != nil {
		p.memory.release(failure.reservedBytes)
	}
	if req.stream.upload != nil {
		req.stream.upload.Stop()
	}
	req.pool.inFlight--
	if req.pool.retired {
		p.removeIfRetired(req.pool)
	}
	invariant.Holds(req.answered, "a request is done only once answered")
	p.requests.remove(req)
	p.shareReleasedID(req)
	if req.leftUnserved() {
		p.retainID(req)
	}
}
