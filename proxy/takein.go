package proxy

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"lockloom/balance"
	"lockloom/internal/http1"
	"lockloom/internal/poller"
	"lockloom/internal/recvtime"
	"lockloom/internal/settings"
	"lockloom/internal/upstream"
	"lockloom/lifecycle"
)

// clientConn is a client's connection.
type clientConn struct {
	proxy  *Proxy
	routed bool // by the ordinary door
	conn   net.Conn
	*connReader
	acceptedAt   time.Time
	readDeadline time.Time   // its present read deadline
	watchTimer   *time.Timer // of a request that takes long; nil: none did yet
	headBuffer   []byte      // the head of its last answer
	bodyStreamed bool        // a body flowed
	lost         bool        // its client has closed it, or takes nothing more
	uploadDone   chan error  // of a body that flows, and is still read
	turn         chan bool   // its request's turn has come, or is not to come
	occupiesCore bool        // its request is in this core's hands
	pipelined    bool        // its present request was sent before the answer to the last
	overflow     bool        // taken over the bound

	idleWait   *poller.Wait  // nil: reading waits
	abandoned  atomic.Bool   // its request is not waited for any more; the connection ends then
	peerClosed atomic.Bool   // its client sends nothing more than has come
	wake       chan struct{} // its next request has come, or it is to go

	closeRequested atomic.Bool // it is to go, see end
	evicted        atomic.Bool // and at once: others want its place
	readNoMore     atomic.Bool // and what its client has not sent of its request is not waited for

	// Under door.mu.
	requestBegun bool        // its request has, and has not come whole
	lingering    bool        // it has its last answer
	recent       bool        // new, or begun: gets time to go on
	queuedAt     time.Time   // waits since
	closeAt      time.Time   // unless its request has begun to come, it is closed then
	queue        *connQueue  // the one that it stands in; nil: none
	prev, next   *clientConn // there
}

// acceptConnections takes connections until the listener ends.
func (p *Proxy) acceptConnections(ln net.Listener, open bool) error {
	for {
		p.conns.waitForCapacity(p.acceptEnding.Load, p.overloaded)
		nc, err := ln.Accept()
		if err != nil {
			if p.shuttingDown() && errors.Is(err, net.ErrClosed) {
				return nil
			}
			if errors.Is(err, os.ErrDeadlineExceeded) { // another process of this proxy accepts now
				time.Sleep(acceptPollInterval)
				continue
			}
			var temporary net.Error
			if errors.As(err, &temporary) && !errors.Is(err, net.ErrClosed) {
				p.log.WithError(err).Error("accept")
				time.Sleep(acceptRetryDelay)
				continue
			}
			return err
		}
		r := connReaders.Get().(*connReader)
		r.source.Reset(nc)
		r.Reset(r.source)
		r.AnyBodySize = true
		c := &clientConn{proxy: p, routed: open, conn: nc, connReader: r, acceptedAt: time.Now(), turn: make(chan bool, 1), wake: make(chan struct{}, 1)}
		c.idleWait = p.idleConns.Add(nc, func(ended bool) {
			c.peerClosed.Store(ended)
			c.wakeUp()
		})
		c.overflow = p.conns.add(c)
		p.connGroup.Add(1)
		go c.serve()
	}
}

// connReader reads a connection, for as long as that lasts.
type connReader struct {
	*http1.Reader
	source *recvtime.Reader
}

// connReaders are of connections that have ended.
var connReaders = sync.Pool{New: func() any { return &connReader{http1.NewReader(nil), recvtime.NewReader(nil)} }}

// setReadDeadline sets when reading ends without a byte.
func (c *clientConn) setReadDeadline(t time.Time) {
	c.readDeadline = t
	c.conn.SetReadDeadline(t)
	if c.readNoMore.Load() {
		c.conn.SetReadDeadline(pastDeadline)
	}
}

