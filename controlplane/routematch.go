package controlplane

import (
	"fmt"
	"regexp"
	"slices"
	"strings"

	route "github.com/envoyproxy/go-control-plane/envoy/config/route/v3"
	matcher "github.com/envoyproxy/go-control-plane/envoy/type/matcher/v3"

	"lockloom/internal/config"
)

// Pseudo-headers of a request. A match has no other way to match the method, and only one path specifier, so that a
// second condition on the path has to match pathHeader.
const (
	methodHeader = ":method"
	pathHeader   = ":path"
)

// routesByMatch holds the routes of one host, grouped by how they match the path.
type routesByMatch struct {
	exact    []*config.Route
	prefixes []*prefixRoute
	regexes  []*config.Route // top-level ones, which are not nested in a prefix route
}

// prefixRoute is a route that matches a path prefix, with the regex routes that are nested in it and tried before it.
type prefixRoute struct {
	*config.Route
	path          string
	nestedRegexes []*config.Route
	parent        *prefixRoute
}

// add adds routes that are nested in a parent, or top-level routes if parent is nil.
func (r *routesByMatch) add(configured []*config.Route, parent *prefixRoute) {
	for _, entry := range configured {
		switch {
		case entry.Exact != "":
			r.exact = append(r.exact, entry)
		case entry.Regex != "" && parent != nil:
			parent.nestedRegexes = append(parent.nestedRegexes, entry)
		case entry.Regex != "":
			r.regexes = append(r.regexes, entry)
		default:
			prefix := newPrefixRoute(entry, parent)
			r.add(nestedRoutes(entry), prefix)
			r.prefixes = append(r.prefixes, prefix)
		}
	}
}

func nestedRoutes(configured *config.Route) []*config.Route {
	nested := make([]*config.Route, len(configured.Routes))
	for i := range configured.Routes {
		nested[i] = &configured.Routes[i]
	}
	return nested
}

func newPrefixRoute(configured *config.Route, parent *prefixRoute) *prefixRoute {
	path := configured.Prefix + configured.Under // one of them is empty
	if configured.Under != "" && configured.Under != "/" {
		path = strings.TrimSuffix(configured.Under, "/")
	}
	return &prefixRoute{Route: configured, path: path, parent: parent}
}

// matches returns the matches of a prefix. A prefix of whole path segments needs two, of kinds that every subscriber
// supports: the exact path, and the prefix with a slash.
func (p *prefixRoute) matches() []*route.RouteMatch {
	if p.Under == "" || p.path == "/" {
		return []*route.RouteMatch{prefixMatch(p.path)}
	}
	return []*route.RouteMatch{exactMatch(p.path), prefixMatch(p.path + "/")}
}

func exactMatch(path string) *route.RouteMatch {
	return &route.RouteMatch{PathSpecifier: &route.RouteMatch_Path{Path: path}}
}

func prefixMatch(path string) *route.RouteMatch {
	return &route.RouteMatch{PathSpecifier: &route.RouteMatch_Prefix{Prefix: path}}
}

func regexMatch(expr string) *route.RouteMatch {
	return &route.RouteMatch{PathSpecifier: &route.RouteMatch_SafeRegex{
		SafeRegex: &matcher.RegexMatcher{Regex: unanchored(expr)},
	}}
}

// pathCondition returns a match of an exact path or a prefix as a header match, to be added to another path match.
func pathCondition(match *route.RouteMatch) *route.HeaderMatcher {
	if exact := match.GetPath(); exact != "" {
		return headerMatch(pathHeader, wholePath(regexp.QuoteMeta(exact)))
	}
	return headerMatch(pathHeader, &matcher.StringMatcher{
		MatchPattern: &matcher.StringMatcher_Prefix{Prefix: match.GetPrefix()},
	})
}

// pathContains returns the condition that a regex matches somewhere in the path, as a header match.
func pathContains(expr string) *route.HeaderMatcher {
	return headerMatch(pathHeader, wholePath("[^?]*?(?:"+expr+")[^?]*"))
}

// wholePath returns a matcher for values of pathHeader, which consist of a path and an optional query. The regex must
// match the whole path; the query may be anything.
func wholePath(expr string) *matcher.StringMatcher {
	return regexString("(?:" + expr + `)(\?.*)?`)
}

// unanchored returns a regex that matches the whole of a string if expr matches some part of it. A configured regex may
// match anywhere in a string; subscribers require that a regex matches the whole string.
func unanchored(expr string) string { return ".*?(?:" + expr + ").*" }

func headerMatch(name string, value *matcher.StringMatcher) *route.HeaderMatcher {
	return &route.HeaderMatcher{
		Name:                 name,
		HeaderMatchSpecifier: &route.HeaderMatcher_StringMatch{StringMatch: value},
	}
}

func regexString(expr string) *matcher.StringMatcher {
	return &matcher.StringMatcher{MatchPattern: &matcher.StringMatcher_SafeRegex{
		SafeRegex: &matcher.RegexMatcher{Regex: expr},
	}}
}

// addConditions adds a route's conditions on the method, header fields and the query to a match.
func (t *routeTranslator) addConditions(configured *config.Route, match *route.RouteMatch) {
	if len(configured.Methods) > 0 {
		match.Headers = append(match.Headers, methodCondition(configured.Methods))
	}
	for _, field := range configured.Fields {
		match.Headers = append(match.Headers, fieldCondition(field))
	}
	for _, parameter := range configured.Query {
		if parameter.Negate {
			t.errs = append(t.errs, fmt.Errorf("route %q: query %q: a negated condition cannot be expressed in xDS",
				configured.Name, parameter.Name))
			continue
		}
		match.QueryParameters = append(match.QueryParameters, queryCondition(parameter))
	}
}

func methodCondition(methods []string) *route.HeaderMatcher {
	quoted := slices.Clone(methods)
	for i := range quoted {
		quoted[i] = regexp.QuoteMeta(quoted[i])
	}
	return headerMatch(methodHeader, regexString(strings.Join(quoted, "|")))
}

func fieldCondition(condition config.Condition) *route.HeaderMatcher {
	field := &route.HeaderMatcher{
		Name:                 strings.ToLower(condition.Name),
		InvertMatch:          condition.Negate,
		HeaderMatchSpecifier: &route.HeaderMatcher_PresentMatch{PresentMatch: true},
	}
	if condition.Value != "" {
		field.HeaderMatchSpecifier = &route.HeaderMatcher_StringMatch{StringMatch: conditionValue(condition)}
	}
	return field
}

func queryCondition(condition config.Condition) *route.QueryParameterMatcher {
	parameter := &route.QueryParameterMatcher{
		Name:                         condition.Name,
		QueryParameterMatchSpecifier: &route.QueryParameterMatcher_PresentMatch{PresentMatch: true},
	}
	if condition.Value != "" {
		parameter.QueryParameterMatchSpecifier = &route.QueryParameterMatcher_StringMatch{
			StringMatch: conditionValue(condition),
		}
	}
	return parameter
}

func conditionValue(condition config.Condition) *matcher.StringMatcher {
	if condition.Regex {
		return regexString(unanchored(condition.Value))
	}
	return &matcher.StringMatcher{MatchPattern: &matcher.StringMatcher_Exact{Exact: condition.Value}}
}
