package proxy

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"lockloom/internal/http1"
	"lockloom/internal/socket"
)

func TestConnectionBounds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := startEnv(t, map[string][]string{"b1": {noResponse}}, nil)
		env.conns.maxServed, env.conns.maxOverflow, env.upstream.MaxConnections = 2, 1, 1
		one := env.connect()
		go write(one, "GET /up HTTP/1.1\r\n\r\n")
		_, _, _, err := readResponse(one)
		assert.NoError(t, err)
		time.Sleep(longIdleDelay)
		two := env.connect()
		synctest.Wait()
		three := env.connect()
		synctest.Wait()
		_, err = one.Read(make([]byte, 1))
		assert.Error(t, err, "the idle connection is evicted")
		for i, c := range []net.Conn{two, three} {
			go write(c, strings.Replace(strings.Replace(idempotentRequest, "t1", fmt.Sprint("t", 5+i), 1), "0.5", "10", 1))
			synctest.Wait()
		}
		status, _, _, err := readResponse(three)
		assert.NoError(t, err)
		assert.Equal(t, 503, status, "no connection to a server is available")
		go write(three, strings.Replace(idempotentRequest, "0.5", "10", 1))
		synctest.Wait()
		var further []net.Conn
		for range 5 {
			c := env.connect()
			go write(c, idempotentRequest[:20])
			synctest.Wait()
			further = append(further, c)
		}
		count, overBound := env.conns.counts()
		assert.LessOrEqual(t, count, 4, "connections over maxOverflow are not accepted yet")
		assert.Positive(t, overBound)
		for _, c := range further {
			go write(c, idempotentRequest[20:])
			status, h, _, err := readResponse(c)
			assert.NoError(t, err)
			assert.Equal(t, 503, status, "over maxServed the request is rejected")
			assert.True(t, h.Close)
		}
		env.behaviors["b1"] = []string{okResponse}
		two.Close()
		time.Sleep(clientWatchDelay)
		synctest.Wait()
		status, _, _, err = env.roundTrip(idempotentRequest)
		assert.NoError(t, err)
		assert.Equal(t, 200, status)
		three.Close()
		env.stopAndWait()
	})
}

// Guards against clients that send nothing, or only a part of a request, keeping out clients that send requests.
func TestSilentClientsAreEvicted(t *testing.T) {
	for _, partial := range []string{"", idempotentRequest[:20]} {
		synctest.Test(t, func(t *testing.T) {
			env := startEnv(t, map[string][]string{"b1": {okResponse}}, nil)
			env.conns.maxServed, env.conns.maxOverflow = 4, 2
			for range 20 {
				go write(env.connect(), partial)
			}
			synctest.Wait()
			count, _ := env.conns.counts()
			assert.LessOrEqual(t, count, 7)
			began := time.Now()
			for range 3 {
				for status := 0; status != 200; {
					var err error
					status, _, _, err = env.roundTrip(idempotentRequest)
					assert.NoError(t, err)
					assert.Contains(t, []int{200, 503}, status)
				}
			}
			assert.Less(t, time.Since(began), 5*env.maxDeadline, partial)
			env.stopAndWait()
		})
	}
}

// Guards against a client that holds a connection without a time limit by sending nothing, or a byte now and then.
func TestUnfinishedHeadsTimeOut(t *testing.T) {
	for _, c := range []struct {
		first  string // the bytes sent before the slow ones
		status int    // 0: closed without a response
	}{{"", 0}, {idempotentRequest[:20], 408}, {"G", 408}} {
		synctest.Test(t, func(t *testing.T) {
			env := startEnv(t, map[string][]string{"b1": {okResponse}}, func(l *BootstrapConfig) { l.Classes[0].Deadline = 20 })
			began, conn := time.Now(), env.connect()
			go func() {
				if c.first == "" {
					return
				}
				time.Sleep(2 * time.Second)
				write(conn, c.first)
				for range 100 { // a byte every 200 ms
					time.Sleep(200 * time.Millisecond)
					if _, err := io.WriteString(conn, "x"); err != nil {
						return
					}
				}
			}()
			status, _, _, err := readResponse(conn)
			assert.Equal(t, c.status == 0, err != nil)
			assert.Equal(t, c.status, status)
			assert.Less(t, time.Since(began), 3*time.Second, c.first)
			conn.Close()
			env.stopAndWait()
		})
	}
}

