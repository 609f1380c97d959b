package balance

import (
	"math"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// apart is a bank of four in which each client process has a proxy of its own, which tell one another.
func apart() Deployment {
	d := deployment()
	d.Proxies, d.Self, d.Apart, d.Peers, d.PeerPrice, d.ConnPrice = 4, 1, true, true, 0.001, 0.03
	return d
}

func note(sights ...Sight) Note { return Note{Rate: 1, Sights: sights} }

// Where neither notes nor probes are allowed, nothing of the new shape is ever ordered, and equal calls are answered by equal
// orders, whatever else a deployment tells.
func TestOldShapeDecidesAsBefore(t *testing.T) {
	play := func(d Deployment) (all []Orders) {
		k := open(t, d, 6)
		for i := range 400 {
			k.clock += 0.02
			l, o := k.Take(k.clock, Arrival{Ref: i, Customer: -1, HardStop: k.clock + 1})
			all = append(all, Orders{Steps: append([]Step(nil), o.Steps...), Subscribe: o.Subscribe, Wake: o.Wake})
			require.Empty(t, o.Probe)
			require.Empty(t, o.HangUp)
			require.Nil(t, o.Tell)
			if len(l.legs) > 0 {
				o = l.Ended(k.clock, 0, Outcome(i%3), 0.05, i%3 == 0)
				require.Empty(t, o.HangUp)
			}
			k.Heard(k.clock, 0, note(Sight{Mark: 1, Value: 0}))
		}
		return all
	}
	told := deployment()
	told.Self, told.Zone, told.PeerPrice, told.ProbePrice, told.ConnPrice = 1, 1, 0.01, 0.05, 0.03
	assert.Equal(t, play(deployment()), play(told))
}

func TestWhatAPeerTells(t *testing.T) {
	bad := Sight{Mark: 1, Value: 0}
	for _, c := range []struct {
		name  string
		from  int
		times int
		note  Note
		worse bool
	}{
		{"of a backend that fails", 2, 1, note(bad), true},
		{"from itself", 1, 9, note(bad), false},
		{"from outside the bank", 4, 9, note(bad), false},
		{"from no number", -1, 9, note(bad), false},
		{"too old", 2, 9, note(Sight{Mark: 1, Age: sightFor}), false},
		{"of a backend that is not listed", 2, 9, note(Sight{Mark: 77}), false},
		{"of a tariff there is not", 2, 9, note(Sight{Mark: 1, Tariff: 9}), false},
		{"nothing", 2, 9, Note{}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			k := open(t, apart(), 3)
			k.clock = 100
			for range c.times {
				k.Heard(k.clock, c.from, c.note)
			}
			assert.Equal(t, c.worse, k.payNow(k.servers[0], 0) < k.payNow(k.servers[1], 0))
			assert.False(t, k.servers[0].paused)
		})
	}
}

func TestNothingIsHeardOfABackendBeforeItsRestart(t *testing.T) {
	k := open(t, apart(), 3)
	k.Listed(99, false, false, []Backend{{Index: 0, Mark: 1, UpSince: 99}})
	k.clock = 100
	for _, c := range []struct {
		age   float64
		worse bool
	}{{1.5, false}, {0.5, true}} {
		k.Heard(k.clock, 2, note(Sight{Mark: 1, Age: c.age, Value: 0}))
		assert.Equal(t, c.worse, k.payNow(k.servers[0], 0) < k.payNow(k.servers[1], 0))
	}
}

// A number of proxies that is far from the true one, and peers that tell absurd rates, bend a proxy's part within bounds.
func TestPartsAreBounded(t *testing.T) {
	for _, rate := range []float64{0, 1e-9, 4, 4095} {
		k := open(t, apart(), 3)
		for range 100 {
			k.clock += 0.1
			k.Heard(k.clock, 2, Note{Rate: rate})
			k.take(Arrival{})
		}
		assert.LessOrEqual(t, k.uneven(), mostUneven)
		assert.GreaterOrEqual(t, k.uneven(), 1/mostUneven)
	}
}

