package proxy

import (
	"errors"
	"fmt"
	"net"
	"reflect"
	"slices"

	"github.com/sirupsen/logrus"

	"lockloom/balance"
	"lockloom/internal/config"
	"lockloom/internal/discovery"
	"lockloom/internal/settings"
	"lockloom/limits"
)

// Config is a parsed and validated operator file; see internal/config.
type Config = config.Config

// ReadConfig reads an operator file. The errors are all that is wrong with it, each in one line.
func ReadConfig(name string) (*Config, []error) { return config.ReadFile(name) }

// idempotencyOrder holds the idempotency for each RetrySafety of requests. Each pool of the operator file has every
// class once per RetrySafety, in this order; see classIndex.
var idempotencyOrder = [...]balance.Idempotency{
	limits.RetryNever:  balance.NonIdempotent,
	limits.RetryKeyed:  balance.Keyed,
	limits.RetryAlways: balance.Idempotent,
}

// dedupScopes maps the values of the operator file's scope key.
var dedupScopes = map[string]balance.DedupScope{
	"":     balance.DedupAll,
	"none": balance.DedupAll,
	"all":  balance.DedupAll,
	"zone": balance.DedupZone,
	"pod":  balance.DedupPod,
}

// Errors of ReloadConfig.
var (
	errEnded            = errors.New("the proxy has ended")
	errNoConfig         = errors.New("the proxy was started without an operator file")
	errListenersChanged = errors.New("listeners cannot be changed by a reload, only by a restart")
)

// routingConfig is an operator file with its pools. It is immutable: a reload replaces it. Connection goroutines read
// its routes and classes; the state of the pools and limits belongs to the owner.
type routingConfig struct {
	config       *Config
	pools        map[string]*serverPool
	classIndexes map[string]int // class name to index in the operator file
	limitIndexes map[string]int // limit name to index in the operator file
}

// Configure makes the proxy serve an operator file's routes on HTTP listeners. Call it before Serve.
func (p *Proxy) Configure(cfg *Config, listeners ...net.Listener) error {
	for i := range cfg.Classes {
		p.maxDeadline = max(p.maxDeadline, seconds(cfg.Classes[i].Deadline))
	}
	routing, err := p.buildRouting(cfg, nil)
	if err != nil {
		return err
	}
	p.listeners = listeners
	p.installRouting(routing)
	return nil
}

// ReloadConfig replaces the operator file. With an error nothing changes. Requests in flight end by the previous file;
// unchanged pools keep their estimates and server states, and unchanged limits their counts. A file is rejected if it
// changes the listeners or has a deadline longer than the longest one at the start: both need a restart. It is safe for
// concurrent use while the proxy serves.
func (p *Proxy) ReloadConfig(cfg *Config) error {
	done := make(chan error, 1)
	p.post(func() { done <- p.applyConfig(cfg) })
	select {
	case err := <-done:
		return err
	case <-p.loop.ended:
		return errEnded
	}
}

