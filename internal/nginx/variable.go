package nginx

import (
	"regexp"
	"strconv"
	"strings"
)

// Supported sources of a map. The name of a header field or query parameter follows the prefix.
const (
	methodVariable = "$request_method"
	fieldPrefix    = "$http_"
	queryPrefix    = "$arg_"
)

const (
	unusedVariable    = "no supported proxy_pass uses its variable"
	roundingTolerance = 1e-9 // percent, by which the sum of a split's shares may exceed 100
)

// variableMap is a map directive with a supported source.
type variableMap struct {
	*Node
	source string
}

func (m *variableMap) variable() string { return m.Args[1] }

// variableMap registers a map. It stays refused unless a proxy_pass uses it.
func (c *converter) variableMap(d *Node) {
	if len(d.Args) != 2 || c.maps[d.Args[1]] != nil {
		c.refuse(d, "expected a source and a variable that no other map sets")
		return
	}
	source := d.Args[0]
	if !isMapSource(source) {
		c.refuse(d, "expected $http_NAME, $arg_NAME or $request_method as the source")
		return
	}
	c.maps[d.Args[1]] = &variableMap{Node: d, source: source}
	c.refuse(d, unusedVariable)
}

func isMapSource(source string) bool {
	if source == methodVariable {
		return true
	}
	prefixed := strings.HasPrefix(source, fieldPrefix) || strings.HasPrefix(source, queryPrefix)
	return prefixed && !strings.Contains(source[1:], "$")
}

// splitClients registers a split_clients directive. It stays refused unless a proxy_pass uses it.
func (c *converter) splitClients(d *Node) {
	if len(d.Args) != 2 || c.splits[d.Args[1]] != nil {
		c.refuse(d, "expected a source and a variable that no other split_clients sets")
		return
	}
	switch d.Args[0] {
	case "$remote_addr", "${remote_addr}", "$binary_remote_addr":
		c.splits[d.Args[1]] = d
		c.refuse(d, unusedVariable)
	default:
		c.refuse(d, "expected $remote_addr as the source: a split is by client address")
	}
}

// mapRoutes returns a route for each value of a map that a proxy_pass names. The routes are copies of base with another
// pool and an additional condition. As in nginx, literal values come first, then regular expressions in their order,
// then the default.
func (c *converter) mapRoutes(m *variableMap, pass *Node, base *route) []*route {
	var literals, expressions []*route
	defaultPool := ""
	for _, entry := range m.Block {
		pool, ok := c.mapEntryPool(m, entry, pass)
		if !ok {
			return nil
		}
		if entry.Name == "default" {
			defaultPool = pool
			continue
		}
		r := *base
		r.from, r.action.pool = entry.Place, pool
		if !c.mapCondition(m, entry, pass, &r.match) {
			return nil
		}
		if strings.HasPrefix(entry.Name, "~") {
			expressions = append(expressions, &r)
		} else {
			literals = append(literals, &r)
		}
	}
	if defaultPool == "" {
		c.refuse(pass, "%s has no default: requests with other values would have no pool", m.variable())
		return nil
	}
	base.action.pool = defaultPool
	c.replace(m.Node, Carried, "becomes a route for each value")
	return append(append(literals, expressions...), base)
}

// mapEntryPool returns the name of the pool for an entry of a map. It refuses the proxy_pass if there is none.
func (c *converter) mapEntryPool(m *variableMap, entry, pass *Node) (string, bool) {
	if len(entry.Args) != 1 {
		c.refuse(pass, "%s: entry %s must have one value", m.variable(), entry.Name)
		return "", false
	}
	pool := c.target(entry.Args[0], entry.Place)
	if pool == "" {
		c.refuse(pass, "%s: %s is neither an upstream nor host:port", m.variable(), entry.Args[0])
		return "", false
	}
	return pool, true
}

// mapCondition adds a condition to a match: the source of the map must match the entry.
func (c *converter) mapCondition(m *variableMap, entry, pass *Node, into *match) bool {
	expression, isExpression := mapExpression(entry.Name)
	_, err := regexp.Compile(expression)
	switch {
	case err != nil || isMapKeyword(entry.Name):
		c.refuse(pass, "%s: unsupported entry %q", m.variable(), entry.Name)
		return false
	case m.source == methodVariable && isExpression:
		c.refuse(pass, "%s: regular expressions for methods are not supported", m.variable())
		return false
	case m.source == methodVariable:
		into.methods = []string{strings.ToUpper(entry.Name)}
	case strings.HasPrefix(m.source, fieldPrefix):
		field := strings.ReplaceAll(m.source[len(fieldPrefix):], "_", "-")
		into.fields = []condition{{name: field, value: expression, regex: true}}
	default:
		into.query = []condition{{name: m.source[len(queryPrefix):], value: expression, regex: true}}
	}
	return true
}

// isMapKeyword reports whether an entry of a map is not a value but a parameter of the map itself.
func isMapKeyword(name string) bool {
	return name == "" || name == "hostnames" || name == "include" || name == "volatile"
}

// mapExpression returns a regular expression for the values that an entry of a map matches, and whether the entry
// itself is a regular expression.
func mapExpression(name string) (string, bool) {
	expression, ok := strings.CutPrefix(name, "~")
	if !ok {
		return "(?i)^" + regexp.QuoteMeta(strings.TrimPrefix(name, `\`)) + "$", false
	}
	if folded, ok := strings.CutPrefix(expression, "*"); ok {
		return "(?i)" + folded, true
	}
	return expression, true
}

// splitPools adds the weighted pools of a split_clients directive to an action. It reports whether it could; if not, it
// refuses the proxy_pass.
func (c *converter) splitPools(variable string, split, pass *Node, into *action) bool {
	rest := 100.0 // percent
	for _, entry := range split.Block {
		weight, ok := splitWeight(entry.Name, rest)
		pool := ""
		if len(entry.Args) == 1 {
			pool = c.target(entry.Args[0], entry.Place)
		}
		if !ok || pool == "" || weight < 0 || weight > rest+roundingTolerance {
			c.refuse(pass, "%s: entry %s is not a valid share of an upstream", variable, entry.Name)
			return false
		}
		rest -= weight
		if weight > 0 {
			into.split = append(into.split, weightedPool{pool: pool, weight: weight})
		}
	}
	c.replace(split, Differs, "a split by client address, which assigns clients to pools differently")
	return true
}

// splitWeight parses the share of an entry, in percent. An asterisk is the rest.
func splitWeight(text string, rest float64) (float64, bool) {
	if text == "*" {
		return rest, true
	}
	digits, ok := strings.CutSuffix(text, "%")
	weight, err := strconv.ParseFloat(digits, 64)
	return weight, ok && err == nil
}
