package simulation

import (
	"cmp"
	"fmt"
	"slices"

	"lockloom/internal/emulator"
)

// TimelineEntry is one event of a scenario's timeline: at a server, at a proxy, or at a proxy's endpoint list.
type TimelineEntry struct {
	At         float64
	Change     emulator.Change // where ProxyEvent is NoProxyEvent
	FollowUp   bool            // it follows from another entry, and is not scripted
	ProxyEvent ProxyEvent
	ProxyIndex int     // from 0; -1: all proxies
	Duration   float64 // s
	Delay      float64 // s; of ListLate
}

// ProxyEvent is what happens to a proxy or to its endpoint list.
type ProxyEvent uint8

// The events. Duration and Delay are those of the entry.
const (
	NoProxyEvent  ProxyEvent = iota
	ProxyKill                // SIGKILL; it is started again after Duration
	ProxyRestart             // SIGTERM; it is started again when it has ended
	ListLate                 // for Duration, notifications come Delay later
	ListSilent               // for Duration, discovery sends nothing and the agent learns nothing
	ListReset                // every open watch is closed
	ListMute                 // every open watch is silent for good
	ProxyUpgrade             // a second process starts, and the first gets SIGTERM once the second serves
	ProxyDrain               // by an admin call; resumed after Duration
	DisableServer            // by an admin call, the server at Change.Position; enabled after Duration
)

// proxyEventNames are the events in timelines.
var proxyEventNames = [...]string{
	"",
	"killed",
	"restarted",
	"list late",
	"list silent",
	"watches reset",
	"watches muted",
	"upgraded",
	"drained",
	"bans",
}

// String is the name of the event in timelines.
func (e ProxyEvent) String() string { return proxyEventNames[e] }

// String is the entry's line in a timeline.
func (e TimelineEntry) String() string {
	if e.ProxyEvent == NoProxyEvent {
		return fmt.Sprintf("seat %d %s %g", e.Change.Position, e.Change.Kind, e.Change.Value)
	}
	if e.ProxyEvent == DisableServer {
		return fmt.Sprintf("seat %d banned for %g", e.Change.Position, e.Duration)
	}
	if e.ProxyIndex < 0 {
		return fmt.Sprintf("all proxies %s %g", e.ProxyEvent, e.Duration)
	}
	return fmt.Sprintf("proxy %d %s %g", e.ProxyIndex+1, e.ProxyEvent, e.Duration)
}

// proxyFaults are the kinds of faults of proxies and their lists.
var proxyFaults = map[string]ProxyEvent{
	"proxy-kill":    ProxyKill,
	"proxy-restart": ProxyRestart,
	"list-late":     ListLate,
	"list-silent":   ListSilent,
	"list-reset":    ListReset,
	"list-mute":     ListMute,
	"proxy-upgrade": ProxyUpgrade,
	"proxy-drain":   ProxyDrain,
}

// Timeline is all that the scenario's faults do, in order of time.
func (s *Scenario) Timeline() []TimelineEntry {
	var all []TimelineEntry
	for _, fault := range s.Faults {
		switch event := proxyFaults[fault.Kind]; {
		case event != NoProxyEvent:
			all = append(all, s.proxyEvents(fault, event)...)
		case faultKinds[fault.Kind].disables:
			all = append(all, s.disablings(fault)...)
		default:
			all = append(all, s.serverChanges(fault)...)
		}
	}
	slices.SortStableFunc(all, func(a, b TimelineEntry) int { return cmp.Compare(a.At, b.At) })
	return all
}

// proxyEvents are what a fault does to proxies, one after the other.
func (s *Scenario) proxyEvents(fault Fault, event ProxyEvent) []TimelineEntry {
	entry := TimelineEntry{
		At:         fault.At,
		ProxyEvent: event,
		ProxyIndex: fault.Proxy - 1,
		Duration:   fault.Duration,
		Delay:      fault.Factor,
	}
	if entry.ProxyIndex >= 0 || faultKinds[fault.Kind].ofLists {
		return []TimelineEntry{entry}
	}
	var all []TimelineEntry
	for i := range s.ProxyFleet.Count {
		entry.ProxyIndex = i
		entry.At = fault.At + fault.Within*float64(i)/float64(s.ProxyFleet.Count)
		all = append(all, entry)
	}
	return all
}

// disablings are the disabling of servers at proxies, one server after the other.
func (s *Scenario) disablings(fault Fault) []TimelineEntry {
	var all []TimelineEntry
	first, n := s.firstPosition(fault.Servers)+fault.From, s.affected(fault)
	for i := range n {
		all = append(all, TimelineEntry{
			At:         fault.At + fault.Within*float64(i)/float64(n),
			ProxyEvent: DisableServer,
			ProxyIndex: fault.Proxy - 1,
			Duration:   fault.Duration,
			Change:     emulator.Change{Position: first + i},
		})
	}
	return all
}

// serverChanges are what a fault does to servers, one after the other, each with its end if that is a change too.
func (s *Scenario) serverChanges(fault Fault) []TimelineEntry {
	var all []TimelineEntry
	kind := faultKinds[fault.Kind]
	class, _ := s.class(fault.Class)
	first, n := s.firstPosition(fault.Servers)+fault.From, s.affected(fault)
	for i := range n {
		change := emulator.Change{
			At:       fault.At + fault.Within*float64(i)/float64(n),
			Kind:     kind.change,
			Position: first + i,
			Class:    class,
			Value:    fault.changeValue(kind.change),
		}
		all = append(all, TimelineEntry{At: change.At, Change: change})
		if kind.reverts {
			change.At += fault.Duration
			change.Value = revertValue(kind.change)
			all = append(all, TimelineEntry{At: change.At, Change: change})
		}
	}
	return all
}

// changeValue is the Value of the change that the fault makes.
func (f *Fault) changeValue(kind emulator.ChangeKind) float64 {
	switch kind {
	case emulator.ChangePause, emulator.ChangeCrash:
		return f.Duration
	case emulator.ChangeDrain, emulator.ChangeReplace, emulator.ChangeReplaceInPlace:
		return f.Drain
	case emulator.ChangeHanging, emulator.ChangeUnreachable:
		return 1
	}
	return f.Factor
}

// revertValue is the Value of the change that ends a fault.
func revertValue(kind emulator.ChangeKind) float64 {
	if kind == emulator.ChangeSpeed {
		return 1
	}
	return 0
}

// firstPosition is the first position of a group of servers.
func (s *Scenario) firstPosition(group string) int {
	position := 0
	for _, g := range s.Servers {
		if group == "" || g.Name == group {
			break
		}
		position += g.Count
	}
	return position
}

func sortedNames[T any](m map[string]T) []string {
	names := make([]string, 0, len(m))
	for name := range m {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
