package main

import (
	"fmt"
	"io"

	"lockloom/balance"
	"lockloom/internal/settings"
	"lockloom/internal/simwire"
)

// host is the simwire.Receiver of this process. It keeps the instances apart, which share nothing but the clock.
type host struct {
	reply     *reply
	now       float64 // s
	batch     string  // its number
	instances map[int]*instance
	selected  int // the instance that calls are for; noInstance: none
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
		return &fieldError{"Proxy", "no instance named"}
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
		return h.decide(in, in.balancer.PollFailed)
	}
	endpoints := make([]balance.Endpoint, len(entries))
	for i, e := range entries {
		endpoints[i] = in.names.Endpoint(e)
	}
	full := kind != simwire.Changes
	first := kind == simwire.CachedList
	return h.decide(in, func(now float64) *balance.Actions {
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
	if info.Class, ok = in.names.Class(r.ClassName); !ok {
		return &fieldError{"Class", fmt.Sprintf("unknown: %q", r.ClassName)}
	}
	info.Tenant = in.names.Tenant(r.TenantName)
	info.Key = settings.NameHash(r.KeyName)
	if in.has(r.ID) {
		return &fieldError{"Job", fmt.Sprintf("used before: %q", r.ID)}
	}
	info.Ref = in.add(r.ID)
	return h.decide(in, func(now float64) *balance.Actions {
		request, actions := in.balancer.RequestArrived(now, info)
		in.slots[info.Ref].request = request
		return actions
	})
}

func (h *host) ResponseStarted(requestID string, attempt int) error {
	return h.decideOn(requestID, func(r *balance.Request, now float64) *balance.Actions {
		return r.ResponseStarted(now, attempt)
	})
}

func (h *host) AttemptEnded(a simwire.Attempt) error {
	return h.decideOn(a.RequestID, func(r *balance.Request, now float64) *balance.Actions {
		return r.AttemptEnded(now, a.Number, a.Outcome, a.Latency, a.Over)
	})
}

func (h *host) ClientDisconnected(requestID string) error {
	return h.decideOn(requestID, func(r *balance.Request, now float64) *balance.Actions {
		return r.ClientDisconnected(now)
	})
}

func (h *host) TimerFired(label int) error {
	in, err := h.instance()
	if err != nil {
		return err
	}
	if label == balancerTimer {
		return h.decide(in, in.balancer.TimerFired)
	}
	ref := refOfTimer(label)
	if ref < 0 || ref >= len(in.slots) {
		return &fieldError{"Label", fmt.Sprintf("never set: %d", label)}
	}
	request := in.slots[ref].request
	if request == nil {
		return nil
	}
	return h.decide(in, request.TimerFired) // perhaps of an earlier request in the slot, which does no harm
}

func (h *host) HealthChecked(server string, ok bool, report balance.LoadReport) error {
	in, err := h.instance()
	if err != nil {
		return err
	}
	index, known := in.names.Find(server)
	if !known {
		return nil
	}
	return h.decide(in, func(now float64) *balance.Actions {
		return in.balancer.HealthChecked(now, index, ok, report)
	})
}

func (h *host) GossipReceived(from int, message balance.GossipMessage) error {
	in, err := h.instance()
	if err != nil {
		return err
	}
	return h.decide(in, func(now float64) *balance.Actions {
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

// decideOn makes one call on a request. One that has ended is unknown by now, and gets none.
func (h *host) decideOn(requestID string, call func(*balance.Request, float64) *balance.Actions) error {
	in, err := h.instance()
	if err != nil {
		return err
	}
	ref, ok := in.refs[requestID]
	if !ok {
		return nil
	}
	request := in.slots[ref].request
	err = h.decide(in, func(now float64) *balance.Actions { return call(request, now) })
	in.release(ref)
	return err
}

// decide makes one call on the decisions and writes the actions that it returns. If the decisions panic, the simulator
// is told so.
func (h *host) decide(in *instance, call func(now float64) *balance.Actions) error {
	defer func() {
		if failure := recover(); failure != nil {
			h.reply.failed(h.selected, failure)
		}
	}()
	actions := call(h.now)
	h.reply.write(h.selected, in, h.now, actions)
	for i := range actions.Requests {
		in.release(actions.Requests[i].Ref)
	}
	return nil
}
