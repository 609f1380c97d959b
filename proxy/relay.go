package proxy

import (
	"io"
	"net"
	"time"

	"lockloom/internal/http1"
	"lockloom/internal/upstream"
)

// response is what a client is answered.
type response struct {
	status        int
	fields        []byte // lines of an successful answer's head that go on
	body          []byte
	reservedBytes int64   // bytes of room, to be given back
	http10        bool    // the client knows no chunks
	retryAfter    float64 // s; when to come back; 0: no advice
	headOnly      bool    // the client asked for a head only
	contentLength int     // of the body it would have had, or that flows; -1: not told
	stream        *io.PipeReader
}

// writeResponse writes an answer to its client, who may be slow to take it but not for ever.
func (c *clientConn) writeResponse(resp response, closing bool) error {
	head := http1.AppendStatus(c.headBuffer[:0], resp.status)
	head = append(head, resp.fields...)
	switch {
	case resp.status == 204 || resp.status == 304: // they have no body, and a length would be taken for one
		resp.body = nil
	case resp.stream != nil && resp.contentLength >= 0:
		head = http1.AppendLength(head, resp.contentLength)
	case resp.stream != nil && !resp.http10:
		head = http1.AppendField(head, "Transfer-Encoding", "chunked")
	case resp.stream != nil: // up to the connection's end
	case resp.headOnly:
		if len(resp.body) > 0 { // an answer given here
			resp.contentLength = len(resp.body)
		}
		if resp.body = nil; resp.contentLength >= 0 {
			head = http1.AppendLength(head, resp.contentLength)
		}
	default:
		head = http1.AppendLength(head, len(resp.body))
	}
	if resp.retryAfter > 0 {
		head = http1.AppendField(head, "Retry-After", http1.AppendSeconds(nil, resp.retryAfter))
	}
	if closing {
		head = http1.AppendField(head, "Connection", "close")
	}
	head = append(head, "\r\n"...)
	if c.headBuffer = head; cap(head) > maxCachedHeadBytes {
		c.headBuffer = nil
	}
	c.conn.SetWriteDeadline(time.Now().Add(clientWriteTimeout))
	if resp.stream == nil {
		return http1.Write(c.conn, head, resp.body)
	}
	if err := http1.Write(c.conn, head); err != nil {
		resp.stream.CloseWithError(upstream.ErrClientGone)
		return err
	}
	return c.streamResponse(resp)
}

// streamResponse hands a body on as it comes, at the client's pace as long as it takes something every so often. An answer that breaks is
// shown as broken: the connection ends before the body does.
func (c *clientConn) streamResponse(resp response) error {
	defer resp.stream.CloseWithError(upstream.ErrClientGone) // nothing, where it was read to its end
	var out io.Writer = c.conn
	var chunks http1.Chunked
	if resp.contentLength < 0 && !resp.http10 {
		chunks = http1.Chunked{Conn: c.conn}
		out = chunks
	}
	write := func(b []byte) error {
		c.conn.SetWriteDeadline(time.Now().Add(streamWriteTimeout))
		_, err := out.Write(b)
		return err
	}
	if err := write(resp.body); err != nil { // what had come when it began to flow
		return err
	}
	buffer := make([]byte, streamBufferBytes)
	for {
		n, err := resp.stream.Read(buffer)
		if n > 0 {
			if err := write(buffer[:n]); err != nil {
				return err
			}
		}
		switch {
		case err == io.EOF && chunks.Conn != nil:
			return chunks.Close()
		case err == io.EOF:
			return nil
		case err != nil:
			if tcp, ok := c.conn.(*net.TCPConn); ok && resp.http10 && resp.contentLength < 0 {
				tcp.SetLinger(0) // danger: an end in order would look whole
			}
			return err
		}
	}
}
