package emulator

import (
	"math"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/assert"

	"lockloom/balance"
)

// plainSpec is a server with one core of speed 1 and none of the optional mechanisms.
func plainSpec() Spec { return Spec{Cores: 1, Speed: 1, QueueCapacity: 100, DegradedSpeed: 1} }

// outcome is how a job ended and when, rounded to a hundredth of a second.
type outcome struct {
	ref     int
	outcome balance.Outcome
	at      float64
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

// TestServer makes the calls of each case on a server and compares the jobs that have completed by 60 s.
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
		"an abandoned job is dropped if it is queued, and completes if it runs": {
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

// degradingSpec is a server that slows down to a quarter of its speed while at least five jobs are queued.
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
	assert.Less(t, s.now, 16.0, "its speed never falls below a quarter")
	assert.Greater(t, s.now, 8.0, "without degradation it would take 4 s")
	idleSince := s.now
	responseTime := func(at float64) float64 {
		s.Receive(at, Job{Work: .1})
		return s.Advance(at + 5)[0].At - at
	}
	assert.Greater(t, responseTime(idleSince+5), .2, "the server is still slow after five idle seconds")
	assert.InDelta(t, .1, responseTime(idleSince+120), .005, "the server has recovered after two idle minutes")
}

// TestDegradesWhileQueueLengthOscillates guards against arrivals that postpone the next update of the speed: a server
// whose queue crosses DegradeQueueLength more often than the speed is updated would then never degrade.
func TestDegradesWhileQueueLengthOscillates(t *testing.T) {
	spec := degradingSpec()
	spec.QueueCapacity = 10
	s := New(spec, 1)
	s.Start(0, true)
	const work = .0101 // s; does not divide stepInterval
	for i := range 5 { // one running, four queued
		s.Receive(0, Job{Ref: i, Work: work})
	}
	for i := range 300 { // each arrives just after another has completed
		s.Receive(float64(i)*work+.001, Job{Ref: 5 + i, Work: work})
	}
	assert.Greater(t, s.Degradation(), .5)
}

// TestQueueingTheory compares the mean response time with that of an M/M/1 queue and, by the Erlang C formula, of an
// M/M/c queue.
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
		traffic := c.load * float64(c.cores) // offered traffic in erlangs
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
