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

// layoutNumberOfF83df88 is the number that identifies the layout of the state blocks of build f83df88. If the layout
// changes, earlier captures can no longer be replayed from their state blocks: change the number only together with a
// way to read those captures, or accept that they are lost.
const layoutNumberOfF83df88 = 5870707023309409998

// fixtureReader replays a capture and collects the contents of the file.
type fixtureReader struct {
	Player
	layoutNumber uint64              // from the file's head
	inFlight     []int               // number of requests in flight, by state block
	results      []int               // sum of ServerSnapshot.Results over all servers, by state block
	creations    [][]byte            // JSON of the creation blocks, as it is in the file
	callsByKind  [len(kindNames)]int // number of replayed calls, by kind
}

func (r *fixtureReader) Head(head Head) error {
	r.layoutNumber = head.StateLayout
	return r.Player.Head(head)
}

func (r *fixtureReader) State(data []byte) error {
	stored, err := graphcodec.Decode[state](data)
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
	return r.Player.State(data)
}

func (r *fixtureReader) Created(data []byte) error {
	r.creations = append(r.creations, append([]byte(nil), data...))
	return r.Player.Created(data)
}

// countKinds returns how many kinds of calls were replayed.
func (r *fixtureReader) countKinds() int {
	kinds := 0
	for _, calls := range r.callsByKind {
		if calls > 0 {
			kinds++
		}
	}
	return kinds
}

// readFixture replays a capture that build f83df88 recorded. Warnings fail the test.
func readFixture(t *testing.T, name string) *fixtureReader {
	t.Helper()
	r := &fixtureReader{}
	r.Warn = func(text string) { assert.Fail(t, text, name) }
	r.After = func(_ *Pool, call *Call, _ *balance.Actions) { r.callsByKind[call.Kind]++ }
	file, err := openFile(filepath.Join("testdata", "f83df88", name+fileSuffix))
	require.NoError(t, err)
	t.Cleanup(func() { assert.NoError(t, file.Close()) })
	require.NoError(t, Read(file, r), name)
	return r
}

// Captures that build f83df88 recorded are replayed with the same actions for each call. See testdata/f83df88/README.md
// for how the files were made.
func TestCapturesOfF83df88(t *testing.T) {
	layoutNumber, err := stateLayoutNumber()
	require.NoError(t, err)
	assert.Equal(t, uint64(layoutNumberOfF83df88), layoutNumber, "the layout of the state blocks has changed")
	for _, c := range []struct {
		file              string
		inFlight, results []int
		calls             uint64
		kinds             int // expected number of different kinds among the replayed calls
	}{
		{"rehearsal", []int{3}, []int{1313}, 7984, 5},
		{"calls", []int{275, 298}, []int{133, 151}, 1161, 16},
		{"born", nil, nil, 400, 15},
	} {
		r := readFixture(t, c.file)
		assert.Equal(t, []uint64{c.calls, 0, 0}, []uint64{r.Played, r.Skipped, r.Different},
			"%s: calls replayed, skipped, with different actions", c.file)
		assert.Equal(t, c.inFlight, r.inFlight, c.file)
		assert.Equal(t, c.results, r.results, c.file)
		assert.Equal(t, c.kinds, r.countKinds(), "%s: kinds of calls", c.file)
		if c.inFlight != nil {
			assert.Equal(t, layoutNumber, r.layoutNumber, c.file)
			continue
		}
		require.Len(t, r.creations, 1)
		var created creation
		require.NoError(t, json.Unmarshal(r.creations[0], &created))
		again, err := json.Marshal(created)
		require.NoError(t, err)
		assert.Equal(t, string(r.creations[0]), string(again), "older builds must be able to read new creations")
	}
}
