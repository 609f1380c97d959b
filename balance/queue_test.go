package balance

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestWaitingRequestsAreSentByPriority(t *testing.T) {
	d := deployment(Class{Name: "cheap"}, Class{Name: "dear", PriorityWeight: 9})
	proxy := startProxy(t, d, 1)
	proxy.endAttempts(proxy.servers[0], "hhhhhhhhhh")
	first, _ := proxy.arrive(RequestInfo{})
	wait := func(a RequestInfo) *Request {
		request, steps := proxy.arrive(a)
		require.Empty(t, replies(steps), "held while it can be in time")
		return request
	}
	for range 8 { // more than the room that is saved up
		proxy.arrive(RequestInfo{Class: 1})
	}
	again := wait(RequestInfo{ClientRetry: true})
	cheap := wait(RequestInfo{})
	dear := wait(RequestInfo{Class: 1})
	assert.Greater(t, dear.priority, cheap.priority)
	assert.Less(t, again.priority, cheap.priority, "a client's further try")
	actions := first.AttemptEnded(0.01, 0, Succeeded, 0.01, true)
	require.Equal(t, 1, countSends(actions.Requests))
	assert.Zero(t, cheap.inFlight+again.inFlight, "the dearest are sent first")
	assert.False(t, dear.over)
	proxy.TimerFired(0.29)
	assert.True(t, cheap.over && again.over, "one that can no longer be in time is answered at once")
	proxy.queue.waiting = nil
	assert.Zero(t, proxy.TimerFired(0.5).WakeAt)
}

// Danger: on a crowded day each that waits was drawn for among all servers at each event, half a core at a proxy of
// many.
func TestDrawsForWaitingRequestsAreBounded(t *testing.T) {
	d := deployment(Class{Idempotency: NonIdempotent})
	d.CacheAffinity, d.Proxies = true, 1
	proxy := startProxy(t, d, 20)
	first, _ := proxy.arrive(RequestInfo{Key: 9})
	for _, s := range proxy.servers {
		s.breaker.inFlight = 99 // none takes an attempt, though there is room in all
	}
	for range 40 {
		proxy.arrive(RequestInfo{Key: 9})
	}
	scored, before := 0, proxy.random
	for proxy.dispatch(); before != proxy.random && scored < 40*20; scored++ { // a number drawn for each server
		before.Float64()
	}
	assert.Equal(t, []int{40, maxFruitlessDraws * 20}, []int{len(proxy.queue.waiting), scored})
	assert.Equal(t, []Reply{Failed}, replies(first.AttemptEnded(0, 0, ConnectionLost, 0, false).Requests), "it can go nowhere: not held behind them")
	proxy.concurrency.capacity, proxy.concurrency.inFlight, before = 0, 999, proxy.random
	proxy.dispatch()
	assert.Equal(t, before, proxy.random, "without room none is scored")
}

// Danger: a client that waited more than half of its time and is rejected with nothing sent waited in vain.
func TestRequestWaitsOnlyWhileItCanBeAnsweredInTime(t *testing.T) {
	for _, c := range []struct {
		name     string
		hardStop float64
		sent     bool // an attempt that never ran
		until    float64
	}{
		{"a short hard stop binds", 0.2, false, 0.2 * maxWaitShare},
		{"not where a leg was sent", 0.2, true, 0.2 - answerMargin - 0.075},
		{"the due time binds before a long one", 10, false, 0.3 - 0.075},
	} {
		proxy := startProxy(t, deployment(), 1)
		request, _ := proxy.arrive(RequestInfo{Deadline: c.hardStop})
		if request.attempts = nil; c.sent {
			request.attempts = []attempt{{neverRan: true}}
		}
		proxy.queue.sendInterval = 0
		for proxy.now = 0; proxy.canAnswerInTime(request, 0); proxy.now += 0.001 {
		}
		assert.InDelta(t, c.until, proxy.now, 0.002, c.name)
	}
}

func TestWaitingRequestsShareOneTimer(t *testing.T) {
	proxy := startProxy(t, deployment(), 1)
	asked := 0
	for range 10 {
		if proxy.arrive(RequestInfo{}); proxy.actions.WakeAt > 0 {
			asked++
		}
	}
	assert.Equal(t, 1, asked, "a timer asked for at every call breeds without end")
}

// Danger: of a class unheard so far a quarter of a long latency objective is a bad guess: its first request waited for
// most of it beside idle servers.
func TestFirstRequestOfAClassWithALongObjective(t *testing.T) {
	d := deployment(Class{Name: "post", Idempotency: NonIdempotent}, Class{Name: "get"})
	for i := range d.Classes {
		d.Classes[i].LatencyObjective, d.Classes[i].Deadline = 30, 60
	}
	proxy := startProxy(t, d, 1)
	for range 50 {
		proxy.clock += .001
		request, steps := proxy.arrive(RequestInfo{Class: 1, Tenant: -1, Deadline: proxy.clock + 60})
		require.Equal(t, 1, countSends(steps))
		proxy.clock += .0003
		request.AttemptEnded(proxy.clock, 0, Succeeded, .0003, true)
	}
	proxy.clock += .001
	_, steps := proxy.arrive(RequestInfo{Class: 0, Tenant: -1, Deadline: proxy.clock + 60})
	assert.Equal(t, 1, countSends(steps), "the only server is idle")
}
