package nginx

import (
	"regexp"
	"strconv"
	"strings"
)

// Sources that a map may have, with the names of fields and parameters behind the prefixes.
const (
	methodVariable = "$request_method"
	fieldPrefix    = "$http_"
	queryPrefix    = "$arg_"
)

const (
	unusedVariable    = "nothing uses it that could be carried"
	roundingTolerance = 1e-9 // percent, of the sum of a split's shares
)

// variableMap is a map directive.
type variableMap struct {
	*Node
	source string
}

func (m *variableMap) variable() string { return m.Args[1] }

// variableMap remembers a map, which is refused unless something uses it.
func (c *converter) variableMap(d *Node) {
	if len(d.Args) != 2 || c.maps[d.Args[1]] != nil {
		c.refuse(d, "it takes a source and a name, which no other has")
		return
	}
	source := d.Args[0]
	if !mapSource(source) {
		c.refuse(d, "only of $http_NAME, $arg_NAME and $request_method")
		return
	}
	c.maps[d.Args[1]] = &variableMap{Node: d, source: source}
	c.refuse(d, unusedVariable)
}

func mapSource(source string) bool {
	if source == methodVariable {
		return true
	}
	prefixed := strings.HasPrefix(source, fieldPrefix) || strings.HasPrefix(source, queryPrefix)
	return prefixed && !strings.Contains(source[1:], "$")
}

// splitClients remembers a split, which is refused unless something uses it.
func (c *converter) splitClients(d *Node) {
	if len(d.Args) != 2 || c.splits[d.Args[1]] != nil {
		c.refuse(d, "it takes a source and a name, which no other has")
		return
	}
	switch d.Args[0] {
	case "$remote_addr", "${remote_addr}", "$binary_remote_addr":
		c.splits[d.Args[1]] = d
		c.refuse(d, unusedVariable)
	default:
		c.refuse(d, "only of $remote_addr: a split is by client address")
	}
}

// mapRoutes makes a route for each value of a map that a proxy_pass names, like the given route but for its pool: words
// first, then regular expressions in their order, then the default, as nginx tries them.
func (c *converter) mapRoutes(m *variableMap, pass *Node, like *route) []*route {
	var words, expressions []*route
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
		r := *like
		r.from, r.action.pool = entry.Place, pool
		if !c.mapCondition(m, entry, pass, &r.match) {
			return nil
		}
		if strings.HasPrefix(entry.Name, "~") {
			expressions = append(expressions, &r)
		} else {
			words = append(words, &r)
		}
	}
	if defaultPool == "" {
		c.refuse(pass, "%s has no default: other values would go nowhere", m.variable())
		return nil
	}
	like.action.pool = defaultPool
	c.replace(m.Node, Carried, "a route for each value")
	return append(append(words, expressions...), like)
}

// mapEntryPool is the pool that an entry of a map names.
func (c *converter) mapEntryPool(m *variableMap, entry, pass *Node) (string, bool) {
	if len(entry.Args) != 1 {
		c.refuse(pass, "%s: %s is not one value", m.variable(), entry.Name)
		return "", false
	}
	pool := c.target(entry.Args[0], entry.Place)
	if pool == "" {
		c.refuse(pass, "%s: %s is no upstream", m.variable(), entry.Args[0])
		return "", false
	}
	return pool, true
}

// mapCondition adds to a match that the map's source has the value of an entry.
func (c *converter) mapCondition(m *variableMap, entry, pass *Node, into *match) bool {
	expression, isExpression := mapExpression(entry.Name)
	_, err := regexp.Compile(expression)
	switch {
	case err != nil || mapKeyword(entry.Name):
		c.refuse(pass, "%s: %q cannot be asked for", m.variable(), entry.Name)
		return false
	case m.source == methodVariable && isExpression:
		c.refuse(pass, "%s: a method by expression", m.variable())
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

// mapKeyword reports whether an entry of a map is no value but changes how the map works.
func mapKeyword(name string) bool {
	return name == "" || name == "hostnames" || name == "include" || name == "volatile"
}

// mapExpression is a regular expression for the values that an entry of a map takes, and whether the entry is one.
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

// splitPools adds the pools of a split that a proxy_pass names to an action.
func (c *converter) splitPools(variable string, split, pass *Node, into *action) bool {
	rest := 100.0 // percent
	for _, entry := range split.Block {
		weight, ok := splitWeight(entry.Name, rest)
		pool := ""
		if len(entry.Args) == 1 {
			pool = c.target(entry.Args[0], entry.Place)
		}
		if !ok || pool == "" || weight < 0 || weight > rest+roundingTolerance {
			c.refuse(pass, "%s: %s is no share of an upstream", variable, entry.Name)
			return false
		}
		rest -= weight
		if weight > 0 {
			into.split = append(into.split, weightedPool{pool: pool, weight: weight})
		}
	}
	c.replace(split, Differs, "a split by client address: who has which is drawn anew")
	return true
}

// splitWeight is an entry's share in percent; an asterisk has what is left.
func splitWeight(text string, rest float64) (float64, bool) {
	if text == "*" {
		return rest, true
	}
	digits, ok := strings.CutSuffix(text, "%")
	weight, err := strconv.ParseFloat(digits, 64)
	return weight, ok && err == nil
}
