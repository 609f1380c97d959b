package balance

import (
	"cmp"

	"lockloom/internal/histogram"
)

const (
	meanSmoothing     = 0.02  // weight of one value in a smoothed mean
	baseRiseSmoothing = 0.002 // the same for a rising base latency: it has to follow slower servers, but not overload
	maxLatencyGuess   = 1.0   // s; with too few answers, a longer guess is limited to the median of all classes
	minRelativeWork   = 0.5   // the least relative work by which a latency is divided or multiplied
)

// classState is a class and what this balancer has learned about it.
type classState struct {
	Class
	latencies         histogram.Times  // s, scaled to a request of mean work
	unloadedLatencies histogram.Times  // s, the same, divided by the attempts per core that the server had
	meanWork          float64          // s, smoothed mean of RequestInfo.ExpectedWork
	baseLatency       float64          // s, smoothed median of the latency without queueing
	allLatencies      *histogram.Times // of all classes
}

// relativeWork returns a request's expected work divided by the mean of its class, or 1 if it is unknown, and updates
// the mean.
func (c *classState) relativeWork(expected float64) float64 {
	relative := 1.0
	if expected > 0 {
		c.meanWork = cmp.Or(c.meanWork, expected)
		relative = expected / c.meanWork
		c.meanWork += meanSmoothing * (expected - c.meanWork)
	}
	return relative
}

// medianLatency is the median latency of this class for mean work. With too few answers it is a quarter of the latency
// objective or, if that quarter is over maxLatencyGuess, at most the median of all classes: with a long objective, the
// first request of a class would otherwise be expected to take far too long, and be queued although servers are idle.
func (c *classState) medianLatency() float64 {
	guess := c.LatencyObjective / 4
	if guess > maxLatencyGuess {
		guess = min(c.allLatencies.Quantile(0.5, guess), guess)
	}
	return c.latencies.Quantile(0.5, guess)
}

// medianUnloadedLatency is the median latency of this class, for mean work, at a server without other load.
func (c *classState) medianUnloadedLatency() float64 {
	return c.unloadedLatencies.Quantile(0.5, c.LatencyObjective/4)
}

// learnBaseLatency makes the base latency follow the median of unloaded latencies, faster down than up. A plain minimum
// would stay at the fastest answers of the first time after the start.
func (c *classState) learnBaseLatency(median float64) {
	if median > c.baseLatency {
		c.baseLatency += baseRiseSmoothing * (median - c.baseLatency)
	} else {
		c.baseLatency += meanSmoothing * (median - c.baseLatency)
	}
}

// expectedLatency is the median latency of the class, scaled to the work of this request.
func (r *Request) expectedLatency() float64 {
	return r.class.medianLatency() * max(r.relativeWork, minRelativeWork)
}

// expectedWork is the latency expected of this request without queueing, in seconds. The base latency follows a falling
// median with a delay, so the median counts if it is lower.
func (r *Request) expectedWork() float64 {
	return min(r.class.baseLatency, r.class.medianLatency()) * max(r.relativeWork, minRelativeWork)
}
