package limits

import (
	"math"
	"testing"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

// told are the verdicts of turns, by what they are of.
type told struct {
	of     any
	passes bool
}

func give(s *Overload, now float64) (all []told) {
	s.Dispatch(now, func(t *Waiter, passes bool) { all = append(all, told{t.Owner, passes}) })
	return all
}

// come has so many requests alike come.
func (s *Overload) come(n int, now, due float64, tenant int, of any) {
	for range n {
		s.RequestArrived(now, now, due, 1, tenant, of)
	}
}

func TestTurns(t *testing.T) {
	s := NewOverload(2, 3)
	for range 2 {
		passes, waits := s.RequestArrived(10, 10, 0.1, 1, -1, nil)
		assert.True(t, passes)
		assert.Nil(t, waits)
	}
	for i, worth := range []float64{1, 5, 1, 10} {
		passes, waits := s.RequestArrived(10, 10, 0.1, worth, 0, i)
		assert.False(t, passes)
		assert.NotNil(t, waits, "both hands are full")
	}
	assert.Empty(t, give(s, 10))
	assert.True(t, s.RequestDone())
	assert.Equal(t, []told{{3, true}}, give(s, 10.01), "worth most")
	assert.True(t, s.RequestDone())
	assert.Equal(t, []told{{1, true}}, give(s, 10.02))
	assert.True(t, s.RequestDone())
	assert.Equal(t, []told{{0, true}}, give(s, 10.03), "came first")
	assert.True(t, s.RequestDone())
	assert.Equal(t, []told{{2, false}}, give(s, 10.08), "it would be late")
	_, stands := s.QueueStatus(10.2)
	assert.False(t, stands, "nobody waits any more")
	assert.False(t, s.RequestDone())
	assert.Equal(t, [3]int{5, 4, 1}, [3]int{s.Admitted, s.Queued, s.Rejected})

	passes, waits := s.RequestArrived(20, 19.9, 0.1, 1, 0, nil)
	assert.False(t, passes, "it waited elsewhere until too late")
	assert.Nil(t, waits)
}

// Danger: with the best always first, those that are late would hold their clients until these give up, which costs more than to
// tell them; with all of them told at once, they would come again and take up the core.
func TestLateHaveTurns(t *testing.T) {
	s := NewOverload(1, 0)
	s.come(1, 0, 0.1, -1, "first")
	s.come(4, 0, 0.1, -1, "late")
	s.come(8, 0.07, 0.1, -1, "new")
	now, late, passed := 0.08, 0, 0
	for range 8 {
		s.RequestDone()
		for _, v := range give(s, now) {
			assert.Equal(t, v.of == "new", v.passes)
			if v.passes {
				passed++
			} else {
				late++
			}
		}
		now += 0.001
	}
	assert.Equal(t, 4, late)
	assert.Equal(t, 4, passed)
}

// A tenant that floods has its part and no more, as long as others ask.
func TestCustomersInTurn(t *testing.T) {
	s := NewOverload(1, 2)
	s.come(1, 0, 10, 1, nil)
	s.come(90, 0, 10, 0, "flood")
	s.come(10, 0, 10, 1, "few")
	few := 0
	for range 24 {
		s.RequestDone()
		if give(s, 0.01)[0].of == "few" {
			few++
		}
	}
	assert.Equal(t, 10, few, "among the first two dozen")
	for _, tenant := range []int{-7, 2, 99} { // unknown ones count as one
		s.RequestArrived(0, 0, 10, 1, tenant, nil)
	}
}

func TestSlack(t *testing.T) {
	for _, c := range []struct {
		name       string
		out, away  float64
		slack, lag float64
	}{
		{"nothing waits here", 0.0204, 0.02, 1, 0},
		{"servers are slow", 0.5005, 0.5, 1, 0},
		{"as long here as there", 0.021, 0.01, 2, 0.01},
		{"far longer here", 0.5, 0.01, slackMost, lagMost},
		{"no time at the server", 0.002, 0, 4, 0.001},
	} {
		s := NewOverload(1, 0)
		assert.Equal(t, 1.0, s.DelayFactor())
		for range 500 {
			s.AttemptMeasured(c.out, c.away)
		}
		assert.InDelta(t, c.slack, s.DelayFactor(), 0.01, c.name)
		assert.InDelta(t, c.lag, s.Lag(), 0.001, c.name)
	}
	s := NewOverload(1, 0)
	for i := range 500 {
		s.AttemptMeasured(0.01+0.02*float64(i%2), 0.01)
	}
	assert.Greater(t, s.Lag(), 0.02, "some wait here for that long, though on the mean they don't")
}

// Whatever comes in whatever order: no more in hand than may be, one verdict each, none that is late passes, and of those that pass
// at one time none is worth less than one that goes on waiting.
func TestStrainHolds(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		most := rapid.IntRange(1, 4).Draw(r, "most")
		s := NewOverload(most, 2)
		type one struct{ worth, last float64 }
		now, hands := 0.0, 0
		waiting := map[int]one{}
		verdict := func(i int, o one, passes bool) {
			hands++
			assert.Equal(r, now <= o.last, passes)
			assert.LessOrEqual(r, hands, most)
		}
		for i := range rapid.IntRange(1, 120).Draw(r, "calls") {
			now += rapid.Float64Range(0, 0.02).Draw(r, "pause")
			switch rapid.IntRange(0, 2).Draw(r, "call") {
			case 0:
				came := now - rapid.Float64Range(0, 0.1).Draw(r, "waited")
				o := one{math.Pow(4, float64(rapid.IntRange(0, 3).Draw(r, "worth"))), came + strainBurst*0.1}
				passes, waits := s.RequestArrived(now, came, 0.1, o.worth, rapid.IntRange(-1, 2).Draw(r, "customer"), i)
				if waits == nil {
					assert.Empty(r, waiting, "nobody goes before those who wait")
					verdict(i, o, passes)
				} else {
					waiting[i] = o
				}
			case 1:
				if hands > 0 {
					hands--
					assert.Equal(r, len(waiting) > 0, s.RequestDone())
				}
			case 2:
				s.Dispatch(now, func(t *Waiter, passes bool) {
					i := t.Owner.(int)
					o, there := waiting[i]
					assert.True(r, there, "one verdict")
					delete(waiting, i)
					verdict(i, o, passes)
					for _, other := range waiting {
						assert.False(r, passes && other.worth > o.worth)
					}
				})
				assert.False(r, hands < most && len(waiting) > 0, "a hand is free")
			}
		}
	})
}

func BenchmarkStrain(b *testing.B) {
	for _, c := range []struct {
		name  string
		queue int
	}{{"nobody waits", 0}, {"500 wait", 500}} {
		b.Run(c.name, func(b *testing.B) {
			s := NewOverload(1, 20)
			for i := range c.queue + 1 {
				s.RequestArrived(0, 0, 1e9, float64(i%5), i%20, nil)
			}
			if c.queue == 0 {
				s.RequestDone()
			}
			b.ReportAllocs()
			for i := 0; i < b.N; i++ {
				s.RequestArrived(0, 0, 1e9, float64(i%5), i%20, nil)
				s.RequestDone()
				s.Dispatch(0, func(*Waiter, bool) {})
			}
		})
	}
}
