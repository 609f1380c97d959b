package upstream

import (
	"time"

	"lockloom/balance"
	"lockloom/internal/http1"
)

// write writes a request, unless it is unwanted by now or the connection is unusable.
func (c *connection) write(ex *Exchange) {
	usable, unwanted := c.beginWriting(ex)
	if usable && unwanted != nil {
		c.reportNotSent(ex, unwanted)
		return
	}
	err := errUnsolicited
	if usable {
		err = c.writeRequest(ex)
	}
	ex.complete = err == nil
	close(ex.written)
	if err != nil {
		c.netConn.Close() // the reader reports it
	}
}

// beginWriting decides whether a request is written: if the connection is usable and unwanted is nil. Something that
// came before the request, such as a second copy of the last response, would be read as the response to it; and a
// request that is written to a connection that the server has closed may seem to have run.
func (c *connection) beginWriting(ex *Exchange) (usable bool, unwanted error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	usable = !c.closed && !c.hasUnread()
	unwanted = c.whyUnwanted(ex)
	ex.begun = usable && unwanted == nil
	ex.beganAt = time.Now()
	if usable && unwanted != nil {
		c.current = nil // the connection is good for another exchange
	}
	return usable, unwanted
}

// whyUnwanted returns why an exchange is not to be sent any more, nil if it is. It is called last before the first
// byte, for first attempts and retries alike: since the attempt was ordered, the writer may have waited for its
// connection or for a processor. The caller holds the lock.
func (c *connection) whyUnwanted(ex *Exchange) error {
	switch {
	case ex.canceled:
		return errCanceled
	case !ex.SendBy.IsZero() && time.Now().Add(c.roundTrip).After(ex.SendBy):
		return errTooLate
	case c.server.sendingStopped():
		return errDraining
	case ex.ClientGone != nil && ex.ClientGone():
		return ErrClientGone
	}
	return nil
}

// reportNotSent reports an exchange that is unwanted, and gives the connection back.
func (c *connection) reportNotSent(ex *Exchange, reason error) {
	close(ex.written)
	result := Result{Outcome: balance.NotSent, EndedAt: ex.beganAt, Err: reason}
	c.pool.post(func() {
		c.pool.putIdle(c)
		ex.OnDone(result)
	})
}

// writeRequest writes all of a request.
func (c *connection) writeRequest(ex *Exchange) error {
	c.netConn.SetWriteDeadline(ex.Deadline)
	ex.sentAt = ex.beganAt.Add(-ex.connectTime)
	n, err := http1.WriteCounted(c.netConn, ex.Head, ex.Tail, ex.Body)
	ex.partial = n > 0
	if err != nil || ex.Upload == nil {
		return err
	}
	if err := ex.Upload.sendTo(c.netConn); err != nil {
		return err
	}
	if ex.ResponseTimeout > 0 {
		c.expectResponse(ex, time.Now().Add(ex.ResponseTimeout))
	}
	return nil
}

// expectResponse sets when an exchange that has not ended is to have its response, unless that streams already.
func (c *connection) expectResponse(ex *Exchange, by time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.current == ex && !ex.isStreaming {
		c.setReadDeadline(by)
	}
}
