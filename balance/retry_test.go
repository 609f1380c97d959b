package balance

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against a request that uses up its attempts by alternating between two servers that are down, and against one
// that crashes a server with each of its attempts.
func TestRetriesOfARequestAreBounded(t *testing.T) {
	for _, c := range []struct {
		kind     Idempotency
		servers  int
		outcomes []Outcome // of its attempts, in order
		attempts int
		want     []Reply
	}{
		{Idempotent, 2, []Outcome{ConnectFailed, ConnectFailed}, 2, []Reply{Rejected}},
		{Idempotent, 2, []Outcome{ServerRejected, ServerRejected}, 3, nil},
		{Idempotent, 8, []Outcome{ConnectionLost, ConnectionLost, ConnectionLost}, maxLostAttempts, []Reply{Rejected}},
		{NonIdempotent, 8, []Outcome{ConnectionLost, ConnectionLost}, 1, []Reply{Failed}},
		{Keyed, 8, []Outcome{ConnectionLost, ServerError, ServerError}, maxLostAttempts, []Reply{Rejected}},
		{Idempotent, 8, []Outcome{
			ServerRejected, ConnectFailed, NotSent, ConnectionLost, ConnectionLost, ConnectionLost,
		}, 5, []Reply{Rejected}},
	} {
		proxy := startProxy(t, deployment(Class{Idempotency: c.kind, DedupWindow: 5}), c.servers)
		proxy.deployment.MaxAttempts = 6
		request, actions := proxy.arrive(RequestInfo{})
		for i, outcome := range c.outcomes {
			if i == len(request.attempts) {
				break
			}
			proxy.concurrency.credit = 9 // capacity for the next attempt
			actions = append(actions, request.AttemptEnded(proxy.clock, i, outcome, 0, false).Requests...)
		}
		assert.Len(t, request.attempts, c.attempts, "%v", c.outcomes)
		assert.Equal(t, c.want, replies(actions), "%v", c.outcomes)
	}
}

// TestRetryNeverRepeatsAnEffect covers each Idempotency and DedupScope with each outcome of the first attempt.
func TestRetryNeverRepeatsAnEffect(t *testing.T) {
	all := Class{Idempotency: Keyed, DedupScope: DedupAll, DedupWindow: 0.2}
	long := Class{Idempotency: Keyed, DedupScope: DedupAll, DedupWindow: 9}
	zone := Class{Idempotency: Keyed, DedupScope: DedupZone, DedupWindow: 0.2}
	pod := Class{Idempotency: Keyed, DedupScope: DedupPod, DedupWindow: 0.2}
	single := Class{Idempotency: NonIdempotent}
	for _, c := range []struct {
		name    string
		class   Class
		first   Outcome
		after   float64
		servers int // 1: none left for a retry; 6: two pods of three servers, two zones
		same    func(a, b Endpoint) bool
		want    []Reply // nil: a second attempt
	}{
		{"idempotent, server error", Class{}, ServerError, 0.1, 6, nil, nil},
		{"idempotent, server error, no other server", Class{}, ServerError, 0.1, 1, nil, []Reply{Rejected}},
		{"non-idempotent, server error", single, ServerError, 0.1, 6, nil, []Reply{Failed}},
		{"non-idempotent, connection lost", single, ConnectionLost, 0.1, 6, nil, []Reply{Failed}},
		{"non-idempotent, timeout", single, TimedOut, 0.1, 6, nil, []Reply{Failed}},
		{"non-idempotent, canceled", single, Canceled, 0.1, 6, nil, []Reply{Failed}},
		{"non-idempotent, no capacity", single, ServerRejected, 0.1, 6, nil, nil},
		{"non-idempotent, connect failed", single, ConnectFailed, 0.1, 6, nil, nil},
		{"non-idempotent, never sent, no other server", single, NotSent, 0.1, 1, nil, []Reply{Rejected}},
		{"keyed by all, server error", all, ServerError, 0.1, 6, nil, nil},
		{"keyed by all, server error, window over", all, ServerError, 0.25, 6, nil, []Reply{Failed}},
		{"keyed by all, server error, no other server, window open at the client's retry",
			long, ServerError, 0.1, 1, nil, []Reply{Rejected}},
		{"keyed by all, server error, no other server, window over by then", all, ServerError, 0.1, 1, nil, []Reply{Failed}},
		{"keyed by all, no capacity, window over", all, ServerRejected, 0.25, 1, nil, []Reply{Rejected}},
		{"keyed by zone, server error", zone, ServerError, 0.1, 6, func(a, b Endpoint) bool { return a.Zone == b.Zone }, nil},
		{"keyed by pod, server error", pod, ServerError, 0.1, 6, func(a, b Endpoint) bool { return a.Pod == b.Pod }, nil},
		{"keyed by pod, connection lost, window over", pod, ConnectionLost, 0.25, 6, nil, []Reply{Failed}},
		{"keyed by pod, server error, no other server", pod, ServerError, 0.1, 1, nil, []Reply{Failed}},
		{"keyed by pod, no capacity, window over", pod, ServerRejected, 0.2, 6, nil, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			for seed := range uint64(20) {
				d := deployment(c.class)
				d.Seed, d.MaxRetryAfter = seed, 0.15
				proxy := startProxy(t, d, c.servers)
				request, arrived := proxy.arrive(RequestInfo{})
				require.Equal(t, 1, countSends(arrived))
				first := request.attempts[0].server.Endpoint
				proxy.clock = c.after
				actions := request.AttemptEnded(proxy.clock, 0, c.first, c.after, false)
				assert.Equal(t, c.want, replies(actions.Requests))
				if c.want == nil {
					require.Equal(t, 1, countSends(actions.Requests))
					second := request.attempts[1].server.Endpoint
					assert.NotEqual(t, first.Index, second.Index)
					assert.True(t, c.same == nil || c.same(first, second))
				}
			}
		})
	}
}
