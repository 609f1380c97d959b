package upstream

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"lockloom/balance"
)

// fleet is a pool whose owner is the test, and the servers' ends of its connections as they are opened.
type bank struct {
	*Pool
	posted  chan func()
	ends    chan net.Conn
	refuses bool
	hangs   bool
	dials   []string
	room    int64
}

func open() *bank {
	b := &bank{posted: make(chan func(), 100), ends: make(chan net.Conn, 100)}
	b.Pool = New(func(ctx context.Context, addr string) (net.Conn, error) {
		b.dials = append(b.dials, addr)
		if b.refuses {
			return nil, errors.New("refused")
		}
		if b.hangs {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		ours, theirs := net.Pipe()
		b.ends <- theirs
		return ours, nil
	}, func(f func()) { b.posted <- f })
	b.ReserveMemory = func(bytes int64) bool {
		b.room -= bytes
		return b.room >= 0
	}
	b.ConnectTimeout, b.IdleTimeout, b.MaxConnections = 75*time.Millisecond, 4*time.Second, 2
	b.SetEndpoint(0, "one:1", 0)
	b.SetEndpoint(1, "two:1", 0)
	return b
}

// settle lets everything that can happen now happen.
func (b *bank) settle() {
	for {
		synctest.Wait()
		select {
		case f := <-b.posted:
			f()
		default:
			return
		}
	}
}

// attempt sends an exchange; its results come one by one.
func (b *bank) leg(index int) (*Exchange, *[]Result) {
	results := &[]Result{}
	ex := &Exchange{Head: []byte("GET /a HTTP/1.1\r\n"), Tail: []byte("\r\n"), Deadline: time.Now().Add(time.Second),
		OnDone: func(r Result) { *results = append(*results, r) }}
	if !b.Send(index, ex) {
		return nil, results
	}
	return ex, results
}

// asked reads a request at a server's end.
func asked(t *testing.T, end net.Conn) {
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

const honoured = "HTTP/1.1 200 OK\r\nX-Kept: 1\r\nEndpoint-Load-Metrics: TEXT util=1\r\nContent-Length: 2\r\n\r\nok"

// What comes back, and what it proves.
func TestOutcomes(t *testing.T) {
	for _, c := range []struct {
		name, answer string
		ends         bool // the server closes after it
		want         balance.Outcome
		kept         bool
	}{
		{"honoured", honoured, false, balance.Succeeded, true},
		{"honoured to the close", "HTTP/1.1 200 OK\r\n\r\nok", true, balance.Succeeded, false},
		{"honoured and closing", "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok", false, balance.Succeeded, false},
		{"more than its answer", honoured + "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx", false, balance.Succeeded, false},
		{"error", "HTTP/1.1 500 x\r\nContent-Length: 0\r\n\r\n", false, balance.ServerError, true},
		{"turned away", "HTTP/1.1 503 x\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n", false, balance.ServerRejected, true},
		{"turned away late", "HTTP/1.1 504 x\r\nx-never-ran: 1\r\nContent-Length: 0\r\n\r\n", false, balance.ServerRejected, true},
		{"503 that may have run", "HTTP/1.1 503 x\r\nContent-Length: 0\r\n\r\n", false, balance.ServerError, true},
		{"never ran, but of no such status", "HTTP/1.1 500 x\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n", false, balance.ServerError, true},
		{"lookup at fault", "HTTP/1.1 404 x\r\nContent-Length: 0\r\n\r\n", false, balance.InvalidRequest, true},
		{"too many", "HTTP/1.1 429 x\r\nContent-Length: 0\r\n\r\n", false, balance.ServerError, true},
		{"other success", "HTTP/1.1 206 x\r\nContent-Length: 0\r\n\r\n", false, balance.ServerError, true},
		{"reset", "", true, balance.ConnectionLost, false},
		{"cut within the body", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nok", true, balance.ConnectionLost, false},
		{"malformed", "what?\r\n\r\n", false, balance.ConnectionLost, false},
		{"too large", "HTTP/1.1 200 OK\r\nContent-Length: 99999\r\n\r\n", false, balance.ConnectionLost, false},
		{"silent", "", false, balance.TimedOut, false},
		{"silent within the body", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nok", false, balance.TimedOut, false},
	} {
		synctest.Test(t, func(t *testing.T) {
			b := open()
			_, got := b.leg(0)
			end := <-b.ends
			asked(t, end)
			io.WriteString(end, c.answer)
			if c.ends {
				end.Close()
			}
			b.settle()
			if c.want == balance.TimedOut {
				assert.Empty(t, *got, c.name)
				time.Sleep(time.Second)
				b.settle()
			}
			if assert.Len(t, *got, 1, c.name) {
				r := (*got)[0]
				assert.Equal(t, c.want, r.Outcome, c.name)
				if c.want == balance.Succeeded {
					assert.Equal(t, "ok", string(r.Body), c.name)
				}
				if c.answer == honoured {
					assert.Equal(t, "X-Kept: 1\r\n", string(r.Fields))
				}
			}
			assert.Equal(t, c.kept, b.Total() == 1, c.name)
			b.Close()
			b.settle()
			assert.Zero(t, b.Total(), c.name)
			end.Close()
		})
	}
}

// Danger: an answer larger than most, held back or not, must not take memory that is not there.
func TestLargeAnswers(t *testing.T) {
	chunked := "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	for _, c := range []struct {
		name, head string
		size       int
		room       int64
		want       balance.Outcome
	}{
		{"there is room", "HTTP/1.1 200 OK\r\nContent-Length: 400000\r\n\r\n", 400000, 400000, balance.Succeeded},
		{"there is none", "HTTP/1.1 200 OK\r\nContent-Length: 400000\r\n\r\n", 400000, 399999, balance.ConnectionLost},
		{"cut short", "HTTP/1.1 200 OK\r\nContent-Length: 400000\r\n\r\n", 399999, 1 << 30, balance.ConnectionLost},
		{"too large in any case", "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n", 400000, 1 << 40, balance.ConnectionLost},
		{"chunks", chunked + "61a80\r\n", 400000, largeMost, balance.Succeeded},
		{"chunks without room", chunked + "61a80\r\n", 400000, 0, balance.ConnectionLost},
		{"chunks without end", chunked + "ffffff\r\n", 2 * largeMost, 1 << 30, balance.ConnectionLost},
		{"to the close", "HTTP/1.1 200 OK\r\n\r\n", 400000, largeMost, balance.Succeeded},
	} {
		synctest.Test(t, func(t *testing.T) {
			b := open()
			b.room = c.room
			_, got := b.leg(0)
			end := <-b.ends
			asked(t, end)
			io.WriteString(end, c.head)
			io.WriteString(end, strings.Repeat("x", c.size))
			if strings.HasPrefix(c.head, chunked) && c.want == balance.Succeeded {
				io.WriteString(end, "\r\n0\r\n\r\n")
			}
			end.Close()
			b.settle()
			if assert.Len(t, *got, 1, c.name) {
				r := (*got)[0]
				assert.Equal(t, c.want, r.Outcome, c.name)
				if c.want == balance.Succeeded {
					assert.Len(t, r.Body, c.size, c.name)
					assert.Equal(t, c.room-b.room, r.ReservedBytes, "who gets it gives it back: %s", c.name)
				}
			}
			b.Close()
			b.settle()
		})
	}
}

func TestNeverRan(t *testing.T) {
	for _, c := range []struct {
		name string
		set  func(*bank)
		part bool // the server reads a part of the request, then closes
		want balance.Outcome
	}{
		{"refused", func(b *bank) { b.refuses = true }, false, balance.ConnectFailed},
		{"never up", func(b *bank) { b.hangs = true }, false, balance.ConnectFailed},
		{"broken before the last byte", func(*bank) {}, true, balance.ConnectFailed},
		{"not taken in time", func(*bank) {}, false, balance.ConnectFailed},
	} {
		synctest.Test(t, func(t *testing.T) {
			b := open()
			c.set(b)
			began := time.Now()
			_, got := b.leg(0)
			if c.part {
				end := <-b.ends
				end.Read(make([]byte, 5))
				end.Close()
			}
			b.settle()
			time.Sleep(75 * time.Millisecond)
			b.settle()
			if len(*got) == 0 {
				time.Sleep(time.Second)
				b.settle()
			}
			if assert.Len(t, *got, 1, c.name) {
				assert.Equal(t, c.want, (*got)[0].Outcome, c.name)
			}
			if c.name == "never up" {
				assert.Equal(t, b.ConnectTimeout, (*got)[0].EndedAt.Sub(began))
			}
			assert.Zero(t, b.Total())
		})
	}
}

// Danger: an answer that comes while the request is still being written waits for a body that nobody reads; and a 200 is none to it then:
// a server begins with the last byte.
func TestAnsweredEarly(t *testing.T) {
	for _, c := range []struct {
		answer string
		want   balance.Outcome
	}{
		{"HTTP/1.1 503 too many connections\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n", balance.ServerRejected},
		{"HTTP/1.1 500 x\r\nContent-Length: 0\r\n\r\n", balance.ServerError}, {honoured, balance.ConnectFailed},
	} {
		synctest.Test(t, func(t *testing.T) {
			b := open()
			began := time.Now()
			_, got := b.leg(0)
			end := <-b.ends
			synctest.Wait()               // its writer is at it
			io.WriteString(end, c.answer) // and reads nothing
			time.Sleep(2 * writeOn)
			b.settle()
			if assert.Len(t, *got, 1) {
				assert.Equal(t, c.want, (*got)[0].Outcome)
				assert.Equal(t, began, (*got)[0].EndedAt)
			}
			assert.Zero(t, b.Total())
		})
	}
}

// Danger: a late answer that stays in a connection would reach the next request.
func TestCallOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := open()
		ex, got := b.leg(0)
		end := <-b.ends
		b.settle() // not read yet: it may not have run, but is not written whole
		b.Cancel(ex)
		b.settle()
		assert.Equal(t, balance.NotSent, (*got)[0].Outcome)

		ex, got = b.leg(0)
		end = <-b.ends
		asked(t, end)
		b.Cancel(ex)
		b.Cancel(ex)
		b.settle()
		assert.Equal(t, balance.Canceled, (*got)[0].Outcome)
		_, err := end.Write([]byte(honoured))
		assert.Error(t, err)
		assert.Zero(t, b.Total())

		b.hangs = true
		ex, got = b.leg(0)
		b.settle()
		b.Cancel(ex)
		time.Sleep(b.ConnectTimeout)
		b.settle()
		assert.Equal(t, balance.NotSent, (*got)[0].Outcome)
	})
}

