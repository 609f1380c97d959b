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
	"lockloom/internal/upstream"
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
		assert.Error(t, err, "the one that is idle makes room")
		for i, c := range []net.Conn{two, three} {
			go write(c, strings.Replace(strings.Replace(lookRequest, "t1", fmt.Sprint("t", 5+i), 1), "0.5", "10", 1))
			synctest.Wait()
		}
		status, _, _, err := readResponse(three)
		assert.NoError(t, err)
		assert.Equal(t, 503, status, "no connection to a backend may be had")
		go write(three, strings.Replace(lookRequest, "0.5", "10", 1))
		synctest.Wait()
		var further []net.Conn
		for range 5 {
			c := env.connect()
			go write(c, lookRequest[:20])
			synctest.Wait()
			further = append(further, c)
		}
		count, crowded := env.conns.counts()
		assert.LessOrEqual(t, count, 4, "those after the bound are not accepted yet")
		assert.Positive(t, crowded)
		for _, c := range further {
			go write(c, lookRequest[20:])
			status, h, _, err := readResponse(c)
			assert.NoError(t, err)
			assert.Equal(t, 503, status, "over the bound it is rejected")
			assert.True(t, h.Close)
		}
		env.behaviors["b1"] = []string{okResponse}
		two.Close()
		time.Sleep(clientWatchDelay)
		synctest.Wait()
		status, _, _, err = env.roundTrip(lookRequest)
		assert.NoError(t, err)
		assert.Equal(t, 200, status)
		three.Close()
		env.stopAndWait()
	})
}

// Connections that send nothing, or begin a request and stop, must not keep out those that send one.
func TestSilentClientsAreEvicted(t *testing.T) {
	for _, begun := range []string{"", lookRequest[:20]} {
		synctest.Test(t, func(t *testing.T) {
			env := startEnv(t, map[string][]string{"b1": {okResponse}}, nil)
			env.conns.maxServed, env.conns.maxOverflow = 4, 2
			for range 20 {
				go write(env.connect(), begun)
			}
			synctest.Wait()
			count, _ := env.conns.counts()
			assert.LessOrEqual(t, count, 7)
			began := time.Now()
			for range 3 {
				for status := 0; status != 200; {
					var err error
					status, _, _, err = env.roundTrip(lookRequest)
					assert.NoError(t, err)
					assert.Contains(t, []int{200, 503}, status)
				}
			}
			assert.Less(t, time.Since(began), 5*env.maxDeadline, begun)
			env.stopAndWait()
		})
	}
}

