package simulation

import (
	"context"
	"fmt"
	"math"
	"runtime"
	"slices"
	"sync"
)

// Row is what a policy came to over the seeds of an experiment.
type Row struct {
	Scenario, Policy, Clock                     string
	Seeds                                       int
	ValueInTime, MinValueInTime, MaxValueInTime float64 // value in time: mean, worst and best seed
	ValueStdDev                                 float64 // its standard deviation over the seeds
	InTime, Late, Unserved                      float64 // of the requests wanted
	Rejected, Failed                            float64 // of the tries
	Lost                                        int
	AttemptsPerTry                              float64 // a try
	WastedFraction                              float64
	P50, P99                                    float64 // s; means over the seeds
	RulesBroken                                 [5]int  // summed
	VoidSeeds                                   int     // seeds whose figures count for nothing, left out of all others
}

// Summarize is the row of a policy's results.
func Summarize(all []*Result) Row {
	var w Row
	w.MinValueInTime = math.Inf(1)
	var shares []float64
	requests, tries := 0.0, 0.0
	for _, r := range all {
		w.Scenario, w.Policy, w.Clock = r.Scenario, r.Policy, r.Clock
		if r.Void != "" {
			w.VoidSeeds++
			continue
		}
		shares = append(shares, r.ValueInTime)
		w.MinValueInTime, w.MaxValueInTime = min(w.MinValueInTime, r.ValueInTime), max(w.MaxValueInTime, r.ValueInTime)
		requests, tries = requests+float64(r.Intents), tries+float64(r.Tries)
		w.InTime, w.Late, w.Unserved = w.InTime+float64(r.InTime), w.Late+float64(r.Late), w.Unserved+float64(r.Unserved)
		w.Rejected, w.Failed = w.Rejected+float64(r.Rejected), w.Failed+float64(r.Failed)
		w.Lost += r.Lost
		w.AttemptsPerTry += float64(r.Attempts)
		w.WastedFraction, w.P50, w.P99 = w.WastedFraction+r.WastedFraction, w.P50+r.P50, w.P99+r.P99
		for i, n := range r.RulesBroken {
			w.RulesBroken[i] += n
		}
	}
	if w.Seeds = len(shares); w.Seeds == 0 {
		w.MinValueInTime = 0
		return w
	}
	n := float64(w.Seeds)
	for _, s := range shares {
		w.ValueInTime += s / n
	}
	for _, s := range shares {
		w.ValueStdDev += (s - w.ValueInTime) * (s - w.ValueInTime) / n
	}
	w.ValueStdDev = math.Sqrt(w.ValueStdDev)
	for _, x := range []*float64{&w.InTime, &w.Late, &w.Unserved} {
		*x = share(*x, requests)
	}
	for _, x := range []*float64{&w.Rejected, &w.Failed, &w.AttemptsPerTry} {
		*x = share(*x, tries)
	}
	w.WastedFraction, w.P50, w.P99 = w.WastedFraction/n, w.P50/n, w.P99/n
	return w
}

// Seeds are those of an experiment, from the first one.
func Seeds(first uint64, n int) []uint64 {
	list := make([]uint64, n)
	for i := range list {
		list[i] = first + uint64(i)
	}
	return list
}

// Experiment plays a scenario in virtual time with each policy and seed, as many at once as there are cores. The
// results come by policy in the order asked for, then by seed, whichever ends first.
func (s *Scenario) Experiment(ctx context.Context, policies []string, seeds []uint64) ([][]*Result, error) {
	if err := CheckPolicies(policies); err != nil {
		return nil, err
	}
	results := make([][]*Result, len(policies))
	var work sync.WaitGroup
	var mu sync.Mutex
	var fault error
	turns := make(chan struct{}, runtime.GOMAXPROCS(0))
	for i, name := range policies {
		policy := Policies[name]
		results[i] = make([]*Result, len(seeds))
		for k, seed := range seeds {
			work.Go(func() {
				turns <- struct{}{}
				defer func() { <-turns }()
				if ctx.Err() != nil {
					return
				}
				r, err := s.Virtual(name, policy(), seed)
				if err != nil {
					mu.Lock()
					defer mu.Unlock()
					fault = fmt.Errorf("%s, %s, seed %d: %w", s.Name, name, seed, err)
				}
				results[i][k] = r
			})
		}
	}
	work.Wait()
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	return results, fault
}

// CheckPolicies says whether a policy has been asked for that there is.
func CheckPolicies(policies []string) error {
	for _, name := range policies {
		if !slices.Contains(sortedNames(Policies), name) {
			return fmt.Errorf("policy %q: it is one of %v", name, sortedNames(Policies))
		}
	}
	return nil
}
