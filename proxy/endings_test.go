package proxy

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"lockloom/balance"
	"lockloom/internal/http1"
)

// street is a proxy on real sockets between its clients and two servers, at which a test may hold things up.
type street struct {
	*Proxy
	t     *testing.T
	front net.Listener
	mu    sync.Mutex
	open  chan struct{} // connections to servers come up once it is closed
	reply func(n int, end net.Conn)
	got   atomic.Int32 // requests at servers
	calls atomic.Int32 // for the list
	stop  context.CancelFunc
}

// onStreet serves; reply is what a server does with the n-th request that any of them gets.
func onStreet(t *testing.T, reply func(n int, end net.Conn)) *street {
	return onStreetWith(t, 1024, reply)
}

func onStreetWith(t *testing.T, sockets int, reply func(n int, end net.Conn)) *street {
	s := &street{t: t, open: make(chan struct{}), reply: reply}
	l := BootstrapConfig{Name: "n0", Discovery: "agent", Known: List{Version: 1, Full: true}, Limits: Limits{Cores: 1, Memory: 1 << 27, Sockets: sockets},
		Settings: Settings{ConnectTimeout: 5, DrainGrace: 2.5, Deployment: balance.Deployment{Proxies: 1, MaxAttempts: 4, CancelAllowed: true, HedgingAllowed: true,
			Classes: []balance.Class{{Name: "look", LatencyObjective: 4, Deadline: 5, PriorityWeight: 1}, {Name: "sms", Idempotency: balance.NonIdempotent, LatencyObjective: 4, Deadline: 5, PriorityWeight: 1}}}}}
	for _, id := range []string{"b1", "b2"} {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		t.Cleanup(func() { ln.Close() })
		go func() {
			for end, err := ln.Accept(); err == nil; end, err = ln.Accept() {
				go s.backend(end)
			}
		}()
		e := entry(id, balance.Ready, 0)
		e.Addr = ln.Addr().String()
		l.Known.Entries = append(l.Known.Entries, e)
	}
	log, _ := test.NewNullLogger()
	p, err := New(l, log)
	require.NoError(t, err)
	s.Proxy = p
	p.Dial = func(ctx context.Context, addr string) (net.Conn, error) {
		if addr == "agent" {
			s.calls.Add(1)
			<-ctx.Done()
			return nil, ctx.Err()
		}
		s.mu.Lock()
		open := s.open
		s.mu.Unlock()
		<-open
		return dial(ctx, addr)
	}
	s.front, err = net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	ctx, stop := context.WithCancel(t.Context())
	s.stop = stop
	served := make(chan error, 1)
	go func() { served <- p.Serve(ctx, s.front) }()
	t.Cleanup(func() {
		stop()
		assert.NoError(t, <-served)
	})
	return s
}

func (s *street) backend(end net.Conn) {
	defer end.Close()
	for r := http1.NewReader(end); ; {
		h, err := r.Request()
		if err != nil {
			return
		}
		r.Body(h.Length, h.Chunked)
		s.reply(int(s.got.Add(1)), end)
	}
}

func (s *street) client() *net.TCPConn {
	conn, err := net.Dial("tcp", s.front.Addr().String())
	require.NoError(s.t, err)
	s.t.Cleanup(func() { conn.Close() })
	return conn.(*net.TCPConn)
}

// holdOwner has the owner do nothing until what it returns is called.
func (s *street) holdOwner() (letGo func()) {
	held, on := make(chan bool), make(chan bool)
	s.post(func() { held <- true; <-on })
	<-held
	return func() { close(on) }
}

// admittedAt waits until a client's request is in hand.
func (s *street) taken() {
	require.Eventually(s.t, func() bool {
		in := make(chan bool, 1)
		s.post(func() { in <- s.counters.Attempts > 0 })
		return <-in
	}, 5*time.Second, time.Millisecond)
}

var longLook = strings.Replace(look, "In: 0.5", "In: 5", 1)

