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

// formOfStates is the number of the state blocks' form in build f83df88. Captures written before a change of it can no longer be replayed from a
// state block: change it only together with a way to read them, or knowing that they are lost.
const formOfStates = 5870707023309409998

// reading plays a capture and notes what it holds.
type reading struct {
	Player
	module  uint64
	hand    []int    // requests in hand, by state block
	results []int    // results that servers are known by, by state block
	born    [][]byte // JSON, as it stands in the file
	kinds   [16]int  // calls, by kind
}

func (r *reading) Head(h Head) error {
	r.module = h.Module
	return r.Player.Head(h)
}

func (r *reading) State(text []byte) error {
	s, err := graphcodec.Read[state](text)
	if err != nil {
		return err
	}
	pool, err := s.restore()
	if err != nil {
		return err
	}
	results := 0
	for _, learned := range pool.Balancer.Snapshot(0).Servers {
		results += learned.Results
	}
	r.hand, r.results = append(r.hand, len(pool.InFlight)), append(r.results, results)
	return r.Player.State(text)
}

func (r *reading) Created(text []byte) error {
	r.born = append(r.born, append([]byte(nil), text...))
	return r.Player.Created(text)
}

// The present code replays what build f83df88 captured, call for call; testdata/f83df88/README.md says how the files were made.
func TestCapturesOfF83df88(t *testing.T) {
	form, err := stateForm()
	require.NoError(t, err)
	assert.Equal(t, uint64(formOfStates), form, "the layout of the decisions' state has changed")
	for _, c := range []struct {
		file          string
		hand, results []int
		calls         uint64
		kinds         int // of calls
	}{
		{"rehearsal", []int{3}, []int{1313}, 7984, 5},
		{"calls", []int{275, 298}, []int{133, 151}, 1161, 16},
		{"born", nil, nil, 400, 15},
	} {
		r := &reading{}
		r.Warn = func(text string) { assert.Fail(t, text, c.file) }
		r.After = func(_ *Pool, x *Call, _ *balance.Actions) { r.kinds[x.Kind]++ }
		f, err := openFile(filepath.Join("testdata", "f83df88", c.file+fileSuffix))
		require.NoError(t, err)
		defer f.Close()
		require.NoError(t, Read(f, r), c.file)
		assert.Equal(t, []uint64{c.calls, 0, 0}, []uint64{r.Played, r.Skipped, r.Different}, "%s: calls replayed, passed over, with other orders", c.file)
		assert.Equal(t, c.hand, r.hand, c.file)
		assert.Equal(t, c.results, r.results, c.file)
		kinds := 0
		for _, n := range r.kinds {
			if n > 0 {
				kinds++
			}
		}
		assert.Equal(t, c.kinds, kinds, "%s: kinds of calls", c.file)
		if c.hand != nil {
			assert.Equal(t, form, r.module, c.file)
			continue
		}
		require.Len(t, r.born, 1)
		var b creation
		require.NoError(t, json.Unmarshal(r.born[0], &b))
		again, err := json.Marshal(b)
		require.NoError(t, err)
		assert.Equal(t, string(r.born[0]), string(again), "older builds read what is written now")
	}
}
