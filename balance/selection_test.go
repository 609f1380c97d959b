package balance

import (
	"math"
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestServerSelection(t *testing.T) {
	for _, c := range []struct {
		name     string
		results  []string // letters for endAttempts, by server
		inFlight []int
		min, max float64 // bounds of the share of selections that choose server 0
	}{
		{"equal results", []string{"ssss", "ssss"}, []int{0, 0}, 0.4, 0.6},
		{"without results, a server has the mean payoff", []string{"ssss", ""}, []int{0, 0}, 0.4, 0.6},
		{"a failing server is selected seldom", []string{"ssssssss", "ffssffss"}, []int{0, 0}, 0.9, 1},
		{"a slow server is selected less often", []string{"ssssssss", "llllllll"}, []int{0, 0}, 0.9, 1},
		{"a crowded server is not selected", []string{"ssssssss", "ffssffss", ""}, []int{5, 0, 0}, 0, 0},
		{"the least crowded if all are", []string{"", ""}, []int{3, 4}, 0.4, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			proxy := startProxy(t, deployment(), len(c.results))
			for i, s := range proxy.servers {
				proxy.endAttempts(s, c.results[i])
				s.breaker.inFlight, s.limit.value = c.inFlight[i], 99
				proxy.concurrency.inFlight += c.inFlight[i]
			}
			n := 0
			for range 500 {
				if s, _ := proxy.selectForClass(0); s.Index == 0 {
					n++
				}
			}
			assert.GreaterOrEqual(t, float64(n)/500, c.min)
			assert.LessOrEqual(t, float64(n)/500, c.max)
		})
	}
}

// selectByKey returns the server selected for a request with a key.
func selectByKey(proxy *testProxy, key uint64) *server {
	s, _ := proxy.selectServer(&Request{
		balancer:    proxy.Balancer,
		class:       &proxy.classes[0],
		placement:   key,
		RequestInfo: RequestInfo{Deadline: 9, Key: key},
	})
	return s
}

func TestKeySelectsTheSameServerAtEveryProxy(t *testing.T) {
	d := deployment()
	d.CacheAffinity = true
	one := startProxy(t, d, 6)
	d.Seed = 8
	two := startProxy(t, d, 6)
	used := map[int]bool{}
	for key := uint64(1); key <= 40; key++ {
		a, b := selectByKey(one, key), selectByKey(two, key)
		assert.Equal(t, a.Index, b.Index)
		used[a.Index] = true
	}
	assert.Len(t, used, 6)
}

func TestProxyOfAFleetUsesASubsetOfServers(t *testing.T) {
	for _, c := range []struct {
		proxies  int
		min, max int // servers used
	}{{2, 60, 60}, {60, 2, 8}} {
		d := deployment()
		d.Proxies = c.proxies
		proxy := startProxy(t, d, 60)
		used := map[int]bool{}
		for i := range 600 {
			proxy.clock += 0.4
			request, _ := proxy.arrive(RequestInfo{})
			request.AttemptEnded(proxy.clock, 0, Succeeded, 0.05, true)
			if i > 100 {
				used[request.attempts[0].server.Index] = true
			}
		}
		assert.GreaterOrEqual(t, len(used), c.min)
		assert.LessOrEqual(t, len(used), c.max, "in a large fleet a proxy uses only a subset")
	}
}

func TestPopularKeyIsSpread(t *testing.T) {
	proxy := startProxy(t, Deployment{Classes: deployment().Classes, CacheAffinity: true}, 60)
	used := map[uint64]bool{}
	for range 300 {
		request, _ := proxy.arrive(RequestInfo{Key: 5})
		used[request.placement] = true
	}
	assert.Greater(t, len(used), 30, "a popular key uses more than its home servers")
}

func TestKeyWaitsForItsHomeServers(t *testing.T) {
	d := deployment()
	d.CacheAffinity = true
	proxy := startProxy(t, d, 6)
	request := &Request{
		balancer:    proxy.Balancer,
		class:       &proxy.classes[0],
		placement:   5,
		RequestInfo: RequestInfo{Deadline: 9, Key: 5},
	}
	for range keyHomes {
		s, _ := proxy.selectServer(request)
		s.breaker.inFlight = 1
	}
	s, possible := proxy.selectServer(request)
	assert.Nil(t, s, "queued while its home servers are full")
	assert.True(t, possible)
	proxy.now = keyHomeWaitShare * proxy.classes[0].LatencyObjective
	s, _ = proxy.selectServer(request)
	assert.NotNil(t, s, "sent to other servers after keyHomeWaitShare")
}

func TestRequestOfMuchWorkGoesToAFastServer(t *testing.T) {
	proxy := startProxy(t, deployment(), 2)
	for _, s := range proxy.servers {
		proxy.endAttempts(s, "ssssssssss")
	}
	proxy.servers[0].scores.relativeLatency, proxy.servers[1].scores.relativeLatency = 0.5, 2
	for range 200 {
		request := proxy.request(RequestInfo{Deadline: 9})
		request.relativeWork = 8
		s, _ := proxy.selectServer(request)
		assert.Zero(t, s.Index)
	}
}

