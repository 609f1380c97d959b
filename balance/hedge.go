package balance

const (
	overdueMultiple = 1.5 // an attempt is overdue at the age of overdueMultiple times the overdueQuantile
	overdueQuantile = 0.9 // quantile of the latencies of the class
)

// overdueAge is the age in seconds at which an attempt of this request is overdue.
func (b *Balancer) overdueAge(r *Request) float64 {
	quantile := r.class.latencies.Quantile(overdueQuantile, r.class.LatencyObjective/2)
	return overdueMultiple*quantile*max(r.relativeWork, 1) + b.process.localDelay
}

// overdue reports whether an attempt in flight is overdue and has not been recorded as overdue before.
func (b *Balancer) overdue(r *Request, a *attempt) bool {
	return a.inFlight && !a.overdue && !(b.now < a.sentAt+b.overdueAge(r)-timerTolerance)
}

// recordOverdue records an overdue attempt as failed: otherwise a server that hangs would be detected only at the
// deadline. It also stops counting the attempt as in flight, so that a class whose attempts hang at a server does not
// use up the server's limit for the other classes. A limit below minBindingLimit is an exception: it acts only
// as part of the sum of all limits, with which all attempts in flight are compared, so overdue ones have to count.
func (b *Balancer) recordOverdue(r *Request, a *attempt) {
	a.overdue = true
	if a.server.limit.value >= minBindingLimit {
		b.release(a)
	}
	b.recordFailed(r, a)
}

// hedge sends another attempt while an overdue one is in flight, if there is spare capacity: an attempt that was lost
// on the network is never answered, however healthy its server is.
func (b *Balancer) hedge(r *Request) {
	s, _ := b.selectServer(r)
	if s == nil || !b.deployment.HedgingAllowed {
		return
	}
	if float64(max(b.concurrency.inFlight, 1)) < spareCapacityShare*b.concurrency.capacity {
		b.send(r, s)
	}
}
