package controlplane

import (
	"cmp"
	"hash/fnv"
	"maps"
	"slices"
	"strconv"
)

// Resource is one thing that subscribers are told. Its version follows from its content alone, so that two runs of the service, or two
// services, that say the same give it the same. It never changes.
type Resource struct {
	Name, Version string
	Named         bool // told only to those who ask for it by name
	Body          any  // the ledger never looks inside
}

// Answer is one message to a subscriber.
type Answer struct {
	Nonce     uint64
	Resources []*Resource
	Removed   []string // of a subscriber that is told differences
	changed   []*Resource
	removed   []string
}

const outMost = 8 // answers on their way to one subscriber of which it is remembered what they say

// Ledger is what one subscriber holds of one type of resources: the state machine of a subscription, in both of the protocol's ways,
// differences and state of the world. It does no input or output and never waits: Next says what to send now, if anything. What is
// newest is looked up then, so there is no queue. Make one with NewLedger.
type Ledger struct {
	Delta bool // told differences
	Whole bool // told the state of the world in which what is missing is removed: listeners and clusters

	wild     bool
	wants    map[string]bool
	told     map[string]*Resource // as the last answers say, acknowledged or not; nil: told that it is not there
	good     map[string]*Resource // as acknowledged last
	refused  map[string]string    // by name the version that is not sent again
	suspects map[string]bool      // changed in an answer of several that was refused, or taken from it: sent one at a time
	out      []*Answer            // on their way, oldest first
	last     uint64
	sure     bool // it has acknowledged an answer of this stream, or said that it holds all: what it holds is known
	Refusals int  // answers refused so far
}

// NewLedger is that of a subscriber that holds nothing.
func NewLedger(delta, whole bool) *Ledger {
	return &Ledger{Delta: delta, Whole: whole, wants: map[string]bool{}, told: map[string]*Resource{}, good: map[string]*Resource{},
		refused: map[string]string{}, suspects: map[string]bool{}}
}

// Ask sets what is asked for: names, or all that are not told by name only.
func (l *Ledger) Ask(wild bool, names []string) {
	l.wild = wild
	l.wants = make(map[string]bool, len(names))
	for _, name := range names {
		l.wants[name] = true
	}
	l.forget()
}

// Change adds and takes away names, as differences do; "*" is all.
func (l *Ledger) Change(add, drop []string) {
	for _, name := range add {
		if l.wild = l.wild || name == "*"; name != "*" {
			l.wants[name] = true
			if l.told[name] == nil { // asked for again, it is told again, though it was told that it is not there
				delete(l.told, name)
			}
		}
	}
	for _, name := range drop {
		l.wild = l.wild && name != "*"
		delete(l.wants, name)
	}
	l.forget()
}

// forget drops what is kept of names that nobody asks for any more.
func (l *Ledger) forget() {
	if l.wild {
		return
	}
	for name := range l.told {
		if !l.wants[name] {
			delete(l.told, name)
			delete(l.good, name)
			delete(l.refused, name)
			delete(l.suspects, name)
		}
	}
}

// Wants is how many names are asked for; -1 stands for all.
func (l *Ledger) Wants() int {
	if l.wild {
		return -1
	}
	return len(l.wants)
}

// Holds takes in what a subscriber says that it holds since another stream: versions by name.
func (l *Ledger) Holds(versions map[string]string) {
	for name, version := range versions {
		l.told[name] = &Resource{Name: name, Version: version}
		l.good[name] = l.told[name]
	}
}

// HoldsAll takes in that it holds all it asks for as they are now.
func (l *Ledger) HoldsAll(current map[string]*Resource) {
	l.sure = true
	for _, name := range l.names(current) {
		if r := current[name]; r != nil {
			l.told[name], l.good[name] = r, r
		}
	}
}

// names are those asked for, and those told that may have to be taken back.
func (l *Ledger) names(current map[string]*Resource) []string {
	all := maps.Clone(l.wants)
	if l.wild {
		for name, r := range current {
			all[name] = all[name] || !r.Named
		}
		for name := range l.told {
			all[name] = true
		}
	}
	maps.DeleteFunc(all, func(_ string, asked bool) bool { return !asked })
	return slices.Sorted(maps.Keys(all))
}

// Version is that of all that is asked for as it is now; Told that of what the subscriber was told. In the state of the world a
// subscriber names the latter when it comes back.
func (l *Ledger) Version(current map[string]*Resource) string { return l.version(current, current) }

// Told is the version of what the answers so far come to.
func (l *Ledger) Told(current map[string]*Resource) string { return l.version(current, l.told) }

func (l *Ledger) version(current, of map[string]*Resource) string {
	h := fnv.New64a()
	for _, name := range l.names(current) {
		if r := of[name]; r != nil {
			h.Write([]byte(r.Name + "\x00" + r.Version + "\x00"))
		}
	}
	return strconv.FormatUint(h.Sum64(), 16)
}

