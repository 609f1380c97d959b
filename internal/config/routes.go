package config

import (
	"errors"
	"fmt"

	"lockloom/routes"
)

// readRoutes checks routes that stand in tables of a name, and returns them as package routes takes them.
func (r *reader) readRoutes(list []Route, tableName string) []routes.Route {
	var read []routes.Route
	for i := range list {
		written := &list[i]
		r.routeTables[tableName]++
		table := r.table(tableName, r.routeTables[tableName])
		if _, taken := r.routes[written.Name]; taken {
			table.fail("name", "%q is another's already", written.Name)
		} else if written.Name == "" {
			table.fail("name", "missing")
		}
		r.routes[written.Name] = table
		route := r.readRoute(written, table)
		route.Nested = r.readRoutes(written.Routes, tableName+".route")
		read = append(read, route)
	}
	return read
}

// readRoute checks one route. It sets its class if there is only one.
func (r *reader) readRoute(written *Route, table table) routes.Route {
	route := routes.Route{
		Name:    written.Name,
		Hosts:   written.Hosts,
		Final:   written.Final,
		Methods: written.Methods,
		Fields:  conditions(written.Fields),
		Query:   conditions(written.Query),
	}
	route.Kind, route.Path = readPath(written, table)
	for _, method := range written.Methods {
		if !isMethod(method) {
			table.fail("methods", "%q: in capitals", method)
		}
	}
	route.Action = r.readAction(written, table)
	table.checkKnown("tariff", "tariff", written.Class, r.file.classNames())
	if len(route.Action.Pools) > 0 && written.Class == "" {
		if len(r.file.Classes) == 1 {
			written.Class = r.file.Classes[0].Name
		} else {
			table.fail("tariff", "missing: there are %d", len(r.file.Classes))
		}
	}
	for _, limit := range written.Limits {
		table.checkKnown("limits", "limit", limit, r.file.limitNames())
	}
	table.checkKnown("retry", "retry rule", written.Retry, r.file.retryNames())
	return route
}

// readPath returns a route's path; after an error, one that matches all.
func readPath(written *Route, table table) (kind routes.MatchKind, path string) {
	count := 0
	for _, candidate := range []struct {
		kind routes.MatchKind
		path string
	}{
		{routes.Exact, written.Exact},
		{routes.Prefix, written.Prefix},
		{routes.Segments, written.Under},
		{routes.Regex, written.Regex},
	} {
		if candidate.path != "" {
			kind, path = candidate.kind, candidate.path
			count++
		}
	}
	if count != 1 {
		table.fail("", "%q: it has one of exact, prefix, under and regex, not %d", written.Name, count)
		path = "/"
	}
	if written.Final && written.Prefix == "" && written.Under == "" {
		table.fail("final", "only a prefix can be")
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

func (r *reader) readAction(written *Route, table table) routes.Action {
	action := routes.Action{
		Rewrite:  written.Rewrite,
		Redirect: (*routes.Redirect)(written.Redirect),
		Response: (*routes.FixedResponse)(written.Response),
	}
	if written.Pool != "" && len(written.Split) > 0 {
		table.fail("split", "a pool or a split, not both")
	}
	table.checkKnown("pool", "pool", written.Pool, r.file.poolNames())
	if written.Pool != "" {
		action.Pools = []routes.WeightedPool{{Pool: written.Pool, Weight: 1}}
	}
	for _, weighted := range written.Split {
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

// failRoutes adds each error of compiling at the table of its route.
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
