package balance

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// Guards against requests that hang until the deadline after an attempt was lost on the network.
func TestHedgedRequest(t *testing.T) {
	for _, c := range []struct {
		name     string
		kind     Idempotency
		allowed  bool
		inFlight int // other attempts
		want     int // attempts after the timer
	}{
		{"idempotent", Idempotent, true, 0, 2},
		{"keyed, within its deduplication group and window", Keyed, true, 0, 2},
		{"non-idempotent", NonIdempotent, true, 0, 1},
		{"not allowed", Idempotent, false, 0, 1},
		{"little capacity", Idempotent, true, 3, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			d := deployment(Class{Name: "a", Idempotency: c.kind, DedupScope: DedupPod, DedupWindow: 5})
			d.HedgingAllowed, d.Proxies = c.allowed, 1
			proxy := startProxy(t, d, 3)
			for _, s := range proxy.servers {
				s.limit.value = 2
			}
			for range c.inFlight {
				proxy.arrive(RequestInfo{})
			}
			request, _ := proxy.arrive(RequestInfo{})
			proxy.clock += proxy.overdueAge(request)
			assert.Equal(t, c.want-1, countSends(request.TimerFired(proxy.clock).Requests))
			if c.want < 2 {
				return
			}
			assert.NotSame(t, request.attempts[0].server, request.attempts[1].server)
			actions := request.AttemptEnded(proxy.clock, 0, ConnectionLost, 0.2, false)
			assert.Empty(t, actions.Requests, "the other attempt may still succeed")
			actions = request.AttemptEnded(proxy.clock, 1, Succeeded, 0.1, true)
			assert.Empty(t, actions.Requests)
			assert.True(t, request.Done())
		})
	}
}

// Guards against requests of one class that hang at a server and use up its limit, while those of all other classes are
// queued.
func TestOverdueAttemptIsNotInFlight(t *testing.T) {
	for _, c := range []struct {
		limit    float64
		inFlight int
	}{{1, 0}, {minBindingLimit / 2, 1}} {
		proxy := startProxy(t, deployment(), 1)
		request, _ := proxy.arrive(RequestInfo{Deadline: 99})
		proxy.servers[0].limit.value = c.limit
		proxy.clock += proxy.overdueAge(request)
		request.TimerFired(proxy.clock)
		assert.Equal(t, c.inFlight, proxy.concurrency.inFlight, "counts only below minBindingLimit")
		assert.Equal(t, c.inFlight, proxy.servers[0].breaker.inFlight)
		request.AttemptEnded(proxy.clock, 0, TimedOut, 1, true)
		assert.Zero(t, proxy.concurrency.inFlight, "released only once")
		assert.Zero(t, proxy.servers[0].breaker.inFlight)
	}
}
