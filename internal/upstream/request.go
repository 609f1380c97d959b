package upstream

import (
	"errors"
	"time"

	"lockloom/balance"
	"lockloom/internal/http1"
)

// write writes a request, unless it must not be sent any more or the connection is unusable.
func (c *connection) write(ex *Exchange) {
	c.awaitReuse(ex)
	usable, notSent := c.startWriting(ex)
	if usable && notSent != nil {
		c.reportNotSent(ex, notSent)
		return
	}
	err := errUnsolicited
	if usable {
		err = c.writeRequest(ex)
	}
	ex.fullyWritten = err == nil
	close(ex.writeDone)
	if err != nil {
		c.netConn.Close() // the reading goroutine then ends the exchange and calls OnDone
	}
}

// startWriting decides whether a request is written: if the connection is usable and notSent is nil. The exchange has
// then claimed its upload, if it has one. A connection with unread bytes is unusable, since these, such as a second
// copy of the last response, would be read as the response to the request. So is one that the server has closed: after
// writing to it, the request would count as possibly run.
func (c *connection) startWriting(ex *Exchange) (usable bool, notSent error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	usable = !c.closed && !c.hasUnread()
	notSent = c.notSentReason(ex)
	if usable && notSent == nil && ex.Upload != nil && !ex.Upload.claim(ex) {
		notSent = errUploadClaimed
	}
	ex.writeStarted = usable && notSent == nil
	ex.writeStartedAt = time.Now()
	if usable && notSent != nil {
		c.current = nil // the connection can be used for another exchange
	}
	return usable, notSent
}

// notSentReason returns why an exchange must not be sent any more, or nil. It is called just before the first byte is
// written, for first attempts and retries alike: since Send, the writer may have waited for its connection to open,
// or to be scheduled. The caller holds the lock.
func (c *connection) notSentReason(ex *Exchange) error {
	switch {
	case ex.canceled:
		return errCanceled
	case !ex.SendBy.IsZero() && time.Now().Add(c.roundTrip).After(ex.SendBy):
		return errTooLate
	case c.server.sendingStopped():
		return errDraining
	case c.pool.isStopped(c.server):
		return errStopped
	case c.process != c.server.process.Load():
		return errReplaced
	case ex.ClientGone != nil && ex.ClientGone():
		return ErrClientGone
	}
	return nil
}

// reportNotSent ends an exchange that was not written: on the owner's goroutine, it makes the connection idle and calls
// OnDone with the reason.
func (c *connection) reportNotSent(ex *Exchange, reason error) {
	close(ex.writeDone)
	result := Result{Outcome: balance.NotSent, EndedAt: ex.writeStartedAt, Err: reason}
	c.pool.post(func() {
		c.pool.putIdle(c)
		ex.OnDone(result)
	})
}

// writeRequest writes a whole request, including its upload.
func (c *connection) writeRequest(ex *Exchange) error {
	c.netConn.SetWriteDeadline(ex.Deadline)
	ex.sentAt = ex.writeStartedAt.Add(-ex.connectTime)
	n, err := http1.WriteCounted(c.netConn, ex.Head, ex.Tail, ex.Body)
	ex.partlyWritten = n > 0
	if ex.Upload == nil {
		return err
	}
	if err == nil {
		err = ex.Upload.sendTo(c.netConn)
	}
	if err != nil {
		ex.bodyBrokenOff = errors.Is(err, errBodyBrokenOff)
		ex.Upload.release(ex)
		return err
	}
	if ex.ResponseTimeout > 0 {
		c.expectResponse(ex, time.Now().Add(ex.ResponseTimeout))
	}
	return nil
}

// expectResponse sets the deadline of the response to an exchange whose upload was sent, unless the exchange has ended
// or its response is being streamed.
func (c *connection) expectResponse(ex *Exchange, by time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	ex.uploadSent = true
	if c.current == ex && !ex.isStreaming {
		c.setReadDeadline(ex.limited(by))
	}
}
