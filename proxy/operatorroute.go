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

// An operator's listener serves HTTP/1.1 as clients send it, without the platform's own fields. A route gives a request
// its pool, its class and its limits; whether it may be sent again follows from its method and its idempotency key.

// replacedFields are forwarded as this proxy sets them, not as the client does.
var replacedFields = []string{
	"X-Expires-In", "Forwarded", "X-Forwarded-For", "X-Forwarded-Proto", "X-Forwarded-Host", "Via", "X-Never-Ran",
}

// operatorSingletonFields must not be repeated: a server may go by another occurrence than this proxy.
var operatorSingletonFields = []string{"Host", "Idempotency-Key", "X-Expires-In"}

// headerFields are a head's, for the conditions of routes.
type headerFields struct{ *http1.Head }

// Get returns a field's value and whether it is there.
func (f headerFields) Get(name string) (string, bool) {
	value := f.Head.Get(name)
	return string(value), value != nil
}

// routeTarget is what a request is for.
type routeTarget struct {
	host       string // as the target has it, else Host
	hostField  string // Host; empty: there is none
	path       string // normalized
	query      string
	clientAddr string // without the port
}

// interpretOperatorHead routes a request by the operator file.
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

// checkOperatorHead rejects what is not served, or what a server could read differently.
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
	if strings.ContainsAny(host, "/?#@\\\"<> ") { // it is forwarded, and a server may read an authority or a path in it
		return routeTarget{}, badRequest("malformed Host")
	}
	return routeTarget{host: host, hostField: hostField, path: path, query: query}, nil
}

// routeResponse is the response of a route that answers itself.
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

// forwardByRoute makes the request that a route sends to one of its pools.
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
	arrivedAt := p.stamp(r.receivedAt)
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

// clientWait is how many seconds a client waits: as its class says, or less if the client says so.
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

// selectPool is a route's pool for a client.
func (rc *routingConfig) selectPool(match *routes.Match, clientAddr string) *serverPool {
	weighted := match.Route.Action.Pools
	key := settings.NameHash(clientAddr)
	if len(weighted) > 1 && clientAddr == "" {
		key = rand.Uint64()
	}
	return rc.pools[weighted[match.SelectPool(key)].Pool]
}

// requestClass is the index of the class that a request has in every pool: that of its route, by how safe it is to send
// the request again.
func (rc *routingConfig) requestClass(route *config.Route, rule *limits.RetryRule, head *http1.Head) int {
	hasKey := len(head.Get("Idempotency-Key")) > 0
	safety := rule.SafetyOf(string(head.Method), hasKey)
	if safety == limits.RetryKeyed && rc.config.Classes[rc.classIndexes[route.Class]].DedupWindow == 0 {
		safety = limits.RetryNever // no server knows the key
	}
	return rc.classIndex(route.Class, safety)
}

// limitKeys are the limits of a route, with the keys that a request counts under.
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

// operatorHead is the head that goes to a server, without length and deadline.
func operatorHead(head *http1.Head, upstreamPath string, target *routeTarget, id string) []byte {
	out := http1.AppendRequest(make([]byte, 0, initialHeadBytes), head.Method, []byte(upstreamPath))
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
	if before := head.Get(name); len(before) > 0 {
		element = bytes.Join([][]byte{before, element}, []byte(", "))
	}
	return http1.AppendField(out, name, element)
}

// forwardedElement is this proxy's element of the field Forwarded (RFC 7239). All values are quoted, an address of IPv6
// in brackets; a host's own quotes and backslashes are escaped, or they would end the quoting and let a client write
// elements of its own.
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

// appendQuoted appends a quoted string (RFC 9110).
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
