package proxy

import (
	"bufio"
	"bytes"
	"net/textproto"
	"time"

	"lockloom/balance"
	"lockloom/internal/backends"
	"lockloom/internal/figures"
)

const (
	probeFor    = 200 * time.Millisecond // for a backend to tell its load
	probeHead   = "GET /load HTTP/1.1\r\nHost: backend\r\n\r\n"
	reportField = "X-Load" // of the answer: name:value, with commas between
)

// probe asks a backend for its load and tells the decisions what came. A backend that drains or is gone is not asked.
func (p *Proxy) probe(in *branch, index int) {
	if p.now() > p.stopSend[index] {
		return
	}
	to := p.names.Name(index)
	p.counts.Probes++
	ex := &backends.Exchange{Head: []byte(probeHead), Plain: true, Until: time.Now().Add(probeFor)}
	ex.Report = func(r backends.Result) {
		p.held.Add(-r.Held)
		if p.names.Name(index) != to { // danger: the number may be another backend's by now
			return
		}
		report := figures.Report("")
		if r.Outcome == balance.Honoured {
			report = reported(r.Fields)
		}
		p.decide(in, func(now float64) *balance.Orders {
			return in.b.Probed(now, index, r.Outcome == balance.Honoured, report)
		})
	}
	if !p.pool.Send(index, ex) {
		p.counts.Probes--
	}
}

// reported is the report among the fields of an answer; one without tells nothing.
func reported(fields []byte) balance.Report {
	head, err := textproto.NewReader(bufio.NewReader(bytes.NewReader(append(bytes.Clone(fields), "\r\n"...)))).ReadMIMEHeader()
	if err != nil {
		return figures.Report("")
	}
	return figures.Report(head.Get(reportField))
}
