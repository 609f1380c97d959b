package proxy

import (
	"lockloom/balance"
	"lockloom/internal/http1"
	"lockloom/internal/invariant"
	"lockloom/internal/upstream"
)

// lateEventSeconds is the delay from the end of an attempt to its recording by the owner above which it counts in
// LateEvents.
const lateEventSeconds = 0.02

// recordOutcome passes the outcome of an attempt to the balancer. The first successful attempt answers its request.
func (p *Proxy) recordOutcome(req *request, att *attempt, result upstream.Result) {
	invariant.Holds(!att.ended, "an attempt ends once")
	att.ended = true
	att.outcome, att.err, att.neverRan = result.Outcome, result.Err, result.Outcome.NeverRan()
	p.counters.Outcomes[result.Outcome]++
	endedAt := p.toUnixSeconds(result.EndedAt)
	if p.now()-endedAt > lateEventSeconds {
		p.counters.LateEvents++
	}
	succeeded := result.Outcome == balance.Succeeded && !req.answered
	if succeeded {
		req.answered = true
		p.counters.Succeeded++
		p.cancelUnwritten(req)
		// Sent once the other attempts are canceled, see decide.
		defer func() {
			resp := req.serverResponse(&result)
			resp.reservedBytes = result.ReservedBytes
			req.response <- resp
		}()
	} else if !p.keepServerFailure(req, &result) {
		p.memory.release(result.ReservedBytes)
	}
	answered, sentAt := req.answered, att.sentAt
	if !result.SentAt.IsZero() { // time queued here, to be written or read, is not the server's
		sentAt = p.toUnixSeconds(result.SentAt)
		p.overload.attemptMeasured(p.now()-att.sentAt-result.ReuseWait.Seconds(), endedAt-sentAt)
	}
	p.decideRequest(req, func(now float64) *balance.Actions {
		return req.handle.AttemptEnded(now, att.number, result.Outcome, req.latency(sentAt, endedAt), answered)
	})
}

// serverResponse returns a server's response, to be relayed.
func (req *request) serverResponse(result *upstream.Result) response {
	return response{
		status:        result.Status,
		fields:        result.Fields,
		body:          result.Body,
		headOnly:      req.headOnly,
		contentLength: result.Length,
	}
}

// keepServerFailure keeps a server's response that reports its own failure, with the memory reserved for it, and
// reports whether it did. It is relayed to a client of an operator's listener if no later attempt gets a better
// response.
func (p *Proxy) keepServerFailure(req *request, result *upstream.Result) bool {
	if result.Outcome != balance.ServerError || !req.passthrough || len(result.Body) > http1.DefaultMaxBytes ||
		req.answered {
		return false
	}
	if previous := req.serverFailure; previous != nil {
		p.memory.release(previous.reservedBytes)
	}
	resp := req.serverResponse(result)
	resp.reservedBytes = result.ReservedBytes
	req.serverFailure = &resp
	return true
}

// responseStarted reports to the balancer that an attempt has received the start of a large response. This attempt then
// answers the request, whatever the others return, and its response is streamed to the client.
func (p *Proxy) responseStarted(req *request, att *attempt, result upstream.Result) {
	if req.answered || att.ended {
		p.memory.release(result.ReservedBytes)
		closeStream(result.Stream)
		return
	}
	req.answered = true
	p.counters.Succeeded++
	p.cancelUnwritten(req)
	p.decideRequest(req, func(now float64) *balance.Actions {
		return req.handle.ResponseStarted(now, att.number)
	})
	resp := req.serverResponse(&result)
	resp.stream, resp.reservedBytes = result.Stream, result.ReservedBytes
	req.response <- resp
}
