package routes

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestFailoverActivatesAndRecovers(t *testing.T) {
	failover := Failover{ActivateAfter: 1, RecoverAfter: 5}
	for _, c := range []struct {
		at       float64
		admitted bool
		active   bool
	}{
		{0, true, false}, {1, false, false}, {1.9, false, false}, {2, false, true}, {2.1, true, true},
		{6, true, true}, {6.5, false, true}, {7, true, true}, {11.9, true, true}, {12, true, false},
		{12.1, false, false}, {12.2, true, false}, {13.2, false, false}, {14.3, false, true},
	} {
		assert.Equal(t, c.active, failover.Update(c.at, c.admitted), "at %v", c.at)
	}
}

func TestFailoverOfAFlappingPoolStays(t *testing.T) {
	changes, before := 0, false
	failover := Failover{ActivateAfter: 1, RecoverAfter: 5}
	for now := 0.0; now < 100; now += .1 { // the pool is available every other half second
		if active := failover.Update(now, int(now*2)%2 == 0); active != before {
			changes, before = changes+1, active
		}
	}
	assert.Zero(t, changes)
}
