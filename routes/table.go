package routes

import (
	"fmt"
	"strings"
)

// Table is compiled routes.
type Table struct {
	exact    map[string]*site
	leading  map[string]*site // of "*.name", by name
	trailing map[string]*site // of "name.*", by name
	fallback *site            // for all other hosts; nil: none
	count    int              // of routes, once for each of their hosts
}

// site is the routes of one host.
type site struct {
	exact       map[string][]*compiled // by path
	prefixes    tree
	expressions []*compiled
}

func newTable() *Table {
	return &Table{exact: map[string]*site{}, leading: map[string]*site{}, trailing: map[string]*site{}}
}

func newSite() *site { return &site{exact: map[string][]*compiled{}} }

// siteFor returns the routes of a host as it is written in a route, none yet if it is new.
func (t *Table) siteFor(host string) (*site, error) {
	if len(host) > maxTextBytes {
		return nil, fmt.Errorf("host of %d bytes: %d at most", len(host), maxTextBytes)
	}
	name := NormalizeHost(host)
	domain, leading := strings.CutPrefix(name, "*.")
	base, trailing := strings.CutSuffix(name, ".*")
	switch {
	case host == "" || host == "*":
		if t.fallback == nil {
			t.fallback = newSite()
		}
		return t.fallback, nil
	case leading && domain != "" && !strings.Contains(domain, "*"):
		return siteIn(t.leading, domain), nil
	case trailing && base != "" && !strings.Contains(base, "*"):
		return siteIn(t.trailing, base), nil
	case name == "" || strings.ContainsAny(name, "*/ "):
		return nil, fmt.Errorf("host %q: a name, *.name or name.*", host)
	}
	return siteIn(t.exact, name), nil
}

func siteIn(sites map[string]*site, name string) *site {
	if sites[name] == nil {
		sites[name] = newSite()
	}
	return sites[name]
}

func (s *site) add(c *compiled) {
	switch {
	case c.Kind == Exact:
		s.exact[c.path] = append(s.exact[c.path], c)
	case c.Kind != Regex:
		s.prefixes.add(c.path, c)
	case c.parent == nil:
		s.expressions = append(s.expressions, c)
	default:
		c.parent.nested = append(c.parent.nested, c)
	}
}

// find returns the routes of a request's host; nil: none.
func (t *Table) find(host string) *site {
	if s := t.exact[host]; s != nil {
		return s
	}
	if s := t.findLeading(host); s != nil {
		return s
	}
	if s := t.findTrailing(host); s != nil {
		return s
	}
	return t.fallback
}

// findLeading returns the routes of the longest "*.name" that a host matches.
func (t *Table) findLeading(host string) *site {
	if len(t.leading) == 0 {
		return nil
	}
	for {
		_, domain, found := strings.Cut(host, ".")
		if !found {
			return nil
		}
		if s := t.leading[domain]; s != nil {
			return s
		}
		host = domain
	}
}

// findTrailing returns the routes of the longest "name.*" that a host matches.
func (t *Table) findTrailing(host string) *site {
	if len(t.trailing) == 0 {
		return nil
	}
	for {
		dot := strings.LastIndexByte(host, '.')
		if dot < 0 {
			return nil
		}
		host = host[:dot]
		if s := t.trailing[host]; s != nil {
			return s
		}
	}
}
