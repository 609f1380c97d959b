package http1

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/textproto"
)

const (
	initialBufferBytes = 4 << 10 // most heads use a tenth of it
	maxFramingBytes    = 4 << 10 // for chunk sizes and trailers, in addition to the head and the body of a message
)

// Reader reads the messages of one connection. It is not safe for concurrent use.
type Reader struct {
	textproto.Reader
	AllowLargeBodies bool // accept requests with a Content-Length over DefaultMaxBytes, to be read with StreamBody
	source           *budget
	head             Head
	maxBodyBytes     int // for the current message
}

// budget limits how many bytes of the connection one message may consume, so that no line can grow without limit.
type budget struct {
	io.LimitedReader
	exhausted bool // a read was attempted beyond the limit
}

func (b *budget) Read(p []byte) (int, error) {
	if b.N <= 0 {
		b.exhausted = true
	}
	return b.LimitedReader.Read(p)
}

// NewReader returns a reader of the messages of a connection.
func NewReader(conn io.Reader) *Reader {
	r := &Reader{source: &budget{LimitedReader: io.LimitedReader{R: conn}}}
	r.R = bufio.NewReaderSize(r.source, initialBufferBytes)
	return r
}

// Reset discards all state and makes the reader read another connection.
func (r *Reader) Reset(conn io.Reader) {
	buffer := r.R
	if buffer.Size() > initialBufferBytes {
		buffer = bufio.NewReaderSize(r.source, initialBufferBytes)
	}
	*r.source = budget{LimitedReader: io.LimitedReader{R: conn}}
	buffer.Reset(r.source)
	*r = Reader{source: r.source, head: Head{Fields: r.head.Fields[:0]}}
	r.R = buffer
}

// renewBudget resets the byte limits to those of a new message.
func (r *Reader) renewBudget() {
	r.source.N = 2*DefaultMaxBytes + maxFramingBytes
	r.maxBodyBytes = DefaultMaxBytes
}

// SetMaxBytes sets the maximum size of the body of the message whose head was read last.
func (r *Reader) SetMaxBytes(bytes int) {
	r.source.N += int64(bytes - r.maxBodyBytes)
	r.maxBodyBytes = bytes
}

// Buffered reports whether the buffer contains bytes that were not consumed yet.
func (r *Reader) Buffered() bool { return r.R.Buffered() > 0 }

// Ready reports whether the buffer contains the complete next head, so that reading it does not block.
func (r *Reader) Ready() bool {
	return headEnd(bytes.TrimLeft(r.buffered(), "\r\n"), 0) > 0
}

// Wait blocks until a byte of the next message has been received, without consuming it. If the buffer grew for a large
// head, it is replaced by a small one first.
func (r *Reader) Wait() error {
	r.renewBudget()
	if r.R.Size() > initialBufferBytes && r.R.Buffered() == 0 {
		r.R = bufio.NewReaderSize(r.source, initialBufferBytes)
	}
	_, err := r.R.Peek(1)
	return err
}

// WaitForClose blocks until reading fails, and returns the error, or until the buffer is full, and returns nil. The
// bytes received stay in the buffer for the next message.
func (r *Reader) WaitForClose() error {
	r.renewBudget()
	for r.R.Buffered() < r.R.Size() {
		if _, err := r.R.Peek(r.R.Buffered() + 1); err != nil && !errors.Is(err, bufio.ErrBufferFull) {
			return err
		}
	}
	return nil
}

// buffered returns the buffered bytes without copying them.
func (r *Reader) buffered() []byte {
	buffer, _ := r.R.Peek(r.R.Buffered()) // cannot fail: the bytes are buffered
	return buffer
}

// discard consumes n buffered bytes.
func (r *Reader) discard(n int) {
	_, _ = r.R.Discard(n) // cannot fail: the bytes are buffered
}

// peekHead reads the complete next head into the buffer and returns it without consuming it.
func (r *Reader) peekHead() ([]byte, error) {
	r.renewBudget()
	scanned := 0
	for {
		if _, err := r.R.Peek(scanned + 1); err != nil {
			if scanned > 0 {
				err = unexpectedEOF(err)
			}
			return nil, err
		}
		buffer := r.buffered()
		if scanned == 0 { // empty lines before a message are ignored
			if n := len(buffer) - len(bytes.TrimLeft(buffer, "\r\n")); n > 0 {
				r.discard(n)
				continue
			}
		}
		if end := headEnd(buffer, max(scanned-3, 0)); end > 0 {
			if end > DefaultMaxBytes {
				return nil, newError(431, "head too large")
			}
			return buffer[:end], nil
		}
		scanned = len(buffer)
		if scanned >= DefaultMaxBytes {
			return nil, newError(431, "head too large")
		}
		if scanned == r.R.Size() {
			r.growBuffer(buffer)
		}
	}
}

// growBuffer moves the buffered bytes to a buffer of four times the size.
func (r *Reader) growBuffer(buffered []byte) {
	moved := bytes.NewReader(bytes.Clone(buffered))
	r.R = bufio.NewReaderSize(io.MultiReader(moved, r.source), 4*len(buffered))
}

// headEnd returns the offset after the empty line that ends a head, or 0 if there is none. The search starts at from.
func headEnd(buffer []byte, from int) int {
	for i := from; ; {
		n := bytes.IndexByte(buffer[i:], '\n')
		if n < 0 {
			return 0
		}
		i += n + 1
		if i < len(buffer) && buffer[i] == '\n' {
			return i + 1
		}
		if i+1 < len(buffer) && buffer[i] == '\r' && buffer[i+1] == '\n' {
			return i + 2
		}
	}
}

// unexpectedEOF converts io.EOF within a message to io.ErrUnexpectedEOF, and returns any other error unchanged.
func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
