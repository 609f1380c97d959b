package proxy

import (
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
)

// Guards against two requests with one id in flight: servers would see one request that runs twice.
func TestIDInUse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := startEnv(t, map[string][]string{"b1": {cutAfterDelay, okResponse}}, nil)
		first := env.connect()
		go write(first, nonIdempotentRequest)
		synctest.Wait()
		status, _, _, err := env.roundTrip(nonIdempotentRequest)
		assert.NoError(t, err)
		assert.Equal(t, 409, status)
		status, _, _, err = readResponse(first)
		assert.NoError(t, err)
		assert.Equal(t, 502, status, "the first request is not affected")
		assert.Len(t, env.received, 1)
		status, _, _, err = env.roundTrip(nonIdempotentRequest)
		assert.NoError(t, err)
		assert.Equal(t, 200, status)
		assert.Empty(t, env.requests.ids.open)
		env.stopAndWait()
	})
}

// Checks that a request over a limit is rejected at once with Retry-After, and not sent.
func TestRateLimits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := startOperatorEnv(t, map[string][]string{"any": {okResponse}})
		request := plainRequest("GET", "/limited", "")
		for range 2 {
			assert.Equal(t, "200 body", env.operatorRoundTrip(request))
		}
		assert.Equal(t, "429 1.000 over a limit", env.operatorRoundTrip(request, "Retry-After"))
		assert.Len(t, env.received, 2)
		assert.Equal(t, "200 body", env.operatorRoundTrip(plainRequest("GET", "/other", "")), "a route without the limit")
		time.Sleep(time.Second)
		assert.Equal(t, "200 body", env.operatorRoundTrip(request))
		env.stopAndWait()
	})
	synctest.Test(t, func(t *testing.T) { // each value of a field, and each tenant, has its own token bucket
		env := startOperatorEnv(t, map[string][]string{"any": {okResponse}})
		for _, c := range []struct{ team, tenant, want string }{{"a", "x", "200"}, {"a", "y", "429"}, {"b", "x", "429"},
			{"b", "y", "200"},
			{"c", "z", "200"}, {"", "", "200"}, {"", "", "429"}} {
			fields := ""
			if c.team != "" {
				fields = "X-Team: " + c.team + "\r\nX-Customer: " + c.tenant + "\r\n"
			}
			assert.Equal(t, c.want, env.operatorRoundTrip(plainRequest("GET", "/keyed", fields))[:3], "%v", c)
		}
		env.stopAndWait()
	})
	synctest.Test(t, func(t *testing.T) { // a request in flight counts until it ends, also when its client disconnects
		env := startOperatorEnv(t, map[string][]string{"any": {noResponse, okResponse}})
		request := plainRequest("GET", "/narrow", "")
		clientEnd, proxyEnd := net.Pipe()
		env.operatorConns <- proxyEnd
		write(clientEnd, request)
		synctest.Wait()
		assert.Equal(t, "429 over a limit", env.operatorRoundTrip(request))
		clientEnd.Close()
		time.Sleep(time.Second)
		synctest.Wait()
		assert.Equal(t, "200 body", env.operatorRoundTrip(request))
		env.stopAndWait()
	})
}

// Checks that a request over its pool's capacity is rejected at once.
func TestPoolCapacity(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := startOperatorEnv(t, map[string][]string{"any": {noResponse}})
		for range 2 {
			clientEnd, proxyEnd := net.Pipe()
			env.operatorConns <- proxyEnd
			write(clientEnd, plainRequest("GET", "/other", ""))
			synctest.Wait()
		}
		assert.Equal(t, "503 the pool is full", env.operatorRoundTrip(plainRequest("GET", "/other", "")))
		time.Sleep(time.Second) // their deadline
		synctest.Wait()
		assert.Equal(t, "503 dismissed", env.operatorRoundTrip(plainRequest("GET", "/other", "")))
		env.stopAndWait()
	})
}
