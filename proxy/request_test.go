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

// A request that the decisions have forgotten is failed before its deadline; a call that panics ends no proxy; and
// whatever the decisions order, no rule is broken.
func TestBackstop(t *testing.T) {
	log, _ := test.NewNullLogger()
	env := &Proxy{log: log, clock: clock{startedAt: time.Now()}}
	env.loop.init(env.clock, log)
	req := &request{class: &balance.Class{}, response: make(chan response, 1)}
	forget, panics := func() { env.failUnanswered(req) }, func() { env.loop.runGuarded(func() { panic("x") }) }
	if invariant.Asserted {
		assert.Panics(t, forget)
		assert.Panics(t, panics)
		return
	}
	before := brokenInvariants()
	env.endpoints.stopSendAt = []float64{math.Inf(1), 0}
	env.upstream, env.registry = upstream.New(nil, nil), settings.Settings{}.NewRegistry()
	for _, id := range []string{"b1", "b2"} {
		env.registry.Endpoint(listEntry(id, balance.Ready).Entry)
	}
	for _, c := range []struct { // whatever the decisions order, no rule is broken
		l       *request
		backend int
	}{
		{&request{class: &balance.Class{}, requestState: requestState{answered: true}}, 0},
		{&request{class: &balance.Class{Idempotency: balance.NonIdempotent},
			requestState: requestState{attempts: []*attempt{{}}}}, 0},
		{&request{class: &balance.Class{}}, 1},
	} {
		env.startAttempt(c.l, c.backend, env.now()+1)
		assert.False(t, c.l.attempts[len(c.l.attempts)-1].started)
	}
	assert.Len(t, env.loop.deferred, 3, "each is booked as never sent")
	assert.Equal(t, before+3, brokenInvariants())
	env.loop.deferred, before = nil, brokenInvariants()
	forget()
	panics()
	assert.Equal(t, 502, (<-req.response).status)
	assert.Equal(t, before+2, brokenInvariants())
}
