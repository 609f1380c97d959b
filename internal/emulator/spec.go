package emulator

import "lockloom/balance"

// Spec describes a server. Durations are in seconds, work in seconds of a core at speed 1.
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

// Job is a request as a server receives it.
type Job struct {
	Ref         int // the caller's, handed back in its End
	Class       int
	Work        float64
	Key         uint64 // of its subject; 0: none
	DedupKey    uint64 // by which repeats are known; 0: none
	DedupWindow float64
	DedupGroup  *DedupGroup // of the server's group
}

// Completion is how a job ended: succeeded, server error, rejected (it never ran) or connection lost (by a crash).
type Completion struct {
	Ref       int
	Outcome   balance.Outcome
	At        float64
	Work      float64 // that it took
	Duplicate bool    // dropped as one: answered, not run
}

// Reachability is what happens to clients that connect to a server.
type Reachability uint8

const (
	Accepting   Reachability = iota
	Refusing                 // refused; what was open is reset
	Unreachable              // never comes up; what was open says nothing
)

// Counts are a server's totals since it was made.
type Counts struct {
	Received, Started, Succeeded, Errors, Rejected, Duplicates, Lost, Unreceived, Crashes int
	Work                                                                                  float64 // done
}
