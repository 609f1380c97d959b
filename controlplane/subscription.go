package controlplane

import (
	"cmp"
	"hash/fnv"
	"maps"
	"slices"
	"strconv"
)

// maxOutstanding limits the responses of one subscription that are remembered until they are acknowledged or nacked.
const maxOutstanding = 8

// wildcard is the name that subscribes to all resources of a type except those sent on demand only.
const wildcard = "*"

// response is a discovery response for one resource type.
type response struct {
	nonce     uint64
	resources []*resource
	removed   []string    // names of resources that were removed or never existed; only delta responses carry them
	changed   []*resource // those of resources whose version was not sent to the subscriber before
}

// mentions reports whether a response changes or removes a resource.
func (r *response) mentions(name string) bool {
	return slices.Contains(r.removed, name) ||
		slices.ContainsFunc(r.changed, func(changed *resource) bool { return changed.name == name })
}

// subscription is the state of one subscriber for one resource type: the names it subscribed to, the versions sent and
// acknowledged, and the outstanding responses. It covers both variants of the protocol, delta and state-of-the-world.
// It does no I/O and never blocks. No responses are queued: nextResponse derives the response to send from the
// resources that are current when it is called. It is not safe for concurrent use.
type subscription struct {
	delta bool // the delta protocol, in which responses contain differences
	// fullState is set for listeners and clusters. In the state-of-the-world protocol their responses contain all
	// resources, and the subscriber removes those that are missing.
	fullState bool

	wildcard   bool
	subscribed map[string]bool      // by name
	sent       map[string]*resource // by name, as last sent, acknowledged or not; nil: last sent as removed
	acked      map[string]*resource // by name, as last acknowledged
	nacked     map[string]string    // by name, the nacked version, which is not sent again
	// suspects are the names of resources changed by a nacked response that changed several. They are sent one at a time,
	// to find out which of them the subscriber does not accept.
	suspects    map[string]bool
	outstanding []*response // neither acknowledged nor nacked, oldest first
	lastNonce   uint64
	// confirmed is set once the subscriber has acknowledged a response of this stream, or stated that it has the
	// current version. Until then it is not known which resources it has.
	confirmed bool
	nackCount int
}

// newSubscription returns the state of a subscriber that has no resources. The fields of subscription explain delta and
// fullState.
func newSubscription(delta, fullState bool) *subscription {
	return &subscription{
		delta:      delta,
		fullState:  fullState,
		subscribed: map[string]bool{},
		sent:       map[string]*resource{},
		acked:      map[string]*resource{},
		nacked:     map[string]string{},
		suspects:   map[string]bool{},
	}
}

// setNames replaces the subscribed names and the wildcard, as requests of the state-of-the-world protocol do.
func (s *subscription) setNames(all bool, names []string) {
	s.wildcard = all
	s.subscribed = make(map[string]bool, len(names))
	for _, name := range names {
		s.subscribed[name] = true
	}
	s.dropUnsubscribed()
}

// updateNames adds and removes subscribed names, as requests of the delta protocol do.
func (s *subscription) updateNames(subscribe, unsubscribe []string) {
	for _, name := range subscribe {
		if name == wildcard {
			s.wildcard = true
			continue
		}
		s.subscribed[name] = true
		if s.sent[name] == nil { // a repeated subscription is answered again, even if the name still does not exist
			delete(s.sent, name)
		}
	}
	for _, name := range unsubscribe {
		s.wildcard = s.wildcard && name != wildcard
		delete(s.subscribed, name)
	}
	s.dropUnsubscribed()
}

// dropUnsubscribed drops the state of names that are not subscribed to any more.
func (s *subscription) dropUnsubscribed() {
	if s.wildcard {
		return
	}
	for name := range s.sent {
		if !s.subscribed[name] {
			delete(s.sent, name)
			delete(s.acked, name)
			delete(s.nacked, name)
			delete(s.suspects, name)
		}
	}
}

// nameCount returns how many names are subscribed to; -1 stands for the wildcard.
func (s *subscription) nameCount() int {
	if s.wildcard {
		return -1
	}
	return len(s.subscribed)
}

// setInitialVersions records the versions, by name, that a subscriber has from an earlier stream.
func (s *subscription) setInitialVersions(versions map[string]string) {
	for name, version := range versions {
		s.sent[name] = &resource{name: name, version: version}
		s.acked[name] = s.sent[name]
	}
}

