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

// endpointList is what the owner knows of servers.
type endpointList struct {
	version       int64                   // of the list
	received      bool                    // a list was applied
	known         map[int]discovery.Entry // what is listed, by index, as discovery sent it
	static        map[int]bool            // indexes of servers from the operator file: no list removes them
	stopSendAt    []float64               // by index: nothing is sent from the grace after this time on; +Inf: no bound
	adminState    lifecycle.AdminState    // as it was applied to the list last
	firstReceived chan struct{}           // closed, by markReceived, when discovery has sent a list
	markReceived  func()

	subscription *subscription // nil: none
	pending      *subscription // begun, and without an answer yet; nil: none
}

func newEndpointList() endpointList {
	received := make(chan struct{})
	return endpointList{
		known:         map[int]discovery.Entry{},
		static:        map[int]bool{},
		firstReceived: received,
		markReceived:  sync.OnceFunc(func() { close(received) }),
	}
}

// record keeps what is listed as discovery sent it: for pools that are added later, for servers that are enabled again
// and for a successor.
func (l *endpointList) record(full bool, entries []discovery.Entry, indexOf func(name string) (int, bool)) {
	if full {
		clear(l.known)
	}
	for _, entry := range entries {
		index, _ := indexOf(entry.Name)
		if entry.State == balance.Removed {
			delete(l.known, index)
		} else {
			l.known[index] = entry
		}
	}
}

// sortedIndexes are the indexes of the servers that are listed.
func (l *endpointList) sortedIndexes() []int { return slices.Sorted(maps.Keys(l.known)) }

// list is the whole list, as discovery sent it.
func (l *endpointList) list() List {
	list := List{Version: l.version, Full: true}
	for _, index := range l.sortedIndexes() {
		list.Entries = append(list.Entries, l.known[index])
	}
	return list
}

// applyEndpointList applies a list of servers, or changes of it.
func (p *Proxy) applyEndpointList(list List, first bool) {
	p.endpoints.version, p.endpoints.received = list.Version, true
	since := p.now()
	if !list.NotifiedAt.IsZero() { // it may have counted as received long before the owner, or this process, got it
		since = min(since, p.stamp(list.NotifiedAt))
	}
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

// applyEntries applies the states of listed servers. It changes the entries to what the admin state leaves of them, and
// returns them as the decisions take them.
func (p *Proxy) applyEntries(entries []discovery.Entry, since float64) []balance.Endpoint {
	endpoints := make([]balance.Endpoint, len(entries))
	for i := range entries {
		p.process.addKnownID(entries[i].Name)
		entry, disabledSince := p.underAdminState(entries[i])
		endpoint := p.registry.Endpoint(entry.Entry)
		entries[i], endpoints[i] = entry, endpoint
		if endpoint.State != balance.Removed || !p.pools.use(endpoint.Index) {
			p.upstream.SetEndpoint(endpoint.Index, entry.Addr, endpoint.StartedAt)
		}
		p.applyEndpointState(endpoint.Index, endpoint.State, since, disabledSince)
	}
	return endpoints
}

// removeUnlisted stops sending to whatever a full list leaves out. Attempts to it may be on connections that are still
// being opened.
func (p *Proxy) removeUnlisted(listed []balance.Endpoint, since float64) {
	isListed := map[int]bool{}
	for i := range listed {
		isListed[listed[i].Index] = true
	}
	for index := range p.endpoints.known {
		if !isListed[index] && !p.endpoints.static[index] {
			p.applyEndpointState(index, balance.Removed, since, 0)
		}
	}
}

// forgetUnused frees the indexes of servers that are gone.
func (p *Proxy) forgetUnused() {
	for index := range p.registry.Size() {
		if p.registry.Name(index) != "" && !p.endpoints.static[index] && !p.pools.use(index) {
			p.forgetEndpoint(index)
		}
	}
}

// forgetEndpoint frees the index of a server that is gone: no action names it any more, and what is in flight there
// holds its own connection and server.
func (p *Proxy) forgetEndpoint(index int) {
	p.endpoints.stopSendAt[index] = math.Inf(1)
	p.upstream.Remove(index)
	p.registry.Forget(index)
}

// applyEndpointState sets from when on nothing may be sent to a server, and closes what is idle to it then. Its state
// counts as received since a time; a server that is disabled, since a time (0: it is not), drains whatever its state.
func (p *Proxy) applyEndpointState(index int, state balance.EndpointState, since, disabledSince float64) {
	list := &p.endpoints
	for len(list.stopSendAt) <= index {
		list.stopSendAt = append(list.stopSendAt, math.Inf(1))
	}
	switch {
	case disabledSince > 0: // the admin call may be older than the owner's hearing of it
		since = disabledSince
	case state == balance.Ready:
		list.stopSendAt[index] = math.Inf(1)
		p.upstream.StopSendingAt(index, time.Time{})
		return
	case state == balance.Removed && p.bootstrap.RemovalIsAdvisory: // a drain before it still binds
		return
	}
	list.stopSendAt[index] = min(list.stopSendAt[index], since)
	p.upstream.StopSendingAt(index, p.at(list.stopSendAt[index]+p.bootstrap.DrainGrace))
	p.upstream.CloseIdle(index)
}
