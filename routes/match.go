package routes

import (
	"slices"
	"strings"
)

// Match is the result of matching a request: its route, and what is needed to apply the route's action.
type Match struct {
	Route    *Route
	compiled *compiledRoute
	path     string
}

// Candidate is a route that was considered for a request, and the reason why it was selected or skipped.
type Candidate struct {
	Route  *Route
	Reason string
}

// Match returns the route that a request matches; the result is false if there is none.
func (t *Table) Match(request *Request) (Match, bool) { return t.match(request, nil) }

// Explain does the same as Match, and also returns all routes that were considered, in order.
func (t *Table) Explain(request *Request) (match Match, ok bool, considered []Candidate) {
	match, ok = t.match(request, func(c *compiledRoute, reason string) {
		considered = append(considered, Candidate{c.Route, reason})
	})
	return match, ok, considered
}

// tracer receives each route that is considered and the reason why it is selected or skipped. It is nil except in
// Explain, so that Match does not format reasons.
type tracer func(route *compiledRoute, reason string)

func (t *Table) match(request *Request, trace tracer) (Match, bool) {
	vhost := t.find(request.Host)
	if vhost == nil {
		return Match{}, false
	}
	for _, c := range vhost.exact[request.Path] {
		if c.conditionsMatch(request, trace) {
			return c.matched(request, trace, "exact path"), true
		}
	}
	prefix := vhost.longestPrefix(request, trace)
	if prefix != nil && prefix.Final {
		return prefix.matched(request, trace, "longest prefix, and final"), true
	}
	for enclosing := prefix; enclosing != nil; enclosing = enclosing.parent {
		if c := firstExpression(enclosing.nested, request, trace); c != nil {
			return c.matched(request, trace, "expression within "+enclosing.Name), true
		}
	}
	if c := firstExpression(vhost.expressions, request, trace); c != nil {
		return c.matched(request, trace, "expression"), true
	}
	if prefix != nil {
		return prefix.matched(request, trace, "longest prefix"), true
	}
	return Match{}, false
}

// longestPrefix finds the longest prefix of the path that has a route whose conditions match, and returns the first
// such route; nil: none.
func (v *virtualHost) longestPrefix(request *Request, trace tracer) *compiledRoute {
	for n := v.prefixes.longest(request.Path); n != nil; n = n.shorter {
		for _, c := range n.routes {
			if !c.endsAtSegment(request.Path) {
				if trace != nil {
					trace(c, "the path goes on without a slash")
				}
				continue
			}
			if c.conditionsMatch(request, trace) {
				return c
			}
		}
	}
	return nil
}

// endsAtSegment reports whether the route's prefix may match the path: for a route of the kind Segments, it must end
// where a segment of the path ends.
func (c *compiledRoute) endsAtSegment(path string) bool {
	return c.Kind != Segments || len(path) <= len(c.path) || c.path == "/" || path[len(c.path)] == '/'
}

// firstExpression returns the first route whose expression and conditions match, or the route nested in it that
// matches; nil: none.
func firstExpression(list []*compiledRoute, request *Request, trace tracer) *compiledRoute {
	for _, c := range list {
		if !c.expression.MatchString(request.Path) {
			if trace != nil {
				trace(c, "the expression does not match")
			}
			continue
		}
		if !c.conditionsMatch(request, trace) {
			continue
		}
		if nested := firstExpression(c.nested, request, trace); nested != nil {
			return nested
		}
		return c
	}
	return nil
}

// matched returns the match of a request with the route; how describes the step that selected it.
func (c *compiledRoute) matched(request *Request, trace tracer, how string) Match {
	if trace != nil {
		trace(c, "met: "+how)
	}
	return Match{Route: c.Route, compiled: c, path: request.Path}
}

// conditionsMatch reports whether a request matches the route's conditions on method, fields and query.
func (c *compiledRoute) conditionsMatch(request *Request, trace tracer) bool {
	if len(c.Methods) > 0 && !slices.Contains(c.Methods, request.Method) {
		if trace != nil {
			trace(c, "method "+request.Method+" is not among "+strings.Join(c.Methods, ", "))
		}
		return false
	}
	for i := range c.fields {
		field := &c.fields[i]
		if value, present := request.field(field.Name); !field.matches(value, present) {
			if trace != nil {
				trace(c, "field "+field.Name+" does not hold")
			}
			return false
		}
	}
	for i := range c.query {
		parameter := &c.query[i]
		if value, present := queryParameter(request.Query, parameter.Name); !parameter.matches(value, present) {
			if trace != nil {
				trace(c, "query "+parameter.Name+" does not hold")
			}
			return false
		}
	}
	return true
}

func (r *Request) field(name string) (string, bool) {
	if r.Fields == nil {
		return "", false
	}
	return r.Fields.Get(name)
}
