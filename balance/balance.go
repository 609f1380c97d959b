// Package balance decides where a proxy sends its requests. It does no input or output and keeps no clock.
// RequestArrived gives back a handle of a request; what happens to it later is a call on that handle. Every call takes
// the present time and returns Orders. The interface is in types.go, the reasons are in docs/design.md.
package balance

import (
	"cmp"
	"math"
	"slices"

	"lockloom/internal/pcg"
)

// Every constant of the decisions. Shares and payoffs are plain numbers from 0 to 1.
const (
	roundInterval   = 15.0  // s; the source's: counts older than this say little of now
	tariffRound     = 5.0   // s; the same for one class at one server: a hang costs each request its deadline
	recoverInterval = 5.0   // s; the source's: long enough that a dead server costs few requests
	recoverSpread   = 0.5   // of recoverInterval, by chance, so that shared pauses do not lapse together
	minCheck        = 5     // results; the source's: fewer are chance
	cbkErrRate      = 0.5   // share; the source's: a server failing more than it serves
	temperature     = 0.1   // payoff; a server 0.2 worse is drawn an eighth as often
	keyTemperature  = 0.25  // payoff, for requests with a key: a passing dip of a payoff must not move keys
	smoothing       = 0.1   // of a server's pace replaced a result: about ten results are remembered
	oneResult       = 1.0   // chance in one payoff, over the usual square of what one server differs by
	forget          = 10.0  // s; unheard this long, a payoff has gone most of the way back to the mean
	forgetModel     = 60.0  // s; what a model can do stays, but another class mix may ask other things of it
	haste           = 0.4   // payoff an answer loses by using its whole latency objective up
	farther         = 0.12  // payoff lost on the way to another location, where proxies tell
	latePayoff      = 0.3   // payoff of a late answer: better than none, worse than any in time
	fullPayoff      = 0.5   // of an attempt with a warm key rejected, where peers tell; of others none
	busyShare       = 0.9   // of the room there is: with less in flight the limits do not bind
	spareShare      = 0.5   // of the room: with less in flight an attempt beside another keeps nobody out
	homes           = 2     // servers a key is kept to at first; one alone is crowded by a popular key
	keyShares       = 1.0   // of a server's even share of all requests: a key with more counts as several keys
	ownServers      = 4.0   // times its even part of the servers: a proxy of many keeps to so many
	mostUneven      = 20.0  // times the even part of the traffic, or the even part over it
	hearsay         = 10.0  // times the chance in a payoff, where a peer tells it
	wayCost         = 3.0   // in the draw, of another location, where there is room
	openCost        = 15.0  // the same of opening a connection, times its price
	openMargin      = 0.5   // s before an idle connection is closed
	idleFor         = 2.0   // s; a connection unused for longer costs a server more than opening it anew
	sightFor        = 3.0   // s; what was seen, or told of loads, longer ago is left out
	goneFor         = 1.0   // s after its last answer, that a server which the list has lost is still sent to
	hop             = 0.02  // s that a note is taken to be on its way
	homeTime        = 0.2   // of the latency objective; a longer wait costs more than a warm server saves
	crowdMultiple   = 2.0   // of the mean in flight, the design's redraw bound
	firstLimit      = 2.0   // attempts of all proxies together at a server not yet heard: one at work, one waiting
	firstTold       = 3.0   // the same, and the least, for each core the list tells, where peers tell results
	leastLimit      = 1.0   // attempts of all proxies together: a server is never wholly shut by its limit
	limitGain       = 1.2   // attempts a second at a server, over the proxies and one; more chokes, less starves
	firstGain       = 4.8   // the same at first in a fleet, until a few cuts: nothing tells what a server bears
	limitCut        = 0.9   // factor on a slow answer
	halfLeg         = 0.5   // attempts; a limit below binds by the sum of all only
	limitFull       = 0.7   // factor on no room, a plain sign
	toldFull        = 0.95  // the same where peers tell of it, so that many count what one saw
	slowShare       = 0.35  // of the latency objective: an answer slower than this was kept waiting
	slowMedians     = 2.5   // of the class's median when little waited: later, it waited or was unlucky
	slowLeast       = 2.2   // of it too: an attempt under that did not wait, whatever its part of the latency objective
	baseRise        = 0.002 // smoothing of that median upwards: it follows a slower fleet, not a crowd
	mostLost        = 2     // attempts of a request that failed where they ran: the request may be at fault
	patienceFactor  = 1.5   // of the class's high quantile: an attempt older than this is overdue
	againPart       = 0.2   // of the priority, for a client's further try: most of its latency objective is gone
	holdPart        = 0.4   // of the time to the deadline to wait for a first attempt: past half it costs more
	answerEarly     = 0.01  // s before the deadline, more than two of any proxy's ticks
	windowMargin    = 0.01  // s before a dedup window closes, for the way to the server
	coldMargin      = 0.4   // of the fall budget, as it flows at least
	coldMost        = 0.55  // and at most
	coldSpread      = 3.5   // deviations of what chance sends, to fit above the flow; fewer requests, wider ones
	coldDepth       = 0.5   // of a window's flow may come at once: in all 0.6 to 0.83 of the budget in any
	mostVain        = 8     // draws that came to nothing, of those that wait, at one look at them
	pumpEvery       = 0.02  // s between looks at held requests when nothing else happens
	askFirst        = 0.25  // s; first pause before asking the list again
	askMost         = 4.0   // s; longest such pause
	paceSmoothing   = 0.05  // of a gap between sends: about twenty gaps
	spareLegs       = 10.0  // usual attempts past a small room, saved up: a part of all arrivals comes in clumps
	spareRoom       = 4.0   // attempts; a room of so many smooths half of that by itself
	freshFor        = 0.08  // s; a told load this old says little more than the mean
	crowdCost       = 8.0   // in the draw, of a full server over an empty one; more than its payoff tells
	seenShare       = 0.55  // of the latency objective that a usual request may take at a full server whose load is seen
	seenReserve     = 0.3   // of the room whose load is seen, for requests of more than the usual priority
	spend           = 0.004 // of the service, to pay for probes, and as much for notes
	mostAsked       = 2.0   // probes a request, however cheap
	guessMost       = 1.0   // s; of an answer unheard so far a longer guess is none: others' tell more
	meanPart        = 0.02  // smoothing of fleet-wide means: about fifty results
)

