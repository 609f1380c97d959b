// Package http1 reads and writes HTTP/1.1 messages over net/textproto. A head is parsed in place: its fields
// are slices of the connection's buffer, good until the next read. Chunk sizes and trailers are textproto's.
package http1

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net/textproto"
	"strconv"
	"strings"
)

const (
	DefaultMaxBytes = 64 << 10 // bytes of a head, and of a body: the protocol's, unless Allow says otherwise
	slack           = 4 << 10  // bytes of chunk sizes and trailers that a message may have besides
	mostFields      = 200      // of a head; one needs ten times the memory of its bytes at least
	interimMost     = 20       // interim answers to one request
	firstBytes      = 4 << 10  // bytes of a buffer at first: most heads take a tenth of it
)

// Error is a message that cannot be taken, with the status that says so to a client.
type Error struct {
	Status int
	Text   string
}

func (e *Error) Error() string { return fmt.Sprintf("%d: %s", e.Status, e.Text) }

func bad(status int, text string) error { return &Error{status, text} }

// Field is a line of a head.
type Field struct{ Name, Value []byte }

// Head is a message's start line and fields, and what they say of its body and its connection.
type Head struct {
	Method, Target []byte // of a request
	Status         int    // of a response
	Fields         []Field
	Length         int  // of the body; -1 where it is not told
	Chunked        bool // the body is
	Close          bool // the connection ends with this message
	HTTP10         bool // it is of HTTP/1.0: the other side knows no chunks
	Continue       bool // the client waits for leave to send its body
}

// Get is the value of the first field of that name, nil without one.
func (h *Head) Get(name string) []byte {
	for i := range h.Fields {
		if is(h.Fields[i].Name, name) {
			return h.Fields[i].Value
		}
	}
	return nil
}

// HasRepeated tells whether there are several fields of that name.
func (h *Head) HasRepeated(name string) bool {
	n := 0
	for i := range h.Fields {
		if is(h.Fields[i].Name, name) {
			n++
		}
	}
	return n > 1
}

// is tells whether a field's name is this one, in whatever case.
func is(name []byte, want string) bool {
	return len(name) == len(want) && bytes.EqualFold(name, []byte(want))
}

// Reader reads the messages of one connection.
type Reader struct {
	textproto.Reader
	AnyBodySize bool // requests may tell of bodies of any size, which Flow reads
	src         *budget
	head        Head
	most        int // bytes of the present message's body
}

// budget bounds what one message may take from the connection, so that no line can grow without end.
type budget struct {
	io.LimitedReader
	spent bool
}

func (b *budget) Read(p []byte) (int, error) {
	if b.N <= 0 {
		b.spent = true
	}
	return b.LimitedReader.Read(p)
}

// NewReader reads from a connection.
func NewReader(conn io.Reader) *Reader {
	r := &Reader{src: &budget{LimitedReader: io.LimitedReader{R: conn}}}
	r.R = bufio.NewReaderSize(r.src, firstBytes)
	return r
}

func (r *Reader) renew() { r.src.N, r.most = 2*DefaultMaxBytes+slack, DefaultMaxBytes }

// SetMaxBytes lets the body of the message whose head was read last be so large.
func (r *Reader) SetMaxBytes(bytes int) {
	r.src.N += int64(bytes - r.most)
	r.most = bytes
}

// Reset has a reader read another connection, as a new one would.
func (r *Reader) Reset(conn io.Reader) {
	buf := r.R
	if buf.Size() > firstBytes {
		buf = bufio.NewReaderSize(r.src, firstBytes)
	}
	*r.src = budget{LimitedReader: io.LimitedReader{R: conn}}
	buf.Reset(r.src)
	*r = Reader{src: r.src, head: Head{Fields: r.head.Fields[:0]}}
	r.R = buf
}

