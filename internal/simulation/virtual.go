package simulation

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strconv"
	"time"

	"lockloom/balance"
	"lockloom/internal/emulator"
	"lockloom/internal/loadgen"
	"lockloom/internal/settings"
)

// BurstInterval constant of the virtual world.
const (
	epoch          = 1000.0 // the clock at the start: a server that starts then has not been up for long
	wireDelay      = 0.0001 // s one way between proxy and server, or client
	listDelay      = 0.02   // s from a change of the list to a proxy's being told
	muteDuration   = 3.1    // s until a proxy has a watch again that fell silent
	reconnectDelay = 0.05   // s until a client that found no proxy looks again
	killMargin     = 0.7    // s past the longest deadline that a proxy has, once told to stop
	startDuration  = 0.2    // s until a started proxy serves
)

// Text an event of the agenda is.
const (
	eventIntentDue      uint8 = iota // the next request is wanted
	eventConnect                     // a: try
	eventClientLeaves                // a: try: its deadline
	eventRequestTimer                // a: try: its own timer
	eventDeciderTimer                // a: proxy: its balancer's timer; gen: its era
	eventAttemptArrives              // a: attempt
	eventAttemptEnds                 // a: attempt, b: outcome
	eventServerDue                   // a: member: something ends there
	eventTimelineEntry               // a: of the acts
	eventProxyNotified               // a: proxy
	eventProxyStarts                 // a: proxy
	eventSecondEnds                  // the end of a second
)

type event struct {
	at   float64
	seq  uint64 // those of one time come in the order in which they were added
	gen  uint32
	a, b int32
	what uint8
}

// agenda is a heap of events.
type agenda struct {
	list []event
	seq  uint64
}

func (g *agenda) before(i, j int) bool {
	a, b := &g.list[i], &g.list[j]
	return a.at < b.at || a.at == b.at && a.seq < b.seq
}

func (g *agenda) add(e event) {
	g.seq++
	e.seq = g.seq
	g.list = append(g.list, e)
	for i := len(g.list) - 1; i > 0; {
		up := (i - 1) / 4
		if !g.before(i, up) {
			break
		}
		g.list[i], g.list[up] = g.list[up], g.list[i]
		i = up
	}
}

func (g *agenda) next() event {
	e, n := g.list[0], len(g.list)-1
	g.list[0] = g.list[n]
	g.list = g.list[:n]
	for i := 0; ; {
		least := i
		for c := 4*i + 1; c <= 4*i+4 && c < n; c++ {
			if g.before(c, least) {
				least = c
			}
		}
		if least == i {
			return e
		}
		g.list[i], g.list[least] = g.list[least], g.list[i]
		i = least
	}
}

// failOn is one of a client's tries of a request.
type try struct {
	in       loadgen.Intent
	n        int // from 1
	id       int // the audit's
	gen      uint32
	proxy    int32
	pool     int32
	sent     float64
	deadline float64
	leavesAt float64
	handle   RequestHandle
	attempts []int32
	open     int // attempts
	over     bool
	used     bool
}

// attempt is one attempt of a try.
type attempt struct {
	try              int32
	proxy            int32
	member           int32
	index            int32
	gen              uint32
	sent             float64
	work             float64
	reusedConnection bool // on a connection that was open before
	closed           bool // the proxy waits for it no more, and has been or is being told
	received         bool
	used             bool
}

// virtualProxy is one proxy.
type virtualProxy struct {
	pools            []Decider // one, or one for each pool of an ordinary scenario
	incarnation      uint32
	up               bool // takes requests
	alive            bool
	open             int
	version          int64
	idle             []int // connections, by member
	silentUntil      float64
	listExtraDelay   float64
	listDelayedUntil float64
}

