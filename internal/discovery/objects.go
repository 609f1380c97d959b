package discovery

import (
	"fmt"
	"io"
	"net"
	"time"

	"lockloom/internal/discovery/notification"
)

// objectReader reads a stream for a bufio.Scanner and splits it into JSON objects, which may be indented, several on
// one line, or divided among any number of reads. White space between objects is a heartbeat. SilenceTimeout bounds the
// wait for the next byte between objects, and the time from the first byte of an object to its last.
type objectReader struct {
	source      io.Reader
	conn        net.Conn // the connection that source reads, on which deadlines are set
	onHeartbeat func()   // called for white space between objects

	scanned  int // bytes of the current object scanned so far
	depth    int // nesting depth of braces
	inString bool
	escaped  bool // the last byte was a backslash in a string
}

// Read reads from the stream, and extends the deadline unless part of an object was scanned.
func (r *objectReader) Read(p []byte) (int, error) {
	if r.scanned == 0 {
		r.conn.SetDeadline(time.Now().Add(toDuration(notification.SilenceTimeout)))
	}
	return r.source.Read(p)
}

// split is a bufio.SplitFunc whose tokens are JSON objects.
func (r *objectReader) split(data []byte, atEOF bool) (advance int, token []byte, err error) {
	gap := 0
	if r.scanned == 0 {
		gap = leadingSpace(data)
		if gap > 0 {
			r.onHeartbeat()
		}
		if gap < len(data) && data[gap] != '{' {
			return 0, nil, fmt.Errorf("malformed list: %q where an object should start", data[gap])
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

// scan continues scanning the object at the start of data. It returns the length of the object, 0 if it is incomplete.
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

// endsObject scans the next byte, and reports whether it is the last one of the object.
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

// leadingSpace returns the number of bytes of JSON white space at the start of data.
func leadingSpace(data []byte) int {
	for i, c := range data {
		if c != ' ' && c != '\t' && c != '\r' && c != '\n' {
			return i
		}
	}
	return len(data)
}