// Danger: a client closes while its request waits for a connection to a server, for the owner, for its turn, or for
// what another attempt comes to; what is sent on then has nobody to go to. However it goes, and whatever is known of
// that, nothing is sent on any more.
func TestNothingIsSentForWhoHasGone(t *testing.T) {
	ahead := string(bytes.Repeat([]byte("x"), 64<<10))
	ends := map[string]func(c *net.TCPConn){
		"closes":                       func(c *net.TCPConn) { c.Close() },
		"closes behind what is unread": func(c *net.TCPConn) { io.WriteString(c, ahead); c.Close() },
		"resets behind what is unread": func(c *net.TCPConn) { io.WriteString(c, ahead); c.SetLinger(0); c.Close() },
	}
	for name, end := range ends {
		t.Run(name+", as its leg's connection comes up", func(t *testing.T) {
			s := onStreet(t, func(_ int, end net.Conn) { io.WriteString(end, ok) })
			c := s.client()
			io.WriteString(c, longLook)
			s.taken()
			letGo := s.holdOwner() // it hears of nothing
			end(c)
			time.Sleep(2 * clientCheckInterval)
			close(s.open)
			time.Sleep(clientCheckInterval)
			assert.Zero(t, s.got.Load())
			letGo()
			time.Sleep(clientCheckInterval)
			assert.Zero(t, s.got.Load())
		})
		t.Run(name+", as its leg is turned away", func(t *testing.T) {
			on := make(chan bool)
			s := onStreet(t, func(n int, end net.Conn) {
				<-on
				io.WriteString(end, neverRan)
			})
			close(s.open)
			c := s.client()
			io.WriteString(c, longLook)
			require.Eventually(t, func() bool { return s.got.Load() == 1 }, 5*time.Second, time.Millisecond)
			s.mu.Lock()
			further := make(chan struct{})
			s.open = further
			s.mu.Unlock()
			letGo, again := s.holdOwner(), make(chan bool)
			close(on)
			time.Sleep(clientCheckInterval)
			s.post(func() { <-again }) // the owner hears of that, sends on, and does not hear yet that the client goes
			end(c)
			time.Sleep(2 * clientCheckInterval)
			letGo()
			time.Sleep(clientCheckInterval)
			close(further)
			time.Sleep(clientCheckInterval)
			assert.EqualValues(t, 1, s.got.Load(), "no further leg")
			close(again)
			time.Sleep(clientCheckInterval)
			assert.EqualValues(t, 1, s.got.Load(), "no further leg")
		})
		t.Run(name+", as it waits for its turn", func(t *testing.T) {
			s := onStreet(t, func(_ int, end net.Conn) { io.WriteString(end, ok) })
			close(s.open)
			free := (&yard{Proxy: s.Proxy}).busy(1)
			c := s.client()
			io.WriteString(c, longLook)
			require.Eventually(t, func() bool {
				s.overload.mu.Lock()
				defer s.overload.mu.Unlock()
				return s.overload.Queued > 0
			}, 5*time.Second, time.Millisecond)
			end(c)
			time.Sleep(clientCheckInterval / 5)
			free()
			time.Sleep(clientCheckInterval)
			assert.Zero(t, s.got.Load())
		})
	}
}

// What a client's own goroutine has not seen, because its core is busy, is seen all the same.
func TestAbandoned(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer ln.Close()
	for _, c := range []struct {
		name             string
		age              time.Duration
		ends, left, want bool
	}{{"there", time.Second, false, false, false}, {"gone", time.Second, true, false, true}, {"just taken", 0, true, false, false}, {"seen to go", 0, false, true, true}} {
		theirs, err := net.Dial("tcp", ln.Addr().String())
		require.NoError(t, err)
		ours, err := ln.Accept()
		require.NoError(t, err)
		l := &request{client: &clientConn{conn: ours}}
		l.client.abandoned.Store(c.left)
		io.WriteString(theirs, "unread")
		if c.ends {
			theirs.Close()
		}
		time.Sleep(clientCheckInterval / 5)
		assert.Equal(t, c.want, l.clientGone(time.Now().Add(-c.age)), c.name)
		theirs.Close()
		ours.Close()
	}
	assert.False(t, (&request{}).clientGone(time.Time{}), "nobody's")
}

// A client that stays is served for as long as it waits, whatever it sent ahead, and what it sent ahead is served next.
func TestWhoSendsAheadIsServed(t *testing.T) {
	s := onStreet(t, func(_ int, end net.Conn) {
		time.Sleep(2 * clientCheckInterval)
		io.WriteString(end, ok)
	})
	close(s.open)
	c := s.client()
	var all strings.Builder
	const n = 60
	for range n {
		all.WriteString(strings.Replace(longLook, "t1", strings.Repeat("t", 200), 1))
	}
	go io.WriteString(c, all.String())
	r := http1.NewReader(c)
	for range n / 10 {
		h, err := r.Response()
		require.NoError(t, err)
		assert.Equal(t, 200, h.Status)
		r.Body(h.Length, h.Chunked)
	}
}

