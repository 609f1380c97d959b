package proxy

import (
	"errors"
	"syscall"

	"lockloom/internal/http1"
)

// maxUnconfirmed is how many unconfirmed responses a connection records at most.
const maxUnconfirmed = 32

// unconfirmedResponses are the requests of a connection that must not run twice, and whose responses were written but
// perhaps not read: if the client closes the connection with unread responses, its system resets it. It belongs to the
// connection's goroutine.
type unconfirmedResponses []unconfirmedResponse

type unconfirmedResponse struct {
	id        idHash // ids may be long
	retention idRetention
}

// add adds the request of a response that was written. It returns the oldest one if there are too many.
func (u *unconfirmedResponses) add(req *request, now float64) (oldest unconfirmedResponses) {
	// No attempt was sent before the request arrived.
	retention := newRetention(req.class, req.arrivedAt+req.class.DedupWindow, now+req.class.Deadline)
	*u = append(*u, unconfirmedResponse{hashID(req.id), retention})
	if len(*u) > maxUnconfirmed {
		oldest, *u = (*u)[:1:1], (*u)[1:]
	}
	return oldest
}

// responseWritten records the response to a request and how writing it ended. A response with 503 that the proxy gave
// by itself says that the request did not run.
func (c *clientConn) responseWritten(req *request, resp *response, err error) {
	neverRan := resp.notServed && resp.status == http1.StatusServiceUnavailable
	if req == nil || !req.mayNotRepeat() || neverRan {
		return
	}
	c.retainIDs(c.unconfirmed.add(req, c.proxy.now()))
	if err != nil || c.peerHasGone() {
		c.retainUnconfirmed()
	}
}

// readEnded records the error with which reading the connection has ended.
func (c *clientConn) readEnded(err error) {
	if errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE) {
		c.retainUnconfirmed()
	}
}

// retainUnconfirmed retains the ids of all requests whose responses the client may not have read.
func (c *clientConn) retainUnconfirmed() {
	c.retainIDs(c.unconfirmed)
	c.unconfirmed = nil
}

func (c *clientConn) retainIDs(responses unconfirmedResponses) {
	if len(responses) == 0 {
		return
	}
	p := c.proxy
	p.post(func() {
		for _, response := range responses {
			p.retain(response.id, response.retention, p.now())
		}
	})
}
