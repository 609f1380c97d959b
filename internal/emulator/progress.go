package emulator

import (
	"container/heap"
	"math"

	"lockloom/balance"
)

// advanceTo carries out the state changes that are due until now, in order of time. It empties s.completions first, and
// then adds the jobs that these changes complete.
func (s *Server) advanceTo(now float64) {
	s.completions = s.completions[:0]
	for {
		at, change := s.nextChange()
		if at > now {
			break
		}
		s.elapse(max(at, s.now))
		change(s)
	}
	s.elapse(now)
}

// nextChange returns the next state change that time alone causes, such as the end of a job or of a pause, and when it
// is due, in seconds; +Inf: there is none.
func (s *Server) nextChange() (float64, func(*Server)) {
	at, change := s.nextStepAt, (*Server).updateDegradation
	if len(s.running) > 0 && s.rate > 0 {
		if t := s.now + (s.running[0].endsAt-s.virtualWork)/s.rate; t < at {
			at, change = t, (*Server).finishNext
		}
	}
	if s.now < s.pausedUntil && s.pausedUntil < at {
		at, change = s.pausedUntil, (*Server).resume
	}
	if s.restartAt < at {
		at, change = s.restartAt, (*Server).restart
	}
	return at, change
}

// elapse advances s.now, and adds the work done and the utilization of the cores in the time between. The caller must
// have carried out all state changes that are due before the new time.
func (s *Server) elapse(to float64) {
	elapsed := to - s.now
	if elapsed <= 0 {
		return
	}
	s.virtualWork += s.rate * elapsed
	s.Work += s.rate * elapsed * float64(len(s.running))
	if s.spec.Cores > 0 {
		inUse := float64(len(s.running)) / float64(s.spec.Cores)
		s.utilization += (1 - math.Exp(-elapsed/utilizationTimeConstant)) * (inUse - s.utilization)
	}
	s.now = to
}

// updateSpeed recomputes s.rate, and schedules its next update while it changes gradually.
func (s *Server) updateSpeed() {
	s.rate = s.spec.Speed * s.speedFactor * s.slowStartFactor() * (1 - (1-s.spec.DegradedSpeed)*s.degradation)
	if s.now < s.pausedUntil || !s.up {
		s.rate = 0
	}
	switch { // a scheduled update stays, or frequent calls would postpone it indefinitely
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
	return s.spec.DegradeQueueLength > 0 && s.queued.len() >= s.spec.DegradeQueueLength
}

func (s *Server) updateDegradation() {
	if s.overDegradeLength() {
		timeConstant := max(s.spec.DegradeTimeConstant, stepInterval)
		s.degradation += (1 - s.degradation) * (1 - math.Exp(-stepInterval/timeConstant))
	} else {
		s.degradation *= math.Exp(-stepInterval / max(s.spec.RecoverTimeConstant, stepInterval))
		if s.degradation < minDegradation {
			s.degradation = 0
		}
	}
	s.updateSpeed()
}

// resume ends a pause and accepts the jobs that arrived during it.
func (s *Server) resume() {
	s.updateSpeed()
	inbox := s.inbox
	s.inbox = nil
	for _, j := range inbox {
		if s.up { // accepting an earlier job may have crashed the server
			s.accept(j)
		} else {
			s.complete(j, balance.ConnectionLost)
		}
	}
}

// restart starts the server in slow start.
func (s *Server) restart() { s.start(false) }

func (s *Server) start(warm bool) {
	s.up = true
	s.startedAt = s.now
	if warm {
		s.startedAt = math.Inf(-1)
	}
	s.restartAt = math.Inf(1)
	s.degradation = 0
	s.pausedUntil = math.Inf(-1)
	s.cache = keyCache{capacity: s.spec.CacheSize}
	s.recentWork = workWindow{}
	s.updateSpeed()
}

// crash completes all jobs as lost and schedules the restart; restartAt +Inf: none.
func (s *Server) crash(restartAt float64) {
	for _, r := range s.running {
		s.complete(r.job, balance.ConnectionLost)
	}
	for s.queued.len() > 0 {
		s.complete(s.queued.pop(), balance.ConnectionLost)
	}
	for _, j := range append(s.hanging, s.inbox...) {
		s.complete(j, balance.ConnectionLost)
	}
	s.running, s.hanging, s.inbox = s.running[:0], s.hanging[:0], nil
	s.up = false
	s.restartAt = restartAt
	s.utilization = 0
	s.updateSpeed()
}

// accept runs, queues, rejects or fails a job that reached a server which is up and not paused.
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
	case s.queued.len() >= s.spec.QueueCapacity:
		s.complete(j, balance.ServerRejected)
	default:
		s.queued.push(j)
		if s.queued.len() == s.spec.DegradeQueueLength {
			s.updateSpeed()
		}
	}
}

// failsAt draws whether a job fails, with the error share at an index: 0 for all classes, else the class plus 1.
func (s *Server) failsAt(index int) bool {
	share := valueAt(s.errorShares, index)
	return share > 0 && s.rand.Float64() < share
}

// execute starts a job, or completes it at once if it is a duplicate.
func (s *Server) execute(j Job) {
	if j.DedupKey != 0 && j.DedupGroup != nil && j.DedupGroup.isDuplicate(s.now, j.DedupKey, j.DedupWindow) {
		s.Duplicates++
		s.completions = append(s.completions, Completion{Ref: j.Ref, Outcome: balance.Succeeded, At: s.now, Duplicate: true})
		return
	}
	s.Started++
	if j.Key != 0 && s.cache.lookupOrAdd(j.Key) {
		j.Work *= s.spec.CachedWorkFraction
	}
	heap.Push(&s.running, runningJob{j, s.virtualWork + j.Work})
}

// finishNext completes the running job that ends first and starts queued ones.
func (s *Server) finishNext() {
	r := heap.Pop(&s.running).(runningJob)
	s.complete(r.job, balance.Succeeded)
	for len(s.running) < s.spec.Cores && s.queued.len() > 0 {
		s.execute(s.queued.pop())
	}
}

// complete counts the outcome of a job and appends its completion to those of the current call.
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

// valueAt returns the element at an index, or the zero value beyond the end of the list.
func valueAt[T any](list []T, i int) (zero T) {
	if i < len(list) {
		return list[i]
	}
	return zero
}

// withValue sets the element at an index and returns the list, extended as needed.
func withValue[T any](list []T, i int, x T) []T {
	for len(list) <= i {
		var zero T
		list = append(list, zero)
	}
	list[i] = x
	return list
}
