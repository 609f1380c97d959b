package simulation

import (
	"strconv"

	"lockloom/balance"
	"lockloom/internal/emulator"
	"lockloom/internal/loadgen"
	"lockloom/internal/settings"
)

// try is one request that a client sends for an intent. Elements of the list of tries are reused.
type try struct {
	intent       loadgen.Intent
	number       int    // position among the tries for the intent, from 1
	auditID      int    // number of the try in the audit
	generation   uint32 // grows when the element is used or freed, so that events of earlier uses are ignored
	proxy        int32  // -1: no proxy has accepted it yet
	pool         int32
	sent         float64
	deadline     float64
	leavesAt     float64 // when the client stops waiting for a reply
	handle       RequestHandle
	attempts     []int32 // indices, in the order of sending
	openAttempts int
	over         bool // it has been answered, its client has left, or its proxy was killed
	used         bool
}

// attempt is one attempt of a try. Elements of the list of attempts are reused.
type attempt struct {
	try              int32
	proxy            int32
	member           int32
	index            int32  // position in the attempts of the try
	generation       uint32 // grows like that of a try
	sent             float64
	work             float64 // s of a core at speed 1
	reusedConnection bool
	closed           bool // its proxy no longer waits for it: its end is processed or scheduled, or the proxy was killed
	received         bool // its server has it queued or running
	used             bool
}

// allocate returns the index of a free element of a list, which it extends if there is none.
func allocate[T any](list *[]T, free *[]int32) int32 {
	if n := len(*free); n > 0 {
		i := (*free)[n-1]
		*free = (*free)[:n-1]
		return i
	}
	var zero T
	*list = append(*list, zero)
	return int32(len(*list) - 1)
}

// newTry returns the index of a new try, a client's n-th for an intent, which is sent at a time.
func (v *virtualRun) newTry(intent loadgen.Intent, n int, at float64) int32 {
	i := allocate(&v.tries, &v.freeTries)
	t := &v.tries[i]
	class := &v.settings.Classes[intent.Class]
	*t = try{
		intent:     intent,
		number:     n,
		generation: t.generation + 1,
		attempts:   t.attempts[:0],
		sent:       at,
		deadline:   at + class.Deadline,
		leavesAt:   at + class.Deadline*v.clients.AbandonFraction,
		proxy:      -1,
		used:       true,
	}
	return i
}

// connect passes a try to the next proxy that is up, in round-robin order. If none is, the client connects again later,
// until it stops waiting.
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
			v.freeTry(i)
		}
		return
	}
	v.tryArrives(i)
}

// tryArrives processes the arrival of a try at its proxy.
func (v *virtualRun) tryArrives(i int32) {
	t := &v.tries[i]
	p := v.proxies[t.proxy]
	p.openTries++
	t.auditID = v.audit.RequestSent(t.intent.Class, t.deadline)
	v.tally.Tries++
	v.agenda.add(event{at: t.leavesAt, kind: eventClientLeaves, target: i, generation: t.generation})
	info := balance.RequestInfo{
		Ref:         int(i),
		Class:       t.intent.Class,
		Tenant:      t.intent.Tenant,
		Deadline:    t.deadline,
		ClientRetry: t.number > 1 && v.clients.MarksRetries,
	}
	if t.intent.Key > 0 {
		info.Key = settings.NameHash(strconv.FormatUint(t.intent.Key, 10))
	}
	t.pool = v.poolOf(t.intent.Class)
	handle, actions := p.pools[t.pool].RequestArrived(v.now, info)
	v.tries[i].handle = handle
	v.carryOut(t.proxy, t.pool, actions)
	v.release(i)
}

// reply sends a client the reply that its try was rejected or has failed.
func (v *virtualRun) reply(t *try, reply balance.Reply, retryAfter float64) {
	at := v.now + wireDelay
	v.audit.RequestAnswered(at, t.auditID, reply)
	v.tally.failed(at-epoch, reply)
	v.retry(t, reply, retryAfter)
}

// retry schedules the client's next try, if it retries and the workload has not ended by then.
func (v *virtualRun) retry(t *try, reply balance.Reply, retryAfter float64) {
	idempotency := v.settings.Classes[t.intent.Class].Idempotency
	delay, ok := v.clients.RetryDelay(t.number, idempotency, reply, retryAfter, v.rand)
	if !ok || v.now+delay > epoch+v.scenario.Seconds {
		return
	}
	at := v.now + wireDelay + delay
	i := v.newTry(t.intent, t.number+1, at)
	v.agenda.add(event{at: at, kind: eventConnect, target: i})
}

// send sends an attempt of a try to a member, on an idle connection if there is one.
func (v *virtualRun) send(i int32, member int) {
	ref := allocate(&v.attempts, &v.freeAttempts)
	t, a := &v.tries[i], &v.attempts[ref]
	*a = attempt{
		try:        i,
		proxy:      t.proxy,
		member:     int32(member),
		index:      int32(len(t.attempts)),
		generation: a.generation + 1,
		sent:       v.now,
		work:       t.intent.Work,
		used:       true,
	}
	t.attempts = append(t.attempts, ref)
	t.openAttempts++
	v.tally.Attempts++
	v.attemptsThisSecond++
	delay := wireDelay
	idle := v.idleConnections(v.proxies[t.proxy], member)
	a.reusedConnection = *idle > 0
	if a.reusedConnection {
		*idle--
	} else {
		delay = 3 * wireDelay // a round trip for the TCP handshake, then the request
	}
	v.agenda.add(event{at: v.now + delay, kind: eventAttemptArrives, target: ref, generation: a.generation})
}

