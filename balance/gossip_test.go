package balance

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestGossipReceived(t *testing.T) {
	bad := gossipOf(Observation{NameHash: 1, Value: 0})
	for _, c := range []struct {
		name    string
		from    int
		message GossipMessage
		worse   int // the server that has the lower payoff by it; -1: none
	}{
		{"of a server that fails", 2, bad, 0},
		{"from itself", 1, bad, -1},
		{"from outside the fleet", 4, bad, -1},
		{"from no number", -1, bad, -1},
		{"nothing", 2, GossipMessage{}, -1},
		{"too old", 2, gossipOf(Observation{NameHash: 1, Age: observationTimeout}), -1},
		{"of a server that is not listed", 2, gossipOf(Observation{NameHash: 77}), -1},
		{"of an unknown class", 2, gossipOf(Observation{NameHash: 1, Class: 9}), -1},
		{"of a server before its restart", 2, gossipOf(Observation{NameHash: 3, Age: 1.5}), -1},
		{"of a server since its restart", 2, gossipOf(Observation{NameHash: 3, Age: 0.5}), 2},
	} {
		proxy := startProxy(t, sidecarDeployment(), 3)
		proxy.EndpointsUpdated(99, false, false, []Endpoint{{Index: 2, NameHash: 3, StartedAt: 99}})
		proxy.GossipReceived(100, c.from, c.message)
		once := proxy.payoffOf(proxy.servers[0], 0)
		for i := range 9 * len(c.message.Observations) { // the same, passed on: its age grows by the delay at least
			c.message.Observations[0].Age += 0.01
			proxy.GossipReceived(100+0.01*float64(i+1), c.from, c.message)
		}
		for i, s := range proxy.servers {
			assert.Equal(t, i == c.worse, proxy.payoffOf(s, 0) < proxy.payoffOf(proxy.servers[1], 0), "%s: %d", c.name, i)
			assert.False(t, s.breaker.paused, c.name)
		}
		assert.GreaterOrEqual(t, proxy.payoffOf(proxy.servers[0], 0), once, "%s: counted no second time", c.name)
	}
}

// A peer that tells wrong things of every server, all the time, is outweighed by own results.
func TestFalseGossipIsOutweighed(t *testing.T) {
	proxy := startProxy(t, sidecarDeployment(), 3)
	for range 200 {
		proxy.clock += 0.1
		proxy.endAttempts(proxy.servers[0], "sss")
		proxy.endAttempts(proxy.servers[1], "fff")
		proxy.GossipReceived(proxy.clock, 2, gossipOf(
			Observation{NameHash: 1, Value: 0},
			Observation{NameHash: 2, Value: 1},
			Observation{NameHash: 3, Value: 0},
		))
	}
	assert.Greater(t, proxy.payoffOf(proxy.servers[0], 0), proxy.payoffOf(proxy.servers[1], 0)+3*temperature)
	assert.False(t, proxy.servers[0].breaker.paused, "gossip pauses no server")
	assert.True(t, proxy.servers[1].breaker.paused, "nor readmits one")
}

// Where neither gossip nor health checks are allowed, none is ever ordered, and equal calls return equal actions,
// whatever else the deployment sets and whatever peers send.
func TestNoGossipNorHealthChecksWhereNotAllowed(t *testing.T) {
	play := func(d Deployment) (all [][]RequestAction) {
		proxy := startProxy(t, d, 6)
		for range 300 {
			proxy.serveRequest(func(_ *Request, actions *Actions) {
				all = append(all, append([]RequestAction(nil), actions.Requests...))
				require.Empty(t, append(actions.HealthChecks, actions.CloseIdle...))
				require.Nil(t, actions.Gossip)
			})
			require.Empty(t, proxy.TimerFired(proxy.clock).CloseIdle)
			proxy.GossipReceived(proxy.clock, 0, gossipOf(Observation{NameHash: 1, Value: 0}))
		}
		return all
	}
	withCosts := deployment()
	withCosts.Self, withCosts.Zone, withCosts.GossipCost, withCosts.HealthCheckCost = 1, 1, 0.01, 0.05
	withCosts.ConnectionCost, withCosts.HandshakeCost, withCosts.ServerIdleTimeout = 0.03, 0.12, 10
	assert.Equal(t, play(deployment()), play(withCosts))
}

func TestGossipIsSentToOtherProxies(t *testing.T) {
	proxy := startProxy(t, sidecarDeployment(), 3)
	sent := map[int]int{} // by peer
	for range 300 {
		proxy.serveRequest(func(_ *Request, actions *Actions) {
			require.NotNil(t, actions.Gossip, "at this cost")
			sent[actions.GossipPeer]++
			assert.InDelta(t, 10, actions.Gossip.Rate, 1)
			for i, s := range actions.Gossip.Observations {
				assert.Less(t, s.Age, observationTimeout)
				assert.True(t, i == 0 || s.Age >= actions.Gossip.Observations[i-1].Age, "the newest first")
			}
		})
	}
	assert.Len(t, sent, 3)
	assert.Zero(t, sent[1], "not to itself")
	proxy.deployment.Proxies, proxy.deployment.Self = 1, 0
	proxy.serveRequest(func(_ *Request, actions *Actions) { assert.Nil(t, actions.Gossip, "alone in its fleet") })
}
