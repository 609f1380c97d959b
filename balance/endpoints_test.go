package balance

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestEndpointListUpdates(t *testing.T) {
	proxy := startProxy(t, deployment(), 3)
	with := func(i int, state EndpointState, since float64) []Endpoint {
		e := endpointList(3)[i]
		e.State, e.StartedAt = state, since
		return []Endpoint{e}
	}
	proxy.endAttempts(proxy.servers[1], "ffffff")
	proxy.EndpointsUpdated(1, false, false, with(0, Draining, 0))
	proxy.EndpointsUpdated(1, false, false, with(1, Ready, 1))
	assert.False(t, proxy.servers[1].breaker.tracked, "a restart has a fresh row")
	assert.True(t, proxy.warmingUp(proxy.servers[1]), "and is cold")
	proxy.clock = 1
	for range 20 {
		request, _ := proxy.arrive(RequestInfo{})
		for _, g := range request.attempts {
			assert.NotZero(t, g.server.Index, "nothing new to a draining backend")
		}
	}
	proxy.EndpointsUpdated(2, true, false, endpointList(2))
	assert.Nil(t, proxy.servers[2], "a full list removes what it leaves out")
	proxy.EndpointsUpdated(2, false, false, with(1, Removed, 1))
	assert.Nil(t, proxy.servers[1])
}

// Where only a drain binds, a list that loses a server takes none that goes on answering.
func TestAdvisoryRemovalKeepsAServingServer(t *testing.T) {
	states := map[rune]EndpointState{'g': Removed, 'r': Removed, 'd': Draining} // r: gone, and up since
	for told, want := range map[string][2]bool{                                 // h and f are attempts' ends, b is back, o left out, w a wait; want: sent to, kept
		"hg": {true, true}, "ho": {true, true}, "hgbg": {true, true}, "hdg": {}, "hdo": {}, "hd": {false, true}, "g": {},
		"hffffffg": {false, true}, "hgw": {}, "hgrw": {}} {
		for _, advice := range []bool{true, false} {
			proxy := startProxy(t, deployment(), 1)
			proxy.deployment.RemovalIsAdvisory, proxy.clock = advice, 50
			for _, x := range told {
				switch x {
				case 'h', 'f':
					proxy.endAttempts(proxy.servers[0], string(x))
				case 'w':
					proxy.clock += removedServerTimeout
				case 'o':
					proxy.EndpointsUpdated(proxy.clock, true, false, nil)
				default:
					proxy.EndpointsUpdated(proxy.clock, false, false, []Endpoint{{NameHash: 1, State: states[x], StartedAt: map[rune]float64{'r': 49.9}[x]}})
				}
			}
			proxy.now = proxy.clock
			s, _ := proxy.draw(0)
			proxy.EndpointsUpdated(proxy.now, false, false, nil)
			assert.Equal(t, [2]bool{advice && want[0], want[1] && (advice || told == "hd")}, [2]bool{s != nil, proxy.HasEndpoint(0)}, told)
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
		assert.False(t, b.TimerFired(now+1).Subscribe, "asked once a failure")
	}
	assert.Greater(t, last, minPollDelay, "the pauses grow")
}

func TestIdleConnectionsAreClosed(t *testing.T) {
	for _, c := range []struct {
		apart, peers bool
		price        float64
		times        int
	}{{true, true, 0.03, 1}, {true, false, 0.03, 1}, {false, true, 0.03, 1}, {false, false, 0.03, 0}, {true, true, 0, 0}} {
		proxy, closed := startProxy(t, sidecarDeployment(), 1), 0
		proxy.deployment.Sidecar, proxy.deployment.Gossip, proxy.deployment.ConnectionCost = c.apart, c.peers, c.price
		proxy.serveRequest(func(*Request, *Actions) {})
		for ended := proxy.clock; proxy.clock < ended+2*maxIdleDuration; proxy.clock += 0.05 {
			if actions := proxy.Balancer.TimerFired(proxy.clock); len(actions.CloseIdle) > 0 {
				assert.Equal(t, []int{0}, actions.CloseIdle)
				assert.InDelta(t, ended+maxIdleDuration, proxy.clock, 0.06)
				closed++
			}
		}
		assert.Equal(t, c.times, closed, "%v", c)
	}
}
