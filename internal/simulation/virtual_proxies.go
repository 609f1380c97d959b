package simulation

import (
	"lockloom/balance"
	"lockloom/internal/settings"
)

// virtualProxy is one proxy.
type virtualProxy struct {
	pools            []Decider // one, or one for each pool of an ordinary scenario
	incarnation      uint32
	up               bool // takes requests
	alive            bool
	open             int
	version          int64
	idle             []int // connections, by member
	silentUntil      float64
	listExtraDelay   float64
	listDelayedUntil float64
}

// carryOut carries out what a proxy's decider orders.
func (v *virtualRun) carryOut(proxy, pool int32, o *balance.Actions) {
	if o.WakeAt > 0 {
		v.agenda.add(event{at: max(o.WakeAt, v.now), what: eventDeciderTimer, a: proxy, b: pool, gen: v.proxies[proxy].incarnation})
	}
	for k := range o.Requests {
		s := &o.Requests[k]
		t := &v.tries[s.Ref]
		if s.Send {
			v.send(int32(s.Ref), s.Endpoint)
		}
		if s.CancelAttempt > 0 {
			if g := t.attempts[s.CancelAttempt-1]; v.attempts[g].used && !v.attempts[g].closed {
				v.drop(g)
				v.agenda.add(event{at: v.now, what: eventAttemptEnds, a: g, b: int32(balance.Canceled), gen: v.attempts[g].gen})
			}
		}
		if s.Reply != balance.NoReply && !t.over {
			t.over = true
			v.answered(t, s.Reply, s.RetryAfter)
		}
		if s.WakeAt > 0 {
			v.agenda.add(event{at: max(s.WakeAt, v.now), what: eventRequestTimer, a: int32(s.Ref), gen: t.gen})
		}
	}
	for k := range o.Requests {
		v.release(int32(o.Requests[k].Ref))
	}
}

// applyEntry carries out something of the timeline.
func (v *virtualRun) applyEntry(h TimelineEntry) {
	if !h.FollowUp {
		v.tally.event(v.now-epoch, h.String())
	}
	if h.ProxyEvent == NoProxyEvent {
		e, later := v.fleet.Apply(v.now, h.Change)
		v.addMembers()
		v.carryOutEffect(e)
		for _, a := range later {
			v.schedule(TimelineEntry{At: a.At - epoch, Change: a, FollowUp: true})
		}
		return
	}
	for i, p := range v.proxies {
		if h.ProxyIndex >= 0 && h.ProxyIndex != i {
			continue
		}
		switch h.ProxyEvent {
		case ListLate:
			p.listExtraDelay, p.listDelayedUntil = h.Delay, v.now+h.Duration
		case ListSilent:
			p.silentUntil = max(p.silentUntil, v.now+h.Duration)
		case ListMute:
			p.silentUntil = max(p.silentUntil, v.now+muteDuration)
		case ProxyKill:
			v.kill(i)
			v.agenda.add(event{at: v.now + h.Duration, what: eventProxyStarts, a: int32(i)})
		case ProxyRestart:
			p.up = false
			v.agenda.add(event{at: v.now + v.scenario.longest() + killMargin, what: eventProxyStarts, a: int32(i)})
		}
	}
}

// kill ends a proxy with all it had in hand.
func (v *virtualRun) kill(i int) {
	p := v.proxies[i]
	p.up, p.alive = false, false
	p.incarnation++
	for k := range v.tries {
		t := &v.tries[k]
		if !t.used || t.proxy != int32(i) {
			continue
		}
		if !t.over {
			t.over = true
			v.audit.ClientGone(v.now, t.id)
			v.tally.LostWithProxy++
			v.tally.second(v.now-epoch).Lost++
			v.retry(t, balance.Failed, 0)
			t = &v.tries[k]
		}
		for _, g := range t.attempts {
			if v.attempts[g].used && v.attempts[g].try == int32(k) && !v.attempts[g].closed {
				v.drop(g)
				v.freed(g)
			}
		}
		v.free(int32(k))
	}
	p.open = 0
}

// start starts a proxy that knows nothing but the list.
func (v *virtualRun) start(i int) {
	p := v.proxies[i]
	if p.alive && p.open > 0 { // told to stop, and not done: it is killed
		v.kill(i)
	}
	d := v.settings.Deployment
	var pools []Decider
	for k := range v.scenario.pools() {
		d.Seed = v.seed + uint64(i)<<32 + uint64(p.incarnation) + uint64(k)<<16
		decider, err := v.policy(d, v.now)
		if err != nil {
			v.err = err
			return
		}
		pools = append(pools, decider)
	}
	*p = virtualProxy{pools: pools, incarnation: p.incarnation + 1, up: true, alive: true, silentUntil: p.silentUntil, listExtraDelay: p.listExtraDelay, listDelayedUntil: p.listDelayedUntil}
	var list []balance.Endpoint
	for k, m := range v.fleet.Members {
		if m.State != balance.Removed {
			list = append(list, v.entry(k))
			v.told(i, k)
		}
	}
	p.version = v.fleet.Version
	v.list(i, true, list)
}

// entry is a member as the list has it.
func (v *virtualRun) entry(i int) balance.Endpoint {
	m := v.fleet.Members[i]
	model, ok := v.models[m.Model]
	if !ok {
		model = len(v.models)
		v.models[m.Model] = model
	}
	return balance.Endpoint{Index: i, NameHash: settings.NameHash(m.Name), Zone: v.zones[m.Zone], Pod: m.Pod, Model: model, State: m.State, StartedAt: m.StartedAt()}
}

func (v *virtualRun) told(proxy, member int) {
	if v.fleet.Members[member].State != balance.Ready {
		v.audit.ProxyNotified(v.now, proxy, member)
	}
}

// listChanged has a change of the list told to all proxies.
func (v *virtualRun) listChanged() {
	for k, m := range v.fleet.Members {
		if m.State != balance.Ready {
			v.audit.MemberNotReady(v.now, k)
		}
	}
	for i, p := range v.proxies {
		at := v.now + listDelay
		if v.now < p.listDelayedUntil {
			at += p.listExtraDelay
		}
		v.agenda.add(event{at: max(at, p.silentUntil), what: eventProxyNotified, a: int32(i)})
	}
}

// list tells each pool of a proxy what of a list concerns it.
func (v *virtualRun) list(i int, first bool, list []balance.Endpoint) {
	for k, group := range v.scenario.pools() {
		own := list
		if group >= 0 {
			own = nil
			for _, b := range list {
				if v.fleet.Members[b.Index].Group == group {
					own = append(own, b)
				}
			}
		}
		v.carryOut(int32(i), int32(k), v.proxies[i].pools[k].EndpointsUpdated(v.now, first, first, own))
	}
}

// pool is the number of the pool that a class's requests go to.
func (v *virtualRun) pool(class int) int32 {
	if v.scenario.PlainHTTP() {
		for k, group := range v.scenario.pools() {
			if v.scenario.Servers[group].Name == v.scenario.Classes[class].Pool {
				return int32(k)
			}
		}
	}
	return 0
}

// notifyProxy tells a proxy what changed since it was last told.
func (v *virtualRun) notifyProxy(i int) {
	p := v.proxies[i]
	if !p.alive {
		return
	}
	var list []balance.Endpoint
	for k, m := range v.fleet.Members {
		if m.ChangedAfter(p.version) {
			list = append(list, v.entry(k))
			v.told(i, k)
		}
	}
	p.version = v.fleet.Version
	if len(list) > 0 {
		v.list(i, false, list)
	}
}
