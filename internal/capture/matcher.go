package capture

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"lockloom/balance"
)

// Names of events, as they are published for the tools.
const (
	eventRejected = "dismissed"
	eventFailed   = "forfeited"
	eventRetried  = "retried"
	eventPaused   = "paused"
)

// MatcherNames are the events that NewMatcher knows.
var MatcherNames = []string{eventRejected, eventFailed, eventRetried, eventPaused}

// Matcher looks for an event in a replay, from the first call on.
type Matcher interface {
	// Observe is called after each call.
	Observe(p *Pool, call *Call, actions *balance.Actions)
	// Matched reports whether the event was seen.
	Matched() bool
	// Request returns the number of the request with which it was seen; 0: unknown.
	Request() uint64
}

const anyServer = -1

// eventMatcher looks for one of MatcherNames.
type eventMatcher struct {
	event   string
	server  int // whose pause is looked for, or anyServer
	matched bool
	request uint64
	numbers map[int]uint64 // of requests, by balance.RequestInfo.Ref
}

// NewMatcher returns a function that makes Matchers for an event: one of MatcherNames, or the pause of one server
// ("paused:3").
func NewMatcher(what string) (func() Matcher, error) {
	event, number, hasNumber := strings.Cut(what, ":")
	unknown := fmt.Errorf("%q: it is one of %s, or paused:BACKEND", what, strings.Join(MatcherNames, ", "))
	server := anyServer
	if hasNumber {
		n, err := strconv.Atoi(number)
		if err != nil || event != eventPaused {
			return nil, unknown
		}
		server = n
	}
	if !slices.Contains(MatcherNames, event) {
		return nil, unknown
	}
	return func() Matcher { return newEventMatcher(event, server) }, nil
}

func newEventMatcher(event string, server int) *eventMatcher {
	return &eventMatcher{event: event, server: server, numbers: map[int]uint64{}}
}

func (m *eventMatcher) Matched() bool { return m.matched }

func (m *eventMatcher) Request() uint64 { return m.request }

func (m *eventMatcher) Observe(p *Pool, call *Call, actions *balance.Actions) {
	if m.matched {
		return
	}
	if call.Kind == RequestArrived {
		m.numbers[call.Arrival.Ref] = call.Request
	}
	if m.event == eventPaused {
		m.observePauses(p, call)
		return
	}
	if actions == nil {
		return
	}
	for i := range actions.Requests {
		action := &actions.Requests[i]
		if m.matches(p, call, action) {
			m.matched, m.request = true, m.numbers[action.Ref]
			return
		}
	}
}

func (m *eventMatcher) observePauses(p *Pool, call *Call) {
	switch call.Kind {
	case AttemptEnded, RequestTimerFired, OutcomesReported:
	default:
		return // no other call pauses a server
	}
	for _, server := range p.Balancer.CurrentStatuses() {
		if server.Paused && (m.server < 0 || m.server == server.Endpoint) {
			m.matched, m.request = true, call.Request
		}
	}
}

func (m *eventMatcher) matches(p *Pool, call *Call, action *balance.RequestAction) bool {
	switch m.event {
	case eventRejected:
		return action.Reply == balance.Rejected
	case eventFailed:
		return action.Reply == balance.Failed
	case eventRetried:
		ofThisCall := p.LastRequest != nil && action.Ref == p.LastRequest.Ref
		return action.Send && ofThisCall && call.Kind != RequestArrived
	}
	return false
}
