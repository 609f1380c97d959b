package config

import (
	"errors"
	"fmt"

	"lockloom/routes"
)

// readRoutes checks the routes in list and converts them to routes of package routes. tableName is the name of their
// tables in the file: "route", or "route.route" if they are nested in a route.
func (r *reader) readRoutes(list []Route, tableName string) []routes.Route {
	var converted []routes.Route
	for i := range list {
		routeConfig := &list[i]
		r.routeTables[tableName]++
		table := r.table(tableName, r.routeTables[tableName])
		if _, taken := r.routes[routeConfig.Name]; taken {
			table.fail("name", "%q is already in use", routeConfig.Name)
		} else if routeConfig.Name == "" {
			table.fail("name", "missing")
		}
		r.routes[routeConfig.Name] = table
		route := r.readRoute(routeConfig, table)
		route.Nested = r.readRoutes(routeConfig.Routes, tableName+".route")
		converted = append(converted, route)
	}
	return converted
}

// readRoute checks and converts one route. A route with pools that names no class gets the only class of the file.
func (r *reader) readRoute(routeConfig *Route, table table) routes.Route {
	route := routes.Route{
		Name:    routeConfig.Name,
		Hosts:   routeConfig.Hosts,
		Final:   routeConfig.Final,
		Methods: routeConfig.Methods,
		Fields:  conditions(routeConfig.Fields),
		Query:   conditions(routeConfig.Query),
	}
	route.Kind, route.Path = readPath(routeConfig, table)
	for _, method := range routeConfig.Methods {
		if !isMethod(method) {
			table.fail("methods", "%q must be in upper case", method)
		}
	}
	route.Action = r.readAction(routeConfig, table)
	table.checkKnown("tariff", "tariff", routeConfig.Class, r.file.classNames())
	if len(route.Action.Pools) > 0 && routeConfig.Class == "" {
		if len(r.file.Classes) == 1 {
			routeConfig.Class = r.file.Classes[0].Name
		} else {
			table.fail("tariff", "missing: required because the file has %d tariffs, not one", len(r.file.Classes))
		}
	}
	for _, limit := range routeConfig.Limits {
		table.checkKnown("limits", "limit", limit, r.file.limitNames())
	}
	table.checkKnown("retry", "retry rule", routeConfig.Retry, r.file.retryNames())
	return route
}

// readPath returns the path that a route matches, and how it matches; after an error, the path is "/".
func readPath(routeConfig *Route, table table) (kind routes.MatchKind, path string) {
	count := 0
	for _, candidate := range []struct {
		kind routes.MatchKind
		path string
	}{
		{routes.Exact, routeConfig.Exact},
		{routes.Prefix, routeConfig.Prefix},
		{routes.Segments, routeConfig.Under},
		{routes.Regex, routeConfig.Regex},
	} {
		if candidate.path != "" {
			kind, path = candidate.kind, candidate.path
			count++
		}
	}
	if count != 1 {
		table.fail("", "%q: exactly one of exact, prefix, under and regex must be set, not %d", routeConfig.Name, count)
		path = "/"
	}
	if routeConfig.Final && routeConfig.Prefix == "" && routeConfig.Under == "" {
		table.fail("final", "requires prefix or under")
	}
	return kind, path
}

func conditions(list []Condition) []routes.Condition {
	var out []routes.Condition
	for _, condition := range list {
		out = append(out, routes.Condition(condition))
	}
	return out
}

func (r *reader) readAction(routeConfig *Route, table table) routes.Action {
	action := routes.Action{
		Rewrite:  routeConfig.Rewrite,
		Redirect: (*routes.Redirect)(routeConfig.Redirect),
		Response: (*routes.FixedResponse)(routeConfig.Response),
	}
	if routeConfig.Pool != "" && len(routeConfig.Split) > 0 {
		table.fail("split", "pool and split cannot both be set")
	}
	table.checkKnown("pool", "pool", routeConfig.Pool, r.file.poolNames())
	if routeConfig.Pool != "" {
		action.Pools = []routes.WeightedPool{{Pool: routeConfig.Pool, Weight: 1}}
	}
	for _, weighted := range routeConfig.Split {
		table.checkKnown("split", "pool", weighted.Pool, r.file.poolNames())
		action.Pools = append(action.Pools, routes.WeightedPool(weighted))
	}
	return action
}

func (r *reader) compileRoutes(list []routes.Route) {
	compiled, err := routes.Compile(list)
	if err != nil {
		r.failRoutes(err)
		return
	}
	r.config.RouteTable = compiled
}

// failRoutes adds the errors of routes.Compile, each at the table of its route.
func (r *reader) failRoutes(err error) {
	var joined interface{ Unwrap() []error }
	if errors.As(err, &joined) {
		for _, err := range joined.Unwrap() {
			r.failRoutes(err)
		}
		return
	}
	var routeError *routes.RouteError
	if errors.As(err, &routeError) {
		if table, known := r.routes[routeError.Route]; known {
			table.fail("", "%q: %v", routeError.Route, routeError.Err)
			return
		}
	}
	r.errs = append(r.errs, fmt.Errorf("%s: %w", r.source.Name, err))
}
