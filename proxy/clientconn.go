package proxy

import (
	"errors"
	"io"
	"net"
	"os"
	"sync/atomic"
	"time"

	"lockloom/internal/http1"
	"lockloom/internal/poller"
	"lockloom/internal/socket"
)

const (
	// lingerTimeout bounds how long a connection is read after its last response, so that the client can receive that
	// response before the connection closes.
	lingerTimeout  = 500 * time.Millisecond
	maxLingerBytes = 8 << 20 // read and dropped while a connection lingers
)

// pastDeadline is a read deadline in the past: a read that would block fails at once, while buffered bytes can still be
// read.
var pastDeadline = time.Unix(1, 0)

// clientConn is a client connection. Its goroutine serves the requests one after the other: it reads a request
// (requestReader), passes it to admission, waits for the response and writes it. Other goroutines access only
// connSignals, and queueState while they hold the connTable's lock.
type clientConn struct {
	proxy        *Proxy
	httpListener bool // accepted by an HTTP listener of the operator file; false: by the platform listener
	overflow     bool // accepted over connLimits.maxServed: its requests are rejected
	conn         net.Conn
	*connReader
	share           *connShare
	acceptedAt      time.Time
	readDeadline    time.Time            // the read deadline in force; zero: none
	idleWait        *poller.Registration // waits for the next request without a blocked read; nil: not supported
	watchTimer      *time.Timer          // starts the watch for a disconnect, see awaitResponse; nil: nothing awaited yet
	headBuffer      []byte               // the last response head's buffer, reused for the next one
	lost            bool                 // the client closed the connection or stopped reading: no response can be sent
	pipelined       bool                 // the current request was received before the previous response was written
	bodyStreamed    bool                 // an upload goroutine was started, which may still read from the connection
	uploadDone      chan error           // receives the result of the running upload goroutine; nil: there is none
	admissionResult chan bool            // receives whether the overload queue admitted the queued request
	memory          requestMemory        // held by the current request
	unconfirmed     unconfirmedResponses

	connSignals
	queueState
}

// connSignals are the fields of a clientConn that any goroutine may access without a lock.
type connSignals struct {
	wake           chan struct{} // holds a value to end an idle wait: bytes were received, or the connection is to close
	peerClosed     atomic.Bool   // the client has closed its sending side; bytes sent before that may still be unread
	abandoned      atomic.Bool   // the connection's goroutine no longer waits for the response; the connection closes
	closeRequested atomic.Bool   // close once the requests received so far are answered, see requestClose
	evicted        atomic.Bool   // close without lingering, to make room for another connection
	abortReads     atomic.Bool   // do not wait for the unsent rest of the current request
	awaitsMemory   atomic.Bool   // the current request is incomplete, and no more of it is read for lack of memory
}

// serve serves the connection's requests until it closes.
func (c *clientConn) serve() {
	defer c.proxy.conns.group.Done()
	defer func() {
		if !c.bodyStreamed {
			c.recycle()
		}
	}()
	defer c.proxy.conns.remove(c)
	defer c.logClose()
	defer c.closeGracefully()
	defer recoverPanic(c.proxy.log)
	for first := true; ; first = false {
		if !c.awaitRequest(first) || !c.serveRequest(first) {
			return
		}
	}
}

// awaitRequest waits for the first byte of a request and reports whether it was received.
func (c *clientConn) awaitRequest(first bool) bool {
	if c.Buffered() {
		c.share.await() // before markIdle: an idle connection may be closed although a request was received
	}
	c.proxy.conns.markIdle(c, first)
	c.pipelined = c.Buffered()
	if !c.pipelined && c.beginIdleWait() {
		<-c.wake
		// Under overload, requests of clients that have disconnected would delay the queued requests of other clients.
		if c.peerClosed.Load() && c.proxy.overloaded() {
			c.retainUnconfirmed() // without a look at how the client has closed
			c.lost = true
			return false
		}
	}
	if err := c.Wait(); err != nil {
		c.readEnded(err)
		c.lost = !errors.Is(err, os.ErrDeadlineExceeded) // a deadline error comes from requestClose, not from the client
		return false
	}
	if !c.pipelined {
		c.unconfirmed = nil // the client has sent this request after it had received those responses
	}
	c.proxy.conns.markReceiving(c, first)
	return true
}

// beginIdleWait registers the connection with the poller of idle connections and reports whether the caller can wait on
// wake. If not, the caller waits with a blocking read.
func (c *clientConn) beginIdleWait() bool {
	select {
	case <-c.wake: // a stale signal of an earlier wait
	default:
	}
	return c.idleWait != nil && c.idleWait.Arm() == nil && c.proxy.conns.idleConns.HasWoken() && !c.closeRequested.Load()
}

// wakeUp ends an idle wait.
func (c *clientConn) wakeUp() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// requestClose makes the connection close once every request received on it is answered. It does not close the
// connection itself: the connection's goroutine may have read a request that the connTable does not know of yet. The
// caller holds the connTable's lock.
func (c *clientConn) requestClose() {
	c.closeRequested.Store(true)
	if c.receivingRequest { // the client is slow to send its request: do not wait for the rest
		c.abortReads.Store(true)
	}
	c.conn.SetReadDeadline(pastDeadline)
	c.wakeUp()
}

// setReadDeadline sets the read deadline, or removes it if t is zero. After requestClose has aborted reads it stays in
// the past.
func (c *clientConn) setReadDeadline(t time.Time) {
	c.readDeadline = t
	c.conn.SetReadDeadline(t)
	if c.abortReads.Load() {
		c.conn.SetReadDeadline(pastDeadline)
	}
}

