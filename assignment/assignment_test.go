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

// observationOf returns an observation of equal, healthy servers, alternately in the zones a and b.
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

// healthLetters returns one letter per server: h for healthy, u for unhealthy, d for draining.
func (a *Assignment) healthLetters() (letters string) {
	for i := range a.Servers {
		letters += a.Servers[i].Health.String()[:1]
	}
	return letters
}

// Checks the assignment of a pool of four servers after an observation that differs from the previous one in the
// estimates of servers, mostly of server 0, or in the list of servers.
func TestAssignmentAfterChange(t *testing.T) {
	for _, c := range []struct {
		name    string
		change  func(o *Observation)
		elapsed float64 // seconds from the change to the checked assignment
		letters string
		ratio   [2]float64 // range of the ratio of server 0's weight to server 1's; zero: not checked
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
			assert.True(t, ratio >= c.ratio[0]-.01 && ratio <= c.ratio[1]+.01, "%s: weight ratio %v", c.name, ratio)
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
	assert.Equal(t, []int{0, 0, 0, 0}, priorities("c"), "zone c has no server")
	observation.Servers[0].Paused, observation.Servers[2].Draining = true, true
	pool.Update(2, observation)
	assert.Equal(t, []int{0, 0, 0, 0}, priorities("a"), "zone a has no healthy server")
}

// If all servers restart together, every one exceeds its slow-start cap, and subscribers must drop the excess. It must
// be computed from the measured load, not from the assumed minimum.
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

// A server that flaps at the threshold of the circuit breaker must change its health less and less often.
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
	assert.Less(t, changes, 16, "out of 240 changes of the circuit breaker")
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
		restored.Update(snapshot.At+age, observationOf(3)) // all are healthy in this observation
		return restored.AssignmentFor("")
	}
	restored := restoredAfter(.5)
	assert.Equal(t, "uhh", restored.healthLetters(), "a paused server stays unhealthy for the rest of its pause")
	assert.InDelta(t, saved.Servers[1].Weight, restored.Servers[1].Weight, 200, "weights are restored")
	restored = restoredAfter(400)
	assert.InDelta(t, restored.Servers[1].Weight, restored.Servers[2].Weight, 300, "old weights count little")
	restored = restoredAfter(-5)
	assert.Equal(t, "hhh", restored.healthLetters(), "a snapshot from the future is ignored")
	empty := New(settings)
	empty.Restore(snapshot.At+1, snapshot)
	empty.Update(snapshot.At+1, Observation{})
	assert.Len(t, empty.AssignmentFor("").Servers, 3, "an empty list after a start is suspect")
}

// The weights of two control planes with opposite estimates may differ by maxWeightRatio squared at most, since they
// jump by that much for a subscriber that fails over from one to the other.
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

// For any observations: no removed or draining server receives requests, servers in slow start stay below the load that
// crashes them, weights stay within their bounds and change by limited steps, and drains take effect at once.
func TestInvariantsHoldForAnyObservations(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := &poolChecker{
			t:           t,
			pool:        New(settings),
			observation: observationOf(rapid.IntRange(1, 6).Draw(t, "servers")),
			now:         100,
			movedAt:     -9,
			weights:     map[*serverState]float64{},
		}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			c.now += rapid.SampledFrom([]float64{.1, .5, 3, 40, -5}).Draw(t, "passes")
			c.observation.Removed = nil
			c.observation.Load = rapid.SampledFrom([]float64{0, .3, 3, 50}).Draw(t, "load")
			c.observation.Rate = c.observation.Load *
				rapid.SampledFrom([]float64{0, 10, 100}).Draw(t, "requests a second")
			all := c.observation.Servers
			if len(all) > 0 {
				c.changeServers()
			}
			c.update()
			if c.observation.Removed == nil { // none was removed: servers missing in this step are listed again in the next
				c.observation.Servers = all
			}
		}
	})
}

// poolChecker checks a pool after each of a series of observations.
type poolChecker struct {
	t           *rapid.T
	pool        *Pool
	observation Observation
	now         float64
	movedAt     float64                  // weightsMovedAt of the pool before the last update
	weights     map[*serverState]float64 // weights before the last update
}

// changeServers changes the estimate of one server, or removes servers from the list.
func (c *poolChecker) changeServers() {
	all := c.observation.Servers
	server := &all[rapid.IntRange(0, len(all)-1).Draw(c.t, "server")]
	switch rapid.IntRange(0, 7).Draw(c.t, "what") {
	case 0:
		server.Draining = !server.Draining
	case 1:
		server.Paused = !server.Paused
	case 2:
		server.Trial = !server.Trial
	case 3:
		server.Payoff = rapid.Float64Range(0, 1).Draw(c.t, "payoff")
	case 4:
		server.StartedAt = c.now
	case 5:
		c.observation.Removed = []string{all[0].Name}
		c.observation.Servers = all[1:]
	case 6: // some servers are missing from the list once
		c.observation.Servers = all[rapid.IntRange(0, len(all)).Draw(c.t, "missing"):]
	}
}

// update updates the pool by the current observation, and checks the resulting assignment.
func (c *poolChecker) update() {
	removed := slices.DeleteFunc(slices.Clone(c.observation.Removed), func(name string) bool {
		return c.pool.servers[name] == nil // the pool removed it in an earlier step
	})
	changed, urgent := c.pool.Update(c.now, c.observation)
	assignment := c.pool.AssignmentFor("")
	assigned := map[string]Server{}
	for _, server := range assignment.Servers {
		assigned[server.Name] = server
		assert.GreaterOrEqual(c.t, server.Weight, 1)
	}
	for _, name := range removed {
		assert.NotContains(c.t, assigned, name)
		assert.True(c.t, urgent)
	}
	c.checkServers(&assignment, assigned)
	c.checkWeights(changed)
}

// checkServers checks that draining servers are assigned as draining, and that servers in slow start do not receive
// more than their margin allows.
func (c *poolChecker) checkServers(assignment *Assignment, assigned map[string]Server) {
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
	load := c.pool.load.value
	for _, estimate := range c.observation.Servers {
		if estimate.Draining {
			assert.Equal(c.t, Draining, assigned[estimate.Name].Health)
		}
		capacity := c.pool.warmCapacity(&serverState{ServerEstimate: estimate})
		if capacity < 1 && load > 0 {
			maxLoad := settings.CrashFactor*capacity*maxSlowStartMargin*(1+2*minCapDecrease) + 2*load/totalWeight
			assert.LessOrEqual(c.t, shares[estimate.Name]*load, maxLoad, "load of a server in slow start: %+v", estimate)
		}
	}
}

// checkWeights checks that weights are within their bounds, and that they change by limited steps and not too often.
func (c *poolChecker) checkWeights(changed bool) {
	now, movedAt := c.pool.now, c.pool.weightsMovedAt
	for _, server := range c.pool.servers {
		weight, previous := server.weight, c.weights[server]
		assert.True(c.t, weight >= trialWeight && weight <= maxWeightRatio, weight)
		if previous != 0 && previous != weight && weight != trialWeight {
			assert.True(c.t, changed)
			assert.InDelta(c.t, 0, math.Log2(weight/previous), 1+1e-9, "step of a weight above %v", maxWeightStep)
			assert.True(c.t, movedAt == now && now >= c.movedAt+weightUpdateInterval,
				"weights changed at %v, and before that at %v", now, c.movedAt)
		}
		c.weights[server] = weight
	}
	c.movedAt = movedAt
}
