package config

import (
	"net"
	"strings"
)

// ControlPlane is what a control service needs to know; see package control.
type ControlPlane struct {
	Address         string   `toml:"address"`     // where subscribers connect
	Status          string   `toml:"status"`      // where staff ask who holds what; empty: nowhere
	PreferLocalZone bool     `toml:"local"`       // subscribers keep to their own zone while it has a healthy server
	SnapshotFile    string   `toml:"memory"`      // the file of snapshots; empty: none
	Subscribers     int      `toml:"subscribers"` // at most; 0: the service's own bound
	Certificate     string   `toml:"certificate"` // PEM files, all or none
	Key             string   `toml:"key"`
	Authority       string   `toml:"authority"` // of the subscribers' certificates
	Allow           []Allow  `toml:"allow"`     // subscribers by the names in their certificates; none: all that have one
	Subsets         []Subset `toml:"subset"`    // what subscribers are told by what they say of themselves
}

// Subset narrows what some subscribers are told. It keeps nobody out: a node says of itself what it likes. Each of the first three may end
// with a star; empty, it fits all.
type Subset struct {
	Node    string   `toml:"node"` // the node's id
	Cluster string   `toml:"cluster"`
	Zone    string   `toml:"zone"`
	Pools   []string `toml:"pools"`
}

// Fits tells whether a node is meant.
func (s *Subset) Fits(node, cluster, zone string) bool {
	return (s.Node == "" || fits(s.Node, node)) && (s.Cluster == "" || fits(s.Cluster, cluster)) && (s.Zone == "" || fits(s.Zone, zone))
}

// Allow lets subscribers see pools.
type Allow struct {
	Name  string   `toml:"name"`  // a DNS name or URI; with a star at its end, all that begin so
	Pools []string `toml:"pools"` // empty: all
}

// Fits tells whether a name in a certificate is meant.
func (a *Allow) Fits(name string) bool { return fits(a.Name, name) }

func fits(pattern, name string) bool {
	if begin, all := strings.CutSuffix(pattern, "*"); all {
		return strings.HasPrefix(name, begin)
	}
	return name == pattern
}

// loopback checks an address behind which nobody is asked who he is.
func (r *reader) loopback(table, field, address string) {
	host, _, err := net.SplitHostPort(address)
	if ip := net.ParseIP(host); err != nil {
		r.fault(table, 0, field, "%v", err)
	} else if host != "localhost" && (ip == nil || !ip.IsLoopback()) {
		r.fault(table, 0, field, "%s: it must be of the loopback: nobody is asked who he is there", address)
	}
}

func (r *reader) control() {
	c := r.ControlPlane
	if c == nil {
		return
	}
	if c.Certificate == "" {
		r.loopback("control", "address", c.Address)
	} else if _, _, err := net.SplitHostPort(c.Address); err != nil {
		r.fault("control", 0, "address", "%v", err)
	}
	if c.Status != "" {
		r.loopback("control", "status", c.Status)
	}
	if n := len(strings.Fields(strings.Join([]string{c.Certificate, c.Key, c.Authority}, " "))); n != 0 && (c.Certificate == "" || c.Key == "" || c.Authority == "") {
		r.fault("control", 0, "certificate", "certificate, key and authority go together")
	}
	r.within("control", 0, "subscribers", float64(c.Subscribers), 0, 1e6)
	if len(c.Allow) > 0 && c.Certificate == "" {
		r.fault("control", 0, "allow", "without certificates nobody has a name")
	}
	for i, a := range c.Allow {
		if a.Name == "" {
			r.fault("control.allow", i+1, "name", "missing")
		}
		for _, pool := range a.Pools {
			r.known("control.allow", i+1, "pools", "pool", pool, r.poolNames())
		}
	}
	for i, s := range c.Subsets {
		if len(s.Pools) == 0 {
			r.fault("control.subset", i+1, "pools", "missing")
		}
		for _, pool := range s.Pools {
			r.known("control.subset", i+1, "pools", "pool", pool, r.poolNames())
		}
	}
}