// Guards against evicting a connection whose next request is received in pieces.
func TestIdleConnectionsAreEvicted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := startEnv(t, map[string][]string{"b1": {okResponse}}, nil)
		env.conns.maxServed, env.conns.maxOverflow = 3, 1
		idle, rejected := env.connect(), env.connect()
		long := strings.Replace(idempotentRequest, "0.5", "1.2", 1)
		go write(idle, long)
		env.readOK(idle)
		go write(idle, long[:30])
		synctest.Wait()
		go write(rejected, "nonsense\r\n\r\n")
		_, err := http1.NewReader(rejected).Response() // the client does not close its end
		assert.NoError(t, err)
		for range 10 {
			env.connect()
		}
		time.Sleep(9 * newConnectionGracePeriod)
		synctest.Wait()
		_, err = rejected.Write([]byte("x"))
		assert.Error(t, err, "the lingering connection is evicted")
		go write(idle, long[30:])
		status, _, _, err := readResponse(idle)
		assert.NoError(t, err)
		assert.Equal(t, 200, status)
		env.stopAndWait()
	})
}

// Guards against losing a request that was received, but not read yet, when its connection is evicted.
func TestUnreadRequestIsNotEvicted(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NoError(t, err)
	defer ln.Close()
	table := &connTable{connLimits: connLimits{maxServed: 1, maxIdle: 1}, all: map[*clientConn]bool{}}
	table.changed.L = &table.mu
	var clients []*clientConn
	var clientEnds []net.Conn
	for range 2 {
		end, err := net.Dial("tcp", ln.Addr().String())
		assert.NoError(t, err)
		defer end.Close()
		nc, err := ln.Accept()
		assert.NoError(t, err)
		defer nc.Close()
		c := &clientConn{conn: nc}
		table.all[c] = true
		table.markIdle(c, false)
		clients, clientEnds = append(clients, c), append(clientEnds, end)
	}
	write(clientEnds[0], idempotentRequest)
	for !socket.HasUnread(clients[0].conn) {
		time.Sleep(time.Millisecond)
	}
	assert.Nil(t, table.evictionCandidate(), "a recently used connection is not evicted")
	for _, c := range clients {
		c.queuedAt = time.Now().Add(-crowdedIdleTimeout)
	}
	assert.Same(t, clients[1], table.evictionCandidate(), "the connection without unread bytes is evicted")
	table.closeLongIdle()
	assert.False(t, clients[0].closeRequested.Load())
	assert.True(t, clients[1].closeRequested.Load())
}

// Guards against a connection in two queues at once: it would break the links of both, and the connections after it
// would never be found again and fill the table.
func TestConnectionIsInOneQueue(t *testing.T) {
	table := &connTable{connLimits: connLimits{maxServed: 1000, maxIdle: 1000}, all: map[*clientConn]bool{}}
	table.changed.L = &table.mu
	var all []*clientConn
	for i := range 20 {
		end, _ := net.Pipe()
		c := &clientConn{conn: end, connSignals: connSignals{wake: make(chan struct{}, 1)}}
		all = append(all, c)
		table.all[c] = true
		table.markIdle(c, true)
		table.markReceiving(c, true)
		switch i % 4 {
		case 0: // rejected before its request is complete
			table.markLingering(c)
		case 1:
			table.markComplete(c)
			table.markIdle(c, false)
		case 2:
			table.markComplete(c)
		}
	}
	for i, c := range all {
		if i%3 == 0 {
			table.remove(c)
		}
	}
	for _, queue := range []*connQueue{&table.pending, &table.idle, &table.longIdle} {
		n := 0
		var prev *clientConn
		for c := queue.first; c != nil && n <= queue.n; c = c.next {
			assert.Same(t, queue, c.queue)
			assert.Same(t, prev, c.prev)
			prev = c
			n++
		}
		assert.Equal(t, queue.n, n)
		assert.Same(t, prev, queue.last)
	}
	assert.Equal(t, 10-4, table.pending.n) // 5 lingering and 5 receiving, of which 4 were removed
	assert.Equal(t, 4, table.idle.n)
}

