package proxy

import (
	"math"
	"time"

	"lockloom/balance"
	"lockloom/internal/http1"
	"lockloom/internal/invariant"
	"lockloom/internal/upstream"
)

// uploadResponseMargin is how long before the client's deadline an attempt with a streamed body times out.
const uploadResponseMargin = 15 * time.Millisecond

// minForwardedWaitSeconds is the minimum of the time to the deadline that is sent to a server in X-Expires-In: a
// shorter or negative time is raised to it.
const minForwardedWaitSeconds = 0.001

// attempt is the sending of a request to one server. It belongs to the owner, its exchange to the upstream pool.
type attempt struct {
	number   int
	server   string // name of the server
	exchange upstream.Exchange
	sentAt   float64 // seconds since 1970, when it was handed over to be sent
	started  bool    // it has a connection, or one is being opened for it
	ended    bool
	outcome  balance.Outcome // once it has ended
	err      error
	neverRan bool // once it has ended: its outcome proves that the server did not run the request
}

// startAttempt sends a request to a server with a deadline, in seconds since 1970. An attempt that can't be sent,
// because there is no connection or sending would break a rule, ends with the outcome NotSent.
func (p *Proxy) startAttempt(req *request, server int, deadline float64) {
	now := p.now()
	name := p.registry.Name(server)
	allowed := p.mayStartAttempt(req, server, now) && !p.disabledPastGrace(name)
	sendBy := p.sendBy(req)
	att := &attempt{number: len(req.attempts), server: name, sentAt: now}
	req.attempts = append(req.attempts, att)
	p.counters.Attempts++
	p.prepareExchange(req, att, deadline, sendBy)
	if att.started = allowed && p.upstream.Send(server, &att.exchange); !att.started {
		p.loop.afterCall(func() {
			p.recordOutcome(req, att, upstream.Result{Outcome: balance.NotSent, EndedAt: time.Now()})
		})
		return
	}
	p.limitUpload(req, att)
}

// mayStartAttempt checks the rules that hold whatever the balancer decides.
func (p *Proxy) mayStartAttempt(req *request, server int, now float64) bool {
	sendEnd := p.endpoints.stopSendAt[server] + p.bootstrap.DrainGrace
	return invariant.Holds(!req.answered, "nothing is sent for an answered request") &&
		invariant.Holds(now <= sendEnd, "nothing is sent past the grace of a drain") &&
		invariant.Holds(req.class.Idempotency != balance.NonIdempotent || req.safeToRetry(now),
			"a non-idempotent request is sent again only if it never ran") &&
		(req.stream.upload == nil || !req.stream.upload.Claimed()) && // without the body, the connection would be for nothing
		!p.retryDenied(req)
}

// sendBy returns the time by which a retry must be sent so that its server still knows the idempotency key of the first
// attempt, or zero if there is no such time. It is checked when the retry is sent, since opening a connection may take
// longer than what is left.
func (p *Proxy) sendBy(req *request) time.Time {
	var sendBy time.Time
	if req.class.Idempotency != balance.Keyed {
		return sendBy
	}
	if until := req.dedupedUntil(); !math.IsInf(until, 1) {
		sendBy = p.fromUnixSeconds(until)
	}
	return sendBy
}

// prepareExchange sets up an attempt's exchange: what the upstream pool sends, until when, and which functions it
// calls.
func (p *Proxy) prepareExchange(req *request, att *attempt, deadline float64, sendBy time.Time) {
	arrivedAt := p.fromUnixSeconds(req.arrivedAt)
	att.exchange = upstream.Exchange{
		Head:              req.head,
		Body:              req.body,
		Deadline:          p.fromUnixSeconds(deadline),
		SendBy:            sendBy,
		ClientGone:        func() bool { return req.clientGone(arrivedAt) },
		ResponseTimeout:   seconds(req.stream.clientWait) - uploadResponseMargin,
		Passthrough:       req.passthrough,
		HeadOnly:          req.headOnly,
		Upload:            req.stream.upload,
		OnResponseStarted: func(result upstream.Result) { p.responseStarted(req, att, result) },
		OnDone:            func(result upstream.Result) { p.recordOutcome(req, att, result) },
	}
	if req.stream.upload != nil { // the upload includes the first bytes of the body
		att.exchange.Body = nil
		deadline = req.deadline
		if req.stream.receivedAt == 0 { // the client's wait has not begun
			deadline = att.sentAt + req.stream.clientWait
		}
	}
	wait := http1.AppendSeconds(nil, max(deadline-att.sentAt, minForwardedWaitSeconds))
	att.exchange.Tail = append(http1.AppendField(nil, "X-Expires-In", wait), "\r\n"...)
}

// retryDenied reports whether a request's retry rule denies another attempt. The balancer chooses each attempt; the
// rule only restricts it further.
func (p *Proxy) retryDenied(req *request) bool {
	rule := req.retryRule
	if rule == nil {
		return false
	}
	budget := req.pool.retryBudget(rule)
	if len(req.attempts) == 0 {
		budget.FirstAttempt(p.now())
		return false
	}
	return rule.MaxAttempts > 0 && len(req.attempts) >= rule.MaxAttempts || !budget.AllowRetry(p.now())
}
