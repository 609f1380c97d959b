package simulation

import (
	"strconv"

	"lockloom/balance"
	"lockloom/internal/emulator"
	"lockloom/internal/loadgen"
	"lockloom/internal/settings"
)

// try is one request of a client for an intent.
type try struct {
	in         loadgen.Intent
	n          int // from 1
	id         int // the audit's
	generation uint32
	proxy      int32 // -1: none has accepted it yet
	pool       int32
	sent       float64
	deadline   float64
	leavesAt   float64
	handle     RequestHandle
	attempts   []int32
	open       int // attempts
	over       bool
	used       bool
}

// attempt is one attempt of a try.
type attempt struct {
	try              int32
	proxy            int32
	member           int32
	index            int32 // among the attempts of the try
	generation       uint32
	sent             float64
	work             float64
	reusedConnection bool
	closed           bool // the proxy does not wait for it any more, and has been notified or is about to be
	received         bool // the server holds it
	used             bool
}

// slot returns the index of an unused element of a list, which grows if there is none.
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

// newTry makes a client's n-th try for an intent, sent at a time.
func (v *virtualRun) newTry(intent loadgen.Intent, n int, at float64) int32 {
	i := slot(&v.tries, &v.freeTries)
	t := &v.tries[i]
	class := &v.settings.Classes[intent.Class]
	*t = try{
		in:         intent,
		n:          n,
		generation: t.generation + 1,
		attempts:   t.attempts[:0],
		sent:       at,
		deadline:   at + class.Deadline,
		leavesAt:   at + class.Deadline*v.clients.Patience,
		proxy:      -1,
		used:       true,
	}
	return i
}

// connect brings a try to the next proxy that is up.
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
			v.agenda.add(event{at: v.now + reconnectDelay, kind: eventConnect, target: i})
		} else {
			v.tally.NoProxy++
			v.free(i)
		}
		return
	}
	v.arrive(i)
}

// arrive is a try's arrival at its proxy.
func (v *virtualRun) arrive(i int32) {
	t := &v.tries[i]
	p := v.proxies[t.proxy]
	p.open++
	t.id = v.audit.RequestSent(t.in.Class, t.deadline)
	v.tally.Tries++
	v.agenda.add(event{at: t.leavesAt, kind: eventClientLeaves, target: i, generation: t.generation})
	info := balance.RequestInfo{
		Ref:         int(i),
		Class:       t.in.Class,
		Tenant:      t.in.Tenant,
		Deadline:    t.deadline,
		ClientRetry: t.n > 1 && v.clients.MarksRetries,
	}
	if t.in.Key > 0 {
		info.Key = settings.NameHash(strconv.FormatUint(t.in.Key, 10))
	}
	t.pool = v.pool(t.in.Class)
	handle, actions := p.pools[t.pool].RequestArrived(v.now, info)
	v.tries[i].handle = handle
	v.carryOut(t.proxy, t.pool, actions)
	v.release(i)
}

// answered answers a client that its try was rejected or failed.
func (v *virtualRun) answered(t *try, reply balance.Reply, retryAfter float64) {
	at := v.now + wireDelay
	v.audit.RequestAnswered(at, t.id, reply)
	v.tally.failed(at-epoch, reply)
	v.retry(t, reply, retryAfter)
}

// retry schedules a client's retry, if it makes one.
func (v *virtualRun) retry(t *try, reply balance.Reply, retryAfter float64) {
	idempotency := v.settings.Classes[t.in.Class].Idempotency
	delay, ok := v.clients.RetryDelay(t.n, idempotency, reply, retryAfter, v.rand)
	if !ok || v.now+delay > epoch+v.scenario.Seconds {
		return
	}
	at := v.now + wireDelay + delay
	i := v.newTry(t.in, t.n+1, at)
	v.agenda.add(event{at: at, kind: eventConnect, target: i})
}

// send sends an attempt of a try.
func (v *virtualRun) send(i int32, member int) {
	ref := slot(&v.attempts, &v.freeAttempts)
	t, a := &v.tries[i], &v.attempts[ref]
	*a = attempt{
		try:        i,
		proxy:      t.proxy,
		member:     int32(member),
		index:      int32(len(t.attempts)),
		generation: a.generation + 1,
		sent:       v.now,
		work:       t.in.Work,
		used:       true,
	}
	t.attempts = append(t.attempts, ref)
	t.open++
	v.tally.Attempts++
	v.attemptsThisSecond++
	delay := wireDelay
	idle := v.idle(v.proxies[t.proxy], member)
	a.reusedConnection = *idle > 0
	if a.reusedConnection {
		*idle--
	} else {
		delay = 3 * wireDelay // the handshake there and back, then the request
	}
	v.agenda.add(event{at: v.now + delay, kind: eventAttemptArrives, target: ref, generation: a.generation})
}

