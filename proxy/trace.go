package proxy

import (
	"fmt"

	"github.com/sirupsen/logrus"
)

// What the log tells at its level debug, for those who ask why a request was given up or a server is left out.

// debugEnabled says whether it is to tell that.
func (p *Proxy) debugEnabled() bool {
	e, ok := p.log.(*logrus.Entry)
	return ok && e.Logger.IsLevelEnabled(logrus.DebugLevel)
}

// logServerStatuses tells what is believed of each server, beside the connections that are in use there.
func (p *Proxy) logServerStatuses() {
	for _, b := range p.platformPool.decisions.ServerStatuses(p.now()) {
		p.log.WithFields(logrus.Fields{"backend": p.registry.Name(b.Endpoint), "out": b.InFlight, "in_use": p.upstream.InFlight(b.Endpoint),
			"limit": fmt.Sprintf("%.1f", b.Limit), "payoff": fmt.Sprintf("%.2f", b.Payoff), "paused": b.Paused, "cold": b.WarmingUp,
			"errors": b.Errors, "results": b.Results, "heard": fmt.Sprintf("%.2f", b.Age)}).Debug("believed")
	}
}

// requestFields is what became of a request and its attempts.
func (p *Proxy) requestFields(req *request) logrus.Fields {
	attempts := ""
	for _, att := range req.attempts {
		attempts += fmt.Sprintf("%s after %.3f ", att.server, att.sentAt-req.arrived)
		if att.ended {
			attempts += att.outcome.String()
			if att.err != nil {
				attempts += " (" + att.err.Error() + ")"
			}
			attempts += "; "
		} else {
			attempts += fmt.Sprintf("out for %.3f; ", p.now()-att.sentAt)
		}
	}
	return logrus.Fields{"tariff": req.class.Name, "age": fmt.Sprintf("%.3f", p.now()-req.arrived), "legs": attempts}
}
