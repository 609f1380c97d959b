package routes

import (
	"errors"
	"fmt"
	"math"
	"regexp"
	"slices"
	"strings"
)

// Limits of a table. A configuration that exceeds them is probably a mistake.
const (
	maxRoutes      = 1_000_000
	maxNesting     = 8    // levels of routes below an outermost route
	maxTextBytes   = 4096 // length of a path, expression or host
	maxRoutePools  = 64   // pools of one route
	minFixedStatus = 200
	maxFixedStatus = 599
)

var redirectStatuses = []int{301, 302, 303, 307, 308}

// RouteError is the error for a route that cannot be compiled.
type RouteError struct {
	Route string // name of the route
	Err   error
}

func (e *RouteError) Error() string { return fmt.Sprintf("route %q: %v", e.Route, e.Err) }

func (e *RouteError) Unwrap() error { return e.Err }

// compiledRoute is a route prepared for matching.
type compiledRoute struct {
	*Route
	path       string         // in normal form, for Segments without trailing slash; empty for Regex
	expression *regexp.Regexp // nil unless the kind is Regex
	fields     []condition
	query      []condition
	nested     []*compiledRoute // nested routes of the kind Regex, in order
	parent     *compiledRoute   // the enclosing route; nil: none
}

// Compile builds a Table from routes. The returned error joins a *RouteError per route that cannot be compiled.
func Compile(list []Route) (*Table, error) {
	table := newTable()
	var errs []error
	for i := range list {
		errs = append(errs, table.addToHosts(&list[i])...)
	}
	if len(errs) > 0 {
		return nil, errors.Join(errs...)
	}
	return table, nil
}

// addToHosts adds a route to the routes of each of its hosts.
func (t *Table) addToHosts(route *Route) []error {
	hosts := route.Hosts
	if len(hosts) == 0 {
		hosts = []string{""}
	}
	var errs []error
	for i, host := range hosts {
		vhost, err := t.virtualHostFor(host)
		if err != nil {
			errs = append(errs, &RouteError{route.Name, err})
			continue
		}
		if err := t.add(vhost, route, nil, 0); err != nil && i == 0 { // the error is the same for every host
			errs = append(errs, err)
		}
	}
	return errs
}

// add compiles a route and its nested routes, and adds them to a virtual host.
func (t *Table) add(vhost *virtualHost, route *Route, parent *compiledRoute, depth int) error {
	if t.count >= maxRoutes || depth > maxNesting {
		err := fmt.Errorf("more than %d routes in the table, or routes nested deeper than %d levels", maxRoutes, maxNesting)
		return &RouteError{route.Name, err}
	}
	c, err := compileRoute(route, parent)
	if err != nil {
		return &RouteError{route.Name, err}
	}
	t.count++
	vhost.add(c)
	for i := range route.Nested {
		nested := &route.Nested[i]
		if err := checkNested(route, nested); err != nil {
			return &RouteError{route.Name, err}
		}
		if err := t.add(vhost, nested, c, depth+1); err != nil {
			return err
		}
	}
	return nil
}

func compileRoute(route *Route, parent *compiledRoute) (*compiledRoute, error) {
	c := &compiledRoute{Route: route, parent: parent}
	if err := c.compilePath(); err != nil {
		return nil, err
	}
	var err error
	if c.fields, err = compileConditions(route.Fields); err != nil {
		return nil, fmt.Errorf("field %w", err)
	}
	if c.query, err = compileConditions(route.Query); err != nil {
		return nil, fmt.Errorf("query %w", err)
	}
	return c, route.Action.check(route.Kind)
}

// compilePath sets the path or expression to match. It rejects a path that is not in its normal form, because such a
// path would never match, or would match other requests than intended.
func (c *compiledRoute) compilePath() error {
	if len(c.Path) > maxTextBytes {
		return fmt.Errorf("path has %d bytes, at most %d are allowed", len(c.Path), maxTextBytes)
	}
	var err error
	if c.Kind == Regex {
		if c.expression, err = regexp.Compile(c.Path); err != nil {
			return fmt.Errorf("expression: %w", err)
		}
		return nil
	}
	if c.path, err = NormalizePath(c.Path); err != nil {
		return err
	}
	if c.path != c.Path {
		return fmt.Errorf("path %q is not in its normal form, which is %q", c.Path, c.path)
	}
	if c.Kind == Segments && c.path != "/" {
		c.path = strings.TrimSuffix(c.path, "/")
	}
	return nil
}

// checkNested returns an error if a route must not be nested in outer.
func checkNested(outer, nested *Route) error {
	if len(nested.Hosts) > 0 {
		return fmt.Errorf("nested route %q has hosts of its own; it must use those of its outer route", nested.Name)
	}
	within := nested.Kind == Regex || outer.Kind != Regex && strings.HasPrefix(nested.Path, outer.Path)
	if !within || outer.Kind == Exact {
		return fmt.Errorf("nested route %q cannot be nested here: the outer route must not be exact, and the nested one "+
			"must be a regex or begin with the outer prefix", nested.Name)
	}
	return nil
}

func (a *Action) check(kind MatchKind) error {
	if a.count() != 1 {
		return errors.New("needs exactly one of pools, redirect and fixed answer")
	}
	if err := a.checkPools(); err != nil {
		return err
	}
	if err := a.checkRewrite(kind); err != nil {
		return err
	}
	if r := a.Redirect; r != nil && (!slices.Contains(redirectStatuses, r.Status) || r.To == "") {
		return fmt.Errorf("redirect %d to %q: needs the status 301, 302, 303, 307 or 308, and a location", r.Status, r.To)
	}
	if f := a.Response; f != nil && (f.Status < minFixedStatus || f.Status > maxFixedStatus) {
		return fmt.Errorf("fixed answer %d: the status must be from 200 to 599", f.Status)
	}
	return nil
}

// count returns how many of Pools, Redirect and Response are set.
func (a *Action) count() int {
	count := 0
	for _, set := range []bool{len(a.Pools) > 0, a.Redirect != nil, a.Response != nil} {
		if set {
			count++
		}
	}
	return count
}

func (a *Action) checkPools() error {
	sum := 0.0
	for _, pool := range a.Pools {
		if pool.Pool == "" || !(pool.Weight >= 0) || math.IsInf(pool.Weight, 1) {
			return fmt.Errorf("pool %q: weight %v: needs a name, and a weight that is finite and not negative",
				pool.Pool, pool.Weight)
		}
		sum += pool.Weight
	}
	if len(a.Pools) > maxRoutePools || len(a.Pools) > 0 && sum == 0 {
		return fmt.Errorf("%d pools with weights of %v in total: at most %d pools are allowed, and the total must not be 0",
			len(a.Pools), sum, maxRoutePools)
	}
	return nil
}

func (a *Action) checkRewrite(kind MatchKind) error {
	if a.Rewrite == "" {
		return nil
	}
	if kind != Regex {
		if normal, err := NormalizePath(a.Rewrite); err != nil || normal != a.Rewrite {
			return fmt.Errorf("rewrite %q is not in the normal form of a path", a.Rewrite)
		}
	}
	if len(a.Pools) == 0 {
		return errors.New("rewrite without pools: only requests that are forwarded can be rewritten")
	}
	return nil
}
