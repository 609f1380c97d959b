package simulation

import (
	"cmp"
	"fmt"
	"slices"

	"lockloom/balance"
	"lockloom/internal/emulator"
)

// Happening is one thing of a scenario's timeline: to a server, to a proxy, or to what proxies are told.
type Happening struct {
	At    float64
	Act   emulator.Change // where Proxy is nothing
	Then  bool            // it follows from another, and is not scripted
	Proxy Turn
	Who   int     // the proxy, from 0; -1: all
	Value float64 // for so long
	Late  float64 // by so much, for ListLate
}

// Turn is what happens to a proxy or to its list.
type Turn uint8

const (
	NoTurn     Turn = iota
	Kill            // at once; it is started again Value later
	Restart         // told to stop, and started again when it has
	ListLate        // for Value, what is told comes Late later
	ListSilent      // for Value, nothing is told or learnt: discovery is down
	ListReset       // every open watch is reset
	ListMute        // every open watch falls silent, for good
	Upgrade         // a second process starts beside it, and the first is told to stop once it serves
	Drain           // by a call at its operators' door, and back to work Value later
	Ban             // the same of the server in Act's seat
)

func (t Turn) String() string {
	return [...]string{"", "killed", "restarted", "list late", "list silent", "watches reset", "watches muted", "upgraded", "drained", "bans"}[t]
}

func (h Happening) String() string {
	if h.Proxy == NoTurn {
		return fmt.Sprintf("seat %d %s %g", h.Act.Position, h.Act.Kind, h.Act.Value)
	}
	if h.Proxy == Ban {
		return fmt.Sprintf("seat %d banned for %g", h.Act.Position, h.Value)
	}
	if h.Who < 0 {
		return fmt.Sprintf("all proxies %s %g", h.Proxy, h.Value)
	}
	return fmt.Sprintf("proxy %d %s %g", h.Who+1, h.Proxy, h.Value)
}

// Timeline is all that happens by itself, in order of time.
func (s *Scenario) Timeline() []Happening {
	var all []Happening
	for _, t := range s.Troubles {
		turn := map[string]Turn{"proxy-kill": Kill, "proxy-restart": Restart, "list-late": ListLate, "list-silent": ListSilent,
			"list-reset": ListReset, "list-mute": ListMute, "proxy-upgrade": Upgrade, "proxy-drain": Drain}[t.Kind]
		if turn != NoTurn {
			all = append(all, s.turns(t, turn)...)
			continue
		}
		kind, n, first := troubles[t.Kind], s.hit(t), s.first(t.Servers)+t.From
		class, _ := s.tariff(t.Tariff)
		for i := range n {
			if kind.bans {
				all = append(all, Happening{At: t.At + t.Within*float64(i)/float64(n), Proxy: Ban, Who: t.Proxy - 1, Value: t.For,
					Act: emulator.Change{Position: first + i}})
				continue
			}
			a := emulator.Change{At: t.At + t.Within*float64(i)/float64(n), Kind: kind.deed, Position: first + i, Class: class, Value: t.Factor}
			switch kind.deed {
			case emulator.ChangePause, emulator.ChangeCrash:
				a.Value = t.For
			case emulator.ChangeDrain, emulator.ChangeReplace, emulator.ChangeReplaceInPlace:
				a.Value = t.Drain
			case emulator.ChangeHanging, emulator.ChangeUnreachable:
				a.Value = 1
			}
			all = append(all, Happening{At: a.At, Act: a})
			if kind.lasts {
				a.At += t.For
				if a.Value = 0; kind.deed == emulator.ChangeSpeed {
					a.Value = 1
				}
				all = append(all, Happening{At: a.At, Act: a})
			}
		}
	}
	slices.SortStableFunc(all, func(a, b Happening) int { return cmp.Compare(a.At, b.At) })
	return all
}

// turns is what a trouble does to proxies, one after the other.
func (s *Scenario) turns(t Trouble, turn Turn) []Happening {
	h := Happening{At: t.At, Proxy: turn, Who: t.Proxy - 1, Value: t.For, Late: t.Factor}
	if h.Who >= 0 || troubles[t.Kind].lists {
		return []Happening{h}
	}
	var all []Happening
	for i := range s.Bank.Proxies {
		h.Who, h.At = i, t.At+t.Within*float64(i)/float64(s.Bank.Proxies)
		all = append(all, h)
	}
	return all
}

// first is the first seat of a group.
func (s *Scenario) first(group string) (seat int) {
	for _, g := range s.Servers {
		if group == "" || g.Name == group {
			break
		}
		seat += g.Count
	}
	return seat
}

// marks is the group that drops repeats of a class's requests at a member: -1 none.
func marks(t balance.Class, class int, m *emulator.Member, zone int) int {
	const most = serversMost + 2 // groups of one class: all, or zones, or pods
	if t.Idempotency != balance.Keyed {
		return -1
	}
	switch t.DedupScope {
	case balance.DedupZone:
		return class*most + 1 + zone
	case balance.DedupPod:
		return class*most + 1 + m.Pod
	}
	return class * most
}

func sortedNames[T any](m map[string]T) []string {
	names := make([]string, 0, len(m))
	for name := range m {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
