package proxy

import (
	"cmp"
	"time"

	"lockloom/balance"
	"lockloom/internal/invariant"
	"lockloom/internal/upstream"
	"lockloom/limits"
)

// request is a request from its taking in to its end; after that of its client's goroutine it is the owner's.
type lookup struct {
	in         *branch
	row        *balance.Class
	handle     RequestHandle
	alarm      alarm // of its module's wakes and its backstop
	ref        int
	id         string
	trace      string // the id that its client and the servers know; empty: id
	arrived    float64
	hardStop   float64
	head, body []byte // what goes to a server, alike for all its attempts
	legs       []*leg
	client     *client // nil: nobody's
	answered   bool    // or its client has left
	curtailed  bool    // its deadline is the process's end, which the decisions do not know
	released   bool
	plain      bool              // by the ordinary door: a server's answer goes on as it is
	upload     *upstream.Upload  // of a body that is not kept; nil: body is all
	from       *paced            // where it comes from
	wait       float64           // s that its client waits from its last byte on
	wholeAt    float64           // when that came; 0: not yet
	failed     *reply            // what a server said of its own failure, the last one; for a plain request
	bare       bool              // it asks for a head only
	rule       *limits.RetryRule // nil: the platform's, which the deployment tells
	limits     *limits.Limits
	asks       []limits.LimitKey
	ticket     limits.Permit
	route      string
	share      int                 // its route's number in the pool's room
	shared     *limits.FairLimiter // of which it holds a part; nil: none
	answer     chan reply          // holds the one answer; the owner never waits for the client
}

// abandoned tells whether its client has gone. Danger: it is asked just before a byte goes out, by any goroutine, and what the
// client's own goroutine saw may not have come to the owner, nor may that goroutine have been able to see anything.
func (l *lookup) abandoned(taken time.Time) bool {
	return l.client != nil && (l.client.left.Load() || time.Since(taken) > lookEvery && upstream.ClosedByPeer(l.client.nc))
}

// admit hands a request to the decisions. One over a bound of this machine, of connections or of memory, is
// rejected unseen.
func (p *Proxy) admit(l *lookup, a balance.RequestInfo, over bool) {
	if over {
		p.counts.Taken++
		p.counts.Unseen++
		p.finish(l, balance.Rejected, p.launch.MaxRetryAfter)
		return
	}
	if p.open[l.id] { // danger: two attempts of one id look like one request run twice, and either could get the other's answer
		p.counts.TurnedAway++
		l.answered = true
		l.answer <- reply{status: 409, body: []byte("X-Trace-Id is in use\n")}
		return
	}
	if !p.limited(l) { // danger: a request over its limit must cost nothing more
		return
	}
	if last := p.last.Load(); last != nil { // danger: its last byte, or this call, may have come after the order to stop
		a.Deadline = min(a.Deadline, p.stamp(*last))
		l.hardStop = min(l.hardStop, p.stamp(*last))
	}
	p.open[l.id] = true
	p.counts.Taken++
	l.in.live++
	l.in.admitted++
	if n := len(p.free); n > 0 {
		l.ref, p.free = p.free[n-1], p.free[:n-1]
		p.slots[l.ref] = l
	} else {
		l.ref = len(p.slots)
		p.slots = append(p.slots, l)
	}
	a.Ref = l.ref
	l.alarm.call = func() { p.due(l) }
	p.timers.add(&l.alarm, l.hardStop-backstop)
	p.decide(l.in, func(now float64) *balance.Actions {
		handle, orders := l.in.b.RequestArrived(now, a, cmp.Or(l.trace, l.id))
		l.handle = handle
		return orders
	})
}

// whole notes when a request that flows has come to its last byte: its times count from then.
func (p *Proxy) whole(l *lookup, at time.Time) {
	if l.answered {
		return
	}
	l.wholeAt = p.stamp(at)
	l.hardStop = l.wholeAt + l.wait
	if last := p.last.Load(); last != nil {
		l.hardStop = min(l.hardStop, p.stamp(*last))
	}
	if l.alarm.call != nil {
		p.timers.add(&l.alarm, l.hardStop-backstop)
	}
	if l.handle != nil && !l.released {
		p.tell(l, l.handle.BodyCompleted)
	}
}

// due looks at a request when it asked for that, or its time is up.
func (p *Proxy) due(l *lookup) {
	// Danger: a client that sends a large body slowly would have its attempt taken for overdue, and the server blamed.
	if !l.released && !(l.upload != nil && l.upload.Started() && l.wholeAt == 0) {
		p.tell(l, l.handle.TimerFired)
	}
	switch {
	case p.now() < l.hardStop-backstop:
	case l.curtailed && !l.answered:
		p.abandon(l)
	default:
		p.expired(l)
	}
}

// curtail has all that is in hand end by a time, at which this process may be killed, whatever their clients would wait.
func (p *Proxy) curtail(last float64) {
	for _, l := range p.slots {
		if l != nil && !l.answered && l.hardStop > last {
			l.hardStop, l.curtailed = last, true
			p.timers.add(&l.alarm, last-backstop)
		}
	}
}

// abandon gives a request up with its process: rejected where trying again is harmless, else failed.
func (p *Proxy) abandon(l *lookup) {
	answer := balance.Rejected
	if !l.harmless(p.now() + p.launch.MaxRetryAfter) {
		answer = balance.Failed
	}
	p.finish(l, answer, p.launch.MaxRetryAfter)
	p.tell(l, l.handle.ClientDisconnected)
}

// expired answers a request that the decisions have not. Danger: one without an answer breaks rule 1.
func (p *Proxy) expired(l *lookup) {
	if !invariant.Holds(l.answered, "every lookup is answered before its hard stop") {
		p.finish(l, balance.Failed, 0)
	}
}

// left tells the decisions that a client has gone.
func (p *Proxy) left(l *lookup) {
	if l.answered {
		select {
		case a := <-l.answer: // nobody takes it any more
			p.held.Add(-a.held)
			if a.flow != nil {
				a.flow.CloseWithError(upstream.ErrClientGone)
			}
		default:
		}
		return
	}
	l.answered = true
	p.counts.Left++
	if l.handle != nil {
		p.tell(l, l.handle.ClientDisconnected)
	}
}
