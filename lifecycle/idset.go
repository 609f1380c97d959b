package lifecycle

// IDSet holds the hashes of the server ids that have been in the endpoint list, so that an admin call for an unknown id
// can be rejected. When it is full, it drops the hash that was added first of those that are not pinned, and admin
// calls for that server are rejected as unknown. It grows beyond its capacity only if more hashes are pinned.
type IDSet struct {
	capacity int
	members  map[uint64]bool
	pinned   map[uint64]bool // members that must not be dropped
	ring     []uint64        // hashes in the order of adding; once full, a ring buffer
	oldest   int             // index in ring of the hash that was added first
}

// NewIDSet returns an empty set of at most capacity hashes.
func NewIDSet(capacity int) *IDSet {
	return &IDSet{capacity: capacity, members: map[uint64]bool{}, pinned: map[uint64]bool{}}
}

// Add adds a hash. A hash that is in the set already keeps its position in the order.
func (s *IDSet) Add(hash uint64) {
	switch {
	case s.members[hash]:
		return
	case len(s.ring) < s.capacity || len(s.pinned) >= len(s.ring):
		s.ring = append(s.ring, hash)
	default:
		s.skipPinned()
		delete(s.members, s.ring[s.oldest])
		s.ring[s.oldest] = hash
		s.advance()
	}
	s.members[hash] = true
}

// Pin adds a hash that is not dropped before Unpin is called for it: that of a server that an admin call may name now.
func (s *IDSet) Pin(hash uint64) {
	s.Add(hash)
	s.pinned[hash] = true
}

// Unpin allows a hash to be dropped.
func (s *IDSet) Unpin(hash uint64) { delete(s.pinned, hash) }

// skipPinned advances to the first hash that is not pinned. There must be one.
func (s *IDSet) skipPinned() {
	for s.pinned[s.ring[s.oldest]] {
		s.advance()
	}
}

func (s *IDSet) advance() { s.oldest = (s.oldest + 1) % len(s.ring) }

// Has reports whether a hash is in the set.
func (s *IDSet) Has(hash uint64) bool { return s.members[hash] }

// All returns the hashes in the order in which they were added; pinned ones may come later. It returns nil if there are
// none.
func (s *IDSet) All() []uint64 {
	var all []uint64
	all = append(all, s.ring[s.oldest:]...)
	return append(all, s.ring[:s.oldest]...)
}
