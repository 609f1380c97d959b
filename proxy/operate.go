package proxy

import (
	"errors"
	"fmt"
	"maps"
	"math"
	"net"
	"reflect"
	"slices"

	"github.com/sirupsen/logrus"

	"lockloom/balance"
	"lockloom/internal/config"
	"lockloom/internal/discovery"
	"lockloom/internal/settings"
	"lockloom/limits"
	"lockloom/routes"
)

// Config is an operator file ready for use; see internal/operator.
type Config = config.Config

// ReadConfig reads an operator file; the errors are all its faults, a line each.
func ReadConfig(name string) (*Config, []error) { return config.Open(name) }

// idempotencyOrder is the order of a class's rows in an operator's pool: one for each way in which a request may be sent again.
var idempotencyOrder = [...]balance.Idempotency{limits.RetryNever: balance.NonIdempotent, limits.RetryKeyed: balance.Keyed, limits.RetryAlways: balance.Idempotent}

var dedupScopes = map[string]balance.DedupScope{"": balance.DedupAll, "none": balance.DedupAll, "all": balance.DedupAll, "zone": balance.DedupZone,
	"pod": balance.DedupPod}

// routing is what a proxy needs to serve ordinary HTTP. Clients' goroutines read the table and the terms; the limits, budgets
// and branches are the owner's. It never changes: a reload puts another in its place.
type routingConfig struct {
	config       *Config
	pools        map[string]*serverPool
	classIndexes map[string]int
	limitIndexes map[string]int
}

// Configure has the proxy serve an operator's routes on these listeners too, from Serve on. Call it before.
func (p *Proxy) Configure(cfg *Config, listeners ...net.Listener) error {
	for _, class := range cfg.Classes {
		p.maxDeadline = max(p.maxDeadline, seconds(class.Deadline))
	}
	routing, err := p.buildRouting(cfg, nil)
	if err != nil {
		return err
	}
	p.listeners = listeners
	p.installRouting(routing)
	return nil
}

// ReloadConfig serves by another operator file from now on, all of it or nothing. Requests in hand end as they were begun; pools that
// are as they were keep what they have learned, and limits that are as they were their counts. Listeners, and deadlines longer
// than any before, change with the next start.
func (p *Proxy) ReloadConfig(cfg *Config) error {
	done := make(chan error, 1)
	p.post(func() { done <- p.applyConfig(cfg) })
	select {
	case err := <-done:
		return err
	case <-p.ended:
		return errors.New("the proxy has ended")
	}
}

func (p *Proxy) applyConfig(cfg *Config) error {
	previous := p.routing.Load()
	if previous == nil {
		return errors.New("it was started without an operator file")
	}
	if !reflect.DeepEqual(previous.config.Listeners, cfg.Listeners) {
		return errors.New("listeners change with the next start")
	}
	for _, class := range cfg.Classes {
		if seconds(class.Deadline) > p.maxDeadline {
			return fmt.Errorf("tariff %q: a hard stop longer than %v counts from the next start", class.Name, p.maxDeadline)
		}
	}
	routing, err := p.buildRouting(cfg, previous)
	if err != nil {
		return err
	}
	p.installRouting(routing)
	for name, pool := range previous.pools {
		if routing.pools[name] != pool {
			pool.retired = true
			p.removeIfRetired(pool)
		}
	}
	p.log.WithFields(logrus.Fields{"pools": len(cfg.Pools), "routes": len(cfg.Routes)}).Info("operated anew")
	return nil
}

// installRouting puts a built one in its place; its new pools are told the list as it is.
func (p *Proxy) installRouting(routing *routingConfig) {
	for i := range routing.config.Pools {
		cfg := &routing.config.Pools[i]
		pool := routing.pools[cfg.Name]
		pool.backup, pool.failover.ActivateAfter, pool.failover.RecoverAfter = routing.pools[cfg.Backup], cfg.BackupAfter, cfg.BackupUntil
		if cfg.Backup == "" {
			pool.failedOver = false
		}
		routeNumbers := map[string]int{}
		routing.numberRoutes(routeNumbers, cfg.Name, routing.config.Routes)
		if cfg.Capacity == 0 {
			pool.fairLimiter = nil
		} else if pool.fairLimiter == nil || pool.fairLimiter.Capacity != cfg.Capacity || !maps.Equal(pool.routeNumbers, routeNumbers) {
			pool.fairLimiter = limits.NewFairLimiter(cfg.Capacity, slices.Repeat([]float64{1}, len(routeNumbers)))
		}
		pool.routeNumbers = routeNumbers
		if slices.Contains(p.serverPools, pool) {
			continue
		}
		p.serverPools = append(p.serverPools, pool)
		pool.decisions.SetBudgetShare(p.resourceShare())
		pool.decisions.SetLocalDelay(p.overload.delayFactor, p.overload.lagSeconds)
		if len(cfg.Servers) > 0 {
			pool.static = true
			p.addStaticServers(pool, cfg.Servers)
		}
		if p.listReceived {
			pool.initialize(p)
		}
	}
	p.routing.Store(routing)
}

