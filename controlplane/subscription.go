package controlplane

import (
	"cmp"
	"hash/fnv"
	"maps"
	"slices"
	"strconv"
)

// resource is one thing that subscribers are told. Its version follows from its content alone, so that two runs of the service, or two
// services, that say the same give it the same. It never changes.
type resource struct {
	name, version string
	onDemand      bool // told only to those who ask for it by name
	body          any  // the ledger never looks inside
}

// response is one message to a subscriber.
type response struct {
	nonce        uint64
	resources    []*resource
	removedNames []string // of a subscriber that is told differences
	changed      []*resource
	removed      []string
}

const maxOutstanding = 8 // answers on their way to one subscriber of which it is remembered what they say

// subscription is what one subscriber holds of one type of resources: the state machine of a subscription, in both of the protocol's ways,
// differences and state of the world. It does no input or output and never waits: Next says what to send now, if anything. What is
// newest is looked up then, so there is no queue. Make one with newSubscription.
type subscription struct {
	delta     bool // server differences
	fullState bool // told the state of the world in which what is missing is removed: listeners and clusters

	wildcard    bool
	subscribed  map[string]bool
	sent        map[string]*resource // as the last answers say, acknowledged or not; nil: told that it is not there
	acked       map[string]*resource // as acknowledged last
	nacked      map[string]string    // by name the version that is not sent again
	suspects    map[string]bool      // changed in an answer of several that was refused, or taken from it: sent one at a time
	outstanding []*response          // on their way, oldest first
	lastNonce   uint64
	confirmed   bool // it has acknowledged an answer of this stream, or said that it holds all: what it holds is known
	nackCount   int  // answers refused so far
}

// newSubscription is that of a subscriber that holds nothing.
func newSubscription(delta, whole bool) *subscription {
	return &subscription{delta: delta, fullState: whole, subscribed: map[string]bool{}, sent: map[string]*resource{}, acked: map[string]*resource{},
		nacked: map[string]string{}, suspects: map[string]bool{}}
}

// setNames sets what is asked for: names, or all that are not told by name only.
func (l *subscription) setNames(wild bool, names []string) {
	l.wildcard = wild
	l.subscribed = make(map[string]bool, len(names))
	for _, name := range names {
		l.subscribed[name] = true
	}
	l.dropUnsubscribed()
}

// updateNames adds and takes away names, as differences do; "*" is all.
func (l *subscription) updateNames(add, drop []string) {
	for _, name := range add {
		if l.wildcard = l.wildcard || name == "*"; name != "*" {
			l.subscribed[name] = true
			if l.sent[name] == nil { // asked for again, it is told again, though it was told that it is not there
				delete(l.sent, name)
			}
		}
	}
	for _, name := range drop {
		l.wildcard = l.wildcard && name != "*"
		delete(l.subscribed, name)
	}
	l.dropUnsubscribed()
}

// clearReceived drops what is kept of names that nobody asks for any more.
func (l *subscription) dropUnsubscribed() {
	if l.wildcard {
		return
	}
	for name := range l.sent {
		if !l.subscribed[name] {
			delete(l.sent, name)
			delete(l.acked, name)
			delete(l.nacked, name)
			delete(l.suspects, name)
		}
	}
}

// nameCount is how many names are asked for; -1 stands for all.
func (l *subscription) nameCount() int {
	if l.wildcard {
		return -1
	}
	return len(l.subscribed)
}

// setInitialVersions takes in what a subscriber says that it holds since another stream: versions by name.
func (l *subscription) setInitialVersions(versions map[string]string) {
	for name, version := range versions {
		l.sent[name] = &resource{name: name, version: version}
		l.acked[name] = l.sent[name]
	}
}

// setInitialState takes in that it holds all it asks for as they are now.
func (l *subscription) setInitialState(current map[string]*resource) {
	l.confirmed = true
	for _, name := range l.relevantNames(current) {
		if r := current[name]; r != nil {
			l.sent[name], l.acked[name] = r, r
		}
	}
}

// relevantNames are those asked for, and those told that may have to be taken back.
func (l *subscription) relevantNames(current map[string]*resource) []string {
	all := maps.Clone(l.subscribed)
	if l.wildcard {
		for name, r := range current {
			all[name] = all[name] || !r.onDemand
		}
		for name := range l.sent {
			all[name] = true
		}
	}
	maps.DeleteFunc(all, func(_ string, asked bool) bool { return !asked })
	return slices.Sorted(maps.Keys(all))
}

// currentVersion is that of all that is asked for as it is now; Told that of what the subscriber was told. In the state of the world a
// subscriber names the latter when it comes back.
func (l *subscription) currentVersion(current map[string]*resource) string {
	return l.versionOf(current, current)
}

// sentVersion is the version of what the answers so far come to.
func (l *subscription) sentVersion(current map[string]*resource) string {
	return l.versionOf(current, l.sent)
}

func (l *subscription) versionOf(current, of map[string]*resource) string {
	h := fnv.New64a()
	for _, name := range l.relevantNames(current) {
		if r := of[name]; r != nil {
			h.Write([]byte(r.name + "\x00" + r.version + "\x00"))
		}
	}
	return strconv.FormatUint(h.Sum64(), 16)
}

