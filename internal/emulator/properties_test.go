package emulator

import (
	"math"
	"testing"

	"pgregory.net/rapid"

	"lockloom/balance"
)

// TestProperties makes random calls on a server and checks that each submitted job completes at most once, that work is
// conserved, and that no more work is done than the cores are capable of.
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

// propertyRun is a server under random calls, with the totals expected from the calls so far.
type propertyRun struct {
	*Server
	spec         Spec
	group        *DedupGroup
	now          float64
	submitted    int // number of jobs; their Refs are 1 to submitted
	completed    map[int]bool
	work         map[int]float64 // work of each submitted job, by Ref
	finishedWork float64         // work of the jobs that were run and succeeded
	lostWork     float64         // work done on jobs that were running when the server crashed
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
		r.checkCompletions(t, r.Advance(r.now))
		r.lostWork += r.partialWork()
		r.checkCompletions(t, r.Crash(r.now, r.now+rapid.Float64Range(0, 2).Draw(t, "downtime")))
	case 1:
		r.checkCompletions(t, r.Pause(r.now, r.now+rapid.Float64Range(0, 2).Draw(t, "pause")))
	case 2:
		r.checkCompletions(t, r.SetSpeedFactor(r.now, rapid.Float64Range(.1, 2).Draw(t, "factor")))
	case 3:
		_, completions := r.Abandon(r.now, rapid.IntRange(0, r.submitted+1).Draw(t, "abandoned"))
		r.checkCompletions(t, completions)
	case 4:
		r.checkCompletions(t, r.SetErrorShare(r.now, -1, rapid.SampledFrom([]float64{0, .5}).Draw(t, "share")))
	default:
		r.submitted++
		job := Job{
			Ref:         r.submitted,
			Work:        rapid.Float64Range(.01, 1).Draw(t, "work"),
			DedupKey:    rapid.Uint64Range(0, 3).Draw(t, "key"),
			DedupWindow: 2,
			DedupGroup:  r.group,
		}
		r.work[r.submitted] = job.Work
		r.checkCompletions(t, r.Receive(r.now, job))
	}
}

func (r *propertyRun) checkCompletions(t *rapid.T, completions []Completion) {
	for _, c := range completions {
		if r.completed[c.Ref] || c.Ref > r.submitted || c.At > r.now+1e-9 {
			t.Fatalf("completed twice, never submitted, or in the future: %+v at %v s", c, r.now)
		}
		r.completed[c.Ref] = true
		if c.Outcome == balance.Succeeded && !c.Duplicate {
			r.finishedWork += r.work[c.Ref]
		}
	}
}

// partialWork returns the work done so far on running jobs.
func (r *propertyRun) partialWork() (sum float64) {
	for _, running := range r.running {
		sum += running.job.Work - (running.endsAt - r.virtualWork)
	}
	return sum
}

func (r *propertyRun) checkWork(t *rapid.T) {
	if len(r.running) > r.spec.Cores || r.queued.len() > r.spec.QueueCapacity {
		t.Fatalf("%d jobs running on %d cores, %d queued with a capacity of %d",
			len(r.running), r.spec.Cores, r.queued.len(), r.spec.QueueCapacity)
	}
	done := r.finishedWork + r.lostWork + r.partialWork()
	if r.spec.CrashWindow == 0 && math.Abs(r.Work-done) > 1e-6 {
		t.Fatalf("finished, lost and partial work add up to %v s, but Server.Work is %v s", done, r.Work)
	}
	const maxSpeedFactor = 2 // the largest factor that call draws
	if r.Work > r.now*float64(r.spec.Cores)*maxSpeedFactor+1e-9 {
		t.Fatalf("%v s of work by %v s is more than the cores are capable of", r.Work, r.now)
	}
}

func (r *propertyRun) checkCounts(t *rapid.T) {
	if n := len(r.completed) + r.InFlight() + r.Unreceived; n > r.submitted {
		t.Fatalf("%d jobs completed, in flight or unreceived, of %d submitted", n, r.submitted)
	}
	if r.Received < r.Started+r.Duplicates || r.Succeeded > r.Started {
		t.Fatalf("inconsistent counts: %+v", r.Counts)
	}
}
