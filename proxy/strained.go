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

// strained is how far this proxy's own core is behind, told by all its connections and asked by them.
type strained struct {
	mu sync.Mutex
	*limits.Overload
	slack float64 // as the decisions were told last, and the lag in s
	lag   float64
	more  chan struct{} // some wait for their turn
}

// begin is called before the proxy serves.
func (s *strained) begin(p *Proxy) {
	s.more = make(chan struct{}, 1)
	s.Overload, s.slack = limits.NewOverload(handsEach*runtime.GOMAXPROCS(0), len(p.launch.Tenants)), 1
}

// dueOf is a class's latency objective; where none is set, half of what its client waits.
func dueOf(t *balance.Class) float64 {
	if t.LatencyObjective > 0 {
		return t.LatencyObjective
	}
	return t.Deadline / 2
}

// turn waits until it is the turn of the request that has come last, and tells whether it is taken on by this core. It is in its hands
// then, until done.
func (c *client) turn(row *balance.Class, tenant, bytes int) bool {
	s := &c.p.strained
	worth := max(row.PriorityWeight, 1e-3) / (1 + float64(max(bytes, 0))/workBytes)
	s.mu.Lock()
	passes, waits := s.RequestArrived(c.p.now(), c.p.stamp(c.came()), dueOf(row), worth, tenant, c)
	s.mu.Unlock()
	if waits != nil {
		s.kick()
		passes = <-c.passes && !upstream.ClosedByPeer(c.nc) // danger: a client may have gone while its request waited, with nobody reading
	}
	c.inHand = true
	return passes
}

// done tells that a request is out of this core's hands.
func (p *Proxy) done() {
	s := &p.strained
	s.mu.Lock()
	more := s.RequestDone()
	s.mu.Unlock()
	if more {
		s.kick()
	}
}

// behind tells whether requests wait for this core for longer than a burst.
func (p *Proxy) behind() bool {
	s := &p.strained
	s.mu.Lock()
	defer s.mu.Unlock()
	_, stands := s.QueueStatus(p.now())
	return stands
}

// kick has turns given, if that goroutine waits.
func (s *strained) kick() {
	select {
	case s.more <- struct{}{}:
	default:
	}
}

// turns gives requests their turns, some in each round, until the proxy ends.
func (p *Proxy) turns() {
	s := &p.strained
	round := poller.NewRound()
	defer round.Close()
	tell := func(t *limits.Waiter, passes bool) { t.Owner.(*client).passes <- passes }
	for {
		select {
		case <-s.more:
		case <-p.quit:
			return
		}
		for more := true; more; {
			round.Next()
			s.mu.Lock()
			more = s.Dispatch(p.now(), tell)
			s.mu.Unlock()
		}
	}
}

// ended notes an attempt that was out for so long and at its server for so long.
func (s *strained) ended(out, away float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.AttemptMeasured(out, away)
}

// slacken tells the decisions how much longer attempts are out than their servers have them, where that has changed.
func (p *Proxy) slacken() {
	s := &p.strained
	s.mu.Lock()
	slack, lag := s.DelayFactor(), s.Lag()
	s.mu.Unlock()
	if slack < s.slack*slackStep && slack > s.slack/slackStep && math.Abs(lag-s.lag) < lagStep {
		return
	}
	s.slack, s.lag = slack, lag
	for _, in := range p.branches {
		in.b.SetLocalDelay(slack, lag)
	}
}

// note says how it stands, for the log.
func (s *strained) note(now float64, fields logrus.Fields) {
	s.mu.Lock()
	defer s.mu.Unlock()
	waited, stands := s.QueueStatus(now)
	fields["queued"], fields["strained"], fields["behind"] = s.Queued, s.Rejected, stands
	fields["waited_ms"], fields["slack"] = math.Round(waited*10000)/10, math.Round(s.slack*10)/10
}