// pastDeadline is a deadline that ends reading, but for what has come.
var pastDeadline = time.Unix(1, 0)

// serve takes in the requests of one connection, one after the other.
func (c *clientConn) serve() {
	defer c.proxy.connGroup.Done()
	defer func() {
		if !c.bodyStreamed { // else somebody may still read
			c.source.Reset(nil)
			connReaders.Put(c.connReader)
		}
	}()
	defer c.proxy.conns.remove(c)
	defer c.closeGracefully()
	defer c.proxy.recoverPanic()
	for first := true; ; first = false {
		c.proxy.conns.markIdle(c, first)
		if c.pipelined = c.Buffered(); !c.pipelined && c.beginIdleWait() {
			<-c.wake
			if c.peerClosed.Load() && c.proxy.overloaded() { // danger: requests whose clients have given up would take the turns of those who wait
				c.lost = true
				return
			}
		}
		if err := c.Wait(); err != nil {
			c.lost = !errors.Is(err, os.ErrDeadlineExceeded) // else the door has it go
			return
		}
		c.proxy.conns.requestBegun(c, first)
		if !c.serveRequest(first) {
			return
		}
	}
}

// closeGracefully ends a connection, whatever ended its service: nothing more is sent, what its client still sends is read and dropped until
// that ends too, for a bounded time. Danger: closed over bytes that nobody read, the system resets it, and an answer that is still on
// its way is lost with that. Nothing that comes from here on is a request: no answer could follow it.
func (c *clientConn) closeGracefully() {
	defer c.conn.Close()
	defer c.idleWait.Forget()
	half, ok := c.conn.(interface{ CloseWrite() error })
	if !ok || c.lost || c.evicted.Load() || half.CloseWrite() != nil {
		return
	}
	c.proxy.conns.markLingering(c)
	if c.uploadDone != nil { // that reads on
		select {
		case <-c.uploadDone:
		case <-time.After(lingerTimeout):
		}
		return
	}
	c.conn.SetReadDeadline(time.Now().Add(lingerTimeout))
	io.CopyN(io.Discard, c.source, maxLingerBytes)
}

// beginIdleWait has a connection wait with all others, if that is known to work.
func (c *clientConn) beginIdleWait() bool {
	select {
	case <-c.wake: // from before
	default:
	}
	return c.idleWait != nil && c.idleWait.Begin() == nil && c.proxy.idleConns.Works() && !c.closeRequested.Load()
}

