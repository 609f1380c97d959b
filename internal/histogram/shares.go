package histogram

const (
	shareBins      = 1024 // far more than there are frequent keys, so that few of those share a bin
	maxShareWeight = 2000 // when this many keys are counted, all counts are halved, so that old keys count less
)

// Shares estimates how frequent keys are. It counts them in a fixed number of bins, so that several keys may share one.
type Shares struct {
	count [shareBins]float64
	n     float64
}

// Add counts a key and returns its share, from 0 to 1, of all keys so far.
func (s *Shares) Add(key uint64) float64 {
	bin := &s.count[key%shareBins]
	earlier := *bin
	*bin++
	if s.n++; s.n < maxShareWeight {
		return earlier / s.n
	}
	for i := range s.count {
		s.count[i] /= 2
	}
	s.n /= 2
	return earlier / 2 / s.n
}
