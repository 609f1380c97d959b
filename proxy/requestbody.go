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
	minBodyBytesPerSecond = 24_000 // minimum mean rate of a body, over the time in which reads wait for the client
	// bodyGracePeriod is how long reads of a body may wait in addition to the time that minBodyBytesPerSecond allows, and
	// the longest wait of a single read: some clients pause for 2 s.
	bodyGracePeriod        = 2300 * time.Millisecond
	minBodyGracePeriod     = 1200 * time.Millisecond // minimum grace period, for a body after a slow first head
	firstBodyGraceDeadline = 2900 * time.Millisecond // from accepting a connection until the grace of its first body ends
	maxBodyBytes           = 40 << 20                // largest body of a request to the platform listener
	streamBufferBytes      = 16 << 10                // copy buffer for streamed bodies

	// uploadStackBytes is the memory of the stacks of an upload's four goroutines: two each of client and server.
	uploadStackBytes = 4 * 8 << 10
	// uploadBufferBytes is the memory of one streamed body: the buffers of copyBody and of the upload, and the stacks.
	uploadBufferBytes = 2*streamBufferBytes + uploadStackBytes
)

func errBodyTooLarge() error {
	return &http1.Error{Status: http1.StatusRequestEntityTooLarge, Text: "body too large"}
}

// pacedBodyReader reads a body and enforces a minimum rate, however the bytes are split. Only the time in which reads
// wait for the client counts, since a server may accept the body slowly. Read fails with an error that wraps
// os.ErrDeadlineExceeded if the client is too slow, and with an *http1.Error if the body is too large.
type pacedBodyReader struct {
	conn       net.Conn
	source     io.Reader
	share      *connShare    // nil: not metered
	abortReads *atomic.Bool  // reads do not wait for the client any more; nil: never set
	grace      time.Duration // allowed wait in addition to the time that minBodyBytesPerSecond allows
	received   int           // bytes so far
	maxBytes   int           // 0: no limit
	waited     time.Duration // time spent in reads so far
}

// maxWait returns how long the body may still be waited for before its next byte.
func (b *pacedBodyReader) maxWait() time.Duration {
	allowed := b.grace + time.Duration(b.received)*time.Second/minBodyBytesPerSecond
	return min(allowed-b.waited, bodyGracePeriod)
}

// Read implements io.Reader.
func (b *pacedBodyReader) Read(p []byte) (int, error) {
	maxWait := b.maxWait()
	if maxWait <= 0 {
		return 0, b.tooSlow(os.ErrDeadlineExceeded)
	}
	if b.share != nil {
		b.share.await() // the client does not cause this wait
	}
	start := time.Now()
	b.conn.SetReadDeadline(start.Add(maxWait))
	if b.abortReads != nil && b.abortReads.Load() {
		b.conn.SetReadDeadline(pastDeadline)
	}
	n, err := b.source.Read(p)
	b.conn.SetReadDeadline(time.Time{})
	b.waited += time.Since(start)
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
	return fmt.Errorf("request body read timed out: received %d bytes in %v of read time: %w", b.received, b.waited, err)
}

// bodyStream is a request body that is forwarded while it is received, to one server and only once. The zero value is
// for a request whose body is received before admission. receivedAt and completedAt belong to the owner; the other
// fields do not change.
type bodyStream struct {
	upload      *upstream.Upload // nil: the body is not streamed
	reader      *streamedBody
	clientWait  float64 // seconds that the client waits for a response after the last byte of the body
	receivedAt  float64 // when the last byte was received, in seconds since 1970; 0: not yet, as far as is known
	completedAt float64 // when the last byte was accepted to be sent to the server, in seconds since 1970; 0: not yet
}

// startUpload starts a goroutine that forwards a request's body. It sends its result to uploadDone.
func (c *clientConn) startUpload(req *request) {
	c.setReadDeadline(time.Time{})
	done := make(chan error, 1)
	c.uploadDone, c.bodyStreamed = done, true
	go c.forwardBody(req, done)
}

// forwardBody forwards a body while it is received, as fast as the server accepts it, until the body ends or the
// request is answered. Unless the upload was stopped, the result is sent before the upload is closed: closing it with
// an error fails the attempt too, but the body's error says more about the cause.
func (c *clientConn) forwardBody(req *request, done chan<- error) {
	err := copyBody(req)
	if err == nil {
		receivedAt, completedAt := c.receivedAt(), time.Now()
		c.proxy.post(func() { c.proxy.bodyCompleted(req, receivedAt, completedAt) })
	}
	in := req.stream.upload.In
	if !errors.Is(err, upstream.ErrUploadStopped) {
		done <- err
		closeUpload(in, err)
		return
	}
	closeUpload(in, err)
	discard(req.stream.reader) // closing with unread bytes would reset the connection and lose the response
	done <- err
}

func copyBody(req *request) error {
	in := req.stream.upload.In
	if len(req.body) > 0 { // the part that was read before the body turned out too large to buffer
		if _, err := in.Write(req.body); err != nil {
			return err
		}
	}
	_, err := io.CopyBuffer(struct{ io.Writer }{in}, req.stream.reader, make([]byte, streamBufferBytes))
	return err
}

// closeUpload closes an upload with err; nil stands for the body's end. CloseWithError of a pipe never fails.
func closeUpload(in *io.PipeWriter, err error) { _ = in.CloseWithError(err) }
