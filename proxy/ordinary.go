package proxy

import (
	"bytes"
	"errors"
	"math"
	"math/rand/v2"
	"net"
	"strconv"
	"strings"
	"time"

	"lockloom/balance"
	"lockloom/internal/http1"
	"lockloom/internal/settings"
	"lockloom/limits"
	"lockloom/routes"
)

// The ordinary door: HTTP/1.1 as clients send it, without the platform's own fields. A route gives a request its pool, its
// class and its limits; what may be sent again follows from method and mark.

// replacedFields are the fields that go on as this proxy says, not as the client does.
var replacedFields = []string{"X-Expires-In", "Forwarded", "X-Forwarded-For", "X-Forwarded-Proto", "X-Forwarded-Host", "Via", "X-Never-Ran"}

// headerFields are a head's, for conditions of routes.
type headerFields struct{ *http1.Head }

func (f headerFields) Get(name string) (string, bool) {
	v := f.Head.Get(name)
	return string(v), v != nil
}

// matchRoute is what a request's head says of its request, or the answer where the route itself is one.
func (c *clientConn) matchRoute(h *http1.Head, arrived time.Time) (*request, balance.RequestInfo, *response, error) {
	o, a := c.proxy.routing.Load(), balance.RequestInfo{Tenant: -1}
	refuse := func(status int, text string) (*request, balance.RequestInfo, *response, error) {
		return nil, a, nil, &http1.Error{Status: status, Text: text}
	}
	method := string(h.Method)
	if method == "CONNECT" || method == "TRACE" {
		return refuse(501, "method not served")
	}
	for _, name := range []string{"Host", "Idempotency-Key", "X-Expires-In"} {
		if h.HasRepeated(name) { // danger: a server may go by another of them than this proxy
			return refuse(400, name+" twice")
		}
	}
	if h.Get("Host") == nil && !h.HTTP10 {
		return refuse(400, "no Host")
	}
	host, path, query, err := routes.ParseTarget(string(h.Target))
	var wrong *routes.PathError
	if errors.As(err, &wrong) {
		return refuse(400, wrong.Error())
	}
	named := string(h.Get("Host"))
	if host == "" {
		host = named
	} else if named != "" && routes.NormalizeHost(host) != routes.NormalizeHost(named) {
		return refuse(400, "the target is for another host than Host")
	}
	if strings.ContainsAny(host, "/?#@\\\"<> ") { // danger: it goes on, and another may read an authority or a path in it
		return refuse(400, "malformed Host")
	}
	m, ok := o.config.RouteTable.Match(&routes.Request{Host: routes.NormalizeHost(host), Method: method, Path: path, Query: query, Fields: headerFields{h}})
	if !ok {
		return nil, a, &response{status: 404, body: []byte("no route\n")}, nil
	}
	act, w := &m.Route.Action, o.config.RouteConfig(m.Route)
	if act.Redirect != nil {
		return nil, a, &response{status: act.Redirect.Status, fields: http1.AppendField(nil, "Location", m.Location(query))}, nil
	}
	if act.Response != nil {
		answer := &response{status: act.Response.Status, body: []byte(act.Response.Body)}
		if act.Response.Type != "" {
			answer.fields = http1.AppendField(nil, "Content-Type", act.Response.Type)
		}
		return nil, a, answer, nil
	}
	onward, err := m.UpstreamPath()
	if err != nil {
		return refuse(400, err.Error())
	}
	if query != "" {
		onward += "?" + query
	}
	address, _, err := net.SplitHostPort(c.conn.RemoteAddr().String())
	if err != nil {
		address = c.conn.RemoteAddr().String()
	}
	key := settings.NameHash(address)
	if len(act.Pools) > 1 && address == "" {
		key = rand.Uint64()
	}
	in := o.pools[act.Pools[m.SelectPool(key)].Pool]
	rule := o.config.RetryRule(w)
	mark := h.Get("Idempotency-Key")
	again := rule.SafetyOf(method, len(mark) > 0)
	if again == limits.RetryKeyed && o.config.Classes[o.classIndexes[w.Class]].DedupWindow == 0 { // no server knows the mark
		again = limits.RetryNever
	}
	a.Class = o.classIndex(w.Class, again)
	row := &in.classes[a.Class]
	wait := row.Deadline
	if told := h.Get("X-Expires-In"); told != nil {
		if s, err := strconv.ParseFloat(string(told), 64); err == nil && s >= 0 && !math.IsNaN(s) {
			wait = min(wait, s)
		}
	}
	a.Deadline = c.proxy.stamp(arrived) + wait
	if last := c.proxy.shutdownDeadline.Load(); last != nil {
		a.Deadline = min(a.Deadline, c.proxy.stamp(*last))
	}
	l := &request{pool: in, class: row, arrived: c.proxy.stamp(arrived), deadline: a.Deadline, id: "w" + strconv.FormatUint(rand.Uint64(), 16),
		response: make(chan response, 1), retryRule: rule, limits: o.config.Limits, passthrough: true, headOnly: method == "HEAD"}
	l.route = m.Route.Name
	l.limitKeys = o.limitKeys(m.Route, w, string(h.Get("X-Customer")), address, func(name string) string { return string(h.Get(name)) })
	l.head = http1.AppendRequest(make([]byte, 0, initialHeadBytes), h.Method, []byte(onward))
	l.head = http1.AppendForwardedFields(l.head, h, replacedFields...)
	if named == "" && host != "" {
		l.head = http1.AppendField(l.head, "Host", host)
	}
	l.traceID = string(h.Get("X-Trace-Id"))
	if h.Get("X-Trace-Id") == nil {
		l.head = http1.AppendField(l.head, "X-Trace-Id", l.id)
	}
	forwarded := []byte(address)
	if before := h.Get("X-Forwarded-For"); len(before) > 0 {
		forwarded = bytes.Join([][]byte{before, forwarded}, []byte(", "))
	}
	l.head = http1.AppendField(l.head, "X-Forwarded-For", forwarded)
	l.head = http1.AppendField(l.head, "X-Forwarded-Proto", "http")
	if host != "" {
		l.head = http1.AppendField(l.head, "X-Forwarded-Host", host)
	}
	element := forwardedElement(address, host)
	if before := h.Get("Forwarded"); len(before) > 0 {
		element = bytes.Join([][]byte{before, element}, []byte(", "))
	}
	l.head = http1.AppendField(l.head, "Forwarded", element)
	via := []byte("1.1 lockloom")
	if before := h.Get("Via"); len(before) > 0 {
		via = bytes.Join([][]byte{before, via}, []byte(", "))
	}
	l.head = http1.AppendField(l.head, "Via", via)
	return l, a, nil, nil
}

// forwardedElement is this proxy's part of the field Forwarded (RFC 7239): what is no token is quoted, an address of IPv6 in
// brackets. Danger: a host's quote or backslash would end the quoting and let a client write elements of its own.
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
