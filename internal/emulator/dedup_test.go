package emulator

import (
	"testing"

	"pgregory.net/rapid"
)

// TestDedupGroup compares with a map that forgets nothing: a duplicate is what arrives within the window of the last
// job that ran.
func TestDedupGroup(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var group DedupGroup
		now, late := 0.0, 0
		ran := map[uint64]float64{}
		for range rapid.IntRange(1, 3000).Draw(t, "calls") {
			now += rapid.SampledFrom([]float64{0, .01, .5, 90}).Draw(t, "gap")
			key := rapid.Uint64Range(1, 4).Draw(t, "key")
			first, seen := ran[key]
			want := seen && now <= first+1
			if got := group.isDuplicate(now, key, 1); got != want {
				t.Fatalf("key %d at %v, first %v: duplicate %v", key, now, first, got)
			}
			if seen && !want && now <= first+1+dedupRetention {
				late++
			}
			if !want {
				ran[key] = now
			}
			if len(group.order)-group.head > 3000 || len(group.firstSeen) > 4 {
				t.Fatal("the group grows without bound")
			}
		}
		if group.LateDuplicates != late {
			t.Fatalf("%d late duplicates, not %d", group.LateDuplicates, late)
		}
	})
}
