package balance

import (
	"slices"

	"lockloom/internal/pcg"
)

const (
	breakerWindow        = 15.0 // s, length of the window of a server's breaker; older results say little about its state
	classBreakerWindow   = 5.0  // s, length of the window of the breaker for one class at a server
	breakerCooldown      = 5.0  // s, the minimum time from the last result until a paused server gets a trial
	cooldownJitter       = 0.5  // largest share of breakerCooldown added at random; keeps servers from returning together
	minBreakerResults    = 5    // a breaker opens only if its window has more results than this
	maxFailureShare      = 0.5  // a breaker opens if a greater share of its window's results failed; see breaker.record
	maxReportedResults   = 50   // largest number of results that one ReportedOutcomes adds to the breakers
	sharedFailureDivisor = 4    // 1/sharedFailureDivisor is the quantile of failure shares that sharedFailures returns
)

// breaker is a circuit breaker that pauses a server, or one class at a server, after too many failures.
type breaker struct {
	tracked     bool // results are counted, which begins with the first failure
	paused      bool // the breaker is open or, after the cooldown, half-open
	failures    int  // failed results in the window
	results     int  // all results in the window
	windowStart float64
	lastResult  float64 // time of the last result
	cooldown    float64 // s after lastResult, during which no attempt is admitted while paused
	inFlight    int     // attempts in flight
}

// admits reports whether an attempt may be sent: always while the breaker is closed, and after the cooldown one at a
// time, as a trial.
func (br *breaker) admits(now float64) bool {
	return !br.paused || now >= br.lastResult+br.cooldown && br.inFlight == 0
}

// onTrial reports whether the breaker is paused, but admits one attempt as a trial now.
func (br *breaker) onTrial(now float64) bool { return br.paused && br.admits(now) }

// record counts a result and opens or closes the breaker. sharedFailures is the share of failures that the servers have
// in common. It raises the threshold: if all servers fail alike, pausing them all would leave none to send to.
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
	share  float64   // smoothed share of failures among the results of all servers
	shares []float64 // buffer that sharedFailures reuses
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

// sharedFailures returns the first quartile of the servers' failure shares in a class: at least three servers in four
// have this share of failures or a greater one. It returns 0 for a success, which is not compared with a threshold.
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

// counted returns the number of results to record. More than maxReportedResults would add no information, but take long
// to record.
func (o *ReportedOutcomes) counted() int { return min(o.Succeeded+o.Failed, maxReportedResults) }

// failuresUpTo returns the number of failures among the first n recorded results, over which they are spread evenly.
func (o *ReportedOutcomes) failuresUpTo(n int) int {
	total, counted := o.Succeeded+o.Failed, o.counted()
	failed := (o.Failed*counted + total/2) / total
	return n * failed / counted
}

// OutcomesReported records the outcomes of attempts that other clients made since their last report. To record all
// failures of a server in a row would pause a server that mostly succeeds, and to record all results of one server
// before those of the next would raise the thresholds of all. So the results of all servers are recorded in turns, and
// the failures of each server are spread evenly over its results, with a failure last.
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

// recordReported records the next result of one ReportedOutcomes, if one falls into this round.
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