// New refuses a deployment it cannot decide on.
func New(d Deployment, now float64) (*Balancer, error) {
	if err := d.check(); err != nil {
		return nil, err
	}
	d.Proxies, d.MaxAttempts = max(d.Proxies, 1), max(d.MaxAttempts, 1)
	b := &Balancer{d: d, chance: pcg.Rand(d.Seed), now: now, askPause: askFirst,
		part: 1, slack: 1, fleet: &opinion{lasts: forget}, askAt: math.Inf(1), lastSend: now, lastTake: now}
	if first, _ := b.bounds(0); first < halfLeg && !d.Gossip { // danger: each of many alone learns too slowly
		b.gain = firstGain
	}
	for _, t := range d.Classes {
		t.LatencyObjective = cmp.Or(t.LatencyObjective, t.Deadline/2) // no latency objective set: half of what the client waits
		b.rows = append(b.rows, row{Class: t, base: t.LatencyObjective / 4, all: &b.all})
	}
	return b, nil
}

// RequestArrived accepts a request; it will get exactly one answer.
func (b *Balancer) RequestArrived(now float64, a RequestInfo) (*Request, *Actions) {
	b.begin(now)
	r := &b.rows[a.Class]
	l := &Request{RequestInfo: a, b: b, row: r, taken: now, heavy: 1}
	if a.ExpectedWork > 0 {
		r.work = cmp.Or(r.work, a.ExpectedWork)
		l.heavy = a.ExpectedWork / r.work
		r.work += meanPart * (a.ExpectedWork - r.work)
	}
	b.lookups++
	b.gap += max(meanPart, 1/b.lookups) * (now - b.lastTake - b.gap)
	b.lastTake = now
	if b.warm(l) { // danger: one key of many requests crowds its homes; it counts as several keys
		l.place = l.Key + uint64(b.chance.Float64()*math.Ceil(b.keys.Add(l.Key)*b.servable/keyShares))
	} else if n := ownServers * b.servable / float64(b.d.Proxies) * b.uneven(); n < b.servable {
		l.place = b.d.Seed + uint64(b.chance.Float64()*n) // danger: who sees little of all can tell none apart
	}
	b.ask()
	b.tell()
	l.priority = b.priority(l)
	b.usual += meanPart * (l.priority - b.usual)
	b.step(RequestAction{Ref: a.Ref, WakeAt: a.Deadline - answerEarly})
	b.next(l)
	return l, b.pump()
}

// ResponseStarted tells that a streamed answer began: the request now belongs to that attempt.
func (l *Request) ResponseStarted(now float64, i int) *Actions {
	b := l.b.begin(now)
	if !l.over && i < len(l.legs) {
		b.learn(l, &l.legs[i], Succeeded, now-l.legs[i].sent)
		l.legs[i].started = true
		b.unload(&l.legs[i], true) // danger: answers that flow for minutes would fill a server's limit
		b.close(l, i)
	}
	return &b.orders
}