// buildRouting makes what a setup needs, with the pools of an old one that are as they were.
func (p *Proxy) buildRouting(cfg *Config, previous *routingConfig) (*routingConfig, error) {
	routing := &routingConfig{config: cfg, pools: map[string]*serverPool{}, classIndexes: map[string]int{}, limitIndexes: map[string]int{}}
	deployment := p.bootstrap.Deployment
	deployment.Classes, deployment.Tenants = nil, nil
	deployment.Gossip = false // danger: a note numbers the platform's classes; a pool's would be taken for those
	for i, class := range cfg.Classes {
		routing.classIndexes[class.Name] = i
		for _, kind := range idempotencyOrder {
			deployment.Classes = append(deployment.Classes, balance.Class{Name: class.Name, Idempotency: kind, DedupScope: dedupScopes[class.DedupScope], DedupWindow: class.DedupWindow, LatencyObjective: class.LatencyObjective,
				Deadline: class.Deadline, PriorityWeight: class.PriorityWeight})
		}
	}
	for i, limit := range cfg.File.Limits {
		routing.limitIndexes[limit.Name] = i
	}
	if previous != nil && reflect.DeepEqual(previous.config.File.Limits, cfg.File.Limits) {
		cfg.Limits = previous.config.Limits
	}
	for i := range cfg.Pools {
		poolConfig := &cfg.Pools[i]
		if previous != nil && reflect.DeepEqual(previous.config.Classes, cfg.Classes) {
			if k := slices.IndexFunc(previous.config.Pools, func(other config.Pool) bool { return other.Name == poolConfig.Name }); k >= 0 && poolConfig.Same(&previous.config.Pools[k]) {
				routing.pools[poolConfig.Name] = previous.pools[poolConfig.Name]
				continue
			}
		}
		deployment.Seed = p.bootstrap.Seed ^ settings.NameHash(poolConfig.Name)
		balancer, err := balance.New(deployment, p.now())
		if err != nil {
			return nil, fmt.Errorf("pool %q: %w", poolConfig.Name, err)
		}
		routing.pools[poolConfig.Name] = &serverPool{decisions: p.newDecisions(poolConfig.Name, balancer), classes: deployment.Classes, name: poolConfig.Name, budgets: map[string]*limits.RetryBudget{},
			accepts: func(entry *discovery.Entry) bool {
				return (len(poolConfig.Kinds) == 0 || slices.Contains(poolConfig.Kinds, entry.ModelName)) && (len(poolConfig.Zones) == 0 || slices.Contains(poolConfig.Zones, entry.ZoneName))
			}}
	}
	return routing, nil
}

// removeIfRetired forgets a pool that a reload has taken away, once the last request in hand has left it. Until then it hears of drains.
func (p *Proxy) removeIfRetired(pool *serverPool) {
	if !pool.retired || pool.inFlight > 0 {
		return
	}
	p.serverPools = slices.DeleteFunc(p.serverPools, func(b *serverPool) bool { return b == pool })
	if capture, ok := pool.decisions.(interface{ Dropped() }); ok {
		capture.Dropped()
	}
	for _, b := range pool.staticEndpoints { // unless another pool has the same server written out
		if !slices.ContainsFunc(p.serverPools, func(other *serverPool) bool {
			return slices.ContainsFunc(other.staticEndpoints, func(x balance.Endpoint) bool { return x.Index == b.Index })
		}) {
			delete(p.staticServers, b.Index)
			p.forgetEndpoint(b.Index)
		}
	}
}

// routeNumber numbers the routes that go to a pool.
func (rc *routingConfig) numberRoutes(numbers map[string]int, pool string, routes []config.Route) {
	for i := range routes {
		route := &routes[i]
		if route.Pool == pool || slices.ContainsFunc(route.Split, func(s config.WeightedPool) bool { return s.Pool == pool }) {
			numbers[route.Name] = len(numbers)
		}
		rc.numberRoutes(numbers, pool, route.Routes)
	}
}

