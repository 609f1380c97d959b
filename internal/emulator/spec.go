package emulator

import "lockloom/balance"

// Spec describes a server. Durations are in seconds, work in seconds of a core at speed 1.
type Spec struct {
	Cores               int
	Speed               float64 // work that a core does in a second
	QueueCapacity       int     // jobs that may be queued; a further one is rejected without being run
	SlowStartFraction   float64 // fraction of Speed just after the start
	SlowStartDuration   float64 // time from the start to full speed
	CrashFactor         float64 // in slow start, arriving work above this multiple of the capacity crashes it
	CrashWindow         float64 // time over which arriving work is summed; 0: arriving work never crashes it
	CrashDowntime       float64 // time from a crash in slow start to the restart
	DegradeQueueLength  int     // queued jobs from which it slows down; 0: it never does
	DegradedSpeed       float64 // fraction of Speed that is left at full degradation
	DegradeTimeConstant float64 // time constant of the exponential slowdown
	RecoverTimeConstant float64 // time constant of the exponential recovery once fewer jobs are queued
	CacheSize           int     // number of keys; 0: no cache
	CachedWorkFraction  float64 // fraction of its work that a job with a cached key takes
}

// Job is a request as a server receives it.
type Job struct {
	Ref         int // chosen by the caller, and returned in the Completion
	Class       int
	Work        float64     // in seconds of a core at speed 1
	Key         uint64      // affinity key, by which servers cache; 0: none
	DedupKey    uint64      // idempotency key; 0: none
	DedupWindow float64     // in seconds
	DedupGroup  *DedupGroup // deduplication group of the server; nil: duplicates are run like other jobs
}

// Completion is how a job ended: succeeded, server error, rejected (it never ran) or connection lost (by a crash).
type Completion struct {
	Ref       int
	Outcome   balance.Outcome
	At        float64
	Work      float64 // in seconds of a core at speed 1, reduced if the job's key was cached; 0 for a duplicate
	Duplicate bool    // the job was a duplicate, and succeeded without being run
}

// Reachability is what happens to the connections of a server's clients.
type Reachability uint8

// The values of Reachability.
const (
	Accepting   Reachability = iota // connections work as usual
	Refusing                        // new connections are refused, open connections are reset
	Unreachable                     // new connections are never established, nothing is received on open connections
)

// Counts are a server's totals since it was created.
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
	Work       float64 // work done, in seconds of a core at speed 1, also on jobs that did not succeed
}
