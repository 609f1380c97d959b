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
	// streamIdleTimeout bounds the time without a byte of a response that streams, or for a piece of an upload to be
	// taken.
	streamIdleTimeout = 30 * time.Second
	// streamStartDelay is the time from a large response's head to its streaming, if a byte of its body has come.
	streamStartDelay = 8 * time.Millisecond
	// streamStartBytes is how much of a response whose length is known to be large is stored before it streams.
	streamStartBytes = 16 << 10
	// streamBufferBytes is the size of the buffer between reading and writing.
	streamBufferBytes = 16 << 10
	// maxStreamBytes is the longest response that a platform's server may announce; a longer one is malformed.
	maxStreamBytes = 64 << 20
)

// isStreamable reports whether a response is large, or of unknown length, and may be passed on as it comes.
func (ex *Exchange) isStreamable(head *http1.Head) bool {
	if ex.OnResponseStarted == nil || head.Length >= 0 && head.Length <= http1.DefaultMaxBytes {
		return false
	}
	if head.Length > maxStreamBytes && !ex.Passthrough {
		return false
	}
	return ex.succeeded(head.Status)
}

// responseStream passes a large response on as it comes, at its client's pace: what is not taken is not read. Until it
// starts, its bytes are stored: if it ends or fails by then, it is a small response, or one that another attempt may
// still give.
type responseStream struct {
	conn    *connection
	ex      *Exchange
	result  Result    // without the outcome
	enough  int       // stored bytes with which it starts
	startBy time.Time // when it starts, if a byte has come

	mu     sync.Mutex
	stored []byte         // until it starts
	out    *io.PipeWriter // nil: not started
	ended  bool           // it did not start, and does not any more
}

// stream reads a large response. It returns what came of the exchange and whether the connection may be used again.
func (c *connection) stream(reader *http1.Reader, ex *Exchange, head *http1.Head, result Result) (Result, bool) {
	closes := head.Close // reading on invalidates the head
	s := &responseStream{
		conn:    c,
		ex:      ex,
		result:  result,
		enough:  http1.DefaultMaxBytes + 1,
		startBy: time.Now().Add(streamStartDelay),
	}
	if head.Length > http1.DefaultMaxBytes {
		s.enough = streamStartBytes
	}
	// Without a timer, a client would wait for a response that its server sends slowly.
	timer := time.AfterFunc(streamStartDelay, s.startAfterDelay)
	defer timer.Stop()
	err := s.copy(reader.StreamBody(head.Length, head.Chunked))
	if !s.finish(err) {
		return s.result, false
	}
	return s.result, !closes && ex.complete && !reader.Buffered()
}

// startAfterDelay starts a response that has begun to come.
func (s *responseStream) startAfterDelay() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.stored) > 0 && s.out == nil && !s.ended {
		s.start()
	}
}

// start hands over what is stored and a pipe for the rest. The response counts as given from now on, and may take
// longer than any deadline. The caller holds the lock, so that the start is posted before the exchange's end.
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
	s.stored = nil
	s.conn.pool.post(func() { s.ex.OnResponseStarted(started) })
}

// copy reads a body to its end, and returns why it ended: io.EOF if it is complete.
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
		}
		// What a slow client takes its time for does not count.
		s.conn.netConn.SetReadDeadline(time.Now().Add(streamIdleTimeout))
		if err != nil {
			return err
		}
	}
}

// store takes what was read, and the error of that read, unless the response has started before. It starts the response
// once enough of it has come or its time has.
func (s *responseStream) store(read []byte, err error) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.out != nil {
		return false
	}
	s.stored = append(s.stored, read...)
	if err != nil {
		s.ended = true
		return true
	}
	if len(s.stored) >= s.enough || len(s.stored) > 0 && time.Now().After(s.startBy) {
		s.start()
	}
	return true
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
	s.ex.awaitWritten()
	if !started {
		s.result.Body = s.stored
		s.result.Length = len(s.stored)
	}
	s.result.Outcome = balance.Succeeded
}

// fail completes the result of a response that failed before it started: there is none.
func (s *responseStream) fail(err error) {
	s.conn.netConn.Close()
	s.ex.awaitWritten()
	s.result.Status = 0
	s.result.Fields = nil
	s.result.Outcome = s.conn.failureOutcome(s.ex, err)
	s.result.Err = err
}

// abort completes the result of a response that its client has a part of.
func (s *responseStream) abort(err error) {
	if s.conn.isCanceled(s.ex) || errors.Is(err, io.ErrClosedPipe) || errors.Is(err, ErrClientGone) {
		s.result.Outcome = balance.Canceled // its client has gone
	} else {
		s.result.Outcome = balance.ConnectionLost
		s.result.Err = err
	}
	s.conn.netConn.Close()
	s.ex.awaitWritten()
}
