package emulator

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	"lockloom/balance"
)

func plain() Spec { return Spec{Cores: 1, Speed: 1, QueueCapacity: 100, DegradedSpeed: 1} }

// outcome is how a job ended and when, to a hundredth of a second.
type outcome struct {
	ref int
	how balance.Outcome
	at  float64
}

func seen(ends []Completion) (list []outcome) {
	for _, e := range ends {
		list = append(list, outcome{e.Ref, e.Outcome, math.Round(e.At*100) / 100})
	}
	return list
}

// act is one call at a time; all that ended by 60 s is what a case expects.
type act struct {
	at   float64
	call func(s *Server, now float64) []Completion
}

func job(ref int, work float64) func(*Server, float64) []Completion {
	return func(s *Server, now float64) []Completion { return s.Receive(now, Job{Ref: ref, Work: work}) }
}

func TestServer(t *testing.T) {
	group := &DedupGroup{}
	marked := func(ref int) func(*Server, float64) []Completion {
		return func(s *Server, now float64) []Completion {
			return s.Receive(now, Job{Ref: ref, Work: 1, DedupKey: 7, DedupWindow: 3, DedupGroup: group})
		}
	}
	keyed := func(ref int, key uint64) func(*Server, float64) []Completion {
		return func(s *Server, now float64) []Completion { return s.Receive(now, Job{Ref: ref, Work: 1, Key: key}) }
	}
	const ok, fault, full, lost = balance.Succeeded, balance.ServerError, balance.ServerRejected, balance.ConnectionLost
	for name, c := range map[string]struct {
		build func(*Spec)
		cold  bool
		acts  []act
		ends  []outcome
		check func(*testing.T, *Server)
	}{
		"one core, in turn": {acts: []act{{0, job(1, 1)}, {0, job(2, 2)}, {0.5, job(3, 1)}},
			ends: []outcome{{1, ok, 1}, {2, ok, 3}, {3, ok, 4}}},
		"two fast cores": {build: func(b *Spec) { b.Cores, b.Speed = 2, 2 }, acts: []act{{0, job(1, 2)}, {0, job(2, 1)}, {0, job(3, 1)}},
			ends: []outcome{{2, ok, .5}, {1, ok, 1}, {3, ok, 1}}},
		"the waiting room is full": {build: func(b *Spec) { b.QueueCapacity = 1 }, acts: []act{{0, job(1, 1)}, {0, job(2, 1)}, {0, job(3, 1)}},
			ends: []outcome{{3, full, 0}, {1, ok, 1}, {2, ok, 2}}},
		"slow for a while": {acts: []act{{0, job(1, 2)}, {1, slow(.5)}, {2, slow(1)}}, ends: []outcome{{1, ok, 2.5}}},
		"stands still, and takes in what came meanwhile": {acts: []act{{0, job(1, 1)}, {.5, pause(5)}, {1, job(2, 1)}},
			ends: []outcome{{1, ok, 6}, {2, ok, 7}}},
		"two pauses make the longer one": {
			acts: []act{{0, pause(3)}, {1, pause(1)}, {1, job(1, 1)}}, ends: []outcome{{1, ok, 4}},
		},
		"fails at once": {acts: []act{{0, fail(-1, 1)}, {0, job(1, 1)}, {1, fail(-1, 0)}, {1, job(2, 1)}},
			ends: []outcome{{1, fault, 0}, {2, ok, 2}}},
		"fails one tariff": {acts: []act{{0, fail(0, 1)}, {0, job(1, 1)}, {1, fail(0, 0)}, {1, fail(1, 1)}, {1, job(2, 1)}},
			ends: []outcome{{1, fault, 0}, {2, ok, 2}}},
		"hangs: what it took then is never answered": {acts: []act{{0, hang(true)}, {0, job(1, 1)}, {1, hang(false)}, {1, job(2, 1)}},
			ends: []outcome{{2, ok, 2}}, check: func(t *testing.T, s *Server) { assert.Equal(t, 1, s.InFlight()) }},
		"silent: what comes is lost, what runs is done": {acts: []act{{0, job(1, 2)}, {1, cut(true)}, {1, job(2, 1)}, {3, cut(false)}, {3, job(3, 1)}},
			ends: []outcome{{1, ok, 2}, {3, ok, 4}}, check: func(t *testing.T, s *Server) { assert.Equal(t, 1, s.Unreceived) }},
		"dies with work in hand, is back cold": {build: func(b *Spec) { b.SlowStartFraction, b.SlowStartDuration = .5, 20 },
			acts: []act{{0, job(1, 2)}, {0, job(2, 1)}, {1, crash(3)}, {2, job(3, 1)}, {5, job(4, 1)}},
			ends: []outcome{{1, lost, 1}, {2, lost, 1}, {3, lost, 2}, {4, ok, 6.83}},
			check: func(t *testing.T, s *Server) {
				assert.Equal(t, 4.0, s.StartedAt())
				assert.Equal(t, Accepting, s.Reachability())
			}},
		"warms up": {build: func(b *Spec) { b.SlowStartFraction, b.SlowStartDuration = .2, 10 }, cold: true,
			acts: []act{{0, job(1, .6)}, {20, job(2, 1)}}, ends: []outcome{{1, ok, 2.13}, {2, ok, 21}}},
		"cold and pushed, it falls over and comes back": {
			build: func(b *Spec) {
				b.SlowStartFraction, b.SlowStartDuration, b.CrashFactor, b.CrashWindow, b.CrashDowntime = .2, 10, 3, 1, 2
			}, cold: true,
			acts: []act{{0, job(1, .3)}, {.1, job(2, .25)}, {.2, job(3, .25)}, {5, job(4, .1)}},
			ends: []outcome{{3, lost, .2}, {1, lost, .2}, {2, lost, .2}, {4, ok, 5.23}}, check: func(t *testing.T, s *Server) {
				assert.Equal(t, 1, s.Crashes)
				assert.Equal(t, 2.2, s.StartedAt())
			}},
		"warm, the same push is only a queue": {
			build: func(b *Spec) {
				b.SlowStartFraction, b.SlowStartDuration, b.CrashFactor, b.CrashWindow, b.CrashDowntime = .2, 10, 3, 1, 2
			},
			acts: []act{{0, job(1, 2)}, {.1, job(2, 2)}}, ends: []outcome{{1, ok, 2}, {2, ok, 4}}},
		"a warm key takes less work, until others crowd it out": {build: func(b *Spec) { b.CacheSize, b.CachedWorkFraction = 1, .5 },
			acts: []act{{0, keyed(1, 5)}, {0, keyed(2, 5)}, {0, keyed(3, 6)}, {0, keyed(4, 5)}},
			ends: []outcome{{1, ok, 1}, {2, ok, 1.5}, {3, ok, 2.5}, {4, ok, 3.5}}},
		"a repeat in its window is dropped, a later one runs": {acts: []act{{0, marked(1)}, {2, marked(2)}, {3.5, marked(3)}},
			ends: []outcome{{1, ok, 1}, {2, ok, 2}, {3, ok, 4.5}}, check: func(t *testing.T, s *Server) {
				assert.Equal(t, []int{1, 2, 1}, []int{s.Duplicates, s.Started, group.LateDuplicates})
			}},
		"who leaves while waiting is dropped, at work is done": {
			acts: []act{{0, job(1, 1)}, {0, job(2, 1)}, {0, job(3, 1)}, {.5, leave(2)}, {.5, leave(1)}},
			ends: []outcome{{1, ok, 1}, {3, ok, 2}}},
	} {
		t.Run(name, func(t *testing.T) {
			b := plain()
			if c.build != nil {
				c.build(&b)
			}
			s := New(b, 1)
			s.Start(0, !c.cold)
			var all []outcome
			for _, a := range c.acts {
				all = append(all, seen(a.call(s, a.at))...)
			}
			all = append(all, seen(s.Advance(60))...)
			assert.Equal(t, c.ends, all)
			if c.check != nil {
				c.check(t, s)
			}
		})
	}
}

