package proxy

import (
	"bytes"
	"errors"
	"math"
	"math/rand/v2"
	"net"
	"strconv"
	"strings"

	"lockloom/balance"
	"lockloom/internal/config"
	"lockloom/internal/http1"
	"lockloom/internal/settings"
	"lockloom/limits"
	"lockloom/routes"
)

// An HTTP listener of the operator file serves plain HTTP/1.1, without the platform's own fields. A route gives a
// request its pool, its class and its limits; whether it may be retried follows from its method and idempotency key.

// replacedFields are header fields that are not forwarded as the client sent them: this proxy sets or drops them.
var replacedFields = []string{
	"X-Expires-In", "Forwarded", "X-Forwarded-For", "X-Forwarded-Proto", "X-Forwarded-Host", "Via", "X-Never-Ran",
}

// operatorSingletonFields are header fields that must not be repeated: a server might use another occurrence than this
// proxy does.
var operatorSingletonFields = []string{"Host", "Idempotency-Key", "X-Expires-In"}

// headerFields gives the conditions of routes access to a head's fields.
type headerFields struct{ *http1.Head }

// Get returns a field's value and whether the head has the field.
func (f headerFields) Get(name string) (string, bool) {
	value := f.Head.Get(name)
	return string(value), value != nil
}

// routeTarget is the target of a request and the client's address.
type routeTarget struct {
	host       string // host of an absolute target, else the field Host
	hostField  string // the field Host; empty: there is none
	path       string // normalized
	query      string
	clientAddr string // without the port
}

// interpretOperatorHead routes a request of an HTTP listener by the operator file.
func (r *requestReader) interpretOperatorHead() error {
	routing := r.conn.proxy.routing.Load()
	r.info = balance.RequestInfo{Tenant: noTenant}
	if err := checkOperatorHead(r.head); err != nil {
		return err
	}
	target, err := parseRouteTarget(r.head)
	if err != nil {
		return err
	}
	match, found := routing.config.RouteTable.Match(&routes.Request{
		Host:   routes.NormalizeHost(target.host),
		Method: string(r.head.Method),
		Path:   target.path,
		Query:  target.query,
		Fields: headerFields{r.head},
	})
	if !found {
		r.direct = response{status: http1.StatusNotFound, body: []byte("no route\n")}
		return nil
	}
	if resp, ok := routeResponse(&match, target.query); ok {
		r.direct = resp
		return nil
	}
	return r.forwardByRoute(routing, &match, &target)
}

// checkOperatorHead rejects methods that are not served and heads that a server could interpret differently.
func checkOperatorHead(head *http1.Head) error {
	if method := string(head.Method); method == http1.MethodConnect || method == http1.MethodTrace {
		return &http1.Error{Status: http1.StatusNotImplemented, Text: "method not served"}
	}
	for _, name := range operatorSingletonFields {
		if head.HasRepeated(name) {
			return badRequest(name + " twice")
		}
	}
	if head.Get("Host") == nil && !head.HTTP10 {
		return badRequest("no Host")
	}
	return nil
}

func parseRouteTarget(head *http1.Head) (routeTarget, error) {
	host, path, query, err := routes.ParseTarget(string(head.Target))
	var invalid *routes.PathError
	if errors.As(err, &invalid) {
		return routeTarget{}, badRequest(invalid.Error())
	}
	hostField := string(head.Get("Host"))
	if host == "" {
		host = hostField
	} else if hostField != "" && routes.NormalizeHost(host) != routes.NormalizeHost(hostField) {
		return routeTarget{}, badRequest("the target is for another host than Host")
	}
	if strings.ContainsAny(host, "/?#@\\\"<> ") { // a server could parse an authority or a path from it
		return routeTarget{}, badRequest("malformed Host")
	}
	return routeTarget{host: host, hostField: hostField, path: path, query: query}, nil
}

// routeResponse returns the response of a route that redirects or has a fixed response, and whether it does.
func routeResponse(match *routes.Match, query string) (response, bool) {
	action := &match.Route.Action
	if action.Redirect != nil {
		location := http1.AppendField(nil, "Location", match.Location(query))
		return response{status: action.Redirect.Status, fields: location}, true
	}
	if action.Response == nil {
		return response{}, false
	}
	resp := response{status: action.Response.Status, body: []byte(action.Response.Body)}
	if action.Response.Type != "" {
		resp.fields = http1.AppendField(nil, "Content-Type", action.Response.Type)
	}
	return resp, true
}

// forwardByRoute makes the request that a route forwards to one of its pools. A request without a body waits here for
// its admission to this core.
func (r *requestReader) forwardByRoute(routing *routingConfig, match *routes.Match, target *routeTarget) error {
	p, head, cfg := r.conn.proxy, r.head, routing.config
	upstreamPath, err := match.UpstreamPath()
	if err != nil {
		return badRequest(err.Error())
	}
	if target.query != "" {
		upstreamPath += "?" + target.query
	}
	target.clientAddr = clientAddress(r.conn.conn)
	route := cfg.RouteConfig(match.Route)
	pool := routing.selectPool(match, target.clientAddr)
	rule := cfg.RetryRule(route)
	r.info.Class = routing.requestClass(route, rule, head)
	class := &pool.classes[r.info.Class]
	arrivedAt := p.toUnixSeconds(r.receivedAt)
	r.info.Deadline = p.shutdown.bound(arrivedAt+clientWait(head, class.Deadline), p.clock)
	r.req = &request{
		pool:      pool,
		class:     class,
		arrivedAt: arrivedAt,
		deadline:  r.info.Deadline,
		id:        "w" + strconv.FormatUint(rand.Uint64(), 16),
		traceID:   string(head.Get("X-Trace-Id")),
		response:  make(chan response, 1),
		retryRule: rule,
	}
	r.req.passthrough, r.req.headOnly = true, r.isHead
	r.req.quota = requestQuota{
		limits: cfg.Limits,
		keys:   routing.limitKeys(match.Route, route, target.clientAddr, head),
		route:  match.Route.Name,
	}
	r.req.head = operatorHead(head, upstreamPath, target, r.req.id)
	if !r.admitNow(class) {
		r.rejectOverload()
	}
	return nil
}

