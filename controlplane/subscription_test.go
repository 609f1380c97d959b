package controlplane

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

// simulation models a subscription, its subscriber and the messages in flight between them, so that every interleaving
// can be tested. There are two resources, a and b. Their versions are v0 to v3 in turn; the subscriber nacks v2.
type simulation struct {
	subscriberKind
	current        map[string]*resource
	versionCount   int
	subscription   *subscription
	responses      []*response
	removals       int               // number of removals of resource b so far
	removalsBefore map[*response]int // number of removals of resource b before a response was sent
	removalsSeen   int               // value in removalsBefore of the last response from which resource b was accepted
	replies        []reply
	held           map[string]string // versions that the subscriber has
	lastAcked      map[string]string // versions that the subscriber acknowledged last, if after the last removal
}

// subscriberKind is the protocol variant and the behavior of a subscriber.
type subscriberKind struct {
	delta, fullState bool
	partial          bool // the subscriber accepts the good resources of a nacked response
}

type reply struct {
	nonce uint64
	nack  bool
}

func newSimulation(kind subscriberKind) *simulation {
	s := &simulation{
		subscriberKind: kind,
		current:        map[string]*resource{},
		held:           map[string]string{},
		lastAcked:      map[string]string{},
		removalsBefore: map[*response]int{},
	}
	s.connect()
	return s
}

// connect opens a new stream. Messages in flight on the previous one are lost.
func (s *simulation) connect() {
	s.subscription, s.responses, s.replies = newSubscription(s.delta, s.fullState), nil, nil
	if s.delta {
		s.subscription.setInitialVersions(s.held)
		s.subscription.updateNames([]string{"a", "b"}, nil)
	} else {
		s.subscription.setNames(false, []string{"a", "b"})
		s.stateVersion()
	}
	s.send(false)
}

// stateVersion has the subscriber state its version, as in the first request of the state-of-the-world protocol.
func (s *simulation) stateVersion() {
	if len(s.held) == 0 {
		return
	}
	held := map[string]*resource{}
	for name, version := range s.held {
		held[name] = &resource{name: name, version: version}
	}
	if s.subscription.currentVersion(held) == s.subscription.currentVersion(s.current) {
		s.subscription.setInitialState(s.current)
	}
}

// send sends the next response, and reports whether there was one.
func (s *simulation) send(urgent bool) bool {
	next := s.subscription.nextResponse(s.current, urgent, false)
	if next != nil {
		s.responses = append(s.responses, next)
		s.removalsBefore[next] = s.removals
	}
	return next != nil
}

// actions are the steps that a simulation can take.
var actions = []func(s *simulation){
	func(s *simulation) { s.update("a"); s.send(false) },
	func(s *simulation) { s.update("a"); s.update("b"); s.send(true) },
	func(s *simulation) { delete(s.current, "b"); s.removals++; s.send(true) },
	func(s *simulation) { s.deliverResponse() },
	func(s *simulation) { s.deliverReply(); s.send(false) },
	func(s *simulation) { s.connect() },
}

func (s *simulation) update(name string) {
	s.versionCount++
	version := fmt.Sprint("v", s.versionCount%4) // versions repeat
	s.current[name] = &resource{name: name, version: version}
}

func isBad(version string) bool { return strings.HasSuffix(version, "2") }

// deliverResponse delivers the next response to the subscriber, and reports whether there was one.
func (s *simulation) deliverResponse() bool {
	if len(s.responses) == 0 {
		return false
	}
	next := s.responses[0]
	s.responses = s.responses[1:]
	nack := slices.ContainsFunc(next.resources, func(r *resource) bool { return isBad(r.version) })
	s.replies = append(s.replies, reply{next.nonce, nack})
	if nack && !s.partial {
		return true
	}
	held := s.accept(next, nack)
	if held["b"] == "" && s.removalsBefore[next] > s.removalsSeen { // the response was sent after the removal
		delete(s.lastAcked, "b")
	}
	s.held = held
	return true
}

// accept returns the versions that the subscriber has after a response. From a nacked response it accepts the good
// resources.
func (s *simulation) accept(next *response, nack bool) map[string]string {
	held := maps.Clone(s.held)
	if !s.delta && s.fullState {
		held = map[string]string{}
	}
	for _, r := range next.resources {
		if isBad(r.version) {
			if version, ok := s.held[r.name]; ok {
				held[r.name] = version
			}
			continue
		}
		held[r.name] = r.version
		if !nack {
			s.lastAcked[r.name] = r.version
		}
		if r.name == "b" {
			s.removalsSeen = s.removalsBefore[next]
		}
	}
	if s.delta {
		for _, name := range next.removed {
			delete(held, name)
		}
	}
	return held
}

// deliverReply delivers the next acknowledgement or nack, and reports whether there was one.
func (s *simulation) deliverReply() bool {
	if len(s.replies) == 0 {
		return false
	}
	next := s.replies[0]
	s.replies = s.replies[1:]
	if next.nack {
		s.subscription.nack(next.nonce)
	} else {
		s.subscription.ack(next.nonce)
	}
	return true
}

