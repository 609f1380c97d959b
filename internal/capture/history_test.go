package capture

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"lockloom/balance"
)

// Samples of emulated incidents, cut down: the decisions of today still show what they showed then. Where they choose otherwise meanwhile the
// digests differ, which is no fault; where one does not show any more what its name says, it is to be cut anew, knowing why.
func TestPastIncidents(t *testing.T) {
	files, err := filepath.Glob("testdata/*.loomcap")
	require.NoError(t, err)
	require.GreaterOrEqual(t, len(files), 5)
	for _, name := range files {
		what := name[strings.LastIndex(name, "-")+1 : len(name)-len(".loomcap")]
		made, err := NewMatcher(what)
		require.NoError(t, err)
		s := made()
		p := &Player{Loose: true, After: s.Observe}
		require.NoError(t, p.Play([]string{name}, openFile))
		assert.True(t, s.Matched(), name)
		assert.Less(t, p.Played, uint64(60), "it is short")
	}
}

// An excerpt is shorter, shows the same, and is a capture that replays.
func TestExcerpt(t *testing.T) {
	rec, _, dir := record(t, 2000, Options{MaxSegmentBytes: 1 << 30, WaitForWriter: true})
	require.NoError(t, rec.Close())
	files, _ := Files(dir)
	for _, what := range []string{"dismissed", "forfeited", "retried"} { // pauses need a longer life
		made, err := NewMatcher(what)
		require.NoError(t, err)
		e, err := Shorten(files, openFile, "a", made)
		require.NoError(t, err, what)
		assert.Less(t, len(e.Calls), 200, what)
		var out bytes.Buffer
		require.NoError(t, e.Write(&out, "test"))
		s := made()
		p := &Player{After: s.Observe}
		require.NoError(t, Read(&out, p), "its digests are its own")
		assert.True(t, s.Matched(), what)
	}
	_, err := Shorten(files, openFile, "b", func() Matcher { return newEventMatcher("", anyServer) })
	assert.ErrorContains(t, err, `no calls on a pool "b"`)
	_, err = Shorten(files, openFile, "a", func() Matcher { return newEventMatcher("nothing", anyServer) })
	assert.ErrorIs(t, err, ErrNoMatch)
	for _, bad := range []string{"nothing", "paused:x", "dismissed:3"} {
		_, err := NewMatcher(bad)
		assert.ErrorContains(t, err, "it is one of dismissed, forfeited, retried, paused", bad)
	}
}

// A request's story has its attempts and how they ended, and what was weighed; asking changes nothing of the replay.
func TestStory(t *testing.T) {
	rec, _, dir := record(t, 3000, Options{WaitForWriter: true})
	require.NoError(t, rec.Close())
	files, _ := Files(dir)
	made, _ := NewMatcher("retried")
	shows := made()
	require.NoError(t, (&Player{After: shows.Observe}).Play(files, openFile))
	require.NotZero(t, shows.Request())
	var out strings.Builder
	s := &RequestHistory{Out: &out, Number: shows.Request()}
	require.NoError(t, (&Player{After: s.Observe}).Play(files, openFile), "the digests fit")
	assert.True(t, s.Found)
	for _, part := range []string{`of pool "a"`, "tariff ", "leg 1 is sent to backend", "leg 1 ended after", "leg 2 is sent to backend", "payoff", "legs out"} {
		assert.Contains(t, out.String(), part)
	}
	by := &RequestHistory{Out: &strings.Builder{}, ID: IDOf("id9")}
	require.NoError(t, (&Player{After: by.Observe}).Play(files, openFile))
	assert.True(t, by.Found)

	l := &Timeline{Interval: .5}
	ends := 0
	p := &Player{After: func(p *Pool, x *Call, o *balance.Actions) {
		if x.Kind == AttemptEnded && x.Attempt.Outcome == balance.Succeeded {
			ends++
		}
		l.Observe(p, x, o)
	}}
	require.NoError(t, p.Play(files, openFile))
	honoured := 0
	for _, m := range l.Samples {
		honoured += m.Succeeded
	}
	assert.Greater(t, honoured, ends/2)
	assert.LessOrEqual(t, honoured, ends)
}

func TestDoor(t *testing.T) {
	rec, v, dir := record(t, 100, Options{RingBytes: 1 << 20})
	defer rec.Close()
	door := rec.Handler()
	ask := func(method, path string) (int, string) { return answered(door, method, path) }
	for _, c := range []struct {
		method, path string
		status       int
		says         string
	}{{"GET", "/", 200, `"on":true`}, {"POST", "/off", 200, `"on":false`}, {"POST", "/on?for=x", 400, "a time"}, {"POST", "/on?for=1h", 200, `"on":true`},
		{"GET", "/nothing", 404, ""}, {"GET", "/on", 405, ""}} {
		status, text := ask(c.method, c.path)
		assert.Equal(t, c.status, status, c.path)
		assert.Contains(t, text, c.says, c.path)
	}
	for range 1000 {
		v.step()
	}
	rec.Flush()
	require.Eventually(t, func() bool {
		_, text := ask("POST", "/dump")
		return strings.Contains(text, `"written":`) && !strings.Contains(text, `"written":0`)
	}, 5e9, 1e6)
	list, err := os.ReadDir(dir)
	require.NoError(t, err)
	assert.NotEmpty(t, list)
}

func answered(h http.Handler, method, path string) (int, string) {
	w := httptest.NewRecorder()
	h.ServeHTTP(w, httptest.NewRequest(method, path, nil))
	return w.Code, w.Body.String()
}
