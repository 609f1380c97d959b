package http1

import (
	"bytes"
	"errors"
	"io"
	"net/textproto"
	"strconv"
)

// Body reads and returns the body of the message whose head was read last. The error is an *Error with status 413 if
// the body is larger than DefaultMaxBytes, or what SetMaxBytes allowed, and io.ErrUnexpectedEOF if the connection ended
// before the body did.
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
		body, err = r.readLimited(r.R)
	case length > DefaultMaxBytes: // read as it comes: a head may announce what never follows
		body, err = io.ReadAll(io.LimitReader(r.R, int64(length)))
		if err == nil && len(body) < length {
			err = io.ErrUnexpectedEOF
		}
	case length > 0:
		body = make([]byte, length)
		_, err = io.ReadFull(r.R, body)
		err = unexpectedEOF(err)
	}
	if len(body) > r.maxBodyBytes {
		return nil, newError(413, "body too large")
	}
	return body, err
}

// readLimited reads a body of unknown length, up to a byte more than is allowed.
func (r *Reader) readLimited(body io.Reader) ([]byte, error) {
	return io.ReadAll(io.LimitReader(body, int64(r.maxBodyBytes)+1))
}

// Rest returns a reader of a chunked body of any size, which may never end. Whoever reads it bounds what it stores.
func (r *Reader) Rest() io.Reader { return &chunkedBody{reader: r, unbounded: true} }

// StreamBody returns a reader of the body of the message whose head was read last, of any size, as it comes. If the
// connection ends before the body does, it returns io.ErrUnexpectedEOF.
func (r *Reader) StreamBody(length int, chunked bool) io.Reader {
	if chunked {
		return r.Rest()
	}
	return &lengthBody{reader: r, left: length}
}

// lengthBody reads a body of a known length, or one that ends with the connection.
type lengthBody struct {
	reader *Reader
	left   int // -1: up to the connection's end
}

func (b *lengthBody) Read(p []byte) (int, error) {
	if b.left == 0 {
		return 0, io.EOF
	}
	b.reader.renewBudget() // each read may take as much as a whole message
	if b.left < 0 {
		return b.reader.R.Read(p)
	}
	n, err := b.reader.R.Read(p[:min(len(p), b.left)])
	b.left -= n
	if b.left > 0 {
		err = unexpectedEOF(err)
	}
	return n, err
}

// chunkedBody reads a chunked body.
type chunkedBody struct {
	reader    *Reader
	left      uint64 // bytes of the present chunk
	inChunk   bool   // the present chunk's end was not read
	unbounded bool   // it may be of any size
	err       error  // sticky
}

func (b *chunkedBody) Read(p []byte) (int, error) {
	if b.unbounded {
		b.reader.renewBudget()
	}
	for b.left == 0 && b.err == nil {
		b.err = b.nextChunk()
	}
	if b.err != nil {
		return 0, b.err
	}
	n, err := b.reader.R.Read(p[:min(uint64(len(p)), b.left)])
	b.left -= uint64(n)
	b.err = b.reader.bodyError(err)
	return n, b.err
}

// nextChunk reads the end of the present chunk and the size of the next one. It returns io.EOF after the last chunk and
// the trailer.
func (b *chunkedBody) nextChunk() error {
	if b.inChunk {
		if err := b.endChunk(); err != nil {
			return b.reader.bodyError(err)
		}
	}
	line, err := b.reader.ReadLineBytes()
	if err != nil {
		return b.reader.bodyError(err)
	}
	size, _, _ := bytes.Cut(line, []byte{';'}) // extensions are ignored
	if b.left, err = strconv.ParseUint(string(textproto.TrimBytes(size)), 16, 32); err != nil {
		return newError(400, "malformed chunk")
	}
	b.inChunk = b.left > 0
	if b.inChunk {
		return nil
	}
	if _, err := b.reader.ReadMIMEHeader(); err != nil {
		return b.reader.bodyError(err)
	}
	return io.EOF
}

// endChunk reads the line end after a chunk.
func (b *chunkedBody) endChunk() error {
	line, err := b.reader.ReadLineBytes()
	if err == nil && len(line) > 0 {
		err = textproto.ProtocolError("malformed chunk")
	}
	return err
}

// bodyError returns what an error within a body stands for: a message that has used up its budget is too large, and an
// end of the connection is unexpected.
func (r *Reader) bodyError(err error) error {
	if err == nil {
		return nil
	}
	if r.source.exhausted {
		return newError(413, "message too large")
	}
	if malformed := textproto.ProtocolError(""); errors.As(err, &malformed) {
		return newError(400, err.Error())
	}
	return unexpectedEOF(err)
}
