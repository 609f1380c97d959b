// Package emulator is a model of the servers that proxies send requests to: queues, cold starts, slowdowns, pauses and
// failures. It does no input or output and keeps no clock: every call takes the present time in seconds and returns what
// ended since, so that one model serves a rehearsal on sockets and one in virtual time.
package emulator

import (
	"container/heap"
	"math"
	"math/rand/v2"

	"lockloom/balance"
)

const (
	stepInterval            = 0.1  // s between looks at what changes by and by: warming up, choking
	minDegradation          = 0.01 // of choking; less is none
	utilizationTimeConstant = 0.5  // s over which the load report's use of the cores is smoothed
)

// Spec is what a server is made of. Times are in seconds, work in seconds of a core at speed 1.
type Spec struct {
	Cores               int
	Speed               float64 // work that a core does in a second
	QueueCapacity       int     // requests that may wait; a further one is rejected unseen
	SlowStartFraction   float64 // of its speed, just after its start
	SlowStartDuration   float64 // until it has all of it
	CrashFactor         float64 // cold, and sent more than this many times what it can do ...
	CrashWindow         float64 // ... over this long, it falls over; 0: never
	CrashDowntime       float64 // and is back, cold, so much later
	DegradeQueueLength  int     // requests waiting from which it slows down; 0: never
	DegradedSpeed       float64 // of its speed that is left then
	DegradeTimeConstant float64 // time constant of slowing down
	RecoverTimeConstant float64 // and of getting over it once fewer wait
	CacheSize           int     // keys that it remembers
	CachedWorkFraction  float64 // of its work that a request with such a key takes
}

// Job is a request as it reaches a server.
type Job struct {
	Ref         int // the caller's, handed back in its End
	Class       int
	Work        float64
	Key         uint64 // of its subject; 0: none
	DedupKey    uint64 // by which repeats are known; 0: none
	DedupWindow float64
	DedupGroup  *DedupGroup // of the server's group
}

// Completion is how a job ended here: successful, a fault, no room (it never ran) or cut (the server crashed).
type Completion struct {
	Ref       int
	Outcome   balance.Outcome
	At        float64
	Work      float64 // that it took
	Duplicate bool    // dropped as one: answered, not run
}

// Reachability is what becomes of those who connect to a server.
type Reachability uint8

const (
	Accepting   Reachability = iota
	Refusing                 // refused; what was open is reset
	Unreachable              // never comes up; what was open says nothing
)

// Counts are a server's own, since it was made.
type Counts struct {
	Received, Started, Succeeded, Errors, Rejected, Duplicates, Lost, Unreceived, Crashes int
	Work                                                                                  float64 // done
}

// Server is one emulated server.
type Server struct {
	Counts
	spec        Spec
	rand        *rand.Rand
	now         float64
	startedAt   float64 // it started; -Inf: long ago
	up          bool
	unreachable bool
	rate        float64 // work that a core does in a second now
	virtualWork float64 // work that a core busy since the first start would have done
	running     runningJobs
	waiting     queue
	hanging     []Job // hung: answered never
	inbox       []Job // came while it stood still
	nextStepAt  float64
	restartAt   float64 // +Inf: not planned
	pausedUntil float64
	speedFactor float64 // factor on its speed
	degradation float64 // 0 to 1
	errorShares []float64
	classHangs  []bool // both by class, and for all at 0
	recentWork  workWindow
	cache       keyCache
	utilization float64
	completions []Completion
}

type runningJob struct {
	job    Job
	endsAt float64 // of passed
}

type runningJobs []runningJob

func (r runningJobs) Len() int           { return len(r) }
func (r runningJobs) Less(i, j int) bool { return r[i].endsAt < r[j].endsAt }
func (r runningJobs) Swap(i, j int)      { r[i], r[j] = r[j], r[i] }
func (r *runningJobs) Push(x any)        { *r = append(*r, x.(runningJob)) }
func (r *runningJobs) Pop() any {
	x := (*r)[len(*r)-1]
	*r = (*r)[:len(*r)-1]
	return x
}

