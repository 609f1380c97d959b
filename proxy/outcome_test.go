package proxy

import (
	"context"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"lockloom/balance"
	"lockloom/internal/upstream"
)

// The outcome at the first server decides the response to the client and how often the request is sent. The second
// server succeeds.
func TestFirstOutcomeDecidesRetryAndResponse(t *testing.T) {
	for _, c := range []struct {
		name, request, behavior string
		status, sent            int
	}{
		{"succeeds", idempotentRequest, okResponse, 200, 1},
		{"idempotent, cut", idempotentRequest, closeConnection, 200, 2},
		{"idempotent, error", idempotentRequest, faultResponse, 200, 2},
		{"idempotent, rejected", idempotentRequest, neverRanResponse, 200, 2},
		{"idempotent, no response", idempotentRequest, noResponse, 503, 1},
		{"idempotent, request fault", idempotentRequest, invalidRequestResponse, 400, 1},
		{"not idempotent, succeeds", nonIdempotentRequest, okResponse, 200, 1},
		{"not idempotent, rejected", nonIdempotentRequest, neverRanResponse, 200, 2},
		{"not idempotent, no connection", nonIdempotentRequest, refuseConnection, 200, 1},
		{"not idempotent, cut", nonIdempotentRequest, closeConnection, 502, 1},
		{"not idempotent, error", nonIdempotentRequest, faultResponse, 502, 1},
		// Relayed as 503, it would look safe to retry.
		{"not idempotent, a server's own 503", nonIdempotentRequest, plain503Response, 502, 1},
		{"not idempotent, no response", nonIdempotentRequest, noResponse, 502, 1},
		{"keyed, cut", keyedRequest, closeConnection, 200, 2},
		{"keyed, no response", keyedRequest, noResponse, 502, 1},
	} {
		synctest.Test(t, func(t *testing.T) {
			env := startEnv(t, map[string][]string{"b1": {okResponse}, "b2": {okResponse}}, nil)
			env.behaviors["any"] = []string{c.behavior, okResponse}
			startedAt := time.Now()
			status, h, body, err := env.roundTrip(c.request)
			assert.NoError(t, err, c.name)
			assert.Equal(t, c.status, status, c.name)
			assert.Len(t, env.received, c.sent, c.name)
			assert.Less(t, time.Since(startedAt), 500*time.Millisecond, c.name)
			if status == 200 {
				assert.Equal(t, "body", body, c.name)
				assert.Equal(t, "b", string(h.Get("X-From")), c.name)
			}
			assert.Equal(t, status == 503, h.Get("Retry-After") != nil, c.name)
			env.stopAndWait()
		})
	}
}

func TestRejectedWithoutAvailableServer(t *testing.T) {
	for _, c := range []struct {
		name      string
		behaviors map[string][]string
		set       func(*BootstrapConfig)
	}{
		{"none listed", nil, nil},
		{"all refuse", map[string][]string{"b1": {refuseConnection}, "b2": {refuseConnection}}, nil},
		{"the only server is cold", map[string][]string{"b1": {okResponse}}, func(cfg *BootstrapConfig) {
			cfg.SlowStartDuration, cfg.SlowStartFraction = 1e9, 0
			cfg.KnownEndpoints.Entries[0].StartedAt = float64(time.Now().Unix())
		}},
	} {
		synctest.Test(t, func(t *testing.T) {
			env := startEnv(t, c.behaviors, c.set)
			status, _, _, err := env.roundTrip(nonIdempotentRequest)
			assert.NoError(t, err, c.name)
			assert.Equal(t, 503, status, c.name)
			assert.Empty(t, env.received, c.name)
			env.stopAndWait()
		})
	}
}

// recordingHandle records the latency of an attempt that ends.
type recordingHandle struct {
	RequestHandle
	latency float64
}

func (h *recordingHandle) AttemptEnded(_ float64, _ int, _ balance.Outcome, latency float64, _ bool) *balance.Actions {
	h.latency = latency
	return &balance.Actions{}
}

func (h *recordingHandle) Done() bool { return false }

