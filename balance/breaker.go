package balance

import (
	"slices"

	"lockloom/internal/pcg"
)

const (
	breakerWindow        = 15.0 // s; older counts say little of now
	classBreakerWindow   = 5.0  // s
	breakerCooldown      = 5.0  // s that a server is paused, at least
	cooldownJitter       = 0.5  // of breakerCooldown, so that pauses of many servers do not end together
	minBreakerResults    = 5    // results; a breaker opens only after more of them
	maxFailureShare      = 0.5  // of the results of a window
	maxReportedResults   = 50   // results of one server that count in a report
	sharedFailureServers = 4    // one in so many servers may fail what the others do not
)

// breaker pauses a server, or one class at a server, after too many failures.
type breaker struct {
	tracked     bool // a failure began a window
	paused      bool
	failures    int // of the window
	results     int
	windowStart float64
	lastResult  float64
	cooldown    float64 // s, from lastResult on
	inFlight    int     // attempts
}

// admits reports whether an attempt may be sent: always, or as a trial after the cooldown, one at a time.
func (br *breaker) admits(now float64) bool {
	return !br.paused || now >= br.lastResult+br.cooldown && br.inFlight == 0
}

// onTrial reports whether the breaker is paused, but admits an attempt.
func (br *breaker) onTrial(now float64) bool { return br.paused && br.admits(now) }

// record counts a result; sharedFailures is the share of failures that servers have in common. Where all fail alike,
// pausing them all helps nobody, so the bar rises with that share.
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
	bar := maxFailureShare + (1-maxFailureShare)*sharedFailures
	if br.results > minBreakerResults && float64(br.failures)/float64(br.results) > bar {
		br.paused = true
		br.cooldown = breakerCooldown * (1 + cooldownJitter*random.Float64())
	}
}

// recentFailureShare is the share of failures in a window that is not too old.
func (br *breaker) recentFailureShare(now float64) float64 {
	if br.results > 0 && now-br.lastResult < breakerWindow {
		return float64(br.failures) / float64(br.results)
	}
	return 0
}

// failureStats are the failures of all servers.
type failureStats struct {
	share  float64   // of all results, smoothed
	shares []float64 // scratch of sharedFailures
}

// recordResult counts a result in the breakers of a server. A server that fails one class serves the others well, so
// its own breaker never opens for that; the breaker of the class there does.
func (b *Balancer) recordResult(class int, s *server, ok bool) {
	b.failures.share -= meanSmoothing * b.failures.share
	if !ok {
		b.failures.share += meanSmoothing
	}
	s.breaker.record(b.now, ok, breakerWindow, b.failures.share, &b.random)
	s.classBreakers[class].record(b.now, ok, classBreakerWindow, b.sharedFailures(class, ok), &b.random)
}

// sharedFailures is the share of failures in a class that three servers in four exceed: what only some fail, up to that
// many, is not shared. A success is held to no bar and needs none.
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
	return shares[len(shares)/sharedFailureServers]
}

// ReportedOutcomes are the attempts of a class that others sent to a server, by how they ended.
type ReportedOutcomes struct{ Endpoint, Class, Succeeded, Failed int }

// counted is how many of the results count: more would tell no more and take long.
func (o *ReportedOutcomes) counted() int { return min(o.Succeeded+o.Failed, maxReportedResults) }

// failuresUpTo is how many of the first n counted results are failures.
func (o *ReportedOutcomes) failuresUpTo(n int) int {
	total, counted := o.Succeeded+o.Failed, o.counted()
	failed := (o.Failed*counted + total/2) / total
	return n * failed / counted
}

// OutcomesReported takes in the attempts that others made since their last report. The failures of one server in a row,
// or all its results before those of another, would pause a server that mostly succeeds, or raise the bar for all; so
// the results of each server are spread evenly over the report, a failure last.
func (b *Balancer) OutcomesReported(now float64, all []ReportedOutcomes) {
	b.begin(now)
	rounds := 0
	for i := range all {
		rounds = max(rounds, all[i].counted())
	}
	for round := 1; round <= rounds; round++ {
		for i := range all {
			b.recordReported(&all[i], round, rounds)
		}
	}
}

// recordReported takes in the result of a server that falls into a round, if one does.
func (b *Balancer) recordReported(o *ReportedOutcomes, round, rounds int) {
	counted := o.counted()
	last := round * counted / rounds
	if last == (round-1)*counted/rounds || !b.HasEndpoint(o.Endpoint) {
		return
	}
	failures := o.failuresUpTo(last) - o.failuresUpTo(last-1)
	s := b.servers[o.Endpoint]
	b.recordResult(o.Class, s, failures == 0)
	b.learnPayoff(s, o.Class, 1-float64(failures), b.now, resultNoise)
}

// Availability reports whether any listed server is admitted without a breaker, and whether one is for a trial only.
func (b *Balancer) Availability(now float64) (any, trial bool) {
	b.begin(now)
	for _, s := range b.servers {
		if s != nil && s.State == Ready {
			any = any || !s.breaker.paused
			trial = trial || s.breaker.onTrial(b.now)
		}
	}
	return any, trial
}
