package upstream

import (
	"slices"
	"time"

	"lockloom/balance"
)

// When a connection carries another request: ReuseDelay after its last response, see Pool.

const (
	// responseTimeSmoothing is the inverse of the weight of a response in its server's response time.
	responseTimeSmoothing = 8
	// reuseDelayMargin is the factor from the time after which a server sent unsolicited bytes to its reuse delay.
	reuseDelayMargin = 2
	// maxServerReuseDelay bounds the reuse delay of a server. Bytes received later than this after a response do not
	// change the delay: they may announce that the server closes an idle connection.
	maxServerReuseDelay = 50 * time.Millisecond
)

// sendOnIdle starts an exchange on an idle connection, and returns false if none can be reused. A connection that was
// idle for IdleTimeout is not used: its server may be closing it, and the request would end in a connection reset.
func (p *Pool) sendOnIdle(s *server, ex *Exchange) bool {
	now := time.Now()
	delay := p.reuseDelay(s)
	maxWait := min(delay, s.responseTime)
	for c := s.takeIdle(now.Add(maxWait - delay)); c != nil; c = s.takeIdle(now.Add(maxWait - delay)) {
		if now.Sub(c.idleSince) >= p.IdleTimeout {
			p.retire(c)
		} else if c.startExchange(ex, c.respondedAt.Add(delay)) {
			return true
		}
	}
	return false
}

// takeIdle removes the longest idle connection whose last response was received by the given time from the idle ones,
// and returns it. It returns nil if there is none.
func (s *server) takeIdle(respondedBy time.Time) *connection {
	i := slices.IndexFunc(s.idle, func(c *connection) bool { return !c.respondedAt.After(respondedBy) })
	if i < 0 {
		return nil
	}
	c := s.idle[i]
	s.idle = slices.Delete(s.idle, i, i+1)
	return c
}

// awaitReuse waits until the connection may be reused for an exchange, or is found to be unusable.
func (c *connection) awaitReuse(ex *Exchange) {
	began := time.Now()
	wait := ex.writeAt.Sub(began)
	if wait <= 0 {
		return
	}
	// A longer wait is due to this machine.
	defer func() { ex.reuseWait += min(time.Since(began), wait) }()
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-c.unusable:
	}
}

// resend sends an exchange on another connection, once, if its reused connection ended before the request was written.
// It returns false if the exchange was canceled, or if its server has restarted, moved or been removed.
func (p *Pool) resend(c *connection, ex *Exchange) bool {
	reused := !c.respondedAt.IsZero()
	if !reused || ex.resent || c.isCanceled(ex) || c.generation != c.server.generation {
		return false
	}
	ex.resent = true
	return p.sendTo(c.server, ex)
}

// reuseDelay returns the delay from a response of a server to the next request on the same connection.
func (p *Pool) reuseDelay(s *server) time.Duration { return max(p.ReuseDelay, s.reuseDelay) }

// recordUnsolicited counts a connection that was closed because of unsolicited bytes, and raises its server's reuse
// delay if these were received late after the last response.
func (p *Pool) recordUnsolicited(c *connection) {
	p.Unsolicited++
	s := c.server
	s.unsolicited++
	if late := time.Since(c.respondedAt); late <= maxServerReuseDelay {
		s.reuseDelay = max(s.reuseDelay, min(reuseDelayMargin*late, maxServerReuseDelay))
	}
}

// recordResponseTime updates a server's response time with that of an exchange, if its request was served.
func (s *server) recordResponseTime(result *Result) {
	if result.Outcome != balance.Succeeded {
		return
	}
	took := result.EndedAt.Sub(result.SentAt)
	if s.responseTime == 0 {
		s.responseTime = took
	}
	s.responseTime += (took - s.responseTime) / responseTimeSmoothing
}
