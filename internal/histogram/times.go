// Package histogram keeps what was measured in a few coarse bins of fixed size. Its types are not safe for concurrent
// use, and captures store them: the layout of their fields is published.
package histogram

import "math"

const (
	minTime         = 0.001 // s; what is shorter falls into the first bin
	binsPerDoubling = 2.0   // a factor of 1.4 tells slow from fast
	timeBins        = 28    // up to 16 s
	maxTimesWeight  = 200   // times; from then on all count half, so that the past fades
	minTimes        = 5     // times; fewer tell nothing
)

// upperEdges are those of the bins, in seconds. They are computed once, since every request asks for quantiles.
var upperEdges = func() (edges [timeBins]float64) {
	for i := range edges {
		edges[i] = minTime * math.Exp2(float64(i+1)/binsPerDoubling)
	}
	return edges
}()

// Times is a histogram of times in seconds, in bins of equal ratio.
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

// Quantile returns the upper edge, in seconds, of the bin that holds the quantile q, or the given value while too
// little is known.
func (t *Times) Quantile(q, unknown float64) float64 {
	if t.n < minTimes {
		return unknown
	}
	sum := 0.0
	for i, count := range t.count {
		if sum += count; sum >= q*t.n {
			return upperEdges[i]
		}
	}
	return unknown
}
