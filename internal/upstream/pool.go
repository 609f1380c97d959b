// Package upstream keeps the connections to servers and sends requests over them. A Pool belongs to one goroutine, its
// owner: only the owner calls its methods, and the callbacks of exchanges run on the same goroutine.
//
// The package never retries: each exchange is written at most once, and the Outcome of its Result states whether the
// server may have run the request; see outcome.go.
package upstream

import (
	"context"
	"net"
	"slices"
	"sync/atomic"
	"time"
)

// Pool reuses the connections to each server, the longest idle one first. A response does not state which request it
// answers, so whatever is received after a request was written is taken as its response. To keep a second copy of the
// response before, or other bytes that a server sends after a complete response, from being taken for the next one, a
// connection is not reused for ReuseDelay after a response, or longer if its server has sent such bytes late. Bytes
// received in that time close it. A request waits for the rest of that time instead of opening a connection, but no
// longer than its server takes for a response.
type Pool struct {
	ConnectTimeout time.Duration          // limit for establishing a connection
	IdleTimeout    time.Duration          // connections that have been idle for this long are closed
	ReuseDelay     time.Duration          // from a response to the next request on its connection
	MaxConnections int                    // limit for all servers together, including connections being opened
	ReserveMemory  func(bytes int64) bool // reserves memory for a response; called from any goroutine; nil: no limit
	ReleaseMemory  func(bytes int64)      // releases it; called from any goroutine; nil: no limit
	IsStopped      func(name string) bool // see isStopped; called from any goroutine; nil: no server is stopped
	Counters

	dial    func(ctx context.Context, addr string) (net.Conn, error)
	post    func(func()) // runs a function on the owner's goroutine
	closed  atomic.Bool  // set by Close: no connection is kept idle any more
	onBytes func()       // test hook, else nil: called when bytes were received, before they are assigned to an exchange
	servers []*server    // by the index that the caller passes to each method
	total   int          // number of connections to all servers, including those being opened
}

// Counters holds totals since the pool was created.
type Counters struct {
	Opened       int // connections whose opening was started
	Retired      int // idle connections closed by the pool
	Lost         int // idle connections closed by their server, or because of unsolicited bytes
	Unsolicited  int // connections closed because bytes were received that belong to no response
	RejectedFull int // exchanges not sent because MaxConnections was reached
}

// server is the address of one server and the connections to it.
type server struct {
	name          string // set once, before the first connection
	addr          string
	startedAt     float64       // start time of the server's process
	generation    int           // incremented by CloseIdle; connections of an earlier generation are not reused
	idle          []*connection // the most recently used last
	open          int           // number of connections: idle, in use and being opened
	unsolicited   int           // number of connections closed because of unsolicited bytes
	reuseDelay    time.Duration // replaces ReuseDelay if it is longer, see recordUnsolicited
	responseTime  time.Duration // smoothed time from writing a request to its complete response; 0: no response yet
	process       atomic.Int64  // incremented when another process has the address, or the server has another address
	stopSendingAt atomic.Int64  // Unix time in nanoseconds after which nothing is written to the server; 0: no limit
}

// New returns a pool without servers. dial opens its connections, and post runs a function on the owner's goroutine.
// Both are called from any goroutine.
func New(dial func(ctx context.Context, addr string) (net.Conn, error), post func(func())) *Pool {
	return &Pool{dial: dial, post: post}
}

// SetEndpoint sets the address and the start time of the server with a name. If either has changed, idle connections
// are closed, and no request that is not written yet is written to a connection that was opened, or is being opened,
// before.
func (p *Pool) SetEndpoint(index int, name, addr string, started float64) {
	for len(p.servers) <= index {
		p.servers = append(p.servers, &server{})
	}
	s := p.servers[index]
	if s.name == "" {
		s.name = name
	}
	if s.addr != addr || s.startedAt != started {
		s.addr = addr
		s.startedAt = started
		s.process.Add(1)
		s.reuseDelay = 0
		p.CloseIdle(index)
	}
}

// Address returns the address of a server.
func (p *Pool) Address(index int) string { return p.servers[index].addr }

// CloseIdle closes the idle connections to a server; those in use are closed when their exchange ends.
func (p *Pool) CloseIdle(index int) {
	s := p.servers[index]
	s.generation++
	for _, c := range s.idle {
		p.retire(c)
	}
	s.idle = s.idle[:0]
}

// StopSendingAt sets the time from which nothing is written to a server; the zero time removes the limit. The limit is
// checked before each write, since an attempt that was started in time may wait for its connection for longer than the
// grace of a drain.
func (p *Pool) StopSendingAt(index int, at time.Time) {
	if at.IsZero() {
		p.servers[index].stopSendingAt.Store(0)
	} else {
		p.servers[index].stopSendingAt.Store(at.UnixNano())
	}
}

// sendingStopped reports whether the time set by StopSendingAt has passed. It is safe for concurrent use.
func (s *server) sendingStopped() bool {
	stopSendingAt := s.stopSendingAt.Load()
	return stopSendingAt != 0 && time.Now().UnixNano() > stopSendingAt
}

