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

// world is a ledger, a subscriber and the messages on their way between them, for every interleaving. Two resources have versions that
// count up; those that end in 2 are refused.
type world struct {
	delta, whole, partly bool // partly: of a refused answer the subscriber takes what is good
	current              map[string]*Resource
	count                int
	ledger               *Ledger
	answers              []*Answer
	takeaways            int             // of b, so far
	after                map[*Answer]int // so many of them it was sent
	since                int             // so many of them b was last taken by the subscriber from an answer
	replies              []reply
	holds                map[string]string // by the subscriber
	best                 map[string]string // versions that it acknowledged last, since the name was taken away
}

type reply struct {
	nonce uint64
	bad   bool
}

func newWorld(delta, whole, partly bool) *world {
	w := &world{delta: delta, whole: whole, partly: partly, current: map[string]*Resource{}, holds: map[string]string{}, best: map[string]string{},
		after: map[*Answer]int{}}
	w.connect()
	return w
}

// connect opens a stream: what was on its way on the last one is lost.
func (w *world) connect() {
	w.ledger, w.answers, w.replies = NewLedger(w.delta, w.whole), nil, nil
	if w.delta {
		w.ledger.Holds(w.holds)
		w.ledger.Change([]string{"a", "b"}, nil)
	} else {
		w.ledger.Ask(false, []string{"a", "b"})
		if len(w.holds) > 0 {
			all := map[string]*Resource{}
			for name, version := range w.holds {
				all[name] = &Resource{Name: name, Version: version}
			}
			if w.ledger.Version(all) == w.ledger.Version(w.current) {
				w.ledger.HoldsAll(w.current)
			}
		}
	}
	w.send(false)
}

func (w *world) send(urgent bool) bool {
	a := w.ledger.Next(w.current, urgent, false)
	if a != nil {
		w.answers = append(w.answers, a)
		w.after[a] = w.takeaways
	}
	return a != nil
}

// acts are all that can happen.
var acts = []func(w *world){
	func(w *world) { w.update("a"); w.send(false) },
	func(w *world) { w.update("a"); w.update("b"); w.send(true) },
	func(w *world) { delete(w.current, "b"); w.takeaways++; w.send(true) },
	func(w *world) { w.deliver() },
	func(w *world) { w.heard(); w.send(false) },
	func(w *world) { w.connect() },
}

func (w *world) update(name string) {
	w.count++
	w.current[name] = &Resource{Name: name, Version: fmt.Sprint("v", w.count%4)} // versions may come back
}

func bad(version string) bool { return strings.HasSuffix(version, "2") }

// deliver has the subscriber take the next answer.
func (w *world) deliver() bool {
	if len(w.answers) == 0 {
		return false
	}
	a := w.answers[0]
	w.answers = w.answers[1:]
	refuse := slices.ContainsFunc(a.Resources, func(r *Resource) bool { return bad(r.Version) })
	w.replies = append(w.replies, reply{a.Nonce, refuse})
	if refuse && !w.partly {
		return true
	}
	next := maps.Clone(w.holds)
	if !w.delta && w.whole {
		next = map[string]string{}
	}
	for _, r := range a.Resources {
		if !bad(r.Version) {
			next[r.Name] = r.Version
			if !refuse {
				w.best[r.Name] = r.Version
			}
			if r.Name == "b" {
				w.since = w.after[a]
			}
		} else if was, ok := w.holds[r.Name]; ok {
			next[r.Name] = was
		}
	}
	if w.delta {
		for _, name := range a.Removed {
			delete(next, name)
		}
	}
	if next["b"] == "" && w.after[a] > w.since { // taken away, and rightly
		delete(w.best, "b")
	}
	w.holds = next
	return true
}

func (w *world) heard() bool {
	if len(w.replies) == 0 {
		return false
	}
	r := w.replies[0]
	w.replies = w.replies[1:]
	if r.bad {
		w.ledger.Refused(r.nonce)
	} else {
		w.ledger.Acked(r.nonce)
	}
	return true
}

