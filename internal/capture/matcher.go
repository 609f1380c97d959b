package capture

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"lockloom/balance"
)

// Names of events, which the command line accepts.
const (
	eventRejected = "dismissed"
	eventFailed   = "forfeited"
	eventRetried  = "retried"
	eventPaused   = "paused"
)

// EventNames are the names of the events that ParseEvent accepts.
var EventNames = []string{eventRejected, eventFailed, eventRetried, eventPaused}

// Matcher detects an event in a replay. It must observe all calls from the first one on.
type Matcher interface {
	// Observe is called after each call of a replay.
	Observe(p *Pool, call *Call, actions *balance.Actions)
	// Matched reports whether the event has occurred.
	Matched() bool
	// Request returns the number of the request with which the event occurred; 0: unknown.
	Request() uint64
}

const anyServer = -1

// eventMatcher detects one of the events in EventNames.
type eventMatcher struct {
	event   string
	server  int // number of the server whose pause is to be detected, or anyServer
	matched bool
	request uint64
	numbers map[int]uint64 // number of each request in its pool, by balance.RequestInfo.Ref
}

// ParseEvent returns a function that makes Matchers for an event: one of EventNames, or the pause of one server
// ("paused:3").
func ParseEvent(spec string) (func() Matcher, error) {
	event, number, hasNumber := strings.Cut(spec, ":")
	invalid := fmt.Errorf("invalid event %q: must be one of %s, or paused:BACKEND", spec,
		strings.Join(EventNames, ", "))
	server := anyServer
	if hasNumber {
		n, err := strconv.Atoi(number)
		if err != nil || event != eventPaused {
			return nil, invalid
		}
		server = n
	}
	if !slices.Contains(EventNames, event) {
		return nil, invalid
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
		sameRequest := p.LastRequest != nil && action.Ref == p.LastRequest.Ref
		return action.Send && sameRequest && call.Kind != RequestArrived
	}
	return false
}