// virtualRun is a run in virtual time.
type virtualRun struct {
	scenario           *Scenario
	settings           settings.Settings
	policy             Policy
	seed               uint64
	now                float64
	agenda             agenda
	plan               loadgen.Source
	nextIntent         loadgen.Intent
	clients            loadgen.Clients
	rand               *rand.Rand
	fleet              *emulator.Fleet
	nextEventAt        []float64 // by member: when an eventServerDue is due
	silentAttempts     [][]int32 // by member: attempts that were lost on their way, until its connections are reset
	timeline           []TimelineEntry
	proxies            []*virtualProxy
	nextProxy          int
	tries              []try
	freeTries          []int32
	attempts           []attempt
	freeAttempts       []int32
	zones              map[string]int
	models             map[string]int
	audit              *Audit
	tally              *tally
	attemptsThisSecond int
	err                error
}

// Virtual plays a scenario in virtual time with one of the policies. The same seed gives the same run.
func (s *Scenario) Virtual(name string, policy Policy, seed uint64) (*Result, error) {
	return s.VirtualOf(name, policy, seed, loadgen.NewPlan(s.Workload(), seed))
}

// VirtualOf plays it with other requests than its own.
func (s *Scenario) VirtualOf(name string, policy Policy, seed uint64, requests loadgen.Source) (*Result, error) {
	began := time.Now()
	f := s.Settings(seed)
	v := &virtualRun{scenario: s, settings: f, policy: policy, seed: seed, now: epoch, plan: requests,
		clients: loadgen.Clients(s.Clients), rand: rand.New(rand.NewPCG(seed, 4)), fleet: s.Fleet(seed, epoch), zones: map[string]int{},
		models: map[string]int{}, audit: NewAudit(f.Classes, 2*wireDelay+1e-6, s.Deployment.DrainGrace, s.Deployment.NotificationDeadline),
		tally: newTally(s, f.Classes, seed, name, "virtual")}
	for i, z := range f.Zones {
		v.zones[z] = i
	}
	for range s.ProxyFleet.Count {
		v.proxies = append(v.proxies, &virtualProxy{})
	}
	for i := range v.proxies {
		if v.start(i); v.err != nil {
			return nil, v.err
		}
	}
	v.addMembers()
	for _, h := range s.Timeline() {
		v.schedule(h)
	}
	for at := 1.0; at <= math.Ceil(s.Seconds); at++ {
		v.agenda.add(event{at: epoch + at, what: eventSecondEnds})
	}
	v.scheduleIntent()
	end := epoch + s.Seconds + 2*s.longest()
	for len(v.agenda.list) > 0 && v.agenda.list[0].at <= end && v.err == nil {
		e := v.agenda.next()
		v.now = e.at
		v.play(e)
	}
	v.audit.Close(end + 1)
	r := v.tally.result(v.fleet, v.audit)
	r.WallTime = time.Since(began).Seconds()
	return r, v.err
}

// maxLatencyMicros is the longest deadline.
func (s *Scenario) longest() float64 {
	longest := 0.0
	for _, t := range s.Classes {
		longest = max(longest, t.Deadline)
	}
	return longest
}

func (v *virtualRun) play(e event) {
	switch e.what {
	case eventIntentDue:
		in := v.nextIntent
		v.scheduleIntent()
		v.tally.intentDue(v.now-epoch, &in)
		v.try(in, 1)
	case eventConnect:
		v.connect(e.a)
	case eventClientLeaves:
		v.clientLeaves(e.a, e.gen)
	case eventRequestTimer:
		if t := &v.tries[e.a]; t.gen == e.gen && t.handle != nil {
			v.carryOut(t.proxy, t.pool, t.handle.TimerFired(v.now))
			v.release(e.a)
		}
	case eventDeciderTimer:
		if p := v.proxies[e.a]; p.incarnation == e.gen && p.alive {
			v.carryOut(e.a, e.b, p.pools[e.b].TimerFired(v.now))
		}
	case eventAttemptArrives:
		if v.attempts[e.a].gen == e.gen {
			v.attemptArrives(e.a)
		}
	case eventAttemptEnds:
		if v.attempts[e.a].gen == e.gen {
			v.attemptEnds(e.a, balance.Outcome(e.b))
		}
	case eventServerDue:
		if m := int(e.a); v.nextEventAt[m] == e.at {
			v.nextEventAt[m] = never
			v.reconcile(m, v.fleet.Members[m].Advance(v.now))
		}
	case eventTimelineEntry:
		v.applyEntry(v.timeline[e.a])
	case eventProxyNotified:
		v.notifyProxy(int(e.a))
	case eventProxyStarts:
		v.start(int(e.a))
	case eventSecondEnds:
		for i, m := range v.fleet.Members {
			v.reconcile(i, m.Advance(v.now))
		}
		v.tally.endSecond(v.now-epoch-1, v.fleet, v.attemptsThisSecond)
		v.attemptsThisSecond = 0
	}
}

