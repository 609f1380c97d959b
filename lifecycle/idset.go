package lifecycle

// IDSet holds the hashes of the server ids that have been in the endpoint list, so that an admin call for an unknown id
// can be rejected. When it is full, it drops the hash that was added first, and admin calls for that server are
// rejected as unknown.
type IDSet struct {
	capacity int
	members  map[uint64]bool
	ring     []uint64 // hashes in the order of adding; once full, a ring buffer
	oldest   int      // index in ring of the hash that was added first
}

// NewIDSet returns an empty set of at most capacity hashes.
func NewIDSet(capacity int) *IDSet {
	return &IDSet{capacity: capacity, members: map[uint64]bool{}}
}

// Add adds a hash. A hash that is in the set already keeps its position in the order.
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

// All returns the hashes in the order in which they were added; nil if there are none.
func (s *IDSet) All() []uint64 {
	var all []uint64
	all = append(all, s.ring[s.oldest:]...)
	return append(all, s.ring[:s.oldest]...)
}
