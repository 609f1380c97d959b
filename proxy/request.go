package proxy

import (
	"time"

	"lockloom/balance"
	"lockloom/internal/http1"
	"lockloom/internal/invariant"
	"lockloom/internal/upstream"
	"lockloom/limits"
)

// backstopMarginSeconds is how long before its deadline a request without a response is failed.
const backstopMarginSeconds = 0.002

// request is a request from its reading to its end. Its client's goroutine makes it; from its admission on it is the
// owner's, which sends the one response.
type request struct {
	pool      *serverPool // of its route; from its admission on the one that serves for that
	class     *balance.Class
	id        string
	traceID   string            // that the client and the servers know; empty: id
	arrivedAt float64           // seconds since 1970
	deadline  float64           // seconds since 1970
	client    *clientConn       // nil: none
	retryRule *limits.RetryRule // nil: the platform's, which the deployment sets
	quota     requestQuota
	response  chan response // holds the one response: the owner never waits for the client

	forwardedRequest
	requestState
}

// forwardedRequest is what goes to a server, the same in all attempts.
type forwardedRequest struct {
	head, body  []byte
	stream      bodyStream
	passthrough bool // by an operator's listener: a server's response goes on as it is
	headOnly    bool // it asks for a head only
}

// requestState is the owner's state of a request. The zero value is that of one before its admission.
type requestState struct {
	ref           int // in the requestTable
	handle        RequestHandle
	timer         timer // for the decisions' wakeups and the backstop
	attempts      []*attempt
	serverFailure *response // the last one in which a server reported its own failure; only with passthrough
	answered      bool      // or its client has gone
	released      bool
	endsEarly     bool // its deadline is the end of the process, which the decisions do not know
}

// requestTable holds the requests in flight. It belongs to the owner.
type requestTable struct {
	byRef    []*request // by balance.RequestInfo.Ref; nil: free
	freeRefs []int
	openIDs  map[string]bool
}

// add gives a request its ref.
func (t *requestTable) add(req *request) {
	t.openIDs[req.id] = true
	if n := len(t.freeRefs); n > 0 {
		req.ref, t.freeRefs = t.freeRefs[n-1], t.freeRefs[:n-1]
		t.byRef[req.ref] = req
		return
	}
	req.ref = len(t.byRef)
	t.byRef = append(t.byRef, req)
}

func (t *requestTable) remove(req *request) {
	t.byRef[req.ref] = nil
	delete(t.openIDs, req.id)
	t.freeRefs = append(t.freeRefs, req.ref)
}

// clientGone reports whether the client has gone. Any goroutine calls it just before a byte is sent to a server: what
// the client's own goroutine has seen may not have come to the owner, and that goroutine may not have been able to see
// anything.
func (req *request) clientGone(admittedAt time.Time) bool {
	if req.client == nil {
		return false
	}
	return req.client.abandoned.Load() || time.Since(admittedAt) > clientCheckInterval && req.client.peerHasGone()
}

// safeToRetry reports whether the request may be sent again at a time, in seconds since 1970: no attempt has run, or
// running it twice does no harm.
func (req *request) safeToRetry(at float64) bool {
	class := req.class
	for _, att := range req.attempts {
		if att.neverRan || class.Idempotency == balance.Idempotent {
			continue
		}
		deduplicated := class.Idempotency == balance.Keyed && class.DedupScope == balance.DedupAll &&
			at < att.sentAt+class.DedupWindow
		if !deduplicated {
			return false
		}
	}
	return true
}

// latency is what an attempt took, in seconds: for a streamed request from its last byte, since the time in which a
// client sends is none of its server's. The response may come before that byte, or be seen before it is.
func (req *request) latency(sentAt, endedAt float64) float64 {
	switch {
	case req.stream.upload == nil:
		return endedAt - sentAt
	case req.stream.completedAt == 0:
		return 0
	}
	return max(endedAt-max(sentAt, req.stream.completedAt), 0)
}

// discardResponses has nothing more sent for an answered request, wherever its attempts are not sent yet.
func (p *Proxy) discardResponses(req *request) {
	for _, att := range req.attempts {
		if att.started && !att.ended {
			p.upstream.DiscardResponse(&att.exchange)
		}
	}
}

// scheduleBackstop has a request answered shortly before its deadline.
func (p *Proxy) scheduleBackstop(req *request) {
	p.loop.timers.add(&req.timer, req.deadline-backstopMarginSeconds)
}

// bodyCompleted notes that a streamed request is complete: its times count from then.
func (p *Proxy) bodyCompleted(req *request, at time.Time) {
	if req.answered {
		return
	}
	req.stream.completedAt = p.stamp(at)
	req.deadline = p.shutdown.bound(req.stream.completedAt+req.stream.clientWait, p.clock)
	if req.timer.call != nil {
		p.scheduleBackstop(req)
	}
	if req.handle != nil && !req.released {
		p.decideRequest(req, req.handle.BodyCompleted)
	}
}

