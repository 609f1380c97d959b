package capture

import (
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"

	"lockloom/balance"
)

// What an excerpt or a story may be asked for by.
var MatcherNames = []string{"dismissed", "forfeited", "retried", "paused"}

// eventMatcher shows one of Wanted, or the pause of one server ("paused:3").
type eventMatcher struct {
	what    string
	backend int
	shown   bool
	lookup  uint64 // that showed it
	number  map[int]uint64
}

// NewMatcher makes what shows one of Wanted.
func NewMatcher(what string) (func() Matcher, error) {
	name, number, one := strings.Cut(what, ":")
	server := -1
	if one {
		n, err := strconv.Atoi(number)
		if err != nil || name != "paused" {
			return nil, fmt.Errorf("%q: it is one of %s, or paused:BACKEND", what, strings.Join(MatcherNames, ", "))
		}
		server = n
	}
	if !slices.Contains(MatcherNames, name) {
		return nil, fmt.Errorf("%q: it is one of %s, or paused:BACKEND", what, strings.Join(MatcherNames, ", "))
	}
	return func() Matcher { return &eventMatcher{what: name, backend: server, number: map[int]uint64{}} }, nil
}

func (s *eventMatcher) Matched() bool { return s.shown }

func (s *eventMatcher) Request() uint64 { return s.lookup }

func (s *eventMatcher) Observe(p *Pool, x *Call, o *balance.Actions) {
	if s.shown {
		return
	}
	if x.Kind == RequestArrived {
		s.number[x.Arrival.Ref] = x.Request
	}
	if s.what == "paused" {
		if x.Kind != AttemptEnded && x.Kind != RequestTimerFired && x.Kind != OutcomesReported { // nothing else pauses
			return
		}
		for _, b := range p.Balancer.CurrentStatuses() {
			if b.Paused && (s.backend < 0 || s.backend == b.Endpoint) {
				s.shown, s.lookup = true, x.Request
			}
		}
		return
	}
	if o == nil {
		return
	}
	for i := range o.Requests {
		step := &o.Requests[i]
		switch s.what {
		case "dismissed":
			s.shown = step.Reply == balance.Rejected
		case "forfeited":
			s.shown = step.Reply == balance.Failed
		case "retried":
			s.shown = step.Send && p.LastRequest != nil && x.Kind != RequestArrived && x.Kind <= RequestTimerFired && step.Ref == p.LastRequest.RequestInfo.Ref
		}
		if s.shown {
			s.lookup = s.number[step.Ref]
			return
		}
	}
}

// RequestHistory tells all that became of one request, as it is replayed. Give Tell to a Player as After.
type RequestHistory struct {
	Out    io.Writer
	Pool   string
	Number uint64 // of the request in its pool; 0: by ID
	ID     uint32
	Found  bool

	pool  int
	l     *balance.Request
	taken float64
	legs  []string
	done  bool
}

// Observe is told of each call.
func (s *RequestHistory) Observe(p *Pool, x *Call, o *balance.Actions) {
	if s.done || s.l != nil && p.Number != s.pool || s.l == nil && s.Pool != "" && p.Name != s.Pool {
		return
	}
	if s.l == nil {
		if x.Kind != RequestArrived || !(s.Number > 0 && x.Request == s.Number || s.Number == 0 && x.IDHash == s.ID) {
			return
		}
		s.Found, s.pool, s.l, s.taken, s.Number = true, p.Number, p.LastRequest, x.Now, x.Request
		d := p.Balancer.Deployment()
		t := d.Classes[x.Arrival.Class]
		fmt.Fprintf(s.Out, "lookup %d of pool %q, id hash %08x, taken at %.6f\n", x.Request, p.Name, x.IDHash, x.Now)
		fmt.Fprintf(s.Out, "  tariff %s, value %g, due in %.0f ms, hard stop in %.0f ms", t.Name, t.PriorityWeight, t.LatencyObjective*1000, (x.Arrival.Deadline-x.Now)*1000)
		if x.Arrival.Key != 0 {
			fmt.Fprintf(s.Out, ", key %016x", x.Arrival.Key)
		}
		fmt.Fprintln(s.Out)
	}
	mine := p.LastRequest == s.l && x.Kind >= RequestArrived && x.Kind <= RequestTimerFired
	if mine && x.Kind != RequestArrived {
		what := map[Kind]string{ClientDisconnected: "its client has left", BodyCompleted: "its body has come whole", RequestTimerFired: "its own timer: a leg is overdue, or the hard stop is near"}[x.Kind]
		switch x.Kind {
		case AttemptEnded:
			what = fmt.Sprintf("leg %d ended after %.1f ms: %s", x.Attempt+1, x.Latency*1000, x.Outcome)
			if x.Attempt < len(s.legs) {
				what += ", at " + s.legs[x.Attempt]
			}
		case ResponseStarted:
			what = fmt.Sprintf("leg %d began to answer", x.Attempt+1)
		}
		fmt.Fprintf(s.Out, "%+8.1f ms  %s\n", (x.Now-s.taken)*1000, what)
	}
	moved := false
	if o != nil {
		for i := range o.Requests {
			step := &o.Requests[i]
			if step.Ref != s.l.RequestInfo.Ref {
				continue
			}
			var line string
			switch {
			case step.Send:
				s.legs = append(s.legs, fmt.Sprint("backend ", step.Endpoint))
				line = fmt.Sprintf("leg %d is sent to backend %d", len(s.legs), step.Endpoint)
			case step.Reply == balance.Rejected:
				line = fmt.Sprintf("it is dismissed: trying again is harmless, after %.0f ms", step.RetryAfter*1000)
			case step.Reply == balance.Failed:
				line = "it is forfeited: it may have run"
			case step.CancelAttempt > 0:
				line = fmt.Sprintf("leg %d is called off", step.CancelAttempt)
			default:
				continue
			}
			moved = true
			fmt.Fprintf(s.Out, "%+8.1f ms  %s", (x.Now-s.taken)*1000, line)
			if !mine {
				fmt.Fprintf(s.Out, " (in a %s of another)", x.Kind)
			}
			fmt.Fprintln(s.Out)
		}
	}
	if mine && x.Kind == RequestArrived && !moved {
		fmt.Fprintf(s.Out, "%+8.1f ms  it is held: no backend has room for it\n", 0.0)
	}
	if moved || mine && x.Kind == RequestArrived {
		s.reasons()
	}
	s.done = s.l.Done()
}

