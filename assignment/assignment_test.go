package assignment

import (
	"fmt"
	"math"
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

var terms = Settings{SlowStartFraction: .2, SlowStartDuration: 20, CrashFactor: 3, CrashDuration: 1}

// sight has so many servers, alike and well, in zones a and b in turn.
func sight(n int) Observation {
	var s Observation
	for i := range n {
		s.Servers = append(s.Servers, ServerEstimate{Name: fmt.Sprint("s", i), Addr: fmt.Sprint("h:", i), Zone: string("ab"[i%2]), Payoff: .9})
	}
	return s
}

// health is what is told of each server, a letter each: h, u or d.
func (a *Assignment) letters() (out string) {
	for i := range a.Servers {
		out += a.Servers[i].Health.String()[:1]
	}
	return out
}

// What happens to server 0 of four, and what is told of them at that time and later.
func TestTold(t *testing.T) {
	for _, c := range []struct {
		name     string
		change   func(s *Observation)
		at       float64 // s after the change
		letters  string
		weights0 [2]float64 // server 0's over server 1's: between
	}{
		{"nothing", func(*Observation) {}, 0, "hhhh", [2]float64{1, 1}},
		{"drains", func(s *Observation) { s.Servers[0].Draining = true }, 0, "dhhh", [2]float64{}},
		{"paused", func(s *Observation) { s.Servers[0].Paused = true }, 0, "uhhh", [2]float64{}},
		{"on trial", func(s *Observation) { s.Servers[0].Paused, s.Servers[0].Trial = true, true }, 10, "hhhh", [2]float64{.1, .13}},
		{"gone", func(s *Observation) { s.Removed, s.Servers = []string{"s0"}, s.Servers[1:] }, 0, "hhh", [2]float64{1, 1}},
		{"all gone", func(s *Observation) { s.Removed, s.Servers = []string{"s0", "s1", "s2", "s3"}, nil }, 0, "", [2]float64{}},
		{"missing alone", func(s *Observation) { s.Servers = s.Servers[1:] }, 0, "hhh", [2]float64{1, 1}},
		{"half missing", func(s *Observation) { s.Servers = s.Servers[2:] }, 29, "hhhh", [2]float64{1, 1}},
		{"half missing, and goes on so", func(s *Observation) { s.Servers = s.Servers[2:] }, 31, "hh", [2]float64{1, 1}},
		{"list emptied", func(s *Observation) { s.Servers = nil }, 29, "hhhh", [2]float64{1, 1}},
		{"all paused", func(s *Observation) {
			for i := range s.Servers {
				s.Servers[i].Paused = true
			}
		}, 0, "hhhh", [2]float64{1, 1}},
		{"a little worse", func(s *Observation) { s.Servers[0].Payoff -= .01 }, 10, "hhhh", [2]float64{1, 1}},
		{"worse", func(s *Observation) { s.Servers[0].Payoff -= .1 }, 10, "hhhh", [2]float64{.35, .4}},
		{"much worse", func(s *Observation) { s.Servers[0].Payoff -= .9 }, 20, "hhhh", [2]float64{.06, .13}},
		{"restarted", func(s *Observation) { s.Servers[0].StartedAt = 100 }, 0, "hhhh", [2]float64{.15, .25}},
		{"restarted, half warm", func(s *Observation) { s.Servers[0].StartedAt = 100 }, 10, "hhhh", [2]float64{.5, .7}},
		{"restarted, warm", func(s *Observation) { s.Servers[0].StartedAt = 100 }, 21, "hhhh", [2]float64{1, 1}},
	} {
		p := New(terms)
		p.Update(90, sight(4))
		s := sight(4)
		c.change(&s)
		for now := 100.0; now <= 100+c.at; now += .5 {
			_, urgent := p.Update(now, s)
			if now == 100 && c.at == 0 && c.name != "nothing" && c.name != "all paused" {
				assert.True(t, urgent, c.name)
			}
			s.Removed = nil
		}
		a := p.AssignmentFor("")
		assert.Equal(t, c.letters, a.letters(), c.name)
		if c.weights0[1] > 0 {
			ratio := float64(a.Servers[0].Weight) / float64(a.Servers[1].Weight)
			assert.True(t, ratio >= c.weights0[0]-.01 && ratio <= c.weights0[1]+.01, "%s: %v", c.name, ratio)
		}
	}
}

func TestZones(t *testing.T) {
	p := New(Settings{PreferLocalZone: true})
	s := sight(4)
	p.Update(1, s)
	priorities := func(zone string) (out []int) {
		for _, s := range p.AssignmentFor(zone).Servers {
			out = append(out, s.Priority)
		}
		return out
	}
	assert.Equal(t, []int{0, 1, 0, 1}, priorities("a"))
	assert.Equal(t, []int{0, 0, 0, 0}, priorities("c"), "none is there")
	s.Servers[0].Paused, s.Servers[2].Draining = true, true
	p.Update(2, s)
	assert.Equal(t, []int{0, 0, 0, 0}, priorities("a"), "none of its own is well")
}

// Danger: when all restart together no share is small enough, and what is too much is dropped at its sender; but only what is known to
// come.
func TestAllCold(t *testing.T) {
	for _, c := range []struct{ load, drop float64 }{{0, 0}, {.5, 0}, {4, 1 - .4*3*.2}, {40, 1 - .4*3*.2/10}} {
		p := New(terms)
		s := sight(4)
		s.Load = c.load
		for i := range s.Servers {
			s.Servers[i].StartedAt = 100
		}
		p.Update(100, s)
		assert.InDelta(t, c.drop, p.AssignmentFor("").Drop, 1e-9, "load %v", c.load)
	}
}

// A server at the threshold goes out and comes back ever more seldom.
func TestFlaps(t *testing.T) {
	p := New(terms)
	s := sight(4)
	p.Update(0, s)
	changes, was := 0, Healthy
	for now := 1.0; now < 120; now += .1 {
		s.Servers[0].Paused = int(now*2)%2 == 0
		p.Update(now, s)
		if h := p.AssignmentFor("").Servers[0].Health; h != was {
			changes, was = changes+1, h
		}
	}
	assert.Less(t, changes, 16, "of 240 turns")
	assert.Greater(t, changes, 6)
}

func TestRemembered(t *testing.T) {
	p := New(terms)
	s := sight(3)
	s.Servers[0].Paused = true
	s.Servers[1].Payoff = .7
	for now := 100.0; now < 110; now++ {
		p.Update(now, s)
	}
	m := p.Snapshot()
	was := p.AssignmentFor("")
	next := func(age float64) Assignment {
		n := New(terms)
		n.Restore(m.At+age, m)
		n.Update(m.At+age, sight(3)) // it knows nothing bad of any
		return n.AssignmentFor("")
	}
	now := next(.5)
	assert.Equal(t, "uhh", now.letters(), "what was paused stays so for a while")
	assert.InDelta(t, was.Servers[1].Weight, now.Servers[1].Weight, 200, "and weights begin where they were")
	now = next(400)
	assert.InDelta(t, now.Servers[1].Weight, now.Servers[2].Weight, 300, "what is old says little")
	now = next(-5)
	assert.Equal(t, "hhh", now.letters(), "of a time to come: not believed")
	empty := New(terms)
	empty.Restore(m.At+1, m)
	empty.Update(m.At+1, Observation{})
	assert.Len(t, empty.AssignmentFor("").Servers, 3, "a list that is empty after a start is doubted")
}

// Two services that hold opposite opinions differ by the stated bound at most: so far may weights jump for one who fails over.
func TestTwoServices(t *testing.T) {
	ratio := func(first, second float64) float64 {
		p, s := New(terms), sight(4)
		s.Servers[0].Payoff, s.Servers[1].Payoff = first, second
		for now := 100.0; now < 200; now++ {
			p.Update(now, s)
		}
		a := p.AssignmentFor("")
		return float64(a.Servers[0].Weight) / float64(a.Servers[1].Weight)
	}
	assert.InDelta(t, mostUneven*mostUneven, ratio(1, 0), .1)
	assert.InDelta(t, 1/(mostUneven*mostUneven), ratio(0, 1), .01)
}

// Whatever is seen: nobody gone or draining is given requests, cold servers get no more than they bear, weights stay within their bounds and
// move no faster than they may, and drains wait for nothing.
func TestProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := New(terms)
		s := sight(rapid.IntRange(1, 6).Draw(t, "servers"))
		now, movedAt := 100.0, -9.0
		weights := map[*told]float64{} // before
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now += rapid.SampledFrom([]float64{.1, .5, 3, 40, -5}).Draw(t, "passes")
			s.Removed, s.Load = nil, rapid.SampledFrom([]float64{0, .3, 3, 50}).Draw(t, "load")
			s.Rate = s.Load * rapid.SampledFrom([]float64{0, 10, 100}).Draw(t, "lookups a second")
			all := s.Servers
			if len(all) > 0 {
				o := &all[rapid.IntRange(0, len(all)-1).Draw(t, "server")]
				switch rapid.IntRange(0, 7).Draw(t, "what") {
				case 0:
					o.Draining = !o.Draining
				case 1:
					o.Paused = !o.Paused
				case 2:
					o.Trial = !o.Trial
				case 3:
					o.Payoff = rapid.Float64Range(0, 1).Draw(t, "payoff")
				case 4:
					o.StartedAt = now
				case 5:
					s.Removed = []string{all[0].Name}
					s.Servers = all[1:]
				case 6: // the list lacks some once
					s.Servers = all[rapid.IntRange(0, len(all)).Draw(t, "lost"):]
				}
			}
			gone := slices.DeleteFunc(slices.Clone(s.Removed), func(name string) bool { return p.told[name] == nil }) // not known any more
			changed, urgent := p.Update(now, s)
			a := p.AssignmentFor("")
			at := p.now
			shown := map[string]Server{}
			given, sum := map[string]float64{}, 0.0
			for _, x := range a.Servers {
				shown[x.Name] = x
				assert.GreaterOrEqual(t, x.Weight, 1)
				if x.Health == Healthy {
					sum += float64(x.Weight)
				}
			}
			for _, x := range a.Servers {
				if x.Health == Healthy {
					given[x.Name] = float64(x.Weight) / sum * (1 - a.Drop)
				}
			}
			for _, name := range gone {
				assert.NotContains(t, shown, name)
				assert.True(t, urgent)
			}
			for _, o := range s.Servers {
				if o.Draining {
					assert.Equal(t, Draining, shown[o.Name].Health)
				}
				if can := p.can(&told{ServerEstimate: o}); can < 1 && p.load > 0 {
					assert.LessOrEqual(t, given[o.Name]*p.load, terms.CrashFactor*can*coldMost*(1+2*coldSlack)+2*p.load/scale,
						"cold %+v", o)
				}
			}
			for _, x := range p.told {
				assert.True(t, x.weight >= trialPart && x.weight <= mostUneven, x.weight)
				if was := weights[x]; was != 0 && was != x.weight && x.weight != trialPart {
					assert.True(t, changed)
					assert.InDelta(t, 0, math.Log2(x.weight/was), 1+1e-9, "by a factor of %v at most", moveMost)
					assert.True(t, p.movedAt == at && at >= movedAt+moveEvery, "%v after %v", at, movedAt)
				}
				weights[x] = x.weight
			}
			movedAt = p.movedAt
			if s.Removed == nil { // what was lost is listed again
				s.Servers = all
			}
		}
	})
}
