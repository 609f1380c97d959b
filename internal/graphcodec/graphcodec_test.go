package graphcodec

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

type inner struct{ x, y float64 }

// outer has an inner at its beginning, to which others point.
type outer struct {
	inner
	name string
	more [3]int16
	next *outer
}

type graph struct {
	all     []*outer
	rows    []inner
	row     *inner // one of rows
	same    []inner
	of      *inner // an outer's own
	by      map[uint64]*outer
	flag    bool
	n       uint32
	nothing []int
	void    []struct{}
}

func made() *graph {
	a, b := &outer{inner: inner{1, 2}, name: "a", more: [3]int16{-1, 2, 3}}, &outer{name: "b"}
	a.next, b.next = b, a
	g := &graph{all: []*outer{b, a, nil, a}, rows: []inner{{3, 4}, {5, 6}, {7, 8}}, flag: true, n: 1 << 31, by: map[uint64]*outer{9: a, 2: b}, void: make([]struct{}, 3)}
	g.row, g.same, g.of = &g.rows[1], g.rows[1:], &a.inner
	return g
}

// What is built anew is alike, also in what points to the same and into the midst of others.
func TestWhole(t *testing.T) {
	text, err := Write(made())
	require.NoError(t, err)
	g, err := Read[graph](text)
	require.NoError(t, err)
	assert.Equal(t, made(), g)
	assert.Same(t, g.all[1], g.all[3])
	assert.Same(t, g.by[9], g.all[1])
	assert.Same(t, g.all[0].next, g.all[1])
	g.row.x = 50
	assert.Equal(t, 50.0, g.rows[1].x)
	assert.Equal(t, 50.0, g.same[0].x)
	g.of.y = 60
	assert.Equal(t, 60.0, g.all[1].y)
	again, err := Write(made())
	require.NoError(t, err)
	assert.Len(t, again, len(text))
}

func TestCannot(t *testing.T) {
	type with struct{ f func() }
	_, err := Write(&struct{ a []with }{})
	assert.ErrorContains(t, err, ".a[].f: a func")
	_, err = Layout[struct{ m map[string]int }]()
	assert.ErrorContains(t, err, "map")
	one, _ := Layout[inner]()
	other, _ := Layout[outer]()
	assert.NotEqual(t, one, other)
}

// A text that is cut or changed anywhere is refused, or read as something; it never breaks the reader.
func TestTorn(t *testing.T) {
	text, err := Write(made())
	require.NoError(t, err)
	for i := range text {
		_, err := Read[graph](text[:i])
		assert.Error(t, err, i)
		for _, flip := range []byte{1, 0x80, 0xff} {
			bad := append([]byte(nil), text...)
			bad[i] ^= flip
			Read[graph](bad)
		}
	}
}

func FuzzRead(f *testing.F) {
	text, _ := Write(made())
	f.Add(text)
	f.Fuzz(func(t *testing.T, text []byte) { Read[graph](text) })
}
