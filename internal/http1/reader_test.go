package http1

import (
	"io"
	"strings"
	"testing"

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
	r := NewReader(strings.NewReader("GET /a HTTP/1.1\r\n\r\n" + strings.Repeat("x", 2*initialBufferBytes)))
	_, err := r.Request()
	assert.NoError(t, err)
	assert.NoError(t, r.WaitForClose())
	assert.Equal(t, initialBufferBytes, r.R.Buffered())
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
	assert.Equal(t, initialBufferBytes, r.R.Size())
	assert.False(t, r.AllowLargeBodies)
	assert.NoError(t, r.Wait())
	h, err := r.Request()
	assert.NoError(t, err)
	assert.Equal(t, "/b", string(h.Target))
	assert.Empty(t, h.Fields)
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
	assert.Equal(t, initialBufferBytes, r.R.Size())
}
