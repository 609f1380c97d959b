package config

import (
	"lockloom/internal/tomlfile"
	"lockloom/limits"
	"lockloom/routes"
)

const (
	maxFileBytes = 64 << 20 // enough for about 100,000 routes
	maxSeconds   = 3600.0   // upper bound of every duration in the file
)

// defaultBudgetRatio is the share of recent first attempts that may be retried where a retry rule sets none: enough for
// occasional failures, too little to double the load on a failing pool.
const defaultBudgetRatio = 0.2

// defaultRetryRule applies to routes without a retry rule.
var defaultRetryRule = limits.RetryRule{Name: "plain", BudgetRatio: defaultBudgetRatio}

// Config is a checked operator file. It is not modified after Parse has returned it, so it is safe for concurrent use.
type Config struct {
	File
	RouteTable *routes.Table
	Limits     *limits.Limits
	RetryRules []limits.RetryRule

	routeConfigs map[*routes.Route]*Route // the configuration of each route of RouteTable
}

// RouteConfig returns the configuration of a route that RouteTable matched.
func (c *Config) RouteConfig(route *routes.Route) *Route { return c.routeConfigs[route] }

// RetryRule returns a route's retry rule, or the default rule if it names none.
func (c *Config) RetryRule(route *Route) *limits.RetryRule {
	for i := range c.RetryRules {
		if c.RetryRules[i].Name == route.Retry {
			return &c.RetryRules[i]
		}
	}
	return &defaultRetryRule
}

// ReadFile reads a file like Parse. Each error is one line.
func ReadFile(name string) (*Config, []error) {
	text, err := tomlfile.Load(name, maxFileBytes)
	if err != nil {
		return nil, []error{err}
	}
	return Parse(name, text)
}

// Parse parses and checks the text of an operator file. Each error begins with name, the name of the file. Unknown
// fields are all reported together. The values are checked only if there are none, and all invalid ones are reported
// together.
func Parse(name string, text []byte) (*Config, []error) {
	config := &Config{routeConfigs: map[*routes.Route]*Route{}}
	source, errs := tomlfile.Decode(name, text, &config.File)
	if len(errs) > 0 {
		return nil, errs
	}
	r := newReader(config, source)
	r.checkClasses()
	r.checkPools()
	r.readLimits()
	r.readRetries()
	r.checkControlPlane()
	r.checkCapture()
	list := r.readRoutes(r.file.Routes, "route")
	if len(r.file.Routes) == 0 {
		r.fail("route", 0, "", "at least one is required")
	}
	r.checkListeners()
	if len(r.errs) == 0 {
		r.compileRoutes(list)
	}
	if len(r.errs) > 0 {
		return nil, r.errs
	}
	config.recordRoutes(list, config.Routes)
	return config, nil
}

// recordRoutes adds the configurations of routes, and of the routes nested in them, to routeConfigs.
func (c *Config) recordRoutes(list []routes.Route, configs []Route) {
	for i := range list {
		c.routeConfigs[&list[i]] = &configs[i]
		c.recordRoutes(list[i].Nested, configs[i].Routes)
	}
}
