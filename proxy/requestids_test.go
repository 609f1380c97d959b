package proxy

import (
	"fmt"
	"maps"
	"math"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"lockloom/balance"
)

// Guards against running a request twice whose client left and sends it again, and against rejecting one that may be
// repeated: only what servers do not drop by themselves is kept from running.
func TestRepeatOfARequestThatItsClientLeft(t *testing.T) {
	const now, deadline, window = 1000.0, 2.0, 0.5
	never := math.Inf(1)
	ran, provenUnrun := []*attempt{{sentAt: now}}, []*attempt{{sentAt: now, ended: true, neverRan: true}}
	nonIdempotent := balance.Class{Idempotency: balance.NonIdempotent, Deadline: deadline}
	keyed := balance.Class{
		Idempotency: balance.Keyed, DedupScope: balance.DedupAll, DedupWindow: window, Deadline: deadline,
	}
	longWindow, inCell := keyed, keyed
	longWindow.DedupWindow, inCell.DedupScope = 10, balance.DedupPod
	for _, c := range []struct {
		name     string
		class    balance.Class
		attempts []*attempt
		after    float64 // time from its end until it comes again
		mayRun   bool
		repeatBy float64
	}{
		{"idempotent", balance.Class{Idempotency: balance.Idempotent, Deadline: deadline}, ran, 0.01, true, never},
		{"not idempotent", nonIdempotent, ran, 0.01, false, 0},
		{"not idempotent, at its client's last time", nonIdempotent, ran, deadline + 0.1, false, 0},
		{"not idempotent, later", nonIdempotent, ran, deadline + 0.2, true, never},
		{"not idempotent, with no attempt", nonIdempotent, nil, 0.01, true, never},
		{"not idempotent, never ran", nonIdempotent, provenUnrun, 0.01, true, never},
		{"keyed, in the window", keyed, ran, 0.01, true, now + window},
		{"keyed, behind the window", keyed, ran, window + 0.01, false, now + window},
		{"keyed, with a window beyond its client's time", longWindow, ran, 0.01, true, never},
		{"keyed in a cell only", inCell, ran, 0.01, false, 0},
	} {
		ids := newRequestIDs()
		req := &request{id: "a", class: &c.class, requestState: requestState{attempts: c.attempts, repeatBy: never}}
		ids.open[req.id] = true
		allowed, _ := ids.mayRun("a", &c.class, now)
		assert.False(t, allowed, c.name)
		delete(ids.open, req.id)
		if retention, needed := req.retention(now); needed {
			ids.retain(hashID(req.id), retention, now)
		}
		allowed, repeatBy := ids.mayRun("a", &c.class, now+c.after)
		assert.Equal(t, c.mayRun, allowed, c.name)
		assert.Equal(t, c.repeatBy, repeatBy, c.name)
		allowed, _ = ids.mayRun("b", &c.class, now+c.after)
		assert.True(t, allowed, c.name)
	}
}

func TestRetainedIDsAreBounded(t *testing.T) {
	ids := newRequestIDs()
	class := balance.Class{Idempotency: balance.NonIdempotent}
	for i := range maxRetainedIDs + 10 {
		ids.retain(hashID(fmt.Sprint(i)), idRetention{until: 10}, 1)
		ids.retain(hashID(fmt.Sprint(i)), idRetention{until: 10}, 1)
	}
	assert.Equal(t, 10, ids.forgotten)
	assert.Len(t, ids.retained, maxRetainedIDs)
	assert.Len(t, ids.order, maxRetainedIDs)
	for id, mayRun := range map[string]bool{"9": true, "10": false, fmt.Sprint(maxRetainedIDs + 9): false} {
		allowed, _ := ids.mayRun(id, &class, 2)
		assert.Equal(t, mayRun, allowed, id)
	}
	ids.retain(hashID("later"), idRetention{until: 30}, 20)
	assert.Len(t, ids.retained, 1, "what is over is removed")
}

func TestUnconfirmedResponsesAreBounded(t *testing.T) {
	responses := unconfirmedResponses{}
	class := &balance.Class{Idempotency: balance.NonIdempotent, Deadline: 1}
	for i := range maxUnconfirmed {
		assert.Empty(t, responses.add(&request{id: fmt.Sprint(i), class: class}, 5))
	}
	oldest := responses.add(&request{id: "x", class: class}, 5)
	assert.Equal(t, unconfirmedResponses{{hashID("0"), idRetention{until: 6 + retentionMarginSeconds}}}, oldest)
	assert.Len(t, responses, maxUnconfirmed)
}

// Guards against taking a response for unread whose client has sent its next request since.
func TestOnlyTheRequestThatItsClientLeftIsRetained(t *testing.T) {
	s := startSocketEnv(t, func(n int, end net.Conn) {
		if n == 1 {
			write(end, okResponse)
		}
	})
	close(s.dialGate)
	conn := s.connect()
	write(conn, nonIdempotentRequest)
	status, _, _, err := readResponse(conn)
	require.NoError(t, err)
	assert.Equal(t, 200, status)
	write(conn, strings.Replace(nonIdempotentRequest, "t3", "t4", 1))
	require.Eventually(t, func() bool { return s.received.Load() == 2 }, 5*time.Second, time.Millisecond)
	require.NoError(t, conn.Close())
	retained := make(chan map[idHash]idRetention, 1)
	require.Eventually(t, func() bool {
		s.post(func() { retained <- maps.Clone(s.requests.ids.retained) })
		ids := <-retained
		_, answered := ids[hashID("t3")]
		assert.False(t, answered)
		_, left := ids[hashID("t4")]
		return left
	}, 5*time.Second, time.Millisecond)
}
