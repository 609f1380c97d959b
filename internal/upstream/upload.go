package upstream

import (
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"lockloom/internal/http1"
)

// ErrUploadStopped is the error of a write to Upload.In after Stop, for example because the response has been received.
var ErrUploadStopped = errors.New("upload stopped: the rest of the request body is not needed")

// Upload is a request body that is streamed to one server and not stored, so that it can be sent only once. The
// client's goroutine writes the body to In and closes In at its end. Of the exchanges that share an upload, one sends
// it: the one that claims it, just before the first byte of its request is written.
type Upload struct {
	Chunked bool
	In      *io.PipeWriter
	out     *io.PipeReader

	mu      sync.Mutex
	sender  *Exchange // the exchange that has claimed the body; nil: none
	reading bool      // the sender reads the body: it keeps the claim
	ended   bool      // the sender's exchange has ended: it must not begin to read the body

	progressAt atomic.Int64 // when the server last accepted bytes of the body: Unix time in nanoseconds
}

// uploadStallTime is how long a server may accept nothing of a body before its upload counts as stalled.
const uploadStallTime = 100 * time.Millisecond

// isStalled reports whether the server has accepted nothing of the body for uploadStallTime.
func (u *Upload) isStalled(now time.Time) bool {
	return now.UnixNano()-u.progressAt.Load() > int64(uploadStallTime)
}

// NewUpload returns an upload, which is sent with chunked transfer coding if chunked is true, and unchanged otherwise.
func NewUpload(chunked bool) *Upload {
	u := &Upload{Chunked: chunked}
	u.out, u.In = io.Pipe()
	return u
}

// Claimed reports whether an exchange sends the body, or has sent a part of it. Any other exchange ends without having
// sent anything. It is safe for concurrent use.
func (u *Upload) Claimed() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.sender != nil
}

// Stop makes writes to In fail with ErrUploadStopped: the rest of the body is not needed.
func (u *Upload) Stop() { u.out.CloseWithError(ErrUploadStopped) }

// claim makes an exchange the one that sends the body, and reports whether it is. The exchange must not write anything
// if it is not.
func (u *Upload) claim(ex *Exchange) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.sender != nil {
		return false
	}
	u.sender, u.ended = ex, false
	return true
}

// beginReading records that the sender reads the body from now on, and reports whether it may.
func (u *Upload) beginReading() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.reading = !u.ended
	return u.reading
}

// release ends the claim of an exchange that has read nothing of the body, so that another one may send it.
func (u *Upload) release(ex *Exchange) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.sender == ex && !u.reading {
		u.sender = nil
	}
}

// exchangeEnded ends the sending of the body if the exchange is its sender: it does what Stop does, unless the exchange
// has not begun to read the body, and now never will.
func (u *Upload) exchangeEnded(ex *Exchange) {
	u.mu.Lock()
	defer u.mu.Unlock()
	switch {
	case u.sender != ex:
	case u.reading:
		u.Stop()
	default:
		u.ended = true
	}
}

// bodyBrokenOff reports whether the error of a read of an upload comes from its client, not from Stop.
func bodyBrokenOff(err error) bool {
	return err != nil && !errors.Is(err, io.EOF) && !errors.Is(err, io.ErrClosedPipe) && !errors.Is(err, ErrUploadStopped)
}

// sendTo writes the body to a server as it is received from the client. The caller is the exchange that has claimed it.
// Only the writes have a timeout; how long the client may take is not bounded here.
func (u *Upload) sendTo(conn net.Conn) error {
	if !u.beginReading() {
		return ErrUploadStopped
	}
	var body io.Writer = conn
	if u.Chunked {
		body = http1.Chunked{Conn: conn}
	}
	for buffer := make([]byte, streamBufferBytes); ; {
		n, err := u.out.Read(buffer)
		if n > 0 {
			conn.SetWriteDeadline(time.Now().Add(streamIdleTimeout))
			if _, err := body.Write(buffer[:n]); err != nil {
				return err
			}
			u.progressAt.Store(time.Now().UnixNano())
		}
		switch {
		case bodyBrokenOff(err):
			return fmt.Errorf("%w: %w", errBodyBrokenOff, err)
		case errors.Is(err, io.EOF) && u.Chunked:
			return http1.Chunked{Conn: conn}.Close()
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return err
		}
	}
}
