package upstream

import (
	"context"
	"errors"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"lockloom/balance"
	"lockloom/internal/http1"
)

// testPool is a pool owned by the goroutine of the test.
type testPool struct {
	*Pool
	posted      chan func()
	serverConns chan net.Conn // the servers' sides of the connections, in the order of opening
	refuseDials bool
	hangDials   bool         // connections do not open before their timeout
	dials       []string     // the addresses
	freeMemory  atomic.Int64 // bytes left to reserve
}

func newTestPool() *testPool {
	p := &testPool{posted: make(chan func(), 100), serverConns: make(chan net.Conn, 100)}
	p.Pool = New(func(ctx context.Context, addr string) (net.Conn, error) {
		p.dials = append(p.dials, addr)
		if p.refuseDials {
			return nil, errors.New("refused")
		}
		if p.hangDials {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		clientConn, serverConn := net.Pipe()
		p.serverConns <- serverConn
		return clientConn, nil
	}, func(f func()) { p.posted <- f })
	p.ReserveMemory = func(bytes int64) bool {
		if p.freeMemory.Add(-bytes) < 0 {
			p.freeMemory.Add(bytes)
			return false
		}
		return true
	}
	p.ReleaseMemory = func(bytes int64) { p.freeMemory.Add(bytes) }
	p.freeMemory.Store(http1.DefaultMaxBytes)
	p.ConnectTimeout = 75 * time.Millisecond
	p.IdleTimeout = 4 * time.Second
	p.MaxConnections = 2
	p.SetEndpoint(0, "one", "one:1", 0)
	p.SetEndpoint(1, "two", "two:1", 0)
	return p
}

// runUntilIdle runs posted functions until all goroutines are blocked, without advancing the clock.
func (p *testPool) runUntilIdle() {
	for {
		synctest.Wait()
		select {
		case f := <-p.posted:
			f()
		default:
			return
		}
	}
}

// attempt sends an exchange and returns it, or nil if it was not sent, and the slice to which its results are appended.
func (p *testPool) attempt(index int) (*Exchange, *[]Result) {
	results := &[]Result{}
	ex := newExchange(time.Second, func(r Result) { *results = append(*results, r) })
	if !p.Send(index, ex) {
		return nil, results
	}
	return ex, results
}

// newExchange returns an exchange of a small GET request.
func newExchange(timeout time.Duration, onDone func(Result)) *Exchange {
	return &Exchange{
		Head:     []byte("GET /a HTTP/1.1\r\n"),
		Tail:     []byte("\r\n"),
		Deadline: time.Now().Add(timeout),
		OnDone:   onDone,
	}
}

// respond writes to the server's side of a connection. It ignores errors, since a pool may close its connection before
// all is written; a test sees that in the exchange's result.
func respond(serverConn net.Conn, text string) { _, _ = io.WriteString(serverConn, text) }

// readRequest reads a request without a body on the server's side of a connection.
func readRequest(t *testing.T, serverConn net.Conn) {
	t.Helper()
	buf := make([]byte, 100)
	n := 0
	for !strings.HasSuffix(string(buf[:n]), "\r\n\r\n") {
		m, err := serverConn.Read(buf[n:])
		if !assert.NoError(t, err) {
			return
		}
		n += m
	}
}

// okResponse is a successful response with one field to forward and one that is not forwarded.
const okResponse = "HTTP/1.1 200 OK\r\nX-Kept: 1\r\nEndpoint-Load-Metrics: TEXT util=1\r\nContent-Length: 2\r\n\r\nok"

func TestConnectionIsReused(t *testing.T) {
	reused, reopened := []string{"one:1"}, []string{"one:1", "one:1"}
	for _, c := range []struct {
		name   string
		before func(p *testPool, conn net.Conn) // runs before the second attempt
		dials  []string
	}{
		{"at once", func(*testPool, net.Conn) {}, reused},
		{"idle for a while", func(p *testPool, _ net.Conn) { time.Sleep(p.IdleTimeout - 1); p.CloseExpired() }, reused},
		// A request on a connection that the server is closing ends in a reset, and may appear to have run.
		{"idle for long", func(p *testPool, _ net.Conn) { time.Sleep(p.IdleTimeout) }, reopened},
		{"idle for long, expired", func(p *testPool, _ net.Conn) { time.Sleep(p.IdleTimeout); p.CloseExpired() }, reopened},
		{"closed by the server, owner notified",
			func(p *testPool, conn net.Conn) { conn.Close(); p.runUntilIdle() }, reopened},
		{"closed by the server, owner unaware", func(_ *testPool, conn net.Conn) { conn.Close(); synctest.Wait() }, reopened},
		{"response to no request", func(_ *testPool, conn net.Conn) { respond(conn, okResponse[:1]) }, reopened},
		{"server restarted", func(p *testPool, _ net.Conn) { p.SetEndpoint(0, "one", "one:1", 7) }, reopened},
		{"server moved", func(p *testPool, _ net.Conn) { p.SetEndpoint(0, "one", "one:2", 0) }, []string{"one:1", "one:2"}},
		{"server listed again", func(p *testPool, _ net.Conn) { p.SetEndpoint(0, "one", "one:1", 0) }, reused},
	} {
		synctest.Test(t, func(t *testing.T) {
			p := newTestPool()
			_, first := p.attempt(0)
			serverConn := <-p.serverConns
			readRequest(t, serverConn)
			respond(serverConn, okResponse)
			p.runUntilIdle()
			assert.Len(t, *first, 1)
			c.before(p, serverConn)
			_, second := p.attempt(0)
			p.runUntilIdle()
			assert.Equal(t, c.dials, p.dials, c.name)
			if len(c.dials) > 1 {
				serverConn = <-p.serverConns
			}
			readRequest(t, serverConn)
			respond(serverConn, okResponse)
			p.runUntilIdle()
			if assert.Len(t, *second, 1, c.name) {
				assert.Equal(t, balance.Succeeded, (*second)[0].Outcome, c.name)
			}
			assert.Equal(t, 1, p.Total(), c.name)
			p.Close()
			p.runUntilIdle()
		})
	}
}

// If a server's address changes during an attempt, the connection is closed after the attempt and not reused.
func TestServerMovesDuringAttempt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newTestPool()
		_, got := p.attempt(0)
		serverConn := <-p.serverConns
		readRequest(t, serverConn)
		p.SetEndpoint(0, "one", "one:2", 0)
		respond(serverConn, okResponse)
		p.runUntilIdle()
		assert.Equal(t, balance.Succeeded, (*got)[0].Outcome)
		assert.Zero(t, p.Total())
	})
}

func TestMaxConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newTestPool()
		_, first := p.attempt(0)
		one := <-p.serverConns
		p.attempt(0)
		two := <-p.serverConns
		p.runUntilIdle()
		ex, _ := p.attempt(1)
		assert.Nil(t, ex, "both are in use")
		assert.Equal(t, 1, p.RejectedFull)
		readRequest(t, one)
		respond(one, okResponse)
		p.runUntilIdle()
		assert.Len(t, *first, 1)
		_, third := p.attempt(1)
		p.runUntilIdle()
		serverConn := <-p.serverConns
		readRequest(t, serverConn)
		respond(serverConn, okResponse)
		p.runUntilIdle()
		assert.Len(t, *third, 1, "an idle connection was closed to make room")
		assert.Equal(t, 2, p.Total())
		two.Close()
		p.Close()
		p.runUntilIdle()
		assert.Zero(t, p.Total())
	})
}

// reuseTest is a pool whose first connection has carried a request.
type reuseTest struct {
	*testPool
	t           *testing.T
	conn, other net.Conn // the server's side of the connection, and of another idle one, if any
	ex          *Exchange
}

// serve reads a request from the server's side of a connection, and writes a response after a time.
func (r *reuseTest) serve(conn net.Conn, after time.Duration, response string) {
	readRequest(r.t, conn)
	time.Sleep(after)
	respond(conn, response)
	r.runUntilIdle()
}

// serveNew makes an attempt that succeeds on a new connection, and returns the server's side of that.
func (r *reuseTest) serveNew(responseTime time.Duration) net.Conn {
	_, got := r.attempt(0)
	conn := <-r.serverConns
	r.serve(conn, responseTime, okResponse)
	assert.Len(r.t, *got, 1)
	return conn
}

