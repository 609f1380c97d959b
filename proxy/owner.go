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

// runOwner is the owner's goroutine: it runs what the connections post and what has come due.
func (p *Proxy) runOwner() {
	wake := time.NewTimer(0)
	defer wake.Stop()
	p.runEvery(sweepInterval, p.upstream.CloseExpired)
	p.runEvery(sweepInterval, p.closeIdleForDrain)
	p.runEvery(sweepInterval, p.updateLocalDelay)
	p.runEvery(sweepInterval, p.conns.closeExpired)
	p.runEvery(countsLogInterval, func() { go p.countsLogger()() }) // danger: who reads the log may be slow; the owner waits for nobody
	if p.routing.Load() != nil {
		p.runEvery(sweepInterval, p.updateFailover)
	}
	if p.onEstimates != nil {
		p.runEvery(estimateInterval, p.reportEstimates)
	}
	if p.debugEnabled() {
		p.runEvery(serverStatusLogInterval, p.logServerStatuses)
	}
	for set := 0.0; ; {
		select {
		case f := <-p.events:
			p.runGuarded(f)
		case <-p.process.adminChanged:
			p.runGuarded(p.applyAdminState)
		case <-wake.C:
			set = 0
		case <-p.quit:
			p.subscription.end()
			p.pendingSubscription.end()
			p.upstream.Close()
			p.countsLogger()()
			close(p.ended)
			return
		}
		// Danger: where this core is behind, what has come due would be taken for servers' lateness before their answers, which wait
		// here, are seen.
		for range maxEventsBeforeTimers {
			select {
			case f := <-p.events:
				p.runGuarded(f)
				continue
			default:
			}
			break
		}
		for p.timers[0].times[0] <= p.now() { // never empty: what is done every so often is always in it
			p.runGuarded(p.timers.fire(p.now()))
		}
		if next := p.timers[0].times[0]; next != set {
			set = next
			wake.Reset(seconds(next - p.now()))
		}
	}
}

// runGuarded runs one call and what it left for later. A panic costs one request, not the requests of all: its
// backstop still answers it.
func (p *Proxy) runGuarded(f func()) {
	defer p.recoverPanic()
	f()
	for len(p.deferred) > 0 {
		f := p.deferred[0]
		p.deferred = p.deferred[1:]
		f()
	}
}