func slow(x float64) func(*Server, float64) []Completion {
	return func(s *Server, now float64) []Completion { return s.SetSpeedFactor(now, x) }
}
func pause(x float64) func(*Server, float64) []Completion {
	return func(s *Server, now float64) []Completion { return s.Pause(now, now+x) }
}
func fail(class int, x float64) func(*Server, float64) []Completion {
	return func(s *Server, now float64) []Completion { return s.SetErrorShare(now, class, x) }
}
func hang(on bool) func(*Server, float64) []Completion {
	return func(s *Server, now float64) []Completion { return s.SetHanging(now, -1, on) }
}
func cut(on bool) func(*Server, float64) []Completion {
	return func(s *Server, now float64) []Completion { return s.SetUnreachable(now, on) }
}
func crash(down float64) func(*Server, float64) []Completion {
	return func(s *Server, now float64) []Completion { return s.Crash(now, now+down) }
}
func leave(ref int) func(*Server, float64) []Completion {
	return func(s *Server, now float64) []Completion {
		_, ends := s.Abandon(now, ref)
		return ends
	}
}

// A slowdown outlives the load that brought it.
func TestLingers(t *testing.T) {
	b := plain()
	b.DegradeQueueLength, b.DegradedSpeed, b.DegradeTimeConstant, b.RecoverTimeConstant, b.QueueCapacity = 5, .25, .5, 20, 50
	s := New(b, 1)
	s.Start(0, true)
	for i := range 40 {
		s.Receive(0, Job{Ref: i, Work: .1})
	}
	for at := 0.0; s.InFlight() > 0; at += .1 {
		s.Advance(at)
	}
	assert.Less(t, s.now, 16.0, "a quarter of its speed at the worst")
	assert.Greater(t, s.now, 8.0, "unchoked it would take 4 s")
	quiet := s.now
	took := func(at float64) float64 {
		s.Receive(at, Job{Work: .1})
		return s.Advance(at + 5)[0].At - at
	}
	assert.Greater(t, took(quiet+5), .2, "five quiet seconds later it is still slow")
	assert.InDelta(t, .1, took(quiet+120), .005, "two minutes later it is not")
}

