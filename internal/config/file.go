package config

import "slices"

// File is the content of an operator file. Times are in seconds.
type File struct {
	Listeners    []Listener    `toml:"listener"`
	Classes      []Class       `toml:"tariff"`
	Pools        []Pool        `toml:"pool"`
	Limits       []Limit       `toml:"limit"`
	Retries      []RetryRule   `toml:"retry"`
	Routes       []Route       `toml:"route"`
	ControlPlane *ControlPlane `toml:"control"` // supported by lockloom-controlplane only
	Capture      *Capture      `toml:"capture"` // supported by lockloom-controlplane only
}

// Listener configures an address where clients connect.
type Listener struct {
	Address string `toml:"address"`
}

// Class configures a class of requests; the file calls it a tariff.
type Class struct {
	Name             string  `toml:"name"`
	LatencyObjective float64 `toml:"due"`
	Deadline         float64 `toml:"hard_stop"`
	PriorityWeight   float64 `toml:"value"`  // 0: the default of 1
	DedupScope       string  `toml:"scope"`  // deduplication group: none, all (servers), zone or pod (the attempt's)
	DedupWindow      float64 `toml:"window"` // seconds in which the group's servers drop repeats of an idempotency key
}

// Pool configures a group of servers, either listed here or selected from the endpoint list.
type Pool struct {
	Name        string   `toml:"name"`
	Servers     []string `toml:"servers"`      // addresses
	Kinds       []string `toml:"kinds"`        // models of the selected servers; empty: any
	Zones       []string `toml:"zones"`        // zones of the selected servers; empty: any
	Backup      string   `toml:"backup"`       // the pool that serves while this one has no admitted server
	BackupAfter float64  `toml:"backup_after"` // seconds without an admitted server after which the backup pool serves
	BackupUntil float64  `toml:"backup_until"` // seconds with an admitted server again after which the backup pool stops
	Capacity    int      `toml:"room"`         // maximum requests in flight over all its routes; 0: no limit
}

// SameServers reports whether two pools have the same servers; backup and capacity are not compared.
func (p *Pool) SameServers(other *Pool) bool {
	return slices.Equal(p.Servers, other.Servers) &&
		slices.Equal(p.Kinds, other.Kinds) &&
		slices.Equal(p.Zones, other.Zones)
}

// Limit bounds the rate or concurrency of requests; see limits.Limit.
type Limit struct {
	Name        string  `toml:"name"`
	By          string  `toml:"by"` // all, route, customer (a tenant), address, or field:NAME
	Rate        float64 `toml:"rate"`
	Burst       float64 `toml:"burst"`
	Concurrency int     `toml:"in_hand"`
	MaxKeys     int     `toml:"keys"`
}

// RetryRule configures a retry rule; see limits.RetryRule.
type RetryRule struct {
	Name              string   `toml:"name"`
	IdempotentMethods []string `toml:"freely"`
	KeyedMethods      []string `toml:"marked"`
	MaxAttempts       int      `toml:"legs"`
	BudgetRatio       *float64 `toml:"share"`
}

// Route configures a route. One of Exact, Prefix, Under and Regex is set, and one of Pool, Split, Redirect and
// Response.
type Route struct {
	Name     string         `toml:"name"`
	Hosts    []string       `toml:"hosts"`
	Exact    string         `toml:"exact"`
	Prefix   string         `toml:"prefix"`
	Under    string         `toml:"under"`
	Regex    string         `toml:"regex"`
	Final    bool           `toml:"final"`
	Methods  []string       `toml:"methods"`
	Fields   []Condition    `toml:"fields"`
	Query    []Condition    `toml:"query"`
	Pool     string         `toml:"pool"`
	Split    []WeightedPool `toml:"split"`
	Rewrite  string         `toml:"rewrite"`
	Redirect *Redirect      `toml:"redirect"`
	Response *FixedResponse `toml:"answer"`
	Class    string         `toml:"tariff"`
	Limits   []string       `toml:"limits"`
	Retry    string         `toml:"retry"`
	Routes   []Route        `toml:"route"` // nested routes
}

// Condition is a condition on a header field or a query parameter; see routes.Condition.
type Condition struct {
	Name   string `toml:"name"`
	Value  string `toml:"value"`
	Regex  bool   `toml:"regex"`
	Negate bool   `toml:"not"`
}

// WeightedPool is a pool with its weight among a route's pools.
type WeightedPool struct {
	Pool   string  `toml:"pool"`
	Weight float64 `toml:"weight"`
}

// Redirect configures a redirect of the client; see routes.Redirect.
type Redirect struct {
	Status   int    `toml:"status"`
	To       string `toml:"to"`
	KeepPath bool   `toml:"keep"`
}

// FixedResponse configures a response that the proxy itself sends.
type FixedResponse struct {
	Status int    `toml:"status"`
	Type   string `toml:"type"`
	Body   string `toml:"body"`
}

func (f *File) classNames() []string {
	return names(f.Classes, func(class *Class) string { return class.Name })
}

func (f *File) poolNames() []string {
	return names(f.Pools, func(pool *Pool) string { return pool.Name })
}

func (f *File) limitNames() []string {
	return names(f.Limits, func(limit *Limit) string { return limit.Name })
}

func (f *File) retryNames() []string {
	return names(f.Retries, func(retry *RetryRule) string { return retry.Name })
}

func names[T any](list []T, name func(*T) string) []string {
	var out []string
	for i := range list {
		out = append(out, name(&list[i]))
	}
	return out
}
