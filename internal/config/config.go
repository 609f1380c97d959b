// Package config reads the operator file: listeners, classes, pools, routes, limits and retry rules of an installation, as
// opposed to what the platform tells a proxy when it starts. Every fault is told at once, with its place. It decides nothing:
// routes and limits do.
package config

import (
	"errors"
	"fmt"
	"net"
	"slices"
	"strings"

	"lockloom/internal/tomlfile"
	"lockloom/limits"
	"lockloom/routes"
)

const (
	fileMost = 64 << 20 // bytes: some 100,000 routes
	secsMost = 3600.0   // of any time in the file
)

// File is the operator file as it is written. Times are in seconds.
type File struct {
	Listeners    []Listener    `toml:"listener"`
	Classes      []Class       `toml:"tariff"`
	Pools        []Pool        `toml:"pool"`
	Limits       []Limit       `toml:"limit"`
	Retries      []Retry       `toml:"retry"`
	Routes       []Route       `toml:"route"`
	ControlPlane *ControlPlane `toml:"control"` // only a program with a control service takes it
	Capture      *Capture      `toml:"capture"` // only one that captures
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
	PriorityWeight   float64 `toml:"value"`
	DedupScope       string  `toml:"scope"`  // of servers that drop repeats by Idempotency-Key: none, all, zone or pod
	DedupWindow      float64 `toml:"window"` // for how long they know them
}

// Pool is servers that requests go to: some of the list's, or those written out.
type Pool struct {
	Name        string   `toml:"name"`
	Servers     []string `toml:"servers"`
	Kinds       []string `toml:"kinds"` // of the list's servers; with zones: both
	Zones       []string `toml:"zones"`
	Backup      string   `toml:"backup"`       // the pool that takes over while this one has no server admitted
	BackupAfter float64  `toml:"backup_after"` // for so long
	BackupUntil float64  `toml:"backup_until"` // and gives back once it has had one for so long
	Capacity    int      `toml:"room"`         // requests in hand that its routes share; 0: no bound
}

// Same tells whether a pool has the same servers as another; who backs it up, and its room, do not matter.
func (p *Pool) Same(o *Pool) bool {
	return slices.Equal(p.Servers, o.Servers) && slices.Equal(p.Kinds, o.Kinds) && slices.Equal(p.Zones, o.Zones)
}

// Limit is a bound on what may come.
type Limit struct {
	Name        string  `toml:"name"`
	By          string  `toml:"by"` // all, route, tenant, address, or field:NAME
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

// Route is a route; one of Exact, Prefix, Under and Regex, and one of Pool, Split, Redirect and Answer.
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
	Routes   []Route        `toml:"route"`
}

// Condition is on a field or a parameter of the query.
type Condition struct {
	Name   string `toml:"name"`
	Value  string `toml:"value"`
	Regex  bool   `toml:"regex"`
	Negate bool   `toml:"not"`
}

// WeightedPool is a pool's part.
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

// Config is an operator file ready for use.
type Config struct {
	File
	RouteTable *routes.Table
	Limits     *limits.Limits
	RetryRules []limits.RetryRule

	terms map[*routes.Route]*Route // what else a route says
}

// RouteConfig are what a matched route says of its requests.
func (s *Config) RouteConfig(r *routes.Route) *Route { return s.terms[r] }

// Open reads a file; the errors are all its faults, a line each.
func Open(name string) (*Config, []error) {
	text, err := tomlfile.Load(name, fileMost)
	if err != nil {
		return nil, []error{err}
	}
	return Read(name, text)
}

// reader gathers faults while a file is read.
type reader struct {
	*Config
	file   *tomlfile.File
	faults []error
	nested map[string]int // tables met so far, by name
}

