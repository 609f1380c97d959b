package upstream

import (
	"errors"
	"io"
	"sync"
	"time"

	"lockloom/balance"
	"lockloom/internal/http1"
)

const (
	// streamIdleTimeout bounds the wait for the next bytes of a response that streams, and each write of an upload.
	streamIdleTimeout = 30 * time.Second
	// streamStartDelay is the delay from the head of a large response to the start of its streaming, if at least one
	// byte of the body is received within this delay.
	streamStartDelay = 8 * time.Millisecond
	// streamStartBytes is how many bytes of a response are stored before it streams, if its announced length is over
	// http1.DefaultMaxBytes.
	streamStartBytes = 16 << 10
	// streamBufferBytes is the size of the buffer between reading and writing.
	streamBufferBytes = 16 << 10
	// streamStacksMemory is the memory reserved for the stacks of the three goroutines of a stream: of the client's
	// connection, and two of that to the server.
	streamStacksMemory = 3 * 8 << 10
	// streamBuffersMemory is the memory reserved for the buffers at both ends of the pipe, and for the stacks.
	streamBuffersMemory = 2*streamBufferBytes + streamStacksMemory
	// storedMemory is the memory reserved to store more than streamStartBytes of a response of unknown length. Its buffer
	// grows by doubling.
	storedMemory = 2 * http1.DefaultMaxBytes
	// maxStreamBytes is the largest Content-Length that a server of the platform may announce; a larger one is malformed.
	maxStreamBytes = 64 << 20
)

// isStreamable reports whether a response may stream: it is successful, and its body is over http1.DefaultMaxBytes or
// of unknown length.
func (ex *Exchange) isStreamable(head *http1.Head) bool {
	if ex.OnResponseStarted == nil || head.Length >= 0 && head.Length <= http1.DefaultMaxBytes {
		return false
	}
	if head.Length > maxStreamBytes && !ex.Passthrough {
		return false
	}
	return ex.succeeded(head.Status)
}

// responseStream forwards a large response while it is received, at the pace at which the client reads it. Until
// streaming starts, the body is stored: a response that ends earlier is returned whole, and one that fails earlier can
// still be replaced by the response to another attempt.
type responseStream struct {
	conn       *connection
	ex         *Exchange
	result     Result    // at first only what the head determines; completed by finish
	startBytes int       // streaming starts once this many bytes are stored
	fields     int64     // memory reserved for the fields of the result
	storable   int64     // memory reserved for stored
	startBy    time.Time // streaming starts at this time if any bytes are stored

	mu     sync.Mutex
	stored []byte         // body bytes received before streaming starts; at first streamStartBytes at most
	out    *io.PipeWriter // nil until streaming starts
	ended  bool           // the body ended before streaming started; it must not start any more
	handed int64          // memory whose release was handed over with the first Result
}

// stream reads a large response. It returns the result of the exchange and whether the connection can be reused.
func (c *connection) stream(reader *http1.Reader, ex *Exchange, head *http1.Head, result Result) (Result, bool) {
	closes := head.Close // reading the body invalidates the head
	s := &responseStream{
		conn:       c,
		ex:         ex,
		result:     result,
		fields:     c.memory.reserved,
		startBytes: http1.DefaultMaxBytes + 1,
		startBy:    time.Now().Add(streamStartDelay),
	}
	if head.Length > http1.DefaultMaxBytes {
		s.startBytes = streamStartBytes
	}
	if err := c.memory.reserve(streamBuffersMemory + streamStartBytes); err != nil {
		return c.failed(ex, result, err)
	}
	s.storable = streamStartBytes
	// Without the timer, bytes already stored would be held back while the server sends nothing more.
	timer := time.AfterFunc(streamStartDelay, s.startAfterDelay)
	defer timer.Stop()
	err := s.copy(reader.StreamBody(head.Length, head.Chunked))
	complete := s.finish(err)
	if s.out != nil {
		s.releaseStored()
		c.memory.release(c.memory.reserved)
	}
	if !complete {
		return s.result, false
	}
	return s.result, !closes && ex.fullyWritten && !reader.Buffered()
}

// startAfterDelay starts streaming if any bytes of the body are stored.
func (s *responseStream) startAfterDelay() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.stored) > 0 && s.out == nil && !s.ended {
		s.start()
	}
}

