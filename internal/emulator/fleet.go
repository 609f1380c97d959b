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
	Position, AddressIndex int // the position it fills; the address it listens at
	State                  balance.EndpointState
	Group                  int // the scenario's number of its group
	changedVersion         int64
	listedStart            float64
	listedCrashes          int
}

// MemberSpec describes a server that a fleet can start.
type MemberSpec struct {
	Name, Zone, Model string
	Pod               int
	Group             int // the scenario's number of its group
	Spec              Spec
}

// ChangeKind is what a Change does to a server.
type ChangeKind uint8

// The kinds of changes, with the meaning of Value and whether Class counts.
const (
	ChangeSpeed          ChangeKind = iota // Value: the factor on its speed
	ChangePause                            // Value: its duration
	ChangeErrorShare                       // Value: the share; Class
	ChangeHanging                          // Value: 0 or 1; Class
	ChangeUnreachable                      // Value: 0 or 1
	ChangeCrash                            // Value: until it is back; 0: never
	ChangeDrain                            // Value: until its removal
	ChangeRemove                           // follows from ChangeDrain and the replacements
	ChangeReplace                          // a new server takes the position, the old one drains. Value: as ChangeDrain
	ChangeReplaceInPlace                   // the same at the old server's address, once that is removed
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
func (k ChangeKind) String() string { return changeKindNames[k] }

// Change is a fault or a planned change of the server at a position. Times and durations are in seconds.
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
	ListChanged      bool         // the endpoint list has changed
}

// Fleet is a set of servers with their endpoint list. Members are numbered in the order of their start and keep their
// number once they are removed.
type Fleet struct {
	Members     []*Member
	Version     int64               // of the endpoint list
	Addresses   int                 // given out so far
	DedupGroups map[int]*DedupGroup // by the caller's numbers

	specs     []MemberSpec // by position
	positions []int        // by position: the number of the member that fills it
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

func (f *Fleet) start(now float64, position, address int, warm bool) {
	spec := f.specs[position]
	number := len(f.Members)
	m := &Member{
		Server:       New(spec.Spec, f.seed+uint64(number)),
		Name:         spec.Name,
		Zone:         spec.Zone,
		Model:        spec.Model,
		Pod:          spec.Pod,
		Position:     position,
		AddressIndex: address,
		Group:        spec.Group,
	}
	for _, old := range f.Members {
		if old.Position == position {
			m.Name = fmt.Sprintf("%s.%d", spec.Name, number)
		}
	}
	m.Start(now, warm)
	m.listedStart = m.StartedAt()
	f.Members = append(f.Members, m)
	f.positions[position] = number
	f.touch(m)
}

func (f *Fleet) touch(m *Member) {
	f.Version++
	m.changedVersion = f.Version
}

// Apply carries out a change. It returns its effect and the changes that follow from it, all at one later time.
func (f *Fleet) Apply(now float64, change Change) (Effect, []Change) {
	version := f.Version
	number := f.positions[change.Position]
	if change.Kind == ChangeRemove {
		number = change.Member
	}
	var completions []Completion
	var followUps []Change
	switch change.Kind {
	case ChangeRemove:
		completions = f.remove(now, f.Members[number])
	case ChangeDrain:
		followUps = f.drain(now, number, change)
	case ChangeReplace:
		followUps = f.drain(now, number, change)
		f.start(now, change.Position, f.newAddress(), false)
	case ChangeReplaceInPlace:
		followUps = f.replaceInPlace(now, number, change)
	default:
		completions = f.Members[number].applyFault(now, change)
	}
	effect := f.Reconcile(number, completions)
	effect.ResetConnections = effect.ResetConnections || change.resetsConnections()
	effect.ListChanged = f.Version != version
	return effect, followUps
}

// remove takes a member off the list and stops it for good.
func (f *Fleet) remove(now float64, m *Member) []Completion {
	m.State = balance.Removed
	f.touch(m)
	return m.Crash(now, math.Inf(1))
}

// drain lists a ready member as draining and returns the change that removes it; nil if the member is not ready.
func (f *Fleet) drain(now float64, number int, change Change) []Change {
	m := f.Members[number]
	if m.State != balance.Ready {
		return nil
	}
	m.State = balance.Draining
	f.touch(m)
	return []Change{{At: now + change.Value, Kind: ChangeRemove, Position: change.Position, Member: number}}
}

// replaceInPlace drains a ready member, and starts its successor when applied again after the removal.
func (f *Fleet) replaceInPlace(now float64, number int, change Change) []Change {
	m := f.Members[number]
	if m.State == balance.Removed {
		f.start(now, change.Position, m.AddressIndex, false)
		return nil
	}
	followUps := f.drain(now, number, change)
	if followUps == nil {
		return nil
	}
	return append(followUps, Change{At: now + change.Value, Kind: ChangeReplaceInPlace, Position: change.Position})
}

// applyFault carries out a change that leaves the member's entry of the list as it is.
func (m *Member) applyFault(now float64, change Change) []Completion {
	switch change.Kind {
	case ChangeSpeed:
		return m.SetSpeedFactor(now, change.Value)
	case ChangePause:
		return m.Pause(now, now+change.Value)
	case ChangeErrorShare:
		return m.SetErrorShare(now, change.Class, change.Value)
	case ChangeHanging:
		return m.SetHanging(now, change.Class, change.Value > 0)
	case ChangeUnreachable:
		return m.SetUnreachable(now, change.Value > 0)
	case ChangeCrash:
		return m.Crash(now, change.restartTime(now))
	}
	return nil
}

// restartTime is when a server that ChangeCrash stops at now is back; +Inf: never.
func (c Change) restartTime(now float64) float64 {
	if c.Value > 0 {
		return now + c.Value
	}
	return math.Inf(1)
}

// resetsConnections reports whether clients see the server's connections reset by the change.
func (c Change) resetsConnections() bool {
	switch c.Kind {
	case ChangeCrash, ChangeRemove:
		return true
	case ChangeUnreachable:
		return c.Value == 0
	}
	return false
}

// Reconcile updates the endpoint list after a call on a member, which may have crashed or restarted by itself.
func (f *Fleet) Reconcile(member int, completions []Completion) Effect {
	m := f.Members[member]
	effect := Effect{Member: member, Completions: completions}
	if startedAt := m.StartedAt(); startedAt != m.listedStart && m.State != balance.Removed {
		m.listedStart = startedAt
		effect.ListChanged = true
		f.touch(m)
	}
	if m.Crashes != m.listedCrashes {
		m.listedCrashes = m.Crashes
		effect.ResetConnections = true
	}
	return effect
}

// ChangedAfter reports whether a member's entry changed after a version of the list.
func (m *Member) ChangedAfter(after int64) bool { return m.changedVersion > after }

// DedupGroup returns the group of a number and makes it on first use.
func (f *Fleet) DedupGroup(number int) *DedupGroup {
	if f.DedupGroups[number] == nil {
		f.DedupGroups[number] = &DedupGroup{}
	}
	return f.DedupGroups[number]
}
