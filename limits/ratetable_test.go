package limits

import (
	"math"
	"testing"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

// With more keys than it can track, a limit must stay within MaxKeys, and evict idle keys before active ones.
func TestIdleKeysAreForgottenFirst(t *testing.T) {
	limits := newLimits(t, Limit{Rate: 1, Burst: 1, MaxKeys: 1000})
	for key := range uint64(1_000_000) {
		_, rejection := limits.Acquire(float64(key)*.01, []LimitKey{{0, key}})
		assert.Nil(t, rejection)
	}
	tracked, evictedEarly := limits.KeyCounts(0)
	assert.Equal(t, 1000, tracked)
	assert.Less(t, evictedEarly, 10_000, "nearly all evicted keys were idle")
	before := evictedEarly
	for key := range uint64(2000) {
		limits.Acquire(20_000, []LimitKey{{0, key}})
	}
	_, evictedEarly = limits.KeyCounts(0)
	assert.GreaterOrEqual(t, evictedEarly-before, 1000, "these keys were evicted while active")
	_, rejection := limits.Acquire(20_000, []LimitKey{{0, 1999}})
	assert.NotNil(t, rejection)
}

// Compares the table with a map, for any sequence of requests and evictions.
func TestRateTableAgainstMap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := &rateTable{interval: 1, maxKeys: rapid.IntRange(1, 40).Draw(t, "maxKeys")}
		fullAt, now := map[uint64]float64{}, 1.0
		for range rapid.IntRange(1, 300).Draw(t, "calls") {
			key := rapid.Uint64Range(0, 60).Draw(t, "key")
			key *= rapid.SampledFrom([]uint64{1, 1 << 40}).Draw(t, "spread")
			now += rapid.SampledFrom([]float64{0, .1, 2}).Draw(t, "pause")
			retryAfter := table.take(now, key)
			before, known := fullAt[key]
			if retryAfter > 0 && (!known || math.Abs(before-now-retryAfter) > 1e-6) {
				t.Fatalf("key %d at %v s: rejected for %v s, but its bucket is full at %v s", key, now, retryAfter, before)
			}
			if retryAfter == 0 {
				fullAt[key] = max(before, now) + 1
			}
			checkTable(t, table)
			for known := range fullAt { // an evicted key starts with a full bucket again
				if !contains(table, known) {
					delete(fullAt, known)
				}
			}
		}
	})
}

// checkTable checks that the table has at most maxKeys keys, that its count is right, and that find returns every key.
func checkTable(t *rapid.T, table *rateTable) {
	if table.count > table.maxKeys {
		t.Fatalf("%d keys, at most %d allowed", table.count, table.maxKeys)
	}
	count := 0
	for _, entry := range table.entries {
		if entry.key == 0 {
			continue
		}
		count++
		if table.find(entry.key).key != entry.key {
			t.Fatalf("key %d is in the table, but find does not return it", entry.key)
		}
	}
	if count != table.count {
		t.Fatalf("%d keys in the table, but its count is %d", count, table.count)
	}
}

func contains(table *rateTable, key uint64) bool {
	if key == 0 {
		key = keyZero
	}
	return table.find(key).key == key
}
