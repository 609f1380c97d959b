package proxy

import (
	"encoding/hex"
	"sync"

	"lockloom/internal/hotrestart"
)

// sharedIDs reports to the other processes of this proxy, while there are any, which requests must not run there. The
// owner adds changes; a goroutine sends them, so that the owner does not wait for another process.
type sharedIDs struct {
	signal  chan struct{}
	mu      sync.Mutex
	changes []idChange // not sent yet, in their order
}

// idChange is a change of a retained id; a retention that has ended lets it run again.
type idChange struct {
	id        idHash
	retention idRetention
	origin    *hotrestart.Link // the process that has reported the change, nil: this one
}

// noLink is for a process to which there is no link yet.
var noLink = &hotrestart.Link{}

func (s *sharedIDs) init() { s.signal = make(chan struct{}, 1) }

// add adds changes to be sent.
func (s *sharedIDs) add(changes ...idChange) {
	s.mu.Lock()
	s.changes = append(s.changes, changes...)
	if excess := len(s.changes) - maxRetainedIDs; excess > 0 {
		s.changes = s.changes[excess:] // the other process does not receive: its link fails within seconds
	}
	s.mu.Unlock()
	select {
	case s.signal <- struct{}{}:
	default:
	}
}

// take returns the changes that were not sent yet.
func (s *sharedIDs) take() []idChange {
	s.mu.Lock()
	defer s.mu.Unlock()
	changes := s.changes
	s.changes = nil
	return changes
}

// sendSharedIDs sends changes to the other processes until the proxy ends.
func (p *Proxy) sendSharedIDs() {
	for {
		select {
		case <-p.sharedIDs.signal:
		case <-p.loop.quit:
			return
		}
		changes := p.sharedIDs.take()
		for _, link := range p.process.lockedLinks() {
			if update := idUpdate(changes, link, p.now()); len(update.RequestIDs) > 0 {
				send(link, update)
			}
		}
	}
}

// shareIDs reports changes to the other processes, if there are any.
func (p *Proxy) shareIDs(changes ...idChange) {
	if len(changes) > 0 && p.process.overlaps() {
		p.sharedIDs.add(changes...)
	}
}

// idUpdate returns the update with the changes for one process: all but those that it has reported itself.
func idUpdate(changes []idChange, to *hotrestart.Link, now float64) (update hotrestart.Update) {
	for _, change := range changes {
		if change.origin != to {
			update.RequestIDs = append(update.RequestIDs, change.message(now))
		}
	}
	return update
}

func (c *idChange) message(now float64) hotrestart.RequestID {
	message := hotrestart.RequestID{Hash: hex.EncodeToString(c.id[:])}
	if c.retention.until > now {
		message.From, message.Until = c.retention.from-now, c.retention.until-now
	}
	return message
}

// parseIDChanges returns the changes that a process has sent, without malformed ones.
func parseIDChanges(messages []hotrestart.RequestID, origin *hotrestart.Link, now float64) (changes []idChange) {
	for _, message := range messages {
		hash, err := hex.DecodeString(message.Hash)
		if err != nil || len(hash) != len(idHash{}) {
			continue
		}
		retention := idRetention{from: now + message.From, until: now + message.Until}
		changes = append(changes, idChange{idHash(hash), retention, origin})
	}
	return changes
}

// requestIDsReceived applies changes from another process and passes them on to any third one.
func (p *Proxy) requestIDsReceived(messages []hotrestart.RequestID, origin *hotrestart.Link) {
	if len(messages) == 0 {
		return
	}
	p.post(func() {
		now := p.now()
		changes := parseIDChanges(messages, origin, now)
		for _, change := range changes {
			p.requests.ids.retain(change.id, change.retention, now)
		}
		p.shareIDs(changes...)
	})
}

// shareOpenID reports a request that was admitted and must not run twice.
func (p *Proxy) shareOpenID(req *request) {
	if req.mayNotRepeat() && p.process.overlaps() {
		p.sharedIDs.add(idChange{id: hashID(req.id), retention: req.openRetention()})
	}
}

// shareReleasedID reports that a request is released and may run again.
func (p *Proxy) shareReleasedID(req *request) {
	if req.mayNotRepeat() && p.process.overlaps() {
		p.sharedIDs.add(idChange{id: hashID(req.id)})
	}
}

// unsafeIDs returns the ids of this process that must not run at another one. The owner calls it.
func (p *Proxy) unsafeIDs() []idChange {
	var changes []idChange
	for id, retention := range p.requests.ids.retained {
		changes = append(changes, idChange{id: id, retention: retention})
	}
	for _, req := range p.requests.byRef {
		if req != nil && req.mayNotRepeat() {
			changes = append(changes, idChange{id: hashID(req.id), retention: req.openRetention()})
		}
	}
	return changes
}

// shareAllIDs reports all ids, since a process that has just taken over may have missed changes.
func (p *Proxy) shareAllIDs() { p.post(func() { p.shareIDs(p.unsafeIDs()...) }) }
