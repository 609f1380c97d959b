package proxy

import (
	"errors"
	"io"
	"net"
	"time"

	"lockloom/internal/http1"
)

const (
	clientWriteTimeout = 5 * time.Second  // time limit for writing a response to the client
	streamWriteTimeout = 30 * time.Second // time limit for writing each piece of a streamed response
	maxCachedHeadBytes = 2 << 10          // capacity of the largest response head buffer that a connection reuses
)

// response is a response to a client.
type response struct {
	status        int
	fields        []byte // header lines, relayed from the server
	body          []byte
	reservedBytes int64   // bytes reserved in the memory budget, released after the response is written
	http10        bool    // the client speaks HTTP/1.0, which has no chunked encoding
	retryAfter    float64 // seconds; 0: no Retry-After
	headOnly      bool    // the request was a HEAD
	contentLength int     // length of a streamed body, or of the body that a response to HEAD leaves out; -1: unknown
	stream        *io.PipeReader
	notServed     bool // no server's response is relayed: the request was rejected or failed
}

// endsWithConnection reports whether the end of the connection marks the end of the body.
func (resp *response) endsWithConnection() bool {
	return resp.stream != nil && resp.http10 && resp.contentLength < 0
}

// isChunked reports whether the response is streamed in chunks.
func (resp *response) isChunked() bool {
	return resp.stream != nil && !resp.http10 && resp.contentLength < 0
}

// writeResponse writes a response to its client. It fails if the client does not read the response within the write
// timeouts.
func (c *clientConn) writeResponse(resp response, closing bool) error {
	head := resp.appendHead(c.headBuffer[:0], closing)
	c.headBuffer = head
	if cap(head) > maxCachedHeadBytes {
		c.headBuffer = nil
	}
	c.conn.SetWriteDeadline(time.Now().Add(clientWriteTimeout))
	if resp.stream == nil {
		return http1.Write(c.conn, head, resp.body)
	}
	defer closeStream(resp.stream) // no effect if the stream was read to its end
	if err := http1.Write(c.conn, head); err != nil {
		return err
	}
	return c.streamResponse(&resp)
}

// appendHead appends the response head, and drops a body that must not be sent.
func (resp *response) appendHead(head []byte, closing bool) []byte {
	head = http1.AppendStatusLine(head, resp.status)
	head = append(head, resp.fields...)
	head = resp.appendFraming(head)
	if resp.retryAfter > 0 {
		head = http1.AppendField(head, "Retry-After", http1.AppendSeconds(nil, resp.retryAfter))
	}
	if closing {
		head = http1.AppendField(head, "Connection", "close")
	}
	return append(head, "\r\n"...)
}

// appendFraming appends the header field that delimits the body, if there is one.
func (resp *response) appendFraming(head []byte) []byte {
	switch {
	case resp.status == http1.StatusNoContent || resp.status == http1.StatusNotModified:
		resp.body = nil // these statuses have no body, and a length would announce one
		return head
	case resp.stream != nil && resp.contentLength >= 0:
		return http1.AppendContentLength(head, resp.contentLength)
	case resp.isChunked():
		return http1.AppendField(head, "Transfer-Encoding", "chunked")
	case resp.stream != nil: // the body ends with the connection
		return head
	case resp.headOnly:
		if len(resp.body) > 0 { // the response is the proxy's own
			resp.contentLength = len(resp.body)
		}
		resp.body = nil
		if resp.contentLength < 0 {
			return head
		}
		return http1.AppendContentLength(head, resp.contentLength)
	}
	return http1.AppendContentLength(head, len(resp.body))
}

// streamResponse writes a body as it arrives, as fast as the client reads it, and fails if writing a piece takes longer
// than streamWriteTimeout. If the server's response breaks off, the connection closes before the end of the body, so
// that the client sees the response as incomplete.
func (c *clientConn) streamResponse(resp *response) error {
	var out io.Writer = c.conn
	var chunks http1.Chunked
	if resp.isChunked() {
		chunks = http1.Chunked{Conn: c.conn}
		out = chunks
	}
	if err := c.writePiece(out, resp.body); err != nil { // what was received before streaming began
		return err
	}
	buffer := make([]byte, streamBufferBytes)
	for {
		n, readErr := resp.stream.Read(buffer)
		if n > 0 {
			if err := c.writePiece(out, buffer[:n]); err != nil {
				return err
			}
		}
		switch {
		case errors.Is(readErr, io.EOF) && resp.isChunked():
			return chunks.Close()
		case errors.Is(readErr, io.EOF):
			return nil
		case readErr != nil:
			if resp.endsWithConnection() {
				resetOnClose(c.conn)
			}
			return readErr
		}
	}
}

func (c *clientConn) writePiece(out io.Writer, piece []byte) error {
	c.share.await()
	c.conn.SetWriteDeadline(time.Now().Add(streamWriteTimeout))
	_, err := out.Write(piece)
	c.share.charge(pieceWork + copiedByteWork*float64(len(piece)))
	return err
}

// resetOnClose makes a connection close with a reset: an orderly close would make the body look complete. Setting it
// fails only if the connection has already ended.
func resetOnClose(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
}
