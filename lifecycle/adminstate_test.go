package lifecycle

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

func TestDisabledAndAssumedStart(t *testing.T) {
	disable := func(at float64) func(*AdminState) { return func(a *AdminState) { a.Disable("a", at) } }
	enable := func(at float64) func(*AdminState) { return func(a *AdminState) { a.Enable("a", at) } }
	type calls []func(*AdminState)
	for _, c := range []struct {
		name         string
		calls        calls
		startedAt    float64 // in the endpoint list
		disabled     bool
		assumedStart float64
	}{
		{"no admin call", nil, 7, false, 7},
		{"disabled", calls{disable(10)}, 7, true, 7},
		{"disabled, restarted meanwhile: its start is not reported before it is enabled", calls{disable(10)}, 12, true, 10},
		{"enabled, no start in the list: as if it had just started", calls{disable(10), enable(20)}, 0, false, 20},
		{"enabled, an old start in the list", calls{disable(10), enable(20)}, 7, false, 20},
		{"enabled, its new start in the list", calls{disable(10), enable(20)}, 12, false, 12},
		{"disabled twice, enabled once", calls{disable(10), disable(11), enable(20)}, 10.5, false, 10.5},
		{"enabled twice", calls{disable(10), enable(20), enable(30)}, 0, false, 20},
		{"enabled without having been disabled", calls{enable(20)}, 7, false, 7},
		{"disabled again", calls{disable(10), enable(20), disable(30)}, 0, true, 0},
		{"another server", calls{func(a *AdminState) { a.Disable("b", 10) }}, 7, false, 7},
	} {
		var state AdminState
		for _, call := range c.calls {
			call(&state)
		}
		disabled, assumedStart := state.Disabled("a", c.startedAt)
		assert.Equal(t, c.disabled, disabled, c.name)
		assert.Equal(t, c.assumedStart, assumedStart, c.name)
	}
}

// Merging must lead to the same state in all processes, whatever the order and number of the merges: the last admin
// call for each switch must win.
func TestMergeConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var processes [3]AdminState
		drawProcess := func() *AdminState { return &processes[rapid.IntRange(0, 2).Draw(t, "process")] }
		for i := range rapid.IntRange(1, 12).Draw(t, "orders") {
			drawAdminCall(t, drawProcess(), float64(10+i))
			drawProcess().Merge(drawProcess().Clone())
		}
		want := lastCalls(processes[:])
		for range 2 {
			for _, i := range rapid.Permutation([]int{0, 1, 2}).Draw(t, "order") {
				for j := range processes {
					processes[i].Merge(processes[j].Clone())
				}
			}
		}
		for i := range processes {
			assert.Equal(t, want, processes[i], "the last admin call for each switch wins")
			assert.False(t, processes[i].Merge(processes[(i+1)%3]), "further merges change nothing")
		}
	})
}

// lastCalls returns, for each switch, the last admin call made at any of the processes.
func lastCalls(processes []AdminState) AdminState {
	last := func(read func(*AdminState) AdminSwitch) AdminSwitch {
		latest := read(&processes[0])
		for i := range processes {
			if s := read(&processes[i]); s.ChangedAt > latest.ChangedAt {
				latest = s
			}
		}
		return latest
	}
	want := AdminState{Drain: last(func(a *AdminState) AdminSwitch { return a.Drain })}
	for _, id := range []string{"a", "b"} {
		if s := last(func(a *AdminState) AdminSwitch { return a.Servers[id] }); s.ChangedAt > 0 {
			want.set(id, s)
		}
	}
	return want
}

// drawAdminCall applies a random admin call to state.
func drawAdminCall(t *rapid.T, state *AdminState, now float64) {
	id := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "id")
	rapid.SampledFrom([]func(){
		func() { state.Disable(id, now) },
		func() { state.Enable(id, now) },
		func() { state.SetDraining(true, now) },
		func() { state.SetDraining(false, now) },
	}).Draw(t, "call")()
}
