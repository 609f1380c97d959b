package emulator

import (
	"fmt"
	"math"

	"lockloom/balance"
)

// Member is a server with what the list says of it.
type Member struct {
	*Server
	Name, Zone, Model      string
	Pod                    int
	Position, AddressIndex int // the place it fills; the address it listens at
	State                  balance.EndpointState
	Group                  int // of the scenario's
	changedVersion         int64
	listedStart            float64
	listedCrashes          int
}

// MemberSpec is a kind of server that a fleet can start.
type MemberSpec struct {
	Name, Zone, Model string
	Pod               int
	Group             int
	Spec              Spec
}

// What an Act does.
type ChangeKind uint8

const (
	ChangeSpeed          ChangeKind = iota // Value: the factor on its speed
	ChangePause                            // Value: for so long
	ChangeErrorShare                       // Value: the share; Class
	ChangeHanging                          // Value: 0 or 1; Class
	ChangeUnreachable                      // Value: 0 or 1
	ChangeCrash                            // Value: is back so much later; 0: never
	ChangeDrain                            // Value: is gone so much later
	ChangeRemove                           // by itself, after ChangeDrain
	ChangeReplace                          // a new server takes the seat, the old one drains. Value: the old is gone so much later
	ChangeReplaceInPlace                   // the same at its address, once the old one is gone
)

// changeKindNames are their names in timelines.
var changeKindNames = [...]string{"slow", "pause", "fail", "hang", "cut", "crash", "drain", "gone", "renew", "renew at its address"}

func (d ChangeKind) String() string { return changeKindNames[d] }

// Change is one thing that happens to the server in a seat.
type Change struct {
	At       float64
	Kind     ChangeKind
	Position int
	Member   int // for ChangeRemove
	Class    int // -1: all
	Value    float64
}

// Effect is what came of a call on one member.
type Effect struct {
	Member           int
	Completions      []Completion // of its jobs, valid until its next call
	ResetConnections bool         // its connections are to be reset
	ListChanged      bool         // the list has changed
}

// Fleet is servers under a list. Members are numbered as they came and stay in it when they are gone.
type Fleet struct {
	Members     []*Member
	Version     int64
	Addresses   int
	DedupGroups map[int]*DedupGroup // by group that drops repeats, as the caller numbers them

	specs     []MemberSpec // by seat
	positions []int        // the member in each
	seed      uint64
}

// NewFleet is empty; chance comes from the seed.
func NewFleet(seed uint64) *Fleet {
	return &Fleet{seed: seed, Version: 1, DedupGroups: map[int]*DedupGroup{}}
}

// Position adds a seat with a server that has long been up or, cold, starts now.
func (f *Fleet) AddPosition(now float64, m MemberSpec, warm bool) int {
	f.specs = append(f.specs, m)
	f.positions = append(f.positions, 0)
	seat := len(f.specs) - 1
	f.start(now, seat, f.newAddress(), warm)
	return seat
}

// Member is the one that fills a seat.
func (f *Fleet) Member(seat int) *Member { return f.Members[f.positions[seat]] }

// Index is the number of the member in a seat.
func (f *Fleet) Index(seat int) int { return f.positions[seat] }

func (f *Fleet) newAddress() int {
	f.Addresses++
	return f.Addresses - 1
}

func (f *Fleet) start(now float64, seat, slot int, warm bool) int {
	made := f.specs[seat]
	i := len(f.Members)
	m := &Member{Server: New(made.Spec, f.seed+uint64(i)), Name: made.Name, Zone: made.Zone, Model: made.Model, Pod: made.Pod,
		Position: seat, AddressIndex: slot, Group: made.Group}
	for _, old := range f.Members {
		if old.Position == seat {
			m.Name = fmt.Sprintf("%s.%d", made.Name, i)
		}
	}
	m.Start(now, warm)
	m.listedStart = m.StartedAt()
	f.Members, f.positions[seat] = append(f.Members, m), i
	f.touch(m)
	return i
}

func (f *Fleet) touch(m *Member) {
	f.Version++
	m.changedVersion = f.Version
}

// Apply carries out an act. It returns what came of it, and acts that are due later, all at one time, in this order.
func (f *Fleet) Apply(now float64, a Change) (Effect, []Change) {
	i, version := f.positions[a.Position], f.Version
	if a.Kind == ChangeRemove {
		i = a.Member
	}
	m := f.Members[i]
	var ends []Completion
	var later []Change
	reset := false
	switch a.Kind {
	case ChangeSpeed:
		ends = m.SetSpeedFactor(now, a.Value)
	case ChangePause:
		ends = m.Pause(now, now+a.Value)
	case ChangeErrorShare:
		ends = m.SetErrorShare(now, a.Class, a.Value)
	case ChangeHanging:
		ends = m.SetHanging(now, a.Class, a.Value > 0)
	case ChangeUnreachable:
		ends, reset = m.SetUnreachable(now, a.Value > 0), a.Value == 0
	case ChangeCrash:
		back := math.Inf(1)
		if a.Value > 0 {
			back = now + a.Value
		}
		ends, reset = m.Crash(now, back), true
	case ChangeRemove:
		m.State = balance.Removed
		f.touch(m)
		ends, reset = m.Crash(now, math.Inf(1)), true
	case ChangeDrain, ChangeReplace, ChangeReplaceInPlace:
		if m.State == balance.Ready {
			m.State = balance.Draining
			f.touch(m)
			later = append(later, Change{At: now + a.Value, Kind: ChangeRemove, Position: a.Position, Member: i})
			if a.Kind == ChangeReplaceInPlace {
				later = append(later, Change{At: now + a.Value, Kind: ChangeReplaceInPlace, Position: a.Position})
			}
		} else if a.Kind == ChangeReplaceInPlace && m.State == balance.Removed {
			f.start(now, a.Position, m.AddressIndex, false)
		}
		if a.Kind == ChangeReplace {
			f.start(now, a.Position, f.newAddress(), false)
		}
	}
	e := f.Reconcile(i, ends)
	e.ResetConnections, e.ListChanged = e.ResetConnections || reset, f.Version != version
	return e, later
}

// Reconcile looks at what a call on a member changed by itself: it fell over, or came back.
func (f *Fleet) Reconcile(i int, ends []Completion) Effect {
	m := f.Members[i]
	e := Effect{Member: i, Completions: ends}
	if since := m.StartedAt(); since != m.listedStart && m.State != balance.Removed {
		m.listedStart, e.ListChanged = since, true
		f.touch(m)
	}
	if m.Crashes != m.listedCrashes {
		m.listedCrashes, e.ResetConnections = m.Crashes, true
	}
	return e
}

// ChangedAfter tells whether a member's entry changed after a version of the list.
func (m *Member) ChangedAfter(after int64) bool { return m.changedVersion > after }

// DedupGroup is the Marks of a number, made when first asked for.
func (f *Fleet) DedupGroup(i int) *DedupGroup {
	if f.DedupGroups[i] == nil {
		f.DedupGroups[i] = &DedupGroup{}
	}
	return f.DedupGroups[i]
}
