// Package notification decides when a change of the endpoint list counts as received by a proxy, and when the proxy is
// to call for the list again. It is pure: it has no clock of its own, sends nothing and starts no goroutine.
package notification

import "math"

// Delay is the time from a watch's last event to the notification deadline, in seconds: from then on, all that the
// watch missed counts as received, and the grace of a drain runs.
const Delay = 6.0

// Timeouts of a call for the list, in seconds.
const (
	// SilenceTimeout is the time without an event after which a watch has failed. Its heartbeat comes every 2 s.
	SilenceTimeout = 3.0
	// ResponseTimeout is how long a call waits for its first event. It is long because a call that is given up loses its
	// place where discovery queues calls.
	ResponseTimeout = 10.0
)

// Delays between the starts of two calls, in seconds.
const (
	// MaxHedgeDelay is the longest delay from a call without an event to a hedged one, where nobody rejects calls.
	MaxHedgeDelay = 2.0
	// MinRetryDelay is the mean delay after the first failed call.
	MinRetryDelay = 0.1
	// MaxRetryDelay is the longest mean delay after several failed calls.
	MaxRetryDelay = 0.5

	minHedgeDelay         = 0.2
	maxRejectionDelay     = 4.0  // mean, for all but queued calls of a large fleet; with jitter it stays within Delay
	rejectionDelayPerPeer = 0.05 // a fleet of any size makes 20 calls a second together
	minQueuedDuration     = 0.5  // a call that was rejected after so long had taken capacity of discovery
	queuedDelayFactor     = 2.0  // times the fleet's delay, after such a call
)

// Parts of a drain's grace that a delay may take.
const (
	hedgeGraceFraction = 0.8
	retryGraceFraction = 0.25
)

// CallResult is how a call for the list ended.
type CallResult int

// The results of a call, ordered by how much each says of discovery.
const (
	Refused    CallResult = iota // no connection, or it ended before an event: nobody is there just now
	NoResponse                   // no event within ResponseTimeout
	Broken                       // it was a watch, and ended, fell silent or could not be understood
	Rejected                     // discovery answered that it has no capacity; it is shared and overloaded
)

// Clock holds when a watch was last alive, from when on what it misses counts as received, and when the next call for
// the list is due. All times are passed in, in seconds on one clock. It is not safe for concurrent use.
//
// The result of the last call decides the next delay. An agent on the proxy's own machine is called again almost at
// once. A discovery service that rejects calls is shared: if a large fleet retried there at that pace, it would keep
// the service overloaded and no proxy would get the list.
type Clock struct {
	fleetDelay    float64 // mean, at the pace that the fleet shares
	hedgeDelay    float64
	maxRetryDelay float64 // mean

	lastEvent      float64 // at first: when the clock was made
	callStarted    float64
	nextCall       float64 // +Inf: none is due
	retryDelay     float64 // mean, after the next failure
	rejectionDelay float64 // mean, after the last rejection; 0: none since the last event
}

// NewClock returns the clock of a proxy that starts now, in a fleet of so many proxies, where a drain leaves a grace of
// drainGrace seconds (0 or less: unknown). Its first call is due at once.
func NewClock(now float64, fleetSize int, drainGrace float64) *Clock {
	if drainGrace <= 0 {
		drainGrace = math.Inf(1)
	}
	return &Clock{
		fleetDelay:    max(MinRetryDelay, float64(fleetSize)*rejectionDelayPerPeer),
		hedgeDelay:    max(min(MaxHedgeDelay, hedgeGraceFraction*drainGrace), minHedgeDelay),
		maxRetryDelay: max(min(MaxRetryDelay, retryGraceFraction*drainGrace), MinRetryDelay),
		lastEvent:     now,
		callStarted:   now,
		nextCall:      now,
		retryDelay:    MinRetryDelay,
	}
}

// NextCall returns when a call is due; +Inf while a watch is alive.
func (c *Clock) NextCall() float64 { return c.nextCall }

// Silence returns for how long no watch has delivered an event.
func (c *Clock) Silence(now float64) float64 { return now - c.lastEvent }

// Deadline returns the notification deadline: when all changes so far count as received, unless an event comes first.
func (c *Clock) Deadline() float64 { return c.lastEvent + Delay }

// CallStarted records that a call is made. If it gets no event it stays open and is hedged: much later where discovery
// rejects calls, since each call takes the place of another one there.
func (c *Clock) CallStarted(now float64) {
	c.callStarted = now
	c.nextCall = now + c.hedgeDelay
	if c.rejectionDelay > 0 { // hedged all the same: what rejected the last call may have gone, and taken this one with it
		c.nextCall = now + max(c.rejectionDelay, maxRejectionDelay)
	}
}

// EventReceived records an event of a watch, its first or a later one. It returns the earliest time at which what the
// event tells may have counted as received: now while the watch is alive, the last event before it if it is the first.
func (c *Clock) EventReceived(now float64, first bool) (notifiedAt float64) {
	notifiedAt = now
	if first {
		notifiedAt = c.lastEvent
	}
	if now-c.callStarted > SilenceTimeout { // a watch that always fails after its first event is retried with backoff
		c.retryDelay = MinRetryDelay
	}
	c.lastEvent = now
	c.nextCall = math.Inf(1)
	c.rejectionDelay = 0
	return notifiedAt
}

// CallEnded records that a call ended while open others are still waiting or, if open is 0, none is, and sets when the
// next one is due. jitter, from 0 to 1, spreads the delay from half to one and a half of its mean.
func (c *Clock) CallEnded(now float64, result CallResult, open int, jitter float64) {
	switch {
	case result == Rejected:
		c.rejectionDelay = c.delayAfterRejection(now)
		c.retryAfter(c.rejectionDelay, now, jitter)
	case open > 0 && c.rejectionDelay > 0:
		// The open call may be queued at discovery: it is hedged at the time that CallStarted set.
	case open > 0 || result == NoResponse:
		c.nextCall = min(c.nextCall, max(now, c.callStarted+c.hedgeDelay))
	default:
		c.retryAfter(c.retryDelay, now, jitter)
		c.retryDelay = min(2*c.retryDelay, c.maxRetryDelay)
	}
}

// delayAfterRejection returns the mean delay after a call that was rejected now.
func (c *Clock) delayAfterRejection(now float64) float64 {
	queued := now-c.callStarted >= minQueuedDuration
	if queued && c.fleetDelay > maxRejectionDelay { // so large a fleet would take all of discovery's capacity in vain
		return queuedDelayFactor * c.fleetDelay
	}
	return min(c.fleetDelay, maxRejectionDelay)
}

// retryAfter makes the next call due a delay after the start of the last one, but not at once.
func (c *Clock) retryAfter(delay, now, jitter float64) {
	c.nextCall = max(c.callStarted+(0.5+jitter)*delay, now+MinRetryDelay/2)
}
