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

// addressInUseTimeout is how long a process that does not hand over may still use an address: an overlap and its end.
const addressInUseTimeout = 15 * time.Second

// Listen listens at an address: on the socket that a predecessor hands over, if one serves, or on a new one. Call it
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

// takeInheritedListener returns the listener that a predecessor handed over for an address; nil: none.
func (s *processState) takeInheritedListener(addr string) net.Listener {
	s.mu.Lock()
	defer s.mu.Unlock()
	ln := s.inheritedListeners[addr]
	delete(s.inheritedListeners, addr)
	return ln
}

// addListener notes a listener to be handed over to a successor.
func (s *processState) addListener(ln *net.TCPListener, addr string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listeners, s.addrs = append(s.listeners, ln), append(s.addrs, addr)
}

func (p *Proxy) hotRestartIdentity() hotrestart.Identity {
	return hotrestart.Identity{Format: hotrestart.Format, Name: p.bootstrap.Name, Listen: p.bootstrap.Listen}
}

func (p *Proxy) hotRestartPath() string {
	return hotrestart.Path(p.bootstrap.HotRestartDir, p.hotRestartIdentity())
}

// takeOver takes listeners and state over from a predecessor, if there is one that offers them.
func (p *Proxy) takeOver() {
	s := p.process
	if p.bootstrap.HotRestartDir == "" || s.takeOverTried {
		return
	}
	s.takeOverTried = true
	inherited, listeners, link, err := hotrestart.TakeOver(p.hotRestartPath(), p.hotRestartIdentity())
	if err != nil {
		if !errors.Is(err, hotrestart.ErrNoPredecessor) {
			p.log.WithError(err).Warn("hot restart: nothing taken over, starting afresh")
		}
		return
	}
	s.inherit(inherited, listeners, link)
	if inherited.Listed && inherited.List.Version >= p.bootstrap.Known.Version {
		p.bootstrap.Known = inherited.List
	}
	p.log.WithFields(logrus.Fields{
		"sockets":  len(listeners),
		"version":  inherited.List.Version,
		"disabled": len(inherited.AdminState.Servers),
	}).Info("hot restart: took over from the predecessor")
	go p.followPredecessor(link)
}

// inherit takes in what a predecessor has handed over.
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

// followPredecessor receives the predecessor's updates until it ends.
func (p *Proxy) followPredecessor(link *hotrestart.Link) {
	s := p.process
	err := link.Receive(func(update hotrestart.Update) { s.updateReceived(link, update) })
	p.log.WithError(err).Info("hot restart: the predecessor has ended")
	s.mu.Lock()
	s.predecessor, s.lifecycle.PredecessorServing = nil, false
	s.mu.Unlock()
	p.applyResourceShare()
}

// startedServing tells the predecessor that this process serves, and offers a hot restart in its place. The owner
// calls it.
func (p *Proxy) startedServing() {
	s := p.process
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lifecycle.Serving = true
	for addr, ln := range s.inheritedListeners { // of an operator file that has changed
		p.log.WithField("listen", addr).Warn("hot restart: listener taken over, but not in the operator file: closed")
		ln.Close()
	}
	s.inheritedListeners = nil
	if s.predecessor != nil {
		go send(s.predecessor, hotrestart.Update{Serving: true})
	}
	p.offerHotRestart()
}

// offerHotRestart lets a successor find this process. The caller holds the lock of the process state.
func (p *Proxy) offerHotRestart() {
	s := p.process
	if p.bootstrap.HotRestartDir == "" || len(s.listeners) == 0 {
		return
	}
	s.offer.Close()
	var err error
	s.offer, err = hotrestart.Serve(p.hotRestartPath(), p.hotRestartIdentity(), p.handOver, p.serveSuccessor)
	if err != nil {
		p.log.WithError(err).Warn("hot restart: cannot offer to a successor")
	}
}

