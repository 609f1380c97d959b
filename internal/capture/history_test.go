package capture

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"lockloom/balance"
)

// recordFiles records random calls on pool "a", and returns the files.
func recordFiles(t *testing.T, calls int, o Options) []string {
	t.Helper()
	recorder, _, dir := record(t, calls, o)
	require.NoError(t, recorder.Close())
	files, err := Files(dir)
	require.NoError(t, err)
	return files
}

// The history of a request contains its attempts, their outcomes and the scores. Printing it does not change the
// replayed actions.
func TestHistoryShowsAttemptsAndScores(t *testing.T) {
	files := recordFiles(t, 3000, Options{WaitForWriter: true})
	newMatcher, err := ParseEvent("retried")
	require.NoError(t, err)
	matcher := newMatcher()
	require.NoError(t, (&Player{After: matcher.Observe}).Play(files, openFile))
	require.NotZero(t, matcher.Request())
	var out strings.Builder
	byNumber := &RequestHistory{Out: &out, Number: matcher.Request()}
	require.NoError(t, (&Player{After: byNumber.Observe}).Play(files, openFile), "the digests are the same")
	assert.True(t, byNumber.Found)
	for _, part := range []string{
		`of pool "a"`,
		"class ",
		"attempt 1 is sent to server",
		"attempt 1 ended after",
		"attempt 2 is sent to server",
		"payoff",
		"attempts in flight",
	} {
		assert.Contains(t, out.String(), part)
	}
	byID := &RequestHistory{Out: &strings.Builder{}, ID: HashID("id9")}
	require.NoError(t, (&Player{After: byID.Observe}).Play(files, openFile))
	assert.True(t, byID.Found)
}

// The samples together count the attempts that succeeded, except for those after the last sample.
func TestTimelineCountsEndedAttempts(t *testing.T) {
	files := recordFiles(t, 3000, Options{WaitForWriter: true})
	timeline := &Timeline{Interval: .5}
	ended := 0
	p := &Player{After: func(p *Pool, call *Call, actions *balance.Actions) {
		if call.Kind == AttemptEnded && call.Attempt.Outcome == balance.Succeeded {
			ended++
		}
		timeline.Observe(p, call, actions)
	}}
	require.NoError(t, p.Play(files, openFile))
	succeeded := 0
	for _, sample := range timeline.Samples {
		succeeded += sample.Succeeded
	}
	assert.Greater(t, succeeded, ended/2)
	assert.LessOrEqual(t, succeeded, ended)
}
