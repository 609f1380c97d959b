package proxy

import (
	"errors"
	"io"
	"net"
	"time"

	"lockloom/internal/http1"
)

const (
	clientWriteTimeout = 5 * time.Second  // for a response to be taken
	streamWriteTimeout = 30 * time.Second // for a piece of a streamed response to be taken
	maxCachedHeadBytes = 2 << 10          // of a response's head, that a connection keeps for the next one
)

// response is what a client is answered.
type response struct {
	status        int
	fields        []byte // lines of the head that go on
	body          []byte
	reservedBytes int64   // of the memory budget, to be released
	http10        bool    // the client knows no chunks
	retryAfter    float64 // seconds; 0: no advice
	headOnly      bool    // the client asked for a head only
	contentLength int     // of the body that a head only response would have, or that is streamed; -1: not known
	stream        *io.PipeReader
}

// endsWithConnection reports whether the response's end is that of its connection.
func (resp *response) endsWithConnection() bool {
	return resp.stream != nil && resp.http10 && resp.contentLength < 0
}

// isChunked reports whether the response is streamed in chunks.
func (resp *response) isChunked() bool {
	return resp.stream != nil && !resp.http10 && resp.contentLength < 0
}

// writeResponse writes a response to its client, who may be slow to take it, within bounds.
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
	defer closeStream(resp.stream) // no effect where it was read to its end
	if err := http1.Write(c.conn, head); err != nil {
		return err
	}
	return c.streamResponse(&resp)
}

// appendHead appends the head, and drops a body that the client must not get.
func (resp *response) appendHead(head []byte, closing bool) []byte {
	head = http1.AppendStatus(head, resp.status)
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

// appendFraming appends what says where the body ends.
func (resp *response) appendFraming(head []byte) []byte {
	switch {
	case resp.status == http1.StatusNoContent || resp.status == http1.StatusNotModified:
		resp.body = nil // they have none, and a length would announce one
		return head
	case resp.stream != nil && resp.contentLength >= 0:
		return http1.AppendLength(head, resp.contentLength)
	case resp.isChunked():
		return http1.AppendField(head, "Transfer-Encoding", "chunked")
	case resp.stream != nil: // up to the connection's end
		return head
	case resp.headOnly:
		if len(resp.body) > 0 { // a response of this proxy
			resp.contentLength = len(resp.body)
		}
		resp.body = nil
		if resp.contentLength < 0 {
			return head
		}
		return http1.AppendLength(head, resp.contentLength)
	}
	return http1.AppendLength(head, len(resp.body))
}

// streamResponse writes a body as it comes, at the client's pace as long as that takes something every so often. A
// response that breaks is shown as broken: the connection ends before the body does.
func (c *clientConn) streamResponse(resp *response) error {
	var out io.Writer = c.conn
	var chunks http1.Chunked
	if resp.isChunked() {
		chunks = http1.Chunked{Conn: c.conn}
		out = chunks
	}
	if err := c.writePiece(out, resp.body); err != nil { // what had come when it began to be streamed
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
	c.conn.SetWriteDeadline(time.Now().Add(streamWriteTimeout))
	_, err := out.Write(piece)
	return err
}

// resetOnClose has a connection end with a reset: an orderly end would make the body look complete. If that can't be
// set, the connection has ended already.
func resetOnClose(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
}