// setInitialState records that the subscriber has all current resources that it subscribed to.
func (s *subscription) setInitialState(current map[string]*resource) {
	s.confirmed = true
	for _, name := range s.relevantNames(current) {
		if r := current[name]; r != nil {
			s.sent[name], s.acked[name] = r, r
		}
	}
}

// relevantNames returns the sorted names of the resources that a response can change or remove: the subscribed ones
// and, with the wildcard, all current ones that are not on demand, and all that were sent, as they may have to be
// removed.
func (s *subscription) relevantNames(current map[string]*resource) []string {
	relevant := maps.Clone(s.subscribed)
	if s.wildcard {
		for name, r := range current {
			relevant[name] = relevant[name] || !r.onDemand
		}
		for name := range s.sent {
			relevant[name] = true
		}
	}
	maps.DeleteFunc(relevant, func(_ string, isRelevant bool) bool { return !isRelevant })
	return slices.Sorted(maps.Keys(relevant))
}

// currentVersion returns the version of the current resources that are subscribed to.
func (s *subscription) currentVersion(current map[string]*resource) string {
	return s.versionOf(current, current)
}

// sentVersion returns the version of the resources that the subscriber was last sent. In the state-of-the-world
// protocol, a subscriber that reconnects states it in its first request.
func (s *subscription) sentVersion(current map[string]*resource) string {
	return s.versionOf(current, s.sent)
}

// versionOf returns a hash of the names and versions of those resources whose names are relevant to the subscription
// (see relevantNames, for which current is needed). The hash depends on nothing else, so every run of the control plane
// gives the same content the same version.
func (s *subscription) versionOf(current, resources map[string]*resource) string {
	hash := fnv.New64a()
	for _, name := range s.relevantNames(current) {
		if r := resources[name]; r != nil {
			hash.Write([]byte(r.name + "\x00" + r.version + "\x00"))
		}
	}
	return strconv.FormatUint(hash.Sum64(), 16)
}

// nextResponse returns the response to send now, or nil if there is none to send. It returns nil while an earlier
// response is outstanding, that is, neither acknowledged nor nacked. Urgent changes do not wait for that. Changes of
// listeners and clusters always wait: they are never urgent, and since each of their responses contains all resources,
// a nack could not be attributed to one of two outstanding responses. With keepRemoved no removals of resources that
// the subscriber has are sent yet, because its listeners or routes may still refer to them.
func (s *subscription) nextResponse(current map[string]*resource, urgent, keepRemoved bool) *response {
	if len(s.outstanding) > 0 && (!urgent || s.fullState) {
		return nil
	}
	next := s.changes(current, urgent, keepRemoved)
	for _, name := range next.removed {
		s.sent[name] = nil
	}
	canSendRemoved := s.delta || s.fullState
	if len(next.changed) == 0 && (len(next.removed) == 0 || !canSendRemoved) {
		return nil
	}
	for _, r := range next.changed {
		s.sent[r.name] = r
	}
	next.resources = next.changed
	if s.fullState && !s.delta {
		next.resources = s.allSent()
	}
	s.lastNonce++
	next.nonce = s.lastNonce
	s.outstanding = append(s.outstanding, next)
	if len(s.outstanding) > maxOutstanding { // a subscriber that never acknowledges still receives urgent changes
		s.outstanding = s.outstanding[1:]
	}
	return next
}

// changes returns a response with what changed since the last one, without its nonce and resources.
func (s *subscription) changes(current map[string]*resource, urgent, keepRemoved bool) *response {
	next := &response{}
	var suspect *resource // the first suspect that may be sent again
	for _, name := range s.relevantNames(current) {
		now, before := current[name], s.sent[name]
		_, wasSent := s.sent[name]
		switch {
		case now == nil:
			if !wasSent || before != nil && !keepRemoved {
				next.removed = append(next.removed, name)
			}
		case before != nil && before.version == now.version && !s.suspects[name]:
		case s.nacked[name] == now.version:
		case s.suspects[name] && !urgent:
			suspect = cmp.Or(suspect, now)
		default:
			next.changed = append(next.changed, now)
		}
	}
	if len(next.changed) == 0 && suspect != nil {
		next.changed = append(next.changed, suspect)
	}
	return next
}

