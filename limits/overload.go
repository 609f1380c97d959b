package limits

import (
	"container/heap"
	"math"
	"slices"
)

// Every constant of the strain, times in seconds.
const (
	strainBurst  = 0.75  // of its latency objective: a request that waited longer for its turn would be late
	strainStands = 0.1   // a queue that has not been empty for so long is told as one that stands
	strainTurns  = 2     // of so many turns one is for who is to be rejected, where there is somebody
	lineSlack    = 64    // turns that are over and still stand in the line of all that came, beside as many as wait
	strainSmooth = 0.02  // of the mean times of attempts replaced by one
	strainIdle   = 0.001 // of an attempt's time that is spent here in any case
	lagDevs      = 4.0   // mean deviations over the mean of an attempt's time that is spent here
	lagMost      = 0.1
	slackMost    = 4.0 // times longer that attempts are out than their servers have them, at the most
)

// Overload holds back what has come for a core that is behind. A few requests at a time are in its hands, from their reading to their
// being sent or rejected; further ones wait for their turn, which costs nothing, so that answers, which come behind none of them,
// are soon passed on. The one worth most for its work goes first; among those worth as much, that of the tenant who had least
// lately (start-time fair queueing: Goyal, Vin and Cheng, 1996). Who has waited too long to be answered in time is rejected, and
// has turns for that: rejected all at once, clients that come again at once take up the whole core with it. It says too how much
// longer attempts are out than their servers have them. All times are in seconds. It is not safe for concurrent use.
type Overload struct {
	Admitted, Queued, Rejected int // counted

	hands     int // in this core's hands
	most      int
	turn      int
	queue     turns
	line      []*Waiter // the same as they came, with some that have had their turn
	since     float64   // the queue was empty last; +Inf: it is
	clock     float64   // fair queueing's
	customers []float64 // their clocks; the first is of nobody known
	waited    float64   // what the last one that passed had waited

	away, legs float64 // mean time of attempts at their servers; how many
	here, dev  float64 // and spent here, and by how much that differs from its mean
}

// Waiter is a request that waits for its turn.
type Waiter struct {
	Owner any // the caller's
	grade int // by worth, in steps of half as much again
	tag   float64
	came  float64
	last  float64 // when it is too late to pass
	place int     // in the queue; -1: it had its turn
}

// NewOverload begins where so many requests are in hand at the most, with so many tenants.
func NewOverload(most, tenants int) *Overload {
	return &Overload{most: max(most, 1), since: math.Inf(1), customers: make([]float64, tenants+1)}
}

// RequestArrived tells of a request that came to this machine at a time, is late past its latency objective, in seconds from then, and is worth so much
// for its work; tenant -1: none known. Where its turn has come at once it returns no turn, and whether it passes; else that is told
// later, by Give. Whether it passed or was refused, Done is to be called.
func (s *Overload) RequestArrived(now, came, due, worth float64, tenant int, of any) (passes bool, waits *Waiter) {
	who := tenant + 1
	if who < 0 || who >= len(s.customers) {
		who = 0
	}
	s.customers[who] = max(s.customers[who], s.clock) + 1
	t := &Waiter{Owner: of, grade: int(math.Floor(2 * math.Log2(max(worth, 1e-9)))), tag: s.customers[who], came: came, last: came + strainBurst*due}
	if s.hands < s.most && len(s.queue) == 0 {
		return s.pass(now, t), nil
	}
	if len(s.queue) == 0 {
		s.since, s.line = now, s.line[:0]
	}
	s.Queued++
	heap.Push(&s.queue, t)
	s.line = append(s.line, t)
	return false, t
}

// pass gives one its turn.
func (s *Overload) pass(now float64, t *Waiter) bool {
	s.hands++
	if now > t.last {
		s.Rejected++
		return false
	}
	s.Admitted++
	s.clock = max(s.clock, t.tag-1)
	s.waited = now - t.came
	return true
}

// RequestDone tells that one is out of this core's hands; whether others wait for their turn, which Give gives them.
func (s *Overload) RequestDone() (more bool) {
	s.hands--
	return len(s.queue) > 0
}

// Dispatch tells by a call whose turn has come and whether it passes, as many as may be in hand. It returns whether there were any and
// more wait. It is to be called when answers that have come were passed on.
func (s *Overload) Dispatch(now float64, tell func(t *Waiter, passes bool)) (more bool) {
	given := false
	for len(s.queue) > 0 && s.hands < s.most {
		t := s.queue[0]
		if s.turn++; s.turn%strainTurns == 0 {
			if old := s.oldest(); now > old.last {
				t = old
			}
		}
		heap.Remove(&s.queue, t.place)
		tell(t, s.pass(now, t))
		given = true
	}
	if len(s.queue) == 0 {
		s.since = math.Inf(1)
	}
	return given && len(s.queue) > 0
}

// oldest is the one that has waited longest; there is one.
func (s *Overload) oldest() *Waiter {
	n := 0
	for s.line[n].place < 0 {
		n++
	}
	if s.line = s.line[n:]; len(s.line) > lineSlack+2*len(s.queue) {
		s.line = slices.DeleteFunc(s.line, func(t *Waiter) bool { return t.place < 0 })
	}
	return s.line[0]
}

// QueueStatus is what the last one that passed had waited, and whether a queue stands.
func (s *Overload) QueueStatus(now float64) (waited float64, stands bool) {
	return s.waited, now-s.since > strainStands
}

// AttemptMeasured tells how long an attempt was out, and how much of that its server had it.
func (s *Overload) AttemptMeasured(out, away float64) {
	s.legs++
	part := max(strainSmooth, 1/s.legs)
	s.away += part * (away - s.away)
	s.dev += part * (math.Abs(out-away-s.here) - s.dev)
	s.here += part * (out - away - s.here)
}

// DelayFactor is how much longer attempts are out than their servers have them, from 1.
func (s *Overload) DelayFactor() float64 {
	return min(1+max(s.here-strainIdle, 0)/max(s.away, strainIdle/4), slackMost)
}

// Lag is what an attempt spends here at the most, in all likelihood; the reasoning is that of TCP's time-outs (RFC 6298).
func (s *Overload) Lag() float64 { return min(max(s.here+lagDevs*s.dev-strainIdle, 0), lagMost) }

// turns is a heap, whoever goes first at its top.
type turns []*Waiter

func (t turns) Len() int { return len(t) }
func (t turns) Less(i, j int) bool {
	if t[i].grade != t[j].grade {
		return t[i].grade > t[j].grade
	}
	return t[i].tag < t[j].tag
}
func (t turns) Swap(i, j int) {
	t[i], t[j] = t[j], t[i]
	t[i].place, t[j].place = i, j
}
func (t *turns) Push(x any) {
	turn := x.(*Waiter)
	turn.place = len(*t)
	*t = append(*t, turn)
}
func (t *turns) Pop() any {
	old := *t
	n := len(old) - 1
	turn := old[n]
	turn.place = -1
	old[n] = nil
	*t = old[:n]
	return turn
}