// ownerSnapshot is what the owner hands over.
type ownerSnapshot struct {
	list    List
	learned balance.Snapshot
}

// handOver returns what a successor gets: the state and the listeners. An owner that takes too long is done without.
func (p *Proxy) handOver() (hotrestart.State, []*net.TCPListener) {
	snapshots := make(chan ownerSnapshot, 1)
	go p.post(func() {
		snapshots <- ownerSnapshot{list: p.endpoints.list(), learned: p.pools.platform.decisions.Snapshot(p.now())}
	})
	state := hotrestart.State{}
	select {
	case snapshot := <-snapshots:
		state.List, state.Snapshot, state.Listed = snapshot.list, snapshot.learned, true
	case <-time.After(snapshotTimeout):
	}
	s := p.process
	s.mu.Lock()
	defer s.mu.Unlock()
	state.AdminState, state.IDs = cloneAdminState(&s.lifecycle), s.ids.All()
	// As configured: ":8080" is "[::]:8080" once it listens, and the successor would not find its accept queue.
	state.Listeners = slices.Clone(s.addrs)
	return state, slices.Clone(s.listeners)
}

// serveSuccessor keeps in touch with a process that has taken over, until that ends. err is set where handing over to
// it has failed.
func (p *Proxy) serveSuccessor(link *hotrestart.Link, err error) {
	if err != nil {
		p.log.WithError(err).Warn("hot restart: handing over failed")
		return
	}
	s := p.process
	p.log.Info("hot restart: handed over to the successor")
	missed := s.addSuccessor(link)
	p.applyResourceShare()
	go send(link, missed)
	err = link.Receive(func(update hotrestart.Update) { s.updateReceived(link, update) })
	link.Close()
	p.successorEnded(link, err)
}

// addSuccessor notes a successor and returns the admin state, which may have changed while the state was on its way.
func (s *processState) addSuccessor(link *hotrestart.Link) hotrestart.Update {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.successors[link] = false
	return s.adminUpdate()
}

// successorEnded has this process serve again if a successor has ended before it.
func (p *Proxy) successorEnded(link *hotrestart.Link, err error) {
	s := p.process
	s.mu.Lock()
	wasServing := s.successors[link]
	delete(s.successors, link)
	s.updateSuccessorServing()
	if wasServing && s.lifecycle.StoppedAt == 0 { // else nobody would accept, and the next process would find nobody
		p.log.WithError(err).Warn("hot restart: the successor has ended, serving again")
		p.offerHotRestart()
	}
	s.mu.Unlock()
	p.applyResourceShare()
}

// updateReceived takes in what another process of this proxy sends.
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

// updateSuccessorServing decides anew whether a successor serves, and wakes the accept loops. The caller holds the
// lock.
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

// setAcceptDeadline sets a listener's deadline. It fails on a closed listener only, where accepting has ended anyhow.
func setAcceptDeadline(ln *net.TCPListener, deadline time.Time) {
	_ = ln.SetDeadline(deadline)
}

// notifyAdminChange has the owner apply the admin state, and sends it to the other processes of this proxy but one.
// The caller holds the lock.
func (s *processState) notifyAdminChange(except *hotrestart.Link) {
	select {
	case s.adminChanged <- struct{}{}:
	default:
	}
	update := s.adminUpdate()
	if s.predecessor != nil && s.predecessor != except {
		go send(s.predecessor, update)
	}
	for link := range s.successors {
		if link != except {
			go send(link, update) // it may not read, and whoever made the change waits
		}
	}
}

// adminUpdate is the whole admin state, to be sent. The caller holds the lock.
func (s *processState) adminUpdate() hotrestart.Update {
	state := cloneAdminState(&s.lifecycle)
	return hotrestart.Update{AdminState: &state}
}

// send sends an update. Where that fails the link is broken, which whoever receives from it sees too.
func send(link *hotrestart.Link, update hotrestart.Update) { _ = link.Send(update) }

// closeLinks ends all links to other processes.
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
