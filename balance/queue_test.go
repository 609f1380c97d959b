package balance

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestWaitingRequestsAreSentByPriority(t *testing.T) {
	d := deployment(Class{Name: "cheap"}, Class{Name: "expensive", PriorityWeight: 9})
	proxy := startProxy(t, d, 1)
	proxy.endAttempts(proxy.servers[0], "ssssssssss")
	first, _ := proxy.arrive(RequestInfo{})
	arriveAndQueue := func(info RequestInfo) *Request {
		request, actions := proxy.arrive(info)
		require.Empty(t, replies(actions), "queued while it can be answered in time")
		return request
	}
	for range 8 { // more than the capacity and the credit
		proxy.arrive(RequestInfo{Class: 1})
	}
	retry := arriveAndQueue(RequestInfo{ClientRetry: true})
	cheap := arriveAndQueue(RequestInfo{})
	expensive := arriveAndQueue(RequestInfo{Class: 1})
	assert.Greater(t, expensive.priority, cheap.priority)
	assert.Less(t, retry.priority, cheap.priority, "a client's retry has a lower priority")
	actions := first.AttemptEnded(0.01, 0, Succeeded, 0.01, true)
	require.Equal(t, 1, countSends(actions.Requests))
	assert.Zero(t, cheap.inFlight+retry.inFlight, "the greatest priority is sent first")
	assert.False(t, expensive.finished)
	proxy.TimerFired(0.29)
	assert.True(t, cheap.finished && retry.finished, "answered at once when no longer possible in time")
	proxy.queue.requests = nil
	assert.Zero(t, proxy.TimerFired(0.5).WakeAt)
}

// Guards against an unbounded number of selections: one for each queued request at each event took half a CPU core at a
// proxy of a large fleet.
func TestDrawsForWaitingRequestsAreBounded(t *testing.T) {
	d := deployment(Class{Idempotency: NonIdempotent})
	d.CacheAffinity, d.Proxies = true, 1
	proxy := startProxy(t, d, 20)
	first, _ := proxy.arrive(RequestInfo{Key: 9})
	for _, s := range proxy.servers {
		s.breaker.inFlight = 99 // no server has capacity, although their total has
	}
	for range 40 {
		proxy.arrive(RequestInfo{Key: 9})
	}
	scored, before := 0, proxy.random
	for proxy.dispatch(); before != proxy.random && scored < 40*20; scored++ { // one random number drawn per scored server
		before.Float64()
	}
	assert.Equal(t, []int{40, maxFailedSelections * 20}, []int{len(proxy.queue.requests), scored})
	lost := first.AttemptEnded(0, 0, ConnectionLost, 0, false)
	assert.Equal(t, []Reply{Failed}, replies(lost.Requests), "a request that cannot be retried is answered at once")
	proxy.concurrency.capacity, proxy.concurrency.inFlight, before = 0, 999, proxy.random
	proxy.dispatch()
	assert.Equal(t, before, proxy.random, "without capacity no server is scored")
}

// Guards against requests that are queued for more than half of the time to their deadline, and then rejected without
// any attempt.
func TestRequestWaitsOnlyWhileItCanBeAnsweredInTime(t *testing.T) {
	for _, c := range []struct {
		name     string
		deadline float64
		sent     bool // there was an attempt, which never ran
		until    float64
	}{
		{"a short deadline binds", 0.2, false, 0.2 * maxQueueShare},
		{"does not bind after an attempt", 0.2, true, 0.2 - answerMargin - 0.075},
		{"the latency objective binds before a long one", 10, false, 0.3 - 0.075},
	} {
		proxy := startProxy(t, deployment(), 1)
		request, _ := proxy.arrive(RequestInfo{Deadline: c.deadline})
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
	timers := 0
	for range 10 {
		if proxy.arrive(RequestInfo{}); proxy.actions.WakeAt > 0 {
			timers++
		}
	}
	assert.Equal(t, 1, timers, "one timer for all calls")
}

// Guards against a class's first request being queued although servers are idle: as the class had no answers, a quarter
// of its long latency objective was taken as the expected latency.
func TestFirstRequestOfAClassWithALongObjective(t *testing.T) {
	d := deployment(Class{Name: "post", Idempotency: NonIdempotent}, Class{Name: "get"})
	for i := range d.Classes {
		d.Classes[i].LatencyObjective, d.Classes[i].Deadline = 30, 60
	}
	proxy := startProxy(t, d, 1)
	for range 50 {
		proxy.clock += .001
		request, actions := proxy.arrive(RequestInfo{Class: 1, Tenant: -1, Deadline: proxy.clock + 60})
		require.Equal(t, 1, countSends(actions))
		proxy.clock += .0003
		request.AttemptEnded(proxy.clock, 0, Succeeded, .0003, true)
	}
	proxy.clock += .001
	_, actions := proxy.arrive(RequestInfo{Class: 0, Tenant: -1, Deadline: proxy.clock + 60})
	assert.Equal(t, 1, countSends(actions), "the only server is idle")
}
