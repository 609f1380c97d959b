package balance

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestSameSeedSameDecisions(t *testing.T) {
	run := func() (all []RequestAction) {
		proxy := startProxy(t, deployment(), 5)
		for i := range 300 {
			proxy.clock += 0.01
			request, actions := proxy.arrive(RequestInfo{})
			all = append(all, actions...)
			if len(request.attempts) > 0 {
				all = append(all, request.AttemptEnded(proxy.clock, 0, Outcome(i%3), 0.05, i%3 == 0).Requests...)
			}
		}
		return all
	}
	assert.Equal(t, run(), run())
}

// Guards against slow clients: while a request body is streamed, the attempt must neither take up the limit of its
// server nor count as overdue or slow.
func TestStreamedRequestBody(t *testing.T) {
	proxy := startProxy(t, deployment(), 2)
	var streaming []*Request
	for range 20 { // many times the capacity
		request, actions := proxy.arrive(RequestInfo{Deadline: 900, StreamingBody: true})
		assert.Equal(t, 1, countSends(actions), "a streamed request is sent regardless of capacity")
		streaming = append(streaming, request)
	}
	assert.Zero(t, proxy.concurrency.inFlight)
	_, actions := proxy.arrive(RequestInfo{})
	assert.Equal(t, 1, countSends(actions), "streamed requests take no capacity from others")
	proxy.clock = 30
	request := streaming[0]
	completed := request.BodyCompleted(proxy.clock)
	assert.Equal(t, 2, proxy.concurrency.inFlight, "a completed body takes capacity")
	assert.Greater(t, completed.Requests[0].WakeAt, proxy.clock)
	before := proxy.payoffOf(request.attempts[0].server, 0)
	assert.Empty(t, request.TimerFired(proxy.clock+0.01).Requests, "the age counts from the end of the body")
	request.AttemptEnded(proxy.clock+0.05, 0, Succeeded, 0.05, true)
	assert.Equal(t, 1, proxy.concurrency.inFlight)
	assert.GreaterOrEqual(t, proxy.payoffOf(request.attempts[0].server, 0), before-0.1)
	streaming[1].AttemptEnded(proxy.clock+0.05, 0, ConnectFailed, 0, false) // its client disconnected
	assert.Equal(t, 1, proxy.concurrency.inFlight, "an attempt that took no capacity releases none")
}

func TestStreamedResponseBelongsToItsAttempt(t *testing.T) {
	proxy := startProxy(t, deployment(), 6)
	request, _ := proxy.arrive(RequestInfo{})
	assert.Empty(t, replies(request.ResponseStarted(0.2, 0).Requests))
	assert.Empty(t, request.TimerFired(0.999).Requests, "a stream that began has no deadline")
	assert.False(t, request.Done())
	request.AttemptEnded(5, 0, Succeeded, 5, true)
	assert.True(t, request.Done())
	assert.Greater(t, proxy.payoffOf(request.attempts[0].server, 0), 0.7, "the latency is that of the response start")
}

func TestOneAnswerBeforeTheDeadline(t *testing.T) {
	for _, kind := range []Idempotency{Idempotent, Keyed, NonIdempotent} {
		proxy := startProxy(t, deployment(Class{Idempotency: kind, DedupScope: DedupPod, DedupWindow: 0.2}), 6)
		request, arrived := proxy.arrive(RequestInfo{Deadline: 0.5})
		assert.Less(t, arrived[0].WakeAt, 0.5)
		given := replies(request.TimerFired(0.1).Requests)
		given = append(given, replies(request.TimerFired(arrived[0].WakeAt).Requests)...)
		require.Len(t, given, 1)
		for i := range request.attempts {
			actions := request.AttemptEnded(0.5, i, TimedOut, 0.5, true)
			assert.Zero(t, countSends(actions.Requests))
			assert.Empty(t, replies(actions.Requests))
		}
		assert.Empty(t, request.ClientDisconnected(0.6).Requests)
		assert.True(t, request.Done())
		assert.Zero(t, proxy.concurrency.inFlight)
	}
	proxy := startProxy(t, deployment(), 6)
	_, actions := proxy.arrive(RequestInfo{Deadline: answerMargin / 2})
	assert.Zero(t, countSends(actions), "too close to the deadline for an attempt")
	assert.Len(t, replies(actions), 1)
}
