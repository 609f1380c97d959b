package limits

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// A route may exceed its quota while less than fairThreshold of a pool's capacity is in use. From then on, each route
// that sends requests must reach its quota, which is its share of the capacity by weight.
func TestRoutesComeToTheirQuotas(t *testing.T) {
	limiter := NewFairLimiter(100, []float64{1, 1, 2})
	for range 90 {
		assert.True(t, limiter.Acquire(0, 0))
	}
	assert.True(t, limiter.Acquire(0, 1) && limiter.Acquire(0, 2), "the other routes are below their quotas")
	assert.False(t, limiter.Acquire(0, 0), "route 0 is above its quota, and the pool is nearly full")
	inFlight := [3]int{90, 1, 1}
	release := func(route int) {
		if inFlight[route] > 0 {
			limiter.Release(route)
			inFlight[route]--
		}
	}
	for now := 0.0; now < 10; now += .01 { // route 0 ends one request per round, and all routes send new ones
		release(0)
		for route := range 3 {
			if limiter.Acquire(now, route) {
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