// Danger: closed over bytes that nobody read, a connection is reset, and what the client has not taken of its answer is
// lost. The client takes nothing until all of the proxy's side is done.
func TestAnswersOutliveTheirConnections(t *testing.T) {
	large := strings.Repeat("y", 60_000)
	served := "HTTP/1.1 200 OK\r\nContent-Length: 60000\r\n\r\n" + large
	closing := strings.Replace(longLook, "\r\n\r\n", "\r\nConnection: close\r\n\r\n", 1)
	junk := strings.Repeat("x", 32<<10)
	for _, c := range []struct {
		name, request string
		status        int
	}{
		{"closing by its client's wish", closing, 200},
		{"turned away in a body that flows", "POST /sms HTTP/1.1\r\nX-Trace-Id: t\r\nX-Qos: sms\r\nX-Expires-In: 5\r\nTransfer-Encoding: chunked\r\n\r\n" +
			"20000\r\n" + strings.Repeat("z", 0x20000) + "\r\nno chunk\r\n", 400},
		{"turned away", strings.Replace(longLook, "X-Qos: look", "X-Qos: none", 1), 400},
		{"too large", strings.Replace(longLook, "t1", strings.Repeat("x", 3*http1.DefaultMaxBytes/2), 1), 431},
	} {
		t.Run(c.name, func(t *testing.T) {
			on := make(chan bool)
			s := onStreet(t, func(_ int, end net.Conn) {
				<-on
				io.WriteString(end, served)
			})
			close(s.open)
			d := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error { // the answer does not fit
				return raw.Control(func(fd uintptr) { syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 2048) })
			}}
			conn, err := d.Dial("tcp", s.front.Addr().String())
			require.NoError(t, err)
			defer conn.Close()
			_, err = io.WriteString(conn, c.request+junk)
			require.NoError(t, err)
			time.Sleep(2 * clientWatchDelay)
			close(on)
			time.Sleep(clientCheckInterval)
			all, err := io.ReadAll(conn)
			assert.NoError(t, err, "it ends in order")
			r := http1.NewReader(bytes.NewReader(all))
			h, err := r.Response()
			require.NoError(t, err)
			assert.Equal(t, c.status, h.Status)
			body, err := r.Body(h.Length, h.Chunked)
			assert.NoError(t, err)
			if c.status == 200 {
				assert.Equal(t, large, string(body))
			}
		})
	}
}

// Danger: a client that rests until the proxy ends its connection may ask in that instant. Its request is served, or
// never sent on and its connection not reset.
func TestAskedAsTheProxyEnds(t *testing.T) {
	s := onStreet(t, func(_ int, end net.Conn) { io.WriteString(end, ok) })
	close(s.open)
	var all sync.WaitGroup
	for range 50 {
		c := s.client()
		io.WriteString(c, longLook)
		status, _, _, err := answer(c)
		require.NoError(t, err)
		require.Equal(t, 200, status)
		all.Go(func() {
			n, err := c.Read(make([]byte, 1))
			assert.Zero(t, n)
			assert.ErrorIs(t, err, io.EOF)
			before := s.got.Load()
			for range 3 { // a reset would be seen by the second
				_, err = io.WriteString(c, longLook)
				assert.NoError(t, err)
				time.Sleep(5 * time.Millisecond)
			}
			assert.Equal(t, before, s.got.Load(), "no answer could follow it")
		})
	}
	go s.stop()
	all.Wait()
}

