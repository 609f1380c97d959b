package limits

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// A route may exceed its quota while less than fairThreshold of a pool's capacity is in use. From then on, each route
// that sends requests must reach its quota, which is its share of the capacity by weight.
func TestRoutesComeToTheirQuotas(t *testing.T) {
	names := []string{"a", "b", "c"}
	limiter := NewFairLimiter(100, map[string]float64{"a": 1, "b": 1, "c": 2})
	for range 90 {
		assert.True(t, limiter.Acquire(0, "a"))
	}
	assert.True(t, limiter.Acquire(0, "b") && limiter.Acquire(0, "c"), "the other routes are below their quotas")
	assert.False(t, limiter.Acquire(0, "a"), "route a is above its quota, and the pool is nearly full")
	inFlight := [3]int{90, 1, 1}
	release := func(route int) {
		if inFlight[route] > 0 {
			limiter.Release(names[route])
			inFlight[route]--
		}
	}
	for now := 0.0; now < 10; now += .01 { // route a ends one request per round, and all routes send new ones
		release(0)
		for route := range 3 {
			if limiter.Acquire(now, names[route]) {
				inFlight[route]++
			}
		}
		if int(now*100)%2 == 0 {
			release(1)
			release(2)
		}
		assert.LessOrEqual(t, inFlight[0]+inFlight[1]+inFlight[2], 100)
	}
	assert.InDelta(t, 25, inFlight[1], 8)
	assert.InDelta(t, 50, inFlight[2], 10)
}

// Guards against requests that lose their place, or fail, because their route was configured under another name or not
// at all any more: those in flight count on, and a request of a former route is counted under its own name.
func TestFairLimiterIsConfiguredWithRequestsInFlight(t *testing.T) {
	limiter := NewFairLimiter(4, map[string]float64{"a": 1, "b": 1})
	for _, name := range []string{"a", "a", "b"} {
		assert.True(t, limiter.Acquire(0, name))
	}
	limiter.Configure(3, map[string]float64{"c": 1})
	assert.False(t, limiter.Acquire(0, "c"), "three are in flight")
	limiter.Release("a")
	assert.True(t, limiter.Acquire(0, "a"), "a request that was read under the earlier configuration")
	assert.False(t, limiter.Acquire(0, "unknown"))
	for _, name := range []string{"a", "a", "b"} {
		limiter.Release(name)
	}
	assert.Zero(t, limiter.total)
	assert.Len(t, limiter.routes, 1, "former routes without requests are forgotten")
	assert.True(t, limiter.Acquire(0, "c"))
	limiter.Configure(3, nil)
	limiter.Release("c")
	assert.Empty(t, limiter.routes)
}
