package emulator

import (
	"fmt"
	"math"

	"lockloom/balance"
)

// Member is a server with its entry in the endpoint list.
type Member struct {
	*Server
	Name, Zone, Model      string
	Pod                    int
	Position, AddressIndex int // indexes of its position in the fleet and of the address that it listens on
	State                  balance.EndpointState
	Group                  int     // number of its server group in the scenario
	changedVersion         int64   // list version in which the entry last changed
	listedStart            float64 // StartedAt at the last Reconcile
	listedCrashes          int     // Crashes at the last Reconcile
}

// MemberSpec describes a server that a fleet can start.
type MemberSpec struct {
	Name, Zone, Model string
	Pod               int
	Group             int // number of its server group in the scenario
	Spec              Spec
}

// ChangeKind is what a Change does to a server.
type ChangeKind uint8

// The kinds of changes, with the meaning of Change.Value and whether Change.Class applies.
const (
	ChangeSpeed          ChangeKind = iota // Value: factor by which its speed is multiplied
	ChangePause                            // Value: duration of the pause
	ChangeErrorShare                       // Value: share of jobs that fail, from 0 to 1; Class applies
	ChangeHanging                          // Value: 1 makes jobs hang, 0 ends that; Class applies
	ChangeUnreachable                      // Value: 1 partitions it from the network, 0 reconnects it
	ChangeCrash                            // Value: time until the restart; 0: no restart
	ChangeDrain                            // Value: time until the removal
	ChangeRemove                           // removes Change.Member; only as a follow-up of a drain or a replacement
	ChangeReplace                          // a new server takes the position, the old one drains; Value as for ChangeDrain
	ChangeReplaceInPlace                   // as ChangeReplace, but at the same address, after the removal
)

// changeKindNames are the names of the kinds in timelines, in the order of the constants; "renew" is ChangeReplace.
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

// String returns the name of the kind in timelines.
func (k ChangeKind) String() string { return changeKindNames[k] }

// Change is a fault or a planned change of the server at a position. Times and durations are in seconds.
type Change struct {
	At       float64
	Kind     ChangeKind
	Position int
	Member   int // number of the member to remove, for ChangeRemove
	Class    int // -1: all classes
	Value    float64
}

// Effect is the result of a call on one member.
type Effect struct {
	Member           int          // number of the member
	Completions      []Completion // of the member's jobs, valid until the next call on it
	ResetConnections bool         // the caller must reset the member's connections
	ListChanged      bool         // the endpoint list has changed
}

// Fleet is a set of servers with their endpoint list. Members are numbered in the order of their start and keep their
// number after they have been removed. A position is a place for one server: a replacement takes over the position of
// the server that it replaces.
type Fleet struct {
	Members     []*Member
	Version     int64               // current version of the endpoint list
	Addresses   int                 // number of addresses allocated so far
	DedupGroups map[int]*DedupGroup // by group number, which the caller chooses

	specs    []MemberSpec // by position
	memberAt []int        // by position: the number of the member that fills it
	seed     uint64
}

// NewFleet returns an empty fleet; the seed determines which jobs fail after a ChangeErrorShare.
func NewFleet(seed uint64) *Fleet {
	return &Fleet{seed: seed, Version: 1, DedupGroups: map[int]*DedupGroup{}}
}

// AddPosition adds a position and starts a server in it, past its slow start if warm. It returns the index of the
// position.
func (f *Fleet) AddPosition(now float64, m MemberSpec, warm bool) int {
	f.specs = append(f.specs, m)
	f.memberAt = append(f.memberAt, 0)
	position := len(f.specs) - 1
	f.start(now, position, f.newAddress(), warm)
	return position
}

// Member returns the server that fills a position.
func (f *Fleet) Member(position int) *Member { return f.Members[f.memberAt[position]] }

// MemberIndex returns the number of the member that fills a position.
func (f *Fleet) MemberIndex(position int) int { return f.memberAt[position] }

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
	f.memberAt[position] = number
	f.markChanged(m)
}

// markChanged records in a new version of the list that the member's entry has changed.
func (f *Fleet) markChanged(m *Member) {
	f.Version++
	m.changedVersion = f.Version
}

// Apply carries out a change. It returns its effect and its follow-up changes, which the caller must apply later, in
// order; all have the same time.
func (f *Fleet) Apply(now float64, change Change) (Effect, []Change) {
	version := f.Version
	number := f.memberAt[change.Position]
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

// remove removes a member from the list and stops it permanently.
func (f *Fleet) remove(now float64, m *Member) []Completion {
	m.State = balance.Removed
	f.markChanged(m)
	return m.Crash(now, math.Inf(1))
}

// drain lists a ready member as draining and returns the change that removes it; nil if the member is not ready.
func (f *Fleet) drain(now float64, number int, change Change) []Change {
	m := f.Members[number]
	if m.State != balance.Ready {
		return nil
	}
	m.State = balance.Draining
	f.markChanged(m)
	return []Change{{At: now + change.Value, Kind: ChangeRemove, Position: change.Position, Member: number}}
}

// replaceInPlace drains a ready member. Applied again after the removal, it starts the replacement at the same address.
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

// applyFault carries out a change that does not change the member's state in the endpoint list.
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

// restartTime returns when a server that ChangeCrash stops at now restarts; +Inf: never.
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

// Reconcile updates the endpoint list after a call on a member, which may have crashed or restarted on its own, and
// returns the effect of that call.
func (f *Fleet) Reconcile(member int, completions []Completion) Effect {
	m := f.Members[member]
	effect := Effect{Member: member, Completions: completions}
	if startedAt := m.StartedAt(); startedAt != m.listedStart && m.State != balance.Removed {
		m.listedStart = startedAt
		effect.ListChanged = true
		f.markChanged(m)
	}
	if m.Crashes != m.listedCrashes {
		m.listedCrashes = m.Crashes
		effect.ResetConnections = true
	}
	return effect
}

// ChangedAfter reports whether the member's entry has changed since the given version of the list.
func (m *Member) ChangedAfter(after int64) bool { return m.changedVersion > after }

// DedupGroup returns the deduplication group with the given number, and creates it on first use.
func (f *Fleet) DedupGroup(number int) *DedupGroup {
	if f.DedupGroups[number] == nil {
		f.DedupGroups[number] = &DedupGroup{}
	}
	return f.DedupGroups[number]
}