// settle delivers all messages, and returns a description of the fault that it finds then, or "".
func (s *simulation) settle() string {
	const maxMessages = 200
	for n := 0; s.deliverResponse() || s.deliverReply() || s.send(false); n++ {
		if n > maxMessages {
			return "messages are still exchanged after maxMessages deliveries"
		}
	}
	if fault := s.check("a", "b"); fault != "" {
		return fault
	}
	return s.check("b", "a")
}

// check returns a description of the fault in the version that the subscriber has of a resource, or "".
func (s *simulation) check(name, other string) string {
	if s.isUnknown(other) {
		return ""
	}
	current, held := s.current[name], s.held[name]
	switch {
	case current == nil:
		if held != "" && (s.delta || s.fullState) {
			return name + " is held though it was removed"
		}
	case !isBad(current.version):
		if held != current.version {
			return fmt.Sprintf("%s: %q is held, %q is current and good", name, held, current.version)
		}
	case held == "" && s.lastAcked[name] != "":
		return fmt.Sprintf("%s: nothing is held, %q was the last good version", name, s.lastAcked[name])
	}
	return ""
}

// isUnknown reports whether it cannot be known what the subscriber has, because the other resource is nacked: the first
// response of a stream contains all resources, and a bad one cannot be left out of it.
func (s *simulation) isUnknown(other string) bool {
	if s.delta || !s.fullState || s.partial || s.subscription.confirmed {
		return false
	}
	r := s.current[other]
	return r != nil && isBad(r.version)
}

// In every interleaving of updates, responses, acknowledgements, nacks and new streams, up to a depth, each kind of
// subscriber ends up with the newest state that it accepts.
func TestEverySubscriberConverges(t *testing.T) {
	const depth = 5
	for _, kind := range []subscriberKind{
		{delta: true},
		{delta: true, fullState: true, partial: true},
		{fullState: true},
		{fullState: true, partial: true},
		{},
		{partial: true},
	} {
		var path [depth]int
		for n, count := 0, power(len(actions), depth); n < count; n++ {
			s := newSimulation(kind)
			rest := n
			for step := range path {
				path[step] = rest % len(actions)
				rest /= len(actions)
				actions[path[step]](s)
			}
			if fault := s.settle(); fault != "" {
				t.Fatalf("%+v: after %v: %s", kind, path, fault)
			}
		}
	}
}

func power(base, exponent int) int {
	result := 1
	for range exponent {
		result *= base
	}
	return result
}

// Like TestEverySubscriberConverges, for long random sequences of actions.
func TestLongHistoriesConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(subscriberKind{
			delta:     rapid.Bool().Draw(t, "delta"),
			fullState: rapid.Bool().Draw(t, "full state"),
			partial:   rapid.Bool().Draw(t, "partial"),
		})
		for range rapid.IntRange(0, 60).Draw(t, "length") {
			actions[rapid.IntRange(0, len(actions)-1).Draw(t, "action")](s)
		}
		assert.Empty(t, s.settle())
	})
}

// An urgent response is sent at once. Any other response is sent only after the previous response is acknowledged.
func TestUrgentResponseDoesNotWaitForAcknowledgement(t *testing.T) {
	s := newSimulation(subscriberKind{delta: true})
	assert.Empty(t, s.settle())
	s.update("a")
	assert.True(t, s.send(false))
	for range 3 * maxOutstanding {
		s.update("a")
		assert.False(t, s.send(false), "the previous response is not acknowledged")
		assert.True(t, s.send(true))
	}
	assert.Equal(t, maxOutstanding, s.subscription.outstandingCount())
	assert.Empty(t, s.settle())
}

func TestWildcardAndOnDemandNames(t *testing.T) {
	current := map[string]*resource{
		"x": {name: "x", version: "1"},
		"y": {name: "y", version: "1", onDemand: true},
	}
	names := func(r *response) (names []string) {
		for _, sent := range r.resources {
			names = append(names, sent.name)
		}
		return names
	}
	subscription := newSubscription(true, true)
	subscription.updateNames([]string{"*"}, nil)
	next := subscription.nextResponse(current, false, false)
	assert.Equal(t, []string{"x"}, names(next))
	subscription.ack(next.nonce)
	subscription.updateNames([]string{"y", "z"}, nil)
	next = subscription.nextResponse(current, false, false)
	assert.Equal(t, []string{"y"}, names(next))
	assert.Equal(t, []string{"z"}, next.removed, "a subscribed name that does not exist is sent as removed")
	subscription.ack(next.nonce)
	assert.Nil(t, subscription.nextResponse(current, false, false))
	delete(current, "x")
	assert.Nil(t, subscription.nextResponse(current, false, true), "with keepRemoved, the removal is not sent yet")
	assert.Equal(t, []string{"x"}, subscription.nextResponse(current, false, false).removed)
	subscription.updateNames(nil, []string{"*", "y"})
	assert.Equal(t, 1, subscription.nameCount())
}
