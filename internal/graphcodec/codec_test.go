package graphcodec

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

type inner struct{ x, y float64 }

// outer embeds an inner, which pointers in other values refer to.
type outer struct {
	inner
	name    string
	numbers [3]int16
	next    *outer
}

type graph struct {
	all      []*outer
	rows     []inner
	row      *inner  // an element of rows
	tail     []inner // a part of rows
	embedded *inner  // embedded in an outer
	byNumber map[uint64]*outer
	flag     bool
	number   uint32
	nilSlice []int
	empty    []struct{}
}

func newGraph() *graph {
	a := &outer{inner: inner{1, 2}, name: "a", numbers: [3]int16{-1, 2, 3}}
	b := &outer{name: "b"}
	a.next, b.next = b, a
	g := &graph{
		all:      []*outer{b, a, nil, a},
		rows:     []inner{{3, 4}, {5, 6}, {7, 8}},
		flag:     true,
		number:   1 << 31,
		byNumber: map[uint64]*outer{9: a, 2: b},
		nilSlice: nil,
		empty:    make([]struct{}, 3),
	}
	g.row, g.tail, g.embedded = &g.rows[1], g.rows[1:], &a.inner
	return g
}

// The decoded value equals the encoded one, and its pointers share the same values, including pointers to elements of
// slices and to embedded fields.
func TestDecodedGraphIsTheSame(t *testing.T) {
	data, err := Encode(newGraph())
	require.NoError(t, err)
	g, err := Decode[graph](data)
	require.NoError(t, err)
	assert.Equal(t, newGraph(), g)
	assert.Same(t, g.all[1], g.all[3])
	assert.Same(t, g.byNumber[9], g.all[1])
	assert.Same(t, g.all[0].next, g.all[1])
	g.row.x = 50
	assert.Equal(t, 50.0, g.rows[1].x)
	assert.Equal(t, 50.0, g.tail[0].x)
	g.embedded.y = 60
	assert.Equal(t, 60.0, g.all[1].y)
	again, err := Encode(newGraph())
	require.NoError(t, err)
	assert.Len(t, again, len(data))
}

func TestTypesThatCannotBeEncodedAreRejected(t *testing.T) {
	type withFunc struct{ f func() }
	_, err := Encode(&struct{ a []withFunc }{a: []withFunc{{f: nil}}})
	assert.ErrorContains(t, err, ".a[].f: a func")
	_, err = Layout[struct{ m map[string]int }]()
	assert.ErrorContains(t, err, "map")
	innerLayout, err := Layout[inner]()
	require.NoError(t, err)
	outerLayout, err := Layout[outer]()
	require.NoError(t, err)
	assert.NotEqual(t, innerLayout, outerLayout)
}

// readCorrupt decodes corrupt input, which must return an error or an arbitrary value, and must not panic.
func readCorrupt(t *testing.T, data []byte) {
	t.Helper()
	if value, err := Decode[graph](data); err != nil {
		assert.Nil(t, value)
	}
}

// Guards against panics of the decoder on corrupt captures: truncated input is an error, and input with a changed byte
// is an error or decodes to an arbitrary value.
func TestCorruptInput(t *testing.T) {
	data, err := Encode(newGraph())
	require.NoError(t, err)
	for i := range data {
		_, err := Decode[graph](data[:i])
		assert.Error(t, err, i)
		for _, flip := range []byte{1, 0x80, 0xff} {
			corrupt := append([]byte(nil), data...)
			corrupt[i] ^= flip
			readCorrupt(t, corrupt)
		}
	}
}

func FuzzRead(f *testing.F) {
	data, err := Encode(newGraph())
	require.NoError(f, err)
	f.Add(data)
	f.Fuzz(readCorrupt)
}
