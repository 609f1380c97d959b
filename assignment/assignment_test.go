package assignment

import (
	"fmt"
	"math"
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

var settings = Settings{SlowStartFraction: .2, SlowStartDuration: 20, CrashFactor: 3, CrashDuration: 1}

// observationOf has so many servers, all alike and healthy, in zones a and b in turn.
func observationOf(servers int) Observation {
	var observation Observation
	for i := range servers {
		observation.Servers = append(observation.Servers, ServerEstimate{
			Name:   fmt.Sprint("s", i),
			Addr:   fmt.Sprint("h:", i),
			Zone:   string("ab"[i%2]),
			Payoff: .9,
		})
	}
	return observation
}

// healthLetters is the health of each server, a letter each: h, u or d.
func (a *Assignment) healthLetters() (letters string) {
	for i := range a.Servers {
		letters += a.Servers[i].Health.String()[:1]
	}
	return letters
}

// What happens to server 0 of four, and the assignment at that time and later.
func TestAssignmentAfterChange(t *testing.T) {
	for _, c := range []struct {
		name    string
		change  func(o *Observation)
		elapsed float64 // seconds since the change
		letters string
		ratio   [2]float64 // of server 0's weight to server 1's: between
	}{
		{"nothing", func(*Observation) {}, 0, "hhhh", [2]float64{1, 1}},
		{"drains", func(o *Observation) { o.Servers[0].Draining = true }, 0, "dhhh", [2]float64{}},
		{"paused", func(o *Observation) { o.Servers[0].Paused = true }, 0, "uhhh", [2]float64{}},
		{"on trial", func(o *Observation) { o.Servers[0].Paused, o.Servers[0].Trial = true, true }, 10, "hhhh",
			[2]float64{.1, .13}},
		{"removed", func(o *Observation) { o.Removed, o.Servers = []string{"s0"}, o.Servers[1:] }, 0, "hhh",
			[2]float64{1, 1}},
		{"all removed", func(o *Observation) { o.Removed, o.Servers = []string{"s0", "s1", "s2", "s3"}, nil }, 0, "",
			[2]float64{}},
		{"one missing", func(o *Observation) { o.Servers = o.Servers[1:] }, 0, "hhh", [2]float64{1, 1}},
		{"half missing", func(o *Observation) { o.Servers = o.Servers[2:] }, 29, "hhhh", [2]float64{1, 1}},
		{"half missing for long", func(o *Observation) { o.Servers = o.Servers[2:] }, 31, "hh", [2]float64{1, 1}},
		{"list emptied", func(o *Observation) { o.Servers = nil }, 29, "hhhh", [2]float64{1, 1}},
		{"all paused", func(o *Observation) {
			for i := range o.Servers {
				o.Servers[i].Paused = true
			}
		}, 0, "hhhh", [2]float64{1, 1}},
		{"a little worse", func(o *Observation) { o.Servers[0].Payoff -= .01 }, 10, "hhhh", [2]float64{1, 1}},
		{"worse", func(o *Observation) { o.Servers[0].Payoff -= .1 }, 10, "hhhh", [2]float64{.35, .4}},
		{"much worse", func(o *Observation) { o.Servers[0].Payoff -= .9 }, 20, "hhhh", [2]float64{.06, .13}},
		{"restarted", func(o *Observation) { o.Servers[0].StartedAt = 100 }, 0, "hhhh", [2]float64{.15, .25}},
		{"restarted, half warm", func(o *Observation) { o.Servers[0].StartedAt = 100 }, 10, "hhhh",
			[2]float64{.5, .7}},
		{"restarted, warm", func(o *Observation) { o.Servers[0].StartedAt = 100 }, 21, "hhhh", [2]float64{1, 1}},
	} {
		pool := New(settings)
		pool.Update(90, observationOf(4))
		observation := observationOf(4)
		c.change(&observation)
		for now := 100.0; now <= 100+c.elapsed; now += .5 {
			_, urgent := pool.Update(now, observation)
			if now == 100 && c.elapsed == 0 && c.name != "nothing" && c.name != "all paused" {
				assert.True(t, urgent, c.name)
			}
			observation.Removed = nil
		}
		assignment := pool.AssignmentFor("")
		assert.Equal(t, c.letters, assignment.healthLetters(), c.name)
		if c.ratio[1] > 0 {
			ratio := float64(assignment.Servers[0].Weight) / float64(assignment.Servers[1].Weight)
			assert.True(t, ratio >= c.ratio[0]-.01 && ratio <= c.ratio[1]+.01, "%s: %v", c.name, ratio)
		}
	}
}

func TestLocalZoneIsPreferredWhileItHasHealthyServers(t *testing.T) {
	pool := New(Settings{PreferLocalZone: true})
	observation := observationOf(4)
	pool.Update(1, observation)
	priorities := func(zone string) (priorities []int) {
		for _, server := range pool.AssignmentFor(zone).Servers {
			priorities = append(priorities, server.Priority)
		}
		return priorities
	}
	assert.Equal(t, []int{0, 1, 0, 1}, priorities("a"))
	assert.Equal(t, []int{0, 0, 0, 0}, priorities("c"), "it has no server")
	observation.Servers[0].Paused, observation.Servers[2].Draining = true, true
	pool.Update(2, observation)
	assert.Equal(t, []int{0, 0, 0, 0}, priorities("a"), "it has no healthy server")
}

// When all servers restart together no share is small enough, and subscribers drop what is too much; but only of the
// load that was measured.
func TestExcessLoadIsDroppedWhenAllServersAreInSlowStart(t *testing.T) {
	for _, c := range []struct{ load, drop float64 }{{0, 0}, {.5, 0}, {4, 1 - .4*3*.2}, {40, 1 - .4*3*.2/10}} {
		pool := New(settings)
		observation := observationOf(4)
		observation.Load = c.load
		for i := range observation.Servers {
			observation.Servers[i].StartedAt = 100
		}
		pool.Update(100, observation)
		assert.InDelta(t, c.drop, pool.AssignmentFor("").Drop, 1e-9, "load %v", c.load)
	}
}

// A server at the breaker's threshold is paused and returns ever more seldom.
func TestFlappingIsDamped(t *testing.T) {
	pool := New(settings)
	observation := observationOf(4)
	pool.Update(0, observation)
	changes, previous := 0, Healthy
	for now := 1.0; now < 120; now += .1 {
		observation.Servers[0].Paused = int(now*2)%2 == 0
		pool.Update(now, observation)
		if health := pool.AssignmentFor("").Servers[0].Health; health != previous {
			changes, previous = changes+1, health
		}
	}
	assert.Less(t, changes, 16, "of 240 changes of the breaker")
	assert.Greater(t, changes, 6)
}

func TestSnapshotIsRestored(t *testing.T) {
	pool := New(settings)
	observation := observationOf(3)
	observation.Servers[0].Paused = true
	observation.Servers[1].Payoff = .7
	for now := 100.0; now < 110; now++ {
		pool.Update(now, observation)
	}
	snapshot := pool.Snapshot()
	saved := pool.AssignmentFor("")
	restoredAfter := func(age float64) Assignment {
		restored := New(settings)
		restored.Restore(snapshot.At+age, snapshot)
		restored.Update(snapshot.At+age, observationOf(3)) // in which all are healthy
		return restored.AssignmentFor("")
	}
	restored := restoredAfter(.5)
	assert.Equal(t, "uhh", restored.healthLetters(), "what was paused stays so for a while")
	assert.InDelta(t, saved.Servers[1].Weight, restored.Servers[1].Weight, 200, "and weights begin where they were")
	restored = restoredAfter(400)
	assert.InDelta(t, restored.Servers[1].Weight, restored.Servers[2].Weight, 300, "an old weight counts little")
	restored = restoredAfter(-5)
	assert.Equal(t, "hhh", restored.healthLetters(), "a snapshot from the future is ignored")
	empty := New(settings)
	empty.Restore(snapshot.At+1, snapshot)
	empty.Update(snapshot.At+1, Observation{})
	assert.Len(t, empty.AssignmentFor("").Servers, 3, "a list that is empty after a start is doubted")
}

// Two control planes with opposite estimates differ by the stated bound at most: by so much may the weights of a
// subscriber jump that fails over from one to the other.
func TestWeightsOfTwoControlPlanesDifferByABound(t *testing.T) {
	ratio := func(first, second float64) float64 {
		pool, observation := New(settings), observationOf(4)
		observation.Servers[0].Payoff, observation.Servers[1].Payoff = first, second
		for now := 100.0; now < 200; now++ {
			pool.Update(now, observation)
		}
		assignment := pool.AssignmentFor("")
		return float64(assignment.Servers[0].Weight) / float64(assignment.Servers[1].Weight)
	}
	assert.InDelta(t, maxWeightRatio*maxWeightRatio, ratio(1, 0), .1)
	assert.InDelta(t, 1/(maxWeightRatio*maxWeightRatio), ratio(0, 1), .01)
}

// Whatever is observed: no removed or draining server receives requests, servers in slow start receive no more than
// they can take, weights stay within their bounds and change no faster than they may, and drains wait for nothing.
func TestInvariantsHoldForAnyObservations(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := &history{
			t:           t,
			pool:        New(settings),
			observation: observationOf(rapid.IntRange(1, 6).Draw(t, "servers")),
			now:         100,
			movedAt:     -9,
			weights:     map[*serverState]float64{},
		}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			h.now += rapid.SampledFrom([]float64{.1, .5, 3, 40, -5}).Draw(t, "passes")
			h.observation.Removed = nil
			h.observation.Load = rapid.SampledFrom([]float64{0, .3, 3, 50}).Draw(t, "load")
			h.observation.Rate = h.observation.Load *
				rapid.SampledFrom([]float64{0, 10, 100}).Draw(t, "requests a second")
			all := h.observation.Servers
			if len(all) > 0 {
				h.changeServers()
			}
			h.update()
			if h.observation.Removed == nil { // what was missing is listed again
				h.observation.Servers = all
			}
		}
	})
}

