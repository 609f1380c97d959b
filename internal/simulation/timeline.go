package simulation

import (
	"cmp"
	"fmt"
	"slices"

	"lockloom/internal/emulator"
)

// TimelineEntry is one event of a scenario's timeline, at a server, a proxy or a proxy's endpoint list.
type TimelineEntry struct {
	At         float64         // s since the start of the run
	Change     emulator.Change // of a server, if ProxyEvent is NoProxyEvent; DisableServer uses only the Position
	FollowUp   bool            // caused by another entry, not by the scenario
	ProxyEvent ProxyEvent
	ProxyIndex int     // from 0; -1: all proxies
	Duration   float64 // s
	Delay      float64 // s; extra delay of notifications under ListLate
}

// ProxyEvent is what happens to a proxy or to its endpoint list.
type ProxyEvent uint8

// The kinds of proxy events. Duration and Delay are fields of the entry.
const (
	NoProxyEvent  ProxyEvent = iota
	ProxyKill                // the proxy gets SIGKILL, and is started again after Duration
	ProxyRestart             // the proxy gets SIGTERM, and is started again once it has exited
	ListLate                 // for Duration, the agent's notifications are delayed by Delay
	ListSilent               // for Duration, discovery answers nothing, and changes do not count as notified
	ListReset                // the agent closes every open watch
	ListMute                 // every open watch stays open, but the agent sends nothing more on it
	ProxyUpgrade             // a second process starts; once it is ready, the first gets SIGTERM
	ProxyDrain               // an admin call drains the proxy, and another resumes it after Duration
	DisableServer            // an admin call disables the server at Change.Position, and another enables it after Duration
)

// proxyEventNames are the names of the events in timelines.
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

// String returns the name of the event in timelines.
func (e ProxyEvent) String() string { return proxyEventNames[e] }

// String returns the text of the entry in a timeline.
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

// proxyFaults maps the kinds of faults of proxies and their endpoint lists to events.
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

// Timeline returns the events of all faults of the scenario, sorted by time.
func (s *Scenario) Timeline() []TimelineEntry {
	var all []TimelineEntry
	for _, fault := range s.Faults {
		switch event := proxyFaults[fault.Kind]; {
		case event != NoProxyEvent:
			all = append(all, s.proxyEvents(fault, event)...)
		case faultKinds[fault.Kind].disables:
			all = append(all, s.disableEvents(fault)...)
		default:
			all = append(all, s.serverChanges(fault)...)
		}
	}
	slices.SortStableFunc(all, func(a, b TimelineEntry) int { return cmp.Compare(a.At, b.At) })
	return all
}

// proxyEvents returns the events of a fault of proxies. Without a given proxy, they are spread over the fault's Within
// for all proxies; a fault of endpoint lists is then one event for all.
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

// disableEvents returns the events of a fault that disables servers at proxies, spread over the fault's Within.
func (s *Scenario) disableEvents(fault Fault) []TimelineEntry {
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

// serverChanges returns the events of a fault of servers, spread over the fault's Within. Where the end of the fault is
// a change too, it is included.
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

// changeValue returns the Value of the change that starts the fault.
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

// revertValue returns the Value of the change that ends a fault.
func revertValue(kind emulator.ChangeKind) float64 {
	if kind == emulator.ChangeSpeed {
		return 1
	}
	return 0
}

// firstPosition returns the position of the first server of a group; an empty group stands for all servers.
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
