package proxy

import (
	"time"

	"lockloom/balance"
	"lockloom/internal/http1"
	"lockloom/internal/invariant"
	"lockloom/internal/upstream"
)

// attempt is one attempt of a request.
type attempt struct {
	number   int
	server   string
	outcome  balance.Outcome // once it ended
	exchange upstream.Exchange
	sentAt   float64
	started  bool // on a connection, or on one that is being opened
	ended    bool
	err      error
	neverRan bool
}

// startAttempt starts an attempt. What it came to is booked, also where no connection may be had or a rule would be broken.
func (p *Proxy) startAttempt(req *request, server int, until float64) {
	now := p.now()
	may := invariant.Holds(!req.answered, "nothing is sent for an answered lookup") &&
		invariant.Holds(now <= p.stopSendAt[server]+p.bootstrap.DrainGrace, "nothing is sent past the grace of a drain") &&
		invariant.Holds(req.class.Idempotency != balance.NonIdempotent || req.safeToRetry(now), "single-use is sent again only if it never ran") &&
		(req.upload == nil || !req.upload.Started()) && !p.retryDenied(req)
	var before time.Time // danger: opening a connection outlasts what is left of a repeat's window
	if req.class.Idempotency == balance.Keyed {
		for _, att := range req.attempts {
			if end := p.at(att.sentAt + req.class.DedupWindow); !att.neverRan && (before.IsZero() || end.Before(before)) {
				before = end
			}
		}
	}
	att := &attempt{number: len(req.attempts), server: p.registry.Name(server), sentAt: now}
	req.attempts = append(req.attempts, att)
	p.counters.Attempts++
	taken := p.at(req.arrived)
	att.exchange = upstream.Exchange{Head: req.head, Body: req.body, Deadline: p.at(until), SendBy: before,
		ClientGone:      func() bool { return req.clientGone(taken) },
		ResponseTimeout: seconds(req.clientWait) - uploadResponseMargin,
		Passthrough:     req.passthrough, HeadOnly: req.headOnly, Upload: req.upload,
		OnResponseStarted: func(r upstream.Result) { p.responseStarted(req, att, r) }, OnDone: func(r upstream.Result) { p.recordOutcome(req, att, r) }}
	if req.upload != nil { // its first bytes are in the upload
		att.exchange.Body, until = nil, now+req.clientWait
	}
	att.exchange.Tail = append(http1.AppendField(nil, "X-Expires-In", http1.AppendSeconds(nil, max(until-now, 0.001))), "\r\n"...)
	if att.started = may && p.upstream.Send(server, &att.exchange); !att.started {
		p.deferred = append(p.deferred, func() {
			p.recordOutcome(req, att, upstream.Result{Outcome: balance.NotSent, EndedAt: time.Now()})
		})
	}
}
