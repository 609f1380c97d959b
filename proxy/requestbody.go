package proxy

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync/atomic"
	"time"

	"lockloom/internal/http1"
	"lockloom/internal/upstream"
)

const (
	minBodyBytesPerSecond = 24_000 // that a body must come at while it is waited for
	// bodyGracePeriod is how far a body may be behind that, in all and at once: some clients pause for 2 s.
	bodyGracePeriod        = 2300 * time.Millisecond
	minBodyGracePeriod     = 1200 * time.Millisecond // the same where a connection's first head was slow
	firstBodyGraceDeadline = 2900 * time.Millisecond // from a connection's start to the end of its first body's grace
	maxBodyBytes           = 40 << 20                // of a request to the platform's listener
	streamBufferBytes      = 16 << 10                // between reading and writing what is streamed
)

func errBodyTooLarge() error {
	return &http1.Error{Status: http1.StatusRequestEntityTooLarge, Text: "body too large"}
}

// pacedBodyReader reads a body from a client that must keep a pace, however its bytes are split. Only time in which the
// client is waited for counts: a server may take the body slowly. Too slow a client ends it with
// os.ErrDeadlineExceeded, too large a body with an *http1.Error.
type pacedBodyReader struct {
	conn       net.Conn
	source     io.Reader
	readNoMore *atomic.Bool // nothing more is waited for; nil: never so
	grace      time.Duration
	received   int           // bytes
	maxBytes   int           // 0: no bound
	waited     time.Duration // for what was received
}

// Read implements io.Reader.
func (b *pacedBodyReader) Read(to []byte) (int, error) {
	allowed := b.grace + time.Duration(b.received)*time.Second/minBodyBytesPerSecond
	left := min(allowed-b.waited, bodyGracePeriod)
	if left <= 0 {
		return 0, b.tooSlow(os.ErrDeadlineExceeded)
	}
	began := time.Now()
	b.conn.SetReadDeadline(began.Add(left))
	if b.readNoMore != nil && b.readNoMore.Load() {
		b.conn.SetReadDeadline(pastDeadline)
	}
	n, err := b.source.Read(to)
	b.conn.SetReadDeadline(time.Time{})
	b.waited += time.Since(began)
	b.received += n
	if errors.Is(err, os.ErrDeadlineExceeded) {
		err = b.tooSlow(err)
	}
	if b.maxBytes > 0 && b.received > b.maxBytes {
		return n, errBodyTooLarge()
	}
	return n, err
}

func (b *pacedBodyReader) tooSlow(err error) error {
	return fmt.Errorf("%d bytes of the body in %v of waiting: %w", b.received, b.waited, err)
}

// bodyStream is a request's body that is forwarded as it comes, to one server and once. The zero value is that of a
// request whose body is received before it is admitted. The owner owns completedAt; the rest is not changed.
type bodyStream struct {
	upload      *upstream.Upload // nil: the body is not streamed
	reader      *pacedBodyReader
	clientWait  float64 // seconds that the client waits from its last byte on
	completedAt float64 // when that came, in seconds since 1970; 0: it has not
}

// startUpload starts to forward a request's body in a goroutine of its own; uploadDone has its result.
func (c *clientConn) startUpload(req *request) {
	c.setReadDeadline(time.Time{})
	done := make(chan error, 1)
	c.uploadDone, c.bodyStreamed = done, true
	go c.forwardBody(req, done)
}

// forwardBody forwards a body as it comes, at the server's pace, until it ends or the request is answered. The result
// is sent before the server's side ends: the attempt ends by that too, and what became of the body says more.
func (c *clientConn) forwardBody(req *request, done chan<- error) {
	err := copyBody(req)
	if err == nil {
		completedAt := time.Now()
		c.proxy.post(func() { c.proxy.bodyCompleted(req, completedAt) })
	}
	in := req.stream.upload.In
	if !errors.Is(err, upstream.ErrUploadStopped) {
		done <- err
		closeUpload(in, err)
		return
	}
	closeUpload(in, err)
	discard(req.stream.reader) // so that the client can read its response
	done <- err
}

func copyBody(req *request) error {
	in := req.stream.upload.In
	if len(req.body) > 0 { // what was received until it was found too large to be held
		if _, err := in.Write(req.body); err != nil {
			return err
		}
	}
	_, err := io.CopyBuffer(struct{ io.Writer }{in}, req.stream.reader, make([]byte, streamBufferBytes))
	return err
}

// closeUpload ends the server's side of an upload; CloseWithError of a pipe never fails.
func closeUpload(in *io.PipeWriter, err error) { _ = in.CloseWithError(err) }
