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
			assert.NoError(t, conn.Close())
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

// startWaitingEnv starts a proxy whose sockets hold any of waitingForms unread.
func startWaitingEnv(t *testing.T) *socketEnv {
	t.Helper()
	s := startSocketEnvWith(t, socketEnvOptions{
		respond:           func(_ int, end net.Conn) { write(end, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n") },
		clientSocketBytes: largeSocketBytes,
	})
	close(s.dialGate)
	return s
}

// Guards against a usual client that waits beside clients that stop within a request, since its request was not known
// to be received completely: only bodies with a length were, so chunks and large heads waited for the memory of
// incomplete requests until their clients had given up.
func TestCompleteRequestOfAnyFormIsReadBesideIncompleteOnes(t *testing.T) {
	s := startWaitingEnv(t)
	limit := s.memory.limit.Load()
	require.True(t, s.memory.reserve(limit/2, useIncomplete), "incomplete requests hold all that they may")
	defer s.memory.release(limit / 2)
	for name, request := range waitingForms {
		for _, pieces := range []int{1, 50} {
			conn := s.connect()
			sendInPieces(conn, strings.Replace(request, "Trace-Id: ", fmt.Sprint("Trace-Id: ", pieces), 1), pieces)
			status, _, _, err := readResponse(conn)
			assert.NoError(t, err, name)
			assert.Equal(t, 200, status, "%s, sent in %d pieces", name, pieces)
			assert.NoError(t, conn.Close())
		}
	}
	for name, request := range waitingForms {
		before := s.memory.waits.Load()
		conn := s.connect()
		write(conn, request[:len(request)-1])
		require.Eventually(t, func() bool { return s.memory.waits.Load() > before }, 5*time.Second, time.Millisecond, name)
		time.Sleep(2 * memoryPollInterval)
		assert.Equal(t, limit/2, s.memory.reserved.Load(), "%s: a request without its last byte is not read", name)
		assert.NoError(t, conn.Close())
		require.Eventually(t, func() bool { return s.memory.reserved.Load() == limit/2 }, 5*time.Second, time.Millisecond)
	}
}

func sendInPieces(conn net.Conn, text string, pieces int) {
	for size := len(text)/pieces + 1; len(text) > 0; text = text[min(size, len(text)):] {
		write(conn, text[:min(size, len(text))])
	}
}

// Guards against an answer that comes after the client has given up: a request that was received completely waits for
// memory no longer than its client, in all of its waits together.
func TestWaitForMemoryEndsInTheClientsTime(t *testing.T) {
	const lateAnswer = 500 * time.Millisecond // after the client's time: a later answer counts as none
	for _, wait := range []time.Duration{600 * time.Millisecond, 20 * time.Millisecond} {
		s := startWaitingEnv(t)
		limit := s.memory.limit.Load()
		require.True(t, s.memory.reserve(limit, useResponse), "there is no memory")
		for name, request := range waitingForms {
			conn := s.connect()
			write(conn, strings.Replace(request, "Expires-In: 1", fmt.Sprintf("Expires-In: %.3f", wait.Seconds()), 1))
			sentAt := time.Now()
			status, _, _, err := readResponse(conn)
			assert.NoError(t, err, name)
			assert.Equal(t, 503, status, name)
			assert.Less(t, time.Since(sentAt), wait+lateAnswer, name)
			assert.NoError(t, conn.Close())
		}
		s.memory.release(limit)
	}
}