// ClientDisconnected tells that the client has gone; no answer is owed.
func (l *Request) ClientDisconnected(now float64) *Actions {
	b := l.b.begin(now)
	if !l.over {
		b.close(l, -1)
	}
	return &b.orders
}

// AttemptEnded tells how an attempt ended, and whether the request is over by it or was before.
func (l *Request) AttemptEnded(now float64, i int, o Outcome, latency float64, over bool) *Actions {
	b := l.b.begin(now)
	if i >= len(l.legs) || !l.legs[i].out {
		return &b.orders
	}
	g := &l.legs[i]
	g.out, g.neverRan, g.noRoute = false, o.NeverRan(), o == ConnectFailed
	l.out--
	b.unload(g, true)
	g.s.gave(l.Class, g.sent, now)
	if !(g.started && o == Succeeded) { // its time to the end is the client's
		b.learn(l, g, o, latency)
	}
	switch {
	case l.over:
	case over:
		b.close(l, -1)
	case l.out > 0: // an attempt sent beside it may still answer
	case o == InvalidRequest: // danger: asked of one server after the other it would set each back
		b.step(RequestAction{Ref: l.Ref, Reply: Failed})
		b.close(l, -1)
	case l.lost() >= mostLost: // danger: one that brings down what takes it would be handed on and on
		b.giveUp(l)
	default:
		b.next(l) // where it may have run, pick sends it only where that is harmless
	}
	return b.pump()
}

// WakeAt is the request's own timer: for an overdue attempt, and for the answer before the deadline.
func (l *Request) TimerFired(now float64) *Actions {
	b := l.b.begin(now)
	if l.over {
		return &b.orders
	}
	if now >= l.Deadline-answerEarly {
		b.giveUp(l) // danger: an attempt's own end may come after the deadline
		return &b.orders
	}
	for i := range l.legs {
		g := &l.legs[i]
		if !g.out || g.counted || now < g.sent+b.patience(l)-1e-6 {
			continue
		}
		g.counted = true                  // danger: a hanging server would be known only a deadline later
		b.unload(g, g.s.limit >= halfLeg) // danger: a class that hangs there leaves the others no room
		b.results(l.Class, g.s, false)
		g.s.payoff(b, l.Class, 0, b.now, oneResult)
		// danger: an attempt that was lost on its way is never answered, at whatever server
		if s, _ := b.pick(l); s != nil && b.d.HedgingAllowed && float64(max(b.out, 1)) < spareShare*b.room {
			b.send(l, s)
		}
	}
	return b.pump()
}

// WakeAt is the balancer's own timer.
func (b *Balancer) TimerFired(now float64) *Actions {
	b.begin(now)
	if now >= b.askAt-1e-6 {
		b.askAt = math.Inf(1)
		b.orders.Subscribe = true
	}
	return b.pump()
}

// tidy closes connections that were idle for too long, where they are paid for.
func (b *Balancer) tidy() {
	if !b.d.Sidecar && !b.d.Gossip || b.d.ConnectionCost == 0 || b.tidyAt > b.now {
		return
	}
	b.tidyAt = 0
	for _, s := range b.servers {
		if s == nil || s.legs() > 0 || s.used == 0 {
			continue
		}
		if b.tidyAt = b.now + pumpEvery; b.now >= s.used+idleFor {
			s.used = 0
			b.orders.CloseIdle = append(b.orders.CloseIdle, s.Index)
		}
	}
	b.wake(b.tidyAt)
}

// EndpointsUpdated takes in the list of servers or, unless full, the changed entries. The first one also subscribes.
func (b *Balancer) EndpointsUpdated(now float64, full, first bool, list []Endpoint) *Actions {
	b.begin(now)
	b.place(full, list)
	if !first {
		b.askPause = askFirst
	}
	b.orders.Subscribe = first && b.d.PollsEndpoints
	return b.pump()
}

// PollFailed tells that asking failed or the subscription dropped.
func (b *Balancer) PollFailed(now float64) *Actions {
	b.begin(now)
	if b.d.PollsEndpoints { // danger: unsubscribed, this proxy soon counts as told of what it never heard
		b.askAt = now + b.askPause*(0.5+b.chance.Float64())
		b.askPause = min(2*b.askPause, askMost, max(b.d.NotificationDeadline/4, askFirst))
		b.wake(b.askAt)
	}
	return &b.orders
}