// A look that is put off by every arrival would never come: a queue that goes to and fro at the mark, faster than looks
// are due, must slow the server down all the same.
func TestChokesUnderSteadyCrowd(t *testing.T) {
	b := plain()
	b.DegradeQueueLength, b.DegradedSpeed, b.DegradeTimeConstant, b.RecoverTimeConstant, b.QueueCapacity = 5, .25, .5, 20, 10
	s := New(b, 1)
	s.Start(0, true)
	const each = .0101 // no divisor of the time between looks
	for i := range 5 { // one in work, four waiting
		s.Receive(0, Job{Ref: i, Work: each})
	}
	for i := range 300 { // one comes just after one has ended
		s.Receive(float64(i)*each+.001, Job{Ref: 5 + i, Work: each})
	}
	assert.Greater(t, s.Degradation(), .5)
}

// Against the textbook: mean waiting times in M/M/1 and, by Erlang's C, in M/M/c.
func TestQueueingTheory(t *testing.T) {
	for _, c := range []struct {
		cores int
		load  float64
	}{{1, .5}, {1, .8}, {4, .7}, {8, .9}} {
		b := plain()
		b.Cores, b.QueueCapacity = c.cores, 1<<30
		s := New(b, 1)
		s.Start(0, true)
		rng := rand.New(rand.NewPCG(3, uint64(c.cores)))
		const n = 400_000
		came, took := make([]float64, n), 0.0
		tally := func(ends []Completion) {
			for _, e := range ends {
				took += e.At - came[e.Ref]
			}
		}
		now := 0.0
		for i := range n {
			now += rng.ExpFloat64() / (c.load * float64(c.cores))
			came[i] = now
			tally(s.Receive(now, Job{Ref: i, Work: rng.ExpFloat64()}))
		}
		tally(s.Advance(now + 1000))
		a, term, sum := c.load*float64(c.cores), 1.0, 0.0
		for k := range c.cores {
			sum += term
			term *= a / float64(k+1)
		}
		wait := term / (1 - c.load) / (sum + term/(1-c.load))
		want := 1 + wait/(float64(c.cores)*(1-c.load))
		assert.InEpsilon(t, want, took/n, .04, "%d cores at %v", c.cores, c.load)
	}
}

