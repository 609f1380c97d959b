package lifecycle

// IDSet remembers the hashes of the server ids that the endpoint list ever named, so that an admin call for an unknown
// id can be rejected. It is bounded: when full, it forgets the hash that was added first, and a call for that server is
// rejected as unknown.
type IDSet struct {
	capacity int
	members  map[uint64]bool
	ring     []uint64 // in the order of adding, the oldest at position oldest once it is full
	oldest   int
}

// NewIDSet returns an empty set of at most capacity hashes.
func NewIDSet(capacity int) *IDSet {
	return &IDSet{capacity: capacity, members: map[uint64]bool{}}
}

// Add adds a hash; one that is in the set keeps its place.
func (s *IDSet) Add(hash uint64) {
	switch {
	case s.members[hash]:
		return
	case len(s.ring) < s.capacity:
		s.ring = append(s.ring, hash)
	default:
		delete(s.members, s.ring[s.oldest])
		s.ring[s.oldest] = hash
		s.oldest = (s.oldest + 1) % s.capacity
	}
	s.members[hash] = true
}

// Has reports whether a hash is in the set.
func (s *IDSet) Has(hash uint64) bool { return s.members[hash] }

// All returns the hashes in the order of adding, nil if there are none.
func (s *IDSet) All() []uint64 {
	var all []uint64
	all = append(all, s.ring[s.oldest:]...)
	return append(all, s.ring[:s.oldest]...)
}