// New is a server that has not started. Its chance, of faults alone, comes from the seed.
func New(b Spec, seed uint64) *Server {
	return &Server{spec: b, rand: rand.New(rand.NewPCG(seed, 1)), nextStepAt: math.Inf(1), restartAt: math.Inf(1),
		speedFactor: 1, cache: keyCache{capacity: b.CacheSize}}
}

// Start lets it serve, warm as if it had run for long or cold.
func (s *Server) Start(now float64, warm bool) []Completion {
	s.advanceTo(now)
	s.start(warm)
	return s.completions
}

// Receive hands it a request whose last byte has come. Its end comes from this call or a later one.
func (s *Server) Receive(now float64, j Job) []Completion {
	s.advanceTo(now)
	switch {
	case !s.up:
		s.complete(j, balance.ConnectionLost)
	case s.unreachable:
		s.Unreceived++ // on its way to a server that is cut off, it is lost
	case now < s.pausedUntil:
		s.inbox = append(s.inbox, j)
	default:
		s.accept(j)
	}
	return s.completions
}

// Abandon tells that nobody waits for a job any more. One that waits is dropped, which it tells; one in work is done all
// the same and ends as ever.
func (s *Server) Abandon(now float64, ref int) (dropped bool, ends []Completion) {
	s.advanceTo(now)
	match := func(j Job) bool { return j.Ref == ref }
	dropped = s.waiting.remove(match) || remove(&s.hanging, match) || remove(&s.inbox, match)
	return dropped, s.completions
}

// Crash ends it: all it holds is lost. It is back, cold, at the time given; +Inf: not by itself.
func (s *Server) Crash(now, back float64) []Completion {
	s.advanceTo(now)
	s.crash(back)
	return s.completions
}

// Pause lets it stand still until then: what comes waits, and nothing is answered.
func (s *Server) Pause(now, until float64) []Completion {
	s.advanceTo(now)
	s.pausedUntil = max(s.pausedUntil, until)
	s.updateSpeed()
	return s.completions
}

// SetSpeedFactor sets the factor on its speed; 1 is none.
func (s *Server) SetSpeedFactor(now, factor float64) []Completion {
	s.advanceTo(now)
	s.speedFactor = factor
	s.updateSpeed()
	return s.completions
}

// SetErrorShare sets the share of a class's requests, of all classes' at -1, that it answers at once with a fault.
func (s *Server) SetErrorShare(now float64, class int, share float64) []Completion {
	s.advanceTo(now)
	s.errorShares = withValue(s.errorShares, class+1, share)
	return s.completions
}

// SetHanging sets whether it takes a class's requests, all classes' at -1, and never answers.
func (s *Server) SetHanging(now float64, class int, hangs bool) []Completion {
	s.advanceTo(now)
	s.classHangs = withValue(s.classHangs, class+1, hangs)
	return s.completions
}

// SetUnreachable cuts it off the network, or lets it back: what had been open is reset then, which the caller sees to.
func (s *Server) SetUnreachable(now float64, off bool) []Completion {
	s.advanceTo(now)
	s.unreachable = off
	return s.completions
}

// Advance lets time pass.
func (s *Server) Advance(now float64) []Completion {
	s.advanceTo(now)
	return s.completions
}

// NextEvent is when it wants Advance at the latest; +Inf: nothing will happen by itself.
func (s *Server) NextEvent() float64 {
	at, _ := s.nextChange()
	return at
}

// Reachability is what becomes of those who connect now.
func (s *Server) Reachability() Reachability {
	switch {
	case s.unreachable:
		return Unreachable
	case !s.up:
		return Refusing
	}
	return Accepting
}

// StartedAt is when it last started; 0: long ago.
func (s *Server) StartedAt() float64 { return max(s.startedAt, 0) }

// WarmingUp tells whether it still warms up.
func (s *Server) WarmingUp() bool { return s.up && s.now < s.startedAt+s.spec.SlowStartDuration }

