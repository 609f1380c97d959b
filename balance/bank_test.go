package balance

import (
	"math"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// apart is a fleet of four in which each client process has a proxy of its own, which tell one another.
func apart() Deployment {
	d := deployment()
	d.Proxies, d.Self, d.Sidecar, d.Gossip, d.GossipCost, d.ConnectionCost = 4, 1, true, true, 0.001, 0.03
	return d
}

// probing is one proxy whose servers tell their load.
func probing() Deployment {
	d := deployment()
	d.Proxies, d.Sidecar, d.HealthChecks, d.HealthCheckCost = 1, true, true, 0.002
	return d
}

// crowd has so many attempts out at each server.
func (k *bank) crowd(out int) {
	for _, s := range k.servers {
		s.breaker.inFlight = out
		k.concurrency.inFlight += out
	}
}

func note(sights ...Observation) GossipMessage { return GossipMessage{Rate: 1, Observations: sights} }

// serve has the proxy take a request, hands its orders to look, and has its attempt, if any, successful.
func (k *bank) serve(look func(*Request, *Actions)) {
	k.clock += 0.1
	l, o := k.RequestArrived(k.clock, RequestInfo{Deadline: k.clock + 1})
	look(l, o)
	if len(l.attempts) > 0 {
		l.AttemptEnded(k.clock, 0, Succeeded, 0.05, true)
	}
}

// Where neither notes nor probes are allowed, nothing of the new shape is ever ordered, and equal calls are answered
// by equal orders, whatever else a deployment tells and whatever peers say.
func TestOldShapeOrdersNothingNew(t *testing.T) {
	play := func(d Deployment) (all [][]RequestAction) {
		k := open(t, d, 6)
		for range 300 {
			k.serve(func(_ *Request, o *Actions) {
				all = append(all, append([]RequestAction(nil), o.Requests...))
				require.Empty(t, append(o.HealthChecks, o.CloseIdle...))
				require.Nil(t, o.Gossip)
			})
			require.Empty(t, k.Balancer.TimerFired(k.clock).CloseIdle)
			k.GossipReceived(k.clock, 0, note(Observation{NameHash: 1, Value: 0}))
		}
		return all
	}
	told := deployment()
	told.Self, told.Zone, told.GossipCost, told.HealthCheckCost, told.ConnectionCost = 1, 1, 0.01, 0.05, 0.03
	told.HandshakeCost, told.ServerIdleTimeout = 0.12, 10
	assert.Equal(t, play(deployment()), play(told))
}

func TestWhatAPeerTells(t *testing.T) {
	bad := note(Observation{NameHash: 1, Value: 0})
	for _, c := range []struct {
		name  string
		from  int
		note  GossipMessage
		worse int
	}{ // worse: the server believed to be so by it; -1: none
		{"of a backend that fails", 2, bad, 0},
		{"from itself", 1, bad, -1}, {"from outside the bank", 4, bad, -1}, {"from no number", -1, bad, -1}, {"nothing", 2, GossipMessage{}, -1},
		{"too old", 2, note(Observation{NameHash: 1, Age: observationTimeout}), -1},
		{"of a backend that is not listed", 2, note(Observation{NameHash: 77}), -1},
		{"of a tariff there is not", 2, note(Observation{NameHash: 1, Class: 9}), -1},
		{"of a backend before its restart", 2, note(Observation{NameHash: 3, Age: 1.5}), -1},
		{"of a backend since its restart", 2, note(Observation{NameHash: 3, Age: 0.5}), 2},
	} {
		k := open(t, apart(), 3)
		k.EndpointsUpdated(99, false, false, []Endpoint{{Index: 2, NameHash: 3, StartedAt: 99}})
		k.GossipReceived(100, c.from, c.note)
		once := k.payoffOf(k.servers[0], 0)
		for i := range 9 * len(c.note.Observations) { // the same, told on: its age grows by the way at least
			c.note.Observations[0].Age += 0.01
			k.GossipReceived(100+0.01*float64(i+1), c.from, c.note)
		}
		for i, s := range k.servers {
			assert.Equal(t, i == c.worse, k.payoffOf(s, 0) < k.payoffOf(k.servers[1], 0), "%s: %d", c.name, i)
			assert.False(t, s.breaker.paused, c.name)
		}
		assert.GreaterOrEqual(t, k.payoffOf(k.servers[0], 0), once, "%s: counted no second time", c.name)
	}
}

// A peer that tells wrong things of every server, all the time, costs less than the draw tells apart: own results win.
func TestAPeerThatLies(t *testing.T) {
	k := open(t, apart(), 3)
	for range 200 {
		k.clock += 0.1
		k.hear(k.servers[0], "hhh")
		k.hear(k.servers[1], "fff")
		k.GossipReceived(k.clock, 2, note(Observation{NameHash: 1, Value: 0}, Observation{NameHash: 2, Value: 1}, Observation{NameHash: 3, Value: 0}))
	}
	assert.Greater(t, k.payoffOf(k.servers[0], 0), k.payoffOf(k.servers[1], 0)+3*temperature)
	assert.False(t, k.servers[0].breaker.paused, "nobody's word pauses a backend")
	assert.True(t, k.servers[1].breaker.paused, "nor readmits one")
}

// Danger: rule 4 rests on nobody's word. Absurd rates bend a proxy's part within bounds, and its slow-start budgets
// not at all.
func TestPartsAreBounded(t *testing.T) {
	cold := map[int]bool{}
	for _, rate := range []float64{0, 1e-9, 10, 4095} {
		k := open(t, apart(), 3)
		for range 100 {
			k.GossipReceived(k.clock, 2, GossipMessage{Rate: rate})
			k.serve(func(*Request, *Actions) {})
		}
		assert.LessOrEqual(t, k.trafficMultiple(), maxTrafficMultiple)
		assert.GreaterOrEqual(t, k.trafficMultiple(), 1/maxTrafficMultiple)
		k.random, k.traffic.interval, k.selection.admitted = 1, 0.1, 3
		s, sent := k.newServer(0, 0), 0
		for s.StartedAt = k.now; k.now < s.StartedAt+10; k.now += 0.02 {
			if k.takeSlowStartBudget(&Request{class: &classState{Class: k.classes[0].Class, baseLatency: 0.05}}, s) {
				sent++
			}
		}
		assert.Positive(t, sent)
		cold[sent] = true
	}
	assert.Len(t, cold, 1, "as many, whatever peers told: %v", cold)
}

func TestNotesGoToOthersAndTellWhatWasSeen(t *testing.T) {
	k := open(t, apart(), 3)
	to := map[int]int{}
	for range 300 {
		k.serve(func(_ *Request, o *Actions) {
			require.NotNil(t, o.Gossip, "at this price")
			to[o.GossipPeer]++
			assert.InDelta(t, 10, o.Gossip.Rate, 1)
			for i, s := range o.Gossip.Observations {
				assert.Less(t, s.Age, observationTimeout)
				assert.True(t, i == 0 || s.Age >= o.Gossip.Observations[i-1].Age, "the newest first")
			}
		})
	}
	assert.Len(t, to, 3)
	assert.Zero(t, to[1], "not to itself")
	k.deployment.Proxies, k.deployment.Self = 1, 0
	k.serve(func(_ *Request, o *Actions) { assert.Nil(t, o.Gossip, "alone in its bank") })
}

// A server not heard starts with attempts by its size where peers tell what they see there; a full answer then moves
// what a proxy of many may have out in all, not the one limit that holds nothing back.
func TestLimitsWherePeersTell(t *testing.T) {
	d := apart()
	d.Proxies = 40
	k := open(t, d, 0)
	for size, attempts := range map[float64]float64{2: 2 * initialLimitPerCore, 6: 6 * initialLimitPerCore, 0: initialLimit} {
		assert.InDelta(t, attempts/40, k.newServer(0, size).limit.value, 1e-9)
	}
	// danger: a server that rejects early, or is slow by its own nature, would be left idle by what its attempts tell
	k = open(t, d, 0)
	k.EndpointsUpdated(0, true, false, []Endpoint{{Index: 0, NameHash: 1, Cores: 2}, {Index: 1, NameHash: 2}})
	k.selection.admitted = 2
	for _, s := range k.servers {
		k.hear(s, strings.Repeat("nl", 200))
	}
	assert.InDelta(t, 2*initialLimitPerCore/40, k.servers[0].limit.value, 1e-9, "never under what its cores bear")
	assert.InDelta(t, minLimit/40, k.servers[1].limit.value, 1e-9, "no size told: down to the least")
	k = open(t, d, 10)
	for _, s := range k.servers {
		k.hear(s, strings.Repeat("h", 40)) // all known well
	}
	for _, s := range k.servers {
		s.limit.value = 0.2
	}
	k.selection.admitted = 10
	k.hear(k.servers[0], "nnnnnnnnnn")
	one, others := k.servers[0].limit.value, k.servers[9].limit.value
	assert.InDelta(t, 2-0.2*(1-math.Pow(gossipRejectionCut, 10)), one+9*others, 0.02, "as much as if it had been that one limit")
	assert.Less(t, others, 0.198)
}

// Danger: in a crowd every server refuses, and payoffs would tell of little else.
func TestWhatALegTurnedAwayIsWorth(t *testing.T) {
	for _, c := range []struct {
		warm, peers bool
		key         uint64
		worth       float64
	}{{true, true, 5, rejectedKeyPayoff}, {true, true, 0, 0}, {false, true, 5, 0}, {true, false, 5, 0}} {
		d := apart()
		d.CacheAffinity, d.Gossip = c.warm, c.peers
		k := open(t, d, 2)
		l := &Request{balancer: k.Balancer, class: &k.classes[0], relativeWork: 1, RequestInfo: RequestInfo{Key: c.key}}
		for range 200 {
			k.recordOutcome(l, &attempt{server: k.servers[0]}, ServerRejected, 0)
		}
		assert.InDelta(t, c.worth, k.payoffOf(k.servers[0], 0), 0.05, "%v", c)
	}
}

func TestBusyProxyKeepsToMoreServers(t *testing.T) {
	d := apart()
	d.Proxies = 40
	meet := func(rate float64) int {
		k := open(t, d, 40)
		met := map[*server]bool{}
		for range 300 {
			k.GossipReceived(k.clock, 2, GossipMessage{Rate: rate})
			k.serve(func(l *Request, _ *Actions) {
				for i := range l.attempts {
					met[l.attempts[i].server] = true
				}
			})
		}
		return len(met)
	}
	assert.Greater(t, meet(1.25), 2*meet(50), "peers' lookups a second; its own are ten")
}

func TestAnotherLocationIsWorse(t *testing.T) {
	const paid = zonePenalty / temperature
	for _, c := range []struct {
		apart, peers bool
		zone, out    int     // zone -1: not told; out: attempts at each server, of two that it bears
		cost         float64 // in the draw; danger: with little room left, servers elsewhere would stand idle
	}{{true, true, 1, 0, paid + zoneCost}, {false, true, 1, 0, paid + zoneCost}, {false, true, 1, 1, paid}, {false, true, -1, 0, 0},
		{false, false, 1, 0, 0}} {
		d, here := apart(), 0
		d.Sidecar, d.Gossip, d.Zone, d.Proxies, d.Self = c.apart, c.peers, c.zone, 1, 0
		k := open(t, d, 8) // two locations in turn
		k.crowd(c.out)
		for range 400 {
			s, _ := k.draw(0)
			here += s.Zone
		}
		assert.InDelta(t, 400/(1+math.Exp(-c.cost)), here, 40, "%v", c)
	}
}

// A connection that would have to be opened costs a server in the draw, as far as opening has a price and there is
// room.
func TestOpeningCosts(t *testing.T) {
	play := func(price, idle float64, out int) (all []int) {
		d := apart()
		d.Zone, d.Proxies, d.Self, d.HandshakeCost, d.ServerIdleTimeout = -1, 1, 0, price, idle
		k := open(t, d, 8)
		k.begin(9)
		k.servers[0].lastUsed = 5
		k.crowd(out)
		for range 400 {
			s, _ := k.draw(0)
			all = append(all, s.Index)
		}
		return all
	}
	first := func(list []int) (n int) {
		for _, i := range list {
			if i == 0 {
				n++
			}
		}
		return n
	}
	assert.Equal(t, play(0, 0, 0), play(0, 10, 0), "where it costs nothing, orders are as ever")
	even, cost := 400.0/8, math.Exp(0.12*connectCost)
	assert.InDelta(t, 400*cost/(cost+7), first(play(0.12, 10, 0)), 40, "the open one, by what opening costs")
	assert.InDelta(t, even, first(play(0.12, 10, 1)), 25, "no room to choose: as ever")
	assert.InDelta(t, even, first(play(0.12, 3, 0)), 25, "closed for lying idle: as the others")
}

func TestIdleConnectionsAreClosed(t *testing.T) {
	for _, c := range []struct {
		apart, peers bool
		price        float64
		times        int
	}{{true, true, 0.03, 1}, {true, false, 0.03, 1}, {false, true, 0.03, 1}, {false, false, 0.03, 0}, {true, true, 0, 0}} {
		k, closed := open(t, apart(), 1), 0
		k.deployment.Sidecar, k.deployment.Gossip, k.deployment.ConnectionCost = c.apart, c.peers, c.price
		k.serve(func(*Request, *Actions) {})
		for ended := k.clock; k.clock < ended+2*maxIdleDuration; k.clock += 0.05 {
			if o := k.Balancer.TimerFired(k.clock); len(o.CloseIdle) > 0 {
				assert.Equal(t, []int{0}, o.CloseIdle)
				assert.InDelta(t, ended+maxIdleDuration, k.clock, 0.06)
				closed++
			}
		}
		assert.Equal(t, c.times, closed, "%v", c)
	}
}

func TestToldLoadSteersTheDraw(t *testing.T) {
	k, to := open(t, probing(), 4), map[*server]int{}
	tell := func(reports ...LoadReport) (*server, bool) {
		for i, r := range reports {
			k.HealthChecked(1, i, true, r)
		}
		return k.draw(0)
	}
	for range 200 {
		s, _ := tell(LoadReport{2, 0.9}, LoadReport{2, 0.9}, LoadReport{2, 0.9}, LoadReport{0, 0.1})
		to[s]++
	}
	assert.Greater(t, to[k.servers[3]], 150, "the idle one")
	s, full := tell(LoadReport{900, 1}, LoadReport{900, 1}, LoadReport{900, 1}, LoadReport{900, 1})
	assert.Nil(t, s, "all hold more than they bear")
	assert.True(t, full)
	k.TimerFired(1 + loadReportTimeout + 0.1)
	s, _ = k.draw(0)
	assert.NotNil(t, s, "no report for long: this proxy's own legs count again")
	k = open(t, probing(), 2)
	for range 200 {
		k.HealthChecked(9, 0, true, LoadReport{InFlight: 1.5, Utilization: 0.5})
	}
	assert.InDelta(t, 3, k.servers[1].model.coresOrOne(), 0.01, "alike for its like")
}

func TestWhoIsProbedAndWhatTellsNothing(t *testing.T) {
	k := open(t, probing(), 0)
	asked := func() (list []int) {
		k.serve(func(_ *Request, o *Actions) { list = append(list, o.HealthChecks...) })
		return list
	}
	for range 100 {
		assert.Empty(t, asked(), "nothing is listed")
	}
	k.EndpointsUpdated(k.clock, true, false, backends(2))
	assert.LessOrEqual(t, len(asked()), int(maxHealthChecksPerRequest), "no probes saved up while there was no list")
	k.EndpointsUpdated(k.clock, false, false, []Endpoint{{Index: 0, NameHash: 1, State: Draining}})
	for range 50 {
		assert.NotContains(t, asked(), 0, "one that drains is not asked")
	}
	k.EndpointsUpdated(k.clock, false, false, []Endpoint{{Index: 1, NameHash: 2, State: Removed}})
	k.HealthChecked(k.clock, 0, false, LoadReport{InFlight: 5, Utilization: 1}) // it failed
	k.HealthChecked(k.clock, 0, true, LoadReport{InFlight: -1, Utilization: -1})
	k.HealthChecked(k.clock, 1, true, LoadReport{InFlight: 5})  // the server has gone
	k.HealthChecked(k.clock, 50, true, LoadReport{InFlight: 5}) // nobody's number
	assert.False(t, k.loadsKnown())
	assert.False(t, k.servers[0].breaker.paused)
}