// rescue, deferred, ends a panic where only this call or connection need suffer from it.
func (p *Proxy) recoverPanic() {
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
func (p *Proxy) decide(pool *serverPool, call func(now float64) *balance.Actions) {
	actions := call(p.now())
	for _, ref := range actions.CloseIdle { // before an attempt is sent there, which then opens anew
		p.upstream.CloseIdle(ref)
	}
	for _, ref := range actions.HealthChecks {
		p.healthCheck(pool, ref)
	}
	if actions.Gossip != nil && p.gossipLink != nil {
		p.gossipLink.Send(actions.GossipPeer, *actions.Gossip)
	}
	for ref := range actions.Requests {
		p.applyRequestAction(&actions.Requests[ref])
	}
	// Danger: this goroutine may be held up at any place. An attempt that is only canceled after its request's answer has been let go might
	// be written after it.
	for ref := range actions.Requests {
		if action := &actions.Requests[ref]; action.Reply != balance.NoReply {
			p.respond(p.requests[action.Ref], action.Reply, action.RetryAfter)
		}
	}
	if actions.WakeAt > 0 {
		if pool.timer.call == nil {
			pool.timer.call = func() { p.decide(pool, pool.decisions.TimerFired) }
		}
		p.timers.add(&pool.timer, actions.WakeAt)
	}
	// Orders to subscribe need no act: on sockets the watch is always held.
	for ref := range actions.Requests {
		p.releaseRequest(p.requests[actions.Requests[ref].Ref])
	}
}

// decideRequest makes a call about one request, which may be its last.
func (p *Proxy) decideRequest(req *request, call func(now float64) *balance.Actions) {
	p.decide(req.pool, call)
	p.releaseRequest(req)
}

// releaseRequest frees the slot of a request to which nothing more will happen.
func (p *Proxy) releaseRequest(req *request) {
	if req != nil && !req.released && req.handle != nil && req.handle.Done() {
		req.released = true
		p.timers.cancel(&req.timer)
		req.releaseLimits()
		if req.upload != nil {
			req.upload.Stop()
		}
		if req.pool.inFlight--; req.pool.retired {
			p.removeIfRetired(req.pool)
		}
		invariant.Holds(req.answered, "a lookup is done only once answered")
		p.requests[req.ref] = nil
		delete(p.openIDs, req.id)
		p.freeRefs = append(p.freeRefs, req.ref)
	}
}

// subscription is a watch on discovery at one address.
type subscription struct {
	addr  string
	stop  context.CancelFunc
	ended bool
}

// requestClose ends a watch, if there is one; nothing that it still tells is taken in.
func (s *subscription) end() {
	if s != nil {
		s.ended = true
		s.stop()
	}
}

// subscribe has discovery at this address tell the list from now on. Danger: the address may be wrong, or silent for
// long; what was watched before is held until this one answers.
func (p *Proxy) subscribe(addr string) {
	if p.pendingSubscription != nil && p.pendingSubscription.addr == addr {
		return
	}
	p.pendingSubscription.end()
	p.pendingSubscription = nil
	if p.subscription != nil && p.subscription.addr == addr {
		return
	}
	ctx, stop := context.WithCancel(context.Background())
	sub := &subscription{addr: addr, stop: stop}
	p.pendingSubscription = sub
	watch := &discovery.Watch{Addr: addr, Version: p.listVersion, FleetSize: p.bootstrap.Proxies, DrainGrace: p.bootstrap.DrainGrace, Dial: p.Dial, Log: p.log.WithField("discovery", addr),
		OnConnected: func() {
			p.post(func() {
				if sub == p.pendingSubscription {
					p.subscription.end()
					p.subscription, p.pendingSubscription = sub, nil
				}
			})
		},
		OnList: func(list List) {
			p.post(func() {
				if !sub.ended {
					p.applyEndpointList(list, false)
					p.markListReceived()
				}
			})
		}}
	go watch.Run(ctx)
}

// routes takes in a list of servers.
func (p *Proxy) applyEndpointList(list List, first bool) {
	p.listVersion, p.listReceived = list.Version, true
	since := p.now()
	if !list.NotifiedAt.IsZero() { // danger: it may have counted as told long before the owner, or this process, came to hear of it
		since = min(since, p.stamp(list.NotifiedAt))
	}
	entries := list.Entries
	list.Entries = slices.Clone(entries)
	endpoints := make([]balance.Endpoint, len(list.Entries))
	for i, entry := range list.Entries {
		p.process.rememberID(entry.Name)
		entry, disabledSince := p.underAdminState(entry)
		endpoint := p.registry.Endpoint(entry.Entry)
		list.Entries[i], endpoints[i] = entry, endpoint
		if endpoint.State != balance.Removed || !p.endpointInUse(endpoint.Index) {
			p.upstream.SetEndpoint(endpoint.Index, entry.Addr, endpoint.StartedAt)
		}
		p.applyEndpointState(endpoint.Index, endpoint.State, since, disabledSince)
	}
	if list.Full { // danger: who is left out is gone, and an attempt to it may be on a connection that is still being opened
		listed := map[int]bool{}
		for _, endpoint := range endpoints {
			listed[endpoint.Index] = true
		}
		for index := range p.knownEntries {
			if !listed[index] && !p.staticServers[index] {
				p.applyEndpointState(index, balance.Removed, since, 0)
			}
		}
	}
	p.recordKnownEntries(list.Full, entries)
	for _, pool := range p.serverPools {
		pool.updateEndpoints(p, list, first, endpoints)
	}
	for i := range p.registry.Size() {
		if p.registry.Name(i) != "" && !p.staticServers[i] && !p.endpointInUse(i) {
			p.forgetEndpoint(i)
		}
	}
	for _, entry := range entries {
		if entry.State == balance.Removed && p.onEstimates != nil { // danger: where nobody asks they would gather for ever
			p.removedNames = append(p.removedNames, entry.Name)
		}
	}
	p.reportEstimates()
}

// endpointInUse says whether a pool's decisions may still name a server: one that is listed, or that the list has lost and that lingers.
func (p *Proxy) endpointInUse(index int) bool {
	return slices.ContainsFunc(p.serverPools, func(pool *serverPool) bool { return pool.decisions.HasEndpoint(index) })
}

// recordKnownEntries keeps what is listed, as discovery said: for pools that come later, bans that end and the process that comes next.
func (p *Proxy) recordKnownEntries(full bool, entries []discovery.Entry) {
	if full {
		clear(p.knownEntries)
	}
	for _, entry := range entries {
		index, _ := p.registry.Find(entry.Name)
		if entry.State == balance.Removed {
			delete(p.knownEntries, index)
		} else {
			p.knownEntries[index] = entry
		}
	}
}

// forgetEndpoint frees the number of a server that is gone: no order names it any more, and what is out there keeps its own
// hold on connection and server.
func (p *Proxy) forgetEndpoint(index int) {
	p.stopSendAt[index] = math.Inf(1)
	p.upstream.Remove(index)
	p.registry.Forget(index)
}

// applyEndpointState notes from when on nothing may be sent to a server, and closes what is idle to it then. Its state counts as told since a time;
// one that operators have disabled, since a time (0: it is not), drains whatever its state.
func (p *Proxy) applyEndpointState(index int, state balance.EndpointState, since, disabledSince float64) {
	for len(p.stopSendAt) <= index {
		p.stopSendAt = append(p.stopSendAt, math.Inf(1))
	}
	switch {
	case disabledSince > 0: // danger: the order may be older than the owner's hearing of it
		since = disabledSince
	case state == balance.Ready:
		p.stopSendAt[index] = math.Inf(1)
		p.upstream.StopSendingAt(index, time.Time{})
		return
	case state == balance.Removed && p.bootstrap.RemovalIsAdvisory: // danger: a drain told before still binds
		return
	}
	p.stopSendAt[index] = min(p.stopSendAt[index], since)
	p.upstream.StopSendingAt(index, p.at(p.stopSendAt[index]+p.bootstrap.DrainGrace))
	p.upstream.CloseIdle(index)
}

// runEvery has a call made every so often. The next is set before this one is made, so that a panic does not end it.
func (p *Proxy) runEvery(interval time.Duration, call func()) {
	t := &timer{}
	t.call = func() {
		p.timers.add(t, p.now()+interval.Seconds())
		call()
	}
	p.timers.add(t, p.now()+interval.Seconds())
}

// timer is a call that is made at several times.
type timer struct {
	call   func()
	times  []float64 // the earliest first
	index  int       // among the timers
	inline [4]float64
}

// timerHeap is a heap of alarms by their next time. An alarm has one place in it however many its times. Danger: a place for each time,
// kept until then, held every request for as long as its deadline, which the collector went through again and again.
type timerHeap []*timer

// add has an alarm go off at a further time.
func (h *timerHeap) add(t *timer, at float64) {
	if t.times == nil {
		t.times = t.inline[:0]
	}
	i, there := slices.BinarySearch(t.times, at)
	if there {
		return
	}
	t.times = slices.Insert(t.times, i, at)
	switch {
	case len(t.times) == 1:
		heap.Push(h, t)
	case i == 0:
		heap.Fix(h, t.index)
	}
}

// cancel has an alarm go off no more.
func (h *timerHeap) cancel(t *timer) {
	if len(t.times) > 0 {
		heap.Remove(h, t.index)
		t.times = t.times[:0]
	}
}

// fire takes what has come due from the first alarm, once for all its times, and returns its call.
func (h *timerHeap) fire(now float64) func() {
	t := (*h)[0]
	n := 1
	for n < len(t.times) && t.times[n] <= now {
		n++
	}
	if t.times = slices.Delete(t.times, 0, n); len(t.times) > 0 {
		heap.Fix(h, 0)
	} else {
		heap.Pop(h)
	}
	return t.call
}

func (h timerHeap) Len() int           { return len(h) }
func (h timerHeap) Less(i, j int) bool { return h[i].times[0] < h[j].times[0] }
func (h timerHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}
func (h *timerHeap) Push(x any) {
	t := x.(*timer)
	t.index = len(*h)
	*h = append(*h, t)
}
func (h *timerHeap) Pop() any {
	old := *h
	n := len(old) - 1
	t := old[n]
	old[n] = nil
	*h = old[:n]
	return t
}
