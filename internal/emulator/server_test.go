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

// plainSpec is a server with one core of speed 1 and none of the optional mechanisms.
func plainSpec() Spec { return Spec{Cores: 1, Speed: 1, QueueCapacity: 100, DegradedSpeed: 1} }

// outcome is how a job ended and when, to a hundredth of a second.
type outcome struct {
	ref int
	how balance.Outcome
	at  float64
}

func outcomes(completions []Completion) []outcome {
	var list []outcome
	for _, c := range completions {
		list = append(list, outcome{c.Ref, c.Outcome, math.Round(c.At*100) / 100})
	}
	return list
}

// call is one call on a server at a time in seconds.
type call struct {
	at float64
	do func(s *Server, now float64) []Completion
}

func job(ref int, work float64) func(*Server, float64) []Completion {
	return func(s *Server, now float64) []Completion { return s.Receive(now, Job{Ref: ref, Work: work}) }
}

// TestServer makes the calls of each case on a server and lists what completed by 60 s.
func TestServer(t *testing.T) {
	group := &DedupGroup{}
	deduplicated := func(ref int) func(*Server, float64) []Completion {
		return func(s *Server, now float64) []Completion {
			return s.Receive(now, Job{Ref: ref, Work: 1, DedupKey: 7, DedupWindow: 3, DedupGroup: group})
		}
	}
	keyed := func(ref int, key uint64) func(*Server, float64) []Completion {
		return func(s *Server, now float64) []Completion { return s.Receive(now, Job{Ref: ref, Work: 1, Key: key}) }
	}
	const ok, fails = balance.Succeeded, balance.ServerError
	const rejected, lost = balance.ServerRejected, balance.ConnectionLost
	slowStart := func(spec *Spec) {
		spec.SlowStartFraction = .2
		spec.SlowStartDuration = 10
	}
	crashesInSlowStart := func(spec *Spec) {
		slowStart(spec)
		spec.CrashFactor = 3
		spec.CrashWindow = 1
		spec.CrashDowntime = 2
	}
	for name, c := range map[string]struct {
		configure func(*Spec)
		starting  bool
		calls     []call
		want      []outcome
		check     func(*testing.T, *Server)
	}{
		"one core runs jobs in turn": {
			calls: []call{{0, job(1, 1)}, {0, job(2, 2)}, {0.5, job(3, 1)}},
			want:  []outcome{{1, ok, 1}, {2, ok, 3}, {3, ok, 4}},
		},
		"two fast cores": {
			configure: func(spec *Spec) { spec.Cores, spec.Speed = 2, 2 },
			calls:     []call{{0, job(1, 2)}, {0, job(2, 1)}, {0, job(3, 1)}},
			want:      []outcome{{2, ok, .5}, {1, ok, 1}, {3, ok, 1}},
		},
		"a full queue rejects": {
			configure: func(spec *Spec) { spec.QueueCapacity = 1 },
			calls:     []call{{0, job(1, 1)}, {0, job(2, 1)}, {0, job(3, 1)}},
			want:      []outcome{{3, rejected, 0}, {1, ok, 1}, {2, ok, 2}},
		},
		"slow for a while": {
			calls: []call{{0, job(1, 2)}, {1, speed(.5)}, {2, speed(1)}},
			want:  []outcome{{1, ok, 2.5}},
		},
		"paused, then accepts what arrived meanwhile": {
			calls: []call{{0, job(1, 1)}, {.5, pause(5)}, {1, job(2, 1)}},
			want:  []outcome{{1, ok, 6}, {2, ok, 7}},
		},
		"the longer of two pauses counts": {
			calls: []call{{0, pause(3)}, {1, pause(1)}, {1, job(1, 1)}},
			want:  []outcome{{1, ok, 4}},
		},
		"an error is returned at once": {
			calls: []call{{0, fail(-1, 1)}, {0, job(1, 1)}, {1, fail(-1, 0)}, {1, job(2, 1)}},
			want:  []outcome{{1, fails, 0}, {2, ok, 2}},
		},
		"only one class fails": {
			calls: []call{{0, fail(0, 1)}, {0, job(1, 1)}, {1, fail(0, 0)}, {1, fail(1, 1)}, {1, job(2, 1)}},
			want:  []outcome{{1, fails, 0}, {2, ok, 2}},
		},
		"a job accepted while hanging never completes": {
			calls: []call{{0, hang(true)}, {0, job(1, 1)}, {1, hang(false)}, {1, job(2, 1)}},
			want:  []outcome{{2, ok, 2}},
			check: func(t *testing.T, s *Server) {
				t.Helper()
				assert.Equal(t, 1, s.InFlight())
			},
		},
		"unreachable: what is sent is lost, what runs completes": {
			calls: []call{
				{0, job(1, 2)},
				{1, unreachable(true)},
				{1, job(2, 1)},
				{3, unreachable(false)},
				{3, job(3, 1)},
			},
			want: []outcome{{1, ok, 2}, {3, ok, 4}},
			check: func(t *testing.T, s *Server) {
				t.Helper()
				assert.Equal(t, 1, s.Unreceived)
			},
		},
		"a crash loses all jobs, and the restart is a slow start": {
			configure: func(spec *Spec) { spec.SlowStartFraction, spec.SlowStartDuration = .5, 20 },
			calls:     []call{{0, job(1, 2)}, {0, job(2, 1)}, {1, crash(3)}, {2, job(3, 1)}, {5, job(4, 1)}},
			want:      []outcome{{1, lost, 1}, {2, lost, 1}, {3, lost, 2}, {4, ok, 6.83}},
			check: func(t *testing.T, s *Server) {
				t.Helper()
				assert.Equal(t, 4.0, s.StartedAt())
				assert.Equal(t, Accepting, s.Reachability())
			},
		},
		"slow start": {
			configure: slowStart,
			starting:  true,
			calls:     []call{{0, job(1, .6)}, {20, job(2, 1)}},
			want:      []outcome{{1, ok, 2.13}, {2, ok, 21}},
		},
		"overloaded in slow start, it crashes and restarts": {
			configure: crashesInSlowStart,
			starting:  true,
			calls:     []call{{0, job(1, .3)}, {.1, job(2, .25)}, {.2, job(3, .25)}, {5, job(4, .1)}},
			want:      []outcome{{3, lost, .2}, {1, lost, .2}, {2, lost, .2}, {4, ok, 5.23}},
			check: func(t *testing.T, s *Server) {
				t.Helper()
				assert.Equal(t, 1, s.Crashes)
				assert.Equal(t, 2.2, s.StartedAt())
			},
		},
		"past its slow start, the same load only queues": {
			configure: crashesInSlowStart,
			calls:     []call{{0, job(1, 2)}, {.1, job(2, 2)}},
			want:      []outcome{{1, ok, 2}, {2, ok, 4}},
		},
		"a cached key takes less work, until others evict it": {
			configure: func(spec *Spec) { spec.CacheSize, spec.CachedWorkFraction = 1, .5 },
			calls:     []call{{0, keyed(1, 5)}, {0, keyed(2, 5)}, {0, keyed(3, 6)}, {0, keyed(4, 5)}},
			want:      []outcome{{1, ok, 1}, {2, ok, 1.5}, {3, ok, 2.5}, {4, ok, 3.5}},
		},
		"a duplicate within its window is dropped, a later one runs": {
			calls: []call{{0, deduplicated(1)}, {2, deduplicated(2)}, {3.5, deduplicated(3)}},
			want:  []outcome{{1, ok, 1}, {2, ok, 2}, {3, ok, 4.5}},
			check: func(t *testing.T, s *Server) {
				t.Helper()
				assert.Equal(t, []int{1, 2, 1}, []int{s.Duplicates, s.Started, group.LateDuplicates})
			},
		},
		"an abandoned job is dropped while it waits, and completes once it runs": {
			calls: []call{{0, job(1, 1)}, {0, job(2, 1)}, {0, job(3, 1)}, {.5, abandon(2)}, {.5, abandon(1)}},
			want:  []outcome{{1, ok, 1}, {3, ok, 2}},
		},
	} {
		t.Run(name, func(t *testing.T) {
			spec := plainSpec()
			if c.configure != nil {
				c.configure(&spec)
			}
			s := New(spec, 1)
			s.Start(0, !c.starting)
			var got []outcome
			for _, call := range c.calls {
				got = append(got, outcomes(call.do(s, call.at))...)
			}
			got = append(got, outcomes(s.Advance(60))...)
			assert.Equal(t, c.want, got)
			if c.check != nil {
				c.check(t, s)
			}
		})
	}
}

