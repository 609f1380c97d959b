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
		worse   int // the server whose payoff is lower afterwards; -1: none
	}{
		{"of a failing server", 2, bad, 0},
		{"from itself", 1, bad, -1},
		{"from outside the fleet", 4, bad, -1},
		{"from a negative index", -1, bad, -1},
		{"no observations", 2, GossipMessage{}, -1},
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
		for i := range 9 * len(c.message.Observations) { // the same observation, forwarded: its age grows
			c.message.Observations[0].Age += 0.01
			proxy.GossipReceived(100+0.01*float64(i+1), c.from, c.message)
		}
		for i, s := range proxy.servers {
			assert.Equal(t, i == c.worse, proxy.payoffOf(s, 0) < proxy.payoffOf(proxy.servers[1], 0), "%s: %d", c.name, i)
			assert.False(t, s.breaker.paused, c.name)
		}
		assert.GreaterOrEqual(t, proxy.payoffOf(proxy.servers[0], 0), once, "%s: a forwarded observation counts once", c.name)
	}
}

// Guards against a faulty peer: its wrong observations of every server must be outweighed by the proxy's own results.
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
	assert.False(t, proxy.servers[0].breaker.paused, "gossip does not pause a server")
	assert.True(t, proxy.servers[1].breaker.paused, "gossip does not readmit a server")
}

// Guards against gossip or health checks where the deployment does not allow them: none may be sent, and neither their
// costs nor messages of peers may change the actions.
func TestNoGossipNorHealthChecksWhereNotAllowed(t *testing.T) {
	run := func(d Deployment) (all [][]RequestAction) {
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
	withCosts.ProxyIndex, withCosts.Zone, withCosts.GossipCost, withCosts.HealthCheckCost = 1, 1, 0.01, 0.05
	withCosts.ConnectionCost, withCosts.HandshakeCost, withCosts.ServerIdleTimeout = 0.03, 0.12, 10
	assert.Equal(t, run(deployment()), run(withCosts))
}

func TestGossipIsSentToOtherProxies(t *testing.T) {
	proxy := startProxy(t, sidecarDeployment(), 3)
	sent := map[int]int{} // by peer
	for range 300 {
		proxy.serveRequest(func(_ *Request, actions *Actions) {
			require.NotNil(t, actions.Gossip, "the cost allows a message per request")
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
	proxy.deployment.Proxies, proxy.deployment.ProxyIndex = 1, 0
	proxy.serveRequest(func(_ *Request, actions *Actions) { assert.Nil(t, actions.Gossip, "the only proxy of its fleet") })
}
