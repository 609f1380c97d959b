package limits

import "math"

const (
	fairThreshold  = 0.9 // of the capacity in use, from which on a route that has its quota is rejected
	activeDuration = 1.0 // seconds after its last request in which a route still has a quota
)

// FairLimiter shares a pool's capacity between routes. While capacity is left, any route may use it; when the pool is
// nearly full, a route that has its quota is rejected, so that the others come to theirs.
type FairLimiter struct {
	Capacity int       // requests in flight
	Weights  []float64 // by route

	inFlight  []int // by route
	total     int
	requested []float64 // by route, when it last requested capacity
}

// NewFairLimiter returns a limiter for routes of these weights.
func NewFairLimiter(capacity int, weights []float64) *FairLimiter {
	limiter := &FairLimiter{
		Capacity:  capacity,
		Weights:   weights,
		inFlight:  make([]int, len(weights)),
		requested: make([]float64, len(weights)),
	}
	for route := range limiter.requested {
		limiter.requested[route] = math.Inf(-1)
	}
	return limiter
}

// Acquire takes capacity for a route's request, and reports whether there is any for it now.
func (f *FairLimiter) Acquire(now float64, route int) bool {
	f.requested[route] = now
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

// quota returns what a route may have of the capacity while others want it too.
func (f *FairLimiter) quota(now float64, route int) float64 {
	activeWeight := 0.0
	for other, weight := range f.Weights {
		if f.inFlight[other] > 0 || now-f.requested[other] <= activeDuration {
			activeWeight += weight
		}
	}
	return max(float64(f.Capacity)*f.Weights[route]/activeWeight, 1)
}

// Release gives a request's capacity back.
func (f *FairLimiter) Release(route int) {
	f.inFlight[route]--
	f.total--
}
