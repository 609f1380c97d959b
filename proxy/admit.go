package proxy

import (
	"cmp"
	"time"

	"lockloom/balance"
	"lockloom/internal/invariant"
	"lockloom/internal/upstream"
	"lockloom/limits"
)

// request is a request from its taking in to its end; after that of its client's goroutine it is the owner's.
type request struct {
	pool             *serverPool
	class            *balance.Class
	handle           RequestHandle
	timer            timer // of its module's wakes and its backstop
	ref              int
	id               string
	traceID          string // the id that its client and the servers know; empty: id
	arrived          float64
	deadline         float64
	head, body       []byte // what goes to a server, alike for all its attempts
	attempts         []*attempt
	client           *clientConn // nil: nobody's
	answered         bool        // or its client has left
	shutdownDeadline bool        // its deadline is the process's end, which the decisions do not know
	released         bool
	passthrough      bool              // by the ordinary door: a server's answer goes on as it is
	upload           *upstream.Upload  // of a body that is not kept; nil: body is all
	bodyReader       *pacedBodyReader  // where it comes from
	clientWait       float64           // s that its client waits from its last byte on
	bodyCompletedAt  float64           // when that came; 0: not yet
	serverFailure    *response         // what a server said of its own failure, the last one; for a plain request
	headOnly         bool              // it asks for a head only
	retryRule        *limits.RetryRule // nil: the platform's, which the deployment tells
	limits           *limits.Limits
	limitKeys        []limits.LimitKey
	permit           limits.Permit
	route            string
	routeNumber      int                 // its route's number in the pool's room
	fairLimiter      *limits.FairLimiter // of which it holds a part; nil: none
	response         chan response       // holds the one answer; the owner never waits for the client
}

// clientGone tells whether its client has gone. Danger: it is asked just before a byte goes out, by any goroutine, and what the
// client's own goroutine saw may not have come to the owner, nor may that goroutine have been able to see anything.
func (req *request) clientGone(admittedAt time.Time) bool {
	return req.client != nil && (req.client.abandoned.Load() || time.Since(admittedAt) > clientCheckInterval && upstream.ClosedByPeer(req.client.conn))
}

// admit hands a request to the decisions. One over a bound of this machine, of connections or of memory, is
// rejected unseen.
func (p *Proxy) admit(req *request, info balance.RequestInfo, shed bool) {
	if shed {
		p.counters.Requests++
		p.counters.ShedBounds++
		p.respond(req, balance.Rejected, p.bootstrap.MaxRetryAfter)
		return
	}
	if p.openIDs[req.id] { // danger: two attempts of one id look like one request run twice, and either could get the other's answer
		p.counters.BadRequests++
		req.answered = true
		req.response <- response{status: 409, body: []byte("X-Trace-Id is in use\n")}
		return
	}
	if !p.acquireLimits(req) { // danger: a request over its limit must cost nothing more
		return
	}
	if shutdownAt := p.shutdownDeadline.Load(); shutdownAt != nil { // danger: its last byte, or this call, may have come after the order to stop
		info.Deadline = min(info.Deadline, p.stamp(*shutdownAt))
		req.deadline = min(req.deadline, p.stamp(*shutdownAt))
	}
	p.openIDs[req.id] = true
	p.counters.Requests++
	req.pool.inFlight++
	req.pool.admitted++
	if n := len(p.freeRefs); n > 0 {
		req.ref, p.freeRefs = p.freeRefs[n-1], p.freeRefs[:n-1]
		p.requests[req.ref] = req
	} else {
		req.ref = len(p.requests)
		p.requests = append(p.requests, req)
	}
	info.Ref = req.ref
	req.timer.call = func() { p.requestTimerFired(req) }
	p.timers.add(&req.timer, req.deadline-backstopMarginSeconds)
	p.decide(req.pool, func(now float64) *balance.Actions {
		handle, orders := req.pool.decisions.RequestArrived(now, info, cmp.Or(req.traceID, req.id))
		req.handle = handle
		return orders
	})
}

// bodyCompleted notes when a request that flows has come to its last byte: its times count from then.
func (p *Proxy) bodyCompleted(req *request, at time.Time) {
	if req.answered {
		return
	}
	req.bodyCompletedAt = p.stamp(at)
	req.deadline = req.bodyCompletedAt + req.clientWait
	if last := p.shutdownDeadline.Load(); last != nil {
		req.deadline = min(req.deadline, p.stamp(*last))
	}
	if req.timer.call != nil {
		p.timers.add(&req.timer, req.deadline-backstopMarginSeconds)
	}
	if req.handle != nil && !req.released {
		p.decideRequest(req, req.handle.BodyCompleted)
	}
}

// requestTimerFired looks at a request when it asked for that, or its time is up.
func (p *Proxy) requestTimerFired(req *request) {
	// Danger: a client that sends a large body slowly would have its attempt taken for overdue, and the server blamed.
	if !req.released && !(req.upload != nil && req.upload.Started() && req.bodyCompletedAt == 0) {
		p.decideRequest(req, req.handle.TimerFired)
	}
	switch {
	case p.now() < req.deadline-backstopMarginSeconds:
	case req.shutdownDeadline && !req.answered:
		p.abandonRequest(req)
	default:
		p.failUnanswered(req)
	}
}

// limitDeadlines has all that is in hand end by a time, at which this process may be killed, whatever their clients would wait.
func (p *Proxy) limitDeadlines(last float64) {
	for _, req := range p.requests {
		if req != nil && !req.answered && req.deadline > last {
			req.deadline, req.shutdownDeadline = last, true
			p.timers.add(&req.timer, last-backstopMarginSeconds)
		}
	}
}

// abandonRequest gives a request up with its process: rejected where trying again is harmless, else failed.
func (p *Proxy) abandonRequest(req *request) {
	answer := balance.Rejected
	if !req.safeToRetry(p.now() + p.bootstrap.MaxRetryAfter) {
		answer = balance.Failed
	}
	p.respond(req, answer, p.bootstrap.MaxRetryAfter)
	p.decideRequest(req, req.handle.ClientDisconnected)
}

// failUnanswered answers a request that the decisions have not. Danger: one without an answer breaks rule 1.
func (p *Proxy) failUnanswered(req *request) {
	if !invariant.Holds(req.answered, "every lookup is answered before its hard stop") {
		p.respond(req, balance.Failed, 0)
	}
}

// clientGone tells the decisions that a client has gone.
func (p *Proxy) clientDisconnected(req *request) {
	if req.answered {
		select {
		case a := <-req.response: // nobody takes it any more
			p.reservedBytes.Add(-a.reservedBytes)
			if a.stream != nil {
				a.stream.CloseWithError(upstream.ErrClientGone)
			}
		default:
		}
		return
	}
	req.answered = true
	p.counters.ClientGone++
	if req.handle != nil {
		p.decideRequest(req, req.handle.ClientDisconnected)
	}
}