func (b *Balancer) send(l *Request, s *server) {
	l.legs = append(l.legs, leg{s: s, pod: s.Pod, zone: s.Zone, sent: b.now, out: true})
	if b.loads() {
		l.legs[len(l.legs)-1].crowd = (b.load(s) + 1) / s.like.cores()
	}
	s.took(l.Class)
	l.out++
	b.out++
	if len(b.held) > 0 { // only then does every place go to one of them
		b.pace += paceSmoothing * (b.now - b.lastSend - b.pace)
	}
	b.lastSend = b.now
	b.unload(&l.legs[len(l.legs)-1], l.Streaming) // danger: slow clients would fill a limit with attempts at rest
	b.step(RequestAction{Ref: l.Ref, Send: true, Endpoint: s.Index, Deadline: l.Deadline,
		WakeAt: min(b.now+b.patience(l), l.Deadline-answerEarly)})
}

// may says whether another attempt of l at s is harmless and goes somewhere new.
func (b *Balancer) may(l *Request, s *server) bool {
	for i := range l.legs {
		g := &l.legs[i]
		if g.s == s && (!g.neverRan || g.noRoute || i == len(l.legs)-1) {
			return false
		}
		if g.neverRan || l.row.Idempotency == Idempotent {
			continue
		}
		if l.row.Idempotency == NonIdempotent || b.now > g.sent+l.row.DedupWindow-windowMargin ||
			l.row.DedupScope == DedupZone && s.Zone != g.zone || l.row.DedupScope == DedupPod && s.Pod != g.pod {
			return false
		}
	}
	return true
}

// giveUp answers a request at once: rejected where trying again is harmless, else failed.
func (b *Balancer) giveUp(l *Request) {
	ans, advice := Rejected, min(l.row.LatencyObjective, b.d.MaxRetryAfter)
	for i := range l.legs {
		g, known := &l.legs[i], l.row.DedupScope == DedupAll && b.now+advice < l.legs[i].sent+l.row.DedupWindow
		if !g.neverRan && (l.row.Idempotency == NonIdempotent || l.row.Idempotency == Keyed && !known) {
			ans = Failed // danger: it may have run, so trying again, when told to, is not harmless
		}
	}
	b.step(RequestAction{Ref: l.Ref, Reply: ans, RetryAfter: advice})
	b.close(l, -1)
}

// close ends a request, calling off every attempt but the kept one.
func (b *Balancer) close(l *Request, kept int) {
	l.over = true
	if l.isHeld {
		b.unhold(l)
	}
	for i := range l.legs {
		if l.legs[i].out && i != kept && b.d.CancelAllowed {
			b.step(RequestAction{Ref: l.Ref, CancelAttempt: i + 1})
		}
	}
}

// patience is the age at which an attempt of this request is overdue.
func (b *Balancer) patience(l *Request) float64 {
	return patienceFactor*l.row.times.Quantile(0.9, l.row.LatencyObjective/2)*max(l.heavy, 1) + b.lag
}

// worthHolding says whether a request with n held before it can still be answered in time.
func (b *Balancer) worthHolding(l *Request, n int) bool {
	sent := b.now + float64(n+1)*b.pace // danger: rejected with nothing sent, its client has waited in vain
	return sent+b.typical(l) <= min(l.taken+l.row.LatencyObjective, l.Deadline-answerEarly) &&
		(len(l.legs) > 0 || sent <= l.taken+holdPart*(l.Deadline-l.taken))
}

// priority is the value of answering this request in time, for its work.
func (b *Balancer) priority(l *Request) float64 {
	p := l.row.PriorityWeight
	if !b.d.WeightByWork {
		p /= l.row.median()
	}
	if l.ClientRetry {
		p *= againPart
	}
	return p
}

// next holds a request with nothing out, by priority, then by age; pump sends it at once where there is room.
func (b *Balancer) next(l *Request) {
	i := len(b.held)
	if i == 0 {
		b.lastSend = b.now // danger: at a quiet proxy the time since the last send is not the wait
	}
	for i > 0 && b.held[i-1].priority < l.priority {
		i--
	}
	b.held, l.isHeld = slices.Insert(b.held, i, l), true
}

