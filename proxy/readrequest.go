package proxy

import (
	"bytes"
	"time"

	"lockloom/balance"
	"lockloom/internal/http1"
	"lockloom/internal/upstream"
)

const (
	// firstHeadTimeout is the time limit from accepting a connection to the end of its first head, so that clients that
	// send nothing, or send slowly, get a response or are disconnected within 3 s.
	firstHeadTimeout  = 2700 * time.Millisecond
	headTimeout       = 2500 * time.Millisecond // time from the first byte to the end of any head: some clients take 2 s
	maxUploadDuration = 15 * time.Minute        // time from a request's arrival to the end of its streamed body
	initialHeadBytes  = 512                     // initial buffer capacity for a forwarded head
)

// requestReader reads one request of a client connection: its head, which it interprets, and its body, unless that is
// streamed. It belongs to the connection's goroutine. After read has returned nil, either req and info are set for
// admission, or req is nil and direct is the response.
type requestReader struct {
	conn      *clientConn
	admission *admission
	first     bool // the request is the first one of its connection

	head       *http1.Head // valid until the body is read
	receivedAt time.Time   // when the head was received completely
	isHead     bool        // the method is HEAD
	isGet      bool        // the method is GET or HEAD
	http10     bool        // the client speaks HTTP/1.0
	closing    bool        // the connection closes after the response

	req        *request // nil: direct is the response
	info       balance.RequestInfo
	direct     response
	overloaded bool // direct is the rejection by the overload queue
}

// read reads the request. For an invalid request the error is an *http1.Error with the status to respond with.
func (r *requestReader) read() error {
	if err := r.readHead(); err != nil {
		return err
	}
	if err := r.interpretHead(); err != nil {
		return err
	}
	r.sendContinue()
	return r.readBody()
}

func (r *requestReader) readHead() error {
	c := r.conn
	if !c.Ready() {
		deadline := time.Now().Add(headTimeout)
		if firstDeadline := c.acceptedAt.Add(firstHeadTimeout); r.first && firstDeadline.Before(deadline) {
			deadline = firstDeadline
		}
		c.setReadDeadline(deadline)
	}
	head, err := c.Request()
	if err != nil {
		return err
	}
	r.head = head
	if err := r.reserveHeadCopy(head.Size); err != nil {
		return err
	}
	// Counted from here, the request's latency includes the time in which the received head waited for this core, but not
	// the time that a slow client took to send it.
	r.receivedAt = c.receivedAt()
	c.proxy.readDelays.observe(time.Since(r.receivedAt))
	method := string(head.Method)
	r.isHead = method == http1.MethodHead
	r.isGet = r.isHead || method == http1.MethodGet
	r.http10, r.closing = head.HTTP10, head.Close
	return nil
}

// reserveHeadCopy reserves memory for the copy of a large head that is forwarded.
func (r *requestReader) reserveHeadCopy(size int) error {
	if size <= http1.BufferBytes {
		return nil
	}
	c := r.conn
	total := c.memory.reserved + int64(forwardedHeadBytes(size))
	body := c.StreamBody(r.head.Length, r.head.Chunked)
	return c.memory.reserve(total, incompleteUse(total), body, c.readDeadline)
}

// forwardedHeadBytes returns the buffer capacity for the head that is forwarded for a received one of this size.
func forwardedHeadBytes(size int) int {
	if size <= http1.BufferBytes {
		return initialHeadBytes
	}
	return size + initialHeadBytes // for fields that are added, and for white space that is normalized
}

// interpretHead makes the request, or the direct response, from the head: by the operator file's routes or by the
// platform's own fields. A request without a body waits here for its admission to this core. The memory of a large head
// is then released: what is forwarded of it was copied.
func (r *requestReader) interpretHead() error {
	var err error
	if r.conn.httpListener {
		err = r.interpretOperatorHead()
	} else {
		err = r.interpretPlatformHead()
	}
	if err != nil {
		return err
	}
	memory := &r.conn.memory
	if r.req != nil {
		memory.clientWait = seconds(r.info.Deadline - r.req.arrivedAt)
	}
	r.conn.ReleaseHead()
	memory.settle(r.countedBytes())
	return nil
}

// countedBytes returns how many bytes of what was read and is kept count against the memory budget.
func (r *requestReader) countedBytes() int64 {
	if r.req == nil {
		return 0
	}
	return r.req.countedBytes()
}

// hasBody reports whether a body follows the head.
func (r *requestReader) hasBody() bool { return r.head.Chunked || r.head.Length != 0 }

// admitNow waits until a request without a body is admitted to this core, and reports whether it is. It returns true
// for a request with a body, which is admitted after the body is read.
func (r *requestReader) admitNow(class *balance.Class) bool {
	return r.hasBody() || r.admission.awaitAdmission(class, r.info.Tenant, 0)
}

// rejectOverload sets the direct response of a request that the overload queue rejected.
func (r *requestReader) rejectOverload() {
	r.req, r.direct, r.overloaded = nil, r.conn.proxy.overloadResponse(), true
}

