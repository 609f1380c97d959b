package balance

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestBreaker(t *testing.T) {
	for _, c := range []struct {
		name, before string
		wait         float64
		after        string
		want         bool // admitted
	}{
		{"too few to judge", "fffff", 0, "", true},
		{"above the gate", "ffffff", 0, "", false},
		{"successes before the first failure go uncounted", "hhhhhhhhffffff", 0, "", false},
		{"half failing is not over half", "fhfhfhfh", 0, "", true},
		{"no room leaves the row alone", "nnnnnnnnnn", 0, "", true},
		{"called off counts neither way", "fffffcccc", 0, "", true},
		{"a success clears", "ffffffh", 0, "", true},
		{"the next failure pauses again", "ffffffhf", 0, "", false},
		{"a late answer is no failure", "llllllll", 0, "", true},
		{"the window resets", "fffff", breakerWindow + 1, "f", true},
		{"within the window all count", "fffff", breakerWindow - 1, "f", false},
		{"still cooling down", "ffffff", breakerCooldown * 0.9, "", false},
		{"cooled down", "ffffff", breakerCooldown*(1+cooldownJitter) + 0.1, "", true},
	} {
		t.Run(c.name, func(t *testing.T) {
			k := open(t, deployment(), 2)
			k.hear(k.servers[0], c.before)
			k.clock += c.wait
			k.hear(k.servers[0], c.after)
			k.now = k.clock
			assert.Equal(t, c.want, k.servers[0].breaker.admits(k.now))
		})
	}
}

func TestOneTariffFailsAtOneServer(t *testing.T) {
	k := open(t, deployment(Class{Name: "good"}, Class{Name: "bad"}), 2)
	to := func(class int) (used [2]int) {
		for range 100 {
			s, _ := k.draw(class)
			used[s.Index]++
		}
		return used
	}
	l := &Request{balancer: k.Balancer, class: &k.classes[1], relativeWork: 1, RequestInfo: RequestInfo{Class: 1}}
	for range minBreakerResults + 1 {
		k.hear(k.servers[0], "hhh")
		k.hear(k.servers[1], "hhh")
		k.recordOutcome(l, &attempt{server: k.servers[0]}, ServerError, 0)
		k.recordOutcome(l, &attempt{server: k.servers[1]}, Succeeded, 0.05)
	}
	assert.Positive(t, to(0)[0], "what it does well it goes on doing")
	assert.Zero(t, to(1)[0])
	k.now += breakerCooldown * (1 + cooldownJitter)
	assert.Positive(t, to(1)[0], "cooled down")
	k.send(&Request{balancer: k.Balancer, class: &k.classes[1], RequestInfo: RequestInfo{Class: 1}}, k.servers[0])
	assert.Zero(t, to(1)[0], "one at a time")
}

// Danger: where most servers fail one class, the fleet's own share of failures would keep each from being paused.
func TestOneTariffFailsAtMostServers(t *testing.T) {
	for _, c := range []struct{ bad, paused int }{{7, 7}, {10, 0}} {
		k := open(t, deployment(), 10)
		for _, s := range k.servers {
			k.hear(s, "fhhh") // opens the row
		}
		k.clock += classBreakerWindow + 1
		for range minBreakerResults + 1 {
			for i, s := range k.servers {
				if i < c.bad {
					k.hear(s, "f")
				} else {
					k.hear(s, "h")
				}
			}
		}
		paused := 0
		for _, s := range k.servers {
			if s.classBreakers[0].paused {
				paused++
			}
		}
		assert.Equal(t, c.paused, paused)
	}
}

// Danger: requests of one class that hang at a server take up its limit, and all others wait.
func TestOverdueLegIsNoLoad(t *testing.T) {
	for _, c := range []struct {
		limit float64
		out   int
	}{{1, 0}, {minBindingLimit / 2, 1}} {
		k := open(t, deployment(), 1)
		l, _ := k.take(RequestInfo{Deadline: 99})
		k.servers[0].limit.value = c.limit
		k.clock += k.overdueAge(l)
		l.TimerFired(k.clock)
		assert.Equal(t, c.out, k.concurrency.inFlight, "in a large bank only the sum binds")
		assert.Equal(t, c.out, k.servers[0].breaker.inFlight)
		l.AttemptEnded(k.clock, 0, TimedOut, 1, true)
		assert.Zero(t, k.concurrency.inFlight, "it is taken off once")
		assert.Zero(t, k.servers[0].breaker.inFlight)
	}
}

