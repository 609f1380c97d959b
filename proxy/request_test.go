package proxy

import (
	"math"
	"testing"
	"time"

	"github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/assert"

	"lockloom/balance"
	"lockloom/internal/invariant"
	"lockloom/internal/settings"
	"lockloom/internal/upstream"
)

// Checks that a request that the balancer never answers is failed before its deadline, that a call that panics does not
// end the proxy, and that attempts that would break an invariant are not sent.
func TestBackstop(t *testing.T) {
	log, _ := test.NewNullLogger()
	env := &Proxy{log: log, clock: clock{startedAt: time.Now()}}
	env.loop.init(env.clock, log)
	req := &request{class: &balance.Class{}, response: make(chan response, 1)}
	failRequest, panicInLoop := func() { env.failUnanswered(req) }, func() { env.loop.runGuarded(func() { panic("x") }) }
	if invariant.PanicsWhenBroken {
		assert.Panics(t, failRequest)
		assert.Panics(t, panicInLoop)
		return
	}
	before := brokenInvariants()
	env.endpoints.stopSendAt = []float64{math.Inf(1), 0}
	env.upstream, env.registry = upstream.New(nil, nil), settings.Settings{}.NewRegistry()
	for _, id := range []string{"b1", "b2"} {
		env.registry.Endpoint(listEntry(id, balance.Ready).Entry)
	}
	for _, c := range []struct { // attempts that the balancer demands, each of which would break an invariant
		req    *request
		server int
	}{
		{&request{class: &balance.Class{}, requestState: requestState{answered: true}}, 0},
		{&request{class: &balance.Class{Idempotency: balance.NonIdempotent},
			requestState: requestState{attempts: []*attempt{{}}}}, 0},
		{&request{class: &balance.Class{}}, 1},
	} {
		env.startAttempt(c.req, c.server, env.now()+1)
		assert.False(t, c.req.attempts[len(c.req.attempts)-1].started)
	}
	assert.Len(t, env.loop.deferred, 3, "each attempt ends as not sent")
	assert.Equal(t, before+3, brokenInvariants())
	env.loop.deferred, before = nil, brokenInvariants()
	failRequest()
	panicInLoop()
	assert.Equal(t, 502, (<-req.response).status)
	assert.Equal(t, before+2, brokenInvariants())
}
