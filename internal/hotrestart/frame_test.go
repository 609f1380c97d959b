package hotrestart

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// A frame is read before its sender is known to be a process of this proxy, so any bytes must be survived.
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
		assert.Equal(t, want, second.Bytes(), "nothing is lost on the way")
	})
}
