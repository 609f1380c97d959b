package limits

import "math"

const (
	maxWaitFraction   = 0.75 // maximum time from arrival to dispatch, as a fraction of the latency objective
	standingDelay     = 0.1  // seconds; a queue that has not been empty for longer than this is a standing queue
	rejectInterval    = 2    // every second dispatch takes the oldest queued request if it is late
	levelsPerDoubling = 2    // priority levels per doubling of the weight
	minWeight         = 1e-9 // lower bound of a request's weight, so that its logarithm is finite
)

// OverloadQueue queues requests while the proxy's CPU core is overloaded. A request is in progress from its dispatch
// until it has been forwarded or rejected. Only a few requests are in progress at a time; the others are queued, where
// they use no CPU time. Responses bypass the queue, so they are relayed without delay.
//
// The request with the greatest weight (its priority weight per unit of work) is dispatched first. Among requests of
// equal priority, tenants share the dispatches by start-time fair queueing (Goyal, Vin and Cheng, 1996). A request that
// has been queued too long to be answered in time (see maxWaitFraction) is late, and is rejected when it is dispatched.
// Every second dispatch takes the oldest request if it is late. If all late requests were rejected at once, clients
// that retry immediately would use up the core.
//
// OverloadQueue also measures how much of the duration of attempts is spent in the proxy rather than at the servers.
// All times are in seconds.
type OverloadQueue struct {
	Admitted, Queued, Rejected int // counts of requests since the start

	inProgress    int
	maxInProgress int
	dispatchCount int // requests dispatched so far
	queue         waitQueue
	tenants       fairClock
	lastWait      float64 // time for which the last admitted request was queued
	delays        attemptDelays
}

// QueuedRequest is a request in an OverloadQueue.
type QueuedRequest struct {
	Owner any // the caller's value for the request, passed to RequestArrived

	priority    int     // logarithm of the weight, rounded down; one level is a factor of the square root of 2
	finishTag   float64 // virtual finish time of the request; see fairClock
	arrivedAt   float64
	latestStart float64 // if dispatched after this time, the request is late and is rejected
	heapIndex   int     // -1: dispatched
}

// NewOverloadQueue returns an OverloadQueue that lets at most maxInProgress requests be in progress, or 1 if that is
// less. Tenants are numbered from 0 to tenants-1.
func NewOverloadQueue(maxInProgress, tenants int) *OverloadQueue {
	return &OverloadQueue{
		maxInProgress: max(maxInProgress, 1),
		queue:         newWaitQueue(),
		tenants:       newFairClock(tenants),
	}
}

// RequestArrived records a request that reached this machine at arrivedAt. It takes the latency objective of the
// request's class, its weight (priority weight per unit of work) and the number of its tenant, -1 if unknown. If the
// request is dispatched at once, the waiter is nil and admitted is the decision. Otherwise the request is queued, and
// Dispatch delivers the decision later with the returned waiter, whose Owner is owner. RequestDone must be called after
// either decision, also after a rejection.
func (o *OverloadQueue) RequestArrived(
	now, arrivedAt, latencyObjective, weight float64, tenant int, owner any,
) (admitted bool, waiter *QueuedRequest) {
	waiter = &QueuedRequest{
		Owner:       owner,
		priority:    int(math.Floor(levelsPerDoubling * math.Log2(max(weight, minWeight)))),
		finishTag:   o.tenants.tag(tenant),
		arrivedAt:   arrivedAt,
		latestStart: arrivedAt + maxWaitFraction*latencyObjective,
	}
	if o.inProgress < o.maxInProgress && o.queue.empty() {
		return o.decide(now, waiter), nil
	}
	o.Queued++
	o.queue.add(now, waiter)
	return false, waiter
}

// decide rejects a request that is late, and admits any other. In both cases the request is in progress from now on.
func (o *OverloadQueue) decide(now float64, waiter *QueuedRequest) (admitted bool) {
	o.inProgress++
	if now > waiter.latestStart {
		o.Rejected++
		return false
	}
	o.Admitted++
	o.tenants.started(waiter.finishTag)
	o.lastWait = now - waiter.arrivedAt
	return true
}

