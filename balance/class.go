package balance

import (
	"cmp"

	"lockloom/internal/histogram"
)

const (
	meanSmoothing     = 0.02  // part of a mean that one value replaces
	baseRiseSmoothing = 0.002 // the same where the base latency rises: it follows a slower fleet, not a crowd
	maxLatencyGuess   = 1.0   // s, for a class without answers so far
	minRelativeWork   = 0.5   // that a latency is divided or multiplied by
)

// classState is what was learned of a class.
type classState struct {
	Class
	latencies         histogram.Times  // s, for usual work
	unloadedLatencies histogram.Times  // the same divided by the attempts that shared a core of the server
	meanWork          float64          // s, of RequestInfo.ExpectedWork
	baseLatency       float64          // s, the median while little waits
	allLatencies      *histogram.Times // of all classes
}

// relativeWork returns a request's expected work over the usual of its class, and learns from it.
func (c *classState) relativeWork(expected float64) float64 {
	relative := 1.0
	if expected > 0 {
		c.meanWork = cmp.Or(c.meanWork, expected)
		relative = expected / c.meanWork
		c.meanWork += meanSmoothing * (expected - c.meanWork)
	}
	return relative
}

// medianLatency is what an answer of this class usually takes. While too little is known it is a quarter of the latency
// objective, or the median of all classes: where the objective is long, the first request would count as slow beyond
// all others and wait for as long.
func (c *classState) medianLatency() float64 {
	guess := c.LatencyObjective / 4
	if guess > maxLatencyGuess {
		guess = min(c.allLatencies.Quantile(0.5, guess), guess)
	}
	return c.latencies.Quantile(0.5, guess)
}

// medianUnloadedLatency is the same at a server that does nothing else.
func (c *classState) medianUnloadedLatency() float64 {
	return c.unloadedLatencies.Quantile(0.5, c.LatencyObjective/4)
}

// learnBaseLatency follows the unloaded median: down soon, up slowly. The mere minimum would stay with the luckiest
// answers of the start.
func (c *classState) learnBaseLatency(median float64) {
	if median > c.baseLatency {
		c.baseLatency += baseRiseSmoothing * (median - c.baseLatency)
	} else {
		c.baseLatency += meanSmoothing * (median - c.baseLatency)
	}
}

// expectedLatency is what an answer to this request usually takes.
func (r *Request) expectedLatency() float64 {
	return r.class.medianLatency() * max(r.relativeWork, minRelativeWork)
}

// expectedWork is what an answer to this request usually takes where little waits. The base latency follows a fall of
// the median slowly, so the lower of both counts.
func (r *Request) expectedWork() float64 {
	return min(r.class.baseLatency, r.class.medianLatency()) * max(r.relativeWork, minRelativeWork)
}
