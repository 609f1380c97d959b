package config

import (
	"lockloom/internal/tomlfile"
	"lockloom/limits"
	"lockloom/routes"
)

const (
	maxFileBytes = 64 << 20 // some 100,000 routes
	maxSeconds   = 3600.0   // of any time in the file
)

// defaultBudgetRatio is the fraction of recent first attempts that may be retried where a rule sets none: enough for
// single failures, too little to double the load on a pool that fails.
const defaultBudgetRatio = 0.2

// defaultRetryRule is that of routes without one.
var defaultRetryRule = limits.RetryRule{Name: "plain", BudgetRatio: defaultBudgetRatio}

// Config is an operator file ready for use. It is only read after Read, so it is safe for concurrent use.
type Config struct {
	File
	RouteTable *routes.Table
	Limits     *limits.Limits
	RetryRules []limits.RetryRule

	written map[*routes.Route]*Route // the routes of the table as they are in the file
}

// RouteConfig returns what the file says of a matched route.
func (c *Config) RouteConfig(route *routes.Route) *Route { return c.written[route] }

// RetryRule returns a route's retry rule, the default rule if it has none.
func (c *Config) RetryRule(route *Route) *limits.RetryRule {
	for i := range c.RetryRules {
		if c.RetryRules[i].Name == route.Retry {
			return &c.RetryRules[i]
		}
	}
	return &defaultRetryRule
}

// Open reads a file; the errors are all that is wrong with it, each in one line.
func Open(name string) (*Config, []error) {
	text, err := tomlfile.Load(name, maxFileBytes)
	if err != nil {
		return nil, []error{err}
	}
	return Read(name, text)
}

// Read reads the text of a file of this name, which errors begin with.
func Read(name string, text []byte) (*Config, []error) {
	config := &Config{written: map[*routes.Route]*Route{}}
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
		r.fail("route", 0, "", "there is none")
	}
	r.checkListeners()
	if len(r.errs) == 0 {
		r.compileRoutes(list)
	}
	if len(r.errs) > 0 {
		return nil, r.errs
	}
	config.bind(list, config.Routes)
	return config, nil
}

// bind records, for each route of the table, how it is in the file.
func (c *Config) bind(list []routes.Route, written []Route) {
	for i := range list {
		c.written[&list[i]] = &written[i]
		c.bind(list[i].Nested, written[i].Routes)
	}
}
