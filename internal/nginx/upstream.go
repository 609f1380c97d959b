package nginx

import (
	"net"
	"strings"
)

// backupSuffix makes the name of the pool that holds an upstream's backup servers.
const backupSuffix = "-backup"

// upstream makes a pool of an upstream block, and a second one of its backup servers.
func (c *converter) upstream(n *Node) {
	if len(n.Args) != 1 || c.file.pool(n.Args[0]) != nil {
		c.refuse(n, "it takes one name, which no other has")
		return
	}
	primary := &pool{name: n.Args[0], from: n.Place}
	backup := &pool{name: n.Args[0] + backupSuffix, from: n.Place}
	for _, d := range n.Block {
		if d.Name == "server" {
			c.upstreamServer(d, primary, backup)
		}
	}
	if len(primary.servers) == 0 {
		c.refuse(n, "it has no server that could be carried")
		return
	}
	c.file.pools = append(c.file.pools, primary)
	if len(backup.servers) > 0 {
		primary.backup = backup.name
		c.file.pools = append(c.file.pools, backup)
	}
}

// upstreamServer adds a server to the pool that it belongs to.
func (c *converter) upstreamServer(d *Node, primary, backup *pool) {
	if len(d.Args) == 0 {
		c.refuse(d, "it names no server")
		return
	}
	address, ok := upstreamAddress(d.Args[0])
	if !ok {
		c.refuse(d, "%s: only host:port", d.Args[0])
		return
	}
	into := primary
	var differences []string
	for _, parameter := range d.Args[1:] {
		switch parameterName(parameter) {
		case "backup":
			into = backup
			continue
		case "down":
			c.add(d, Differs, "left out: it is down")
			return
		}
		difference, known := serverParameter(parameter)
		if !known {
			c.refuse(d, "%s: not known", parameter)
			return
		}
		if difference != "" {
			differences = append(differences, difference)
		}
	}
	into.servers = append(into.servers, address)
	if len(differences) > 0 {
		c.add(d, Differs, "%s", strings.Join(differences, "; "))
		return
	}
	c.add(d, Carried, "")
}

// serverParameter says what differs by a parameter of a server, and whether the parameter is known.
func serverParameter(parameter string) (difference string, known bool) {
	switch name, value, _ := strings.Cut(parameter, "="); name {
	case "weight":
		if value == "1" {
			return "", true
		}
		return "weight is not carried: servers are chosen by score", true
	case "max_fails", "fail_timeout":
		return name + " is not carried: a server is paused by its error rate", true
	case "max_conns":
		return "max_conns is not carried: limits are learned, for each server", true
	case "slow_start":
		return "slow_start is not carried: the slow-start budget is the deployment's", true
	}
	return "", false
}

// parameterName is the name in name=value.
func parameterName(parameter string) string {
	name, _, _ := strings.Cut(parameter, "=")
	return name
}

// upstreamAddress is host:port of a server, with nginx's usual port. It fails for what is no such address.
func upstreamAddress(text string) (string, bool) {
	if strings.HasPrefix(text, "unix:") || strings.ContainsAny(text, "$/ ") || text == "" {
		return "", false
	}
	if _, _, err := net.SplitHostPort(text); err == nil {
		return text, true
	}
	if strings.Count(text, ":") > 1 && !strings.HasPrefix(text, "[") {
		return "", false
	}
	return text + ":80", true
}

// target is the name of an upstream's pool or of one server's by its address, which is made; empty if there is
// neither.
func (c *converter) target(host string, from Place) string {
	if p := c.file.pool(host); p != nil {
		return p.name
	}
	address, ok := upstreamAddress(host)
	if !ok {
		return ""
	}
	if c.file.pool(address) == nil {
		c.file.pools = append(c.file.pools, &pool{name: address, from: from, servers: []string{address}})
	}
	return address
}
