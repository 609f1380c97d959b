package proxy

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"lockloom/balance"
	"lockloom/internal/discovery"
	"lockloom/internal/http1"
	"lockloom/internal/settings"
)

// On real sockets, writes are gathered (writev), and a client can still read an error response while it sends.
func TestRealSockets(t *testing.T) {
	listen := func() net.Listener {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NoError(t, err)
		return ln
	}
	upstreamListener, listener := listen(), listen()
	defer upstreamListener.Close()
	env := &testEnv{fakeServers: fakeServers{behaviors: map[string][]string{"b1": {okResponse}}}}
	go func() {
		for c, err := upstreamListener.Accept(); err == nil; c, err = upstreamListener.Accept() {
			go env.runServer("b1", c)
		}
	}()
	entry := listEntry("b1", balance.Ready)
	entry.Addr = upstreamListener.Addr().String()
	log, _ := test.NewNullLogger()
	p, err := New(BootstrapConfig{Discovery: "127.0.0.1:1",
		KnownEndpoints: List{Full: true, Entries: []discovery.Entry{entry}},
		Settings: settings.Settings{Deployment: balance.Deployment{Classes: []balance.Class{{Name: "look",
			Deadline: 20}}}}}, log)
	assert.NoError(t, err)
	ctx, stop := context.WithCancel(t.Context())
	served := make(chan error)
	go func() { served <- p.Serve(ctx, listener) }()
	for _, c := range []struct {
		in     string
		status int
	}{
		{strings.Replace(idempotentRequest, "0.5", "20", 1), 200},
		{"POST /look HTTP/1.1\r\nX-Trace-Id: t\r\nX-Qos: look\r\nX-Expires-In: 20\r\nContent-Length: 65536\r\n\r\n" +
			strings.Repeat("x", http1.DefaultMaxBytes), 200},
		{strings.Replace(idempotentRequest, "t1", strings.Repeat("x", 3*http1.DefaultMaxBytes/2), 1), 431},
	} {
		conn, err := net.Dial("tcp", listener.Addr().String())
		assert.NoError(t, err)
		go write(conn, c.in)
		status, _, _, err := readResponse(conn)
		assert.NoError(t, err)
		assert.Equal(t, c.status, status)
		conn.Close()
	}
	stop()
	assert.NoError(t, <-served)
}

func TestShutdown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := startEnv(t, map[string][]string{"b1": {noResponse}}, nil)
		readinessCheck := "GET /up HTTP/1.1\r\n\r\n"
		time.Sleep(firstListTimeout)
		synctest.Wait()
		status, _, _, _ := env.roundTrip(readinessCheck)
		assert.Equal(t, 200, status)
		waiting, idle, unused, partial := env.connect(), env.connect(), env.connect(), env.connect()
		defer waiting.Close()
		go write(idle, readinessCheck)
		env.readOK(idle)
		go write(waiting, idempotentRequest)
		go write(partial, nonIdempotentRequest[:20])
		synctest.Wait()
		env.behaviors["b1"] = []string{okResponse}
		stoppedAt := time.Now()
		env.cancel()
		synctest.Wait()
		status, _, _, _ = env.roundTrip(readinessCheck)
		assert.Equal(t, 503, status, "the readiness check fails during a shutdown")
		time.Sleep(400 * time.Millisecond)
		late := env.connect()
		for _, c := range []struct {
			conn  net.Conn
			after time.Duration // since the order to stop
			close bool
		}{{idle, 0, false}, {late, 0, false}, {idle, 1200 * time.Millisecond, false}, {late, 1500 * time.Millisecond, true}} {
			time.Sleep(c.after - time.Since(stoppedAt))
			if c.close {
				env.behaviors["b1"] = []string{noResponse}
			}
			go write(c.conn, strings.Replace(nonIdempotentRequest, "0.5", "1.2", 1))
			status, h, _, err := readResponse(c.conn)
			assert.NoError(t, err)
			assert.Equal(t, c.close, h.Close, c.after)
			if !c.close { // not closed yet, since the clients may find no other proxy
				assert.Equal(t, 200, status)
			} else {
				assert.Equal(t, 502, status, "a request admitted late is answered before the kill")
			}
		}
		status, h, _, err := readResponse(waiting)
		assert.NoError(t, err)
		assert.Equal(t, 503, status, "a request admitted before the order to stop is answered")
		assert.False(t, h.Close)
		assert.NoError(t, <-env.serveResult)
		assert.Less(t, time.Since(stoppedAt), env.maxDeadline+killMargin)
		for _, c := range []net.Conn{idle, unused, partial} {
			_, err = c.Read(make([]byte, 1))
			assert.Error(t, err)
		}
		time.Sleep(time.Minute) // no goroutine of the proxy may be left
	})
}

func TestReadyWithoutDiscovery(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := startEnv(t, map[string][]string{"b1": {okResponse}}, nil)
		status, _, _, _ := env.roundTrip("GET /up HTTP/1.1\r\n\r\n")
		assert.Equal(t, 503, status)
		time.Sleep(firstListTimeout)
		synctest.Wait() // goroutines that wake at the same instant may run after this one
		status, _, _, _ = env.roundTrip("GET /up HTTP/1.1\r\n\r\n")
		assert.Equal(t, 200, status)
		env.stopAndWait()
	})
}

