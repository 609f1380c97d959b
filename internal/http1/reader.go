package http1

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/textproto"
)

const (
	initialBufferBytes = 4 << 10 // most heads take a tenth of it
	maxFramingBytes    = 4 << 10 // of chunk sizes and trailers, besides a message's head and body
)

// Reader reads the messages of one connection. It is not safe for concurrent use.
type Reader struct {
	textproto.Reader
	AnyBodySize  bool // requests may announce bodies of any size, which StreamBody reads
	source       *budget
	head         Head
	maxBodyBytes int // of the present message
}

// budget bounds what one message may take from the connection, so that no line can grow without end.
type budget struct {
	io.LimitedReader
	exhausted bool
}

func (b *budget) Read(p []byte) (int, error) {
	if b.N <= 0 {
		b.exhausted = true
	}
	return b.LimitedReader.Read(p)
}

// NewReader returns a reader of a connection's messages.
func NewReader(conn io.Reader) *Reader {
	r := &Reader{source: &budget{LimitedReader: io.LimitedReader{R: conn}}}
	r.R = bufio.NewReaderSize(r.source, initialBufferBytes)
	return r
}

// Reset has a reader read another connection, as a new one would.
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

// renewBudget lets the connection give as much as a message may have.
func (r *Reader) renewBudget() {
	r.source.N = 2*DefaultMaxBytes + maxFramingBytes
	r.maxBodyBytes = DefaultMaxBytes
}

// SetMaxBytes lets Body read so many bytes for the message whose head was read last.
func (r *Reader) SetMaxBytes(bytes int) {
	r.source.N += int64(bytes - r.maxBodyBytes)
	r.maxBodyBytes = bytes
}

// Buffered reports whether bytes have come that were not read yet.
func (r *Reader) Buffered() bool { return r.R.Buffered() > 0 }

// Ready reports whether the next head has come completely, so that reading it does not block.
func (r *Reader) Ready() bool {
	return headEnd(bytes.TrimLeft(r.buffered(), "\r\n"), 0) > 0
}

// Wait blocks until a byte of the next message has come, and leaves it there. A buffer that grew with a large head is
// replaced by a small one first.
func (r *Reader) Wait() error {
	r.renewBudget()
	if r.R.Size() > initialBufferBytes && r.R.Buffered() == 0 {
		r.R = bufio.NewReaderSize(r.source, initialBufferBytes)
	}
	_, err := r.R.Peek(1)
	return err
}

// Watch blocks until the connection ends, and returns why, or until the buffer is full, and returns nil. What comes
// stays for the next message.
func (r *Reader) Watch() error {
	r.renewBudget()
	for r.R.Buffered() < r.R.Size() {
		if _, err := r.R.Peek(r.R.Buffered() + 1); err != nil && !errors.Is(err, bufio.ErrBufferFull) {
			return err
		}
	}
	return nil
}

// buffered returns what is buffered, in place.
func (r *Reader) buffered() []byte {
	buffer, _ := r.R.Peek(r.R.Buffered()) // cannot fail: it is there
	return buffer
}

// discard drops bytes that are buffered.
func (r *Reader) discard(n int) {
	_, _ = r.R.Discard(n) // cannot fail: they are there
}

// peekHead returns the next head, complete and in place. It stays in the buffer until it is discarded.
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

// growBuffer moves what is buffered to a larger buffer.
func (r *Reader) growBuffer(buffered []byte) {
	moved := bytes.NewReader(bytes.Clone(buffered))
	r.R = bufio.NewReaderSize(io.MultiReader(moved, r.source), 4*len(buffered))
}

// headEnd returns where the empty line after a head ends, searching from an offset, 0 if it has not come.
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

// unexpectedEOF returns io.ErrUnexpectedEOF for an end of the connection within a message, any other error as it is.
func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