// history is a pool with what was observed so far.
type history struct {
	t           *rapid.T
	pool        *Pool
	observation Observation
	now         float64
	movedAt     float64                  // when weights moved before the last update
	weights     map[*serverState]float64 // before the last update
}

// changeServers changes one server or the list.
func (h *history) changeServers() {
	all := h.observation.Servers
	server := &all[rapid.IntRange(0, len(all)-1).Draw(h.t, "server")]
	switch rapid.IntRange(0, 7).Draw(h.t, "what") {
	case 0:
		server.Draining = !server.Draining
	case 1:
		server.Paused = !server.Paused
	case 2:
		server.Trial = !server.Trial
	case 3:
		server.Payoff = rapid.Float64Range(0, 1).Draw(h.t, "payoff")
	case 4:
		server.StartedAt = h.now
	case 5:
		h.observation.Removed = []string{all[0].Name}
		h.observation.Servers = all[1:]
	case 6: // the list lacks some once
		h.observation.Servers = all[rapid.IntRange(0, len(all)).Draw(h.t, "missing"):]
	}
}

// update updates the pool and checks the result.
func (h *history) update() {
	removed := slices.DeleteFunc(slices.Clone(h.observation.Removed), func(name string) bool {
		return h.pool.servers[name] == nil // not known any more
	})
	changed, urgent := h.pool.Update(h.now, h.observation)
	assignment := h.pool.AssignmentFor("")
	assigned := map[string]Server{}
	for _, server := range assignment.Servers {
		assigned[server.Name] = server
		assert.GreaterOrEqual(h.t, server.Weight, 1)
	}
	for _, name := range removed {
		assert.NotContains(h.t, assigned, name)
		assert.True(h.t, urgent)
	}
	h.checkServers(&assignment, assigned)
	h.checkWeights(changed)
}