// scheduleIntent plans the next request.
func (v *virtualRun) scheduleIntent() {
	if in, ok := v.plan.Next(); ok {
		v.nextIntent = in
		v.agenda.add(event{at: epoch + in.At, what: eventIntentDue})
	}
}

func (v *virtualRun) schedule(h TimelineEntry) {
	v.timeline = append(v.timeline, h)
	v.agenda.add(event{at: epoch + h.At, what: eventTimelineEntry, a: int32(len(v.timeline) - 1)})
}

func slot[T any](list *[]T, free *[]int32) int32 {
	if n := len(*free); n > 0 {
		i := (*free)[n-1]
		*free = (*free)[:n-1]
		return i
	}
	var zero T
	*list = append(*list, zero)
	return int32(len(*list) - 1)
}

// failOn begins a client's n-th try.
func (v *virtualRun) try(in loadgen.Intent, n int) {
	i := slot(&v.tries, &v.freeTries)
	t := &v.tries[i]
	row := &v.settings.Classes[in.Class]
	*t = try{in: in, n: n, gen: t.gen + 1, attempts: t.attempts[:0], sent: v.now, deadline: v.now + row.Deadline, proxy: -1, used: true}
	t.leavesAt = v.now + row.Deadline*v.clients.Patience
	v.connect(i)
}

// connect brings a try to the next proxy that takes it.
func (v *virtualRun) connect(i int32) {
	t := &v.tries[i]
	for range v.proxies {
		v.nextProxy++
		if p := v.nextProxy % len(v.proxies); v.proxies[p].up {
			t.proxy = int32(p)
			break
		}
	}
	if t.proxy < 0 {
		if v.now+reconnectDelay < t.leavesAt {
			v.agenda.add(event{at: v.now + reconnectDelay, what: eventConnect, a: i})
		} else {
			v.tally.NoProxy++
			v.free(i)
		}
		return
	}
	p := v.proxies[t.proxy]
	p.open++
	t.id = v.audit.RequestSent(t.in.Class, t.deadline)
	v.tally.Tries++
	v.agenda.add(event{at: t.leavesAt, what: eventClientLeaves, a: i, gen: t.gen})
	a := balance.RequestInfo{Ref: int(i), Class: t.in.Class, Tenant: t.in.Tenant, Deadline: t.deadline, ClientRetry: t.n > 1 && v.clients.MarksRetries}
	if t.in.Key > 0 {
		a.Key = settings.NameHash(strconv.FormatUint(t.in.Key, 10))
	}
	t.pool = v.pool(t.in.Class)
	handle, actions := p.pools[t.pool].RequestArrived(v.now, a)
	v.tries[i].handle = handle
	v.carryOut(t.proxy, t.pool, actions)
	v.release(i)
}

// carryOut carries out what a proxy's decider orders.
func (v *virtualRun) carryOut(proxy, pool int32, o *balance.Actions) {
	if o.WakeAt > 0 {
		v.agenda.add(event{at: max(o.WakeAt, v.now), what: eventDeciderTimer, a: proxy, b: pool, gen: v.proxies[proxy].incarnation})
	}
	for k := range o.Requests {
		s := &o.Requests[k]
		t := &v.tries[s.Ref]
		if s.Send {
			v.send(int32(s.Ref), s.Endpoint)
		}
		if s.CancelAttempt > 0 {
			if g := t.attempts[s.CancelAttempt-1]; v.attempts[g].used && !v.attempts[g].closed {
				v.drop(g)
				v.agenda.add(event{at: v.now, what: eventAttemptEnds, a: g, b: int32(balance.Canceled), gen: v.attempts[g].gen})
			}
		}
		if s.Reply != balance.NoReply && !t.over {
			t.over = true
			v.answered(t, s.Reply, s.RetryAfter)
		}
		if s.WakeAt > 0 {
			v.agenda.add(event{at: max(s.WakeAt, v.now), what: eventRequestTimer, a: int32(s.Ref), gen: t.gen})
		}
	}
	for k := range o.Requests {
		v.release(int32(o.Requests[k].Ref))
	}
}

