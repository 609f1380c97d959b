package proxy

import (
	"io"
	"net"
	"time"

	"lockloom/internal/http1"
	"lockloom/internal/upstream"
)

// reply is what a client is answered.
type reply struct {
	status int
	fields []byte // lines of an successful answer's head that go on
	body   []byte
	held   int64   // bytes of room, to be given back
	old    bool    // the client knows no chunks
	advice float64 // s; when to come back; 0: no advice
	bare   bool    // the client asked for a head only
	length int     // of the body it would have had, or that flows; -1: not told
	flow   *io.PipeReader
}

// relay writes an answer to its client, who may be slow to take it but not for ever.
func (c *client) relay(a reply, closing bool) error {
	head := http1.AppendStatus(c.out[:0], a.status)
	head = append(head, a.fields...)
	switch {
	case a.status == 204 || a.status == 304: // they have no body, and a length would be taken for one
		a.body = nil
	case a.flow != nil && a.length >= 0:
		head = http1.AppendLength(head, a.length)
	case a.flow != nil && !a.old:
		head = http1.AppendField(head, "Transfer-Encoding", "chunked")
	case a.flow != nil: // up to the connection's end
	case a.bare:
		if len(a.body) > 0 { // an answer given here
			a.length = len(a.body)
		}
		if a.body = nil; a.length >= 0 {
			head = http1.AppendLength(head, a.length)
		}
	default:
		head = http1.AppendLength(head, len(a.body))
	}
	if a.advice > 0 {
		head = http1.AppendField(head, "Retry-After", http1.AppendSeconds(nil, a.advice))
	}
	if closing {
		head = http1.AppendField(head, "Connection", "close")
	}
	head = append(head, "\r\n"...)
	if c.out = head; cap(head) > outMost {
		c.out = nil
	}
	c.nc.SetWriteDeadline(time.Now().Add(clientSlow))
	if a.flow == nil {
		return http1.Write(c.nc, head, a.body)
	}
	if err := http1.Write(c.nc, head); err != nil {
		a.flow.CloseWithError(upstream.ErrClientGone)
		return err
	}
	return c.relayFlow(a)
}

// relayFlow hands a body on as it comes, at the client's pace as long as it takes something every so often. An answer that breaks is
// shown as broken: the connection ends before the body does.
func (c *client) relayFlow(a reply) error {
	defer a.flow.CloseWithError(upstream.ErrClientGone) // nothing, where it was read to its end
	var to io.Writer = c.nc
	var chunks http1.Chunked
	if a.length < 0 && !a.old {
		chunks = http1.Chunked{Conn: c.nc}
		to = chunks
	}
	piece := func(b []byte) error {
		c.nc.SetWriteDeadline(time.Now().Add(flowSlow))
		_, err := to.Write(b)
		return err
	}
	if err := piece(a.body); err != nil { // what had come when it began to flow
		return err
	}
	buf := make([]byte, flowBytes)
	for {
		n, err := a.flow.Read(buf)
		if n > 0 {
			if err := piece(buf[:n]); err != nil {
				return err
			}
		}
		switch {
		case err == io.EOF && chunks.Conn != nil:
			return chunks.Close()
		case err == io.EOF:
			return nil
		case err != nil:
			if tcp, ok := c.nc.(*net.TCPConn); ok && a.old && a.length < 0 {
				tcp.SetLinger(0) // danger: an end in order would look whole
			}
			return err
		}
	}
}
