package upstream

import (
	"errors"
	"os"
	"time"

	"lockloom/balance"
	"lockloom/internal/http1"
	"lockloom/internal/recvtime"
)

const (
	// lateWriteTimeout is what the rest of a request has to be written in once its response is complete.
	lateWriteTimeout = 10 * time.Millisecond
	// maxReservedBytes is the largest body over http1.DefaultMaxBytes that is stored, if there is memory for it.
	maxReservedBytes = 1 << 20
)

// read reads responses until the connection ends, and notices a close by the server while no response is due.
func (c *connection) read() {
	source := recvtime.NewReader(c.netConn)
	reader := http1.NewReader(source)
	for c.readNext(reader, source) {
	}
	c.netConn.Close()
	close(c.requests)
	c.pool.post(func() { c.pool.forget(c) })
}

// readNext waits for bytes, reports the exchange that they end, and returns whether the connection stays open.
func (c *connection) readNext(reader *http1.Reader, source *recvtime.Reader) bool {
	err := c.wait(reader)
	if c.pool.onBytes != nil {
		c.pool.onBytes()
	}
	ex, begun, err := c.awaiting(source, err)
	if ex == nil {
		return false
	}
	var result Result
	reusable := false
	if begun {
		result, reusable = c.readResponse(reader, ex, err)
		result.SentAt = ex.sentAt
		// What waited here to be read had been received before.
		if at := source.Received(); result.Status > 0 && at.After(ex.sentAt) && at.Before(result.EndedAt) {
			result.EndedAt = at
		}
	} else {
		<-ex.written // nothing of it was
		result = Result{Outcome: balance.NotSent, Err: errUnsolicited, EndedAt: time.Now()}
	}
	reusable = reusable && !c.pool.closed.Load()
	c.report(ex, result, reusable)
	return reusable
}

// wait blocks until a byte has come or the time for a response is over. The read deadline belongs to an exchange and is
// not removed when that ends: it may pass while the connection is idle, or just as the next exchange begins.
func (c *connection) wait(reader *http1.Reader) error {
	for {
		err := reader.Wait()
		if !errors.Is(err, os.ErrDeadlineExceeded) || c.isTimedOut() {
			return err
		}
	}
}

// isTimedOut reports whether a read deadline that has passed is that of the current exchange.
func (c *connection) isTimedOut() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.current == nil {
		c.setReadDeadline(time.Time{})
		return false
	}
	return !time.Now().Before(c.readDeadline)
}

// awaiting returns the exchange that bytes, or the end of the connection with waitErr, were awaited for, nil for none,
// and whether its writing had begun. Bytes that were received before that are no response to it, even if they were
// taken from the system before the writer looked for any: its err is errEarly then.
func (c *connection) awaiting(source *recvtime.Reader, waitErr error) (ex *Exchange, begun bool, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	ex = c.current
	begun = ex != nil && ex.begun
	c.closed = !begun
	receivedAt := source.Received()
	if begun && waitErr == nil && !receivedAt.IsZero() && receivedAt.Before(ex.beganAt) {
		return ex, begun, errEarly
	}
	return ex, begun, waitErr
}

// report ends the current exchange. The connection is idle again or, if it is not reusable, closed.
func (c *connection) report(ex *Exchange, result Result, reusable bool) {
	if !reusable {
		c.netConn.Close()
	}
	c.mu.Lock()
	c.current = nil
	c.closed = !reusable
	c.mu.Unlock()
	c.pool.post(func() {
		if reusable {
			c.pool.putIdle(c)
		}
		ex.OnDone(result)
	})
}

// readResponse reads the response to an exchange, of which a byte has come unless err says otherwise. It returns what
// came of the exchange and whether the connection may be used again.
func (c *connection) readResponse(reader *http1.Reader, ex *Exchange, err error) (Result, bool) {
	if err != nil {
		return c.failed(ex, Result{}, err)
	}
	head, err := reader.Response()
	if err != nil {
		return c.failed(ex, Result{}, err)
	}
	result := Result{Status: head.Status, Length: head.Length}
	if ex.HeadOnly {
		head.Length = 0
		head.Chunked = false
	}
	// Reading the body invalidates the head's slices: what is needed of them is taken before.
	neverRan := string(head.Get("X-Never-Ran")) == "1"
	if head.Status == 200 || ex.Passthrough {
		result.Fields = http1.AppendForwardedFields(nil, head, "Endpoint-Load-Metrics", "X-Never-Ran")
	}
	if ex.isStreamable(head) {
		return c.stream(reader, ex, head, result)
	}
	result.ReservedBytes = c.reserve(reader, head.Length)
	result.Body, err = reader.Body(head.Length, head.Chunked)
	if err != nil {
		return c.failed(ex, result, err)
	}
	result.Outcome = ex.responseOutcome(head.Status, neverRan)
	return c.completed(reader, ex, head, result)
}

// reserve asks for memory for a body over http1.DefaultMaxBytes, of this length or, if it is negative, of an unknown
// one, and lets the reader read so much. It returns the bytes that it got; without any, reading the body fails.
func (c *connection) reserve(reader *http1.Reader, length int) int64 {
	if length >= 0 && length <= http1.DefaultMaxBytes {
		return 0
	}
	if length < 0 {
		length = maxReservedBytes
	}
	if length > maxReservedBytes || !c.pool.ReserveMemory(int64(length)) {
		return 0
	}
	reader.SetMaxBytes(length)
	return int64(length)
}

// failed ends an exchange without a complete response.
func (c *connection) failed(ex *Exchange, result Result, err error) (Result, bool) {
	result.EndedAt = time.Now()
	c.netConn.Close()
	ex.awaitWritten()
	result.Outcome = c.failureOutcome(ex, err)
	result.Err = err
	return result, false
}

// completed ends an exchange with a complete response. Its request may not be written yet: either the writer has not
// run since the last byte went out, which must not cost the connection, or it is writing a long body that the server
// answered without reading, which must not delay the response.
func (c *connection) completed(reader *http1.Reader, ex *Exchange, head *http1.Head, result Result) (Result, bool) {
	result.EndedAt = time.Now()
	select {
	case <-ex.written:
	default:
		c.netConn.SetWriteDeadline(result.EndedAt.Add(lateWriteTimeout))
	}
	ex.awaitWritten()
	if !ex.complete && result.Outcome == balance.Succeeded && !ex.Passthrough && ex.Upload == nil {
		c.netConn.Close()
		result.Outcome = balance.ConnectFailed
		result.Err = errEarly
		return result, false
	}
	return result, !head.Close && ex.complete && !reader.Buffered()
}
