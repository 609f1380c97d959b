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
	Scenario string  `json:"scenario"`
	Policy   string  `json:"policy"`
	Clock    string  `json:"clock"`
	Seed     uint64  `json:"seed"`
	Lookups  int     `json:"lookups"` // that somebody wanted
	InTime   int     `json:"in_time"` // successful within the latency objective, counted from the first try
	Late     int     `json:"late"`    // successful after it
	Unserved int     `json:"unserved"`
	Value    float64 `json:"value"`
	Share    float64 `json:"value_in_time"` // of all value

	Tries      int `json:"tries"`
	Honoured   int `json:"honoured"`
	Dismissed  int `json:"dismissed"`
	Forfeited  int `json:"forfeited"`
	Lost       int `json:"lost"`
	WithProxy  int `json:"lost_with_their_proxy"`
	Gone       int `json:"gone"` // their clients left first
	Unreached  int `json:"found_no_proxy"`
	Turned     int `json:"told_wrong"` // 4xx: the client's own fault, so the rig's
	Mismatched int `json:"mismatched"` // successful with another request's answer

	Legs    int      `json:"legs"`
	Work    float64  `json:"work"`
	Waste   float64  `json:"waste"` // of the work, done for nobody
	Repeats int      `json:"repeats_dropped"`
	Falls   int      `json:"falls"`
	Broken  [5]int   `json:"rules_broken"` // by rule, from 1
	First   []string `json:"first_breaches,omitempty"`

	P50     float64    `json:"P50"` // of successful tries, from when they were meant to be sent
	P90     float64    `json:"P90"`
	P99     float64    `json:"P99"`
	P999    float64    `json:"P999"`
	Tariffs []ByTariff `json:"tariffs"`
	Seconds []Second   `json:"seconds"`
	Events  []Event    `json:"events"`

	RigLate float64 `json:"rig_late_p99"` // how late tries were sent
	RigMost float64 `json:"rig_late_most"`
	Void    string  `json:"void,omitempty"` // why the figures count for nothing
	Took    float64 `json:"took"`           // s of wall time
	Peak    float64 `json:"proxy_memory_mb,omitempty"`
}

// ByTariff is what became of one class's requests.
type ByTariff struct {
	Name    string  `json:"name"`
	Lookups int     `json:"lookups"`
	InTime  int     `json:"in_time"`
	Share   float64 `json:"value_in_time"`
	P50     float64 `json:"p50"`
	P99     float64 `json:"p99"`
}

// Second is one second of a run.
type Second struct {
	At        int     `json:"At"`
	Asked     int     `json:"Asked"`
	InTime    int     `json:"InTime"`
	Late      int     `json:"Late"`
	Dismissed int     `json:"Dismissed"`
	Forfeited int     `json:"Forfeited"`
	Lost      int     `json:"Lost"`
	Legs      int     `json:"Legs"`
	P50       float64 `json:"P50"`
	P99       float64 `json:"P99"`
	Ready     int     `json:"Ready"` // servers; requests waiting at them
	Cold      int     `json:"Cold"`
	Choked    int     `json:"Choked"`
	Still     int     `json:"Still"`
	Down      int     `json:"Down"`
	Silent    int     `json:"Silent"`
	Draining  int     `json:"Draining"`
	Waiting   int     `json:"Waiting"`
}

// Event is something that happened at a stated time.
type Event struct {
	At   float64 `json:"at"`
	What string  `json:"what"`
}

const (
	shortest = 1           // microseconds
	longest  = 120_000_000 // of them: more than any try takes
	figures3 = 3           // significant ones of all times
	figures2 = 2           // of a second's
)

// tally counts for a Result while a run goes on.
type tally struct {
	Result
	tariffs []balance.Class
	times   *hdrhistogram.Histogram
	by      []*hdrhistogram.Histogram
	late    *hdrhistogram.Histogram
	second  *hdrhistogram.Histogram
	worth   []float64 // by class
	gained  []float64
	useful  float64 // work of successful attempts that were handed on
}

func newTally(s *Scenario, classes []balance.Class, seed uint64, policy, clock string) *tally {
	hist := func(figures int) *hdrhistogram.Histogram { return hdrhistogram.New(shortest, longest, figures) }
	t := &tally{tariffs: classes, times: hist(figures3), late: hist(figures3), second: hist(figures2),
		worth: make([]float64, len(classes)), gained: make([]float64, len(classes))}
	t.Scenario, t.Seed, t.Policy, t.Clock = s.Name, seed, policy, clock
	for _, row := range classes {
		t.Tariffs = append(t.Tariffs, ByTariff{Name: row.Name})
		t.by = append(t.by, hist(figures3))
	}
	return t
}

// now is the present second's row.
func (t *tally) now(at float64) *Second {
	for i := len(t.Seconds); i <= int(at); i++ {
		t.Seconds = append(t.Seconds, Second{At: i})
	}
	return &t.Seconds[max(int(at), 0)]
}

func (t *tally) event(at float64, what string) { t.Events = append(t.Events, Event{at, what}) }

func (t *tally) asked(at float64, in *loadgen.Intent) {
	t.Lookups++
	t.Tariffs[in.Class].Lookups++
	t.worth[in.Class] += t.tariffs[in.Class].PriorityWeight
	t.now(at).Asked++
}