// Danger: a request whose first two servers are both down goes to and fro between them until it has no attempt left,
// and one that brings down what takes it would bring down as many servers as it may have attempts.
func TestHowFarALookupIsHandedOn(t *testing.T) {
	for _, c := range []struct {
		kind    Idempotency
		servers int
		ends    []Outcome // of its attempts, each as soon as it is sent
		legs    int
		want    []Reply
	}{{Idempotent, 2, []Outcome{ConnectFailed, ConnectFailed}, 2, []Reply{Rejected}}, {Idempotent, 2, []Outcome{ServerRejected, ServerRejected}, 3, nil},
		{Idempotent, 8, []Outcome{ConnectionLost, ConnectionLost, ConnectionLost}, maxLostAttempts, []Reply{Rejected}}, {NonIdempotent, 8, []Outcome{ConnectionLost, ConnectionLost}, 1, []Reply{Failed}},
		{Keyed, 8, []Outcome{ConnectionLost, ServerError, ServerError}, maxLostAttempts, []Reply{Rejected}},
		{Idempotent, 8, []Outcome{ServerRejected, ConnectFailed, NotSent, ConnectionLost, ConnectionLost, ConnectionLost}, 5, []Reply{Rejected}}} {
		k := open(t, deployment(Class{Idempotency: c.kind, DedupWindow: 5}), c.servers)
		k.deployment.MaxAttempts = 6
		l, steps := k.take(RequestInfo{})
		for i := 0; i < min(len(l.attempts), len(c.ends)); i++ {
			k.concurrency.credit = 9 // there is room for the next
			steps = append(steps, l.AttemptEnded(k.clock, i, c.ends[i], 0, false).Requests...)
		}
		assert.Len(t, l.attempts, c.legs, "%v", c.ends)
		assert.Equal(t, c.want, answers(steps), "%v", c.ends)
	}
}

// Danger: an attempt that was lost on its way is never answered, whatever is known of its server.
func TestLegBesideAnOverdueOne(t *testing.T) {
	for _, c := range []struct {
		name   string
		kind   Idempotency
		beside bool
		out    int // other attempts
		want   int // attempts after the wake
	}{
		{"replayable", Idempotent, true, 0, 2},
		{"referenced, in its pod and window", Keyed, true, 0, 2},
		{"single-use", NonIdempotent, true, 0, 1},
		{"not allowed", Idempotent, false, 0, 1},
		{"little room", Idempotent, true, 3, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			d := deployment(Class{Name: "a", Idempotency: c.kind, DedupScope: DedupPod, DedupWindow: 5})
			d.HedgingAllowed, d.Proxies = c.beside, 1
			k := open(t, d, 3)
			for _, s := range k.servers {
				s.limit.value = 2
			}
			for range c.out {
				k.take(RequestInfo{})
			}
			l, _ := k.take(RequestInfo{})
			k.clock += k.overdueAge(l)
			assert.Equal(t, c.want-1, sends(l.TimerFired(k.clock).Requests))
			if c.want < 2 {
				return
			}
			assert.NotSame(t, l.attempts[0].server, l.attempts[1].server)
			o := l.AttemptEnded(k.clock, 0, ConnectionLost, 0.2, false)
			assert.Empty(t, o.Requests, "the other may still answer")
			o = l.AttemptEnded(k.clock, 1, Succeeded, 0.1, true)
			assert.Empty(t, o.Requests)
			assert.True(t, l.Done())
		})
	}
}

func TestSharedFailurePausesFewer(t *testing.T) {
	k := open(t, deployment(), 4)
	for range 40 {
		for _, s := range k.servers {
			k.hear(s, "fffh") // all fail alike, three in four
		}
	}
	paused := 0
	for _, s := range k.servers {
		if s.breaker.paused {
			paused++
		}
	}
	assert.Zero(t, paused)
	k.hear(k.servers[0], "ffffffffffffffffffffffffffffffffffffffffffffffffffffffffffffffffffff")
	k.hear(k.servers[1], "hhhhhhhhhhhhhhhhhhhhhhhhhhhhhhhhhhhhhhhhhhhhhhhhhhhhhhhhhhhhhhhhhhhhh")
	k.hear(k.servers[0], "f")
	assert.True(t, k.servers[0].breaker.paused, "one that only it fails is paused still")
}

func TestDraw(t *testing.T) {
	for _, c := range []struct {
		name        string
		heard       []string // by server
		out         []int
		least, most float64 // share of server 0
	}{
		{"alike", []string{"hhhh", "hhhh"}, []int{0, 0}, 0.4, 0.6},
		{"unheard starts at the mean", []string{"hhhh", ""}, []int{0, 0}, 0.4, 0.6},
		{"failing is drawn seldom", []string{"hhhhhhhh", "ffhhffhh"}, []int{0, 0}, 0.9, 1},
		{"late is drawn less", []string{"hhhhhhhh", "llllllll"}, []int{0, 0}, 0.9, 1},
		{"crowded is redrawn", []string{"hhhhhhhh", "ffhhffhh", ""}, []int{5, 0, 0}, 0, 0},
		{"the least crowded last", []string{"", ""}, []int{3, 4}, 0.4, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			k := open(t, deployment(), len(c.heard))
			for i, s := range k.servers {
				k.hear(s, c.heard[i])
				s.breaker.inFlight, s.limit.value = c.out[i], 99
				k.concurrency.inFlight += c.out[i]
			}
			n := 0
			for range 500 {
				if s, _ := k.draw(0); s.Index == 0 {
					n++
				}
			}
			assert.GreaterOrEqual(t, float64(n)/500, c.least)
			assert.LessOrEqual(t, float64(n)/500, c.most)
		})
	}
}

