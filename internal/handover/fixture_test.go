package handover

import (
	"bytes"
	"os"
	"testing"

	"github.com/stretchr/testify/assert"

	"lockloom/balance"
	"lockloom/internal/discovery"
	"lockloom/internal/figures"
)

// handed is a state with all that may be in one.
func handed() State {
	s := State{Hello: hello, Listeners: []string{"127.0.0.1:1", ":8080"}, IDs: []uint64{1 << 63, 7}, Listed: true}
	s.Orders.Disable("s-1", 1790000012.5)
	s.Orders.Disable("s-2", 1790000013)
	s.Orders.Enable("s-2", 1790000014.25)
	s.Orders.Drains(true, 1790000015)
	for i, state := range []balance.State{balance.Ready, balance.Draining, balance.Gone} {
		s.List.Entries = append(s.List.Entries, discovery.Entry{Addr: "127.0.0.1:2", Entry: figures.Entry{Name: []string{"s-1", "s-2", "s-3"}[i], ZoneName: "a",
			ModelName: "m", Backend: balance.Backend{State: state, Pod: 3 + i, Size: 2, UpSince: 1790000000.125}}})
	}
	s.List.Version, s.List.Full = 41, true
	s.Learned = balance.Memory{Bases: []float64{.0125, .5}, Servers: []balance.Learned{
		{Mark: 1<<63 + 9, UpSince: 1790000000.125, Limit: 17.5, Pace: 1.25, Pay: -.375, Sure: .625, Age: 2.5, Paused: true, PausedFor: 3.75, Errors: 6, Results: 8},
		{Mark: 7, Limit: 3, Pace: 1}}}
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
		{"hello", &hello, &Hello{}},
		{"state", &s, &State{}},
		{"state-empty", &State{Hello: hello}, &State{}},
		{"word-orders", &Word{Orders: &s.Orders}, &Word{}},
		{"word-serving", &Word{Serving: true}, &Word{}},
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
