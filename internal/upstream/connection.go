package upstream

import (
	"context"
	"net"
	"sync"
	"time"

	"lockloom/balance"
	"lockloom/internal/socket"
)

// maxRoundTrip caps the round-trip time that is subtracted from an exchange's SendBy: if a connection took longer to
// open, a packet was lost, and the connect time is not the round-trip time.
const maxRoundTrip = 50 * time.Millisecond

// connection is one connection to a server. One goroutine opens it and writes requests (run), another reads responses
// (read); the owner hands it exchanges, one at a time.
type connection struct {
	pool       *Pool
	server     *server
	generation int   // the generation of server when the connection was opened
	process    int64 // the process of server at that time
	requests   chan *Exchange

	// Accessed only by the pool's owner.
	idleSince   time.Time // when the connection became idle
	respondedAt time.Time // when the last exchange that was written ended; zero: there was none

	unsolicited bool // set by the reading goroutine, before it ends, if it received bytes that belong to no response

	unusable  chan struct{}  // closed by the reading goroutine when no further request may be written
	hasUnread func() bool    // see socket.HasUnread; called by the writing goroutine with mu held
	memory    responseMemory // of the response that is being read; belongs to the reading goroutine
	roundTrip time.Duration  // estimated from the connect time, at most maxRoundTrip

	mu           sync.Mutex
	netConn      net.Conn // nil until the connection is open
	current      *Exchange
	readDeadline time.Time
	closed       bool // no further exchange may be started
}

// setReadDeadline sets the time at which a read without data fails. The caller holds the lock.
func (c *connection) setReadDeadline(at time.Time) {
	c.readDeadline = at
	c.netConn.SetReadDeadline(at)
}

// startExchange passes an exchange to the writing goroutine, to be written at the given time, and returns false if the
// connection is closed.
func (c *connection) startExchange(ex *Exchange, writeAt time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return false
	}
	ex.conn = c
	ex.writeAt = writeAt
	c.current = ex
	c.setReadDeadline(ex.limited(ex.Deadline))
	c.requests <- ex // never blocks: the writer received the previous exchange before that exchange ended
	return true
}

// cancel cancels an exchange and closes its connection, so that a late response is not read as that of another request.
func (c *connection) cancel(ex *Exchange) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if ex.canceled {
		return
	}
	ex.canceled = true // also if the connection has ended and the owner has not yet resent the exchange
	if c.current == ex && c.netConn != nil {
		c.netConn.Close()
	}
}

// cancelUnwritten cancels an exchange if writing it has not started, also if it is about to be resent.
func (c *connection) cancelUnwritten(ex *Exchange) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !ex.writeStarted {
		ex.canceled = true
	}
}

// limitUpload sets the limits of an exchange, unless its response is being streamed.
func (c *connection) limitUpload(ex *Exchange, limits UploadLimits) {
	c.mu.Lock()
	defer c.mu.Unlock()
	ex.limits = limits
	if c.current == ex && c.netConn != nil && !ex.isStreaming {
		c.setReadDeadline(ex.limited(c.readDeadline))
	}
}

func (c *connection) isCanceled(ex *Exchange) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return ex.canceled
}

// newConnection returns a connection, not yet open, to be opened for its first exchange.
func newConnection(p *Pool, s *server, ex *Exchange) *connection {
	return &connection{
		pool:       p,
		server:     s,
		generation: s.generation,
		process:    s.process.Load(),
		requests:   make(chan *Exchange, 1),
		unusable:   make(chan struct{}),
		current:    ex,
	}
}

// run opens the connection for its first exchange, starts the reading goroutine and writes requests until the reading
// goroutine ends and closes c.requests.
func (c *connection) run(ex *Exchange, addr string) {
	if err := c.open(ex, addr); err != nil {
		c.connectFailed(ex, err)
		return
	}
	go c.read()
	c.write(ex)
	for ex := range c.requests {
		c.write(ex)
	}
}

// open connects to a server within ConnectTimeout and the exchange's deadline.
func (c *connection) open(ex *Exchange, addr string) error {
	ctx, cancel := context.WithTimeout(context.Background(), min(c.pool.ConnectTimeout, time.Until(ex.Deadline)))
	defer cancel()
	began := time.Now()
	netConn, err := c.pool.dial(ctx, addr)
	if err != nil {
		return err
	}
	ex.connectTime = socket.ConnectTime(netConn, time.Since(began))
	c.mu.Lock()
	defer c.mu.Unlock()
	c.netConn = netConn
	c.hasUnread = socket.UnreadProbe(netConn)
	c.roundTrip = min(ex.connectTime, maxRoundTrip)
	c.setReadDeadline(ex.limited(ex.Deadline))
	return nil
}

// connectFailed ends an exchange whose connection could not be opened: on the owner's goroutine, it removes the
// connection from the pool and calls OnDone.
func (c *connection) connectFailed(ex *Exchange, err error) {
	result := Result{Outcome: balance.ConnectFailed, EndedAt: time.Now(), Err: err}
	c.mu.Lock()
	if ex.canceled {
		result.Outcome = balance.NotSent
	}
	c.current = nil
	c.closed = true
	c.mu.Unlock()
	c.pool.post(func() {
		c.pool.forget(c)
		ex.OnDone(result)
	})
}