// allSent returns all resources as last sent, ordered by name. A response with the full state contains them all.
func (s *subscription) allSent() (resources []*resource) {
	for _, name := range slices.Sorted(maps.Keys(s.sent)) {
		if r := s.sent[name]; r != nil {
			resources = append(resources, r)
		}
	}
	return resources
}

// ack records that a response was acknowledged. It reports whether that response was the last one sent.
func (s *subscription) ack(nonce uint64) (latest bool) {
	acked := s.takeOutstanding(nonce)
	if acked == nil {
		return nonce == s.lastNonce
	}
	if !s.confirmed { // until now a good resource could be nacked because of a bad one in the same response
		clear(s.nacked)
	}
	s.confirmed = true
	for _, r := range acked.resources {
		if !s.wildcard && !s.subscribed[r.name] {
			continue
		}
		s.acked[r.name] = r
		delete(s.suspects, r.name)
		if !s.sentLater(acked, r.name) {
			s.sent[r.name] = r
		}
	}
	for _, name := range acked.removed {
		delete(s.acked, name)
	}
	return nonce == s.lastNonce
}

// nack records that a response was nacked and returns the names that it changed. It reports whether that response was
// the last one sent. The last acknowledged versions stay in effect. A resource that was changed alone is not sent again
// in this version. Resources that were changed together are sent again one at a time, since one bad resource would
// otherwise keep all others from the subscriber.
func (s *subscription) nack(nonce uint64) (changed []string, latest bool) {
	nacked := s.takeOutstanding(nonce)
	if nacked == nil {
		return nil, nonce == s.lastNonce
	}
	s.nackCount++
	for _, r := range nacked.changed {
		changed = append(changed, r.name)
		if len(nacked.changed) == 1 {
			// The name also stays in suspects if it is there: the subscriber may have accepted a version of this resource
			// from the earlier response that it nacked because of another, so which version it has is not known.
			s.nacked[r.name] = r.version
		} else {
			s.suspects[r.name] = true
		}
		if !s.sentLater(nacked, r.name) {
			s.revertSent(r.name)
		}
	}
	if len(nacked.changed) > 0 { // the removals may have been nacked only because of the changes
		s.resendRemovals(nacked.removed)
	}
	return changed, nonce == s.lastNonce
}

// revertSent records that the subscriber has the version of a resource that it last acknowledged.
func (s *subscription) revertSent(name string) {
	if acked := s.acked[name]; acked != nil {
		s.sent[name] = acked
		return
	}
	// If responses contain all resources, a subscriber removes those that are left out, even if it has them from an
	// earlier stream. So the resource stays in until it is known what the subscriber has.
	if s.delta || !s.fullState || s.confirmed {
		delete(s.sent, name)
	}
}

// resendRemovals marks names that were sent as removed as not sent, so that they are sent as removed again.
func (s *subscription) resendRemovals(names []string) {
	for _, name := range names {
		if r, wasSent := s.sent[name]; wasSent && r == nil {
			delete(s.sent, name)
		}
	}
}

// sentLater reports whether an outstanding response that was sent after this one mentions a name.
func (s *subscription) sentLater(earlier *response, name string) bool {
	return slices.ContainsFunc(s.outstanding, func(r *response) bool {
		return r.nonce > earlier.nonce && r.mentions(name)
	})
}

// takeOutstanding removes a response from the outstanding ones and returns it; nil if it is not among them.
func (s *subscription) takeOutstanding(nonce uint64) *response {
	i := slices.IndexFunc(s.outstanding, func(r *response) bool { return r.nonce == nonce })
	if i < 0 {
		return nil
	}
	taken := s.outstanding[i]
	s.outstanding = slices.Delete(s.outstanding, i, i+1)
	return taken
}

// outstandingCount returns how many responses are neither acknowledged nor nacked.
func (s *subscription) outstandingCount() int { return len(s.outstanding) }

// nackedNames returns the names whose current version the subscriber nacked: it keeps an older one, or none.
func (s *subscription) nackedNames(current map[string]*resource) (names []string) {
	for _, name := range slices.Sorted(maps.Keys(s.nacked)) {
		if r := current[name]; r != nil && r.version == s.nacked[name] {
			names = append(names, name)
		}
	}
	return names
}
