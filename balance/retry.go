package balance

const (
	maxLostAttempts   = 2    // attempts of a request that failed where they may have run: it may be at fault itself
	dedupWindowMargin = 0.01 // s before a deduplication window closes, for the way to the server
)

// continueRequest decides what becomes of a request after an attempt has ended.
func (b *Balancer) continueRequest(r *Request, outcome Outcome, over bool) {
	switch {
	case r.over:
	case over:
		b.finish(r, noAttempt)
	case r.inFlight > 0: // another attempt may still answer
	case outcome == InvalidRequest: // sent on, it would set back each server in turn
		b.addAction(RequestAction{Ref: r.Ref, Reply: Failed})
		b.finish(r, noAttempt)
	case r.lostAttempts() >= maxLostAttempts: // a request that crashes servers would crash one after the other
		b.answerUnserved(r)
	default: // selectServer sends it only where a repeat is harmless
		b.enqueue(r)
	}
}

// repeatHarmless reports whether a request may be sent to a server after an attempt that may have run.
func (b *Balancer) repeatHarmless(r *Request, a *attempt, s *server) bool {
	switch r.class.Idempotency {
	case Idempotent:
		return true
	case NonIdempotent:
		return false
	}
	return !(b.now > a.sentAt+r.class.DedupWindow-dedupWindowMargin) && r.class.DedupScope.shared(a, s)
}

// shared reports whether a server drops what repeats an attempt.
func (d DedupScope) shared(a *attempt, s *server) bool {
	switch d {
	case DedupZone:
		return s.Zone == a.zone
	case DedupPod:
		return s.Pod == a.pod
	}
	return true
}

// answerUnserved answers a request at once: rejected where a retry by the client is harmless, else failed.
func (b *Balancer) answerUnserved(r *Request) {
	reply, retryAfter := Rejected, min(r.class.LatencyObjective, b.deployment.MaxRetryAfter)
	for i := range r.attempts {
		if !b.clientRetryHarmless(r, &r.attempts[i], retryAfter) {
			reply = Failed
		}
	}
	b.addAction(RequestAction{Ref: r.Ref, Reply: reply, RetryAfter: retryAfter})
	b.finish(r, noAttempt)
}

// clientRetryHarmless reports whether a retry after some seconds cannot repeat the effect of an attempt.
func (b *Balancer) clientRetryHarmless(r *Request, a *attempt, retryAfter float64) bool {
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
