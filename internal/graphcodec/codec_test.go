package graphcodec

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

type inner struct{ x, y float64 }

// outer begins with an inner, to which others point.
type outer struct {
	inner
	name    string
	numbers [3]int16
	next    *outer
}

type graph struct {
	all      []*outer
	rows     []inner
	row      *inner // one of rows
	tail     []inner
	embedded *inner // that of an outer
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

// What is decoded equals what was encoded, and pointers are shared as before, also those into the middle of values.
func TestDecodedGraphIsTheSame(t *testing.T) {
	text, err := Write(newGraph())
	require.NoError(t, err)
	g, err := Read[graph](text)
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
	again, err := Write(newGraph())
	require.NoError(t, err)
	assert.Len(t, again, len(text))
}

func TestTypesThatCannotBeEncodedAreRejected(t *testing.T) {
	type withFunc struct{ f func() }
	_, err := Write(&struct{ a []withFunc }{a: []withFunc{{f: nil}}})
	assert.ErrorContains(t, err, ".a[].f: a func")
	_, err = Layout[struct{ m map[string]int }]()
	assert.ErrorContains(t, err, "map")
	innerLayout, err := Layout[inner]()
	require.NoError(t, err)
	outerLayout, err := Layout[outer]()
	require.NoError(t, err)
	assert.NotEqual(t, innerLayout, outerLayout)
}

// readCorrupt decodes corrupt input: it must give an error or some value, and not panic.
func readCorrupt(t *testing.T, text []byte) {
	t.Helper()
	if value, err := Read[graph](text); err != nil {
		assert.Nil(t, value)
	}
}

// Input that is cut or changed anywhere is an error, or decodes to something; it never breaks the decoder.
func TestCorruptInput(t *testing.T) {
	text, err := Write(newGraph())
	require.NoError(t, err)
	for i := range text {
		_, err := Read[graph](text[:i])
		assert.Error(t, err, i)
		for _, flip := range []byte{1, 0x80, 0xff} {
			corrupt := append([]byte(nil), text...)
			corrupt[i] ^= flip
			readCorrupt(t, corrupt)
		}
	}
}

func FuzzRead(f *testing.F) {
	text, err := Write(newGraph())
	require.NoError(f, err)
	f.Add(text)
	f.Fuzz(readCorrupt)
}
