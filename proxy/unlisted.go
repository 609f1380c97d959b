package proxy

import (
	"time"

	"lockloom/balance"
	"lockloom/internal/discovery"
)

// reenabledTrial is how long a server that is enabled while the list does not name it may be used without having
// answered. From then on it is used as any server that the list has dropped: as long as it answers.
const reenabledTrial = 5 * time.Second

// unlistedServers holds, by name, the servers that the list has dropped without draining them, and that are in use
// nevertheless, since removal is advisory, or were when they were disabled. It is nil where removal is binding, and
// belongs to the owner.
type unlistedServers map[string]*unlistedServer

// unlistedServer is one of unlistedServers.
type unlistedServer struct {
	entry discovery.Entry // its last one in the list
	trial timer           // ends the use of a server that has not answered since it was enabled
}

func newUnlistedServers(removalIsAdvisory bool) unlistedServers {
	if !removalIsAdvisory {
		return nil
	}
	return unlistedServers{}
}

// add adds a server that the list drops, unless the list has drained it before.
func (u unlistedServers) add(entry discovery.Entry) {
	if u != nil && entry.State == balance.Ready {
		u[entry.Name] = &unlistedServer{entry: entry}
	}
}

// removeListed removes the servers that a list names, and those whose addresses it gives to others.
func (u unlistedServers) removeListed(entries []discovery.Entry) {
	if len(u) == 0 {
		return
	}
	addrs := map[string]bool{}
	for i := range entries {
		if entries[i].State != balance.Removed {
			delete(u, entries[i].Name)
			addrs[entries[i].Addr] = true
		}
	}
	for name, server := range u {
		if addrs[server.entry.Addr] {
			delete(u, name)
		}
	}
}

// forgetUnlisted forgets the unlisted servers that no balancer uses any more and that are not disabled.
func (p *Proxy) forgetUnlisted() {
	for name := range p.endpoints.unlisted {
		index, found := p.registry.Find(name)
		_, disabled := p.endpoints.adminState.DisabledSince(name)
		if disabled || found && p.pools.inUse(index) {
			continue
		}
		delete(p.endpoints.unlisted, name)
	}
}

// applyAdminStateToUnlisted applies the admin state to servers that the list does not name, so that no entry of it
// reaches the balancers. All pools, and subscribers of the control plane, drop those that are disabled.
func (p *Proxy) applyAdminStateToUnlisted(names []string) {
	for _, name := range names {
		if _, disabled := p.endpoints.adminState.DisabledSince(name); !disabled {
			p.tryReenabled(name)
			continue
		}
		p.estimates.addRemovedName(name)
		if index, found := p.registry.Find(name); found {
			p.dropFromPools(index)
		}
	}
	if len(names) > 0 {
		p.forgetUnused()
	}
}

// tryReenabled makes a server that was enabled usable for reenabledTrial, as one that has just restarted. The list does
// not name it: if it does not answer meanwhile, it is not used any more.
func (p *Proxy) tryReenabled(name string) {
	server, found := p.endpoints.unlisted[name]
	if !found {
		return
	}
	endpoint := p.registry.Endpoint(p.withAdminState(server.entry).Entry)
	p.upstream.SetEndpoint(endpoint.Index, name, server.entry.Addr, endpoint.StartedAt)
	p.applyEndpointState(endpoint.Index, balance.Ready, p.now())
	p.updateUnlisted(server, balance.Ready)
	p.loop.timers.cancel(&server.trial)
	server.trial.call = func() { p.endTrial(server) }
	p.loop.timers.add(&server.trial, p.now()+reenabledTrial.Seconds())
}

// endTrial ends the trial of a server, unless the list names it by now or no pool has it any more.
func (p *Proxy) endTrial(server *unlistedServer) {
	name := server.entry.Name
	if _, found := p.registry.Find(name); !found || p.endpoints.unlisted[name] != server {
		return
	}
	p.updateUnlisted(server, balance.Removed)
	p.forgetUnused()
}

// updateUnlisted passes a state of an unlisted server to the pools that it belongs to.
func (p *Proxy) updateUnlisted(server *unlistedServer, state balance.EndpointState) {
	entry := server.entry
	entry.State = state
	entry = p.withAdminState(entry)
	endpoints := []balance.Endpoint{p.registry.Endpoint(entry.Entry)}
	for _, pool := range p.pools.all {
		p.updatePool(pool, List{Entries: []discovery.Entry{entry}}, false, endpoints)
	}
}
