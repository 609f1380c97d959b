// Package upstream keeps the connections to servers and sends requests over them. A Pool belongs to one goroutine, its
// owner: only the owner calls its methods, and the results of exchanges are reported on that goroutine.
//
// Nothing is sent twice from here: each exchange is written once at most, and its Outcome says what that proves; see
// outcome.go.
package upstream

import (
	"context"
	"net"
	"slices"
	"sync/atomic"
	"time"
)

// Pool hands out connections, of a server's idle ones the longest idle first: what a server sends after a response, or
// its close, has arrived by then.
type Pool struct {
	ConnectTimeout time.Duration          // a connection that is not open by then has failed
	IdleTimeout    time.Duration          // a connection that is idle for so long is closed
	MaxConnections int                    // at once, those that are being opened included
	ReserveMemory  func(bytes int64) bool // asks for memory for a large response; called by any goroutine
	Counters

	dial    func(ctx context.Context, addr string) (net.Conn, error)
	post    func(func()) // runs a function on the owner's goroutine
	closed  atomic.Bool  // no connection is kept any more
	onBytes func()       // nil but in tests: called when bytes have come, before it is decided what they are
	servers []*server    // by index
	total   int          // connections
}

// Counters count since the pool was made.
type Counters struct {
	Opened  int // connections that were begun to be opened
	Retired int // idle connections that were closed here
	Lost    int // idle connections that their server closed
	Full    int // exchanges that were not sent because of MaxConnections
}

// server is where one server listens, and the connections to it.
type server struct {
	addr       string
	startedAt  float64
	generation int           // a connection of an earlier one is not used again
	idle       []*connection // the last used last
	open       int           // connections, idle or not
	stopsAt    atomic.Int64  // nothing is written to it from then on, in Unix nanoseconds; 0: no such bound
}

// New returns a pool without servers. dial opens its connections, and post runs a function on the owner's goroutine;
// dial is called by any goroutine, and so is post.
func New(dial func(ctx context.Context, addr string) (net.Conn, error), post func(func())) *Pool {
	return &Pool{dial: dial, post: post}
}

// SetEndpoint sets where a server listens and when it started. Idle connections to it are closed if either has changed.
func (p *Pool) SetEndpoint(index int, addr string, started float64) {
	for len(p.servers) <= index {
		p.servers = append(p.servers, &server{})
	}
	s := p.servers[index]
	if s.addr != addr || s.startedAt != started {
		s.addr = addr
		s.startedAt = started
		p.CloseIdle(index)
	}
}

// CloseIdle closes the idle connections to a server; those in use are closed when their exchange ends.
func (p *Pool) CloseIdle(index int) {
	s := p.servers[index]
	s.generation++
	for _, c := range s.idle {
		p.retire(c)
	}
	s.idle = s.idle[:0]
}

// StopSendingAt sets from when on nothing is written to a server; zero: no such bound. An attempt that was ordered in
// time may be on a connection that takes longer to open than a drain's grace.
func (p *Pool) StopSendingAt(index int, at time.Time) {
	if at.IsZero() {
		p.servers[index].stopsAt.Store(0)
	} else {
		p.servers[index].stopsAt.Store(at.UnixNano())
	}
}

// sendingStopped reports whether nothing may be written to a server any more. It is safe for concurrent use.
func (s *server) sendingStopped() bool {
	stopsAt := s.stopsAt.Load()
	return stopsAt != 0 && time.Now().UnixNano() > stopsAt
}

// Remove forgets a server, whose index may be given to another. Connections in use are closed when their exchange ends.
func (p *Pool) Remove(index int) {
	p.CloseIdle(index)
	p.servers[index] = &server{}
}

// Send starts an exchange on an idle connection or a new one. It returns false if there may be no more connections:
// nothing was sent then, and nothing will be reported.
func (p *Pool) Send(index int, ex *Exchange) bool {
	s := p.servers[index]
	ex.written = make(chan struct{})
	if p.sendOnIdle(s, ex) {
		return true
	}
	if p.total >= p.MaxConnections && !p.retireLongestIdle() {
		p.Full++
		return false
	}
	p.total++
	s.open++
	p.Opened++
	c := &connection{pool: p, server: s, generation: s.generation, requests: make(chan *Exchange, 1), current: ex}
	ex.conn = c
	go c.run(ex, s.addr)
	return true
}

// sendOnIdle starts an exchange on an idle connection, and returns false if there is none. One that was idle for too
// long is not used: if its server is closing it, the request would end in a reset.
func (p *Pool) sendOnIdle(s *server, ex *Exchange) bool {
	now := time.Now()
	for len(s.idle) > 0 {
		c := s.idle[0]
		s.idle = slices.Delete(s.idle, 0, 1)
		if now.Sub(c.idleSince) >= p.IdleTimeout {
			p.retire(c)
		} else if c.begin(ex) {
			return true
		}
	}
	return false
}

// Cancel gives an exchange up and closes its connection. It is still reported.
func (p *Pool) Cancel(ex *Exchange) { ex.conn.cancel(ex) }

// DiscardResponse has an exchange whose writing has not begun end as not sent; any other goes on.
func (p *Pool) DiscardResponse(ex *Exchange) { ex.conn.withhold(ex) }

// CloseExpired closes connections that were idle for too long.
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

// SetMaxConnections sets how many connections there may be at once. Idle ones in excess are closed.
func (p *Pool) SetMaxConnections(maxConnections int) {
	p.MaxConnections = max(maxConnections, 1)
	for excess := p.total - p.MaxConnections; excess > 0 && p.retireLongestIdle(); excess-- {
	}
}

// Total returns how many connections there are, those that are being opened included.
func (p *Pool) Total() int { return p.total }

// InFlight returns how many connections to a server carry an exchange, or are opened for one.
func (p *Pool) InFlight(index int) int { return p.servers[index].open - len(p.servers[index].idle) }

// retireLongestIdle closes the connection that was idle for longest, and returns false if none is idle.
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

// retire closes an idle connection. Its reader posts its end.
func (p *Pool) retire(c *connection) {
	p.Retired++
	c.netConn.Close()
}

// putIdle takes back a connection whose exchange is over, unless it has ended meanwhile.
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

// forget drops a connection that has ended.
func (p *Pool) forget(c *connection) {
	p.total--
	c.server.open--
	if i := slices.Index(c.server.idle, c); i >= 0 {
		c.server.idle = slices.Delete(c.server.idle, i, i+1)
		p.Lost++
	}
}
