package capture

import (
	"bytes"
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"lockloom/balance"
)

// Each replay of random calls returns the recorded actions, with several segments and two pools.
func TestReplayReturnsTheRecordedActions(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		dir, err := os.MkdirTemp(t.TempDir(), "")
		require.NoError(t, err)
		segmentBytes := int64(rapid.IntRange(500, 20_000).Draw(r, "segment"))
		recorder, err := Open(Options{
			Dir:             dir,
			Proxy:           "n0",
			StartOn:         true,
			WaitForWriter:   true,
			MaxSegmentBytes: segmentBytes,
		})
		require.NoError(t, err)
		a := newRandomOwner(t, recorder, "a", rapid.Uint64().Draw(r, "seed"))
		b := newRandomOwner(t, recorder, "b", 2)
		for i := range rapid.IntRange(1, 150).Draw(r, "calls") {
			[]*randomOwner{a, b}[i%2].step()
			if i%20 == 7 {
				a.SetLocalDelay(1+float64(i%3), float64(i%5)/100)
			}
		}
		require.NoError(t, recorder.Close())
		for range 2 {
			assert.Equal(r, recorder.Calls.Load(), replayFolder(r, dir).Played, "all recorded calls are replayed")
		}
		assert.Zero(r, recorder.Gaps.Load())
		require.NoError(t, os.RemoveAll(dir))
	})
	recorder, _, dir := record(t, 3000, Options{MaxSegmentBytes: 20_000, WaitForWriter: true})
	require.NoError(t, recorder.Close())
	for range 10 {
		assert.Equal(t, recorder.Calls.Load(), replayFolder(t, dir).Played)
	}
}

// replayData replays the contents of one file. It also returns the warnings.
func replayData(data []byte) (p *Player, warnings string, err error) {
	p = &Player{Warn: func(text string) { warnings += text + "\n" }}
	err = Read(bytes.NewReader(data), p)
	return p, warnings, err
}

// A file that is truncated at any byte, as by a crash, is replayed to its last complete block. A flipped bit is
// reported, and the calls that cannot be replayed because of it are skipped.
func TestDamagedFileIsReplayedAsFarAsItIsIntact(t *testing.T) {
	recorder, _, dir := record(t, 800, Options{WaitForWriter: true})
	require.NoError(t, recorder.Close())
	files, err := Files(dir)
	require.NoError(t, err)
	require.Len(t, files, 1)
	data, err := os.ReadFile(files[0])
	require.NoError(t, err)
	whole, _, err := replayData(data)
	require.NoError(t, err)
	played := uint64(0)
	for cut := len(magic); cut < len(data); cut += 41 {
		p, _, err := replayData(data[:cut])
		require.NoError(t, err, cut)
		assert.GreaterOrEqual(t, p.Played, played)
		played = p.Played
	}
	assert.Greater(t, played, uint64(0))
	assert.LessOrEqual(t, played, whole.Played)
	for at := len(magic); at < len(data); at += 101 {
		damaged := bytes.Clone(data)
		damaged[at] ^= 4
		p, warnings, err := replayData(damaged)
		assert.True(t, err != nil || warnings != "", "a flipped bit at %d is reported", at)
		assert.LessOrEqual(t, p.Played, whole.Played)
		assert.Zero(t, p.Different)
	}
}

// Actions that differ from the recorded ones end a replay with an error that has both digests, unless Loose is set.
func TestDifferentActionsEndTheReplay(t *testing.T) {
	recorder, owner, dir := record(t, 500, Options{WaitForWriter: true})
	unrecorded := balance.RequestInfo{Ref: 1 << 20, Deadline: owner.now + 1, Tenant: -1}
	owner.Balancer.Balancer.RequestArrived(owner.now, unrecorded)
	for range 500 {
		owner.step()
	}
	require.NoError(t, recorder.Close())
	files, err := Files(dir)
	require.NoError(t, err)
	err = (&Player{}).Play(files, openFile)
	require.Error(t, err)
	assert.Regexp(t, `call \d+, [a-z-]+ at \d+\.\d+ s on pool "a": the actions differ: `+
		`recorded digest [0-9a-f]{4}, replayed digest [0-9a-f]{4} of actions: `, err.Error())
	p := &Player{Loose: true}
	require.NoError(t, p.Play(files, openFile))
	assert.Greater(t, p.Different, uint64(0))
}

func TestUnreadableFilesAreRejected(t *testing.T) {
	compressed, err := newCompressor().compress([]byte("x"))
	require.NoError(t, err)
	otherFormat := appendBlock([]byte(magic), blockHead, []byte(`{"format":9}`))
	otherState := appendBlock([]byte(magic), blockHead, []byte(`{"format":1,"module":7,"program":"v0"}`))
	otherState = appendBlock(otherState, blockState, compressed)
	for text, message := range map[string]string{
		"":                                 "not a capture file",
		"hello, world, this is no capture": "not a capture file",
		string(otherFormat):                "format 9 is not supported: this program reads format 1",
		string(otherState):                 "recorded by program version v0, whose state blocks have another layout",
	} {
		assert.ErrorContains(t, Read(strings.NewReader(text), &Player{}), message)
	}
}

func FuzzRead(f *testing.F) {
	f.Add([]byte(magic))
	head := appendBlock([]byte(magic), blockHead, []byte(`{"format":1}`))
	f.Add(appendBlock(head, blockCalls, []byte{1, 2, 3}))
	f.Fuzz(func(t *testing.T, data []byte) {
		if err := Read(bytes.NewReader(data), &Player{Loose: true}); err != nil {
			t.Log(err) // Read may return an error for any input, but must not panic
		}
	})
}
