package simulation

import (
	"cmp"
	"fmt"
	"slices"

	"lockloom/internal/emulator"
)

// TimelineEntry is one thing of a scenario's timeline: to a server, to a proxy, or to what proxies are told.
type TimelineEntry struct {
	At         float64
	Change     emulator.Change // where Proxy is nothing
	FollowUp   bool            // it follows from another, and is not scripted
	ProxyEvent ProxyEvent
	ProxyIndex int     // the proxy, from 0; -1: all
	Duration   float64 // for so long
	Delay      float64 // by so much, for ListLate
}

// ProxyEvent is what happens to a proxy or to its list.
type ProxyEvent uint8

const (
	NoProxyEvent  ProxyEvent = iota
	ProxyKill                // at once; it is started again Value later
	ProxyRestart             // told to stop, and started again when it has
	ListLate                 // for Value, what is told comes Late later
	ListSilent               // for Value, nothing is told or learnt: discovery is down
	ListReset                // every open watch is reset
	ListMute                 // every open watch falls silent, for good
	ProxyUpgrade             // a second process starts beside it, and the first is told to stop once it serves
	ProxyDrain               // by a call at its operators' door, and back to work Value later
	DisableServer            // the same of the server in Act's seat
)

func (t ProxyEvent) String() string {
	return [...]string{"", "killed", "restarted", "list late", "list silent", "watches reset", "watches muted", "upgraded", "drained", "bans"}[t]
}

func (h TimelineEntry) String() string {
	if h.ProxyEvent == NoProxyEvent {
		return fmt.Sprintf("seat %d %s %g", h.Change.Position, h.Change.Kind, h.Change.Value)
	}
	if h.ProxyEvent == DisableServer {
		return fmt.Sprintf("seat %d banned for %g", h.Change.Position, h.Duration)
	}
	if h.ProxyIndex < 0 {
		return fmt.Sprintf("all proxies %s %g", h.ProxyEvent, h.Duration)
	}
	return fmt.Sprintf("proxy %d %s %g", h.ProxyIndex+1, h.ProxyEvent, h.Duration)
}

// Timeline is all that happens by itself, in order of time.
func (s *Scenario) Timeline() []TimelineEntry {
	var all []TimelineEntry
	for _, t := range s.Faults {
		turn := map[string]ProxyEvent{"proxy-kill": ProxyKill, "proxy-restart": ProxyRestart, "list-late": ListLate, "list-silent": ListSilent,
			"list-reset": ListReset, "list-mute": ListMute, "proxy-upgrade": ProxyUpgrade, "proxy-drain": ProxyDrain}[t.Kind]
		if turn != NoProxyEvent {
			all = append(all, s.proxyEvents(t, turn)...)
			continue
		}
		kind, n, first := faultKinds[t.Kind], s.affected(t), s.firstPosition(t.Servers)+t.From
		class, _ := s.class(t.Class)
		for i := range n {
			if kind.bans {
				all = append(all, TimelineEntry{At: t.At + t.Within*float64(i)/float64(n), ProxyEvent: DisableServer, ProxyIndex: t.Proxy - 1, Duration: t.Duration,
					Change: emulator.Change{Position: first + i}})
				continue
			}
			a := emulator.Change{At: t.At + t.Within*float64(i)/float64(n), Kind: kind.deed, Position: first + i, Class: class, Value: t.Factor}
			switch kind.deed {
			case emulator.ChangePause, emulator.ChangeCrash:
				a.Value = t.Duration
			case emulator.ChangeDrain, emulator.ChangeReplace, emulator.ChangeReplaceInPlace:
				a.Value = t.Drain
			case emulator.ChangeHanging, emulator.ChangeUnreachable:
				a.Value = 1
			}
			all = append(all, TimelineEntry{At: a.At, Change: a})
			if kind.lasts {
				a.At += t.Duration
				if a.Value = 0; kind.deed == emulator.ChangeSpeed {
					a.Value = 1
				}
				all = append(all, TimelineEntry{At: a.At, Change: a})
			}
		}
	}
	slices.SortStableFunc(all, func(a, b TimelineEntry) int { return cmp.Compare(a.At, b.At) })
	return all
}

// proxyEvents is what a trouble does to proxies, one after the other.
func (s *Scenario) proxyEvents(t Fault, turn ProxyEvent) []TimelineEntry {
	h := TimelineEntry{At: t.At, ProxyEvent: turn, ProxyIndex: t.Proxy - 1, Duration: t.Duration, Delay: t.Factor}
	if h.ProxyIndex >= 0 || faultKinds[t.Kind].lists {
		return []TimelineEntry{h}
	}
	var all []TimelineEntry
	for i := range s.ProxyFleet.Count {
		h.ProxyIndex, h.At = i, t.At+t.Within*float64(i)/float64(s.ProxyFleet.Count)
		all = append(all, h)
	}
	return all
}

// firstPosition is the first seat of a group.
func (s *Scenario) firstPosition(group string) (seat int) {
	for _, g := range s.Servers {
		if group == "" || g.Name == group {
			break
		}
		seat += g.Count
	}
	return seat
}

func sortedNames[T any](m map[string]T) []string {
	names := make([]string, 0, len(m))
	for name := range m {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
