package proxy

import (
	"io"
	"sync"
	"time"

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

// restReceived reports whether the rest of the request that a connection reads was received, and how long the check
// took without the wait for the buffers. body is the http1 reader of its body, nil while its head is read; count is how
// many bytes the system holds unread.
func (l *requestLookahead) restReceived(c *clientConn, body io.Reader, count int) (received bool, took time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.http == nil {
		l.http = http1.NewLookahead()
	}
	began := time.Now()
	l.unread.Reset(c.conn)
	if body == nil {
		received = l.http.HeadEnds(c.Reader, &l.unread, count)
	} else {
		received = l.http.BodyEnds(body, &l.unread, count)
	}
	return received, time.Since(began)
}

// checkPauseFactor is the ratio of the pause after a check to the time that the check took. Otherwise a client that
// sends little at a time, while much of its request is unread, could use up this core.
const checkPauseFactor = 10

// arrival tells whether the rest of a request was received.
type arrival int

const (
	arrivalUnknown    arrival = iota // not checked now
	arrivalIncomplete                // a part of the rest was not received
	arrivalComplete                  // reading the rest does not wait for the client
)

// unreceivedRest is the rest of a request that waits for memory or for its server, as its connection's goroutine sees
// it.
type unreceivedRest struct {
	conn      *clientConn
	body      io.Reader // see restReceived
	checked   restState // at the last check, which found the rest incomplete
	nextCheck time.Time
}

// restState tells how far a request was received.
type restState struct{ read, unread int } // bytes of its body that were read, and bytes that the system holds unread

func newUnreceivedRest(conn *clientConn, body io.Reader) *unreceivedRest {
	return &unreceivedRest{conn: conn, body: body, checked: restState{unread: -1}}
}

// arrival checks the rest. read is how many bytes of the body were read. Nothing may read from the connection
// meanwhile.
func (r *unreceivedRest) arrival(read int) arrival {
	state := restState{read, socket.UnreadBytes(r.conn.conn)}
	switch {
	case state == r.checked:
		return arrivalIncomplete
	case time.Now().Before(r.nextCheck):
		return arrivalUnknown
	}
	r.checked = state
	received, took := r.conn.proxy.lookahead.restReceived(r.conn, r.body, state.unread)
	r.nextCheck = time.Now().Add(checkPauseFactor * took)
	if received {
		return arrivalComplete
	}
	return arrivalIncomplete
}