func TestKeyLandsAlikeAtEveryProxy(t *testing.T) {
	d := deployment()
	d.CacheAffinity = true
	one := open(t, d, 6)
	d.Seed = 8
	two := open(t, d, 6)
	used := map[int]bool{}
	for key := uint64(1); key <= 40; key++ {
		a, _ := one.selectServer(&Request{balancer: one.Balancer, class: &one.classes[0], placement: key, RequestInfo: RequestInfo{Deadline: 9, Key: key}})
		b, _ := two.selectServer(&Request{balancer: two.Balancer, class: &two.classes[0], placement: key, RequestInfo: RequestInfo{Deadline: 9, Key: key}})
		assert.Equal(t, a.Index, b.Index)
		used[a.Index] = true
	}
	assert.Len(t, used, 6)
}

func TestProxyOfManyKeepsToSomeServers(t *testing.T) {
	for _, c := range []struct {
		proxies     int
		least, most int // servers used
	}{{2, 60, 60}, {60, 2, 8}} {
		d := deployment()
		d.Proxies = c.proxies
		k := open(t, d, 60)
		used := map[int]bool{}
		for i := range 600 {
			k.clock += 0.4
			l, _ := k.take(RequestInfo{})
			l.AttemptEnded(k.clock, 0, Succeeded, 0.05, true)
			if i > 100 {
				used[l.attempts[0].server.Index] = true
			}
		}
		assert.GreaterOrEqual(t, len(used), c.least)
		assert.LessOrEqual(t, len(used), c.most, "who sees little of all can tell none apart")
	}
}

func TestPopularKeyCountsAsSeveral(t *testing.T) {
	k, used := open(t, Deployment{Classes: deployment().Classes, CacheAffinity: true}, 60), map[uint64]bool{}
	for range 300 {
		l, _ := k.take(RequestInfo{Key: 5})
		used[l.placement] = true
	}
	assert.Greater(t, len(used), 30, "alone it would crowd two homes")
}

func TestKeyWaitsForItsFirstServers(t *testing.T) {
	d := deployment()
	d.CacheAffinity = true
	k := open(t, d, 6)
	l := &Request{balancer: k.Balancer, class: &k.classes[0], placement: 5, RequestInfo: RequestInfo{Deadline: 9, Key: 5}}
	for range keyHomes {
		s, _ := k.selectServer(l)
		s.breaker.inFlight = 1
	}
	s, full := k.selectServer(l)
	assert.Nil(t, s, "a key on every server is warm on none")
	assert.True(t, full)
	k.now = keyHomeWaitShare * k.classes[0].LatencyObjective
	s, _ = k.selectServer(l)
	assert.NotNil(t, s, "but it does not wait long")
}

func TestHeavyLookupGoesWhereItsWorkFits(t *testing.T) {
	k := open(t, deployment(), 2)
	for _, s := range k.servers {
		k.hear(s, "hhhhhhhhhh")
	}
	k.servers[0].scores.relativeLatency, k.servers[1].scores.relativeLatency = 0.5, 2
	for range 200 {
		s, _ := k.selectServer(&Request{balancer: k.Balancer, class: &k.classes[0], relativeWork: 8, RequestInfo: RequestInfo{Deadline: 9}})
		assert.Zero(t, s.Index)
	}
}

// TestNoEffectTwice has a cell for each kind of class and each thing an earlier attempt may have done.
func TestNoEffectTwice(t *testing.T) {
	all := Class{Idempotency: Keyed, DedupScope: DedupAll, DedupWindow: 0.2}
	long := Class{Idempotency: Keyed, DedupScope: DedupAll, DedupWindow: 9}
	zone := Class{Idempotency: Keyed, DedupScope: DedupZone, DedupWindow: 0.2}
	pod := Class{Idempotency: Keyed, DedupScope: DedupPod, DedupWindow: 0.2}
	single := Class{Idempotency: NonIdempotent}
	for _, c := range []struct {
		name    string
		tariff  Class
		first   Outcome
		after   float64
		servers int // 1: nowhere else to go; 6: two pods of three, two zones
		same    func(a, b Endpoint) bool
		want    []Reply // nil: another attempt
	}{
		{"replayable, fault", Class{}, ServerError, 0.1, 6, nil, nil},
		{"replayable, fault, nowhere", Class{}, ServerError, 0.1, 1, nil, []Reply{Rejected}},
		{"single-use, fault", single, ServerError, 0.1, 6, nil, []Reply{Failed}},
		{"single-use, cut", single, ConnectionLost, 0.1, 6, nil, []Reply{Failed}},
		{"single-use, too slow", single, TimedOut, 0.1, 6, nil, []Reply{Failed}},
		{"single-use, called off", single, Canceled, 0.1, 6, nil, []Reply{Failed}},
		{"single-use, no room", single, ServerRejected, 0.1, 6, nil, nil},
		{"single-use, no route", single, ConnectFailed, 0.1, 6, nil, nil},
		{"single-use, never sent, nowhere", single, NotSent, 0.1, 1, nil, []Reply{Rejected}},
		{"referenced by all, fault", all, ServerError, 0.1, 6, nil, nil},
		{"referenced by all, fault, window over", all, ServerError, 0.25, 6, nil, []Reply{Failed}},
		{"referenced by all, fault, nowhere, known when its client comes back", long, ServerError, 0.1, 1, nil, []Reply{Rejected}},
		{"referenced by all, fault, nowhere, not known any more then", all, ServerError, 0.1, 1, nil, []Reply{Failed}},
		{"referenced by all, no room, window over", all, ServerRejected, 0.25, 1, nil, []Reply{Rejected}},
		{"referenced by zone, fault", zone, ServerError, 0.1, 6, func(a, b Endpoint) bool { return a.Zone == b.Zone }, nil},
		{"referenced by pod, fault", pod, ServerError, 0.1, 6, func(a, b Endpoint) bool { return a.Pod == b.Pod }, nil},
		{"referenced by pod, cut, window over", pod, ConnectionLost, 0.25, 6, nil, []Reply{Failed}},
		{"referenced by pod, fault, nowhere", pod, ServerError, 0.1, 1, nil, []Reply{Failed}},
		{"referenced by pod, no room, window over", pod, ServerRejected, 0.2, 6, nil, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			for seed := range uint64(20) {
				d := deployment(c.tariff)
				d.Seed, d.MaxRetryAfter = seed, 0.15
				k := open(t, d, c.servers)
				l, steps := k.take(RequestInfo{})
				require.Equal(t, 1, sends(steps))
				first := l.attempts[0].server.Endpoint
				k.clock = c.after
				o := l.AttemptEnded(k.clock, 0, c.first, c.after, false)
				assert.Equal(t, c.want, answers(o.Requests))
				if c.want == nil {
					require.Equal(t, 1, sends(o.Requests))
					second := l.attempts[1].server.Endpoint
					assert.NotEqual(t, first.Index, second.Index)
					assert.True(t, c.same == nil || c.same(first, second))
				}
			}
		})
	}
}

