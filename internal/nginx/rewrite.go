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

// rewrite is a rewrite directive.
type rewrite struct {
	*Node
	expression  *regexp.Regexp
	replacement string // with captures in braces
}

// rewrites nests a route for each rewrite directive of a location, the first that matches first. It reports whether it
// could.
func (c *serverConverter) rewrites(list []*Node, own []*route, l *location, regexInScope bool) bool {
	w := &rewriter{serverConverter: c, location: l, route: own[0]}
	switch {
	case len(own) != 1:
		return w.refuseRewrite(list[0], "beside a map")
	case w.route.action.rewrite != "":
		return w.refuseRewrite(list[0], "beside a path in proxy_pass")
	case l.path.kind == prefixPath && (l.path.final || regexInScope):
		return w.refuseRewrite(list[0], "with ^~ or expressions beside, an expression of its own would be asked in "+
			"another order: write it as location ~")
	}
	for _, d := range list {
		if !w.directive(d) {
			return false
		}
	}
	return true
}

// refuseRewrite refuses a directive and its location. It returns false for its callers to return.
func (w *rewriter) refuseRewrite(d *Node, format string, args ...any) bool {
	w.refuse(d, format, args...)
	w.refuse(w.location.Node, "a rewrite in it could not be carried")
	return false
}

func (w *rewriter) directive(d *Node) bool {
	if len(d.Args) != 3 {
		return w.refuseRewrite(d, "without break, redirect or permanent locations are searched anew, "+
			"which lockloom does not")
	}
	expression, err := regexp.Compile(d.Args[0])
	if err != nil {
		return w.refuseRewrite(d, "the expression cannot be run here: %v", err)
	}
	replacement := braceCaptures(d.Args[1])
	if hasVariable(replacement) {
		return w.refuseRewrite(d, "a variable whose value is not known here")
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
		return w.refuseRewrite(d, "%s: locations are searched anew, which lockloom does not", flag)
	}
}

// rewritePath changes the path that goes upstream. In an exact location it is known, so that no route is needed.
func (w *rewriter) rewritePath(r rewrite) bool {
	if strings.Contains(r.replacement, "?") {
		return w.refuseRewrite(r.Node, "a query of its own")
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

// redirect answers with the replacement as the address.
func (w *rewriter) redirect(r rewrite, status int) bool {
	target, ok := strings.CutSuffix(r.replacement, "?")
	if !ok || strings.Contains(target, "?") {
		return w.refuseRewrite(r.Node, "the query would be lost: end the replacement with ? where that is meant")
	}
	if w.location.path.kind == exactPath {
		return w.refuseRewrite(r.Node, "in an exact location: write return")
	}
	nested := w.nested(r)
	nested.action = action{redirect: redirect{status: status, target: target}}
	nested.policy = policy{}
	w.nest(r, nested)
	return true
}

// nested is a route for the paths that a rewrite matches, which does what the location does.
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