// applyConfig replaces the operator file in force. It is called by the owner.
func (p *Proxy) applyConfig(cfg *Config) error {
	previous := p.routing.Load()
	if previous == nil {
		return errNoConfig
	}
	if !reflect.DeepEqual(previous.config.Listeners, cfg.Listeners) {
		return errListenersChanged
	}
	for i := range cfg.Classes {
		if class := &cfg.Classes[i]; seconds(class.Deadline) > p.maxDeadline {
			return fmt.Errorf("tariff %q: hard_stop longer than %v takes effect only after a restart", class.Name, p.maxDeadline)
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
	fields := logrus.Fields{"pools": len(cfg.Pools), "routes": len(cfg.Routes)}
	p.log.WithFields(fields).Info("operator file reloaded")
	return nil
}

// buildRouting makes the routing configuration of an operator file. It reuses pools and limits of the previous one that
// are unchanged; nil stands for no previous one.
func (p *Proxy) buildRouting(cfg *Config, previous *routingConfig) (*routingConfig, error) {
	routing := &routingConfig{
		config:       cfg,
		pools:        map[string]*serverPool{},
		classIndexes: map[string]int{},
		limitIndexes: map[string]int{},
	}
	for i := range cfg.Classes {
		routing.classIndexes[cfg.Classes[i].Name] = i
	}
	for i := range cfg.File.Limits {
		routing.limitIndexes[cfg.File.Limits[i].Name] = i
	}
	if previous != nil && reflect.DeepEqual(previous.config.File.Limits, cfg.File.Limits) {
		cfg.Limits = previous.config.Limits
	}
	deployment := p.poolDeployment(cfg)
	for i := range cfg.Pools {
		poolConfig := &cfg.Pools[i]
		if pool := previous.unchangedPool(cfg, poolConfig); pool != nil {
			routing.pools[poolConfig.Name] = pool
			continue
		}
		pool, err := p.newServerPool(poolConfig, deployment)
		if err != nil {
			return nil, err
		}
		routing.pools[poolConfig.Name] = pool
	}
	return routing, nil
}

// poolDeployment returns the deployment of the operator file's pools, without their seeds: the platform's, with the
// operator file's classes.
func (p *Proxy) poolDeployment(cfg *Config) balance.Deployment {
	deployment := p.bootstrap.Deployment
	deployment.Classes, deployment.Tenants = nil, nil
	deployment.Gossip = false // gossip messages refer to classes by the platform's indexes, which differ from a pool's
	for i := range cfg.Classes {
		class := &cfg.Classes[i]
		for _, idempotency := range idempotencyOrder {
			deployment.Classes = append(deployment.Classes, balance.Class{
				Name:             class.Name,
				Idempotency:      idempotency,
				DedupScope:       dedupScopes[class.DedupScope],
				DedupWindow:      class.DedupWindow,
				LatencyObjective: class.LatencyObjective,
				Deadline:         class.Deadline,
				PriorityWeight:   class.PriorityWeight,
			})
		}
	}
	return deployment
}

// unchangedPool returns the pool that a new operator file defines in the same way, or nil if there is none.
func (rc *routingConfig) unchangedPool(cfg *Config, poolConfig *config.Pool) *serverPool {
	if rc == nil || !reflect.DeepEqual(rc.config.Classes, cfg.Classes) {
		return nil
	}
	for i := range rc.config.Pools {
		if current := &rc.config.Pools[i]; current.Name == poolConfig.Name && poolConfig.SameServers(current) {
			return rc.pools[current.Name]
		}
	}
	return nil
}

func (p *Proxy) newServerPool(poolConfig *config.Pool, deployment balance.Deployment) (*serverPool, error) {
	deployment.Seed = p.bootstrap.Seed ^ settings.NameHash(poolConfig.Name)
	balancer, err := balance.New(deployment, p.now())
	if err != nil {
		return nil, fmt.Errorf("pool %q: %w", poolConfig.Name, err)
	}
	return &serverPool{
		name:         poolConfig.Name,
		decisions:    p.pools.newDecisions(poolConfig.Name, balancer),
		classes:      deployment.Classes,
		poolCapacity: poolCapacity{budgets: map[string]*limits.RetryBudget{}},
		accepts: func(entry *discovery.Entry) bool {
			return (len(poolConfig.Kinds) == 0 || slices.Contains(poolConfig.Kinds, entry.ModelName)) &&
				(len(poolConfig.Zones) == 0 || slices.Contains(poolConfig.Zones, entry.ZoneName))
		},
	}, nil
}

// installRouting puts a routing configuration in force and adds its new pools.
func (p *Proxy) installRouting(routing *routingConfig) {
	for i := range routing.config.Pools {
		poolConfig := &routing.config.Pools[i]
		pool := routing.pools[poolConfig.Name]
		routing.configurePool(pool, poolConfig)
		if !slices.Contains(p.pools.all, pool) {
			p.addPool(pool, poolConfig.Servers)
		}
	}
	p.routing.Store(routing)
}

// configurePool sets the properties of a pool that a reload may change while it keeps the pool.
func (rc *routingConfig) configurePool(pool *serverPool, poolConfig *config.Pool) {
	pool.backup = rc.pools[poolConfig.Backup]
	pool.failover.ActivateAfter, pool.failover.RecoverAfter = poolConfig.BackupAfter, poolConfig.BackupUntil
	if poolConfig.Backup == "" {
		pool.failedOver = false
	}
	weights := map[string]float64{}
	addRouteWeights(weights, poolConfig.Name, rc.config.Routes)
	switch {
	case poolConfig.Capacity == 0:
		pool.fairLimiter = nil
	case pool.fairLimiter == nil:
		pool.fairLimiter = limits.NewFairLimiter(poolConfig.Capacity, weights)
	default:
		pool.fairLimiter.Configure(poolConfig.Capacity, weights)
	}
}

// addRouteWeights adds the weight of each route that forwards to a pool, nested ones included, by route name. All have
// the same.
func addRouteWeights(weights map[string]float64, pool string, routes []config.Route) {
	toPool := func(weighted config.WeightedPool) bool { return weighted.Pool == pool }
	for i := range routes {
		route := &routes[i]
		if route.Pool == pool || slices.ContainsFunc(route.Split, toPool) {
			weights[route.Name] = 1
		}
		addRouteWeights(weights, pool, route.Routes)
	}
}

// addPool adds a new pool. If servers are given, the pool has these, else those of the endpoint list.
func (p *Proxy) addPool(pool *serverPool, servers []string) {
	p.pools.all = append(p.pools.all, pool)
	pool.decisions.SetSlowStartShare(p.resourceShare())
	pool.decisions.SetLocalDelay(p.overload.delayFactor, p.overload.lagSeconds)
	if len(servers) > 0 {
		pool.static = true
		p.addStaticServers(pool, servers)
	}
	if p.endpoints.received {
		p.initializePool(pool)
	}
}

// addStaticServers adds the configured servers of a pool, which no endpoint list changes.
func (p *Proxy) addStaticServers(pool *serverPool, addrs []string) {
	var endpoints []balance.Endpoint
	for i, addr := range addrs {
		name := pool.name + "/" + addr
		entry := settings.Entry{Name: name, ModelName: pool.name, Endpoint: balance.Endpoint{Pod: i}}
		endpoint := p.registry.Endpoint(entry)
		p.upstream.SetEndpoint(endpoint.Index, name, addr, 0)
		p.applyEndpointState(endpoint.Index, balance.Ready, p.now())
		p.endpoints.static[endpoint.Index] = true
		p.process.pinKnownID(name)
		endpoints = append(endpoints, endpoint)
	}
	pool.staticEndpoints = endpoints
}

// classIndex returns the index that a class of the operator file has in every pool for requests of a RetrySafety.
func (rc *routingConfig) classIndex(class string, safety limits.RetrySafety) int {
	return rc.classIndexes[class]*len(idempotencyOrder) + int(safety)
}