// answered tells a client that its try was rejected or failed.
func (v *virtualRun) answered(t *try, answer balance.Reply, advice float64) {
	at := v.now + wireDelay
	v.audit.RequestAnswered(at, t.id, answer)
	v.tally.failed(at-epoch, answer)
	v.retry(t, answer, advice)
}

// retry has a client try again, or not.
func (v *virtualRun) retry(t *try, answer balance.Reply, advice float64) {
	after, ok := v.clients.RetryDelay(t.n, v.settings.Classes[t.in.Class].Idempotency, answer, advice, v.rand)
	if !ok || v.now+after > epoch+v.scenario.Seconds {
		return
	}
	in, n := t.in, t.n+1
	i := slot(&v.tries, &v.freeTries)
	again := &v.tries[i]
	row := &v.settings.Classes[in.Class]
	at := v.now + wireDelay + after
	*again = try{in: in, n: n, gen: again.gen + 1, attempts: again.attempts[:0], sent: at, deadline: at + row.Deadline, proxy: -1, used: true,
		leavesAt: at + row.Deadline*v.clients.Patience}
	v.agenda.add(event{at: at, what: eventConnect, a: i})
}

func (v *virtualRun) send(i int32, member int) {
	g := slot(&v.attempts, &v.freeAttempts)
	t, l := &v.tries[i], &v.attempts[g]
	*l = attempt{try: i, proxy: t.proxy, member: int32(member), index: int32(len(t.attempts)), gen: l.gen + 1, sent: v.now, work: t.in.Work, used: true}
	t.attempts = append(t.attempts, g)
	t.open++
	v.tally.Attempts++
	v.attemptsThisSecond++
	way := wireDelay
	idle := v.idle(v.proxies[t.proxy], member)
	if l.reusedConnection = *idle > 0; l.reusedConnection {
		*idle--
	} else {
		way = 3 * wireDelay // there, back, and there with the request
	}
	v.agenda.add(event{at: v.now + way, what: eventAttemptArrives, a: g, gen: l.gen})
}

func (v *virtualRun) idle(p *virtualProxy, member int) *int {
	for len(p.idle) <= member {
		p.idle = append(p.idle, 0)
	}
	return &p.idle[member]
}

// attemptArrives is an attempt's coming to its server.
func (v *virtualRun) attemptArrives(g int32) {
	l := &v.attempts[g]
	if l.closed {
		return
	}
	m := v.fleet.Members[l.member]
	t := &v.tries[l.try]
	switch reach := m.Reachability(); {
	case reach == emulator.Refusing || m.State == balance.Removed:
		v.agenda.add(event{at: v.now + wireDelay, what: eventAttemptEnds, a: g, b: int32(balance.ConnectFailed), gen: l.gen})
		return
	case reach == emulator.Unreachable && !l.reusedConnection:
		v.agenda.add(event{at: l.sent + v.settings.ConnectTimeout, what: eventAttemptEnds, a: g, b: int32(balance.ConnectFailed), gen: l.gen})
		return
	case reach == emulator.Unreachable:
		v.silentAttempts[l.member] = append(v.silentAttempts[l.member], g)
		m.Receive(v.now, emulator.Job{Ref: int(g)})
		return
	}
	row := &v.settings.Classes[t.in.Class]
	j := emulator.Job{Ref: int(g), Class: t.in.Class, Work: l.work, Key: t.in.Key}
	group := dedupGroup(*row, t.in.Class, m, v.zones[m.Zone])
	if group >= 0 {
		j.DedupKey, j.DedupWindow, j.DedupGroup = uint64(t.in.Number)+1, row.DedupWindow, v.fleet.DedupGroup(group)
	}
	l.received = true
	v.audit.AttemptReceived(v.now, t.id, int(l.proxy), int(l.member), group)
	v.reconcile(int(l.member), m.Receive(v.now, j))
}