// Ready tells whether the next head has come whole, so that reading it waits for nobody.
func (r *Reader) Ready() bool {
	buf, _ := r.R.Peek(r.R.Buffered())
	return headEnd(bytes.TrimLeft(buf, "\r\n"), 0) > 0
}

// Watch blocks until the connection ends or no more bytes fit; what comes stays for the next message.
func (r *Reader) Watch() error {
	r.renew()
	for r.R.Buffered() < r.R.Size() {
		if _, err := r.R.Peek(r.R.Buffered() + 1); err != nil && err != bufio.ErrBufferFull {
			return err
		}
	}
	return nil
}

// Wait blocks until a byte of the next message has come, and leaves it there. A buffer that grew with a large head is
// given back first.
func (r *Reader) Wait() error {
	r.renew()
	if r.R.Size() > firstBytes && r.R.Buffered() == 0 {
		r.R = bufio.NewReaderSize(r.src, firstBytes)
	}
	_, err := r.R.Peek(1)
	return err
}

// Buffered tells whether bytes have come that were not read yet.
func (r *Reader) Buffered() bool { return r.R.Buffered() > 0 }

// raw is the next head, in place, whole. It stays in the buffer until it is discarded.
func (r *Reader) raw() ([]byte, error) {
	r.renew()
	scanned := 0
	for {
		if _, err := r.R.Peek(scanned + 1); err != nil {
			if scanned > 0 && err == io.EOF {
				err = io.ErrUnexpectedEOF
			}
			return nil, err
		}
		buf, _ := r.R.Peek(r.R.Buffered())
		if scanned == 0 { // empty lines before a message are passed over
			if n := len(buf) - len(bytes.TrimLeft(buf, "\r\n")); n > 0 {
				r.R.Discard(n)
				continue
			}
		}
		if end := headEnd(buf, max(scanned-3, 0)); end > 0 {
			if end > DefaultMaxBytes {
				return nil, bad(431, "head too large")
			}
			return buf[:end], nil
		}
		scanned = len(buf)
		if scanned >= DefaultMaxBytes {
			return nil, bad(431, "head too large")
		}
		if scanned == r.R.Size() { // what is buffered moves to a larger buffer
			moved := bytes.NewReader(bytes.Clone(buf))
			r.R = bufio.NewReaderSize(io.MultiReader(moved, r.src), 4*scanned)
		}
	}
}

// headEnd is where the head's empty line ends, 0 where it has not come.
func headEnd(buf []byte, from int) int {
	for i := from; ; {
		n := bytes.IndexByte(buf[i:], '\n')
		if n < 0 {
			return 0
		}
		i += n + 1
		if i < len(buf) && buf[i] == '\n' {
			return i + 1
		}
		if i+1 < len(buf) && buf[i] == '\r' && buf[i+1] == '\n' {
			return i + 2
		}
	}
}

func cutLine(raw []byte) (line, rest []byte) {
	line, rest, _ = bytes.Cut(raw, []byte{'\n'})
	return bytes.TrimSuffix(line, []byte{'\r'}), rest
}

// Request reads a request's head. It and its slices are good until the next read.
func (r *Reader) Request() (*Head, error) {
	raw, err := r.raw()
	if err != nil {
		return nil, err
	}
	line, rest := cutLine(raw)
	h := &r.head
	*h = Head{Fields: h.Fields[:0], Length: -1}
	var version []byte
	var ok bool
	if h.Method, version, ok = bytes.Cut(line, []byte{' '}); ok {
		h.Target, version, ok = bytes.Cut(version, []byte{' '})
	}
	if !ok || !token(h.Method) || len(h.Target) == 0 || !visible(h.Target) {
		return nil, bad(400, "malformed request line")
	}
	if err := h.fields(version, rest); err != nil {
		return nil, err
	}
	if h.Length < 0 && !h.Chunked {
		h.Length = 0
	}
	if h.Length > DefaultMaxBytes && !r.AnyBodySize {
		return nil, bad(413, "body too large")
	}
	r.R.Discard(len(raw))
	return h, nil
}

