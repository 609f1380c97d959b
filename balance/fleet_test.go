package balance

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/assert"
)

// fleet is many balancers before the same servers, the first of which starts anew, cold, at restartAt. Servers take no
// notice of one another's load: only what is sent to the cold one is counted.
type fleet struct {
	now            float64
	events         eventQueue
	rand           *rand.Rand
	d              Deployment
	list           []Endpoint
	slowdown       func(server int) float64 // times that its answers take
	warmingUpSends []float64                // when the cold server was sent to
}

type event struct {
	at     float64
	action func()
}

type eventQueue []event

func (o eventQueue) Len() int { return len(o) }

func (o eventQueue) Less(i, j int) bool { return o[i].at < o[j].at }

func (o eventQueue) Swap(i, j int) { o[i], o[j] = o[j], o[i] }

func (o *eventQueue) Push(x any) { *o = append(*o, x.(event)) }

func (o *eventQueue) Pop() any {
	last := (*o)[len(*o)-1]
	*o = (*o)[:len(*o)-1]
	return last
}

func (f *fleet) after(s float64, what func()) { heap.Push(&f.events, event{f.now + s, what}) }

// fleetMember is one balancer of a fleet. Started again, it knows nothing.
type fleetMember struct {
	*fleet
	balancer *Balancer
	requests []*Request
	rate     float64
}

const (
	restartAt      = 20.0
	workPerRequest = 0.025
)

func (m *fleetMember) start() {
	d := m.d
	d.Seed = m.rand.Uint64()
	m.balancer, _ = New(d, m.now)
	m.carryOut(m.balancer.EndpointsUpdated(m.now, true, true, m.list))
}

// schedule makes a call on the balancer, unless another has its place by then.
func (m *fleetMember) schedule(at float64, call func() *Actions) {
	b := m.balancer
	m.after(at-m.now, func() {
		if m.balancer == b {
			m.carryOut(call())
		}
	})
}

func (m *fleetMember) carryOut(actions *Actions) {
	if actions.WakeAt > 0 {
		m.schedule(actions.WakeAt, func() *Actions { return m.balancer.TimerFired(m.now) })
	}
	for _, s := range append([]RequestAction(nil), actions.Requests...) {
		request := m.requests[s.Ref]
		if s.WakeAt > 0 {
			m.schedule(s.WakeAt, func() *Actions { return request.TimerFired(m.now) })
		}
		if !s.Send {
			continue
		}
		took, i := workPerRequest*m.rand.ExpFloat64()*m.slowdown(s.Endpoint), len(request.attempts)-1
		if s.Endpoint == 0 && m.now >= restartAt {
			m.warmingUpSends = append(m.warmingUpSends, m.now)
		}
		how := Succeeded
		if took >= 1 {
			how, took = TimedOut, 1
		}
		m.schedule(m.now+took, func() *Actions { return request.AttemptEnded(m.now, i, how, took, how == Succeeded) })
	}
}

func (m *fleetMember) arrive() {
	m.after(m.rand.ExpFloat64()/m.rate, m.arrive)
	m.requests = append(m.requests, nil)
	request, actions := m.balancer.RequestArrived(m.now, RequestInfo{Ref: len(m.requests) - 1, Deadline: m.now + 1})
	m.requests[request.Ref] = request
	m.carryOut(actions)
}

// capacityShare is that of its capacity which the cold server has by now.
func (f *fleet) capacityShare() float64 {
	return f.d.SlowStartFraction + (1-f.d.SlowStartFraction)*(f.now-restartAt)/f.d.SlowStartDuration
}

// Rule 4 is the whole fleet's: in any window the settings allow N, and 2 roots of N and 2 more by chance.
func TestSlowStartBudgetOverTheFleet(t *testing.T) {
	const servers = 6
	for name, comes := range map[string]func(f *fleet, all []*fleetMember){
		"nothing":          func(*fleet, []*fleetMember) {},
		"a burst":          func(_ *fleet, all []*fleetMember) { multiplyRates(all, 2.5) },
		"slow warm ones":   func(f *fleet, _ []*fleetMember) { f.slowdown = slowerExceptFirst(1, 8) },
		"most are dead":    func(f *fleet, _ []*fleetMember) { f.slowdown = slowerExceptFirst(2, 100) },
		"restarts of most": func(f *fleet, all []*fleetMember) { restartAll(all[len(all)*3/10:]) },
	} {
		for _, n := range []int{2, 20, 30, 300} {
			f := &fleet{rand: rand.New(rand.NewPCG(1, uint64(n))), slowdown: slowerExceptFirst(servers, 1),
				d: Deployment{Proxies: n, MaxAttempts: 3, CancelAllowed: true, MaxRetryAfter: 1, SlowStartFraction: 0.2, SlowStartDuration: 15, CrashFactor: 3, CrashDuration: 1,
					Classes: []Class{{Name: "look", LatencyObjective: 0.3, Deadline: 1, PriorityWeight: 1}}}}
			for i := range servers {
				f.list = append(f.list, Endpoint{Index: i, NameHash: uint64(i + 1)})
			}
			var all []*fleetMember
			for i := range n { // uneven: a few see some seven times as much as the others
				m := &fleetMember{fleet: f, rate: 0.6 * servers / workPerRequest / float64(n)}
				if i%9 == 0 {
					m.rate *= 7
				}
				all = append(all, m)
				m.start()
				m.after(m.rand.Float64()/m.rate, m.arrive)
			}
			f.after(restartAt, func() {
				f.list[0].StartedAt = restartAt
				for _, m := range all {
					m.after(0.05*m.rand.Float64(), func() { m.carryOut(m.balancer.EndpointsUpdated(m.now, false, false, f.list[:1])) })
				}
			})
			f.after(restartAt+8, func() { comes(f, all) })
			for f.now < restartAt+12 {
				next := heap.Pop(&f.events).(event)
				f.now = next.at
				next.action()
			}
			worst, most := 0, math.Inf(-1)
			for i, at := range f.warmingUpSends {
				f.now = at
				allowed := f.d.CrashFactor * f.capacityShare() * f.d.CrashDuration / workPerRequest
				allowed += 2*math.Sqrt(allowed) + 2
				sent := 0
				for sent < len(f.warmingUpSends)-i && f.warmingUpSends[i+sent] < at+f.d.CrashDuration {
					sent++
				}
				if over := float64(sent) / allowed; over > most {
					worst, most = sent, over
				}
			}
			t.Logf("%d proxies, %s: %d at most in a window, %.2f of what is allowed then; %d in all", n, name, worst, most, len(f.warmingUpSends))
			assert.LessOrEqual(t, most, 1.0, "%d proxies, %s", n, name)
			assert.NotEmpty(t, f.warmingUpSends, "%d proxies, %s", n, name)
		}
	}
}

func slowerExceptFirst(few int, times float64) func(server int) float64 {
	return func(server int) float64 {
		if server < few {
			return 1
		}
		return times
	}
}

func multiplyRates(all []*fleetMember, by float64) {
	for _, m := range all {
		m.rate *= by
	}
}

func restartAll(all []*fleetMember) {
	for _, m := range all {
		m.after(0.3*m.rand.Float64(), m.start)
	}
}
