package nginx

import (
	"regexp"
	"slices"
	"strings"
	"unicode/utf8"

	"lockloom/routes"
)

// location is a location block and the condition on the path of its requests.
type location struct {
	*Node
	path pathMatch
}

// isNormalPath reports whether a path is in the normalized form in which the paths of requests are matched.
func isNormalPath(path string) bool {
	normal, err := routes.NormalizePath(path)
	return err == nil && normal == path
}

// locations returns the routes of the locations in a block. parent is the enclosing location, or nil in a server block.
// regexInScope reports whether a block further out has a regular expression location.
func (c *serverConverter) locations(list []*Node, inherited settings, parent *location, regexInScope bool) []*route {
	found := c.locationBlocks(list, parent)
	isRegex := func(l *location) bool { return l.path.kind == regexPath }
	regexInScope = regexInScope || slices.ContainsFunc(found, isRegex)
	var converted []*route
	for _, l := range found {
		converted = append(converted, c.location(l, inherited, parent, regexInScope)...)
	}
	return converted
}

// locationBlocks returns the locations in a block, without those whose paths are refused.
func (c *serverConverter) locationBlocks(list []*Node, parent *location) (found []*location) {
	seen := map[pathMatch]bool{}
	for _, n := range list {
		if n.Name != "location" || !n.HasBlock {
			continue
		}
		path, ok := c.locationPath(n, parent)
		if !ok {
			continue
		}
		key := pathMatch{kind: path.kind, path: path.path}
		if seen[key] {
			c.refuse(n, "duplicate location in the same block")
			continue
		}
		seen[key] = true
		found = append(found, &location{Node: n, path: path})
	}
	return found
}

// locationPath returns the condition on the path that a location has, and false if it is refused.
func (c *serverConverter) locationPath(n *Node, parent *location) (pathMatch, bool) {
	modifier, path, ok := locationArgs(n.Args)
	if !ok {
		c.refuse(n, "expected an optional modifier and a path")
		return pathMatch{}, false
	}
	if !utf8.ValidString(path) {
		c.refuse(n, "the path is not valid UTF-8")
		return pathMatch{}, false
	}
	switch modifier {
	case "=":
		return c.literalPath(n, pathMatch{kind: exactPath, path: path}, parent)
	case "":
		return c.literalPath(n, pathMatch{kind: prefixPath, path: path}, parent)
	case "^~":
		return c.literalPath(n, pathMatch{kind: prefixPath, path: path, final: true}, parent)
	case "~":
		return c.regexPath(n, path, parent)
	case "~*":
		return c.regexPath(n, "(?i)"+path, parent)
	}
	c.refuse(n, "unknown modifier %s", modifier)
	return pathMatch{}, false
}

// locationArgs returns the modifier and the path of a location. There need not be a space between them.
func locationArgs(args []string) (modifier, path string, ok bool) {
	switch len(args) {
	case 1:
		for _, modifier := range []string{"=", "^~", "~*", "~"} {
			if path, ok := strings.CutPrefix(args[0], modifier); ok {
				return modifier, path, true
			}
		}
		return "", args[0], true
	case 2:
		return args[0], args[1], true
	}
	return "", "", false
}

const noNestingInExact = "a location cannot be nested in an exact location"

func (c *serverConverter) regexPath(n *Node, expression string, parent *location) (pathMatch, bool) {
	if _, err := regexp.Compile(expression); err != nil {
		c.refuse(n, "unsupported regular expression: %v", err)
		return pathMatch{}, false
	}
	if parent != nil && parent.path.kind == exactPath {
		c.refuse(n, noNestingInExact)
		return pathMatch{}, false
	}
	return pathMatch{kind: regexPath, path: expression}, true
}

func (c *serverConverter) literalPath(n *Node, path pathMatch, parent *location) (pathMatch, bool) {
	switch {
	case strings.HasPrefix(path.path, "@"):
		c.refuse(n, "named locations are not supported: lockloom has no internal redirects")
	case !strings.HasPrefix(path.path, "/"):
		c.refuse(n, "the path must start with a slash")
	case !isNormalPath(path.path):
		c.refuse(n, "the path is not normalized: no request path matches it")
	case parent == nil:
		return path, true
	case parent.path.kind == exactPath:
		c.refuse(n, noNestingInExact)
	case parent.path.kind == regexPath:
		c.refuse(n, "only regular expression locations can be nested in a regular expression location")
	case !strings.HasPrefix(path.path, parent.path.path):
		c.refuse(n, "the path does not start with %s, the path of the enclosing location", parent.path.path)
	default:
		return path, true
	}
	return pathMatch{}, false
}

