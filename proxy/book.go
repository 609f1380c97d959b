package proxy

import (
	"github.com/sirupsen/logrus"

	"lockloom/balance"
	"lockloom/internal/invariant"
	"lockloom/internal/upstream"
)

// counters are what the owner has seen since the start.
type counters struct {
	Requests, Succeeded, Rejected, Failed, ClientGone, BadRequests, ShedBounds, RejectedLate, Attempts, LateEvents, HealthChecks int
	Outcomes                                                                                                                     [9]int // of attempts
}

// recordOutcome tells the decisions how an attempt ended. The first successful one answers its request.
func (p *Proxy) recordOutcome(req *request, att *attempt, result upstream.Result) {
	invariant.Holds(!att.ended, "a leg ends once")
	att.ended = true
	att.outcome, att.err, att.neverRan = result.Outcome, result.Err, result.Outcome.NeverRan()
	p.counters.Outcomes[result.Outcome]++
	if p.now()-p.stamp(result.EndedAt) > lateEventSeconds {
		p.counters.LateEvents++
	}
	if result.Outcome == balance.Succeeded && !req.answered {
		req.answered = true
		p.counters.Succeeded++
		p.discardResponses(req)
		defer func() { // once its other attempts are canceled, see decide
			req.response <- response{status: result.Status, fields: result.Fields, body: result.Body, reservedBytes: result.ReservedBytes, headOnly: req.headOnly, contentLength: result.Length}
		}()
	} else {
		if result.Outcome == balance.ServerError && req.passthrough && result.ReservedBytes == 0 {
			req.serverFailure = &response{status: result.Status, fields: result.Fields, body: result.Body, headOnly: req.headOnly, contentLength: result.Length}
		}
		p.reservedBytes.Add(-result.ReservedBytes)
	}
	over, sent := req.answered, att.sentAt
	if !result.SentAt.IsZero() { // danger: what waited here to be written or read would be taken for the server's time
		sent = p.stamp(result.SentAt)
		now := p.now()
		p.overload.attemptMeasured(now-att.sentAt, p.stamp(result.EndedAt)-sent)
	}
	p.decideRequest(req, func(now float64) *balance.Actions {
		return req.handle.AttemptEnded(now, att.number, result.Outcome, req.latency(sent, p.stamp(result.EndedAt)), over)
	})
}

// latency is what an attempt took to its end: from its request's last byte, where that flows. Danger: an answer may come before that, or be
// seen before it is, and the time in which a client sends is none of its server's.
func (req *request) latency(sentAt, endedAt float64) float64 {
	switch {
	case req.upload == nil:
		return endedAt - sentAt
	case req.bodyCompletedAt == 0:
		return 0
	}
	return max(endedAt-max(sentAt, req.bodyCompletedAt), 0)
}

// responseStarted tells the decisions that a large answer has begun to flow: the request belongs to that attempt, and its client has its answer
// as it comes.
func (p *Proxy) responseStarted(req *request, att *attempt, result upstream.Result) {
	if req.answered || att.ended {
		result.Stream.CloseWithError(upstream.ErrClientGone)
		return
	}
	req.answered = true
	p.counters.Succeeded++
	p.discardResponses(req)
	p.decideRequest(req, func(now float64) *balance.Actions { return req.handle.ResponseStarted(now, att.number) })
	req.response <- response{status: result.Status, fields: result.Fields, body: result.Body, headOnly: req.headOnly, contentLength: result.Length, stream: result.Stream}
}

// counters returns what logs the counts as they are now.
func (p *Proxy) countsLogger() func() {
	c, pool := &p.counters, p.upstream
	fields := logrus.Fields{"taken": c.Requests, "honoured": c.Succeeded, "dismissed": c.Rejected,
		"forfeited": c.Failed, "left": c.ClientGone, "turned_away": c.BadRequests, "unseen": c.ShedBounds, "in_vain": c.RejectedLate, "legs": c.Attempts, "late": c.LateEvents,
		"fault": c.Outcomes[balance.ServerError], "no_room": c.Outcomes[balance.ServerRejected],
		"too_slow": c.Outcomes[balance.TimedOut], "no_route": c.Outcomes[balance.ConnectFailed],
		"unfit": c.Outcomes[balance.InvalidRequest], "cut": c.Outcomes[balance.ConnectionLost], "called_off": c.Outcomes[balance.Canceled],
		"never_sent": c.Outcomes[balance.NotSent], "connections": pool.Total(), "opened": pool.Opened,
		"retired": pool.Retired, "lost_idle": pool.Lost, "no_connection": pool.Full}
	if p.bootstrap.HealthChecks {
		fields["probes"] = c.HealthChecks
	}
	if p.gossipLink != nil {
		fields["told"], fields["heard"], fields["unheard"] = p.gossipLink.Sent.Load(), p.gossipLink.Received.Load(), p.gossipLink.Dropped.Load()
	}
	fields["clients"], fields["crowded"] = p.conns.counts()
	p.overload.addFields(p.now(), fields)
	line, broken := p.log.WithFields(fields), invariant.Broken()
	return func() {
		if len(broken) > 0 {
			line.WithField("broken", broken).Error("counts")
		} else {
			line.Info("counts")
		}
	}
}