// idle is the number of a proxy's idle connections to a member.
func (v *virtualRun) idle(p *virtualProxy, member int) *int {
	for len(p.idle) <= member {
		p.idle = append(p.idle, 0)
	}
	return &p.idle[member]
}

// attemptArrives is an attempt's arrival at its server.
func (v *virtualRun) attemptArrives(ref int32) {
	a := &v.attempts[ref]
	if a.closed {
		return
	}
	m := v.fleet.Members[a.member]
	switch reachability := m.Reachability(); {
	case reachability == emulator.Refusing || m.State == balance.Removed:
		v.scheduleEnd(ref, v.now+wireDelay, balance.ConnectFailed)
	case reachability == emulator.Unreachable && !a.reusedConnection:
		v.scheduleEnd(ref, a.sent+v.settings.ConnectTimeout, balance.ConnectFailed)
	case reachability == emulator.Unreachable:
		v.silentAttempts[a.member] = append(v.silentAttempts[a.member], ref)
		m.Receive(v.now, emulator.Job{Ref: int(ref)})
	default:
		v.receive(ref, m)
	}
}

// receive gives an attempt to its server.
func (v *virtualRun) receive(ref int32, m *emulator.Member) {
	a := &v.attempts[ref]
	t := &v.tries[a.try]
	class := &v.settings.Classes[t.in.Class]
	job := emulator.Job{Ref: int(ref), Class: t.in.Class, Work: a.work, Key: t.in.Key}
	group := dedupGroup(*class, t.in.Class, m, v.zones[m.Zone])
	if group >= 0 {
		job.DedupKey = uint64(t.in.Number) + 1
		job.DedupWindow = class.DedupWindow
		job.DedupGroup = v.fleet.DedupGroup(group)
	}
	a.received = true
	v.audit.AttemptReceived(v.now, t.id, int(a.proxy), int(a.member), group)
	v.reconcile(int(a.member), m.Receive(v.now, job))
}

// attemptEnds is an attempt's end at its proxy.
func (v *virtualRun) attemptEnds(ref int32, outcome balance.Outcome) {
	a := &v.attempts[ref]
	t := &v.tries[a.try]
	if a.closed && outcome != balance.Canceled && outcome != balance.TimedOut {
		return
	}
	a.closed = true
	i, p := a.try, v.proxies[a.proxy]
	if outcome == balance.Succeeded || outcome == balance.ServerError || outcome == balance.ServerRejected {
		*v.idle(p, int(a.member))++
	}
	if outcome == balance.Succeeded && !t.over {
		t.over = true
		v.tally.usefulWork += a.work
		at := v.now + wireDelay
		v.audit.RequestAnswered(at, t.id, balance.NoReply)
		v.tally.succeeded(at-epoch, &t.in, at-t.sent, at-epoch-t.in.At)
	}
	over, index, latency := t.over, int(a.index), v.now-a.sent
	t.open--
	v.freed(ref)
	v.carryOut(t.proxy, t.pool, t.handle.AttemptEnded(v.now, index, outcome, latency, over))
	v.release(i)
}

// drop closes an attempt's connection, which its server notices.
func (v *virtualRun) drop(ref int32) {
	a := &v.attempts[ref]
	a.closed = true
	if a.received {
		dropped, completions := v.fleet.Members[a.member].Abandon(v.now, int(ref))
		a.received = a.received && !dropped
		v.reconcile(int(a.member), completions)
	}
}

// waitedFor reports whether a proxy waits for an attempt of a try.
func (v *virtualRun) waitedFor(ref, try int32) bool {
	a := &v.attempts[ref]
	return a.used && a.try == try && !a.closed
}

// freed frees an attempt once neither its proxy nor its server holds it.
func (v *virtualRun) freed(ref int32) {
	if a := &v.attempts[ref]; a.used && a.closed && !a.received {
		a.used = false
		a.generation++
		v.freeAttempts = append(v.freeAttempts, ref)
	}
}

// clientLeaves is when a client stops waiting.
func (v *virtualRun) clientLeaves(i int32, generation uint32) {
	t := &v.tries[i]
	if t.generation != generation || !t.used {
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
	// The list of attempts may grow, or the try end with one of them.
	for k := 0; v.tries[i].generation == generation && k < len(v.tries[i].attempts); k++ {
		if ref := v.tries[i].attempts[k]; v.waitedFor(ref, i) {
			v.drop(ref)
			v.attemptEnds(ref, balance.TimedOut)
		}
	}
	if v.tries[i].generation == generation {
		v.release(i)
	}
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
	t.used = false
	t.handle = nil
	t.generation++
	v.freeTries = append(v.freeTries, i)
}
