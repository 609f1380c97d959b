package proxy

import (
	"fmt"

	"github.com/sirupsen/logrus"
)

// What the log tells at its level debug, for those who ask why a request was given up or a server is left out.

// traces says whether it is to tell that.
func (p *Proxy) traces() bool {
	e, ok := p.log.(*logrus.Entry)
	return ok && e.Logger.IsLevelEnabled(logrus.DebugLevel)
}

// trace tells what is believed of each server, beside the connections that are in use there.
func (p *Proxy) trace() {
	for _, b := range p.main.b.ServerStatuses(p.now()) {
		p.log.WithFields(logrus.Fields{"backend": p.names.Name(b.Endpoint), "out": b.InFlight, "in_use": p.pool.InFlight(b.Endpoint),
			"limit": fmt.Sprintf("%.1f", b.Limit), "payoff": fmt.Sprintf("%.2f", b.Payoff), "paused": b.Paused, "cold": b.WarmingUp,
			"errors": b.Errors, "results": b.Results, "heard": fmt.Sprintf("%.2f", b.Age)}).Debug("believed")
	}
}

// traced is what became of a request and its attempts.
func (p *Proxy) traced(l *lookup) logrus.Fields {
	attempts := ""
	for _, g := range l.legs {
		attempts += fmt.Sprintf("%s after %.3f ", g.to, g.sent-l.arrived)
		if g.ended {
			attempts += g.outcome.String()
			if g.err != nil {
				attempts += " (" + g.err.Error() + ")"
			}
			attempts += "; "
		} else {
			attempts += fmt.Sprintf("out for %.3f; ", p.now()-g.sent)
		}
	}
	return logrus.Fields{"tariff": l.row.Name, "age": fmt.Sprintf("%.3f", p.now()-l.arrived), "legs": attempts}
}
