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
// client's goroutine writes the body to In and closes In at its end.
type Upload struct {
	Chunked bool
	In      *io.PipeWriter
	out     *io.PipeReader
	started atomic.Bool
}

// NewUpload returns an upload, which is sent with chunked transfer coding if chunked is true, and unchanged otherwise.
func NewUpload(chunked bool) *Upload {
	u := &Upload{Chunked: chunked}
	u.out, u.In = io.Pipe()
	return u
}

// Started reports whether part of the body may have been sent to a server: no other attempt is possible then.
func (u *Upload) Started() bool { return u.started.Load() }

// Stop makes writes to In fail with ErrUploadStopped: the rest of the body is not needed.
func (u *Upload) Stop() { u.out.CloseWithError(ErrUploadStopped) }

// sendTo writes the body to a server as it is received from the client. Only the writes have a timeout; how long the
// client may take is not bounded here.
func (u *Upload) sendTo(conn net.Conn) error {
	u.started.Store(true)
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
