package main

import (
	"fmt"
	"io"

	"lockloom/balance"
	"lockloom/internal/gossip"
	"lockloom/internal/settings"
	"lockloom/internal/simwire"
)

// host keeps the instances of this process apart; they share nothing but the clock.
type host struct {
	w         *simwire.Writer
	now       float64
	number    string
	instances map[int]*instance
	at        int // the instance spoken of
	written   int // the instance last written of, -1 for none in this reply
}

// instance is one balancer with the names the bench knows things by.
type instance struct {
	b       *balance.Balancer
	names   *settings.Registry
	lookups map[string]int
	slots   []slot // by Arrival.Ref; a timer's label is one more, that of the balancer's own is 0
	free    []int
}

type slot struct {
	id     string
	lookup *balance.Request
}

func newHost(out io.Writer) *host {
	return &host{w: simwire.NewWriter(out), instances: map[int]*instance{}, at: -1, written: -1}
}

func (h *host) Batch(now float64, number string) {
	h.now, h.number, h.at, h.written = now, number, -1, -1
}

func (h *host) Finish() error { return h.w.Ready(h.number) }

func (h *host) Instance(n int) error {
	h.at = n
	return nil
}

func (h *host) Launched(f settings.Settings) error {
	if h.at < 0 {
		return fmt.Errorf("Proxy: no instance named")
	}
	b, err := balance.New(f.Deployment, h.now)
	if err != nil {
		return err
	}
	h.instances[h.at] = &instance{b: b, names: f.NewRegistry(), lookups: map[string]int{}}
	return nil
}

func (h *host) Stopped() error {
	_, err := h.instance()
	delete(h.instances, h.at)
	return err
}

func (h *host) Listed(kind simwire.ListKind, entries []settings.Entry) error {
	in, err := h.instance()
	if err != nil {
		return err
	}
	if kind == simwire.PollFailed {
		return h.decide(in, in.b.PollFailed)
	}
	list := make([]balance.Endpoint, len(entries))
	for i, e := range entries {
		list[i] = in.names.Endpoint(e)
	}
	full, first := kind != simwire.Changes, kind == simwire.CachedList
	return h.decide(in, func(now float64) *balance.Actions { return in.b.EndpointsUpdated(now, full, first, list) })
}

func (h *host) Order(o simwire.RequestOrder) error {
	in, err := h.instance()
	if err != nil {
		return err
	}
	a := o.RequestInfo
	var ok bool
	if a.Class, ok = in.names.Class(o.ClassName); !ok {
		return fmt.Errorf("Class: unknown: %q", o.ClassName)
	}
	a.Tenant, a.Key = in.names.Tenant(o.TenantName), settings.NameHash(o.KeyName)
	if _, ok = in.lookups[o.ID]; ok {
		return fmt.Errorf("Job: used before: %q", o.ID)
	}
	if n := len(in.free); n > 0 {
		a.Ref, in.free = in.free[n-1], in.free[:n-1]
	} else {
		a.Ref = len(in.slots)
		in.slots = append(in.slots, slot{})
	}
	in.lookups[o.ID] = a.Ref
	in.slots[a.Ref].id = o.ID
	return h.decide(in, func(now float64) *balance.Actions {
		l, orders := in.b.RequestArrived(now, a)
		in.slots[a.Ref].lookup = l
		return orders
	})
}

func (h *host) Started(id string, attempt int) error {
	return h.tell(id, func(l *balance.Request, now float64) *balance.Actions { return l.ResponseStarted(now, attempt) })
}

func (h *host) Ended(e simwire.End) error {
	return h.tell(e.ID, func(l *balance.Request, now float64) *balance.Actions {
		return l.AttemptEnded(now, e.Leg, e.Outcome, e.Latency, e.Over)
	})
}

func (h *host) Left(id string) error {
	return h.tell(id, func(l *balance.Request, now float64) *balance.Actions { return l.ClientDisconnected(now) })
}