// Degradation is how far it is slowed down by long queues, 0 to 1.
func (s *Server) Degradation() float64 { return s.degradation }

// Load is what a load report tells: requests in work, waiting, and the part of the cores in use of late.
func (s *Server) Load() (inWork, waiting int, use float64) {
	return len(s.running), s.waiting.len(), s.utilization
}

// InFlight is how many requests it holds in any way.
func (s *Server) InFlight() int {
	return len(s.running) + s.waiting.len() + len(s.hanging) + len(s.inbox)
}

func (s *Server) advanceTo(now float64) {
	s.completions = s.completions[:0]
	for {
		at, what := s.nextChange()
		if at > now {
			break
		}
		s.elapse(max(at, s.now))
		what(s)
	}
	s.elapse(now)
}

// nextChange is what happens next by itself.
func (s *Server) nextChange() (float64, func(*Server)) {
	at, what := s.nextStepAt, (*Server).updateDegradation
	if len(s.running) > 0 && s.rate > 0 {
		if t := s.now + (s.running[0].endsAt-s.virtualWork)/s.rate; t < at {
			at, what = t, (*Server).finishNext
		}
	}
	if s.now < s.pausedUntil && s.pausedUntil < at {
		at, what = s.pausedUntil, (*Server).resume
	}
	if s.restartAt < at {
		at, what = s.restartAt, (*Server).restart
	}
	return at, what
}

// elapse lets time pass in which nothing happens.
func (s *Server) elapse(to float64) {
	dt := to - s.now
	if dt <= 0 {
		return
	}
	s.virtualWork += s.rate * dt
	s.Work += s.rate * dt * float64(len(s.running))
	if s.spec.Cores > 0 {
		s.utilization += (1 - math.Exp(-dt/utilizationTimeConstant)) * (float64(len(s.running))/float64(s.spec.Cores) - s.utilization)
	}
	s.now = to
}

// updateSpeed settles its speed and when to look at it again.
func (s *Server) updateSpeed() {
	b := &s.spec
	if s.rate = b.Speed * s.speedFactor * s.slowStartFactor() * (1 - (1-b.DegradedSpeed)*s.degradation); s.now < s.pausedUntil || !s.up {
		s.rate = 0
	}
	switch { // danger: a look put off by every call never comes
	case !s.up || !s.WarmingUp() && s.degradation == 0 && !s.overDegradeLength():
		s.nextStepAt = math.Inf(1)
	case s.nextStepAt <= s.now || s.nextStepAt > s.now+stepInterval:
		s.nextStepAt = s.now + stepInterval
	}
}

func (s *Server) slowStartFactor() float64 {
	if !s.WarmingUp() {
		return 1
	}
	return s.spec.SlowStartFraction + (1-s.spec.SlowStartFraction)*(s.now-s.startedAt)/s.spec.SlowStartDuration
}

func (s *Server) overDegradeLength() bool {
	return s.spec.DegradeQueueLength > 0 && s.waiting.len() >= s.spec.DegradeQueueLength
}

func (s *Server) updateDegradation() {
	if s.overDegradeLength() {
		s.degradation += (1 - s.degradation) * (1 - math.Exp(-stepInterval/max(s.spec.DegradeTimeConstant, stepInterval)))
	} else if s.degradation *= math.Exp(-stepInterval / max(s.spec.RecoverTimeConstant, stepInterval)); s.degradation < minDegradation {
		s.degradation = 0
	}
	s.updateSpeed()
}

func (s *Server) resume() {
	s.updateSpeed()
	inbox := s.inbox
	s.inbox = nil
	for _, j := range inbox {
		if s.up { // one of them may push it over
			s.accept(j)
		} else {
			s.complete(j, balance.ConnectionLost)
		}
	}
}

func (s *Server) restart() { s.start(false) }

