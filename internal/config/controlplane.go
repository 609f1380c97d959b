package config

import "strings"

// ControlPlane is the configuration of a control plane; see package controlplane.
type ControlPlane struct {
	Address         string   `toml:"address"`     // where subscribers connect
	Status          string   `toml:"status"`      // HTTP address where operators query the subscribers; empty: none
	PreferLocalZone bool     `toml:"local"`       // subscribers use servers of their own zone while any of them is healthy
	SnapshotFile    string   `toml:"memory"`      // path; empty: no snapshot is kept
	Subscribers     int      `toml:"subscribers"` // maximum at once; 0: the default of package controlplane
	Certificate     string   `toml:"certificate"` // path of a PEM file; set Certificate, Key and Authority together
	Key             string   `toml:"key"`         // path of a PEM file with the private key of Certificate
	Authority       string   `toml:"authority"`   // path of a PEM file with the CA of the subscribers' certificates
	Allow           []Allow  `toml:"allow"`       // allowed names in client certificates; empty: any
	Subsets         []Subset `toml:"subset"`      // restrict the pools of some subscribers
}

// Subset restricts the pools that some subscribers receive. It is no access control: a node states its own id, cluster
// and zone. Node, Cluster and Zone may each end with "*", which matches any rest; an empty one matches all.
type Subset struct {
	Node    string   `toml:"node"` // the node's id
	Cluster string   `toml:"cluster"`
	Zone    string   `toml:"zone"`
	Pools   []string `toml:"pools"`
}

// Matches reports whether the subset applies to a node.
func (s *Subset) Matches(node, cluster, zone string) bool {
	return (s.Node == "" || matchesPattern(s.Node, node)) &&
		(s.Cluster == "" || matchesPattern(s.Cluster, cluster)) &&
		(s.Zone == "" || matchesPattern(s.Zone, zone))
}

// Allow permits subscribers whose client certificate has a matching name to receive pools.
type Allow struct {
	Name  string   `toml:"name"`  // a DNS name or URI; with "*" at its end, a prefix
	Pools []string `toml:"pools"` // empty: all
}

// Matches reports whether a name in a client certificate matches Name.
func (a *Allow) Matches(name string) bool { return matchesPattern(a.Name, name) }

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
	if anySet, allSet := control.certificates(); anySet && !allSet {
		table.fail("certificate", "certificate, key and authority must be set together")
	}
	table.checkRange("subscribers", float64(control.Subscribers), 0, maxSubscribers)
	if len(control.Allow) > 0 && control.Certificate == "" {
		table.fail("allow", "requires certificate, key and authority: names are those in client certificates")
	}
	r.checkAllow(control.Allow)
	r.checkSubsets(control.Subsets)
}

// certificates reports whether any and whether all of the certificate files are set.
func (c *ControlPlane) certificates() (anySet, allSet bool) {
	allSet = true
	for _, file := range []string{c.Certificate, c.Key, c.Authority} {
		anySet = anySet || strings.TrimSpace(file) != ""
		allSet = allSet && file != ""
	}
	return anySet, allSet
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