// Read reads a file's text.
func Read(name string, text []byte) (*Config, []error) {
	r := &reader{Config: &Config{terms: map[*routes.Route]*Route{}}, nested: map[string]int{}}
	file, faults := tomlfile.Decode(name, text, &r.File)
	if len(faults) > 0 {
		return nil, faults
	}
	r.file = file
	r.tariffs()
	r.pools()
	r.limits()
	r.retries()
	r.control()
	r.capture()
	list, places := r.routes(r.Routes, "route")
	if len(r.Routes) == 0 {
		r.fault("route", 0, "", "there is none")
	}
	for i, l := range r.Listeners {
		if _, _, err := net.SplitHostPort(l.Address); err != nil {
			r.fault("listener", i+1, "address", "%v", err)
		}
	}
	if len(r.faults) == 0 {
		var err error
		if r.RouteTable, err = routes.Compile(list); err != nil {
			r.located(err, places)
		}
	}
	if len(r.faults) > 0 {
		return nil, r.faults
	}
	r.bind(list, r.Routes)
	return r.Config, nil
}

func (r *reader) fault(table string, n int, field, format string, args ...any) {
	r.faults = append(r.faults, r.file.At(table, n, field, format, args...))
}

// located tells each fault that compiling found at the place of its route.
func (r *reader) located(err error, places map[string][2]any) {
	var all interface{ Unwrap() []error }
	if errors.As(err, &all) {
		for _, err := range all.Unwrap() {
			r.located(err, places)
		}
		return
	}
	for name, place := range places {
		if text, ok := strings.CutPrefix(err.Error(), fmt.Sprintf("route %q: ", name)); ok {
			r.fault(place[0].(string), place[1].(int), "", "%q: %s", name, text)
			return
		}
	}
	r.faults = append(r.faults, fmt.Errorf("%s: %w", r.file.Name, err))
}

// named checks a table's name, and that no other has it.
func (r *reader) named(table string, n int, name string, seen []string) {
	switch {
	case name == "":
		r.fault(table, n, "name", "missing")
	case slices.Contains(seen, name):
		r.fault(table, n, "name", "%q is another's already", name)
	}
}

// known checks that a name is of something there is.
func (r *reader) known(table string, n int, field, what, name string, among []string) {
	if name == "" || slices.Contains(among, name) {
		return
	}
	if near := tomlfile.Nearest(name, among); near != "" {
		r.fault(table, n, field, "no %s %q: %s?", what, name, near)
		return
	}
	r.fault(table, n, field, "no %s %q", what, name)
}

func (r *reader) within(table string, n int, field string, x, least, most float64) {
	if !(x >= least && x <= most) {
		r.fault(table, n, field, "%v: it is from %v to %v", x, least, most)
	}
}

func namesOf[T any](list []T, name func(*T) string) (out []string) {
	for i := range list {
		out = append(out, name(&list[i]))
	}
	return out
}

func (f *File) tariffNames() []string {
	return namesOf(f.Classes, func(t *Class) string { return t.Name })
}
func (f *File) poolNames() []string { return namesOf(f.Pools, func(p *Pool) string { return p.Name }) }
func (f *File) limitNames() []string {
	return namesOf(f.Limits, func(l *Limit) string { return l.Name })
}
func (f *File) retryNames() []string {
	return namesOf(f.Retries, func(x *Retry) string { return x.Name })
}

func (r *reader) tariffs() {
	names := r.tariffNames()
	for i := range r.Classes {
		t, n := &r.Classes[i], i+1
		r.named("tariff", n, t.Name, names[:i])
		r.within("tariff", n, "hard_stop", t.Deadline, .001, secsMost)
		r.within("tariff", n, "due", t.LatencyObjective, 0, t.Deadline)
		r.within("tariff", n, "value", t.PriorityWeight, 0, 1e9)
		r.within("tariff", n, "window", t.DedupWindow, 0, secsMost)
		r.known("tariff", n, "scope", "scope", t.DedupScope, []string{"none", "all", "zone", "pod"})
		if (t.DedupScope != "" && t.DedupScope != "none") != (t.DedupWindow > 0) {
			r.fault("tariff", n, "window", "a scope and a window go together")
		}
		if t.PriorityWeight == 0 {
			t.PriorityWeight = 1
		}
	}
	if len(r.Classes) == 0 {
		r.fault("tariff", 0, "", "there is none")
	}
}