// Whatever is asked of a server in whatever order: each job ends once at most and only jobs it was given, work is
// conserved, and no more is done than its cores can.
func TestProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := Spec{Cores: rapid.IntRange(1, 3).Draw(t, "cores"), Speed: 1, QueueCapacity: rapid.IntRange(0, 5).Draw(t, "room"),
			SlowStartFraction: .3, SlowStartDuration: 3, CrashFactor: 3, CrashDowntime: 1, CrashWindow: rapid.SampledFrom([]float64{0, 1}).Draw(t, "fall"), DegradeQueueLength: 3, DegradedSpeed: .5, DegradeTimeConstant: 1, RecoverTimeConstant: 5,
			CacheSize: 2, CachedWorkFraction: .5}
		s, group := New(b, 1), &DedupGroup{}
		s.Start(0, rapid.Bool().Draw(t, "warm"))
		now, given, ended := 0.0, 0, map[int]bool{}
		work, finished, lost := map[int]float64{}, 0.0, 0.0
		partly := func() (sum float64) { // done of what is in work
			for _, r := range s.running {
				sum += r.job.Work - (r.endsAt - s.virtualWork)
			}
			return sum
		}
		tally := func(ends []Completion) {
			for _, e := range ends {
				if ended[e.Ref] || e.Ref > given || e.At > now+1e-9 {
					t.Fatalf("ended twice, never given, or in the future: %+v at %v", e, now)
				}
				ended[e.Ref] = true
				if e.Outcome == balance.Succeeded && !e.Duplicate {
					finished += work[e.Ref]
				}
			}
		}
		for range rapid.IntRange(1, 60).Draw(t, "calls") {
			now += rapid.Float64Range(0, .7).Draw(t, "pause")
			switch rapid.IntRange(0, 12).Draw(t, "call") {
			case 0:
				tally(s.Advance(now))
				lost += partly()
				tally(s.Crash(now, now+rapid.Float64Range(0, 2).Draw(t, "down")))
			case 1:
				tally(s.Pause(now, now+rapid.Float64Range(0, 2).Draw(t, "still")))
			case 2:
				tally(s.SetSpeedFactor(now, rapid.Float64Range(.1, 2).Draw(t, "factor")))
			case 3:
				_, ends := s.Abandon(now, rapid.IntRange(0, given+1).Draw(t, "who"))
				tally(ends)
			case 4:
				tally(s.SetErrorShare(now, -1, rapid.SampledFrom([]float64{0, .5}).Draw(t, "share")))
			default:
				given++
				j := Job{Ref: given, Work: rapid.Float64Range(.01, 1).Draw(t, "work"),
					DedupKey: rapid.Uint64Range(0, 3).Draw(t, "mark"), DedupWindow: 2, DedupGroup: group}
				work[given] = j.Work
				tally(s.Receive(now, j))
			}
			if len(s.running) > b.Cores || s.waiting.len() > b.QueueCapacity {
				t.Fatalf("%d in work on %d cores, %d waiting in %d", len(s.running), b.Cores, s.waiting.len(), b.QueueCapacity)
			}
			if done := finished + lost + partly(); b.CrashWindow == 0 && math.Abs(s.Work-done) > 1e-6 {
				t.Fatalf("%v of work is accounted for of %v", done, s.Work)
			}
			if s.Work > now*float64(b.Cores)*2+1e-9 { // 2: the largest factor on its speed
				t.Fatalf("%v of work by %v", s.Work, now)
			}
		}
		if n := len(ended) + s.InFlight() + s.Unreceived; n > given {
			t.Fatalf("%d ended or held of %d", n, given)
		}
		if s.Received < s.Started+s.Duplicates || s.Succeeded > s.Started {
			t.Fatalf("counts: %+v", s.Counts)
		}
	})
}

