package limits

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

func TestAllowanceOfAConnection(t *testing.T) {
	for _, c := range []struct {
		name   string
		work   float64 // at second 100
		at     float64 // when it wants to run
		mayRun bool
	}{
		{"a new connection", 0, 100, true},
		{"a usual request on it", newAllowance / 2, 100, true},
		{"all of a new connection's allowance", newAllowance, 100, false},
		{"the same a while later", newAllowance, 100 + newAllowance/allowanceRate, true},
		{"much work", 1, 100, false},
		{"much work, long ago", 1, 100 + 1/allowanceRate, true},
	} {
		share := NewCoreShare(100)
		share.Charge(100, c.work)
		assert.Equal(t, c.mayRun, share.MayRun(c.at), c.name)
		assert.False(t, share.HasTurn(), c.name)
	}
}

// Guards against a connection that waits behind all turns of one that was served for long.
func TestConnectionThatWasServedLeastGoesFirst(t *testing.T) {
	queue := TurnQueue{}
	flood, check := NewCoreShare(0), NewCoreShare(0)
	for range 100 {
		queue.Add(&flood, "flood")
		assert.Equal(t, "flood", queue.Next().Owner)
		flood.Charge(0, turnWork)
	}
	queue.Add(&flood, "flood")
	queue.Add(&check, "check")
	assert.Equal(t, 2, queue.Len())
	assert.Equal(t, "check", queue.Next().Owner)
	assert.True(t, check.HasTurn())
	assert.Equal(t, "flood", queue.Next().Owner)
	assert.Nil(t, queue.Next())
}

// Guards against counting a turn as used up by a connection that had little to do in it.
func TestUnusedPartOfATurnIsNotCharged(t *testing.T) {
	queue := TurnQueue{}
	little, much := NewCoreShare(0), NewCoreShare(0)
	served := map[any]int{}
	queue.Add(&little, &little)
	queue.Add(&much, &much)
	for range 1100 {
		owner := queue.Next().Owner.(*CoreShare)
		served[owner]++
		work := turnWork
		if owner == &little {
			work /= 10
		}
		owner.Charge(0, work)
		queue.Add(owner, owner)
	}
	assert.InDelta(t, 1000, served[&little], 10)
	assert.InDelta(t, 100, served[&much], 10)
}

// For any connections that always have more work, and that use any part of their turns or exceed them by half a turn:
// none was served more than two such turns more than another.
func TestTurnsAreSharedEvenly(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		queue := TurnQueue{}
		done := map[*CoreShare]float64{}
		for range rapid.IntRange(2, 8).Draw(t, "connections") {
			share := NewCoreShare(0)
			done[&share] = 0
			queue.Add(&share, &share)
		}
		for range rapid.IntRange(1, 200).Draw(t, "turns") {
			share := queue.Next().Owner.(*CoreShare)
			for share.HasTurn() && rapid.IntRange(0, 9).Draw(t, "goes on") > 0 {
				work := rapid.Float64Range(0, turnWork/2).Draw(t, "work")
				share.Charge(0, work)
				done[share] += work
			}
			queue.Add(share, share)
		}
		least, most := 1e9, 0.0
		for _, work := range done {
			least, most = min(least, work), max(most, work)
		}
		assert.LessOrEqual(t, most-least, 2*1.5*turnWork)
	})
}
