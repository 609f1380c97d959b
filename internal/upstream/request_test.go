package upstream

import (
	"context"
	"io"
	"net"
	"os"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"lockloom/balance"
)

// A retry is not sent after the window in which its server drops repeats, even if its connection was slow to open.
func TestSendByHoldsAfterSlowConnect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newTestPool()
		p.dials = nil
		dial := p.dial
		p.dial = func(ctx context.Context, addr string) (net.Conn, error) {
			time.Sleep(50 * time.Millisecond)
			return dial(ctx, addr)
		}
		var got []Result
		ex := newExchange(time.Second, func(r Result) { got = append(got, r) })
		ex.SendBy = time.Now().Add(40 * time.Millisecond)
		p.Send(0, ex)
		time.Sleep(60 * time.Millisecond)
		p.settle()
		if assert.Len(t, got, 1) {
			assert.Equal(t, balance.NotSent, got[0].Outcome)
		}
		_, second := p.attempt(0)
		end := <-p.ends
		readRequest(t, end)
		respond(end, okResponse)
		p.settle()
		assert.Len(t, *second, 1, "the connection is good for another")
		assert.Len(t, p.dials, 1)
		p.Close()
		p.settle()
	})
}

// What waits on a connection before a request is written is not taken for its response.
func TestUnsolicitedBytes(t *testing.T) {
	for _, unsolicited := range []string{"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nold", ""} {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NoError(t, err)
		ours, err := net.Dial("tcp", ln.Addr().String())
		assert.NoError(t, err)
		end, err := ln.Accept()
		assert.NoError(t, err)
		assert.False(t, HasUnreadBytes(ours))
		respond(end, unsolicited)
		if unsolicited == "" {
			assert.NoError(t, end.(*net.TCPConn).CloseWrite())
		}
		for !HasUnreadBytes(ours) {
			time.Sleep(time.Millisecond)
		}
		posted := make(chan func(), 2)
		p := New(nil, func(f func()) { posted <- f })
		p.SetEndpoint(0, "one:1", 0)
		var got []Result
		ex := &Exchange{
			Head:     []byte("GET"),
			OnDone:   func(r Result) { got = append(got, r) },
			progress: progress{written: make(chan struct{})},
		}
		c := &connection{
			pool:      p,
			server:    p.servers[0],
			requests:  make(chan *Exchange, 1),
			hasUnread: unreadProbe(ours),
			netConn:   ours,
			current:   ex,
		}
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

// The goroutine that writes may have to wait for a processor: until its request has a response from elsewhere, or past
// the window in which a repeat is dropped, or a drain's grace, or until its client has gone.
func TestUnwantedRequestIsNotWritten(t *testing.T) {
	const roundTrip = 40 * time.Millisecond
	for _, c := range []struct {
		name string
		set  func(p *Pool, ex *Exchange)
		want bool
	}{
		{"in time", func(*Pool, *Exchange) {}, true},
		{"withheld", func(p *Pool, ex *Exchange) { p.DiscardResponse(ex) }, false},
		{"past the window", func(_ *Pool, ex *Exchange) { ex.SendBy = time.Now().Add(-1) }, false},
		{"past the window once it is there", func(_ *Pool, ex *Exchange) {
			ex.SendBy = time.Now().Add(roundTrip / 2)
		}, false},
		{"its client has gone", func(_ *Pool, ex *Exchange) { ex.ClientGone = func() bool { return true } }, false},
		{"its client is there", func(_ *Pool, ex *Exchange) { ex.ClientGone = func() bool { return false } }, true},
		{"its server is draining", func(p *Pool, ex *Exchange) { p.StopSendingAt(0, time.Now().Add(-1)) }, false},
	} {
		ours, end := net.Pipe()
		posted := make(chan func(), 3)
		p := New(nil, func(f func()) { posted <- f })
		p.SetEndpoint(0, "one:1", 0)
		var got []Result
		ex := &Exchange{
			Head:     []byte("GET"),
			Deadline: time.Now().Add(time.Minute),
			OnDone:   func(r Result) { got = append(got, r) },
			progress: progress{written: make(chan struct{})},
		}
		conn := &connection{
			pool:         p,
			server:       p.servers[0],
			generation:   p.servers[0].generation,
			requests:     make(chan *Exchange, 1),
			hasUnread:    unreadProbe(ours),
			roundTrip:    roundTrip,
			netConn:      ours,
			current:      ex,
			readDeadline: ex.Deadline,
		}
		ex.conn = conn
		c.set(p, ex)
		go conn.write(ex)
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
			<-ex.written
			go conn.read()
		}
		(<-posted)()
		assert.Equal(t, !c.want, slices.Contains(p.servers[0].idle, conn), c.name)
		end.Close()
		if assert.Len(t, got, 1, c.name) {
			assert.Equal(t, !c.want, got[0].Outcome == balance.NotSent, c.name)
			assert.Equal(t, c.want, !got[0].SentAt.IsZero(), c.name)
		}
	}
	p := New(nil, nil)
	c := &connection{pool: p}
	ex := &Exchange{progress: progress{conn: c, begun: true}}
	c.current = ex
	p.DiscardResponse(ex)
	assert.False(t, ex.canceled, "an exchange that is being written goes on")
}

// Bytes that a server sent before its request was written are not read as its response, even if the reader took them
// from the system just before the writer looked for any.
func TestBytesReceivedBeforeRequestIsWritten(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NoError(t, err)
	defer ln.Close()
	posted := make(chan func(), 10)
	readerHasBytes, goOn := make(chan bool, 1), make(chan bool)
	p := New(func(ctx context.Context, addr string) (net.Conn, error) {
		return new(net.Dialer).DialContext(ctx, "tcp", addr)
	}, func(f func()) { posted <- f })
	p.ConnectTimeout = time.Second
	p.IdleTimeout = time.Minute
	p.MaxConnections = 2
	p.ReserveMemory = func(int64) bool { return true }
	p.SetEndpoint(0, ln.Addr().String(), 0)
	times := 0
	p.onBytes = func() {
		if times++; times == 2 { // the reader has the second response, and has not looked at it
			readerHasBytes <- true
			<-goOn
		}
	}
	send := func(got chan Result) {
		p.Send(0, newExchange(5*time.Second, func(r Result) { got <- r }))
	}
	first, second := make(chan Result, 1), make(chan Result, 1)
	send(first)
	end, err := ln.Accept()
	assert.NoError(t, err)
	defer end.Close()
	readRequest(t, end)
	time.Sleep(50 * time.Millisecond) // the system reports receive times from a little after it was asked to
	respond(end, okResponse)
	for len(first) == 0 {
		(<-posted)()
	}
	respond(end, "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nold") // a second response to the first request
	<-readerHasBytes
	send(second)
	readRequest(t, end) // it is written: the system holds nothing that the writer could have seen
	close(goOn)
	for len(second) == 0 {
		(<-posted)()
	}
	r := <-second
	assert.Equal(t, balance.ConnectionLost, r.Outcome, "it may run, and this is not its response")
	assert.Empty(t, r.Body)
}
