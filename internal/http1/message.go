// Package http1 reads and writes HTTP/1.1 messages, based on net/textproto. The head of a message, its start line and
// header fields, is parsed in place: the fields are slices of the read buffer and valid until the next read. Chunk
// sizes and trailers are read by textproto. The size of every message is limited, so that no peer can make a reader
// store more.
package http1

import (
	"bytes"
	"fmt"
	"net/textproto"
)

// DefaultMaxBytes is the maximum size of a head, and of a body that Body reads unless SetMaxBytes sets another limit.
const DefaultMaxBytes = 64 << 10

// maxFields is the maximum number of fields of a head: parsed fields use at least ten times the memory of their bytes.
const maxFields = 200

// Error reports a message that is malformed, too large or not supported.
type Error struct {
	Status int    // of the response to a client that sent the message
	Text   string // the body of that response
}

func (e *Error) Error() string { return fmt.Sprintf("%d: %s", e.Status, e.Text) }

func newError(status int, text string) error { return &Error{status, text} }

// Field is a header field.
type Field struct{ Name, Value []byte }

// Head is the start line and the header fields of a message, and what they determine about its body and connection.
type Head struct {
	Method, Target []byte // of a request; nil for a response
	Status         int    // of a response; 0 for a request
	Fields         []Field
	Size           int  // of the head as received, in bytes
	Length         int  // of the body in bytes; -1: unknown
	Chunked        bool // the body has chunked transfer coding
	Close          bool // the connection is closed after this message
	HTTP10         bool // the sender uses HTTP/1.0 and does not understand chunked transfer coding
	Continue       bool // the client expects a 100 (Continue) before it sends the body
}

// Get returns the value of the first field with this name, compared without case, or nil if there is none.
func (h *Head) Get(name string) []byte {
	for i := range h.Fields {
		if hasName(h.Fields[i].Name, name) {
			return h.Fields[i].Value
		}
	}
	return nil
}

// HasRepeated reports whether there are several fields with this name, compared without case.
func (h *Head) HasRepeated(name string) bool {
	n := 0
	for i := range h.Fields {
		if hasName(h.Fields[i].Name, name) {
			n++
		}
	}
	return n > 1
}

// hasName reports whether a field name equals want, without regard to case.
func hasName(name []byte, want string) bool {
	return len(name) == len(want) && bytes.EqualFold(name, []byte(want))
}

// listContains reports whether a comma-separated list contains an item, without regard to case.
func listContains(list, item []byte) bool {
	for element := range bytes.SplitSeq(list, []byte{','}) {
		if bytes.EqualFold(textproto.TrimBytes(element), item) {
			return true
		}
	}
	return false
}
