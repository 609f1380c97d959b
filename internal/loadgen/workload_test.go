package loadgen

import (
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"

	"lockloom/balance"
)

func TestPlan(t *testing.T) {
	workload := Workload{
		Rate:          1000,
		Duration:      50,
		KeyCount:      100,
		ZipfExponent:  1,
		TenantWeights: []float64{1, 3},
		Classes: []ClassLoad{
			{Weight: 3, Work: .01, WorkVariation: 1.5, KeyedFraction: .5},
			{Weight: 1, Work: .02},
		},
		Phases: []Phase{
			{At: 10, Duration: 10, Factor: 2},
			{At: 20, Duration: 10, Shape: Ramp, Factor: 3},
			{At: 30, Duration: 10, Shape: Bursts, Factor: 4, BurstInterval: 2, BurstDuration: .5},
			{At: 40, Duration: 4, Shape: DeadlineRush, Factor: 8},
		},
	}
	list := func(seed uint64) (all []Intent) {
		p := NewPlan(workload, seed)
		for intent, ok := p.Next(); ok; intent, ok = p.Next() {
			all = append(all, intent)
		}
		return all
	}
	all := list(1)
	assert.True(t, slices.Equal(all, list(1)), "the same seed draws the same intents")
	assert.NotEqual(t, all[:10], list(2)[:10])
	var byTenSeconds [5]float64
	var byClass [2]float64
	var byKey [101]float64 // of class 0; 0: no key
	work, previous := 0.0, -1.0
	for i, intent := range all {
		if intent.At < previous || intent.Number != i {
			t.Fatal("intents are out of order by time or number")
		}
		previous = intent.At
		byTenSeconds[int(intent.At/10)]++
		byClass[intent.Class]++
		if intent.Class == 0 {
			work += intent.Work
			byKey[intent.Key]++
		}
	}
	for i, want := range []float64{10_000, 20_000, 20_000, 17_500} {
		assert.InEpsilon(t, want, byTenSeconds[i], .05, "intents in the 10 s from %d s", 10*i)
	}
	assert.InEpsilon(t, 3, byClass[0]/byClass[1], .05)
	assert.InEpsilon(t, .01, work/byClass[0], .05, "the variation of the work does not change its mean")
	assert.InEpsilon(t, .5, (byClass[0]-byKey[0])/byClass[0], .05)
	assert.InEpsilon(t, 2, byKey[1]/byKey[2], .15, "Zipf: the second key is half as frequent")
	assert.Equal(t, 0.0, workload.RateAt(45), "the rate after a DeadlineRush is 0")
	assert.InDelta(t, 8000, workload.RateAt(43.999), 20)
}

func TestRetryDelay(t *testing.T) {
	clients := ClientPolicy{MaxRequests: 3, Backoff: .1}
	for name, c := range map[string]struct {
		n           int
		idempotency balance.Idempotency
		reply       balance.Reply
		retryAfter  float64
		minDelay    float64
		maxDelay    float64 // 0: no retry
	}{
		"rejected":                  {1, balance.NonIdempotent, balance.Rejected, 0, .05, .15},
		"rejected twice":            {2, balance.NonIdempotent, balance.Rejected, 0, .1, .3},
		"not before Retry-After":    {1, balance.NonIdempotent, balance.Rejected, 2, 2, 2},
		"three requests are enough": {3, balance.Idempotent, balance.Rejected, 0, 0, 0},
		"failed and idempotent":     {1, balance.Idempotent, balance.Failed, 0, .05, .15},
		"failed and non-idempotent": {1, balance.NonIdempotent, balance.Failed, 0, 0, 0},
		"failed and keyed":          {1, balance.Keyed, balance.Failed, 0, 0, 0},
		"succeeded":                 {1, balance.Idempotent, balance.NoReply, 0, 0, 0},
	} {
		random := rand.New(rand.NewPCG(1, 1))
		delay, ok := clients.RetryDelay(c.n, c.idempotency, c.reply, c.retryAfter, random)
		assert.Equal(t, c.maxDelay > 0, ok, name)
		assert.True(t, delay >= c.minDelay && delay <= c.maxDelay, "%s: %v", name, delay)
	}
}
