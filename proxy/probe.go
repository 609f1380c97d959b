package proxy

import (
	"strings"
	"time"

	"lockloom/balance"
	"lockloom/internal/settings"
	"lockloom/internal/upstream"
)

const (
	healthCheckTimeout = 200 * time.Millisecond // for a server to tell its load
	healthCheckHead    = "GET /load HTTP/1.1\r\nHost: backend\r\n\r\n"
	loadReportField    = "X-Load" // of the answer: name:value, with commas between
)

// healthCheck asks a server for its load and tells the decisions what came. A server that drains or is gone is not asked.
func (p *Proxy) healthCheck(pool *serverPool, server int) {
	if p.now() > p.stopSendAt[server] {
		return
	}
	name := p.registry.Name(server)
	exchange := &upstream.Exchange{Head: []byte(healthCheckHead), Passthrough: true, Deadline: time.Now().Add(healthCheckTimeout)}
	exchange.OnDone = func(result upstream.Result) {
		p.reservedBytes.Add(-result.ReservedBytes)
		if p.registry.Name(server) != name { // danger: the number may be another server's by now
			return
		}
		p.decide(pool, func(now float64) *balance.Actions {
			return pool.decisions.HealthChecked(now, server, result.Outcome == balance.Succeeded, parseLoadReport(result.Fields))
		})
	}
	if p.upstream.Send(server, exchange) {
		p.counters.HealthChecks++
	}
}

// parseLoadReport is the report among the fields of an answer; one without tells nothing.
func parseLoadReport(head []byte) balance.LoadReport {
	for line := range strings.Lines(string(head)) {
		if name, value, _ := strings.Cut(line, ":"); strings.EqualFold(name, loadReportField) {
			return settings.ParseLoadReport(value)
		}
	}
	return settings.ParseLoadReport("")
}
