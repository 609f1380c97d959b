package http1

import (
	"bytes"
	"errors"
	"io"
)

// Lookahead determines whether the rest of a request was received, from the bytes that a Reader holds and from those
// that follow them and were not read yet. It consumes neither. A malformed rest counts as received, since reading it
// does not wait for its sender. A Lookahead has buffers of somewhat more than DefaultMaxBytes and is not safe for
// concurrent use.
type Lookahead struct {
	reader  *Reader // reads the bytes a second time
	head    []byte
	dropped []byte
}

// NewLookahead returns a Lookahead for the requests of any connection, one at a time.
func NewLookahead() *Lookahead {
	return &Lookahead{
		reader:  NewReader(nil),
		head:    make([]byte, DefaultMaxBytes),
		dropped: make([]byte, BufferBytes),
	}
}

// HeadEnds reports whether the rest of the request whose head r is reading, its body included, was received. It may be
// called by r.ReserveHead. unread returns the bytes that r has not read yet; count is their number.
func (l *Lookahead) HeadEnds(r *Reader, unread io.Reader, count int) bool {
	held := len(r.largeHead) + r.BufferedBytes()
	source := io.MultiReader(bytes.NewReader(r.largeHead), bytes.NewReader(r.buffered()), unread)
	read, size := l.readHead(source)
	switch {
	case size == 0:
		return read == len(l.head) // the head is too large
	case !l.parseHead(size):
		return true
	case !l.reader.head.Chunked:
		return held+count-size >= l.reader.head.Length
	}
	l.reset(io.MultiReader(bytes.NewReader(l.head[size:read]), source))
	return l.ends(l.reader.UnlimitedChunkedBody())
}

// readHead reads to l.head until that contains a complete head, or source ends. size is that of the head; 0: there is
// none.
func (l *Lookahead) readHead(source io.Reader) (read, size int) {
	for read < len(l.head) {
		n, err := source.Read(l.head[read:])
		size = headEnd(l.head[:read+n], max(read-3, 0))
		read += n
		if size > 0 || err != nil {
			break
		}
	}
	return read, size
}

// parseHead parses the first size bytes of l.head and reports whether they are a valid head.
func (l *Lookahead) parseHead(size int) bool {
	l.reset(nil)
	l.reader.AllowLargeBodies = true
	_, err := l.reader.parseRequest(l.head[:size])
	return err == nil
}

// BodyEnds reports whether the rest of a body that a Reader's StreamBody has returned was received. unread returns the
// bytes that the Reader has not read yet; count is their number.
func (l *Lookahead) BodyEnds(body, unread io.Reader, count int) bool {
	switch body := body.(type) {
	case *lengthBody:
		return body.remaining >= 0 && body.reader.BufferedBytes()+count >= body.remaining
	case *chunkedBody:
		l.reset(io.MultiReader(bytes.NewReader(body.reader.buffered()), unread))
		copied := *body
		copied.reader = l.reader
		return l.ends(&copied)
	}
	return false
}

// reset makes l.reader read source.
func (l *Lookahead) reset(source io.Reader) {
	l.reader.Reset(source)
	l.reader.renewBudget()
}

// ends reads a body of l.reader and reports whether its end was received.
func (l *Lookahead) ends(body io.Reader) bool {
	for {
		if _, err := body.Read(l.dropped); err != nil {
			return !errors.Is(err, io.ErrUnexpectedEOF)
		}
	}
}