func speed(x float64) func(*Server, float64) []Completion {
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

func unreachable(on bool) func(*Server, float64) []Completion {
	return func(s *Server, now float64) []Completion { return s.SetUnreachable(now, on) }
}

func crash(down float64) func(*Server, float64) []Completion {
	return func(s *Server, now float64) []Completion { return s.Crash(now, now+down) }
}

func abandon(ref int) func(*Server, float64) []Completion {
	return func(s *Server, now float64) []Completion {
		_, completions := s.Abandon(now, ref)
		return completions
	}
}

// degradingSpec is a server that slows down to a quarter of its speed when five jobs wait.
func degradingSpec() Spec {
	spec := plainSpec()
	spec.DegradeQueueLength = 5
	spec.DegradedSpeed = .25
	spec.DegradeTimeConstant = .5
	spec.RecoverTimeConstant = 20
	return spec
}

// TestDegradationOutlastsOverload checks that a server stays slow after the overload that slowed it down has ended.
func TestDegradationOutlastsOverload(t *testing.T) {
	spec := degradingSpec()
	spec.QueueCapacity = 50
	s := New(spec, 1)
	s.Start(0, true)
	for i := range 40 {
		s.Receive(0, Job{Ref: i, Work: .1})
	}
	for at := 0.0; s.InFlight() > 0; at += .1 {
		s.Advance(at)
	}
	assert.Less(t, s.now, 16.0, "a quarter of its speed at the worst")
	assert.Greater(t, s.now, 8.0, "without degradation it would take 4 s")
	idleSince := s.now
	took := func(at float64) float64 {
		s.Receive(at, Job{Work: .1})
		return s.Advance(at + 5)[0].At - at
	}
	assert.Greater(t, took(idleSince+5), .2, "five idle seconds later it is still slow")
	assert.InDelta(t, .1, took(idleSince+120), .005, "two minutes later it is not")
}

// TestDegradesWhileQueueLengthOscillates lets the queue cross DegradeQueueLength more often than the speed is updated:
// if work arrival postponed the update, the server would never degrade.
func TestDegradesWhileQueueLengthOscillates(t *testing.T) {
	spec := degradingSpec()
	spec.QueueCapacity = 10
	s := New(spec, 1)
	s.Start(0, true)
	const work = .0101 // s; no divisor of stepInterval
	for i := range 5 { // one running, four waiting
		s.Receive(0, Job{Ref: i, Work: work})
	}
	for i := range 300 { // one arrives just after one has completed
		s.Receive(float64(i)*work+.001, Job{Ref: 5 + i, Work: work})
	}
	assert.Greater(t, s.Degradation(), .5)
}

// TestQueueingTheory compares the mean response time with that of M/M/1 and, by Erlang's C formula, of M/M/c.
func TestQueueingTheory(t *testing.T) {
	for _, c := range []struct {
		cores int
		load  float64
	}{{1, .5}, {1, .8}, {4, .7}, {8, .9}} {
		spec := plainSpec()
		spec.Cores = c.cores
		spec.QueueCapacity = 1 << 30
		s := New(spec, 1)
		s.Start(0, true)
		rng := rand.New(rand.NewPCG(3, uint64(c.cores)))
		const n = 400_000
		arrivedAt := make([]float64, n)
		total := 0.0
		count := func(completions []Completion) {
			for _, c := range completions {
				total += c.At - arrivedAt[c.Ref]
			}
		}
		now := 0.0
		for i := range n {
			now += rng.ExpFloat64() / (c.load * float64(c.cores))
			arrivedAt[i] = now
			count(s.Receive(now, Job{Ref: i, Work: rng.ExpFloat64()}))
		}
		count(s.Advance(now + 1000))
		traffic := c.load * float64(c.cores) // in Erlang
		term, sum := 1.0, 0.0
		for k := range c.cores {
			sum += term
			term *= traffic / float64(k+1)
		}
		waitProbability := term / (1 - c.load) / (sum + term/(1-c.load))
		want := 1 + waitProbability/(float64(c.cores)*(1-c.load))
		assert.InEpsilon(t, want, total/n, .04, "%d cores at %v", c.cores, c.load)
	}
}

// TestProperties makes random calls on a server: each job that was given completes at most once, work is conserved, and
// no more is done than the cores can do.
func TestProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		run := newPropertyRun(t)
		for range rapid.IntRange(1, 60).Draw(t, "calls") {
			run.now += rapid.Float64Range(0, .7).Draw(t, "gap")
			run.call(t)
			run.checkWork(t)
		}
		run.checkCounts(t)
	})
}

