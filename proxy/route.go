package proxy

import (
	"slices"

	"lockloom/balance"
	"lockloom/internal/invariant"
)

// applyRequestAction carries out one step that the decisions order, all but its answer.
func (p *Proxy) applyRequestAction(action *balance.RequestAction) {
	req := p.requests[action.Ref]
	if action.Send {
		p.startAttempt(req, action.Endpoint, action.Deadline)
	}
	if action.CancelAttempt > 0 {
		if att := req.attempts[action.CancelAttempt-1]; !att.ended && att.started {
			p.upstream.Cancel(&att.exchange)
		}
	}
	if action.WakeAt > 0 {
		p.timers.add(&req.timer, action.WakeAt)
	}
}

// discardResponses has nothing more written for a request that has its answer, wherever its attempts are not written yet.
func (p *Proxy) discardResponses(req *request) {
	for _, att := range req.attempts {
		if att.started && !att.ended {
			p.upstream.DiscardResponse(&att.exchange)
		}
	}
}

// safeToRetry says whether a client may try the request again at a time: rule 2.
func (req *request) safeToRetry(at float64) bool {
	for _, att := range req.attempts {
		if !att.neverRan && (req.class.Idempotency == balance.NonIdempotent ||
			req.class.Idempotency == balance.Keyed && (req.class.DedupScope != balance.DedupAll || at >= att.sentAt+req.class.DedupWindow)) {
			return false
		}
	}
	return true
}

// respond gives a request its final answer.
func (p *Proxy) respond(req *request, outcome balance.Reply, retryAfter float64) {
	if !invariant.Holds(!req.answered, "a lookup gets one answer") {
		return
	}
	if outcome == balance.Rejected && !invariant.Holds(req.safeToRetry(p.now()), "a dismissed lookup may be tried again") {
		outcome = balance.Failed
	}
	req.answered = true
	p.discardResponses(req)
	if p.debugEnabled() {
		p.log.WithFields(p.requestFields(req)).Debug("given up")
	}
	if p.now() > (req.arrived+req.deadline)/2 && !slices.ContainsFunc(req.attempts, func(g *attempt) bool { return !g.neverRan }) {
		p.counters.RejectedLate++
	}
	if req.serverFailure != nil && len(req.attempts) > 0 && req.attempts[len(req.attempts)-1].outcome == balance.ServerError {
		if req.serverFailure.status == 503 { // danger: whoever gets it takes trying again for harmless
			req.serverFailure.status = 502
		}
		p.counters.Failed++
		req.response <- *req.serverFailure
		return
	}
	if outcome == balance.Rejected {
		p.counters.Rejected++
		req.response <- response{status: 503, retryAfter: retryAfter, body: []byte("dismissed\n")}
		return
	}
	p.counters.Failed++
	if n := len(req.attempts); n > 0 && req.attempts[n-1].outcome == balance.InvalidRequest {
		req.response <- response{status: 400, body: []byte("found at fault by a backend\n")}
		return
	}
	req.response <- response{status: 502, body: []byte("forfeited\n")}
}
