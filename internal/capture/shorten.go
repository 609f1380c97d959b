package capture

import "slices"

// shortener leaves out groups of an excerpt's calls as long as the event still occurs.
type shortener struct {
	excerpt    *Excerpt
	newMatcher func() Matcher
	groups     [][]int // indices of calls that are left out together or not at all
}

func (s *shortener) matches(groups [][]int) bool {
	return s.excerpt.firstMatch(s.excerpt.pick(groups), s.newMatcher()) != notMatched
}

// cutAfterMatch drops the calls after the event. It returns false if the event does not occur.
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

// dropGroups leaves out groups, many at once at first and then fewer, until no single group can be left out.
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

// dropRuns leaves out each run of size groups without which the event still occurs. It reports whether it left out any.
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

// groupCalls returns the indices of calls in groups: the calls on one request form a group, each other call forms its
// own. The first endpoint list is in no group, since it is never left out.
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