func TestHangingServerIsPausedEarly(t *testing.T) {
	k := open(t, deployment(), 2)
	for _, s := range k.servers {
		k.hear(s, "hhhhhh")
		s.limit.value = 20
	}
	var hung []*Request
	for range 40 {
		if l, _ := k.take(RequestInfo{}); l.attempts[0].server.Index == 0 {
			hung = append(hung, l)
		} else {
			l.AttemptEnded(k.clock, 0, Succeeded, 0.05, true)
		}
	}
	for _, l := range hung {
		l.TimerFired(0.2)
	}
	assert.True(t, k.servers[0].breaker.paused, "well before any hard stop")
}

func TestAnswerBeforeHardStop(t *testing.T) {
	for _, kind := range []Idempotency{Idempotent, Keyed, NonIdempotent} {
		k := open(t, deployment(Class{Idempotency: kind, DedupScope: DedupPod, DedupWindow: 0.2}), 6)
		l, steps := k.take(RequestInfo{Deadline: 0.5})
		assert.Less(t, steps[0].WakeAt, 0.5)
		given := answers(l.TimerFired(0.1).Requests)
		given = append(given, answers(l.TimerFired(steps[0].WakeAt).Requests)...)
		require.Len(t, given, 1)
		for i := range l.attempts {
			o := l.AttemptEnded(0.5, i, TimedOut, 0.5, true)
			assert.Zero(t, sends(o.Requests))
			assert.Empty(t, answers(o.Requests))
		}
		assert.Empty(t, l.ClientDisconnected(0.6).Requests)
		assert.True(t, l.Done())
		assert.Zero(t, k.concurrency.inFlight)
	}
	k := open(t, deployment(), 6)
	_, steps := k.take(RequestInfo{Deadline: answerMargin / 2})
	assert.Zero(t, sends(steps), "too late to send at all")
	assert.Len(t, answers(steps), 1)
}

func TestList(t *testing.T) {
	k := open(t, deployment(), 3)
	with := func(i int, state EndpointState, since float64) []Endpoint {
		e := backends(3)[i]
		e.State, e.StartedAt = state, since
		return []Endpoint{e}
	}
	k.hear(k.servers[1], "ffffff")
	k.EndpointsUpdated(1, false, false, with(0, Draining, 0))
	k.EndpointsUpdated(1, false, false, with(1, Ready, 1))
	assert.False(t, k.servers[1].breaker.tracked, "a restart has a fresh row")
	assert.True(t, k.warmingUp(k.servers[1]), "and is cold")
	k.clock = 1
	for range 20 {
		l, _ := k.take(RequestInfo{})
		for _, g := range l.attempts {
			assert.NotZero(t, g.server.Index, "nothing new to a draining backend")
		}
	}
	k.EndpointsUpdated(2, true, false, backends(2))
	assert.Nil(t, k.servers[2], "a full list removes what it leaves out")
	k.EndpointsUpdated(2, false, false, with(1, Removed, 1))
	assert.Nil(t, k.servers[1])
}

