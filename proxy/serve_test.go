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

// On real sockets: gathered writes, and an error that a client can still read while it sends.
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
	p, err := New(BootstrapConfig{Discovery: "127.0.0.1:1", Known: List{Full: true, Entries: []discovery.Entry{entry}},
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
		{strings.Replace(lookRequest, "0.5", "20", 1), 200},
		{"POST /look HTTP/1.1\r\nX-Trace-Id: t\r\nX-Qos: look\r\nX-Expires-In: 20\r\nContent-Length: 65536\r\n\r\n" +
			strings.Repeat("x", http1.DefaultMaxBytes), 200},
		{strings.Replace(lookRequest, "t1", strings.Repeat("x", 3*http1.DefaultMaxBytes/2), 1), 431},
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
		up := "GET /up HTTP/1.1\r\n\r\n"
		time.Sleep(firstListTimeout)
		synctest.Wait()
		status, _, _, _ := env.roundTrip(up)
		assert.Equal(t, 200, status)
		waiting, idle, unused, partly := env.connect(), env.connect(), env.connect(), env.connect()
		defer waiting.Close()
		go write(idle, up)
		env.readOK(idle)
		go write(waiting, lookRequest)
		go write(partly, smsRequest[:20])
		synctest.Wait()
		env.behaviors["b1"] = []string{okResponse}
		ordered := time.Now()
		env.cancel()
		synctest.Wait()
		status, _, _, _ = env.roundTrip(up)
		assert.Equal(t, 503, status, "the load balancer in front sees it")
		time.Sleep(400 * time.Millisecond)
		late := env.connect()
		for _, c := range []struct {
			on    net.Conn
			after time.Duration // the order to stop
			close bool
		}{{idle, 0, false}, {late, 0, false}, {idle, 1200 * time.Millisecond, false}, {late, 1500 * time.Millisecond, true}} {
			time.Sleep(c.after - time.Since(ordered))
			if c.close {
				env.behaviors["b1"] = []string{noResponse}
			}
			go write(c.on, strings.Replace(smsRequest, "0.5", "1.2", 1))
			status, h, _, err := readResponse(c.on)
			assert.NoError(t, err)
			assert.Equal(t, c.close, h.Close, c.after)
			if !c.close { // clients keep their connections: there may be no other proxy
				assert.Equal(t, 200, status)
			} else {
				assert.Equal(t, 502, status, "what it has admitted is answered before it is killed")
			}
		}
		status, h, _, err := readResponse(waiting)
		assert.NoError(t, err)
		assert.Equal(t, 503, status, "what it had admitted is answered")
		assert.False(t, h.Close)
		assert.NoError(t, <-env.serveResult)
		assert.Less(t, time.Since(ordered), env.maxDeadline+killMargin)
		for _, c := range []net.Conn{idle, unused, partly} {
			_, err = c.Read(make([]byte, 1))
			assert.Error(t, err)
		}
		time.Sleep(time.Minute) // nothing of it is left running
	})
}

func TestReadyWithoutDiscovery(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := startEnv(t, map[string][]string{"b1": {okResponse}}, nil)
		status, _, _, _ := env.roundTrip("GET /up HTTP/1.1\r\n\r\n")
		assert.Equal(t, 503, status)
		time.Sleep(firstListTimeout)
		synctest.Wait() // what wakes at the same instant may run after this
		status, _, _, _ = env.roundTrip("GET /up HTTP/1.1\r\n\r\n")
		assert.Equal(t, 200, status)
		env.stopAndWait()
	})
}

