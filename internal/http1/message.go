// Package http1 reads and writes HTTP/1.1 messages on top of net/textproto. A head is parsed in place: its fields are
// slices of the connection's buffer and valid until the next read. Chunk sizes and trailers are read by textproto.
// Every message is bounded in size, so that no peer can make a reader store more.
package http1

import (
	"bytes"
	"fmt"
	"net/textproto"
)

// DefaultMaxBytes is the largest head, in bytes, and the largest body that Body reads unless SetMaxBytes allows more.
const DefaultMaxBytes = 64 << 10

// maxFields bounds the fields of a head, which take at least ten times the memory of their bytes.
const maxFields = 200

// Error is a message that cannot be accepted.
type Error struct {
	Status int // the status that tells a client so
	Text   string
}

func (e *Error) Error() string { return fmt.Sprintf("%d: %s", e.Status, e.Text) }

func newError(status int, text string) error { return &Error{status, text} }

// Field is a line of a head.
type Field struct{ Name, Value []byte }

// Head is a message's start line and fields, and what they say of its body and its connection.
type Head struct {
	Method, Target []byte // of a request
	Status         int    // of a response
	Fields         []Field
	Length         int  // of the body, in bytes; -1: unknown
	Chunked        bool // the body is
	Close          bool // the connection ends with this message
	HTTP10         bool // the message is of HTTP/1.0, so that its sender understands no chunks
	Continue       bool // the client waits for a 100 before it sends its body
}

// Get returns the value of the first field of that name, in whatever case, nil without one.
func (h *Head) Get(name string) []byte {
	for i := range h.Fields {
		if hasName(h.Fields[i].Name, name) {
			return h.Fields[i].Value
		}
	}
	return nil
}

// HasRepeated reports whether there are several fields of that name, in whatever case.
func (h *Head) HasRepeated(name string) bool {
	n := 0
	for i := range h.Fields {
		if hasName(h.Fields[i].Name, name) {
			n++
		}
	}
	return n > 1
}

// hasName reports whether a field's name is this one, in whatever case.
func hasName(name []byte, want string) bool {
	return len(name) == len(want) && bytes.EqualFold(name, []byte(want))
}

// listContains reports whether a comma-separated list contains an item, in whatever case.
func listContains(list, item []byte) bool {
	for element := range bytes.SplitSeq(list, []byte{','}) {
		if bytes.EqualFold(textproto.TrimBytes(element), item) {
			return true
		}
	}
	return false
}
