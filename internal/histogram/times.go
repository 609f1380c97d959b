// Package histogram provides histograms with a small, fixed number of coarse bins. Its types are not safe for
// concurrent use. Captures store them by memory layout, so the order and the types of their fields are part of a
// published format.
package histogram

import "math"

const (
	minTime         = 0.001 // seconds; shorter times are counted in the first bin
	binsPerDoubling = 2.0   // a factor of 1.4 between bins is enough to distinguish slow from fast
	timeBins        = 28    // the last bin ends at 16 s, and counts longer times too
	maxTimesWeight  = 200   // when this many times are counted, all counts are halved, so that old times count less
	minTimes        = 5     // a quantile of fewer times than this is not reliable
)

// upperEdges holds the upper edge of each bin in seconds. It is computed once, since quantiles are computed for every
// request.
var upperEdges = func() (edges [timeBins]float64) {
	for i := range edges {
		edges[i] = minTime * math.Exp2(float64(i+1)/binsPerDoubling)
	}
	return edges
}()

// Times is a histogram of times in seconds. The upper edges of successive bins have a constant ratio.
type Times struct {
	count [timeBins]float64
	n     float64
}

// Add counts a time in seconds.
func (t *Times) Add(seconds float64) {
	bin := int(binsPerDoubling * math.Log2(max(seconds, minTime)/minTime))
	t.count[min(bin, timeBins-1)]++
	if t.n++; t.n < maxTimesWeight {
		return
	}
	for i := range t.count {
		t.count[i] /= 2
	}
	t.n /= 2
}

// Quantile returns the upper edge, in seconds, of the bin that contains quantile q (from 0 to 1), or fallback while too
// few times have been counted.
func (t *Times) Quantile(q, fallback float64) float64 {
	if t.n < minTimes {
		return fallback
	}
	sum := 0.0
	for i, count := range t.count {
		if sum += count; sum >= q*t.n {
			return upperEdges[i]
		}
	}
	return fallback
}
