package balance

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestEndpointListUpdates(t *testing.T) {
	proxy := startProxy(t, deployment(), 3)
	entry := func(i int, state EndpointState, startedAt float64) []Endpoint {
		e := endpointList(3)[i]
		e.State, e.StartedAt = state, startedAt
		return []Endpoint{e}
	}
	proxy.endAttempts(proxy.servers[1], "ffffff")
	proxy.EndpointsUpdated(1, false, false, entry(0, Draining, 0))
	proxy.EndpointsUpdated(1, false, false, entry(1, Ready, 1))
	assert.False(t, proxy.servers[1].breaker.tracked, "a restarted server has a new breaker")
	assert.True(t, proxy.warmingUp(proxy.servers[1]), "a restarted server is warming up")
	proxy.clock = 1
	for range 20 {
		request, _ := proxy.arrive(RequestInfo{})
		for _, a := range request.attempts {
			assert.NotZero(t, a.server.Index, "no new requests to a draining server")
		}
	}
	proxy.EndpointsUpdated(2, true, false, endpointList(2))
	assert.Nil(t, proxy.servers[2], "a full list removes servers that it omits")
	proxy.EndpointsUpdated(2, false, false, entry(1, Removed, 1))
	assert.Nil(t, proxy.servers[1])
}

// With RemovalIsAdvisory, a server that goes on answering stays in use although it was removed from the list. Each
// letter is an event: s a success, f a failure, g removed, b listed again, d draining, r removed after a restart, o
// omitted from a full list, w removedServerTimeout passes. want is whether requests are sent to the server, and
// whether it is kept.
func TestAdvisoryRemovalKeepsAServingServer(t *testing.T) {
	states := map[rune]EndpointState{'g': Removed, 'r': Removed, 'd': Draining}
	startedAt := map[rune]float64{'r': 49.9}
	for events, want := range map[string][2]bool{
		"sg":       {true, true},
		"so":       {true, true},
		"sgbg":     {true, true},
		"sdg":      {},
		"sdo":      {},
		"sd":       {false, true},
		"g":        {},
		"sffffffg": {false, true},
		"sgw":      {},
		"sgrw":     {},
	} {
		for _, advisory := range []bool{true, false} {
			proxy := startProxy(t, deployment(), 1)
			proxy.deployment.RemovalIsAdvisory, proxy.clock = advisory, 50
			for _, event := range events {
				switch event {
				case 's', 'f':
					proxy.endAttempts(proxy.servers[0], string(event))
				case 'w':
					proxy.clock += removedServerTimeout
				case 'o':
					proxy.EndpointsUpdated(proxy.clock, true, false, nil)
				default:
					changed := Endpoint{NameHash: 1, State: states[event], StartedAt: startedAt[event]}
					proxy.EndpointsUpdated(proxy.clock, false, false, []Endpoint{changed})
				}
			}
			proxy.now = proxy.clock
			s, _ := proxy.selectForClass(0)
			proxy.EndpointsUpdated(proxy.now, false, false, nil)
			kept := want[1] && (advisory || events == "sd")
			assert.Equal(t, [2]bool{advisory && want[0], kept}, [2]bool{s != nil, proxy.HasEndpoint(0)}, events)
		}
	}
}

func TestEndpointListIsPolledAfterFailure(t *testing.T) {
	d := deployment()
	d.PollsEndpoints = true
	b, err := New(d, 0)
	require.NoError(t, err)
	assert.True(t, b.EndpointsUpdated(0, true, true, endpointList(2)).Subscribe)
	now, last := 1.0, 0.0
	for range 4 {
		actions := *b.PollFailed(now)
		require.Greater(t, actions.WakeAt, now)
		require.Less(t, actions.WakeAt-now, d.NotificationDeadline)
		assert.False(t, b.TimerFired(actions.WakeAt-0.01).Subscribe)
		last, now = actions.WakeAt-now, actions.WakeAt
		assert.True(t, b.TimerFired(now).Subscribe)
		assert.False(t, b.TimerFired(now+1).Subscribe, "one poll per failure")
	}
	assert.Greater(t, last, minPollDelay, "the delay increases with each failure")
}

func TestIdleConnectionsAreClosed(t *testing.T) {
	for _, c := range []struct {
		sidecar, gossip bool
		cost            float64
		times           int
	}{{true, true, 0.03, 1}, {true, false, 0.03, 1}, {false, true, 0.03, 1}, {false, false, 0.03, 0}, {true, true, 0, 0}} {
		proxy, closed := startProxy(t, sidecarDeployment(), 1), 0
		d := &proxy.deployment
		d.Sidecar, d.Gossip, d.ConnectionCost = c.sidecar, c.gossip, c.cost
		proxy.serveRequest(func(*Request, *Actions) {})
		for ended := proxy.clock; proxy.clock < ended+2*maxIdleDuration; proxy.clock += 0.05 {
			if actions := proxy.TimerFired(proxy.clock); len(actions.CloseIdle) > 0 {
				assert.Equal(t, []int{0}, actions.CloseIdle)
				assert.InDelta(t, ended+maxIdleDuration, proxy.clock, 0.06)
				closed++
			}
		}
		assert.Equal(t, c.times, closed, "%v", c)
	}
}