// addStaticServers tells a pool its servers, which no list changes.
func (p *Proxy) addStaticServers(pool *serverPool, addrs []string) {
	var endpoints []balance.Endpoint
	for i, addr := range addrs {
		endpoint := p.registry.Endpoint(settings.Entry{Name: pool.name + "/" + addr, ModelName: pool.name, Endpoint: balance.Endpoint{Pod: i}})
		p.upstream.SetEndpoint(endpoint.Index, addr, 0)
		p.applyEndpointState(endpoint.Index, balance.Ready, p.now(), 0)
		p.staticServers[endpoint.Index] = true
		endpoints = append(endpoints, endpoint)
		p.process.rememberID(pool.name + "/" + addr)
	}
	pool.staticEndpoints = endpoints
}

// retryBudget is a branch's for a retry rule.
func (pool *serverPool) retryBudget(rule *limits.RetryRule) *limits.RetryBudget {
	if pool.budgets[rule.Name] == nil {
		pool.budgets[rule.Name] = &limits.RetryBudget{Ratio: rule.BudgetRatio}
	}
	pool.budgets[rule.Name].Ratio = rule.BudgetRatio // a reload may have changed it
	return pool.budgets[rule.Name]
}

// retryDenied says whether a request's retry rule lets another attempt be sent. The decisions choose each attempt; the rule only narrows.
func (p *Proxy) retryDenied(req *request) bool {
	if req.retryRule == nil {
		return false
	}
	b := req.pool.retryBudget(req.retryRule)
	if len(req.attempts) == 0 {
		b.FirstAttempt(p.now())
		return false
	}
	return req.retryRule.MaxAttempts > 0 && len(req.attempts) >= req.retryRule.MaxAttempts || !b.AllowRetry(p.now())
}

// acquireLimits takes a request through its limits and its pool's room. Where it does not pass it tells the client so at once, and when
// to come back if that is known.
func (p *Proxy) acquireLimits(req *request) bool {
	if req.retryRule == nil { // the platform's
		return true
	}
	if req.pool.retired { // danger: a pool that a reload took away hears of no drain any more
		p.rejectBeforeDecision(req, response{status: 503, body: []byte("its pool has gone\n")})
		return false
	}
	if len(req.limitKeys) > 0 {
		ticket, refusal := req.limits.Acquire(p.now(), req.limitKeys)
		if refusal != nil {
			p.rejectBeforeDecision(req, response{status: 429, retryAfter: ceilSeconds(refusal.RetryAfter), body: []byte("over a limit\n")})
			return false
		}
		req.permit = ticket
	}
	if f := req.pool.fairLimiter; f != nil {
		req.routeNumber = req.pool.routeNumbers[req.route]
		if !f.Acquire(p.now(), req.routeNumber) {
			req.limits.Release(&req.permit)
			p.rejectBeforeDecision(req, response{status: 503, body: []byte("the pool is full\n")})
			return false
		}
		req.fairLimiter = f
	}
	req.pool = req.pool.activePool(p.now()) // the pool of its route, or the backup that serves for it
	return true
}

// rejectBeforeDecision dismisses a request that the decisions never saw.
func (p *Proxy) rejectBeforeDecision(req *request, resp response) {
	p.counters.Requests++
	p.counters.Rejected++
	req.answered = true
	req.response <- resp
}

// releaseLimits returns what a request held of limits and room.
func (req *request) releaseLimits() {
	if req.retryRule == nil {
		return
	}
	req.limits.Release(&req.permit)
	if req.fairLimiter != nil {
		req.fairLimiter.Release(req.routeNumber)
		req.fairLimiter = nil
	}
}

// limitKeys are the limits of a route, with the keys that a request counts under.
func (rc *routingConfig) limitKeys(route *routes.Route, cfg *config.Route, tenant, address string, field func(name string) string) []limits.LimitKey {
	var keys []limits.LimitKey
	for _, name := range cfg.Limits {
		i := rc.limitIndexes[name]
		key := limits.LimitKey{Limit: i}
		switch by := rc.config.File.Limits[i].By; by {
		case "all":
		case "route":
			key.Key = settings.NameHash(route.Name)
		case "customer":
			key.Key = settings.NameHash(tenant)
		case "address":
			key.Key = settings.NameHash(address)
		default:
			key.Key = settings.NameHash(field(by[len("field:"):]))
		}
		keys = append(keys, key)
	}
	return keys
}

// class is the index of a class's row of a kind.
func (rc *routingConfig) classIndex(class string, safety limits.RetrySafety) int {
	return rc.classIndexes[class]*len(idempotencyOrder) + int(safety)
}

// bodyCompleted is a wait in whole seconds, as Retry-After has it, and not less than it is.
func ceilSeconds(s float64) float64 { return math.Ceil(s) }
