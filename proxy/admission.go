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
	// clientWatchDelay is how long a request waits for its response before the watch for a disconnected client starts.
	clientWatchDelay = 10 * time.Millisecond
	// clientCheckInterval is the interval between socket queries for a client whose disconnect a read cannot detect.
	clientCheckInterval = 50 * time.Millisecond
)

// admission admits one request: first to this core (overload queue), then to the balancer. It belongs to the
// connection's goroutine. The zero value with conn set is ready for use.
type admission struct {
	conn         *clientConn
	occupiesCore bool     // the request counts against requestsPerCore, and end, not the owner, calls requestLeftCore
	served       *request // the request that was passed to the owner; nil: none
}

// awaitAdmission waits until the overload queue admits or rejects the request, and reports whether it is admitted.
func (a *admission) awaitAdmission(class *balance.Class, tenant, bodyBytes int) bool {
	c := a.conn
	admitted := c.proxy.overload.awaitAdmission(c, class, tenant, bodyBytes)
	a.occupiesCore = true
	return admitted
}

// serve passes a request to the owner, which passes it to the balancer, and waits for the response. It returns an error
// if the client has gone or the rest of a streamed body cannot be read.
func (a *admission) serve(req *request, info balance.RequestInfo) (response, error) {
	c := a.conn
	p := c.proxy
	req.client = c
	if req.stream.upload != nil {
		c.startUpload(req)
	}
	c.memory.settle(req.countedBytes())
	shed := c.overflow || !p.admitsRequests()
	a.occupiesCore, a.served = false, req
	p.post(func() {
		defer p.requestLeftCore() // also after a panic, which would otherwise reduce the core's capacity for good
		p.admit(req, info, shed)
	})
	resp, err := c.awaitResponse(req)
	if err != nil {
		c.abandoned.Store(true) // set directly, since the owner may run clientDisconnected late
		p.post(func() { p.clientDisconnected(req) })
	}
	return resp, err
}

// end releases the memory reserved for the request, once no attempt needs it. If the request was not passed to the
// owner, it also stops counting against requestsPerCore.
func (a *admission) end() {
	if reserved := a.conn.memory.take(); reserved > 0 {
		a.release(reserved)
	}
	if a.occupiesCore {
		a.conn.proxy.requestLeftCore()
	}
}

func (a *admission) release(reserved int64) {
	p, req := a.conn.proxy, a.served
	if req == nil {
		p.memory.release(reserved)
		return
	}
	p.post(func() {
		if req.handle == nil || req.released {
			p.memory.release(reserved)
			return
		}
		req.reservedBytes = reserved
	})
}

// awaitResponse waits for a request's response, and returns an error if the client disconnects before. While a body is
// streamed, its reader detects a disconnect. Otherwise a read watches the connection, but only after clientWatchDelay,
// since a watch costs a goroutine and two scheduler switches. Bytes that the client sends before its response stay in
// the buffer. When the buffer is full, or an upload reads or has stopped reading, a read cannot detect the disconnect,
// and the socket is queried every clientCheckInterval. While a body waits for its server, it is also checked for its
// end.
func (c *clientConn) awaitResponse(req *request) (response, error) {
	if c.watchTimer == nil {
		c.watchTimer = time.NewTimer(clientWatchDelay)
	} else {
		c.watchTimer.Reset(clientWatchDelay)
	}
	defer c.watchTimer.Stop()
	uploadDone := c.uploadDone
	var watchDone chan error
	unreadable := c.uploadDone != nil // a watch cannot detect a disconnect
	upload := newUploadWatch(req)
	for {
		select {
		case resp := <-req.response:
			if watchDone != nil {
				c.setReadDeadline(pastDeadline) // ends the watch
				<-watchDone                     //nolint:errcheck // there is a response, whatever the watch has read
			}
			if resp.notServed {
				if err := c.takeBodyError(); err != nil {
					return response{}, err
				}
			}
			return resp, nil
		case err := <-uploadDone:
			stopped := uploadStopped(err)
			upload.ended = true
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
			c.watchTimer.Reset(upload.check())
		}
	}
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
	done := make(chan error, 1)
	go func() { done <- c.WaitForClose() }()
	return done
}

// uploadStopped reports whether an upload has ended because the proxy or the server stopped reading it, not because of
// the client.
func uploadStopped(err error) bool {
	return errors.Is(err, upstream.ErrUploadStopped) || errors.Is(err, io.ErrClosedPipe)
}

// admit passes a request to the balancer. With shed set, it rejects the request without the balancer: its connection is
// over maxServed, or the process admits no more requests. It is called by the owner.
func (p *Proxy) admit(req *request, info balance.RequestInfo, shed bool) {
	if shed {
		p.countShed()
		p.respond(req, balance.Rejected, p.bootstrap.MaxRetryAfter)
		return
	}
	// To the servers, two requests with one id would look like one request that runs twice, and either could get the
	// other's response.
	if p.requests.openIDs[req.id] {
		p.counters.BadRequests++
		req.answered = true
		req.response <- response{status: http1.StatusConflict, body: []byte("X-Trace-Id is in use\n")}
		return
	}
	if !p.acquireQuota(req) { // first, so that a request over a limit costs as little as possible
		return
	}
	// The shutdown may have started after the deadline was computed.
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

// countShed counts a request that is rejected because a limit was reached. It is called by the owner.
func (p *Proxy) countShed() {
	p.counters.Requests++
	p.counters.ShedOverLimit++
}

// requestQuota is a request's part of its route's limits and its pool's capacity.
type requestQuota struct {
	limits      *limits.Limits
	keys        []limits.LimitKey
	permit      limits.Permit       // acquired from limits for keys
	route       string              // name
	routeNumber int                 // number of the route in the pool's fair limiter
	fairLimiter *limits.FairLimiter // the limiter that counts the request; nil: none
}

// acquireQuota acquires a request's limits and its pool's capacity, and sets the pool that serves it, which may be a
// backup. If one of them is exceeded, it rejects the request at once, with Retry-After where that is known, and returns
// false.
func (p *Proxy) acquireQuota(req *request) bool {
	if req.retryRule == nil { // the platform listener has neither
		return true
	}
	if req.pool.retired { // it may no longer receive endpoint updates such as drains
		p.rejectBeforeDecision(req, response{status: http1.StatusServiceUnavailable, body: []byte("its pool has gone\n")})
		return false
	}
	quota := &req.quota
	if len(quota.keys) > 0 {
		permit, rejection := quota.limits.Acquire(p.now(), quota.keys)
		if rejection != nil {
			p.rejectBeforeDecision(req, response{
				status:     http1.StatusTooManyRequests,
				retryAfter: math.Ceil(rejection.RetryAfter), // Retry-After has whole seconds: round up, never down
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

// rejectBeforeDecision rejects a request that was not passed to the balancer.
func (p *Proxy) rejectBeforeDecision(req *request, resp response) {
	p.counters.Requests++
	p.counters.Rejected++
	req.answered = true
	req.response <- resp
}

// releaseQuota releases the request's limits and its pool's capacity.
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
