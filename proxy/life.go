package proxy

import (
	"errors"
	"maps"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"lockloom/balance"
	"lockloom/internal/admin"
	"lockloom/internal/discovery"
	"lockloom/internal/hotrestart"
	"lockloom/internal/settings"
	"lockloom/lifecycle"
)

const (
	maxRememberedIDs     = 16 << 10               // ids ever listed that are remembered, 0.6 MB of them
	stateSnapshotTimeout = 300 * time.Millisecond // for the owner to tell the list to the next process
	addressInUseTimeout  = 15 * time.Second       // for a process that does not hand over to leave an address: an overlap and its end
	overlapShare         = 0.5                    // of all that is bounded, while another process of this proxy runs
	acceptPollInterval   = 10 * time.Millisecond  // between looks whether to accept again
)

// processState is what operators, and other processes of this proxy, say of it, and how far this process has come. Whoever hears an order
// takes the lock for a moment; the owner then obeys it, see obey.
type processState struct {
	mu                 sync.Mutex
	lifecycle          lifecycle.Process
	ids                *lifecycle.IDSet
	predecessor        *hotrestart.Link          // to the process that served before
	successors         map[*hotrestart.Link]bool // to those that asked, and whether they serve
	inheritedListeners map[string]net.Listener   // handed over, by address, until they are asked for
	listeners          []*net.TCPListener        // to hand over
	addrs              []string                  // as they were asked for, which is what the next process will ask for
	inheritedState     *hotrestart.State         // what was handed over
	adminChanged       chan struct{}             // orders that the owner has not obeyed
	takeOverTried      bool                      // predecessor was looked for
	offer              *hotrestart.Server
}

func newProcessState() *processState {
	return &processState{ids: lifecycle.NewIDSet(maxRememberedIDs), successors: map[*hotrestart.Link]bool{}, adminChanged: make(chan struct{}, 1)}
}

// readLifecycle reads something of a life.
func readLifecycle[T any](s *processState, f func(*lifecycle.Process) T) T {
	s.mu.Lock()
	defer s.mu.Unlock()
	return f(&s.lifecycle)
}

// shuttingDown says whether this process was told to end.
func (p *Proxy) shuttingDown() bool {
	return readLifecycle(p.process, func(d *lifecycle.Process) bool { return d.StoppedAt > 0 })
}

// Administer carries out an operators' call. It is in force when this returns: what the owner has still to do, it does within the grace
// that a drain has.
func (p *Proxy) Administer(call admin.Call) (status int, text string) {
	s, now := p.process, p.now()
	s.mu.Lock()
	defer s.mu.Unlock()
	switch call.Action {
	case admin.Ready:
		if !s.lifecycle.Ready() {
			return 503, "not ready"
		}
		return 200, "ready"
	case admin.Disable, admin.Enable:
		if !s.ids.Has(settings.NameHash(call.ID)) {
			return 404, "no backend of that id was ever listed"
		}
		if call.Action == admin.Disable {
			s.lifecycle.Disable(call.ID, now)
		} else {
			s.lifecycle.Enable(call.ID, now)
		}
	case admin.Drain, admin.Resume:
		s.lifecycle.SetDraining(call.Action == admin.Drain, now)
	}
	s.notifyAdminChange(nil)
	return 200, "done"
}

// notifyAdminChange passes orders on to the owner, and to the other processes but the one that said them.
func (s *processState) notifyAdminChange(except *hotrestart.Link) {
	select {
	case s.adminChanged <- struct{}{}:
	default:
	}
	update := s.adminUpdate()
	if s.predecessor != nil && s.predecessor != except {
		go s.predecessor.Send(update)
	}
	for link := range s.successors {
		if link != except {
			go link.Send(update) // danger: it may not read, and whoever gave the order waits
		}
	}
}

// adminUpdate is all orders, to be said; the caller holds the lock.
func (s *processState) adminUpdate() hotrestart.Update {
	state := s.lifecycle.AdminState.Clone()
	return hotrestart.Update{AdminState: &state}
}