// pump sends held requests where there is room and answers those that can no longer be in time.
func (b *Balancer) pump() *Actions {
	stuck, vain := false, 0
	for i := 0; i < len(b.held); {
		l := b.held[i]
		var s *server
		full := true
		if !stuck || len(l.legs) > 0 { // danger: one that can go nowhere any more must be answered at once
			if s, full = b.pick(l); s == nil && full {
				vain++ // danger: all that wait, drawn for at each event, take the core
				stuck = stuck || vain >= mostVain ||
					float64(b.out) >= b.space(l.priority) || len(l.legs) == 0 && !b.warm(l)
			}
		}
		switch {
		case s != nil:
			b.unhold(l)
			b.send(l, s)
		case full && b.worthHolding(l, i):
			i++
		default:
			b.giveUp(l)
		}
	}
	if len(b.held) > 0 && b.pumpAt <= b.now { // danger: a timer asked for at every call breeds without end
		b.pumpAt = b.now + pumpEvery
		b.wake(b.pumpAt)
	}
	b.tidy()
	return &b.orders
}

// pick draws a server for an attempt by the softmax of payoffs, in Gumbel form: greatest payoff/temperature plus
// noise. A crowded one is redrawn, without putting it back; the last choice is the least crowded drawn.
// It also tells whether some server would do if it had room.
func (b *Balancer) pick(l *Request) (*server, bool) {
	if len(l.legs) >= b.d.MaxAttempts || b.now >= l.Deadline-answerEarly {
		return nil, false
	}
	b.cands, b.room = b.cands[:0], 0
	admitted, out := 0, 0.0
	for _, s := range b.servers {
		if s == nil || s.State != Ready && !b.lingers(s) || !b.admitted(&s.breaker) {
			continue
		}
		c := cand{s: s, load: b.load(s), bears: b.bears(s)}
		admitted++
		b.room += c.bears
		out += c.load
		if !b.admitted(&s.tariffs[l.Class]) || !b.may(l, s) {
			continue
		}
		b.cands = append(b.cands, c)
	}
	full := len(b.cands) > 0
	b.fill = min(out/max(b.room, 1e-9), 1)
	bound, draws := b.fill, len(b.cands)
	if !b.loads() {
		out = float64(b.out)
		bound = crowdMultiple * out / float64(max(admitted, 1))
	}
	if out >= b.space(l.priority) { // danger: a room below one attempt binds over time, not at once
		return nil, full // danger: payoffs reckoned for each that waits took most of a second's processor time
	}
	spare := max(1-b.fill/spareShare, 0) // danger: where room is short, a cost keeps servers idle
	for i := range b.cands {
		c := &b.cands[i]
		s, pay, cost := c.s, b.payNow(c.s, l.Class), 0.0
		if b.d.Gossip && b.d.Zone >= 0 && s.Zone != b.d.Zone {
			pay -= farther
			cost = wayCost
		}
		if b.d.Gossip && !b.open(s) {
			cost += openCost * b.d.HandshakeCost
		}
		m := s.opinions[1].at(b.now)
		score := m/temperature + (pay-m)/keyTemperature
		if !b.warm(l) {
			heft := haste * max(l.heavy-1, 0) * l.row.median() * s.pace / l.row.LatencyObjective // its work's cost here
			score = (pay - heft) / temperature
		}
		if c.crowd = c.load; b.loads() {
			c.crowd /= c.bears
			score -= crowdCost * (c.crowd - b.fill)
		}
		c.score = score - cost*spare + b.noise(l, s)
	}
	b.servable = float64(max(admitted, 1))
	if b.warm(l) && b.now < l.taken+homeTime*l.row.LatencyObjective { // danger: a key on every server is warm on none
		draws = min(draws, homes)
	}
	var last cand
	for n := 0; n < draws; n++ {
		for i := n + 1; i < len(b.cands); i++ { // danger: a whole sort took as long as all else of a draw among 60
			if b.cands[i].score > b.cands[n].score {
				b.cands[i], b.cands[n] = b.cands[n], b.cands[i]
			}
		}
		c := b.cands[n]
		if b.cold(c.s) {
			if float64(c.s.inFlight) <= bound && b.coldRoom(l, c.s) {
				return c.s, true
			}
			draws = min(draws+1, len(b.cands))
		} else if c.load < max(c.bears, 1) {
			if c.crowd <= bound {
				return c.s, true
			}
			if last.s == nil || c.crowd < last.crowd {
				last = c
			}
		}
	}
	return last.s, full
}

// open says whether a connection to a server is idle, as far as its attempts tell.
func (b *Balancer) open(s *server) bool {
	return s.used > 0 && b.now < s.used+b.d.ServerIdleTimeout-openMargin
}

// lingers says whether a server that the list has lost may be sent to: as long as it goes on answering.
// Danger: one that is up again is cold, and the list would not tell.
func (b *Balancer) lingers(s *server) bool {
	return b.d.RemovalIsAdvisory && s.State == Removed && !s.drained && b.now < s.served+goneFor
}

