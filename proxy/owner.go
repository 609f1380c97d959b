package proxy

import (
	"container/heap"
	"context"
	"fmt"
	"math"
	"runtime/debug"
	"slices"
	"time"

	"lockloom/balance"
	"lockloom/internal/discovery"
	"lockloom/internal/invariant"
)

// own is the owner's goroutine: it runs what the connections post and what has come due.
func (p *Proxy) own() {
	wake := time.NewTimer(0)
	defer wake.Stop()
	p.every(sweepEvery, p.pool.CloseExpired)
	p.every(sweepEvery, p.rush)
	p.every(sweepEvery, p.slacken)
	p.every(sweepEvery, p.door.expire)
	p.every(reportEvery, func() { go p.counted()() }) // danger: who reads the log may be slow; the owner waits for nobody
	if p.ordinary.Load() != nil {
		p.every(sweepEvery, p.standbys)
	}
	if p.opined != nil {
		p.every(opineEvery, p.opine)
	}
	if p.traces() {
		p.every(traceEvery, p.trace)
	}
	for set := 0.0; ; {
		select {
		case f := <-p.events:
			p.guard(f)
		case <-p.life.news:
			p.guard(p.obey)
		case <-wake.C:
			set = 0
		case <-p.quit:
			p.watched.end()
			p.sought.end()
			p.pool.Close()
			p.counted()()
			close(p.ended)
			return
		}
		// Danger: where this core is behind, what has come due would be taken for servers' lateness before their answers, which wait
		// here, are seen.
		for range eventsFirst {
			select {
			case f := <-p.events:
				p.guard(f)
				continue
			default:
			}
			break
		}
		for p.timers[0].times[0] <= p.now() { // never empty: what is done every so often is always in it
			p.guard(p.timers.fire(p.now()))
		}
		if next := p.timers[0].times[0]; next != set {
			set = next
			wake.Reset(seconds(next - p.now()))
		}
	}
}

// guard runs one call and what it left for later. A panic costs one request, not the requests of all: its
// backstop still answers it.
func (p *Proxy) guard(f func()) {
	defer p.rescue()
	f()
	for len(p.later) > 0 {
		f := p.later[0]
		p.later = p.later[1:]
		f()
	}
}

// rescue, deferred, ends a panic where only this call or connection need suffer from it.
func (p *Proxy) rescue() {
	if r := recover(); r != nil {
		if invariant.Asserted {
			panic(r)
		}
		invariant.Holds(false, "no call panics")
		p.log.WithField("stack", string(debug.Stack())).Error(fmt.Sprint("panic: ", r))
	}
}

// decide makes one call on the decisions and carries out what they order. The orders are good until the next
// call, so whatever would lead to one is left for later.
func (p *Proxy) decide(in *branch, call func(now float64) *balance.Actions) {
	o := call(p.now())
	for _, i := range o.CloseIdle { // before an attempt is sent there, which then opens anew
		p.pool.CloseIdle(i)
	}
	for _, i := range o.HealthChecks {
		p.probe(in, i)
	}
	if o.Gossip != nil && p.link != nil {
		p.link.Send(o.GossipPeer, *o.Gossip)
	}
	for i := range o.Requests {
		p.route(&o.Requests[i])
	}
	// Danger: this goroutine may be held up at any place. An attempt that is only canceled after its request's answer has been let go might
	// be written after it.
	for i := range o.Requests {
		if s := &o.Requests[i]; s.Reply != balance.NoReply {
			p.finish(p.slots[s.Ref], s.Reply, s.RetryAfter)
		}
	}
	if o.WakeAt > 0 {
		if in.alarm.call == nil {
			in.alarm.call = func() { p.decide(in, in.b.TimerFired) }
		}
		p.timers.add(&in.alarm, o.WakeAt)
	}
	// Orders to subscribe need no act: on sockets the watch is always held.
	for i := range o.Requests {
		p.release(p.slots[o.Requests[i].Ref])
	}
}