// firstListReceived takes in what another process says.
func (s *processState) updateReceived(from *hotrestart.Link, update hotrestart.Update) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if update.AdminState != nil && s.lifecycle.Merge(*update.AdminState) {
		s.notifyAdminChange(from)
	}
	if serving, known := s.successors[from]; known && update.Serving && !serving {
		s.successors[from] = true
		s.updateSuccessorServing()
	}
}

// updateSuccessorServing settles whether another process serves in this one's stead, and has accept look again.
func (s *processState) updateSuccessorServing() {
	s.lifecycle.SuccessorServing = slices.Contains(slices.Collect(maps.Values(s.successors)), true)
	for _, ln := range s.listeners {
		if s.lifecycle.AcceptsConnections() {
			ln.SetDeadline(time.Time{})
		} else {
			ln.SetDeadline(time.Unix(1, 0))
		}
	}
}

// applyAdminState has the decisions hear of the bans that are new or over. It is the owner's.
func (p *Proxy) applyAdminState() {
	state := readLifecycle(p.process, func(lc *lifecycle.Process) lifecycle.AdminState { return lc.AdminState.Clone() })
	previous := p.adminState
	p.adminState = state
	var changed List
	for _, id := range slices.Sorted(maps.Keys(state.Servers)) {
		if previous.Servers[id] == state.Servers[id] {
			continue
		}
		index, ok := p.registry.Find(id)
		if !ok {
			continue
		}
		if entry, ok := p.knownEntries[index]; ok {
			changed.Entries = append(changed.Entries, entry)
		}
		for _, pool := range p.serverPools {
			if pool.static && slices.ContainsFunc(pool.staticEndpoints, func(endpoint balance.Endpoint) bool { return endpoint.Index == index }) {
				pool.updateEndpoints(p, List{Full: true}, true, nil)
			}
		}
	}
	if previous.Drain.On != state.Drain.On {
		p.log.WithField("drained", state.Drain.On).Info("drain")
	}
	if len(changed.Entries) > 0 {
		changed.Version = p.listVersion
		p.applyEndpointList(changed, false)
	} else {
		p.reportEstimates()
	}
}

// underAdminState is an entry of the list as operators' orders leave it, and since when its server is disabled, if it is.
func (p *Proxy) underAdminState(entry discovery.Entry) (discovery.Entry, float64) {
	disabled, started := p.adminState.Disabled(entry.Name, entry.StartedAt)
	entry.StartedAt = started
	if !disabled {
		return entry, 0
	}
	if entry.State == balance.Ready {
		entry.State = balance.Draining
	}
	return entry, p.adminState.Servers[entry.Name].Since
}

// staticUnderAdminState are the written-out servers of a pool as operators' orders leave them.
func (p *Proxy) staticUnderAdminState(endpoints []balance.Endpoint) []balance.Endpoint {
	out := slices.Clone(endpoints)
	for i := range out {
		endpoint := &out[i]
		var entry discovery.Entry
		entry.Name, entry.State, entry.StartedAt = p.registry.Name(endpoint.Index), endpoint.State, endpoint.StartedAt
		entry, disabledSince := p.underAdminState(entry)
		endpoint.State, endpoint.StartedAt = entry.State, entry.StartedAt
		p.applyEndpointState(endpoint.Index, endpoint.State, p.now(), disabledSince)
	}
	return out
}

// Listen listens at an address: on the socket that a process of this proxy hands over which serves already, or on one of its own.
func (p *Proxy) Listen(addr string) (net.Listener, error) {
	p.takeOver()
	s := p.process
	s.mu.Lock()
	ln := s.inheritedListeners[addr]
	delete(s.inheritedListeners, addr)
	s.mu.Unlock()
	if ln == nil {
		var err error
		if ln, err = hotrestart.Listen(addr, addressInUseTimeout); err != nil {
			return nil, err
		}
	}
	if tcp, ok := ln.(*net.TCPListener); ok {
		s.mu.Lock()
		s.listeners, s.addrs = append(s.listeners, tcp), append(s.addrs, addr)
		s.mu.Unlock()
	}
	return ln, nil
}

