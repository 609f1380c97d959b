package loadgen

import (
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"

	"lockloom/balance"
)

func TestPlan(t *testing.T) {
	m := Workload{Rate: 1000, Duration: 50, KeyCount: 100, ZipfExponent: 1, TenantWeights: []float64{1, 3},
		Classes: []ClassLoad{{Weight: 3, Work: .01, WorkVariation: 1.5, KeyedFraction: .5}, {Weight: 1, Work: .02}},
		Phases: []Phase{{At: 10, Duration: 10, Factor: 2}, {At: 20, Duration: 10, Shape: Ramp, Factor: 3},
			{At: 30, Duration: 10, Shape: Bursts, Factor: 4, BurstInterval: 2, BurstDuration: .5}, {At: 40, Duration: 4, Shape: DeadlineRush, Factor: 8}}}
	list := func(seed uint64) (all []Intent) {
		p := NewPlan(m, seed)
		for in, ok := p.Next(); ok; in, ok = p.Next() {
			all = append(all, in)
		}
		return all
	}
	all := list(1)
	assert.True(t, slices.Equal(all, list(1)), "the same seed, the same lookups")
	assert.NotEqual(t, all[:10], list(2)[:10])
	var by [5]float64
	var of [2]float64
	work, keyed, first, second, last := 0.0, 0.0, 0.0, 0.0, -1.0
	for i, in := range all {
		if in.At < last || in.Number != i {
			t.Fatal("out of order")
		}
		last = in.At
		by[int(in.At/10)]++
		of[in.Class]++
		if in.Class == 0 {
			work += in.Work
			if in.Key > 0 {
				keyed++
			}
			if in.Key == 1 {
				first++
			} else if in.Key == 2 {
				second++
			}
		}
	}
	for i, want := range []float64{10_000, 20_000, 20_000, 17_500} {
		assert.InEpsilon(t, want, by[i], .05, "from %d s", 10*i)
	}
	assert.InEpsilon(t, 3, of[0]/of[1], .05)
	assert.InEpsilon(t, .01, work/of[0], .05, "the mean is the tariff's whatever its spread")
	assert.InEpsilon(t, .5, keyed/of[0], .05)
	assert.InEpsilon(t, 2, first/second, .15, "Zipf: the second key is asked half as often")
	assert.Equal(t, 0.0, m.RateAt(45), "after a deadline nobody asks")
	assert.InDelta(t, 8000, m.RateAt(43.999), 20)
}

func TestRetryDelay(t *testing.T) {
	c := Clients{MaxRequests: 3, Backoff: .1}
	for name, x := range map[string]struct {
		try         int
		kind        balance.Idempotency
		answer      balance.Reply
		advice      float64
		least, most float64 // 0: no more
	}{
		"dismissed":                         {1, balance.NonIdempotent, balance.Rejected, 0, .05, .15},
		"dismissed again":                   {2, balance.NonIdempotent, balance.Rejected, 0, .1, .3},
		"not before it is advised":          {1, balance.NonIdempotent, balance.Rejected, 2, 2, 2},
		"three are enough":                  {3, balance.Idempotent, balance.Rejected, 0, 0, 0},
		"forfeited, and may run twice":      {1, balance.Idempotent, balance.Failed, 0, .05, .15},
		"forfeited, and must not run twice": {1, balance.NonIdempotent, balance.Failed, 0, 0, 0},
		"nor may a referenced one":          {1, balance.Keyed, balance.Failed, 0, 0, 0},
		"honoured":                          {1, balance.Idempotent, balance.NoReply, 0, 0, 0},
	} {
		after, ok := c.RetryDelay(x.try, x.kind, x.answer, x.advice, rand.New(rand.NewPCG(1, 1)))
		assert.Equal(t, x.most > 0, ok, name)
		assert.True(t, after >= x.least && after <= x.most, "%s: %v", name, after)
	}
}
