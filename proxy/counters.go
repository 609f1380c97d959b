package proxy

import (
	"github.com/sirupsen/logrus"

	"lockloom/balance"
	"lockloom/internal/invariant"
)

// counters are the owner's counts since the process started.
type counters struct {
	Requests      int // admitted or rejected
	Succeeded     int
	Rejected      int
	Failed        int
	ClientGone    int // the client disconnected before its response
	BadRequests   int
	ShedOverLimit int // rejected because a limit of connections or memory was reached
	RejectedLate  int // answered after more than half of the time to their deadline, and not run by any server
	Attempts      int
	Outcomes      [balance.InvalidRequest + 1]int // number of attempts that ended with each balance.Outcome
	LateEvents    int
	HealthChecks  int
}

// countsLogger returns a function that logs the current counters. Only the owner may call countsLogger; any goroutine
// may call the function.
func (p *Proxy) countsLogger() func() {
	fields := p.counters.fields()
	fields["connections"], fields["opened"] = p.upstream.Total(), p.upstream.Opened
	fields["retired"], fields["lost_idle"] = p.upstream.Retired, p.upstream.Lost
	fields["no_connection"], fields["unsolicited"] = p.upstream.RejectedFull, p.upstream.Unsolicited
	fields["unlisted"], fields["disabled"] = len(p.endpoints.unlisted), p.process.disabled.count()
	if p.bootstrap.HealthChecks {
		fields["health_checks"] = p.counters.HealthChecks
	}
	if link := p.gossip.link.Load(); link != nil {
		fields["gossip_sent"], fields["gossip_received"] = link.Sent.Load(), link.Received.Load()
		fields["gossip_dropped"] = link.Dropped.Load()
	}
	fields["clients"], fields["over_bound"] = p.conns.counts()
	fields["memory_waits"], fields["buffered_kb"] = p.memory.waits.Load(), p.memory.reserved.Load()>>10
	p.overload.addFields(p.now(), fields)
	p.readDelays.addFields(fields)
	p.turns.addFields(fields)
	p.requests.ids.addFields(fields)
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
		"shed_bounds":     c.ShedOverLimit,
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
