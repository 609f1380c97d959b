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
	// lateWriteTimeout bounds writing the rest of a request whose response is already complete.
	lateWriteTimeout = 10 * time.Millisecond
	// maxReservedBytes is the size of the largest response body that is stored. Bodies over http1.DefaultMaxBytes are
	// stored only if memory for them is available at once.
	maxReservedBytes = 1 << 20
	// fieldCopies is how often the fields of a response are copied until they are sent to its client.
	fieldCopies = 2
)

// read reads responses until the connection ends, and detects a close by the server while the connection is idle.
func (c *connection) read() {
	source := recvtime.NewReader(c.netConn)
	reader := http1.NewReader(source)
	c.memory.conn = c
	reader.ReserveHead = c.memory.reserveHead
	for c.readNext(reader, source) {
	}
	c.netConn.Close()
	close(c.requests)
	c.pool.post(func() { c.pool.forget(c) })
}

// readNext waits for bytes or the end of the connection, and ends the current exchange with the result. It returns
// whether the connection stays open.
func (c *connection) readNext(reader *http1.Reader, source *recvtime.Reader) bool {
	err := c.wait(reader)
	if c.pool.onBytes != nil {
		c.pool.onBytes()
	}
	ex, started, err := c.currentExchange(source, err)
	if !started {
		c.unsolicited = err == nil
		if ex != nil {
			c.endUnwritten(ex)
		}
		return false
	}
	c.memory.begin(ex)
	result, reusable := c.readResponse(reader, ex, err)
	result.ReservedBytes = c.memory.take()
	c.unsolicited = errors.Is(err, errEarlyResponse) || result.Err == nil && reader.Buffered()
	result.SentAt = ex.sentAt
	result.ReuseWait = ex.reuseWait
	// The system may have received the response before this goroutine read it.
	if at := source.Received(); result.Status > 0 && at.After(ex.sentAt) && at.Before(result.EndedAt) {
		result.EndedAt = at
	}
	reusable = reusable && !c.pool.closed.Load()
	c.report(ex, result, reusable)
	return reusable
}

// wait blocks until a byte was received, the connection ended or the deadline of the current exchange passed. A read
// deadline is not removed when its exchange ends: one that passes while the connection is idle, or just as the next
// exchange starts, is ignored.
func (c *connection) wait(reader *http1.Reader) error {
	for {
		err := reader.Wait()
		if !errors.Is(err, os.ErrDeadlineExceeded) || c.isTimedOut() {
			return err
		}
	}
}

// isTimedOut reports whether the read deadline that has passed belongs to the current exchange. If there is no
// current exchange, it removes the deadline.
func (c *connection) isTimedOut() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.current == nil {
		c.setReadDeadline(time.Time{})
		return false
	}
	now := time.Now()
	return !now.Before(c.readDeadline) && !c.extendUpload(now)
}

// extendUpload extends the limit of the current exchange's upload that has passed, if its server still accepts bytes,
// and reports whether it did. The caller holds the lock.
func (c *connection) extendUpload(now time.Time) bool {
	ex := c.current
	if ex.Upload == nil || ex.uploadSent || ex.Upload.isStalled(now) || !now.Before(ex.limits.RespondedBy) {
		return false
	}
	ex.limits.SentBy = ex.limits.RespondedBy
	c.setReadDeadline(ex.limits.RespondedBy)
	return true
}

// currentExchange is called after wait has returned waitErr. It returns the current exchange, nil if there is none, and
// whether writing its request has started; if not, it marks the connection as closed to further exchanges. Bytes that
// the system received before writing started are not the response to the request, even if the reader took them before
// the writer checked for unread bytes: err is errEarlyResponse then, else waitErr.
func (c *connection) currentExchange(source *recvtime.Reader, waitErr error) (ex *Exchange, started bool, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	ex = c.current
	started = ex != nil && ex.writeStarted
	if !started {
		c.closed = true
		close(c.unusable)
	}
	receivedAt := source.Received()
	if started && waitErr == nil && !receivedAt.IsZero() && receivedAt.Before(ex.writeStartedAt) {
		return ex, started, errEarlyResponse
	}
	return ex, started, waitErr
}

