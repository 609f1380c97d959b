package nginx

import "slices"

// Import is what became of a configuration.
type Import struct {
	Text     string    // the operator file, or empty if it is not written
	Verdicts []Verdict // one for each directive, in order
	Refused  int       // how many directives were refused
}

// converter translates the directives of a configuration to the tables of an operator file.
type converter struct {
	report
	file   operatorFile
	zones  map[string]*limit
	maps   map[string]*variableMap // by the variable that they set
	splits map[string]*Node        // split_clients, by the variable that they set
}

func newConverter() *converter {
	return &converter{
		report: report{verdicts: map[*Node]Verdict{}},
		zones:  map[string]*limit{},
		maps:   map[string]*variableMap{},
		splits: map[string]*Node{},
	}
}

// Convert translates a configuration to an operator file. If directives were refused, the file is written only if
// partial is set; they stand in it as comments.
func Convert(list []*Node, partial bool) *Import {
	c := newConverter()
	list = c.configuration(list)
	converted := &Import{Verdicts: c.collect(nil, list, inMain)}
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

// configuration converts the http block. It returns the list with such a block around it if it had none, as is usual
// in a file that another one includes.
func (c *converter) configuration(list []*Node) []*Node {
	found := false
	for _, n := range list {
		if n.Name != "http" || !n.Opens {
			continue
		}
		if found {
			c.refuse(n, "there are two")
			continue
		}
		found = true
		c.http(n)
	}
	if found || !slices.ContainsFunc(list, standsInHTTP) {
		return list
	}
	enclosing := &Node{Name: "http", Block: list, Opens: true}
	c.http(enclosing)
	c.verdicts[enclosing] = Verdict{}
	return []*Node{enclosing}
}

func standsInHTTP(n *Node) bool { return n.Name == "server" || n.Name == "upstream" }

// http converts the http block: first what servers refer to, then the servers.
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
