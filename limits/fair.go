package limits

import "math"

const (
	fairThreshold  = 0.9 // once this fraction of the capacity is in use, a request beyond its route's quota is rejected
	activeDuration = 1.0 // seconds for which a route counts as active after its last request

	// formerRouteWeight is the weight of a route that is not configured any more, of which requests are still received.
	formerRouteWeight = 1.0
)

// FairLimiter shares a pool's capacity between routes. While the pool has spare capacity, any route may use it. Once
// the pool is nearly full, requests of a route that has used up its quota are rejected, so that other routes can reach
// their quotas. Routes are told apart by name, since a request may have been routed before the configuration changed.
type FairLimiter struct {
	capacity int                   // maximum number of requests in flight
	total    int                   // requests in flight, of all routes
	routes   map[string]*fairRoute // by name: the configured ones, and former ones that have requests in flight
}

// fairRoute is a route of a FairLimiter.
type fairRoute struct {
	weight      float64
	configured  bool
	inFlight    int     // number of requests in flight
	lastAcquire float64 // time of the last call of Acquire
}

// NewFairLimiter returns a limiter for a pool whose routes have the given weights, by name.
func NewFairLimiter(capacity int, weights map[string]float64) *FairLimiter {
	limiter := &FairLimiter{routes: map[string]*fairRoute{}}
	limiter.Configure(capacity, weights)
	return limiter
}

// Configure changes the capacity, and the routes with their weights. Requests in flight count on. If they are more than
// the new capacity, no further one is admitted until enough of them have ended.
func (f *FairLimiter) Configure(capacity int, weights map[string]float64) {
	f.capacity = capacity
	for name, route := range f.routes {
		_, route.configured = weights[name]
		f.forgetUnused(name, route)
	}
	for name, weight := range weights {
		route := f.route(name)
		route.weight = weight
		route.configured = true
	}
}

// route returns the route with a name, which may be a former one.
func (f *FairLimiter) route(name string) *fairRoute {
	route := f.routes[name]
	if route == nil {
		route = &fairRoute{weight: formerRouteWeight, lastAcquire: math.Inf(-1)}
		f.routes[name] = route
	}
	return route
}

// forgetUnused forgets a former route that has no request in flight.
func (f *FairLimiter) forgetUnused(name string, route *fairRoute) {
	if !route.configured && route.inFlight == 0 {
		delete(f.routes, name)
	}
}

// Acquire reports whether a request of the route is admitted. An admitted request holds capacity until Release.
func (f *FairLimiter) Acquire(now float64, name string) bool {
	route := f.route(name)
	route.lastAcquire = now
	if !f.hasCapacity(now, route) {
		f.forgetUnused(name, route)
		return false
	}
	route.inFlight++
	f.total++
	return true
}

func (f *FairLimiter) hasCapacity(now float64, route *fairRoute) bool {
	if f.total >= f.capacity {
		return false
	}
	nearlyFull := float64(f.total) >= fairThreshold*float64(f.capacity)
	return !nearlyFull || float64(route.inFlight+1) <= f.quota(now, route)
}

// quota returns how many requests a route may have in flight when the pool is nearly full: its share of the capacity by
// weight among the active routes, and at least 1.
func (f *FairLimiter) quota(now float64, route *fairRoute) float64 {
	activeWeight := 0.0
	for _, other := range f.routes {
		if other.inFlight > 0 || now-other.lastAcquire <= activeDuration {
			activeWeight += other.weight
		}
	}
	return max(float64(f.capacity)*route.weight/activeWeight, 1)
}

// Release returns the capacity that an admitted request of the route held.
func (f *FairLimiter) Release(name string) {
	route := f.routes[name]
	route.inFlight--
	f.total--
	f.forgetUnused(name, route)
}