// requestComplete has it read on.
func (c *clientConn) wakeUp() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// serveRequest takes in a request, has it answered, and tells whether the connection stays.
func (c *clientConn) serveRequest(first bool) bool {
	defer func() {
		if c.occupiesCore {
			c.occupiesCore = false
			c.proxy.requestLeftCore()
		}
	}()
	if !c.Ready() {
		whole := time.Now().Add(headTimeout)
		if last := c.acceptedAt.Add(firstHeadTimeout); first && last.Before(whole) {
			whole = last
		}
		c.setReadDeadline(whole)
	}
	h, err := c.Request()
	if err != nil {
		return c.rejectBadRequest(err)
	}
	arrived := c.receivedAt() // it may have waited for this core; but the time in which a client writes slowly is none of its request's
	closing := h.Close
	head, old := string(h.Method) == "HEAD", h.HTTP10
	l, a, told, err := c.readRequest(h, arrived, first)
	if err != nil {
		return c.rejectBadRequest(err)
	}
	closing = closing || h.Close     // danger: a body that nobody wants is left unread, and would be taken for a request
	c.proxy.conns.requestComplete(c) // only now: a request that does not come whole is no reason to stay
	answer := response{}
	if told != nil {
		answer = *told
	}
	if l != nil {
		l.client = c
		if l.upload != nil {
			c.setReadDeadline(time.Time{})
			fed := make(chan error, 1)
			c.uploadDone, c.bodyStreamed = fed, true
			go c.forwardBody(l, fed)
		}
		size := int64(len(l.head) + len(l.body))
		room := c.proxy.reserveMemory(size)
		if room {
			defer c.proxy.reservedBytes.Add(-size)
		}
		over := !room || c.overflow || !c.proxy.admitsRequests()
		c.occupiesCore = false
		c.proxy.post(func() {
			defer c.proxy.requestLeftCore() // danger: a panic that costs one request must not cost the core a hand
			c.proxy.admit(l, a, over)
		})
		if answer, err = c.awaitResponse(l); err != nil {
			c.abandoned.Store(true) // danger: the owner may hear of it late
			c.proxy.post(func() { c.proxy.clientDisconnected(l) })
			return c.rejectBadRequest(err)
		}
		if l.upload != nil { // it may not have been read to its end, and what is left of it would be taken for a request
			l.upload.Stop()
			closing = true
		}
	}
	defer c.proxy.reservedBytes.Add(-answer.reservedBytes)
	answer.headOnly, answer.http10 = answer.headOnly || head && c.routed, old
	closing = closing || c.overflow || c.closeRequested.Load() || c.proxy.closesAfterResponse() || first && c.proxy.conns.closesFirstResponse() || answer.stream != nil && old && answer.contentLength < 0
	if err = c.writeResponse(answer, closing); err != nil {
		c.lost = true
	}
	if err != nil || closing {
		return false
	}
	if !c.readDeadline.IsZero() {
		c.setReadDeadline(time.Time{}) // the door closes it
	}
	return true
}

// forwardBody hands a body on as it comes, at the server's pace, and says how that ended. A request that is answered stops it. Danger: the attempt
// ends by the body's end too, and what became of the body is the better answer; so it is said first.
func (c *clientConn) forwardBody(l *request, fed chan<- error) {
	var err error
	if len(l.body) > 0 { // what was kept of it until it was found too large
		_, err = l.upload.In.Write(l.body)
	}
	if err == nil {
		_, err = io.CopyBuffer(struct{ io.Writer }{l.upload.In}, l.bodyReader, make([]byte, streamBufferBytes))
	}
	if err == nil {
		at := time.Now()
		c.proxy.post(func() { c.proxy.bodyCompleted(l, at) })
	}
	stopped := errors.Is(err, upstream.ErrUploadStopped)
	if !stopped {
		fed <- err
	}
	l.upload.In.CloseWithError(err)
	if stopped { // read on a little, so that the client can read its answer
		io.CopyN(io.Discard, l.bodyReader, maxLingerBytes)
		fed <- err
	}
}

// pacedBodyReader reads a body from a client that must keep a pace, however it is cut into pieces. Only the time in which the client is
// waited for counts: a server may take it slowly.
type pacedBodyReader struct {
	conn       net.Conn
	source     io.Reader
	readNoMore *atomic.Bool // no more of it is waited for; nil: never
	grace      time.Duration
	received   int
	maxBytes   int           // bytes; 0: any
	waited     time.Duration // for them
}

func (b *pacedBodyReader) Read(to []byte) (int, error) {
	left := min(b.grace+time.Duration(b.received)*time.Second/minBodyBytesPerSecond-b.waited, bodyGracePeriod)
	if left <= 0 {
		return 0, fmt.Errorf("%d bytes of the body in %v of waiting: %w", b.received, b.waited, os.ErrDeadlineExceeded)
	}
	began := time.Now()
	b.conn.SetReadDeadline(began.Add(left))
	if b.readNoMore != nil && b.readNoMore.Load() {
		b.conn.SetReadDeadline(pastDeadline)
	}
	n, err := b.source.Read(to)
	b.conn.SetReadDeadline(time.Time{})
	b.waited += time.Since(began)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		err = fmt.Errorf("%d bytes of the body in %v of waiting: %w", b.received+n, b.waited, err)
	}
	if b.received += n; b.maxBytes > 0 && b.received > b.maxBytes {
		return n, &http1.Error{Status: 413, Text: "body too large"}
	}
	return n, err
}

