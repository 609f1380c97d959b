package proxy

import (
	"slices"

	"lockloom/balance"
	"lockloom/internal/discovery"
	"lockloom/limits"
	"lockloom/routes"
)

// Decider makes the balancing decisions of one pool. It is a Balancer, or a wrapper of one that captures its calls;
// comments call either the balancer. The owner makes all calls, one at a time. Times (now) are in seconds since 1970.
type Decider interface {
	RequestArrived(now float64, info balance.RequestInfo, id string) (RequestHandle, *balance.Actions)
	TimerFired(now float64) *balance.Actions
	EndpointsUpdated(now float64, full, first bool, list []balance.Endpoint) *balance.Actions
	HealthChecked(now float64, server int, ok bool, report balance.LoadReport) *balance.Actions
	GossipReceived(now float64, from int, message balance.GossipMessage) *balance.Actions
	OutcomesReported(now float64, all []balance.ReportedOutcomes)
	SetSlowStartShare(share float64)
	SetLocalDelay(factor, lag float64)
	Restore(now float64, snapshot balance.Snapshot)
	Snapshot(now float64) balance.Snapshot
	ServerStatuses(now float64) []balance.ServerStatus
	Availability(now float64) (admitted, trial bool)
	HasEndpoint(index int) bool
}

// RequestHandle reports the events of one request to the balancer. The owner makes all calls. Times are in seconds
// since 1970.
type RequestHandle interface {
	AttemptEnded(now float64, attempt int, outcome balance.Outcome, latency float64, answered bool) *balance.Actions
	ClientDisconnected(now float64) *balance.Actions
	ResponseStarted(now float64, attempt int) *balance.Actions
	BodyCompleted(now float64) *balance.Actions
	TimerFired(now float64) *balance.Actions
	Done() bool
}

// uncaptured is a Balancer whose calls are not captured.
type uncaptured struct{ *balance.Balancer }

// RequestArrived implements Decider.
func (b uncaptured) RequestArrived(
	now float64, info balance.RequestInfo, _ string,
) (RequestHandle, *balance.Actions) {
	return b.Balancer.RequestArrived(now, info)
}

// CaptureFunc wraps the Balancer of a pool in a Decider that captures its calls. The name of the platform's pool is
// empty.
type CaptureFunc = func(poolName string, balancer *balance.Balancer) Decider

// Capture wraps the Balancer of every pool with wrap. Call it before Configure. If the Decider that wrap returns has
// a method Drop, it is called after a reload has removed its pool.
func (p *Proxy) Capture(wrap CaptureFunc) {
	p.pools.wrap = wrap
	platform := p.pools.platform
	platform.decisions = wrap("", platform.decisions.(uncaptured).Balancer)
}

// serverPool is a pool of servers with a balancer of its own. The platform's pool has all listed servers; an operator's
// pool has some of them, or servers that the operator file configures. It belongs to the owner.
type serverPool struct {
	name      string // empty for the platform's pool
	decisions Decider
	classes   []balance.Class
	timer     timer                       // fires at the times that the balancer sets
	accepts   func(*discovery.Entry) bool // whether a listed server belongs to the pool; nil: all do

	static          bool // its servers are configured in the operator file; endpoint lists do not apply to it
	staticEndpoints []balance.Endpoint

	poolCapacity
	poolFailover
	poolRate
	inFlight int  // requests that have not ended
	retired  bool // removed by a reload: dropped when its last request has ended
}

// poolCapacity limits the requests that routes send to a pool, and their retries.
type poolCapacity struct {
	fairLimiter *limits.FairLimiter            // nil: no limit
	budgets     map[string]*limits.RetryBudget // retry budgets by name of the retry rule
}

// poolFailover is the backup of a pool, which serves in its place while the pool has no admitted server.
type poolFailover struct {
	backup     *serverPool // nil: none
	failover   routes.Failover
	failedOver bool // the backup serves at present
}

// poolRate measures the rate of requests that a pool admits.
type poolRate struct {
	admitted         int     // requests so far
	reportedAdmitted int     // value of admitted at the last measurement
	reportedAt       float64 // time of the last measurement, in seconds since 1970
	requestRate      float64 // requests per second, as of the last measurement
}

// retryBudget returns the pool's budget for a retry rule.
func (pool *serverPool) retryBudget(rule *limits.RetryRule) *limits.RetryBudget {
	budget := pool.budgets[rule.Name]
	if budget == nil {
		budget = &limits.RetryBudget{}
		pool.budgets[rule.Name] = budget
	}
	budget.Ratio = rule.BudgetRatio // a reload may have changed it
	return budget
}

