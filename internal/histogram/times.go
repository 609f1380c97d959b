// Package histogram keeps what was measured in a few coarse bins.
package histogram

import "math"

const (
	shortest        = 0.001 // s; what is shorter falls in the first bin
	binsPerDoubling = 2.0   // a factor of 1.4 tells slow from fast
	bins            = 28    // up to 16 s
	halveAt         = 200   // results; all then weigh half, so that the past fades
	enough          = 5     // results; fewer tell nothing
)

// edges are the bins' upper ones, reckoned once: quantiles are asked for with every request.
var edges = func() (list [bins]float64) {
	for i := range list {
		list[i] = shortest * math.Exp2(float64(i+1)/binsPerDoubling)
	}
	return list
}()

// Times is a histogram of times in seconds, in bins of equal ratio.
type Times struct {
	count [bins]float64
	n     float64
}

// Add counts a time.
func (t *Times) Add(x float64) {
	i := int(binsPerDoubling * math.Log2(max(x, shortest)/shortest))
	t.count[min(i, bins-1)]++
	if t.n++; t.n >= halveAt {
		for i := range t.count {
			t.count[i] /= 2
		}
		t.n /= 2
	}
}

// Quantile is the upper edge of the bin that holds it, or the given value while too little is known.
func (t *Times) Quantile(q, unknown float64) float64 {
	if t.n < enough {
		return unknown
	}
	sum := 0.0
	for i, c := range t.count {
		if sum += c; sum >= q*t.n {
			return edges[i]
		}
	}
	return unknown
}
