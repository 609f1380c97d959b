package balance

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// What one process of a proxy learned is the next one's, but for servers that have started anew or are not listed any
// more.
func TestSnapshotIsRestoredByTheNextProcess(t *testing.T) {
	proxy := startProxy(t, deployment(), 4)
	proxy.clock = 20
	proxy.endAttempts(proxy.servers[0], "hhhhhhhhhh")
	proxy.endAttempts(proxy.servers[1], "ffffffffff")
	proxy.endAttempts(proxy.servers[2], "llllllllll")
	proxy.servers[3].limit.value = 0.7
	m := proxy.Snapshot(20)
	require.True(t, proxy.servers[1].breaker.paused)

	next := startProxy(t, deployment(), 4)
	next.clock = 20
	next.Restore(20, m)
	old, now := proxy.ServerStatuses(20), next.ServerStatuses(20)
	for i := range old {
		assert.Equal(t, old[i].Paused, now[i].Paused, i)
		assert.InDelta(t, old[i].Limit, now[i].Limit, 1e-9, i)
		assert.InDelta(t, old[i].Age, now[i].Age, 1e-9, i)
		assert.Equal(t, proxy.servers[i].scores.shared[ownEstimate].payoff, next.servers[i].scores.shared[ownEstimate].payoff, i)
	}
	assert.Less(t, now[1].Payoff, now[0].Payoff)
	assert.Equal(t, proxy.classes[0].baseLatency, next.classes[0].baseLatency)

	again := startProxy(t, deployment(), 0)
	list := endpointList(3) // the last is gone
	list[1].StartedAt = 19
	again.EndpointsUpdated(20, true, true, list)
	again.Restore(20, m)
	assert.False(t, again.servers[1].breaker.paused, "it has started since")
	assert.Zero(t, again.servers[1].scores.shared[ownEstimate].confidence)
	assert.Len(t, again.ServerStatuses(20), 3)

	later := startProxy(t, deployment(), 4)
	for i := range m.Servers {
		m.Servers[i].Age += 60
	}
	later.Restore(20, m)
	assert.InDelta(t, 0, later.servers[1].scores.shared[ownEstimate].payoffAt(20), 0.01, "what is old moves nothing")
	later.Restore(20, Snapshot{BaseLatencies: []float64{-1, 7}, Servers: []ServerSnapshot{{NameHash: 1, Limit: -3, RelativeLatency: 1}, {NameHash: 99, Limit: 1, RelativeLatency: 1}}})
	assert.Greater(t, later.servers[0].limit.value, 0.0, "what cannot be is not taken in")
}
