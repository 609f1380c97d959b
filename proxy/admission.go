package proxy

import (
	"cmp"
	"errors"
	"io"
	"math"
	"time"

	"lockloom/balance"
	"lockloom/internal/http1"
	"lockloom/internal/upstream"
	"lockloom/limits"
)

const (
	// clientWatchDelay is from a request's admission: until then nobody checks whether its client has gone.
	clientWatchDelay = 10 * time.Millisecond
	// clientCheckInterval is between checks of a client whose end can't be read.
	clientCheckInterval = 50 * time.Millisecond
)

// admission is what admits one request, in its connection's goroutine: first to this core, then to the decisions. The
// zero value but for conn is ready for use.
type admission struct {
	conn         *clientConn
	occupiesCore bool  // the request is in this core's work, until the owner has it
	reserved     int64 // bytes of the memory budget
}

// awaitTurn waits for the request's turn at this core, and reports whether it is admitted.
func (a *admission) awaitTurn(class *balance.Class, tenant, bodyBytes int) bool {
	c := a.conn
	admitted := c.proxy.overload.awaitTurn(c, class, tenant, bodyBytes)
	a.occupiesCore = true
	return admitted
}

// serve has the owner admit a request to the decisions and waits for its response. An error says that the client has
// gone, or that the rest of its body can't be read.
func (a *admission) serve(req *request, info balance.RequestInfo) (response, error) {
	c := a.conn
	p := c.proxy
	req.client = c
	if req.stream.upload != nil {
		c.startUpload(req)
	}
	shed := !a.reserve(int64(len(req.head)+len(req.body))) || c.overflow || !p.admitsRequests()
	a.occupiesCore = false
	p.post(func() {
		defer p.requestLeftCore() // also after a panic, which must not cost the core a place
		p.admit(req, info, shed)
	})
	resp, err := c.awaitResponse(req)
	if err != nil {
		c.abandoned.Store(true) // the owner may get the event late
		p.post(func() { p.clientDisconnected(req) })
	}
	return resp, err
}

// reserve takes so many bytes of the memory budget until the end, and reports whether they were left.
func (a *admission) reserve(bytes int64) bool {
	if !a.conn.proxy.memory.reserve(bytes) {
		return false
	}
	a.reserved = bytes
	return true
}

// end releases what the request still holds.
func (a *admission) end() {
	if a.reserved > 0 {
		a.conn.proxy.memory.release(a.reserved)
	}
	if a.occupiesCore {
		a.conn.proxy.requestLeftCore()
	}
}

// awaitResponse waits for a request's response, and for its client to go. While a body is streamed its reader sees that
// first. Else the connection is watched only where the response takes long: a watch costs a goroutine and two turns of
// the scheduler. What a client sends before its response stays in the buffer; behind what does not fit, or is not read,
// the system is asked whether it has gone.
func (c *clientConn) awaitResponse(req *request) (response, error) {
	if c.watchTimer == nil {
		c.watchTimer = time.NewTimer(clientWatchDelay)
	} else {
		c.watchTimer.Reset(clientWatchDelay)
	}
	defer c.watchTimer.Stop()
	uploadDone := c.uploadDone
	var watchDone chan error
	unreadable := c.uploadDone != nil // reading does not show the client's end
	for {
		select {
		case resp := <-req.response:
			if watchDone != nil {
				c.setReadDeadline(pastDeadline) // ends the watch
				<-watchDone                     //nolint:errcheck // the response is here, whatever the watch saw
			}
			return resp, nil
		case err := <-uploadDone:
			stopped := uploadStopped(err)
			c.uploadDone, uploadDone, unreadable = nil, nil, stopped
			if err != nil && !stopped {
				return response{}, err
			}
		case err := <-watchDone:
			if err != nil {
				return response{}, err
			}
			watchDone, unreadable = nil, true
			c.watchTimer.Reset(clientCheckInterval)
		case <-c.watchTimer.C:
			if !unreadable {
				watchDone = c.startWatch()
				break
			}
			if c.peerHasGone() {
				return response{}, errClientGone
			}
			c.watchTimer.Reset(clientCheckInterval)
		}
	}
}

