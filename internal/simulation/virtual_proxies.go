package simulation

import (
	"lockloom/balance"
	"lockloom/internal/emulator"
	"lockloom/internal/settings"
)

// virtualProxy is a proxy in virtual time.
type virtualProxy struct {
	pools            []Decider // one decider, or one for each pool of a scenario with plain HTTP clients
	incarnation      uint32    // counts starts and kills; timers of an earlier incarnation are ignored
	up               bool      // it accepts requests
	alive            bool      // its process runs
	openTries        int
	version          int64   // of the endpoint list at its last notification
	idleConnections  []int   // by member
	silentUntil      float64 // when its agent sends notifications again
	listExtraDelay   float64 // s; added to the delay of notifications until listDelayedUntil
	listDelayedUntil float64
}

// carryOut carries out the actions of a proxy's decider.
func (v *virtualRun) carryOut(proxy, pool int32, actions *balance.Actions) {
	if actions.WakeAt > 0 {
		v.agenda.add(event{
			at:         max(actions.WakeAt, v.now),
			kind:       eventDeciderTimer,
			target:     proxy,
			detail:     pool,
			generation: v.proxies[proxy].incarnation,
		})
	}
	for k := range actions.Requests {
		v.carryOutRequest(&actions.Requests[k])
	}
	for k := range actions.Requests {
		v.release(int32(actions.Requests[k].Ref))
	}
}

// carryOutRequest carries out the action for one try.
func (v *virtualRun) carryOutRequest(action *balance.RequestAction) {
	i := int32(action.Ref)
	t := &v.tries[i]
	if action.Send {
		v.send(i, action.Endpoint)
	}
	if action.CancelAttempt > 0 {
		if ref := t.attempts[action.CancelAttempt-1]; v.attempts[ref].used && !v.attempts[ref].closed {
			v.abandon(ref)
			v.scheduleEnd(ref, v.now, balance.Canceled)
		}
	}
	if action.Reply != balance.NoReply && !t.over {
		t.over = true
		v.reply(t, action.Reply, action.RetryAfter)
	}
	if action.WakeAt > 0 {
		at := max(action.WakeAt, v.now)
		v.agenda.add(event{at: at, kind: eventRequestTimer, target: i, generation: t.generation})
	}
}

// applyEntry carries out an entry of the timeline.
func (v *virtualRun) applyEntry(entry TimelineEntry) {
	if !entry.FollowUp {
		v.tally.event(v.now-epoch, entry.String())
	}
	if entry.ProxyEvent == NoProxyEvent {
		v.applyChange(entry.Change)
		return
	}
	for i := range v.proxies {
		if entry.ProxyIndex < 0 || entry.ProxyIndex == i {
			v.applyProxyEvent(i, entry)
		}
	}
}

// applyChange carries out a change of a server, and schedules the changes that follow from it.
func (v *virtualRun) applyChange(change emulator.Change) {
	effect, followUps := v.fleet.Apply(v.now, change)
	v.addMembers()
	v.carryOutEffect(effect)
	for _, followUp := range followUps {
		v.schedule(TimelineEntry{At: followUp.At - epoch, Change: followUp, FollowUp: true})
	}
}

// applyProxyEvent carries out an event at one proxy. ListReset, ProxyUpgrade, ProxyDrain and DisableServer have no
// effect in virtual time.
func (v *virtualRun) applyProxyEvent(i int, entry TimelineEntry) {
	p := v.proxies[i]
	switch entry.ProxyEvent {
	case ListLate:
		p.listExtraDelay = entry.Delay
		p.listDelayedUntil = v.now + entry.Duration
	case ListSilent:
		p.silentUntil = max(p.silentUntil, v.now+entry.Duration)
	case ListMute:
		p.silentUntil = max(p.silentUntil, v.now+muteDuration)
	case ProxyKill:
		v.killProxy(i)
		v.agenda.add(event{at: v.now + entry.Duration, kind: eventProxyStarts, target: int32(i)})
	case ProxyRestart:
		p.up = false
		at := v.now + v.scenario.longestDeadline() + killMargin
		v.agenda.add(event{at: at, kind: eventProxyStarts, target: int32(i)})
	}
}