// Guards against reusing a connection before the bytes that a server sends right behind a response were received: they
// would be taken for the response to the next request. A request that waits for a connection which turns out to be
// unusable must neither be held up nor be lost, nor be sent again and again. A server whose bytes are nearly as late as
// the delay, or later, gets a longer one, but not if it only announces that it closes an idle connection.
func TestConnectionIsNotReusedRightAfterResponse(t *testing.T) {
	const ms = time.Millisecond
	const delay, fast, slow, waited = 10 * ms, ms, 10 * ms, 4 * ms
	const ok, unsent = balance.Succeeded, balance.NotSent
	type step func(r *reuseTest)
	sleep := func(d time.Duration) step { return func(*reuseTest) { time.Sleep(d) } }
	closes := func(r *reuseTest) { r.conn.Close(); synctest.Wait() }
	second := func(r *reuseTest) { respond(r.conn, okResponse); r.runUntilIdle() }
	secondWithSlow := func(r *reuseTest) { r.attempt(0); r.serve(r.conn, 2*slow, okResponse+okResponse) }
	unwritten := func(r *reuseTest) {
		ex := newExchange(time.Second, func(Result) {})
		ex.SendBy = time.Now().Add(-1)
		assert.True(r.t, r.Send(0, ex))
		r.runUntilIdle()
	}
	limit := func(r *reuseTest) { r.MaxConnections = 1 }
	cancel := func(r *reuseTest) { r.Cancel(r.ex) }
	cancelUnwritten := func(r *reuseTest) { r.CancelUnwritten(r.ex) }
	move := func(r *reuseTest) { r.SetEndpoint(0, "one", "one:2", 0) }
	remove := func(r *reuseTest) { r.Remove(0) }
	delayIs := func(want time.Duration) step { // checks the server's delay, also on another connection
		return func(r *reuseTest) {
			assert.Equal(r.t, want, r.reuseDelay(r.servers[0]))
			r.servers[0].responseTime = 0 // requests do not wait
			r.serveNew(0)
			time.Sleep(want - 1)
		}
	}
	otherIdle := func(r *reuseTest) {
		r.servers[0].responseTime = 0
		r.other = r.serveNew(0)
		r.servers[0].responseTime = slow
	}
	otherCloses := func(r *reuseTest) {
		r.runUntilIdle()
		assert.Equal(r.t, 1, r.InFlight(0), "the request waits for the other connection")
		r.other.Close()
	}
	for _, c := range []struct {
		name           string
		responseTime   time.Duration
		before, during []step // run before the second attempt, and after it has waited; during nil: it does not wait
		opened         int
		wait           time.Duration // of the second attempt, for its connection or until its end
		outcome        balance.Outcome
		unsolicited    int
	}{
		{"at once, fast server", fast, nil, nil, 2, 0, ok, 0},
		{"at once, no other connection may be opened", fast, []step{limit}, nil, 2, 0, ok, 0},
		{"at once, slow server", slow, nil, nil, 1, delay, ok, 0},
		{"too early, fast server", fast, []step{sleep(delay - fast - 1)}, nil, 2, 0, ok, 0},
		{"a response time too early", fast, []step{sleep(delay - fast)}, nil, 1, fast, ok, 0},
		{"after the delay", fast, []step{sleep(delay)}, nil, 1, 0, ok, 0},
		{"after an exchange that was not written", fast, []step{sleep(delay), unwritten}, nil, 1, 0, ok, 0},

		{"second response at once", 0, []step{second, delayIs(delay)}, nil, 3, 0, ok, 1},
		{"early", 0, []step{sleep(2 * ms), second, delayIs(delay)}, nil, 3, 0, ok, 1},
		{"nearly as late", 0, []step{sleep(8 * ms), second, delayIs(16 * ms)}, nil, 3, 0, ok, 1},
		{"later", 0, []step{sleep(20 * ms), second, delayIs(40 * ms)}, nil, 3, 0, ok, 1},
		{"much later", 0, []step{sleep(40 * ms), second, delayIs(maxServerReuseDelay)}, nil, 3, 0, ok, 1},
		{"on an idle connection's end", 0, []step{sleep(time.Second), second, delayIs(delay)}, nil, 3, 0, ok, 1},
		{"with a slow response", 0, []step{sleep(delay), secondWithSlow, delayIs(delay)}, nil, 3, 0, ok, 1},

		{"waits, second response", slow, nil, []step{second}, 2, waited, ok, 1},
		{"waits, closed", slow, nil, []step{closes}, 2, waited, ok, 0},
		{"waits, both closed", slow, []step{otherIdle}, []step{closes, otherCloses}, 2, waited, unsent, 0},
		{"waits, canceled", slow, nil, []step{cancel}, 1, waited, unsent, 0},
		{"waits, closed, canceled", slow, nil, []step{closes, cancel}, 1, waited, unsent, 0},
		{"waits, closed, canceled if unwritten", slow, nil, []step{closes, cancelUnwritten}, 1, waited, unsent, 0},
		{"waits, closed, server moved", slow, nil, []step{closes, move}, 1, waited, unsent, 0},
		{"waits, closed, server removed", slow, nil, []step{closes, remove}, 1, waited, unsent, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := &reuseTest{testPool: newTestPool(), t: t}
				r.ReuseDelay = delay
				r.conn = r.serveNew(c.responseTime)
				for _, run := range c.before {
					run(r)
				}
				ex, got := r.attempt(0)
				r.ex = ex
				began := time.Now()
				r.runUntilIdle()
				if c.during != nil {
					time.Sleep(waited)
				}
				for _, run := range c.during {
					run(r)
				}
				r.runUntilIdle()
				require.Equal(t, c.opened, r.Opened)
				if c.outcome == ok {
					if c.opened > 1 {
						r.conn = <-r.serverConns
					}
					r.serve(r.conn, 0, okResponse)
				}
				require.Len(t, *got, 1)
				assert.Equal(t, c.outcome, (*got)[0].Outcome)
				assert.Equal(t, c.wait, time.Since(began))
				if c.outcome == ok {
					assert.Equal(t, c.wait, (*got)[0].ReuseWait)
					assert.Equal(t, began.Add(c.wait), (*got)[0].SentAt, "the wait is not the server's time")
				}
				assert.LessOrEqual(t, r.Total(), r.MaxConnections)
				assert.Equal(t, []int{c.unsolicited, c.unsolicited}, []int{r.Unsolicited, r.UnsolicitedFrom(0)})
				r.SetEndpoint(0, "one", "one:1", 1)
				assert.Equal(t, delay, r.reuseDelay(r.servers[0]), "the server has restarted")
				r.Close()
				r.runUntilIdle()
				assert.Zero(t, r.Total())
			})
		})
	}
}
