package balance

import (
	"slices"

	"lockloom/internal/pcg"
)

const (
	breakerWindow        = 15.0 // s; older counts say little about the present state
	classBreakerWindow   = 5.0  // s, for the breaker of one class at a server
	breakerCooldown      = 5.0  // s, the minimum that a server is paused
	cooldownJitter       = 0.5  // of breakerCooldown, added at random, so that many servers are not readmitted at once
	minBreakerResults    = 5    // results; a breaker opens only after more of them
	maxFailureShare      = 0.5  // of the results of a window; a breaker opens above it
	maxReportedResults   = 50   // results of one server that count in a report
	sharedFailureDivisor = 4    // its reciprocal is the quantile of the servers' failure shares that counts as shared
)

// breaker is a circuit breaker that pauses a server, or one class at a server, after too many failures.
type breaker struct {
	tracked     bool // there was a failure, so results are counted
	paused      bool // open, or half-open after the cooldown
	failures    int  // in the window
	results     int  // in the window, failures included
	windowStart float64
	lastResult  float64 // time of the last result
	cooldown    float64 // s, from lastResult on
	inFlight    int     // attempts
}

// admits reports whether an attempt may be sent: always while the breaker is closed, and after the cooldown one at a
// time, as a trial.
func (br *breaker) admits(now float64) bool {
	return !br.paused || now >= br.lastResult+br.cooldown && br.inFlight == 0
}

// onTrial reports whether the breaker is paused, but admits an attempt as a trial.
func (br *breaker) onTrial(now float64) bool { return br.paused && br.admits(now) }

// record counts a result and opens or closes the breaker. sharedFailures is the share of failures that servers have in
// common. The threshold rises with it, since pausing all servers that fail alike would leave none to send to.
func (br *breaker) record(now float64, ok bool, window, sharedFailures float64, random *pcg.Rand) {
	if ok && !br.tracked {
		return
	}
	if !br.tracked || now-br.windowStart > window {
		br.tracked, br.failures, br.results, br.windowStart = true, 0, 0, now
	}
	br.results++
	br.lastResult = now
	if ok {
		br.paused = false
		return
	}
	br.failures++
	threshold := maxFailureShare + (1-maxFailureShare)*sharedFailures
	if br.results > minBreakerResults && float64(br.failures)/float64(br.results) > threshold {
		br.paused = true
		br.cooldown = breakerCooldown * (1 + cooldownJitter*random.Float64())
	}
}

// recentFailureShare is the share of failures in the window, or 0 if the last result is older than breakerWindow.
func (br *breaker) recentFailureShare(now float64) float64 {
	if br.results > 0 && now-br.lastResult < breakerWindow {
		return float64(br.failures) / float64(br.results)
	}
	return 0
}

// failureStats describes the failures of all servers.
type failureStats struct {
	share  float64   // of failures in the results of all servers, smoothed
	shares []float64 // buffer of sharedFailures, reused
}

// recordResult counts a result in two breakers: that of the server and that of the class at this server. A server may
// fail one class and serve the others well, which opens only the breaker of that class.
func (b *Balancer) recordResult(class int, s *server, ok bool) {
	b.failures.share -= meanSmoothing * b.failures.share
	if !ok {
		b.failures.share += meanSmoothing
	}
	s.breaker.record(b.now, ok, breakerWindow, b.failures.share, &b.random)
	s.classBreakers[class].record(b.now, ok, classBreakerWindow, b.sharedFailures(class, ok), &b.random)
}

// sharedFailures is the first quartile of the servers' failure shares in a class: failures count as shared if more than
// three servers in four have them. It is 0 for a success, for which the breaker has no threshold.
func (b *Balancer) sharedFailures(class int, ok bool) float64 {
	if ok {
		return 0
	}
	shares := b.failures.shares[:0]
	for _, s := range b.servers {
		if s != nil && s.State == Ready {
			shares = append(shares, s.classBreakers[class].recentFailureShare(b.now))
		}
	}
	b.failures.shares = shares
	if len(shares) == 0 {
		return 0
	}
	slices.Sort(shares)
	return shares[len(shares)/sharedFailureDivisor]
}

// ReportedOutcomes counts the attempts of a class that other clients sent to a server, by outcome.
type ReportedOutcomes struct{ Endpoint, Class, Succeeded, Failed int }

// counted is the number of results that count. More would add no information, but take long to record.
func (o *ReportedOutcomes) counted() int { return min(o.Succeeded+o.Failed, maxReportedResults) }

// failuresUpTo returns the number of failures among the first n counted results.
func (o *ReportedOutcomes) failuresUpTo(n int) int {
	total, counted := o.Succeeded+o.Failed, o.counted()
	failed := (o.Failed*counted + total/2) / total
	return n * failed / counted
}

// OutcomesReported records the attempts that other clients made since their last report. The failures of one server
// recorded in a row would pause a server that mostly succeeds, and all results of one server before those of the next
// would raise the thresholds of all. So the results of each server are spread evenly over the report, a failure
// last.
func (b *Balancer) OutcomesReported(now float64, outcomes []ReportedOutcomes) {
	b.beginCall(now)
	rounds := 0
	for i := range outcomes {
		rounds = max(rounds, outcomes[i].counted())
	}
	for round := 1; round <= rounds; round++ {
		for i := range outcomes {
			b.recordReported(&outcomes[i], round, rounds)
		}
	}
}

// recordReported records the reported result that falls into a round, if one does.
func (b *Balancer) recordReported(o *ReportedOutcomes, round, rounds int) {
	counted := o.counted()
	last := round * counted / rounds
	if last == (round-1)*counted/rounds || !b.HasEndpoint(o.Endpoint) {
		return
	}
	failures := o.failuresUpTo(last) - o.failuresUpTo(last-1)
	s := b.servers[o.Endpoint]
	b.recordResult(o.Class, s, failures == 0)
	b.learnPayoff(s, o.Class, 1-float64(failures), b.now, resultVariance)
}

// Availability reports whether any listed server is not paused, and whether any paused one admits a trial.
func (b *Balancer) Availability(now float64) (admitted, trial bool) {
	b.beginCall(now)
	for _, s := range b.servers {
		if s != nil && s.State == Ready {
			admitted = admitted || !s.breaker.paused
			trial = trial || s.breaker.onTrial(b.now)
		}
	}
	return admitted, trial
}
