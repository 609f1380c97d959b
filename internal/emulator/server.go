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
	stepEvery = 0.1  // s between looks at what changes by and by: warming up, choking
	calm      = 0.01 // of choking; less is none
	reported  = 0.5  // s over which the load report's use of the cores is smoothed
)

// Build is what a server is made of. Times are in seconds, work in seconds of a core at speed 1.
type Build struct {
	Cores        int
	Speed        float64 // work that a core does in a second
	Room         int     // requests that may wait; a further one is rejected unseen
	ColdShare    float64 // of its speed, just after its start
	ColdFor      float64 // until it has all of it
	FallMultiple float64 // cold, and sent more than this many times what it can do ...
	FallFor      float64 // ... over this long, it falls over; 0: never
	DownFor      float64 // and is back, cold, so much later
	ChokeAt      int     // requests waiting from which it slows down; 0: never
	ChokeTo      float64 // of its speed that is left then
	ChokeIn      float64 // time constant of slowing down
	Linger       float64 // and of getting over it once fewer wait
	WarmKeys     int     // keys that it remembers
	WarmWork     float64 // of its work that a request with such a key takes
}

// Job is a request as it reaches a server.
type Job struct {
	Ref    int // the caller's, handed back in its End
	Tariff int
	Work   float64
	Key    uint64 // of its subject; 0: none
	Mark   uint64 // by which repeats are known; 0: none
	Window float64
	Marks  *Marks // of the server's group
}

// End is how a job ended here: successful, a fault, no room (it never ran) or cut (the server crashed).
type End struct {
	Ref     int
	Outcome balance.Outcome
	At      float64
	Work    float64 // that it took
	Repeat  bool    // dropped as one: answered, not run
}

// Reach is what becomes of those who connect to a server.
type Reach uint8

const (
	Open   Reach = iota
	Shut         // refused; what was open is reset
	Silent       // never comes up; what was open says nothing
)

// Counts are a server's own, since it was made.
type Counts struct {
	Reached, Begun, Honoured, Faults, Turned, Repeats, Lost, Unheard, Falls int
	Work                                                                    float64 // done
}

// Server is one emulated server.
type Server struct {
	Counts
	build   Build
	chance  *rand.Rand
	now     float64
	since   float64 // it started; -Inf: long ago
	up      bool
	silent  bool
	rate    float64 // work that a core does in a second now
	passed  float64 // work that a core busy since the first start would have done
	running runs
	waiting queue
	stuck   []Job // hung: answered never
	inbox   []Job // came while it stood still
	nextAt  float64
	backAt  float64 // +Inf: not planned
	pauseTo float64
	slow    float64 // factor on its speed
	choke   float64 // 0 to 1
	faults  []float64
	hangs   []bool // both by class, and for all at 0
	pushed  window
	keys    recent
	util    float64
	ends    []End
}

type run struct {
	job Job
	end float64 // of passed
}

type runs []run

func (r runs) Len() int           { return len(r) }
func (r runs) Less(i, j int) bool { return r[i].end < r[j].end }
func (r runs) Swap(i, j int)      { r[i], r[j] = r[j], r[i] }
func (r *runs) Push(x any)        { *r = append(*r, x.(run)) }
func (r *runs) Pop() any {
	x := (*r)[len(*r)-1]
	*r = (*r)[:len(*r)-1]
	return x
}

// New is a server that has not started. Its chance, of faults alone, comes from the seed.
func New(b Build, seed uint64) *Server {
	return &Server{build: b, chance: rand.New(rand.NewPCG(seed, 1)), nextAt: math.Inf(1), backAt: math.Inf(1),
		slow: 1, keys: recent{most: b.WarmKeys}}
}

// Start lets it serve, warm as if it had run for long or cold.
func (s *Server) Start(now float64, warm bool) []End {
	s.begin(now)
	s.start(warm)
	return s.ends
}

// Take hands it a request whose last byte has come. Its end comes from this call or a later one.
func (s *Server) Take(now float64, j Job) []End {
	s.begin(now)
	switch {
	case !s.up:
		s.end(j, balance.ConnectionLost)
	case s.silent:
		s.Unheard++ // on its way to a server that is cut off, it is lost
	case now < s.pauseTo:
		s.inbox = append(s.inbox, j)
	default:
		s.take(j)
	}
	return s.ends
}

// Leave tells that nobody waits for a job any more. One that waits is dropped, which it tells; one in work is done all
// the same and ends as ever.
func (s *Server) Leave(now float64, ref int) (dropped bool, ends []End) {
	s.begin(now)
	match := func(j Job) bool { return j.Ref == ref }
	dropped = s.waiting.remove(match) || remove(&s.stuck, match) || remove(&s.inbox, match)
	return dropped, s.ends
}