// poolSet holds all pools. It belongs to the owner, except for platform, which never changes.
type poolSet struct {
	platform *serverPool
	all      []*serverPool // the platform's and the operator's, including retired ones
	wrap     CaptureFunc   // nil if calls are not captured
}

func (s *poolSet) init(platform *serverPool) {
	s.platform, s.all = platform, []*serverPool{platform}
}

// newDecisions returns the Decider of a pool: its Balancer, wrapped if calls are captured.
func (s *poolSet) newDecisions(poolName string, balancer *balance.Balancer) Decider {
	if s.wrap == nil {
		return uncaptured{balancer}
	}
	return s.wrap(poolName, balancer)
}

// inUse reports whether any pool's balancer may still name a server in its actions: it is listed, or it was left out of
// a list and still serves.
func (s *poolSet) inUse(index int) bool {
	return slices.ContainsFunc(s.all, func(pool *serverPool) bool { return pool.decisions.HasEndpoint(index) })
}

// using returns the number of pools whose balancers may name a server in their actions.
func (s *poolSet) using(index int) (pools int) {
	for _, pool := range s.all {
		if pool.decisions.HasEndpoint(index) {
			pools++
		}
	}
	return pools
}

// hasStatic reports whether any pool has the server with this index among its servers from the operator file.
func (s *poolSet) hasStatic(index int) bool {
	hasIndex := func(endpoint balance.Endpoint) bool { return endpoint.Index == index }
	return slices.ContainsFunc(s.all, func(pool *serverPool) bool {
		return slices.ContainsFunc(pool.staticEndpoints, hasIndex)
	})
}

// updatePool passes the entries of a list that belong to a pool to its balancer. endpoints are all entries of the list,
// converted for the balancers.
func (p *Proxy) updatePool(pool *serverPool, list List, first bool, endpoints []balance.Endpoint) {
	if pool.static {
		if first {
			p.updateStaticPool(pool)
		}
		return
	}
	own, moved := pool.ownEndpoints(list.Entries, endpoints)
	for _, index := range moved {
		p.removeDrained(pool, index)
	}
	p.decide(pool, func(now float64) *balance.Actions {
		return pool.decisions.EndpointsUpdated(now, list.Full, first, own)
	})
}

// ownEndpoints returns the entries of a list that belong to the pool, and the indexes of the servers that the pool has,
// but whose entries belong to it no more: no later entry would tell its balancer of a drain. An entry that removes a
// server belongs to every pool that has the server. endpoints are the entries, converted for the balancers.
func (pool *serverPool) ownEndpoints(entries []discovery.Entry, endpoints []balance.Endpoint) (
	own []balance.Endpoint, moved []int,
) {
	if pool.accepts == nil {
		return endpoints, nil
	}
	for i := range endpoints {
		has := pool.decisions.HasEndpoint(endpoints[i].Index)
		switch {
		case pool.accepts(&entries[i]), has && endpoints[i].State == balance.Removed:
			own = append(own, endpoints[i])
		case has:
			moved = append(moved, endpoints[i].Index)
		}
	}
	return own, moved
}

// updateStaticPool passes a pool's configured servers, with the admin state applied, to its balancer.
func (p *Proxy) updateStaticPool(pool *serverPool) {
	p.decide(pool, func(now float64) *balance.Actions {
		return pool.decisions.EndpointsUpdated(now, true, true, p.staticWithAdminState(pool.staticEndpoints))
	})
}

// initializePool passes the current servers to the balancer of a pool that is added while the proxy serves.
func (p *Proxy) initializePool(pool *serverPool) {
	if pool.static {
		p.updateStaticPool(pool)
		return
	}
	list := List{Full: true}
	var endpoints []balance.Endpoint
	for _, index := range p.endpoints.sortedIndexes() {
		entry := p.withAdminState(p.endpoints.known[index])
		list.Entries = append(list.Entries, entry)
		endpoints = append(endpoints, p.registry.Endpoint(entry.Entry))
	}
	p.updatePool(pool, list, true, endpoints)
}

// removeIfRetired removes a pool that a reload has retired, once its last request has ended. Until then the pool
// receives endpoint lists, so that drains apply to its requests.
func (p *Proxy) removeIfRetired(pool *serverPool) {
	if !pool.retired || pool.inFlight > 0 {
		return
	}
	p.pools.all = slices.DeleteFunc(p.pools.all, func(other *serverPool) bool { return other == pool })
	if capture, ok := pool.decisions.(interface{ Drop() }); ok {
		capture.Drop()
	}
	for i := range pool.staticEndpoints {
		if index := pool.staticEndpoints[i].Index; !p.pools.hasStatic(index) {
			delete(p.endpoints.static, index)
			p.forgetEndpoint(index)
		}
	}
}
