package proxy

import (
	"errors"
	"io"
	"time"

	"lockloom/internal/http1"
	"lockloom/internal/upstream"
)

const (
	initialChunkedBytes = 2 << 10 // initial buffer capacity for a chunked body
	chunkedGrowth       = 4       // factor by which that capacity grows
	dropBufferBytes     = 2 << 10 // buffer for a body that is dropped
)

// dropBody reads and drops a body that is not needed. If it is larger than a body that is buffered, the connection
// closes: the rest must not be parsed as the next request.
func (r *requestReader) dropBody(body io.Reader) error {
	buffer := make([]byte, dropBufferBytes)
	for dropped := 0; dropped <= http1.DefaultMaxBytes; {
		n, err := body.Read(buffer)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		dropped += n
	}
	r.closing = true
	return nil
}

// receiveBody reads a body that is buffered. A chunked one may be larger than http1.DefaultMaxBytes: then one byte more
// than that is read.
func (r *requestReader) receiveBody(body *pacedBodyReader, length int, chunked bool) ([]byte, error) {
	if chunked {
		return r.receiveChunks(body)
	}
	if err := r.reserveBody(body, length); err != nil {
		return nil, err
	}
	received := make([]byte, length)
	_, err := io.ReadFull(body, received)
	return received, err
}

// receiveChunks reads a chunked body to memory that grows with it.
func (r *requestReader) receiveChunks(body *pacedBodyReader) ([]byte, error) {
	received := make([]byte, 0, initialChunkedBytes)
	for {
		n, err := body.Read(received[len(received):cap(received)])
		received = received[:len(received)+n]
		switch {
		case errors.Is(err, io.EOF):
			return received, nil
		case err != nil || len(received) > http1.DefaultMaxBytes:
			return received, err
		case len(received) < cap(received):
			continue
		}
		size := min(chunkedGrowth*cap(received), http1.DefaultMaxBytes+1)
		if err := r.reserveBody(body, size); err != nil {
			return nil, err
		}
		received = append(make([]byte, 0, size), received...)
	}
}

// reserveBody reserves memory for so many bytes of the body. The time in which this waits counts as time in which the
// client has not sent.
func (r *requestReader) reserveBody(body *pacedBodyReader, size int) error {
	counted := upstream.CountedBytes(size)
	if counted == 0 {
		return nil
	}
	start := time.Now()
	total := upstream.CountedBytes(cap(r.req.head)) + counted
	err := r.conn.memory.reserve(total, incompleteUse(total), body.source, start.Add(body.maxWait()))
	body.waited += time.Since(start)
	return err
}
