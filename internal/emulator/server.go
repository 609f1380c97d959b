// Package emulator models the servers that proxies send requests to: queues, slow start, degradation under load, pauses
// and failures. It has no I/O and no clock: every call takes the present time in seconds and returns the jobs that
// ended since the call before, so that one model serves a simulation on sockets and one in virtual time. Nothing in it
// is safe for concurrent use.
package emulator

import (
	"math"
	"math/rand/v2"

	"lockloom/balance"
)

const (
	stepInterval            = 0.1  // s between updates of what changes gradually: slow start and degradation
	minDegradation          = 0.01 // fraction; less counts as none
	utilizationTimeConstant = 0.5  // s, of the smoothed use of the cores in load reports
)

// Server is one emulated server.
type Server struct {
	Counts
	faults
	jobs
	spec        Spec
	rand        *rand.Rand
	now         float64
	startedAt   float64 // -Inf: long ago
	up          bool
	restartAt   float64 // +Inf: not planned
	nextStepAt  float64 // next update of the speed; +Inf: it does not change by itself
	rate        float64 // work that a core does in a second now
	virtualWork float64 // work that a core busy since the first start would have done
	degradation float64 // 0 to 1
	utilization float64 // smoothed fraction of the cores in use
	recentWork  workWindow
	cache       keyCache
	completions []Completion // of the call in progress
}

// faults are the faults injected into a server. Those by class have the class plus 1 as their index, and 0 for all.
type faults struct {
	unreachable bool
	pausedUntil float64
	speedFactor float64
	errorShares []float64
	classHangs  []bool
}

// jobs are the jobs that a server holds, by their state.
type jobs struct {
	running runningJobs
	waiting queue
	hanging []Job // accepted, and never completed
	inbox   []Job // arrived while the server was paused
}

// drop takes away a job that has not begun to run, and reports whether it was held.
func (j *jobs) drop(ref int) bool {
	match := func(job Job) bool { return job.Ref == ref }
	return j.waiting.remove(match) || remove(&j.hanging, match) || remove(&j.inbox, match)
}

// InFlight is the number of jobs that the server holds in any state.
func (j *jobs) InFlight() int {
	return len(j.running) + j.waiting.len() + len(j.hanging) + len(j.inbox)
}

// New returns a server that has not started. The seed determines which jobs fail where a share of them does.
func New(spec Spec, seed uint64) *Server {
	return &Server{
		spec:       spec,
		rand:       rand.New(rand.NewPCG(seed, 1)),
		nextStepAt: math.Inf(1),
		restartAt:  math.Inf(1),
		faults:     faults{speedFactor: 1},
		cache:      keyCache{capacity: spec.CacheSize},
	}
}

// Start begins to serve, warm as if the server had run for long, or in slow start.
func (s *Server) Start(now float64, warm bool) []Completion {
	s.advanceTo(now)
	s.start(warm)
	return s.completions
}

// Receive gives the server a job whose last byte has arrived. Its completion is returned by this call or a later one.
func (s *Server) Receive(now float64, j Job) []Completion {
	s.advanceTo(now)
	switch {
	case !s.up:
		s.complete(j, balance.ConnectionLost)
	case s.unreachable:
		s.Unreceived++ // lost on its way to a server that is partitioned
	case now < s.pausedUntil:
		s.inbox = append(s.inbox, j)
	default:
		s.accept(j)
	}
	return s.completions
}

// Abandon reports that nobody waits for a job any more. A queued job is dropped, and dropped is true; a running one
// goes on and completes as usual.
func (s *Server) Abandon(now float64, ref int) (dropped bool, completions []Completion) {
	s.advanceTo(now)
	return s.drop(ref), s.completions
}

// Crash stops the server and loses all its jobs. It restarts in slow start at restartAt; +Inf: not by itself.
func (s *Server) Crash(now, restartAt float64) []Completion {
	s.advanceTo(now)
	s.crash(restartAt)
	return s.completions
}

// Pause freezes the server until a time: jobs that arrive wait, and none completes.
func (s *Server) Pause(now, until float64) []Completion {
	s.advanceTo(now)
	s.pausedUntil = max(s.pausedUntil, until)
	s.updateSpeed()
	return s.completions
}

// SetSpeedFactor multiplies the speed of every core; 1 restores it.
func (s *Server) SetSpeedFactor(now, factor float64) []Completion {
	s.advanceTo(now)
	s.speedFactor = factor
	s.updateSpeed()
	return s.completions
}

// SetErrorShare sets the share, from 0 to 1, of a class's jobs that fail at once; class -1 is all classes.
func (s *Server) SetErrorShare(now float64, class int, share float64) []Completion {
	s.advanceTo(now)
	s.errorShares = withValue(s.errorShares, class+1, share)
	return s.completions
}

// SetHanging sets whether a class's jobs are accepted and never complete; class -1 is all classes.
func (s *Server) SetHanging(now float64, class int, hangs bool) []Completion {
	s.advanceTo(now)
	s.classHangs = withValue(s.classHangs, class+1, hangs)
	return s.completions
}

// SetUnreachable partitions the server from the network, or reconnects it. The caller resets what had been open.
func (s *Server) SetUnreachable(now float64, unreachable bool) []Completion {
	s.advanceTo(now)
	s.unreachable = unreachable
	return s.completions
}

// Advance moves the time on.
func (s *Server) Advance(now float64) []Completion {
	s.advanceTo(now)
	return s.completions
}

// NextEvent is the time by which Advance must be called; +Inf: nothing will happen by itself.
func (s *Server) NextEvent() float64 {
	at, _ := s.nextChange()
	return at
}

// Reachability is what happens to a client that connects now.
func (s *Server) Reachability() Reachability {
	switch {
	case s.unreachable:
		return Unreachable
	case !s.up:
		return Refusing
	}
	return Accepting
}

// StartedAt is the time of the last start; 0: long ago.
func (s *Server) StartedAt() float64 { return max(s.startedAt, 0) }

// WarmingUp reports whether the server is in slow start.
func (s *Server) WarmingUp() bool { return s.up && s.now < s.startedAt+s.spec.SlowStartDuration }

// Degradation is how far long queues slow the server down, from 0 to 1.
func (s *Server) Degradation() float64 { return s.degradation }

// Load is the content of a load report: jobs running and queued, and the smoothed fraction of the cores in use.
func (s *Server) Load() (running, queued int, utilization float64) {
	return len(s.running), s.waiting.len(), s.utilization
}

// Paused reports whether the server is frozen by Pause.
func (s *Server) Paused() bool { return s.up && s.now < s.pausedUntil }
