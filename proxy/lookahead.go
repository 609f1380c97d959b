package proxy

import (
	"io"
	"sync"

	"lockloom/internal/http1"
	"lockloom/internal/socket"
)

// requestLookahead determines whether requests that wait for memory were received completely. Its buffers are shared by
// all connections, so that waiting for memory takes none. It is safe for concurrent use.
type requestLookahead struct {
	mu     sync.Mutex
	http   *http1.Lookahead
	unread socket.PeekReader
}

// restReceived reports whether the rest of the request that a connection reads was received. body is the http1 reader
// of its body, nil while its head is read; count is how many bytes the system holds unread.
func (l *requestLookahead) restReceived(c *clientConn, body io.Reader, count int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.http == nil {
		l.http = http1.NewLookahead()
	}
	l.unread.Reset(c.conn)
	if body == nil {
		return l.http.HeadEnds(c.Reader, &l.unread, count)
	}
	return l.http.BodyEnds(body, &l.unread, count)
}

// unreceivedRest is the rest of a request that waits for memory, as its connection's goroutine sees it.
type unreceivedRest struct {
	conn     *clientConn
	body     io.Reader // see restReceived
	examined int       // unread bytes at the last look: without more of them its result would be the same
}

func newUnreceivedRest(conn *clientConn, body io.Reader) *unreceivedRest {
	return &unreceivedRest{conn: conn, body: body, examined: -1}
}

// received reports whether all of the rest was received, or the client has closed its sending side, so that reading the
// rest does not wait for the client.
func (r *unreceivedRest) received() bool {
	if r.conn.peerHasGone() {
		return true
	}
	count := socket.UnreadBytes(r.conn.conn)
	if count == r.examined {
		return false
	}
	r.examined = count
	return r.conn.proxy.lookahead.restReceived(r.conn, r.body, count)
}