// serveRequest reads a request, writes its response, and reports whether the connection stays open.
func (c *clientConn) serveRequest(first bool) bool {
	adm := admission{conn: c}
	defer adm.end()
	defer c.share.waited.Store(false)
	reader := requestReader{conn: c, admission: &adm, first: first}
	if err := reader.read(); err != nil {
		c.ReleaseHead() // its memory is counted no more once this returns, and the connection may linger
		c.readEnded(err)
		return c.rejectBadRequest(err)
	}
	c.proxy.conns.markComplete(c) // only now: a connection with an incomplete request stays evictable
	c.share.charge(requestWork)
	closing := reader.closing
	resp := reader.direct
	if reader.req == nil && !reader.overloaded {
		c.proxy.readDelays.ownResponses.Add(1)
		c.share.awaitTurn() // the overload queue does not bound such requests
	}
	if req := reader.req; req != nil {
		var err error
		if resp, err = adm.serve(req, reader.info); err != nil {
			c.retainUnconfirmed()
			return c.rejectBadRequest(err)
		}
		if req.stream.upload != nil { // the unread rest of the body would be parsed as the next request
			req.stream.upload.Stop()
			closing = true
		}
	}
	defer c.proxy.memory.release(resp.reservedBytes)
	resp.headOnly = resp.headOnly || reader.isHead && c.httpListener
	resp.http10 = reader.http10
	closing = closing || c.closesAfter(&resp, first)
	err := c.writeResponse(resp, closing)
	c.responseWritten(reader.req, &resp, err)
	if err != nil {
		c.lost = true
		return false
	}
	if closing {
		return false
	}
	if reader.req == nil && !c.Buffered() {
		c.share.endTurn()
	}
	if !c.readDeadline.IsZero() {
		c.setReadDeadline(time.Time{}) // the connTable closes connections that are idle for too long
	}
	return true
}

// closesAfter reports whether the connection closes after a response.
func (c *clientConn) closesAfter(resp *response, first bool) bool {
	return c.overflow || c.closeRequested.Load() || c.proxy.closesAfterResponse() ||
		first && c.proxy.conns.closesFirstResponse() || resp.endsWithConnection()
}

// Response bodies for incomplete requests. Clients may match these texts.
const (
	lateRequestBody       = "request not whole in time"
	incompleteRequestBody = "request not whole"
)

// rejectBadRequest responds to a request that could not be read or is invalid, if the client can still receive a
// response. It always returns false: the connection closes.
func (c *clientConn) rejectBadRequest(err error) bool {
	if c.abortReads.Load() {
		return false
	}
	var status int
	text := err.Error()
	body := text
	var invalid *http1.Error
	switch {
	case errors.Is(err, errMemoryFull):
		c.proxy.post(c.proxy.countShed)
		c.lost = c.writeResponse(c.proxy.overloadResponse(), true) != nil
		return false
	case errors.As(err, &invalid):
		status = invalid.Status
	case errors.Is(err, os.ErrDeadlineExceeded):
		status, text, body = http1.StatusRequestTimeout, "request not complete in time", lateRequestBody
	case errors.Is(err, io.ErrUnexpectedEOF):
		status, text, body = http1.StatusBadRequest, "request not complete", incompleteRequestBody
	default:
		c.lost = true
		return false
	}
	c.share.awaitTurn()
	c.share.charge(requestWork)
	c.proxy.post(func() { c.proxy.counters.BadRequests++ })
	c.proxy.log.WithField("client", c.conn.RemoteAddr().String()).Debug("bad request: ", text, ": ", err)
	c.evicted.Store(false)
	c.lost = c.writeResponse(response{status: status, body: []byte(body + "\n")}, true) != nil
	return false
}

// closeGracefully closes the connection (lingering close): it shuts down the sending side, then reads and drops what
// the client still sends for a bounded time. If the connection were closed with unread bytes, the kernel would send a
// reset, and the client could lose a response that it has not read yet. Bytes received from here on are not parsed as
// requests, since no response could follow.
func (c *clientConn) closeGracefully() {
	defer c.share.close()
	defer c.conn.Close()
	defer c.idleWait.Remove()
	closeWriter, ok := c.conn.(interface{ CloseWrite() error })
	if !ok || c.lost || c.evicted.Load() || closeWriter.CloseWrite() != nil {
		return
	}
	c.proxy.conns.markLingering(c)
	if c.uploadDone != nil { // the upload goroutine reads and drops the rest
		select {
		case <-c.uploadDone: //nolint:errcheck // however reading has ended, the connection closes now
		case <-time.After(lingerTimeout):
		}
		return
	}
	end := time.Now().Add(lingerTimeout)
	c.conn.SetReadDeadline(end)
	c.readEnded(c.Discard(maxLingerBytes, end))
}

// discard reads up to maxLingerBytes and drops them. Read errors are ignored, since the caller closes the connection.
func discard(r io.Reader) {
	_, _ = io.CopyN(io.Discard, r, maxLingerBytes)
}

// errClientGone is returned when the client has closed its connection after bytes that were not read, so that no read
// reports the end.
var errClientGone = errors.New("client closed its connection")

// receivedAt returns when this machine received the bytes that were read last, or the present time where that is
// unknown or they belong to a pipelined request.
func (c *clientConn) receivedAt() time.Time {
	if at := c.source.Received(); !at.IsZero() && !c.pipelined {
		return at
	}
	return time.Now()
}

// peerHasGone queries the socket for whether the client has closed the connection, even after bytes that were not read.
func (c *clientConn) peerHasGone() bool { return socket.ClosedByPeer(c.conn) }
