package proxy

import (
	"github.com/sirupsen/logrus"

	"lockloom/balance"
	"lockloom/internal/invariant"
)

// counters are what the owner has counted since the start.
type counters struct {
	Requests     int // admitted or rejected
	Succeeded    int
	Rejected     int
	Failed       int
	ClientGone   int // without a response
	BadRequests  int
	ShedBounds   int // rejected over a bound of connections or memory
	RejectedLate int // without having run, in the second half of their time
	Attempts     int
	Outcomes     [balance.InvalidRequest + 1]int // of attempts
	LateEvents   int
	HealthChecks int
}

// countsLogger returns what logs the counters as they are now; it may be called by any goroutine. The owner calls
// countsLogger itself.
func (p *Proxy) countsLogger() func() {
	fields := p.counters.fields()
	fields["connections"], fields["opened"] = p.upstream.Total(), p.upstream.Opened
	fields["retired"], fields["lost_idle"] = p.upstream.Retired, p.upstream.Lost
	fields["no_connection"] = p.upstream.Full
	if p.bootstrap.HealthChecks {
		fields["health_checks"] = p.counters.HealthChecks
	}
	if link := p.gossipLink; link != nil {
		fields["gossip_sent"], fields["gossip_received"] = link.Sent.Load(), link.Received.Load()
		fields["gossip_dropped"] = link.Dropped.Load()
	}
	fields["clients"], fields["over_bound"] = p.conns.counts()
	p.overload.addFields(p.now(), fields)
	line, broken := p.log.WithFields(fields), invariant.Broken()
	return func() {
		if len(broken) > 0 {
			line.WithField("broken", broken).Error("counts")
		} else {
			line.Info("counts")
		}
	}
}

func (c *counters) fields() logrus.Fields {
	return logrus.Fields{
		"requests":        c.Requests,
		"succeeded":       c.Succeeded,
		"rejected":        c.Rejected,
		"failed":          c.Failed,
		"client_gone":     c.ClientGone,
		"bad_requests":    c.BadRequests,
		"shed_bounds":     c.ShedBounds,
		"rejected_late":   c.RejectedLate,
		"attempts":        c.Attempts,
		"late_events":     c.LateEvents,
		"server_error":    c.Outcomes[balance.ServerError],
		"no_capacity":     c.Outcomes[balance.ServerRejected],
		"timeout":         c.Outcomes[balance.TimedOut],
		"connect_failed":  c.Outcomes[balance.ConnectFailed],
		"request_fault":   c.Outcomes[balance.InvalidRequest],
		"connection_lost": c.Outcomes[balance.ConnectionLost],
		"cancelled":       c.Outcomes[balance.Canceled], //nolint:misspell // the published name of the field
		"never_sent":      c.Outcomes[balance.NotSent],
	}
}
