package emulator

import "lockloom/balance"

// Spec describes a server. Durations are in seconds, work in seconds of a core at speed 1.
type Spec struct {
	Cores               int
	Speed               float64 // work that a core does in a second
	QueueCapacity       int     // jobs that may wait; a further one is rejected without being run
	SlowStartFraction   float64 // fraction of its speed just after its start
	SlowStartDuration   float64 // from its start to its full speed
	CrashFactor         float64 // in slow start it crashes if more than this multiple of what it can do arrives ...
	CrashWindow         float64 // ... within this duration; 0: never
	CrashDowntime       float64 // from such a crash to the restart
	DegradeQueueLength  int     // waiting jobs from which it slows down; 0: never
	DegradedSpeed       float64 // fraction of its speed that is left in the end
	DegradeTimeConstant float64 // of slowing down
	RecoverTimeConstant float64 // of recovering once fewer jobs wait
	CacheSize           int     // keys; 0: no cache
	CachedWorkFraction  float64 // fraction of its work that a job with a cached key takes
}

// Job is a request as a server receives it.
type Job struct {
	Ref         int // the caller's, returned in its Completion
	Class       int
	Work        float64
	Key         uint64 // cache-affine key; 0: none
	DedupKey    uint64 // idempotency key; 0: none
	DedupWindow float64
	DedupGroup  *DedupGroup // of the server; nil: none
}

// Completion is how a job ended: succeeded, server error, rejected (it never ran) or connection lost (by a crash).
type Completion struct {
	Ref       int
	Outcome   balance.Outcome
	At        float64
	Work      float64 // that it took; 0 for a duplicate
	Duplicate bool    // answered, not run
}

// Reachability is what happens to clients that connect to a server.
type Reachability uint8

// What a new connection meets, and those that are open.
const (
	Accepting   Reachability = iota
	Refusing                 // new ones are refused, open ones are reset
	Unreachable              // new ones are never established, open ones are silent
)

// Counts are a server's totals since it was made.
type Counts struct {
	Received   int // jobs that reached the server while it was up
	Started    int
	Succeeded  int
	Errors     int
	Rejected   int
	Duplicates int
	Lost       int
	Unreceived int // jobs sent to it while it was unreachable
	Crashes    int
	Work       float64 // done, of succeeded jobs and of others
}
