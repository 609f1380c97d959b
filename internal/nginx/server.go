package nginx

import (
	"net"
	"slices"
	"strings"
)

// defaultListener is the address of a server without a listen directive.
const defaultListener = "0.0.0.0:80"

// virtualServer is a server block in the http block.
type virtualServer struct {
	*Node
	addresses   []string
	names       []string
	primaryName string // the first name if it is a complete host name without wildcard, or empty
	isDefault   bool
	refused     bool
}

// servers converts the server blocks. All must listen on the same addresses, because routes apply to all listeners.
func (c *converter) servers(list []*Node, inherited settings) {
	servers := c.virtualServers(list)
	if len(servers) == 0 {
		return
	}
	c.requireSameAddresses(servers)
	c.requireOneDefault(servers)
	c.requireDistinctNames(servers)
	c.listeners(servers[0].addresses)
	for _, s := range servers {
		if !s.refused {
			c.server(s, inherited)
		}
	}
}

// virtualServers returns the servers whose listen directives could be converted.
func (c *converter) virtualServers(list []*Node) (servers []*virtualServer) {
	for _, n := range list {
		if n.Name != "server" || !n.HasBlock {
			continue
		}
		s := &virtualServer{Node: n}
		c.listenAddresses(s)
		c.serverNames(s)
		if !s.refused {
			servers = append(servers, s)
		}
	}
	return servers
}

func (c *converter) requireSameAddresses(servers []*virtualServer) {
	first := servers[0]
	sorted := slices.Sorted(slices.Values(first.addresses))
	for _, s := range servers[1:] {
		if slices.Equal(slices.Sorted(slices.Values(s.addresses)), sorted) {
			continue
		}
		c.refuse(s.Node, "listens on %s, but the first server on %s: all listeners have the same routes",
			strings.Join(s.addresses, ", "), strings.Join(first.addresses, ", "))
		s.refused = true
	}
}

// requireOneDefault refuses each default server after the first one, because all servers share the listeners. If no
// server is marked as the default, it makes the first server the default.
func (c *converter) requireOneDefault(servers []*virtualServer) {
	found := false
	for _, s := range servers {
		if !s.isDefault {
			continue
		}
		if found {
			c.refuse(s.Node, "an earlier server is already the default server")
			s.refused = true
		}
		found = true
	}
	if !found {
		servers[0].isDefault = true
	}
}

func (c *converter) requireDistinctNames(servers []*virtualServer) {
	taken := map[string]bool{}
	for _, s := range servers {
		for _, name := range s.names {
			if taken[name] {
				c.refuse(s.Node, "an earlier server already has the name %s", name)
				s.refused = true
			}
			taken[name] = true
		}
		if len(s.names) == 0 && !s.isDefault {
			c.refuse(s.Node, "neither has a name nor is the default server: no request can reach it")
			s.refused = true
		}
	}
}

// listeners adds the addresses to listen on. It leaves out 0.0.0.0 if the IPv6 address [::] has the same port, because
// that accepts IPv4 too.
func (c *converter) listeners(addresses []string) {
	for _, address := range addresses {
		host, port, _ := net.SplitHostPort(address) // without a port, the host is empty
		if host == "0.0.0.0" && slices.Contains(addresses, "[::]:"+port) {
			continue
		}
		c.file.listeners = append(c.file.listeners, address)
	}
}

// listenAddresses converts the listen directives of a server.
func (c *converter) listenAddresses(s *virtualServer) {
	found := false
	for _, d := range s.Block {
		if d.Name != "listen" {
			continue
		}
		found = true
		if !c.listen(d, s) {
			s.refused = true
		}
	}
	if !found {
		s.addresses = []string{defaultListener}
	}
	if s.refused {
		c.refuse(s.Node, "one of its listen directives is refused")
	}
}

// listen converts one listen directive. It reports whether that was possible.
func (c *converter) listen(d *Node, s *virtualServer) bool {
	if len(d.Args) == 0 {
		c.refuse(d, "missing address")
		return false
	}
	if strings.HasPrefix(d.Args[0], "unix:") {
		c.refuse(d, "Unix sockets are not supported")
		return false
	}
	address, ok := listenAddress(d.Args[0])
	if !ok {
		c.refuse(d, "%s is not an address to listen on", d.Args[0])
		return false
	}
	grade, text := Carried, ""
	for _, parameter := range d.Args[1:] {
		switch name := parameterName(parameter); name {
		case "default_server", "default":
			s.isDefault = true
		default:
			grade, text = listenParameter(name, parameter)
		}
		if grade == Refused {
			break
		}
	}
	c.add(d, grade, "%s", text)
	if grade == Refused {
		return false
	}
	s.addresses = append(s.addresses, address)
	return true
}

