package nginx

import (
	"slices"
	"strconv"
	"strings"
)

// proxyPass makes a route forward to what a proxy_pass directive names. It returns the route, several where a map
// chooses, or none if the directive could not be carried.
func (c *serverConverter) proxyPass(d *Node, effective settings, r *route) []*route {
	host, ok := c.passAddress(d, r)
	if !ok {
		return nil
	}
	r.policy = policy{
		class:  c.class(effective.readTimeout),
		retry:  c.retryPolicy(effective.retry),
		limits: c.limits(&effective),
	}
	forwarding := c.passTarget(d, r, host)
	switch {
	case forwarding == nil:
	case effective.setsHost:
		c.add(d, Carried, "")
	default:
		c.add(d, Differs, "the client's Host goes on, where nginx sends the upstream's name")
	}
	return forwarding
}

// passAddress reads the address of a proxy_pass. Its path is what takes the place of the location's.
func (c *serverConverter) passAddress(d *Node, r *route) (host string, ok bool) {
	if len(d.Args) != 1 {
		c.refuse(d, "it takes one address")
		return "", false
	}
	address, ok := strings.CutPrefix(d.Args[0], "http://")
	if !ok {
		c.refuse(d, "%s: only http://", d.Args[0])
		return "", false
	}
	address, keepURI := strings.CutSuffix(address, requestURI)
	host, path := address, ""
	if slash := strings.IndexByte(address, '/'); slash >= 0 {
		host, path = address[:slash], address[slash:]
	}
	if path == "" {
		return host, true
	}
	if reason := passPathFault(path, keepURI, r.match.path.kind); reason != "" {
		c.refuse(d, "%s", reason)
		return "", false
	}
	r.action.rewrite = path
	return host, true
}

// passPathFault says why the path of a proxy_pass cannot be carried; empty if it can.
func passPathFault(path string, keepURI bool, kind pathKind) string {
	switch {
	case strings.Contains(path, "$"):
		return "variables in the path: write a location for each, or a rewrite"
	case keepURI:
		return "a path before $request_uri"
	case kind == regexPath:
		return "a path beside an expression"
	case strings.Contains(path, "?"):
		return "a query of its own"
	case !isNormalPath(path):
		return "a path that is not in its normal form"
	}
	return ""
}

// passTarget finds the pool, the map or the split that a proxy_pass names.
func (c *serverConverter) passTarget(d *Node, r *route, host string) []*route {
	if !strings.Contains(host, "$") {
		if r.action.pool = c.target(host, d.Place); r.action.pool == "" {
			c.refuse(d, "%s: no upstream, and no host:port", host)
			return nil
		}
		return []*route{r}
	}
	if m := c.maps[host]; m != nil {
		return c.mapRoutes(m, d, r)
	}
	split := c.splits[host]
	if split == nil {
		c.refuse(d, "%s: its value is not known here", host)
		return nil
	}
	if !c.splitPools(host, split, d, &r.action) {
		return nil
	}
	return []*route{r}
}

// class is the name of the request class that has a read timeout in seconds as its deadline.
func (c *converter) class(timeout float64) string {
	name := strconv.FormatFloat(timeout, 'g', -1, 64) + "s"
	if !slices.Contains(c.file.classes, name) {
		c.file.classes = append(c.file.classes, name)
	}
	return name
}

// retryPolicy is the name of the retry policy that does what proxy_next_upstream says.
func (c *converter) retryPolicy(s retrySettings) string {
	attempts := s.tries
	if s.off {
		attempts = 1
	}
	name := "nginx"
	if attempts > 0 {
		name += "-" + strconv.Itoa(attempts)
	}
	isNamed := func(r *retryPolicy) bool { return r.name == name }
	if !slices.ContainsFunc(c.file.retries, isNamed) {
		c.file.retries = append(c.file.retries, &retryPolicy{name: name, attempts: attempts})
	}
	return name
}
