package emulator

import (
	"fmt"
	"math"

	"lockloom/balance"
)

// Member is a server with its entry of the endpoint list.
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

// MemberSpec describes a server that a fleet can start.
type MemberSpec struct {
	Name, Zone, Model string
	Pod               int
	Group             int
	Spec              Spec
}

// ChangeKind is what a Change does to a server.
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

// changeKindNames are the kinds in timelines.
var changeKindNames = [...]string{
	"slow",
	"pause",
	"fail",
	"hang",
	"cut",
	"crash",
	"drain",
	"gone",
	"renew",
	"renew at its address",
}

// String is the name of the kind in timelines.
func (d ChangeKind) String() string { return changeKindNames[d] }

// Change is a fault or a planned change of the server at a position.
type Change struct {
	At       float64
	Kind     ChangeKind
	Position int
	Member   int // for ChangeRemove
	Class    int // -1: all
	Value    float64
}

// Effect is the result of a call on one member.
type Effect struct {
	Member           int
	Completions      []Completion // of its jobs, valid until its next call
	ResetConnections bool         // its connections are to be reset
	ListChanged      bool         // the list has changed
}

// Fleet is a set of servers with their endpoint list. Members are numbered in the order of their start and keep their
// number once they are removed.
type Fleet struct {
	Members     []*Member
	Version     int64
	Addresses   int
	DedupGroups map[int]*DedupGroup // by group that drops repeats, as the caller numbers them

	specs     []MemberSpec // by seat
	positions []int        // the member in each
	seed      uint64
}

// NewFleet returns an empty fleet; the seed determines which jobs fail.
func NewFleet(seed uint64) *Fleet {
	return &Fleet{seed: seed, Version: 1, DedupGroups: map[int]*DedupGroup{}}
}

// AddPosition adds a position, filled by a server that has long been up or, if not warm, starts now.
func (f *Fleet) AddPosition(now float64, m MemberSpec, warm bool) int {
	f.specs = append(f.specs, m)
	f.positions = append(f.positions, 0)
	position := len(f.specs) - 1
	f.start(now, position, f.newAddress(), warm)
	return position
}

// Member is the server at a position.
func (f *Fleet) Member(position int) *Member { return f.Members[f.positions[position]] }

// Index is the number of the member at a position.
func (f *Fleet) Index(position int) int { return f.positions[position] }

func (f *Fleet) newAddress() int {
	f.Addresses++
	return f.Addresses - 1
}

func (f *Fleet) start(now float64, position, address int, warm bool) int {
	made := f.specs[position]
	i := len(f.Members)
	m := &Member{
		Server:       New(made.Spec, f.seed+uint64(i)),
		Name:         made.Name,
		Zone:         made.Zone,
		Model:        made.Model,
		Pod:          made.Pod,
		Position:     position,
		AddressIndex: address,
		Group:        made.Group,
	}
	for _, old := range f.Members {
		if old.Position == position {
			m.Name = fmt.Sprintf("%s.%d", made.Name, i)
		}
	}
	m.Start(now, warm)
	m.listedStart = m.StartedAt()
	f.Members, f.positions[position] = append(f.Members, m), i
	f.touch(m)
	return i
}

func (f *Fleet) touch(m *Member) {
	f.Version++
	m.changedVersion = f.Version
}

// Apply carries out a change. It returns its effect and the changes that follow from it, all at one later time.
func (f *Fleet) Apply(now float64, change Change) (Effect, []Change) {
	member, version := f.positions[change.Position], f.Version
	if change.Kind == ChangeRemove {
		member = change.Member
	}
	m := f.Members[member]
	var completions []Completion
	var later []Change
	reset := false
	switch change.Kind {
	case ChangeSpeed:
		completions = m.SetSpeedFactor(now, change.Value)
	case ChangePause:
		completions = m.Pause(now, now+change.Value)
	case ChangeErrorShare:
		completions = m.SetErrorShare(now, change.Class, change.Value)
	case ChangeHanging:
		completions = m.SetHanging(now, change.Class, change.Value > 0)
	case ChangeUnreachable:
		completions, reset = m.SetUnreachable(now, change.Value > 0), change.Value == 0
	case ChangeCrash:
		back := math.Inf(1)
		if change.Value > 0 {
			back = now + change.Value
		}
		completions, reset = m.Crash(now, back), true
	case ChangeRemove:
		m.State = balance.Removed
		f.touch(m)
		completions, reset = m.Crash(now, math.Inf(1)), true
	case ChangeDrain, ChangeReplace, ChangeReplaceInPlace:
		if m.State == balance.Ready {
			m.State = balance.Draining
			f.touch(m)
			later = append(later, Change{At: now + change.Value, Kind: ChangeRemove, Position: change.Position, Member: member})
			if change.Kind == ChangeReplaceInPlace {
				later = append(later, Change{At: now + change.Value, Kind: ChangeReplaceInPlace, Position: change.Position})
			}
		} else if change.Kind == ChangeReplaceInPlace && m.State == balance.Removed {
			f.start(now, change.Position, m.AddressIndex, false)
		}
		if change.Kind == ChangeReplace {
			f.start(now, change.Position, f.newAddress(), false)
		}
	}
	effect := f.Reconcile(member, completions)
	effect.ResetConnections, effect.ListChanged = effect.ResetConnections || reset, f.Version != version
	return effect, later
}

// Reconcile updates the list after a call on a member, which may have crashed or restarted by itself.
func (f *Fleet) Reconcile(member int, completions []Completion) Effect {
	m := f.Members[member]
	e := Effect{Member: member, Completions: completions}
	if since := m.StartedAt(); since != m.listedStart && m.State != balance.Removed {
		m.listedStart, e.ListChanged = since, true
		f.touch(m)
	}
	if m.Crashes != m.listedCrashes {
		m.listedCrashes, e.ResetConnections = m.Crashes, true
	}
	return e
}

// ChangedAfter reports whether a member's entry changed after a version of the list.
func (m *Member) ChangedAfter(after int64) bool { return m.changedVersion > after }

// DedupGroup returns the group of a number and makes it on first use.
func (f *Fleet) DedupGroup(i int) *DedupGroup {
	if f.DedupGroups[i] == nil {
		f.DedupGroups[i] = &DedupGroup{}
	}
	return f.DedupGroups[i]
}
