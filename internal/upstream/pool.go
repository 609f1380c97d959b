// Package upstream keeps the connections to servers. A Pool belongs to one goroutine, its owner; what its
// connections have to tell comes back to that goroutine.
//
// Nothing is ever sent again from here: each exchange is written once at most, and its result says what that
// proves.
package upstream

import (
	"context"
	"net"
	"slices"
	"sync/atomic"
	"time"
)

// Pool hands out connections, the one idle for longest first: what a server sends behind an answer, or its closing, has
// come by then.
type Pool struct {
	ConnectTimeout time.Duration          // a connection that is not up by then never comes up
	IdleTimeout    time.Duration          // one idle for so long is closed
	MaxConnections int                    // connections at once, those being opened included
	ReserveMemory  func(bytes int64) bool // asks for room for a large answer; who gets its Result gives back what it holds

	Opened, Retired, Lost, Full int // counted

	dial     func(ctx context.Context, addr string) (net.Conn, error)
	post     func(func()) // runs a function on the owner's goroutine
	shut     atomic.Bool  // no connection is kept any more
	came     func()       // nil but in tests: bytes have come on a connection, and are not looked at yet
	backends []*backend   // by index
	total    int
}

// server is where one server listens and the connections to it that are idle, the last used last.
type backend struct {
	addr    string
	started float64
	era     int // a connection of an earlier one is not used again
	idle    []*conn
	open    int          // connections, idle or not
	until   atomic.Int64 // nothing is written to it from then on, in Unix nanoseconds; 0: no such bound
}

// New makes a pool whose connections are opened by dial and report through post.
func New(dial func(ctx context.Context, addr string) (net.Conn, error), post func(func())) *Pool {
	return &Pool{dial: dial, post: post}
}

// SetEndpoint says where a server listens. What is idle to it is closed where it moved or began anew.
func (p *Pool) SetEndpoint(index int, addr string, started float64) {
	for len(p.backends) <= index {
		p.backends = append(p.backends, &backend{})
	}
	b := p.backends[index]
	if b.addr != addr || b.started != started {
		b.addr, b.started = addr, started
		p.CloseIdle(index)
	}
}

// CloseIdle ends the idle connections of a server; those in use end with their exchange.
func (p *Pool) CloseIdle(index int) {
	b := p.backends[index]
	b.era++
	for _, c := range b.idle {
		p.retire(c)
	}
	b.idle = b.idle[:0]
}

// StopSendingAt sets from when on nothing is written to a server; zero: no such bound. Danger: an attempt that was ordered in time may be on
// a connection that is being opened for longer than a drain's grace.
func (p *Pool) StopSendingAt(index int, at time.Time) {
	if at.IsZero() {
		p.backends[index].until.Store(0)
	} else {
		p.backends[index].until.Store(at.UnixNano())
	}
}

// shut says whether nothing may be written to it any more.
func (b *backend) shut() bool {
	until := b.until.Load()
	return until != 0 && time.Now().UnixNano() > until
}

// Remove forgets a server, whose index may be given to another. What is in use ends with its exchange.
func (p *Pool) Remove(index int) {
	p.CloseIdle(index)
	p.backends[index] = &backend{}
}

// Send starts an exchange on an idle connection or a new one. It is false where there may be no more: nothing
// was sent then, and nothing will be reported.
func (p *Pool) Send(index int, ex *Exchange) bool {
	b, now := p.backends[index], time.Now()
	ex.wrote = make(chan struct{})
	for len(b.idle) > 0 {
		c := b.idle[0]
		b.idle = slices.Delete(b.idle, 0, 1)
		if now.Sub(c.since) >= p.IdleTimeout { // danger: a request to a connection that is being closed ends as a reset
			p.retire(c)
		} else if c.begin(ex) {
			return true
		}
	}
	if p.total >= p.MaxConnections && !p.spare() {
		p.Full++
		return false
	}
	p.total++
	b.open++
	p.Opened++
	c := &conn{pool: p, to: b, era: b.era, jobs: make(chan *Exchange, 1), ex: ex}
	ex.conn = c
	go c.run(ex, b.addr)
	return true
}

// Cancel gives an exchange up. It is still reported.
func (p *Pool) Cancel(ex *Exchange) { ex.conn.callOff(ex) }

// DiscardResponse has an exchange that is not being written yet end as never sent; any other goes on.
func (p *Pool) DiscardResponse(ex *Exchange) { ex.conn.withhold(ex) }

// CloseExpired closes what was idle for too long.
func (p *Pool) CloseExpired() {
	now := time.Now()
	for _, b := range p.backends {
		n := 0
		for n < len(b.idle) && now.Sub(b.idle[n].since) >= p.IdleTimeout {
			p.retire(b.idle[n])
			n++
		}
		b.idle = slices.Delete(b.idle, 0, n)
	}
}

// Close closes what is idle; what is in use ends with its exchange.
func (p *Pool) Close() {
	p.shut.Store(true)
	for i := range p.backends {
		p.CloseIdle(i)
	}
}

// SetMaxConnections sets how many connections there may be at once; what is idle over that is closed.
func (p *Pool) SetMaxConnections(most int) {
	p.MaxConnections = max(most, 1)
	for over := p.total - p.MaxConnections; over > 0 && p.spare(); over-- {
	}
}

// Total is how many connections there are.
func (p *Pool) Total() int { return p.total }

// InFlight is how many connections to a server carry an exchange, or are opened for one.
func (p *Pool) InFlight(index int) int { return p.backends[index].open - len(p.backends[index].idle) }

// spare closes the connection that was idle for longest, to make room for another.
func (p *Pool) spare() bool {
	var oldest *backend
	for _, b := range p.backends {
		if len(b.idle) > 0 && (oldest == nil || b.idle[0].since.Before(oldest.idle[0].since)) {
			oldest = b
		}
	}
	if oldest == nil {
		return false
	}
	p.retire(oldest.idle[0])
	oldest.idle = slices.Delete(oldest.idle, 0, 1)
	return true
}

// retire closes an idle connection; its reader tells when it is gone.
func (p *Pool) retire(c *conn) {
	p.Retired++
	c.nc.Close()
}

// rest takes back a connection whose exchange is over, unless it has ended meanwhile.
func (p *Pool) rest(c *conn) {
	c.mu.Lock()
	dead := c.dead
	c.mu.Unlock()
	if dead || c.era != c.to.era || p.shut.Load() {
		p.retire(c)
		return
	}
	c.since = time.Now()
	c.to.idle = append(c.to.idle, c)
}

// forget drops a connection that has ended.
func (p *Pool) forget(c *conn) {
	p.total--
	c.to.open--
	if i := slices.Index(c.to.idle, c); i >= 0 {
		c.to.idle = slices.Delete(c.to.idle, i, i+1)
		p.Lost++
	}
}
