package balance

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Danger: a request whose first two servers are both down goes to and fro between them until it has no attempt left,
// and one that brings down what takes it would bring down as many servers as it may have attempts.
func TestRetriesOfARequestAreBounded(t *testing.T) {
	for _, c := range []struct {
		kind    Idempotency
		servers int
		ends    []Outcome // of its attempts, each as soon as it is sent
		legs    int
		want    []Reply
	}{{Idempotent, 2, []Outcome{ConnectFailed, ConnectFailed}, 2, []Reply{Rejected}}, {Idempotent, 2, []Outcome{ServerRejected, ServerRejected}, 3, nil},
		{Idempotent, 8, []Outcome{ConnectionLost, ConnectionLost, ConnectionLost}, maxLostAttempts, []Reply{Rejected}}, {NonIdempotent, 8, []Outcome{ConnectionLost, ConnectionLost}, 1, []Reply{Failed}},
		{Keyed, 8, []Outcome{ConnectionLost, ServerError, ServerError}, maxLostAttempts, []Reply{Rejected}},
		{Idempotent, 8, []Outcome{ServerRejected, ConnectFailed, NotSent, ConnectionLost, ConnectionLost, ConnectionLost}, 5, []Reply{Rejected}}} {
		proxy := startProxy(t, deployment(Class{Idempotency: c.kind, DedupWindow: 5}), c.servers)
		proxy.deployment.MaxAttempts = 6
		request, steps := proxy.arrive(RequestInfo{})
		for i := 0; i < min(len(request.attempts), len(c.ends)); i++ {
			proxy.concurrency.credit = 9 // there is room for the next
			steps = append(steps, request.AttemptEnded(proxy.clock, i, c.ends[i], 0, false).Requests...)
		}
		assert.Len(t, request.attempts, c.legs, "%v", c.ends)
		assert.Equal(t, c.want, replies(steps), "%v", c.ends)
	}
}

// TestRetryNeverRepeatsAnEffect has a cell for each kind of class and each thing an earlier attempt may have done.
func TestRetryNeverRepeatsAnEffect(t *testing.T) {
	all := Class{Idempotency: Keyed, DedupScope: DedupAll, DedupWindow: 0.2}
	long := Class{Idempotency: Keyed, DedupScope: DedupAll, DedupWindow: 9}
	zone := Class{Idempotency: Keyed, DedupScope: DedupZone, DedupWindow: 0.2}
	pod := Class{Idempotency: Keyed, DedupScope: DedupPod, DedupWindow: 0.2}
	single := Class{Idempotency: NonIdempotent}
	for _, c := range []struct {
		name    string
		tariff  Class
		first   Outcome
		after   float64
		servers int // 1: nowhere else to go; 6: two pods of three, two zones
		same    func(a, b Endpoint) bool
		want    []Reply // nil: another attempt
	}{
		{"replayable, fault", Class{}, ServerError, 0.1, 6, nil, nil},
		{"replayable, fault, nowhere", Class{}, ServerError, 0.1, 1, nil, []Reply{Rejected}},
		{"single-use, fault", single, ServerError, 0.1, 6, nil, []Reply{Failed}},
		{"single-use, cut", single, ConnectionLost, 0.1, 6, nil, []Reply{Failed}},
		{"single-use, too slow", single, TimedOut, 0.1, 6, nil, []Reply{Failed}},
		{"single-use, called off", single, Canceled, 0.1, 6, nil, []Reply{Failed}},
		{"single-use, no room", single, ServerRejected, 0.1, 6, nil, nil},
		{"single-use, no route", single, ConnectFailed, 0.1, 6, nil, nil},
		{"single-use, never sent, nowhere", single, NotSent, 0.1, 1, nil, []Reply{Rejected}},
		{"referenced by all, fault", all, ServerError, 0.1, 6, nil, nil},
		{"referenced by all, fault, window over", all, ServerError, 0.25, 6, nil, []Reply{Failed}},
		{"referenced by all, fault, nowhere, known when its client comes back", long, ServerError, 0.1, 1, nil, []Reply{Rejected}},
		{"referenced by all, fault, nowhere, not known any more then", all, ServerError, 0.1, 1, nil, []Reply{Failed}},
		{"referenced by all, no room, window over", all, ServerRejected, 0.25, 1, nil, []Reply{Rejected}},
		{"referenced by zone, fault", zone, ServerError, 0.1, 6, func(a, b Endpoint) bool { return a.Zone == b.Zone }, nil},
		{"referenced by pod, fault", pod, ServerError, 0.1, 6, func(a, b Endpoint) bool { return a.Pod == b.Pod }, nil},
		{"referenced by pod, cut, window over", pod, ConnectionLost, 0.25, 6, nil, []Reply{Failed}},
		{"referenced by pod, fault, nowhere", pod, ServerError, 0.1, 1, nil, []Reply{Failed}},
		{"referenced by pod, no room, window over", pod, ServerRejected, 0.2, 6, nil, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			for seed := range uint64(20) {
				d := deployment(c.tariff)
				d.Seed, d.MaxRetryAfter = seed, 0.15
				proxy := startProxy(t, d, c.servers)
				request, steps := proxy.arrive(RequestInfo{})
				require.Equal(t, 1, countSends(steps))
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