// admitted is the source's access query.
func (b *Balancer) admitted(r *breaker) bool {
	return !r.paused || b.now >= r.accessLast+r.cooldown && r.inFlight == 0
}

// noise is Gumbel noise: by chance or, where a request has a place, by that and the server. A key's place is
// alike at every proxy, a proxy of many has a few of its own. Over all places the draw is the same.
func (b *Balancer) noise(l *Request, s *server) float64 {
	u := b.chance.Float64()
	if l.place != 0 {
		u = pcg.HashFloat64(l.place, s.NameHash)
	}
	return -math.Log(-math.Log(u))
}

// learn takes in how an attempt ended.
func (b *Balancer) learn(l *Request, g *leg, o Outcome, latency float64) {
	s, due := g.s, l.row.LatencyObjective*max(l.heavy, 1)
	switch o {
	case Canceled: // danger: were only answers to count, the slowest class would look as quick as its luckiest
		if g.counted {
			l.row.times.Add((b.now - g.sent) / max(l.heavy, 0.5))
		}
	case NotSent, InvalidRequest: // these count neither way
	case ServerRejected: // a busy server is not a broken one: its row stays
		b.credit -= max(l.row.median()-(b.now-g.sent), 0) // danger: rejected at once, attempts would use up no room
		cut, worth := limitFull, 0.0
		if b.d.Gossip {
			cut = toldFull
		}
		if b.d.Gossip && b.warm(l) { // danger: in a crowd refusals would outweigh all else that payoffs tell
			worth = fullPayoff
		}
		b.move(s, cut, 1)
		s.payoff(b, len(b.rows), worth, b.now, oneResult)
	case Succeeded:
		s.served = b.now
		b.results(l.Class, s, true)
		alone := latency / max(g.crowd, 1) / max(l.heavy, 0.5) // what it had taken at an idle server
		l.row.alone.Add(alone)
		m := l.row.alone.Quantile(0.5, l.row.LatencyObjective/4)
		s.pace += smoothing * (alone/m - s.pace)
		l.row.times.Add(latency / max(l.heavy, 0.5))
		b.all.Add(latency / max(l.heavy, 0.5))
		if m > l.row.base {
			l.row.base += baseRise * (m - l.row.base)
		} else {
			l.row.base += meanPart * (m - l.row.base) // danger: a mere minimum keeps the luckiest start
		}
		if latency <= due {
			s.payoff(b, l.Class, 1-haste*latency/due, b.now, oneResult)
		} else {
			s.payoff(b, l.Class, latePayoff, b.now, oneResult)
		}
		if b.loads() || float64(b.out+1) < busyShare*b.space(b.usual) { // with the attempt that just ended
			return // danger: a limit that moves while it does not bind is wrong when it does
		}
		grow, usual := 1+max(b.gain, limitGain)*latency/float64(1+b.d.Proxies)/s.limit, l.row.base*max(l.heavy, 1)
		if latency > due {
			b.move(s, limitCut, limitCut)
		} else if latency > min(slowShare*due, slowMedians*usual) && (!b.d.Gossip || latency > slowLeast*usual) {
			b.move(s, limitCut, grow)
		} else if float64(s.inFlight)+2 > s.limit {
			b.move(s, grow, grow)
		}
	default:
		if !g.counted {
			b.results(l.Class, s, false)
			s.payoff(b, l.Class, 0, b.now, oneResult)
		}
	}
}

// bounds are a server's first limit and the least. Where peers tell and the list its size, they are one: what
// it bears without waiting. Danger: its own refusals would leave idle one that rejects before it is slow.
func (b *Balancer) bounds(size float64) (first, least float64) {
	first, least = firstLimit, leastLimit
	if b.d.Gossip && !b.d.HealthChecks && size > 0 {
		first = max(firstLimit, firstTold*size)
		least = first
	}
	return first / float64(b.d.Proxies), least / float64(b.d.Proxies)
}

// move changes a server's limit, and the others' too as far as too little is heard from it to learn it alone.
// One too small to hold back an attempt moves with the others only: it binds by their sum.
func (b *Balancer) move(s *server, factor, others float64) {
	alone := 1 - math.Pow(1-s.opinions[2].sure, 2)
	own, shared := alone*min(s.limit/halfLeg, 1), math.Pow(others, 1-alone)
	b.gain *= min(factor, 1)
	if b.d.Gossip {
		shared *= math.Pow(factor, (alone-own)/b.servable)
	}
	for _, o := range b.servers {
		f := shared
		if o == s {
			f *= math.Pow(factor, own)
		}
		if o != nil {
			o.limit = max(o.least, o.limit*f)
		}
	}
}

