package capture

import (
	"bytes"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Replays excerpts of emulated incidents: the event in the file's name still occurs with the current decisions. Digests
// may differ, since decisions may have changed since the recording. If an event no longer occurs, find out why before
// recording a new excerpt.
func TestPastIncidents(t *testing.T) {
	files, err := filepath.Glob("testdata/*" + fileSuffix)
	require.NoError(t, err)
	require.GreaterOrEqual(t, len(files), 5)
	for _, file := range files {
		event := strings.TrimSuffix(file[strings.LastIndex(file, "-")+1:], fileSuffix)
		newMatcher, err := ParseEvent(event)
		require.NoError(t, err)
		matcher := newMatcher()
		p := &Player{Loose: true, After: matcher.Observe}
		require.NoError(t, p.Play([]string{file}, openFile))
		assert.True(t, matcher.Matched(), file)
		assert.Less(t, p.Played, uint64(60), "the excerpt must be short")
	}
}

// An excerpt is shorter than the capture, contains the same event, and can be replayed.
func TestExcerptHasTheSameEvent(t *testing.T) {
	files := recordFiles(t, 2000, Options{MaxSegmentBytes: 1 << 30, WaitForWriter: true})
	for _, event := range []string{"dismissed", "forfeited", "retried"} { // pauses do not occur in so few calls
		newMatcher, err := ParseEvent(event)
		require.NoError(t, err)
		e, err := Shorten(files, openFile, "a", newMatcher)
		require.NoError(t, err, event)
		assert.Less(t, len(e.Calls), 200, event)
		var out bytes.Buffer
		require.NoError(t, e.Write(&out, "test"))
		matcher := newMatcher()
		p := &Player{After: matcher.Observe}
		require.NoError(t, Read(&out, p), "the digests are those of the excerpt, not of the capture")
		assert.True(t, matcher.Matched(), event)
	}
	newUnmatched := func() Matcher { return newEventMatcher("nothing", anyServer) }
	_, err := Shorten(files, openFile, "b", newUnmatched)
	assert.ErrorContains(t, err, `no calls on a pool "b"`)
	_, err = Shorten(files, openFile, "a", newUnmatched)
	assert.ErrorIs(t, err, ErrNoMatch)
	for _, unknown := range []string{"nothing", "paused:x", "dismissed:3"} {
		_, err := ParseEvent(unknown)
		assert.ErrorContains(t, err, "must be one of dismissed, forfeited, retried, paused", unknown)
	}
}