// Danger: a repeat that is known for some time only is sent after that, because its connection was slow to come up.
func TestTooLateToSend(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := open()
		b.dials = nil
		dial := b.dial
		b.dial = func(ctx context.Context, addr string) (net.Conn, error) {
			time.Sleep(50 * time.Millisecond)
			return dial(ctx, addr)
		}
		var got []Result
		ex := &Exchange{Head: []byte("GET /a HTTP/1.1\r\n"), Tail: []byte("\r\n"), Deadline: time.Now().Add(time.Second),
			SendBy: time.Now().Add(40 * time.Millisecond), OnDone: func(r Result) { got = append(got, r) }}
		b.Send(0, ex)
		time.Sleep(60 * time.Millisecond)
		b.settle()
		if assert.Len(t, got, 1) {
			assert.Equal(t, balance.NotSent, got[0].Outcome)
		}
		_, second := b.leg(0)
		end := <-b.ends
		asked(t, end)
		io.WriteString(end, honoured)
		b.settle()
		assert.Len(t, *second, 1, "the connection is good for another")
		assert.Len(t, b.dials, 1)
		b.Close()
		b.settle()
	})
}

// Danger: what waits on a connection before a request is written would be taken for its answer.
func TestUnasked(t *testing.T) {
	for _, come := range []string{"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nold", ""} {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NoError(t, err)
		ours, err := net.Dial("tcp", ln.Addr().String())
		assert.NoError(t, err)
		end, err := ln.Accept()
		assert.NoError(t, err)
		assert.False(t, HasUnreadBytes(ours))
		io.WriteString(end, come)
		if come == "" {
			end.(*net.TCPConn).CloseWrite()
		}
		for !HasUnreadBytes(ours) {
			time.Sleep(time.Millisecond)
		}
		posted := make(chan func(), 2)
		p := New(nil, func(f func()) { posted <- f })
		p.SetEndpoint(0, "one:1", 0)
		var got []Result
		ex := &Exchange{Head: []byte("GET"), wrote: make(chan struct{}), OnDone: func(r Result) { got = append(got, r) }}
		c := &conn{pool: p, to: p.backends[0], nc: ours, pending: pending(ours), ex: ex, jobs: make(chan *Exchange, 1)}
		c.write(ex)
		go c.read()
		(<-posted)()
		if assert.Len(t, got, 1) {
			assert.Equal(t, balance.NotSent, got[0].Outcome)
		}
		(<-posted)()
		rest, _ := io.ReadAll(end)
		assert.Empty(t, rest, "nothing is written")
		end.Close()
		ln.Close()
	}
}

