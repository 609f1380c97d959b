package routes

import (
	"fmt"
	"strings"
)

// Table holds compiled routes, by host.
type Table struct {
	exact    map[string]*virtualHost
	leading  map[string]*virtualHost // hosts written as "*.name", by name
	trailing map[string]*virtualHost // hosts written as "name.*", by name
	fallback *virtualHost            // for all other hosts; nil: none
	count    int                     // number of routes; a route counts once per host
}

// virtualHost holds the routes of one host.
type virtualHost struct {
	exact       map[string][]*compiledRoute // by path
	prefixes    tree
	expressions []*compiledRoute // routes of the kind Regex that are not nested, in order
}

func newTable() *Table {
	return &Table{
		exact:    map[string]*virtualHost{},
		leading:  map[string]*virtualHost{},
		trailing: map[string]*virtualHost{},
	}
}

func newVirtualHost() *virtualHost { return &virtualHost{exact: map[string][]*compiledRoute{}} }

// virtualHostFor returns the virtual host for a host as written in a route, and creates it if it does not exist.
func (t *Table) virtualHostFor(host string) (*virtualHost, error) {
	if len(host) > maxTextBytes {
		return nil, fmt.Errorf("host has %d bytes, at most %d are allowed", len(host), maxTextBytes)
	}
	name := NormalizeHost(host)
	domain, leading := strings.CutPrefix(name, "*.")
	base, trailing := strings.CutSuffix(name, ".*")
	switch {
	case host == "" || host == "*":
		if t.fallback == nil {
			t.fallback = newVirtualHost()
		}
		return t.fallback, nil
	case leading && domain != "" && !strings.Contains(domain, "*"):
		return virtualHostIn(t.leading, domain), nil
	case trailing && base != "" && !strings.Contains(base, "*"):
		return virtualHostIn(t.trailing, base), nil
	case name == "" || strings.ContainsAny(name, "*/ "):
		return nil, fmt.Errorf("host %q: must be a name, *.name or name.*", host)
	}
	return virtualHostIn(t.exact, name), nil
}

func virtualHostIn(vhosts map[string]*virtualHost, name string) *virtualHost {
	if vhosts[name] == nil {
		vhosts[name] = newVirtualHost()
	}
	return vhosts[name]
}

func (v *virtualHost) add(c *compiledRoute) {
	switch {
	case c.Kind == Exact:
		v.exact[c.path] = append(v.exact[c.path], c)
	case c.Kind != Regex:
		v.prefixes.add(c.path, c)
	case c.parent == nil:
		v.expressions = append(v.expressions, c)
	default:
		c.parent.nested = append(c.parent.nested, c)
	}
}

// find returns the virtual host for the host of a request; nil: none.
func (t *Table) find(host string) *virtualHost {
	if v := t.exact[host]; v != nil {
		return v
	}
	if v := t.findLeading(host); v != nil {
		return v
	}
	if v := t.findTrailing(host); v != nil {
		return v
	}
	return t.fallback
}

// findLeading returns the virtual host of the longest "*.name" that a host matches; nil: none.
func (t *Table) findLeading(host string) *virtualHost {
	if len(t.leading) == 0 {
		return nil
	}
	for {
		_, domain, found := strings.Cut(host, ".")
		if !found {
			return nil
		}
		if v := t.leading[domain]; v != nil {
			return v
		}
		host = domain
	}
}

// findTrailing returns the virtual host of the longest "name.*" that a host matches; nil: none.
func (t *Table) findTrailing(host string) *virtualHost {
	if len(t.trailing) == 0 {
		return nil
	}
	for {
		dot := strings.LastIndexByte(host, '.')
		if dot < 0 {
			return nil
		}
		host = host[:dot]
		if v := t.trailing[host]; v != nil {
			return v
		}
	}
}