func TestWhatComesRoundCountsOnce(t *testing.T) {
	k := open(t, apart(), 3)
	k.clock = 100
	k.Heard(k.clock, 2, note(Sight{Mark: 1, Value: 0}))
	once := k.payNow(k.servers[0], 0)
	for range 50 { // the same, told on: its age grows by the way at least
		k.clock += 0.01
		k.Heard(k.clock, 3, note(Sight{Mark: 1, Age: k.clock - 100, Value: 0}))
	}
	assert.GreaterOrEqual(t, k.payNow(k.servers[0], 0), once, "forgotten a little, and counted no second time")
}

// A peer that tells wrong things of every backend, all the time, costs less than the draw tells apart: own results win.
func TestAPeerThatLies(t *testing.T) {
	k := open(t, apart(), 3)
	for range 200 {
		k.clock += 0.1
		k.hear(k.servers[0], "hhh")
		k.hear(k.servers[1], "fff")
		for mark := range uint32(3) {
			value := 0.0
			if mark == 1 { // of the one that fails
				value = 1
			}
			k.Heard(k.clock, 2, note(Sight{Mark: mark + 1, Value: value}))
		}
	}
	assert.Greater(t, k.payNow(k.servers[0], 0), k.payNow(k.servers[1], 0)+3*temperature)
	assert.False(t, k.servers[0].paused, "nobody's word pauses a backend")
	assert.True(t, k.servers[1].paused, "nor readmits one")
}

func TestNotesGoToOthersAndTellWhatWasSeen(t *testing.T) {
	k := open(t, apart(), 3)
	to := map[int]int{}
	for range 300 {
		k.clock += 0.1
		l, o := k.Take(k.clock, Arrival{Ref: k.refs, HardStop: k.clock + 1})
		if o.Tell != nil {
			to[o.Peer]++
			assert.InDelta(t, 10, o.Tell.Rate, 1)
			for i := range o.Tell.Sights {
				s := o.Tell.Sights[i]
				assert.Less(t, s.Age, sightFor)
				assert.True(t, i == 0 || s.Age >= o.Tell.Sights[i-1].Age, "the newest first")
			}
		}
		if len(l.legs) > 0 {
			l.Ended(k.clock, 0, Honoured, 0.05, true)
		}
	}
	assert.Len(t, to, 3)
	assert.Zero(t, to[1], "not to itself")
	alone := apart()
	alone.Proxies, alone.Self = 1, 0
	_, o := open(t, alone, 3).Take(0, Arrival{HardStop: 1})
	assert.Nil(t, o.Tell, "alone in its bank")
}

func TestBusyProxyKeepsToMoreServers(t *testing.T) {
	d := apart()
	d.Proxies = 40
	meet := func(rate float64) int {
		k := open(t, d, 40)
		met := map[int]bool{}
		for range 300 {
			k.clock += 0.25
			k.Heard(k.clock, 2, Note{Rate: rate})
			l, steps := k.take(Arrival{})
			for _, s := range steps {
				if s.Send {
					met[s.Backend] = true
					l.Ended(k.clock, 0, Honoured, 0.05, true)
				}
			}
		}
		return len(met)
	}
	assert.Greater(t, meet(0.5), 2*meet(20), "peers' lookups a second; its own are four")
}

func TestAnotherLocationIsWorse(t *testing.T) {
	d := apart()
	d.Zone, d.Proxies, d.Self = 1, 1, 0
	k := open(t, d, 8) // two locations in turn
	here := 0
	for range 400 {
		s, _ := k.pick(&Lookup{b: k.Balancer, row: &k.rows[0], heavy: 1, Arrival: Arrival{HardStop: 99}})
		here += s.Zone
	}
	assert.InDelta(t, 400/(1+math.Exp(-farther/temperature)), here, 40)
}

