package limits

import "math"

const (
	maxWaitFraction  = 0.75 // of its latency objective that a request may wait; later it would be answered late
	standingDelay    = 0.1  // seconds for which a queue must not have been empty to be a standing queue
	rejectInterval   = 2    // of so many turns, one is for a request that is to be rejected, if there is one
	gradesPerDoubled = 2    // grades of priority weight from one weight to its double
	minWeight        = 1e-9 // of a request, so that its logarithm is finite
)

// Overload holds back requests while this core is overloaded. Few requests at a time are in work, from their reading to
// their being forwarded or rejected; further ones wait in a queue, which costs nothing, so that responses, which do not
// stand behind them, are soon relayed.
//
// The request of the greatest priority weight for its work goes first; among equals, that of the tenant who was served
// least lately (start-time fair queueing: Goyal, Vin and Cheng, 1996). A request that has waited too long to be
// answered in time is rejected, but in turns of its own: rejected all at once, clients that retry at once would take up
// the whole core. It also measures how much longer attempts take here than at their servers.
//
// All times are in seconds.
type Overload struct {
	Admitted, Queued, Rejected int // requests, since the start

	inWork    int
	maxInWork int
	dispatch  int // turns so far
	queue     waitQueue
	tenants   fairClock
	lastWait  float64 // of the request that was admitted last
	delays    attemptDelays
}

// Waiter is a request that waits for its turn.
type Waiter struct {
	Owner any // the caller's

	grade       int     // of its priority weight, in steps of a factor of the root of 2
	finishTag   float64 // of fair queueing
	arrivedAt   float64
	latestStart float64 // when it is too late to be admitted
	heapIndex   int     // -1: it had its turn
}

// NewOverload returns an overload queue for so many requests in work at once and so many tenants.
func NewOverload(maxInWork, tenants int) *Overload {
	return &Overload{
		maxInWork: max(maxInWork, 1),
		queue:     newWaitQueue(),
		tenants:   newFairClock(tenants),
	}
}

// RequestArrived records a request that reached this machine at arrivedAt, with its class's latency objective, its
// priority weight for its work, and its tenant's number, or -1 for one that is unknown. If its turn comes at once there
// is no waiter, and admitted is the decision; else Dispatch gives the decision later, with the waiter, whose Owner is
// owner. After either decision RequestDone is to be called.
func (o *Overload) RequestArrived(
	now, arrivedAt, latencyObjective, weight float64, tenant int, owner any,
) (admitted bool, waiter *Waiter) {
	waiter = &Waiter{
		Owner:       owner,
		grade:       int(math.Floor(gradesPerDoubled * math.Log2(max(weight, minWeight)))),
		finishTag:   o.tenants.tag(tenant),
		arrivedAt:   arrivedAt,
		latestStart: arrivedAt + maxWaitFraction*latencyObjective,
	}
	if o.inWork < o.maxInWork && o.queue.empty() {
		return o.decide(now, waiter), nil
	}
	o.Queued++
	o.queue.add(now, waiter)
	return false, waiter
}

// decide gives a request its turn.
func (o *Overload) decide(now float64, waiter *Waiter) (admitted bool) {
	o.inWork++
	if now > waiter.latestStart {
		o.Rejected++
		return false
	}
	o.Admitted++
	o.tenants.started(waiter.finishTag)
	o.lastWait = now - waiter.arrivedAt
	return true
}

// RequestDone records that a request is no longer in work, and reports whether others wait for Dispatch.
func (o *Overload) RequestDone() (waiting bool) {
	o.inWork--
	return !o.queue.empty()
}

// Dispatch calls decided with each waiter whose turn has come and whether it is admitted, until as many as may be are
// in work. It reports whether there were any and more wait. It is to be called when the responses that have come are
// relayed.
func (o *Overload) Dispatch(now float64, decided func(waiter *Waiter, admitted bool)) (more bool) {
	dispatched := false
	for !o.queue.empty() && o.inWork < o.maxInWork {
		waiter := o.next(now)
		o.queue.remove(waiter)
		decided(waiter, o.decide(now, waiter))
		dispatched = true
	}
	if o.queue.empty() {
		o.queue.nonEmptySince = math.Inf(1)
	}
	return dispatched && !o.queue.empty()
}

// next returns the waiter whose turn it is.
func (o *Overload) next(now float64) *Waiter {
	o.dispatch++
	if o.dispatch%rejectInterval == 0 {
		if oldest := o.queue.oldest(); now > oldest.latestStart {
			return oldest
		}
	}
	return o.queue.first()
}

// QueueStatus returns how long the request that was admitted last had waited, and whether there is a standing queue.
func (o *Overload) QueueStatus(now float64) (lastWait float64, standing bool) {
	return o.lastWait, now-o.queue.nonEmptySince > standingDelay
}

// AttemptMeasured records how long an attempt took, and how much of that its server had it.
func (o *Overload) AttemptMeasured(total, atServer float64) { o.delays.observe(total, atServer) }

// DelayFactor returns how many times longer attempts take than their servers have them, from 1.
func (o *Overload) DelayFactor() float64 { return o.delays.factor() }

// Lag returns the time that, in all likelihood, an attempt spends here at the most.
func (o *Overload) Lag() float64 { return o.delays.lag() }

// fairClock is start-time fair queueing's virtual time, in requests.
type fairClock struct {
	now     float64
	tenants []float64 // the finish tag of each tenant's last request; the first is of all unknown ones
}

func newFairClock(tenants int) fairClock { return fairClock{tenants: make([]float64, tenants+1)} }

// tag returns the tag of a tenant's next request.
func (c *fairClock) tag(tenant int) float64 {
	index := tenant + 1
	if index < 0 || index >= len(c.tenants) {
		index = 0
	}
	c.tenants[index] = max(c.tenants[index], c.now) + 1
	return c.tenants[index]
}

// started records that the request with a tag is admitted.
func (c *fairClock) started(tag float64) { c.now = max(c.now, tag-1) }

const (
	delaySmoothing   = 0.02  // the weight of one attempt in the mean times
	unavoidableDelay = 0.001 // seconds of an attempt that are spent here in any case
	lagDeviations    = 4.0   // mean deviations over the mean; the reasoning is that of TCP's time-outs (RFC 6298)
	maxLag           = 0.1   // seconds
	maxDelayFactor   = 4.0
)

// attemptDelays is how long attempts are at their servers and here, in seconds.
type attemptDelays struct {
	attempts  float64
	atServer  float64 // mean
	here      float64 // mean
	deviation float64 // mean, of the time here from its mean
}

func (d *attemptDelays) observe(total, atServer float64) {
	d.attempts++
	weight := max(delaySmoothing, 1/d.attempts)
	d.atServer += weight * (atServer - d.atServer)
	d.deviation += weight * (math.Abs(total-atServer-d.here) - d.deviation)
	d.here += weight * (total - atServer - d.here)
}

func (d *attemptDelays) factor() float64 {
	const minAtServer = unavoidableDelay / 4
	return min(1+max(d.here-unavoidableDelay, 0)/max(d.atServer, minAtServer), maxDelayFactor)
}

func (d *attemptDelays) lag() float64 {
	return min(max(d.here+lagDeviations*d.deviation-unavoidableDelay, 0), maxLag)
}
