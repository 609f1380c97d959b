package capture

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

// BenchmarkRecord measures the time of a call with the capture on and off, and the bytes recorded for each request.
func BenchmarkRecord(b *testing.B) {
	for _, on := range []bool{false, true} {
		b.Run(fmt.Sprint("on=", on), func(b *testing.B) {
			recorder, err := Open(Options{Dir: b.TempDir(), Proxy: "n0", StartOn: on})
			require.NoError(b, err)
			owner := newRandomOwner(b, recorder, "a", 5)
			for b.Loop() {
				owner.step()
			}
			require.NoError(b, recorder.Close())
			b.ReportMetric(float64(recorder.Bytes())/float64(owner.lastRef), "bytes/request")
			b.ReportMetric(float64(recorder.Gaps.Load()), "gaps")
		})
	}
}

// BenchmarkReplay measures the calls replayed per second.
func BenchmarkReplay(b *testing.B) {
	dir := b.TempDir()
	recorder, err := Open(Options{Dir: dir, Proxy: "n0", StartOn: true, WaitForWriter: true})
	require.NoError(b, err)
	owner := newRandomOwner(b, recorder, "a", 5)
	for range 200_000 {
		owner.step()
	}
	require.NoError(b, recorder.Close())
	played := uint64(0)
	for b.Loop() {
		played += replayFolder(b, dir).Played
	}
	b.ReportMetric(float64(played)/b.Elapsed().Seconds(), "calls/s")
}