// Where only a drain binds, a list that loses a server takes none that goes on answering.
func TestWhatTheListHasLost(t *testing.T) {
	states := map[rune]EndpointState{'g': Removed, 'r': Removed, 'd': Draining} // r: gone, and up since
	for told, want := range map[string][2]bool{                                 // h and f are attempts' ends, b is back, o left out, w a wait; want: sent to, kept
		"hg": {true, true}, "ho": {true, true}, "hgbg": {true, true}, "hdg": {}, "hdo": {}, "hd": {false, true}, "g": {},
		"hffffffg": {false, true}, "hgw": {}, "hgrw": {}} {
		for _, advice := range []bool{true, false} {
			k := open(t, deployment(), 1)
			k.deployment.RemovalIsAdvisory, k.clock = advice, 50
			for _, x := range told {
				switch x {
				case 'h', 'f':
					k.hear(k.servers[0], string(x))
				case 'w':
					k.clock += removedServerTimeout
				case 'o':
					k.EndpointsUpdated(k.clock, true, false, nil)
				default:
					k.EndpointsUpdated(k.clock, false, false, []Endpoint{{NameHash: 1, State: states[x], StartedAt: map[rune]float64{'r': 49.9}[x]}})
				}
			}
			k.now = k.clock
			s, _ := k.draw(0)
			k.EndpointsUpdated(k.now, false, false, nil)
			assert.Equal(t, [2]bool{advice && want[0], want[1] && (advice || told == "hd")}, [2]bool{s != nil, k.HasEndpoint(0)}, told)
		}
	}
}

func TestAskingForTheList(t *testing.T) {
	d := deployment()
	d.PollsEndpoints = true
	b, err := New(d, 0)
	require.NoError(t, err)
	assert.True(t, b.EndpointsUpdated(0, true, true, backends(2)).Subscribe)
	now, last := 1.0, 0.0
	for range 4 {
		o := *b.PollFailed(now)
		require.Greater(t, o.WakeAt, now)
		require.Less(t, o.WakeAt-now, d.NotificationDeadline)
		assert.False(t, b.TimerFired(o.WakeAt-0.01).Subscribe)
		last, now = o.WakeAt-now, o.WakeAt
		assert.True(t, b.TimerFired(now).Subscribe)
		assert.False(t, b.TimerFired(now+1).Subscribe, "asked once a failure")
	}
	assert.Greater(t, last, minPollDelay, "the pauses grow")
}

func TestColdBudget(t *testing.T) {
	for _, c := range []struct {
		name  string
		fresh bool // this proxy has heard nothing yet
		work  float64
	}{{"heavy first burst", false, 0.2}, {"light burst", false, 0.01}, {"a proxy just started", true, 0}} {
		t.Run(c.name, func(t *testing.T) {
			d := deployment()
			k := open(t, d, 2)
			if !c.fresh {
				k.hear(k.servers[0], "hhhhhhhhhhhhhh")
			}
			k.classes[0].meanWork = 0.05
			list := backends(4) // a whole fleet restarted at once
			for i := range list {
				list[i].StartedAt = 0.001
			}
			k.EndpointsUpdated(0.001, true, false, list)
			cost := map[int]float64{}
			open := map[int]*Request{}
			for k.clock = 0.001; k.clock < 2; k.clock += 0.01 {
				l, steps := k.take(RequestInfo{ExpectedWork: c.work})
				open[l.Ref] = l
				for _, s := range steps {
					if s.Send {
						cost[s.Endpoint] += open[s.Ref].expectedWork()
						open[s.Ref].AttemptEnded(k.clock, 0, Succeeded, 0.05, true)
					}
				}
			}
			assert.NotEmpty(t, cost, "cold backends are used all the same")
			for _, sum := range cost {
				part := d.CrashFactor * 2 * (d.SlowStartFraction + 0.1) * d.CrashDuration / float64(d.Proxies)
				assert.Less(t, sum, part, "two cores' worth at the mean capacity of the window")
			}
		})
	}
}

func TestCrowdShutsNoColdServer(t *testing.T) {
	for name, crowd := range map[string]int{"calm": 0, "a crowd at the warm one": 120} {
		t.Run(name, func(t *testing.T) {
			k := open(t, deployment(), 2)
			for range 200 {
				k.hear(k.servers[0], "h") // in 0.05 s
			}
			for range crowd {
				k.hear(k.servers[0], "l") // in 0.5 s
			}
			k.EndpointsUpdated(0, false, false, []Endpoint{{Index: 1, NameHash: 2, Zone: 1, StartedAt: 0.001}})
			sent := 0
			l := &Request{balancer: k.Balancer, class: &k.classes[0], relativeWork: 1}
			for k.clock = 0; k.clock < 10; k.clock += 0.01 {
				k.now = k.clock
				if k.takeSlowStartBudget(l, k.servers[1]) {
					sent++
				}
			}
			assert.Greater(t, sent, 25, "what waits at another server is no work at this one")
		})
	}
}

func TestColdBudgetOfManyProxies(t *testing.T) {
	for _, c := range []struct {
		age, least float64
	}{{0, 0.25}, {15, 0.4}} { // the larger the budget, the less of it is left for chance
		const seeds = 10
		part := 0.0
		for seed := range uint64(seeds) {
			d := deployment()
			d.Proxies, d.Seed = 300, seed
			var bank []*bank
			for range d.Proxies {
				d.Seed = d.Seed*0x9e3779b97f4a7c15 + 11
				k := open(t, d, 2)
				k.hear(k.servers[0], "hhhhhhhhhhhhhh")
				k.EndpointsUpdated(c.age, false, false, []Endpoint{{Index: 1, NameHash: 2, Zone: 1, StartedAt: 0.001}})
				bank = append(bank, k)
			}
			var sent float64 // in one window, as all of them want to send
			for now := c.age + 0.01; now < c.age+d.CrashDuration; now += 0.05 {
				for _, k := range bank {
					k.now = now
					l := &Request{balancer: k.Balancer, class: &k.classes[0], RequestInfo: RequestInfo{Deadline: 99}, relativeWork: 1}
					if s, _ := k.selectServer(l); s != nil && s.Index == 1 {
						sent += l.expectedWork()
					}
				}
			}
			budget := d.CrashFactor * (d.SlowStartFraction + (1-d.SlowStartFraction)*c.age/d.SlowStartDuration) * d.CrashDuration
			assert.Less(t, sent, budget*0.85)
			part += sent / budget / seeds
		}
		assert.Greater(t, part, c.least, "it is used all the same, %v s after its start", c.age)
	}
}