// Response reads a response's head, passing over interim ones.
func (r *Reader) Response() (*Head, error) {
	for range interimMost {
		raw, err := r.raw()
		if err != nil {
			return nil, err
		}
		line, rest := cutLine(raw)
		h := &r.head
		*h = Head{Fields: h.Fields[:0], Length: -1}
		version, status, _ := bytes.Cut(line, []byte{' '})
		status, _, _ = bytes.Cut(status, []byte{' '})
		if h.Status, err = strconv.Atoi(string(status)); err != nil || len(status) != 3 || h.Status < 100 {
			return nil, bad(400, "malformed status line")
		}
		if err := h.fields(version, rest); err != nil {
			return nil, err
		}
		r.R.Discard(len(raw))
		switch {
		case h.Status < 200 && h.Status != 101:
			continue
		case h.Status == 204 || h.Status == 304:
			h.Length, h.Chunked = 0, false
		case h.Status == 101:
			return nil, bad(400, "switch of protocols")
		}
		if h.Length < 0 && !h.Chunked {
			h.Close = true
		}
		return h, nil
	}
	return nil, bad(400, "too many interim answers")
}

// fields reads the version and the lines after the first.
func (h *Head) fields(version, rest []byte) error {
	switch string(version) {
	case "HTTP/1.1":
	case "HTTP/1.0":
		h.Close, h.HTTP10 = true, true
	default:
		return bad(400, "unknown version")
	}
	for {
		var line []byte
		line, rest = cutLine(rest)
		if len(line) == 0 {
			return nil
		}
		name, value, ok := bytes.Cut(line, []byte{':'})
		if !ok || !token(name) { // a folded line begins with a space, which is in no token
			return bad(400, "malformed field")
		}
		if len(h.Fields) == mostFields {
			return bad(431, "too many fields")
		}
		value = textproto.TrimBytes(value)
		if !printable(value) {
			return bad(400, "malformed value")
		}
		h.Fields = append(h.Fields, Field{name, value})
		var err error
		switch {
		case is(name, "Content-Length"):
			err = h.length(value)
		case is(name, "Transfer-Encoding"):
			if h.Chunked || !bytes.EqualFold(value, []byte("chunked")) {
				return bad(501, "unknown transfer coding")
			}
			h.Chunked = true
		case is(name, "Connection"):
			if lists(value, []byte("close")) {
				h.Close = true
			} else if string(version) == "HTTP/1.0" && lists(value, []byte("keep-alive")) {
				h.Close = false
			}
		case is(name, "Expect"):
			if !bytes.EqualFold(value, []byte("100-continue")) {
				return bad(417, "unknown expectation")
			}
			h.Continue = true
		}
		if err == nil && h.Chunked && h.Length >= 0 {
			err = bad(400, "a length with chunks")
		}
		if err != nil {
			return err
		}
	}
}

func (h *Head) length(value []byte) error {
	if h.Length >= 0 {
		return bad(400, "two lengths")
	}
	n, err := strconv.ParseUint(string(value), 10, 62)
	if err != nil {
		return bad(400, "malformed length")
	}
	h.Length = int(n)
	return nil
}

// Body reads the body of the message whose head was read last.
func (r *Reader) Body(length int, chunked bool) ([]byte, error) {
	var body []byte
	var err error
	switch {
	case chunked:
		body, err = io.ReadAll(io.LimitReader(&chunks{r: r}, int64(r.most)+1))
	case length < 0:
		body, err = io.ReadAll(io.LimitReader(r.R, int64(r.most)+1))
	case length > r.most:
	case length > DefaultMaxBytes: // danger: memory for all that a head only promises
		if body, err = io.ReadAll(io.LimitReader(r.R, int64(length))); err == nil && len(body) < length {
			err = io.ErrUnexpectedEOF
		}
	case length > 0:
		body = make([]byte, length)
		_, err = io.ReadFull(r.R, body)
		err = whole(err)
	}
	if max(length, len(body)) > r.most {
		return nil, bad(413, "body too large")
	}
	return body, err
}