// locationBody holds the directives of a location's block that its routes are made of.
type locationBody struct {
	proxyPass, firstReturn *Node // the last proxy_pass, the first return
	rewrites               []*Node
	conditions             []*Node // if directives
}

func readLocationBody(list []*Node) (body locationBody) {
	for _, d := range list {
		switch d.Name {
		case "proxy_pass":
			body.proxyPass = d
		case "return":
			if body.firstReturn == nil {
				body.firstReturn = d
			}
		case "rewrite":
			body.rewrites = append(body.rewrites, d)
		case "if":
			body.conditions = append(body.conditions, d)
		}
	}
	return body
}

// location returns the routes of a location: first those of its if directives, then its own. It returns nil if it
// could not convert the location.
func (c *serverConverter) location(l *location, inherited settings, parent *location, regexInScope bool) []*route {
	effective := c.inherit(l.Block, inherited)
	if parent != nil && l.path.kind == prefixPath && l.path.final != parent.path.final && regexInScope {
		c.refuse(l.Node,
			"only one of this location and its enclosing location %s has ^~: nginx would try other regular expressions",
			parent.path.path)
		return nil
	}
	body := readLocationBody(l.Block)
	var conditional []*route
	for _, d := range body.conditions {
		if r := c.condition(d, effective, l); r != nil {
			conditional = append(conditional, r)
		}
	}
	own := c.locationRoutes(l, body, effective, regexInScope)
	if own == nil || !c.nest(l, body, own, c.locations(l.Block, effective, l, regexInScope)) {
		return nil
	}
	c.add(l.Node, Carried, "")
	return append(conditional, own...)
}

// locationRoutes returns the routes of a location without those of its if directives and nested locations. It returns
// nil if it could not convert the location.
func (c *serverConverter) locationRoutes(
	l *location, body locationBody, effective settings, regexInScope bool,
) []*route {
	r := &route{from: l.Place, match: match{path: l.path}}
	switch {
	case body.firstReturn != nil:
		if len(body.rewrites) > 0 {
			c.refuse(body.rewrites[0], "not supported in a location with return")
			return nil
		}
		if !c.convertReturn(body.firstReturn, effective, r) {
			c.refuse(l.Node, "its return directive is refused")
			return nil
		}
		return []*route{r}
	case body.proxyPass != nil:
		own := c.proxyPass(body.proxyPass, effective, r)
		if own == nil {
			c.refuse(l.Node, "its proxy_pass directive is refused")
			return nil
		}
		if len(body.rewrites) > 0 && !c.rewrites(body.rewrites, own, l, regexInScope) {
			return nil
		}
		return own
	}
	c.refuse(l.Node, "neither proxy_pass nor return: nginx would serve files, which lockloom does not")
	return nil
}

// nest adds the routes of nested locations to the route of their location. It reports whether that was possible.
func (c *serverConverter) nest(l *location, body locationBody, own, nested []*route) bool {
	if len(nested) == 0 {
		return true
	}
	if len(body.rewrites) > 0 {
		c.refuse(body.rewrites[0], "not supported in a location with nested locations")
		return false
	}
	if len(own) > 1 {
		c.refuse(l.Node, "nested locations are not supported where a map chooses the pool: the routes would be ambiguous")
		return false
	}
	own[0].nested = append(own[0].nested, nested...)
	return true
}

// condition returns the route of an if ($request_method = M) { return N; }, or nil if the directive is refused.
func (c *serverConverter) condition(d *Node, effective settings, l *location) *route {
	method, ok := conditionMethod(d.Args)
	if !ok || len(d.Block) != 1 || d.Block[0].Name != "return" {
		c.refuse(d, "only if ($request_method = M) { return N; } is supported: other if blocks cannot be converted reliably")
		return nil
	}
	r := &route{from: d.Place, match: match{path: l.path, methods: []string{method}}}
	if !c.convertReturn(d.Block[0], effective, r) {
		c.refuse(d, "its return directive is refused")
		return nil
	}
	c.add(d, Carried, "")
	return r
}

// conditionMethod returns M of the condition ($request_method = M), and whether the condition has this form.
func conditionMethod(args []string) (string, bool) {
	words := strings.Fields(strings.Trim(strings.Join(args, " "), "()"))
	if len(words) != 3 || words[0] != methodVariable || words[1] != "=" {
		return "", false
	}
	return words[2], true
}
