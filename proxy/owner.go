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
	p.every(sweepEvery, p.pool.Sweep)
	p.every(sweepEvery, p.rush)
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
	for {
		select {
		case f := <-p.events:
			p.guard(f)
		case <-p.life.news:
			p.guard(p.obey)
		case <-wake.C:
		case <-p.quit:
			p.watched.end()
			p.sought.end()
			p.pool.Shut()
			p.counted()()
			close(p.ended)
			return
		}
		for p.timers[0].at <= p.now() { // never empty: what is done every so often is always in it
			p.guard(heap.Pop(&p.timers).(timer).call)
		}
		wake.Reset(seconds(p.timers[0].at - p.now()))
	}
}

// guard runs one call and what it left for later. A panic costs one lookup, not the lookups of all: its
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
func (p *Proxy) decide(in *branch, call func(now float64) *balance.Orders) {
	o := call(p.now())
	for _, i := range o.HangUp { // before a leg is sent there, which then opens anew
		p.pool.Close(i)
	}
	for _, i := range o.Probe {
		p.probe(in, i)
	}
	if o.Tell != nil && p.link != nil {
		p.link.Tell(o.Peer, *o.Tell)
	}
	for i := range o.Steps {
		p.route(&o.Steps[i])
	}
	if o.Wake > 0 {
		p.timers.add(timer{at: o.Wake, call: func() { p.decide(in, in.b.Wake) }})
	}
	// Orders to subscribe need no act: on sockets the watch is always held.
	for i := range o.Steps {
		p.release(p.slots[o.Steps[i].Ref])
	}
}

// tell makes a call about one lookup, which may be its last.
func (p *Proxy) tell(l *lookup, call func(now float64) *balance.Orders) {
	p.decide(l.in, call)
	p.release(l)
}

// release frees the slot of a lookup to which nothing more will happen.
func (p *Proxy) release(l *lookup) {
	if l != nil && !l.released && l.handle != nil && l.handle.Done() {
		l.released = true
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
		l.head, l.body, l.legs = nil, nil, nil // danger: the timer of its hard stop holds it for long
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
	d := &discovery.Watch{Addr: addr, Version: p.version, Bank: p.launch.Proxies, Dial: p.Dial, Log: p.log.WithField("discovery", addr),
		Up: func() {
			p.post(func() {
				if w == p.sought {
					p.watched.end()
					p.watched, p.sought = w, nil
				}
			})
		},
		Told: func(l List) {
			p.post(func() {
				if !w.over {
					p.list(l, false)
					p.first()
				}
			})
		}}
	go d.Run(ctx)
}

// list takes in a list of backends.
func (p *Proxy) list(l List, first bool) {
	p.version, p.listed = l.Version, true
	raw := l.Entries
	l.Entries = slices.Clone(raw)
	list := make([]balance.Backend, len(l.Entries))
	for i, e := range l.Entries {
		p.life.listed(e.Name)
		e, banned := p.ruled(e)
		b := p.names.Backend(e.Entry)
		l.Entries[i], list[i] = e, b
		if b.State != balance.Gone || !p.kept(b.Index) {
			p.pool.Place(b.Index, e.Addr, b.UpSince)
		}
		p.told(b.Index, b.State, banned)
	}
	p.note(l.Full, raw)
	for _, in := range p.branches {
		in.listed(p, l, first, list)
	}
	for i := range p.names.Backends() {
		if p.names.Name(i) != "" && !p.written[i] && !p.kept(i) {
			p.forget(i)
		}
	}
	for _, e := range raw {
		if e.State == balance.Gone && p.opined != nil { // danger: where nobody asks they would gather for ever
			p.gone = append(p.gone, e.Name)
		}
	}
	p.opine()
}

// kept says whether a pool's decisions may still name a backend: one that is listed, or that the list has lost and that lingers.
func (p *Proxy) kept(index int) bool {
	return slices.ContainsFunc(p.branches, func(in *branch) bool { return in.b.Keeps(index) })
}

// note keeps what is listed, as discovery said: for pools that come later, bans that end and the process that comes next.
func (p *Proxy) note(full bool, entries []discovery.Entry) {
	if full {
		clear(p.known)
	}
	for _, e := range entries {
		index, _ := p.names.Find(e.Name)
		if e.State == balance.Gone {
			delete(p.known, index)
		} else {
			p.known[index] = e
		}
	}
}

// forget frees the number of a backend that is gone: no order names it any more, and what is out there keeps its own
// hold on connection and server.
func (p *Proxy) forget(index int) {
	p.stopSend[index] = math.Inf(1)
	p.pool.Drop(index)
	p.names.Forget(index)
}

// told notes from when on nothing may be sent to a backend, and closes what is idle to it then. One that operators have banned, since
// this time (0: it is not), drains whatever its state.
func (p *Proxy) told(index int, state balance.State, banned float64) {
	for len(p.stopSend) <= index {
		p.stopSend = append(p.stopSend, math.Inf(1))
	}
	since := p.now()
	switch {
	case banned > 0: // danger: the order may be older than the owner's hearing of it
		since = banned
	case state == balance.Ready:
		p.stopSend[index] = math.Inf(1)
		p.pool.Until(index, time.Time{})
		return
	case state == balance.Gone && p.launch.GoneAdvises: // danger: a drain told before still binds
		return
	}
	p.stopSend[index] = min(p.stopSend[index], since)
	p.pool.Until(index, p.at(p.stopSend[index]+p.launch.DrainGrace))
	p.pool.Close(index)
}

// every has a call made every so often. The next is set before this one is made, so that a panic does not end it.
func (p *Proxy) every(pause time.Duration, call func()) {
	p.timers.add(timer{at: p.now() + pause.Seconds(), call: func() {
		p.every(pause, call)
		call()
	}})
}

// timers is a heap of what will come due.
type timers []timer

type timer struct {
	at   float64
	call func()
}

func (t *timers) add(x timer)       { heap.Push(t, x) }
func (t timers) Len() int           { return len(t) }
func (t timers) Less(i, j int) bool { return t[i].at < t[j].at }
func (t timers) Swap(i, j int)      { t[i], t[j] = t[j], t[i] }
func (t *timers) Push(x any)        { *t = append(*t, x.(timer)) }
func (t *timers) Pop() any {
	old := *t
	n := len(old) - 1
	x := old[n]
	old[n] = timer{}
	*t = old[:n]
	return x
}
