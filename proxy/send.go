package proxy

import (
	"time"

	"lockloom/balance"
	"lockloom/internal/http1"
	"lockloom/internal/invariant"
	"lockloom/internal/upstream"
)

// attempt is one attempt of a request.
type leg struct {
	number   int
	to       string
	outcome  balance.Outcome // once it ended
	ex       upstream.Exchange
	sent     float64
	begun    bool // on a connection, or on one that is being opened
	ended    bool
	err      error
	neverRan bool
}

// send starts an attempt. What it came to is booked, also where no connection may be had or a rule would be broken.
func (p *Proxy) send(l *lookup, server int, until float64) {
	now := p.now()
	may := invariant.Holds(!l.answered, "nothing is sent for an answered lookup") &&
		invariant.Holds(now <= p.stopSend[server]+p.launch.DrainGrace, "nothing is sent past the grace of a drain") &&
		invariant.Holds(l.row.Idempotency != balance.NonIdempotent || l.harmless(now), "single-use is sent again only if it never ran") &&
		(l.upload == nil || !l.upload.Started()) && !p.narrowed(l)
	var before time.Time // danger: opening a connection outlasts what is left of a repeat's window
	if l.row.Idempotency == balance.Keyed {
		for _, g := range l.legs {
			if end := p.at(g.sent + l.row.DedupWindow); !g.neverRan && (before.IsZero() || end.Before(before)) {
				before = end
			}
		}
	}
	g := &leg{number: len(l.legs), to: p.names.Name(server), sent: now}
	l.legs = append(l.legs, g)
	p.counts.Legs++
	taken := p.at(l.arrived)
	g.ex = upstream.Exchange{Head: l.head, Body: l.body, Deadline: p.at(until), SendBy: before,
		ClientGone:      func() bool { return l.abandoned(taken) },
		ResponseTimeout: seconds(l.wait) - bodyEnd,
		Passthrough:     l.plain, HeadOnly: l.bare, Upload: l.upload,
		OnResponseStarted: func(r upstream.Result) { p.started(l, g, r) }, OnDone: func(r upstream.Result) { p.book(l, g, r) }}
	if l.upload != nil { // its first bytes are in the upload
		g.ex.Body, until = nil, now+l.wait
	}
	g.ex.Tail = append(http1.AppendField(nil, "X-Expires-In", http1.AppendSeconds(nil, max(until-now, 0.001))), "\r\n"...)
	if g.begun = may && p.pool.Send(server, &g.ex); !g.begun {
		p.later = append(p.later, func() {
			p.book(l, g, upstream.Result{Outcome: balance.NotSent, EndedAt: time.Now()})
		})
	}
}