func (r *reader) pools() {
	names := r.poolNames()
	for i := range r.Pools {
		p, n := &r.Pools[i], i+1
		r.named("pool", n, p.Name, names[:i])
		r.known("pool", n, "backup", "pool", p.Backup, names)
		if p.Backup == p.Name && p.Name != "" {
			r.fault("pool", n, "backup", "a pool is no backup of its own")
		}
		if len(p.Servers) > 0 && len(p.Kinds)+len(p.Zones) > 0 {
			r.fault("pool", n, "servers", "written out, or of the list by kinds and zones: not both")
		}
		for _, s := range p.Servers {
			if _, _, err := net.SplitHostPort(s); err != nil {
				r.fault("pool", n, "servers", "%v", err)
			}
		}
		r.within("pool", n, "backup_after", p.BackupAfter, 0, secsMost)
		r.within("pool", n, "backup_until", p.BackupUntil, 0, secsMost)
		r.within("pool", n, "room", float64(p.Capacity), 0, 1e9)
	}
	for i, p := range r.Pools { // who is whose backup must come to an end
		seen := []string{p.Name}
		for next := p.Backup; next != "" && next != p.Name; {
			k := slices.Index(names, next)
			if k < 0 || slices.Contains(seen, next) {
				break
			}
			seen = append(seen, next)
			if next = r.Pools[k].Backup; next == p.Name {
				r.fault("pool", i+1, "backup", "%s come back to where they began", strings.Join(append(seen, p.Name), " to "))
			}
		}
	}
}

func (r *reader) limits() {
	names := r.limitNames()
	var list []limits.Limit
	for i, l := range r.File.Limits {
		n := i + 1
		r.named("limit", n, l.Name, names[:i])
		if _, field := strings.CutPrefix(l.By, "field:"); !field {
			r.known("limit", n, "by", "way to tell apart", l.By, []string{"all", "route", "customer", "address"})
		}
		if l.By == "" {
			r.fault("limit", n, "by", "missing: all, route, customer, address or field:NAME")
		}
		list = append(list, limits.Limit{Name: l.Name, Rate: l.Rate, Burst: l.Burst, Concurrency: l.Concurrency, MaxKeys: l.MaxKeys})
		if _, err := limits.New(list[i:]); err != nil {
			r.fault("limit", n, "", "%v", err)
		}
	}
	if len(r.faults) == 0 { // with none of them it passes everything
		r.Config.Limits, _ = limits.New(list) // each has been checked
	}
}

func (r *reader) retries() {
	names := r.retryNames()
	for i, x := range r.Retries {
		n := i + 1
		r.named("retry", n, x.Name, names[:i])
		share := shareUsual
		if x.BudgetRatio != nil {
			share = *x.BudgetRatio
		}
		r.within("retry", n, "share", share, 0, 1)
		r.within("retry", n, "legs", float64(x.MaxAttempts), 0, 16)
		for _, m := range slices.Concat(x.IdempotentMethods, x.KeyedMethods) {
			if m == "" || strings.ToUpper(m) != m {
				r.fault("retry", n, "freely", "method %q: in capitals", m)
			}
		}
		r.RetryRules = append(r.RetryRules, limits.RetryRule{Name: x.Name, IdempotentMethods: x.IdempotentMethods, KeyedMethods: x.KeyedMethods, MaxAttempts: x.MaxAttempts, BudgetRatio: share})
	}
}

