package proxy

import (
	"math"
	"runtime"
	"sync"

	"github.com/sirupsen/logrus"

	"lockloom/balance"
	"lockloom/internal/poller"
	"lockloom/internal/upstream"
	"lockloom/limits"
)

// overloadMonitor is how far this proxy's own core is behind, told by all its connections and asked by them.
type overloadMonitor struct {
	mu sync.Mutex
	*limits.Overload
	delayFactor float64 // as the decisions were told last, and the lag in s
	lagSeconds  float64
	waiting     chan struct{} // some wait for their turn
}

// initialize is called before the proxy serves.
func (m *overloadMonitor) init(p *Proxy) {
	m.waiting = make(chan struct{}, 1)
	m.Overload, m.delayFactor = limits.NewOverload(requestsPerCore*runtime.GOMAXPROCS(0), len(p.bootstrap.Tenants)), 1
}

// latencyObjective is a class's latency objective; where none is set, half of what its client waits.
func latencyObjective(t *balance.Class) float64 {
	if t.LatencyObjective > 0 {
		return t.LatencyObjective
	}
	return t.Deadline / 2
}

// awaitTurn waits until it is the turn of the request that has come last, and tells whether it is taken on by this core. It is in its hands
// then, until done.
func (c *clientConn) awaitTurn(row *balance.Class, tenant, bytes int) bool {
	s := &c.proxy.overload
	worth := max(row.PriorityWeight, 1e-3) / (1 + float64(max(bytes, 0))/bodyBytesPerWorkUnit)
	s.mu.Lock()
	passes, waits := s.RequestArrived(c.proxy.now(), c.proxy.stamp(c.receivedAt()), latencyObjective(row), worth, tenant, c)
	s.mu.Unlock()
	if waits != nil {
		s.wakeDispatcher()
		passes = <-c.turn && !upstream.ClosedByPeer(c.conn) // danger: a client may have gone while its request waited, with nobody reading
	}
	c.occupiesCore = true
	return passes
}

// requestLeftCore tells that a request is out of this core's hands.
func (p *Proxy) requestLeftCore() {
	m := &p.overload
	m.mu.Lock()
	waiting := m.RequestDone()
	m.mu.Unlock()
	if waiting {
		m.wakeDispatcher()
	}
}

// overloaded tells whether requests wait for this core for longer than a burst.
func (p *Proxy) overloaded() bool {
	m := &p.overload
	m.mu.Lock()
	defer m.mu.Unlock()
	_, overloaded := m.QueueStatus(p.now())
	return overloaded
}

// wakeDispatcher has turns given, if that goroutine waits.
func (m *overloadMonitor) wakeDispatcher() {
	select {
	case m.waiting <- struct{}{}:
	default:
	}
}

// dispatchWaiting gives requests their turns, some in each round, until the proxy ends.
func (p *Proxy) dispatchWaiting() {
	m := &p.overload
	round := poller.NewRound()
	defer round.Close()
	tell := func(waiter *limits.Waiter, admitted bool) { waiter.Owner.(*clientConn).turn <- admitted }
	for {
		select {
		case <-m.waiting:
		case <-p.quit:
			return
		}
		for more := true; more; {
			round.Next()
			m.mu.Lock()
			more = m.Dispatch(p.now(), tell)
			m.mu.Unlock()
		}
	}
}

// peerClosed notes an attempt that was out for so long and at its server for so long.
func (m *overloadMonitor) attemptMeasured(out, away float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.AttemptMeasured(out, away)
}

// updateLocalDelay tells the decisions how much longer attempts are out than their servers have them, where that has changed.
func (p *Proxy) updateLocalDelay() {
	monitor := &p.overload
	monitor.mu.Lock()
	factor, lagSeconds := monitor.DelayFactor(), monitor.Lag()
	monitor.mu.Unlock()
	if factor < monitor.delayFactor*minDelayFactorStep && factor > monitor.delayFactor/minDelayFactorStep && math.Abs(lagSeconds-monitor.lagSeconds) < minLagStepSeconds {
		return
	}
	monitor.delayFactor, monitor.lagSeconds = factor, lagSeconds
	for _, pool := range p.serverPools {
		pool.decisions.SetLocalDelay(factor, lagSeconds)
	}
}

// recordKnownEntries says how it stands, for the log.
func (m *overloadMonitor) addFields(now float64, fields logrus.Fields) {
	m.mu.Lock()
	defer m.mu.Unlock()
	waited, overloaded := m.QueueStatus(now)
	fields["queued"], fields["strained"], fields["behind"] = m.Queued, m.Rejected, overloaded
	fields["waited_ms"], fields["slack"] = math.Round(waited*10000)/10, math.Round(m.delayFactor*10)/10
}
