package proxy

import (
	"math"
	"runtime"
	"sync"

	"github.com/sirupsen/logrus"

	"lockloom/balance"
	"lockloom/internal/poller"
	"lockloom/limits"
)

const (
	bodyBytesPerWorkUnit = 32 << 10 // a body of this size costs this core as much as the rest of its request
	requestsPerCore      = 8        // admitted at a time for each core, from reading to forwarding; more are queued
	minPriorityWeight    = 1e-3
	minDelayFactorStep   = 1.1   // minimum ratio between reported delay factors; smaller changes are not reported
	minLagStepSeconds    = 0.001 // minimum difference between reported lags; smaller changes are not reported
)

// overloadMonitor queues requests while this proxy's own cores are overloaded and measures the delay that this adds to
// attempts. Any goroutine may use it, under its lock; delayFactor and lagSeconds belong to the owner.
type overloadMonitor struct {
	mu sync.Mutex
	*limits.OverloadQueue
	dispatchSignal chan struct{} // holds a value while dispatchQueued has queued requests to admit

	delayFactor float64 // the delay factor last reported to the balancers
	lagSeconds  float64 // the lag last reported to the balancers
}

// init prepares the monitor for a number of tenants. It is called before the proxy serves.
func (m *overloadMonitor) init(tenants int) {
	m.dispatchSignal = make(chan struct{}, 1)
	m.OverloadQueue = limits.NewOverloadQueue(requestsPerCore*runtime.GOMAXPROCS(0), tenants)
	m.delayFactor = 1
}

// latencyObjective returns a class's latency objective in seconds; if none is set, half of its deadline.
func latencyObjective(class *balance.Class) float64 {
	if class.LatencyObjective > 0 {
		return class.LatencyObjective
	}
	return class.Deadline / 2
}

// awaitAdmission waits until the overload queue admits or rejects the request that a connection has received last, and
// reports whether it is admitted. In both cases the request counts against requestsPerCore until requestLeftCore.
func (m *overloadMonitor) awaitAdmission(c *clientConn, class *balance.Class, tenant, bodyBytes int) bool {
	p := c.proxy
	work := 1 + float64(max(bodyBytes, 0))/bodyBytesPerWorkUnit
	weight := max(class.PriorityWeight, minPriorityWeight) / work
	m.mu.Lock()
	admitted, waiter := m.RequestArrived(
		p.now(), p.toUnixSeconds(c.receivedAt()), latencyObjective(class), weight, tenant, c)
	m.mu.Unlock()
	if waiter == nil {
		return admitted
	}
	m.wakeDispatcher()
	return <-c.admissionResult && !c.peerHasGone() // nothing was read meanwhile that would show a disconnect
}

// requestLeftCore records that a request no longer counts against requestsPerCore.
func (p *Proxy) requestLeftCore() {
	m := &p.overload
	m.mu.Lock()
	queued := m.RequestDone()
	m.mu.Unlock()
	if queued {
		m.wakeDispatcher()
	}
}

// overloaded reports whether the queue of requests for this core has lasted longer than a burst.
func (p *Proxy) overloaded() bool {
	m := &p.overload
	m.mu.Lock()
	defer m.mu.Unlock()
	_, overloaded := m.QueueStatus(p.now())
	return overloaded
}

// wakeDispatcher wakes dispatchQueued, or makes it check the queue again if it runs.
func (m *overloadMonitor) wakeDispatcher() {
	select {
	case m.dispatchSignal <- struct{}{}:
	default:
	}
}

// dispatchQueued admits or rejects queued requests, some in each polling round of the runtime, until the proxy ends.
func (p *Proxy) dispatchQueued() {
	m := &p.overload
	pollWaiter := poller.NewPollWaiter()
	defer pollWaiter.Close()
	notify := func(waiter *limits.QueuedRequest, admitted bool) {
		waiter.Owner.(*clientConn).admissionResult <- admitted
	}
	for {
		select {
		case <-m.dispatchSignal:
		case <-p.loop.quit:
			return
		}
		for queued := true; queued; {
			pollWaiter.Wait()
			m.mu.Lock()
			queued = m.Dispatch(p.now(), notify)
			m.mu.Unlock()
		}
	}
}

// attemptMeasured records how many seconds an attempt took at this proxy, and how many of these at its server.
func (m *overloadMonitor) attemptMeasured(inFlight, atServer float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.AttemptMeasured(inFlight, atServer)
}

// updateLocalDelay reports to the balancers how much longer attempts take at this proxy than at their servers, if that
// has changed by minDelayFactorStep or minLagStepSeconds. It is called by the owner.
func (p *Proxy) updateLocalDelay() {
	m := &p.overload
	m.mu.Lock()
	factor, lag := m.DelayFactor(), m.ProxyDelay()
	m.mu.Unlock()
	factorChanged := factor >= m.delayFactor*minDelayFactorStep || factor <= m.delayFactor/minDelayFactorStep
	lagChanged := math.Abs(lag-m.lagSeconds) >= minLagStepSeconds
	if !factorChanged && !lagChanged {
		return
	}
	m.delayFactor, m.lagSeconds = factor, lag
	for _, pool := range p.pools.all {
		pool.decisions.SetLocalDelay(factor, lag)
	}
}

// addFields adds the overload fields of the log message with the counts. It is called by the owner.
func (m *overloadMonitor) addFields(now float64, fields logrus.Fields) {
	m.mu.Lock()
	defer m.mu.Unlock()
	waited, overloaded := m.QueueStatus(now)
	fields["queued"], fields["shed_overload"], fields["overloaded"] = m.Queued, m.Rejected, overloaded
	fields["queue_wait_ms"] = math.Round(waited*10000) / 10
	fields["attempt_stretch"] = math.Round(m.delayFactor*10) / 10
}
