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
	arriveAndWait := func(info RequestInfo) *Request {
		request, actions := proxy.arrive(info)
		require.Empty(t, replies(actions), "it waits while it can be in time")
		return request
	}
	for range 8 { // more than the capacity that is saved up
		proxy.arrive(RequestInfo{Class: 1})
	}
	retry := arriveAndWait(RequestInfo{ClientRetry: true})
	cheap := arriveAndWait(RequestInfo{})
	expensive := arriveAndWait(RequestInfo{Class: 1})
	assert.Greater(t, expensive.priority, cheap.priority)
	assert.Less(t, retry.priority, cheap.priority, "a client's retry")
	actions := first.AttemptEnded(0.01, 0, Succeeded, 0.01, true)
	require.Equal(t, 1, countSends(actions.Requests))
	assert.Zero(t, cheap.inFlight+retry.inFlight, "the greatest priority is sent first")
	assert.False(t, expensive.over)
	proxy.TimerFired(0.29)
	assert.True(t, cheap.over && retry.over, "one that can no longer be in time is answered at once")
	proxy.queue.waiting = nil
	assert.Zero(t, proxy.TimerFired(0.5).WakeAt)
}

// Drawing for each waiting request among all servers at each event takes half a core at a proxy of a large fleet.
func TestDrawsForWaitingRequestsAreBounded(t *testing.T) {
	d := deployment(Class{Idempotency: NonIdempotent})
	d.CacheAffinity, d.Proxies = true, 1
	proxy := startProxy(t, d, 20)
	first, _ := proxy.arrive(RequestInfo{Key: 9})
	for _, s := range proxy.servers {
		s.breaker.inFlight = 99 // none can take an attempt, though there is capacity in all
	}
	for range 40 {
		proxy.arrive(RequestInfo{Key: 9})
	}
	scored, before := 0, proxy.random
	for proxy.dispatch(); before != proxy.random && scored < 40*20; scored++ { // a number drawn for each server
		before.Float64()
	}
	assert.Equal(t, []int{40, maxFruitlessDraws * 20}, []int{len(proxy.queue.waiting), scored})
	lost := first.AttemptEnded(0, 0, ConnectionLost, 0, false)
	assert.Equal(t, []Reply{Failed}, replies(lost.Requests), "it can go nowhere: it does not wait behind them")
	proxy.concurrency.capacity, proxy.concurrency.inFlight, before = 0, 999, proxy.random
	proxy.dispatch()
	assert.Equal(t, before, proxy.random, "without capacity none is scored")
}

// A client that waited more than half of its time and is rejected with nothing sent has waited in vain.
func TestRequestWaitsOnlyWhileItCanBeAnsweredInTime(t *testing.T) {
	for _, c := range []struct {
		name     string
		deadline float64
		sent     bool // an attempt that never ran
		until    float64
	}{
		{"a short deadline binds", 0.2, false, 0.2 * maxWaitShare},
		{"not where an attempt was sent", 0.2, true, 0.2 - answerMargin - 0.075},
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
	asked := 0
	for range 10 {
		if proxy.arrive(RequestInfo{}); proxy.actions.WakeAt > 0 {
			asked++
		}
	}
	assert.Equal(t, 1, asked, "a timer for every call would multiply without end")
}

// For a class without answers, a quarter of a long latency objective is a bad guess: its first request would wait for
// most of it beside idle servers.
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