func (h *host) Fired(label int) error {
	in, err := h.instance()
	if err != nil {
		return err
	}
	if label == 0 {
		return h.decide(in, in.b.TimerFired)
	}
	if label < 0 || label > len(in.slots) {
		return fmt.Errorf("Label: never set: %d", label)
	}
	if l := in.slots[label-1].lookup; l != nil { // a slot's later request may hear its earlier one's timer
		return h.decide(in, l.TimerFired)
	}
	return nil
}

func (h *host) Probed(server string, ok bool, r balance.LoadReport) error {
	in, err := h.instance()
	if err != nil {
		return err
	}
	index, known := in.names.Find(server)
	if !known {
		return nil
	}
	return h.decide(in, func(now float64) *balance.Actions { return in.b.HealthChecked(now, index, ok, r) })
}

func (h *host) Heard(from int, n balance.GossipMessage) error {
	in, err := h.instance()
	if err != nil {
		return err
	}
	return h.decide(in, func(now float64) *balance.Actions { return in.b.GossipReceived(now, from, n) })
}

func (h *host) instance() (*instance, error) {
	in, ok := h.instances[h.at]
	if !ok {
		return nil, fmt.Errorf("Proxy: unknown instance %d", h.at)
	}
	return in, nil
}

// tell calls a request that is still kept; of one that has wholly ended there is nothing to say.
func (h *host) tell(id string, call func(*balance.Request, float64) *balance.Actions) error {
	in, err := h.instance()
	if err != nil {
		return err
	}
	ref, ok := in.lookups[id]
	if !ok {
		return nil
	}
	l := in.slots[ref].lookup
	err = h.decide(in, func(now float64) *balance.Actions { return call(l, now) })
	in.release(ref)
	return err
}

// decide makes one call on the decisions and writes what they order.
func (h *host) decide(in *instance, call func(now float64) *balance.Actions) error {
	defer func() {
		if p := recover(); p != nil {
			h.context()
			h.w.Broken(fmt.Sprint(p))
		}
	}()
	o := call(h.now)
	if len(o.Requests) > 0 || len(o.HealthChecks) > 0 || len(o.CloseIdle) > 0 || o.Gossip != nil || o.Subscribe || o.WakeAt > 0 {
		h.context()
	}
	for _, i := range o.CloseIdle { // before a send, which then opens anew
		h.w.HangUp(in.names.Name(i))
	}
	for _, i := range o.HealthChecks {
		h.w.Probe(in.names.Name(i))
	}
	if o.Gossip != nil {
		h.w.Tell(o.GossipPeer, gossip.ToHex(*o.Gossip))
	}
	for i := range o.Requests {
		s := &o.Requests[i]
		id := in.slots[s.Ref].id
		if s.Send {
			h.w.Send(id, in.names.Name(s.Endpoint), s.Deadline)
		}
		if s.CancelAttempt > 0 {
			h.w.CallOff(id, s.CancelAttempt-1)
		}
		switch s.Reply {
		case balance.Rejected:
			h.w.Dismiss(id, s.RetryAfter)
		case balance.Failed:
			h.w.Forfeit(id)
		}
		if s.WakeAt > 0 {
			h.w.Wake(max(0, s.WakeAt-h.now), s.Ref+1)
		}
	}
	if o.Subscribe {
		h.w.Subscribe()
	}
	if o.WakeAt > 0 {
		h.w.Wake(max(0, o.WakeAt-h.now), 0)
	}
	for i := range o.Requests { // free what has wholly ended
		in.release(o.Requests[i].Ref)
	}
	return nil
}

func (in *instance) release(ref int) {
	s := &in.slots[ref]
	if s.lookup != nil && s.lookup.Done() {
		delete(in.lookups, s.id)
		*s = slot{}
		in.free = append(in.free, ref)
	}
}

func (h *host) context() {
	if h.written != h.at {
		h.w.Instance(h.at)
		h.written = h.at
	}
}