// tell makes a call about one request, which may be its last.
func (p *Proxy) tell(l *lookup, call func(now float64) *balance.Actions) {
	p.decide(l.in, call)
	p.release(l)
}

// release frees the slot of a request to which nothing more will happen.
func (p *Proxy) release(l *lookup) {
	if l != nil && !l.released && l.handle != nil && l.handle.Done() {
		l.released = true
		p.timers.drop(&l.alarm)
		l.giveBack()
		if l.upload != nil {
			l.upload.Stop()
		}
		if l.in.live--; l.in.retired {
			p.dropped(l.in)
		}
		invariant.Holds(l.answered, "a lookup is done only once answered")
		p.slots[l.ref] = nil
		delete(p.open, l.id)
		p.free = append(p.free, l.ref)
	}
}

// watch is a watch on discovery at one address.
type watch struct {
	addr string
	stop context.CancelFunc
	over bool
}

// end ends a watch, if there is one; nothing that it still tells is taken in.
func (w *watch) end() {
	if w != nil {
		w.over = true
		w.stop()
	}
}

// follow has discovery at this address tell the list from now on. Danger: the address may be wrong, or silent for
// long; what was watched before is held until this one answers.
func (p *Proxy) follow(addr string) {
	if p.sought != nil && p.sought.addr == addr {
		return
	}
	p.sought.end()
	p.sought = nil
	if p.watched != nil && p.watched.addr == addr {
		return
	}
	ctx, stop := context.WithCancel(context.Background())
	w := &watch{addr: addr, stop: stop}
	p.sought = w
	d := &discovery.Watch{Addr: addr, Version: p.version, FleetSize: p.launch.Proxies, DrainGrace: p.launch.DrainGrace, Dial: p.Dial, Log: p.log.WithField("discovery", addr),
		OnConnected: func() {
			p.post(func() {
				if w == p.sought {
					p.watched.end()
					p.watched, p.sought = w, nil
				}
			})
		},
		OnList: func(l List) {
			p.post(func() {
				if !w.over {
					p.list(l, false)
					p.first()
				}
			})
		}}
	go d.Run(ctx)
}

// list takes in a list of servers.
func (p *Proxy) list(l List, first bool) {
	p.version, p.listed = l.Version, true
	since := p.now()
	if !l.NotifiedAt.IsZero() { // danger: it may have counted as told long before the owner, or this process, came to hear of it
		since = min(since, p.stamp(l.NotifiedAt))
	}
	raw := l.Entries
	l.Entries = slices.Clone(raw)
	list := make([]balance.Endpoint, len(l.Entries))
	for i, e := range l.Entries {
		p.life.listed(e.Name)
		e, banned := p.ruled(e)
		b := p.names.Endpoint(e.Entry)
		l.Entries[i], list[i] = e, b
		if b.State != balance.Removed || !p.kept(b.Index) {
			p.pool.SetEndpoint(b.Index, e.Addr, b.StartedAt)
		}
		p.told(b.Index, b.State, since, banned)
	}
	if l.Full { // danger: who is left out is gone, and an attempt to it may be on a connection that is still being opened
		there := map[int]bool{}
		for _, b := range list {
			there[b.Index] = true
		}
		for index := range p.known {
			if !there[index] && !p.written[index] {
				p.told(index, balance.Removed, since, 0)
			}
		}
	}
	p.note(l.Full, raw)
	for _, in := range p.branches {
		in.listed(p, l, first, list)
	}
	for i := range p.names.Size() {
		if p.names.Name(i) != "" && !p.written[i] && !p.kept(i) {
			p.forget(i)
		}
	}
	for _, e := range raw {
		if e.State == balance.Removed && p.opined != nil { // danger: where nobody asks they would gather for ever
			p.gone = append(p.gone, e.Name)
		}
	}
	p.opine()
}

// kept says whether a pool's decisions may still name a server: one that is listed, or that the list has lost and that lingers.
func (p *Proxy) kept(index int) bool {
	return slices.ContainsFunc(p.branches, func(in *branch) bool { return in.b.HasEndpoint(index) })
}

