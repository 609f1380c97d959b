package balance

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// bank is one proxy under test with a clock of its own.
type bank struct {
	*Balancer
	t     *testing.T
	clock float64
	refs  int
}

// deployment is two proxies' worth of plain figures for a test to bend.
func deployment(tariffs ...Tariff) Deployment {
	if len(tariffs) == 0 {
		tariffs = []Tariff{{Name: "plain"}}
	}
	for i := range tariffs {
		t := &tariffs[i]
		t.Due, t.HardStop, t.Value = 0.3, 1, max(t.Value, 1)
	}
	return Deployment{Seed: 7, Proxies: 2, Tariffs: tariffs, MaxLegs: 3, CallOff: true,
		ColdShare: 0.2, ColdFor: 20, FallMultiple: 3, FallFor: 2, AskEvery: 10}
}

// open starts a proxy with n warm backends, three to a pod, two zones in turn.
func open(t *testing.T, d Deployment, n int) *bank {
	b, err := New(d, 0)
	require.NoError(t, err)
	k := &bank{Balancer: b, t: t}
	k.Listed(0, true, true, backends(n))
	return k
}

func backends(n int) []Backend {
	list := make([]Backend, n)
	for i := range list {
		list[i] = Backend{Index: i, Mark: uint64(i + 1), Zone: i % 2, Pod: i / 3}
	}
	return list
}

// take hands in a lookup and returns it with the steps ordered.
func (k *bank) take(a Arrival) (*Lookup, []Step) {
	k.refs++
	a.Ref = k.refs
	if a.HardStop == 0 {
		a.HardStop = k.clock + 1
	}
	l, o := k.Take(k.clock, a)
	return l, append([]Step(nil), o.Steps...)
}

// draw is where a tariff's lookup would go now, and whether it would go somewhere if there were room.
func (k *bank) draw(tariff int) (*server, bool) {
	return k.pick(&Lookup{b: k.Balancer, row: &k.rows[tariff], heavy: 1, Arrival: Arrival{HardStop: 99, Tariff: tariff}})
}

// hear lets a server's legs end in these ways, a letter each: h honoured, l late, f fault, n no room, c called off.
func (k *bank) hear(s *server, letters string) {
	for _, c := range letters {
		o := map[rune]Outcome{'h': Honoured, 'l': Honoured, 'f': Fault, 'n': NoRoom, 'c': CalledOff}[c]
		latency := map[rune]float64{'h': 0.05, 'l': 0.5}[c]
		k.now = k.clock
		k.learn(&Lookup{b: k.Balancer, row: &k.rows[0], heavy: 1}, &leg{s: s}, o, latency)
	}
}

// sends counts the legs among the steps; answers lists the answers.
func sends(steps []Step) (n int) {
	for _, s := range steps {
		if s.Send {
			n++
		}
	}
	return n
}

func answers(steps []Step) (list []Answer) {
	for _, s := range steps {
		if s.Answer != NoAnswer {
			list = append(list, s.Answer)
		}
	}
	return list
}
