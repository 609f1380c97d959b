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
	proxy.endAttempts(s, "nnnnnnnn")
	assert.InDelta(t, minLimit/2, s.limit.value, 1e-9, "never shut by its limit alone")
	// danger: gone at once and using up no room, hundreds a second would pass a room of less than one attempt
	assert.InDelta(t, -8*proxy.classes[0].medianLatency(), proxy.concurrency.credit, 1e-9, "a leg turned away uses up room as one that was served")
	proxy.endAttempts(s, "hhhhhhhhhh")
	grown := s.limit.value
	assert.Greater(t, grown, minLimit/2)
	proxy.concurrency.capacity, proxy.concurrency.credit = 9, 0 // far from binding
	proxy.endAttempts(s, "llll")
	assert.Equal(t, grown, s.limit.value, "chance alone is no crowd")
	proxy.concurrency.capacity = 0
	proxy.endAttempts(s, "l")
	assert.Less(t, s.limit.value, grown)
	proxy.arrive(RequestInfo{})
	_, steps := proxy.arrive(RequestInfo{})
	assert.Zero(t, countSends(steps), "held while the backend is at its limit")
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
	assert.Greater(t, proxy.concurrency.capacity, 16*initialLimit/18+0.01, "the leg that ends belongs to what bound")
}

// A server not heard starts with attempts by its size where peers tell what they see there; a full answer then moves
// what a proxy of many may have out in all, not the one limit that holds nothing back.
func TestConcurrencyLimitsWithGossip(t *testing.T) {
	d := sidecarDeployment()
	d.Proxies = 40
	proxy := startProxy(t, d, 0)
	for size, attempts := range map[float64]float64{2: 2 * initialLimitPerCore, 6: 6 * initialLimitPerCore, 0: initialLimit} {
		assert.InDelta(t, attempts/40, proxy.newServer(0, size).limit.value, 1e-9)
	}
	// danger: a server that rejects early, or is slow by its own nature, would be left idle by what its attempts tell
	proxy = startProxy(t, d, 0)
	proxy.EndpointsUpdated(0, true, false, []Endpoint{{Index: 0, NameHash: 1, Cores: 2}, {Index: 1, NameHash: 2}})
	proxy.selection.admitted = 2
	for _, s := range proxy.servers {
		proxy.endAttempts(s, strings.Repeat("nl", 200))
	}
	assert.InDelta(t, 2*initialLimitPerCore/40, proxy.servers[0].limit.value, 1e-9, "never under what its cores bear")
	assert.InDelta(t, minLimit/40, proxy.servers[1].limit.value, 1e-9, "no size told: down to the least")
	proxy = startProxy(t, d, 10)
	for _, s := range proxy.servers {
		proxy.endAttempts(s, strings.Repeat("h", 40)) // all known well
	}
	for _, s := range proxy.servers {
		s.limit.value = 0.2
	}
	proxy.selection.admitted = 10
	proxy.endAttempts(proxy.servers[0], "nnnnnnnnnn")
	one, others := proxy.servers[0].limit.value, proxy.servers[9].limit.value
	assert.InDelta(t, 2-0.2*(1-math.Pow(gossipRejectionCut, 10)), one+9*others, 0.02, "as much as if it had been that one limit")
	assert.Less(t, others, 0.198)
}

// Danger: at one proxy of hundreds the first limits, two attempts of all at a server, grew by a few parts in a hundred
// with each answer, and until servers of many cores were found to bear more, a third of the requests were rejected. A
// few cuts later they grow as usual.
func TestInitialLimitsOfAFleetGrowFast(t *testing.T) {
	for _, c := range []struct {
		name    string
		proxies int
		peers   bool
		before  string
		times   float64 // as fast as usual
	}{
		{"a few proxies", 2, false, "h", 1}, {"a fleet", 300, false, "h", initialLimitGrowth / limitGrowth}, {"a small fleet", 8, false, "h", initialLimitGrowth / limitGrowth},
		{"a fleet that tells", 300, true, "h", 1}, {"once full", 300, false, "hn", initialLimitGrowth / limitGrowth * rejectionCut},
		{"full a few times", 300, false, "hnnnnn", 1}, {"slow a few times", 300, false, "h" + strings.Repeat("l", 15), 1},
	} {
		growth := func(usual bool) float64 {
			d := deployment()
			d.Proxies, d.Gossip = c.proxies, c.peers
			proxy := startProxy(t, d, 4)
			proxy.endAttempts(proxy.servers[0], c.before)
			if usual {
				proxy.concurrency.growth = 0
			}
			s := proxy.servers[0]
			was := max(0.2, 1.2*s.limit.minimum)
			s.limit.value, s.breaker.inFlight, s.scores.shared[ownEstimate].confidence, proxy.selection.admitted = was, 1, 0, 4 // known from the others only
			proxy.endAttempts(s, "h")
			return math.Log(s.limit.value / was)
		}
		assert.InDelta(t, c.times, growth(false)/growth(true), 0.1*c.times, c.name)
	}
}
