package proxy

import (
	"slices"

	"lockloom/balance"
	"lockloom/internal/discovery"
	"lockloom/limits"
	"lockloom/routes"
)

// Decisions are what the owner calls: a Balancer, or one whose calls are captured. The owner makes all calls, one at a
// time.
type Decisions interface {
	RequestArrived(now float64, info balance.RequestInfo, id string) (RequestHandle, *balance.Actions)
	TimerFired(now float64) *balance.Actions
	EndpointsUpdated(now float64, full, first bool, list []balance.Endpoint) *balance.Actions
	HealthChecked(now float64, server int, ok bool, report balance.LoadReport) *balance.Actions
	GossipReceived(now float64, from int, message balance.GossipMessage) *balance.Actions
	OutcomesReported(now float64, all []balance.ReportedOutcomes)
	SetBudgetShare(share float64)
	SetLocalDelay(factor, lag float64)
	Restore(now float64, snapshot balance.Snapshot)
	Snapshot(now float64) balance.Snapshot
	ServerStatuses(now float64) []balance.ServerStatus
	Availability(now float64) (admitted, trial bool)
	HasEndpoint(index int) bool
}

// RequestHandle is what the owner calls about one request.
type RequestHandle interface {
	AttemptEnded(now float64, attempt int, outcome balance.Outcome, latency float64, answered bool) *balance.Actions
	ClientDisconnected(now float64) *balance.Actions
	ResponseStarted(now float64, attempt int) *balance.Actions
	BodyCompleted(now float64) *balance.Actions
	TimerFired(now float64) *balance.Actions
	Done() bool
}

// uncaptured is a Balancer whose calls nobody captures.
type uncaptured struct{ *balance.Balancer }

// RequestArrived implements Decisions.
func (b uncaptured) RequestArrived(
	now float64, info balance.RequestInfo, _ string,
) (RequestHandle, *balance.Actions) {
	return b.Balancer.RequestArrived(now, info)
}

// CaptureFunc makes the decisions of a pool, by its name, of its Balancer; the platform's pool has no name.
type CaptureFunc = func(poolName string, balancer *balance.Balancer) Decisions

// Capture has the decisions of every pool made through what wrap makes of its Balancer. Call it before Configure. If
// such decisions have a method Dropped, that is called when a reload has removed their pool.
func (p *Proxy) Capture(wrap CaptureFunc) {
	p.pools.wrap = wrap
	platform := p.pools.platform
	platform.decisions = wrap("", platform.decisions.(uncaptured).Balancer)
}

// serverPool is a pool of servers with decisions of its own. The platform's has all servers that are listed, an
// operator's some of them, or servers of its own. It belongs to the owner.
type serverPool struct {
	name      string // empty: the platform's
	decisions Decisions
	classes   []balance.Class
	timer     timer                       // for the decisions' wakeups
	accepts   func(*discovery.Entry) bool // whether a listed server is one of the pool's; nil: all are

	static          bool // its servers are those of the operator file; no list reaches it
	staticEndpoints []balance.Endpoint

	poolCapacity
	poolFailover
	poolRate
	inFlight int  // requests
	retired  bool // a reload has removed it: it ends with its last request
}

// poolCapacity bounds what the routes of a pool send to it.
type poolCapacity struct {
	fairLimiter  *limits.FairLimiter            // nil: no bound
	routeNumbers map[string]int                 // in fairLimiter, by route
	budgets      map[string]*limits.RetryBudget // by retry rule
}

// poolFailover says which other pool serves for a pool without an admitted server.
type poolFailover struct {
	backup     *serverPool // nil: none
	failover   routes.Failover
	failedOver bool // the backup serves now
}

// poolRate measures a pool's requests.
type poolRate struct {
	admitted         int     // so far
	reportedAdmitted int     // at reportedAt
	reportedAt       float64 // seconds since 1970, of the last estimate
	requestRate      float64 // requests a second, as of then
}