// successful counts a served try: took since the try was meant to be sent, whole since the request was wanted.
func (t *tally) honoured(at float64, in *loadgen.Intent, took, whole float64) {
	t.Honoured++
	us := int64(took * 1e6)
	t.times.RecordValue(us)
	t.by[in.Class].RecordValue(us)
	t.second.RecordValue(us)
	row := &t.tariffs[in.Class]
	due := row.LatencyObjective
	if due == 0 {
		due = row.Deadline
	}
	if whole <= due {
		t.InTime++
		t.Tariffs[in.Class].InTime++
		t.gained[in.Class] += row.PriorityWeight
		t.now(at).InTime++
	} else {
		t.Late++
		t.now(at).Late++
	}
}

func (t *tally) failed(at float64, answer balance.Reply) {
	if answer == balance.Rejected {
		t.Dismissed++
		t.now(at).Dismissed++
	} else {
		t.Forfeited++
		t.now(at).Forfeited++
	}
}

func (t *tally) lost(at float64) {
	t.Lost++
	t.now(at).Lost++
}

// look notes the servers' states at the end of a second.
func (t *tally) look(at float64, f *emulator.Fleet, attempts int) {
	s := t.now(at)
	s.Legs = attempts
	s.P50, s.P99 = float64(t.second.ValueAtQuantile(50))/1e6, float64(t.second.ValueAtQuantile(99))/1e6
	t.second.Reset()
	for _, m := range f.Members {
		if m.State == balance.Removed {
			continue
		}
		_, waiting, _ := m.Load()
		s.Waiting += waiting
		switch {
		case m.Reachability() == emulator.Unreachable:
			s.Silent++
		case m.Reachability() == emulator.Refusing:
			s.Down++
		case m.State == balance.Draining:
			s.Draining++
		case m.Paused():
			s.Still++
		case m.WarmingUp():
			s.Cold++
		case m.Degradation() > .1:
			s.Choked++
		default:
			s.Ready++
		}
	}
}

// close reckons up.
func (t *tally) close(f *emulator.Fleet, a *Audit) *Result {
	r := &t.Result
	worth, gained := 0.0, 0.0
	for i := range t.Tariffs {
		worth, gained = worth+t.worth[i], gained+t.gained[i]
		t.Tariffs[i].Share = share(t.gained[i], t.worth[i])
		t.Tariffs[i].P50, t.Tariffs[i].P99 = at(t.by[i], 50), at(t.by[i], 99)
	}
	r.Value, r.Share = gained, share(gained, worth)
	r.Unserved = r.Lookups - r.InTime - r.Late
	r.P50, r.P90, r.P99, r.P999 = at(t.times, 50), at(t.times, 90), at(t.times, 99), at(t.times, 99.9)
	for _, m := range f.Members {
		r.Work += m.Work
		r.Repeats += m.Duplicates
		r.Falls += m.Crashes
	}
	r.Waste = max(1-share(t.useful, r.Work), 0)
	r.Broken, r.First = a.Broken, a.First
	r.RigLate, r.RigMost = at(t.late, 99), float64(t.late.Max())/1e6
	return r
}

func at(h *hdrhistogram.Histogram, q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1e6 }

func share(part, whole float64) float64 {
	if whole == 0 {
		return 0
	}
	return part / whole
}

// Kept tells whether no rule was broken and nothing was lost otherwise.
func (r *Result) Kept() bool { return r.Broken == [5]int{} && r.Mismatched == 0 }

// Write writes a run's timeline: its events and a line a second, alike for the same seed in virtual time.
func (r *Result) Write(w io.Writer) error {
	fmt.Fprintf(w, "# %s, %s, %s clock, seed %d\n", r.Scenario, r.Policy, r.Clock, r.Seed)
	for _, e := range r.Events {
		fmt.Fprintf(w, "@ %9.3f %s\n", e.At, e.What)
	}
	fmt.Fprintln(w, "s\tasked\tin_time\tlate\tdismissed\tforfeited\tlost\tlegs\tp50_ms\tp99_ms\tready\tcold\tchoked\tstill\tdown\tsilent\tdraining\twaiting")
	var err error
	for _, s := range r.Seconds {
		_, err = fmt.Fprintf(w, "%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.2f\t%.2f\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\n", s.At, s.Asked, s.InTime, s.Late,
			s.Dismissed, s.Forfeited, s.Lost, s.Legs, s.P50*1000, s.P99*1000, s.Ready, s.Cold, s.Choked, s.Still, s.Down, s.Silent, s.Draining, s.Waiting)
	}
	return err
}

// Differs says by what a run on sockets differs from the virtual one beyond the scenario's tolerance; nothing: by nothing.
func (s *Scenario) Differs(sockets, virtual *Result) (list []string) {
	var a, b []Event
	scripted := func(all []Event) (list []Event) {
		for _, e := range all {
			if e.What != "" && e.What[0] != '!' { // what servers did by themselves may differ
				list = append(list, e)
			}
		}
		return list
	}
	if a, b = scripted(sockets.Events), scripted(virtual.Events); len(a) != len(b) {
		return []string{fmt.Sprintf("%d events, %d in virtual time", len(a), len(b))}
	}
	for i := range a {
		if a[i].What != b[i].What || math.Abs(a[i].At-b[i].At) > s.Match.Seconds {
			list = append(list, fmt.Sprintf("event %q at %.3f s, %q at %.3f s in virtual time", a[i].What, a[i].At, b[i].What, b[i].At))
		}
	}
	if d := sockets.Share - virtual.Share; math.Abs(d) > s.Match.Share {
		list = append(list, fmt.Sprintf("value in time %.3f, %.3f in virtual time", sockets.Share, virtual.Share))
	}
	up := func(s Second) int { return s.Ready + s.Cold + s.Choked }
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
