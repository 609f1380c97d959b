package balance

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// A snapshot is applied to all servers but those that have restarted or are no longer listed.
func TestSnapshotIsRestoredByTheNextProcess(t *testing.T) {
	proxy := startProxy(t, deployment(), 4)
	proxy.clock = 20
	proxy.endAttempts(proxy.servers[0], "ssssssssss")
	proxy.endAttempts(proxy.servers[1], "ffffffffff")
	proxy.endAttempts(proxy.servers[2], "llllllllll")
	proxy.servers[3].limit.value = 0.7
	snapshot := proxy.Snapshot(20)
	require.True(t, proxy.servers[1].breaker.paused)

	next := startProxy(t, deployment(), 4)
	next.clock = 20
	next.Restore(20, snapshot)
	old, now := proxy.ServerStatuses(20), next.ServerStatuses(20)
	for i := range old {
		assert.Equal(t, old[i].Paused, now[i].Paused, i)
		assert.InDelta(t, old[i].Limit, now[i].Limit, 1e-9, i)
		assert.InDelta(t, old[i].Age, now[i].Age, 1e-9, i)
		payoff := proxy.servers[i].scores.general[ownEstimate].payoff
		assert.Equal(t, payoff, next.servers[i].scores.general[ownEstimate].payoff, i)
	}
	assert.Less(t, now[1].Payoff, now[0].Payoff)
	assert.Equal(t, proxy.classes[0].baseLatency, next.classes[0].baseLatency)

	restarted := startProxy(t, deployment(), 0)
	list := endpointList(3) // the last server is no longer listed
	list[1].StartedAt = 19
	restarted.EndpointsUpdated(20, true, true, list)
	restarted.Restore(20, snapshot)
	assert.False(t, restarted.servers[1].breaker.paused, "a restarted server is not paused")
	assert.Zero(t, restarted.servers[1].scores.general[ownEstimate].confidence)
	assert.Len(t, restarted.ServerStatuses(20), 3)

	later := startProxy(t, deployment(), 4)
	for i := range snapshot.Servers {
		snapshot.Servers[i].Age += 60
	}
	later.Restore(20, snapshot)
	assert.InDelta(t, 0, later.servers[1].scores.general[ownEstimate].payoffAt(20), 0.01, "an old estimate has decayed")
	later.Restore(20, Snapshot{BaseLatencies: []float64{-1, 7}, Servers: []ServerSnapshot{
		{NameHash: 1, Limit: -3, RelativeLatency: 1},
		{NameHash: 99, Limit: 1, RelativeLatency: 1},
	}})
	assert.Greater(t, later.servers[0].limit.value, 0.0, "invalid values are ignored")
}
