package http1

import (
	"net"
	"strconv"
	"sync"
)

// maxCopiedBytes is the size of the largest message whose parts are copied into one buffer, which is cheaper than a
// vectored write (writev).
const maxCopiedBytes = 4 << 10

// copyBuffers pools buffers of maxCopiedBytes.
var copyBuffers = sync.Pool{New: func() any {
	buffer := make([]byte, 0, maxCopiedBytes)
	return &buffer
}}

// reasonPhrases holds the reason phrases of the statuses that are sent.
var reasonPhrases = map[int]string{
	100: "Continue",
	200: "OK",
	400: "Bad Request",
	404: "Not Found",
	405: "Method Not Allowed",
	408: "Request Timeout",
	409: "Conflict",
	413: "Content Too Large",
	417: "Expectation Failed",
	431: "Request Header Fields Too Large",
	501: "Not Implemented",
	502: "Bad Gateway",
	503: "Service Unavailable",
}

// hopByHopFields lists the fields that concern only one connection, or are set anew for each message sent.
var hopByHopFields = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "TE", "Trailer",
	"Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

// Write writes the parts of a message in one system call if possible. It returns nil only if all bytes were written.
func Write(conn net.Conn, parts ...[]byte) error {
	_, err := WriteCounted(conn, parts...)
	return err
}

// WriteCounted is like Write, and also returns how many bytes may have been sent.
func WriteCounted(conn net.Conn, parts ...[]byte) (int64, error) {
	size := 0
	for _, part := range parts {
		size += len(part)
	}
	if size > 0 && size <= maxCopiedBytes {
		buffer := copyBuffers.Get().(*[]byte)
		defer copyBuffers.Put(buffer)
		out := (*buffer)[:0]
		for _, part := range parts {
			out = append(out, part...)
		}
		n, err := conn.Write(out)
		return int64(n), err
	}
	buffers := make(net.Buffers, 0, len(parts))
	for _, part := range parts {
		if len(part) > 0 { // an empty part would be a separate write on a connection without writev
			buffers = append(buffers, part)
		}
	}
	return buffers.WriteTo(conn)
}

// AppendForwardedFields appends the fields of a head that are to be forwarded: all except hop-by-hop fields and those
// excluded by name.
func AppendForwardedFields(out []byte, h *Head, excluded ...string) []byte {
	connectionOptions := h.Get("Connection") // the fields listed here are hop-by-hop too
	for _, f := range h.Fields {
		if hasAnyName(f.Name, hopByHopFields) || hasAnyName(f.Name, excluded) {
			continue
		}
		if connectionOptions != nil && listContains(connectionOptions, f.Name) {
			continue
		}
		out = AppendField(out, f.Name, f.Value)
	}
	return out
}

// hasAnyName reports whether a field name is one of names, without regard to case.
func hasAnyName(name []byte, names []string) bool {
	for _, want := range names {
		if hasName(name, want) {
			return true
		}
	}
	return false
}

// AppendField appends a field line.
func AppendField[N, V string | []byte](out []byte, name N, value V) []byte {
	out = append(out, name...)
	out = append(out, ": "...)
	out = append(out, value...)
	return append(out, "\r\n"...)
}

// AppendRequestLine appends a request line of HTTP/1.1.
func AppendRequestLine(out []byte, method, target []byte) []byte {
	out = append(out, method...)
	out = append(out, ' ')
	out = append(out, target...)
	return append(out, " HTTP/1.1\r\n"...)
}

// AppendStatusLine appends a status line of HTTP/1.1.
func AppendStatusLine(out []byte, status int) []byte {
	out = append(out, "HTTP/1.1 "...)
	out = strconv.AppendInt(out, int64(status), 10)
	out = append(out, ' ')
	out = append(out, reasonPhrases[status]...)
	return append(out, "\r\n"...)
}

// AppendContentLength appends a Content-Length field of n bytes.
func AppendContentLength(out []byte, n int) []byte {
	out = append(out, "Content-Length: "...)
	out = strconv.AppendInt(out, int64(n), 10)
	return append(out, "\r\n"...)
}

// Chunked writes a body with chunked transfer coding, one chunk for each Write. Close writes the last chunk and leaves
// the connection open.
type Chunked struct{ Conn net.Conn }

func (c Chunked) Write(p []byte) (int, error) {
	if len(p) == 0 { // an empty chunk would end the body
		return 0, nil
	}
	head := append(strconv.AppendInt(make([]byte, 0, 20), int64(len(p)), 16), "\r\n"...)
	return len(p), Write(c.Conn, head, p, []byte("\r\n"))
}

// Close writes the last chunk, of size 0, without closing the connection.
func (c Chunked) Close() error { return Write(c.Conn, []byte("0\r\n\r\n")) }

// AppendSeconds appends a number of seconds with three decimals.
func AppendSeconds(out []byte, seconds float64) []byte {
	return strconv.AppendFloat(out, seconds, 'f', 3, 64)
}
