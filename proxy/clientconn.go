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
	"lockloom/internal/upstream"
)

const (
	// lingerTimeout is how long a connection is read on after its last response, so that its client can read that.
	lingerTimeout  = 500 * time.Millisecond
	maxLingerBytes = 8 << 20 // read on at most
)

// pastDeadline, set as a deadline, ends reading at once, but for what has come.
var pastDeadline = time.Unix(1, 0)

// clientConn is a client's connection. Its goroutine serves its requests one after the other: it reads a request
// (requestReader), has it admitted and waits for the response (admission), and writes that. Other goroutines use its
// signals only, and those with the connTable's lock its queueState.
type clientConn struct {
	proxy     *Proxy
	operators bool // accepted by an operator's listener
	overflow  bool // accepted over the bound: its requests are rejected
	conn      net.Conn
	*connReader
	acceptedAt   time.Time
	readDeadline time.Time    // as it is set; zero: none
	idleWait     *poller.Wait // nil: waiting for a request is a read
	watchTimer   *time.Timer  // of a request that takes long; nil: none did yet
	headBuffer   []byte       // of the last response, to be used again
	lost         bool         // its client has closed it, or reads nothing more
	pipelined    bool         // its present request was sent before the last response
	bodyStreamed bool         // a goroutine was started to read a body: it may still read
	uploadDone   chan error   // the result of that goroutine, while it reads; nil: there is none
	turn         chan bool    // whether its request is admitted to this core, once that is decided

	connSignals
	queueState
}

// connSignals are what other goroutines tell a connection's goroutine and each other.
type connSignals struct {
	wake           chan struct{} // its next request has come, or it is to close
	peerClosed     atomic.Bool   // its client sends nothing more than has come
	abandoned      atomic.Bool   // its request is not waited for any more; the connection then ends
	closeRequested atomic.Bool   // it closes as soon as what has come is answered, see requestClose
	evicted        atomic.Bool   // it closes without lingering: others need its place
	readNoMore     atomic.Bool   // what its client has not sent of its request is not waited for
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
	defer c.closeGracefully()
	defer recoverPanic(c.proxy.log)
	for first := true; ; first = false {
		if !c.awaitRequest(first) || !c.serveRequest(first) {
			return
		}
	}
}

// awaitRequest waits for the first byte of a request and reports whether it came.
func (c *clientConn) awaitRequest(first bool) bool {
	c.proxy.conns.markIdle(c, first)
	c.pipelined = c.Buffered()
	if !c.pipelined && c.beginIdleWait() {
		<-c.wake
		// Requests whose clients have given up would take the turns of those who wait.
		if c.peerClosed.Load() && c.proxy.overloaded() {
			c.lost = true
			return false
		}
	}
	if err := c.Wait(); err != nil {
		c.lost = !errors.Is(err, os.ErrDeadlineExceeded) // else the connTable has closed it
		return false
	}
	c.proxy.conns.markBegun(c, first)
	return true
}

// beginIdleWait has the connection wait together with all idle ones, and reports whether that works.
func (c *clientConn) beginIdleWait() bool {
	select {
	case <-c.wake: // a signal from before
	default:
	}
	return c.idleWait != nil && c.idleWait.Begin() == nil && c.proxy.conns.idleConns.Works() && !c.closeRequested.Load()
}

// wakeUp ends an idle wait.
func (c *clientConn) wakeUp() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// requestClose has a connection close once what has come on it is answered. A request that was read and is not noted
// yet is known to its reader only, so only that may close it. The caller holds the lock of the connTable.
func (c *clientConn) requestClose() {
	c.closeRequested.Store(true)
	if c.requestBegun { // its client is slow: what has not come yet is not waited for
		c.readNoMore.Store(true)
	}
	c.conn.SetReadDeadline(pastDeadline)
	c.wakeUp()
}

// setReadDeadline sets when reading ends without a byte; the zero time: never.
func (c *clientConn) setReadDeadline(t time.Time) {
	c.readDeadline = t
	c.conn.SetReadDeadline(t)
	if c.readNoMore.Load() {
		c.conn.SetReadDeadline(pastDeadline)
	}
}