// reconcile takes in what came of a call on a member.
func (v *virtualRun) reconcile(i int, ends []emulator.Completion) {
	v.carryOutEffect(v.fleet.Reconcile(i, ends))
}

func (v *virtualRun) carryOutEffect(e emulator.Effect) {
	v.addMembers()
	m := v.fleet.Members[e.Member]
	for _, end := range e.Completions {
		g := int32(end.Ref)
		l := &v.attempts[g]
		if end.Outcome == balance.ServerRejected {
			v.audit.AttemptRejected(v.tries[l.try].id)
		}
		switch {
		case l.closed: // noObserver waits for it
			l.received = false
			v.freed(g)
		case m.Reachability() == emulator.Unreachable:
			l.received = false
			v.silentAttempts[e.Member] = append(v.silentAttempts[e.Member], g)
		default:
			l.received, l.work = false, end.Work
			v.agenda.add(event{at: v.now + wireDelay, what: eventAttemptEnds, a: g, b: int32(end.Outcome), gen: l.gen})
		}
	}
	if e.ResetConnections {
		v.reset(e.Member)
	}
	if e.ListChanged {
		v.listChanged()
	}
	if next := m.NextEvent(); next < v.nextEventAt[e.Member] {
		v.nextEventAt[e.Member] = next
		v.agenda.add(event{at: next, what: eventServerDue, a: int32(e.Member)})
	}
}

// addMembers makes room for new members.
func (v *virtualRun) addMembers() {
	for len(v.nextEventAt) < len(v.fleet.Members) {
		v.nextEventAt, v.silentAttempts = append(v.nextEventAt, never), append(v.silentAttempts, nil)
		i := len(v.nextEventAt) - 1
		if next := v.fleet.Members[i].NextEvent(); next < never {
			v.nextEventAt[i] = next
			v.agenda.add(event{at: next, what: eventServerDue, a: int32(i)})
		}
	}
}

// reset ends all connections to a member.
func (v *virtualRun) reset(member int) {
	if m := v.fleet.Members[member]; m.Crashes > 0 && m.Reachability() == emulator.Refusing && m.State != balance.Removed {
		v.tally.event(v.now-epoch, fmt.Sprintf("!%s fell over", m.Name))
		v.audit.ServerCrashed(v.now, member)
	}
	for _, p := range v.proxies {
		*v.idle(p, member) = 0
	}
	lost := v.silentAttempts[member]
	v.silentAttempts[member] = nil
	for _, g := range lost {
		if l := &v.attempts[g]; l.used && !l.closed && int(l.member) == member {
			v.agenda.add(event{at: v.now + wireDelay, what: eventAttemptEnds, a: g, b: int32(balance.ConnectionLost), gen: l.gen})
		}
	}
}

// attemptEnds is an attempt's end at its proxy.
func (v *virtualRun) attemptEnds(g int32, o balance.Outcome) {
	l := &v.attempts[g]
	t := &v.tries[l.try]
	if l.closed && o != balance.Canceled && o != balance.TimedOut {
		return
	}
	l.closed = true
	i, p := l.try, v.proxies[l.proxy]
	if o == balance.Succeeded || o == balance.ServerError || o == balance.ServerRejected {
		*v.idle(p, int(l.member))++
	}
	if o == balance.Succeeded && !t.over {
		t.over = true
		v.tally.usefulWork += l.work
		at := v.now + wireDelay
		v.audit.RequestAnswered(at, t.id, balance.NoReply)
		v.tally.succeeded(at-epoch, &t.in, at-t.sent, at-epoch-t.in.At)
	}
	over, index, latency := t.over, int(l.index), v.now-l.sent
	t.open--
	v.freed(g)
	v.carryOut(t.proxy, t.pool, t.handle.AttemptEnded(v.now, index, o, latency, over))
	v.release(i)
}

