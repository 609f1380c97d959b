package proxy

import (
	"fmt"
	"net"
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
			conn.Close()
			env.stopAndWait()
			assert.Zero(t, env.memory.reserved.Load(), name)
		})
	}
}

// Guards against a usual client whose request was received completely, but waits for requests that may never become
// complete: these use up only their share of the memory.
func TestCompleteRequestIsReadBesideIncompleteOnes(t *testing.T) {
	s := startSocketEnv(t, func(_ int, end net.Conn) { write(end, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n") })
	close(s.dialGate)
	limit := s.memory.limit.Load()
	require.True(t, s.memory.reserve(limit/2, useIncomplete), "incomplete requests hold all that they may")
	for n, pieces := range []int{1, http1.DefaultMaxBytes / 100} {
		conn := s.connect()
		request := requestOf(fmt.Sprint("whole", n), 0, http1.DefaultMaxBytes)
		for range pieces {
			size := min(len(request), http1.DefaultMaxBytes/pieces+1)
			write(conn, request[:size])
			request = request[size:]
		}
		write(conn, request)
		status, _, _, err := readResponse(conn)
		assert.NoError(t, err)
		assert.Equal(t, 200, status, "sent in %d pieces", pieces)
	}
	half := s.connect()
	write(half, strings.TrimSuffix(requestOf("half", 0, http1.DefaultMaxBytes), "b"))
	require.Eventually(t, func() bool { return s.memory.waits.Load() == 3 }, 5*time.Second, time.Millisecond)
	time.Sleep(2 * memoryPollInterval)
	assert.Equal(t, limit/2, s.memory.reserved.Load(), "the half of a request is not read")
	assert.NoError(t, half.Close())
	s.memory.release(limit / 2)
}