func TestHeldLookups(t *testing.T) {
	d := deployment(Class{Name: "cheap"}, Class{Name: "dear", PriorityWeight: 9})
	k := open(t, d, 1)
	k.hear(k.servers[0], "hhhhhhhhhh")
	first, _ := k.take(RequestInfo{})
	wait := func(a RequestInfo) *Request {
		l, steps := k.take(a)
		require.Empty(t, answers(steps), "held while it can be in time")
		return l
	}
	for range 8 { // more than the room that is saved up
		k.take(RequestInfo{Class: 1})
	}
	again := wait(RequestInfo{ClientRetry: true})
	cheap := wait(RequestInfo{})
	dear := wait(RequestInfo{Class: 1})
	assert.Greater(t, dear.priority, cheap.priority)
	assert.Less(t, again.priority, cheap.priority, "a client's further try")
	o := first.AttemptEnded(0.01, 0, Succeeded, 0.01, true)
	require.Equal(t, 1, sends(o.Requests))
	assert.Zero(t, cheap.inFlight+again.inFlight, "the dearest are sent first")
	assert.False(t, dear.over)
	k.TimerFired(0.29)
	assert.True(t, cheap.over && again.over, "one that can no longer be in time is answered at once")
	k.queue.waiting = nil
	assert.Zero(t, k.TimerFired(0.5).WakeAt)
}

// Danger: on a crowded day each that waits was drawn for among all servers at each event, half a core at a proxy of
// many.
func TestDrawsForThoseThatWaitAreBounded(t *testing.T) {
	d := deployment(Class{Idempotency: NonIdempotent})
	d.CacheAffinity, d.Proxies = true, 1
	k := open(t, d, 20)
	first, _ := k.take(RequestInfo{Key: 9})
	for _, s := range k.servers {
		s.breaker.inFlight = 99 // none takes an attempt, though there is room in all
	}
	for range 40 {
		k.take(RequestInfo{Key: 9})
	}
	scored, before := 0, k.random
	for k.dispatch(); before != k.random && scored < 40*20; scored++ { // a number drawn for each server
		before.Float64()
	}
	assert.Equal(t, []int{40, maxFruitlessDraws * 20}, []int{len(k.queue.waiting), scored})
	assert.Equal(t, []Reply{Failed}, answers(first.AttemptEnded(0, 0, ConnectionLost, 0, false).Requests), "it can go nowhere: not held behind them")
	k.concurrency.capacity, k.concurrency.inFlight, before = 0, 999, k.random
	k.dispatch()
	assert.Equal(t, before, k.random, "without room none is scored")
}

// Danger: a client that waited more than half of its time and is rejected with nothing sent waited in vain.
func TestNobodyWaitsInVain(t *testing.T) {
	for _, c := range []struct {
		name     string
		hardStop float64
		sent     bool // an attempt that never ran
		until    float64
	}{
		{"a short hard stop binds", 0.2, false, 0.2 * maxWaitShare},
		{"not where a leg was sent", 0.2, true, 0.2 - answerMargin - 0.075},
		{"the due time binds before a long one", 10, false, 0.3 - 0.075},
	} {
		k := open(t, deployment(), 1)
		l, _ := k.take(RequestInfo{Deadline: c.hardStop})
		if l.attempts = nil; c.sent {
			l.attempts = []attempt{{neverRan: true}}
		}
		k.queue.sendInterval = 0
		for k.now = 0; k.canAnswerInTime(l, 0); k.now += 0.001 {
		}
		assert.InDelta(t, c.until, k.now, 0.002, c.name)
	}
}

func TestOneTimerForHeldLookups(t *testing.T) {
	k := open(t, deployment(), 1)
	asked := 0
	for range 10 {
		if k.take(RequestInfo{}); k.actions.WakeAt > 0 {
			asked++
		}
	}
	assert.Equal(t, 1, asked, "a timer asked for at every call breeds without end")
}