// drop closes an attempt's connection: its server hears that nobody waits.
func (v *virtualRun) drop(g int32) {
	l := &v.attempts[g]
	l.closed = true
	if l.received {
		dropped, ends := v.fleet.Members[l.member].Abandon(v.now, int(g))
		l.received = l.received && !dropped
		v.reconcile(int(l.member), ends)
	}
}

// freed gives an attempt's slot back once neither its proxy nor its server has to do with it.
func (v *virtualRun) freed(g int32) {
	if l := &v.attempts[g]; l.used && l.closed && !l.received {
		l.used = false
		l.gen++
		v.freeAttempts = append(v.freeAttempts, g)
	}
}

// clientLeaves is when a client waits no longer.
func (v *virtualRun) clientLeaves(i int32, gen uint32) {
	t := &v.tries[i]
	if t.gen != gen || !t.used {
		return
	}
	if !t.over {
		t.over = true
		if t.leavesAt < t.deadline {
			v.audit.ClientGone(v.now, t.id)
		} else {
			v.audit.RequestLost(v.now, t.id)
			v.tally.lost(v.now - epoch)
		}
		v.carryOut(t.proxy, t.pool, t.handle.ClientDisconnected(v.now))
	}
	for k := 0; k < len(v.tries[i].attempts); k++ {
		t := &v.tries[i]
		if t.gen != gen { // it ended with one of them
			return
		}
		if g := t.attempts[k]; v.attempts[g].used && v.attempts[g].try == i && !v.attempts[g].closed {
			v.drop(g)
			v.attemptEnds(g, balance.TimedOut)
		}
	}
	v.release(i)
}

// release frees a try to which nothing more will happen.
func (v *virtualRun) release(i int32) {
	if t := &v.tries[i]; t.used && t.over && t.open == 0 {
		if p := v.proxies[t.proxy]; p.open > 0 {
			p.open--
		}
		v.free(i)
	}
}

func (v *virtualRun) free(i int32) {
	t := &v.tries[i]
	t.used, t.handle = false, nil
	t.gen++
	v.freeTries = append(v.freeTries, i)
}

// applyEntry carries out something of the timeline.
func (v *virtualRun) applyEntry(h TimelineEntry) {
	if !h.FollowUp {
		v.tally.event(v.now-epoch, h.String())
	}
	if h.ProxyEvent == NoProxyEvent {
		e, later := v.fleet.Apply(v.now, h.Change)
		v.addMembers()
		v.carryOutEffect(e)
		for _, a := range later {
			v.schedule(TimelineEntry{At: a.At - epoch, Change: a, FollowUp: true})
		}
		return
	}
	for i, p := range v.proxies {
		if h.ProxyIndex >= 0 && h.ProxyIndex != i {
			continue
		}
		switch h.ProxyEvent {
		case ListLate:
			p.listExtraDelay, p.listDelayedUntil = h.Delay, v.now+h.Duration
		case ListSilent:
			p.silentUntil = max(p.silentUntil, v.now+h.Duration)
		case ListMute:
			p.silentUntil = max(p.silentUntil, v.now+muteDuration)
		case ProxyKill:
			v.kill(i)
			v.agenda.add(event{at: v.now + h.Duration, what: eventProxyStarts, a: int32(i)})
		case ProxyRestart:
			p.up = false
			v.agenda.add(event{at: v.now + v.scenario.longest() + killMargin, what: eventProxyStarts, a: int32(i)})
		}
	}
}

