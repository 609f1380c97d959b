package simulation

import (
	"strconv"

	"lockloom/balance"
	"lockloom/internal/emulator"
	"lockloom/internal/loadgen"
	"lockloom/internal/settings"
)

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
