package nginx

import (
	"net"
	"strings"
)

// backupSuffix is appended to the name of an upstream for the pool of its backup servers.
const backupSuffix = "-backup"

// upstream converts an upstream block to a pool and, if it has backup servers, a second pool of those.
func (c *converter) upstream(n *Node) {
	if len(n.Args) != 1 || c.file.pool(n.Args[0]) != nil {
		c.refuse(n, "expected one name that no other upstream has")
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
		c.refuse(n, "no server left: each is refused, down or a backup")
		return
	}
	c.file.pools = append(c.file.pools, primary)
	if len(backup.servers) > 0 {
		primary.backup = backup.name
		c.file.pools = append(c.file.pools, backup)
	}
}

// upstreamServer adds a server to the primary or the backup pool.
func (c *converter) upstreamServer(d *Node, primary, backup *pool) {
	if len(d.Args) == 0 {
		c.refuse(d, "missing address of the server")
		return
	}
	address, ok := upstreamAddress(d.Args[0])
	if !ok {
		c.refuse(d, "%s: only host:port addresses are supported", d.Args[0])
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
			c.add(d, Differs, "left out: the server is marked down")
			return
		}
		difference, known := serverParameter(parameter)
		if !known {
			c.refuse(d, "unknown parameter %s", parameter)
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

// serverParameter returns the difference from nginx that a parameter of a server causes, if any, and whether the
// parameter is known.
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
		return "max_conns is not carried: the concurrency limit of each server is learned", true
	case "slow_start":
		return "slow_start is not carried: the deployment sets the slow-start budget", true
	}
	return "", false
}

// parameterName returns the name in name=value.
func parameterName(parameter string) string {
	name, _, _ := strings.Cut(parameter, "=")
	return name
}

// upstreamAddress returns the address of a server as host:port, with port 80 by default as in nginx, and whether it is
// supported. Unix sockets and addresses with variables are not.
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

// target returns the name of the pool for a host: that of the upstream of this name, or else a pool of the one server
// with this address, which it adds if it is new. It returns an empty text if the host is neither.
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