// A client that sends nothing, or a byte now and then, would hold its connection for as long as it likes.
func TestUnfinishedHeadsTimeOut(t *testing.T) {
	for _, c := range []struct {
		first  string
		status int // 0: closed
	}{{"", 0}, {lookRequest[:20], 408}, {"G", 408}} {
		synctest.Test(t, func(t *testing.T) {
			env := startEnv(t, map[string][]string{"b1": {okResponse}}, func(l *BootstrapConfig) { l.Classes[0].Deadline = 20 })
			began, conn := time.Now(), env.connect()
			go func() {
				if c.first == "" {
					return
				}
				time.Sleep(2 * time.Second)
				write(conn, c.first)
				for range 100 { // trickles
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

// A connection whose next request comes in pieces must not be the one that makes room.
func TestIdleConnectionsAreEvicted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := startEnv(t, map[string][]string{"b1": {okResponse}}, nil)
		env.conns.maxServed, env.conns.maxOverflow = 3, 1
		idle, rejected := env.connect(), env.connect()
		long := strings.Replace(lookRequest, "0.5", "1.2", 1)
		go write(idle, long)
		env.readOK(idle)
		go write(idle, long[:30])
		synctest.Wait()
		go write(rejected, "nonsense\r\n\r\n")
		_, err := http1.NewReader(rejected).Response() // and does not close
		assert.NoError(t, err)
		for range 10 {
			env.connect()
		}
		time.Sleep(9 * newConnectionGracePeriod)
		synctest.Wait()
		_, err = rejected.Write([]byte("x"))
		assert.Error(t, err, "a rejected one makes room")
		go write(idle, long[30:])
		status, _, _, err := readResponse(idle)
		assert.NoError(t, err)
		assert.Equal(t, 200, status)
		env.stopAndWait()
	})
}

// A request that has come and is not read yet would be lost if its connection had to make room.
func TestUnreadRequestIsNotEvicted(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NoError(t, err)
	defer ln.Close()
	table := &connTable{connLimits: connLimits{maxServed: 1, maxIdle: 1}, all: map[*clientConn]bool{}}
	table.changed.L = &table.mu
	var clients []*clientConn
	var ends []net.Conn
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
		clients, ends = append(clients, c), append(ends, end)
	}
	write(ends[0], lookRequest)
	for !upstream.HasUnreadBytes(clients[0].conn) {
		time.Sleep(time.Millisecond)
	}
	assert.Nil(t, table.evictionCandidate(), "one that was served just now is likely to be used again")
	for _, c := range clients {
		c.queuedAt = time.Now().Add(-crowdedIdleTimeout)
	}
	assert.Same(t, clients[1], table.evictionCandidate(), "the other one makes room")
	table.closeLongIdle()
	assert.False(t, clients[0].closeRequested.Load())
	assert.True(t, clients[1].closeRequested.Load())
}

// A connection in two queues at once would break both: those behind it would be found no more and fill the table.
func TestConnectionIsInOneQueue(t *testing.T) {
	table := &connTable{connLimits: connLimits{maxServed: 1000, maxIdle: 1000}, all: map[*clientConn]bool{}}
	table.changed.L = &table.mu
	var all []*clientConn
	for i := range 20 {
		ours, _ := net.Pipe()
		c := &clientConn{conn: ours, connSignals: connSignals{wake: make(chan struct{}, 1)}}
		all = append(all, c)
		table.all[c] = true
		table.markIdle(c, true)
		table.markBegun(c, true)
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
		var before *clientConn
		for c := queue.first; c != nil && n <= queue.n; c = c.next {
			assert.Same(t, queue, c.queue)
			assert.Same(t, before, c.prev)
			before = c
			n++
		}
		assert.Equal(t, queue.n, n)
		assert.Same(t, before, queue.last)
	}
	assert.Equal(t, 10-4, table.pending.n) // those rejected and those whose request has begun, but for those that left
	assert.Equal(t, 4, table.idle.n)
}

// Clients that send one request and keep their connections must leave some for those that still send.
func TestIdleConnectionsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := startEnv(t, map[string][]string{"b1": {okResponse}}, nil)
		env.conns.maxIdle = 3
		once := func() (net.Conn, bool) {
			c := env.connect()
			go write(c, lookRequest)
			status, h, _, err := readResponse(c)
			assert.NoError(t, err)
			assert.Equal(t, 200, status)
			synctest.Wait()
			return c, h.Close
		}
		var idle []net.Conn
		for i := range 7 {
			c, closes := once()
			assert.Equal(t, i >= 3, closes, "so many stay idle")
			idle = append(idle, c)
			time.Sleep(longIdleDelay)
		}
		time.Sleep(crowdedIdleTimeout)
		once() // lets the first be seen as idle for too long
		_, err := idle[0].Write([]byte("x"))
		assert.Error(t, err)
		c, closes := once()
		assert.False(t, closes, "there is room to keep one again")
		c.Close()
		env.stopAndWait()
	})
}

// Connections that were used once and stay, each for a moment, would leave no room for clients that write slowly.
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

// waitForPlace waits until no connection was accepted lately, so that none waits to be accepted, and a new one has a
// place: below the bound, or that of a connection that may be evicted. New connections may not be evicted within their
// grace period; one that arrives among many others meets none but such, and is rejected as it should be.
func waitForPlace(t *testing.T, conns *connTable) {
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

// Idle clients in every place that they may have, while discovery is down, leave places for new clients, for servers
// and for discovery.
func TestIdleClientsLeaveCapacity(t *testing.T) {
	for _, sockets := range []int{80, 128, 256} {
		t.Run(fmt.Sprint(sockets), func(t *testing.T) {
			s := startSocketEnvWithSockets(t, sockets, func(_ int, end net.Conn) { write(end, okResponse) })
			close(s.dialGate)
			var idle []net.Conn
			for i := range 2 * sockets {
				c := s.connect()
				if i%2 == 0 { // some were served, some say nothing, some stop in a head
					write(c, "GET /up HTTP/1.1\r\n\r\n")
				} else if i%3 == 0 {
					write(c, lookRequest[:20])
				}
				idle = append(idle, c)
			}
			calls := s.discoveryDials.Load()
			require.Eventually(t, func() bool { return s.discoveryDials.Load() > calls }, 5*time.Second, time.Millisecond,
				"discovery is asked on")
			for range 3 {
				waitForPlace(t, &s.conns)
				c := s.connect()
				write(c, strings.Replace(longWaitRequest, "t1", fmt.Sprint(rand.Int()), 1))
				status, _, _, err := readResponse(c)
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
