package simulation

import (
	"fmt"
	"math"
)

// Differences says by what a run on sockets differs from the virtual one beyond the scenario's tolerance; nothing: by
// nothing.
func (s *Scenario) Differences(sockets, virtual *Result) (list []string) {
	var a, b []Event
	scripted := func(all []Event) (list []Event) {
		for _, e := range all {
			if e.Text != "" && e.Text[0] != '!' { // what servers did by themselves may differ
				list = append(list, e)
			}
		}
		return list
	}
	if a, b = scripted(sockets.Events), scripted(virtual.Events); len(a) != len(b) {
		return []string{fmt.Sprintf("%d events, %d in virtual time", len(a), len(b))}
	}
	for i := range a {
		if a[i].Text != b[i].Text || math.Abs(a[i].At-b[i].At) > s.Match.Seconds {
			list = append(
				list,
				fmt.Sprintf("event %q at %.3f s, %q at %.3f s in virtual time", a[i].Text, a[i].At, b[i].Text, b[i].At),
			)
		}
	}
	if d := sockets.ValueInTime - virtual.ValueInTime; math.Abs(d) > s.Match.Share {
		list = append(list, fmt.Sprintf("value in time %.3f, %.3f in virtual time", sockets.ValueInTime, virtual.ValueInTime))
	}
	up := func(s Second) int { return s.Ready + s.WarmingUp + s.Degraded }
	slack := int(math.Ceil(s.Match.Seconds)) // a state may be seen so many looks earlier or later
	for i := slack; i < min(len(sockets.Seconds), len(virtual.Seconds), int(s.Seconds))-slack; i++ {
		n, least, most := up(sockets.Seconds[i]), math.MaxInt, 0
		for _, v := range virtual.Seconds[i-slack : i+slack+1] {
			least, most = min(least, up(v)), max(most, up(v))
		}
		if n < least || n > most {
			list = append(list, fmt.Sprintf("second %d: %d servers up, %d to %d in virtual time", i, n, least, most))
		}
	}
	return list
}