// start passes the stored bytes and a pipe for the rest to OnResponseStarted. From now on the exchange's deadline no
// longer applies, only streamIdleTimeout does. The caller holds the lock, so that OnResponseStarted is posted before
// OnDone.
func (s *responseStream) start() {
	var in *io.PipeReader
	in, s.out = io.Pipe()
	s.conn.mu.Lock()
	s.ex.isStreaming = true
	s.conn.netConn.SetReadDeadline(time.Now().Add(streamIdleTimeout))
	s.conn.mu.Unlock()
	started := s.result
	started.Body = s.stored
	started.Stream = in
	s.handed = s.fields + min(CountedBytes(cap(s.stored)), s.storable)
	started.ReservedBytes = s.handed
	s.stored = nil
	s.conn.pool.post(func() { s.ex.OnResponseStarted(started) })
}

// copy reads a body to its end, and returns why reading ended: io.EOF if the body is complete.
func (s *responseStream) copy(body io.Reader) error {
	buffer := make([]byte, streamBufferBytes)
	for {
		n, err := body.Read(buffer)
		if s.store(buffer[:n], err) {
			if err != nil {
				return err
			}
			continue
		}
		if n > 0 {
			if _, writeErr := s.out.Write(buffer[:n]); writeErr != nil {
				err = writeErr
			}
			s.releaseStored()
		}
		// The time for which a slow client blocked the write above does not count as idle time of the server.
		s.conn.netConn.SetReadDeadline(time.Now().Add(streamIdleTimeout))
		if err != nil {
			return err
		}
	}
}

// store stores what was read, and returns false if streaming has started before. It starts streaming once startBytes
// are stored or startBy has passed, but not if the read returned an error.
func (s *responseStream) store(read []byte, err error) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.out != nil {
		return false
	}
	if !s.mayStore(len(read)) { // the response starts to stream early
		s.startBytes = 0
	}
	s.stored = append(s.stored, read...)
	if err != nil {
		s.ended = true
		return true
	}
	if len(s.stored) >= s.startBytes || len(s.stored) > 0 && time.Now().After(s.startBy) {
		s.start()
	}
	return true
}

// mayStore reports whether memory is reserved for more stored bytes. It reserves the memory for all that may be stored
// before streaming starts at once.
func (s *responseStream) mayStore(bytes int) bool {
	if s.storable > streamStartBytes || s.startBytes <= streamStartBytes || len(s.stored)+bytes <= streamStartBytes {
		return true
	}
	if !s.conn.memory.tryReserve(storedMemory) {
		return false
	}
	s.storable += storedMemory
	return true
}

// releaseStored ends the reservation for the fields and the stored bytes once streaming has started: the receiver of
// the first Result releases what it holds, and the rest is released here.
func (s *responseStream) releaseStored() {
	memory := &s.conn.memory
	memory.reserved -= s.handed
	memory.release(s.fields + s.storable - s.handed)
	s.fields, s.storable, s.handed = 0, 0, 0
}

// finish completes the result when the body has ended with err, and reports whether the response is complete.
func (s *responseStream) finish(err error) bool {
	s.result.EndedAt = time.Now()
	started := s.out != nil
	if started {
		s.out.CloseWithError(err)
	}
	switch {
	case errors.Is(err, io.EOF):
		s.succeed(started)
		return true
	case started:
		s.abort(err)
	default:
		s.fail(err)
	}
	return false
}

// succeed completes the result of a complete response.
func (s *responseStream) succeed(started bool) {
	s.ex.awaitWriteDone()
	if !started {
		s.result.Body = s.stored
		s.result.Length = len(s.stored)
	}
	s.result.Outcome = balance.Succeeded
}

// fail completes the result of a response that failed before streaming started: nothing of it was forwarded.
func (s *responseStream) fail(err error) {
	s.conn.netConn.Close()
	s.ex.awaitWriteDone()
	s.result.Status = 0
	s.result.Fields = nil
	s.result.Outcome = s.conn.failureOutcome(s.ex, err)
	s.result.Err = err
}

// abort completes the result of a response that failed after streaming started.
func (s *responseStream) abort(err error) {
	if s.conn.isCanceled(s.ex) || errors.Is(err, io.ErrClosedPipe) || errors.Is(err, ErrClientGone) {
		s.result.Outcome = balance.Canceled // the client has gone
	} else {
		s.result.Outcome = balance.ConnectionLost
		s.result.Err = err
	}
	s.conn.netConn.Close()
	s.ex.awaitWriteDone()
}
