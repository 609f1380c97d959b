package config

import (
	"fmt"
	"io"
	"strings"

	"lockloom/limits"
	"lockloom/routes"
)

// Request describes a request to Explain.
type Request struct {
	Method, Target, Host string
	Fields               map[string]string // header fields, by lower-case name
}

// Get returns a header field of the request, and whether it is present. The case of name does not matter.
func (r *Request) Get(name string) (string, bool) {
	value, present := r.Fields[strings.ToLower(name)]
	return value, present
}

// Explain writes which route, limits, pool, class and retry rule apply to a request, and why other routes do not match.
// It returns the first error of w.
func (c *Config) Explain(w io.Writer, request *Request) error {
	p := &printer{w: w}
	c.explain(p, request)
	return p.err
}

// printer writes lines until the first write error, which it keeps in err.
type printer struct {
	w   io.Writer
	err error
}

func (p *printer) printf(format string, args ...any) {
	if p.err == nil {
		_, p.err = fmt.Fprintf(p.w, format+"\n", args...)
	}
}

func (c *Config) explain(p *printer, request *Request) {
	normal, err := normalize(request)
	if err != nil {
		p.printf("rejected with 400: %v", err)
		return
	}
	match, ok, considered := c.RouteTable.Explain(&normal)
	p.printf("host %q, method %s, path %q, query %q", normal.Host, normal.Method, normal.Path, normal.Query)
	for _, other := range considered {
		p.printf("  route %s (%s %s): %s", other.Route.Name, other.Route.Kind, other.Route.Path, other.Reason)
	}
	if !ok {
		p.printf("no route: answered with 404")
		return
	}
	route, action := c.RouteConfig(match.Route), &match.Route.Action
	p.printf("route %s", match.Route.Name)
	c.explainLimits(p, route)
	switch {
	case action.Redirect != nil:
		p.printf("redirect %d to %s", action.Redirect.Status, match.Location(normal.Query))
	case action.Response != nil:
		p.printf("answer %d, %d bytes", action.Response.Status, len(action.Response.Body))
	default:
		c.explainForwarding(p, request, &match, route)
	}
}

// normalize returns a request in the form that routes match. An error states why a proxy would reject it.
func normalize(request *Request) (routes.Request, error) {
	host, path, query, err := routes.ParseTarget(request.Target)
	if err != nil {
		return routes.Request{}, err
	}
	if host == "" {
		host = request.Host
	} else if request.Host != "" && routes.NormalizeHost(request.Host) != routes.NormalizeHost(host) {
		return routes.Request{}, fmt.Errorf("the target is for %s, but Host is %s", host, request.Host)
	}
	return routes.Request{
		Host:   routes.NormalizeHost(host),
		Method: request.Method,
		Path:   path,
		Query:  query,
		Fields: request,
	}, nil
}

func (c *Config) explainLimits(p *printer, route *Route) {
	for _, name := range route.Limits {
		for _, limit := range c.File.Limits {
			if limit.Name == name {
				p.printf("limit %s by %s: %s", limit.Name, limit.By, limit.describe())
			}
		}
	}
}

func (l *Limit) describe() string {
	var bounds []string
	if l.Rate > 0 {
		bounds = append(bounds, fmt.Sprintf("%g per second, burst %g", l.Rate, max(l.Burst, 1)))
	}
	if l.Concurrency > 0 {
		bounds = append(bounds, fmt.Sprintf("%d in flight", l.Concurrency))
	}
	return strings.Join(bounds, ", ")
}

func (c *Config) explainForwarding(p *printer, request *Request, match *routes.Match, route *Route) {
	path, err := match.UpstreamPath()
	if err != nil {
		p.printf("rejected with 400: rewritten path: %v", err)
		return
	}
	for _, pool := range match.Route.Action.Pools {
		p.printf("pool %s, weight %g", pool.Pool, pool.Weight)
	}
	rule := c.RetryRule(route)
	for _, class := range c.Classes {
		if class.Name == route.Class {
			p.printf("class %s: %s, latency objective %g s, deadline %g s, priority weight %g", class.Name,
				retrySafety(rule, request, class), class.LatencyObjective, class.Deadline, class.PriorityWeight)
		}
	}
	p.printf("retry rule %s: %g of recent first attempts may be retried", rule.Name, rule.BudgetRatio)
	p.printf("forwarded as %s %s", request.Method, path)
}

// retrySafety returns how a request of a class may be retried. Without a deduplication window no server drops repeats
// by their idempotency key, so a keyed request counts as non-idempotent.
func retrySafety(rule *limits.RetryRule, request *Request, class Class) limits.RetrySafety {
	_, hasKey := request.Get("Idempotency-Key")
	safety := rule.SafetyOf(request.Method, hasKey)
	if safety == limits.RetryKeyed && class.DedupWindow == 0 {
		return limits.RetryNever
	}
	return safety
}
