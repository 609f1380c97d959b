package http1

import (
	"io"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
)

// Bytes that a client sends before it has its response are not lost, and its close behind them is seen.
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
	assert.ErrorIs(t, r.Watch(), io.EOF)
	assert.True(t, r.Ready())
	h, err = r.Request()
	assert.NoError(t, err)
	assert.Equal(t, "/b", string(h.Target))
}

// A client that sends more than the buffer takes is not read on, and has not gone.
func TestWatchEndsWhenBufferIsFull(t *testing.T) {
	r := NewReader(strings.NewReader("GET /a HTTP/1.1\r\n\r\n" + strings.Repeat("x", 2*initialBufferBytes)))
	_, err := r.Request()
	assert.NoError(t, err)
	assert.NoError(t, r.Watch())
	assert.Equal(t, initialBufferBytes, r.R.Buffered())
}

// Only a complete head is ready: reading it has no time limit.
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

// After Reset, nothing of the connection before is left.
func TestReset(t *testing.T) {
	r := NewReader(strings.NewReader("GET /a HTTP/1.1\r\nX: " + strings.Repeat("x", 60000) + "\r\n\r\nGET /rest"))
	_, err := r.Request()
	assert.NoError(t, err)
	r.AnyBodySize = true
	r.Reset(strings.NewReader("GET /b HTTP/1.1\r\n\r\n"))
	assert.Equal(t, initialBufferBytes, r.R.Size())
	assert.False(t, r.AnyBodySize)
	assert.NoError(t, r.Wait())
	h, err := r.Request()
	assert.NoError(t, err)
	assert.Equal(t, "/b", string(h.Target))
	assert.Empty(t, h.Fields)
}

// The large buffer of one large head is not held for as long as the connection lasts.
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