func (p *Proxy) hotRestartIdentity() hotrestart.Identity {
	return hotrestart.Identity{Format: hotrestart.Format, Name: p.bootstrap.Name, Listen: p.bootstrap.Listen}
}

// takeOver takes over from a process of this proxy, if there is one that offers to.
func (p *Proxy) takeOver() {
	s := p.process
	if p.bootstrap.HotRestartDir == "" || s.takeOverTried {
		return
	}
	s.takeOverTried = true
	inherited, listeners, link, err := hotrestart.TakeOver(hotrestart.Path(p.bootstrap.HotRestartDir, p.hotRestartIdentity()), p.hotRestartIdentity())
	if err != nil {
		if !errors.Is(err, hotrestart.ErrNoPredecessor) {
			p.log.WithError(err).Warn("nothing was handed over: starting as after a plain start")
		}
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lifecycle.PredecessorServing = true
	s.inheritedState, s.predecessor, s.inheritedListeners = inherited, link, map[string]net.Listener{}
	for i, ln := range listeners {
		s.inheritedListeners[inherited.Listeners[i]] = ln
	}
	for _, id := range inherited.IDs {
		s.ids.Add(id)
	}
	if s.lifecycle.Merge(inherited.AdminState) {
		s.notifyAdminChange(link)
	}
	if inherited.Listed && inherited.List.Version >= p.bootstrap.Known.Version {
		p.bootstrap.Known = inherited.List
	}
	p.log.WithFields(logrus.Fields{"sockets": len(listeners), "version": inherited.List.Version, "orders": len(inherited.AdminState.Servers)}).Info("handed over")
	go func() {
		err := link.Receive(func(update hotrestart.Update) { s.updateReceived(link, update) })
		p.log.WithError(err).Info("the process before has left")
		s.mu.Lock()
		s.predecessor, s.lifecycle.PredecessorServing = nil, false
		s.mu.Unlock()
		p.applyResourceShare()
	}()
}

// rememberID remembers an id.
func (s *processState) rememberID(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ids.Add(settings.NameHash(id))
}

// closesAfterResponse says whether connections close with their answers.
func (p *Proxy) closesAfterResponse() bool {
	now := p.now()
	return readLifecycle(p.process, func(d *lifecycle.Process) bool { return d.ClosesAfterResponse(now) })
}

// admitsRequests says whether what has come whole is a request.
func (p *Proxy) admitsRequests() bool {
	now := p.now()
	return readLifecycle(p.process, func(d *lifecycle.Process) bool { return d.AdmitsRequests(now) })
}

// beginShutdown notes the order to end, and tells whether another process serves already. Its idle connections are closed by last.
func (p *Proxy) beginShutdown(idleCloseAt time.Time) (successorServing bool) {
	s, now := p.process, p.now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lifecycle.StoppedAt == 0 {
		s.lifecycle.StoppedAt, s.lifecycle.IdleCloseDeadline = now, p.stamp(idleCloseAt)
	}
	return s.lifecycle.SuccessorServing
}

// requestClose notes that connections end with their answers from now on.
func (p *Proxy) beginTermination() {
	p.beginShutdown(time.Now())
	p.process.mu.Lock()
	defer p.process.mu.Unlock()
	p.process.lifecycle.Terminating = true
}

// closeLinks ends what is between this process and others.
func (s *processState) closeLinks() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.offer.Close()
	if s.predecessor != nil {
		s.predecessor.Close()
	}
	for link := range s.successors {
		link.Close()
	}
}

// startedServing tells the process before that this one takes clients, and offers in its place what there is.
func (p *Proxy) startedServing() {
	s := p.process
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lifecycle.Serving = true
	for addr, ln := range s.inheritedListeners { // of an operator file that is another now
		p.log.WithField("listen", addr).Warn("handed over, and not served any more")
		ln.Close()
	}
	s.inheritedListeners = nil
	if s.predecessor != nil {
		go s.predecessor.Send(hotrestart.Update{Serving: true})
	}
	p.offerHotRestart()
}