func TestBusyProxyUsesALargerSubset(t *testing.T) {
	d := sidecarDeployment()
	d.Proxies = 40
	countServers := func(peerRate float64) int {
		proxy := startProxy(t, d, 40)
		used := map[*server]bool{}
		for range 300 {
			proxy.GossipReceived(proxy.clock, 2, GossipMessage{Rate: peerRate})
			proxy.serveRequest(func(request *Request, _ *Actions) {
				for i := range request.attempts {
					used[request.attempts[i].server] = true
				}
			})
		}
		return len(used)
	}
	assert.Greater(t, countServers(1.25), 2*countServers(50), "its own rate is ten requests a second")
}

func TestServersOfAnotherZoneCostMore(t *testing.T) {
	const penalty = zonePenalty / temperature
	for _, c := range []struct {
		sidecar, gossip bool
		zone            int     // -1: unknown
		inFlight        int     // attempts at each server; its limit is two
		cost            float64 // by which the score is lower; without spare capacity, servers in other zones would stay idle
	}{
		{true, true, 1, 0, penalty + zoneCost},
		{false, true, 1, 0, penalty + zoneCost},
		{false, true, 1, 1, penalty},
		{false, true, -1, 0, 0},
		{false, false, 1, 0, 0},
	} {
		d, here := sidecarDeployment(), 0
		d.Sidecar, d.Gossip, d.Zone, d.Proxies, d.ProxyIndex = c.sidecar, c.gossip, c.zone, 1, 0
		proxy := startProxy(t, d, 8) // servers alternate between two zones
		proxy.fillServers(c.inFlight)
		for range 400 {
			s, _ := proxy.selectForClass(0)
			here += s.Zone
		}
		assert.InDelta(t, 400/(1+math.Exp(-c.cost)), here, 40, "%v", c)
	}
}

// The score of a server without an open connection is lower by the cost of opening one, while there is spare capacity.
func TestOpeningAConnectionCosts(t *testing.T) {
	selections := func(cost, idleTimeout float64, inFlight int) (all []int) {
		d := sidecarDeployment()
		d.Zone, d.Proxies, d.ProxyIndex, d.HandshakeCost, d.ServerIdleTimeout = -1, 1, 0, cost, idleTimeout
		proxy := startProxy(t, d, 8)
		proxy.beginCall(9)
		proxy.servers[0].lastUsed = 5
		proxy.fillServers(inFlight)
		for range 400 {
			s, _ := proxy.selectForClass(0)
			all = append(all, s.Index)
		}
		return all
	}
	first := func(list []int) (n int) {
		for _, i := range list {
			if i == 0 {
				n++
			}
		}
		return n
	}
	assert.Equal(t, selections(0, 0, 0), selections(0, 10, 0), "without a cost, the idle timeout has no effect")
	even, cost := 400.0/8, math.Exp(0.12*connectCost)
	assert.InDelta(t, 400*cost/(cost+7), first(selections(0.12, 10, 0)), 40, "the cost favors the open connection")
	assert.InDelta(t, even, first(selections(0.12, 10, 1)), 25, "without spare capacity, all are selected alike")
	assert.InDelta(t, even, first(selections(0.12, 3, 0)), 25, "the idle connection counts as closed")
}

// Guards against slow-start budgets that depend on gossip: absurd rates received from peers may change trafficMultiple
// only within its bounds, and the budgets not at all.
func TestTrafficMultipleIsBounded(t *testing.T) {
	sends := map[int]bool{}
	for _, rate := range []float64{0, 1e-9, 10, 4095} {
		proxy := startProxy(t, sidecarDeployment(), 3)
		for range 100 {
			proxy.GossipReceived(proxy.clock, 2, GossipMessage{Rate: rate})
			proxy.serveRequest(func(*Request, *Actions) {})
		}
		assert.LessOrEqual(t, proxy.trafficMultiple(), maxTrafficMultiple)
		assert.GreaterOrEqual(t, proxy.trafficMultiple(), 1/maxTrafficMultiple)
		proxy.random, proxy.traffic.interval, proxy.selection.admitted = 1, 0.1, 3
		s, sent := proxy.newServer(0, 0), 0
		request := &Request{class: &classState{Class: proxy.classes[0].Class, baseLatency: 0.05}}
		for s.StartedAt = proxy.now; proxy.now < s.StartedAt+10; proxy.now += 0.02 {
			if proxy.takeSlowStartBudget(request, s) {
				sent++
			}
		}
		assert.Positive(t, sent)
		sends[sent] = true
	}
	assert.Len(t, sends, 1, "sends must not depend on the peer rate: %v", sends)
}