// note keeps what is listed, as discovery said: for pools that come later, bans that end and the process that comes next.
func (p *Proxy) note(full bool, entries []discovery.Entry) {
	if full {
		clear(p.known)
	}
	for _, e := range entries {
		index, _ := p.names.Find(e.Name)
		if e.State == balance.Removed {
			delete(p.known, index)
		} else {
			p.known[index] = e
		}
	}
}

// forget frees the number of a server that is gone: no order names it any more, and what is out there keeps its own
// hold on connection and server.
func (p *Proxy) forget(index int) {
	p.stopSend[index] = math.Inf(1)
	p.pool.Remove(index)
	p.names.Forget(index)
}

// told notes from when on nothing may be sent to a server, and closes what is idle to it then. Its state counts as told since a time;
// one that operators have disabled, since a time (0: it is not), drains whatever its state.
func (p *Proxy) told(index int, state balance.EndpointState, since, banned float64) {
	for len(p.stopSend) <= index {
		p.stopSend = append(p.stopSend, math.Inf(1))
	}
	switch {
	case banned > 0: // danger: the order may be older than the owner's hearing of it
		since = banned
	case state == balance.Ready:
		p.stopSend[index] = math.Inf(1)
		p.pool.StopSendingAt(index, time.Time{})
		return
	case state == balance.Removed && p.launch.RemovalIsAdvisory: // danger: a drain told before still binds
		return
	}
	p.stopSend[index] = min(p.stopSend[index], since)
	p.pool.StopSendingAt(index, p.at(p.stopSend[index]+p.launch.DrainGrace))
	p.pool.CloseIdle(index)
}

// every has a call made every so often. The next is set before this one is made, so that a panic does not end it.
func (p *Proxy) every(pause time.Duration, call func()) {
	a := &alarm{}
	a.call = func() {
		p.timers.add(a, p.now()+pause.Seconds())
		call()
	}
	p.timers.add(a, p.now()+pause.Seconds())
}

// alarm is a call that is made at several times.
type alarm struct {
	call  func()
	times []float64 // the earliest first
	place int       // among the timers
	room  [4]float64
}

// timers is a heap of alarms by their next time. An alarm has one place in it however many its times. Danger: a place for each time,
// kept until then, held every request for as long as its deadline, which the collector went through again and again.
type timers []*alarm

// add has an alarm go off at a further time.
func (t *timers) add(a *alarm, at float64) {
	if a.times == nil {
		a.times = a.room[:0]
	}
	i, there := slices.BinarySearch(a.times, at)
	if there {
		return
	}
	a.times = slices.Insert(a.times, i, at)
	switch {
	case len(a.times) == 1:
		heap.Push(t, a)
	case i == 0:
		heap.Fix(t, a.place)
	}
}

// drop has an alarm go off no more.
func (t *timers) drop(a *alarm) {
	if len(a.times) > 0 {
		heap.Remove(t, a.place)
		a.times = a.times[:0]
	}
}

// fire takes what has come due from the first alarm, once for all its times, and returns its call.
func (t *timers) fire(now float64) func() {
	a := (*t)[0]
	n := 1
	for n < len(a.times) && a.times[n] <= now {
		n++
	}
	if a.times = slices.Delete(a.times, 0, n); len(a.times) > 0 {
		heap.Fix(t, 0)
	} else {
		heap.Pop(t)
	}
	return a.call
}

func (t timers) Len() int           { return len(t) }
func (t timers) Less(i, j int) bool { return t[i].times[0] < t[j].times[0] }
func (t timers) Swap(i, j int) {
	t[i], t[j] = t[j], t[i]
	t[i].place, t[j].place = i, j
}
func (t *timers) Push(x any) {
	a := x.(*alarm)
	a.place = len(*t)
	*t = append(*t, a)
}
func (t *timers) Pop() any {
	old := *t
	n := len(old) - 1
	a := old[n]
	old[n] = nil
	*t = old[:n]
	return a
}
