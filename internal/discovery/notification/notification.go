// Package notification decides when a change of the endpoint list counts as received by a proxy, and when the proxy
// calls the discovery service for the list again. It reads no clock, does no I/O and starts no goroutine.
package notification

import "math"

// DeadlineDelay is the time in seconds from the last event of a watch to the notification deadline. From then on,
// changes that the watch missed count as received, and the grace of a drain runs.
const DeadlineDelay = 6.0

// Timeouts of a call for the list, in seconds.
const (
	// SilenceTimeout is the time without an event after which a watch has failed. Heartbeats are sent every 2 s.
	SilenceTimeout = 3.0
	// ResponseTimeout is how long a call waits for its first event. It is long because a call that times out loses its
	// place in the queue of the discovery service.
	ResponseTimeout = 10.0
)

// Delays between the starts of two calls, in seconds.
const (
	// MaxHedgeDelay is the longest delay from a call without an event to a hedged one, if no call was rejected.
	MaxHedgeDelay = 2.0
	// MinRetryDelay is the mean delay after the first failed call.
	MinRetryDelay = 0.1
	// MaxRetryDelay is the upper limit of the mean delay, which doubles with each failed call.
	MaxRetryDelay = 0.5

	minHedgeDelay         = 0.2
	maxRejectionDelay     = 4.0  // mean, except after queued calls of a large fleet; with jitter at most DeadlineDelay
	rejectionDelayPerPeer = 0.05 // per proxy of the fleet: limits the whole fleet to 20 calls per second
	minQueuedDuration     = 0.5  // a call rejected at least this long after its start was queued, using discovery capacity
	queuedDelayFactor     = 2.0  // after such a call, the mean delay is fleetDelay times this factor
)

// Upper limits of delays, as fractions of the grace of a drain.
const (
	hedgeGraceFraction = 0.8
	retryGraceFraction = 0.25
)

// CallResult is the result of a call for the list.
type CallResult int

// The results of a call, in increasing order of what they prove about the state of the discovery service.
const (
	Unavailable CallResult = iota // no connection, or it ended before an event: discovery is not available
	NoResponse                    // no event within ResponseTimeout
	Broken                        // the stream ended, timed out or contained a malformed list
	Rejected                      // discovery responded that it has no capacity: it is shared and overloaded
)

// Clock tracks the last event of a watch, the notification deadline and the time of the next call for the list. All
// times are passed in by the caller, in seconds on one time scale. It is not safe for concurrent use.
//
// The result of the last call determines the delay to the next one. An agent on the proxy's own machine is called again
// almost at once. A discovery service that rejects calls is shared: retries of a large fleet at that rate would keep it
// overloaded, and no proxy would get the list.
type Clock struct {
	fleetDelay    float64 // mean delay at which the calls of the whole fleet stay within a fixed rate
	hedgeDelay    float64 // from a call without an event to a hedged one
	maxRetryDelay float64 // upper bound of retryDelay

	lastEvent      float64 // time of the last event; initially the time passed to NewClock
	callStarted    float64 // time at which the last call started
	nextCall       float64 // time at which the next call is due; +Inf: none
	retryDelay     float64 // mean delay after the next failed call
	rejectionDelay float64 // mean delay after the last rejected call; 0: none was rejected since the last event
}

// NewClock returns the clock of a proxy that starts now, in a fleet of fleetSize proxies. drainGrace is the grace of a
// drain in seconds (0 or less: unknown). The first call is due at once.
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

// NextCall returns the time at which the next call is due, +Inf while a watch is alive.
func (c *Clock) NextCall() float64 { return c.nextCall }

// SinceLastEvent returns the time in seconds since the last event.
func (c *Clock) SinceLastEvent(now float64) float64 { return now - c.lastEvent }

// Deadline returns the notification deadline: the time at which all changes so far count as received, unless an event
// is received before.
func (c *Clock) Deadline() float64 { return c.lastEvent + DeadlineDelay }

// CallStarted records the start of a call. If it gets no event it stays open and is hedged, but much later if discovery
// rejects calls, since each queued call takes the place of another one.
func (c *Clock) CallStarted(now float64) {
	c.callStarted = now
	c.nextCall = now + c.hedgeDelay
	if c.rejectionDelay > 0 { // still hedged: the instance that rejected the last call may be down, and this call lost
		c.nextCall = now + max(c.rejectionDelay, maxRejectionDelay)
	}
}

// EventReceived records an event of a watch. It returns the earliest time at which the changes in the event may count
// as received: for the first event of a watch the time of the last event before it, for any other now.
func (c *Clock) EventReceived(now float64, first bool) (notifiedAt float64) {
	notifiedAt = now
	if first {
		notifiedAt = c.lastEvent
	}
	if now-c.callStarted > SilenceTimeout { // not earlier: a watch that fails after each first event needs backoff
		c.retryDelay = MinRetryDelay
	}
	c.lastEvent = now
	c.nextCall = math.Inf(1)
	c.rejectionDelay = 0
	return notifiedAt
}

// CallEnded records the end of a call, with the number of other calls still open, and sets the time of the next call.
// jitter, from 0 to 1, scales the delay by 0.5 to 1.5.
func (c *Clock) CallEnded(now float64, result CallResult, open int, jitter float64) {
	switch {
	case result == Rejected:
		c.rejectionDelay = c.delayAfterRejection(now)
		c.retryAfter(c.rejectionDelay, now, jitter)
	case open > 0 && c.rejectionDelay > 0:
		// The open call may be queued by discovery, so it is hedged only at the time that CallStarted set.
	case open > 0 || result == NoResponse:
		c.nextCall = min(c.nextCall, max(now, c.callStarted+c.hedgeDelay))
	default:
		c.retryAfter(c.retryDelay, now, jitter)
		c.retryDelay = min(2*c.retryDelay, c.maxRetryDelay)
	}
}

// delayAfterRejection returns the mean delay after a call that has just been rejected.
func (c *Clock) delayAfterRejection(now float64) float64 {
	queued := now-c.callStarted >= minQueuedDuration
	// In a fleet of this size, calls that are queued and then rejected would waste all the capacity of discovery.
	if queued && c.fleetDelay > maxRejectionDelay {
		return queuedDelayFactor * c.fleetDelay
	}
	return min(c.fleetDelay, maxRejectionDelay)
}

// retryAfter schedules the next call a delay after the start of the last one, but at least MinRetryDelay/2 from now.
func (c *Clock) retryAfter(delay, now, jitter float64) {
	c.nextCall = max(c.callStarted+(0.5+jitter)*delay, now+MinRetryDelay/2)
}
