package controlplane

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"

	"lockloom/assignment"
)

// Guards against an incompatible change of the snapshot format. Build f83df88 wrote the snapshot in testdata from the
// same values. This build must read it, and write the same bytes, so that the older build can read its snapshots.
func TestSnapshotOfF83df88IsReadAndWritten(t *testing.T) {
	const file = "testdata/f83df88-snapshot.json"
	want := map[string]assignment.Snapshot{
		"web": {At: 1790000000.25, Servers: []assignment.ServerSnapshot{
			{Name: "s-1", Addr: "127.0.0.1:2", Zone: "a", Health: assignment.Healthy, Weight: 1.75,
				StartedAt: 1789999000.5},
			{Name: "s-2", Addr: "127.0.0.1:3", Zone: "b", Health: assignment.Unhealthy, Weight: .125,
				PauseRemaining: 3.5, StartedAt: 1789999001},
			{Name: "s-3", Addr: "127.0.0.1:4", Health: assignment.Draining, Weight: 1},
		}},
		"api": {At: 1790000001},
	}
	got, err := readSnapshotFile(file)
	assert.NoError(t, err)
	assert.Equal(t, want, got)
	written := filepath.Join(t.TempDir(), "snapshot.json")
	assert.NoError(t, writeSnapshotFile(written, want))
	oldText, err := os.ReadFile(file)
	assert.NoError(t, err)
	newText, err := os.ReadFile(written)
	assert.NoError(t, err)
	assert.Equal(t, string(oldText), string(newText))
}
