package http1

import (
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"github.com/stretchr/testify/assert"
)

// Guards against a read, an event and a write of their own for each small chunk of a body, which cost the proxy far
// more than its sender.
func TestReceivedChunksAreReadTogether(t *testing.T) {
	for _, c := range []struct {
		name, text string
		reads      []string
		err        error
	}{
		{"small ones", "1\r\na\r\n1\r\nb\r\n2;x=y\r\ncd\r\n0\r\n\r\n", []string{"abcd"}, io.EOF},
		{"lines that end with a line feed only", "1\na\n1\nb\n0\n\n", []string{"ab"}, io.EOF},
		{"the last one without its end", "1\r\na\r\n1\r\nb\r\n0\r\n", []string{"ab"}, io.ErrUnexpectedEOF},
		{"one with a part of its data", "1\r\na\r\n4\r\nbc", []string{"abc"}, io.ErrUnexpectedEOF},
		{"one with a part of its size", "1\r\na\r\n1", []string{"a"}, io.ErrUnexpectedEOF},
		{"a malformed size", "1\r\na\r\n1\r\nb\r\nx\r\n", []string{"ab"}, newError(400, "malformed chunk")},
		{"a malformed end", "1\r\na\r\n1\r\nbc\r\n1\r\nd\r\n", []string{"ab"}, newError(400, "malformed chunk")},
		{"more than the reader's buffer", strings.Repeat("3\r\nabc\r\n", 2*BufferBytes), nil, io.ErrUnexpectedEOF},
	} {
		reader := NewReader(strings.NewReader("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n" + c.text))
		_, err := reader.Request()
		assert.NoError(t, err, c.name)
		body := reader.UnlimitedChunkedBody()
		var reads []string
		for err == nil {
			var n int
			buffer := make([]byte, BufferBytes)
			n, err = body.Read(buffer)
			if n > 0 {
				reads = append(reads, string(buffer[:n]))
			}
		}
		if c.reads != nil {
			assert.Equal(t, c.reads, reads, c.name)
		} else {
			assert.Equal(t, 3*2*BufferBytes, len(strings.Join(reads, "")), c.name)
			assert.Less(t, len(reads), 50, c.name)
		}
		assert.Equal(t, c.err, err, c.name)
	}
}

// Guards against waiting for a further chunk while data of earlier ones could be passed on.
func TestReadOfChunksWaitsForNoFurtherOne(t *testing.T) {
	const chunk = "1\r\na"
	for _, received := range []string{
		chunk, chunk + "\r", chunk + "\r\n", chunk + "\r\n0", chunk + "\r\n0\r\n", chunk + "\r\n5",
	} {
		head := "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
		reader := NewReader(io.MultiReader(strings.NewReader(head+received), iotest.ErrReader(errors.New("it waits"))))
		_, err := reader.Request()
		assert.NoError(t, err)
		buffer := make([]byte, 10)
		n, err := reader.UnlimitedChunkedBody().Read(buffer)
		assert.NoError(t, err, received)
		assert.Equal(t, "a", string(buffer[:n]), received)
	}
}

// Guards against reading a closing connection for as long as its client sends without a pause.
func TestDiscardEndsInTime(t *testing.T) {
	reader := NewReader(strings.NewReader(strings.Repeat("x", 10*BufferBytes)))
	assert.NoError(t, reader.Discard(1<<20, time.Now().Add(-time.Second)))
	assert.Zero(t, reader.BufferedBytes())
	rest, err := io.ReadAll(reader.source.R)
	assert.NoError(t, err)
	assert.Len(t, rest, 10*BufferBytes)
}
