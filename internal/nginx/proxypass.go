package nginx

import (
	"slices"
	"strconv"
	"strings"
)

// proxyPass sets the action of a route to forward as a proxy_pass directive says. It returns the route, several routes
// if a map chooses the pool, or nil if the directive is refused.
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
		c.add(d, Differs, "the client's Host is passed on, whereas nginx sends the upstream's name")
	}
	return forwarding
}

// passAddress returns the host of a proxy_pass. If its URL has a path, that replaces the path of the location: it
// becomes the rewrite of the route.
func (c *serverConverter) passAddress(d *Node, r *route) (host string, ok bool) {
	if len(d.Args) != 1 {
		c.refuse(d, "expected one URL")
		return "", false
	}
	address, ok := strings.CutPrefix(d.Args[0], "http://")
	if !ok {
		c.refuse(d, "%s: only http:// URLs are supported", d.Args[0])
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
	if reason := unsupportedPathReason(path, keepURI, r.match.path.kind); reason != "" {
		c.refuse(d, "%s", reason)
		return "", false
	}
	r.action.rewrite = path
	return host, true
}

// unsupportedPathReason returns the reason why the path of a proxy_pass is refused, or an empty text.
func unsupportedPathReason(path string, keepURI bool, kind pathKind) string {
	switch {
	case strings.Contains(path, "$"):
		return "variables in the path are not supported: write a location for each value, or a rewrite"
	case keepURI:
		return "a path before $request_uri is not supported"
	case kind == regexPath:
		return "a path is not supported in a regular expression location"
	case strings.Contains(path, "?"):
		return "a query in the URL is not supported"
	case !isNormalPath(path):
		return "the path is not normalized"
	}
	return ""
}

// passTarget sets the pool or the split that a proxy_pass names. It returns the routes like proxyPass.
func (c *serverConverter) passTarget(d *Node, r *route, host string) []*route {
	if !strings.Contains(host, "$") {
		if r.action.pool = c.target(host, d.Place); r.action.pool == "" {
			c.refuse(d, "%s is neither an upstream nor host:port", host)
			return nil
		}
		return []*route{r}
	}
	if m := c.maps[host]; m != nil {
		return c.mapRoutes(m, d, r)
	}
	split := c.splits[host]
	if split == nil {
		c.refuse(d, "%s is not set by a supported map or split_clients directive", host)
		return nil
	}
	if !c.splitPools(host, split, d, &r.action) {
		return nil
	}
	return []*route{r}
}

// class returns the name of the request class whose deadline is a read timeout in seconds. It adds the class if it is
// new.
func (c *converter) class(timeout float64) string {
	name := strconv.FormatFloat(timeout, 'g', -1, 64) + "s"
	if !slices.Contains(c.file.classes, name) {
		c.file.classes = append(c.file.classes, name)
	}
	return name
}

// retryPolicy returns the name of the retry policy for the proxy_next_upstream settings. It adds the policy if it is
// new.
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
