package simulation

import (
	"fmt"
	"io"
)

// Result holds the figures of a run. An intent is one thing that a client wants answered; a try is one request for it.
// Times are in seconds.
type Result struct {
	Scenario    string  `json:"scenario"`
	Policy      string  `json:"policy"`
	Clock       string  `json:"clock"`
	Seed        uint64  `json:"seed"`
	Intents     int     `json:"lookups"`
	InTime      int     `json:"in_time"`       // intents that succeeded within the latency objective
	Late        int     `json:"late"`          // intents that succeeded later
	Unserved    int     `json:"unserved"`      // intents that did not succeed
	Value       float64 `json:"value"`         // total priority weight of the intents that InTime counts
	ValueInTime float64 `json:"value_in_time"` // Value divided by the total priority weight of all intents

	Tries         int `json:"tries"`
	Succeeded     int `json:"honoured"` //nolint:misspell // published spelling
	Rejected      int `json:"dismissed"`
	Failed        int `json:"forfeited"`
	Lost          int `json:"lost"`                  // tries that ended without an answer
	LostWithProxy int `json:"lost_with_their_proxy"` // tries lost because their proxy was killed
	ClientGone    int `json:"gone"`                  // tries whose clients stopped waiting before the answer
	NoProxy       int `json:"found_no_proxy"`        // requests that no proxy accepted; they are not counted in Tries
	ClientFaults  int `json:"told_wrong"`            // tries failed with a 4xx status other than 429: a fault of the rig
	Mismatched    int `json:"mismatched"`            // tries whose successful answer belongs to another request

	Attempts          int      `json:"legs"`
	Work              float64  `json:"work"`  // s of a core at speed 1, done by all servers
	WastedFraction    float64  `json:"waste"` // share of the work whose answer reached no client
	DuplicatesDropped int      `json:"repeats_dropped"`
	Crashes           int      `json:"falls"`
	RulesBroken       [5]int   `json:"rules_broken"` // number of breaches by rule, see Audit; index 0 is unused
	FirstBreaches     []string `json:"first_breaches,omitempty"`

	P50     float64       `json:"P50"` // latency percentiles of successful tries, from when each try was due
	P90     float64       `json:"P90"`
	P99     float64       `json:"P99"`
	P999    float64       `json:"P999"`
	Classes []ClassResult `json:"tariffs"`
	Seconds []Second      `json:"seconds"`
	Events  []Event       `json:"events"`

	RigLateP99    float64 `json:"rig_late_p99"`   // 99th percentile of the delay from when a try is due until it is sent
	RigLateMax    float64 `json:"rig_late_most"`  // maximum of that delay
	Void          string  `json:"void,omitempty"` // why the figures must not be used; empty: they are valid
	WallTime      float64 `json:"took"`           // wall time of the run
	ProxyMemoryMB float64 `json:"proxy_memory_mb,omitempty"`
}

// ClassResult holds the figures of one class; see Result.
type ClassResult struct {
	Name        string  `json:"name"`
	Intents     int     `json:"lookups"`
	InTime      int     `json:"in_time"`
	ValueInTime float64 `json:"value_in_time"`
	P50         float64 `json:"p50"`
	P99         float64 `json:"p99"`
}

// Second holds the figures of one second of a run. The fields from Ready to Draining are the numbers of servers in each
// state at its end.
type Second struct {
	At          int     `json:"At"` // number of the second, from 0
	Intents     int     `json:"Asked"`
	InTime      int     `json:"InTime"`
	Late        int     `json:"Late"`
	Rejected    int     `json:"Dismissed"`
	Failed      int     `json:"Forfeited"`
	Lost        int     `json:"Lost"`
	Attempts    int     `json:"Legs"`
	P50         float64 `json:"P50"`
	P99         float64 `json:"P99"`
	Ready       int     `json:"Ready"`
	WarmingUp   int     `json:"Cold"`
	Degraded    int     `json:"Choked"`
	Paused      int     `json:"Still"`
	Down        int     `json:"Down"`
	Unreachable int     `json:"Silent"`
	Draining    int     `json:"Draining"`
	Queued      int     `json:"Waiting"` // requests queued at the servers
}

// Event is an event of a run: one from the timeline of the scenario, or a crash of a server in slow start, whose text
// begins with "!".
type Event struct {
	At   float64 `json:"at"`
	Text string  `json:"what"`
}

// Passed reports whether no rule was broken and no answer was mismatched.
func (r *Result) Passed() bool { return r.RulesBroken == [5]int{} && r.Mismatched == 0 }

// secondColumns is the header of the timeline's lines, one per second; see Second.line.
const secondColumns = "s\tasked\tin_time\tlate\tdismissed\tforfeited\tlost\tlegs\tp50_ms\tp99_ms\t" +
	"ready\tcold\tchoked\tstill\tdown\tsilent\tdraining\twaiting"

// Write writes the timeline of a run: its events, then one line per second. In virtual time, the same seed yields the
// same text.
func (r *Result) Write(w io.Writer) error {
	fmt.Fprintf(w, "# %s, %s, %s clock, seed %d\n", r.Scenario, r.Policy, r.Clock, r.Seed)
	for _, e := range r.Events {
		fmt.Fprintf(w, "@ %9.3f %s\n", e.At, e.Text)
	}
	_, err := fmt.Fprintln(w, secondColumns)
	for i := range r.Seconds {
		_, err = fmt.Fprintln(w, r.Seconds[i].line())
	}
	return err
}

// line formats the figures of the second as one line with the columns of secondColumns.
func (s *Second) line() string {
	requests := fmt.Sprintf("%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.2f\t%.2f",
		s.At, s.Intents, s.InTime, s.Late, s.Rejected, s.Failed, s.Lost, s.Attempts, s.P50*1000, s.P99*1000)
	servers := fmt.Sprintf("%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d",
		s.Ready, s.WarmingUp, s.Degraded, s.Paused, s.Down, s.Unreachable, s.Draining, s.Queued)
	return requests + "\t" + servers
}