// overloadResponse returns the response to a request that the overload queue rejected.
func (p *Proxy) overloadResponse() response {
	return response{
		status:     http1.StatusServiceUnavailable,
		retryAfter: p.bootstrap.MaxRetryAfter,
		body:       []byte("dismissed\n"),
	}
}

// sendContinue sends 100 Continue to a client that expects it before it sends the body. A write error is ignored, since
// reading the body then fails too.
func (r *requestReader) sendContinue() {
	c := r.conn
	if r.head.Continue && !c.Buffered() {
		c.conn.SetWriteDeadline(time.Now().Add(clientWriteTimeout))
		_, _ = c.conn.Write(append(http1.AppendStatusLine(nil, http1.StatusContinue), "\r\n"...))
	}
}

// readBody reads the body, or prepares a large one to be streamed, and completes the request.
func (r *requestReader) readBody() error {
	c, length, chunked := r.conn, r.head.Length, r.head.Chunked
	if length > maxBodyBytes && !c.httpListener {
		return errBodyTooLarge()
	}
	streamed := length > http1.DefaultMaxBytes || chunked && c.httpListener
	if streamed && r.req == nil { // the body is not read: its bytes must not be parsed as the next request
		r.closing = true
		return nil
	}
	if length == 0 && !chunked {
		if r.req != nil {
			r.completeRequest(nil)
		}
		return nil
	}
	body := r.bodyReader(length, chunked)
	if r.req == nil {
		return r.dropBody(body)
	}
	var received []byte
	if !streamed {
		var err error
		if received, err = r.receiveBody(body, length, chunked); err != nil {
			return err
		}
		streamed = len(received) > http1.DefaultMaxBytes // chunked and too large to buffer
	}
	switch {
	case streamed:
		return r.streamRequest(body, received, length, chunked)
	case !r.admission.awaitAdmission(r.req.class, r.info.Tenant, len(received)):
		r.rejectOverload()
	default:
		r.completeRequest(received)
	}
	return nil
}

// bodyReader returns a reader of the body that enforces a minimum rate.
func (r *requestReader) bodyReader(length int, chunked bool) *pacedBodyReader {
	c := r.conn
	c.readDeadline = time.Time{} // each read of the body sets a deadline and removes it afterwards
	body := &pacedBodyReader{
		conn:       c.conn,
		source:     c.StreamBody(length, chunked),
		share:      c.share,
		abortReads: &c.abortReads,
		grace:      bodyGracePeriod,
	}
	if r.first {
		grace := time.Until(c.acceptedAt.Add(firstBodyGraceDeadline))
		body.grace = min(max(grace, minBodyGracePeriod), bodyGracePeriod)
	}
	if !c.httpListener {
		body.maxBytes = maxBodyBytes
	}
	return body
}

// streamRequest prepares a request whose body is forwarded while it is received. received is the part that was read
// already and is forwarded first. The deadline extends to maxUploadDuration until the last byte is received.
func (r *requestReader) streamRequest(body *pacedBodyReader, received []byte, length int, chunked bool) error {
	req := r.req
	total := req.countedBytes() + upstream.CountedBytes(cap(received)) + uploadBufferBytes
	waitUntil := time.Now().Add(body.maxWait())
	if err := r.conn.memory.reserve(total, useIncomplete, body.source, waitUntil); err != nil {
		return err
	}
	req.body = received
	req.stream = bodyStream{
		upload:     upstream.NewUpload(chunked),
		reader:     &streamedBody{pacedBodyReader: body},
		clientWait: r.info.Deadline - req.arrivedAt,
	}
	r.info.StreamingBody = true
	r.info.Deadline = req.arrivedAt + maxUploadDuration.Seconds() // until bodyReceived sets it
	req.deadline = r.info.Deadline
	if chunked {
		req.head = http1.AppendField(req.head, "Transfer-Encoding", "chunked")
	} else {
		req.head = http1.AppendContentLength(req.head, length)
	}
	return nil
}

// completeRequest completes a request whose body is received, or that has none. Its arrival and its deadline count from
// its last byte.
func (r *requestReader) completeRequest(body []byte) {
	req := r.req
	req.body = body
	if !r.isGet || len(body) > 0 {
		req.head = http1.AppendContentLength(req.head, len(body))
	}
	if body != nil {
		bodyTime := r.conn.receivedAt().Sub(r.receivedAt).Seconds()
		req.arrivedAt += bodyTime
		r.info.Deadline += bodyTime
	}
	req.deadline = r.info.Deadline
}

// originForm returns a target in origin form (RFC 9112): an absolute http URI without its scheme and authority, any
// other target unchanged.
func originForm(target []byte) []byte {
	const scheme = "http://"
	if len(target) < len(scheme) || !bytes.EqualFold(target[:len(scheme)], []byte(scheme)) {
		return target
	}
	rest := target[len(scheme):]
	i := bytes.IndexAny(rest, "/?")
	switch {
	case i < 0:
		return []byte{'/'}
	case rest[i] == '?':
		return append([]byte{'/'}, rest[i:]...)
	}
	return rest[i:]
}
