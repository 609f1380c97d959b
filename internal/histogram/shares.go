package histogram

const (
	shareBins = 1024 // many more than there are marks that matter
	fadeAt    = 2000 // sights; all then weigh half, so that the past fades
)

// Shares counts how often each of many marks was seen, in bins that rare marks share.
type Shares struct {
	count [shareBins]float64
	n     float64
}

// Add counts a mark and tells what share of all sights were earlier ones of it.
func (s *Shares) Add(mark uint64) float64 {
	c := &s.count[mark%shareBins]
	earlier := *c
	*c++
	if s.n++; s.n >= fadeAt {
		for i := range s.count {
			s.count[i] /= 2
		}
		s.n /= 2
		return earlier / 2 / s.n
	}
	return earlier / s.n
}
