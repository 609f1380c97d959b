package upstream

import (
	"errors"
	"io"
	"net"
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
	sender  atomic.Pointer[Exchange] // the exchange that has claimed the body; nil: none
}

// NewUpload returns an upload, which is sent with chunked transfer coding if chunked is true, and unchanged otherwise.
func NewUpload(chunked bool) *Upload {
	u := &Upload{Chunked: chunked}
	u.out, u.In = io.Pipe()
	return u
}

// Claimed reports whether an exchange sends the body, or has sent a part of it. Any other exchange ends without having
// sent anything. It is safe for concurrent use.
func (u *Upload) Claimed() bool { return u.sender.Load() != nil }

// claim makes an exchange the one that sends the body, and reports whether it is. The exchange must not write anything
// if it is not.
func (u *Upload) claim(ex *Exchange) bool { return u.sender.CompareAndSwap(nil, ex) }

// release gives back the claim of an exchange that has read nothing of the body, so that another one may send it.
func (u *Upload) release(ex *Exchange) { u.sender.CompareAndSwap(ex, nil) }

// stopIfClaimedBy does what Stop does if the exchange sends the body.
func (u *Upload) stopIfClaimedBy(ex *Exchange) {
	if u.sender.Load() == ex {
		u.Stop()
	}
}

// Stop makes writes to In fail with ErrUploadStopped: the rest of the body is not needed.
func (u *Upload) Stop() { u.out.CloseWithError(ErrUploadStopped) }

// sendTo writes the body to a server as it is received from the client. The caller is the exchange that has claimed it.
// Only the writes have a timeout; how long the client may take is not bounded here.
func (u *Upload) sendTo(conn net.Conn) error {
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
		}
		switch {
		case errors.Is(err, io.EOF) && u.Chunked:
			return http1.Chunked{Conn: conn}.Close()
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return err
		}
	}
}
