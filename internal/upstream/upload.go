package upstream

import (
	"errors"
	"io"
	"net"
	"sync/atomic"
	"time"

	"lockloom/internal/http1"
)

// ErrUploadStopped is what the client's side of an upload gets from a write when its request has its response.
var ErrUploadStopped = errors.New("the body is not wanted any more")

// Upload is a request body that is streamed, once, and not stored. The client's side writes into In and closes it at
// the body's end.
type Upload struct {
	Chunked bool
	In      *io.PipeWriter
	out     *io.PipeReader
	started atomic.Bool
}

// NewUpload returns an upload of a body that is sent in chunks, or as it is.
func NewUpload(chunked bool) *Upload {
	u := &Upload{Chunked: chunked}
	u.out, u.In = io.Pipe()
	return u
}

// Started reports whether some of the body may have gone to a server: there can be no other attempt then.
func (u *Upload) Started() bool { return u.started.Load() }

// Stop ends the client's side with ErrUploadStopped: nothing more of the body is wanted.
func (u *Upload) Stop() { u.out.CloseWithError(ErrUploadStopped) }

// sendTo writes the body to a server as it comes. Only the server's time is bounded, not the client's.
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