// Danger: the goroutine that writes may wait for its core for long: until its request has its answer, or past the time within which a
// repeat is known, or a drain's grace, or its client's patience.
func TestNotWritten(t *testing.T) {
	const wayThere = 40 * time.Millisecond
	for _, c := range []struct {
		name string
		set  func(p *Pool, ex *Exchange)
		want bool
	}{
		{"in time", func(*Pool, *Exchange) {}, true},
		{"withheld", func(p *Pool, ex *Exchange) { p.DiscardResponse(ex) }, false},
		{"past the window", func(_ *Pool, ex *Exchange) { ex.SendBy = time.Now().Add(-1) }, false},
		{"past the window once it is there", func(_ *Pool, ex *Exchange) { ex.SendBy = time.Now().Add(wayThere / 2) }, false},
		{"its client has gone", func(_ *Pool, ex *Exchange) { ex.ClientGone = func() bool { return true } }, false},
		{"its client is there", func(_ *Pool, ex *Exchange) { ex.ClientGone = func() bool { return false } }, true},
		{"its backend drains", func(p *Pool, ex *Exchange) { p.StopSendingAt(0, time.Now().Add(-1)) }, false},
	} {
		ours, end := net.Pipe()
		posted := make(chan func(), 3)
		p := New(nil, func(f func()) { posted <- f })
		p.SetEndpoint(0, "one:1", 0)
		var got []Result
		ex := &Exchange{Head: []byte("GET"), Deadline: time.Now().Add(time.Minute), wrote: make(chan struct{}), OnDone: func(r Result) { got = append(got, r) }}
		c0 := &conn{pool: p, to: p.backends[0], nc: ours, pending: pending(ours), ex: ex, by: ex.Deadline, jobs: make(chan *Exchange, 1), way: wayThere, era: p.backends[0].era}
		ex.conn = c0
		c.set(p, ex)
		go c0.write(ex)
		if !c.want {
			end.SetReadDeadline(time.Now().Add(20 * time.Millisecond))
		}
		buf := make([]byte, 10)
		n, err := end.Read(buf)
		assert.Equal(t, c.want, n > 0, c.name)
		if n == 0 {
			assert.ErrorIs(t, err, os.ErrDeadlineExceeded, "%s: the connection is good for another", c.name)
		} else {
			end.Close()
			<-ex.wrote
			go c0.read()
		}
		(<-posted)()
		assert.Equal(t, !c.want, slices.Contains(p.backends[0].idle, c0), c.name)
		end.Close()
		if assert.Len(t, got, 1, c.name) {
			assert.Equal(t, !c.want, got[0].Outcome == balance.NotSent, c.name)
			assert.Equal(t, c.want, !got[0].SentAt.IsZero(), c.name)
		}
	}
	p := New(nil, nil)
	c := &conn{pool: p}
	ex := &Exchange{conn: c, begun: true}
	c.ex = ex
	p.DiscardResponse(ex)
	assert.False(t, ex.off, "one that is being written goes on")
}