// Crash ends it: all it holds is lost. It is back, cold, at the time given; +Inf: not by itself.
func (s *Server) Crash(now, back float64) []End {
	s.begin(now)
	s.crash(back)
	return s.ends
}

// Pause lets it stand still until then: what comes waits, and nothing is answered.
func (s *Server) Pause(now, until float64) []End {
	s.begin(now)
	s.pauseTo = max(s.pauseTo, until)
	s.tune()
	return s.ends
}

// Slow sets the factor on its speed; 1 is none.
func (s *Server) Slow(now, factor float64) []End {
	s.begin(now)
	s.slow = factor
	s.tune()
	return s.ends
}

// Fail sets the share of a class's requests, of all classes' at -1, that it answers at once with a fault.
func (s *Server) Fail(now float64, class int, share float64) []End {
	s.begin(now)
	s.faults = set(s.faults, class+1, share)
	return s.ends
}

// Hang sets whether it takes a class's requests, all classes' at -1, and never answers.
func (s *Server) Hang(now float64, class int, hangs bool) []End {
	s.begin(now)
	s.hangs = set(s.hangs, class+1, hangs)
	return s.ends
}

// Cut cuts it off the network, or lets it back: what had been open is reset then, which the caller sees to.
func (s *Server) Cut(now float64, off bool) []End {
	s.begin(now)
	s.silent = off
	return s.ends
}

// Advance lets time pass.
func (s *Server) Advance(now float64) []End {
	s.begin(now)
	return s.ends
}

// Next is when it wants Advance at the latest; +Inf: nothing will happen by itself.
func (s *Server) Next() float64 {
	at, _ := s.coming()
	return at
}

// Reach is what becomes of those who connect now.
func (s *Server) Reach() Reach {
	switch {
	case s.silent:
		return Silent
	case !s.up:
		return Shut
	}
	return Open
}

// Since is when it last started; 0: long ago.
func (s *Server) Since() float64 { return max(s.since, 0) }

// Cold tells whether it still warms up.
func (s *Server) Cold() bool { return s.up && s.now < s.since+s.build.ColdFor }

// Choked is how far it is slowed down by long queues, 0 to 1.
func (s *Server) Choked() float64 { return s.choke }

// Load is what a load report tells: requests in work, waiting, and the part of the cores in use of late.
func (s *Server) Load() (inWork, waiting int, use float64) {
	return len(s.running), s.waiting.len(), s.util
}

// Holds is how many requests it holds in any way.
func (s *Server) Holds() int { return len(s.running) + s.waiting.len() + len(s.stuck) + len(s.inbox) }

func (s *Server) begin(now float64) {
	s.ends = s.ends[:0]
	for {
		at, what := s.coming()
		if at > now {
			break
		}
		s.move(max(at, s.now))
		what(s)
	}
	s.move(now)
}

// coming is what happens next by itself.
func (s *Server) coming() (float64, func(*Server)) {
	at, what := s.nextAt, (*Server).step
	if len(s.running) > 0 && s.rate > 0 {
		if t := s.now + (s.running[0].end-s.passed)/s.rate; t < at {
			at, what = t, (*Server).finish
		}
	}
	if s.now < s.pauseTo && s.pauseTo < at {
		at, what = s.pauseTo, (*Server).resume
	}
	if s.backAt < at {
		at, what = s.backAt, (*Server).comeBack
	}
	return at, what
}

// move lets time pass in which nothing happens.
func (s *Server) move(to float64) {
	dt := to - s.now
	if dt <= 0 {
		return
	}
	s.passed += s.rate * dt
	s.Work += s.rate * dt * float64(len(s.running))
	if s.build.Cores > 0 {
		s.util += (1 - math.Exp(-dt/reported)) * (float64(len(s.running))/float64(s.build.Cores) - s.util)
	}
	s.now = to
}

// tune settles its speed and when to look at it again.
func (s *Server) tune() {
	b := &s.build
	if s.rate = b.Speed * s.slow * s.warmth() * (1 - (1-b.ChokeTo)*s.choke); s.now < s.pauseTo || !s.up {
		s.rate = 0
	}
	switch { // danger: a look put off by every call never comes
	case !s.up || !s.Cold() && s.choke == 0 && !s.crowded():
		s.nextAt = math.Inf(1)
	case s.nextAt <= s.now || s.nextAt > s.now+stepEvery:
		s.nextAt = s.now + stepEvery
	}
}

