package lifecycle

import (
	"testing"

	"github.com/stretchr/testify/assert"
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
