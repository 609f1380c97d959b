package nginx

import (
	"regexp"
	"slices"
	"strings"
	"unicode/utf8"

	"lockloom/routes"
)

// location is a location block, and the paths it takes.
type location struct {
	*Node
	path pathMatch
}

// isNormalPath reports whether a path is in the form that requests' paths have once they are matched.
func isNormalPath(path string) bool {
	normal, err := routes.NormalizePath(path)
	return err == nil && normal == path
}

// locations are the routes of the locations in a block. Its parent is the location that it is the block of, if any;
// regexInScope reports whether a location further out is a regular expression.
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

// locationBlocks are the locations in a block whose paths could be carried.
func (c *serverConverter) locationBlocks(list []*Node, parent *location) (found []*location) {
	seen := map[pathMatch]bool{}
	for _, n := range list {
		if n.Name != "location" || !n.Opens {
			continue
		}
		path, ok := c.locationPath(n, parent)
		if !ok {
			continue
		}
		key := pathMatch{kind: path.kind, path: path.path}
		if seen[key] {
			c.refuse(n, "the same location twice")
			continue
		}
		seen[key] = true
		found = append(found, &location{Node: n, path: path})
	}
	return found
}

// locationPath reads what a location takes.
func (c *serverConverter) locationPath(n *Node, parent *location) (pathMatch, bool) {
	modifier, path, ok := locationArgs(n.Args)
	if !ok {
		c.refuse(n, "it takes a path, and how it is meant")
		return pathMatch{}, false
	}
	if !utf8.ValidString(path) {
		c.refuse(n, "bytes that are no UTF-8")
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
	c.refuse(n, "%s: not known", modifier)
	return pathMatch{}, false
}

// locationArgs separates the modifier of a location from its path. The modifier may stand without a space.
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

const nothingInExact = "nothing stands within an exact location"

func (c *serverConverter) regexPath(n *Node, expression string, parent *location) (pathMatch, bool) {
	if _, err := regexp.Compile(expression); err != nil {
		c.refuse(n, "the expression cannot be run here: %v", err)
		return pathMatch{}, false
	}
	if parent != nil && parent.path.kind == exactPath {
		c.refuse(n, nothingInExact)
		return pathMatch{}, false
	}
	return pathMatch{kind: regexPath, path: expression}, true
}

func (c *serverConverter) literalPath(n *Node, path pathMatch, parent *location) (pathMatch, bool) {
	switch {
	case strings.HasPrefix(path.path, "@"):
		c.refuse(n, "named: nothing is routed within")
	case !strings.HasPrefix(path.path, "/"):
		c.refuse(n, "a path begins with a slash")
	case !isNormalPath(path.path):
		c.refuse(n, "no request's path is like this once it is in its normal form")
	case parent == nil:
		return path, true
	case parent.path.kind == exactPath:
		c.refuse(n, nothingInExact)
	case parent.path.kind == regexPath:
		c.refuse(n, "only an expression stands within an expression")
	case !strings.HasPrefix(path.path, parent.path.path):
		c.refuse(n, "it lies outside of %s, within which it stands", parent.path.path)
	default:
		return path, true
	}
	return pathMatch{}, false
}

// locationBody is what a location's block says of its requests.
type locationBody struct {
	pass, returns *Node // the last proxy_pass, the first return
	rewrites      []*Node
	conditions    []*Node // if
}

func readLocationBody(list []*Node) (body locationBody) {
	for _, d := range list {
		switch d.Name {
		case "proxy_pass":
			body.pass = d
		case "return":
			if body.returns == nil {
				body.returns = d
			}
		case "rewrite":
			body.rewrites = append(body.rewrites, d)
		case "if":
			body.conditions = append(body.conditions, d)
		}
	}
	return body
}

// location is a location's routes: those of its conditions, then its own.
func (c *serverConverter) location(l *location, inherited settings, parent *location, regexInScope bool) []*route {
	effective := c.inherit(l.Block, inherited)
	if parent != nil && l.path.kind == prefixPath && l.path.final != parent.path.final && regexInScope {
		c.refuse(l.Node, "within %s, with expressions beside: which of them are asked is not the same here",
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

// locationRoutes are the routes of a location without its conditions and what is nested in it. There are none if it
// could not be carried.
func (c *serverConverter) locationRoutes(
	l *location, body locationBody, effective settings, regexInScope bool,
) []*route {
	r := &route{from: l.Place, match: match{path: l.path}}
	switch {
	case body.returns != nil:
		if len(body.rewrites) > 0 {
			c.refuse(body.rewrites[0], "beside return")
			return nil
		}
		if !c.returns(body.returns, effective, r) {
			c.refuse(l.Node, "what it returns could not be carried")
			return nil
		}
		return []*route{r}
	case body.pass != nil:
		own := c.proxyPass(body.pass, effective, r)
		if own == nil {
			c.refuse(l.Node, "what it passes to could not be carried")
			return nil
		}
		if len(body.rewrites) > 0 && !c.rewrites(body.rewrites, own, l, regexInScope) {
			return nil
		}
		return own
	}
	c.refuse(l.Node, "it has neither proxy_pass nor return: it would serve files, which lockloom does not")
	return nil
}

// nest puts the routes of the locations in a location into its own. It reports whether it could.
func (c *serverConverter) nest(l *location, body locationBody, own, nested []*route) bool {
	if len(nested) == 0 {
		return true
	}
	if len(body.rewrites) > 0 {
		c.refuse(body.rewrites[0], "beside nested locations")
		return false
	}
	if len(own) > 1 {
		c.refuse(l.Node, "nested locations beside a map: which of them holds is not told apart")
		return false
	}
	own[0].nested = append(own[0].nested, nested...)
	return true
}

// condition makes a route of if ($request_method = M) { return N; }.
func (c *serverConverter) condition(d *Node, effective settings, l *location) *route {
	method, ok := conditionMethod(d.Args)
	if !ok || len(d.Block) != 1 || d.Block[0].Name != "return" {
		c.refuse(d, "only if ($request_method = M) { return N; }: what else nginx makes of it depends on too much")
		return nil
	}
	r := &route{from: d.Place, match: match{path: l.path, methods: []string{method}}}
	if !c.returns(d.Block[0], effective, r) {
		c.refuse(d, "what it returns could not be carried")
		return nil
	}
	c.add(d, Carried, "")
	return r
}

// conditionMethod is M of the condition ($request_method = M).
func conditionMethod(args []string) (string, bool) {
	words := strings.Fields(strings.Trim(strings.Join(args, " "), "()"))
	if len(words) != 3 || words[0] != methodVariable || words[1] != "=" {
		return "", false
	}
	return words[2], true
}