// Rest reads a chunked body that may never end; its reader bounds what it takes.
func (r *Reader) Rest() io.Reader { return &chunks{r: r, endless: true} }

// StreamBody reads the body of the message whose head was read last, of whatever size, as it comes. What it is short of what was
// told ends with io.ErrUnexpectedEOF.
func (r *Reader) StreamBody(length int, chunked bool) io.Reader {
	if chunked {
		return r.Rest()
	}
	return &flow{r: r, left: length}
}

// flow reads a body of a told length, or, at -1, up to the connection's end.
type flow struct {
	r    *Reader
	left int
}

func (f *flow) Read(p []byte) (int, error) {
	if f.left == 0 {
		return 0, io.EOF
	}
	f.r.renew() // each read may take as much as a whole message
	if f.left > 0 {
		p = p[:min(len(p), f.left)]
	}
	n, err := f.r.R.Read(p)
	if f.left > 0 {
		if f.left -= n; err == io.EOF && f.left > 0 {
			err = io.ErrUnexpectedEOF
		}
	}
	return n, err
}

// chunks reads a chunked body.
type chunks struct {
	r       *Reader
	left    uint64 // of the chunk at hand
	inside  bool   // a chunk was begun, and its end not read
	endless bool
	err     error
}

func (c *chunks) Read(p []byte) (int, error) {
	if c.endless { // danger: a long list in one chunk is no message that is too large
		c.r.renew()
	}
	for c.left == 0 && c.err == nil {
		c.err = c.next()
	}
	if c.err != nil {
		return 0, c.err
	}
	n, err := c.r.R.Read(p[:min(uint64(len(p)), c.left)])
	c.left -= uint64(n)
	c.err = c.r.ended(err)
	return n, c.err
}

// next reads the end of one chunk and the size of the one after it.
func (c *chunks) next() error {
	if c.inside {
		if line, err := c.r.ReadLineBytes(); err != nil || len(line) > 0 {
			if err == nil {
				err = textproto.ProtocolError("malformed chunk")
			}
			return c.r.ended(err)
		}
	}
	line, err := c.r.ReadLineBytes()
	if err != nil {
		return c.r.ended(err)
	}
	line, _, _ = bytes.Cut(line, []byte{';'})
	if c.left, err = strconv.ParseUint(string(textproto.TrimBytes(line)), 16, 32); err != nil {
		return bad(400, "malformed chunk")
	}
	if c.inside = c.left > 0; c.inside {
		return nil
	}
	if _, err := c.r.ReadMIMEHeader(); err != nil {
		return c.r.ended(err)
	}
	return io.EOF
}

// ended tells a message that used up its budget from one whose connection ended.
func (r *Reader) ended(err error) error {
	if err != nil && r.src.spent {
		return bad(413, "message too large")
	}
	if _, ok := err.(textproto.ProtocolError); ok {
		return bad(400, err.Error())
	}
	return whole(err)
}

func whole(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}

// lists tells whether a list with commas has an item, in whatever case.
func lists(list, item []byte) bool {
	for part := range bytes.SplitSeq(list, []byte{','}) {
		if bytes.EqualFold(textproto.TrimBytes(part), item) {
			return true
		}
	}
	return false
}

func token(b []byte) bool {
	for _, c := range b {
		if c <= ' ' || c >= 0x7f || strings.IndexByte(`"(),/:;<=>?@[\]{}`, c) >= 0 {
			return false
		}
	}
	return len(b) > 0
}

func visible(b []byte) bool {
	for _, c := range b {
		if c <= ' ' || c == 0x7f {
			return false
		}
	}
	return true
}

func printable(b []byte) bool {
	for _, c := range b {
		if c < ' ' && c != '\t' || c == 0x7f {
			return false
		}
	}
	return true
}
