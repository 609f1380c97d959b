package proxy

import (
	"maps"
	"net"
	"slices"
	"time"

	"lockloom/internal/hotrestart"
)

// The links to the other processes of this proxy: what they report to each other while they run side by side.

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
