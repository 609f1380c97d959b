package capture

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const (
	writerTimeout = 5 * time.Second
	pollInterval  = time.Millisecond
)

// record captures random calls on one pool to a temporary folder, which it returns.
func record(t *testing.T, calls int, o Options) (*Recorder, *randomOwner, string) {
	t.Helper()
	o.Dir, o.Proxy, o.StartOn = t.TempDir(), "n0", true
	recorder, err := Open(o)
	require.NoError(t, err)
	owner := newRandomOwner(t, recorder, "a", 5)
	for range calls {
		owner.step()
	}
	return recorder, owner, o.Dir
}

// requireWritten waits until the writer's queue is empty.
func requireWritten(t *testing.T, r *Recorder) {
	t.Helper()
	require.Eventually(t, func() bool { return len(r.writer.chunks) == 0 }, writerTimeout, pollInterval)
}

// Guards against a slow disk that delays the owner goroutine: calls that do not fit into the writer's queue are dropped
// and counted, and the calls after the gap can be replayed.
func TestSlowDiskLeavesGap(t *testing.T) {
	const maxSteps = 1_000_000
	recorder, owner, dir := record(t, 100, Options{})
	recorder.writer.mu.Lock() // blocks the writer
	for steps := 0; recorder.Gaps.Load() == 0; steps++ {
		require.Less(t, steps, maxSteps)
		owner.step()
	}
	for range 1000 {
		owner.step()
	}
	recorder.writer.mu.Unlock()
	stepUntilRecording := func() bool {
		owner.step()
		return recorder.recording
	}
	require.Eventually(t, stepUntilRecording, 10*time.Second, pollInterval)
	for range 1000 {
		owner.step()
	}
	require.NoError(t, recorder.Close())
	files, err := Files(dir)
	require.NoError(t, err)
	warnings := ""
	p := &Player{Warn: func(text string) { warnings += text }}
	require.NoError(t, p.Play(files, openFile))
	assert.Contains(t, warnings, "calls are missing before part ")
	assert.Greater(t, p.Played, uint64(1000))
}

func TestFailingDiskEndsTheCapture(t *testing.T) {
	log, hook := test.NewNullLogger()
	recorder, owner, dir := record(t, 100, Options{Log: log, MaxSegmentBytes: 2000})
	requireWritten(t, recorder)
	require.NoError(t, os.RemoveAll(dir))
	for range 5000 {
		owner.step()
	}
	require.Eventually(t, recorder.writer.failed.Load, writerTimeout, pollInterval)
	owner.step()
	recorder.Set(true)
	assert.False(t, recorder.On(), "a capture that has failed stays off")
	require.NoError(t, recorder.Close())
	assert.Len(t, hook.AllEntries(), 1)
}

// The ring keeps the newest segments, which can be replayed. Dump and a trigger write them to files.
func TestRingKeepsTheNewestSegments(t *testing.T) {
	log, hook := test.NewNullLogger()
	recorder, owner, dir := record(t, 20_000, Options{
		WaitForWriter:   true,
		RingBytes:       60_000,
		MaxSegmentBytes: 20_000,
		Log:             log,
		RejectedShare:   .01,
	})
	recorder.Flush()
	requireWritten(t, recorder)
	segments, err := recorder.Dump()
	require.NoError(t, err)
	assert.Greater(t, segments, 1)
	p := replayFolder(t, dir)
	assert.Greater(t, p.Played, uint64(100))
	assert.Less(t, p.Played, recorder.Calls.Load())
	for end := owner.now + 3; owner.now < end; {
		owner.step()
	}
	logged := func() bool { return len(hook.AllEntries()) > 0 }
	require.Eventually(t, logged, writerTimeout, pollInterval, "rejections trigger a dump")
	assert.Equal(t, "rejections above their share", hook.LastEntry().Data["why"])
	require.NoError(t, recorder.Close())
}

// The files of a proxy stay within their total size. Files of other proxies are not removed.
func TestFilesStayWithinTheirTotal(t *testing.T) {
	recorder, owner, dir := record(t, 100, Options{MaxSegmentBytes: 4000, MaxTotalBytes: 30_000})
	other := filepath.Join(dir, "other-1-000001"+fileSuffix)
	require.NoError(t, os.WriteFile(other, make([]byte, 50_000), 0o600))
	for range 30_000 {
		owner.step()
	}
	require.NoError(t, recorder.Close())
	files, err := Files(dir)
	require.NoError(t, err)
	total := int64(0)
	for _, file := range files {
		if info, err := os.Stat(file); err == nil && file != other {
			total += info.Size()
		}
	}
	assert.FileExists(t, other)
	assert.Greater(t, total, int64(5_000))
	assert.Less(t, total, int64(60_000))
}
