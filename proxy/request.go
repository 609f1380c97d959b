package proxy

import (
	"time"

	"lockloom/balance"
	"lockloom/internal/http1"
	"lockloom/internal/invariant"
	"lockloom/internal/upstream"
	"lockloom/limits"
)

// request is a client's request. The connection's goroutine makes it; from admit on it belongs to the owner, which
// sends exactly one response.
type request struct {
	pool      *serverPool // the route's pool; once admitted, the pool that serves the request, which may be a backup
	class     *balance.Class
	id        string
	traceID   string            // the X-Trace-Id that the client sent; empty: id serves as the trace id
	arrivedAt float64           // seconds since 1970
	deadline  float64           // seconds since 1970
	client    *clientConn       // set by admission.serve; nil: none
	retryRule *limits.RetryRule // nil: from the platform listener; the retry rules of the deployment hold
	quota     requestQuota
	response  chan response // buffered for the one response, so that the owner never blocks on the client

	forwardedRequest
	requestState
}

// forwardedRequest is what is sent to a server, the same in all attempts.
type forwardedRequest struct {
	head, body  []byte
	stream      bodyStream
	passthrough bool // from an HTTP listener: server responses are relayed unchanged, also those that report a failure
	headOnly    bool // the method is HEAD: the response has no body
}

// countedBytes returns how many bytes of what is forwarded count against the memory budget.
func (f *forwardedRequest) countedBytes() int64 {
	counted := upstream.CountedBytes(cap(f.head)) + upstream.CountedBytes(cap(f.body))
	if f.stream.upload != nil {
		counted += uploadBufferBytes
	}
	return counted
}

// countedBytes returns how many bytes of the request count against the memory budget: what is forwarded, and long ids,
// which are copies of parts of the head.
func (req *request) countedBytes() int64 {
	return req.forwardedRequest.countedBytes() + upstream.CountedBytes(len(req.id)) +
		upstream.CountedBytes(len(req.traceID))
}

// requestState is the owner's state of a request. The zero value is the state before admission.
type requestState struct {
	ref             int // index in requestTable.byRef
	handle          RequestHandle
	timer           timer // fires at the times that the balancer sets, and as the backstop
	attempts        []*attempt
	serverFailure   *response // the last response in which a server reported its own failure; kept only with passthrough
	answered        bool      // a response was sent, or the client has gone
	released        bool      // the balancer needs no further call about the request
	reservedBytes   int64     // of the memory budget, released with the request; 0 while its connection holds them
	deadlineLimited bool      // the deadline is earlier than the one that the balancer knows
	leftByClient    bool      // the client left without the response
	repeatBy        float64   // attempts must be sent by this time, see requestIDs.mayRun
}

// requestTable holds the requests in flight. It belongs to the owner.
type requestTable struct {
	byRef    []*request // indexed by balance.RequestInfo.Ref; nil: free
	freeRefs []int
	ids      requestIDs
}

// add adds a request and sets its ref.
func (t *requestTable) add(req *request) {
	t.ids.open[req.id] = true
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
	delete(t.ids.open, req.id)
	t.freeRefs = append(t.freeRefs, req.ref)
}

// clientGone reports whether the client has gone. Any goroutine may call it, just before bytes of the request are sent
// to a server: the event from the connection's goroutine may not have reached the owner yet, and on a busy core that
// goroutine may not have run. The socket is queried only if more than clientCheckInterval has passed since arrivedAt,
// if the connection has waited long for a turn, or if the request must not run twice: a client that has left may have
// sent it to another process of this proxy again.
func (req *request) clientGone(arrivedAt time.Time) bool {
	if req.client == nil {
		return false
	}
	check := req.mayNotRepeat() || req.client.share.waited.Load() || time.Since(arrivedAt) > clientCheckInterval
	return req.client.abandoned.Load() || check && req.client.peerHasGone()
}

// safeToRetry reports whether it is safe to send the request again at the given time, in seconds since 1970. It is safe
// if no server ran any attempt, if the class is idempotent, or if every server still deduplicates the request by its
// idempotency key.
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

// latency returns how long an attempt took, in seconds. For a streamed request it counts from the body's last byte,
// since the client's sending time is not the server's latency. It is 0 if the response was received before that byte,
// or was processed before bodyCompleted.
func (req *request) latency(sentAt, endedAt float64) float64 {
	switch {
	case req.stream.upload == nil:
		return endedAt - sentAt
	case req.stream.completedAt == 0:
		return 0
	}
	return max(endedAt-max(sentAt, req.stream.completedAt), 0)
}

// cancelUnwritten is called once a request is answered and needs no other response. Attempts whose request is not
// written to a connection yet end as not sent; attempts in flight continue.
func (p *Proxy) cancelUnwritten(req *request) {
	for _, att := range req.attempts {
		if att.started && !att.ended {
			p.upstream.CancelUnwritten(&att.exchange)
		}
	}
}

// clientDisconnected reports to the balancer that the client has gone, or drops the response if there is one already.
func (p *Proxy) clientDisconnected(req *request) {
	p.clientLeft(req)
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

// dropResponse releases the resources of a response that was sent to a connection's goroutine after it stopped waiting.
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

// respond answers a request that has not succeeded.
func (p *Proxy) respond(req *request, reply balance.Reply, retryAfter float64) {
	if !invariant.Holds(!req.answered, "a request gets one response") {
		return
	}
	if reply == balance.Rejected && !invariant.Holds(req.safeToRetry(p.now()), "a rejected request is safe to retry") {
		reply = balance.Failed
	}
	req.answered = true
	p.cancelUnwritten(req)
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

// finalResponse returns the response to a request that has not succeeded, and counts the request as rejected or failed.
func (p *Proxy) finalResponse(req *request, reply balance.Reply, retryAfter float64) response {
	last := balance.NotSent
	if n := len(req.attempts); n > 0 {
		last = req.attempts[n-1].outcome
	}
	switch {
	case req.serverFailure != nil && last == balance.ServerError:
		p.counters.Failed++
		failure := *req.serverFailure
		req.serverFailure = nil                               // its memory is now released with the response
		if failure.status == http1.StatusServiceUnavailable { // to a client, 503 means that a retry is safe
			failure.status = http1.StatusBadGateway
		}
		return failure
	case reply == balance.Rejected:
		p.counters.Rejected++
		return response{
			status:     http1.StatusServiceUnavailable,
			retryAfter: retryAfter,
			body:       []byte("dismissed\n"),
			notServed:  true,
		}
	}
	p.counters.Failed++
	if last == balance.InvalidRequest {
		return response{status: http1.StatusBadRequest, body: []byte("found at fault by a backend\n"), notServed: true}
	}
	return response{status: http1.StatusBadGateway, body: []byte("forfeited\n"), notServed: true}
}

// closeStream aborts a streamed response whose client has gone. CloseWithError of a pipe never fails.
func closeStream(stream interface{ CloseWithError(error) error }) {
	_ = stream.CloseWithError(upstream.ErrClientGone)
}