// RequestDone records that a request is no longer in progress. It reports whether other requests are queued; if so, the
// caller must call Dispatch.
func (o *OverloadQueue) RequestDone() (queued bool) {
	o.inProgress--
	return !o.queue.empty()
}

// Dispatch dispatches queued requests until the limit of requests in progress is reached, and calls decided for each.
// It reports whether it dispatched any request and others are still queued. The caller must relay received responses
// first.
func (o *OverloadQueue) Dispatch(now float64, decided func(waiter *QueuedRequest, admitted bool)) (more bool) {
	dispatched := false
	for !o.queue.empty() && o.inProgress < o.maxInProgress {
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

// next returns the queued request to dispatch next: every rejectInterval-th time the oldest one if it is late, else
// the one of the highest priority.
func (o *OverloadQueue) next(now float64) *QueuedRequest {
	o.dispatchCount++
	if o.dispatchCount%rejectInterval == 0 {
		if oldest := o.queue.oldest(); now > oldest.latestStart {
			return oldest
		}
	}
	return o.queue.first()
}

// QueueStatus returns how long the last admitted request was queued, and whether there is a standing queue, which has
// not been empty for standingDelay.
func (o *OverloadQueue) QueueStatus(now float64) (lastWait float64, standing bool) {
	return o.lastWait, now-o.queue.nonEmptySince > standingDelay
}

// AttemptMeasured records the duration of an attempt as the proxy saw it, and the part of it spent at the server.
func (o *OverloadQueue) AttemptMeasured(total, atServer float64) { o.delays.observe(total, atServer) }

// DelayFactor returns the ratio of the duration of attempts to their time at the server, from 1 to maxDelayFactor.
func (o *OverloadQueue) DelayFactor() float64 { return o.delays.factor() }

// ProxyDelay returns an upper estimate of the avoidable time that an attempt spends in the proxy, at most maxLag.
func (o *OverloadQueue) ProxyDelay() float64 { return o.delays.lag() }

// fairClock holds the virtual time of start-time fair queueing. Its unit is one request: the finish tag of a request is
// its virtual start time plus 1, and a tenant's next request starts no earlier than at the finish tag of its last one.
type fairClock struct {
	now     float64
	tenants []float64 // finish tag of the last request that arrived, by tenant + 1; index 0: all unknown tenants
}

func newFairClock(tenants int) fairClock { return fairClock{tenants: make([]float64, tenants+1)} }

// tag computes the finish tag of a tenant's next request, records it as the tenant's last one and returns it.
func (c *fairClock) tag(tenant int) float64 {
	index := tenant + 1
	if index < 0 || index >= len(c.tenants) {
		index = 0
	}
	c.tenants[index] = max(c.tenants[index], c.now) + 1
	return c.tenants[index]
}

// started advances the virtual time to the start of an admitted request, given its finish tag.
func (c *fairClock) started(tag float64) { c.now = max(c.now, tag-1) }

const (
	delaySmoothing   = 0.02  // weight of one attempt in the moving averages
	unavoidableDelay = 0.001 // seconds that an attempt spends in the proxy even without overload
	lagDeviations    = 4.0   // mean deviations added to the mean, as in TCP's retransmission timeout (RFC 6298)
	maxLag           = 0.1   // seconds
	maxDelayFactor   = 4.0
)

// attemptDelays holds moving averages of the time that attempts spend at servers and in the proxy, in seconds.
type attemptDelays struct {
	attempts  float64
	atServer  float64 // mean
	atProxy   float64 // mean
	deviation float64 // mean deviation of atProxy
}

func (d *attemptDelays) observe(total, atServer float64) {
	d.attempts++
	weight := max(delaySmoothing, 1/d.attempts)
	d.atServer += weight * (atServer - d.atServer)
	d.deviation += weight * (math.Abs(total-atServer-d.atProxy) - d.deviation)
	d.atProxy += weight * (total - atServer - d.atProxy)
}

func (d *attemptDelays) factor() float64 {
	const minAtServer = unavoidableDelay / 4
	return min(1+max(d.atProxy-unavoidableDelay, 0)/max(d.atServer, minAtServer), maxDelayFactor)
}

func (d *attemptDelays) lag() float64 {
	return min(max(d.atProxy+lagDeviations*d.deviation-unavoidableDelay, 0), maxLag)
}