func clientAddress(conn net.Conn) string {
	addr := conn.RemoteAddr().String()
	host, _, err := net.SplitHostPort(addr)
	if err != nil {
		return addr
	}
	return host
}

// clientWait returns how many seconds a client waits: its class's deadline, or X-Expires-In if that is less.
func clientWait(head *http1.Head, classDeadline float64) float64 {
	field := head.Get("X-Expires-In")
	if field == nil {
		return classDeadline
	}
	wait, err := strconv.ParseFloat(string(field), 64)
	if err != nil || math.IsNaN(wait) || wait < 0 {
		return classDeadline
	}
	return min(classDeadline, wait)
}

// selectPool returns the pool that a route selects for a client, by the client's address and the pools' weights.
func (rc *routingConfig) selectPool(match *routes.Match, clientAddr string) *serverPool {
	weighted := match.Route.Action.Pools
	key := settings.NameHash(clientAddr)
	if len(weighted) > 1 && clientAddr == "" {
		key = rand.Uint64()
	}
	return rc.pools[weighted[match.SelectPool(key)].Pool]
}

// requestClass returns the index, in every pool, of a request's class: its route's class with the RetrySafety of the
// request.
func (rc *routingConfig) requestClass(route *config.Route, rule *limits.RetryRule, head *http1.Head) int {
	hasKey := len(head.Get("Idempotency-Key")) > 0
	safety := rule.SafetyOf(string(head.Method), hasKey)
	if safety == limits.RetryKeyed && rc.config.Classes[rc.classIndexes[route.Class]].DedupWindow == 0 {
		safety = limits.RetryNever // servers do not deduplicate by the key
	}
	return rc.classIndex(route.Class, safety)
}

// limitKeys returns the limits of a route, with the key by which each one counts the request.
func (rc *routingConfig) limitKeys(
	match *routes.Route, route *config.Route, clientAddr string, head *http1.Head,
) []limits.LimitKey {
	const fieldPrefix = "field:"
	var keys []limits.LimitKey
	for _, name := range route.Limits {
		index := rc.limitIndexes[name]
		key := limits.LimitKey{Limit: index}
		switch by := rc.config.File.Limits[index].By; by {
		case "all":
		case "route":
			key.Key = settings.NameHash(match.Name)
		case "customer":
			key.Key = settings.NameHash(string(head.Get("X-Customer")))
		case "address":
			key.Key = settings.NameHash(clientAddr)
		default:
			key.Key = settings.NameHash(string(head.Get(by[len(fieldPrefix):])))
		}
		keys = append(keys, key)
	}
	return keys
}

// operatorHead returns the head that is sent to a server, without Content-Length and X-Expires-In.
func operatorHead(head *http1.Head, upstreamPath string, target *routeTarget, id string) []byte {
	out := http1.AppendRequestLine(make([]byte, 0, forwardedHeadBytes(head.Size)), head.Method, []byte(upstreamPath))
	out = http1.AppendForwardedFields(out, head, replacedFields...)
	if target.hostField == "" && target.host != "" {
		out = http1.AppendField(out, "Host", target.host)
	}
	if head.Get("X-Trace-Id") == nil {
		out = http1.AppendField(out, "X-Trace-Id", id)
	}
	out = appendListField(out, head, "X-Forwarded-For", []byte(target.clientAddr))
	out = http1.AppendField(out, "X-Forwarded-Proto", "http")
	if target.host != "" {
		out = http1.AppendField(out, "X-Forwarded-Host", target.host)
	}
	out = appendListField(out, head, "Forwarded", forwardedElement(target.clientAddr, target.host))
	return appendListField(out, head, "Via", []byte("1.1 lockloom"))
}

// appendListField appends a field with the client's value, if there is one, followed by this proxy's element.
func appendListField(out []byte, head *http1.Head, name string, element []byte) []byte {
	if clientValue := head.Get(name); len(clientValue) > 0 {
		element = bytes.Join([][]byte{clientValue, element}, []byte(", "))
	}
	return http1.AppendField(out, name, element)
}

// forwardedElement returns this proxy's element of the field Forwarded (RFC 7239). All values are quoted, and an IPv6
// address is in brackets. Quotes and backslashes in a host are escaped: unescaped, they would end the quoted string and
// let a client inject elements.
func forwardedElement(address, host string) []byte {
	if strings.Contains(address, ":") {
		address = "[" + address + "]"
	}
	out := append([]byte(nil), "for="...)
	out = appendQuoted(out, address)
	if host != "" {
		out = appendQuoted(append(out, ";host="...), host)
	}
	return append(out, ";proto=http"...)
}

// appendQuoted appends text as a quoted string (RFC 9110).
func appendQuoted(out []byte, text string) []byte {
	out = append(out, '"')
	for i := range len(text) {
		if text[i] == '"' || text[i] == '\\' {
			out = append(out, '\\')
		}
		out = append(out, text[i])
	}
	return append(out, '"')
}
