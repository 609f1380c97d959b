package proxy

import (
	"errors"
	"maps"
	"net"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"lockloom/balance"
	"lockloom/internal/hotrestart"
)

// addressInUseTimeout is how long Listen retries an address that another process uses and does not hand over. It is
// long enough for two processes to overlap and for the first to shut down.
const addressInUseTimeout = 15 * time.Second

// Listen listens at an address: on the socket that a predecessor hands over, if there is one, or on a new one. Call it
// before Serve.
func (p *Proxy) Listen(addr string) (net.Listener, error) {
	p.takeOver()
	ln := p.process.takeInheritedListener(addr)
	if ln == nil {
		var err error
		if ln, err = hotrestart.Listen(addr, addressInUseTimeout); err != nil {
			return nil, err
		}
	}
	if tcp, ok := ln.(*net.TCPListener); ok {
		p.process.addListener(tcp, addr)
	}
	return ln, nil
}

// takeInheritedListener returns the listener that a predecessor handed over for an address, or nil.
func (s *processState) takeInheritedListener(addr string) net.Listener {
	s.mu.Lock()
	defer s.mu.Unlock()
	ln := s.inheritedListeners[addr]
	delete(s.inheritedListeners, addr)
	return ln
}

// addListener records a listener to be handed over to a successor.
func (s *processState) addListener(ln *net.TCPListener, addr string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listeners, s.addrs = append(s.listeners, ln), append(s.addrs, addr)
}

func (p *Proxy) hotRestartIdentity() hotrestart.Identity {
	return hotrestart.Identity{Format: hotrestart.FormatVersion, Name: p.bootstrap.Name, Listen: p.bootstrap.Listen}
}

func (p *Proxy) hotRestartPath() string {
	return hotrestart.Path(p.bootstrap.HotRestartDir, p.hotRestartIdentity())
}

// takeOver takes over listeners and state from a predecessor, if there is one that offers them.
func (p *Proxy) takeOver() {
	s := p.process
	if p.bootstrap.HotRestartDir == "" || s.takeOverTried {
		return
	}
	s.takeOverTried = true
	inherited, sockets, link, err := hotrestart.TakeOver(p.hotRestartPath(), p.hotRestartIdentity())
	if err != nil {
		if !errors.Is(err, hotrestart.ErrNoPredecessor) {
			p.log.WithError(err).Warn("hot restart: nothing taken over, starting afresh")
		}
		return
	}
	s.inherit(inherited, sockets.Listeners, link)
	p.requestIDsReceived(inherited.RequestIDs, link)
	p.inheritGossip(inherited.Gossip, sockets.Gossip)
	if inherited.HasList && inherited.List.Version >= p.bootstrap.KnownEndpoints.Version {
		p.bootstrap.KnownEndpoints = inherited.List
	}
	p.log.WithFields(logrus.Fields{
		"sockets":  len(sockets.Listeners),
		"version":  inherited.List.Version,
		"disabled": len(inherited.AdminState.Servers),
	}).Info("hot restart: took over from the predecessor")
	go p.followPredecessor(link)
}

// inherit stores what a predecessor has handed over.
func (s *processState) inherit(state *hotrestart.State, listeners []net.Listener, link *hotrestart.Link) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lifecycle.PredecessorServing = true
	s.inheritedState, s.predecessor, s.inheritedListeners = state, link, map[string]net.Listener{}
	for i, ln := range listeners {
		s.inheritedListeners[state.Listeners[i]] = ln
	}
	for _, id := range state.IDs {
		s.ids.Add(id)
	}
	if s.lifecycle.Merge(state.AdminState) {
		s.notifyAdminChange(link)
	}
}

// inheritGossip stores the socket for gossip that a predecessor handed over, which received at an address; nil: none.
// The socket is closed if this process is configured without gossip, or for another address.
func (p *Proxy) inheritGossip(addr string, conn *net.UDPConn) {
	switch {
	case conn == nil:
	case p.bootstrap.Gossip && p.bootstrap.Fleet.Listen == addr:
		p.gossip.inherit(conn)
	default:
		_ = conn.Close() // nothing was written to it
	}
}