// requestTimerFired calls the decisions at the time that they asked for, and answers a request whose time is up.
func (p *Proxy) requestTimerFired(req *request) {
	// While a client still sends, an attempt is not overdue and its server not to blame.
	uploading := req.stream.upload != nil && req.stream.upload.Started() && req.stream.completedAt == 0
	if !req.released && !uploading {
		p.decideRequest(req, req.handle.TimerFired)
	}
	switch {
	case p.now() < req.deadline-backstopMarginSeconds:
	case req.endsEarly && !req.answered:
		p.abandonRequest(req)
	default:
		p.failUnanswered(req)
	}
}

// limitDeadlines has all requests in flight end by a time, in seconds since 1970, at which this process may be killed,
// however long their clients would wait.
func (p *Proxy) limitDeadlines(deadline float64) {
	for _, req := range p.requests.byRef {
		if req != nil && !req.answered && req.deadline > deadline {
			req.deadline, req.endsEarly = deadline, true
			p.scheduleBackstop(req)
		}
	}
}

// abandonRequest answers a request that its process can't wait for: rejected where a retry is safe, else failed.
func (p *Proxy) abandonRequest(req *request) {
	reply := balance.Rejected
	if !req.safeToRetry(p.now() + p.bootstrap.MaxRetryAfter) {
		reply = balance.Failed
	}
	p.respond(req, reply, p.bootstrap.MaxRetryAfter)
	p.decideRequest(req, req.handle.ClientDisconnected)
}

// failUnanswered answers a request that the decisions have not answered: rule 1 is that every request gets a response.
func (p *Proxy) failUnanswered(req *request) {
	if !invariant.Holds(req.answered, "every request is answered before its deadline") {
		p.respond(req, balance.Failed, 0)
	}
}

// clientDisconnected tells the decisions that a client has gone.
func (p *Proxy) clientDisconnected(req *request) {
	if req.answered {
		p.dropResponse(req)
		return
	}
	req.answered = true
	p.counters.ClientGone++
	if req.handle != nil {
		p.decideRequest(req, req.handle.ClientDisconnected)
	}
}

// dropResponse releases a response that nobody takes any more.
func (p *Proxy) dropResponse(req *request) {
	select {
	case resp := <-req.response:
		p.memory.release(resp.reservedBytes)
		if resp.stream != nil {
			closeStream(resp.stream)
		}
	default:
	}
}

// respond gives a request its final response.
func (p *Proxy) respond(req *request, reply balance.Reply, retryAfter float64) {
	if !invariant.Holds(!req.answered, "a request gets one response") {
		return
	}
	if reply == balance.Rejected && !invariant.Holds(req.safeToRetry(p.now()), "a rejected request is safe to retry") {
		reply = balance.Failed
	}
	req.answered = true
	p.discardResponses(req)
	if p.debugEnabled() {
		p.log.WithFields(p.requestFields(req)).Debug("request not served")
	}
	if p.now() > (req.arrivedAt+req.deadline)/2 && !req.mayHaveRun() {
		p.counters.RejectedLate++
	}
	req.response <- p.finalResponse(req, reply, retryAfter)
}

// mayHaveRun reports whether a server may have run the request.
func (req *request) mayHaveRun() bool {
	for _, att := range req.attempts {
		if !att.neverRan {
			return true
		}
	}
	return false
}

// finalResponse counts and makes the response of a request that has not succeeded.
func (p *Proxy) finalResponse(req *request, reply balance.Reply, retryAfter float64) response {
	last := balance.NotSent
	if n := len(req.attempts); n > 0 {
		last = req.attempts[n-1].outcome
	}
	switch {
	case req.serverFailure != nil && last == balance.ServerError:
		p.counters.Failed++
		if req.serverFailure.status == http1.StatusServiceUnavailable { // whoever gets it takes a retry to be safe
			req.serverFailure.status = http1.StatusBadGateway
		}
		return *req.serverFailure
	case reply == balance.Rejected:
		p.counters.Rejected++
		return response{
			status:     http1.StatusServiceUnavailable,
			retryAfter: retryAfter,
			body:       []byte("dismissed\n"),
		}
	}
	p.counters.Failed++
	if last == balance.InvalidRequest {
		return response{status: http1.StatusBadRequest, body: []byte("found at fault by a backend\n")}
	}
	return response{status: http1.StatusBadGateway, body: []byte("forfeited\n")}
}

// closeStream gives up a streamed response whose client has gone; CloseWithError of a pipe never fails.
func closeStream(stream interface{ CloseWithError(error) error }) {
	_ = stream.CloseWithError(upstream.ErrClientGone)
}
