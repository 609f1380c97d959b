package proxy

import (
	"slices"

	"lockloom/balance"
	"lockloom/internal/invariant"
)

// route carries out one step that the decisions order, all but its answer.
func (p *Proxy) route(s *balance.RequestAction) {
	l := p.slots[s.Ref]
	if s.Send {
		p.send(l, s.Endpoint, s.Deadline)
	}
	if s.CancelAttempt > 0 {
		if g := l.legs[s.CancelAttempt-1]; !g.ended && g.begun {
			p.pool.Cancel(&g.ex)
		}
	}
	if s.WakeAt > 0 {
		p.timers.add(&l.alarm, s.WakeAt)
	}
}

// withhold has nothing more written for a request that has its answer, wherever its attempts are not written yet.
func (p *Proxy) withhold(l *lookup) {
	for _, g := range l.legs {
		if g.begun && !g.ended {
			p.pool.DiscardResponse(&g.ex)
		}
	}
}

// harmless says whether a client may try the request again at a time: rule 2.
func (l *lookup) harmless(at float64) bool {
	for _, g := range l.legs {
		if !g.neverRan && (l.row.Idempotency == balance.NonIdempotent ||
			l.row.Idempotency == balance.Keyed && (l.row.DedupScope != balance.DedupAll || at >= g.sent+l.row.DedupWindow)) {
			return false
		}
	}
	return true
}

// finish gives a request its final answer.
func (p *Proxy) finish(l *lookup, answer balance.Reply, advice float64) {
	if !invariant.Holds(!l.answered, "a lookup gets one answer") {
		return
	}
	if answer == balance.Rejected && !invariant.Holds(l.harmless(p.now()), "a dismissed lookup may be tried again") {
		answer = balance.Failed
	}
	l.answered = true
	p.withhold(l)
	if p.traces() {
		p.log.WithFields(p.traced(l)).Debug("given up")
	}
	if p.now() > (l.arrived+l.hardStop)/2 && !slices.ContainsFunc(l.legs, func(g *leg) bool { return !g.neverRan }) {
		p.counts.InVain++
	}
	if l.failed != nil && len(l.legs) > 0 && l.legs[len(l.legs)-1].outcome == balance.ServerError {
		if l.failed.status == 503 { // danger: whoever gets it takes trying again for harmless
			l.failed.status = 502
		}
		p.counts.Forfeited++
		l.answer <- *l.failed
		return
	}
	if answer == balance.Rejected {
		p.counts.Dismissed++
		l.answer <- reply{status: 503, advice: advice, body: []byte("dismissed\n")}
		return
	}
	p.counts.Forfeited++
	if n := len(l.legs); n > 0 && l.legs[n-1].outcome == balance.InvalidRequest {
		l.answer <- reply{status: 400, body: []byte("found at fault by a backend\n")}
		return
	}
	l.answer <- reply{status: 502, body: []byte("forfeited\n")}
}
