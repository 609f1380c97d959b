package hotrestart

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Frames are read before the peer's identity is checked, so readFrame must not panic on any bytes, and a state that it
// accepts must be the same after it is written and read again.
func FuzzFrame(f *testing.F) {
	var written bytes.Buffer
	require.NoError(f, writeFrame(&written, testState()))
	f.Add(written.Bytes())
	f.Add([]byte("\xff\xff\xff\xff"))
	f.Add([]byte("\x00\x00\x00\x02{}"))
	f.Fuzz(func(t *testing.T, frame []byte) {
		var state State
		if readFrame(bytes.NewReader(frame), &state) != nil {
			return
		}
		var first, second bytes.Buffer
		assert.NoError(t, writeFrame(&first, state))
		want := bytes.Clone(first.Bytes())
		var again State
		assert.NoError(t, readFrame(&first, &again))
		assert.NoError(t, writeFrame(&second, again))
		assert.Equal(t, want, second.Bytes(), "the state changed when it was written and read again")
	})
}
