package proxy

import (
	"lockloom/balance"
	"lockloom/internal/settings"
)

// dropReplaced ends the use of servers whose addresses a list gives to others. Discovery has removed such a server, in
// this list or before, and another process listens at its address: nothing may be sent there under the old name,
// neither by an attempt whose connection is being opened, nor where removal is advisory and the new server's responses
// would keep the old one in use.
func (p *Proxy) dropReplaced(list *List, since float64) {
	for _, index := range p.replacedServers(list) {
		p.applyEndpointState(index, balance.Draining, since)
		p.upstream.StopSendingAt(index, p.fromUnixSeconds(p.now()))
		p.dropFromPools(index)
		delete(p.endpoints.known, index)
	}
}

// dropFromPools removes a server from all pools whether or not removal is advisory.
func (p *Proxy) dropFromPools(index int) {
	for _, pool := range p.pools.all {
		if pool.decisions.HasEndpoint(index) {
			p.removeDrained(pool, index)
		}
	}
}

// removeDrained removes a server from a pool whether or not removal is advisory: a server that has drained is not used.
func (p *Proxy) removeDrained(pool *serverPool, index int) {
	endpoint := balance.Endpoint{Index: index, NameHash: settings.NameHash(p.registry.Name(index))}
	for _, endpoint.State = range []balance.EndpointState{balance.Draining, balance.Removed} {
		p.decide(pool, func(now float64) *balance.Actions {
			return pool.decisions.EndpointsUpdated(now, false, false, []balance.Endpoint{endpoint})
		})
	}
}

// replacedServers returns the indexes of the servers in use that the list, or one before it, has removed, and whose
// addresses this list gives to others.
func (p *Proxy) replacedServers(list *List) (replaced []int) {
	owners := map[string]string{} // names of listed servers, by address
	listed := map[string]balance.EndpointState{}
	for i := range list.Entries {
		entry := &list.Entries[i]
		listed[entry.Name] = entry.State
		if entry.State != balance.Removed {
			owners[entry.Addr] = entry.Name
		}
	}
	for index := range p.registry.Size() {
		name := p.registry.Name(index)
		if name == "" || p.endpoints.static[index] || !p.pools.inUse(index) {
			continue
		}
		owner, taken := owners[p.upstream.Address(index)]
		if taken && owner != name && !p.staysListed(index, name, list.Full, listed) {
			replaced = append(replaced, index)
		}
	}
	return replaced
}

// staysListed reports whether a server is listed after a list with these states of servers.
func (p *Proxy) staysListed(index int, name string, full bool, listed map[string]balance.EndpointState) bool {
	if state, found := listed[name]; found {
		return state != balance.Removed
	}
	_, known := p.endpoints.known[index]
	return known && !full
}