// listenAddress returns the address of a listen directive as host:port, and whether it is valid.
func listenAddress(text string) (string, bool) {
	address := text
	switch {
	case isNumber(text):
		address = "0.0.0.0:" + text
	case strings.HasPrefix(text, "*:"):
		address = "0.0.0.0" + text[1:]
	default:
		if _, _, err := net.SplitHostPort(text); err != nil {
			address += ":80"
		}
	}
	_, port, err := net.SplitHostPort(address)
	return address, err == nil && port != "" && isNumber(port)
}

// isNumber reports whether a text consists of decimal digits only.
func isNumber(text string) bool { return strings.Trim(text, decimalDigits) == "" }

// listenParameter returns the grade of a listen directive with a parameter, and the text of the verdict.
func listenParameter(name, parameter string) (Grade, string) {
	switch name {
	case "backlog", "rcvbuf", "sndbuf", "reuseport", "deferred", "so_keepalive", "fastopen", "bind", "ipv6only":
		return Differs, parameter + " is not carried: lockloom sets its own socket options"
	case "ssl", "http2", "quic":
		return Refused, parameter + " is not supported: lockloom accepts plain HTTP/1.1 only; terminate TLS in front of it"
	}
	return Refused, parameter + " is not a known parameter"
}

// serverNames converts the server_name directives of a server.
func (c *converter) serverNames(s *virtualServer) {
	first := true
	for _, d := range s.Block {
		if d.Name != "server_name" {
			continue
		}
		for _, name := range d.Args {
			c.serverName(d, s, strings.ToLower(name), first)
			first = false
		}
	}
}

func (c *converter) serverName(d *Node, s *virtualServer, name string, first bool) {
	switch {
	case strings.HasPrefix(name, "~"):
		c.refuse(d, "%s: regular expressions for names are not supported: list the names", name)
	case name == "" || name == "_": // matches no request
	case strings.HasPrefix(name, "."):
		s.names = append(s.names, name[1:], "*"+name)
	case !validWildcard(name):
		c.refuse(d, "%s: an asterisk can only replace whole labels at one end", name)
	default:
		s.names = append(s.names, name)
		if first && !strings.Contains(name, "*") {
			s.primaryName = name
		}
	}
}

// validWildcard reports whether a name has no asterisk, or a single one that replaces whole labels at one end.
func validWildcard(name string) bool {
	switch strings.Count(name, "*") {
	case 0:
		return true
	case 1:
		return strings.HasPrefix(name, "*.") || strings.HasSuffix(name, ".*")
	}
	return false
}

// serverConverter converts the directives of one server block.
type serverConverter struct {
	*converter
	server *virtualServer
}

// server adds the routes of a server to the file.
func (c *converter) server(s *virtualServer, inherited settings) {
	effective := c.inherit(s.Block, inherited)
	hosts := s.names
	if s.isDefault {
		hosts = append(slices.Clone(hosts), "*")
	}
	sc := &serverConverter{converter: c, server: s}
	for _, d := range s.Block {
		switch d.Name {
		case "return":
			sc.serverReturn(d, hosts, effective)
			return
		case "if", "rewrite":
			c.refuse(d, "only supported in a location")
		}
	}
	for _, r := range sc.locations(s.Block, effective, nil, false) {
		r.match.hosts = hosts
		c.file.routes = append(c.file.routes, r)
	}
}

// serverReturn adds the only route of a server whose block has a return directive: it applies to all requests.
func (c *serverConverter) serverReturn(d *Node, hosts []string, effective settings) {
	r := &route{from: d.Place, match: match{hosts: hosts, path: pathMatch{kind: prefixPath, path: "/"}}}
	if c.convertReturn(d, effective, r) {
		c.file.routes = append(c.file.routes, r)
	}
	for _, l := range c.server.Block {
		if l.Name == "location" {
			c.add(l, Differs, "never reached: the return directive of the server applies to all requests")
		}
	}
}
