package limits

import (
	"fmt"
	"math"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func open(t testing.TB, list ...Limit) *Limits {
	l, err := New(list)
	require.NoError(t, err)
	return l
}

// A rate decides as an exact token bucket does, whatever the pauses, and what it says of the wait is true.
func TestRateAgainstBucket(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate, burst := rapid.SampledFrom([]float64{.5, 3, 40}).Draw(t, "rate"), float64(rapid.IntRange(1, 6).Draw(t, "burst"))
		l, err := New([]Limit{{Rate: rate, Burst: burst}})
		if err != nil {
			t.Fatal(err)
		}
		now, tokens, came := 100.0, burst, []float64{}
		for range rapid.IntRange(1, 80).Draw(t, "asks") {
			pause := rapid.SampledFrom([]float64{0, 0, .001, .03, .4, 7, 1e6}).Draw(t, "pause")
			now += pause
			tokens = min(burst, tokens+pause*rate)
			_, refusal := l.Acquire(now, []LimitKey{{}})
			if near := math.Abs(tokens-1) < 1e-6; !near && (refusal == nil) != (tokens >= 1) {
				t.Fatalf("%v tokens at %v: %v", tokens, now, refusal)
			}
			if refusal == nil {
				tokens--
				came = append(came, now)
				continue
			}
			if refusal.RetryAfter <= 0 || refusal.RetryAfter > 1/rate+1e-6 {
				t.Fatalf("after %v", refusal.RetryAfter)
			}
			if want := (1 - tokens) / rate; math.Abs(want-refusal.RetryAfter) > 1e-6 {
				t.Fatalf("after %v, in truth %v", refusal.RetryAfter, want)
			}
		}
		for i := range came { // no window holds more than its rate and one burst
			for k := i; k < len(came); k++ {
				if n := float64(k - i + 1); n > burst+rate*(came[k]-came[i])+1e-6 {
					t.Fatalf("%v within %v s", n, came[k]-came[i])
				}
			}
		}
	})
}

// What a request took before it was refused is given back everywhere; what it holds is given back once.
func TestLadder(t *testing.T) {
	l := open(t, Limit{Name: "proxy", Concurrency: 3}, Limit{Name: "pool", Rate: 10, Burst: 2}, Limit{Name: "customer", Concurrency: 1})
	asks := func(tenant uint64) []LimitKey { return []LimitKey{{0, 0}, {1, 0}, {2, tenant}} }
	first, refusal := l.Acquire(0, asks(1))
	assert.Nil(t, refusal)
	for range 50 {
		_, refusal = l.Acquire(0, asks(1))
		assert.Equal(t, &Rejection{Limit: 2}, refusal, "the customer has one in hand, and the pool's rate is not spent on it")
	}
	second, refusal := l.Acquire(0, asks(2))
	assert.Nil(t, refusal)
	_, refusal = l.Acquire(0, asks(3))
	assert.Equal(t, 1, refusal.Limit)
	assert.InDelta(t, .1, refusal.RetryAfter, 1e-9)
	third, refusal := l.Acquire(.1, asks(3))
	assert.Nil(t, refusal)
	_, refusal = l.Acquire(5, asks(4))
	assert.Equal(t, &Rejection{Limit: 0}, refusal)
	for range 2 { // the second time does nothing
		l.Release(&first)
	}
	l.Release(&second)
	l.Release(&third)
	for limit := range 3 {
		if limit != 1 {
			n, _ := l.KeyCounts(limit)
			assert.Zero(t, n, "nothing is remembered of who has nothing in hand")
		}
	}
}

// Under more keys than it remembers a limit stays within its bound, and forgets first what was idle for long.
func TestManyKeys(t *testing.T) {
	l := open(t, Limit{Rate: 1, Burst: 1, MaxKeys: 1000})
	for k := range uint64(1_000_000) {
		_, refusal := l.Acquire(float64(k)*.01, []LimitKey{{0, k}})
		assert.Nil(t, refusal)
	}
	remembered, forgotten := l.KeyCounts(0)
	assert.Equal(t, 1000, remembered)
	assert.Less(t, forgotten, 10_000, "nearly each that was forgotten was idle, so nothing was lost")
	was := forgotten
	for k := range uint64(2000) {
		l.Acquire(20_000, []LimitKey{{0, k}})
	}
	_, forgotten = l.KeyCounts(0)
	assert.GreaterOrEqual(t, forgotten-was, 1000, "these were not, and it is counted")
	_, refusal := l.Acquire(20_000, []LimitKey{{0, 1999}})
	assert.NotNil(t, refusal)
}