// followPredecessor receives the predecessor's updates until it ends.
func (p *Proxy) followPredecessor(link *hotrestart.Link) {
	s := p.process
	err := link.Receive(func(update hotrestart.Update) {
		s.updateReceived(link, update)
		p.requestIDsReceived(update.RequestIDs, link)
		if update.GossipReleased {
			p.gossip.releasedByPredecessor()
		}
	})
	p.log.WithError(err).Info("hot restart: the predecessor has ended")
	p.gossip.releasedByPredecessor()
	s.mu.Lock()
	s.predecessor, s.lifecycle.PredecessorServing = nil, false
	s.mu.Unlock()
	p.applyResourceShare()
}

// startedServing reports to the predecessor that this process serves. From then on, this process instead of the
// predecessor offers hot restarts to successors. The owner calls it.
func (p *Proxy) startedServing() {
	s := p.process
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lifecycle.Serving = true
	for addr, ln := range s.inheritedListeners { // the operator file no longer has their addresses
		p.log.WithField("listen", addr).Warn("hot restart: listener taken over, but not in the operator file: closed")
		ln.Close()
	}
	s.inheritedListeners = nil
	if s.predecessor != nil {
		go send(s.predecessor, hotrestart.Update{Serving: true})
	}
	p.offerHotRestart()
}

// offerHotRestart starts to offer a hot restart to successors. The caller holds the lock of the process state.
func (p *Proxy) offerHotRestart() {
	s := p.process
	if p.bootstrap.HotRestartDir == "" || len(s.listeners) == 0 {
		return
	}
	s.handover.Close()
	var err error
	s.handover, err = hotrestart.Serve(p.hotRestartPath(), p.hotRestartIdentity(), p.handOver, p.serveSuccessor)
	if err != nil {
		p.log.WithError(err).Warn("hot restart: cannot offer to a successor")
	}
}

// ownerSnapshot is the state of the owner that is handed over.
type ownerSnapshot struct {
	list      List
	decisions balance.Snapshot
	ids       []hotrestart.RequestID
}

// handOver returns the state and the sockets for a successor. If the owner does not return its part of the state
// within snapshotTimeout, that part is left out.
func (p *Proxy) handOver() (hotrestart.State, hotrestart.Sockets) {
	snapshots := make(chan ownerSnapshot, 1)
	go p.post(func() {
		now := p.now()
		snapshots <- ownerSnapshot{
			list:      p.endpoints.list(),
			decisions: p.pools.platform.decisions.Snapshot(now),
			ids:       idUpdate(p.unsafeIDs(), noLink, now).RequestIDs,
		}
	})
	state := hotrestart.State{}
	select {
	case snapshot := <-snapshots:
		state.List, state.Snapshot, state.HasList = snapshot.list, snapshot.decisions, true
		state.RequestIDs = snapshot.ids
	case <-time.After(snapshotTimeout):
	}
	s := p.process
	s.mu.Lock()
	defer s.mu.Unlock()
	state.AdminState, state.IDs = cloneAdminState(&s.lifecycle), s.ids.All()
	// The successor looks listeners up by their configured address. The address on which a listener listens may differ
	// ("[::]:8080" for ":8080"): the successor would not find the listener, and its accept queue would be lost.
	state.Listeners = slices.Clone(s.addrs)
	sockets := hotrestart.Sockets{Listeners: slices.Clone(s.listeners), Gossip: p.gossip.socket()}
	if sockets.Gossip != nil {
		state.Gossip = p.bootstrap.Fleet.Listen
	}
	return state, sockets
}

// serveSuccessor exchanges updates with a process that has taken over, until that process ends. err is not nil if
// handing over to it has failed.
func (p *Proxy) serveSuccessor(link *hotrestart.Link, err error) {
	if err != nil {
		p.log.WithError(err).Warn("hot restart: handing over failed")
		return
	}
	s := p.process
	p.log.Info("hot restart: handed over to the successor")
	adminUpdate := s.addSuccessor(link)
	go p.shareAllIDs()
	p.applyResourceShare()
	go send(link, adminUpdate)
	err = link.Receive(func(update hotrestart.Update) {
		s.updateReceived(link, update)
		p.requestIDsReceived(update.RequestIDs, link)
		if update.Serving {
			p.gossip.setReadBySuccessor(true)
			send(link, hotrestart.Update{GossipReleased: true})
		}
	})
	link.Close()
	p.successorEnded(link, err)
}

