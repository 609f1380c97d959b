package http1

import (
	"errors"
	"io"
	"runtime"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/assert"
)

// Guards against losing bytes that a client sends before it has received its response, and against missing its close of
// the connection after them.
func TestWatchSeesCloseBehindNextRequest(t *testing.T) {
	in, out := io.Pipe()
	go func() {
		for _, text := range []string{"GET /a HTTP/1.1\r\n\r\nGET /b HT", "TP/1.1\r\n\r\n"} {
			_, err := io.WriteString(out, text)
			assert.NoError(t, err)
		}
		assert.NoError(t, out.Close())
	}()
	r := NewReader(in)
	h, err := r.Request()
	assert.NoError(t, err)
	assert.Equal(t, "/a", string(h.Target))
	assert.ErrorIs(t, r.WaitForClose(), io.EOF)
	assert.True(t, r.Ready())
	h, err = r.Request()
	assert.NoError(t, err)
	assert.Equal(t, "/b", string(h.Target))
}

// Guards against reading without limit from a client that sends more than the buffer holds, and against treating it as
// gone.
func TestWatchEndsWhenBufferIsFull(t *testing.T) {
	r := NewReader(strings.NewReader("GET /a HTTP/1.1\r\n\r\n" + strings.Repeat("x", 2*BufferBytes)))
	_, err := r.Request()
	assert.NoError(t, err)
	assert.NoError(t, r.WaitForClose())
	assert.Equal(t, BufferBytes, r.buffer.Buffered())
}

// Guards against reporting an incomplete head as ready: the caller then reads it without a timeout.
func TestReady(t *testing.T) {
	for text, want := range map[string]bool{
		"":                               false,
		"GET / HTTP/1.1\r\nA: b\r\n":     false,
		"GET / HTTP/1.1\r\n\r\n":         true,
		"GET / HTTP/1.1\n\nmore":         true,
		"\r\n\r\nGET /":                  false,
		"\r\n\r\nGET / HTTP/1.1\r\n\r\n": true,
		"\n\n\n":                         false,
	} {
		r := NewReader(strings.NewReader(text))
		if err := r.Wait(); text != "" {
			assert.NoError(t, err)
		}
		assert.Equal(t, want, r.Ready(), "%q", text)
	}
}

// Guards against state of the previous connection that is left after Reset.
func TestReset(t *testing.T) {
	r := NewReader(strings.NewReader("GET /a HTTP/1.1\r\nX: " + strings.Repeat("x", 60000) + "\r\n\r\nGET /rest"))
	_, err := r.Request()
	assert.NoError(t, err)
	r.AllowLargeBodies = true
	r.Reset(strings.NewReader("GET /b HTTP/1.1\r\n\r\n"))
	assert.Equal(t, BufferBytes, r.buffer.Size())
	assert.False(t, r.AllowLargeBodies)
	assert.NoError(t, r.Wait())
	h, err := r.Request()
	assert.NoError(t, err)
	assert.Equal(t, "/b", string(h.Target))
	assert.Empty(t, h.Fields)
}

// Guards against memory of a large head, or of many fields, that stays reachable from the reader once the head was
// released: 68 kB for each connection, and for each reader that is kept for reuse.
func TestReleasedHeadIsNotKept(t *testing.T) {
	const readers, keptBytes = 50, 2 * BufferBytes
	for name, fields := range map[string]string{
		"large head":  "X: " + strings.Repeat("x", 60000) + "\r\n",
		"many fields": strings.Repeat("X: y\r\n", maxFields),
	} {
		kept := make([]*Reader, readers)
		before := reachableBytes()
		for i := range kept {
			kept[i] = NewReader(strings.NewReader("GET /a HTTP/1.1\r\n" + fields + "\r\n"))
			h, err := kept[i].Request()
			assert.NoError(t, err, name)
			assert.NotEmpty(t, h.Fields, name)
			kept[i].ReleaseHead()
			kept[i].source.R = nil // the text that it has read
			assert.Zero(t, h.Length, "what the fields determine stays valid")
		}
		assert.Less(t, reachableBytes()-before, int64(readers*keptBytes), name)
		runtime.KeepAlive(kept)
	}
}

// reachableBytes returns the size of the heap without garbage.
func reachableBytes() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// Guards against reserving too late, or without need, the memory for a head that does not fit the buffer, and against
// losing what follows such a head.
func TestLargeHeadIsReserved(t *testing.T) {
	errFull := errors.New("full")
	for _, c := range []struct {
		headBytes int
		free      int // bytes that can be reserved
		reserved  []int
		err       error
	}{
		{BufferBytes, 0, nil, nil},
		{BufferBytes + 1, 2 * BufferBytes, []int{2 * BufferBytes}, nil},
		{BufferBytes + 1, 0, []int{2 * BufferBytes}, errFull},
		{DefaultMaxBytes, DefaultMaxBytes, []int{8 << 10, 16 << 10, 32 << 10, 64 << 10}, nil},
		{DefaultMaxBytes, 32 << 10, []int{8 << 10, 16 << 10, 32 << 10, 64 << 10}, errFull},
	} {
		const line, end = "GET /a HTTP/1.1\r\nX: ", "\r\n\r\n"
		head := line + strings.Repeat("x", c.headBytes-len(line)-len(end)) + end
		for _, slow := range []bool{false, true} {
			var source io.Reader = strings.NewReader(head + "GET /b HTTP/1.1\r\n\r\n")
			if slow {
				source = iotest.OneByteReader(source)
			}
			r := NewReader(source)
			var reserved []int
			r.ReserveHead = func(bytes int) error {
				reserved = append(reserved, bytes)
				if bytes > c.free {
					return errFull
				}
				return nil
			}
			h, err := r.Request()
			assert.ErrorIs(t, err, c.err)
			assert.Equal(t, c.reserved, reserved, c)
			if c.err != nil {
				continue
			}
			assert.Equal(t, c.headBytes, h.Size)
			assert.Len(t, h.Get("X"), c.headBytes-len(line)-len(end))
			h, err = r.Request()
			assert.NoError(t, err)
			assert.Equal(t, "/b", string(h.Target))
		}
	}
}

// Guards against keeping the buffer of a large head for the lifetime of the connection.
func TestLargeBufferIsReplaced(t *testing.T) {
	in, out := io.Pipe()
	go func() {
		text := "GET /a HTTP/1.1\r\nX: " + strings.Repeat("x", 60000) + "\r\n\r\nGET /b HTTP/1.1\r\n\r\n"
		_, err := io.WriteString(out, text)
		assert.NoError(t, err)
	}()
	r := NewReader(in)
	for _, target := range []string{"/a", "/b"} {
		assert.NoError(t, r.Wait())
		h, err := r.Request()
		assert.NoError(t, err)
		assert.Equal(t, target, string(h.Target))
	}
	go func() { assert.NoError(t, out.Close()) }()
	assert.ErrorIs(t, r.Wait(), io.EOF)
	assert.Equal(t, BufferBytes, r.buffer.Size())
}
