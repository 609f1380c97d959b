package proxy

import (
	"context"
	"io"
	"net"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"lockloom/balance"
	"lockloom/internal/upstream"
	"lockloom/limits"
)

// busy takes all hands of the proxy's core; what it returns gives them back.
func (y *yard) busy(n int) func() {
	y.overload.mu.Lock()
	y.overload.Overload = limits.NewOverload(n, 0)
	for range n {
		y.overload.RequestArrived(y.now(), y.now(), 1, 1, -1, nil)
	}
	y.overload.mu.Unlock()
	return func() {
		for range n {
			y.requestLeftCore()
		}
	}
}

func TestTurnsAtTheCore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		y := serve(t, map[string][]string{"b1": {ok}}, nil)
		free := y.busy(1)
		late, worth := y.client(), y.client()
		go io.WriteString(late, look)
		time.Sleep(210 * time.Millisecond) // of 300 that are its latency objective
		go io.WriteString(worth, sms)
		time.Sleep(30 * time.Millisecond)
		synctest.Wait()
		assert.Empty(t, y.got, "neither is sent")
		free()
		status, h, _, err := answer(late)
		assert.NoError(t, err)
		assert.Equal(t, 503, status)
		assert.Equal(t, "1.000", string(h.Get("Retry-After")))
		assert.False(t, h.Close, "a connection costs more than the answer")
		status, _, _, err = answer(worth)
		assert.NoError(t, err)
		assert.Equal(t, 200, status)
		go io.WriteString(late, strings.Replace(look, "t1", "t9", 1))
		status, _, _, err = answer(late)
		assert.NoError(t, err)
		assert.Equal(t, 200, status, "nobody waits any more")
		assert.Equal(t, 1, y.overload.Rejected)
		y.end()
	})
}

// Danger: a client that writes its head slowly would be late before it has asked.
func TestSlowHead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		y := serve(t, map[string][]string{"b1": {silent}}, nil)
		c := y.client()
		io.WriteString(c, look[:30])
		time.Sleep(2 * time.Second)
		began := time.Now()
		go io.WriteString(c, look[30:])
		status, _, _, err := answer(c)
		assert.NoError(t, err)
		assert.NotEqual(t, 200, status)
		assert.InDelta(t, 0.5, time.Since(began).Seconds(), 0.02, "its time counts from its last byte")
		synctest.Wait()
		assert.Len(t, y.got, 1)
		y.end()
	})
}

// firstListReceived is a request's handle that keeps what it is told of an attempt.
type heard struct {
	RequestHandle
	latency float64
}

func (h *heard) AttemptEnded(_ float64, _ int, _ balance.Outcome, latency float64, _ bool) *balance.Actions {
	h.latency = latency
	return &balance.Actions{}
}
func (h *heard) Done() bool { return false }

// Danger: where this core is behind, its servers would look slow, and their limits and payoffs fall.
func TestServersAreNotBlamedForThisCore(t *testing.T) {
	for _, c := range []struct {
		name                string
		ordered, sent, came time.Duration // ago
		want                float64       // s
		slack               bool
	}{
		{"prompt", 5 * time.Millisecond, 5 * time.Millisecond, 0, 0.005, false},
		{"the server is slow", 200 * time.Millisecond, 200 * time.Millisecond, 0, 0.2, false},
		{"the order waited to be written", 200 * time.Millisecond, 10 * time.Millisecond, 0, 0.01, true},
		{"the answer waited to be read", 200 * time.Millisecond, 200 * time.Millisecond, 190 * time.Millisecond, 0.01, true},
		{"the owner was held up", 250 * time.Millisecond, 200 * time.Millisecond, 150 * time.Millisecond, 0.05, true},
	} {
		y := made(t, nil, nil)
		now := time.Now()
		h := &heard{}
		l := &request{pool: y.pools.platform, class: &y.bootstrap.Classes[0], handle: h, response: make(chan response, 1)}
		g := &attempt{sentAt: y.stamp(now.Add(-c.ordered))}
		l.attempts = []*attempt{g}
		y.recordOutcome(l, g, upstream.Result{Outcome: balance.Succeeded, Status: 200, SentAt: now.Add(-c.sent), EndedAt: now.Add(-c.came)})
		assert.InDelta(t, c.want, h.latency, 1e-6, c.name)
		assert.Equal(t, c.slack, y.overload.DelayFactor() > 1.5, c.name)
		assert.Equal(t, 200, (<-l.response).status)
	}
}

// Danger: an attempt canceled behind its request's answer may be written in between, if this goroutine is held up
// there.
func TestCalledOffBeforeTheAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		y := made(t, nil, nil)
		var end net.Conn
		y.Dial = func(ctx context.Context, addr string) (ours net.Conn, _ error) {
			ours, end = net.Pipe()
			return ours, nil
		}
		b := y.registry.Endpoint(entry("b1", balance.Ready, 0).Entry)
		y.upstream.SetEndpoint(b.Index, "b1", 0)
		y.applyEndpointState(b.Index, balance.Ready, y.now(), 0)
		l := &request{pool: y.pools.platform, class: &y.bootstrap.Classes[0], handle: &heard{}, response: make(chan response), deadline: y.now() + 1}
		y.requests.byRef = append(y.requests.byRef, l)
		y.startAttempt(l, b.Index, y.now()+1)
		synctest.Wait()
		end.Read(make([]byte, 1)) // it is being written: only calling it off stops it
		go y.decide(y.pools.platform, func(float64) *balance.Actions {
			return &balance.Actions{Requests: []balance.RequestAction{{Reply: balance.Rejected}, {CancelAttempt: 1}}}
		})
		synctest.Wait() // held up at the answer, which nobody takes
		_, err := end.Read(make([]byte, 1000))
		assert.Error(t, err, "called off before anybody hears the answer")
		<-l.response
	})
}