// Danger: bytes that a server sent before its request was written, taken from the system by the reader just before the writer looked
// for any, would be read as the request's answer.
func TestCameBeforeItsRequest(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NoError(t, err)
	defer ln.Close()
	posted, taken, on := make(chan func(), 10), make(chan bool, 1), make(chan bool)
	p := New(func(ctx context.Context, addr string) (net.Conn, error) {
		return new(net.Dialer).DialContext(ctx, "tcp", addr)
	}, func(f func()) { posted <- f })
	p.ConnectTimeout, p.IdleTimeout, p.MaxConnections = time.Second, time.Minute, 2
	p.ReserveMemory = func(int64) bool { return true }
	p.SetEndpoint(0, ln.Addr().String(), 0)
	times := 0
	p.came = func() {
		if times++; times == 2 { // the reader has the second answer, and has not looked at it
			taken <- true
			<-on
		}
	}
	ask := func(got chan Result) {
		p.Send(0, &Exchange{Head: []byte("GET /a HTTP/1.1\r\n"), Tail: []byte("\r\n"), Deadline: time.Now().Add(5 * time.Second), OnDone: func(r Result) { got <- r }})
	}
	first, second := make(chan Result, 1), make(chan Result, 1)
	ask(first)
	end, err := ln.Accept()
	assert.NoError(t, err)
	defer end.Close()
	asked(t, end)
	time.Sleep(50 * time.Millisecond) // the system begins to tell when bytes came a little after it was asked to
	io.WriteString(end, honoured)
	for len(first) == 0 {
		(<-posted)()
	}
	io.WriteString(end, "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nold") // a second answer to the first request
	<-taken
	ask(second)
	asked(t, end) // it is written: the system holds nothing that the writer could have seen
	close(on)
	for len(second) == 0 {
		(<-posted)()
	}
	r := <-second
	assert.Equal(t, balance.ConnectionLost, r.Outcome, "it may run, and this is not its answer")
	assert.Empty(t, r.Body)
}