// addSuccessor records a successor and returns the admin state, which may have changed since handOver returned it.
func (s *processState) addSuccessor(link *hotrestart.Link) hotrestart.Update {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.successors[link] = false
	return s.adminUpdate()
}

// successorEnded makes this process serve again if a successor ends before it.
func (p *Proxy) successorEnded(link *hotrestart.Link, err error) {
	s := p.process
	s.mu.Lock()
	wasServing := s.successors[link]
	delete(s.successors, link)
	s.updateSuccessorServing()
	if wasServing && s.lifecycle.StoppedAt == 0 { // serve again: else no process would accept connections or hand over
		p.log.WithError(err).Warn("hot restart: the successor has ended, serving again")
		p.offerHotRestart()
	}
	successorServing := s.lifecycle.SuccessorServing
	s.mu.Unlock()
	p.gossip.setReadBySuccessor(successorServing)
	p.applyResourceShare()
}

// updateReceived applies an update from another process of this proxy.
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

// updateSuccessorServing recomputes whether a successor serves, and wakes the accept loops. The caller holds the lock.
func (s *processState) updateSuccessorServing() {
	s.lifecycle.SuccessorServing = slices.Contains(slices.Collect(maps.Values(s.successors)), true)
	deadline := pastDeadline
	if s.lifecycle.AcceptsConnections() {
		deadline = time.Time{}
	}
	for _, ln := range s.listeners {
		setAcceptDeadline(ln, deadline)
	}
}

// setAcceptDeadline sets a listener's deadline. It fails only on a closed listener, where accepting has ended anyway.
func setAcceptDeadline(ln *net.TCPListener, deadline time.Time) {
	_ = ln.SetDeadline(deadline)
}

// notifyAdminChange puts the admin state in force, makes the owner apply it, and sends it to all other processes of
// this proxy except one. The caller holds the lock.
func (s *processState) notifyAdminChange(except *hotrestart.Link) {
	s.disabled.store(&s.lifecycle.AdminState)
	select {
	case s.adminChanged <- struct{}{}:
	default:
	}
	update := s.adminUpdate()
	for _, link := range s.links() {
		if link != except {
			go send(link, update) // the process may not be reading, and the admin call waits
		}
	}
}

// adminUpdate returns an update with the whole admin state. The caller holds the lock.
func (s *processState) adminUpdate() hotrestart.Update {
	state := cloneAdminState(&s.lifecycle)
	return hotrestart.Update{AdminState: &state}
}

// send sends an update. It ignores errors: if the link is broken, the goroutine that receives on it gets an error and
// handles it.
func send(link *hotrestart.Link, update hotrestart.Update) { _ = link.Send(update) }

// awaitPredecessorEnd waits until the predecessor has ended if there is a successor, at most until the deadline of the
// shutdown: the two have no link of their own, and what one reports to the other passes through this process.
func (p *Proxy) awaitPredecessorEnd() {
	deadline := p.shutdown.deadline.Load()
	if deadline == nil {
		return
	}
	for p.process.isBetween() && time.Now().Before(*deadline) {
		time.Sleep(acceptPollInterval)
	}
}

// isBetween reports whether there are both a predecessor and a successor.
func (s *processState) isBetween() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.predecessor != nil && len(s.successors) > 0
}

// links returns the links to all other processes of this proxy. The caller holds the lock.
func (s *processState) links() []*hotrestart.Link {
	links := slices.Collect(maps.Keys(s.successors))
	if s.predecessor != nil {
		links = append(links, s.predecessor)
	}
	return links
}

// lockedLinks is links under the lock.
func (s *processState) lockedLinks() []*hotrestart.Link {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.links()
}

// overlaps reports whether there is another process of this proxy.
func (s *processState) overlaps() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.predecessor != nil || len(s.successors) > 0
}

// closeLinks ends all links to other processes.
func (s *processState) closeLinks() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.handover.Close()
	for _, link := range s.links() {
		link.Close()
	}
}