// reasons tells what spoke for and against each server just then.
func (s *RequestHistory) reasons() {
	out, space, held := s.l.Capacity()
	fmt.Fprintf(s.Out, "             %d legs out, %.1f places for its value, %d held\n", out, space, held)
	list := s.l.ScoreBreakdown()
	slices.SortStableFunc(list, func(a, b balance.ScoreBreakdown) int {
		switch {
		case a.Considered != b.Considered:
			return map[bool]int{true: -1, false: 1}[a.Considered]
		case a.Score != b.Score:
			return map[bool]int{true: -1, false: 1}[a.Score > b.Score]
		}
		return a.Endpoint - b.Endpoint
	})
	for _, r := range list {
		var notes []string
		add := func(when bool, format string, args ...any) {
			if when {
				notes = append(notes, fmt.Sprintf(format, args...))
			}
		}
		add(r.State != balance.Ready, "%s", [...]string{"", "drains", "gone"}[r.State])
		add(r.Paused && !r.Trial, "paused: %d of %d failed", r.Errors, r.Results)
		add(r.Trial, "paused, cooled down: one leg may try")
		add(r.ClassPaused, "paused for this tariff: %d of %d failed", r.ClassErrors, r.ClassResults)
		add(!r.RetrySafe, "another leg there is not harmless, or was just tried")
		add(r.WarmingUp, "cold")
		add(r.Load >= max(r.Capacity, 1), "full")
		line := fmt.Sprintf("             backend %-3d payoff %.2f  %.1f of %.1f legs", r.Endpoint, r.Payoff, r.Load, r.Capacity)
		if r.Considered {
			line += fmt.Sprintf("  weighed %.2f", r.Score)
		}
		if len(notes) > 0 {
			line += "  " + strings.Join(notes, "; ")
		}
		fmt.Fprintln(s.Out, line)
	}
}

// Sample is what is believed of one server at one time.
type Sample struct {
	Pool string
	At   float64 // s since the first call
	balance.ServerStatus
	Succeeded, Failed, Rejected int // attempts that ended there since the moment before
}

// Timeline gathers moments as calls are replayed, every so often. Give Tell to a Player as After.
type Timeline struct {
	Interval float64 // s
	Samples  []Sample
	begun    float64
	next     map[string]float64
	ends     map[string]map[int]*[3]int
	legs     map[*balance.Request][]int
}

// Observe is told of each call.
func (l *Timeline) Observe(p *Pool, x *Call, o *balance.Actions) {
	if l.next == nil {
		l.begun, l.next, l.ends, l.legs = x.Now, map[string]float64{}, map[string]map[int]*[3]int{}, map[*balance.Request][]int{}
	}
	if l.ends[p.Name] == nil {
		l.ends[p.Name] = map[int]*[3]int{}
	}
	if x.Kind == AttemptEnded && p.LastRequest != nil && x.Attempt < len(l.legs[p.LastRequest]) {
		at := l.legs[p.LastRequest][x.Attempt]
		n := l.ends[p.Name][at]
		if n == nil {
			n = &[3]int{}
			l.ends[p.Name][at] = n
		}
		switch x.Outcome {
		case balance.Succeeded:
			n[0]++
		case balance.ServerRejected:
			n[2]++
		case balance.Canceled, balance.NotSent:
		default:
			n[1]++
		}
	}
	if o != nil && p.LastRequest != nil {
		for i := range o.Requests {
			if o.Requests[i].Send && o.Requests[i].Ref == p.LastRequest.RequestInfo.Ref {
				l.legs[p.LastRequest] = append(l.legs[p.LastRequest], o.Requests[i].Endpoint)
			}
		}
	}
	if p.LastRequest != nil && p.LastRequest.Done() {
		delete(l.legs, p.LastRequest)
	}
	if x.Now < l.next[p.Name] {
		return
	}
	l.next[p.Name] = x.Now + l.Interval
	for _, b := range p.Balancer.CurrentStatuses() {
		m := Sample{Pool: p.Name, At: x.Now - l.begun, ServerStatus: b}
		if n := l.ends[p.Name][b.Endpoint]; n != nil {
			m.Succeeded, m.Failed, m.Rejected = n[0], n[1], n[2]
			*n = [3]int{}
		}
		l.Samples = append(l.Samples, m)
	}
}
