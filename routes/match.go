package routes

import (
	"slices"
	"strings"
)

// Match is the route that a request matches.
type Match struct {
	Route    *Route
	compiled *compiled
	path     string
}

// Considered is a route that was considered for a request, and what came of it.
type Considered struct {
	Route  *Route
	Reason string
}

// Match finds the route that a request matches; false: none.
func (t *Table) Match(request *Request) (Match, bool) { return t.match(request, nil) }

// Explain is Match, and returns all routes that were considered, in order.
func (t *Table) Explain(request *Request) (match Match, ok bool, considered []Considered) {
	match, ok = t.match(request, func(c *compiled, reason string) {
		considered = append(considered, Considered{c.Route, reason})
	})
	return match, ok, considered
}

// tracer receives the routes that are considered and what came of each. It is nil outside Explain, so that a match
// does not build the reasons.
type tracer func(route *compiled, reason string)

func (t *Table) match(request *Request, trace tracer) (Match, bool) {
	site := t.find(request.Host)
	if site == nil {
		return Match{}, false
	}
	for _, c := range site.exact[request.Path] {
		if c.conditionsMatch(request, trace) {
			return c.matched(request, trace, "exact path"), true
		}
	}
	prefix := site.longestPrefix(request, trace)
	if prefix != nil && prefix.Final {
		return prefix.matched(request, trace, "longest prefix, and final"), true
	}
	for enclosing := prefix; enclosing != nil; enclosing = enclosing.parent {
		if c := firstExpression(enclosing.nested, request, trace); c != nil {
			return c.matched(request, trace, "expression within "+enclosing.Name), true
		}
	}
	if c := firstExpression(site.expressions, request, trace); c != nil {
		return c.matched(request, trace, "expression"), true
	}
	if prefix != nil {
		return prefix.matched(request, trace, "longest prefix"), true
	}
	return Match{}, false
}

// longestPrefix returns the first route of the longest prefix whose conditions match.
func (s *site) longestPrefix(request *Request, trace tracer) *compiled {
	for n := s.prefixes.longest(request.Path); n != nil; n = n.up {
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

// endsAtSegment reports whether a prefix of the kind Segments ends where a segment of the path does.
func (c *compiled) endsAtSegment(path string) bool {
	return c.Kind != Segments || len(path) <= len(c.path) || c.path == "/" || path[len(c.path)] == '/'
}

// firstExpression returns the first route whose expression and conditions match, or the one nested in it.
func firstExpression(list []*compiled, request *Request, trace tracer) *compiled {
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

func (c *compiled) matched(request *Request, trace tracer, how string) Match {
	if trace != nil {
		trace(c, "met: "+how)
	}
	return Match{Route: c.Route, compiled: c, path: request.Path}
}

// conditionsMatch reports whether a route's method, fields and query match.
func (c *compiled) conditionsMatch(request *Request, trace tracer) bool {
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