// settle lets all messages arrive, and says what is wrong then.
func (w *world) settle() string {
	for n := 0; w.deliver() || w.heard() || w.send(false); n++ {
		if n > 200 {
			return "it never comes to rest"
		}
	}
	for _, name := range []string{"a", "b"} {
		r, held := w.current[name], w.holds[name]
		other := map[string]string{"a": "b", "b": "a"}[name]
		if o := w.current[other]; !w.delta && w.whole && !w.partly && o != nil && bad(o.Version) && !w.ledger.sure {
			continue // an answer says all, and what is refused cannot be left out of the first: what it holds of that is not known
		}
		switch {
		case r == nil && held != "" && (w.delta || w.whole):
			return name + " is held though it was taken away"
		case r != nil && !bad(r.Version) && held != r.Version:
			return fmt.Sprintf("%s: %q is held, %q is newest and good", name, held, r.Version)
		case r != nil && bad(r.Version) && held == "" && w.best[name] != "":
			return fmt.Sprintf("%s: nothing is held, %q was the last good one", name, w.best[name])
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
		for n, all := 0, pow(len(acts), depth); n < all; n++ {
			w := newWorld(kind[0], kind[1], kind[2])
			for k, rest := 0, n; k < depth; k, rest = k+1, rest/len(acts) {
				path[k] = rest % len(acts)
				acts[path[k]](w)
			}
			if fault := w.settle(); fault != "" {
				t.Fatalf("delta, whole, partly %v: after %v: %s", kind, path, fault)
			}
		}
	}
}

func pow(x, n int) int {
	out := 1
	for range n {
		out *= x
	}
	return out
}

// The same for long histories, drawn.
func TestLongHistoriesConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(rapid.Bool().Draw(t, "delta"), rapid.Bool().Draw(t, "whole"), rapid.Bool().Draw(t, "partly"))
		for range rapid.IntRange(0, 60).Draw(t, "length") {
			acts[rapid.IntRange(0, len(acts)-1).Draw(t, "act")](w)
		}
		assert.Empty(t, w.settle())
	})
}

// An urgent answer waits for nobody; another waits for the one before.
func TestUrgentDoesNotWait(t *testing.T) {
	w := newWorld(true, false, false)
	assert.Empty(t, w.settle())
	w.update("a")
	assert.True(t, w.send(false))
	for range 3 * outMost {
		w.update("a")
		assert.False(t, w.send(false), "the one before is not acknowledged")
		assert.True(t, w.send(true))
	}
	assert.Equal(t, outMost, w.ledger.Out())
	assert.Empty(t, w.settle())
}

func TestNamedAndAll(t *testing.T) {
	current := map[string]*Resource{"x": {Name: "x", Version: "1"}, "y": {Name: "y", Version: "1", Named: true}}
	names := func(a *Answer) (out []string) {
		for _, r := range a.Resources {
			out = append(out, r.Name)
		}
		return out
	}
	l := NewLedger(true, true)
	l.Change([]string{"*"}, nil)
	a := l.Next(current, false, false)
	assert.Equal(t, []string{"x"}, names(a))
	l.Acked(a.Nonce)
	l.Change([]string{"y", "z"}, nil)
	a = l.Next(current, false, false)
	assert.Equal(t, []string{"y"}, names(a))
	assert.Equal(t, []string{"z"}, a.Removed, "asked for, and there is none")
	l.Acked(a.Nonce)
	assert.Nil(t, l.Next(current, false, false))
	delete(current, "x")
	assert.Nil(t, l.Next(current, false, true), "kept for now")
	assert.Equal(t, []string{"x"}, l.Next(current, false, false).Removed)
	l.Change(nil, []string{"*", "y"})
	assert.Equal(t, 1, l.Wants())
}
