package routes

import (
	"errors"
	"fmt"
	"math"
	"regexp"
	"slices"
	"strings"
)

// Bounds of a table; what exceeds them is likelier a mistake than a need.
const (
	maxRoutes      = 1_000_000
	maxNesting     = 8
	maxTextBytes   = 4096 // of a path, expression or host
	maxRoutePools  = 64   // of one route
	minFixedStatus = 200
	maxFixedStatus = 599
)

var redirectStatuses = []int{301, 302, 303, 307, 308}

// RouteError says why a route cannot be compiled.
type RouteError struct {
	Route string // its name
	Err   error
}

func (e *RouteError) Error() string { return fmt.Sprintf("route %q: %v", e.Route, e.Err) }

func (e *RouteError) Unwrap() error { return e.Err }

// compiled is a route ready to match.
type compiled struct {
	*Route
	path       string         // unless the kind is Regex
	expression *regexp.Regexp // if it is
	fields     []condition
	query      []condition
	nested     []*compiled // those of expressions
	parent     *compiled
}

// Compile makes a table of routes. The error joins a *RouteError for each route that cannot be compiled.
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

func (t *Table) addToHosts(route *Route) []error {
	hosts := route.Hosts
	if len(hosts) == 0 {
		hosts = []string{""}
	}
	var errs []error
	for i, host := range hosts {
		site, err := t.siteFor(host)
		if err != nil {
			errs = append(errs, &RouteError{route.Name, err})
			continue
		}
		if err := t.add(site, route, nil, 0); err != nil && i == 0 { // it is the same for each host
			errs = append(errs, err)
		}
	}
	return errs
}

// add compiles one route, and those nested in it, into a host's routes.
func (t *Table) add(site *site, route *Route, parent *compiled, depth int) error {
	if t.count >= maxRoutes || depth > maxNesting {
		err := fmt.Errorf("more than %d routes, or nested deeper than %d", maxRoutes, maxNesting)
		return &RouteError{route.Name, err}
	}
	c, err := compileRoute(route, parent)
	if err != nil {
		return &RouteError{route.Name, err}
	}
	t.count++
	site.add(c)
	for i := range route.Nested {
		nested := &route.Nested[i]
		if err := checkNested(route, nested); err != nil {
			return &RouteError{route.Name, err}
		}
		if err := t.add(site, nested, c, depth+1); err != nil {
			return err
		}
	}
	return nil
}

func compileRoute(route *Route, parent *compiled) (*compiled, error) {
	c := &compiled{Route: route, parent: parent}
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

// compilePath requires a path in its normal form: another could never match, or would match what its writer did not
// mean.
func (c *compiled) compilePath() error {
	if len(c.Path) > maxTextBytes {
		return fmt.Errorf("path of %d bytes: %d at most", len(c.Path), maxTextBytes)
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
		return fmt.Errorf("path %q is not in its normal form, %q", c.Path, c.path)
	}
	if c.Kind == Segments && c.path != "/" {
		c.path = strings.TrimSuffix(c.path, "/")
	}
	return nil
}

func checkNested(outer, nested *Route) error {
	if len(nested.Hosts) > 0 {
		return fmt.Errorf("nested route %q has hosts of its own", nested.Name)
	}
	within := nested.Kind == Regex || outer.Kind != Regex && strings.HasPrefix(nested.Path, outer.Path)
	if !within || outer.Kind == Exact {
		return fmt.Errorf("nested route %q cannot stand within it", nested.Name)
	}
	return nil
}

func (a *Action) check(kind MatchKind) error {
	if a.count() != 1 {
		return errors.New("it has one of pools, redirect and fixed answer")
	}
	if err := a.checkPools(); err != nil {
		return err
	}
	if err := a.checkRewrite(kind); err != nil {
		return err
	}
	if r := a.Redirect; r != nil && (!slices.Contains(redirectStatuses, r.Status) || r.To == "") {
		return fmt.Errorf("redirect %d to %q: 301, 302, 303, 307 or 308, and where to", r.Status, r.To)
	}
	if f := a.Response; f != nil && (f.Status < minFixedStatus || f.Status > maxFixedStatus) {
		return fmt.Errorf("fixed answer %d: 200 to 599", f.Status)
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
			return fmt.Errorf("pool %q: weight %v", pool.Pool, pool.Weight)
		}
		sum += pool.Weight
	}
	if len(a.Pools) > maxRoutePools || len(a.Pools) > 0 && sum == 0 {
		return fmt.Errorf("%d pools with weights of %v in all", len(a.Pools), sum)
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
		return errors.New("a rewrite without pools")
	}
	return nil
}
