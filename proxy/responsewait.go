package proxy

import (
	"errors"
	"io"
	"time"

	"lockloom/internal/upstream"
)

const (
	// clientWatchDelay is how long a request waits for its response before the watch for a disconnected client starts.
	clientWatchDelay = 10 * time.Millisecond
	// clientCheckInterval is the interval between socket queries for a client whose disconnect a read cannot detect.
	clientCheckInterval = 50 * time.Millisecond
)

// responseWait is a connection's wait for the response to its request, which ends early if the client disconnects. It
// belongs to the connection's goroutine.
//
// While a body is streamed, its reader detects a disconnect. Otherwise a read watches the connection, but only after
// clientWatchDelay, since a watch costs a goroutine and two scheduler switches. Bytes that the client sends before its
// response stay in the buffer. When the buffer is full, or an upload reads or has stopped reading, a read cannot detect
// the disconnect, and the socket is queried every clientCheckInterval. While a body waits for its server, it is also
// checked for its end.
type responseWait struct {
	conn       *clientConn
	upload     uploadWatch
	watchDone  chan error // receives the result of the read that watches the connection; nil: there is none
	unreadable bool       // a read cannot detect a disconnect
}

// awaitResponse waits for a request's response, and returns an error if the client disconnects before.
func (c *clientConn) awaitResponse(req *request) (response, error) {
	c.startWatchTimer()
	defer c.watchTimer.Stop()
	wait := responseWait{conn: c, upload: newUploadWatch(req), unreadable: c.uploadDone != nil}
	for {
		var err error
		select {
		case resp := <-req.response:
			return wait.responseReceived(resp)
		case uploadErr := <-c.uploadDone:
			err = wait.uploadEnded(uploadErr)
		case watchErr := <-wait.watchDone:
			err = wait.watchEnded(watchErr)
		case <-c.watchTimer.C:
			err = wait.check()
		}
		if err != nil {
			return response{}, err
		}
	}
}

func (c *clientConn) startWatchTimer() {
	if c.watchTimer == nil {
		c.watchTimer = time.NewTimer(clientWatchDelay)
	} else {
		c.watchTimer.Reset(clientWatchDelay)
	}
}

// responseReceived ends the wait with the response, or with the error of the body if that is why there is no other one.
func (w *responseWait) responseReceived(resp response) (response, error) {
	c := w.conn
	if w.watchDone != nil {
		c.setReadDeadline(pastDeadline) // ends the watch
		<-w.watchDone                   //nolint:errcheck // there is a response, whatever the watch has read
	}
	if resp.notServed {
		if err := c.takeBodyError(); err != nil {
			return response{}, err
		}
	}
	return resp, nil
}

// uploadEnded handles the end of the upload, and returns its error if it has failed because of the client.
func (w *responseWait) uploadEnded(err error) error {
	stopped := uploadStopped(err)
	w.conn.uploadDone, w.upload.ended, w.unreadable = nil, true, stopped
	if stopped {
		return nil
	}
	return err
}

// watchEnded handles the end of the read that watches the connection: with the client's disconnect, or because the
// buffer is full.
func (w *responseWait) watchEnded(err error) error {
	w.watchDone, w.unreadable = nil, true
	w.conn.watchTimer.Reset(clientCheckInterval)
	return err
}

// check starts the watch, or queries the socket if a watch cannot detect a disconnect.
func (w *responseWait) check() error {
	c := w.conn
	if !w.unreadable {
		w.watchDone = c.startWatch()
		return nil
	}
	if c.peerHasGone() {
		return errClientGone
	}
	c.watchTimer.Reset(w.upload.check())
	return nil
}

// takeBodyError returns the error with which reading a streamed body has failed because of the client, or nil if it has
// not failed or not ended. The attempt fails because of the same error, and both may be known by the time at which the
// connection's goroutine looks: the body's error says more about the cause.
func (c *clientConn) takeBodyError() error {
	select {
	case err := <-c.uploadDone:
		c.uploadDone = nil
		if !uploadStopped(err) {
			return err
		}
	default:
	}
	return nil
}

// startWatch starts a goroutine that reads into the connection's buffer until the client disconnects. Its result is nil
// if the buffer is full, so that it cannot detect a disconnect any more, else the read error.
func (c *clientConn) startWatch() chan error {
	c.setReadDeadline(time.Time{})
	c.metered.ahead = true
	done := make(chan error, 1)
	go func() {
		err := c.WaitForClose()
		c.metered.ahead = false
		done <- err
	}()
	return done
}

// uploadStopped reports whether an upload has ended because the proxy or the server stopped reading it, not because of
// the client.
func uploadStopped(err error) bool {
	return errors.Is(err, upstream.ErrUploadStopped) || errors.Is(err, io.ErrClosedPipe)
}
