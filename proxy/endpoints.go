package proxy

import (
	"maps"
	"math"
	"slices"
	"sync"
	"time"

	"lockloom/balance"
	"lockloom/internal/discovery"
	"lockloom/lifecycle"
)

// endpointList is the endpoint list as the owner has received it, and what the owner tracks about its servers.
type endpointList struct {
	version       int64                   // version of the endpoint list
	received      bool                    // a list was applied
	known         map[int]discovery.Entry // the listed servers, by index, as discovery sent them
	static        map[int]bool            // indexes of servers from the operator file: no list removes them
	stopSendAt    []float64               // drain start by index, by the list: nothing is sent after its grace; +Inf: none
	adminState    lifecycle.AdminState    // admin state that was last applied to the list
	unlisted      unlistedServers
	firstReceived chan struct{} // closed, by markReceived, when discovery has sent a list
	markReceived  func()

	subscription *subscription // nil: none
	pending      *subscription // started, but not yet answered; nil: none
}

func newEndpointList(removalIsAdvisory bool) endpointList {
	received := make(chan struct{})
	return endpointList{
		known:         map[int]discovery.Entry{},
		static:        map[int]bool{},
		unlisted:      newUnlistedServers(removalIsAdvisory),
		firstReceived: received,
		markReceived:  sync.OnceFunc(func() { close(received) }),
	}
}

// record stores listed servers as discovery sent them: for pools that are added later, for servers that are enabled
// again and for a successor.
func (l *endpointList) record(full bool, entries []discovery.Entry, indexOf func(name string) (int, bool)) {
	previous := l.known
	if full {
		l.known = make(map[int]discovery.Entry, len(entries))
	}
	for _, entry := range entries {
		index, _ := indexOf(entry.Name)
		if entry.State != balance.Removed {
			l.known[index] = entry
			continue
		}
		if dropped, listed := l.known[index]; listed {
			l.unlisted.add(dropped)
		}
		delete(l.known, index)
	}
	if full {
		l.addUnlisted(previous)
	}
	l.unlisted.removeListed(entries)
}

// addUnlisted adds to the unlisted servers those of a previous list that are not listed now.
func (l *endpointList) addUnlisted(previous map[int]discovery.Entry) {
	for index, dropped := range previous {
		if _, listed := l.known[index]; !listed {
			l.unlisted.add(dropped)
		}
	}
}

// sortedIndexes returns the indexes of the listed servers in ascending order.
func (l *endpointList) sortedIndexes() []int { return slices.Sorted(maps.Keys(l.known)) }

// list returns the full list, as discovery sent it.
func (l *endpointList) list() List {
	list := List{Version: l.version, Full: true}
	for _, index := range l.sortedIndexes() {
		list.Entries = append(list.Entries, l.known[index])
	}
	return list
}

// applyEndpointList applies a full list of servers or changes to it. first is set for the list that the proxy starts
// with.
func (p *Proxy) applyEndpointList(list List, first bool) {
	p.endpoints.version, p.endpoints.received = list.Version, true
	since := p.now()
	if !list.NotifiedAt.IsZero() { // it may count as received long before this process or its owner got it
		since = min(since, p.toUnixSeconds(list.NotifiedAt))
	}
	p.dropReplaced(&list, since)
	entries := list.Entries
	list.Entries = slices.Clone(entries)
	endpoints := p.applyEntries(list.Entries, since)
	if list.Full {
		p.removeUnlisted(endpoints, since)
	}
	p.endpoints.record(list.Full, entries, p.registry.Find)
	for _, pool := range p.pools.all {
		p.updatePool(pool, list, first, endpoints)
	}
	p.forgetUnused()
	p.estimates.addRemoved(entries)
	p.reportEstimates()
}

// applyEntries applies the states of listed servers, which count as received at since, in seconds since 1970. It
// applies the admin state to the entries in place and returns them converted for the balancers.
func (p *Proxy) applyEntries(entries []discovery.Entry, since float64) []balance.Endpoint {
	endpoints := make([]balance.Endpoint, len(entries))
	for i := range entries {
		p.process.pinKnownID(entries[i].Name)
		listedState := entries[i].State
		entry := p.withAdminState(entries[i])
		endpoint := p.registry.Endpoint(entry.Entry)
		entries[i], endpoints[i] = entry, endpoint
		if endpoint.State != balance.Removed || !p.pools.inUse(endpoint.Index) {
			p.upstream.SetEndpoint(endpoint.Index, entry.Name, entry.Addr, endpoint.StartedAt)
		}
		p.applyEndpointState(endpoint.Index, listedState, since)
	}
	return endpoints
}

// removeUnlisted stops sending to the servers that a full list leaves out, also for attempts whose connections are
// still being opened.
func (p *Proxy) removeUnlisted(listed []balance.Endpoint, since float64) {
	isListed := map[int]bool{}
	for i := range listed {
		isListed[listed[i].Index] = true
	}
	for index := range p.endpoints.known {
		if !isListed[index] && !p.endpoints.static[index] {
			p.applyEndpointState(index, balance.Removed, since)
		}
	}
}

// forgetUnused frees the indexes of servers that are in no operator file and that no balancer uses any more.
func (p *Proxy) forgetUnused() {
	for index := range p.registry.Size() {
		if p.registry.Name(index) != "" && !p.endpoints.static[index] && !p.pools.inUse(index) {
			p.forgetEndpoint(index)
		}
	}
	p.forgetUnlisted()
}

// forgetEndpoint frees the index of a server that is gone. No action names the index any more, and exchanges in flight
// hold references to their connection and server.
func (p *Proxy) forgetEndpoint(index int) {
	p.endpoints.stopSendAt[index] = math.Inf(1)
	p.upstream.Remove(index)
	p.process.unpinKnownID(p.registry.Name(index))
	p.registry.Forget(index)
}

// applyEndpointState sets when sending to a server stops by the state that the list has of it, and closes its idle
// connections if it stops. The state counts as received at since, in seconds since 1970. Whether the server is disabled
// is no matter of the list, see disabledServers.
func (p *Proxy) applyEndpointState(index int, state balance.EndpointState, since float64) {
	list := &p.endpoints
	for len(list.stopSendAt) <= index {
		list.stopSendAt = append(list.stopSendAt, math.Inf(1))
	}
	switch {
	case state == balance.Ready:
		list.stopSendAt[index] = math.Inf(1)
		p.upstream.StopSendingAt(index, time.Time{})
		return
	case state == balance.Removed && p.bootstrap.RemovalIsAdvisory: // an earlier drain stays in force
		return
	}
	list.stopSendAt[index] = min(list.stopSendAt[index], since)
	p.upstream.StopSendingAt(index, p.fromUnixSeconds(list.stopSendAt[index]+p.bootstrap.DrainGrace))
	p.upstream.CloseIdle(index)
}
