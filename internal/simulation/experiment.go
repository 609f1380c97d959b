package simulation

import (
	"context"
	"fmt"
	"math"
	"runtime"
	"slices"
	"sync"
)

// PolicySummary summarizes the runs of one policy in one scenario over all seeds of an experiment.
type PolicySummary struct {
	Scenario, Policy, Clock                     string
	Seeds                                       int
	ValueInTime, MinValueInTime, MaxValueInTime float64 // fraction of all value; mean, worst and best seed
	ValueStdDev                                 float64 // standard deviation of the value in time over the seeds
	InTime, Late, Unserved                      float64 // fractions of the intents
	Rejected, Failed                            float64 // fractions of the tries
	Lost                                        int     // tries without a reply, summed
	AttemptsPerTry                              float64
	WastedFraction                              float64 // of the work of servers; mean over the seeds
	P50, P99                                    float64 // s; means over the seeds
	RulesBroken                                 [5]int  // by rule, from 1; summed
	VoidSeeds                                   int     // seeds with a void run, which no other field counts
}

// Summarize returns the summary of a policy's results. Void runs are counted in VoidSeeds and otherwise left out.
func Summarize(all []*Result) PolicySummary {
	row := PolicySummary{MinValueInTime: math.Inf(1)}
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

// add adds a run's counts and figures, which divide then turns into fractions and means.
func (w *PolicySummary) add(r *Result) {
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

// divide turns the sums over the seeds into fractions of the intents and tries, and means over the seeds.
func (w *PolicySummary) divide(intents, tries float64) {
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

// Seeds returns n consecutive seeds, starting with first.
func Seeds(first uint64, n int) []uint64 {
	list := make([]uint64, n)
	for i := range list {
		list[i] = first + uint64(i)
	}
	return list
}

// Experiment plays a scenario in virtual time with each policy and seed, at most GOMAXPROCS runs at a time. The results
// are indexed by policy, then by seed, in the order of the arguments.
func (s *Scenario) Experiment(ctx context.Context, policies []string, seeds []uint64) ([][]*Result, error) {
	if err := CheckPolicies(policies); err != nil {
		return nil, err
	}
	results := make([][]*Result, len(policies))
	var runs sync.WaitGroup
	var mu sync.Mutex
	var runErr error
	semaphore := make(chan struct{}, runtime.GOMAXPROCS(0))
	for i, name := range policies {
		policy := Policies[name]
		results[i] = make([]*Result, len(seeds))
		for k, seed := range seeds {
			runs.Go(func() {
				semaphore <- struct{}{}
				defer func() { <-semaphore }()
				if ctx.Err() != nil {
					return
				}
				r, err := s.PlayVirtual(name, policy(), seed)
				if err != nil {
					mu.Lock()
					defer mu.Unlock()
					runErr = fmt.Errorf("scenario %s, policy %s, seed %d: %w", s.Name, name, seed, err)
				}
				results[i][k] = r
			})
		}
	}
	runs.Wait()
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	return results, runErr
}

// CheckPolicies returns an error that names the first policy that does not exist.
func CheckPolicies(policies []string) error {
	for _, name := range policies {
		if !slices.Contains(sortedNames(Policies), name) {
			return fmt.Errorf("policy %q: expected one of %v", name, sortedNames(Policies))
		}
	}
	return nil
}
