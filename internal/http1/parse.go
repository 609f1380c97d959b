package http1

import (
	"bytes"
	"net/textproto"
	"strconv"
	"strings"
)

// maxInterimResponses is the maximum number of interim (1xx) responses to one request.
const maxInterimResponses = 20

// Request reads the head of a request. The head and its slices are valid until the next read. The error is an *Error if
// the head is malformed or too large, and io.EOF if the connection ended before its first byte.
func (r *Reader) Request() (*Head, error) {
	raw, err := r.nextHead()
	if err != nil {
		return nil, err
	}
	return r.parseRequest(raw)
}

// parseRequest parses the complete head of a request.
func (r *Reader) parseRequest(raw []byte) (*Head, error) {
	line, rest := cutLine(raw)
	h := &r.head
	*h = Head{Fields: h.Fields[:0], Length: -1, Size: len(raw)}
	version, ok := h.parseRequestLine(line)
	if !ok {
		return nil, newError(400, "malformed request line")
	}
	if err := h.parseFields(version, rest); err != nil {
		return nil, err
	}
	if h.Length < 0 && !h.Chunked {
		h.Length = 0
	}
	if h.Length > DefaultMaxBytes && !r.AllowLargeBodies {
		return nil, newError(413, "body too large")
	}
	return h, nil
}

// parseRequestLine sets the method and the target, and returns the version.
func (h *Head) parseRequestLine(line []byte) (version []byte, ok bool) {
	if h.Method, line, ok = bytes.Cut(line, []byte{' '}); !ok {
		return nil, false
	}
	if h.Target, version, ok = bytes.Cut(line, []byte{' '}); !ok {
		return nil, false
	}
	return version, isToken(h.Method) && len(h.Target) > 0 && isVisible(h.Target)
}

// Response reads the head of a final response, and ignores interim responses before it. The head and its slices are
// valid until the next read. The error is an *Error if the head is malformed or too large, and io.EOF if the connection
// ended before its first byte.
func (r *Reader) Response() (*Head, error) {
	for range maxInterimResponses {
		h, err := r.responseHead()
		if err != nil {
			return nil, err
		}
		switch {
		case h.Status < 200 && h.Status != 101:
			continue
		case h.Status == 204 || h.Status == 304:
			h.Length = 0
			h.Chunked = false
		case h.Status == 101:
			return nil, newError(400, "switch of protocols") // no other protocol is supported
		}
		if h.Length < 0 && !h.Chunked {
			h.Close = true
		}
		return h, nil
	}
	return nil, newError(400, "too many interim answers")
}

// responseHead reads the head of a response, interim or final.
func (r *Reader) responseHead() (*Head, error) {
	raw, err := r.nextHead()
	if err != nil {
		return nil, err
	}
	line, rest := cutLine(raw)
	h := &r.head
	*h = Head{Fields: h.Fields[:0], Length: -1, Size: len(raw)}
	version, status, _ := bytes.Cut(line, []byte{' '})
	status, _, _ = bytes.Cut(status, []byte{' '})
	if h.Status, err = strconv.Atoi(string(status)); err != nil || len(status) != 3 || h.Status < 100 {
		return nil, newError(400, "malformed status line")
	}
	if err := h.parseFields(version, rest); err != nil {
		return nil, err
	}
	return h, nil
}

// cutLine returns the first line without its line end, and what follows it.
func cutLine(raw []byte) (line, rest []byte) {
	line, rest, _ = bytes.Cut(raw, []byte{'\n'})
	return bytes.TrimSuffix(line, []byte{'\r'}), rest
}

// parseFields parses the version and the header fields, and sets what they determine.
func (h *Head) parseFields(version, rest []byte) error {
	switch string(version) {
	case "HTTP/1.1":
	case "HTTP/1.0":
		h.HTTP10 = true
		h.Close = true
	default:
		return newError(400, "unknown version")
	}
	for {
		var line []byte
		line, rest = cutLine(rest)
		if len(line) == 0 {
			return nil
		}
		field, err := parseField(line)
		if err != nil {
			return err
		}
		if len(h.Fields) == maxFields {
			return newError(431, "too many fields")
		}
		if !isPrintable(field.Value) {
			return newError(400, "malformed value")
		}
		h.Fields = append(h.Fields, field)
		if err := h.applyField(field); err != nil {
			return err
		}
	}
}

// parseField parses a header field line. The continuation of a folded field, which starts with white space, is rejected
// like any other line without a field name.
func parseField(line []byte) (Field, error) {
	name, value, ok := bytes.Cut(line, []byte{':'})
	if !ok || !isToken(name) {
		return Field{}, newError(400, "malformed field")
	}
	return Field{name, textproto.TrimBytes(value)}, nil
}

// applyField updates the head with a field that concerns the body or the connection.
func (h *Head) applyField(field Field) error {
	switch {
	case hasName(field.Name, "Content-Length"):
		if err := h.setLength(field.Value); err != nil {
			return err
		}
	case hasName(field.Name, "Transfer-Encoding"):
		if h.Chunked || !bytes.EqualFold(field.Value, []byte("chunked")) {
			return newError(501, "unknown transfer coding")
		}
		h.Chunked = true
	case hasName(field.Name, "Connection"):
		if listContains(field.Value, []byte("close")) {
			h.Close = true
		} else if h.HTTP10 && listContains(field.Value, []byte("keep-alive")) {
			h.Close = false
		}
	case hasName(field.Name, "Expect"):
		if !bytes.EqualFold(field.Value, []byte("100-continue")) {
			return newError(417, "unknown expectation")
		}
		h.Continue = true
	}
	if h.Chunked && h.Length >= 0 {
		return newError(400, "a length with chunks")
	}
	return nil
}

// setLength sets the length of the body from the value of Content-Length.
func (h *Head) setLength(value []byte) error {
	if h.Length >= 0 {
		return newError(400, "two lengths")
	}
	length, err := strconv.ParseUint(string(value), 10, 62)
	if err != nil {
		return newError(400, "malformed length")
	}
	h.Length = int(length)
	return nil
}

// isToken reports whether b is a token as defined in RFC 9110.
func isToken(b []byte) bool {
	for _, c := range b {
		if c <= ' ' || c >= 0x7f || strings.IndexByte(`"(),/:;<=>?@[\]{}`, c) >= 0 {
			return false
		}
	}
	return len(b) > 0
}

// isVisible reports whether b contains no spaces and no control characters.
func isVisible(b []byte) bool {
	for _, c := range b {
		if c <= ' ' || c == 0x7f {
			return false
		}
	}
	return true
}

// isPrintable reports whether b contains no control characters except tabs.
func isPrintable(b []byte) bool {
	for _, c := range b {
		if c < ' ' && c != '\t' || c == 0x7f {
			return false
		}
	}
	return true
}
