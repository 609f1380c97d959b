package lifecycle

// IDSet remembers the marks of the ids that were ever listed, so that a call for one that never was is told so. Of more than its
// bound the first are forgotten: a call for such a one is told that it was never listed.
type IDSet struct {
	most int
	have map[uint64]bool
	ring []uint64
	next int
}

// NewIDSet remembers so many.
func NewIDSet(most int) *IDSet { return &IDSet{most: most, have: map[uint64]bool{}} }

// Add remembers one.
func (s *IDSet) Add(mark uint64) {
	switch {
	case s.have[mark]:
		return
	case len(s.ring) < s.most:
		s.ring = append(s.ring, mark)
	default:
		delete(s.have, s.ring[s.next])
		s.ring[s.next] = mark
		s.next = (s.next + 1) % s.most
	}
	s.have[mark] = true
}

// Has tells whether one is remembered.
func (s *IDSet) Has(mark uint64) bool { return s.have[mark] }

// All are the remembered ones, the first first.
func (s *IDSet) All() []uint64 {
	return append(append([]uint64(nil), s.ring[s.next:]...), s.ring[:s.next]...)
}
