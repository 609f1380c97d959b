package simulation

import (
	"github.com/HdrHistogram/hdrhistogram-go"

	"lockloom/balance"
	"lockloom/internal/emulator"
	"lockloom/internal/loadgen"
)

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
