package balance

const (
	maxLostAttempts   = 2    // failed attempts that may have run; a request with as many may be the cause, so retries end
	dedupWindowMargin = 0.01 // s before a deduplication window ends, when retries stop: the network latency counts
)

// continueRequest answers, retries or finishes a request after one of its attempts has ended.
func (b *Balancer) continueRequest(r *Request, outcome Outcome, finished bool) {
	switch {
	case r.finished:
	case finished:
		b.finish(r, noAttempt)
	case r.inFlight > 0: // another attempt may still answer
	case outcome == InvalidRequest: // other servers would find it invalid, too
		b.addAction(RequestAction{Ref: r.Ref, Reply: Failed})
		b.finish(r, noAttempt)
	case r.lostAttempts() >= maxLostAttempts: // if the request crashes servers, retries would crash one after another
		b.answerUnserved(r)
	default: // selectServer selects only servers at which a retry is safe
		b.enqueue(r)
	}
}

// retrySafe reports whether a request may be sent to server s after attempt a, which may have run.
func (b *Balancer) retrySafe(r *Request, a *attempt, s *server) bool {
	switch r.class.Idempotency {
	case Idempotent:
		return true
	case NonIdempotent:
		return false
	}
	return !(b.now > a.sentAt+r.class.DedupWindow-dedupWindowMargin) && r.class.DedupScope.covers(a, s)
}

// covers reports whether server s is in the deduplication group of attempt a, so that it drops a repeat of the attempt.
func (d DedupScope) covers(a *attempt, s *server) bool {
	switch d {
	case DedupZone:
		return s.Zone == a.zone
	case DedupPod:
		return s.Pod == a.pod
	}
	return true
}

// answerUnserved answers a request that no server has served: Rejected if a retry by the client is safe, else Failed.
func (b *Balancer) answerUnserved(r *Request) {
	reply, retryAfter := Rejected, min(r.class.LatencyObjective, b.deployment.MaxRetryAfter)
	for i := range r.attempts {
		if !b.clientRetrySafe(r, &r.attempts[i], retryAfter) {
			reply = Failed
		}
	}
	b.addAction(RequestAction{Ref: r.Ref, Reply: reply, RetryAfter: retryAfter})
	b.finish(r, noAttempt)
}

// clientRetrySafe reports whether a retry by the client after retryAfter seconds cannot repeat the effect of an
// attempt.
func (b *Balancer) clientRetrySafe(r *Request, a *attempt, retryAfter float64) bool {
	if a.neverRan {
		return true
	}
	switch r.class.Idempotency {
	case NonIdempotent:
		return false
	case Keyed:
		return r.class.DedupScope == DedupAll && b.now+retryAfter < a.sentAt+r.class.DedupWindow
	}
	return true
}
