package simulation

import (
	"fmt"
	"io"
)

// Result is what a run came to. Times are in seconds.
type Result struct {
	Scenario    string  `json:"scenario"`
	Policy      string  `json:"policy"`
	Clock       string  `json:"clock"`
	Seed        uint64  `json:"seed"`
	Intents     int     `json:"lookups"` // that somebody wanted
	InTime      int     `json:"in_time"` // successful within the latency objective, counted from the first try
	Late        int     `json:"late"`    // successful after it
	Unserved    int     `json:"unserved"`
	Value       float64 `json:"value"`
	ValueInTime float64 `json:"value_in_time"` // of all value

	Tries         int `json:"tries"`
	Succeeded     int `json:"honoured"` //nolint:misspell // published spelling
	Rejected      int `json:"dismissed"`
	Failed        int `json:"forfeited"`
	Lost          int `json:"lost"`
	LostWithProxy int `json:"lost_with_their_proxy"`
	ClientGone    int `json:"gone"` // their clients left first
	NoProxy       int `json:"found_no_proxy"`
	ClientFaults  int `json:"told_wrong"` // 4xx: the client's own fault, so the rig's
	Mismatched    int `json:"mismatched"` // successful with another request's answer

	Attempts          int      `json:"legs"`
	Work              float64  `json:"work"`
	WastedFraction    float64  `json:"waste"` // of the work, done for nobody
	DuplicatesDropped int      `json:"repeats_dropped"`
	Crashes           int      `json:"falls"`
	RulesBroken       [5]int   `json:"rules_broken"` // by rule, from 1
	FirstBreaches     []string `json:"first_breaches,omitempty"`

	P50     float64       `json:"P50"` // of successful tries, from when they were meant to be sent
	P90     float64       `json:"P90"`
	P99     float64       `json:"P99"`
	P999    float64       `json:"P999"`
	Classes []ClassResult `json:"tariffs"`
	Seconds []Second      `json:"seconds"`
	Events  []Event       `json:"events"`

	RigLateP99    float64 `json:"rig_late_p99"` // how late tries were sent
	RigLateMax    float64 `json:"rig_late_most"`
	Void          string  `json:"void,omitempty"` // why the figures count for nothing
	WallTime      float64 `json:"took"`           // s of wall time
	ProxyMemoryMB float64 `json:"proxy_memory_mb,omitempty"`
}

// ClassResult is what became of one class's requests.
type ClassResult struct {
	Name        string  `json:"name"`
	Intents     int     `json:"lookups"`
	InTime      int     `json:"in_time"`
	ValueInTime float64 `json:"value_in_time"`
	P50         float64 `json:"p50"`
	P99         float64 `json:"p99"`
}

// Second is one second of a run.
type Second struct {
	At          int     `json:"At"`
	Intents     int     `json:"Asked"`
	InTime      int     `json:"InTime"`
	Late        int     `json:"Late"`
	Rejected    int     `json:"Dismissed"`
	Failed      int     `json:"Forfeited"`
	Lost        int     `json:"Lost"`
	Attempts    int     `json:"Legs"`
	P50         float64 `json:"P50"`
	P99         float64 `json:"P99"`
	Ready       int     `json:"Ready"` // servers; requests waiting at them
	WarmingUp   int     `json:"Cold"`
	Degraded    int     `json:"Choked"`
	Paused      int     `json:"Still"`
	Down        int     `json:"Down"`
	Unreachable int     `json:"Silent"`
	Draining    int     `json:"Draining"`
	Waiting     int     `json:"Waiting"`
}

// Event is something that happened at a stated time.
type Event struct {
	At   float64 `json:"at"`
	Text string  `json:"what"`
}

// Passed reports whether no rule was broken and no answer was mismatched.
func (r *Result) Passed() bool { return r.RulesBroken == [5]int{} && r.Mismatched == 0 }

// secondColumns are the columns of a timeline's lines.
const secondColumns = "s\tasked\tin_time\tlate\tdismissed\tforfeited\tlost\tlegs\tp50_ms\tp99_ms\t" +
	"ready\tcold\tchoked\tstill\tdown\tsilent\tdraining\twaiting"

// Write writes a run's timeline: its events and a line a second, alike for the same seed in virtual time.
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

func (s *Second) line() string {
	requests := fmt.Sprintf("%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.2f\t%.2f",
		s.At, s.Intents, s.InTime, s.Late, s.Rejected, s.Failed, s.Lost, s.Attempts, s.P50*1000, s.P99*1000)
	servers := fmt.Sprintf("%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d",
		s.Ready, s.WarmingUp, s.Degraded, s.Paused, s.Down, s.Unreachable, s.Draining, s.Waiting)
	return requests + "\t" + servers
}