// Against the plainest memory there is: a repeat is what comes within the window of the last that ran.
func TestMarks(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var m DedupGroup
		now, late, ran := 0.0, 0, map[uint64]float64{}
		for range rapid.IntRange(1, 3000).Draw(t, "calls") {
			now += rapid.SampledFrom([]float64{0, .01, .5, 90}).Draw(t, "pause")
			mark := rapid.Uint64Range(1, 4).Draw(t, "mark")
			first, met := ran[mark]
			want := met && now <= first+1
			if got := m.isDuplicate(now, mark, 1); got != want {
				t.Fatalf("mark %d at %v, first %v: repeat %v", mark, now, first, got)
			}
			if met && !want && now <= first+1+dedupRetention {
				late++
			}
			if !want {
				ran[mark] = now
			}
			if len(m.order)-m.head > 3000 || len(m.firstSeen) > 4 {
				t.Fatal("it grows")
			}
		}
		if m.LateDuplicates != late {
			t.Fatalf("%d late repeats, not %d", m.LateDuplicates, late)
		}
	})
}

func TestFleet(t *testing.T) {
	f := NewFleet(1)
	b := plain()
	b.SlowStartDuration, b.SlowStartFraction = 10, .5
	for range 3 {
		f.AddPosition(0, MemberSpec{Name: "s", Zone: "a", Spec: b}, true)
	}
	version := f.Version
	f.Member(0).Receive(1, Job{Ref: 1, Work: 5})
	e, later := f.Apply(1, Change{Kind: ChangeReplaceInPlace, Position: 0, Value: 2})
	assert.Equal(
		t,
		[]any{balance.Draining, true, 2},
		[]any{f.Members[0].State, e.ListChanged, len(later)},
		"drains, and serves on",
	)
	assert.Empty(t, e.Completions)
	e, _ = f.Apply(3, later[0])
	assert.Equal(t, []any{balance.Removed, true}, []any{f.Members[0].State, e.ResetConnections})
	assert.Equal(t, []outcome{{1, balance.ConnectionLost, 3}}, seen(e.Completions), "what it still had is lost")
	e, _ = f.Apply(3, later[1])
	m := f.Member(0)
	assert.Equal(
		t,
		[]any{true, 3, 0, 3.0, "s.3"},
		[]any{e.ListChanged, len(f.Members) - 1, m.AddressIndex, m.StartedAt(), m.Name},
		"a new one at the old address",
	)
	f.Apply(4, Change{Kind: ChangeReplace, Position: 1, Value: 1})
	assert.Equal(
		t,
		[]any{3, balance.Draining},
		[]any{f.Member(1).AddressIndex, f.Members[1].State},
		"at a new address beside the old one",
	)
	f.Apply(5, Change{Kind: ChangeCrash, Position: 2, Value: 1})
	changed := f.Version
	e = f.Reconcile(2, f.Members[2].Advance(7))
	assert.Equal(
		t,
		[]any{true, 6.0, changed + 1},
		[]any{e.ListChanged, f.Members[2].StartedAt(), f.Version},
		"back, and listed as begun anew",
	)
	assert.True(t, slices.ContainsFunc(f.Members, func(m *Member) bool { return m.ChangedAfter(version) }))
}
