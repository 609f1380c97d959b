package balance

import (
	"math"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestConcurrencyLimit(t *testing.T) {
	proxy := startProxy(t, deployment(), 1)
	s := proxy.servers[0]
	proxy.endAttempts(s, "rrrrrrrr")
	assert.InDelta(t, minLimit/2, s.limit.value, 1e-9, "never shut by its limit alone")
	// Rejected at once and using up no capacity, hundreds a second would pass a capacity of less than one attempt.
	used := 8 * proxy.classes[0].medianLatency()
	assert.InDelta(t, -used, proxy.concurrency.credit, 1e-9, "a rejected attempt uses up capacity like a served one")
	proxy.endAttempts(s, "ssssssssss")
	grown := s.limit.value
	assert.Greater(t, grown, minLimit/2)
	proxy.concurrency.capacity, proxy.concurrency.credit = 9, 0 // far from binding
	proxy.endAttempts(s, "llll")
	assert.Equal(t, grown, s.limit.value, "chance alone is no congestion")
	proxy.concurrency.capacity = 0
	proxy.endAttempts(s, "l")
	assert.Less(t, s.limit.value, grown)
	proxy.arrive(RequestInfo{})
	_, actions := proxy.arrive(RequestInfo{})
	assert.Zero(t, countSends(actions), "it waits while the server is at its limit")
}

func TestConcurrencyLimitsGrowAtAQuietProxyOfAFleet(t *testing.T) {
	d := deployment()
	d.Proxies = 18
	proxy := startProxy(t, d, 16)
	for range 10 {
		one, _ := proxy.arrive(RequestInfo{})
		two, _ := proxy.arrive(RequestInfo{})
		one.AttemptEnded(proxy.clock, 0, Succeeded, 0.05, true)
		two.AttemptEnded(proxy.clock, 0, Succeeded, 0.05, true)
	}
	proxy.arrive(RequestInfo{})
	// The attempt that ends belongs to those that bound the limit.
	assert.Greater(t, proxy.concurrency.capacity, 16*initialLimit/18+0.01)
}

// In a fleet that gossips, the initial limit of a server follows its cores. A rejection then moves what one proxy of
// many may have in flight in all, not the one limit that holds nothing back.
func TestConcurrencyLimitsWithGossip(t *testing.T) {
	d := sidecarDeployment()
	d.Proxies = 40
	proxy := startProxy(t, d, 0)
	attempts := map[float64]float64{2: 2 * initialLimitPerCore, 6: 6 * initialLimitPerCore, 0: initialLimit}
	for cores, want := range attempts {
		assert.InDelta(t, want/40, proxy.newServer(0, cores).limit.value, 1e-9)
	}
	// By its own answers, a server that rejects early, or that is always slow, would be left idle.
	proxy = startProxy(t, d, 0)
	proxy.EndpointsUpdated(0, true, false, []Endpoint{{Index: 0, NameHash: 1, Cores: 2}, {Index: 1, NameHash: 2}})
	proxy.selection.admitted = 2
	for _, s := range proxy.servers {
		proxy.endAttempts(s, strings.Repeat("rl", 200))
	}
	assert.InDelta(t, 2*initialLimitPerCore/40, proxy.servers[0].limit.value, 1e-9, "never under what its cores can take")
	assert.InDelta(t, minLimit/40, proxy.servers[1].limit.value, 1e-9, "no cores told: down to the minimum")
	proxy = startProxy(t, d, 10)
	for _, s := range proxy.servers {
		proxy.endAttempts(s, strings.Repeat("s", 40)) // all with many results
	}
	for _, s := range proxy.servers {
		s.limit.value = 0.2
	}
	proxy.selection.admitted = 10
	proxy.endAttempts(proxy.servers[0], "rrrrrrrrrr")
	one, others := proxy.servers[0].limit.value, proxy.servers[9].limit.value
	sum := 2 - 0.2*(1-math.Pow(gossipRejectionCut, 10))
	assert.InDelta(t, sum, one+9*others, 0.02, "as much as if it had been that one limit")
	assert.Less(t, others, 0.198)
}

// At one proxy of hundreds the initial limits would grow so slowly that a third of the requests were rejected until
// servers of many cores were found to take more. After a few cuts they grow as usual.
func TestInitialLimitsOfAFleetGrowFast(t *testing.T) {
	for _, c := range []struct {
		name    string
		proxies int
		gossip  bool
		before  string
		times   float64 // as fast as usual
	}{
		{"a few proxies", 2, false, "s", 1},
		{"a fleet", 300, false, "s", initialLimitGrowth / limitGrowth},
		{"a small fleet", 8, false, "s", initialLimitGrowth / limitGrowth},
		{"a fleet that gossips", 300, true, "s", 1},
		{"rejected once", 300, false, "sr", initialLimitGrowth / limitGrowth * rejectionCut},
		{"rejected a few times", 300, false, "srrrrr", 1},
		{"slow a few times", 300, false, "s" + strings.Repeat("l", 15), 1},
	} {
		growth := func(usual bool) float64 {
			d := deployment()
			d.Proxies, d.Gossip = c.proxies, c.gossip
			proxy := startProxy(t, d, 4)
			proxy.endAttempts(proxy.servers[0], c.before)
			if usual {
				proxy.concurrency.growth = 0
			}
			s := proxy.servers[0]
			was := max(0.2, 1.2*s.limit.minimum)
			s.limit.value, s.breaker.inFlight, proxy.selection.admitted = was, 1, 4
			s.scores.general[ownEstimate].confidence = 0 // known from the others only
			proxy.endAttempts(s, "s")
			return math.Log(s.limit.value / was)
		}
		assert.InDelta(t, c.times, growth(false)/growth(true), 0.1*c.times, c.name)
	}
}
