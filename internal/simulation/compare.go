package simulation

import (
	"fmt"
	"math"
)

// Differences describes where a run on sockets differs from a run in virtual time by more than the scenario tolerates.
func (s *Scenario) Differences(sockets, virtual *Result) []string {
	a, b := scriptedEvents(sockets.Events), scriptedEvents(virtual.Events)
	if len(a) != len(b) {
		return []string{fmt.Sprintf("%d events on sockets, %d in virtual time", len(a), len(b))}
	}
	var list []string
	for i := range a {
		if a[i].Text != b[i].Text || math.Abs(a[i].At-b[i].At) > s.Match.Seconds {
			list = append(list, fmt.Sprintf("event %q at %.3f s on sockets, %q at %.3f s in virtual time",
				a[i].Text, a[i].At, b[i].Text, b[i].At))
		}
	}
	if math.Abs(sockets.ValueInTime-virtual.ValueInTime) > s.Match.Share {
		list = append(list, fmt.Sprintf("value in time %.3f on sockets, %.3f in virtual time",
			sockets.ValueInTime, virtual.ValueInTime))
	}
	return append(list, s.serverDifferences(sockets.Seconds, virtual.Seconds)...)
}

// scriptedEvents returns the events of the timeline, without those that servers cause themselves, such as a crash: the
// text of those starts with "!".
func scriptedEvents(all []Event) []Event {
	var list []Event
	for _, e := range all {
		if e.Text != "" && e.Text[0] != '!' {
			list = append(list, e)
		}
	}
	return list
}

// serverDifferences compares the number of servers that are up, second by second. A change may show up to
// Match.Seconds earlier or later than in virtual time.
func (s *Scenario) serverDifferences(sockets, virtual []Second) []string {
	var list []string
	tolerance := int(math.Ceil(s.Match.Seconds))
	for i := tolerance; i < min(len(sockets), len(virtual), int(s.Seconds))-tolerance; i++ {
		n := sockets[i].serversUp()
		low, high := math.MaxInt, 0
		for _, second := range virtual[i-tolerance : i+tolerance+1] {
			low = min(low, second.serversUp())
			high = max(high, second.serversUp())
		}
		if n < low || n > high {
			list = append(list, fmt.Sprintf("second %d: %d servers up on sockets, %d to %d in virtual time", i, n, low, high))
		}
	}
	return list
}

// serversUp returns the number of servers that process requests at full or reduced speed.
func (s Second) serversUp() int { return s.Ready + s.WarmingUp + s.Degraded }
