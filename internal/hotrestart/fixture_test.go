package hotrestart

import (
	"bytes"
	"os"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"lockloom/balance"
	"lockloom/internal/discovery"
	"lockloom/internal/settings"
)

// completeState returns a state with a value in every field that build f83df88 has.
func completeState() State {
	state := State{
		Identity:  testIdentity,
		Listeners: []string{"127.0.0.1:1", ":8080"},
		IDs:       []uint64{1 << 63, 7},
		HasList:   true,
	}
	state.AdminState.Disable("s-1", 1790000012.5)
	state.AdminState.Disable("s-2", 1790000013)
	state.AdminState.Enable("s-2", 1790000014.25)
	state.AdminState.SetDraining(true, 1790000015)
	for i, endpointState := range []balance.EndpointState{balance.Ready, balance.Draining, balance.Removed} {
		name := []string{"s-1", "s-2", "s-3"}[i]
		state.List.Entries = append(state.List.Entries, testEntry(name, endpointState, 3+i))
	}
	state.List.Version, state.List.Full = 41, true
	state.Snapshot = balance.Snapshot{
		BaseLatencies: []float64{.0125, .5},
		Servers: []balance.ServerSnapshot{
			{
				NameHash: 1<<63 + 9, StartedAt: 1790000000.125, Limit: 17.5, RelativeLatency: 1.25, Payoff: -.375,
				Confidence: .625, Age: 2.5, Paused: true, PauseRemaining: 3.75, Errors: 6, Results: 8,
			},
			{NameHash: 7, Limit: 3, RelativeLatency: 1},
		},
	}
	return state
}

func testEntry(name string, state balance.EndpointState, pod int) discovery.Entry {
	endpoint := balance.Endpoint{State: state, Pod: pod, Cores: 2, StartedAt: 1790000000.125}
	entry := settings.Entry{Name: name, ZoneName: "a", ModelName: "m", Endpoint: endpoint}
	return discovery.Entry{Addr: "127.0.0.1:2", Entry: entry}
}

// Guards against a change of the frame format that breaks a hot restart between build f83df88 and the current build,
// in either direction. Build f83df88 wrote the frames in testdata from the values that stand as want below.
func TestFramesOfF83df88(t *testing.T) {
	state := completeState()
	for _, c := range []struct {
		file string
		want any
		got  any // a pointer to a zero value of the type of want, to decode the frame into
	}{
		{"hello", &testIdentity, &Identity{}},
		{"state", &state, &State{}},
		{"state-empty", &State{Identity: testIdentity}, &State{}},
		{"word-orders", &Update{AdminState: &state.AdminState}, &Update{}},
		{"word-serving", &Update{Serving: true}, &Update{}},
	} {
		frame, err := os.ReadFile("testdata/f83df88-" + c.file + ".frame")
		require.NoError(t, err)
		assert.NoError(t, readFrame(bytes.NewReader(frame), c.got), c.file)
		assert.Equal(t, c.want, c.got, c.file)
		var written bytes.Buffer
		assert.NoError(t, writeFrame(&written, c.want))
		assert.Equal(t, string(frame), written.String(), c.file)
	}
}

// The spelling of what builds after f83df88 have added.
func TestLaterFieldsOfFrames(t *testing.T) {
	for want, message := range map[string]any{
		`"Listeners":null,"Gossip":"127.0.0.1:2","Orders"`:      State{Gossip: "127.0.0.1:2"},
		`{"Serving":false,"Orders":null,"GossipReleased":true}`: Update{GossipReleased: true},
		`,"RequestIDs":[{"Hash":"0f","From":-1.5,"Until":2}]}`:  State{RequestIDs: []RequestID{{"0f", -1.5, 2}}},
		`"Orders":null,"RequestIDs":[{"Hash":"0f","From":0,"Until":0}]}`: Update{
			RequestIDs: []RequestID{{Hash: "0f"}},
		},
	} {
		var written bytes.Buffer
		require.NoError(t, writeFrame(&written, message))
		assert.Contains(t, written.String(), want)
	}
}
