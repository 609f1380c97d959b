package discovery

import (
	"fmt"
	"io"
	"net"
	"time"

	"lockloom/internal/discovery/notification"
)

// objectReader reads a stream for a bufio.Scanner, and splits it into the JSON objects in it, however they are laid
// out: indented, several on a line, or cut anywhere. Space between them is a heartbeat. The stream has SilenceTimeout
// for its next byte between objects, and the same from an object's first byte to its last.
type objectReader struct {
	source io.Reader
	conn   net.Conn // where the source's bytes come from
	onGap  func()   // called for space between objects

	scanned  int // bytes of the present object that were looked at
	depth    int // of braces
	inString bool
	escaped  bool // the last byte was a backslash in a string
}

// Read reads from the stream, with a new deadline unless an object has begun.
func (r *objectReader) Read(p []byte) (int, error) {
	if r.scanned == 0 {
		r.conn.SetDeadline(time.Now().Add(toDuration(notification.SilenceTimeout)))
	}
	return r.source.Read(p)
}

// split is a bufio.SplitFunc.
func (r *objectReader) split(data []byte, atEOF bool) (advance int, token []byte, err error) {
	gap := 0
	if r.scanned == 0 {
		gap = leadingSpace(data)
		if gap > 0 {
			r.onGap()
		}
		if gap < len(data) && data[gap] != '{' {
			return 0, nil, fmt.Errorf("malformed list: %q where an object begins", data[gap])
		}
	}
	if length := r.scan(data[gap:]); length > 0 {
		return gap + length, data[gap : gap+length], nil
	}
	if atEOF && r.scanned > 0 {
		return 0, nil, io.ErrUnexpectedEOF
	}
	return gap, nil, nil
}

// scan goes on with the object that data begins with, and returns its length once it is complete, 0 before.
func (r *objectReader) scan(data []byte) int {
	for ; r.scanned < len(data); r.scanned++ {
		if r.endsObject(data[r.scanned]) {
			length := r.scanned + 1
			r.scanned = 0
			return length
		}
	}
	return 0
}

// endsObject takes the next byte, and reports whether it is the object's last.
func (r *objectReader) endsObject(c byte) bool {
	switch {
	case r.escaped:
		r.escaped = false
	case r.inString:
		r.escaped = c == '\\'
		r.inString = c != '"'
	case c == '"':
		r.inString = true
	case c == '{':
		r.depth++
	case c == '}':
		r.depth--
		return r.depth == 0
	}
	return false
}

// leadingSpace returns how many bytes of JSON white space data begins with.
func leadingSpace(data []byte) int {
	for i, c := range data {
		if c != ' ' && c != '\t' && c != '\r' && c != '\n' {
			return i
		}
	}
	return len(data)
}