// Next is what to send now; nil: nothing. An answer waits until the one before is acknowledged or refused; an urgent one does not, but
// of listeners and clusters, of which none is and whose answers say all, so that what of two was refused could not be told.
// With keep nothing is taken back yet: what still refers to it is replaced first.
func (l *Ledger) Next(current map[string]*Resource, urgent, keep bool) *Answer {
	if len(l.out) > 0 && (!urgent || l.Whole) {
		return nil
	}
	a := &Answer{}
	var alone *Resource
	for _, name := range l.names(current) {
		now, was := current[name], l.told[name]
		_, told := l.told[name]
		switch {
		case now == nil && (!told || was != nil && !keep):
			a.removed = append(a.removed, name)
		case now == nil || was != nil && was.Version == now.Version && !l.suspects[name] || l.refused[name] == now.Version:
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
		l.told[name] = nil
	}
	if len(a.changed) == 0 && (len(a.removed) == 0 || !l.Delta && !l.Whole) { // the latter has no words for it
		return nil
	}
	for _, r := range a.changed {
		l.told[r.Name] = r
	}
	a.Resources, a.Removed = a.changed, a.removed
	if l.Whole && !l.Delta {
		a.Resources = nil
		for _, name := range slices.Sorted(maps.Keys(l.told)) {
			if r := l.told[name]; r != nil {
				a.Resources = append(a.Resources, r)
			}
		}
	}
	l.last++
	a.Nonce = l.last
	if l.out = append(l.out, a); len(l.out) > outMost { // danger: one that reads and never acknowledges must hear of drains all the same
		l.out = l.out[1:]
	}
	return a
}

// Acked takes in that an answer was taken over. It tells whether that was the last one sent.
func (l *Ledger) Acked(nonce uint64) (latest bool) {
	if a := l.take(nonce); a != nil {
		if !l.sure { // danger: until now one could be refused for what had to stand beside it
			clear(l.refused)
		}
		l.sure = true
		for _, r := range a.Resources {
			if !l.wild && !l.wants[r.Name] {
				continue
			}
			l.good[r.Name] = r
			delete(l.suspects, r.Name)
			if !l.later(a, r.Name) {
				l.told[r.Name] = r
			}
		}
		for _, name := range a.removed {
			delete(l.good, name)
		}
	}
	return nonce == l.last
}

// Refused takes in that an answer was refused, and tells what of it changed. The last good version stands: what was refused alone is
// not sent again, what was refused among others is sent alone. Danger: one bad resource would keep all others from a subscriber.
func (l *Ledger) Refused(nonce uint64) (changed []string, latest bool) {
	a := l.take(nonce)
	if a == nil {
		return nil, nonce == l.last
	}
	l.Refusals++
	for _, r := range a.changed {
		changed = append(changed, r.Name)
		if len(a.changed) == 1 {
			l.refused[r.Name] = r.Version // one that was a suspect stays so: what the subscriber took before is not known
		} else {
			l.suspects[r.Name] = true
		}
		switch good := l.good[r.Name]; {
		case l.later(a, r.Name):
		case good != nil:
			l.told[r.Name] = good
		case l.Delta || !l.Whole || l.sure: // danger: left out of an answer that says all, what it holds from another stream is removed
			delete(l.told, r.Name)
		}
	}
	for _, name := range a.removed { // it may have been refused for what changed beside it
		if r, told := l.told[name]; told && r == nil && len(a.changed) > 0 {
			delete(l.told, name)
		}
	}
	return changed, nonce == l.last
}

// later tells whether an answer that is on its way yet says more of a name than this one.
func (l *Ledger) later(a *Answer, name string) bool {
	return slices.ContainsFunc(l.out, func(o *Answer) bool {
		return o.Nonce > a.Nonce && (slices.Contains(o.removed, name) || slices.ContainsFunc(o.changed, func(r *Resource) bool { return r.Name == name }))
	})
}

func (l *Ledger) take(nonce uint64) *Answer {
	i := slices.IndexFunc(l.out, func(a *Answer) bool { return a.Nonce == nonce })
	if i < 0 {
		return nil
	}
	a := l.out[i]
	l.out = slices.Delete(l.out, i, i+1)
	return a
}

// Out is how many answers are neither acknowledged nor refused.
func (l *Ledger) Out() int { return len(l.out) }

// Refuses are the names of which the subscriber keeps an older version than there is, or none.
func (l *Ledger) Refuses(current map[string]*Resource) (names []string) {
	for _, name := range slices.Sorted(maps.Keys(l.refused)) {
		if r := current[name]; r != nil && r.Version == l.refused[name] {
			names = append(names, name)
		}
	}
	return names
}