// routes turns written routes into those of the table, and notes where each stands.
func (r *reader) routes(list []Route, table string) ([]routes.Route, map[string][2]any) {
	var out []routes.Route
	places := map[string][2]any{}
	var walk func(list []Route, table string) []routes.Route
	walk = func(list []Route, table string) (out []routes.Route) {
		for i := range list {
			w := &list[i]
			r.nested[table]++
			n := r.nested[table]
			if _, twice := places[w.Name]; twice {
				r.fault(table, n, "name", "%q is another's already", w.Name)
			} else if w.Name == "" {
				r.fault(table, n, "name", "missing")
			}
			places[w.Name] = [2]any{table, n}
			one := r.route(w, table, n)
			one.Nested = walk(w.Routes, table+".route")
			out = append(out, one)
		}
		return out
	}
	out = walk(list, table)
	return out, places
}

func (r *reader) route(w *Route, table string, n int) routes.Route {
	one := routes.Route{Name: w.Name, Hosts: w.Hosts, Final: w.Final, Methods: w.Methods}
	paths := 0
	for _, p := range []struct {
		kind routes.MatchKind
		text string
	}{{routes.Exact, w.Exact}, {routes.Prefix, w.Prefix}, {routes.Segments, w.Under}, {routes.Regex, w.Regex}} {
		if p.text != "" {
			one.Kind, one.Path = p.kind, p.text
			paths++
		}
	}
	if paths != 1 {
		r.fault(table, n, "", "%q: it has one of exact, prefix, under and regex, not %d", w.Name, paths)
		one.Path = "/"
	}
	if w.Final && w.Prefix == "" && w.Under == "" {
		r.fault(table, n, "final", "only a prefix can be")
	}
	for _, m := range w.Methods {
		if m == "" || strings.ToUpper(m) != m {
			r.fault(table, n, "methods", "%q: in capitals", m)
		}
	}
	conditions := func(list []Condition) (out []routes.Condition) {
		for _, c := range list {
			out = append(out, routes.Condition(c))
		}
		return out
	}
	one.Fields, one.Query = conditions(w.Fields), conditions(w.Query)
	if w.Pool != "" && len(w.Split) > 0 {
		r.fault(table, n, "split", "a pool or a split, not both")
	}
	r.known(table, n, "pool", "pool", w.Pool, r.poolNames())
	if w.Pool != "" {
		one.Action.Pools = []routes.WeightedPool{{Pool: w.Pool, Weight: 1}}
	}
	for _, s := range w.Split {
		r.known(table, n, "split", "pool", s.Pool, r.poolNames())
		one.Action.Pools = append(one.Action.Pools, routes.WeightedPool(s))
	}
	one.Action.Rewrite = w.Rewrite
	if w.Redirect != nil {
		one.Action.Redirect = (*routes.Redirect)(w.Redirect)
	}
	if w.Response != nil {
		one.Action.Response = (*routes.FixedResponse)(w.Response)
	}
	r.known(table, n, "tariff", "tariff", w.Class, r.tariffNames())
	if len(one.Action.Pools) > 0 && w.Class == "" {
		if len(r.Classes) == 1 {
			w.Class = r.Classes[0].Name
		} else {
			r.fault(table, n, "tariff", "missing: there are %d", len(r.Classes))
		}
	}
	for _, l := range w.Limits {
		r.known(table, n, "limits", "limit", l, r.limitNames())
	}
	r.known(table, n, "retry", "retry rule", w.Retry, r.retryNames())
	return one
}

// bind notes for each route of the table what else was written of it.
func (r *reader) bind(list []routes.Route, written []Route) {
	for i := range list {
		r.terms[&list[i]] = &written[i]
		r.bind(list[i].Nested, written[i].Routes)
	}
}

// shareUsual is the share of recent first attempts that may be sent again where a rule does not say: enough for single failures, too
// little to double the load on a pool that fails.
const shareUsual = 0.2

var plainRule = limits.RetryRule{Name: "plain", BudgetRatio: shareUsual}

// RetryRule is a route's retry rule; without one the plain rule.
func (s *Config) RetryRule(w *Route) *limits.RetryRule {
	for i := range s.RetryRules {
		if s.RetryRules[i].Name == w.Retry {
			return &s.RetryRules[i]
		}
	}
	return &plainRule
}
