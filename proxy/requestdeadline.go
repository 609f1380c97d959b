package proxy

import (
	"time"

	"lockloom/balance"
	"lockloom/internal/invariant"
	"lockloom/internal/upstream"
)

// The deadline of a request: how it is set, and what happens when it comes. The owner calls all functions here.

// backstopMarginSeconds is how long before a request's deadline the backstop timer fails it if it has no response yet.
const backstopMarginSeconds = 0.002

// If a server has not accepted a streamed body, its attempt ends by this margin before the client's deadline:
// blockedUploadMarginFraction of the client's wait, at most maxBlockedUploadMargin. The end of the attempt proves that
// the request never ran, so it must be recorded before the request is answered, also on a busy core.
const (
	blockedUploadMarginFraction = 0.25
	maxBlockedUploadMargin      = 150 * time.Millisecond
)

// scheduleBackstop schedules the request's timer for shortly before its deadline, see requestTimerFired.
func (p *Proxy) scheduleBackstop(req *request) {
	p.loop.timers.add(&req.timer, req.deadline-backstopMarginSeconds)
}

// bodyReceived records when the last byte of a streamed body was received. The client's wait counts from then, so this
// sets the request's deadline; the balancer still has that of maxUploadDuration.
func (p *Proxy) bodyReceived(req *request, at time.Time) {
	if req.stream.receivedAt != 0 {
		return
	}
	req.stream.receivedAt = p.toUnixSeconds(at)
	req.deadline = p.shutdown.bound(req.stream.receivedAt+req.stream.clientWait, p.clock)
	req.deadlineLimited = true
	if req.timer.call != nil {
		p.scheduleBackstop(req)
	}
}

// uploadBlocked records that the last byte of a streamed body was received although its server has not accepted the
// bytes before. The attempt times out in the client's time.
func (p *Proxy) uploadBlocked(req *request, receivedAt time.Time) {
	if req.answered {
		return
	}
	p.bodyReceived(req, receivedAt)
	for _, att := range req.attempts {
		p.limitUpload(req, att)
	}
}

// limitUpload makes an attempt whose streamed body was received before its server accepted it time out in the client's
// time. If there is none to send the body, the backstop answers the request.
func (p *Proxy) limitUpload(req *request, att *attempt) {
	if req.stream.receivedAt == 0 || !att.started || att.ended {
		return
	}
	deadline := p.fromUnixSeconds(req.deadline)
	margin := min(maxBlockedUploadMargin, seconds(req.stream.clientWait*blockedUploadMarginFraction))
	p.upstream.LimitUpload(&att.exchange, upstream.UploadLimits{
		SentBy:      deadline.Add(-margin),
		RespondedBy: deadline.Add(-uploadResponseMargin),
	})
}

// bodyCompleted records that a streamed body was received and accepted to be sent completely, and when.
func (p *Proxy) bodyCompleted(req *request, receivedAt, completedAt time.Time) {
	if req.answered {
		return
	}
	p.bodyReceived(req, receivedAt)
	req.stream.completedAt = p.toUnixSeconds(completedAt)
	if req.handle != nil && !req.released {
		p.decideRequest(req, req.handle.BodyCompleted)
	}
}

// requestTimerFired is called at the times that the balancer or scheduleBackstop has set. It calls the balancer, and
// answers the request if no more than backstopMarginSeconds is left until its deadline.
func (p *Proxy) requestTimerFired(req *request) {
	// While the client still sends the body, the attempt is not overdue and its server is not at fault.
	uploading := req.stream.upload != nil && req.stream.upload.Claimed() && req.stream.completedAt == 0
	if !req.released && !uploading {
		p.decideRequest(req, req.handle.TimerFired)
	}
	switch {
	case p.now() < req.deadline-backstopMarginSeconds:
	case req.deadlineLimited && !req.answered:
		p.abandonRequest(req)
	default:
		p.failUnanswered(req)
	}
}

// limitDeadlines shortens all deadlines of requests in flight that end after the given time, in seconds since 1970,
// because this process may be killed then.
func (p *Proxy) limitDeadlines(deadline float64) {
	for _, req := range p.requests.byRef {
		if req != nil && !req.answered && req.deadline > deadline {
			req.deadline, req.deadlineLimited = deadline, true
			p.scheduleBackstop(req)
		}
	}
}

// abandonRequest answers a request at a deadline that the balancer does not know: as rejected if a retry is safe, else
// as failed.
func (p *Proxy) abandonRequest(req *request) {
	reply := balance.Rejected
	if !req.safeToRetry(p.now() + p.bootstrap.MaxRetryAfter) {
		reply = balance.Failed
	}
	p.respond(req, reply, p.bootstrap.MaxRetryAfter)
	p.decideRequest(req, req.handle.ClientDisconnected)
}

// failUnanswered fails a request that the balancer has not answered in time: every request must get a response.
func (p *Proxy) failUnanswered(req *request) {
	if !invariant.Holds(req.answered, "every request is answered before its deadline") {
		p.respond(req, balance.Failed, 0)
	}
}
