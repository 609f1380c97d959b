package proxy

import (
	"github.com/sirupsen/logrus"

	"lockloom/balance"
	"lockloom/internal/backends"
	"lockloom/internal/invariant"
)

// counts are what the owner has seen since the start.
type counts struct {
	Taken, Honoured, Dismissed, Forfeited, Left, TurnedAway, Unseen, InVain, Legs, Late, Probes int
	Outcomes                                                                                    [9]int // of legs
}

// book tells the decisions how a leg ended. The first honoured one answers its lookup.
func (p *Proxy) book(l *lookup, g *leg, r backends.Result) {
	invariant.Holds(!g.ended, "a leg ends once")
	g.ended = true
	g.outcome, g.err, g.neverRan = r.Outcome, r.Err, r.Outcome.NeverRan()
	p.counts.Outcomes[r.Outcome]++
	if p.now()-p.stamp(r.At) > lateEvent {
		p.counts.Late++
	}
	if r.Outcome == balance.Honoured && !l.answered {
		l.answered = true
		p.counts.Honoured++
		p.withhold(l)
		defer func() { // once its other legs are called off, see decide
			l.answer <- reply{status: r.Status, fields: r.Fields, body: r.Body, held: r.Held, bare: l.bare, length: r.Length}
		}()
	} else {
		if r.Outcome == balance.Fault && l.plain && r.Held == 0 {
			l.failed = &reply{status: r.Status, fields: r.Fields, body: r.Body, bare: l.bare, length: r.Length}
		}
		p.held.Add(-r.Held)
	}
	over, sent := l.answered, g.sent
	if !r.Sent.IsZero() { // danger: what waited here to be written or read would be taken for the server's time
		sent = p.stamp(r.Sent)
		now := p.now()
		p.strained.ended(now-g.sent, p.stamp(r.At)-sent)
	}
	p.tell(l, func(now float64) *balance.Orders {
		return l.handle.Ended(now, g.number, r.Outcome, l.took(sent, p.stamp(r.At)), over)
	})
}

// took is what a leg took to its end: from its request's last byte, where that flows. Danger: an answer may come before that, or be
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

// started tells the decisions that a large answer has begun to flow: the lookup belongs to that leg, and its client has its answer
// as it comes.
func (p *Proxy) started(l *lookup, g *leg, r backends.Result) {
	if l.answered || g.ended {
		r.Flow.CloseWithError(backends.ErrLeft)
		return
	}
	l.answered = true
	p.counts.Honoured++
	p.withhold(l)
	p.tell(l, func(now float64) *balance.Orders { return l.handle.Started(now, g.number) })
	l.answer <- reply{status: r.Status, fields: r.Fields, body: r.Body, bare: l.bare, length: r.Length, flow: r.Flow}
}

// counted returns what logs the counts as they are now.
func (p *Proxy) counted() func() {
	c, pool := &p.counts, p.pool
	fields := logrus.Fields{"taken": c.Taken, "honoured": c.Honoured, "dismissed": c.Dismissed,
		"forfeited": c.Forfeited, "left": c.Left, "turned_away": c.TurnedAway, "unseen": c.Unseen, "in_vain": c.InVain, "legs": c.Legs, "late": c.Late,
		"fault": c.Outcomes[balance.Fault], "no_room": c.Outcomes[balance.NoRoom],
		"too_slow": c.Outcomes[balance.TooSlow], "no_route": c.Outcomes[balance.NoRoute],
		"unfit": c.Outcomes[balance.Unfit], "cut": c.Outcomes[balance.Cut], "called_off": c.Outcomes[balance.CalledOff],
		"never_sent": c.Outcomes[balance.NeverSent], "connections": pool.Total(), "opened": pool.Opened,
		"retired": pool.Retired, "lost_idle": pool.Lost, "no_connection": pool.Full}
	if p.launch.Probes {
		fields["probes"] = c.Probes
	}
	if p.link != nil {
		fields["told"], fields["heard"], fields["unheard"] = p.link.Sent.Load(), p.link.Heard.Load(), p.link.Dropped.Load()
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