// endUnwritten ends an exchange whose connection became unusable before the request was written. On the owner's
// goroutine, the exchange is sent on another connection or, if it must not be, OnDone is called.
func (c *connection) endUnwritten(ex *Exchange) {
	<-ex.writeDone // the writer writes nothing, since the connection is marked as closed
	c.netConn.Close()
	c.mu.Lock()
	c.current = nil
	c.mu.Unlock()
	result := Result{Outcome: balance.NotSent, Err: errUnsolicited, EndedAt: time.Now()}
	c.pool.post(func() {
		if !c.pool.resend(c, ex) {
			ex.OnDone(result)
		}
	})
}

// report makes the connection idle, or closes it if it is not reusable, and passes the result to the exchange's OnDone.
func (c *connection) report(ex *Exchange, result Result, reusable bool) {
	if !reusable {
		c.netConn.Close()
	}
	c.mu.Lock()
	c.current = nil
	c.closed = !reusable
	c.mu.Unlock()
	c.pool.post(func() {
		c.respondedAt = time.Now()
		if reusable {
			c.server.recordResponseTime(&result)
			c.pool.putIdle(c)
		}
		ex.OnDone(result)
	})
}

// readResponse reads the response to an exchange, unless waiting for its first byte ended with err. It returns the
// result of the exchange and whether the connection can be reused.
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
	// Reading the body invalidates the head's slices, so the fields to keep are copied first.
	neverRan := string(head.Get("X-Never-Ran")) == "1"
	if head.Status == 200 || ex.Passthrough {
		if err := c.memory.reserve(fieldCopies * CountedBytes(head.Size)); err != nil {
			return c.failed(ex, result, err)
		}
		result.Fields = http1.AppendForwardedFields(c.newFields(head), head, "Endpoint-Load-Metrics", "X-Never-Ran")
	}
	reader.ReleaseHead()
	c.memory.releaseHead()
	if ex.isStreamable(head) {
		return c.stream(reader, ex, head, result)
	}
	if err := c.reserveBody(reader, head); err != nil {
		return c.failed(ex, result, err)
	}
	result.Body, err = reader.Body(head.Length, head.Chunked)
	if err != nil {
		return c.failed(ex, result, err)
	}
	result.Outcome = ex.responseOutcome(head.Status, neverRan)
	return c.completed(reader, ex, head, result)
}

// newFields returns the buffer for the fields that are copied from a head.
func (c *connection) newFields(head *http1.Head) []byte {
	if CountedBytes(head.Size) == 0 {
		return nil
	}
	return make([]byte, 0, head.Size)
}

// reserveBody reserves memory for a body that is stored. For one over http1.DefaultMaxBytes, or of unknown length, it
// also raises the reader's limit if memory is available; if not, reading a larger body fails.
func (c *connection) reserveBody(reader *http1.Reader, head *http1.Head) error {
	length := head.Length
	if length >= 0 && length <= http1.DefaultMaxBytes {
		return c.memory.reserve(CountedBytes(length))
	}
	limit := length
	if length < 0 {
		limit = maxReservedBytes
	}
	if limit <= maxReservedBytes && c.memory.tryReserve(int64(limit)) {
		reader.SetMaxBytes(limit)
		return nil
	}
	if length < 0 {
		return c.memory.reserve(http1.DefaultMaxBytes)
	}
	return nil
}

// failed completes the result of an exchange without a complete response, and closes the connection.
func (c *connection) failed(ex *Exchange, result Result, err error) (Result, bool) {
	result.EndedAt = time.Now()
	c.netConn.Close()
	ex.awaitWriteDone()
	result.Outcome = c.failureOutcome(ex, err)
	result.Err = err
	return result, false
}

// completed completes the result of an exchange with a complete response. Writing the request may not have ended:
// either the writer has not been scheduled since it sent the last byte, and the connection should be kept, or it is
// still sending a long body that the server responded to without reading, and must not delay the response.
func (c *connection) completed(reader *http1.Reader, ex *Exchange, head *http1.Head, result Result) (Result, bool) {
	result.EndedAt = time.Now()
	select {
	case <-ex.writeDone:
	default:
		c.netConn.SetWriteDeadline(result.EndedAt.Add(lateWriteTimeout))
	}
	ex.awaitWriteDone()
	if !ex.fullyWritten && result.Outcome == balance.Succeeded && !ex.Passthrough && ex.Upload == nil {
		c.netConn.Close()
		result.Outcome = balance.ConnectFailed
		result.Err = errEarlyResponse
		return result, false
	}
	return result, !head.Close && ex.fullyWritten && !reader.Buffered()
}
