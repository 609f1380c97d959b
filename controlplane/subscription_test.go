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

// stateVersions is a ledger, a subscriber and the messages on their way between them, for every interleaving. Two resources have versions that
// count up; those that end in 2 are refused.
type simulation struct {
	delta, fullState, partial bool // partly: of a refused answer the subscriber takes what is good
	current                   map[string]*resource
	versionCount              int
	subscription              *subscription
	responses                 []*response
	removals                  int               // of b, so far
	removalsBefore            map[*response]int // so many of them it was sent
	removalsSeen              int               // so many of them b was last taken by the subscriber from an answer
	replies                   []reply
	held                      map[string]string // by the subscriber
	lastAcked                 map[string]string // versions that it acknowledged last, since the name was taken away
}

type reply struct {
	nonce uint64
	nack  bool
}

func newSimulation(delta, whole, partly bool) *simulation {
	w := &simulation{delta: delta, fullState: whole, partial: partly, current: map[string]*resource{}, held: map[string]string{}, lastAcked: map[string]string{},
		removalsBefore: map[*response]int{}}
	w.connect()
	return w
}

// connect opens a stream: what was on its way on the last one is lost.
func (w *simulation) connect() {
	w.subscription, w.responses, w.replies = newSubscription(w.delta, w.fullState), nil, nil
	if w.delta {
		w.subscription.setInitialVersions(w.held)
		w.subscription.updateNames([]string{"a", "b"}, nil)
	} else {
		w.subscription.setNames(false, []string{"a", "b"})
		if len(w.held) > 0 {
			all := map[string]*resource{}
			for name, version := range w.held {
				all[name] = &resource{name: name, version: version}
			}
			if w.subscription.currentVersion(all) == w.subscription.currentVersion(w.current) {
				w.subscription.setInitialState(w.current)
			}
		}
	}
	w.send(false)
}

func (w *simulation) send(urgent bool) bool {
	a := w.subscription.nextResponse(w.current, urgent, false)
	if a != nil {
		w.responses = append(w.responses, a)
		w.removalsBefore[a] = w.removals
	}
	return a != nil
}

// actions are all that can happen.
var actions = []func(w *simulation){
	func(w *simulation) { w.update("a"); w.send(false) },
	func(w *simulation) { w.update("a"); w.update("b"); w.send(true) },
	func(w *simulation) { delete(w.current, "b"); w.removals++; w.send(true) },
	func(w *simulation) { w.deliverResponse() },
	func(w *simulation) { w.hearReply(); w.send(false) },
	func(w *simulation) { w.connect() },
}

func (w *simulation) update(name string) {
	w.versionCount++
	w.current[name] = &resource{name: name, version: fmt.Sprint("v", w.versionCount%4)} // versions may come back
}

func isBad(version string) bool { return strings.HasSuffix(version, "2") }

// deliverResponse has the subscriber take the next answer.
func (w *simulation) deliverResponse() bool {
	if len(w.responses) == 0 {
		return false
	}
	a := w.responses[0]
	w.responses = w.responses[1:]
	refuse := slices.ContainsFunc(a.resources, func(r *resource) bool { return isBad(r.version) })
	w.replies = append(w.replies, reply{a.nonce, refuse})
	if refuse && !w.partial {
		return true
	}
	next := maps.Clone(w.held)
	if !w.delta && w.fullState {
		next = map[string]string{}
	}
	for _, r := range a.resources {
		if !isBad(r.version) {
			next[r.name] = r.version
			if !refuse {
				w.lastAcked[r.name] = r.version
			}
			if r.name == "b" {
				w.removalsSeen = w.removalsBefore[a]
			}
		} else if was, ok := w.held[r.name]; ok {
			next[r.name] = was
		}
	}
	if w.delta {
		for _, name := range a.removed {
			delete(next, name)
		}
	}
	if next["b"] == "" && w.removalsBefore[a] > w.removalsSeen { // taken away, and rightly
		delete(w.lastAcked, "b")
	}
	w.held = next
	return true
}

func (w *simulation) hearReply() bool {
	if len(w.replies) == 0 {
		return false
	}
	r := w.replies[0]
	w.replies = w.replies[1:]
	if r.nack {
		w.subscription.nack(r.nonce)
	} else {
		w.subscription.ack(r.nonce)
	}
	return true
}