func (s *Server) warmth() float64 {
	if !s.Cold() {
		return 1
	}
	return s.build.ColdShare + (1-s.build.ColdShare)*(s.now-s.since)/s.build.ColdFor
}

func (s *Server) crowded() bool { return s.build.ChokeAt > 0 && s.waiting.len() >= s.build.ChokeAt }

func (s *Server) step() {
	if s.crowded() {
		s.choke += (1 - s.choke) * (1 - math.Exp(-stepEvery/max(s.build.ChokeIn, stepEvery)))
	} else if s.choke *= math.Exp(-stepEvery / max(s.build.Linger, stepEvery)); s.choke < calm {
		s.choke = 0
	}
	s.tune()
}

func (s *Server) resume() {
	s.tune()
	inbox := s.inbox
	s.inbox = nil
	for _, j := range inbox {
		if s.up { // one of them may push it over
			s.take(j)
		} else {
			s.end(j, balance.ConnectionLost)
		}
	}
}

func (s *Server) comeBack() { s.start(false) }

func (s *Server) start(warm bool) {
	s.up, s.since, s.backAt, s.choke, s.pauseTo = true, s.now, math.Inf(1), 0, math.Inf(-1)
	if warm {
		s.since = math.Inf(-1)
	}
	s.keys, s.pushed = recent{most: s.build.WarmKeys}, window{}
	s.tune()
}

func (s *Server) crash(back float64) {
	for _, r := range s.running {
		s.end(r.job, balance.ConnectionLost)
	}
	for s.waiting.len() > 0 {
		s.end(s.waiting.pop(), balance.ConnectionLost)
	}
	for _, j := range append(s.stuck, s.inbox...) {
		s.end(j, balance.ConnectionLost)
	}
	s.running, s.stuck, s.inbox = s.running[:0], s.stuck[:0], nil
	s.up, s.backAt, s.util = false, back, 0
	s.tune()
}

// take is a job's coming in at a server that works.
func (s *Server) take(j Job) {
	s.Reached++
	if s.Cold() && s.build.FallFor > 0 {
		sum := s.pushed.add(s.now, j.Work, s.build.FallFor)
		if sum > s.build.FallMultiple*s.build.FallFor*float64(s.build.Cores)*s.build.Speed*s.warmth() {
			s.Falls++
			s.end(j, balance.ConnectionLost)
			s.crash(s.now + s.build.DownFor)
			return
		}
	}
	switch {
	case at(s.hangs, 0) || at(s.hangs, j.Tariff+1):
		s.stuck = append(s.stuck, j)
	case s.fails(0) || s.fails(j.Tariff+1):
		s.end(j, balance.ServerError)
	case len(s.running) < s.build.Cores:
		s.run(j)
	case s.waiting.len() >= s.build.Room:
		s.end(j, balance.ServerRejected)
	default:
		s.waiting.push(j)
		if s.waiting.len() == s.build.ChokeAt {
			s.tune()
		}
	}
}

func (s *Server) fails(row int) bool {
	share := at(s.faults, row)
	return share > 0 && s.chance.Float64() < share
}

// run puts a job to work, or answers a repeat.
func (s *Server) run(j Job) {
	if j.Mark != 0 && j.Marks != nil && j.Marks.repeat(s.now, j.Mark, j.Window) {
		s.Repeats++
		s.ends = append(s.ends, End{Ref: j.Ref, Outcome: balance.Succeeded, At: s.now, Repeat: true})
		return
	}
	s.Begun++
	if j.Key != 0 && s.keys.met(j.Key) {
		j.Work *= s.build.WarmWork
	}
	heap.Push(&s.running, run{j, s.passed + j.Work})
}

func (s *Server) finish() {
	r := heap.Pop(&s.running).(run)
	s.end(r.job, balance.Succeeded)
	for len(s.running) < s.build.Cores && s.waiting.len() > 0 {
		s.run(s.waiting.pop())
	}
}

func (s *Server) end(j Job, o balance.Outcome) {
	switch o {
	case balance.Succeeded:
		s.Honoured++
	case balance.ServerError:
		s.Faults++
	case balance.ServerRejected:
		s.Turned++
	default:
		s.Lost++
	}
	s.ends = append(s.ends, End{Ref: j.Ref, Outcome: o, At: s.now, Work: j.Work})
}

func at[T any](list []T, i int) (zero T) {
	if i < len(list) {
		return list[i]
	}
	return zero
}

func set[T any](list []T, i int, x T) []T {
	for len(list) <= i {
		var zero T
		list = append(list, zero)
	}
	list[i] = x
	return list
}

// Still tells whether it stands still.
func (s *Server) Still() bool { return s.up && s.now < s.pauseTo }
