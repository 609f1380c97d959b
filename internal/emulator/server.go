// Package emulator models the servers that proxies send requests to: queues, slow start, degradation under load, pauses
// and failures. It has no I/O and no clock: every call takes the current time in seconds and returns the jobs that have
// ended since the previous call, so that the same model serves simulations on sockets and in virtual time. Nothing in
// it is safe for concurrent use.
package emulator

import (
	"math"
	"math/rand/v2"

	"lockloom/balance"
)

const (
	stepInterval            = 0.1  // seconds between updates of a speed that slow start or degradation changes
	minDegradation          = 0.01 // a degradation below this is set to 0
	utilizationTimeConstant = 0.5  // seconds; time constant by which the utilization in load reports is smoothed
)

// Server is an emulated server. All times are in seconds. Each method that takes the current time returns the jobs that
// have ended since the previous such call, in a list that is valid until the next one.
type Server struct {
	Counts
	faults
	jobs
	spec        Spec
	rand        *rand.Rand
	now         float64
	startedAt   float64 // -Inf: started warm
	up          bool
	restartAt   float64 // +Inf: none scheduled
	nextStepAt  float64 // next call of updateDegradation; +Inf: none scheduled
	rate        float64 // work that a busy core does per second at present
	virtualWork float64 // work that a core busy without a break would have done since the first start
	degradation float64 // 0: none, 1: the speed is down to spec.DegradedSpeed
	utilization float64 // smoothed fraction of the cores in use
	recentWork  workWindow
	cache       keyCache
	completions []Completion // collected by the current call
}

// faults are the faults injected into a server. In the lists by class, index 0 applies to all classes, and any other
// index to the class index-1.
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
	queued  queue
	hanging []Job // accepted, but never completed
	inbox   []Job // arrived while the server was paused
}

// drop removes a job if it has not started to run, and reports whether there was such a job.
func (j *jobs) drop(ref int) bool {
	match := func(job Job) bool { return job.Ref == ref }
	return j.queued.remove(match) || remove(&j.hanging, match) || remove(&j.inbox, match)
}

// InFlight returns the number of jobs that the server holds in any state.
func (j *jobs) InFlight() int {
	return len(j.running) + j.queued.len() + len(j.hanging) + len(j.inbox)
}

// New returns a server that has not started. The seed determines which jobs fail while SetErrorShare applies.
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

// Start starts the server: past its slow start if warm, else at the beginning of it.
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
		s.Unreceived++ // lost in the network, from which the server is partitioned
	case now < s.pausedUntil:
		s.inbox = append(s.inbox, j)
	default:
		s.accept(j)
	}
	return s.completions
}

// Abandon tells the server that the client no longer waits for a job. A job that has not started is dropped, and
// dropped is true; a running one completes as usual.
func (s *Server) Abandon(now float64, ref int) (dropped bool, completions []Completion) {
	s.advanceTo(now)
	return s.drop(ref), s.completions
}

// Crash stops the server and loses all its jobs. It restarts in slow start at restartAt; +Inf: only by Start.
func (s *Server) Crash(now, restartAt float64) []Completion {
	s.advanceTo(now)
	s.crash(restartAt)
	return s.completions
}

// Pause freezes the server until a time: it holds the jobs that arrive and completes none.
func (s *Server) Pause(now, until float64) []Completion {
	s.advanceTo(now)
	s.pausedUntil = max(s.pausedUntil, until)
	s.updateSpeed()
	return s.completions
}

// SetSpeedFactor multiplies the configured speed of every core by a factor; 1 restores it.
func (s *Server) SetSpeedFactor(now, factor float64) []Completion {
	s.advanceTo(now)
	s.speedFactor = factor
	s.updateSpeed()
	return s.completions
}

// SetErrorShare sets the share, from 0 to 1, of the jobs of a class that fail as soon as the server accepts them; class
// -1: all classes.
func (s *Server) SetErrorShare(now float64, class int, share float64) []Completion {
	s.advanceTo(now)
	s.errorShares = withValue(s.errorShares, class+1, share)
	return s.completions
}

// SetHanging sets whether the jobs of a class that the server accepts from now on hang, that is, never complete; class
// -1: all classes.
func (s *Server) SetHanging(now float64, class int, hangs bool) []Completion {
	s.advanceTo(now)
	s.classHangs = withValue(s.classHangs, class+1, hangs)
	return s.completions
}

// SetUnreachable partitions the server from the network, or reconnects it. After reconnecting it, the caller must reset
// the connections that had been open before.
func (s *Server) SetUnreachable(now float64, unreachable bool) []Completion {
	s.advanceTo(now)
	s.unreachable = unreachable
	return s.completions
}

// Advance advances the server's time to now.
func (s *Server) Advance(now float64) []Completion {
	s.advanceTo(now)
	return s.completions
}

// NextEvent returns the time by which Advance must be called; +Inf: no event is scheduled.
func (s *Server) NextEvent() float64 {
	at, _ := s.nextChange()
	return at
}

// Reachability returns what happens to a client that connects now.
func (s *Server) Reachability() Reachability {
	switch {
	case s.unreachable:
		return Unreachable
	case !s.up:
		return Refusing
	}
	return Accepting
}

// StartedAt returns the time of the last start; 0: the server started warm.
func (s *Server) StartedAt() float64 { return max(s.startedAt, 0) }

// WarmingUp reports whether the server is in slow start.
func (s *Server) WarmingUp() bool { return s.up && s.now < s.startedAt+s.spec.SlowStartDuration }

// Degradation returns how far long queues have slowed the server down, from 0 to 1.
func (s *Server) Degradation() float64 { return s.degradation }

// Load returns the content of a load report: jobs running and queued, and the smoothed fraction of the cores in use.
func (s *Server) Load() (running, queued int, utilization float64) {
	return len(s.running), s.queued.len(), s.utilization
}

// Paused reports whether the server is frozen by Pause.
func (s *Server) Paused() bool { return s.up && s.now < s.pausedUntil }
