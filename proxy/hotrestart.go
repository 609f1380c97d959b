package proxy

import (
	"errors"
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
