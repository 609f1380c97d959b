package simulation

import (
	"fmt"
	"io"
	"math"

	"github.com/HdrHistogram/hdrhistogram-go"

	"lockloom/balance"
	"lockloom/internal/emulator"
	"lockloom/internal/loadgen"
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
	Succeeded     int `json:"honoured"`
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

const (
	minLatencyMicros = 1           // microseconds
	maxLatencyMicros = 120_000_000 // of them: more than any try takes
	totalDigits      = 3           // significant ones of all times
	secondDigits     = 2           // of a second's
)

// tally counts for a Result while a run goes on.
type tally struct {
	Result
	classes     []balance.Class
	times       *hdrhistogram.Histogram
	byClass     []*hdrhistogram.Histogram
	rigLate     *hdrhistogram.Histogram
	secondTimes *hdrhistogram.Histogram
	offered     []float64 // byClass class
	inTime      []float64
	usefulWork  float64 // work of successful attempts that were handed on
}

func newTally(s *Scenario, classes []balance.Class, seed uint64, policy, clock string) *tally {
	hist := func(figures int) *hdrhistogram.Histogram {
		return hdrhistogram.New(minLatencyMicros, maxLatencyMicros, figures)
	}
	t := &tally{classes: classes, times: hist(totalDigits), rigLate: hist(totalDigits), secondTimes: hist(secondDigits),
		offered: make([]float64, len(classes)), inTime: make([]float64, len(classes))}
	t.Scenario, t.Seed, t.Policy, t.Clock = s.Name, seed, policy, clock
	for _, row := range classes {
		t.Classes = append(t.Classes, ClassResult{Name: row.Name})
		t.byClass = append(t.byClass, hist(totalDigits))
	}
	return t
}

// second is the present second's row.
func (t *tally) second(at float64) *Second {
	for i := len(t.Seconds); i <= int(at); i++ {
		t.Seconds = append(t.Seconds, Second{At: i})
	}
	return &t.Seconds[max(int(at), 0)]
}

func (t *tally) event(at float64, what string) { t.Events = append(t.Events, Event{at, what}) }

func (t *tally) intentDue(at float64, in *loadgen.Intent) {
	t.Intents++
	t.Classes[in.Class].Intents++
	t.offered[in.Class] += t.classes[in.Class].PriorityWeight
	t.second(at).Intents++
}

// successful counts a served try: took since the try was meant to be sent, whole since the request was wanted.
func (t *tally) succeeded(at float64, in *loadgen.Intent, took, whole float64) {
	t.Succeeded++
	us := int64(took * 1e6)
	t.times.RecordValue(us)
	t.byClass[in.Class].RecordValue(us)
	t.secondTimes.RecordValue(us)
	row := &t.classes[in.Class]
	due := row.LatencyObjective
	if due == 0 {
		due = row.Deadline
	}
	if whole <= due {
		t.InTime++
		t.Classes[in.Class].InTime++
		t.inTime[in.Class] += row.PriorityWeight
		t.second(at).InTime++
	} else {
		t.Late++
		t.second(at).Late++
	}
}

func (t *tally) failed(at float64, answer balance.Reply) {
	if answer == balance.Rejected {
		t.Rejected++
		t.second(at).Rejected++
	} else {
		t.Failed++
		t.second(at).Failed++
	}
}

func (t *tally) lost(at float64) {
	t.Lost++
	t.second(at).Lost++
}

// endSecond notes the servers' states at the end of a second.
func (t *tally) endSecond(at float64, f *emulator.Fleet, attempts int) {
	s := t.second(at)
	s.Attempts = attempts
	s.P50, s.P99 = float64(t.secondTimes.ValueAtQuantile(50))/1e6, float64(t.secondTimes.ValueAtQuantile(99))/1e6
	t.secondTimes.Reset()
	for _, m := range f.Members {
		if m.State == balance.Removed {
			continue
		}
		_, waiting, _ := m.Load()
		s.Waiting += waiting
		switch {
		case m.Reachability() == emulator.Unreachable:
			s.Unreachable++
		case m.Reachability() == emulator.Refusing:
			s.Down++
		case m.State == balance.Draining:
			s.Draining++
		case m.Paused():
			s.Paused++
		case m.WarmingUp():
			s.WarmingUp++
		case m.Degradation() > .1:
			s.Degraded++
		default:
			s.Ready++
		}
	}
}

// result reckons up.
func (t *tally) result(f *emulator.Fleet, a *Audit) *Result {
	r := &t.Result
	worth, gained := 0.0, 0.0
	for i := range t.Classes {
		worth, gained = worth+t.offered[i], gained+t.inTime[i]
		t.Classes[i].ValueInTime = share(t.inTime[i], t.offered[i])
		t.Classes[i].P50, t.Classes[i].P99 = at(t.byClass[i], 50), at(t.byClass[i], 99)
	}
	r.Value, r.ValueInTime = gained, share(gained, worth)
	r.Unserved = r.Intents - r.InTime - r.Late
	r.P50, r.P90, r.P99, r.P999 = at(t.times, 50), at(t.times, 90), at(t.times, 99), at(t.times, 99.9)
	for _, m := range f.Members {
		r.Work += m.Work
		r.DuplicatesDropped += m.Duplicates
		r.Crashes += m.Crashes
	}
	r.WastedFraction = max(1-share(t.usefulWork, r.Work), 0)
	r.RulesBroken, r.FirstBreaches = a.RulesBroken, a.FirstBreaches
	r.RigLateP99, r.RigLateMax = at(t.rigLate, 99), float64(t.rigLate.Max())/1e6
	return r
}

func at(h *hdrhistogram.Histogram, q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1e6 }

func share(part, whole float64) float64 {
	if whole == 0 {
		return 0
	}
	return part / whole
}

// Passed tells whether no rule was broken and nothing was lost otherwise.
func (r *Result) Passed() bool { return r.RulesBroken == [5]int{} && r.Mismatched == 0 }

// Write writes a run's timeline: its events and a line a second, alike for the same seed in virtual time.
func (r *Result) Write(w io.Writer) error {
	fmt.Fprintf(w, "# %s, %s, %s clock, seed %d\n", r.Scenario, r.Policy, r.Clock, r.Seed)
	for _, e := range r.Events {
		fmt.Fprintf(w, "@ %9.3f %s\n", e.At, e.Text)
	}
	fmt.Fprintln(w, "s\tasked\tin_time\tlate\tdismissed\tforfeited\tlost\tlegs\tp50_ms\tp99_ms\tready\tcold\tchoked\tstill\tdown\tsilent\tdraining\twaiting")
	var err error
	for _, s := range r.Seconds {
		_, err = fmt.Fprintf(w, "%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.2f\t%.2f\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\n", s.At, s.Intents, s.InTime, s.Late,
			s.Rejected, s.Failed, s.Lost, s.Attempts, s.P50*1000, s.P99*1000, s.Ready, s.WarmingUp, s.Degraded, s.Paused, s.Down, s.Unreachable, s.Draining, s.Waiting)
	}
	return err
}

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
			list = append(list, fmt.Sprintf("event %q at %.3f s, %q at %.3f s in virtual time", a[i].Text, a[i].At, b[i].Text, b[i].At))
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