// checkServers checks that draining servers are assigned as such, and that those in slow start are not sent too much.
func (h *history) checkServers(assignment *Assignment, assigned map[string]Server) {
	sum := 0.0
	for _, server := range assignment.Servers {
		if server.Health == Healthy {
			sum += float64(server.Weight)
		}
	}
	shares := map[string]float64{}
	for _, server := range assignment.Servers {
		if server.Health == Healthy {
			shares[server.Name] = float64(server.Weight) / sum * (1 - assignment.Drop)
		}
	}
	load := h.pool.load.value
	for _, estimate := range h.observation.Servers {
		if estimate.Draining {
			assert.Equal(h.t, Draining, assigned[estimate.Name].Health)
		}
		capacity := h.pool.warmCapacity(&serverState{ServerEstimate: estimate})
		if capacity < 1 && load > 0 {
			most := settings.CrashFactor*capacity*maxSlowStartMargin*(1+2*minCapDecrease) + 2*load/totalWeight
			assert.LessOrEqual(h.t, shares[estimate.Name]*load, most, "in slow start %+v", estimate)
		}
	}
}

// checkWeights checks the weights' bounds and how fast they change.
func (h *history) checkWeights(changed bool) {
	now, movedAt := h.pool.now, h.pool.weightsMovedAt
	for _, server := range h.pool.servers {
		weight, previous := server.weight, h.weights[server]
		assert.True(h.t, weight >= trialWeight && weight <= maxWeightRatio, weight)
		if previous != 0 && previous != weight && weight != trialWeight {
			assert.True(h.t, changed)
			assert.InDelta(h.t, 0, math.Log2(weight/previous), 1+1e-9, "by a factor of %v at most", maxWeightStep)
			assert.True(h.t, movedAt == now && now >= h.movedAt+weightUpdateInterval, "%v after %v", now, h.movedAt)
		}
		h.weights[server] = weight
	}
	h.movedAt = movedAt
}