// The table against a map: what it remembers is right, whatever comes, goes and is forgotten.
func TestTable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := &buckets{every: 1, most: rapid.IntRange(1, 40).Draw(t, "most")}
		due, now := map[uint64]float64{}, 1.0
		for range rapid.IntRange(1, 300).Draw(t, "calls") {
			key := rapid.Uint64Range(0, 60).Draw(t, "key") * rapid.SampledFrom([]uint64{1, 1 << 40}).Draw(t, "spread")
			now += rapid.SampledFrom([]float64{0, .1, 2}).Draw(t, "pause")
			after := b.take(now, key)
			was, met := due[key]
			if after > 0 && (!met || math.Abs(was-now-after) > 1e-6) {
				t.Fatalf("key %d at %v: refused for %v, due %v", key, now, after, was)
			}
			if after == 0 {
				due[key] = max(was, now) + 1
			}
			if b.n > b.most {
				t.Fatalf("%d keys of %d", b.n, b.most)
			}
			found := 0
			for _, x := range b.list {
				if x.key != 0 {
					found++
					if b.find(x.key).key != x.key {
						t.Fatalf("key %d is not found", x.key)
					}
				}
			}
			for k := range due { // who is forgotten begins anew
				stored := k
				if k == 0 {
					stored = noKey
				}
				if b.find(stored).key != stored {
					delete(due, k)
				}
			}
			if found != b.n {
				t.Fatalf("%d keys, counted %d", found, b.n)
			}
		}
	})
}

func TestNewRefuses(t *testing.T) {
	for _, x := range []Limit{{Name: "a"}, {Name: "a", Rate: -1}, {Name: "a", Rate: math.NaN()}, {Name: "a", Rate: math.Inf(1)},
		{Name: "a", Rate: 1, Burst: -1}, {Name: "a", Concurrency: -1}, {Name: "a", Rate: 1, MaxKeys: 1 << 30}} {
		_, err := New([]Limit{x, {Name: "b"}})
		assert.ErrorContains(t, err, `limit "a"`)
		assert.ErrorContains(t, err, `limit "b"`, "every fault at once")
	}
}

func TestBudget(t *testing.T) {
	for name, c := range map[string]struct {
		rate, share float64 // first attempts a second, all of which fail
		least, most float64 // further attempts over first ones, in the long run
	}{
		"a tenth":    {100, .1, .08, .14},
		"none":       {100, 0, 0, .01},
		"next to no": {.01, .1, 1, 3},
	} {
		b := RetryBudget{Ratio: c.share}
		firsts := 0.0
		for now := 0.0; now < 600; now += 1 / c.rate {
			b.FirstAttempt(now)
			firsts++
			for range 3 {
				b.AllowRetry(now)
			}
		}
		assert.True(t, float64(b.Allowed) >= c.least*firsts && float64(b.Allowed) <= c.most*firsts+budgetLeast, "%s: %d of %v", name, b.Allowed, firsts)
	}
}

// With room left a route may have it all; once it is short, each route that asks comes to its part.
func TestFair(t *testing.T) {
	f := NewFairLimiter(100, []float64{1, 1, 2})
	for range 90 {
		assert.True(t, f.Acquire(0, 0))
	}
	assert.True(t, f.Acquire(0, 1) && f.Acquire(0, 2), "the others come to theirs")
	assert.False(t, f.Acquire(0, 0), "beyond its part of a pool nearly full")
	taken := [3]int{90, 1, 1}
	for now := 0.0; now < 10; now += .01 { // the first ends one at a time, all three ask for more
		if taken[0] > 0 {
			f.Release(0)
			taken[0]--
		}
		for route := range 3 {
			if f.Acquire(now, route) {
				taken[route]++
			}
		}
		for route := 1; route < 3 && int(now*100)%2 == 0; route++ {
			if taken[route] > 0 {
				f.Release(route)
				taken[route]--
			}
		}
		assert.LessOrEqual(t, taken[0]+taken[1]+taken[2], 100)
	}
	assert.InDelta(t, 25, taken[1], 8)
	assert.InDelta(t, 50, taken[2], 10)
}

func BenchmarkTake(b *testing.B) {
	for _, keys := range []uint64{1, 1_000_000} {
		b.Run(fmt.Sprint(keys), func(b *testing.B) {
			l := open(b, Limit{Rate: 1000, Burst: 10})
			asks := []LimitKey{{}}
			for k := range keys {
				asks[0].Key = k
				l.Acquire(0, asks)
			}
			b.ReportAllocs()
			now, k := 0.0, uint64(0)
			for b.Loop() {
				now += 1e-6
				k = k*6364136223846793005 + 1442695040888963407
				asks[0].Key = (k >> 33) % keys
				l.Acquire(now, asks)
			}
		})
	}
}
