package nginx

import (
	"net"
	"slices"
	"strings"
)

// defaultListener is where a server listens that does not say.
const defaultListener = "0.0.0.0:80"

// virtualServer is a server block of http.
type virtualServer struct {
	*Node
	addresses   []string
	names       []string
	primaryName string // the first name, if it is an exact one
	isDefault   bool
	refused     bool
}

// servers converts the server blocks. All listen on the same addresses, as routes hold on all listeners.
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

// virtualServers are the servers that listen where lockloom can.
func (c *converter) virtualServers(list []*Node) (servers []*virtualServer) {
	for _, n := range list {
		if n.Name != "server" || !n.Opens {
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
		c.refuse(s.Node, "it listens on %s, the first one on %s: routes are alike on all listeners",
			strings.Join(s.addresses, ", "), strings.Join(first.addresses, ", "))
		s.refused = true
	}
}

// requireOneDefault makes the first server the default if none is.
func (c *converter) requireOneDefault(servers []*virtualServer) {
	found := false
	for _, s := range servers {
		if !s.isDefault {
			continue
		}
		if found {
			c.refuse(s.Node, "two are the default of one address")
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
				c.refuse(s.Node, "the name %s is another server's, which has it", name)
				s.refused = true
			}
			taken[name] = true
		}
		if len(s.names) == 0 && !s.isDefault {
			c.refuse(s.Node, "it has no name and is no default: nothing comes to it")
			s.refused = true
		}
	}
}

// listeners adds the addresses to listen on, without those of IPv4 that one of IPv6 takes too.
func (c *converter) listeners(addresses []string) {
	for _, address := range addresses {
		host, port, _ := net.SplitHostPort(address) // an address without a port has no such host
		if host == "0.0.0.0" && slices.Contains(addresses, "[::]:"+port) {
			continue
		}
		c.file.listeners = append(c.file.listeners, address)
	}
}

// listenAddresses reads where a server listens.
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
		c.refuse(s.Node, "it listens where lockloom cannot")
	}
}

// listen reads one listen directive. It reports whether it could be carried.
func (c *converter) listen(d *Node, s *virtualServer) bool {
	if len(d.Args) == 0 {
		c.refuse(d, "it names no address")
		return false
	}
	if strings.HasPrefix(d.Args[0], "unix:") {
		c.refuse(d, "no unix sockets")
		return false
	}
	address, ok := listenAddress(d.Args[0])
	if !ok {
		c.refuse(d, "no address: %s", d.Args[0])
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

// listenAddress is host:port of a listen directive. It fails for what is no such address.
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

// isNumber reports whether a text has digits only.
func isNumber(text string) bool { return strings.Trim(text, decimalDigits) == "" }

// listenParameter judges a parameter of a listen directive.
func listenParameter(name, parameter string) (Grade, string) {
	switch name {
	case "backlog", "rcvbuf", "sndbuf", "reuseport", "deferred", "so_keepalive", "fastopen", "bind", "ipv6only":
		return Differs, parameter + " is lockloom's own"
	case "ssl", "http2", "quic":
		return Refused, parameter + ": plain HTTP/1.1 only: end it in front"
	}
	return Refused, parameter + ": not known"
}

// serverNames reads the names of a server.
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
		c.refuse(d, "%s: no expressions for names: write them out", name)
	case name == "" || name == "_": // no request has it
	case strings.HasPrefix(name, "."):
		s.names = append(s.names, name[1:], "*"+name)
	case !validWildcard(name):
		c.refuse(d, "%s: a star at one end alone", name)
	default:
		s.names = append(s.names, name)
		if first && !strings.Contains(name, "*") {
			s.primaryName = name
		}
	}
}

// validWildcard reports whether a name has no asterisk, or one that stands for whole labels at one end.
func validWildcard(name string) bool {
	switch strings.Count(name, "*") {
	case 0:
		return true
	case 1:
		return strings.HasPrefix(name, "*.") || strings.HasSuffix(name, ".*")
	}
	return false
}

// serverConverter converts what stands in one server block.
type serverConverter struct {
	*converter
	server *virtualServer
}

// server makes the routes of a server.
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
			c.refuse(d, "only within a location")
		}
	}
	for _, r := range sc.locations(s.Block, effective, nil, false) {
		r.match.hosts = hosts
		c.file.routes = append(c.file.routes, r)
	}
}

// serverReturn makes the one route of a server that answers all requests itself.
func (c *serverConverter) serverReturn(d *Node, hosts []string, effective settings) {
	r := &route{from: d.Place, match: match{hosts: hosts, path: pathMatch{kind: prefixPath, path: "/"}}}
	if c.returns(d, effective, r) {
		c.file.routes = append(c.file.routes, r)
	}
	for _, l := range c.server.Block {
		if l.Name == "location" {
			c.add(l, Differs, "never reached: the server returns before")
		}
	}
}
