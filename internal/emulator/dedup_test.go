package emulator

import (
	"testing"

	"pgregory.net/rapid"
)

// TestDedupGroup compares a DedupGroup with a map that never evicts a key: a job is a duplicate if it arrives within
// the window of the last job with its key that ran.
func TestDedupGroup(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var group DedupGroup
		now, late := 0.0, 0
		ran := map[uint64]float64{}
		for range rapid.IntRange(1, 3000).Draw(t, "calls") {
			now += rapid.SampledFrom([]float64{0, .01, .5, 90}).Draw(t, "gap")
			key := rapid.Uint64Range(1, 4).Draw(t, "key")
			start, seen := ran[key]
			want := seen && now <= start+1
			if got := group.isDuplicate(now, key, 1); got != want {
				t.Fatalf("key %d at %v s, last run at %v s: isDuplicate = %v", key, now, start, got)
			}
			if seen && !want && now <= start+1+dedupRetention {
				late++
			}
			if !want {
				ran[key] = now
			}
			if len(group.order)-group.head > 3000 || len(group.windowStart) > 4 {
				t.Fatal("the group does not evict expired keys")
			}
		}
		if group.LateDuplicates != late {
			t.Fatalf("LateDuplicates = %d, want %d", group.LateDuplicates, late)
		}
	})
}