// awaitResponse waits for a request's answer, and for its client to go: a body that flows tells that first. Else the connection is watched
// only where the answer takes long: a watch costs a goroutine and two turns of the scheduler. What a client sends before it has its
// response stays in the buffer; behind what does not fit, or is not read, the system is asked for its end.
func (c *clientConn) awaitResponse(l *request) (response, error) {
	if c.watchTimer == nil {
		c.watchTimer = time.NewTimer(clientWatchDelay)
	} else {
		c.watchTimer.Reset(clientWatchDelay)
	}
	defer c.watchTimer.Stop()
	fed, watched, deaf := c.uploadDone, chan error(nil), c.uploadDone != nil
	for {
		select {
		case answer := <-l.response:
			if watched != nil {
				c.setReadDeadline(pastDeadline) // ends the watch
				<-watched
			}
			return answer, nil
		case err := <-fed:
			stopped := errors.Is(err, upstream.ErrUploadStopped) || errors.Is(err, io.ErrClosedPipe) // the client has not gone
			if c.uploadDone, fed, deaf = nil, nil, stopped; err != nil && !stopped {
				return response{}, err
			}
		case err := <-watched:
			if err != nil {
				return response{}, err
			}
			watched, deaf = nil, true
			c.watchTimer.Reset(clientCheckInterval)
		case <-c.watchTimer.C:
			if !deaf {
				c.setReadDeadline(time.Time{})
				watched = make(chan error, 1)
				go func() { watched <- c.Watch() }()
				break
			}
			if upstream.ClosedByPeer(c.conn) {
				return response{}, errClientGone
			}
			c.watchTimer.Reset(clientCheckInterval)
		}
	}
}

// errClientGone says that a client closed its connection behind what was not read of it.
var errClientGone = errors.New("the client has gone")

// receivedAt is when what was read last came to this machine, as far as that is known.
func (c *clientConn) receivedAt() time.Time {
	if at := c.source.Received(); !at.IsZero() && !c.pipelined {
		return at
	}
	return time.Now()
}

