package proxy

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"lockloom/internal/http1"
)

// Guards against sending a keyed retry after the deduplication window of 0.3 s, when servers no longer know its
// idempotency key. This happens if its connection is slow to open.
func TestKeyedRetryWithinDedupWindow(t *testing.T) {
	for _, c := range []struct {
		dial   time.Duration
		status int
		sent   int
	}{{0, 200, 2}, {50 * time.Millisecond, 502, 1}} {
		synctest.Test(t, func(t *testing.T) {
			env := startEnv(t, map[string][]string{"b1": {okResponse}, "b2": {okResponse}, "any": {cutAfterDelay, okResponse}},
				nil)
			env.dialDelay = c.dial
			status, _, _, err := env.roundTrip(keyedRequest)
			assert.NoError(t, err)
			assert.Equal(t, c.status, status)
			assert.Len(t, env.received, c.sent)
			env.stopAndWait()
		})
	}
}

func TestRequestsAreForwarded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := startEnv(t, map[string][]string{"b1": {okResponse}}, nil)
		chunked := strings.Replace(keyedRequest, "Content-Length: 3\r\n\r\nabc",
			"Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n", 1)
		for _, request := range []string{idempotentRequest, keyedRequest, chunked} {
			status, _, _, err := env.roundTrip(request)
			assert.NoError(t, err)
			assert.Equal(t, 200, status)
			time.Sleep(serverReuseDelay)
		}
		assert.Equal(t, []string{"b1 GET /look?user=7 t1  0.500 ", "b1 POST /sign t2 k 0.500 abc",
			"b1 POST /sign t2 k 0.500 abc"}, env.received)
		largest := strings.Repeat("x", http1.DefaultMaxBytes)
		env.behaviors["b1"] = []string{fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", http1.DefaultMaxBytes,
			largest)}
		status, _, body, err := env.roundTrip(strings.Replace(nonIdempotentRequest, "Content-Length: 3\r\n\r\nabc",
			fmt.Sprintf("Content-Length: %d\r\n\r\n%s", http1.DefaultMaxBytes, largest), 1))
		assert.NoError(t, err)
		assert.Equal(t, 200, status)
		assert.Equal(t, largest, body)
		assert.Equal(t, "b1 POST /sms t3  0.500 "+largest, env.received[3])
		assert.Equal(t, []string{"b1"}, env.dialed, "all requests use one connection in turn")
		large := strings.Repeat("x", 5*http1.DefaultMaxBytes)
		env.behaviors["b1"] = []string{fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(large), large)}
		status, _, body, err = env.roundTrip(idempotentRequest)
		assert.NoError(t, err)
		assert.Equal(t, 200, status)
		assert.Equal(t, large, body)
		canceled := env.connect()
		go write(canceled, idempotentRequest)
		synctest.Wait()
		canceled.Close()
		synctest.Wait()
		assert.Zero(t, env.memory.reserved.Load(), "all reserved memory is released")
		env.stopAndWait()
	})
}

func TestServerIdleTimeoutLeavesAMargin(t *testing.T) {
	for _, c := range []struct {
		serverTimeout float64 // seconds
		timeout       time.Duration
	}{{5, 4750 * time.Millisecond}, {0.4, 200 * time.Millisecond}, {0, defaultServerIdleTimeout}} {
		env := newEnv(t, nil, func(cfg *BootstrapConfig) { cfg.ServerIdleTimeout = c.serverTimeout })
		assert.Equal(t, c.timeout, env.upstream.IdleTimeout, "the server closes idle connections after %v s", c.serverTimeout)
	}
}
