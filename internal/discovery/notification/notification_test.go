package notification

import (
	"math"
	"testing"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

// step is a call of a method of Clock, and the NextCall expected after it.
type step struct {
	at       float64
	action   any     // callStarted, eventReceived or a CallResult
	open     int     // calls still open after a CallResult
	nextCall float64 // with a jitter of 0.5
}

type callStarted struct{}

type eventReceived struct{ first bool }

func TestNextCall(t *testing.T) {
	started, event, firstEvent := callStarted{}, eventReceived{}, eventReceived{first: true}
	for name, c := range map[string]struct {
		fleetSize int
		steps     []step
	}{
		"watch established, lost and restored": {300, []step{
			{0, started, 0, 2}, {0.1, firstEvent, 0, math.Inf(1)}, {9, event, 0, math.Inf(1)},
			{12, Broken, 0, 12.05}, {12.05, started, 0, 14.05}, {12.1, event, 0, math.Inf(1)},
		}},
		"discovery unavailable": {300, []step{
			{0, started, 0, 2}, {0, Unavailable, 0, 0.1}, {0.1, started, 0, 2.1}, {0.1, Unavailable, 0, 0.3},
			{0.3, started, 0, 2.3}, {0.3, Unavailable, 0, 0.7}, {0.7, started, 0, 2.7}, {0.7, Unavailable, 0, 1.2},
			{1.2, started, 0, 3.2}, {2.2, Unavailable, 0, 2.25},
		}},
		"no response: hedged calls": {300, []step{
			{0, started, 0, 2}, {2, started, 0, 4}, {3, Unavailable, 1, 4}, {9.5, started, 0, 11.5}, {10, NoResponse, 1, 11.5},
		}},
		"rejected, large fleet": {300, []step{
			{0, started, 0, 2}, {0.1, Rejected, 0, 4}, {4, started, 0, 8}, {4, Rejected, 0, 8}, {8, started, 0, 12},
			{10, Rejected, 0, 38}, {38, started, 0, 68}, {38, Rejected, 0, 42}, {42, started, 0, 46}, {46, started, 0, 50},
			{47, Unavailable, 1, 50}, {49, NoResponse, 0, 49},
		}},
		"rejected, fleet of 80": {80, []step{
			{0, started, 0, 2}, {2, Rejected, 0, 4}, {4, started, 0, 8}, {6, Rejected, 0, 8}, {8, started, 0, 12},
			{8, Rejected, 0, 12},
		}},
		"rejected, one proxy": {1, []step{
			{0, started, 0, 2}, {0, Rejected, 0, 0.1}, {0.1, started, 0, 4.1}, {0.1, Rejected, 0, 0.2},
		}},
	} {
		clock := NewClock(0, c.fleetSize, 2.5)
		for i, s := range c.steps {
			switch action := s.action.(type) {
			case callStarted:
				clock.CallStarted(s.at)
			case eventReceived:
				clock.EventReceived(s.at, action.first)
			case CallResult:
				clock.CallEnded(s.at, action, s.open, 0.5)
			}
			assert.InDelta(t, s.nextCall, clock.NextCall(), 1e-9, "%s: step %d", name, i)
		}
	}
}

// Guards against too long a delay to the next call after any sequence of results. It is at most MaxHedgeDelay, unless
// discovery rejects calls, when it is limited by the delay for the whole fleet.
func TestNextCallIsDueInTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fleetSize := rapid.IntRange(1, 1024).Draw(t, "fleet size")
		now, open := 0.0, 0
		clock := NewClock(now, fleetSize, rapid.Float64Range(0, 10).Draw(t, "grace"))
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			next := clock.NextCall()
			if open == 0 || rapid.Bool().Draw(t, "hedge") && !math.IsInf(next, 1) {
				now = max(now, next)
				clock.CallStarted(now)
				open++
				continue
			}
			now += rapid.Float64Range(0, ResponseTimeout).Draw(t, "duration")
			if next := clock.NextCall(); next < now {
				now = next
			}
			open--
			result := CallResult(rapid.IntRange(int(Unavailable), int(Rejected)).Draw(t, "result"))
			clock.CallEnded(now, result, open, rapid.Float64Range(0, 1).Draw(t, "jitter"))
			maxDelay := MaxHedgeDelay
			if clock.rejectionDelay > 0 {
				maxDelay = 1.5 * max(maxRejectionDelay, clock.rejectionDelay)
				if clock.fleetDelay <= maxRejectionDelay {
					maxDelay = DeadlineDelay
				}
			}
			if open == 0 && clock.NextCall()-now > maxDelay+1e-9 {
				t.Fatalf("next call due in %v s, fleet of %d, result %v", clock.NextCall()-now, fleetSize, result)
			}
			if result != Rejected && clock.rejectionDelay == 0 && clock.NextCall()-now > MaxHedgeDelay+1e-9 {
				t.Fatalf("no call was rejected, but the next is due in %v s", clock.NextCall()-now)
			}
		}
	})
}
