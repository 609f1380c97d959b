package http1

import (
	"bufio"
	"bytes"
	"cmp"
	"errors"
	"io"
	"net/textproto"
	"strconv"
)

// Body reads the body of the message whose head was read last. length and chunked are those of the Head. The error is
// an *Error with status 413 if the body is larger than DefaultMaxBytes or the limit set by SetMaxBytes, and
// io.ErrUnexpectedEOF if the connection ended before the body did.
func (r *Reader) Body(length int, chunked bool) ([]byte, error) {
	if length > r.maxBodyBytes {
		return nil, newError(413, "body too large")
	}
	var body []byte
	var err error
	switch {
	case chunked:
		body, err = r.readLimited(&chunkedBody{reader: r})
	case length < 0:
		body, err = r.readLimited(r.buffer)
	case length > DefaultMaxBytes: // the buffer grows with the data: the sender may never send all it announced
		body, err = io.ReadAll(io.LimitReader(r.buffer, int64(length)))
		if err == nil && len(body) < length {
			err = io.ErrUnexpectedEOF
		}
	case length > 0:
		body = make([]byte, length)
		_, err = io.ReadFull(r.buffer, body)
		err = unexpectedEOF(err)
	}
	if len(body) > r.maxBodyBytes {
		return nil, newError(413, "body too large")
	}
	return body, err
}

// readLimited reads a body of unknown length, up to one byte more than the limit.
func (r *Reader) readLimited(body io.Reader) ([]byte, error) {
	return io.ReadAll(io.LimitReader(body, int64(r.maxBodyBytes)+1))
}

// UnlimitedChunkedBody returns a reader of the chunked body of the message whose head was read last. The body may be of
// any size, even endless, so the caller must bound what it stores.
func (r *Reader) UnlimitedChunkedBody() io.Reader { return &chunkedBody{reader: r, unbounded: true} }

// StreamBody returns a reader of the body of the message whose head was read last, without a limit on its size. A read
// returns io.ErrUnexpectedEOF if the connection ended before the body did.
func (r *Reader) StreamBody(length int, chunked bool) io.Reader {
	if chunked {
		return r.UnlimitedChunkedBody()
	}
	return &lengthBody{reader: r, remaining: length}
}

// lengthBody reads a body of a known length, or one that ends with the connection.
type lengthBody struct {
	reader    *Reader
	remaining int // bytes; -1: up to the end of the connection
}

func (b *lengthBody) Read(p []byte) (int, error) {
	if b.remaining == 0 {
		return 0, io.EOF
	}
	b.reader.renewBudget() // the byte limit applies to each read, not to the whole body
	if b.remaining < 0 {
		return b.reader.buffer.Read(p)
	}
	n, err := b.reader.buffer.Read(p[:min(len(p), b.remaining)])
	b.remaining -= n
	if b.remaining > 0 {
		err = unexpectedEOF(err)
	}
	return n, err
}

// chunkedBody reads a body with chunked transfer coding.
type chunkedBody struct {
	reader    *Reader
	remaining uint64 // bytes of the current chunk
	inChunk   bool   // the line end after the data of the current chunk was not read yet
	unbounded bool   // the size of the body is not limited
	err       error  // why reading the body ended; returned by all further reads
}

// Read implements io.Reader. It waits for the first bytes only, and returns the data of all further chunks that were
// received completely with them.
func (b *chunkedBody) Read(p []byte) (int, error) {
	if b.unbounded {
		b.reader.renewBudget()
	}
	for b.remaining == 0 && b.err == nil {
		b.err = b.nextChunk()
	}
	if b.err != nil {
		return 0, b.err
	}
	n, err := b.readData(p)
	for err == nil && n < len(p) && (b.remaining > 0 || b.advance()) && b.reader.Buffered() {
		var more int
		more, err = b.readData(p[n:])
		n += more
	}
	b.err = cmp.Or(b.err, b.reader.bodyError(err))
	if n > 0 {
		return n, nil
	}
	return 0, b.err
}

// readData reads data of the current chunk.
func (b *chunkedBody) readData(p []byte) (int, error) {
	n, err := b.reader.buffer.Read(p[:min(uint64(len(p)), b.remaining)])
	b.remaining -= uint64(n)
	return n, err
}

// advance goes on to the next chunk if its size line is buffered, and reports whether there is data in it. It does not
// wait, and leaves the last chunk to the next Read, which has to wait for the trailer section.
func (b *chunkedBody) advance() bool {
	buffered := b.reader.buffered()
	if b.inChunk {
		_, buffered, _ = bytes.Cut(buffered, []byte{'\n'})
	}
	line, _, complete := bytes.Cut(buffered, []byte{'\n'})
	if size, err := parseChunkSize(line); !complete || err != nil || size == 0 {
		return false
	}
	b.err = b.nextChunk()
	return b.err == nil
}

// parseChunkSize returns the size in a chunk's first line. Extensions are ignored.
func parseChunkSize(line []byte) (uint64, error) {
	size, _, _ := bytes.Cut(line, []byte{';'})
	return strconv.ParseUint(string(textproto.TrimBytes(size)), 16, 32)
}

// nextChunk reads the end of the current chunk and the size of the next one. It returns io.EOF after the last chunk and
// the trailer section.
func (b *chunkedBody) nextChunk() error {
	if b.inChunk {
		if err := b.endChunk(); err != nil {
			return b.reader.bodyError(err)
		}
	}
	line, err := b.reader.readFramingLine()
	if err != nil {
		return b.reader.bodyError(err)
	}
	if b.remaining, err = parseChunkSize(line); err != nil {
		return newError(400, "malformed chunk")
	}
	b.inChunk = b.remaining > 0
	if b.inChunk {
		return nil
	}
	if err := b.skipTrailers(); err != nil {
		return b.reader.bodyError(err)
	}
	return io.EOF
}

// endChunk reads the line end after the data of a chunk.
func (b *chunkedBody) endChunk() error {
	line, err := b.reader.readFramingLine()
	if err == nil && len(line) > 0 {
		err = newError(400, "malformed chunk")
	}
	return err
}

// skipTrailers reads the trailer section, up to the empty line that ends it, and drops it.
func (b *chunkedBody) skipTrailers() error {
	for range maxFields {
		line, err := b.reader.readFramingLine()
		if err != nil || len(line) == 0 {
			return err
		}
		if _, err := parseField(line); err != nil {
			return err
		}
	}
	return newError(431, "too many fields")
}

// readFramingLine reads a line between the parts of a body, and returns it without its line end, valid until the next
// read. A line that does not fit the buffer is too large.
func (r *Reader) readFramingLine() ([]byte, error) {
	line, err := r.buffer.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		return nil, newError(413, "message too large")
	}
	if err != nil {
		return nil, err
	}
	line, _ = cutLine(line)
	return line, nil
}

// bodyError converts an error from reading a body: to status 413 if the message is over its byte limit (see budget),
// and to io.ErrUnexpectedEOF if the connection ended.
func (r *Reader) bodyError(err error) error {
	if err == nil {
		return nil
	}
	if r.source.exhausted {
		return newError(413, "message too large")
	}
	return unexpectedEOF(err)
}