func TestLimit(t *testing.T) {
	k := open(t, deployment(), 1)
	s := k.servers[0]
	k.hear(s, "nnnnnnnn")
	assert.InDelta(t, minLimit/2, s.limit.value, 1e-9, "never shut by its limit alone")
	// danger: gone at once and using up no room, hundreds a second would pass a room of less than one attempt
	assert.InDelta(t, -8*k.classes[0].medianLatency(), k.concurrency.credit, 1e-9, "a leg turned away uses up room as one that was served")
	k.hear(s, "hhhhhhhhhh")
	grown := s.limit.value
	assert.Greater(t, grown, minLimit/2)
	k.concurrency.capacity, k.concurrency.credit = 9, 0 // far from binding
	k.hear(s, "llll")
	assert.Equal(t, grown, s.limit.value, "chance alone is no crowd")
	k.concurrency.capacity = 0
	k.hear(s, "l")
	assert.Less(t, s.limit.value, grown)
	k.take(RequestInfo{})
	_, steps := k.take(RequestInfo{})
	assert.Zero(t, sends(steps), "held while the backend is at its limit")
}

func TestLimitsGrowAtAQuietProxyOfMany(t *testing.T) {
	d := deployment()
	d.Proxies = 18
	k := open(t, d, 16)
	for range 10 {
		one, _ := k.take(RequestInfo{})
		two, _ := k.take(RequestInfo{})
		one.AttemptEnded(k.clock, 0, Succeeded, 0.05, true)
		two.AttemptEnded(k.clock, 0, Succeeded, 0.05, true)
	}
	k.take(RequestInfo{})
	assert.Greater(t, k.concurrency.capacity, 16*initialLimit/18+0.01, "the leg that ends belongs to what bound")
}

func TestStreamBelongsToItsLeg(t *testing.T) {
	k := open(t, deployment(), 6)
	l, _ := k.take(RequestInfo{})
	assert.Empty(t, answers(l.ResponseStarted(0.2, 0).Requests))
	assert.Empty(t, l.TimerFired(0.999).Requests, "no hard stop for a stream that began")
	assert.False(t, l.Done())
	l.AttemptEnded(5, 0, Succeeded, 5, true)
	assert.True(t, l.Done())
	assert.Greater(t, k.payoffOf(l.attempts[0].server, 0), 0.7, "judged by when it began, not by its end")
}

func TestSameSeedSameDecisions(t *testing.T) {
	play := func() (all []RequestAction) {
		k := open(t, deployment(), 5)
		for i := range 300 {
			k.clock += 0.01
			l, steps := k.take(RequestInfo{})
			all = append(all, steps...)
			if len(l.attempts) > 0 {
				all = append(all, l.AttemptEnded(k.clock, 0, Outcome(i%3), 0.05, i%3 == 0).Requests...)
			}
		}
		return all
	}
	assert.Equal(t, play(), play())
}

func TestRefusedDeployments(t *testing.T) {
	for _, c := range []struct {
		name string
		bend func(*Deployment)
	}{
		{"no classes", func(d *Deployment) { d.Classes = nil }},
		{"plain: latency objective", func(d *Deployment) { d.Classes[0].LatencyObjective = -1 }},
		{"plain: no deadline", func(d *Deployment) { d.Classes[0].Deadline = 0 }},
		{"slow start duration", func(d *Deployment) { d.SlowStartDuration = -1 }},
		{"gossip cost", func(d *Deployment) { d.GossipCost = -1 }},
		{"small: quota", func(d *Deployment) { d.Tenants = []Tenant{{"small", -1}} }},
	} {
		d := deployment()
		c.bend(&d)
		_, err := New(d, 0)
		assert.ErrorContains(t, err, c.name)
	}
}

// Danger: a client that sends slowly would fill the limits of all with attempts at rest, and its server would look
// slow.
func TestFlowingBody(t *testing.T) {
	k := open(t, deployment(), 2)
	var flowing []*Request
	for range 20 { // many times the room
		l, steps := k.take(RequestInfo{Deadline: 900, Streaming: true})
		assert.Equal(t, 1, sends(steps), "they wait for their clients, not for room")
		flowing = append(flowing, l)
	}
	assert.Zero(t, k.concurrency.inFlight)
	_, steps := k.take(RequestInfo{})
	assert.Equal(t, 1, sends(steps), "and take none from others")
	k.clock = 30
	l := flowing[0]
	o := l.BodyCompleted(k.clock)
	assert.Equal(t, 2, k.concurrency.inFlight, "from its last byte on it is at work")
	assert.Greater(t, o.Requests[0].WakeAt, k.clock)
	before := k.payoffOf(l.attempts[0].server, 0)
	assert.Empty(t, l.TimerFired(k.clock+0.01).Requests, "not overdue: it counts from then")
	l.AttemptEnded(k.clock+0.05, 0, Succeeded, 0.05, true)
	assert.Equal(t, 1, k.concurrency.inFlight)
	assert.GreaterOrEqual(t, k.payoffOf(l.attempts[0].server, 0), before-0.1)
	flowing[1].AttemptEnded(k.clock+0.05, 0, ConnectFailed, 0, false) // its client left it unfinished
	assert.Equal(t, 1, k.concurrency.inFlight, "what took no room gives none back")
}

