package emulator

import (
	"math"
	"testing"

	"pgregory.net/rapid"

	"lockloom/balance"
)

// TestProperties makes random calls on a server: each job that was given completes at most once, work is conserved, and
// no more is done than the cores can do.
func TestProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		run := newPropertyRun(t)
		for range rapid.IntRange(1, 60).Draw(t, "calls") {
			run.now += rapid.Float64Range(0, .7).Draw(t, "gap")
			run.call(t)
			run.checkWork(t)
		}
		run.checkCounts(t)
	})
}

// propertyRun is a server under random calls, with what the calls so far must add up to.
type propertyRun struct {
	*Server
	spec      Spec
	group     *DedupGroup
	now       float64
	given     int // jobs; their Ref goes from 1 to this
	completed map[int]bool
	work      map[int]float64 // by Ref
	finished  float64         // work of the jobs that succeeded
	lost      float64         // work done of jobs that a crash interrupted
}

func newPropertyRun(t *rapid.T) *propertyRun {
	spec := Spec{
		Cores:               rapid.IntRange(1, 3).Draw(t, "cores"),
		Speed:               1,
		QueueCapacity:       rapid.IntRange(0, 5).Draw(t, "queue capacity"),
		SlowStartFraction:   .3,
		SlowStartDuration:   3,
		CrashFactor:         3,
		CrashDowntime:       1,
		CrashWindow:         rapid.SampledFrom([]float64{0, 1}).Draw(t, "crash window"),
		DegradeQueueLength:  3,
		DegradedSpeed:       .5,
		DegradeTimeConstant: 1,
		RecoverTimeConstant: 5,
		CacheSize:           2,
		CachedWorkFraction:  .5,
	}
	run := &propertyRun{
		Server:    New(spec, 1),
		spec:      spec,
		group:     &DedupGroup{},
		completed: map[int]bool{},
		work:      map[int]float64{},
	}
	run.Start(0, rapid.Bool().Draw(t, "warm"))
	return run
}

// call makes one random call and checks the completions that it returns.
func (r *propertyRun) call(t *rapid.T) {
	switch rapid.IntRange(0, 12).Draw(t, "call") {
	case 0:
		r.check(t, r.Advance(r.now))
		r.lost += r.partialWork()
		r.check(t, r.Crash(r.now, r.now+rapid.Float64Range(0, 2).Draw(t, "downtime")))
	case 1:
		r.check(t, r.Pause(r.now, r.now+rapid.Float64Range(0, 2).Draw(t, "pause")))
	case 2:
		r.check(t, r.SetSpeedFactor(r.now, rapid.Float64Range(.1, 2).Draw(t, "factor")))
	case 3:
		_, completions := r.Abandon(r.now, rapid.IntRange(0, r.given+1).Draw(t, "abandoned"))
		r.check(t, completions)
	case 4:
		r.check(t, r.SetErrorShare(r.now, -1, rapid.SampledFrom([]float64{0, .5}).Draw(t, "share")))
	default:
		r.given++
		job := Job{
			Ref:         r.given,
			Work:        rapid.Float64Range(.01, 1).Draw(t, "work"),
			DedupKey:    rapid.Uint64Range(0, 3).Draw(t, "key"),
			DedupWindow: 2,
			DedupGroup:  r.group,
		}
		r.work[r.given] = job.Work
		r.check(t, r.Receive(r.now, job))
	}
}

func (r *propertyRun) check(t *rapid.T, completions []Completion) {
	for _, c := range completions {
		if r.completed[c.Ref] || c.Ref > r.given || c.At > r.now+1e-9 {
			t.Fatalf("completed twice, never given, or in the future: %+v at %v", c, r.now)
		}
		r.completed[c.Ref] = true
		if c.Outcome == balance.Succeeded && !c.Duplicate {
			r.finished += r.work[c.Ref]
		}
	}
}

// partialWork is the work done so far of the jobs that run.
func (r *propertyRun) partialWork() (sum float64) {
	for _, running := range r.running {
		sum += running.job.Work - (running.endsAt - r.virtualWork)
	}
	return sum
}

func (r *propertyRun) checkWork(t *rapid.T) {
	if len(r.running) > r.spec.Cores || r.waiting.len() > r.spec.QueueCapacity {
		t.Fatalf("%d running on %d cores, %d waiting in %d",
			len(r.running), r.spec.Cores, r.waiting.len(), r.spec.QueueCapacity)
	}
	done := r.finished + r.lost + r.partialWork()
	if r.spec.CrashWindow == 0 && math.Abs(r.Work-done) > 1e-6 {
		t.Fatalf("%v of work is accounted for of %v", done, r.Work)
	}
	const maxSpeedFactor = 2 // that call draws
	if r.Work > r.now*float64(r.spec.Cores)*maxSpeedFactor+1e-9 {
		t.Fatalf("%v of work by %v", r.Work, r.now)
	}
}

func (r *propertyRun) checkCounts(t *rapid.T) {
	if n := len(r.completed) + r.InFlight() + r.Unreceived; n > r.given {
		t.Fatalf("%d completed or in flight of %d", n, r.given)
	}
	if r.Received < r.Started+r.Duplicates || r.Succeeded > r.Started {
		t.Fatalf("counts: %+v", r.Counts)
	}
}
