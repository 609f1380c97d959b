package lifecycle

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

func TestIDSetForgetsTheOldest(t *testing.T) {
	ids := NewIDSet(3)
	for hash := range uint64(5) {
		ids.Add(hash)
		ids.Add(hash)
		ids.Add(0)
	}
	assert.Equal(t, []uint64{3, 0, 4}, ids.All(), "0 was dropped, and added again after that")
	assert.True(t, ids.Has(4) && !ids.Has(1))
}

// Guards against dropping the id of a server that is in use, however many others were listed since.
func TestIDSetKeepsPinnedHashes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const capacity = 4
		ids, pinned := NewIDSet(capacity), map[uint64]bool{}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			hash := rapid.Uint64Range(0, 12).Draw(t, "hash")
			switch rapid.IntRange(0, 2).Draw(t, "step") {
			case 0:
				ids.Add(hash)
			case 1:
				ids.Pin(hash)
				pinned[hash] = true
			case 2:
				ids.Unpin(hash)
				delete(pinned, hash)
				continue
			}
			assert.True(t, ids.Has(hash), "the last one that was added")
			all := ids.All()
			for member := range pinned {
				assert.Contains(t, all, member)
				assert.True(t, ids.Has(member))
			}
			assert.Len(t, all, len(ids.members), "each member once")
		}
	})
	ids := NewIDSet(2)
	for hash := range uint64(5) {
		ids.Pin(hash)
	}
	assert.Len(t, ids.All(), 5, "as many as are pinned")
	for hash := range uint64(5) {
		ids.Unpin(hash)
	}
	for hash := range uint64(100) {
		ids.Add(hash)
	}
	assert.Len(t, ids.All(), 5, "it does not grow further")
}
