package simulation

import (
	"github.com/HdrHistogram/hdrhistogram-go"

	"lockloom/balance"
	"lockloom/internal/emulator"
	"lockloom/internal/loadgen"
)

const (
	minLatencyMicros = 1           // smallest latency that a histogram distinguishes from 0
	maxLatencyMicros = 120_000_000 // no try takes this long
	totalDigits      = 3           // significant digits of the latencies of a run
	secondDigits     = 2           // significant digits of the latencies of one second
	degradedFrom     = 0.1         // degradation, from 0 to 1, above which a server counts as degraded
)

// tally accumulates the Result of a run.
type tally struct {
	Result
	classes          []balance.Class
	latencies        *hdrhistogram.Histogram   // of all successful tries
	latenciesByClass []*hdrhistogram.Histogram // of successful tries
	rigLate          *hdrhistogram.Histogram   // delays between when tries are due and when they are sent
	secondLatencies  *hdrhistogram.Histogram   // of tries that succeeded in the current second
	offered          []float64                 // total priority weight of the intents, by class
	inTime           []float64                 // total priority weight of the intents that succeeded in time, by class
	usefulWork       float64                   // work of the attempts whose answer reached a client
}

func newTally(s *Scenario, classes []balance.Class, seed uint64, policy, clock string) *tally {
	hist := func(digits int) *hdrhistogram.Histogram {
		return hdrhistogram.New(minLatencyMicros, maxLatencyMicros, digits)
	}
	t := &tally{classes: classes, latencies: hist(totalDigits), rigLate: hist(totalDigits),
		secondLatencies: hist(secondDigits), offered: make([]float64, len(classes)), inTime: make([]float64, len(classes))}
	t.Scenario, t.Seed, t.Policy, t.Clock = s.Name, seed, policy, clock
	for _, class := range classes {
		t.Classes = append(t.Classes, ClassResult{Name: class.Name})
		t.latenciesByClass = append(t.latenciesByClass, hist(totalDigits))
	}
	return t
}

// second returns the figures of the second that a time belongs to. It appends missing entries to Seconds. at is in
// seconds since the start of the run.
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

// succeeded counts a try that succeeded sinceTry seconds after the try was due and sinceIntent seconds after its intent
// was due.
func (t *tally) succeeded(at float64, in *loadgen.Intent, sinceTry, sinceIntent float64) {
	t.Succeeded++
	for _, histogram := range []*hdrhistogram.Histogram{t.latencies, t.latenciesByClass[in.Class], t.secondLatencies} {
		record(histogram, sinceTry)
	}
	class := &t.classes[in.Class]
	objective := class.LatencyObjective
	if objective == 0 {
		objective = class.Deadline
	}
	if sinceIntent <= objective {
		t.InTime++
		t.Classes[in.Class].InTime++
		t.inTime[in.Class] += class.PriorityWeight
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

// endSecond records the attempts and latencies of a second, and the servers' states at its end.
func (t *tally) endSecond(at float64, f *emulator.Fleet, attempts int) {
	s := t.second(at)
	s.Attempts = attempts
	s.P50, s.P99 = float64(t.secondLatencies.ValueAtQuantile(50))/1e6, float64(t.secondLatencies.ValueAtQuantile(99))/1e6
	t.secondLatencies.Reset()
	for _, m := range f.Members {
		if m.State == balance.Removed {
			continue
		}
		_, queued, _ := m.Load()
		s.Queued += queued
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
		case m.Degradation() > degradedFrom:
			s.Degraded++
		default:
			s.Ready++
		}
	}
}

// result completes the Result when the run has ended, and returns it.
func (t *tally) result(f *emulator.Fleet, a *Audit) *Result {
	r := &t.Result
	offered, inTime := 0.0, 0.0
	for i := range t.Classes {
		offered += t.offered[i]
		inTime += t.inTime[i]
		t.Classes[i].ValueInTime = share(t.inTime[i], t.offered[i])
		t.Classes[i].P50, t.Classes[i].P99 = quantile(t.latenciesByClass[i], 50), quantile(t.latenciesByClass[i], 99)
	}
	r.Value = inTime
	r.ValueInTime = share(inTime, offered)
	r.Unserved = r.Intents - r.InTime - r.Late
	r.P50, r.P90, r.P99, r.P999 = quantile(t.latencies, 50), quantile(t.latencies, 90),
		quantile(t.latencies, 99), quantile(t.latencies, 99.9)
	for _, m := range f.Members {
		r.Work += m.Work
		r.DuplicatesDropped += m.Duplicates
		r.Crashes += m.Crashes
	}
	r.WastedFraction = max(1-share(t.usefulWork, r.Work), 0)
	r.RulesBroken, r.FirstBreaches = a.RulesBroken, a.FirstBreaches
	r.RigLateP99, r.RigLateMax = quantile(t.rigLate, 99), float64(t.rigLate.Max())/1e6
	return r
}

// quantile returns a percentile of the latencies, in seconds. q is in percent.
func quantile(h *hdrhistogram.Histogram, q float64) float64 {
	return float64(h.ValueAtQuantile(q)) / 1e6
}

// record records a latency in seconds. A latency out of the histogram's range is dropped, since no try takes that long.
func record(h *hdrhistogram.Histogram, seconds float64) { _ = h.RecordValue(int64(seconds * 1e6)) }

// share returns part divided by whole; 0 if whole is 0.
func share(part, whole float64) float64 {
	if whole == 0 {
		return 0
	}
	return part / whole
}
