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
	latest := now.Add(min(p.reuseDelay(s), s.responseTime)) // until when the exchange may wait for a connection
	for c := s.takeReusable(latest); c != nil; c = s.takeReusable(latest) {
		if now.Sub(c.idleSince) >= p.IdleTimeout {
			p.retire(c)
		} else if c.startExchange(ex) {
			ex.reuseWait += max(c.reusableAt.Sub(now), 0)
			return true
		}
	}
	return false
}

// takeReusable removes the longest idle connection that may be reused at the given time from the idle ones. It returns
// that connection or, if there is none, nil.
func (s *server) takeReusable(at time.Time) *connection {
	i := slices.IndexFunc(s.idle, func(c *connection) bool { return !at.Before(c.reusableAt) })
	if i < 0 {
		return nil
	}
	c := s.idle[i]
	s.idle = slices.Delete(s.idle, i, i+1)
	return c
}

// awaitReuse waits until the connection may be reused for an exchange, or is found to be unusable.
func (c *connection) awaitReuse(ex *Exchange) {
	wait := time.Until(ex.writeAt)
	if wait <= 0 {
		return
	}
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
	reused := !c.reusableAt.IsZero()
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
	if late := time.Since(c.idleSince); late <= maxServerReuseDelay {
		s.reuseDelay = max(s.reuseDelay, min(reuseDelayMargin*late, maxServerReuseDelay))
	}
}

// recordResponse delays the reuse of a connection, and updates its server's response time if the request was served.
func (p *Pool) recordResponse(c *connection, result *Result) {
	c.reusableAt = time.Now().Add(p.reuseDelay(c.server))
	if result.Outcome != balance.Succeeded {
		return
	}
	took := result.EndedAt.Sub(result.SentAt)
	if c.server.responseTime == 0 {
		c.server.responseTime = took
	}
	c.server.responseTime += (took - c.server.responseTime) / responseTimeSmoothing
}
