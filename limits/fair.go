package limits

import "math"

const (
	fairThreshold  = 0.9 // once this fraction of the capacity is in use, a request beyond its route's quota is rejected
	activeDuration = 1.0 // seconds for which a route counts as active after its last request
)

// FairLimiter shares a pool's capacity between routes. While the pool has spare capacity, any route may use it. Once
// the pool is nearly full, requests of a route that has used up its quota are rejected, so that other routes can reach
// their quotas.
type FairLimiter struct {
	Capacity int       // maximum number of requests in flight
	Weights  []float64 // weight of each route; the index is the number of the route

	inFlight    []int     // number of requests in flight, by route
	total       int       // sum of inFlight
	lastAcquire []float64 // time of the last call of Acquire, by route
}

// NewFairLimiter returns a limiter for a pool whose routes, numbered from 0, have the given weights.
func NewFairLimiter(capacity int, weights []float64) *FairLimiter {
	limiter := &FairLimiter{
		Capacity:    capacity,
		Weights:     weights,
		inFlight:    make([]int, len(weights)),
		lastAcquire: make([]float64, len(weights)),
	}
	for route := range limiter.lastAcquire {
		limiter.lastAcquire[route] = math.Inf(-1)
	}
	return limiter
}

// Acquire reports whether a request of the route is admitted. An admitted request holds capacity until Release.
func (f *FairLimiter) Acquire(now float64, route int) bool {
	f.lastAcquire[route] = now
	if f.total >= f.Capacity {
		return false
	}
	nearlyFull := float64(f.total) >= fairThreshold*float64(f.Capacity)
	if nearlyFull && float64(f.inFlight[route]+1) > f.quota(now, route) {
		return false
	}
	f.inFlight[route]++
	f.total++
	return true
}

// quota returns how many requests a route may have in flight when the pool is nearly full: its share of the capacity by
// weight among the active routes, and at least 1.
func (f *FairLimiter) quota(now float64, route int) float64 {
	activeWeight := 0.0
	for other, weight := range f.Weights {
		if f.inFlight[other] > 0 || now-f.lastAcquire[other] <= activeDuration {
			activeWeight += weight
		}
	}
	return max(float64(f.Capacity)*f.Weights[route]/activeWeight, 1)
}

// Release returns the capacity that an admitted request of the route held.
func (f *FairLimiter) Release(route int) {
	f.inFlight[route]--
	f.total--
}
