package nginx

import (
	"regexp"
	"strings"
)

// rewriter converts the rewrite directives of a location.
type rewriter struct {
	*serverConverter
	location *location
	route    *route
}

// rewrite is a rewrite directive that could be parsed.
type rewrite struct {
	*Node
	expression  *regexp.Regexp
	replacement string // in the form of the operator file: with captures such as ${1}
}

// rewrites converts the rewrite directives of a location to routes nested in its own, in the same order, of which the
// first that matches is used. It reports whether all could be converted.
func (c *serverConverter) rewrites(list []*Node, own []*route, l *location, regexInScope bool) bool {
	w := &rewriter{serverConverter: c, location: l, route: own[0]}
	switch {
	case len(own) != 1:
		return w.refuseRewrite(list[0], "not supported where a map chooses the pool")
	case w.route.action.rewrite != "":
		return w.refuseRewrite(list[0], "not supported with a path in proxy_pass")
	case l.path.kind == prefixPath && (l.path.final || regexInScope):
		return w.refuseRewrite(list[0], "with ^~ or regular expression locations, the expression would be tried in "+
			"another order than in nginx: write it as location ~")
	}
	for _, d := range list {
		if !w.directive(d) {
			return false
		}
	}
	return true
}

// refuseRewrite refuses a directive and its location. It always returns false, as the result for the caller to return.
func (w *rewriter) refuseRewrite(d *Node, format string, args ...any) bool {
	w.refuse(d, format, args...)
	w.refuse(w.location.Node, "its rewrite directive is refused")
	return false
}

func (w *rewriter) directive(d *Node) bool {
	if len(d.Args) != 3 {
		return w.refuseRewrite(d, "without break, redirect or permanent, nginx searches the locations again, "+
			"which lockloom does not")
	}
	expression, err := regexp.Compile(d.Args[0])
	if err != nil {
		return w.refuseRewrite(d, "unsupported regular expression: %v", err)
	}
	replacement := braceCaptures(d.Args[1])
	if hasVariable(replacement) {
		return w.refuseRewrite(d, "the replacement has a variable that is not a capture")
	}
	r := rewrite{Node: d, expression: expression, replacement: replacement}
	switch flag := d.Args[2]; flag {
	case "break":
		return w.rewritePath(r)
	case "redirect":
		return w.redirect(r, statusFound)
	case "permanent":
		return w.redirect(r, statusMoved)
	default:
		return w.refuseRewrite(d, "%s: nginx searches the locations again, which lockloom does not", flag)
	}
}

// rewritePath converts a rewrite of the path that is sent to the server. In an exact location the path is known, so the
// rewritten path is computed here and no nested route is needed.
func (w *rewriter) rewritePath(r rewrite) bool {
	if strings.Contains(r.replacement, "?") {
		return w.refuseRewrite(r.Node, "a query in the replacement is not supported")
	}
	if w.location.path.kind != exactPath {
		nested := w.nested(r)
		nested.action.rewrite = r.replacement
		w.nest(r, nested)
		return true
	}
	path := w.location.path.path
	if captures := r.expression.FindStringSubmatchIndex(path); captures != nil && w.route.action.rewrite == "" {
		w.route.action.rewrite = string(r.expression.ExpandString(nil, r.replacement, path, captures))
	}
	w.add(r.Node, Carried, "")
	return true
}

// redirect converts a rewrite to a redirect to the replacement.
func (w *rewriter) redirect(r rewrite, status int) bool {
	target, ok := strings.CutSuffix(r.replacement, "?")
	if !ok || strings.Contains(target, "?") {
		return w.refuseRewrite(r.Node, "the query would be lost: end the replacement with ? if that is intended")
	}
	if w.location.path.kind == exactPath {
		return w.refuseRewrite(r.Node, "not supported in an exact location: use return")
	}
	nested := w.nested(r)
	nested.action = action{redirect: redirect{status: status, target: target}}
	nested.policy = policy{}
	w.nest(r, nested)
	return true
}

// nested returns a copy of the location's route for the paths that a rewrite matches.
func (w *rewriter) nested(r rewrite) *route {
	nested := *w.route
	nested.from = r.Place
	nested.match.path = pathMatch{kind: regexPath, path: r.Args[0]}
	nested.nested = nil
	return &nested
}

func (w *rewriter) nest(r rewrite, nested *route) {
	w.route.nested = append(w.route.nested, nested)
	w.add(r.Node, Carried, "")
}
