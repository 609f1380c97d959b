package capture

import (
	"fmt"
	"io"

	"lockloom/balance"
)

const msPerS = 1000

// RequestHistory prints what happened to one request during a replay: set Player.After to its Observe.
type RequestHistory struct {
	Out    io.Writer
	Pool   string // empty: any pool
	Number uint64 // of the request in its pool; 0: the request is found by ID
	ID     uint32 // hash of its id, see HashID
	Found  bool   // set by Observe when the request arrives

	pool      int
	request   *balance.Request
	arrivedAt float64
	servers   []string // server of each attempt, by its index
	done      bool
}

// Observe prints a call and its actions if they concern the request. It is called after each call of a replay.
func (h *RequestHistory) Observe(p *Pool, call *Call, actions *balance.Actions) {
	if h.done {
		return
	}
	if h.request == nil {
		if !h.isArrival(p, call) {
			return
		}
		h.printArrival(p, call)
	}
	if p.Number != h.pool {
		return
	}
	own := p.LastRequest == h.request && call.Kind.onRequest()
	arrival := own && call.Kind == RequestArrived
	if own && !arrival {
		h.printEvent(call.Now, h.describe(call))
	}
	acted := h.printActions(call, own, actions)
	if arrival && !acted {
		h.printEvent(call.Now, "it is queued: no server has capacity for it")
	}
	if acted || arrival {
		printBreakdown(h.Out, h.request)
	}
	h.done = h.request.Done()
}

// isArrival reports whether a call is the arrival of the request whose history is printed.
func (h *RequestHistory) isArrival(p *Pool, call *Call) bool {
	if call.Kind != RequestArrived || h.Pool != "" && p.Name != h.Pool {
		return false
	}
	if h.Number > 0 {
		return call.Request == h.Number
	}
	return call.IDHash == h.ID
}

func (h *RequestHistory) printArrival(p *Pool, call *Call) {
	h.Found = true
	h.Number = call.Request
	h.pool = p.Number
	h.request = p.LastRequest
	h.arrivedAt = call.Now
	class := p.Balancer.Deployment().Classes[call.Arrival.Class]
	fmt.Fprintf(h.Out, "request %d of pool %q, id hash %08x, arrived at %.6f\n",
		call.Request, p.Name, call.IDHash, call.Now)
	fmt.Fprintf(h.Out, "  class %s, priority weight %g, latency objective %.0f ms, deadline in %.0f ms", class.Name,
		class.PriorityWeight, class.LatencyObjective*msPerS, (call.Arrival.Deadline-call.Now)*msPerS)
	if call.Arrival.Key != 0 {
		fmt.Fprintf(h.Out, ", key %016x", call.Arrival.Key)
	}
	fmt.Fprintln(h.Out)
}

func (h *RequestHistory) printEvent(now float64, text string) {
	fmt.Fprintf(h.Out, "%+8.1f ms  %s\n", (now-h.arrivedAt)*msPerS, text)
}

// describe returns a description of a call on the request.
func (h *RequestHistory) describe(call *Call) string {
	switch call.Kind {
	case AttemptEnded:
		return h.describeEnd(&call.Attempt)
	case ResponseStarted:
		return fmt.Sprintf("attempt %d: the response started", call.Attempt.Index+1)
	case ClientDisconnected:
		return "its client has disconnected"
	case BodyCompleted:
		return "its body is complete"
	case RequestTimerFired:
		return "its timer: an attempt is overdue, or the deadline is near"
	}
	return ""
}

func (h *RequestHistory) describeEnd(a *AttemptEvent) string {
	text := fmt.Sprintf("attempt %d ended after %.1f ms: %s", a.Index+1, a.Latency*msPerS, a.Outcome)
	if a.Index < len(h.servers) {
		text += ", at " + h.servers[a.Index]
	}
	return text
}

// printActions prints the actions on the request and reports whether there were any. The request can also be sent or
// rejected in a call that is not on the request itself, for which own is false.
func (h *RequestHistory) printActions(call *Call, own bool, actions *balance.Actions) (acted bool) {
	if actions == nil {
		return false
	}
	for i := range actions.Requests {
		action := &actions.Requests[i]
		if action.Ref != h.request.Ref {
			continue
		}
		text := h.describeAction(action)
		if text == "" {
			continue
		}
		if !own {
			text += fmt.Sprintf(" (in a %s of another)", call.Kind)
		}
		h.printEvent(call.Now, text)
		acted = true
	}
	return acted
}

// describeAction returns a description of an action; empty: there is nothing to print.
func (h *RequestHistory) describeAction(action *balance.RequestAction) string {
	switch {
	case action.Send:
		h.servers = append(h.servers, fmt.Sprint("server ", action.Endpoint))
		return fmt.Sprintf("attempt %d is sent to server %d", len(h.servers), action.Endpoint)
	case action.Reply == balance.Rejected:
		return fmt.Sprintf("it is rejected: a retry by the client is harmless, after %.0f ms", action.RetryAfter*msPerS)
	case action.Reply == balance.Failed:
		return "it failed: it may have run"
	case action.CancelAttempt > 0:
		return fmt.Sprintf("the proxy cancels attempt %d", action.CancelAttempt)
	}
	return ""
}
