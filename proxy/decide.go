package proxy

import (
	"lockloom/balance"
	"lockloom/internal/invariant"
)

// decide makes one call on a pool's decisions and carries out the actions that it returns. These are valid until the
// next call, so whatever would lead to one is deferred. The owner calls it.
func (p *Proxy) decide(pool *serverPool, call func(now float64) *balance.Actions) {
	actions := call(p.now())
	for _, server := range actions.CloseIdle { // before an attempt is sent there, which then opens a new connection
		p.upstream.CloseIdle(server)
	}
	for _, server := range actions.HealthChecks {
		p.healthCheck(pool, server)
	}
	if actions.Gossip != nil && p.gossipLink != nil {
		p.gossipLink.Send(actions.GossipPeer, *actions.Gossip)
	}
	for i := range actions.Requests {
		p.applyRequestAction(&actions.Requests[i])
	}
	// This goroutine may be held up anywhere: an attempt that is canceled after its request's response has been let go
	// might be sent in between.
	for i := range actions.Requests {
		if action := &actions.Requests[i]; action.Reply != balance.NoReply {
			p.respond(p.requests.byRef[action.Ref], action.Reply, action.RetryAfter)
		}
	}
	if actions.WakeAt > 0 {
		p.scheduleWake(pool, actions.WakeAt)
	}
	// Actions to subscribe need no act: the proxy's subscription is always held.
	for i := range actions.Requests {
		p.releaseRequest(p.requests.byRef[actions.Requests[i].Ref])
	}
}

// scheduleWake calls a pool's decisions at a time, in seconds since 1970.
func (p *Proxy) scheduleWake(pool *serverPool, at float64) {
	if pool.timer.call == nil {
		pool.timer.call = func() { p.decide(pool, pool.decisions.TimerFired) }
	}
	p.loop.timers.add(&pool.timer, at)
}

// applyRequestAction carries out what the decisions ask for a request, all but its response.
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

// decideRequest makes a call on the decisions about one request, which may be its last.
func (p *Proxy) decideRequest(req *request, call func(now float64) *balance.Actions) {
	p.decide(req.pool, call)
	p.releaseRequest(req)
}

// releaseRequest frees what a request holds once nothing more will happen to it.
func (p *Proxy) releaseRequest(req *request) {
	if req == nil || req.released || req.handle == nil || !req.handle.Done() {
		return
	}
	req.released = true
	p.loop.timers.cancel(&req.timer)
	req.releaseQuota()
	if req.stream.upload != nil {
		req.stream.upload.Stop()
	}
	req.pool.inFlight--
	if req.pool.retired {
		p.removeIfRetired(req.pool)
	}
	invariant.Holds(req.answered, "a request is done only once answered")
	p.requests.remove(req)
}