// clumps is how many attempts past the room may be saved up: what comes to a small room comes in clumps.
func (b *Balancer) clumps() float64 { return spareLegs / (1 + b.room/spareRoom) }

// space is what may be out: the room and what was saved up below it, spent in a usual time. A request of less
// than the usual priority leaves some, one of more may run into debt: few are ever held to choose from.
func (b *Balancer) space(priority float64) float64 {
	reserve := (b.usual - priority) / max(b.usual+priority, 1e-9)
	if b.loads() {
		return b.room * (1 - seenReserve*reserve)
	}
	return b.room + b.credit/b.rows[0].median() - b.clumps()*reserve
}

// results keeps the rows of a server. Danger: one that fails a single class serves the others well, so its
// own row never pauses it; the class's row there pauses it for that class.
func (b *Balancer) results(class int, s *server, ok bool) {
	b.failShare -= meanPart * b.failShare
	if !ok {
		b.failShare += meanPart
	}
	b.result(&s.breaker, ok, roundInterval, b.failShare)
	b.result(&s.tariffs[class], ok, tariffRound, b.shared(class, ok))
}

// result keeps a row; shared is the share of failures that servers have in common.
func (b *Balancer) result(s *breaker, ok bool, round, shared float64) {
	if ok && !s.tracked {
		return
	}
	if !s.tracked || b.now-s.roundLast > round {
		s.tracked, s.errCount, s.totalCount, s.roundLast = true, 0, 0, b.now
	}
	s.totalCount++
	s.accessLast = b.now
	if ok {
		s.paused = false
		return
	}
	s.errCount++
	// danger: when all fail alike, pausing them all helps nobody, so the bar rises with what they share
	bar := cbkErrRate + (1-cbkErrRate)*shared
	if s.totalCount > minCheck && float64(s.errCount)/float64(s.totalCount) > bar {
		s.paused = true
		s.cooldown = recoverInterval * (1 + recoverSpread*b.chance.Float64())
	}
}

// shared is the share of failures in a class's rows that three servers in four exceed: what only some fail,
// up to that many, is not shared. A result that is ok is held to no bar and needs none.
func (b *Balancer) shared(class int, ok bool) float64 {
	if ok {
		return 0
	}
	b.shares = b.shares[:0]
	for _, s := range b.servers {
		if s == nil || s.State != Ready {
			continue
		}
		share, r := 0.0, &s.tariffs[class]
		if r.totalCount > 0 && b.now-r.accessLast < roundInterval {
			share = float64(r.errCount) / float64(r.totalCount)
		}
		b.shares = append(b.shares, share)
	}
	if len(b.shares) == 0 {
		return 0
	}
	slices.Sort(b.shares)
	return b.shares[len(b.shares)/4]
}

// payoff tells what an attempt at a server was worth at a time; chance is that in it. What surprises goes to the
// server, its model and the fleet by how little is known of each: a proxy of many hears too seldom from one
// server, often enough of its like; in a fleet that tells, to the class there too.
func (s *server) payoff(b *Balancer, class int, p, at, chance float64) {
	s.sights[class] = sight{Observation{Class: class, Value: p}, at}
	miss, total := p-b.payNow(s, class), chance
	for _, o := range s.views[class] {
		o.pay, o.sure, o.heard = o.at(b.now), o.sure*o.fade(b.now), b.now
		total += 1 - o.sure
	}
	for _, o := range s.views[class] {
		part := (1 - o.sure) / total
		o.pay += part * miss
		o.sure += part * (1 - o.sure)
	}
}

// coldRoom takes a request's work from a bucket: this proxy's part of what pushes a cold server over, at the
// least capacity it can have by now. A time with little wait stands for the work; one core is taken for
// granted. It holds what flows until a server's turn; what it holds short of a request is staked by chance.
func (b *Balancer) coldRoom(l *Request, s *server) bool {
	part := b.d.SlowStartFraction + (1-b.d.SlowStartFraction)*max(b.now-s.StartedAt, 0)/max(b.d.SlowStartDuration, 1e-9)
	work := b.work(l) // danger: counted with its wait, a crowd at the warm ones would shut the cold ones too
	budget := b.d.CrashFactor * part
	spread := coldSpread * math.Sqrt(2*work/max(budget*b.d.CrashDuration, 1e-9)) // of a flow of one whole budget
	margin := math.Pow((math.Sqrt(spread*spread+4)-spread)/2, 2)                 // a flow that makes one with its own
	rate := max(coldMargin, min(margin, coldMost)) * budget / float64(b.d.Proxies) * b.part
	turn := max(b.d.CrashDuration*coldDepth, b.gap*b.servable)
	s.bucket, s.flowed = min(s.bucket+(b.now-s.flowed)*rate, rate*turn), b.now
	stake := min(s.bucket, work)
	s.bucket -= stake
	return b.chance.Float64()*work < stake // danger: one request each from hundreds of proxies is a flood
}

