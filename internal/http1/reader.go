package http1

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"time"
)

const (
	// BufferBytes is the size of a reader's buffer. Most heads use a tenth of it; a larger head is moved to memory of its
	// own while it is read.
	BufferBytes = 4 << 10

	maxFramingBytes  = 4 << 10 // for chunk sizes and trailers, in addition to the head and the body of a message
	maxCachedFields  = 32      // capacity for parsed fields that a reader keeps for the next head
	largeHeadGrowth  = 2       // factor by which the memory of a large head grows
	firstLargeHeadAt = largeHeadGrowth * BufferBytes
)

// Reader reads the messages of one connection. It holds no more than a buffer of BufferBytes, and while a larger head
// is in use, that head. It is not safe for concurrent use.
type Reader struct {
	AllowLargeBodies bool // accept requests with a Content-Length over DefaultMaxBytes, to be read with StreamBody

	// ReserveHead is called before memory is allocated for a head that does not fit the buffer, with the total size of
	// that memory in bytes. It may wait; an error ends the reading of the head. nil: nothing is reserved.
	ReserveHead func(bytes int) error

	buffer       *bufio.Reader
	source       *budget
	head         Head
	largeHead    []byte // the memory of the current head if it does not fit the buffer, else nil
	maxBodyBytes int    // for the current message
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
	r.buffer = bufio.NewReaderSize(r.source, BufferBytes)
	return r
}

// Reset discards all state and makes the reader read another connection.
func (r *Reader) Reset(conn io.Reader) {
	r.ReleaseHead()
	*r.source = budget{LimitedReader: io.LimitedReader{R: conn}}
	r.buffer.Reset(r.source)
	*r = Reader{buffer: r.buffer, source: r.source, head: Head{Fields: r.head.Fields[:0]}}
}

// ReleaseHead drops the memory that reading the last head has taken beyond the buffer. The head's fields, method and
// target must not be used any more.
func (r *Reader) ReleaseHead() {
	if r.largeHead == nil && cap(r.head.Fields) <= maxCachedFields {
		return
	}
	r.largeHead = nil
	r.head.Fields, r.head.Method, r.head.Target = nil, nil, nil // they are slices of the released memory
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
func (r *Reader) Buffered() bool { return r.BufferedBytes() > 0 }

// BufferedBytes returns how many bytes the buffer contains that were not consumed yet.
func (r *Reader) BufferedBytes() int { return r.buffer.Buffered() }

// Ready reports whether the buffer contains the complete next head, so that reading it does not block.
func (r *Reader) Ready() bool {
	return headEnd(bytes.TrimLeft(r.buffered(), "\r\n"), 0) > 0
}

// Wait blocks until a byte of the next message has been received, without consuming it.
func (r *Reader) Wait() error {
	r.ReleaseHead()
	r.renewBudget()
	_, err := r.buffer.Peek(1)
	return err
}

// Discard reads and drops up to the given number of bytes, or all up to the end of the connection, until a time after
// which it begins no further read. It returns the error with which reading has failed. It needs no memory beyond the
// buffer.
func (r *Reader) Discard(bytes int64, until time.Time) error {
	for bytes > 0 && time.Now().Before(until) {
		r.source.N = BufferBytes
		if _, err := r.buffer.Peek(1); err != nil {
			return err
		}
		n := r.buffer.Buffered()
		r.discard(n)
		bytes -= int64(n)
	}
	return nil
}

// WaitForClose blocks until reading fails, and returns the error, or until the buffer is full, and returns nil. The
// bytes received stay in the buffer for the next message.
func (r *Reader) WaitForClose() error {
	r.renewBudget()
	for r.buffer.Buffered() < r.buffer.Size() {
		if _, err := r.buffer.Peek(r.buffer.Buffered() + 1); err != nil && !errors.Is(err, bufio.ErrBufferFull) {
			return err
		}
	}
	return nil
}

// buffered returns the buffered bytes without copying them.
func (r *Reader) buffered() []byte {
	buffer, _ := r.buffer.Peek(r.buffer.Buffered()) // cannot fail: the bytes are buffered
	return buffer
}

// discard consumes n buffered bytes.
func (r *Reader) discard(n int) {
	_, _ = r.buffer.Discard(n) // cannot fail: the bytes are buffered
}

// nextHead reads the complete next head and returns it. It is valid until the next read.
func (r *Reader) nextHead() ([]byte, error) {
	r.ReleaseHead()
	r.renewBudget()
	scanned := 0
	for {
		if _, err := r.buffer.Peek(scanned + 1); err != nil {
			if scanned > 0 {
				err = unexpectedEOF(err)
			}
			return nil, err
		}
		buffered := r.buffered()
		if scanned == 0 { // empty lines before a message are ignored
			if n := len(buffered) - len(bytes.TrimLeft(buffered, "\r\n")); n > 0 {
				r.discard(n)
				continue
			}
		}
		if end := headEnd(buffered, max(scanned-3, 0)); end > 0 {
			r.discard(end)
			return buffered[:end], nil
		}
		if scanned = len(buffered); scanned == BufferBytes {
			return r.nextLargeHead()
		}
	}
}

// nextLargeHead reads a head that does not fit the buffer to memory of its own. The buffer stays as it is, so that what
// follows the head remains in it.
func (r *Reader) nextLargeHead() ([]byte, error) {
	for {
		buffered := r.buffered()
		scanned := len(r.largeHead)
		buffered = buffered[:min(len(buffered), DefaultMaxBytes-scanned)]
		if err := r.growLargeHead(scanned + len(buffered)); err != nil {
			return nil, err
		}
		r.largeHead = append(r.largeHead, buffered...)
		if end := headEnd(r.largeHead, max(scanned-3, 0)); end > 0 {
			r.discard(end - scanned)
			return r.largeHead[:end], nil
		}
		if len(r.largeHead) == DefaultMaxBytes {
			return nil, newError(431, "head too large")
		}
		r.discard(len(buffered))
		if _, err := r.buffer.Peek(1); err != nil {
			return nil, unexpectedEOF(err)
		}
	}
}

// growLargeHead makes room for a head of so many bytes.
func (r *Reader) growLargeHead(bytes int) error {
	if bytes <= cap(r.largeHead) {
		return nil
	}
	size := min(max(largeHeadGrowth*cap(r.largeHead), firstLargeHeadAt), DefaultMaxBytes)
	if r.ReserveHead != nil {
		if err := r.ReserveHead(size); err != nil {
			return err
		}
	}
	r.largeHead = append(make([]byte, 0, size), r.largeHead...)
	return nil
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
