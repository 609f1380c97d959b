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
	"lockloom/internal/socket"
)

// Guards against a retry that reaches its server after the deduplication window, because its connection was slow to
// open: the server would run the request a second time.
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
		p.runUntilIdle()
		if assert.Len(t, got, 1) {
			assert.Equal(t, balance.NotSent, got[0].Outcome)
		}
		_, second := p.attempt(0)
		serverConn := <-p.serverConns
		readRequest(t, serverConn)
		respond(serverConn, okResponse)
		p.runUntilIdle()
		assert.Len(t, *second, 1, "the connection can be used for another exchange")
		assert.Len(t, p.dials, 1)
		p.Close()
		p.runUntilIdle()
	})
}

// Guards against parsing bytes as the response to a request that was written only after they were received, and against
// writing a request to a connection that the server has closed.
func TestUnsolicitedBytes(t *testing.T) {
	for _, unsolicited := range []string{"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nold", ""} {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NoError(t, err)
		clientConn, err := net.Dial("tcp", ln.Addr().String())
		assert.NoError(t, err)
		serverConn, err := ln.Accept()
		assert.NoError(t, err)
		assert.False(t, socket.HasUnread(clientConn))
		respond(serverConn, unsolicited)
		if unsolicited == "" {
			assert.NoError(t, serverConn.(*net.TCPConn).CloseWrite())
		}
		for !socket.HasUnread(clientConn) {
			time.Sleep(time.Millisecond)
		}
		posted := make(chan func(), 2)
		p := New(nil, func(f func()) { posted <- f })
		p.SetEndpoint(0, "one", "one:1", 0)
		var got []Result
		ex := &Exchange{
			Head:     []byte("GET"),
			OnDone:   func(r Result) { got = append(got, r) },
			progress: progress{writeDone: make(chan struct{})},
		}
		c := newConnection(p, p.servers[0], ex)
		c.hasUnread = socket.UnreadProbe(clientConn)
		c.netConn = clientConn
		c.write(ex)
		go c.read()
		(<-posted)()
		if assert.Len(t, got, 1) {
			assert.Equal(t, balance.NotSent, got[0].Outcome)
		}
		(<-posted)()
		rest, _ := io.ReadAll(serverConn)
		assert.Empty(t, rest, "nothing is written")
		serverConn.Close()
		ln.Close()
	}
}

