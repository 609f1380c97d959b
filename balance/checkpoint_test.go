package balance

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// trafficBeforeCheckpoint returns a proxy of a fleet that gossips, and its requests. Some are queued, and some have an
// attempt in flight at a server that was removed from the endpoint list.
func trafficBeforeCheckpoint(t *testing.T) (*testProxy, map[uint64]*Request) {
	t.Helper()
	d := sidecarDeployment()
	d.CacheAffinity = true
	proxy := startProxy(t, d, 4)
	requests := map[uint64]*Request{}
	for i := range 60 {
		proxy.clock += 0.01
		request, _ := proxy.arrive(RequestInfo{Key: uint64(i % 5)})
		requests[uint64(request.Ref)] = request
		if i%3 == 0 && len(request.attempts) > 0 {
			request.AttemptEnded(proxy.clock, 0, Outcome(i%5), 0.05, true)
		}
		proxy.GossipReceived(proxy.clock, 2, gossipOf(Observation{NameHash: 2, Value: 0.5, Age: 0.01}))
		if request.Done() {
			delete(requests, uint64(request.Ref))
		}
	}
	proxy.EndpointsUpdated(proxy.clock, false, false, []Endpoint{{Index: 0, NameHash: 1, State: Removed}})
	return proxy, requests
}

// Guards against state that a checkpoint omits: a restored balancer and the original must return the same actions for
// the same calls.
func TestRestoredBalancerDecidesTheSame(t *testing.T) {
	original, requests := trafficBeforeCheckpoint(t)
	require.NotEmpty(t, original.queue.requests)
	require.NotEmpty(t, original.selection.candidates)
	checkpoint, stored := original.Checkpoint(requests)
	b, restored, err := checkpoint.Restore(stored)
	require.NoError(t, err)
	require.Len(t, restored, len(requests))
	assert.Equal(t, original.CurrentStatuses(), b.CurrentStatuses())
	copied := &testProxy{Balancer: b, clock: original.clock, refs: original.refs}
	onRemovedServer := 0
	for key := range uint64(61) {
		request := requests[key]
		if request == nil {
			continue
		}
		if len(request.attempts) > 0 && request.attempts[0].server.State == Removed {
			onRemovedServer++
		}
		assert.Equal(t, request.ScoreBreakdown(), restored[key].ScoreBreakdown())
		want := *request.AttemptEnded(original.clock, 0, ServerError, 0.05, false)
		assert.Equal(t, want, *restored[key].AttemptEnded(copied.clock, 0, ServerError, 0.05, false))
	}
	assert.Positive(t, onRemovedServer)
	for range 200 {
		original.clock += 0.02
		copied.clock = original.clock
		_, want := original.arrive(RequestInfo{Key: 3})
		_, got := copied.arrive(RequestInfo{Key: 3})
		assert.Equal(t, want, got)
	}
	assert.Equal(t, original.Snapshot(original.clock), copied.Snapshot(copied.clock))
}

func TestCheckpointWithADanglingReferenceIsRejected(t *testing.T) {
	for name, corrupt := range map[string]func(*Checkpoint, map[uint64]*RequestCheckpoint){
		"no class":                   func(c *Checkpoint, _ map[uint64]*RequestCheckpoint) { c.classes = nil },
		"no fleet estimate":          func(c *Checkpoint, _ map[uint64]*RequestCheckpoint) { c.fleet = nil },
		"no machine model":           func(c *Checkpoint, _ map[uint64]*RequestCheckpoint) { c.models[0] = nil },
		"server without a model":     func(c *Checkpoint, _ map[uint64]*RequestCheckpoint) { c.servers[1].model = nil },
		"server without an estimate": func(c *Checkpoint, _ map[uint64]*RequestCheckpoint) { c.servers[1].general[2] = nil },
		"server without breakers": func(c *Checkpoint, _ map[uint64]*RequestCheckpoint) {
			c.servers[1].classBreakers = nil
		},
		"latencies of another":       func(c *Checkpoint, _ map[uint64]*RequestCheckpoint) { c.classes[0].all = nil },
		"candidate without a server": func(c *Checkpoint, _ map[uint64]*RequestCheckpoint) { c.candidates[0].server = nil },
		"queued request missing":     func(c *Checkpoint, _ map[uint64]*RequestCheckpoint) { c.queue[0] = nil },
		"no request":                 func(_ *Checkpoint, r map[uint64]*RequestCheckpoint) { r[1] = nil },
		"request of another balancer": func(c *Checkpoint, _ map[uint64]*RequestCheckpoint) {
			c.queue[0].balancer = &Checkpoint{}
		},
		"request of an unknown class": func(c *Checkpoint, _ map[uint64]*RequestCheckpoint) {
			c.queue[0].info.Class = 9
		},
		"attempt without a server": func(_ *Checkpoint, r map[uint64]*RequestCheckpoint) {
			attempts := make([]checkpointAttempt, 1)
			r[7] = &RequestCheckpoint{balancer: r[60].balancer, class: r[60].class, attempts: attempts}
		},
	} {
		t.Run(name, func(t *testing.T) {
			proxy, requests := trafficBeforeCheckpoint(t)
			c, stored := proxy.Checkpoint(requests)
			corrupt(c, stored)
			_, _, err := c.Restore(stored)
			var dangling *CheckpointError
			assert.ErrorAs(t, err, &dangling)
		})
	}
}