func TestIdleConnectionsAreClosed(t *testing.T) {
	for _, price := range []float64{0, 0.03} {
		d := apart()
		d.ConnPrice = price
		k := open(t, d, 1)
		l, _ := k.take(Arrival{})
		k.clock = 0.1
		l.Ended(k.clock, 0, Honoured, 0.1, true)
		closed := []float64(nil)
		for k.clock < 4 {
			k.clock += 0.05
			if o := k.Balancer.Wake(k.clock); len(o.HangUp) > 0 {
				assert.Equal(t, []int{0}, o.HangUp)
				closed = append(closed, k.clock)
			}
		}
		if price == 0 {
			assert.Empty(t, closed, "kept where connections cost nothing")
			continue
		}
		require.Len(t, closed, 1)
		assert.InDelta(t, 0.1+idleFor, closed[0], 0.06)
	}
}

// probing is one proxy whose backends tell their load.
func probing() Deployment {
	d := deployment()
	d.Proxies, d.Apart, d.Probes, d.ProbePrice = 1, true, true, 0.002
	return d
}

func TestToldLoadSteersTheDraw(t *testing.T) {
	k := open(t, probing(), 4)
	k.clock = 1
	to := map[int]int{}
	for range 200 {
		for i := range 3 {
			k.Probed(k.clock, i, true, Report{Held: 2, Busy: 0.9})
		}
		k.Probed(k.clock, 3, true, Report{Held: 0, Busy: 0.1})
		s, _ := k.pick(&Lookup{b: k.Balancer, row: &k.rows[0], heavy: 1, Arrival: Arrival{HardStop: 99}})
		require.NotNil(t, s)
		to[s.Index]++
	}
	assert.Greater(t, to[3], 150, "the idle one")
	for i := range 4 {
		k.Probed(k.clock, i, true, Report{Held: 900, Busy: 1})
	}
	s, full := k.pick(&Lookup{b: k.Balancer, row: &k.rows[0], heavy: 1, Arrival: Arrival{HardStop: 99}})
	assert.Nil(t, s, "all hold more than they bear")
	assert.True(t, full)
	k.clock += sightFor + 0.1
	k.Wake(k.clock)
	s, _ = k.pick(&Lookup{b: k.Balancer, row: &k.rows[0], heavy: 1, Arrival: Arrival{HardStop: 99}})
	assert.NotNil(t, s, "no report for long: this proxy's own legs count again")
}

func TestProbesThatTellNothing(t *testing.T) {
	for _, c := range []struct {
		name    string
		backend int
		ok      bool
		r       Report
	}{
		{"failed", 0, false, Report{Held: 5, Busy: 1}},
		{"without report", 0, true, Report{Held: -1, Busy: -1}},
		{"of a backend that has gone", 1, true, Report{Held: 5}},
		{"of a number that is nobody's", 50, true, Report{Held: 5}},
	} {
		t.Run(c.name, func(t *testing.T) {
			k := open(t, probing(), 2)
			k.Listed(0, false, false, []Backend{{Index: 1, Mark: 2, State: Gone}})
			k.Probed(1, c.backend, c.ok, c.r)
			assert.False(t, k.loads())
			assert.False(t, k.servers[0].paused)
		})
	}
	k := open(t, probing(), 0)
	_, o := k.Take(0, Arrival{HardStop: 1})
	assert.Empty(t, o.Probe, "nothing is listed")
	for range 100 {
		k.Take(0, Arrival{HardStop: 1})
	}
	k.Listed(0, true, false, backends(2))
	_, o = k.Take(0, Arrival{HardStop: 1})
	assert.LessOrEqual(t, len(o.Probe), int(mostAsked), "no probes saved up while there was no list")
	k = open(t, probing(), 2)
	k.Listed(0, false, false, []Backend{{Index: 0, Mark: 1, State: Draining}})
	for range 50 {
		_, o := k.Take(0, Arrival{HardStop: 1})
		for _, i := range o.Probe {
			assert.Equal(t, 1, i, "one that drains is not asked")
		}
	}
}

func TestCoresOfAModel(t *testing.T) {
	k := open(t, probing(), 2)
	for range 200 {
		k.Probed(1, 0, true, Report{Held: 1.5, Busy: 0.5})
	}
	assert.InDelta(t, 3, k.servers[1].cores(), 0.01, "alike for its like")
}