// offerHotRestart has the next process find this one; the caller holds the lock.
func (p *Proxy) offerHotRestart() {
	s := p.process
	if p.bootstrap.HotRestartDir == "" || len(s.listeners) == 0 {
		return
	}
	s.offer.Close()
	var err error
	s.offer, err = hotrestart.Serve(hotrestart.Path(p.bootstrap.HotRestartDir, p.hotRestartIdentity()), p.hotRestartIdentity(), p.handOver, p.serveSuccessor)
	if err != nil {
		p.log.WithError(err).Warn("cannot hand over to a next process")
	}
}

// handOver is what the next process gets.
func (p *Proxy) handOver() (hotrestart.State, []*net.TCPListener) {
	type known struct {
		list    List
		learned balance.Snapshot
	}
	reply := make(chan known, 1)
	go p.post(func() {
		list := List{Version: p.listVersion, Full: true}
		for _, index := range slices.Sorted(maps.Keys(p.knownEntries)) {
			list.Entries = append(list.Entries, p.knownEntries[index])
		}
		reply <- known{list, p.platformPool.decisions.Snapshot(p.now())}
	})
	state := hotrestart.State{}
	select {
	case snap := <-reply:
		state.List, state.Snapshot, state.Listed = snap.list, snap.learned, true
	case <-time.After(stateSnapshotTimeout):
	}
	s := p.process
	s.mu.Lock()
	defer s.mu.Unlock()
	state.AdminState, state.IDs = s.lifecycle.AdminState.Clone(), s.ids.All()
	state.Listeners = slices.Clone(s.addrs) // danger: ":8080" is "[::]:8080" once it listens, and the next process would find nothing by it
	return state, slices.Clone(s.listeners)
}

// serveSuccessor takes in a process that has what this one gave, until it ends.
func (p *Proxy) serveSuccessor(link *hotrestart.Link, err error) {
	if err != nil {
		p.log.WithError(err).Warn("not handed over")
		return
	}
	s := p.process
	p.log.Info("handed over to another process")
	s.mu.Lock()
	s.successors[link] = false
	update := s.adminUpdate() // what was ordered while the state was on its way
	s.mu.Unlock()
	p.applyResourceShare()
	go link.Send(update)
	err = link.Receive(func(update hotrestart.Update) { s.updateReceived(link, update) })
	link.Close()
	s.mu.Lock()
	served := s.successors[link]
	delete(s.successors, link)
	s.updateSuccessorServing()
	if served && s.lifecycle.StoppedAt == 0 { // danger: nobody would accept, and the next one would find nobody
		p.log.WithError(err).Warn("the process that took over has ended: serving again")
		p.offerHotRestart()
	}
	s.mu.Unlock()
	p.applyResourceShare()
}

// resourceShare is this process's of what is bounded for all of the proxy.
func (p *Proxy) resourceShare() float64 {
	s := p.process
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.predecessor != nil || len(s.successors) > 0 {
		return overlapShare
	}
	return 1
}

// numbers gives this process its part of what is bounded for all of the proxy.
func (p *Proxy) applyResourceShare() {
	share := p.resourceShare()
	p.conns.setShare(share)
	p.maxReservedBytes.Store(int64(share * p.totalReservableBytes))
	if p.OnShareChanged != nil {
		p.OnShareChanged(share)
	}
	go p.post(func() {
		share := p.resourceShare() // two such calls may come in either order
		p.upstream.SetMaxConnections(int(share * float64(p.maxUpstreamConns)))
		for _, pool := range p.serverPools {
			pool.decisions.SetBudgetShare(share)
		}
	})
}

// closeIdleForDrain closes idle connections where the proxy is to be emptied.
func (p *Proxy) closeIdleForDrain() {
	p.process.mu.Lock()
	share, fresh := p.process.lifecycle.IdleCloseFraction(p.now(), sweepInterval.Seconds())
	p.process.mu.Unlock()
	if share > 0 {
		p.conns.closeIdleFraction(share, fresh)
	}
}
