package main

import (
	"fmt"
	"io"

	"lockloom/balance"
	"lockloom/internal/settings"
	"lockloom/internal/simwire"
)

// host is the simwire.Receiver of this process. Its instances share nothing but the clock.
type host struct {
	reply     *reply
	now       float64 // time of the batch, in seconds
	batch     string  // number of the batch
	instances map[int]*instance
	selected  int // number of the instance that calls apply to; noInstance: none
}

// fieldError is an error in a field of a message.
type fieldError struct{ field, problem string }

func (e *fieldError) Error() string { return e.field + ": " + e.problem }

func newHost(out io.Writer) *host {
	return &host{reply: newReply(out), instances: map[int]*instance{}, selected: noInstance}
}

func (h *host) BatchStarted(now float64, number string) {
	h.now = now
	h.batch = number
	h.selected = noInstance
	h.reply.begin()
}

func (h *host) BatchEnded() error { return h.reply.end(h.batch) }

func (h *host) InstanceSelected(number int) error {
	h.selected = number
	return nil
}

func (h *host) InstanceLaunched(launched settings.Settings) error {
	if h.selected < 0 {
		return &fieldError{"Proxy", "no instance selected"}
	}
	balancer, err := balance.New(launched.Deployment, h.now)
	if err != nil {
		return err
	}
	h.instances[h.selected] = newInstance(balancer, launched.NewRegistry())
	return nil
}

func (h *host) InstanceStopped() error {
	_, err := h.instance()
	delete(h.instances, h.selected)
	return err
}

func (h *host) EndpointsListed(kind simwire.ListKind, entries []settings.Entry) error {
	in, err := h.instance()
	if err != nil {
		return err
	}
	if kind == simwire.PollFailed {
		return h.callBalancer(in, in.balancer.PollFailed)
	}
	endpoints := make([]balance.Endpoint, len(entries))
	for i, e := range entries {
		endpoints[i] = in.registry.Endpoint(e)
	}
	full := kind != simwire.Changes
	first := kind == simwire.CachedList
	return h.callBalancer(in, func(now float64) *balance.Actions {
		return in.balancer.EndpointsUpdated(now, full, first, endpoints)
	})
}

func (h *host) RequestArrived(r simwire.Request) error {
	in, err := h.instance()
	if err != nil {
		return err
	}
	info := r.RequestInfo
	var ok bool
	if info.Class, ok = in.registry.Class(r.ClassName); !ok {
		return &fieldError{"Class", fmt.Sprintf("unknown: %q", r.ClassName)}
	}
	info.Tenant = in.registry.Tenant(r.TenantName)
	info.Key = settings.NameHash(r.KeyName)
	if in.has(r.ID) {
		return &fieldError{"Job", fmt.Sprintf("already used by another request: %q", r.ID)}
	}
	info.Ref = in.add(r.ID)
	return h.callBalancer(in, func(now float64) *balance.Actions {
		request, actions := in.balancer.RequestArrived(now, info)
		in.slots[info.Ref].request = request
		return actions
	})
}

func (h *host) ResponseStarted(requestID string, attempt int) error {
	return h.callRequest(requestID, func(r *balance.Request, now float64) *balance.Actions {
		return r.ResponseStarted(now, attempt)
	})
}

func (h *host) AttemptEnded(a simwire.AttemptResult) error {
	return h.callRequest(a.RequestID, func(r *balance.Request, now float64) *balance.Actions {
		return r.AttemptEnded(now, a.Number, a.Outcome, a.Latency, a.RequestOver)
	})
}

func (h *host) ClientDisconnected(requestID string) error {
	return h.callRequest(requestID, func(r *balance.Request, now float64) *balance.Actions {
		return r.ClientDisconnected(now)
	})
}

func (h *host) TimerFired(label int) error {
	in, err := h.instance()
	if err != nil {
		return err
	}
	if label == balancerTimer {
		return h.callBalancer(in, in.balancer.TimerFired)
	}
	ref := refOfLabel(label)
	if ref < 0 || ref >= len(in.slots) {
		return &fieldError{"Label", fmt.Sprintf("no timer has this label: %d", label)}
	}
	request := in.slots[ref].request
	if request == nil {
		return nil
	}
	// The timer may have been set for an earlier request in the slot. That is harmless: this request checks what is due.
	return h.callBalancer(in, request.TimerFired)
}

func (h *host) HealthChecked(server string, ok bool, report balance.LoadReport) error {
	in, err := h.instance()
	if err != nil {
		return err
	}
	index, known := in.registry.Find(server)
	if !known {
		return nil
	}
	return h.callBalancer(in, func(now float64) *balance.Actions {
		return in.balancer.HealthChecked(now, index, ok, report)
	})
}

func (h *host) GossipReceived(from int, message balance.GossipMessage) error {
	in, err := h.instance()
	if err != nil {
		return err
	}
	return h.callBalancer(in, func(now float64) *balance.Actions {
		return in.balancer.GossipReceived(now, from, message)
	})
}

// instance returns the selected instance.
func (h *host) instance() (*instance, error) {
	in, ok := h.instances[h.selected]
	if !ok {
		return nil, &fieldError{"Proxy", fmt.Sprintf("unknown instance %d", h.selected)}
	}
	return in, nil
}

// callRequest calls a method of a request and writes the actions that it returns. It does nothing if the request has
// no slot any more: it has ended, and none of its attempts is in flight.
func (h *host) callRequest(requestID string, call func(*balance.Request, float64) *balance.Actions) error {
	in, err := h.instance()
	if err != nil {
		return err
	}
	ref, ok := in.refs[requestID]
	if !ok {
		return nil
	}
	request := in.slots[ref].request
	err = h.callBalancer(in, func(now float64) *balance.Actions { return call(request, now) })
	in.release(ref)
	return err
}

// callBalancer calls a method of an instance's balancer and writes the actions that it returns. If the balancer panics,
// it writes a message with the reason instead.
func (h *host) callBalancer(in *instance, call func(now float64) *balance.Actions) error {
	defer func() {
		if failure := recover(); failure != nil {
			h.reply.reportFailure(h.selected, failure)
		}
	}()
	actions := call(h.now)
	h.reply.write(h.selected, in, h.now, actions)
	for i := range actions.Requests {
		in.release(actions.Requests[i].Ref)
	}
	return nil
}
