package capture

import (
	"encoding/json"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"lockloom/balance"
	"lockloom/internal/graphcodec"
)

// formOfF83df88 is the number of the state blocks' form in build f83df88. Captures written before it changes cannot be
// replayed from a state block any more: change it only together with a way to read them, or knowing that they are lost.
const formOfF83df88 = 5870707023309409998

// fixtureReader replays a capture, and takes down what the file holds.
type fixtureReader struct {
	Player
	form         uint64
	inFlight     []int               // requests, by state block
	results      []int               // that servers are known by, by state block
	creations    [][]byte            // JSON, as it stands in the file
	callsOfKinds [len(kindNames)]int // replayed
}

func (r *fixtureReader) Head(head Head) error {
	r.form = head.Module
	return r.Player.Head(head)
}

func (r *fixtureReader) State(text []byte) error {
	stored, err := graphcodec.Read[state](text)
	if err != nil {
		return err
	}
	pool, err := stored.restore()
	if err != nil {
		return err
	}
	results := 0
	for _, server := range pool.Balancer.Snapshot(0).Servers {
		results += server.Results
	}
	r.inFlight = append(r.inFlight, len(pool.InFlight))
	r.results = append(r.results, results)
	return r.Player.State(text)
}

func (r *fixtureReader) Created(text []byte) error {
	r.creations = append(r.creations, append([]byte(nil), text...))
	return r.Player.Created(text)
}

// countKinds returns how many kinds of calls were replayed.
func (r *fixtureReader) countKinds() int {
	kinds := 0
	for _, calls := range r.callsOfKinds {
		if calls > 0 {
			kinds++
		}
	}
	return kinds
}

// readFixture replays a file of build f83df88. Warnings fail the test.
func readFixture(t *testing.T, name string) *fixtureReader {
	t.Helper()
	r := &fixtureReader{}
	r.Warn = func(text string) { assert.Fail(t, text, name) }
	r.After = func(_ *Pool, call *Call, _ *balance.Actions) { r.callsOfKinds[call.Kind]++ }
	file, err := openFile(filepath.Join("testdata", "f83df88", name+fileSuffix))
	require.NoError(t, err)
	t.Cleanup(func() { assert.NoError(t, file.Close()) })
	require.NoError(t, Read(file, r), name)
	return r
}

// What build f83df88 captured is replayed, call for call; testdata/f83df88/README.md tells how the files were made.
func TestCapturesOfF83df88(t *testing.T) {
	form, err := stateForm()
	require.NoError(t, err)
	assert.Equal(t, uint64(formOfF83df88), form, "the layout of the decisions' state has changed")
	for _, c := range []struct {
		file              string
		inFlight, results []int
		calls             uint64
		kinds             int // of calls
	}{
		{"rehearsal", []int{3}, []int{1313}, 7984, 5},
		{"calls", []int{275, 298}, []int{133, 151}, 1161, 16},
		{"born", nil, nil, 400, 15},
	} {
		r := readFixture(t, c.file)
		assert.Equal(t, []uint64{c.calls, 0, 0}, []uint64{r.Played, r.Skipped, r.Different},
			"%s: calls replayed, skipped, with other actions", c.file)
		assert.Equal(t, c.inFlight, r.inFlight, c.file)
		assert.Equal(t, c.results, r.results, c.file)
		assert.Equal(t, c.kinds, r.countKinds(), "%s: kinds of calls", c.file)
		if c.inFlight != nil {
			assert.Equal(t, form, r.form, c.file)
			continue
		}
		require.Len(t, r.creations, 1)
		var created creation
		require.NoError(t, json.Unmarshal(r.creations[0], &created))
		again, err := json.Marshal(created)
		require.NoError(t, err)
		assert.Equal(t, string(r.creations[0]), string(again), "older builds read what is written now")
	}
}
