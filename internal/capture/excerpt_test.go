package capture

import (
	"bytes"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Excerpts of emulated incidents: with the decisions of today the event in the file's name still occurs. Where they
// differ from those recorded so do the digests, which is no fault; where the event does not occur any more, the reason
// must be understood and the excerpt made anew.
func TestPastIncidents(t *testing.T) {
	files, err := filepath.Glob("testdata/*" + fileSuffix)
	require.NoError(t, err)
	require.GreaterOrEqual(t, len(files), 5)
	for _, file := range files {
		event := strings.TrimSuffix(file[strings.LastIndex(file, "-")+1:], fileSuffix)
		newMatcher, err := NewMatcher(event)
		require.NoError(t, err)
		matcher := newMatcher()
		p := &Player{Loose: true, After: matcher.Observe}
		require.NoError(t, p.Play([]string{file}, openFile))
		assert.True(t, matcher.Matched(), file)
		assert.Less(t, p.Played, uint64(60), "it is short")
	}
}

// An excerpt is shorter than the capture, has the same event, and can be replayed.
func TestExcerptHasTheSameEvent(t *testing.T) {
	files := recordFiles(t, 2000, Options{MaxSegmentBytes: 1 << 30, WaitForWriter: true})
	for _, event := range []string{"dismissed", "forfeited", "retried"} { // pauses need more calls
		newMatcher, err := NewMatcher(event)
		require.NoError(t, err)
		e, err := Shorten(files, openFile, "a", newMatcher)
		require.NoError(t, err, event)
		assert.Less(t, len(e.Calls), 200, event)
		var out bytes.Buffer
		require.NoError(t, e.Write(&out, "test"))
		matcher := newMatcher()
		p := &Player{After: matcher.Observe}
		require.NoError(t, Read(&out, p), "its digests are its own")
		assert.True(t, matcher.Matched(), event)
	}
	newUnmatched := func() Matcher { return newEventMatcher("nothing", anyServer) }
	_, err := Shorten(files, openFile, "b", newUnmatched)
	assert.ErrorContains(t, err, `no calls on a pool "b"`)
	_, err = Shorten(files, openFile, "a", newUnmatched)
	assert.ErrorIs(t, err, ErrNoMatch)
	for _, unknown := range []string{"nothing", "paused:x", "dismissed:3"} {
		_, err := NewMatcher(unknown)
		assert.ErrorContains(t, err, "it is one of dismissed, forfeited, retried, paused", unknown)
	}
}
