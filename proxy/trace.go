package proxy

import (
	"fmt"

	"github.com/sirupsen/logrus"
)

// What the log tells at its level debug, for those who ask why a lookup was given up or a backend is left out.

// traces says whether it is to tell that.
func (p *Proxy) traces() bool {
	e, ok := p.log.(*logrus.Entry)
	return ok && e.Logger.IsLevelEnabled(logrus.DebugLevel)
}

// trace tells what is believed of each backend, beside the connections that are in use there.
func (p *Proxy) trace() {
	for _, b := range p.main.b.ServerStatuses(p.now()) {
		p.log.WithFields(logrus.Fields{"backend": p.names.Name(b.Endpoint), "out": b.InFlight, "in_use": p.pool.InFlight(b.Endpoint),
			"limit": fmt.Sprintf("%.1f", b.Limit), "payoff": fmt.Sprintf("%.2f", b.Payoff), "paused": b.Paused, "cold": b.WarmingUp,
			"errors": b.Errors, "results": b.Results, "heard": fmt.Sprintf("%.2f", b.Age)}).Debug("believed")
	}
}

// traced is what became of a lookup and its legs.
func (p *Proxy) traced(l *lookup) logrus.Fields {
	legs := ""
	for _, g := range l.legs {
		legs += fmt.Sprintf("%s after %.3f ", g.to, g.sent-l.arrived)
		if g.ended {
			legs += g.outcome.String()
			if g.err != nil {
				legs += " (" + g.err.Error() + ")"
			}
			legs += "; "
		} else {
			legs += fmt.Sprintf("out for %.3f; ", p.now()-g.sent)
		}
	}
	return logrus.Fields{"tariff": l.row.Name, "age": fmt.Sprintf("%.3f", p.now()-l.arrived), "legs": legs}
}