// serveRequest reads a request, has it answered, and reports whether the connection stays open.
func (c *clientConn) serveRequest(first bool) bool {
	adm := admission{conn: c}
	defer adm.end()
	reader := requestReader{conn: c, admission: &adm, first: first}
	if err := reader.read(); err != nil {
		return c.rejectBadRequest(err)
	}
	c.proxy.conns.markComplete(c) // only now: a request that does not come completely is no reason to stay
	closing := reader.closing
	resp := reader.direct
	if req := reader.req; req != nil {
		var err error
		if resp, err = adm.serve(req, reader.info); err != nil {
			return c.rejectBadRequest(err)
		}
		if req.stream.upload != nil { // it may not be read to its end, and what is left would be taken for a request
			req.stream.upload.Stop()
			closing = true
		}
	}
	defer c.proxy.memory.release(resp.reservedBytes)
	resp.headOnly = resp.headOnly || reader.isHead && c.operators
	resp.http10 = reader.http10
	closing = closing || c.closesAfter(&resp, first)
	if err := c.writeResponse(resp, closing); err != nil {
		c.lost = true
		return false
	}
	if closing {
		return false
	}
	if !c.readDeadline.IsZero() {
		c.setReadDeadline(time.Time{}) // the connTable closes it when idle
	}
	return true
}

// closesAfter reports whether the connection closes with a response.
func (c *clientConn) closesAfter(resp *response, first bool) bool {
	return c.overflow || c.closeRequested.Load() || c.proxy.closesAfterResponse() ||
		first && c.proxy.conns.closesFirstResponse() || resp.endsWithConnection()
}

// Bodies of responses to requests that are not complete; clients know these texts.
const (
	lateRequestBody       = "request not whole in time"
	incompleteRequestBody = "request not whole"
)

// rejectBadRequest answers what can't be served and closes the connection; it returns false.
func (c *clientConn) rejectBadRequest(err error) bool {
	if c.readNoMore.Load() {
		return false
	}
	var status int
	text := err.Error()
	body := text
	var invalid *http1.Error
	switch {
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
	c.proxy.post(func() { c.proxy.counters.BadRequests++ })
	c.proxy.log.WithField("client", c.conn.RemoteAddr().String()).Debug("bad request: ", text, ": ", err)
	c.evicted.Store(false)
	c.lost = c.writeResponse(response{status: status, body: []byte(body + "\n")}, true) != nil
	return false
}

// closeGracefully ends the connection, whatever ended its service: nothing more is sent, and what its client still
// sends is read and dropped for a bounded time. Closed over bytes that nobody has read, it would be reset by the
// system, and a response still on its way lost with that. What comes from here on is no request: no response could
// follow it.
func (c *clientConn) closeGracefully() {
	defer c.conn.Close()
	defer c.idleWait.Forget()
	half, ok := c.conn.(interface{ CloseWrite() error })
	if !ok || c.lost || c.evicted.Load() || half.CloseWrite() != nil {
		return
	}
	c.proxy.conns.markLingering(c)
	if c.uploadDone != nil { // that goroutine reads on
		select {
		case <-c.uploadDone: //nolint:errcheck // however reading has ended, the connection closes now
		case <-time.After(lingerTimeout):
		}
		return
	}
	c.conn.SetReadDeadline(time.Now().Add(lingerTimeout))
	discard(c.source)
}

// discard reads on for a while and drops what it reads. Whatever ends that, the connection closes next.
func discard(from io.Reader) {
	_, _ = io.CopyN(io.Discard, from, maxLingerBytes)
}

// errClientGone says that a client has closed its connection behind what was not read of it.
var errClientGone = errors.New("the client has gone")

// receivedAt is when what was read last came to this machine, as far as that is known.
func (c *clientConn) receivedAt() time.Time {
	if at := c.source.Received(); !at.IsZero() && !c.pipelined {
		return at
	}
	return time.Now()
}

// peerHasGone asks the system whether the client has closed its connection, also behind bytes that were not read.
func (c *clientConn) peerHasGone() bool { return upstream.ClosedByPeer(c.conn) }
