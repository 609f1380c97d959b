package proxy

import (
	"fmt"
	"strings"
	"time"

	"github.com/sirupsen/logrus"
)

// Log lines at level debug, which show why a request was not served or why a server receives no requests.

// debugEnabled reports whether lines at level debug are logged.
func (p *Proxy) debugEnabled() bool {
	entry, ok := p.log.(*logrus.Entry)
	return ok && entry.Logger.IsLevelEnabled(logrus.DebugLevel)
}

// logServerStatuses logs each server's status in the balancer of the platform's pool, and the number of connections in
// use to the server.
func (p *Proxy) logServerStatuses() {
	for _, status := range p.pools.platform.decisions.ServerStatuses(p.now()) {
		p.log.WithFields(logrus.Fields{
			"server":             p.registry.Name(status.Endpoint),
			"in_flight":          status.InFlight,
			"connections_in_use": p.upstream.InFlight(status.Endpoint),
			"limit":              fmt.Sprintf("%.1f", status.Limit),
			"payoff":             fmt.Sprintf("%.2f", status.Payoff),
			"paused":             status.Paused,
			"warming_up":         status.WarmingUp,
			"unsolicited":        p.upstream.UnsolicitedFrom(status.Endpoint),
			"errors":             status.Errors,
			"results":            status.Results,
			"last_result_s":      fmt.Sprintf("%.2f", status.Age),
		}).Debug("server status")
	}
}

// logClose logs why a client connection has closed.
func (c *clientConn) logClose() {
	if !c.proxy.debugEnabled() {
		return
	}
	c.proxy.log.WithFields(logrus.Fields{
		"client":          c.conn.RemoteAddr().String(),
		"age":             fmt.Sprintf("%.3f", time.Since(c.acceptedAt).Seconds()),
		"client_gone":     c.lost || c.peerClosed.Load(),
		"evicted":         c.evicted.Load(),
		"close_requested": c.closeRequested.Load(),
		"overflow":        c.overflow,
	}).Debug("client connection closed")
}

// requestFields returns log fields about a request and the outcomes of its attempts.
func (p *Proxy) requestFields(req *request) logrus.Fields {
	var attempts strings.Builder
	for _, att := range req.attempts {
		fmt.Fprintf(&attempts, "%s after %.3f ", att.server, att.sentAt-req.arrivedAt)
		if !att.ended {
			fmt.Fprintf(&attempts, "in flight for %.3f; ", p.now()-att.sentAt)
			continue
		}
		attempts.WriteString(att.outcome.String())
		if att.err != nil {
			fmt.Fprintf(&attempts, " (%v)", att.err)
		}
		attempts.WriteString("; ")
	}
	age := fmt.Sprintf("%.3f", p.now()-req.arrivedAt)
	return logrus.Fields{"id": req.id, "class": req.class.Name, "age": age, "attempts": attempts.String()}
}
