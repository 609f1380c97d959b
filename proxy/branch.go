package proxy

import (
	"maps"
	"slices"

	"github.com/sirupsen/logrus"

	"lockloom/balance"
	"lockloom/internal/discovery"
	"lockloom/limits"
	"lockloom/routes"
)

// Decisions are what the owner calls: a Balancer, or one whose calls are captured. The owner makes all calls but none at once.
type Decisions interface {
	RequestArrived(now float64, a balance.RequestInfo, id string) (RequestHandle, *balance.Actions)
	TimerFired(now float64) *balance.Actions
	EndpointsUpdated(now float64, full, first bool, list []balance.Endpoint) *balance.Actions
	HealthChecked(now float64, server int, ok bool, r balance.LoadReport) *balance.Actions
	GossipReceived(now float64, from int, n balance.GossipMessage) *balance.Actions
	OutcomesReported(now float64, all []balance.ReportedOutcomes)
	SetBudgetShare(part float64)
	SetLocalDelay(times, lag float64)
	Restore(now float64, m balance.Snapshot)
	Snapshot(now float64) balance.Snapshot
	ServerStatuses(now float64) []balance.ServerStatus
	Availability(now float64) (any, trial bool)
	HasEndpoint(index int) bool
}

// RequestHandle is a request's.
type RequestHandle interface {
	AttemptEnded(now float64, attempt int, o balance.Outcome, latency float64, over bool) *balance.Actions
	ClientDisconnected(now float64) *balance.Actions
	ResponseStarted(now float64, attempt int) *balance.Actions
	BodyCompleted(now float64) *balance.Actions
	TimerFired(now float64) *balance.Actions
	Done() bool
}

// uncaptured is a Balancer whose calls nobody captures.
type uncaptured struct{ *balance.Balancer }

func (b uncaptured) RequestArrived(now float64, a balance.RequestInfo, _ string) (RequestHandle, *balance.Actions) {
	return b.Balancer.RequestArrived(now, a)
}

// Capture has the decisions of every pool made through what a call makes of its Balancer; the platform's has no name. Call it before
// Operate. One that has a method Dropped is told when a reload has taken its pool away.
func (p *Proxy) Capture(wrap func(poolName string, b *balance.Balancer) Decisions) {
	p.capture = wrap
	p.platformPool.decisions = wrap("", p.platformPool.decisions.(uncaptured).Balancer)
}

func (p *Proxy) newDecisions(poolName string, b *balance.Balancer) Decisions {
	if p.capture == nil {
		return uncaptured{b}
	}
	return p.capture(poolName, b)
}

// serverPool is a pool of servers with a Balancer of its own. The platform's requests go to the main one, which has all that are
// listed; an operator's pools have some of them, or those written out.
type serverPool struct {
	decisions Decisions
	classes   []balance.Class
	accepts   func(*discovery.Entry) bool // whether a listed server is one of its; nil: all are

	timer           timer // of its Balancer's wakes
	name            string
	static          bool // its servers are written out, in first; no list is told to it
	staticEndpoints []balance.Endpoint
	budgets         map[string]*limits.RetryBudget // by retry rule
	backup          *serverPool                    // serves for it while it has no server admitted; nil: none
	failover        routes.Failover
	failedOver      bool                // the backup serves now
	fairLimiter     *limits.FairLimiter // its room, shared between routes; nil: no bound
	routeNumbers    map[string]int      // a route's number in fair
	inFlight        int                 // requests in hand
	retired         bool                // a reload has taken it away

	admitted, reportedAdmitted int     // requests so far; as of when opinions were told last
	requestRate, reportedAt    float64 // of them a second, then
}

// rememberID tells a branch what of a list concerns it. In list are the list's entries, numbered.
func (pool *serverPool) updateEndpoints(p *Proxy, list List, first bool, endpoints []balance.Endpoint) {
	if pool.static {
		if !first {
			return
		}
		p.decide(pool, func(now float64) *balance.Actions {
			return pool.decisions.EndpointsUpdated(now, true, true, p.staticUnderAdminState(pool.staticEndpoints))
		})
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
	p.decide(pool, func(now float64) *balance.Actions { return pool.decisions.EndpointsUpdated(now, list.Full, first, own) })
}

// initialize tells a branch that is new while the proxy serves all that it has to know.
func (pool *serverPool) initialize(p *Proxy) {
	if pool.static {
		pool.updateEndpoints(p, List{Full: true}, true, nil)
		return
	}
	var list List
	var endpoints []balance.Endpoint
	for _, index := range slices.Sorted(maps.Keys(p.knownEntries)) {
		entry, _ := p.underAdminState(p.knownEntries[index])
		list.Entries = append(list.Entries, entry)
		endpoints = append(endpoints, p.registry.Endpoint(entry.Entry))
	}
	list.Full = true
	pool.updateEndpoints(p, list, true, endpoints)
}

// activePool is the branch that serves for this one: itself, or the first backup on the way that does not stand aside too. Danger:
// a pool that gets nothing while its backup serves would never be known to be well again, so a request goes to it whenever one
// of its servers has cooled down; the decisions let one at a time go there.
func (pool *serverPool) activePool(now float64) *serverPool {
	for pool.failedOver && pool.backup != nil {
		if _, trial := pool.decisions.Availability(now); trial {
			break
		}
		pool = pool.backup
	}
	return pool
}

// updateFailover looks which pools' backups serve.
func (p *Proxy) updateFailover() {
	for _, pool := range p.serverPools {
		if pool.backup == nil {
			continue
		}
		admitted, _ := pool.decisions.Availability(p.now())
		if active := pool.failover.Active(p.now(), admitted); active != pool.failedOver {
			pool.failedOver = active
			p.log.WithFields(logrus.Fields{"pool": pool.name, "backup": pool.backup.name, "serves": active}).Warn("backup")
		}
	}
}
