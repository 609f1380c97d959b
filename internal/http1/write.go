package http1

import (
	"net"
	"strconv"
	"sync"
)

// gatherMost is the bytes of a message whose parts are copied into one buffer: cheaper than having the system gather them.
const gatherMost = 4 << 10

var gathered = sync.Pool{New: func() any { b := make([]byte, 0, gatherMost); return &b }}

// reasons are the words after a status that this project sends; they mean nothing to a program.
var reasons = map[int]string{100: "Continue", 200: "OK", 400: "Bad Request", 404: "Not Found", 405: "Method Not Allowed",
	408: "Request Timeout", 409: "Conflict", 413: "Content Too Large", 417: "Expectation Failed",
	431: "Request Header Fields Too Large", 501: "Not Implemented", 502: "Bad Gateway", 503: "Service Unavailable"}

// hop are the fields that concern one connection only, or that a writer settles anew.
var hop = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "TE",
	"Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect"}

// Write writes the parts of a message in one gathered write. It is nil only where the last byte is written.
func Write(conn net.Conn, parts ...[]byte) error {
	_, err := WriteCounted(conn, parts...)
	return err
}

// WriteCounted is Write that tells how many bytes may have gone out.
func WriteCounted(conn net.Conn, parts ...[]byte) (int64, error) {
	size := 0
	for _, part := range parts {
		size += len(part)
	}
	if size > 0 && size <= gatherMost {
		buf := gathered.Get().(*[]byte)
		defer gathered.Put(buf)
		out := (*buf)[:0]
		for _, part := range parts {
			out = append(out, part...)
		}
		n, err := conn.Write(out)
		return int64(n), err
	}
	bufs := make(net.Buffers, 0, len(parts))
	for _, part := range parts {
		if len(part) > 0 { // an empty one is a write of its own where there is no gathering
			bufs = append(bufs, part)
		}
	}
	return bufs.WriteTo(conn)
}

// AppendForwardedFields appends those fields of a head that go on, but for the left-out ones.
func AppendForwardedFields(out []byte, h *Head, left ...string) []byte {
	named := h.Get("Connection") // fields that it names concern this connection too
next:
	for _, f := range h.Fields {
		for _, name := range hop {
			if is(f.Name, name) {
				continue next
			}
		}
		for _, name := range left {
			if is(f.Name, name) {
				continue next
			}
		}
		if named != nil && lists(named, f.Name) {
			continue
		}
		out = AppendField(out, f.Name, f.Value)
	}
	return out
}

// AppendField appends a field's line.
func AppendField[N, V string | []byte](out []byte, name N, value V) []byte {
	out = append(out, name...)
	out = append(out, ": "...)
	out = append(out, value...)
	return append(out, "\r\n"...)
}

// AppendRequest appends a request's first line.
func AppendRequest(out []byte, method, target []byte) []byte {
	out = append(out, method...)
	out = append(out, ' ')
	out = append(out, target...)
	return append(out, " HTTP/1.1\r\n"...)
}

// AppendStatus appends a response's first line.
func AppendStatus(out []byte, status int) []byte {
	out = append(out, "HTTP/1.1 "...)
	out = strconv.AppendInt(out, int64(status), 10)
	out = append(out, ' ')
	out = append(out, reasons[status]...)
	return append(out, "\r\n"...)
}

// AppendLength appends the length of a body.
func AppendLength(out []byte, n int) []byte {
	out = append(out, "Content-Length: "...)
	out = strconv.AppendInt(out, int64(n), 10)
	return append(out, "\r\n"...)
}

// Chunked writes a body in chunks, a chunk a write; Close writes its end.
type Chunked struct{ Conn net.Conn }

func (c Chunked) Write(p []byte) (int, error) {
	if len(p) == 0 { // it would end the body
		return 0, nil
	}
	head := append(strconv.AppendInt(make([]byte, 0, 20), int64(len(p)), 16), "\r\n"...)
	return len(p), Write(c.Conn, head, p, []byte("\r\n"))
}

// Close ends the body.
func (c Chunked) Close() error { return Write(c.Conn, []byte("0\r\n\r\n")) }

// AppendSeconds appends a time in seconds with three decimals.
func AppendSeconds(out []byte, s float64) []byte { return strconv.AppendFloat(out, s, 'f', 3, 64) }
