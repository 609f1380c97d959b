package proxy

import (
	"bytes"
	"io"
	"time"

	"lockloom/balance"
	"lockloom/internal/http1"
	"lockloom/internal/upstream"
)

const (
	// firstHeadTimeout is from a connection's start to its first head's end: clients that send nothing, or send slowly,
	// are answered or closed within 3 s.
	firstHeadTimeout  = 2700 * time.Millisecond
	headTimeout       = 2500 * time.Millisecond // for any head: some clients take 2 s
	maxUploadDuration = 15 * time.Minute        // for a streamed body, until it is complete
	initialHeadBytes  = 512                     // of a forwarded head; a longer one grows
)

// requestReader reads one request of a client connection: its head, what follows from that, and its body, unless that
// is streamed. It belongs to the connection's goroutine. After read without an error either req and info are set, for
// the decisions, or direct is the response.
type requestReader struct {
	conn      *clientConn
	admission *admission
	first     bool // of its connection

	head       *http1.Head // valid until the body is read
	receivedAt time.Time   // of the head
	isHead     bool        // its method is HEAD
	isGet      bool        // its method is GET or HEAD
	http10     bool
	closing    bool // the connection closes with the response

	req    *request // nil: direct is the response
	info   balance.RequestInfo
	direct response
}

// read reads the request. An *http1.Error says how to reject it.
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
	// It may have waited for this core, and that counts as its time; the time in which its client wrote slowly does not.
	r.receivedAt = c.receivedAt()
	r.head = head
	method := string(head.Method)
	r.isHead = method == http1.MethodHead
	r.isGet = r.isHead || method == http1.MethodGet
	r.http10, r.closing = head.HTTP10, head.Close
	return nil
}

// interpretHead finds out what is asked for: by the operator file, or by the platform's own fields. A request without a
// body waits here for its admission to this core.
func (r *requestReader) interpretHead() error {
	if r.conn.operators {
		return r.interpretOperatorHead()
	}
	return r.interpretPlatformHead()
}

// hasBody reports whether a body follows the head.
func (r *requestReader) hasBody() bool { return r.head.Chunked || r.head.Length != 0 }

// admitNow waits for the admission of a request without a body to this core; one with a body is admitted once that is
// read.
func (r *requestReader) admitNow(class *balance.Class) bool {
	return r.hasBody() || r.admission.awaitTurn(class, r.info.Tenant, 0)
}

// rejectOverload answers a request that this core does not admit.
func (r *requestReader) rejectOverload() {
	r.req, r.direct = nil, r.conn.proxy.overloadResponse()
}

// overloadResponse is the response to a request that this core does not admit.
func (p *Proxy) overloadResponse() response {
	return response{
		status:     http1.StatusServiceUnavailable,
		retryAfter: p.bootstrap.MaxRetryAfter,
		body:       []byte("dismissed\n"),
	}
}

// sendContinue tells a client that waits for it to send the body. If that fails, reading the body does too.
func (r *requestReader) sendContinue() {
	c := r.conn
	if r.head.Continue && !c.Buffered() {
		c.conn.SetWriteDeadline(time.Now().Add(clientWriteTimeout))
		_, _ = c.conn.Write(append(http1.AppendStatus(nil, http1.StatusContinue), "\r\n"...))
	}
}

// readBody reads the body, or has a large one streamed.
func (r *requestReader) readBody() error {
	c, length, chunked := r.conn, r.head.Length, r.head.Chunked
	if length > maxBodyBytes && !c.operators {
		return errBodyTooLarge()
	}
	streams := length > http1.DefaultMaxBytes || chunked && c.operators
	if streams && r.req == nil {
		// Nobody wants the body: left unread, it would be taken for a request.
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
	var received []byte
	if !streams {
		var err error
		if received, err = io.ReadAll(io.LimitReader(body, http1.DefaultMaxBytes+1)); err != nil {
			return err
		}
		streams = len(received) > http1.DefaultMaxBytes // chunks that have not ended: what has come goes first
	}
	switch {
	case r.req == nil:
	case streams:
		r.streamRequest(body, received, length, chunked)
	case !r.admission.awaitTurn(r.req.class, r.info.Tenant, len(received)):
		r.rejectOverload()
	default:
		r.completeRequest(received)
	}
	return nil
}

// bodyReader reads the body at the pace that its client must keep.
func (r *requestReader) bodyReader(length int, chunked bool) *pacedBodyReader {
	c := r.conn
	c.readDeadline = time.Time{} // each read of the body sets its own
	body := &pacedBodyReader{
		conn:       c.conn,
		source:     c.StreamBody(length, chunked),
		readNoMore: &c.readNoMore,
		grace:      bodyGracePeriod,
	}
	if r.first {
		grace := time.Until(c.acceptedAt.Add(firstBodyGraceDeadline))
		body.grace = min(max(grace, minBodyGracePeriod), bodyGracePeriod)
	}
	if !c.operators {
		body.maxBytes = maxBodyBytes
	}
	return body
}

// streamRequest has the body forwarded as it comes, after what was received of it.
func (r *requestReader) streamRequest(body *pacedBodyReader, received []byte, length int, chunked bool) {
	req := r.req
	req.body = received
	req.stream = bodyStream{
		upload:     upstream.NewUpload(chunked),
		reader:     body,
		clientWait: r.info.Deadline - req.arrivedAt,
	}
	r.info.Streaming = true
	r.info.Deadline = req.arrivedAt + maxUploadDuration.Seconds() // until it is complete
	req.deadline = r.info.Deadline
	if chunked {
		req.head = http1.AppendField(req.head, "Transfer-Encoding", "chunked")
	} else {
		req.head = http1.AppendLength(req.head, length)
	}
}

// completeRequest finishes a request whose body is received, or that has none. Its time counts from its last byte.
func (r *requestReader) completeRequest(body []byte) {
	req := r.req
	req.body = body
	if !r.isGet || len(body) > 0 {
		req.head = http1.AppendLength(req.head, len(body))
	}
	if body != nil {
		bodyTime := r.conn.receivedAt().Sub(r.receivedAt).Seconds()
		req.arrivedAt += bodyTime
		r.info.Deadline += bodyTime
	}
	req.deadline = r.info.Deadline
}

// originForm is a request's target without scheme and host, which a client may send too.
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
