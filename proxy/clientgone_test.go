package proxy

import (
	"bytes"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// A client may close while its request waits for a connection to a server, for the owner, for its turn, or for the
// outcome of another attempt. However it goes, and whatever is known of that, nothing is sent for it any more.
func TestNothingIsSentForGoneClient(t *testing.T) {
	ahead := string(bytes.Repeat([]byte("x"), 64<<10))
	ends := map[string]func(c *net.TCPConn){
		"closes": func(c *net.TCPConn) { assert.NoError(t, c.Close()) },
		"closes behind what is unread": func(c *net.TCPConn) {
			write(c, ahead)
			assert.NoError(t, c.Close())
		},
		"resets behind what is unread": func(c *net.TCPConn) {
			write(c, ahead)
			assert.NoError(t, c.SetLinger(0))
			assert.NoError(t, c.Close())
		},
	}
	for name, end := range ends {
		t.Run(name+", as its attempt's connection opens", func(t *testing.T) {
			s := startSocketEnv(t, func(_ int, end net.Conn) { write(end, okResponse) })
			c := s.connect()
			write(c, longWaitRequest)
			s.waitForAttempt()
			letGo := s.blockOwner() // it hears of nothing
			end(c)
			time.Sleep(2 * clientCheckInterval)
			close(s.dialGate)
			time.Sleep(clientCheckInterval)
			assert.Zero(t, s.received.Load())
			letGo()
			time.Sleep(clientCheckInterval)
			assert.Zero(t, s.received.Load())
		})
		t.Run(name+", as its attempt is rejected", func(t *testing.T) {
			on := make(chan bool)
			s := startSocketEnv(t, func(n int, end net.Conn) {
				<-on
				write(end, neverRanResponse)
			})
			close(s.dialGate)
			c := s.connect()
			write(c, longWaitRequest)
			require.Eventually(t, func() bool { return s.received.Load() == 1 }, 5*time.Second, time.Millisecond)
			s.mu.Lock()
			further := make(chan struct{})
			s.dialGate = further
			s.mu.Unlock()
			letGo, again := s.blockOwner(), make(chan bool)
			close(on)
			time.Sleep(clientCheckInterval)
			s.post(func() { <-again }) // the owner hears of that, sends on, and does not hear yet that the client goes
			end(c)
			time.Sleep(2 * clientCheckInterval)
			letGo()
			time.Sleep(clientCheckInterval)
			close(further)
			time.Sleep(clientCheckInterval)
			assert.EqualValues(t, 1, s.received.Load(), "no further attempt")
			close(again)
			time.Sleep(clientCheckInterval)
			assert.EqualValues(t, 1, s.received.Load(), "no further attempt")
		})
		t.Run(name+", as it waits for its turn", func(t *testing.T) {
			s := startSocketEnv(t, func(_ int, end net.Conn) { write(end, okResponse) })
			close(s.dialGate)
			free := (&testEnv{Proxy: s.Proxy}).occupyCore(1)
			c := s.connect()
			write(c, longWaitRequest)
			require.Eventually(t, func() bool {
				s.overload.mu.Lock()
				defer s.overload.mu.Unlock()
				return s.overload.Queued > 0
			}, 5*time.Second, time.Millisecond)
			end(c)
			time.Sleep(clientCheckInterval / 5)
			free()
			time.Sleep(clientCheckInterval)
			assert.Zero(t, s.received.Load())
		})
	}
}

// What a client's own goroutine has not seen, because its core is busy, is seen all the same.
func TestClientGone(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer ln.Close()
	for _, c := range []struct {
		name             string
		age              time.Duration
		ends, left, want bool
	}{{"there", time.Second, false, false, false}, {"gone", time.Second, true, false, true}, {"just admitted", 0, true,
		false, false}, {"seen to go", 0, false, true, true}} {
		theirs, err := net.Dial("tcp", ln.Addr().String())
		require.NoError(t, err)
		ours, err := ln.Accept()
		require.NoError(t, err)
		req := &request{client: &clientConn{conn: ours}}
		req.client.abandoned.Store(c.left)
		write(theirs, "unread")
		if c.ends {
			theirs.Close()
		}
		time.Sleep(clientCheckInterval / 5)
		assert.Equal(t, c.want, req.clientGone(time.Now().Add(-c.age)), c.name)
		theirs.Close()
		ours.Close()
	}
	assert.False(t, (&request{}).clientGone(time.Time{}), "nobody's")
}
