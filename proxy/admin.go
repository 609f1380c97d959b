package proxy

import (
	"maps"
	"slices"

	"github.com/sirupsen/logrus"

	"lockloom/balance"
	"lockloom/internal/admin"
	"lockloom/internal/discovery"
	"lockloom/internal/http1"
	"lockloom/lifecycle"
)

// Administer carries out an admin call and returns the status and body of its response. A change is recorded, with the
// current time, before Administer returns. The owner applies it a little later, within the grace of a drain; Administer
// does not wait for this. Any goroutine may call it.
func (p *Proxy) Administer(call admin.Call) (status int, text string) {
	s, now := p.process, p.now()
	s.mu.Lock()
	defer s.mu.Unlock()
	switch call.Action {
	case admin.Ready:
		if !s.lifecycle.Ready() {
			return http1.StatusServiceUnavailable, "not ready"
		}
		return http1.StatusOK, "ready"
	case admin.Disable, admin.Enable:
		if !s.knowsServer(call.ID) {
			return http1.StatusNotFound, "no backend of that id was ever listed"
		}
		if call.Action == admin.Disable {
			s.lifecycle.Disable(call.ID, now)
		} else {
			s.lifecycle.Enable(call.ID, now)
		}
	case admin.Drain, admin.Resume:
		s.lifecycle.SetDraining(call.Action == admin.Drain, now)
	}
	s.notifyAdminChange(nil)
	return http1.StatusOK, "done"
}

// cloneAdminState returns a copy of a lifecycle's admin state.
func cloneAdminState(l *lifecycle.Process) lifecycle.AdminState {
	state := &l.AdminState
	return state.Clone()
}

// applyAdminState passes the servers that were disabled or enabled since its last call to the balancers. The owner
// calls it.
func (p *Proxy) applyAdminState() {
	state := readLifecycle(p.process, cloneAdminState)
	previous := p.endpoints.adminState
	p.endpoints.adminState = state
	var changed List
	var unlisted []string // names of changed servers that the list does not have
	for _, id := range slices.Sorted(maps.Keys(state.Servers)) {
		if previous.Servers[id] == state.Servers[id] {
			continue
		}
		p.logServerSwitch(id, state.Servers[id].On)
		index, ok := p.registry.Find(id)
		if ok && state.Servers[id].On {
			p.upstream.CloseIdle(index)
		}
		entry, listed := p.endpoints.known[index]
		switch {
		case ok && listed:
			changed.Entries = append(changed.Entries, entry)
		case ok && p.endpoints.static[index]:
			p.updateStaticPools(index)
		default:
			unlisted = append(unlisted, id)
		}
	}
	if previous.Drain.On != state.Drain.On {
		p.log.WithField("drained", state.Drain.On).Info("drain")
	}
	p.applyAdminStateToUnlisted(unlisted)
	if len(changed.Entries) > 0 {
		changed.Version = p.endpoints.version
		p.applyEndpointList(changed, false)
	} else {
		p.reportEstimates()
	}
}

// logServerSwitch logs that a server was disabled or enabled, whether the list names it, and how many pools' balancers
// have it: a server that the list does not name may still be in use.
func (p *Proxy) logServerSwitch(id string, disabled bool) {
	listed, pools := false, 0
	if index, ok := p.registry.Find(id); ok {
		_, listed = p.endpoints.known[index]
		pools = p.pools.using(index)
	}
	p.log.WithFields(logrus.Fields{
		"server":   id,
		"disabled": disabled,
		"listed":   listed,
		"pools":    pools,
	}).Info("server disabled or enabled")
}

// updateStaticPools updates every pool with configured servers that has the server with the given index.
func (p *Proxy) updateStaticPools(index int) {
	hasIndex := func(endpoint balance.Endpoint) bool { return endpoint.Index == index }
	for _, pool := range p.pools.all {
		if pool.static && slices.ContainsFunc(pool.staticEndpoints, hasIndex) {
			p.updateStaticPool(pool)
		}
	}
}

// withAdminState returns an entry of the endpoint list with the admin state applied: a disabled server drains.
func (p *Proxy) withAdminState(entry discovery.Entry) discovery.Entry {
	disabled, startedAt := p.endpoints.adminState.Disabled(entry.Name, entry.StartedAt)
	entry.StartedAt = startedAt
	if disabled && entry.State == balance.Ready {
		entry.State = balance.Draining
	}
	return entry
}

// staticWithAdminState returns configured servers of a pool with the admin state applied.
func (p *Proxy) staticWithAdminState(endpoints []balance.Endpoint) []balance.Endpoint {
	out := slices.Clone(endpoints)
	for i := range out {
		endpoint := &out[i]
		entry := p.withAdminState(p.staticEntry(endpoint))
		endpoint.State, endpoint.StartedAt = entry.State, entry.StartedAt
	}
	return out
}

// staticEntry returns a configured server in the form of a list entry.
func (p *Proxy) staticEntry(endpoint *balance.Endpoint) discovery.Entry {
	var entry discovery.Entry
	entry.Name = p.registry.Name(endpoint.Index)
	entry.State, entry.StartedAt = endpoint.State, endpoint.StartedAt
	return entry
}
