package proxy

import (
	"maps"
	"slices"
	"strings"
	"time"

	"lockloom/assignment"
	"lockloom/balance"
	"lockloom/internal/discovery"
)

// estimateInterval is how often opinions are told. What the list or operators say is told as it comes.
const estimateInterval = 100 * time.Millisecond

// OnEstimates has a control service beside the proxy hear what the proxy holds of each operator's pool: every so often, and at once when the
// list or an order changes something. The call is the owner's: it must not wait. Set it before Serve.
func (p *Proxy) OnEstimates(call func(now float64, pools map[string]assignment.Observation)) {
	p.onEstimates = call
}

// OutcomesReported takes in how attempts ended that the control service's subscribers sent to a pool, by server's name: successful, failed. Unknown
// registry are passed over. It may be called by anyone.
func (p *Proxy) OutcomesReported(poolName string, attempts map[string][2]int) {
	p.post(func() {
		routing := p.routing.Load()
		if routing == nil || routing.pools[poolName] == nil {
			return
		}
		var outcomes []balance.ReportedOutcomes
		for _, name := range slices.Sorted(maps.Keys(attempts)) {
			if index, ok := p.registry.Find(name); ok {
				outcomes = append(outcomes, balance.ReportedOutcomes{Endpoint: index, Succeeded: attempts[name][0], Failed: attempts[name][1]})
			}
		}
		routing.pools[poolName].decisions.OutcomesReported(p.now(), outcomes)
	})
}

// reportEstimates tells what is held now.
func (p *Proxy) reportEstimates() {
	routing := p.routing.Load()
	if p.onEstimates == nil || routing == nil || !p.listReceived {
		return
	}
	observations := map[string]assignment.Observation{}
	for name, pool := range routing.pools {
		observations[name] = p.observePool(pool)
	}
	p.removedNames = nil
	p.onEstimates(p.now(), observations)
}

// observePool is what is held of one pool. Danger: the opinion of a server is the Balancer's, whether it may be sent to the list's and the
// operators'.
func (p *Proxy) observePool(pool *serverPool) assignment.Observation {
	proxies := float64(max(p.bootstrap.Proxies, 1)) // the others are taken to be alike
	if elapsed := p.now() - pool.reportedAt; elapsed >= estimateInterval.Seconds()/2 {
		pool.requestRate = float64(pool.admitted-pool.reportedAdmitted) / elapsed
		pool.reportedAdmitted, pool.reportedAt = pool.admitted, p.now()
	}
	observation := assignment.Observation{Removed: p.removedNames, Rate: pool.requestRate * proxies}
	statuses := map[int]balance.ServerStatus{}
	for _, status := range pool.decisions.ServerStatuses(p.now()) {
		statuses[status.Endpoint] = status
		observation.Load += float64(status.InFlight) * proxies
	}
	add := func(entry discovery.Entry, index int) {
		status := statuses[index]
		observation.Servers = append(observation.Servers, assignment.ServerEstimate{Name: entry.Name, Addr: entry.Addr, Zone: entry.ZoneName, Draining: entry.State != balance.Ready,
			Paused: status.Paused, Trial: status.Trial, Payoff: status.Payoff, Cores: entry.Cores, StartedAt: entry.StartedAt})
	}
	if pool.static {
		for _, status := range pool.staticEndpoints {
			var entry discovery.Entry
			entry.Name, entry.State, entry.StartedAt = p.registry.Name(status.Index), status.State, status.StartedAt
			entry.Addr = strings.TrimPrefix(entry.Name, pool.name+"/")
			entry, _ = p.underAdminState(entry)
			add(entry, status.Index)
		}
		return observation
	}
	for _, index := range slices.Sorted(maps.Keys(p.knownEntries)) {
		if entry, _ := p.underAdminState(p.knownEntries[index]); pool.accepts == nil || pool.accepts(&entry) {
			add(entry, index)
		}
	}
	return observation
}
