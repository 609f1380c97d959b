package proxy

import (
	"strings"
	"time"

	"lockloom/balance"
	"lockloom/internal/settings"
	"lockloom/internal/upstream"
)

const (
	healthCheckTimeout = 200 * time.Millisecond
	healthCheckHead    = "GET /load HTTP/1.1\r\nHost: backend\r\n\r\n"
	loadReportField    = "X-Load" // response header field: name:value pairs, separated by commas
)

// healthCheck requests the load report of a server and passes the result to the balancer. A server that drains, is
// disabled or is gone is not checked.
func (p *Proxy) healthCheck(pool *serverPool, server int) {
	name := p.registry.Name(server)
	if p.now() > p.endpoints.stopSendAt[server] || p.isDisabled(name) {
		return
	}
	exchange := &upstream.Exchange{
		Head:        []byte(healthCheckHead),
		Passthrough: true,
		Deadline:    time.Now().Add(healthCheckTimeout),
	}
	exchange.OnDone = func(result upstream.Result) {
		p.memory.release(result.ReservedBytes)
		if p.registry.Name(server) != name { // the index may belong to another server by now
			return
		}
		healthy, report := result.Outcome == balance.Succeeded, parseLoadReport(result.Fields)
		p.decide(pool, func(now float64) *balance.Actions {
			return pool.decisions.HealthChecked(now, server, healthy, report)
		})
	}
	if p.upstream.Send(server, exchange) {
		p.counters.HealthChecks++
	}
}

// parseLoadReport parses the load report in the header fields of a response. Without one it returns an empty report.
func parseLoadReport(fields []byte) balance.LoadReport {
	for line := range strings.Lines(string(fields)) {
		if name, value, _ := strings.Cut(line, ":"); strings.EqualFold(name, loadReportField) {
			return settings.ParseLoadReport(value)
		}
	}
	return settings.ParseLoadReport("")
}