// Guards against delays of this core that count as server latency, which would lower the limits and payoffs of servers.
func TestLocalDelayIsNotServerLatency(t *testing.T) {
	for _, c := range []struct {
		name                 string
		started, sent, ended time.Duration // how long ago each event of the attempt was
		want                 float64       // seconds
		delayed              bool          // whether this core is found to delay attempts
	}{
		{"prompt", 5 * time.Millisecond, 5 * time.Millisecond, 0, 0.005, false},
		{"the server is slow", 200 * time.Millisecond, 200 * time.Millisecond, 0, 0.2, false},
		{"the request was queued before it was written", 200 * time.Millisecond, 10 * time.Millisecond, 0, 0.01, true},
		{"the response was queued before it was read", 200 * time.Millisecond, 200 * time.Millisecond,
			190 * time.Millisecond, 0.01, true},
		{"the owner was delayed", 250 * time.Millisecond, 200 * time.Millisecond, 150 * time.Millisecond, 0.05, true},
	} {
		env := newEnv(t, nil, nil)
		now := time.Now()
		handle := &recordingHandle{}
		req := &request{pool: env.pools.platform, class: &env.bootstrap.Classes[0],
			requestState: requestState{handle: handle},
			response:     make(chan response, 1)}
		att := &attempt{sentAt: env.toUnixSeconds(now.Add(-c.started))}
		req.attempts = []*attempt{att}
		env.recordOutcome(req, att, upstream.Result{Outcome: balance.Succeeded, Status: 200, SentAt: now.Add(-c.sent),
			EndedAt: now.Add(-c.ended)})
		assert.InDelta(t, c.want, handle.latency, 1e-6, c.name)
		assert.Equal(t, c.delayed, env.overload.DelayFactor() > 1.5, c.name)
		assert.Equal(t, 200, (<-req.response).status)
	}
}

// Guards against sending an attempt after its request was answered. This happens if the owner sends the response first
// and is delayed before it cancels the attempt.
func TestAttemptsAreCanceledBeforeTheResponse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newEnv(t, nil, nil)
		var end net.Conn
		env.Dial = func(ctx context.Context, addr string) (ours net.Conn, _ error) {
			ours, end = net.Pipe()
			return ours, nil
		}
		endpoint := env.registry.Endpoint(listEntry("b1", balance.Ready).Entry)
		env.upstream.SetEndpoint(endpoint.Index, "b1", "b1", 0)
		env.applyEndpointState(endpoint.Index, balance.Ready, env.now())
		req := &request{pool: env.pools.platform, class: &env.bootstrap.Classes[0], response: make(chan response),
			deadline: env.now() + 1, requestState: requestState{handle: &recordingHandle{}}}
		env.requests.byRef = append(env.requests.byRef, req)
		env.startAttempt(req, endpoint.Index, env.now()+1)
		synctest.Wait()
		_, err := end.Read(make([]byte, 1)) // the request is being written: only canceling stops it
		require.NoError(t, err)
		go env.decide(env.pools.platform, func(float64) *balance.Actions {
			return &balance.Actions{Requests: []balance.RequestAction{{Reply: balance.Rejected}, {CancelAttempt: 1}}}
		})
		synctest.Wait() // the owner blocks on the response, which nobody receives yet
		_, err = end.Read(make([]byte, 1000))
		assert.Error(t, err, "the attempt is canceled before the response")
		<-req.response
	})
}

// The time that a client takes to send a body does not count as latency of the server, whenever the response arrives.
func TestLatencyCountsFromLastByte(t *testing.T) {
	upload := &upstream.Upload{}
	streamed := func(s bodyStream) request { return request{forwardedRequest: forwardedRequest{stream: s}} }
	for _, c := range []struct {
		req  request
		want float64
	}{
		{request{}, 9},
		{streamed(bodyStream{upload: upload, completedAt: 8}), 2},
		{streamed(bodyStream{upload: upload, completedAt: 11}), 0},
		{streamed(bodyStream{upload: upload}), 0},
	} {
		assert.Equal(t, c.want, c.req.latency(1, 10))
	}
}
