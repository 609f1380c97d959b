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

// Summarize returns the row of a policy's results. Void runs are only counted.
func Summarize(all []*Result) Row {
	row := Row{MinValueInTime: math.Inf(1)}
	var values []float64
	intents, tries := 0.0, 0.0
	for _, r := range all {
		row.Scenario = r.Scenario
		row.Policy = r.Policy
		row.Clock = r.Clock
		if r.Void != "" {
			row.VoidSeeds++
			continue
		}
		values = append(values, r.ValueInTime)
		intents += float64(r.Intents)
		tries += float64(r.Tries)
		row.add(r)
	}
	row.Seeds = len(values)
	if row.Seeds == 0 {
		row.MinValueInTime = 0
		return row
	}
	row.divide(intents, tries)
	row.ValueInTime, row.ValueStdDev = meanAndStdDev(values)
	return row
}

// add adds a run's counts and sums.
func (w *Row) add(r *Result) {
	w.MinValueInTime = min(w.MinValueInTime, r.ValueInTime)
	w.MaxValueInTime = max(w.MaxValueInTime, r.ValueInTime)
	w.InTime += float64(r.InTime)
	w.Late += float64(r.Late)
	w.Unserved += float64(r.Unserved)
	w.Rejected += float64(r.Rejected)
	w.Failed += float64(r.Failed)
	w.Lost += r.Lost
	w.AttemptsPerTry += float64(r.Attempts)
	w.WastedFraction += r.WastedFraction
	w.P50 += r.P50
	w.P99 += r.P99
	for rule, n := range r.RulesBroken {
		w.RulesBroken[rule] += n
	}
}

// divide turns sums over the seeds into fractions and means.
func (w *Row) divide(intents, tries float64) {
	for _, sum := range []*float64{&w.InTime, &w.Late, &w.Unserved} {
		*sum = share(*sum, intents)
	}
	for _, sum := range []*float64{&w.Rejected, &w.Failed, &w.AttemptsPerTry} {
		*sum = share(*sum, tries)
	}
	for _, sum := range []*float64{&w.WastedFraction, &w.P50, &w.P99} {
		*sum /= float64(w.Seeds)
	}
}

func meanAndStdDev(values []float64) (mean, stdDev float64) {
	n := float64(len(values))
	for _, v := range values {
		mean += v / n
	}
	variance := 0.0
	for _, v := range values {
		variance += (v - mean) * (v - mean) / n
	}
	return mean, math.Sqrt(variance)
}

// Seeds returns n seeds from the first one on.
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

// CheckPolicies returns an error that names the first policy that does not exist.
func CheckPolicies(policies []string) error {
	for _, name := range policies {
		if !slices.Contains(sortedNames(Policies), name) {
			return fmt.Errorf("policy %q: it is one of %v", name, sortedNames(Policies))
		}
	}
	return nil
}
