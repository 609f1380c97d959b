package proxy

import (
	"fmt"
	"net"
	"runtime"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"lockloom/internal/http1"
)

// requestOf returns a non-idempotent request with a head and a body of at least these sizes.
func requestOf(id string, head, body int) string {
	return fmt.Sprintf("POST /sms HTTP/1.1\r\nX-Trace-Id: %s\r\nX-Qos: sms\r\nX-Expires-In: 1\r\nX-Props: %s\r\n"+
		"Content-Length: %d\r\n\r\n%s", id, strings.Repeat("a", head), body, strings.Repeat("b", body))
}

// setBudget sets the memory limit so that bytes may be reserved in all.
func setBudget(bytes int) func(*BootstrapConfig) {
	return func(cfg *BootstrapConfig) { cfg.Limits.Memory = int64(float64(bytes) / bufferMemoryFraction) }
}

// Guards against running out of memory for the bodies of waiting requests: the proxy would be killed and all admitted
// requests lost. A request for which there is no memory in time is rejected; memory is free again once a client leaves.
func TestMemoryBudget(t *testing.T) {
	const body, budget = 5000, 18_000 // useIncomplete allows one such body, and not a second one
	synctest.Test(t, func(t *testing.T) {
		env := startEnv(t, map[string][]string{"b1": {noResponse}}, setBudget(budget))
		first := env.connect()
		go write(first, requestOf("first", 0, body))
		synctest.Wait()
		assert.EqualValues(t, body, env.memory.reserved.Load())
		status, head, _, err := env.roundTrip(requestOf("large", 0, budget))
		assert.NoError(t, err)
		assert.Equal(t, 503, status)
		assert.Equal(t, "1.000", string(head.Get("Retry-After")))
		assert.Equal(t, 1, env.counters.ShedOverLimit)
		first.Close()
		time.Sleep(clientWatchDelay)
		synctest.Wait()
		assert.Zero(t, env.memory.reserved.Load())
		env.behaviors["b1"] = []string{okResponse}
		status, _, _, err = env.roundTrip(requestOf("third", 0, body))
		assert.NoError(t, err)
		assert.Equal(t, 200, status)
		env.stopAndWait()
		assert.Zero(t, env.memory.reserved.Load())
	})
}

// Guards against storing what no memory is reserved for, and against rejecting a request that only has to wait: its
// bytes stay with the system until another request has released its memory.
func TestRequestWaitsForMemory(t *testing.T) {
	const budget = 160_000
	for name, request := range map[string]string{
		"body":       requestOf("waiting", 0, 15_000),
		"large body": requestOf("waiting", 0, 40_000),
		"large head": requestOf("waiting", 14_000, 3),
		"chunks": strings.Replace(requestOf("waiting", 0, 15_000), "Content-Length: 15000\r\n\r\n",
			"Transfer-Encoding: chunked\r\n\r\n3a98\r\n", 1) + "\r\n0\r\n\r\n",
	} {
		synctest.Test(t, func(t *testing.T) {
			env := startEnv(t, map[string][]string{"b1": {okResponse}}, setBudget(budget))
			assert.True(t, env.memory.reserve(budget/2, useIncomplete), "other requests hold memory")
			conn := env.connect()
			go write(conn, request)
			time.Sleep(2 * memoryPollInterval)
			assert.Empty(t, env.received, name)
			assert.EqualValues(t, budget/2, env.memory.reserved.Load(), name)
			env.memory.release(budget / 2)
			status, _, _, err := readResponse(conn)
			assert.NoError(t, err, name)
			assert.Equal(t, 200, status, name)
			assert.Len(t, env.received, 1, name)
			assert.EqualValues(t, 1, env.memory.waits.Load(), name)
			assert.NoError(t, conn.Close())
			env.stopAndWait()
			assert.Zero(t, env.memory.reserved.Load(), name)
		})
	}
}

// chunkedRequestOf returns a request like requestOf, with its body in chunks.
func chunkedRequestOf(id string, head, body int) string {
	const size = 8 << 10
	text, _, _ := strings.Cut(requestOf(id, head, 0), "Content-Length")
	chunks := ""
	for ; body > 0; body -= size {
		n := min(body, size)
		chunks += fmt.Sprintf("%x\r\n%s\r\n", n, strings.Repeat("b", n))
	}
	return text + "Transfer-Encoding: chunked\r\n\r\n" + chunks + "0\r\n\r\n"
}

// waitingForms are forms of a request whose reading needs memory at different times.
var waitingForms = map[string]string{
	"chunks":                   chunkedRequestOf("chunks", 0, 40_000),
	"large head":               requestOf("head", 30_000, 3),
	"large head, body":         requestOf("head-body", 30_000, 30_000),
	"large head, chunks":       chunkedRequestOf("head-chunks", 30_000, 30_000),
	"streamed":                 requestOf("streamed", 0, 100_000),
	"streamed in chunks":       chunkedRequestOf("streamed-chunks", 0, 100_000),
	"large head, streamed":     requestOf("head-streamed", 30_000, 100_000),
	"a head's copy":            requestOf("copy", 5_000, 3),
	"a head's copy and chunks": chunkedRequestOf("copy-chunks", 5_000, 20_000),
}

