package proxy

import (
	"bytes"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"lockloom/balance"
)

// Guards against sending a request to a server after its client has disconnected while the request was queued, or
// waited for a connection to a server, for the owner, or for the outcome of another attempt.
func TestNothingIsSentForGoneClient(t *testing.T) {
	pipelined := string(bytes.Repeat([]byte("x"), 64<<10))
	disconnects := map[string]func(c *net.TCPConn){
		"closes": func(c *net.TCPConn) { assert.NoError(t, c.Close()) },
		"closes after unread bytes": func(c *net.TCPConn) {
			write(c, pipelined)
			assert.NoError(t, c.Close())
		},
		"resets after unread bytes": func(c *net.TCPConn) {
			write(c, pipelined)
			assert.NoError(t, c.SetLinger(0))
			assert.NoError(t, c.Close())
		},
	}
	for name, disconnect := range disconnects {
		t.Run(name+", as its attempt's connection opens", func(t *testing.T) {
			s := startSocketEnv(t, func(_ int, end net.Conn) { write(end, okResponse) })
			c := s.connect()
			write(c, longWaitRequest)
			s.waitForAttempt()
			unblockOwner := s.blockOwner() // it receives no events
			disconnect(c)
			time.Sleep(2 * clientCheckInterval)
			close(s.dialGate)
			time.Sleep(clientCheckInterval)
			assert.Zero(t, s.received.Load())
			unblockOwner()
			time.Sleep(clientCheckInterval)
			assert.Zero(t, s.received.Load())
		})
		t.Run(name+", as its attempt is rejected", func(t *testing.T) {
			respond := make(chan bool)
			s := startSocketEnv(t, func(n int, end net.Conn) {
				<-respond
				write(end, neverRanResponse)
			})
			close(s.dialGate)
			c := s.connect()
			write(c, longWaitRequest)
			require.Eventually(t, func() bool { return s.received.Load() == 1 }, 5*time.Second, time.Millisecond)
			s.mu.Lock()
			nextDialGate := make(chan struct{})
			s.dialGate = nextDialGate
			s.mu.Unlock()
			unblockOwner, unblockAgain := s.blockOwner(), make(chan bool)
			close(respond)
			time.Sleep(clientCheckInterval)
			s.post(func() { <-unblockAgain }) // the owner gets the rejection and retries, but not yet the disconnect
			disconnect(c)
			time.Sleep(2 * clientCheckInterval)
			unblockOwner()
			time.Sleep(clientCheckInterval)
			close(nextDialGate)
			time.Sleep(clientCheckInterval)
			assert.EqualValues(t, 1, s.received.Load(), "no further attempt")
			close(unblockAgain)
			time.Sleep(clientCheckInterval)
			assert.EqualValues(t, 1, s.received.Load(), "no further attempt")
		})
		t.Run(name+", as its request is queued", func(t *testing.T) {
			s := startSocketEnv(t, func(_ int, end net.Conn) { write(end, okResponse) })
			close(s.dialGate)
			releaseCore := (&testEnv{Proxy: s.Proxy}).occupyCore(1)
			c := s.connect()
			write(c, longWaitRequest)
			require.Eventually(t, func() bool {
				s.overload.mu.Lock()
				defer s.overload.mu.Unlock()
				return s.overload.Queued > 0
			}, 5*time.Second, time.Millisecond)
			disconnect(c)
			time.Sleep(clientCheckInterval / 5)
			releaseCore()
			time.Sleep(clientCheckInterval)
			assert.Zero(t, s.received.Load())
		})
	}
}

// Guards against missing a disconnect that the connection's goroutine has not detected because the core is busy.
func TestClientGone(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer ln.Close()
	for _, c := range []struct {
		name                    string
		age                     time.Duration
		closed, abandoned, want bool
		idempotency             balance.Idempotency
		waited                  bool // for a turn
	}{
		{"connected", time.Second, false, false, false, balance.Idempotent, false},
		{"gone", time.Second, true, false, true, balance.Idempotent, false},
		{"just arrived", 0, true, false, false, balance.Idempotent, false},
		{"abandoned", 0, false, true, true, balance.Idempotent, false},
		{"just arrived, must not run twice", 0, true, false, true, balance.NonIdempotent, false},
		{"just arrived after a wait for a turn", 0, true, false, true, balance.Idempotent, true},
		{"connected, must not run twice", 0, false, false, false, balance.NonIdempotent, false},
	} {
		clientEnd, err := net.Dial("tcp", ln.Addr().String())
		require.NoError(t, err)
		proxyEnd, err := ln.Accept()
		require.NoError(t, err)
		class := &balance.Class{Idempotency: c.idempotency}
		req := &request{class: class, client: &clientConn{conn: proxyEnd, share: newConnShare(newTurns())}}
		req.client.share.waited.Store(c.waited)
		req.client.abandoned.Store(c.abandoned)
		write(clientEnd, "unread")
		if c.closed {
			clientEnd.Close()
		}
		time.Sleep(clientCheckInterval / 5)
		assert.Equal(t, c.want, req.clientGone(time.Now().Add(-c.age)), c.name)
		clientEnd.Close()
		proxyEnd.Close()
	}
	assert.False(t, (&request{}).clientGone(time.Time{}), "no client")
}