// settle lets all messages arrive, and says what is wrong then.
func (w *simulation) settle() string {
	for n := 0; w.deliverResponse() || w.hearReply() || w.send(false); n++ {
		if n > 200 {
			return "it never comes to rest"
		}
	}
	for _, name := range []string{"a", "b"} {
		r, held := w.current[name], w.held[name]
		other := map[string]string{"a": "b", "b": "a"}[name]
		if o := w.current[other]; !w.delta && w.fullState && !w.partial && o != nil && isBad(o.version) && !w.subscription.confirmed {
			continue // an answer says all, and what is refused cannot be left out of the first: what it holds of that is not known
		}
		switch {
		case r == nil && held != "" && (w.delta || w.fullState):
			return name + " is held though it was taken away"
		case r != nil && !isBad(r.version) && held != r.version:
			return fmt.Sprintf("%s: %q is held, %q is newest and good", name, held, r.version)
		case r != nil && isBad(r.version) && held == "" && w.lastAcked[name] != "":
			return fmt.Sprintf("%s: nothing is held, %q was the last good one", name, w.lastAcked[name])
		}
	}
	return ""
}

// In every interleaving of updates, answers, acknowledgements, refusals and new streams up to a depth, each kind of subscriber comes to
// hold the newest state that it takes.
func TestEverySubscriberConverges(t *testing.T) {
	const depth = 5
	for _, kind := range [][3]bool{{true, false, false}, {true, true, true}, {false, true, false}, {false, true, true}, {false, false, false}, {false, false, true}} {
		var path [depth]int
		for n, all := 0, power(len(actions), depth); n < all; n++ {
			w := newSimulation(kind[0], kind[1], kind[2])
			for k, rest := 0, n; k < depth; k, rest = k+1, rest/len(actions) {
				path[k] = rest % len(actions)
				actions[path[k]](w)
			}
			if fault := w.settle(); fault != "" {
				t.Fatalf("delta, whole, partly %v: after %v: %s", kind, path, fault)
			}
		}
	}
}

func power(x, n int) int {
	out := 1
	for range n {
		out *= x
	}
	return out
}

// The same for long histories, drawn.
func TestLongHistoriesConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newSimulation(rapid.Bool().Draw(t, "delta"), rapid.Bool().Draw(t, "whole"), rapid.Bool().Draw(t, "partly"))
		for range rapid.IntRange(0, 60).Draw(t, "length") {
			actions[rapid.IntRange(0, len(actions)-1).Draw(t, "act")](w)
		}
		assert.Empty(t, w.settle())
	})
}

// An urgent answer waits for nobody; another waits for the one before.
func TestUrgentResponseDoesNotWaitForAcknowledgement(t *testing.T) {
	w := newSimulation(true, false, false)
	assert.Empty(t, w.settle())
	w.update("a")
	assert.True(t, w.send(false))
	for range 3 * maxOutstanding {
		w.update("a")
		assert.False(t, w.send(false), "the one before is not acknowledged")
		assert.True(t, w.send(true))
	}
	assert.Equal(t, maxOutstanding, w.subscription.outstandingCount())
	assert.Empty(t, w.settle())
}

func TestWildcardAndOnDemandNames(t *testing.T) {
	current := map[string]*resource{"x": {name: "x", version: "1"}, "y": {name: "y", version: "1", onDemand: true}}
	names := func(a *response) (out []string) {
		for _, r := range a.resources {
			out = append(out, r.name)
		}
		return out
	}
	l := newSubscription(true, true)
	l.updateNames([]string{"*"}, nil)
	a := l.nextResponse(current, false, false)
	assert.Equal(t, []string{"x"}, names(a))
	l.ack(a.nonce)
	l.updateNames([]string{"y", "z"}, nil)
	a = l.nextResponse(current, false, false)
	assert.Equal(t, []string{"y"}, names(a))
	assert.Equal(t, []string{"z"}, a.removed, "asked for, and there is none")
	l.ack(a.nonce)
	assert.Nil(t, l.nextResponse(current, false, false))
	delete(current, "x")
	assert.Nil(t, l.nextResponse(current, false, true), "kept for now")
	assert.Equal(t, []string{"x"}, l.nextResponse(current, false, false).removed)
	l.updateNames(nil, []string{"*", "y"})
	assert.Equal(t, 1, l.nameCount())
}
