package proxy

import (
	"github.com/sirupsen/logrus"

	"lockloom/balance"
	"lockloom/internal/invariant"
	"lockloom/internal/upstream"
)

// counts are what the owner has seen since the start.
type counts struct {
	Taken, Honoured, Dismissed, Forfeited, Left, TurnedAway, Unseen, InVain, Legs, Late, Probes int
	Outcomes                                                                                    [9]int // of attempts
}

// book tells the decisions how an attempt ended. The first successful one answers its request.
func (p *Proxy) book(l *lookup, g *leg, r upstream.Result) {
	invariant.Holds(!g.ended, "a leg ends once")
	g.ended = true
	g.outcome, g.err, g.neverRan = r.Outcome, r.Err, r.Outcome.NeverRan()
	p.counts.Outcomes[r.Outcome]++
	if p.now()-p.stamp(r.EndedAt) > lateEvent {
		p.counts.Late++
	}
	if r.Outcome == balance.Succeeded && !l.answered {
		l.answered = true
		p.counts.Honoured++
		p.withhold(l)
		defer func() { // once its other attempts are canceled, see decide
			l.answer <- reply{status: r.Status, fields: r.Fields, body: r.Body, held: r.ReservedBytes, bare: l.bare, length: r.Length}
		}()
	} else {
		if r.Outcome == balance.ServerError && l.plain && r.ReservedBytes == 0 {
			l.failed = &reply{status: r.Status, fields: r.Fields, body: r.Body, bare: l.bare, length: r.Length}
		}
		p.held.Add(-r.ReservedBytes)
	}
	over, sent := l.answered, g.sent
	if !r.SentAt.IsZero() { // danger: what waited here to be written or read would be taken for the server's time
		sent = p.stamp(r.SentAt)
		now := p.now()
		p.strained.ended(now-g.sent, p.stamp(r.EndedAt)-sent)
	}
	p.tell(l, func(now float64) *balance.Actions {
		return l.handle.AttemptEnded(now, g.number, r.Outcome, l.took(sent, p.stamp(r.EndedAt)), over)
	})
}

// took is what an attempt took to its end: from its request's last byte, where that flows. Danger: an answer may come before that, or be
// seen before it is, and the time in which a client sends is none of its server's.
func (l *lookup) took(sent, at float64) float64 {
	switch {
	case l.upload == nil:
		return at - sent
	case l.wholeAt == 0:
		return 0
	}
	return max(at-max(sent, l.wholeAt), 0)
}

// started tells the decisions that a large answer has begun to flow: the request belongs to that attempt, and its client has its answer
// as it comes.
func (p *Proxy) started(l *lookup, g *leg, r upstream.Result) {
	if l.answered || g.ended {
		r.Stream.CloseWithError(upstream.ErrClientGone)
		return
	}
	l.answered = true
	p.counts.Honoured++
	p.withhold(l)
	p.tell(l, func(now float64) *balance.Actions { return l.handle.ResponseStarted(now, g.number) })
	l.answer <- reply{status: r.Status, fields: r.Fields, body: r.Body, bare: l.bare, length: r.Length, flow: r.Stream}
}

// counted returns what logs the counts as they are now.
func (p *Proxy) counted() func() {
	c, pool := &p.counts, p.pool
	fields := logrus.Fields{"taken": c.Taken, "honoured": c.Honoured, "dismissed": c.Dismissed,
		"forfeited": c.Forfeited, "left": c.Left, "turned_away": c.TurnedAway, "unseen": c.Unseen, "in_vain": c.InVain, "legs": c.Legs, "late": c.Late,
		"fault": c.Outcomes[balance.ServerError], "no_room": c.Outcomes[balance.ServerRejected],
		"too_slow": c.Outcomes[balance.TimedOut], "no_route": c.Outcomes[balance.ConnectFailed],
		"unfit": c.Outcomes[balance.InvalidRequest], "cut": c.Outcomes[balance.ConnectionLost], "called_off": c.Outcomes[balance.Canceled],
		"never_sent": c.Outcomes[balance.NotSent], "connections": pool.Total(), "opened": pool.Opened,
		"retired": pool.Retired, "lost_idle": pool.Lost, "no_connection": pool.Full}
	if p.launch.HealthChecks {
		fields["probes"] = c.Probes
	}
	if p.link != nil {
		fields["told"], fields["heard"], fields["unheard"] = p.link.Sent.Load(), p.link.Received.Load(), p.link.Dropped.Load()
	}
	fields["clients"], fields["crowded"] = p.door.counted()
	p.strained.note(p.now(), fields)
	line, broken := p.log.WithFields(fields), invariant.Broken()
	return func() {
		if len(broken) > 0 {
			line.WithField("broken", broken).Error("counts")
		} else {
			line.Info("counts")
		}
	}
}