// propertyRun is a server under random calls, with what the calls so far must add up to.
type propertyRun struct {
	*Server
	spec      Spec
	group     *DedupGroup
	now       float64
	given     int // jobs; their Ref goes from 1 to this
	completed map[int]bool
	work      map[int]float64 // by Ref
	finished  float64         // work of the jobs that succeeded
	lost      float64         // work done of jobs that a crash interrupted
}

func newPropertyRun(t *rapid.T) *propertyRun {
	spec := Spec{
		Cores:               rapid.IntRange(1, 3).Draw(t, "cores"),
		Speed:               1,
		QueueCapacity:       rapid.IntRange(0, 5).Draw(t, "queue capacity"),
		SlowStartFraction:   .3,
		SlowStartDuration:   3,
		CrashFactor:         3,
		CrashDowntime:       1,
		CrashWindow:         rapid.SampledFrom([]float64{0, 1}).Draw(t, "crash window"),
		DegradeQueueLength:  3,
		DegradedSpeed:       .5,
		DegradeTimeConstant: 1,
		RecoverTimeConstant: 5,
		CacheSize:           2,
		CachedWorkFraction:  .5,
	}
	run := &propertyRun{
		Server:    New(spec, 1),
		spec:      spec,
		group:     &DedupGroup{},
		completed: map[int]bool{},
		work:      map[int]float64{},
	}
	run.Start(0, rapid.Bool().Draw(t, "warm"))
	return run
}

