package hotrestart

import (
	"bytes"
	"os"
	"testing"

	"github.com/stretchr/testify/assert"

	"lockloom/balance"
	"lockloom/internal/discovery"
	"lockloom/internal/settings"
)

// handed is a state with all that may be in one.
func handed() State {
	s := State{Identity: hello, Listeners: []string{"127.0.0.1:1", ":8080"}, IDs: []uint64{1 << 63, 7}, Listed: true}
	s.AdminState.Disable("s-1", 1790000012.5)
	s.AdminState.Disable("s-2", 1790000013)
	s.AdminState.Enable("s-2", 1790000014.25)
	s.AdminState.SetDraining(true, 1790000015)
	for i, state := range []balance.EndpointState{balance.Ready, balance.Draining, balance.Removed} {
		s.List.Entries = append(s.List.Entries, discovery.Entry{Addr: "127.0.0.1:2", Entry: settings.Entry{Name: []string{"s-1", "s-2", "s-3"}[i], ZoneName: "a",
			ModelName: "m", Endpoint: balance.Endpoint{State: state, Pod: 3 + i, Cores: 2, StartedAt: 1790000000.125}}})
	}
	s.List.Version, s.List.Full = 41, true
	s.Snapshot = balance.Snapshot{BaseLatencies: []float64{.0125, .5}, Servers: []balance.ServerSnapshot{
		{NameHash: 1<<63 + 9, StartedAt: 1790000000.125, Limit: 17.5, RelativeLatency: 1.25, Payoff: -.375, Confidence: .625, Age: 2.5, Paused: true, PauseRemaining: 3.75, Errors: 6, Results: 8},
		{NameHash: 7, Limit: 3, RelativeLatency: 1}}}
	return s
}

// The frames in testdata were written by build f83df88, from the same values. A process of that build hands over to one of the present build
// and the other way round: each reads what the other writes.
func TestFramesOfF83df88(t *testing.T) {
	s := handed()
	for _, c := range []struct {
		file string
		want any
		got  any // a pointer to the same type
	}{
		{"hello", &hello, &Identity{}},
		{"state", &s, &State{}},
		{"state-empty", &State{Identity: hello}, &State{}},
		{"word-orders", &Update{AdminState: &s.AdminState}, &Update{}},
		{"word-serving", &Update{Serving: true}, &Update{}},
	} {
		frame, err := os.ReadFile("testdata/f83df88-" + c.file + ".frame")
		assert.NoError(t, err)
		assert.NoError(t, readFrame(bytes.NewReader(frame), c.got), c.file)
		assert.Equal(t, c.want, c.got, c.file)
		var again bytes.Buffer
		assert.NoError(t, writeFrame(&again, c.want))
		assert.Equal(t, string(frame), again.String(), c.file)
	}
}
