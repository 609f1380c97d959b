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

// Every constant of the virtual world.
const (
	epoch      = 1000.0 // the clock at the start: a server that starts then has not been up for long
	wire       = 0.0001 // s one way between proxy and server, or client
	listLag    = 0.02   // s from a change of the list to a proxy's being told
	muteFor    = 3.1    // s until a proxy has a watch again that fell silent
	tryElse    = 0.05   // s until a client that found no proxy looks again
	killMargin = 0.7    // s past the longest deadline that a proxy has, once told to stop
	startUp    = 0.2    // s until a started proxy serves
)

// What an event of the agenda is.
const (
	evWant  uint8 = iota // the next request is wanted
	evTry                // a: try
	evStop               // a: try: its deadline
	evWake               // a: try: its own timer
	evPump               // a: proxy: its balancer's timer; gen: its era
	evReach              // a: attempt
	evBack               // a: attempt, b: outcome
	evServe              // a: member: something ends there
	evDo                 // a: of the acts
	evTold               // a: proxy
	evStart              // a: proxy
	evLook               // the end of a second
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

// try is one of a client's tries of a request.
type try struct {
	in       loadgen.Intent
	n        int // from 1
	id       int // the audit's
	gen      uint32
	proxy    int32
	pool     int32
	sent     float64
	hardStop float64
	leaves   float64
	handle   RequestHandle
	legs     []int32
	open     int // attempts
	over     bool
	used     bool
}

// attempt is one attempt of a try.
type leg struct {
	try     int32
	proxy   int32
	member  int32
	index   int32
	gen     uint32
	sent    float64
	work    float64
	kept    bool // on a connection that was open before
	closed  bool // the proxy waits for it no more, and has been or is being told
	reached bool
	used    bool
}

// vproxy is one proxy.
type vproxy struct {
	pools   []Decider // one, or one for each pool of an ordinary scenario
	era     uint32
	up      bool // takes requests
	alive   bool
	open    int
	version int64
	idle    []int // connections, by member
	silent  float64
	late    float64
	lateTo  float64
}

// virtual is a run in virtual time.
type virtual struct {
	s       *Scenario
	figures settings.Settings
	policy  Policy
	seed    uint64
	now     float64
	agenda  agenda
	plan    loadgen.Source
	want    loadgen.Intent
	clients loadgen.Clients
	chance  *rand.Rand
	fleet   *emulator.Fleet
	nextAt  []float64 // by member: when an evServe is due
	unheard [][]int32 // by member: attempts that were lost on their way, until its connections are reset
	acts    []Happening
	proxies []*vproxy
	turn    int
	tries   []try
	freeTry []int32
	legs    []leg
	freeLeg []int32
	zones   map[string]int
	models  map[string]int
	audit   *Audit
	tally   *tally
	legs1s  int
	failed  error
}

// Virtual plays a scenario in virtual time with one of the policies. The same seed gives the same run.
func (s *Scenario) Virtual(name string, policy Policy, seed uint64) (*Result, error) {
	return s.VirtualOf(name, policy, seed, loadgen.NewPlan(s.Mix(), seed))
}

// VirtualOf plays it with other requests than its own.
func (s *Scenario) VirtualOf(name string, policy Policy, seed uint64, requests loadgen.Source) (*Result, error) {
	began := time.Now()
	f := s.Figures(seed)
	v := &virtual{s: s, figures: f, policy: policy, seed: seed, now: epoch, plan: requests,
		clients: loadgen.Clients(s.Clients), chance: rand.New(rand.NewPCG(seed, 4)), fleet: s.Fleet(seed, epoch), zones: map[string]int{},
		models: map[string]int{}, audit: NewAudit(f.Classes, 2*wire+1e-6, s.Deployment.Grace, s.Deployment.CountsAfter),
		tally: newTally(s, f.Classes, seed, name, "virtual")}
	for i, z := range f.Zones {
		v.zones[z] = i
	}
	for range s.Bank.Proxies {
		v.proxies = append(v.proxies, &vproxy{})
	}
	for i := range v.proxies {
		if v.start(i); v.failed != nil {
			return nil, v.failed
		}
	}
	v.grow()
	for _, h := range s.Timeline() {
		v.later(h)
	}
	for at := 1.0; at <= math.Ceil(s.Seconds); at++ {
		v.agenda.add(event{at: epoch + at, what: evLook})
	}
	v.wanted()
	end := epoch + s.Seconds + 2*s.longest()
	for len(v.agenda.list) > 0 && v.agenda.list[0].at <= end && v.failed == nil {
		e := v.agenda.next()
		v.now = e.at
		v.play(e)
	}
	v.audit.Close(end + 1)
	r := v.tally.close(v.fleet, v.audit)
	r.Took = time.Since(began).Seconds()
	return r, v.failed
}

// longest is the longest deadline.
func (s *Scenario) longest() float64 {
	longest := 0.0
	for _, t := range s.Tariffs {
		longest = max(longest, t.HardStop)
	}
	return longest
}

func (v *virtual) play(e event) {
	switch e.what {
	case evWant:
		in := v.want
		v.wanted()
		v.tally.asked(v.now-epoch, &in)
		v.try(in, 1)
	case evTry:
		v.take(e.a)
	case evStop:
		v.stop(e.a, e.gen)
	case evWake:
		if t := &v.tries[e.a]; t.gen == e.gen && t.handle != nil {
			v.carry(t.proxy, t.pool, t.handle.TimerFired(v.now))
			v.release(e.a)
		}
	case evPump:
		if p := v.proxies[e.a]; p.era == e.gen && p.alive {
			v.carry(e.a, e.b, p.pools[e.b].TimerFired(v.now))
		}
	case evReach:
		if v.legs[e.a].gen == e.gen {
			v.reach(e.a)
		}
	case evBack:
		if v.legs[e.a].gen == e.gen {
			v.back(e.a, balance.Outcome(e.b))
		}
	case evServe:
		if m := int(e.a); v.nextAt[m] == e.at {
			v.nextAt[m] = farOff
			v.settle(m, v.fleet.Members[m].Advance(v.now))
		}
	case evDo:
		v.do(v.acts[e.a])
	case evTold:
		v.tell(int(e.a))
	case evStart:
		v.start(int(e.a))
	case evLook:
		for i, m := range v.fleet.Members {
			v.settle(i, m.Advance(v.now))
		}
		v.tally.look(v.now-epoch-1, v.fleet, v.legs1s)
		v.legs1s = 0
	}
}

// wanted plans the next request.
func (v *virtual) wanted() {
	if in, ok := v.plan.Next(); ok {
		v.want = in
		v.agenda.add(event{at: epoch + in.At, what: evWant})
	}
}

func (v *virtual) later(h Happening) {
	v.acts = append(v.acts, h)
	v.agenda.add(event{at: epoch + h.At, what: evDo, a: int32(len(v.acts) - 1)})
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

// try begins a client's n-th try.
func (v *virtual) try(in loadgen.Intent, n int) {
	i := slot(&v.tries, &v.freeTry)
	t := &v.tries[i]
	row := &v.figures.Classes[in.Class]
	*t = try{in: in, n: n, gen: t.gen + 1, legs: t.legs[:0], sent: v.now, hardStop: v.now + row.Deadline, proxy: -1, used: true}
	t.leaves = v.now + row.Deadline*v.clients.Patience
	v.take(i)
}

// take brings a try to the next proxy that takes it.
func (v *virtual) take(i int32) {
	t := &v.tries[i]
	for range v.proxies {
		v.turn++
		if p := v.turn % len(v.proxies); v.proxies[p].up {
			t.proxy = int32(p)
			break
		}
	}
	if t.proxy < 0 {
		if v.now+tryElse < t.leaves {
			v.agenda.add(event{at: v.now + tryElse, what: evTry, a: i})
		} else {
			v.tally.Unreached++
			v.free(i)
		}
		return
	}
	p := v.proxies[t.proxy]
	p.open++
	t.id = v.audit.Sent(t.in.Class, t.hardStop)
	v.tally.Tries++
	v.agenda.add(event{at: t.leaves, what: evStop, a: i, gen: t.gen})
	a := balance.RequestInfo{Ref: int(i), Class: t.in.Class, Tenant: t.in.Tenant, Deadline: t.hardStop, ClientRetry: t.n > 1 && v.clients.MarksRetries}
	if t.in.Key > 0 {
		a.Key = settings.NameHash(strconv.FormatUint(t.in.Key, 10))
	}
	t.pool = v.pool(t.in.Class)
	handle, orders := p.pools[t.pool].RequestArrived(v.now, a)
	v.tries[i].handle = handle
	v.carry(t.proxy, t.pool, orders)
	v.release(i)
}

// carry carries out what a proxy's decider orders.
func (v *virtual) carry(proxy, pool int32, o *balance.Actions) {
	if o.WakeAt > 0 {
		v.agenda.add(event{at: max(o.WakeAt, v.now), what: evPump, a: proxy, b: pool, gen: v.proxies[proxy].era})
	}
	for k := range o.Requests {
		s := &o.Requests[k]
		t := &v.tries[s.Ref]
		if s.Send {
			v.send(int32(s.Ref), s.Endpoint)
		}
		if s.CancelAttempt > 0 {
			if g := t.legs[s.CancelAttempt-1]; v.legs[g].used && !v.legs[g].closed {
				v.drop(g)
				v.agenda.add(event{at: v.now, what: evBack, a: g, b: int32(balance.Canceled), gen: v.legs[g].gen})
			}
		}
		if s.Reply != balance.NoReply && !t.over {
			t.over = true
			v.answered(t, s.Reply, s.RetryAfter)
		}
		if s.WakeAt > 0 {
			v.agenda.add(event{at: max(s.WakeAt, v.now), what: evWake, a: int32(s.Ref), gen: t.gen})
		}
	}
	for k := range o.Requests {
		v.release(int32(o.Requests[k].Ref))
	}
}

// answered tells a client that its try was rejected or failed.
func (v *virtual) answered(t *try, answer balance.Reply, advice float64) {
	at := v.now + wire
	v.audit.Answered(at, t.id, answer)
	v.tally.failed(at-epoch, answer)
	v.again(t, answer, advice)
}

// again has a client try again, or not.
func (v *virtual) again(t *try, answer balance.Reply, advice float64) {
	after, ok := v.clients.RetryDelay(t.n, v.figures.Classes[t.in.Class].Idempotency, answer, advice, v.chance)
	if !ok || v.now+after > epoch+v.s.Seconds {
		return
	}
	in, n := t.in, t.n+1
	i := slot(&v.tries, &v.freeTry)
	again := &v.tries[i]
	row := &v.figures.Classes[in.Class]
	at := v.now + wire + after
	*again = try{in: in, n: n, gen: again.gen + 1, legs: again.legs[:0], sent: at, hardStop: at + row.Deadline, proxy: -1, used: true,
		leaves: at + row.Deadline*v.clients.Patience}
	v.agenda.add(event{at: at, what: evTry, a: i})
}

func (v *virtual) send(i int32, member int) {
	g := slot(&v.legs, &v.freeLeg)
	t, l := &v.tries[i], &v.legs[g]
	*l = leg{try: i, proxy: t.proxy, member: int32(member), index: int32(len(t.legs)), gen: l.gen + 1, sent: v.now, work: t.in.Work, used: true}
	t.legs = append(t.legs, g)
	t.open++
	v.tally.Legs++
	v.legs1s++
	way := wire
	idle := v.idle(v.proxies[t.proxy], member)
	if l.kept = *idle > 0; l.kept {
		*idle--
	} else {
		way = 3 * wire // there, back, and there with the request
	}
	v.agenda.add(event{at: v.now + way, what: evReach, a: g, gen: l.gen})
}

func (v *virtual) idle(p *vproxy, member int) *int {
	for len(p.idle) <= member {
		p.idle = append(p.idle, 0)
	}
	return &p.idle[member]
}

// reach is an attempt's coming to its server.
func (v *virtual) reach(g int32) {
	l := &v.legs[g]
	if l.closed {
		return
	}
	m := v.fleet.Members[l.member]
	t := &v.tries[l.try]
	switch reach := m.Reachability(); {
	case reach == emulator.Refusing || m.State == balance.Removed:
		v.agenda.add(event{at: v.now + wire, what: evBack, a: g, b: int32(balance.ConnectFailed), gen: l.gen})
		return
	case reach == emulator.Unreachable && !l.kept:
		v.agenda.add(event{at: l.sent + v.figures.ConnectTimeout, what: evBack, a: g, b: int32(balance.ConnectFailed), gen: l.gen})
		return
	case reach == emulator.Unreachable:
		v.unheard[l.member] = append(v.unheard[l.member], g)
		m.Receive(v.now, emulator.Job{Ref: int(g)})
		return
	}
	row := &v.figures.Classes[t.in.Class]
	j := emulator.Job{Ref: int(g), Class: t.in.Class, Work: l.work, Key: t.in.Key}
	group := marks(*row, t.in.Class, m, v.zones[m.Zone])
	if group >= 0 {
		j.DedupKey, j.DedupWindow, j.DedupGroup = uint64(t.in.Number)+1, row.DedupWindow, v.fleet.DedupGroup(group)
	}
	l.reached = true
	v.audit.Reached(v.now, t.id, int(l.proxy), int(l.member), group)
	v.settle(int(l.member), m.Receive(v.now, j))
}

// settle takes in what came of a call on a member.
func (v *virtual) settle(i int, ends []emulator.Completion) { v.effect(v.fleet.Reconcile(i, ends)) }

func (v *virtual) effect(e emulator.Effect) {
	v.grow()
	m := v.fleet.Members[e.Member]
	for _, end := range e.Completions {
		g := int32(end.Ref)
		l := &v.legs[g]
		if end.Outcome == balance.ServerRejected {
			v.audit.Turned(v.tries[l.try].id)
		}
		switch {
		case l.closed: // nobody waits for it
			l.reached = false
			v.freed(g)
		case m.Reachability() == emulator.Unreachable:
			l.reached = false
			v.unheard[e.Member] = append(v.unheard[e.Member], g)
		default:
			l.reached, l.work = false, end.Work
			v.agenda.add(event{at: v.now + wire, what: evBack, a: g, b: int32(end.Outcome), gen: l.gen})
		}
	}
	if e.ResetConnections {
		v.reset(e.Member)
	}
	if e.ListChanged {
		v.listed()
	}
	if next := m.NextEvent(); next < v.nextAt[e.Member] {
		v.nextAt[e.Member] = next
		v.agenda.add(event{at: next, what: evServe, a: int32(e.Member)})
	}
}

// grow makes room for new members.
func (v *virtual) grow() {
	for len(v.nextAt) < len(v.fleet.Members) {
		v.nextAt, v.unheard = append(v.nextAt, farOff), append(v.unheard, nil)
		i := len(v.nextAt) - 1
		if next := v.fleet.Members[i].NextEvent(); next < farOff {
			v.nextAt[i] = next
			v.agenda.add(event{at: next, what: evServe, a: int32(i)})
		}
	}
}

// reset ends all connections to a member.
func (v *virtual) reset(member int) {
	if m := v.fleet.Members[member]; m.Crashes > 0 && m.Reachability() == emulator.Refusing && m.State != balance.Removed {
		v.tally.event(v.now-epoch, fmt.Sprintf("!%s fell over", m.Name))
		v.audit.Fell(v.now, member)
	}
	for _, p := range v.proxies {
		*v.idle(p, member) = 0
	}
	lost := v.unheard[member]
	v.unheard[member] = nil
	for _, g := range lost {
		if l := &v.legs[g]; l.used && !l.closed && int(l.member) == member {
			v.agenda.add(event{at: v.now + wire, what: evBack, a: g, b: int32(balance.ConnectionLost), gen: l.gen})
		}
	}
}

// back is an attempt's end at its proxy.
func (v *virtual) back(g int32, o balance.Outcome) {
	l := &v.legs[g]
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
		v.tally.useful += l.work
		at := v.now + wire
		v.audit.Answered(at, t.id, balance.NoReply)
		v.tally.honoured(at-epoch, &t.in, at-t.sent, at-epoch-t.in.At)
	}
	over, index, latency := t.over, int(l.index), v.now-l.sent
	t.open--
	v.freed(g)
	v.carry(t.proxy, t.pool, t.handle.AttemptEnded(v.now, index, o, latency, over))
	v.release(i)
}

// drop closes an attempt's connection: its server hears that nobody waits.
func (v *virtual) drop(g int32) {
	l := &v.legs[g]
	l.closed = true
	if l.reached {
		dropped, ends := v.fleet.Members[l.member].Abandon(v.now, int(g))
		l.reached = l.reached && !dropped
		v.settle(int(l.member), ends)
	}
}

// freed gives an attempt's slot back once neither its proxy nor its server has to do with it.
func (v *virtual) freed(g int32) {
	if l := &v.legs[g]; l.used && l.closed && !l.reached {
		l.used = false
		l.gen++
		v.freeLeg = append(v.freeLeg, g)
	}
}

// stop is when a client waits no longer.
func (v *virtual) stop(i int32, gen uint32) {
	t := &v.tries[i]
	if t.gen != gen || !t.used {
		return
	}
	if !t.over {
		t.over = true
		if t.leaves < t.hardStop {
			v.audit.Left(v.now, t.id)
		} else {
			v.audit.Lost(v.now, t.id)
			v.tally.lost(v.now - epoch)
		}
		v.carry(t.proxy, t.pool, t.handle.ClientDisconnected(v.now))
	}
	for k := 0; k < len(v.tries[i].legs); k++ {
		t := &v.tries[i]
		if t.gen != gen { // it ended with one of them
			return
		}
		if g := t.legs[k]; v.legs[g].used && v.legs[g].try == i && !v.legs[g].closed {
			v.drop(g)
			v.back(g, balance.TimedOut)
		}
	}
	v.release(i)
}

// release frees a try to which nothing more will happen.
func (v *virtual) release(i int32) {
	if t := &v.tries[i]; t.used && t.over && t.open == 0 {
		if p := v.proxies[t.proxy]; p.open > 0 {
			p.open--
		}
		v.free(i)
	}
}

func (v *virtual) free(i int32) {
	t := &v.tries[i]
	t.used, t.handle = false, nil
	t.gen++
	v.freeTry = append(v.freeTry, i)
}

// do carries out something of the timeline.
func (v *virtual) do(h Happening) {
	if !h.Then {
		v.tally.event(v.now-epoch, h.String())
	}
	if h.Proxy == NoTurn {
		e, later := v.fleet.Apply(v.now, h.Act)
		v.grow()
		v.effect(e)
		for _, a := range later {
			v.later(Happening{At: a.At - epoch, Act: a, Then: true})
		}
		return
	}
	for i, p := range v.proxies {
		if h.Who >= 0 && h.Who != i {
			continue
		}
		switch h.Proxy {
		case ListLate:
			p.late, p.lateTo = h.Late, v.now+h.Value
		case ListSilent:
			p.silent = max(p.silent, v.now+h.Value)
		case ListMute:
			p.silent = max(p.silent, v.now+muteFor)
		case Kill:
			v.kill(i)
			v.agenda.add(event{at: v.now + h.Value, what: evStart, a: int32(i)})
		case Restart:
			p.up = false
			v.agenda.add(event{at: v.now + v.s.longest() + killMargin, what: evStart, a: int32(i)})
		}
	}
}

// kill ends a proxy with all it had in hand.
func (v *virtual) kill(i int) {
	p := v.proxies[i]
	p.up, p.alive = false, false
	p.era++
	for k := range v.tries {
		t := &v.tries[k]
		if !t.used || t.proxy != int32(i) {
			continue
		}
		if !t.over {
			t.over = true
			v.audit.Left(v.now, t.id)
			v.tally.WithProxy++
			v.tally.now(v.now-epoch).Lost++
			v.again(t, balance.Failed, 0)
			t = &v.tries[k]
		}
		for _, g := range t.legs {
			if v.legs[g].used && v.legs[g].try == int32(k) && !v.legs[g].closed {
				v.drop(g)
				v.freed(g)
			}
		}
		v.free(int32(k))
	}
	p.open = 0
}

// start starts a proxy that knows nothing but the list.
func (v *virtual) start(i int) {
	p := v.proxies[i]
	if p.alive && p.open > 0 { // told to stop, and not done: it is killed
		v.kill(i)
	}
	d := v.figures.Deployment
	var pools []Decider
	for k := range v.s.pools() {
		d.Seed = v.seed + uint64(i)<<32 + uint64(p.era) + uint64(k)<<16
		decider, err := v.policy(d, v.now)
		if err != nil {
			v.failed = err
			return
		}
		pools = append(pools, decider)
	}
	*p = vproxy{pools: pools, era: p.era + 1, up: true, alive: true, silent: p.silent, late: p.late, lateTo: p.lateTo}
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
func (v *virtual) entry(i int) balance.Endpoint {
	m := v.fleet.Members[i]
	model, ok := v.models[m.Model]
	if !ok {
		model = len(v.models)
		v.models[m.Model] = model
	}
	return balance.Endpoint{Index: i, NameHash: settings.NameHash(m.Name), Zone: v.zones[m.Zone], Pod: m.Pod, Model: model, State: m.State, StartedAt: m.StartedAt()}
}

func (v *virtual) told(proxy, member int) {
	if v.fleet.Members[member].State != balance.Ready {
		v.audit.Told(v.now, proxy, member)
	}
}

// listed has a change of the list told to all proxies.
func (v *virtual) listed() {
	for k, m := range v.fleet.Members {
		if m.State != balance.Ready {
			v.audit.Listed(v.now, k)
		}
	}
	for i, p := range v.proxies {
		at := v.now + listLag
		if v.now < p.lateTo {
			at += p.late
		}
		v.agenda.add(event{at: max(at, p.silent), what: evTold, a: int32(i)})
	}
}

// list tells each pool of a proxy what of a list concerns it.
func (v *virtual) list(i int, first bool, list []balance.Endpoint) {
	for k, group := range v.s.pools() {
		own := list
		if group >= 0 {
			own = nil
			for _, b := range list {
				if v.fleet.Members[b.Index].Group == group {
					own = append(own, b)
				}
			}
		}
		v.carry(int32(i), int32(k), v.proxies[i].pools[k].EndpointsUpdated(v.now, first, first, own))
	}
}

// pool is the number of the pool that a class's requests go to.
func (v *virtual) pool(class int) int32 {
	if v.s.Ordinary() {
		for k, group := range v.s.pools() {
			if v.s.Servers[group].Name == v.s.Tariffs[class].Pool {
				return int32(k)
			}
		}
	}
	return 0
}

// tell tells a proxy what changed since it was last told.
func (v *virtual) tell(i int) {
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
