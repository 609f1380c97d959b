package nginx

import "slices"

// Conversion is the result of the conversion of a configuration.
type Conversion struct {
	Text     string    // the operator file; empty if directives were refused and no partial file was requested
	Verdicts []Verdict // one per directive, in the order of the configuration
	Refused  int       // number of refused directives
}

// converter translates the directives of a configuration to the tables of an operator file.
type converter struct {
	report
	file   operatorFile
	zones  map[string]*limit       // keyed by zone name
	maps   map[string]*variableMap // keyed by the variable that the map sets
	splits map[string]*Node        // split_clients directives, keyed by the variable that they set
}

func newConverter() *converter {
	return &converter{
		report: report{verdicts: map[*Node]Verdict{}},
		zones:  map[string]*limit{},
		maps:   map[string]*variableMap{},
		splits: map[string]*Node{},
	}
}

// Convert converts a configuration to an operator file. If directives were refused, the result has a file only if
// partial is set, with the refused directives listed in comments.
func Convert(list []*Node, partial bool) *Conversion {
	c := newConverter()
	list = c.configuration(list)
	converted := &Conversion{Verdicts: c.collect(nil, list, inMain)}
	for _, v := range converted.Verdicts {
		if v.Grade == Refused.String() {
			converted.Refused++
		}
	}
	if converted.Refused == 0 || partial {
		converted.Text = c.file.text(converted.Verdicts)
	}
	return converted
}

// configuration converts the http block. A list of servers and upstreams without an http block, as is usual in a file
// that another one includes, is converted and returned inside a new http block.
func (c *converter) configuration(list []*Node) []*Node {
	found := false
	for _, n := range list {
		if n.Name != "http" || !n.HasBlock {
			continue
		}
		if found {
			c.refuse(n, "second http block: only the first one is converted")
			continue
		}
		found = true
		c.http(n)
	}
	if found || !slices.ContainsFunc(list, belongsInHTTP) {
		return list
	}
	enclosing := &Node{Name: "http", Block: list, HasBlock: true}
	c.http(enclosing)
	c.verdicts[enclosing] = Verdict{}
	return []*Node{enclosing}
}

func belongsInHTTP(n *Node) bool { return n.Name == "server" || n.Name == "upstream" }

// http converts the http block: first the upstreams, maps, splits and zones that servers refer to, then the servers.
func (c *converter) http(n *Node) {
	inherited := c.inherit(n.Block, defaultSettings())
	for _, d := range n.Block {
		switch d.Name {
		case "upstream":
			c.upstream(d)
		case "map":
			c.variableMap(d)
		case "split_clients":
			c.splitClients(d)
		case "limit_req_zone", "limit_conn_zone":
			c.zone(d)
		}
	}
	c.servers(n.Block, inherited)
}