// Guards against a request that is sent although it must not be any more, because the writing goroutine was not
// scheduled in time: another attempt has a response, the deduplication window or a drain's grace has passed, or the
// client has gone.
func TestUnwantedRequestIsNotWritten(t *testing.T) {
	const roundTrip = 40 * time.Millisecond
	for _, c := range []struct {
		name string
		set  func(p *Pool, ex *Exchange)
		want bool
	}{
		{"in time", func(*Pool, *Exchange) {}, true},
		{"canceled before writing", func(p *Pool, ex *Exchange) { p.CancelUnwritten(ex) }, false},
		{"past SendBy", func(_ *Pool, ex *Exchange) { ex.SendBy = time.Now().Add(-1) }, false},
		{"past SendBy once the request arrives", func(_ *Pool, ex *Exchange) {
			ex.SendBy = time.Now().Add(roundTrip / 2)
		}, false},
		{"client has gone", func(_ *Pool, ex *Exchange) { ex.ClientGone = func() bool { return true } }, false},
		{"client is connected", func(_ *Pool, ex *Exchange) { ex.ClientGone = func() bool { return false } }, true},
		{"server is draining", func(p *Pool, ex *Exchange) { p.StopSendingAt(0, time.Now().Add(-1)) }, false},
		{"server is disabled", func(p *Pool, ex *Exchange) { p.IsStopped = isName("one") }, false},
		{"another server is disabled", func(p *Pool, ex *Exchange) { p.IsStopped = isName("two") }, true},
	} {
		clientConn, serverConn := net.Pipe()
		posted := make(chan func(), 3)
		p := New(nil, func(f func()) { posted <- f })
		p.SetEndpoint(0, "one", "one:1", 0)
		var got []Result
		ex := &Exchange{
			Head:     []byte("GET"),
			Deadline: time.Now().Add(time.Minute),
			OnDone:   func(r Result) { got = append(got, r) },
			progress: progress{writeDone: make(chan struct{})},
		}
		conn := newConnection(p, p.servers[0], ex)
		conn.hasUnread = socket.UnreadProbe(clientConn)
		conn.roundTrip = roundTrip
		conn.netConn = clientConn
		conn.readDeadline = ex.Deadline
		ex.conn = conn
		c.set(p, ex)
		go conn.write(ex)
		if !c.want {
			serverConn.SetReadDeadline(time.Now().Add(20 * time.Millisecond))
		}
		buf := make([]byte, 10)
		n, err := serverConn.Read(buf)
		assert.Equal(t, c.want, n > 0, c.name)
		if n == 0 {
			assert.ErrorIs(t, err, os.ErrDeadlineExceeded, "%s: the connection is not closed", c.name)
		} else {
			serverConn.Close()
			<-ex.writeDone
			go conn.read()
		}
		(<-posted)()
		assert.Equal(t, !c.want, slices.Contains(p.servers[0].idle, conn), c.name)
		serverConn.Close()
		if assert.Len(t, got, 1, c.name) {
			assert.Equal(t, !c.want, got[0].Outcome == balance.NotSent, c.name)
			assert.Equal(t, c.want, !got[0].SentAt.IsZero(), c.name)
		}
	}
	p := New(nil, nil)
	c := &connection{pool: p}
	ex := &Exchange{progress: progress{conn: c, writeStarted: true}}
	c.current = ex
	p.CancelUnwritten(ex)
	assert.False(t, ex.canceled, "an exchange that is being written is not canceled")
}

// isName returns a function that reports whether its argument is a name.
func isName(name string) func(string) bool {
	return func(other string) bool { return other == name }
}

// Guards against parsing bytes as the response to a request that was written only after the server had sent them, if
// the reader took them from the system just before the writer checked for unread bytes.
func TestBytesReceivedBeforeRequestIsWritten(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NoError(t, err)
	defer ln.Close()
	posted := make(chan func(), 10)
	readerHasBytes, resumeReader := make(chan bool, 1), make(chan bool)
	p := New(func(ctx context.Context, addr string) (net.Conn, error) {
		return new(net.Dialer).DialContext(ctx, "tcp", addr)
	}, func(f func()) { posted <- f })
	p.ConnectTimeout = time.Second
	p.IdleTimeout = time.Minute
	p.MaxConnections = 2
	p.ReserveMemory = func(int64) bool { return true }
	p.SetEndpoint(0, "one", ln.Addr().String(), 0)
	times := 0
	p.onBytes = func() {
		if times++; times == 2 { // the reader has the second response, but has not parsed it
			readerHasBytes <- true
			<-resumeReader
		}
	}
	send := func(got chan Result) {
		p.Send(0, newExchange(5*time.Second, func(r Result) { got <- r }))
	}
	first, second := make(chan Result, 1), make(chan Result, 1)
	send(first)
	serverConn, err := ln.Accept()
	assert.NoError(t, err)
	defer serverConn.Close()
	readRequest(t, serverConn)
	time.Sleep(50 * time.Millisecond) // the system reports receive times only some time after they are enabled
	respond(serverConn, okResponse)
	for len(first) == 0 {
		(<-posted)()
	}
	respond(serverConn, "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nold") // a second response to the first request
	<-readerHasBytes
	send(second)
	readRequest(t, serverConn) // the request was written, since the system held no unread bytes
	close(resumeReader)
	for len(second) == 0 {
		(<-posted)()
	}
	r := <-second
	assert.Equal(t, balance.ConnectionLost, r.Outcome, "the request may have run, and the bytes are not its response")
	assert.Empty(t, r.Body)
}