func (s *Server) start(warm bool) {
	s.up, s.startedAt, s.restartAt, s.degradation, s.pausedUntil = true, s.now, math.Inf(1), 0, math.Inf(-1)
	if warm {
		s.startedAt = math.Inf(-1)
	}
	s.cache, s.recentWork = keyCache{capacity: s.spec.CacheSize}, workWindow{}
	s.updateSpeed()
}

func (s *Server) crash(back float64) {
	for _, r := range s.running {
		s.complete(r.job, balance.ConnectionLost)
	}
	for s.waiting.len() > 0 {
		s.complete(s.waiting.pop(), balance.ConnectionLost)
	}
	for _, j := range append(s.hanging, s.inbox...) {
		s.complete(j, balance.ConnectionLost)
	}
	s.running, s.hanging, s.inbox = s.running[:0], s.hanging[:0], nil
	s.up, s.restartAt, s.utilization = false, back, 0
	s.updateSpeed()
}

// accept is a job's coming in at a server that works.
func (s *Server) accept(j Job) {
	s.Received++
	if s.WarmingUp() && s.spec.CrashWindow > 0 {
		sum := s.recentWork.add(s.now, j.Work, s.spec.CrashWindow)
		if sum > s.spec.CrashFactor*s.spec.CrashWindow*float64(s.spec.Cores)*s.spec.Speed*s.slowStartFactor() {
			s.Crashes++
			s.complete(j, balance.ConnectionLost)
			s.crash(s.now + s.spec.CrashDowntime)
			return
		}
	}
	switch {
	case valueAt(s.classHangs, 0) || valueAt(s.classHangs, j.Class+1):
		s.hanging = append(s.hanging, j)
	case s.failsAt(0) || s.failsAt(j.Class+1):
		s.complete(j, balance.ServerError)
	case len(s.running) < s.spec.Cores:
		s.execute(j)
	case s.waiting.len() >= s.spec.QueueCapacity:
		s.complete(j, balance.ServerRejected)
	default:
		s.waiting.push(j)
		if s.waiting.len() == s.spec.DegradeQueueLength {
			s.updateSpeed()
		}
	}
}

func (s *Server) failsAt(row int) bool {
	share := valueAt(s.errorShares, row)
	return share > 0 && s.rand.Float64() < share
}

// execute puts a job to work, or answers a repeat.
func (s *Server) execute(j Job) {
	if j.DedupKey != 0 && j.DedupGroup != nil && j.DedupGroup.isDuplicate(s.now, j.DedupKey, j.DedupWindow) {
		s.Duplicates++
		s.completions = append(s.completions, Completion{Ref: j.Ref, Outcome: balance.Succeeded, At: s.now, Duplicate: true})
		return
	}
	s.Started++
	if j.Key != 0 && s.cache.touch(j.Key) {
		j.Work *= s.spec.CachedWorkFraction
	}
	heap.Push(&s.running, runningJob{j, s.virtualWork + j.Work})
}

func (s *Server) finishNext() {
	r := heap.Pop(&s.running).(runningJob)
	s.complete(r.job, balance.Succeeded)
	for len(s.running) < s.spec.Cores && s.waiting.len() > 0 {
		s.execute(s.waiting.pop())
	}
}

func (s *Server) complete(j Job, o balance.Outcome) {
	switch o {
	case balance.Succeeded:
		s.Succeeded++
	case balance.ServerError:
		s.Errors++
	case balance.ServerRejected:
		s.Rejected++
	default:
		s.Lost++
	}
	s.completions = append(s.completions, Completion{Ref: j.Ref, Outcome: o, At: s.now, Work: j.Work})
}

func valueAt[T any](list []T, i int) (zero T) {
	if i < len(list) {
		return list[i]
	}
	return zero
}

func withValue[T any](list []T, i int, x T) []T {
	for len(list) <= i {
		var zero T
		list = append(list, zero)
	}
	list[i] = x
	return list
}

// Paused tells whether it stands still.
func (s *Server) Paused() bool { return s.up && s.now < s.pausedUntil }
