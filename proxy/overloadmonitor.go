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
	bodyBytesPerWorkUnit = 32 << 10 // of a body cost this core as much as all else of its request
	requestsPerCore      = 8        // in a core's work at a time, from reading to sending
	minPriorityWeight    = 1e-3
	minDelayFactorStep   = 1.1   // the least change of the delay factor that is reported to the decisions
	minLagStepSeconds    = 0.001 // the least change of the lag that is reported to the decisions
)

// overloadMonitor queues requests for this proxy's own cores and measures how far these are behind. All goroutines use
// it, under its lock; delayFactor and lagSeconds are the owner's.
type overloadMonitor struct {
	mu sync.Mutex
	*limits.Overload
	waiting chan struct{} // holds a value while requests wait for their turn

	delayFactor float64 // as reported to the decisions last
	lagSeconds  float64 // likewise
}

// init is called before the proxy serves.
func (m *overloadMonitor) init(tenants int) {
	m.waiting = make(chan struct{}, 1)
	m.Overload = limits.NewOverload(requestsPerCore*runtime.GOMAXPROCS(0), tenants)
	m.delayFactor = 1
}

// latencyObjective is a class's latency objective in seconds; where none is set, half of its deadline.
func latencyObjective(class *balance.Class) float64 {
	if class.LatencyObjective > 0 {
		return class.LatencyObjective
	}
	return class.Deadline / 2
}

// awaitTurn waits for the turn of the request that a connection has received last, and reports whether it is admitted.
// It is in this core's work then, until requestLeftCore.
func (m *overloadMonitor) awaitTurn(c *clientConn, class *balance.Class, tenant, bodyBytes int) bool {
	p := c.proxy
	work := 1 + float64(max(bodyBytes, 0))/bodyBytesPerWorkUnit
	weight := max(class.PriorityWeight, minPriorityWeight) / work
	m.mu.Lock()
	admitted, waiter := m.RequestArrived(p.now(), p.stamp(c.receivedAt()), latencyObjective(class), weight, tenant, c)
	m.mu.Unlock()
	if waiter == nil {
		return admitted
	}
	m.wakeDispatcher()
	return <-c.turn && !c.peerHasGone() // while the request waited nobody read from the client
}

// requestLeftCore says that a request is out of this core's work.
func (p *Proxy) requestLeftCore() {
	m := &p.overload
	m.mu.Lock()
	waiting := m.RequestDone()
	m.mu.Unlock()
	if waiting {
		m.wakeDispatcher()
	}
}

// overloaded reports whether requests wait for this core for longer than a burst.
func (p *Proxy) overloaded() bool {
	m := &p.overload
	m.mu.Lock()
	defer m.mu.Unlock()
	_, overloaded := m.QueueStatus(p.now())
	return overloaded
}

// wakeDispatcher has requests admitted, if dispatchWaiting waits.
func (m *overloadMonitor) wakeDispatcher() {
	select {
	case m.waiting <- struct{}{}:
	default:
	}
}

// dispatchWaiting admits waiting requests, some in each round of the scheduler, until the proxy ends.
func (p *Proxy) dispatchWaiting() {
	m := &p.overload
	round := poller.NewRound()
	defer round.Close()
	notify := func(waiter *limits.Waiter, admitted bool) { waiter.Owner.(*clientConn).turn <- admitted }
	for {
		select {
		case <-m.waiting:
		case <-p.loop.quit:
			return
		}
		for waiting := true; waiting; {
			round.Next()
			m.mu.Lock()
			waiting = m.Dispatch(p.now(), notify)
			m.mu.Unlock()
		}
	}
}

// attemptMeasured notes how many seconds an attempt was in flight here, and how many of them at its server.
func (m *overloadMonitor) attemptMeasured(inFlight, atServer float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.AttemptMeasured(inFlight, atServer)
}

// updateLocalDelay tells the decisions how much longer attempts take here than at their servers, where that has
// changed.
func (p *Proxy) updateLocalDelay() {
	m := &p.overload
	m.mu.Lock()
	factor, lag := m.DelayFactor(), m.Lag()
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

// addFields adds what the line of counts says of overload. The owner calls it.
func (m *overloadMonitor) addFields(now float64, fields logrus.Fields) {
	m.mu.Lock()
	defer m.mu.Unlock()
	waited, overloaded := m.QueueStatus(now)
	fields["queued"], fields["shed_overload"], fields["overloaded"] = m.Queued, m.Rejected, overloaded
	fields["queue_wait_ms"] = math.Round(waited*10000) / 10
	fields["attempt_stretch"] = math.Round(m.delayFactor*10) / 10
}