// Guards against clients that send one request and keep their connections open using up all connections.
func TestIdleConnectionsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := startEnv(t, map[string][]string{"b1": {okResponse}}, nil)
		env.conns.maxIdle = 3
		requestOnce := func() (net.Conn, bool) {
			c := env.connect()
			go write(c, idempotentRequest)
			status, h, _, err := readResponse(c)
			assert.NoError(t, err)
			assert.Equal(t, 200, status)
			synctest.Wait()
			return c, h.Close
		}
		var idle []net.Conn
		for i := range 7 {
			c, closes := requestOnce()
			assert.Equal(t, i >= 3, closes, "maxIdle connections stay open")
			idle = append(idle, c)
			time.Sleep(longIdleDelay)
		}
		time.Sleep(crowdedIdleTimeout)
		requestOnce() // makes the table close the first one, which is idle for too long
		_, err := idle[0].Write([]byte("x"))
		assert.Error(t, err)
		c, closes := requestOnce()
		assert.False(t, closes, "fewer than maxIdle connections are idle again")
		c.Close()
		env.stopAndWait()
	})
}

// Guards against connections that were used once and stay open briefly filling the table, so that clients that send
// slowly are evicted.
func TestFirstResponseClosesWhenNearlyFull(t *testing.T) {
	for _, c := range []struct {
		all, idle, longIdle int
		want                bool
	}{{5, 2, 0, false}, {6, 2, 0, true}, {6, 1, 0, false}, {6, 1, 1, true}, {2, 0, 2, true}} {
		table := connTable{connLimits: connLimits{maxServed: 8, maxIdle: 2}, all: map[*clientConn]bool{}}
		for i := range c.all {
			conn := &clientConn{queueState: queueState{queuedAt: time.Now()}}
			table.all[conn] = true
			if i < c.idle {
				table.idle.append(conn)
			} else if i < c.idle+c.longIdle {
				table.longIdle.append(conn)
			}
		}
		assert.Equal(t, c.want, table.closesFirstResponse(), "%+v", c)
	}
}

// waitForConnCapacity waits until a new connection will be served: no connection was accepted lately, so none is left
// in the accept queue, and the table is below maxServed or has an eviction candidate. Otherwise the new connection
// could find only connections within newConnectionGracePeriod, which are not evicted, and would rightly be rejected.
func waitForConnCapacity(t *testing.T, conns *connTable) {
	t.Helper()
	require.Eventually(t, func() bool {
		conns.mu.Lock()
		defer conns.mu.Unlock()
		for c := range conns.all {
			if time.Since(c.acceptedAt) < 3*newConnectionGracePeriod {
				return false
			}
		}
		return len(conns.all) < conns.maxServed || conns.evictionCandidate() != nil
	}, 10*time.Second, 10*time.Millisecond)
}

// Guards against idle clients, as many as may connect, using up the sockets for new clients, for servers and for
// discovery, while discovery is down.
func TestIdleClientsLeaveCapacity(t *testing.T) {
	for _, sockets := range []int{80, 128, 256} {
		t.Run(fmt.Sprint(sockets), func(t *testing.T) {
			s := startSocketEnvWith(t, socketEnvOptions{
				respond: func(_ int, end net.Conn) { write(end, okResponse) },
				sockets: sockets,
			})
			close(s.dialGate)
			var idle []net.Conn
			for i := range 2 * sockets {
				c := s.connect()
				if i%2 == 0 { // some are served, some send nothing, some send a part of a head
					write(c, "GET /up HTTP/1.1\r\n\r\n")
				} else if i%3 == 0 {
					write(c, idempotentRequest[:20])
				}
				idle = append(idle, c)
			}
			calls := s.discoveryDials.Load()
			require.Eventually(t, func() bool { return s.discoveryDials.Load() > calls }, 5*time.Second, time.Millisecond,
				"the proxy keeps connecting to discovery")
			for range 3 {
				waitForConnCapacity(t, &s.conns)
				c := s.connect()
				write(c, strings.Replace(longWaitRequest, "t1", fmt.Sprint(rand.Int()), 1))
				status, _, _, err := readResponse(c)
				require.NoError(t, err)
				assert.Equal(t, 200, status)
				count, _ := s.conns.counts()
				assert.LessOrEqual(t, count, s.conns.totalLimits.maxServed+s.conns.totalLimits.maxOverflow, "connections")
				assert.LessOrEqual(t, count+s.maxServerConns+reservedSockets, sockets, "descriptors")
			}
			for _, c := range idle {
				c.Close()
			}
		})
	}
}