func TestReuse(t *testing.T) {
	for _, c := range []struct {
		name   string
		before func(b *bank, end net.Conn) // the next attempt
		dials  []string
	}{
		{"at once", func(*bank, net.Conn) {}, []string{"one:1"}},
		{"idle for a while", func(b *bank, _ net.Conn) { time.Sleep(b.IdleTimeout - 1); b.CloseExpired() }, []string{"one:1"}},
		// Danger: a request to a connection that the server is closing ends as a reset, and may have run.
		{"idle for long", func(b *bank, _ net.Conn) { time.Sleep(b.IdleTimeout) }, []string{"one:1", "one:1"}},
		{"idle for long and swept", func(b *bank, _ net.Conn) { time.Sleep(b.IdleTimeout); b.CloseExpired() }, []string{"one:1", "one:1"}},
		{"closed by the backend, owner told", func(b *bank, end net.Conn) { end.Close(); b.settle() }, []string{"one:1", "one:1"}},
		{"closed by the backend, owner not told", func(b *bank, end net.Conn) { end.Close(); synctest.Wait() }, []string{"one:1", "one:1"}},
		{"answer to nothing", func(b *bank, end net.Conn) { io.WriteString(end, honoured[:1]) }, []string{"one:1", "one:1"}},
		{"backend began anew", func(b *bank, _ net.Conn) { b.SetEndpoint(0, "one:1", 7) }, []string{"one:1", "one:1"}},
		{"backend moved", func(b *bank, _ net.Conn) { b.SetEndpoint(0, "one:2", 0) }, []string{"one:1", "one:2"}},
		{"backend listed again", func(b *bank, _ net.Conn) { b.SetEndpoint(0, "one:1", 0) }, []string{"one:1"}},
	} {
		synctest.Test(t, func(t *testing.T) {
			b := open()
			_, first := b.leg(0)
			end := <-b.ends
			asked(t, end)
			io.WriteString(end, honoured)
			b.settle()
			assert.Len(t, *first, 1)
			c.before(b, end)
			_, second := b.leg(0)
			b.settle()
			assert.Equal(t, c.dials, b.dials, c.name)
			if len(c.dials) > 1 {
				end = <-b.ends
			}
			asked(t, end)
			io.WriteString(end, honoured)
			b.settle()
			if assert.Len(t, *second, 1, c.name) {
				assert.Equal(t, balance.Succeeded, (*second)[0].Outcome, c.name)
			}
			assert.Equal(t, 1, b.Total(), c.name)
			b.Close()
			b.settle()
		})
	}
}

// A server that moved while an attempt was out there: its connection ends with the attempt.
func TestMovedWhileBusy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := open()
		_, got := b.leg(0)
		end := <-b.ends
		asked(t, end)
		b.SetEndpoint(0, "one:2", 0)
		io.WriteString(end, honoured)
		b.settle()
		assert.Equal(t, balance.Succeeded, (*got)[0].Outcome)
		assert.Zero(t, b.Total())
	})
}

func TestBound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := open()
		_, first := b.leg(0)
		one := <-b.ends
		b.leg(0)
		two := <-b.ends
		b.settle()
		ex, _ := b.leg(1)
		assert.Nil(t, ex, "both are in use")
		assert.Equal(t, 1, b.Full)
		asked(t, one)
		io.WriteString(one, honoured)
		b.settle()
		assert.Len(t, *first, 1)
		_, third := b.leg(1)
		b.settle()
		end := <-b.ends
		asked(t, end)
		io.WriteString(end, honoured)
		b.settle()
		assert.Len(t, *third, 1, "the idle one made room")
		assert.Equal(t, 2, b.Total())
		two.Close()
		b.Close()
		b.settle()
		assert.Zero(t, b.Total())
	})
}