// Danger: the platform waits 3 s for the longest deadline and no longer; whoever plans on more is killed with requests
// in hand.
func TestStopIsOverWhenThePlatformKills(t *testing.T) {
	for _, c := range []struct{ hardStop, left float64 }{{0.5, 0.5}, {3, 3}, {3.4, 3}, {60, 3}} {
		synctest.Test(t, func(t *testing.T) {
			y := serve(t, map[string][]string{"b1": {silent}}, func(l *BootstrapConfig) {
				l.Classes[0].Deadline, l.Classes[1].Deadline, l.Classes[2].Deadline = c.hardStop, 0.1, c.hardStop
			})
			conn := y.client()
			go io.WriteString(conn, "GET /up HTTP/1.1\r\n\r\n")
			answer(conn)
			waiting, harmless, over := y.client(), y.client(), make(chan bool, 2)
			go io.WriteString(waiting, strings.NewReplacer("t3", "t4", "In: 0.5", "In: 60").Replace(sms))
			go io.WriteString(harmless, strings.Replace(look, "In: 0.5", "In: 60", 1))
			synctest.Wait()
			ordered := time.Now()
			y.stop()
			left := seconds(c.left) + killMargin
			for i, held := range []net.Conn{waiting, harmless} { // in hand before, for as long
				go func() {
					status, h, _, err := answer(held)
					if assert.NoError(t, err, "in hand, hard stop %v", c.hardStop) {
						assert.Equal(t, 502+i, status, "in hand, hard stop %v", c.hardStop)
						assert.Equal(t, i == 1, h.Get("Retry-After") != nil)
					}
					assert.Less(t, time.Since(ordered), left, "in hand, hard stop %v", c.hardStop)
					held.Close()
					over <- true
				}()
			}
			time.Sleep(left - idleCloseMargin - 10*time.Millisecond) // the last moment to take it
			go io.WriteString(conn, strings.Replace(sms, "In: 0.5", "In: 60", 1))
			status, h, _, err := answer(conn)
			assert.NoError(t, err, "hard stop %v", c.hardStop)
			assert.Equal(t, 502, status, "it may have run")
			assert.True(t, h.Close)
			<-over
			<-over
			assert.NoError(t, <-y.served)
			assert.Less(t, time.Since(ordered), left, "hard stop %v", c.hardStop)
			conn.Close()
			time.Sleep(time.Minute)
		})
	}
}

// Danger: told to stop, a proxy whose clients fill the door took in whoever came, beyond its descriptors; and those
// that waited to be accepted when it ended that were reset.
func TestFullDoorStops(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		y := serve(t, map[string][]string{"b1": {silent}}, nil)
		y.conns.maxServed, y.conns.maxOverflow = 2, 1
		asks := func(n int) (all []net.Conn) {
			for range n {
				c := y.client()
				go io.WriteString(c, strings.NewReplacer("t3", fmt.Sprint("t", rand.Int()), "In: 0.5", "In: 1.2").Replace(sms))
				all = append(all, c)
			}
			synctest.Wait()
			return all
		}
		busy := asks(2)
		y.stop()
		synctest.Wait()
		waiting := asks(6)
		count, _ := y.conns.counts()
		assert.LessOrEqual(t, count, 4, "its bounds hold") // one more, see wait
		for _, c := range append(busy, waiting...) {
			status, _, _, err := answer(c)
			if assert.NoError(t, err) {
				assert.Contains(t, []int{502, 503}, status)
			}
		}
		assert.NoError(t, <-y.served)
		time.Sleep(time.Minute)
	})
}

// Danger: idle clients that hold every place they may have while discovery is down leave none for whoever asks, for
// servers, or for discovery's return.
func TestIdleClientsFillTheDoor(t *testing.T) {
	for _, sockets := range []int{80, 128, 256} {
		t.Run(fmt.Sprint(sockets), func(t *testing.T) {
			s := onStreetWith(t, sockets, func(_ int, end net.Conn) { io.WriteString(end, ok) })
			close(s.open)
			var idle []net.Conn
			for i := range 2 * sockets {
				c := s.client()
				if i%2 == 0 { // some were served, some say nothing, some stop in a head
					io.WriteString(c, "GET /up HTTP/1.1\r\n\r\n")
				} else if i%3 == 0 {
					io.WriteString(c, look[:20])
				}
				idle = append(idle, c)
			}
			calls := s.calls.Load()
			require.Eventually(t, func() bool { return s.calls.Load() > calls }, 5*time.Second, time.Millisecond, "discovery is asked on")
			for range 3 {
				c := s.client()
				io.WriteString(c, strings.Replace(longLook, "t1", fmt.Sprint(rand.Int()), 1))
				status, _, _, err := answer(c)
				require.NoError(t, err)
				assert.Equal(t, 200, status)
				count, _ := s.conns.counts()
				assert.LessOrEqual(t, count, s.conns.totalLimits.maxServed+s.conns.totalLimits.maxOverflow, "places")
				assert.LessOrEqual(t, count+s.maxServerConns+reservedSockets, sockets, "descriptors")
			}
			for _, c := range idle {
				c.Close()
			}
		})
	}
}
