package balance

const (
	overdueMultiple = 1.5 // of the class's quantile of latencies
	overdueQuantile = 0.9
)

// overdueAge is the age in seconds at which an attempt of this request is overdue.
func (b *Balancer) overdueAge(r *Request) float64 {
	quantile := r.class.latencies.Quantile(overdueQuantile, r.class.LatencyObjective/2)
	return overdueMultiple*quantile*max(r.relativeWork, 1) + b.process.localDelay
}

// overdue reports whether an attempt became overdue and was not counted so far.
func (b *Balancer) overdue(r *Request, a *attempt) bool {
	return a.inFlight && !a.overdue && !(b.now < a.sentAt+b.overdueAge(r)-timerTolerance)
}

// recordOverdue counts an overdue attempt as failed: else a server that hangs would be known only at the deadline. It
// takes no capacity any more, since a class that hangs at a server would leave the others none; but where the limit is
// too small to hold back an attempt, only the sum of all does, and overdue attempts have to count in it.
func (b *Balancer) recordOverdue(r *Request, a *attempt) {
	a.overdue = true
	if a.server.limit.value >= minBindingLimit {
		b.release(a)
	}
	b.recordFailed(r, a)
}

// hedge sends another attempt beside an overdue one, where there is capacity to spare: an attempt that was lost on its
// way is never answered, at whatever server.
func (b *Balancer) hedge(r *Request) {
	s, _ := b.selectServer(r)
	if s == nil || !b.deployment.HedgingAllowed {
		return
	}
	if float64(max(b.concurrency.inFlight, 1)) < spareCapacityShare*b.concurrency.capacity {
		b.send(r, s)
	}
}
