package limits

import (
	"fmt"
	"math"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func newLimits(tb testing.TB, list ...Limit) *Limits {
	tb.Helper()
	limits, err := New(list)
	require.NoError(tb, err)
	return limits
}

// A rate limit must decide as a token bucket does, whatever the intervals between requests, and RetryAfter must be
// exact.
func TestRateAgainstTokenBucket(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.SampledFrom([]float64{.5, 3, 40}).Draw(t, "rate")
		burst := float64(rapid.IntRange(1, 6).Draw(t, "burst"))
		limits, err := New([]Limit{{Rate: rate, Burst: burst}})
		require.NoError(t, err)
		now, tokens, admitted := 100.0, burst, []float64{}
		for range rapid.IntRange(1, 80).Draw(t, "requests") {
			pause := rapid.SampledFrom([]float64{0, 0, .001, .03, .4, 7, 1e6}).Draw(t, "pause")
			now += pause
			tokens = min(burst, tokens+pause*rate)
			_, rejection := limits.Acquire(now, []LimitKey{{}})
			if near := math.Abs(tokens-1) < 1e-6; !near && (rejection == nil) != (tokens >= 1) {
				t.Fatalf("at %v s, with %v tokens: rejection %v", now, tokens, rejection)
			}
			if rejection == nil {
				tokens--
				admitted = append(admitted, now)
				continue
			}
			if rejection.RetryAfter <= 0 || rejection.RetryAfter > 1/rate+1e-6 {
				t.Fatalf("RetryAfter is %v s at a rate of %v per second", rejection.RetryAfter, rate)
			}
			if want := (1 - tokens) / rate; math.Abs(want-rejection.RetryAfter) > 1e-6 {
				t.Fatalf("RetryAfter is %v s, want %v s", rejection.RetryAfter, want)
			}
		}
		checkWindows(t, admitted, rate, burst)
	})
}

// checkWindows checks that no time window admits more requests than the rate allows in that time, plus one burst.
func checkWindows(t *rapid.T, admitted []float64, rate, burst float64) {
	for first := range admitted {
		for last := first; last < len(admitted); last++ {
			window := admitted[last] - admitted[first]
			if count := float64(last - first + 1); count > burst+rate*window+1e-6 {
				t.Fatalf("%v requests admitted within %v s", count, window)
			}
		}
	}
}

// A rejected request must not count toward any limit, and a permit must be released only once.
func TestRejectedRequestsCountNowhere(t *testing.T) {
	limits := newLimits(t,
		Limit{Name: "proxy", Concurrency: 3},
		Limit{Name: "pool", Rate: 10, Burst: 2},
		Limit{Name: "tenant", Concurrency: 1},
	)
	keys := func(tenant uint64) []LimitKey { return []LimitKey{{0, 0}, {1, 0}, {2, tenant}} }
	first, rejection := limits.Acquire(0, keys(1))
	assert.Nil(t, rejection)
	for range 50 {
		_, rejection = limits.Acquire(0, keys(1))
		assert.Equal(t, &Rejection{Limit: 2}, rejection, "the rejected requests must not use up the pool's rate")
	}
	second, rejection := limits.Acquire(0, keys(2))
	assert.Nil(t, rejection)
	_, rejection = limits.Acquire(0, keys(3))
	assert.Equal(t, 1, rejection.Limit)
	assert.InDelta(t, .1, rejection.RetryAfter, 1e-9)
	third, rejection := limits.Acquire(.1, keys(3))
	assert.Nil(t, rejection)
	_, rejection = limits.Acquire(5, keys(4))
	assert.Equal(t, &Rejection{Limit: 0}, rejection)
	for range 2 { // the second call does nothing
		limits.Release(&first)
	}
	limits.Release(&second)
	limits.Release(&third)
	for limit := range 3 {
		if limit != 1 {
			tracked, _ := limits.KeyCounts(limit)
			assert.Zero(t, tracked, "a concurrency limit does not track keys without requests in flight")
		}
	}
}

func TestNewErrors(t *testing.T) {
	for _, limit := range []Limit{
		{Name: "a"},
		{Name: "a", Rate: -1},
		{Name: "a", Rate: math.NaN()},
		{Name: "a", Rate: math.Inf(1)},
		{Name: "a", Rate: 1, Burst: -1},
		{Name: "a", Concurrency: -1},
		{Name: "a", Rate: 1, MaxKeys: 1 << 30},
	} {
		_, err := New([]Limit{limit, {Name: "b"}})
		assert.ErrorContains(t, err, `limit "a"`)
		assert.ErrorContains(t, err, `limit "b"`, "the errors of all limits are joined")
	}
}

func BenchmarkAcquire(b *testing.B) {
	for _, keyCount := range []uint64{1, 1_000_000} {
		b.Run(fmt.Sprint(keyCount), func(b *testing.B) {
			limits := newLimits(b, Limit{Rate: 1000, Burst: 10})
			keys := []LimitKey{{}}
			for key := range keyCount {
				keys[0].Key = key
				limits.Acquire(0, keys)
			}
			b.ReportAllocs()
			now, random := 0.0, uint64(0)
			for b.Loop() {
				now += 1e-6
				random = random*6364136223846793005 + 1442695040888963407
				keys[0].Key = (random >> 33) % keyCount
				limits.Acquire(now, keys)
			}
		})
	}
}