// readRequest reads the rest of a request and what it says of its request; there is none in a question of readiness.
func (c *clientConn) readRequest(h *http1.Head, arrived time.Time, first bool) (*request, balance.RequestInfo, *response, error) {
	var l *request
	var a balance.RequestInfo
	var told *response
	var err error
	if !c.routed {
		h.Target = originForm(h.Target)
	}
	body := h.Chunked || h.Length != 0
	path, query, _ := bytes.Cut(h.Target, []byte{'?'})
	if c.routed {
		if l, a, told, err = c.matchRoute(h, arrived); err != nil {
			return nil, a, nil, err
		}
		if l != nil && !body && !c.awaitTurn(l.class, a.Tenant, 0) {
			l, told = nil, c.proxy.overloadResponse()
		}
	} else if string(path) == "/up" {
		up := c.proxy.readinessResponse()
		told = &up
	} else {
		if a, err = c.proxy.parseRequestInfo(h, path, query, arrived); err != nil {
			return nil, a, nil, err
		}
		row := &c.proxy.bootstrap.Classes[a.Class]
		if !body && !c.awaitTurn(row, a.Tenant, 0) {
			told = c.proxy.overloadResponse()
		} else {
			l = &request{pool: c.proxy.platformPool, class: row, arrived: c.proxy.stamp(arrived), deadline: a.Deadline, id: string(h.Get("X-Trace-Id")), response: make(chan response, 1)}
			l.head = http1.AppendRequest(make([]byte, 0, initialHeadBytes), h.Method, h.Target)
			l.head = http1.AppendForwardedFields(l.head, h, "X-Expires-In")
		}
	}
	get := string(h.Method) == "GET" || string(h.Method) == "HEAD" // reading the body moves the head
	if h.Continue && !c.Buffered() {
		c.conn.SetWriteDeadline(time.Now().Add(clientWriteTimeout))
		c.conn.Write(append(http1.AppendStatus(nil, 100), "\r\n"...))
	}
	if h.Length > maxBodyBytes && !c.routed {
		return nil, a, nil, &http1.Error{Status: 413, Text: "body too large"}
	}
	flows := h.Length > http1.DefaultMaxBytes || h.Chunked && c.routed
	if flows && l == nil { // a route's own answer, or a question of readiness: the body is not wanted, and the connection ends
		h.Close = true
		return l, a, told, nil
	}
	length, chunked := h.Length, h.Chunked
	if length == 0 && !chunked {
		if l != nil {
			c.bodyRead(l, &a, nil, get, arrived)
		}
		return l, a, told, nil
	}
	c.readDeadline = time.Time{} // each read of the body sets its own
	from := &pacedBodyReader{conn: c.conn, source: c.StreamBody(length, chunked), readNoMore: &c.readNoMore, grace: bodyGracePeriod}
	if first {
		from.grace = min(max(time.Until(c.acceptedAt.Add(firstBodyGraceDeadline)), minBodyGracePeriod), bodyGracePeriod)
	}
	if !c.routed {
		from.maxBytes = maxBodyBytes
	}
	var came []byte
	if !flows {
		var err error
		came, err = io.ReadAll(io.LimitReader(from, http1.DefaultMaxBytes+1))
		if err != nil {
			return l, a, told, err
		}
		flows = len(came) > http1.DefaultMaxBytes // chunks that have not ended: what has come of them goes first
	}
	if l == nil {
		return l, a, told, nil
	}
	if flows {
		l.body = came
		l.upload, l.bodyReader = upstream.NewUpload(chunked), from
		l.clientWait, a.Streaming = a.Deadline-l.arrived, true
		a.Deadline = l.arrived + maxUploadDuration.Seconds() // until it has come whole
		if chunked {
			l.head = http1.AppendField(l.head, "Transfer-Encoding", "chunked")
		} else {
			l.head = http1.AppendLength(l.head, length)
		}
		l.deadline = a.Deadline
		return l, a, told, nil
	}
	if !c.awaitTurn(l.class, a.Tenant, len(came)) {
		return nil, a, c.proxy.overloadResponse(), nil
	}
	c.bodyRead(l, &a, came, get, arrived)
	return l, a, told, nil
}

// overloadResponse is the answer to a request that this core does not take on.
func (p *Proxy) overloadResponse() *response {
	return &response{status: 503, retryAfter: p.bootstrap.MaxRetryAfter, body: []byte("dismissed\n")}
}

// endpointInUse is a request whose body came whole, or that has none.
func (c *clientConn) bodyRead(l *request, a *balance.RequestInfo, body []byte, get bool, arrived time.Time) {
	l.body = body
	if !get || len(body) > 0 {
		l.head = http1.AppendLength(l.head, len(body))
	}
	if body != nil {
		late := c.receivedAt().Sub(arrived).Seconds() // its time counts from its last byte
		l.arrived += late
		a.Deadline += late
	}
	l.deadline = a.Deadline
}

// originForm is a target without scheme and host, which a client may write too.
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

// singletonFields say whose request it is and how it may be sent again.
var singletonFields = []string{"X-Trace-Id", "X-Qos", "X-Expires-In", "Idempotency-Key"}

