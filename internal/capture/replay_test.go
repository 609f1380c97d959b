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

// A replay returns the recorded actions, every time, over several segments and with two pools, whatever was called.
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
			assert.Equal(r, recorder.Calls.Load(), replayFolder(r, dir).Played, "all that was recorded")
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

// replayText replays one file, and returns the warnings too.
func replayText(text []byte) (p *Player, warnings string, err error) {
	p = &Player{Warn: func(text string) { warnings += text + "\n" }}
	err = Read(bytes.NewReader(text), p)
	return p, warnings, err
}

// A file that is cut anywhere, as by a crash, is read to its last complete block. A flipped bit is reported, and what
// cannot be replayed reliably is skipped.
func TestDamagedFileIsReplayedAsFarAsItIsIntact(t *testing.T) {
	recorder, _, dir := record(t, 800, Options{WaitForWriter: true})
	require.NoError(t, recorder.Close())
	files, err := Files(dir)
	require.NoError(t, err)
	require.Len(t, files, 1)
	text, err := os.ReadFile(files[0])
	require.NoError(t, err)
	whole, _, err := replayText(text)
	require.NoError(t, err)
	played := uint64(0)
	for cut := len(magic); cut < len(text); cut += 41 {
		p, _, err := replayText(text[:cut])
		require.NoError(t, err, cut)
		assert.GreaterOrEqual(t, p.Played, played)
		played = p.Played
	}
	assert.Greater(t, played, uint64(0))
	assert.LessOrEqual(t, played, whole.Played)
	for at := len(magic); at < len(text); at += 101 {
		damaged := bytes.Clone(text)
		damaged[at] ^= 4
		p, warnings, err := replayText(damaged)
		assert.True(t, err != nil || warnings != "", "a flipped bit at %d is reported", at)
		assert.LessOrEqual(t, p.Played, whole.Played)
		assert.Zero(t, p.Different)
	}
}

// Actions that differ from those recorded end a replay, with both sides, unless it is loose.
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
	assert.Regexp(t, `call \d+, [a-z-]+ at \d+\.\d+ on pool "a": the actions differ: `+
		`digest [0-9a-f]{4} was recorded, [0-9a-f]{4} came of it`, err.Error())
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
		"":                                 "no capture",
		"hello, world, this is no capture": "no capture",
		string(otherFormat):                "format 9, this program reads 1",
		string(otherState):                 "made by a program (v0) whose decisions have another form",
	} {
		assert.ErrorContains(t, Read(strings.NewReader(text), &Player{}), message)
	}
}

func FuzzRead(f *testing.F) {
	f.Add([]byte(magic))
	head := appendBlock([]byte(magic), blockHead, []byte(`{"format":1}`))
	f.Add(appendBlock(head, blockCalls, []byte{1, 2, 3}))
	f.Fuzz(func(t *testing.T, text []byte) {
		if err := Read(bytes.NewReader(text), &Player{Loose: true}); err != nil {
			t.Log(err) // whatever is read, it must not panic
		}
	})
}
