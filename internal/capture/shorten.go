package capture

import "slices"

// shortener removes groups of calls from an excerpt as long as the event that a Matcher detects still occurs in a
// replay of the remaining calls. See groupCalls for what a group is.
type shortener struct {
	excerpt    *Excerpt
	newMatcher func() Matcher
	groups     [][]int // groups not removed so far, each a list of indices in excerpt.Calls
}

func (s *shortener) matches(groups [][]int) bool {
	return s.excerpt.firstMatch(s.excerpt.pick(groups), s.newMatcher()) != notMatched
}

// cutAfterMatch drops the calls after the one with which the event occurs. It returns false if the event does not
// occur.
func (s *shortener) cutAfterMatch() bool {
	match := s.excerpt.firstMatch(s.excerpt.Calls, s.newMatcher())
	if match == notMatched {
		return false
	}
	s.excerpt.Calls = s.excerpt.Calls[:match+1]
	return true
}

// keepLastGroups keeps only the last groups if the event still occurs with them. It tries minGroups first and doubles
// the number until the event occurs, since calls long before an event seldom affect it.
func (s *shortener) keepLastGroups() {
	for n := minGroups; n < len(s.groups); n *= 2 {
		last := s.groups[len(s.groups)-n:]
		if s.matches(last) {
			s.groups = last
			return
		}
	}
}

// dropGroups removes groups, many at once at first and then fewer, until no single group can be removed or maxReplays
// is reached.
func (s *shortener) dropGroups() {
	size := (len(s.groups) + 1) / 2
	for size >= 1 && s.excerpt.Replays < maxReplays {
		dropped := s.dropRuns(size)
		if size == 1 && !dropped {
			return
		}
		if !dropped {
			size /= 2
		}
		size = min(size, max(len(s.groups)/2, 1))
	}
}

// dropRuns tries to remove size consecutive groups at a time, from the first group to the last, and removes those
// without which the event still occurs. It reports whether it removed any.
func (s *shortener) dropRuns(size int) (dropped bool) {
	for at := 0; at < len(s.groups) && s.excerpt.Replays < maxReplays; {
		end := min(at+size, len(s.groups))
		shorter := slices.Concat(s.groups[:at], s.groups[end:])
		if s.matches(shorter) {
			s.groups, dropped = shorter, true
			continue
		}
		at += size
	}
	return dropped
}

// groupCalls returns the indices of calls in groups: all calls on one request form a group, and each other call forms a
// group of its own. The first endpoint list is in no group, since it is never removed.
func groupCalls(calls []Call) (groups [][]int) {
	groupOf := map[uint64]int{} // index in groups, by number of the request
	for i := range calls {
		call := &calls[i]
		if !call.Kind.onRequest() {
			if !isFirstList(call) {
				groups = append(groups, []int{i})
			}
			continue
		}
		group, ok := groupOf[call.Request]
		if !ok {
			group = len(groups)
			groupOf[call.Request] = group
			groups = append(groups, nil)
		}
		groups[group] = append(groups[group], i)
	}
	return groups
}

func isFirstList(call *Call) bool { return call.Kind == EndpointsUpdated && call.Endpoints.First }
