package proxy

import (
	"strings"
	"time"

	"lockloom/balance"
	"lockloom/internal/settings"
	"lockloom/internal/upstream"
)

const (
	probeFor    = 200 * time.Millisecond // for a server to tell its load
	probeHead   = "GET /load HTTP/1.1\r\nHost: backend\r\n\r\n"
	reportField = "X-Load" // of the answer: name:value, with commas between
)

// probe asks a server for its load and tells the decisions what came. A server that drains or is gone is not asked.
func (p *Proxy) probe(in *branch, index int) {
	if p.now() > p.stopSend[index] {
		return
	}
	to := p.names.Name(index)
	ex := &upstream.Exchange{Head: []byte(probeHead), Passthrough: true, Deadline: time.Now().Add(probeFor)}
	ex.OnDone = func(r upstream.Result) {
		p.held.Add(-r.ReservedBytes)
		if p.names.Name(index) != to { // danger: the number may be another server's by now
			return
		}
		p.decide(in, func(now float64) *balance.Actions {
			return in.b.HealthChecked(now, index, r.Outcome == balance.Succeeded, reported(r.Fields))
		})
	}
	if p.pool.Send(index, ex) {
		p.counts.Probes++
	}
}

// reported is the report among the fields of an answer; one without tells nothing.
func reported(fields []byte) balance.LoadReport {
	for line := range strings.Lines(string(fields)) {
		if name, value, _ := strings.Cut(line, ":"); strings.EqualFold(name, reportField) {
			return settings.ParseLoadReport(value)
		}
	}
	return settings.ParseLoadReport("")
}