// call makes one random call and checks the completions that it returns.
func (r *propertyRun) call(t *rapid.T) {
	switch rapid.IntRange(0, 12).Draw(t, "call") {
	case 0:
		r.check(t, r.Advance(r.now))
		r.lost += r.partialWork()
		r.check(t, r.Crash(r.now, r.now+rapid.Float64Range(0, 2).Draw(t, "downtime")))
	case 1:
		r.check(t, r.Pause(r.now, r.now+rapid.Float64Range(0, 2).Draw(t, "pause")))
	case 2:
		r.check(t, r.SetSpeedFactor(r.now, rapid.Float64Range(.1, 2).Draw(t, "factor")))
	case 3:
		_, completions := r.Abandon(r.now, rapid.IntRange(0, r.given+1).Draw(t, "abandoned"))
		r.check(t, completions)
	case 4:
		r.check(t, r.SetErrorShare(r.now, -1, rapid.SampledFrom([]float64{0, .5}).Draw(t, "share")))
	default:
		r.given++
		job := Job{
			Ref:         r.given,
			Work:        rapid.Float64Range(.01, 1).Draw(t, "work"),
			DedupKey:    rapid.Uint64Range(0, 3).Draw(t, "key"),
			DedupWindow: 2,
			DedupGroup:  r.group,
		}
		r.work[r.given] = job.Work
		r.check(t, r.Receive(r.now, job))
	}
}

func (r *propertyRun) check(t *rapid.T, completions []Completion) {
	for _, c := range completions {
		if r.completed[c.Ref] || c.Ref > r.given || c.At > r.now+1e-9 {
			t.Fatalf("completed twice, never given, or in the future: %+v at %v", c, r.now)
		}
		r.completed[c.Ref] = true
		if c.Outcome == balance.Succeeded && !c.Duplicate {
			r.finished += r.work[c.Ref]
		}
	}
}

// partialWork is the work done so far of the jobs that run.
func (r *propertyRun) partialWork() (sum float64) {
	for _, running := range r.running {
		sum += running.job.Work - (running.endsAt - r.virtualWork)
	}
	return sum
}

