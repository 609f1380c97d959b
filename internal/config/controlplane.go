package config

import "strings"

// ControlPlane is the configuration of a control plane; see package controlplane.
type ControlPlane struct {
	Address         string   `toml:"address"`     // where subscribers connect
	Status          string   `toml:"status"`      // where operators see what subscribers have; empty: nowhere
	PreferLocalZone bool     `toml:"local"`       // subscribers keep to their own zone while it has a healthy server
	SnapshotFile    string   `toml:"memory"`      // empty: none
	Subscribers     int      `toml:"subscribers"` // the most at once; 0: the service's own bound
	Certificate     string   `toml:"certificate"` // PEM files, all or none
	Key             string   `toml:"key"`
	Authority       string   `toml:"authority"` // of the subscribers' certificates
	Allow           []Allow  `toml:"allow"`     // subscribers by the names in their certificates; none: all that have one
	Subsets         []Subset `toml:"subset"`    // what some subscribers receive
}

// Subset narrows what some subscribers receive. It keeps nobody out: a node names itself as it likes. Each of the first
// three may end with a star; empty, it matches all.
type Subset struct {
	Node    string   `toml:"node"` // the node's id
	Cluster string   `toml:"cluster"`
	Zone    string   `toml:"zone"`
	Pools   []string `toml:"pools"`
}

// Fits reports whether the subset is for a node.
func (s *Subset) Fits(node, cluster, zone string) bool {
	return (s.Node == "" || matchesPattern(s.Node, node)) &&
		(s.Cluster == "" || matchesPattern(s.Cluster, cluster)) &&
		(s.Zone == "" || matchesPattern(s.Zone, zone))
}

// Allow lets subscribers receive pools.
type Allow struct {
	Name  string   `toml:"name"`  // a DNS name or URI; with a star at its end, all that begin so
	Pools []string `toml:"pools"` // empty: all
}

// Fits reports whether a name in a certificate is allowed.
func (a *Allow) Fits(name string) bool { return matchesPattern(a.Name, name) }

func matchesPattern(pattern, name string) bool {
	if prefix, isPrefix := strings.CutSuffix(pattern, "*"); isPrefix {
		return strings.HasPrefix(name, prefix)
	}
	return name == pattern
}

const maxSubscribers = 1e6

func (r *reader) checkControlPlane() {
	control := r.file.ControlPlane
	if control == nil {
		return
	}
	table := r.table("control", 0)
	if control.Certificate == "" {
		table.checkLoopback("address", control.Address)
	} else {
		table.checkAddress("address", control.Address)
	}
	if control.Status != "" {
		table.checkLoopback("status", control.Status)
	}
	if some, all := control.certificates(); some && !all {
		table.fail("certificate", "certificate, key and authority go together")
	}
	table.checkRange("subscribers", float64(control.Subscribers), 0, maxSubscribers)
	if len(control.Allow) > 0 && control.Certificate == "" {
		table.fail("allow", "without certificates nobody has a name")
	}
	r.checkAllow(control.Allow)
	r.checkSubsets(control.Subsets)
}

// certificates reports whether some and whether all of the certificate files are set.
func (c *ControlPlane) certificates() (some, all bool) {
	all = true
	for _, file := range []string{c.Certificate, c.Key, c.Authority} {
		some = some || strings.TrimSpace(file) != ""
		all = all && file != ""
	}
	return some, all
}

func (r *reader) checkAllow(list []Allow) {
	for i, allow := range list {
		table := r.table("control.allow", i+1)
		if allow.Name == "" {
			table.fail("name", "missing")
		}
		table.checkPools(allow.Pools)
	}
}

func (r *reader) checkSubsets(list []Subset) {
	for i, subset := range list {
		table := r.table("control.subset", i+1)
		if len(subset.Pools) == 0 {
			table.fail("pools", "missing")
		}
		table.checkPools(subset.Pools)
	}
}

func (t table) checkPools(pools []string) {
	for _, pool := range pools {
		t.checkKnown("pools", "pool", pool, t.reader.file.poolNames())
	}
}
