package limits

import (
	"math"
	"testing"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

// decision is a decision of Dispatch for the request of an owner.
type decision struct {
	owner    any
	admitted bool
}

// dispatch returns the decisions of one call of Dispatch.
func dispatch(overload *OverloadQueue, now float64) (decisions []decision) {
	overload.Dispatch(now, func(waiter *QueuedRequest, admitted bool) {
		decisions = append(decisions, decision{waiter.Owner, admitted})
	})
	return decisions
}

// arrive lets count equal requests arrive.
func arrive(overload *OverloadQueue, count int, now, latencyObjective float64, tenant int, owner any) {
	for range count {
		overload.RequestArrived(now, now, latencyObjective, 1, tenant, owner)
	}
}

func TestDispatchOrder(t *testing.T) {
	overload := NewOverloadQueue(2, 3)
	for range 2 {
		admitted, waiter := overload.RequestArrived(10, 10, 0.1, 1, -1, nil)
		assert.True(t, admitted)
		assert.Nil(t, waiter)
	}
	for i, weight := range []float64{1, 5, 1, 10} {
		admitted, waiter := overload.RequestArrived(10, 10, 0.1, weight, 0, i)
		assert.False(t, admitted)
		assert.NotNil(t, waiter, "the limit of requests in progress is reached")
	}
	assert.Empty(t, dispatch(overload, 10))
	assert.True(t, overload.RequestDone())
	assert.Equal(t, []decision{{3, true}}, dispatch(overload, 10.01), "it has the greatest weight")
	assert.True(t, overload.RequestDone())
	assert.Equal(t, []decision{{1, true}}, dispatch(overload, 10.02))
	assert.True(t, overload.RequestDone())
	assert.Equal(t, []decision{{0, true}}, dispatch(overload, 10.03), "of two with equal weights, it arrived first")
	assert.True(t, overload.RequestDone())
	assert.Equal(t, []decision{{2, false}}, dispatch(overload, 10.08), "it would miss its latency objective")
	_, standing := overload.QueueStatus(10.2)
	assert.False(t, standing, "the queue is empty")
	assert.False(t, overload.RequestDone())
	assert.Equal(t, [3]int{5, 4, 1}, [3]int{overload.Admitted, overload.Queued, overload.Rejected})

	admitted, waiter := overload.RequestArrived(20, 19.9, 0.1, 1, 0, nil)
	assert.False(t, admitted, "it was delayed too long before it reached the queue")
	assert.Nil(t, waiter)
}

// Guards against two faults. If the greatest weight always went first, late requests would stay queued until their
// clients time out, which costs more than rejecting them. If all late requests were rejected at once, their clients
// would retry and use up the core.
func TestLateRequestsAreRejectedInTurns(t *testing.T) {
	overload := NewOverloadQueue(1, 0)
	arrive(overload, 1, 0, 0.1, -1, "first")
	arrive(overload, 4, 0, 0.1, -1, "late")
	arrive(overload, 8, 0.07, 0.1, -1, "new")
	now, rejected, admitted := 0.08, 0, 0
	for range 8 {
		overload.RequestDone()
		for _, decision := range dispatch(overload, now) {
			assert.Equal(t, decision.owner == "new", decision.admitted)
			if decision.admitted {
				admitted++
			} else {
				rejected++
			}
		}
		now += 0.001
	}
	assert.Equal(t, 4, rejected)
	assert.Equal(t, 4, admitted)
}

// A tenant that sends too many requests must not get more than its fair share while other tenants have queued requests.
func TestTenantsAreServedFairly(t *testing.T) {
	overload := NewOverloadQueue(1, 2)
	arrive(overload, 1, 0, 10, 1, nil)
	arrive(overload, 90, 0, 10, 0, "flood")
	arrive(overload, 10, 0, 10, 1, "few")
	few := 0
	for range 24 {
		overload.RequestDone()
		if dispatch(overload, 0.01)[0].owner == "few" {
			few++
		}
	}
	assert.Equal(t, 10, few, "requests of the small tenant among the first 24 dispatched")
	for _, tenant := range []int{-7, 2, 99} { // unknown tenants are counted as one
		overload.RequestArrived(0, 0, 10, 1, tenant, nil)
	}
}

func TestDelayFactorAndLag(t *testing.T) {
	for _, c := range []struct {
		name            string
		total, atServer float64
		factor, lag     float64
	}{
		{"no delay in the proxy", 0.0204, 0.02, 1, 0},
		{"servers are slow", 0.5005, 0.5, 1, 0},
		{"as long in the proxy as at the server", 0.021, 0.01, 2, 0.01},
		{"much longer in the proxy", 0.5, 0.01, maxDelayFactor, maxLag},
		{"no time at the server", 0.002, 0, 4, 0.001},
	} {
		overload := NewOverloadQueue(1, 0)
		assert.Equal(t, 1.0, overload.DelayFactor())
		for range 500 {
			overload.AttemptMeasured(c.total, c.atServer)
		}
		assert.InDelta(t, c.factor, overload.DelayFactor(), 0.01, c.name)
		assert.InDelta(t, c.lag, overload.ProxyDelay(), 0.001, c.name)
	}
	overload := NewOverloadQueue(1, 0)
	for i := range 500 {
		overload.AttemptMeasured(0.01+0.02*float64(i%2), 0.01)
	}
	assert.Greater(t, overload.ProxyDelay(), 0.02, "half of the attempts are delayed by 20 ms, twice the mean")
}

// overloadModel is an OverloadQueue with a model of its requests.
type overloadModel struct {
	t             *rapid.T
	overload      *OverloadQueue
	maxInProgress int
	now           float64
	inProgress    int
	queued        map[int]modelRequest // by owner
}

type modelRequest struct{ weight, latestStart float64 }

func (m *overloadModel) arrive(owner int) {
	const latencyObjective = 0.1
	arrivedAt := m.now - rapid.Float64Range(0, 0.1).Draw(m.t, "waited")
	weight := math.Pow(4, float64(rapid.IntRange(0, 3).Draw(m.t, "weight")))
	request := modelRequest{weight, arrivedAt + maxWaitFraction*latencyObjective}
	tenant := rapid.IntRange(-1, 2).Draw(m.t, "tenant")
	admitted, waiter := m.overload.RequestArrived(m.now, arrivedAt, latencyObjective, weight, tenant, owner)
	if waiter != nil {
		m.queued[owner] = request
		return
	}
	assert.Empty(m.t, m.queued, "a new request must not overtake queued ones")
	m.decided(request, admitted)
}

func (m *overloadModel) decided(request modelRequest, admitted bool) {
	m.inProgress++
	assert.Equal(m.t, m.now <= request.latestStart, admitted)
	assert.LessOrEqual(m.t, m.inProgress, m.maxInProgress)
}

func (m *overloadModel) done() {
	if m.inProgress > 0 {
		m.inProgress--
		assert.Equal(m.t, len(m.queued) > 0, m.overload.RequestDone())
	}
}

func (m *overloadModel) dispatch() {
	m.overload.Dispatch(m.now, func(waiter *QueuedRequest, admitted bool) {
		owner := waiter.Owner.(int)
		request, queued := m.queued[owner]
		assert.True(m.t, queued, "each request gets one decision")
		delete(m.queued, owner)
		m.decided(request, admitted)
		for _, other := range m.queued {
			assert.False(m.t, admitted && other.weight > request.weight)
		}
	})
	assert.False(m.t, m.inProgress < m.maxInProgress && len(m.queued) > 0, "a queued request could be dispatched")
}

// For any sequence of calls: at most maxInProgress requests are in progress, each request gets one decision, late
// requests are rejected, and no request is admitted while another one with a greater weight stays queued.
func TestOverloadInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		maxInProgress := rapid.IntRange(1, 4).Draw(t, "maxInProgress")
		model := &overloadModel{
			t: t, overload: NewOverloadQueue(maxInProgress, 2), maxInProgress: maxInProgress, queued: map[int]modelRequest{},
		}
		for i := range rapid.IntRange(1, 120).Draw(t, "calls") {
			model.now += rapid.Float64Range(0, 0.02).Draw(t, "pause")
			switch rapid.IntRange(0, 2).Draw(t, "call") {
			case 0:
				model.arrive(i)
			case 1:
				model.done()
			case 2:
				model.dispatch()
			}
		}
	})
}

func BenchmarkOverload(b *testing.B) {
	for _, c := range []struct {
		name   string
		queued int
	}{{"nobody waits", 0}, {"500 wait", 500}} {
		b.Run(c.name, func(b *testing.B) {
			overload := NewOverloadQueue(1, 20)
			for i := range c.queued + 1 {
				overload.RequestArrived(0, 0, 1e9, float64(i%5), i%20, nil)
			}
			if c.queued == 0 {
				overload.RequestDone()
			}
			b.ReportAllocs()
			for i := range b.N {
				overload.RequestArrived(0, 0, 1e9, float64(i%5), i%20, nil)
				overload.RequestDone()
				overload.Dispatch(0, func(*QueuedRequest, bool) {})
			}
		})
	}
}