// After its order to stop, the platform waits for the longest deadline of any class, but at most 3 s, then kills the
// process. A proxy that takes longer loses its requests in flight.
func TestShutdownEndsBeforeTheKill(t *testing.T) {
	for _, c := range []struct{ deadline, left float64 }{{0.5, 0.5}, {3, 3}, {3.4, 3}, {60, 3}} {
		synctest.Test(t, func(t *testing.T) {
			env := startEnv(t, map[string][]string{"b1": {noResponse}}, func(cfg *BootstrapConfig) {
				cfg.Classes[0].Deadline, cfg.Classes[1].Deadline, cfg.Classes[2].Deadline = c.deadline, 0.1, c.deadline
			})
			conn := env.connect()
			go write(conn, "GET /up HTTP/1.1\r\n\r\n")
			_, _, _, err := readResponse(conn)
			assert.NoError(t, err)
			nonIdempotent, idempotent, done := env.connect(), env.connect(), make(chan bool, 2)
			go write(nonIdempotent, strings.NewReplacer("t3", "t4", "In: 0.5", "In: 60").Replace(nonIdempotentRequest))
			go write(idempotent, strings.Replace(idempotentRequest, "In: 0.5", "In: 60", 1))
			synctest.Wait()
			stoppedAt := time.Now()
			env.cancel()
			left := seconds(c.left) + killMargin
			for i, client := range []net.Conn{nonIdempotent, idempotent} { // requests are in flight when the shutdown begins
				go func() {
					status, h, _, err := readResponse(client)
					if assert.NoError(t, err, "in flight, deadline %v", c.deadline) {
						assert.Equal(t, 502+i, status, "in flight, deadline %v", c.deadline)
						assert.Equal(t, i == 1, h.Get("Retry-After") != nil)
					}
					assert.Less(t, time.Since(stoppedAt), left, "in flight, deadline %v", c.deadline)
					client.Close()
					done <- true
				}()
			}
			time.Sleep(left - idleCloseMargin - 10*time.Millisecond) // the last moment to admit a request
			go write(conn, strings.Replace(nonIdempotentRequest, "In: 0.5", "In: 60", 1))
			status, h, _, err := readResponse(conn)
			assert.NoError(t, err, "deadline %v", c.deadline)
			assert.Equal(t, 502, status, "a server may have run the request")
			assert.True(t, h.Close)
			<-done
			<-done
			assert.NoError(t, <-env.serveResult)
			assert.Less(t, time.Since(stoppedAt), left, "deadline %v", c.deadline)
			conn.Close()
			time.Sleep(time.Minute)
		})
	}
}

// Guards against a proxy that exceeds its connection limits during a shutdown, or resets connections in the accept
// queue.
func TestShutdownAtConnectionBounds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := startEnv(t, map[string][]string{"b1": {noResponse}}, nil)
		env.conns.maxServed, env.conns.maxOverflow = 2, 1
		sendRequests := func(n int) (all []net.Conn) {
			for range n {
				c := env.connect()
				replacer := strings.NewReplacer("t3", fmt.Sprint("t", rand.Int()), "In: 0.5", "In: 1.2")
				go write(c, replacer.Replace(nonIdempotentRequest))
				all = append(all, c)
			}
			synctest.Wait()
			return all
		}
		busy := sendRequests(2)
		env.cancel()
		synctest.Wait()
		waiting := sendRequests(6)
		count, _ := env.conns.counts()
		assert.LessOrEqual(t, count, 4, "the connection limits hold") // one more than these: see waitForCapacity
		for _, c := range append(busy, waiting...) {
			status, _, _, err := readResponse(c)
			if assert.NoError(t, err) {
				assert.Contains(t, []int{502, 503}, status)
			}
		}
		assert.NoError(t, <-env.serveResult)
		time.Sleep(time.Minute)
	})
}

// Guards against resets when a client sends a request just as the proxy closes its idle connection: either the request
// is served, or it is never forwarded and its connection is not reset.
func TestRequestDuringShutdownIsNotReset(t *testing.T) {
	s := startSocketEnv(t, func(_ int, end net.Conn) { write(end, okResponse) })
	close(s.dialGate)
	var clients sync.WaitGroup
	for i := range 50 {
		c := s.connect()
		// Each request has an id of its own: a hedge of the one before may still be in flight.
		write(c, strings.Replace(longWaitRequest, "t1", fmt.Sprint("first", i), 1))
		status, _, _, err := readResponse(c)
		require.NoError(t, err)
		require.Equal(t, 200, status)
		clients.Go(func() {
			n, err := c.Read(make([]byte, 1))
			assert.Zero(t, n)
			assert.ErrorIs(t, err, io.EOF)
			before := s.received.Load()
			for range 3 { // if the connection were reset, the second of these writes would fail
				_, err = io.WriteString(c, longWaitRequest)
				assert.NoError(t, err)
				time.Sleep(5 * time.Millisecond)
			}
			assert.Equal(t, before, s.received.Load(), "no response could be sent to a forwarded request")
		})
	}
	go s.cancel()
	clients.Wait()
}
