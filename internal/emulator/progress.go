package emulator

import (
	"container/heap"
	"math"

	"lockloom/balance"
)

// advanceTo runs what is due until now, in order of time, and collects the completions of this call.
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

// nextChange is the next change that happens by itself, and its time.
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

// elapse accounts for time in which nothing changes.
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

// updateSpeed sets the speed of a core and the time of its next update.
func (s *Server) updateSpeed() {
	s.rate = s.spec.Speed * s.speedFactor * s.slowStartFactor() * (1 - (1-s.spec.DegradedSpeed)*s.degradation)
	if s.now < s.pausedUntil || !s.up {
		s.rate = 0
	}
	switch { // a call does not postpone the next update, or frequent calls would postpone it for ever
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

// resume ends a pause and accepts the jobs that arrived in it.
func (s *Server) resume() {
	s.updateSpeed()
	inbox := s.inbox
	s.inbox = nil
	for _, j := range inbox {
		if s.up { // a job before it may have crashed the server
			s.accept(j)
		} else {
			s.complete(j, balance.ConnectionLost)
		}
	}
}

// restart begins to serve in slow start.
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

// crash loses all jobs and plans the restart.
func (s *Server) crash(restartAt float64) {
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
	s.up = false
	s.restartAt = restartAt
	s.utilization = 0
	s.updateSpeed()
}

// accept takes a job into a server that is up and reachable.
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

// failsAt decides whether a job fails by the error share at an index: 0 for all classes, else the class plus 1.
func (s *Server) failsAt(index int) bool {
	share := valueAt(s.errorShares, index)
	return share > 0 && s.rand.Float64() < share
}

// execute starts a job, or completes a duplicate at once.
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

// finishNext completes the job that ends first and starts queued ones.
func (s *Server) finishNext() {
	r := heap.Pop(&s.running).(runningJob)
	s.complete(r.job, balance.Succeeded)
	for len(s.running) < s.spec.Cores && s.waiting.len() > 0 {
		s.execute(s.waiting.pop())
	}
}

// complete counts the outcome of a job and adds its completion to those of this call.
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

// valueAt is the element at an index; beyond the end of the list it is zero.
func valueAt[T any](list []T, i int) (zero T) {
	if i < len(list) {
		return list[i]
	}
	return zero
}

// withValue sets the element at an index of a list that grows as needed.
func withValue[T any](list []T, i int, x T) []T {
	for len(list) <= i {
		var zero T
		list = append(list, zero)
	}
	list[i] = x
	return list
}
