package proxy

import (
	"cmp"
	"math"

	"lockloom/balance"
	"lockloom/internal/http1"
	"lockloom/limits"
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

// admit passes a request to the balancer. With shed set, it rejects the request without the balancer: its connection is
// over maxServed, or the process admits no more requests. It is called by the owner.
func (p *Proxy) admit(req *request, info balance.RequestInfo, shed bool) {
	defer p.rejectAfterPanic(req)
	if shed {
		p.countShed()
		p.respond(req, balance.Rejected, p.bootstrap.MaxRetryAfter)
		return
	}
	// To the servers, two requests with one id would look like one request that runs twice, and either could get the
	// other's response. The same holds for one whose client left and sends it again.
	var allowed bool
	if allowed, req.repeatBy = p.requests.ids.mayRun(req.id, req.class, p.now()); !allowed {
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
	p.shareOpenID(req)
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

// rejectAfterPanic rejects a request whose admission ended in a panic, and gives back its quota. Nothing was sent for
// it, since the balancer's actions were not carried out, and its timer cannot answer it without a handle. The request
// keeps its ref and its id: the balancer may have registered it.
func (p *Proxy) rejectAfterPanic(req *request) {
	if req.answered || req.handle != nil {
		return
	}
	p.loop.timers.cancel(&req.timer)
	req.releaseQuota()
	p.respond(req, balance.Rejected, p.bootstrap.MaxRetryAfter)
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
		if !limiter.Acquire(p.now(), quota.route) {
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
		quota.fairLimiter.Release(quota.route)
		quota.fairLimiter = nil
	}
}
