package upstream

import (
	"context"
	"errors"
	"io"
	"net"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"lockloom/balance"
)

// testPool is a pool whose owner is the test.
type testPool struct {
	*Pool
	posted     chan func()
	ends       chan net.Conn // the servers' ends of its connections, as they are opened
	refuses    bool          // connections are refused
	hangs      bool          // connections do not come up
	dials      []string
	freeMemory int64
}

func newTestPool() *testPool {
	p := &testPool{posted: make(chan func(), 100), ends: make(chan net.Conn, 100)}
	p.Pool = New(func(ctx context.Context, addr string) (net.Conn, error) {
		p.dials = append(p.dials, addr)
		if p.refuses {
			return nil, errors.New("refused")
		}
		if p.hangs {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		ours, theirs := net.Pipe()
		p.ends <- theirs
		return ours, nil
	}, func(f func()) { p.posted <- f })
	p.ReserveMemory = func(bytes int64) bool {
		p.freeMemory -= bytes
		return p.freeMemory >= 0
	}
	p.ConnectTimeout = 75 * time.Millisecond
	p.IdleTimeout = 4 * time.Second
	p.MaxConnections = 2
	p.SetEndpoint(0, "one:1", 0)
	p.SetEndpoint(1, "two:1", 0)
	return p
}

// settle lets all happen that can happen without time passing.
func (p *testPool) settle() {
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

// attempt sends an exchange, and returns it and where its results are appended. The exchange is nil if it was not sent.
func (p *testPool) attempt(index int) (*Exchange, *[]Result) {
	results := &[]Result{}
	ex := newExchange(time.Second, func(r Result) { *results = append(*results, r) })
	if !p.Send(index, ex) {
		return nil, results
	}
	return ex, results
}

// newExchange returns a small exchange.
func newExchange(timeout time.Duration, onDone func(Result)) *Exchange {
	return &Exchange{
		Head:     []byte("GET /a HTTP/1.1\r\n"),
		Tail:     []byte("\r\n"),
		Deadline: time.Now().Add(timeout),
		OnDone:   onDone,
	}
}

// respond writes at a server's end. A pool may close its connection before it has taken all, which is no error here: a
// test sees it in the exchange's result.
func respond(end net.Conn, text string) { _, _ = io.WriteString(end, text) }

// readRequest reads a request at a server's end.
func readRequest(t *testing.T, end net.Conn) {
	t.Helper()
	buf := make([]byte, 100)
	n := 0
	for !strings.HasSuffix(string(buf[:n]), "\r\n\r\n") {
		m, err := end.Read(buf[n:])
		if !assert.NoError(t, err) {
			return
		}
		n += m
	}
}

// okResponse is a successful response, with a field to forward and one not to.
const okResponse = "HTTP/1.1 200 OK\r\nX-Kept: 1\r\nEndpoint-Load-Metrics: TEXT util=1\r\nContent-Length: 2\r\n\r\nok"

func TestConnectionIsReused(t *testing.T) {
	reused, reopened := []string{"one:1"}, []string{"one:1", "one:1"}
	for _, c := range []struct {
		name   string
		before func(p *testPool, end net.Conn) // the next attempt
		dials  []string
	}{
		{"at once", func(*testPool, net.Conn) {}, reused},
		{"idle for a while", func(p *testPool, _ net.Conn) { time.Sleep(p.IdleTimeout - 1); p.CloseExpired() }, reused},
		// A request to a connection that the server is closing ends in a reset, and may have run.
		{"idle for long", func(p *testPool, _ net.Conn) { time.Sleep(p.IdleTimeout) }, reopened},
		{"idle for long, expired", func(p *testPool, _ net.Conn) { time.Sleep(p.IdleTimeout); p.CloseExpired() }, reopened},
		{"closed by the server, owner notified", func(p *testPool, end net.Conn) { end.Close(); p.settle() }, reopened},
		{"closed by the server, owner unaware", func(_ *testPool, end net.Conn) { end.Close(); synctest.Wait() }, reopened},
		{"response to no request", func(_ *testPool, end net.Conn) { respond(end, okResponse[:1]) }, reopened},
		{"server restarted", func(p *testPool, _ net.Conn) { p.SetEndpoint(0, "one:1", 7) }, reopened},
		{"server moved", func(p *testPool, _ net.Conn) { p.SetEndpoint(0, "one:2", 0) }, []string{"one:1", "one:2"}},
		{"server listed again", func(p *testPool, _ net.Conn) { p.SetEndpoint(0, "one:1", 0) }, reused},
	} {
		synctest.Test(t, func(t *testing.T) {
			p := newTestPool()
			_, first := p.attempt(0)
			end := <-p.ends
			readRequest(t, end)
			respond(end, okResponse)
			p.settle()
			assert.Len(t, *first, 1)
			c.before(p, end)
			_, second := p.attempt(0)
			p.settle()
			assert.Equal(t, c.dials, p.dials, c.name)
			if len(c.dials) > 1 {
				end = <-p.ends
			}
			readRequest(t, end)
			respond(end, okResponse)
			p.settle()
			if assert.Len(t, *second, 1, c.name) {
				assert.Equal(t, balance.Succeeded, (*second)[0].Outcome, c.name)
			}
			assert.Equal(t, 1, p.Total(), c.name)
			p.Close()
			p.settle()
		})
	}
}

// The connection to a server that moved while an attempt was in flight there ends with the attempt.
func TestServerMovesDuringAttempt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newTestPool()
		_, got := p.attempt(0)
		end := <-p.ends
		readRequest(t, end)
		p.SetEndpoint(0, "one:2", 0)
		respond(end, okResponse)
		p.settle()
		assert.Equal(t, balance.Succeeded, (*got)[0].Outcome)
		assert.Zero(t, p.Total())
	})
}

func TestMaxConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newTestPool()
		_, first := p.attempt(0)
		one := <-p.ends
		p.attempt(0)
		two := <-p.ends
		p.settle()
		ex, _ := p.attempt(1)
		assert.Nil(t, ex, "both are in use")
		assert.Equal(t, 1, p.Full)
		readRequest(t, one)
		respond(one, okResponse)
		p.settle()
		assert.Len(t, *first, 1)
		_, third := p.attempt(1)
		p.settle()
		end := <-p.ends
		readRequest(t, end)
		respond(end, okResponse)
		p.settle()
		assert.Len(t, *third, 1, "an idle connection was closed for it")
		assert.Equal(t, 2, p.Total())
		two.Close()
		p.Close()
		p.settle()
		assert.Zero(t, p.Total())
	})
}
