package balance

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/assert"
)

// fleet simulates many balancers that share servers. The first server restarts at restartAt. The load of a server has
// no effect on its latency: the simulation only counts the attempts sent to the restarted server.
type fleet struct {
	now            float64
	events         eventQueue
	rand           *rand.Rand
	deployment     Deployment
	list           []Endpoint
	slowdown       func(server int) float64 // factor on the latency of a server
	warmingUpSends []float64                // times of the attempts sent to the restarted server
}

type event struct {
	at     float64
	action func()
}

type eventQueue []event

// Methods of heap.Interface; events are ordered by time.

func (q eventQueue) Len() int           { return len(q) }
func (q eventQueue) Less(i, j int) bool { return q[i].at < q[j].at }
func (q eventQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)        { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// after schedules an action after a delay in seconds.
func (f *fleet) after(seconds float64, action func()) {
	heap.Push(&f.events, event{f.now + seconds, action})
}

// fleetMember is one proxy of a fleet. A restart replaces its balancer with a new one, without any state.
type fleetMember struct {
	*fleet
	balancer *Balancer
	requests []*Request
	rate     float64 // requests per second
}

const (
	restartAt      = 20.0  // s
	workPerRequest = 0.025 // s, mean
)

func (m *fleetMember) start() {
	d := m.deployment
	d.Seed = m.rand.Uint64()
	m.balancer, _ = New(d, m.now)
	m.carryOut(m.balancer.EndpointsUpdated(m.now, true, true, m.list))
}

// schedule schedules a call on the balancer. The call is skipped if the member is restarted before that time.
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
		latency, index := workPerRequest*m.rand.ExpFloat64()*m.slowdown(s.Endpoint), len(request.attempts)-1
		if s.Endpoint == 0 && m.now >= restartAt {
			m.warmingUpSends = append(m.warmingUpSends, m.now)
		}
		outcome := Succeeded
		if latency >= 1 {
			outcome, latency = TimedOut, 1
		}
		m.schedule(m.now+latency, func() *Actions {
			return request.AttemptEnded(m.now, index, outcome, latency, outcome == Succeeded)
		})
	}
}

func (m *fleetMember) arrive() {
	m.after(m.rand.ExpFloat64()/m.rate, m.arrive)
	m.requests = append(m.requests, nil)
	request, actions := m.balancer.RequestArrived(m.now, RequestInfo{Ref: len(m.requests) - 1, Deadline: m.now + 1})
	m.requests[request.Ref] = request
	m.carryOut(actions)
}

// capacityShare is the share of its full capacity that the restarted server has now.
func (f *fleet) capacityShare() float64 {
	d := &f.deployment
	return d.SlowStartFraction + (1-d.SlowStartFraction)*(f.now-restartAt)/d.SlowStartDuration
}

// newFleet returns a fleet with servers at full capacity. Traffic is uneven: every ninth proxy receives seven times as
// much as each of the others.
func newFleet(proxies, servers int) (*fleet, []*fleetMember) {
	f := &fleet{
		rand:     rand.New(rand.NewPCG(1, uint64(proxies))),
		slowdown: slowerExceptFirst(servers, 1),
		deployment: Deployment{
			Proxies:           proxies,
			MaxAttempts:       3,
			CancelAllowed:     true,
			MaxRetryAfter:     1,
			SlowStartFraction: 0.2,
			SlowStartDuration: 15,
			CrashFactor:       3,
			CrashDuration:     1,
			Classes:           []Class{{Name: "look", LatencyObjective: 0.3, Deadline: 1, PriorityWeight: 1}},
		},
	}
	for i := range servers {
		f.list = append(f.list, Endpoint{Index: i, NameHash: uint64(i + 1)})
	}
	var members []*fleetMember
	for i := range proxies {
		m := &fleetMember{fleet: f, rate: 0.6 * float64(servers) / workPerRequest / float64(proxies)}
		if i%9 == 0 {
			m.rate *= 7
		}
		members = append(members, m)
		m.start()
		m.after(m.rand.Float64()/m.rate, m.arrive)
	}
	return f, members
}

// restartServer restarts the first server. The members receive the update after different delays.
func (f *fleet) restartServer(members []*fleetMember) {
	f.list[0].StartedAt = restartAt
	for _, m := range members {
		m.after(0.05*m.rand.Float64(), func() {
			m.carryOut(m.balancer.EndpointsUpdated(m.now, false, false, f.list[:1]))
		})
	}
}

// run processes events until the simulated time reaches until.
func (f *fleet) run(until float64) {
	for f.now < until {
		next := heap.Pop(&f.events).(event)
		f.now = next.at
		next.action()
	}
}

// worstWindow returns the number of attempts that were sent to the restarted server in the window with the greatest
// ratio of sent to allowed attempts, and that ratio. A window lasts CrashDuration. If its budget is enough for n
// attempts, n plus 2*sqrt(n)+2 are allowed, the latter for random variation.
func (f *fleet) worstWindow() (sends int, overAllowed float64) {
	overAllowed = math.Inf(-1)
	for i, at := range f.warmingUpSends {
		f.now = at
		allowed := f.deployment.CrashFactor * f.capacityShare() * f.deployment.CrashDuration / workPerRequest
		allowed += 2*math.Sqrt(allowed) + 2
		sent := 0
		for sent < len(f.warmingUpSends)-i && f.warmingUpSends[i+sent] < at+f.deployment.CrashDuration {
			sent++
		}
		if over := float64(sent) / allowed; over > overAllowed {
			sends, overAllowed = sent, over
		}
	}
	return sends, overAllowed
}

// Guards against a fleet whose proxies together overload a server that is warming up, also if an incident changes the
// traffic or the fleet meanwhile.
func TestSlowStartBudgetOverTheFleet(t *testing.T) {
	for name, incident := range map[string]func(f *fleet, members []*fleetMember){
		"nothing":              func(*fleet, []*fleetMember) {},
		"a burst":              func(_ *fleet, members []*fleetMember) { multiplyRates(members, 2.5) },
		"other servers slow":   func(f *fleet, _ []*fleetMember) { f.slowdown = slowerExceptFirst(1, 8) },
		"most servers dead":    func(f *fleet, _ []*fleetMember) { f.slowdown = slowerExceptFirst(2, 100) },
		"most proxies restart": func(_ *fleet, members []*fleetMember) { restartAll(members[len(members)*3/10:]) },
	} {
		for _, proxies := range []int{2, 20, 30, 300} {
			f, members := newFleet(proxies, 6)
			f.after(restartAt, func() { f.restartServer(members) })
			f.after(restartAt+8, func() { incident(f, members) })
			f.run(restartAt + 12)
			sends, overAllowed := f.worstWindow()
			t.Logf("%d proxies, %s: at most %d sends in a window, %.2f of those allowed; %d sends in all",
				proxies, name, sends, overAllowed, len(f.warmingUpSends))
			assert.LessOrEqual(t, overAllowed, 1.0, "%d proxies, %s", proxies, name)
			assert.NotEmpty(t, f.warmingUpSends, "%d proxies, %s", proxies, name)
		}
	}
}

// slowerExceptFirst returns a slowdown that multiplies the latencies of all servers but the first few by a factor.
func slowerExceptFirst(few int, factor float64) func(server int) float64 {
	return func(server int) float64 {
		if server < few {
			return 1
		}
		return factor
	}
}

func multiplyRates(members []*fleetMember, factor float64) {
	for _, m := range members {
		m.rate *= factor
	}
}

func restartAll(members []*fleetMember) {
	for _, m := range members {
		m.after(0.3*m.rand.Float64(), m.start)
	}
}