// nextResponse is what to send now; nil: nothing. An answer waits until the one before is acknowledged or refused; an urgent one does not, but
// of listeners and clusters, of which none is and whose answers say all, so that what of two was refused could not be told.
// With keep nothing is taken back yet: what still refers to it is replaced first.
func (l *subscription) nextResponse(current map[string]*resource, urgent, keep bool) *response {
	if len(l.outstanding) > 0 && (!urgent || l.fullState) {
		return nil
	}
	a := &response{}
	var alone *resource
	for _, name := range l.relevantNames(current) {
		now, was := current[name], l.sent[name]
		_, told := l.sent[name]
		switch {
		case now == nil && (!told || was != nil && !keep):
			a.removed = append(a.removed, name)
		case now == nil || was != nil && was.version == now.version && !l.suspects[name] || l.nacked[name] == now.version:
		case l.suspects[name] && !urgent:
			alone = cmp.Or(alone, now)
		default:
			a.changed = append(a.changed, now)
		}
	}
	if len(a.changed) == 0 && alone != nil {
		a.changed = append(a.changed, alone)
	}
	for _, name := range a.removed {
		l.sent[name] = nil
	}
	if len(a.changed) == 0 && (len(a.removed) == 0 || !l.delta && !l.fullState) { // the latter has no words for it
		return nil
	}
	for _, r := range a.changed {
		l.sent[r.name] = r
	}
	a.resources, a.removedNames = a.changed, a.removed
	if l.fullState && !l.delta {
		a.resources = nil
		for _, name := range slices.Sorted(maps.Keys(l.sent)) {
			if r := l.sent[name]; r != nil {
				a.resources = append(a.resources, r)
			}
		}
	}
	l.lastNonce++
	a.nonce = l.lastNonce
	if l.outstanding = append(l.outstanding, a); len(l.outstanding) > maxOutstanding { // danger: one that reads and never acknowledges must hear of drains all the same
		l.outstanding = l.outstanding[1:]
	}
	return a
}

// ack takes in that an answer was taken over. It tells whether that was the last one sent.
func (l *subscription) ack(nonce uint64) (latest bool) {
	if a := l.takeOutstanding(nonce); a != nil {
		if !l.confirmed { // danger: until now one could be refused for what had to stand beside it
			clear(l.nacked)
		}
		l.confirmed = true
		for _, r := range a.resources {
			if !l.wildcard && !l.subscribed[r.name] {
				continue
			}
			l.acked[r.name] = r
			delete(l.suspects, r.name)
			if !l.sentLater(a, r.name) {
				l.sent[r.name] = r
			}
		}
		for _, name := range a.removed {
			delete(l.acked, name)
		}
	}
	return nonce == l.lastNonce
}

// nack takes in that an answer was refused, and tells what of it changed. The last good version stands: what was refused alone is
// not sent again, what was refused among others is sent alone. Danger: one bad resource would keep all others from a subscriber.
func (l *subscription) nack(nonce uint64) (changed []string, latest bool) {
	a := l.takeOutstanding(nonce)
	if a == nil {
		return nil, nonce == l.lastNonce
	}
	l.nackCount++
	for _, r := range a.changed {
		changed = append(changed, r.name)
		if len(a.changed) == 1 {
			l.nacked[r.name] = r.version // one that was a suspect stays so: what the subscriber took before is not known
		} else {
			l.suspects[r.name] = true
		}
		switch good := l.acked[r.name]; {
		case l.sentLater(a, r.name):
		case good != nil:
			l.sent[r.name] = good
		case l.delta || !l.fullState || l.confirmed: // danger: left out of an answer that says all, what it holds from another stream is removed
			delete(l.sent, r.name)
		}
	}
	for _, name := range a.removed { // it may have been refused for what changed beside it
		if r, told := l.sent[name]; told && r == nil && len(a.changed) > 0 {
			delete(l.sent, name)
		}
	}
	return changed, nonce == l.lastNonce
}

// sentLater tells whether an answer that is on its way yet says more of a name than this one.
func (l *subscription) sentLater(a *response, name string) bool {
	return slices.ContainsFunc(l.outstanding, func(o *response) bool {
		return o.nonce > a.nonce && (slices.Contains(o.removed, name) || slices.ContainsFunc(o.changed, func(r *resource) bool { return r.name == name }))
	})
}

func (l *subscription) takeOutstanding(nonce uint64) *response {
	i := slices.IndexFunc(l.outstanding, func(a *response) bool { return a.nonce == nonce })
	if i < 0 {
		return nil
	}
	a := l.outstanding[i]
	l.outstanding = slices.Delete(l.outstanding, i, i+1)
	return a
}

// outstandingCount is how many answers are neither acknowledged nor refused.
func (l *subscription) outstandingCount() int { return len(l.outstanding) }

// nackedNames are the names of which the subscriber keeps an older version than there is, or none.
func (l *subscription) nackedNames(current map[string]*resource) (names []string) {
	for _, name := range slices.Sorted(maps.Keys(l.nacked)) {
		if r := current[name]; r != nil && r.version == l.nacked[name] {
			names = append(names, name)
		}
	}
	return names
}
