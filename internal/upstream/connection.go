package upstream

import (
	"context"
	"net"
	"sync"
	"time"

	"lockloom/balance"
)

// maxRoundTrip bounds what is taken off an exchange's SendBy for its way to the server: a connection that took longer
// to open lost a packet.
const maxRoundTrip = 50 * time.Millisecond

// connection is one connection to a server. One goroutine opens it and writes requests (run), another reads responses
// (read); the owner hands it exchanges, one at a time.
type connection struct {
	pool       *Pool
	server     *server
	generation int       // the server's when it was opened
	idleSince  time.Time // the owner's
	requests   chan *Exchange

	hasUnread func() bool   // see HasUnreadBytes; called by the writer, under the lock
	roundTrip time.Duration // to the server and back, as far as known

	mu           sync.Mutex
	netConn      net.Conn // nil: not open yet
	current      *Exchange
	readDeadline time.Time
	closed       bool // it takes no more exchanges
}

// setReadDeadline sets when reading ends without a byte. The caller holds the lock.
func (c *connection) setReadDeadline(at time.Time) {
	c.readDeadline = at
	c.netConn.SetReadDeadline(at)
}

// begin hands over an exchange, and returns false if the connection was found closed.
func (c *connection) begin(ex *Exchange) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return false
	}
	ex.conn = c
	c.current = ex
	c.setReadDeadline(ex.Deadline)
	c.requests <- ex // never blocks: the writer took the last one before its response came
	return true
}

// cancel ends an exchange by closing its connection: a late response must not be taken for that of another request.
func (c *connection) cancel(ex *Exchange) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.current != ex || ex.canceled {
		return
	}
	ex.canceled = true
	if c.netConn != nil {
		c.netConn.Close()
	}
}

// withhold cancels an exchange whose writing has not begun.
func (c *connection) withhold(ex *Exchange) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.current == ex && !ex.begun {
		ex.canceled = true
	}
}

func (c *connection) isCanceled(ex *Exchange) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return ex.canceled
}

// run opens the connection for its first exchange, starts its reader and writes requests until the reader ends.
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

// open connects to a server.
func (c *connection) open(ex *Exchange, addr string) error {
	ctx, cancel := context.WithTimeout(context.Background(), min(c.pool.ConnectTimeout, time.Until(ex.Deadline)))
	defer cancel()
	began := time.Now()
	netConn, err := c.pool.dial(ctx, addr)
	if err != nil {
		return err
	}
	ex.connectTime = connectTime(netConn, time.Since(began))
	c.mu.Lock()
	defer c.mu.Unlock()
	c.netConn = netConn
	c.hasUnread = unreadProbe(netConn)
	c.roundTrip = min(ex.connectTime, maxRoundTrip)
	c.setReadDeadline(ex.Deadline)
	return nil
}

// connectFailed reports an exchange that has no connection.
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
