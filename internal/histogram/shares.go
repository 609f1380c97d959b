package histogram

const (
	shareBins      = 1024 // many more than there are keys that matter
	maxShareWeight = 2000 // keys; from then on all count half, so that the past fades
)

// Shares counts how often each of many keys was seen, in bins that rare keys share.
type Shares struct {
	count [shareBins]float64
	n     float64
}

// Add counts a key and returns the share, from 0 to 1, that it had of all keys so far.
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