// killProxy kills a proxy. All its open tries are lost.
func (v *virtualRun) killProxy(i int) {
	p := v.proxies[i]
	p.up = false
	p.alive = false
	p.incarnation++
	for k := range v.tries {
		if t := &v.tries[k]; t.used && t.proxy == int32(i) {
			v.loseTry(int32(k))
		}
	}
	p.openTries = 0
}

// loseTry ends a try whose proxy has been killed. Its client may retry.
func (v *virtualRun) loseTry(i int32) {
	if t := &v.tries[i]; !t.over {
		t.over = true
		v.audit.ClientGone(v.now, t.auditID)
		v.tally.LostWithProxy++
		v.tally.second(v.now-epoch).Lost++
		v.retry(t, balance.Failed, 0)
	}
	for _, ref := range v.tries[i].attempts {
		if v.isPending(ref, i) {
			v.abandon(ref)
			v.freeAttempt(ref)
		}
	}
	v.freeTry(i)
}

// startProxy starts a proxy with no state but the endpoint list. One that still has open tries is killed first.
func (v *virtualRun) startProxy(i int) {
	p := v.proxies[i]
	if p.alive && p.openTries > 0 { // the old process got SIGTERM but has not exited yet
		v.killProxy(i)
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
	*p = virtualProxy{
		pools:            pools,
		incarnation:      p.incarnation + 1,
		up:               true,
		alive:            true,
		silentUntil:      p.silentUntil,
		listExtraDelay:   p.listExtraDelay,
		listDelayedUntil: p.listDelayedUntil,
	}
	var list []balance.Endpoint
	for k, m := range v.fleet.Members {
		if m.State != balance.Removed {
			list = append(list, v.endpointOf(k))
			v.recordNotified(i, k)
		}
	}
	p.version = v.fleet.Version
	v.updateEndpoints(i, true, list)
}

// endpointOf returns the entry of a member in the endpoint list.
func (v *virtualRun) endpointOf(i int) balance.Endpoint {
	m := v.fleet.Members[i]
	model, ok := v.models[m.Model]
	if !ok {
		model = len(v.models)
		v.models[m.Model] = model
	}
	return balance.Endpoint{
		Index:     i,
		NameHash:  settings.NameHash(m.Name),
		Zone:      v.zones[m.Zone],
		Pod:       m.Pod,
		Model:     model,
		State:     m.State,
		StartedAt: m.StartedAt(),
	}
}

// recordNotified records in the audit that a proxy is notified of a member that is not ready.
func (v *virtualRun) recordNotified(proxy, member int) {
	if v.fleet.Members[member].State != balance.Ready {
		v.audit.ProxyNotified(v.now, proxy, member)
	}
}

// listChanged records the members that are not ready in the audit, and schedules the notification of all proxies.
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
		v.agenda.add(event{at: max(at, p.silentUntil), kind: eventProxyNotified, target: int32(i)})
	}
}

// updateEndpoints passes a list to each pool of a proxy, reduced to the servers of the pool.
func (v *virtualRun) updateEndpoints(i int, first bool, list []balance.Endpoint) {
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

// poolOf returns the number of the pool that serves a class.
func (v *virtualRun) poolOf(class int) int32 {
	if v.scenario.PlainHTTP() {
		for k, group := range v.scenario.pools() {
			if v.scenario.Servers[group].Name == v.scenario.Classes[class].Pool {
				return int32(k)
			}
		}
	}
	return 0
}

// notifyProxy notifies a proxy of what changed since its last notification.
func (v *virtualRun) notifyProxy(i int) {
	p := v.proxies[i]
	if !p.alive {
		return
	}
	var list []balance.Endpoint
	for k, m := range v.fleet.Members {
		if m.ChangedAfter(p.version) {
			list = append(list, v.endpointOf(k))
			v.recordNotified(i, k)
		}
	}
	p.version = v.fleet.Version
	if len(list) > 0 {
		v.updateEndpoints(i, false, list)
	}
}