// The platform waits 3 s for the longest deadline and no longer; a proxy that plans for more is killed with requests in
// flight.
func TestShutdownEndsBeforeTheKill(t *testing.T) {
	for _, c := range []struct{ deadline, left float64 }{{0.5, 0.5}, {3, 3}, {3.4, 3}, {60, 3}} {
		synctest.Test(t, func(t *testing.T) {
			env := startEnv(t, map[string][]string{"b1": {noResponse}}, func(l *BootstrapConfig) {
				l.Classes[0].Deadline, l.Classes[1].Deadline, l.Classes[2].Deadline = c.deadline, 0.1, c.deadline
			})
			conn := env.connect()
			go write(conn, "GET /up HTTP/1.1\r\n\r\n")
			_, _, _, err := readResponse(conn)
			assert.NoError(t, err)
			waiting, harmless, over := env.connect(), env.connect(), make(chan bool, 2)
			go write(waiting, strings.NewReplacer("t3", "t4", "In: 0.5", "In: 60").Replace(smsRequest))
			go write(harmless, strings.Replace(lookRequest, "In: 0.5", "In: 60", 1))
			synctest.Wait()
			ordered := time.Now()
			env.cancel()
			left := seconds(c.left) + killMargin
			for i, held := range []net.Conn{waiting, harmless} { // in hand before, for as long
				go func() {
					status, h, _, err := readResponse(held)
					if assert.NoError(t, err, "in flight, deadline %v", c.deadline) {
						assert.Equal(t, 502+i, status, "in flight, deadline %v", c.deadline)
						assert.Equal(t, i == 1, h.Get("Retry-After") != nil)
					}
					assert.Less(t, time.Since(ordered), left, "in flight, deadline %v", c.deadline)
					held.Close()
					over <- true
				}()
			}
			time.Sleep(left - idleCloseMargin - 10*time.Millisecond) // the last moment to take it
			go write(conn, strings.Replace(smsRequest, "In: 0.5", "In: 60", 1))
			status, h, _, err := readResponse(conn)
			assert.NoError(t, err, "deadline %v", c.deadline)
			assert.Equal(t, 502, status, "it may have run")
			assert.True(t, h.Close)
			<-over
			<-over
			assert.NoError(t, <-env.serveResult)
			assert.Less(t, time.Since(ordered), left, "deadline %v", c.deadline)
			conn.Close()
			time.Sleep(time.Minute)
		})
	}
}

// A proxy told to stop at its bound of connections keeps to that, and connections that wait to be accepted are not
// reset.
func TestShutdownAtConnectionBounds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := startEnv(t, map[string][]string{"b1": {noResponse}}, nil)
		env.conns.maxServed, env.conns.maxOverflow = 2, 1
		asks := func(n int) (all []net.Conn) {
			for range n {
				c := env.connect()
				go write(c, strings.NewReplacer("t3", fmt.Sprint("t", rand.Int()), "In: 0.5", "In: 1.2").Replace(smsRequest))
				all = append(all, c)
			}
			synctest.Wait()
			return all
		}
		busy := asks(2)
		env.cancel()
		synctest.Wait()
		waiting := asks(6)
		count, _ := env.conns.counts()
		assert.LessOrEqual(t, count, 4, "its bounds hold") // one more, see wait
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

// A client that sends a request just as the proxy closes its idle connection is served, or its request is never
// forwarded and its connection not reset.
func TestRequestDuringShutdownIsNotReset(t *testing.T) {
	s := startSocketEnv(t, func(_ int, end net.Conn) { write(end, okResponse) })
	close(s.dialGate)
	var all sync.WaitGroup
	for range 50 {
		c := s.connect()
		write(c, longWaitRequest)
		status, _, _, err := readResponse(c)
		require.NoError(t, err)
		require.Equal(t, 200, status)
		all.Go(func() {
			n, err := c.Read(make([]byte, 1))
			assert.Zero(t, n)
			assert.ErrorIs(t, err, io.EOF)
			before := s.received.Load()
			for range 3 { // a reset would be seen by the second
				_, err = io.WriteString(c, longWaitRequest)
				assert.NoError(t, err)
				time.Sleep(5 * time.Millisecond)
			}
			assert.Equal(t, before, s.received.Load(), "no answer could follow it")
		})
	}
	go s.cancel()
	all.Wait()
}