// parseRequestInfo is what a request's head says of its request.
func (p *Proxy) parseRequestInfo(h *http1.Head, path, query []byte, arrived time.Time) (balance.RequestInfo, error) {
	a := balance.RequestInfo{Tenant: -1}
	refuse := func(status int, text string) (balance.RequestInfo, error) {
		return a, &http1.Error{Status: status, Text: text}
	}
	first, _, _ := bytes.Cut(bytes.TrimPrefix(path, []byte{'/'}), []byte{'/'})
	named := h.Get("X-Qos")
	class, known := p.registry.Class(string(named))
	if _, there := p.registry.Class(string(first)); !bytes.HasPrefix(path, []byte{'/'}) || !there && (known || named == nil) {
		return refuse(404, "no such path")
	} else if !known {
		return refuse(400, "unknown tariff")
	}
	get, kind := string(h.Method) == "GET", p.bootstrap.Classes[class].Idempotency
	wait, err := strconv.ParseFloat(string(h.Get("X-Expires-In")), 64)
	for _, name := range singletonFields { // danger: a server may go by another of them than this proxy
		if h.HasRepeated(name) {
			return refuse(400, name+" twice")
		}
	}
	switch {
	case get && (h.Length > 0 || h.Chunked): // danger: a server that expects none takes it for a request
		return refuse(400, "GET with a body")
	case !bytes.Equal(first, named):
		return refuse(400, "path and X-Qos differ")
	case len(h.Get("X-Trace-Id")) == 0:
		return refuse(400, "no X-Trace-Id")
	case !get && string(h.Method) != "POST":
		return refuse(501, "method not known")
	case get && kind != balance.Idempotent:
		return refuse(400, "method does not fit the tariff")
	case kind == balance.Keyed && len(h.Get("Idempotency-Key")) == 0:
		return refuse(400, "no Idempotency-Key")
	case err != nil || math.IsNaN(wait) || math.IsInf(wait, 0):
		return refuse(400, "no X-Expires-In")
	}
	a.Class = class
	a.Deadline = p.stamp(arrived) + min(wait, maxClientWaitSeconds)
	if last := p.shutdownDeadline.Load(); last != nil {
		a.Deadline = min(a.Deadline, p.stamp(*last))
	}
	a.ClientRetry = string(h.Get("X-Second-Try")) == "1"
	if name := h.Get("X-Customer"); name != nil {
		a.Tenant = p.registry.Tenant(string(name))
	}
	for part := range bytes.SplitSeq(query, []byte{'&'}) {
		if key, ok := bytes.CutPrefix(part, []byte("user=")); ok {
			a.Key = settings.NameHash(string(key))
		}
	}
	for part := range bytes.SplitSeq(h.Get("X-Props"), []byte{','}) {
		if hint, ok := bytes.CutPrefix(bytes.TrimSpace(part), []byte("ExpectedMs=")); ok {
			if ms, err := strconv.ParseFloat(string(hint), 64); err == nil && ms > 0 && !math.IsInf(ms, 0) {
				a.ExpectedWork = ms / 1000
			}
		}
	}
	return a, nil
}

// rejectBadRequest answers what cannot be taken.
func (c *clientConn) rejectBadRequest(err error) bool {
	if c.readNoMore.Load() {
		return false
	}
	status, text := 0, err.Error()
	var wrong *http1.Error
	switch {
	case errors.As(err, &wrong):
		status = wrong.Status
	case errors.Is(err, os.ErrDeadlineExceeded):
		status, text = 408, "request not whole in time"
	case errors.Is(err, io.ErrUnexpectedEOF):
		status, text = 400, "request not whole"
	default:
		c.lost = true
		return false
	}
	c.proxy.post(func() { c.proxy.counters.BadRequests++ })
	c.proxy.log.WithField("client", c.conn.RemoteAddr().String()).Debug("turned away: ", text, ": ", err)
	c.evicted.Store(false)
	c.lost = c.writeResponse(response{status: status, body: []byte(text + "\n")}, true) != nil
	return false
}

// readinessResponse answers whether the proxy takes requests.
func (p *Proxy) readinessResponse() response {
	if readLifecycle(p.process, (*lifecycle.Process).WantsClients) {
		return response{status: 200, body: []byte("up\n")}
	}
	return response{status: 503, body: []byte("not up\n")}
}