// Danger: two processes of one proxy, each with the proxy's whole part of a slow-start budget, push a cold server over
// together.
func TestPartOfTheColdBudget(t *testing.T) {
	sent := func(part float64) (n int) {
		d := deployment()
		d.SlowStartDuration, d.SlowStartFraction = 1000, 0.1
		k := open(t, d, 0)
		k.EndpointsUpdated(0, true, false, []Endpoint{{Index: 0, NameHash: 1, StartedAt: 0.001}})
		k.SetBudgetShare(part)
		for range 4000 {
			k.clock += 0.01
			l, _ := k.take(RequestInfo{})
			if len(l.attempts) > 0 {
				n++
				l.AttemptEnded(k.clock, 0, Succeeded, 0.05, true)
			} else {
				l.ClientDisconnected(k.clock)
			}
		}
		return n
	}
	whole, half := sent(1), sent(0.5)
	assert.Greater(t, half, 0)
	assert.InDelta(t, 0.5, float64(half)/float64(whole), 0.12, "%d of %d", half, whole)
}

// What one process of a proxy learned is the next one's, but for servers that have started anew or are not listed any
// more.
func TestRememberedByTheNext(t *testing.T) {
	k := open(t, deployment(), 4)
	k.clock = 20
	k.hear(k.servers[0], "hhhhhhhhhh")
	k.hear(k.servers[1], "ffffffffff")
	k.hear(k.servers[2], "llllllllll")
	k.servers[3].limit.value = 0.7
	m := k.Snapshot(20)
	require.True(t, k.servers[1].breaker.paused)

	next := open(t, deployment(), 4)
	next.clock = 20
	next.Restore(20, m)
	old, now := k.ServerStatuses(20), next.ServerStatuses(20)
	for i := range old {
		assert.Equal(t, old[i].Paused, now[i].Paused, i)
		assert.InDelta(t, old[i].Limit, now[i].Limit, 1e-9, i)
		assert.InDelta(t, old[i].Age, now[i].Age, 1e-9, i)
		assert.Equal(t, k.servers[i].scores.shared[ownEstimate].payoff, next.servers[i].scores.shared[ownEstimate].payoff, i)
	}
	assert.Less(t, now[1].Payoff, now[0].Payoff)
	assert.Equal(t, k.classes[0].baseLatency, next.classes[0].baseLatency)

	again := open(t, deployment(), 0)
	list := backends(3) // the last is gone
	list[1].StartedAt = 19
	again.EndpointsUpdated(20, true, true, list)
	again.Restore(20, m)
	assert.False(t, again.servers[1].breaker.paused, "it has started since")
	assert.Zero(t, again.servers[1].scores.shared[ownEstimate].confidence)
	assert.Len(t, again.ServerStatuses(20), 3)

	later := open(t, deployment(), 4)
	for i := range m.Servers {
		m.Servers[i].Age += 60
	}
	later.Restore(20, m)
	assert.InDelta(t, 0, later.servers[1].scores.shared[ownEstimate].payoffAt(20), 0.01, "what is old moves nothing")
	later.Restore(20, Snapshot{BaseLatencies: []float64{-1, 7}, Servers: []ServerSnapshot{{NameHash: 1, Limit: -3, RelativeLatency: 1}, {NameHash: 99, Limit: 1, RelativeLatency: 1}}})
	assert.Greater(t, later.servers[0].limit.value, 0.0, "what cannot be is not taken in")
}

// What others tell of their attempts pauses and readmits as own results would, by the share that failed and not by
// their order.
func TestReported(t *testing.T) {
	for _, c := range []struct {
		honoured, failed, after int // after: successful, told in a second report
		paused                  bool
	}{{100, 0, 0, false}, {0, 5, 0, false}, {0, 8, 0, true}, {70, 30, 0, false}, {400, 1600, 0, true}, {10, 90, 1, false}} {
		k := open(t, deployment(), 9)
		report := []ReportedOutcomes{{0, 0, c.honoured, c.failed}, {77, 0, 5, 5}} // the last is nobody's
		for i := 1; i < 9; i++ {
			report = append(report, ReportedOutcomes{i, 0, 95, 5})
		}
		k.OutcomesReported(1, report)
		k.OutcomesReported(2, []ReportedOutcomes{{0, 0, c.after, 0}})
		all := k.ServerStatuses(3)
		for i := range all {
			assert.Equal(t, i == 0 && c.paused, all[i].Paused, "%d: %+v", i, c)
		}
		assert.Equal(t, c.paused, k.ServerStatuses(20)[0].Trial, "cooled down")
		if c.paused {
			assert.Less(t, all[0].Payoff, all[1].Payoff)
		}
	}
}

// Danger: of a class unheard so far a quarter of a long latency objective is a bad guess: its first request waited for
// most of it beside idle servers.
func TestFirstOfATariffWithALongDueTime(t *testing.T) {
	d := deployment(Class{Name: "post", Idempotency: NonIdempotent}, Class{Name: "get"})
	for i := range d.Classes {
		d.Classes[i].LatencyObjective, d.Classes[i].Deadline = 30, 60
	}
	k := open(t, d, 1)
	for range 50 {
		k.clock += .001
		l, steps := k.take(RequestInfo{Class: 1, Tenant: -1, Deadline: k.clock + 60})
		require.Equal(t, 1, sends(steps))
		k.clock += .0003
		l.AttemptEnded(k.clock, 0, Succeeded, .0003, true)
	}
	k.clock += .001
	_, steps := k.take(RequestInfo{Class: 0, Tenant: -1, Deadline: k.clock + 60})
	assert.Equal(t, 1, sends(steps), "the only server is idle")
}