func (r *propertyRun) checkWork(t *rapid.T) {
	if len(r.running) > r.spec.Cores || r.waiting.len() > r.spec.QueueCapacity {
		t.Fatalf("%d running on %d cores, %d waiting in %d",
			len(r.running), r.spec.Cores, r.waiting.len(), r.spec.QueueCapacity)
	}
	done := r.finished + r.lost + r.partialWork()
	if r.spec.CrashWindow == 0 && math.Abs(r.Work-done) > 1e-6 {
		t.Fatalf("%v of work is accounted for of %v", done, r.Work)
	}
	const maxSpeedFactor = 2 // that call draws
	if r.Work > r.now*float64(r.spec.Cores)*maxSpeedFactor+1e-9 {
		t.Fatalf("%v of work by %v", r.Work, r.now)
	}
}

func (r *propertyRun) checkCounts(t *rapid.T) {
	if n := len(r.completed) + r.InFlight() + r.Unreceived; n > r.given {
		t.Fatalf("%d completed or in flight of %d", n, r.given)
	}
	if r.Received < r.Started+r.Duplicates || r.Succeeded > r.Started {
		t.Fatalf("counts: %+v", r.Counts)
	}
}

// TestDedupGroup compares with a map that forgets nothing: a duplicate is what arrives within the window of the last
// job that ran.
func TestDedupGroup(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var group DedupGroup
		now, late := 0.0, 0
		ran := map[uint64]float64{}
		for range rapid.IntRange(1, 3000).Draw(t, "calls") {
			now += rapid.SampledFrom([]float64{0, .01, .5, 90}).Draw(t, "gap")
			key := rapid.Uint64Range(1, 4).Draw(t, "key")
			first, seen := ran[key]
			want := seen && now <= first+1
			if got := group.isDuplicate(now, key, 1); got != want {
				t.Fatalf("key %d at %v, first %v: duplicate %v", key, now, first, got)
			}
			if seen && !want && now <= first+1+dedupRetention {
				late++
			}
			if !want {
				ran[key] = now
			}
			if len(group.order)-group.head > 3000 || len(group.firstSeen) > 4 {
				t.Fatal("the group grows without bound")
			}
		}
		if group.LateDuplicates != late {
			t.Fatalf("%d late duplicates, not %d", group.LateDuplicates, late)
		}
	})
}

func TestFleet(t *testing.T) {
	f := NewFleet(1)
	spec := plainSpec()
	spec.SlowStartDuration, spec.SlowStartFraction = 10, .5
	for range 3 {
		f.AddPosition(0, MemberSpec{Name: "s", Zone: "a", Spec: spec}, true)
	}
	version := f.Version
	f.Member(0).Receive(1, Job{Ref: 1, Work: 5})
	effect, followUps := f.Apply(1, Change{Kind: ChangeReplaceInPlace, Position: 0, Value: 2})
	assert.Equal(
		t,
		[]any{balance.Draining, true, 2},
		[]any{f.Members[0].State, effect.ListChanged, len(followUps)},
		"drains, and goes on serving",
	)
	assert.Empty(t, effect.Completions)
	effect, _ = f.Apply(3, followUps[0])
	assert.Equal(t, []any{balance.Removed, true}, []any{f.Members[0].State, effect.ResetConnections})
	assert.Equal(t, []outcome{{1, balance.ConnectionLost, 3}}, outcomes(effect.Completions), "its last job is lost")
	effect, _ = f.Apply(3, followUps[1])
	m := f.Member(0)
	assert.Equal(
		t,
		[]any{true, 3, 0, 3.0, "s.3"},
		[]any{effect.ListChanged, len(f.Members) - 1, m.AddressIndex, m.StartedAt(), m.Name},
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
	effect = f.Reconcile(2, f.Members[2].Advance(7))
	assert.Equal(
		t,
		[]any{true, 6.0, changed + 1},
		[]any{effect.ListChanged, f.Members[2].StartedAt(), f.Version},
		"back, and listed with its new start",
	)
	assert.True(t, slices.ContainsFunc(f.Members, func(m *Member) bool { return m.ChangedAfter(version) }))
}