// startWaitingEnv starts a proxy whose requests wait: the share of its memory for a use is reserved. The returned
// function releases that.
func startWaitingEnv(t *testing.T, clientSocketBytes int, use memoryUse) (s *socketEnv, release func()) {
	t.Helper()
	s = startSocketEnvWith(t, socketEnvOptions{
		respond:           func(_ int, end net.Conn) { write(end, okResponse) },
		clientSocketBytes: clientSocketBytes,
	})
	close(s.dialGate)
	share := int64(memoryShares[use] * float64(s.memory.limit.Load()))
	require.True(t, s.memory.reserve(share, use))
	return s, func() { s.memory.release(share) }
}

// Guards against a usual client whose request was received completely, but waits for requests that may never become
// complete: these use up only their share of the memory. Once only the end of a body with a length was found, so that
// chunks and large heads waited like incomplete requests until their clients had given up.
func TestCompleteRequestIsReadBesideIncompleteOnes(t *testing.T) {
	for _, c := range []struct {
		socketBytes int
		forms       map[string]string
		pieces      int
	}{
		{0, map[string]string{"largest body": requestOf("largest", 0, http1.DefaultMaxBytes)}, http1.DefaultMaxBytes / 100},
		{largeSocketBytes, waitingForms, 50},
	} {
		s, release := startWaitingEnv(t, c.socketBytes, useIncomplete)
		reserved := s.memory.reserved.Load()
		for name, request := range c.forms {
			for _, pieces := range []int{1, c.pieces} {
				waits := s.memory.waits.Load()
				status, _ := s.ask(strings.Replace(request, "Id: ", fmt.Sprint("Id: ", pieces), 1), len(request)/pieces+1, 0)
				assert.Equal(t, 200, status, "%s, sent in %d pieces", name, pieces)
				assert.Greater(t, s.memory.waits.Load(), waits, "%s: found no memory at first", name)
			}
			waits := s.memory.waits.Load()
			conn := s.connect()
			write(conn, request[:len(request)-1])
			require.Eventually(t, func() bool { return s.memory.waits.Load() > waits }, 5*time.Second, time.Millisecond, name)
			time.Sleep(2 * memoryPollInterval)
			assert.Equal(t, reserved, s.memory.reserved.Load(), "%s: not read without its last byte", name)
			assert.NoError(t, conn.Close())
			isReleased := func() bool { return s.memory.reserved.Load() == reserved }
			require.Eventually(t, isReleased, 5*time.Second, time.Millisecond, name)
		}
		release()
	}
}

// Guards against an answer that comes after the client has given up: a request that was received completely waits for
// memory no longer than its client.
func TestWaitForMemoryEndsInTheClientsTime(t *testing.T) {
	for _, wait := range []time.Duration{600 * time.Millisecond, 20 * time.Millisecond} {
		s, release := startWaitingEnv(t, largeSocketBytes, useResponse)
		for name, request := range waitingForms {
			expires := fmt.Sprintf("Expires-In: %.3f", wait.Seconds())
			status, took := s.ask(strings.Replace(request, "Expires-In: 1", expires, 1), len(request)+len(expires), 0)
			assert.Equal(t, 503, status, name)
			assert.Less(t, took, wait+maxAnswerDelay, name)
		}
		release()
	}
}

// Guards against a request that waits at each of its buffers for as long as it may wait in all.
func TestWaitsForMemoryOfACompleteRequestCountTogether(t *testing.T) {
	const budget = 1000
	synctest.Test(t, func(t *testing.T) {
		env := newEnv(t, nil, setBudget(budget))
		ours, _ := net.Pipe()
		share := newConnShare(&env.turns)
		c := &clientConn{proxy: env.Proxy, conn: ours, connReader: newConnReader(ours, share)}
		c.memory.conn = c
		body := c.StreamBody(0, false) // nothing of it is missing
		assert.True(t, env.memory.reserve(budget, useResponse))
		time.AfterFunc(maxCompleteWait/2, func() { env.memory.release(budget / 2) })
		began, later := time.Now(), time.Now().Add(time.Minute)
		assert.NoError(t, c.memory.reserve(budget/4, useComplete, body, later))
		assert.ErrorIs(t, c.memory.reserve(budget, useComplete, body, later), errMemoryFull)
		assert.InDelta(t, maxCompleteWait, time.Since(began), float64(memoryPollInterval))
	})
}

// Guards against memory of a rejected request's head that is kept, though it is counted no more, while the connection
// waits for its client to read the response.
func TestRejectedHeadIsNotKept(t *testing.T) {
	const clients, keptBytes = 40, 20 << 10 // of a head of 64 KiB
	large := "X: " + strings.Repeat("x", 60_000) + "\r\n"
	for _, c := range []struct {
		name, request string
		ends          bool // the client ends its sending side
	}{
		{"malformed", "GET /look HTTP/1.1\r\n" + large + "no field\r\n\r\n", false},
		{"not a valid request", "GET /look HTTP/1.1\r\n" + large + "\r\n", false},
		{"not complete", "GET /look HTTP/1.1\r\n" + large, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := startSocketEnv(t, func(int, net.Conn) {})
			conns := make([]*net.TCPConn, clients)
			for i := range conns {
				conns[i] = s.connect()
			}
			before := reachableBytes()
			for _, conn := range conns {
				write(conn, c.request)
				if c.ends {
					require.NoError(t, conn.CloseWrite())
				}
			}
			for _, conn := range conns {
				status, _, _, err := readResponse(conn)
				require.NoError(t, err)
				assert.Equal(t, 400, status)
			}
			assert.Less(t, reachableBytes()-before, int64(clients*keptBytes))
		})
	}
}

// reachableBytes returns the size of the heap without garbage.
func reachableBytes() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}