// retryBudget is the pool's budget for a retry rule.
func (pool *serverPool) retryBudget(rule *limits.RetryRule) *limits.RetryBudget {
	budget := pool.budgets[rule.Name]
	if budget == nil {
		budget = &limits.RetryBudget{}
		pool.budgets[rule.Name] = budget
	}
	budget.Ratio = rule.BudgetRatio // a reload may have changed it
	return budget
}

// poolSet is all pools. It belongs to the owner, but for platform, which never changes.
type poolSet struct {
	platform *serverPool
	all      []*serverPool // it and the operator's, retired ones included
	wrap     CaptureFunc   // nil: calls are not captured
}

func (s *poolSet) init(platform *serverPool) {
	s.platform, s.all = platform, []*serverPool{platform}
}

// newDecisions are the decisions of a pool.
func (s *poolSet) newDecisions(poolName string, balancer *balance.Balancer) Decisions {
	if s.wrap == nil {
		return uncaptured{balancer}
	}
	return s.wrap(poolName, balancer)
}

// use reports whether any pool's decisions may still name a server: one that is listed, or that a list has left out and
// that is still sent to.
func (s *poolSet) use(index int) bool {
	return slices.ContainsFunc(s.all, func(pool *serverPool) bool { return pool.decisions.HasEndpoint(index) })
}

// configures reports whether any pool has a server of the operator file.
func (s *poolSet) configures(index int) bool {
	isServer := func(endpoint balance.Endpoint) bool { return endpoint.Index == index }
	return slices.ContainsFunc(s.all, func(pool *serverPool) bool {
		return slices.ContainsFunc(pool.staticEndpoints, isServer)
	})
}

// updatePool tells a pool's decisions what of a list concerns it. endpoints are the list's entries as the decisions
// take them.
func (p *Proxy) updatePool(pool *serverPool, list List, first bool, endpoints []balance.Endpoint) {
	if pool.static {
		if first {
			p.updateStaticPool(pool)
		}
		return
	}
	own := endpoints
	if pool.accepts != nil {
		own = nil
		for i := range endpoints {
			if pool.accepts(&list.Entries[i]) {
				own = append(own, endpoints[i])
			}
		}
	}
	p.decide(pool, func(now float64) *balance.Actions {
		return pool.decisions.EndpointsUpdated(now, list.Full, first, own)
	})
}

// updateStaticPool tells a pool's decisions its configured servers, as the admin state leaves them.
func (p *Proxy) updateStaticPool(pool *serverPool) {
	p.decide(pool, func(now float64) *balance.Actions {
		return pool.decisions.EndpointsUpdated(now, true, true, p.staticUnderAdminState(pool.staticEndpoints))
	})
}

// initializePool tells a pool that is added while the proxy serves all that it has to know.
func (p *Proxy) initializePool(pool *serverPool) {
	if pool.static {
		p.updateStaticPool(pool)
		return
	}
	list := List{Full: true}
	var endpoints []balance.Endpoint
	for _, index := range p.endpoints.sortedIndexes() {
		entry, _ := p.underAdminState(p.endpoints.known[index])
		list.Entries = append(list.Entries, entry)
		endpoints = append(endpoints, p.registry.Endpoint(entry.Entry))
	}
	p.updatePool(pool, list, true, endpoints)
}

// removeIfRetired forgets a pool that a reload has removed, once its last request has ended. Until then it is
// told of drains.
func (p *Proxy) removeIfRetired(pool *serverPool) {
	if !pool.retired || pool.inFlight > 0 {
		return
	}
	p.pools.all = slices.DeleteFunc(p.pools.all, func(other *serverPool) bool { return other == pool })
	if capture, ok := pool.decisions.(interface{ Dropped() }); ok {
		capture.Dropped()
	}
	for i := range pool.staticEndpoints {
		if index := pool.staticEndpoints[i].Index; !p.pools.configures(index) {
			delete(p.endpoints.static, index)
			p.forgetEndpoint(index)
		}
	}
}