// isStopped reports whether nothing may be written to a server any more for a reason that goes by the server's name,
// whatever StopSendingAt has set. It is called before each write and safe for concurrent use.
func (p *Pool) isStopped(s *server) bool { return p.IsStopped != nil && p.IsStopped(s.name) }

// Remove removes a server. Its index may be reused; connections in use are closed when their exchange ends.
func (p *Pool) Remove(index int) {
	p.CloseIdle(index)
	p.servers[index] = &server{}
}

// Send starts an exchange on an idle connection or a new one. It returns false if MaxConnections is reached and no
// connection is idle: nothing was sent then, and OnDone will not be called.
func (p *Pool) Send(index int, ex *Exchange) bool { return p.sendTo(p.servers[index], ex) }

// sendTo does what Send does.
func (p *Pool) sendTo(s *server, ex *Exchange) bool {
	ex.writeDone = make(chan struct{})
	if p.sendOnIdle(s, ex) {
		return true
	}
	if p.total >= p.MaxConnections && !p.retireLongestIdle() {
		p.RejectedFull++
		return false
	}
	p.total++
	s.open++
	p.Opened++
	c := newConnection(p, s, ex)
	ex.conn = c
	ex.writeAt = time.Time{}
	go c.run(ex, s.addr)
	return true
}

// Cancel cancels an exchange and closes its connection. OnDone is still called.
func (p *Pool) Cancel(ex *Exchange) { ex.conn.cancel(ex) }

// CancelUnwritten makes an exchange end with the outcome NotSent if writing its request has not started. Otherwise the
// exchange continues.
func (p *Pool) CancelUnwritten(ex *Exchange) { ex.conn.cancelUnwritten(ex) }

// LimitUpload makes an exchange with an Upload time out by limits that are earlier than its Deadline and its
// ResponseTimeout. If its server has not accepted the whole request by SentBy, and accepts no more of it, the outcome
// is ConnectFailed, or ConnectionLost with Passthrough.
func (p *Pool) LimitUpload(ex *Exchange, limits UploadLimits) { ex.conn.limitUpload(ex, limits) }

// CloseExpired closes the connections that have been idle for IdleTimeout.
func (p *Pool) CloseExpired() {
	now := time.Now()
	for _, s := range p.servers {
		n := 0
		for n < len(s.idle) && now.Sub(s.idle[n].idleSince) >= p.IdleTimeout {
			p.retire(s.idle[n])
			n++
		}
		s.idle = slices.Delete(s.idle, 0, n)
	}
}

// Close closes idle connections; those in use are closed when their exchange ends.
func (p *Pool) Close() {
	p.closed.Store(true)
	for i := range p.servers {
		p.CloseIdle(i)
	}
}

// SetMaxConnections sets MaxConnections, to 1 at least. Idle connections in excess are closed.
func (p *Pool) SetMaxConnections(maxConnections int) {
	p.MaxConnections = max(maxConnections, 1)
	for excess := p.total - p.MaxConnections; excess > 0 && p.retireLongestIdle(); excess-- {
	}
}

// Total returns the number of connections to all servers, including those being opened.
func (p *Pool) Total() int { return p.total }

// InFlight returns the number of connections to a server that carry an exchange or are being opened for one.
func (p *Pool) InFlight(index int) int { return p.servers[index].open - len(p.servers[index].idle) }

// UnsolicitedFrom returns how many connections to a server were closed because bytes were received on them that belong
// to no response.
func (p *Pool) UnsolicitedFrom(index int) int { return p.servers[index].unsolicited }

// retireLongestIdle closes the connection that has been idle for longest, and returns false if none is idle.
func (p *Pool) retireLongestIdle() bool {
	var longest *server
	for _, s := range p.servers {
		if len(s.idle) > 0 && (longest == nil || s.idle[0].idleSince.Before(longest.idle[0].idleSince)) {
			longest = s
		}
	}
	if longest == nil {
		return false
	}
	p.retire(longest.idle[0])
	longest.idle = slices.Delete(longest.idle, 0, 1)
	return true
}

// retire closes an idle connection. Its reading goroutine then removes it from the pool.
func (p *Pool) retire(c *connection) {
	p.Retired++
	c.netConn.Close()
}

// putIdle makes a connection idle after its exchange, or closes it if it must not be reused.
func (p *Pool) putIdle(c *connection) {
	c.mu.Lock()
	closed := c.closed
	c.mu.Unlock()
	if closed || c.generation != c.server.generation || p.closed.Load() {
		p.retire(c)
		return
	}
	c.idleSince = time.Now()
	c.server.idle = append(c.server.idle, c)
}

// forget removes a connection that has ended from the pool.
func (p *Pool) forget(c *connection) {
	p.total--
	c.server.open--
	if c.unsolicited {
		p.recordUnsolicited(c)
	}
	if i := slices.Index(c.server.idle, c); i >= 0 {
		c.server.idle = slices.Delete(c.server.idle, i, i+1)
		p.Lost++
	}
}
