package proxy

import (
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"lockloom/balance"
	"lockloom/limits"
)

// panickingDecider panics when a request arrives.
type panickingDecider struct{ Decider }

func (panickingDecider) RequestArrived(float64, balance.RequestInfo, string) (RequestHandle, *balance.Actions) {
	panic("planted")
}

// Guards against a request without any answer, and a lost place in a limit, after a panic while it is admitted: its
// timer is not set yet then, or has no handle to call.
func TestPanicInAdmissionIsAnswered(t *testing.T) {
	for _, c := range []struct {
		name  string
		plant func(pool *serverPool)
	}{
		{"in the quota", func(pool *serverPool) { pool.fairLimiter = &limits.FairLimiter{} }}, // its map is nil
		{"in the balancer", func(pool *serverPool) { pool.decisions = panickingDecider{pool.decisions} }},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				env := startOperatorEnv(t, map[string][]string{"b1:80": {okResponse}, "b2:80": {okResponse},
					"b3:80": {okResponse}, "c1:80": {okResponse}, "f1:80": {okResponse}})
				req := &request{
					pool:      env.routing.Load().pools["second"],
					id:        "planted",
					arrivedAt: env.now(),
					deadline:  env.now() + 1,
					retryRule: &limits.RetryRule{},
					response:  make(chan response, 1),
				}
				req.class = &req.pool.classes[0]
				req.quota = requestQuota{
					limits: env.routing.Load().config.Limits,
					keys:   []limits.LimitKey{{Limit: env.routing.Load().limitIndexes["one-in-hand"]}},
					route:  "narrow",
				}
				env.post(func() {
					defer func() { assert.NotNil(t, recover(), "it panics") }() // as the owner's loop does
					decisions, limiter := req.pool.decisions, req.pool.fairLimiter
					defer func() { req.pool.decisions, req.pool.fairLimiter = decisions, limiter }()
					c.plant(req.pool)
					env.admit(req, balance.RequestInfo{Tenant: noTenant, Deadline: req.deadline}, false)
				})
				synctest.Wait()
				if assert.Len(t, req.response, 1, "answered at once") {
					assert.Equal(t, 503, (<-req.response).status, "nothing was sent for it")
				}
				permit, rejection := req.quota.limits.Acquire(env.now(), req.quota.keys)
				assert.Nil(t, rejection, "its place in the limit is free")
				req.quota.limits.Release(&permit)
				assert.Equal(t, "200 body", env.operatorRoundTrip(plainRequest("GET", "/narrow", "")))
				env.stopAndWait()
			})
		})
	}
}

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
