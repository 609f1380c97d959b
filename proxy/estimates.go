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

// estimateInterval is the time between reports of estimates. Changes of the list or of the admin state are reported at
// once.
const estimateInterval = 100 * time.Millisecond

// EstimatesFunc receives the proxy's estimates of the servers of each operator's pool, by pool name. now is in seconds
// since 1970.
type EstimatesFunc = func(now float64, pools map[string]assignment.Observation)

// estimateReporter reports the estimates that the balancers of the operator's pools have of their servers to a control
// plane in this process. It belongs to the owner.
type estimateReporter struct {
	observe EstimatesFunc // nil: there is no control plane
	removed []string      // names of servers that were removed since the last report
}

// addRemoved keeps the names of servers that a list removes, for the next report. Without an observer it keeps none,
// since no report would ever clear them.
func (e *estimateReporter) addRemoved(entries []discovery.Entry) {
	for _, entry := range entries {
		if entry.State == balance.Removed {
			e.addRemovedName(entry.Name)
		}
	}
}

// addRemovedName does the same for one server.
func (e *estimateReporter) addRemovedName(name string) {
	if e.observe != nil {
		e.removed = append(e.removed, name)
	}
}

// OnEstimates reports the estimates of each operator's pool to a control plane in this process: at an interval, and at
// once when the list or the admin state changes. The owner calls observe, which must not block. Call OnEstimates before
// Serve.
func (p *Proxy) OnEstimates(observe EstimatesFunc) { p.estimates.observe = observe }

// ReportOutcomes passes to a pool's balancer the outcomes that subscribers of the control plane have reported: the
// numbers of successful and of failed attempts, in this order, by server name. Unknown names are ignored. Any goroutine
// may call it.
func (p *Proxy) ReportOutcomes(poolName string, attempts map[string][2]int) {
	p.post(func() {
		routing := p.routing.Load()
		if routing == nil || routing.pools[poolName] == nil {
			return
		}
		var outcomes []balance.ReportedOutcomes
		for _, name := range slices.Sorted(maps.Keys(attempts)) {
			if index, ok := p.registry.Find(name); ok {
				counts := attempts[name]
				outcomes = append(outcomes, balance.ReportedOutcomes{Endpoint: index, Succeeded: counts[0], Failed: counts[1]})
			}
		}
		routing.pools[poolName].decisions.OutcomesReported(p.now(), outcomes)
	})
}

// reportEstimates reports the current estimates, if there is an observer and a list was received.
func (p *Proxy) reportEstimates() {
	routing := p.routing.Load()
	if p.estimates.observe == nil || routing == nil || !p.endpoints.received {
		return
	}
	observations := map[string]assignment.Observation{}
	for name, pool := range routing.pools {
		observations[name] = p.observePool(pool)
	}
	p.estimates.removed = nil
	p.estimates.observe(p.now(), observations)
}

// observePool returns the observation of one pool. A server's estimates come from the pool's Balancer; whether requests
// may be sent to it comes from the list and the admin state.
func (p *Proxy) observePool(pool *serverPool) assignment.Observation {
	proxies := float64(max(p.bootstrap.Proxies, 1)) // assuming that the others have as many requests as this one
	pool.updateRate(p.now())
	observation := assignment.Observation{Removed: p.estimates.removed, Rate: pool.requestRate * proxies}
	statuses := map[int]balance.ServerStatus{}
	for _, status := range pool.decisions.ServerStatuses(p.now()) {
		statuses[status.Endpoint] = status
		observation.Load += float64(status.InFlight) * proxies
	}
	if pool.static {
		for i := range pool.staticEndpoints {
			endpoint := &pool.staticEndpoints[i]
			entry := p.staticEntry(endpoint)
			entry.Addr = strings.TrimPrefix(entry.Name, pool.name+"/")
			entry = p.withAdminState(entry)
			observation.Servers = append(observation.Servers, serverEstimate(&entry, statuses[endpoint.Index]))
		}
		return observation
	}
	for _, index := range p.endpoints.sortedIndexes() {
		if entry := p.withAdminState(p.endpoints.known[index]); pool.accepts == nil || pool.accepts(&entry) {
			observation.Servers = append(observation.Servers, serverEstimate(&entry, statuses[index]))
		}
	}
	return observation
}

// updateRate measures the requests per second since the last measurement. It does nothing if that was less than half of
// estimateInterval ago.
func (r *poolRate) updateRate(now float64) {
	elapsed := now - r.reportedAt
	if elapsed < estimateInterval.Seconds()/2 {
		return
	}
	r.requestRate = float64(r.admitted-r.reportedAdmitted) / elapsed
	r.reportedAdmitted, r.reportedAt = r.admitted, now
}

func serverEstimate(entry *discovery.Entry, status balance.ServerStatus) assignment.ServerEstimate {
	return assignment.ServerEstimate{
		Name:      entry.Name,
		Addr:      entry.Addr,
		Zone:      entry.ZoneName,
		Draining:  entry.State != balance.Ready,
		Paused:    status.Paused,
		Trial:     status.Trial,
		Payoff:    status.Payoff,
		Cores:     entry.Cores,
		StartedAt: entry.StartedAt,
	}
}
