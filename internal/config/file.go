package config

import "slices"

// File is the operator file as it is written. Times are in seconds.
type File struct {
	Listeners    []Listener    `toml:"listener"`
	Classes      []Class       `toml:"tariff"`
	Pools        []Pool        `toml:"pool"`
	Limits       []Limit       `toml:"limit"`
	Retries      []Retry       `toml:"retry"`
	Routes       []Route       `toml:"route"`
	ControlPlane *ControlPlane `toml:"control"` // only for a program with a control plane
	Capture      *Capture      `toml:"capture"` // only for a program that captures
}

// Listener is where clients connect.
type Listener struct {
	Address string `toml:"address"`
}

// Class is a class of requests.
type Class struct {
	Name             string  `toml:"name"`
	LatencyObjective float64 `toml:"due"`
	Deadline         float64 `toml:"hard_stop"`
	PriorityWeight   float64 `toml:"value"`  // 0: 1
	DedupScope       string  `toml:"scope"`  // the servers that drop a repeat by its key: none, all, zone or pod
	DedupWindow      float64 `toml:"window"` // the time in which they do
}

// Pool is servers that requests go to: some of the endpoint list's, or those written out.
type Pool struct {
	Name        string   `toml:"name"`
	Servers     []string `toml:"servers"`      // addresses
	Kinds       []string `toml:"kinds"`        // models of the list's servers
	Zones       []string `toml:"zones"`        // zones of the list's servers; with kinds: both
	Backup      string   `toml:"backup"`       // the pool that serves while this one has no server admitted
	BackupAfter float64  `toml:"backup_after"` // for so long
	BackupUntil float64  `toml:"backup_until"` // until it has had one for so long
	Capacity    int      `toml:"room"`         // requests in flight that its routes share; 0: no bound
}

// Same reports whether a pool has the same servers as another; backup and capacity do not matter.
func (p *Pool) Same(other *Pool) bool {
	return slices.Equal(p.Servers, other.Servers) &&
		slices.Equal(p.Kinds, other.Kinds) &&
		slices.Equal(p.Zones, other.Zones)
}

// Limit bounds the rate or concurrency of requests.
type Limit struct {
	Name        string  `toml:"name"`
	By          string  `toml:"by"` // all, route, customer (a tenant), address, or field:NAME
	Rate        float64 `toml:"rate"`
	Burst       float64 `toml:"burst"`
	Concurrency int     `toml:"in_hand"`
	MaxKeys     int     `toml:"keys"`
}

// Retry is a retry rule.
type Retry struct {
	Name              string   `toml:"name"`
	IdempotentMethods []string `toml:"freely"`
	KeyedMethods      []string `toml:"marked"`
	MaxAttempts       int      `toml:"legs"`
	BudgetRatio       *float64 `toml:"share"`
}

// Route is a route; it has one of Exact, Prefix, Under and Regex, and one of Pool, Split, Redirect and Response.
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
	Routes   []Route        `toml:"route"` // nested ones
}

// Condition is a condition on a header field or a query parameter.
type Condition struct {
	Name   string `toml:"name"`
	Value  string `toml:"value"`
	Regex  bool   `toml:"regex"`
	Negate bool   `toml:"not"`
}

// WeightedPool is a pool, and its weight among a route's pools.
type WeightedPool struct {
	Pool   string  `toml:"pool"`
	Weight float64 `toml:"weight"`
}

// Redirect sends the client elsewhere.
type Redirect struct {
	Status   int    `toml:"status"`
	To       string `toml:"to"`
	KeepPath bool   `toml:"keep"`
}

// FixedResponse is given by the proxy itself.
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
	return names(f.Retries, func(retry *Retry) string { return retry.Name })
}

func names[T any](list []T, name func(*T) string) []string {
	var out []string
	for i := range list {
		out = append(out, name(&list[i]))
	}
	return out
}