// HealthChecked tells what asking a server for its load found. A probe that fails is no failed request.
func (b *Balancer) HealthChecked(now float64, server int, ok bool, r LoadReport) *Actions {
	b.begin(now)
	if server < len(b.servers) && b.servers[server] != nil && ok && r.InFlight >= 0 {
		s := b.servers[server]
		s.told, s.toldAt, s.since, b.seenAt = r.InFlight, now, 0, now
		s.like.report(r)
	}
	return b.pump()
}

// uneven is this proxy's part of the fleet's traffic over the even one, as far as peers tell theirs.
func (b *Balancer) uneven() float64 {
	if !b.d.Sidecar || b.peerRate == 0 {
		return 1
	}
	return min(max(1/max(b.gap, 1e-9)/b.peerRate, 1/mostUneven), mostUneven)
}

// ask orders probes, as many for a request as the price allows.
func (b *Balancer) ask() {
	b.asks = min(b.asks+spend/max(b.d.HealthCheckCost, 1e-9), mostAsked) // danger: saved up without a list, a flood
	for ; b.d.HealthChecks && b.asks >= 1 && len(b.servers) > 0; b.asks-- {
		if s := b.servers[int(b.chance.Float64()*float64(len(b.servers)))]; s != nil && s.State == Ready {
			b.orders.HealthChecks = append(b.orders.HealthChecks, s.Index)
		}
	}
}

// loads says whether servers tell theirs.
func (b *Balancer) loads() bool { return b.seenAt > 0 && b.now < b.seenAt+sightFor }

// load is how many attempts a server holds: as it told, or by this proxy's own alone.
func (b *Balancer) load(s *server) float64 {
	if !b.loads() {
		return float64(s.inFlight)
	}
	trust := math.Exp((s.toldAt - b.now) / freshFor)
	return trust*s.told + (1-trust)*b.fill*b.bears(s) + float64(s.since)
}

// bears is how many attempts a server is given: where loads are told, as many as leave a usual request seenShare
// of its latency objective, else this proxy's limit there.
func (b *Balancer) bears(s *server) float64 {
	if !b.loads() {
		return s.limit * b.uneven() * b.slack // danger: what waits for our own core is no load of its server
	}
	return s.like.cores() * max(seenShare*b.ease/s.pace, 1)
}

// GossipReceived takes in what a peer tells: gossip, which ages, weighs less than what was seen, and counts once. It
// bears on payoffs, loads and, where there is no room, limits; no rule and no pause rests on it.
func (b *Balancer) GossipReceived(now float64, from int, n GossipMessage) *Actions {
	b.begin(now)
	if !b.d.Gossip || from == b.d.Self || from < 0 || from >= b.d.Proxies {
		return &b.orders
	}
	b.notes++
	b.peerRate += max(1/b.notes, meanPart) * (n.Rate - b.peerRate)
	for _, t := range n.Observations {
		s, at := b.marked(t.NameHash, now-t.Age-hop), now-t.Age-hop
		switch {
		case s == nil || t.Age+hop > sightFor || t.Class > len(b.rows) || t.Class < 0 && at <= s.toldAt:
		case t.Class < 0:
			s.told, s.toldAt = t.Value, at
		case at > s.sights[t.Class].at+hop: // danger: what comes round would count again
			s.payoff(b, t.Class, t.Value, at, hearsay)
			if t.Class == len(b.rows) {
				b.move(s, toldFull, 1)
			}
		}
	}
	return b.pump()
}

// tell orders a note to one peer by chance, as often as the price allows.
func (b *Balancer) tell() {
	if b.tells += min(spend/max(b.d.GossipCost, 1e-9), mostAsked); !b.d.Gossip || b.d.Proxies < 2 || b.tells < 1 {
		return
	}
	b.tells = 0
	b.orders.Gossip = b.told()
	b.orders.GossipPeer = (b.d.Self + 1 + int(b.chance.Float64()*float64(b.d.Proxies-1))) % b.d.Proxies
}