// kill ends a proxy with all it had in hand.
func (v *virtualRun) kill(i int) {
	p := v.proxies[i]
	p.up, p.alive = false, false
	p.incarnation++
	for k := range v.tries {
		t := &v.tries[k]
		if !t.used || t.proxy != int32(i) {
			continue
		}
		if !t.over {
			t.over = true
			v.audit.ClientGone(v.now, t.id)
			v.tally.LostWithProxy++
			v.tally.second(v.now-epoch).Lost++
			v.retry(t, balance.Failed, 0)
			t = &v.tries[k]
		}
		for _, g := range t.attempts {
			if v.attempts[g].used && v.attempts[g].try == int32(k) && !v.attempts[g].closed {
				v.drop(g)
				v.freed(g)
			}
		}
		v.free(int32(k))
	}
	p.open = 0
}

// start starts a proxy that knows nothing but the list.
func (v *virtualRun) start(i int) {
	p := v.proxies[i]
	if p.alive && p.open > 0 { // told to stop, and not done: it is killed
		v.kill(i)
	}
	d := v.settings.Deployment
	var pools []Decider
	for k := range v.scenario.pools() {
		d.Seed = v.seed + uint64(i)<<32 + uint64(p.incarnation) + uint64(k)<<16
		decider, err := v.policy(d, v.now)
		if err != nil {
			v.err = err
			return
		}
		pools = append(pools, decider)
	}
	*p = virtualProxy{pools: pools, incarnation: p.incarnation + 1, up: true, alive: true, silentUntil: p.silentUntil, listExtraDelay: p.listExtraDelay, listDelayedUntil: p.listDelayedUntil}
	var list []balance.Endpoint
	for k, m := range v.fleet.Members {
		if m.State != balance.Removed {
			list = append(list, v.entry(k))
			v.told(i, k)
		}
	}
	p.version = v.fleet.Version
	v.list(i, true, list)
}

// entry is a member as the list has it.
func (v *virtualRun) entry(i int) balance.Endpoint {
	m := v.fleet.Members[i]
	model, ok := v.models[m.Model]
	if !ok {
		model = len(v.models)
		v.models[m.Model] = model
	}
	return balance.Endpoint{Index: i, NameHash: settings.NameHash(m.Name), Zone: v.zones[m.Zone], Pod: m.Pod, Model: model, State: m.State, StartedAt: m.StartedAt()}
}

func (v *virtualRun) told(proxy, member int) {
	if v.fleet.Members[member].State != balance.Ready {
		v.audit.ProxyNotified(v.now, proxy, member)
	}
}

// listChanged has a change of the list told to all proxies.
func (v *virtualRun) listChanged() {
	for k, m := range v.fleet.Members {
		if m.State != balance.Ready {
			v.audit.MemberNotReady(v.now, k)
		}
	}
	for i, p := range v.proxies {
		at := v.now + listDelay
		if v.now < p.listDelayedUntil {
			at += p.listExtraDelay
		}
		v.agenda.add(event{at: max(at, p.silentUntil), what: eventProxyNotified, a: int32(i)})
	}
}

// list tells each pool of a proxy what of a list concerns it.
func (v *virtualRun) list(i int, first bool, list []balance.Endpoint) {
	for k, group := range v.scenario.pools() {
		own := list
		if group >= 0 {
			own = nil
			for _, b := range list {
				if v.fleet.Members[b.Index].Group == group {
					own = append(own, b)
				}
			}
		}
		v.carryOut(int32(i), int32(k), v.proxies[i].pools[k].EndpointsUpdated(v.now, first, first, own))
	}
}

// pool is the number of the pool that a class's requests go to.
func (v *virtualRun) pool(class int) int32 {
	if v.scenario.PlainHTTP() {
		for k, group := range v.scenario.pools() {
			if v.scenario.Servers[group].Name == v.scenario.Classes[class].Pool {
				return int32(k)
			}
		}
	}
	return 0
}

// notifyProxy tells a proxy what changed since it was last told.
func (v *virtualRun) notifyProxy(i int) {
	p := v.proxies[i]
	if !p.alive {
		return
	}
	var list []balance.Endpoint
	for k, m := range v.fleet.Members {
		if m.ChangedAfter(p.version) {
			list = append(list, v.entry(k))
			v.told(i, k)
		}
	}
	p.version = v.fleet.Version
	if len(list) > 0 {
		v.list(i, false, list)
	}
}