// idleConnections returns a pointer to the number of a proxy's idle connections to a member. It is valid until the next
// call.
func (v *virtualRun) idleConnections(p *virtualProxy, member int) *int {
	for len(p.idleConnections) <= member {
		p.idleConnections = append(p.idleConnections, 0)
	}
	return &p.idleConnections[member]
}

// attemptArrives processes the arrival of an attempt at its server.
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

// receive passes an attempt to its server, which queues, runs or rejects it.
func (v *virtualRun) receive(ref int32, m *emulator.Member) {
	a := &v.attempts[ref]
	t := &v.tries[a.try]
	class := &v.settings.Classes[t.intent.Class]
	job := emulator.Job{Ref: int(ref), Class: t.intent.Class, Work: a.work, Key: t.intent.Key}
	group := dedupGroup(*class, t.intent.Class, m, v.zones[m.Zone])
	if group >= 0 {
		job.DedupKey = uint64(t.intent.Number) + 1
		job.DedupWindow = class.DedupWindow
		job.DedupGroup = v.fleet.DedupGroup(group)
	}
	a.received = true
	v.audit.AttemptReceived(v.now, t.auditID, int(a.proxy), int(a.member), group)
	v.reconcile(int(a.member), m.Receive(v.now, job))
}

// attemptEnds processes the end of an attempt at its proxy.
func (v *virtualRun) attemptEnds(ref int32, outcome balance.Outcome) {
	a := &v.attempts[ref]
	t := &v.tries[a.try]
	if a.closed && outcome != balance.Canceled && outcome != balance.TimedOut {
		return
	}
	a.closed = true
	i, p := a.try, v.proxies[a.proxy]
	if outcome == balance.Succeeded || outcome == balance.ServerError || outcome == balance.ServerRejected {
		*v.idleConnections(p, int(a.member))++
	}
	if outcome == balance.Succeeded && !t.over {
		t.over = true
		v.tally.usefulWork += a.work
		at := v.now + wireDelay
		v.audit.RequestAnswered(at, t.auditID, balance.NoReply)
		v.tally.succeeded(at-epoch, &t.intent, at-t.sent, at-epoch-t.intent.At)
	}
	over, index, latency := t.over, int(a.index), v.now-a.sent
	t.openAttempts--
	v.freeAttempt(ref)
	v.carryOut(t.proxy, t.pool, t.handle.AttemptEnded(v.now, index, outcome, latency, over))
	v.release(i)
}

// abandon closes the connection of an attempt. Its server drops the attempt if it is still queued.
func (v *virtualRun) abandon(ref int32) {
	a := &v.attempts[ref]
	a.closed = true
	if a.received {
		dropped, completions := v.fleet.Members[a.member].Abandon(v.now, int(ref))
		a.received = a.received && !dropped
		v.reconcile(int(a.member), completions)
	}
}

// isPending reports whether an attempt belongs to a try and its proxy still waits for it.
func (v *virtualRun) isPending(ref, try int32) bool {
	a := &v.attempts[ref]
	return a.used && a.try == try && !a.closed
}

// freeAttempt frees an attempt if its proxy no longer waits for it and its server no longer has it.
func (v *virtualRun) freeAttempt(ref int32) {
	if a := &v.attempts[ref]; a.used && a.closed && !a.received {
		a.used = false
		a.generation++
		v.freeAttempts = append(v.freeAttempts, ref)
	}
}

// clientLeaves handles the event that a client stops waiting for the reply to a try.
func (v *virtualRun) clientLeaves(i int32, generation uint32) {
	t := &v.tries[i]
	if t.generation != generation || !t.used {
		return
	}
	if !t.over {
		t.over = true
		if t.leavesAt < t.deadline {
			v.audit.ClientGone(v.now, t.auditID)
		} else {
			v.audit.RequestLost(v.now, t.auditID)
			v.tally.lost(v.now - epoch)
		}
		v.carryOut(t.proxy, t.pool, t.handle.ClientDisconnected(v.now))
	}
	// attemptEnds may append to the list of attempts. It may also free the try, whose generation then differs.
	for k := 0; v.tries[i].generation == generation && k < len(v.tries[i].attempts); k++ {
		if ref := v.tries[i].attempts[k]; v.isPending(ref, i) {
			v.abandon(ref)
			v.attemptEnds(ref, balance.TimedOut)
		}
	}
	if v.tries[i].generation == generation {
		v.release(i)
	}
}

// release frees a try that is over and has no open attempts.
func (v *virtualRun) release(i int32) {
	if t := &v.tries[i]; t.used && t.over && t.openAttempts == 0 {
		if p := v.proxies[t.proxy]; p.openTries > 0 {
			p.openTries--
		}
		v.freeTry(i)
	}
}

// freeTry makes the element of a try available for reuse.
func (v *virtualRun) freeTry(i int32) {
	t := &v.tries[i]
	t.used = false
	t.handle = nil
	t.generation++
	v.freeTries = append(v.freeTries, i)
}