// startWatch reads on in a goroutine of its own, to see whether the client goes. It ends without an error where it
// can't see that any more.
func (c *clientConn) startWatch() chan error {
	c.setReadDeadline(time.Time{})
	done := make(chan error, 1)
	go func() { done <- c.Watch() }()
	return done
}

// uploadStopped reports whether an upload has ended because nobody wants more of it: the client has not gone.
func uploadStopped(err error) bool {
	return errors.Is(err, upstream.ErrUploadStopped) || errors.Is(err, io.ErrClosedPipe)
}

// admit hands a request to the decisions. One over a bound of this machine, of connections or memory, is shed: rejected
// without the decisions. The owner calls it.
func (p *Proxy) admit(req *request, info balance.RequestInfo, shed bool) {
	if shed {
		p.counters.Requests++
		p.counters.ShedBounds++
		p.respond(req, balance.Rejected, p.bootstrap.MaxRetryAfter)
		return
	}
	// Attempts of two requests of one id would look like one that runs twice, and either could get the other's response.
	if p.requests.openIDs[req.id] {
		p.counters.BadRequests++
		req.answered = true
		req.response <- response{status: http1.StatusConflict, body: []byte("X-Trace-Id is in use\n")}
		return
	}
	if !p.acquireQuota(req) { // a request over its limit must cost nothing more
		return
	}
	// Its last byte, or this call, may have come after the order to stop.
	info.Deadline = p.shutdown.bound(info.Deadline, p.clock)
	req.deadline = p.shutdown.bound(req.deadline, p.clock)
	p.requests.add(req)
	p.counters.Requests++
	req.pool.inFlight++
	req.pool.admitted++
	info.Ref = req.ref
	req.timer.call = func() { p.requestTimerFired(req) }
	p.scheduleBackstop(req)
	p.decide(req.pool, func(now float64) *balance.Actions {
		handle, actions := req.pool.decisions.RequestArrived(now, info, cmp.Or(req.traceID, req.id))
		req.handle = handle
		return actions
	})
}

// requestQuota is what a request holds of its route's limits and its pool's capacity.
type requestQuota struct {
	limits      *limits.Limits
	keys        []limits.LimitKey
	permit      limits.Permit
	route       string
	routeNumber int                 // in the pool's fair limiter
	fairLimiter *limits.FairLimiter // of which it holds a place; nil: none
}

// acquireQuota takes a request through its limits and its pool's capacity, and has the pool that serves take it. Where
// it does not pass, it is rejected at once, with the time to retry if that is known.
func (p *Proxy) acquireQuota(req *request) bool {
	if req.retryRule == nil { // the platform's
		return true
	}
	if req.pool.retired { // it is not told of drains any more
		p.rejectBeforeDecision(req, response{status: http1.StatusServiceUnavailable, body: []byte("its pool has gone\n")})
		return false
	}
	quota := &req.quota
	if len(quota.keys) > 0 {
		permit, rejection := quota.limits.Acquire(p.now(), quota.keys)
		if rejection != nil {
			p.rejectBeforeDecision(req, response{
				status:     http1.StatusTooManyRequests,
				retryAfter: math.Ceil(rejection.RetryAfter), // Retry-After has whole seconds, and not less than it is
				body:       []byte("over a limit\n"),
			})
			return false
		}
		quota.permit = permit
	}
	if limiter := req.pool.fairLimiter; limiter != nil {
		quota.routeNumber = req.pool.routeNumbers[quota.route]
		if !limiter.Acquire(p.now(), quota.routeNumber) {
			quota.limits.Release(&quota.permit)
			p.rejectBeforeDecision(req, response{status: http1.StatusServiceUnavailable, body: []byte("the pool is full\n")})
			return false
		}
		quota.fairLimiter = limiter
	}
	req.pool = req.pool.activePool(p.now())
	return true
}

// rejectBeforeDecision rejects a request that the decisions never saw.
func (p *Proxy) rejectBeforeDecision(req *request, resp response) {
	p.counters.Requests++
	p.counters.Rejected++
	req.answered = true
	req.response <- resp
}

// releaseQuota returns what a request holds.
func (req *request) releaseQuota() {
	if req.retryRule == nil {
		return
	}
	quota := &req.quota
	quota.limits.Release(&quota.permit)
	if quota.fairLimiter != nil {
		quota.fairLimiter.Release(quota.routeNumber)
		quota.fairLimiter = nil
	}
}
