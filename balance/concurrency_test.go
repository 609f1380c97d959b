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
	assert.InDelta(t, minLimit/2, s.limit.value, 1e-9, "a server is not excluded by its limit alone")
	// If rejected attempts used no credit, a capacity of less than one attempt would let hundreds per second pass.
	used := 8 * proxy.classes[0].medianLatency()
	assert.InDelta(t, -used, proxy.concurrency.credit, 1e-9, "a rejected attempt uses as much credit as a served one")
	proxy.endAttempts(s, "ssssssssss")
	grown := s.limit.value
	assert.Greater(t, grown, minLimit/2)
	proxy.concurrency.capacity, proxy.concurrency.credit = 9, 0 // low utilization, so the limits do not bind
	proxy.endAttempts(s, "llll")
	assert.Equal(t, grown, s.limit.value, "limits do not change while they do not bind")
	proxy.concurrency.capacity = 0
	proxy.endAttempts(s, "l")
	assert.Less(t, s.limit.value, grown)
	proxy.arrive(RequestInfo{})
	_, actions := proxy.arrive(RequestInfo{})
	assert.Zero(t, countSends(actions), "queued while the server is at its limit")
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
	// Two attempts at a time are enough to raise the limits: learnLimit counts the one that has just ended as in flight.
	assert.Greater(t, proxy.concurrency.capacity, 16*initialLimit/18+0.01)
}

// In a fleet that gossips, the initial limit of a server is proportional to its cores. In a large one, a rejection
// changes the limits of all servers. Guards against a cut of only one limit, which is too small there to hold back
// attempts by itself.
func TestConcurrencyLimitsWithGossip(t *testing.T) {
	d := sidecarDeployment()
	d.Proxies = 40
	proxy := startProxy(t, d, 0)
	attempts := map[float64]float64{2: 2 * initialLimitPerCore, 6: 6 * initialLimitPerCore, 0: initialLimit}
	for cores, want := range attempts {
		assert.InDelta(t, want/40, proxy.newServer(0, cores).limit.value, 1e-9)
	}
	// Without a minimum, a server that rejects early or is always slow would be left idle.
	proxy = startProxy(t, d, 0)
	proxy.EndpointsUpdated(0, true, false, []Endpoint{{Index: 0, NameHash: 1, Cores: 2}, {Index: 1, NameHash: 2}})
	proxy.selection.admitted = 2
	for _, s := range proxy.servers {
		proxy.endAttempts(s, strings.Repeat("rl", 200))
	}
	assert.InDelta(t, 2*initialLimitPerCore/40, proxy.servers[0].limit.value, 1e-9, "not below the minimum of its cores")
	assert.InDelta(t, minLimit/40, proxy.servers[1].limit.value, 1e-9, "cores unknown: down to minLimit")
	proxy = startProxy(t, d, 10)
	for _, s := range proxy.servers {
		proxy.endAttempts(s, strings.Repeat("s", 40)) // many results of every server
	}
	for _, s := range proxy.servers {
		s.limit.value = 0.2
	}
	proxy.selection.admitted = 10
	proxy.endAttempts(proxy.servers[0], "rrrrrrrrrr")
	one, others := proxy.servers[0].limit.value, proxy.servers[9].limit.value
	sum := 2 - 0.2*(1-math.Pow(gossipRejectionCut, 10))
	assert.InDelta(t, sum, one+9*others, 0.02, "the sum falls as if only the one limit had been cut")
	assert.Less(t, others, 0.198)
}

// Guards against initial limits that grow too slowly in a fleet of hundreds of proxies: a third of the requests were
// rejected until the limits of servers with many cores had risen. After a few cuts limits grow at the normal rate.
func TestInitialLimitsOfAFleetGrowFast(t *testing.T) {
	for _, c := range []struct {
		name    string
		proxies int
		gossip  bool
		before  string
		ratio   float64 // of the growth to the normal growth
	}{
		{"a few proxies", 2, false, "s", 1},
		{"a fleet", 300, false, "s", initialLimitGrowth / limitGrowth},
		{"a small fleet", 8, false, "s", initialLimitGrowth / limitGrowth},
		{"a fleet that gossips", 300, true, "s", 1},
		{"rejected once", 300, false, "sr", initialLimitGrowth / limitGrowth * rejectionCut},
		{"rejected a few times", 300, false, "srrrrr", 1},
		{"slow a few times", 300, false, "s" + strings.Repeat("l", 15), 1},
	} {
		growth := func(normal bool) float64 {
			d := deployment()
			d.Proxies, d.Gossip = c.proxies, c.gossip
			proxy := startProxy(t, d, 4)
			proxy.endAttempts(proxy.servers[0], c.before)
			if normal {
				proxy.concurrency.growth = 0
			}
			s := proxy.servers[0]
			before := max(0.2, 1.2*s.limit.minimum)
			s.limit.value, s.breaker.inFlight, proxy.selection.admitted = before, 1, 4
			s.scores.general[ownEstimate].confidence = 0 // so the whole change of the limit applies to all servers
			proxy.endAttempts(s, "s")
			return math.Log(s.limit.value / before)
		}
		assert.InDelta(t, c.ratio, growth(false)/growth(true), 0.1*c.ratio, c.name)
	}
}
