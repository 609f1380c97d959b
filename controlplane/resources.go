package controlplane

import (
	"errors"
	"fmt"
	"hash/fnv"
	"net"
	"net/url"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	cluster "github.com/envoyproxy/go-control-plane/envoy/config/cluster/v3"
	core "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	endpoint "github.com/envoyproxy/go-control-plane/envoy/config/endpoint/v3"
	listener "github.com/envoyproxy/go-control-plane/envoy/config/listener/v3"
	route "github.com/envoyproxy/go-control-plane/envoy/config/route/v3"
	router "github.com/envoyproxy/go-control-plane/envoy/extensions/filters/http/router/v3"
	manager "github.com/envoyproxy/go-control-plane/envoy/extensions/filters/network/http_connection_manager/v3"
	matcher "github.com/envoyproxy/go-control-plane/envoy/type/matcher/v3"
	percent "github.com/envoyproxy/go-control-plane/envoy/type/v3"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/anypb"
	"google.golang.org/protobuf/types/known/durationpb"
	"google.golang.org/protobuf/types/known/wrapperspb"

	"lockloom/assignment"
	"lockloom/internal/config"
	"lockloom/limits"
)

// The types of resources, in the order in which what is added is sent: nothing refers to what comes later.
const (
	typeCluster = iota
	typeEndpoint
	typeListener
	typeRoute
	typeCount
)

var typeURLs = [typeCount]string{
	"type.googleapis.com/envoy.config.cluster.v3.Cluster",
	"type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment",
	"type.googleapis.com/envoy.config.listener.v3.Listener",
	"type.googleapis.com/envoy.config.route.v3.RouteConfiguration",
}

const (
	allRoutesName = "routes"        // the table with every host
	poolPrefix    = "pool/"         // listener and table of one pool alone
	dropCategory  = "cold"          // of requests that no server bears
	millionth     = 1_000_000       // in which shares to drop are told
	overProvide   = 140             // percent; Envoy's own: a priority with less than 100/140 of its servers well spills over
	routesMost    = 10_000          // told of one host: expressions are told once for each prefix they go before
	connectFor    = 1 * time.Second // for a subscriber to open a connection
	pathField     = ":path"         // by which a matched route is bound to a prefix besides
)

// resourceSet is resources of all types by name. It never changes once made.
type resourceSet [typeCount]map[string]*resource

func (s *resourceSet) add(kind int, name string, named bool, m proto.Message) error {
	body, err := anypb.New(m)
	if err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	if body.Value, err = (proto.MarshalOptions{Deterministic: true}).Marshal(m); err != nil { // the version is that of the bytes
		return fmt.Errorf("%s: %w", name, err)
	}
	h := fnv.New64a()
	h.Write(body.Value)
	if s[kind] == nil {
		s[kind] = map[string]*resource{}
	}
	s[kind][name] = &resource{name: name, version: strconv.FormatUint(h.Sum64(), 16), onDemand: named, body: body}
	return nil
}

// staticResources are the resources that follow from the operator file alone, with what of it subscribers cannot be told, a line each.
func staticResources(s *config.Config) (out resourceSet, left []string, err error) {
	var faults []error
	note := func(err error) {
		if err != nil {
			faults = append(faults, err)
		}
	}
	ads := &core.ConfigSource{ResourceApiVersion: core.ApiVersion_V3, ConfigSourceSpecifier: &core.ConfigSource_Ads{Ads: &core.AggregatedConfigSource{}}}
	self := &core.ConfigSource{ResourceApiVersion: core.ApiVersion_V3, ConfigSourceSpecifier: &core.ConfigSource_Self{Self: &core.SelfConfigSource{}}}
	for i := range s.Pools {
		p := &s.Pools[i]
		note(out.add(typeCluster, p.Name, false, &cluster.Cluster{
			Name:                 p.Name,
			ClusterDiscoveryType: &cluster.Cluster_Type{Type: cluster.Cluster_EDS},
			EdsClusterConfig:     &cluster.Cluster_EdsClusterConfig{EdsConfig: ads},
			ConnectTimeout:       durationpb.New(connectFor),
			LbPolicy:             cluster.Cluster_ROUND_ROBIN,
			CommonLbConfig: &cluster.Cluster_CommonLbConfig{
				HealthyPanicThreshold: &percent.Percent{}, // danger: else, with half its servers out, it would send to those that drain
				LocalityConfigSpecifier: &cluster.Cluster_CommonLbConfig_LocalityWeightedLbConfig_{
					LocalityWeightedLbConfig: &cluster.Cluster_CommonLbConfig_LocalityWeightedLbConfig{}},
			},
			LrsServer: self,
		}))
		note(out.add(typeListener, poolPrefix+p.Name, true, api(poolPrefix+p.Name, ads)))
		note(out.add(typeRoute, poolPrefix+p.Name, false, &route.RouteConfiguration{Name: poolPrefix + p.Name, VirtualHosts: []*route.VirtualHost{{
			Name: "all", Domains: []string{"*"}, Routes: []*route.Route{{
				Match:  &route.RouteMatch{PathSpecifier: &route.RouteMatch_Prefix{Prefix: ""}},
				Action: &route.Route_Route{Route: &route.RouteAction{ClusterSpecifier: &route.RouteAction_Cluster{Cluster: p.Name}}}}}}}}))
		if p.Capacity > 0 {
			left = append(left, fmt.Sprintf("pool %q: room is not told: each subscriber would have the whole", p.Name))
		}
	}
	t := &teller{setup: s}
	hosts, err := t.hosts()
	note(err)
	note(out.add(typeRoute, allRoutesName, false, &route.RouteConfiguration{Name: allRoutesName, VirtualHosts: hosts}))
	for _, h := range hosts {
		for _, domain := range h.Domains {
			if !strings.Contains(domain, "*") {
				note(out.add(typeListener, domain, true, api(allRoutesName, ads)))
			}
		}
	}
	for _, l := range s.Listeners {
		host, port, err := net.SplitHostPort(l.Address)
		n, err2 := strconv.ParseUint(port, 10, 16)
		if note(errors.Join(err, err2)); err != nil || err2 != nil {
			continue
		}
		body, err := anypb.New(connections(allRoutesName, ads))
		note(err)
		note(out.add(typeListener, "listener/"+l.Address, false, &listener.Listener{Name: "listener/" + l.Address, Address: address(host, uint32(n)),
			FilterChains: []*listener.FilterChain{{Filters: []*listener.Filter{{Name: "http",
				ConfigType: &listener.Filter_TypedConfig{TypedConfig: body}}}}}}))
	}
	return out, append(left, t.left...), errors.Join(faults...)
}

func connections(table string, from *core.ConfigSource) *manager.HttpConnectionManager {
	last, _ := anypb.New(&router.Router{}) // an empty message can be packed
	return &manager.HttpConnectionManager{StatPrefix: "lockloom", NormalizePath: wrapperspb.Bool(true), MergeSlashes: true,
		StripPortMode:  &manager.HttpConnectionManager_StripAnyHostPort{StripAnyHostPort: true},
		RouteSpecifier: &manager.HttpConnectionManager_Rds{Rds: &manager.Rds{ConfigSource: from, RouteConfigName: table}},
		HttpFilters:    []*manager.HttpFilter{{Name: "router", ConfigType: &manager.HttpFilter_TypedConfig{TypedConfig: last}}}}
}

// api is the listener of a client that is no proxy: a gRPC client's xds:///NAME asks for the listener NAME.
func api(table string, from *core.ConfigSource) proto.Message {
	body, _ := anypb.New(connections(table, from))
	return &listener.Listener{Name: table, ApiListener: &listener.ApiListener{ApiListener: body}}
}

func address(host string, port uint32) *core.Address {
	return &core.Address{Address: &core.Address_SocketAddress{SocketAddress: &core.SocketAddress{Address: host,
		PortSpecifier: &core.SocketAddress_PortValue{PortValue: port}}}}
}

// loadAssignment is a pool's assignment, followed by its backups', as a resource. Each server is a locality of its own, named by its sub-zone:
// weights of localities are what every subscriber keeps to, and loads are reported by locality, so by server.
func loadAssignment(pool string, all []assignment.Assignment) *endpoint.ClusterLoadAssignment {
	out := &endpoint.ClusterLoadAssignment{ClusterName: pool, Policy: &endpoint.ClusterLoadAssignment_Policy{
		OverprovisioningFactor: wrapperspb.UInt32(overProvide)}}
	next := uint32(0)
	for i := range all {
		most := -1 // priorities must follow one another without a gap
		for k := range all[i].Servers {
			s := &all[i].Servers[k]
			host, port, err := net.SplitHostPort(s.Addr)
			n, err2 := strconv.ParseUint(port, 10, 16)
			if err != nil || err2 != nil { // what reads lists has refused it
				continue
			}
			most = max(most, s.Priority)
			l := &endpoint.LocalityLbEndpoints{Locality: &core.Locality{Zone: s.Zone, SubZone: s.Name}, Priority: next + uint32(s.Priority),
				LbEndpoints: []*endpoint.LbEndpoint{{HealthStatus: statuses[s.Health], HostIdentifier: &endpoint.LbEndpoint_Endpoint{
					Endpoint: &endpoint.Endpoint{Address: address(host, uint32(n))}}}}}
			if s.Health == assignment.Healthy { // without a weight nothing goes there
				l.LoadBalancingWeight = wrapperspb.UInt32(uint32(s.Weight))
			}
			out.Endpoints = append(out.Endpoints, l)
		}
		next += uint32(most + 1)
	}
	if len(all) > 0 && all[0].Drop > 0 {
		out.Policy.DropOverloads = []*endpoint.ClusterLoadAssignment_Policy_DropOverload{{Category: dropCategory,
			DropPercentage: &percent.FractionalPercent{Numerator: uint32(all[0].Drop * millionth), Denominator: percent.FractionalPercent_MILLION}}}
	}
	return out
}

var statuses = [...]core.HealthStatus{assignment.Healthy: core.HealthStatus_HEALTHY, assignment.Unhealthy: core.HealthStatus_UNHEALTHY,
	assignment.Draining: core.HealthStatus_DRAINING}

// without is a table less the routes to other pools than these; nil where it cannot be read.
func without(table *anypb.Any, pools []string) *route.RouteConfiguration {
	out := &route.RouteConfiguration{}
	if table.UnmarshalTo(out) != nil {
		return nil
	}
	for _, h := range out.VirtualHosts {
		h.Routes = slices.DeleteFunc(h.Routes, func(r *route.Route) bool {
			to := r.GetRoute()
			split := slices.ContainsFunc(to.GetWeightedClusters().GetClusters(), func(c *route.WeightedCluster_ClusterWeight) bool {
				return !slices.Contains(pools, c.Name)
			})
			return split || to.GetCluster() != "" && !slices.Contains(pools, to.GetCluster())
		})
	}
	return out
}

// teller writes routes as subscribers understand them: the first that matches wins.
type teller struct {
	setup *config.Config
	left  []string // what they are not told
	fault []error
}

// hosts are the virtual hosts, in the order in which the file first names them.
func (t *teller) hosts() ([]*route.VirtualHost, error) {
	by := map[string][]*config.Route{}
	var order []string
	for i := range t.setup.Routes {
		r := &t.setup.Routes[i]
		names := r.Hosts
		if len(names) == 0 {
			names = []string{"*"}
		}
		for _, name := range names {
			if by[name] == nil {
				order = append(order, name)
			}
			by[name] = append(by[name], r)
		}
	}
	var out []*route.VirtualHost
	for _, name := range order {
		h := &route.VirtualHost{Name: name, Domains: []string{strings.ToLower(name)}, Routes: t.list(by[name])}
		if len(h.Routes) > routesMost {
			t.fault = append(t.fault, fmt.Errorf("host %q: %d routes to tell, %d at most: expressions are told once for each prefix", name, len(h.Routes), routesMost))
		}
		out = append(out, h)
	}
	return out, errors.Join(t.fault...)
}

// noted is a prefix with what is tried before it.
type noted struct {
	*config.Route
	path   string
	nested []*config.Route // expressions
	parent *noted
}

// list orders one host's routes so that the first match is the route that package routes chooses: exact paths; then prefixes, the
// longest first, each with the expressions that go before it, bound to the same prefix; then the expressions alone.
func (t *teller) list(of []*config.Route) (out []*route.Route) {
	var prefixes []*noted
	var own []*config.Route
	var gather func(list []*config.Route, in *noted)
	gather = func(list []*config.Route, in *noted) {
		for _, r := range list {
			kids := make([]*config.Route, len(r.Routes))
			for i := range r.Routes {
				kids[i] = &r.Routes[i]
			}
			switch {
			case r.Exact != "":
				out = append(out, t.tell(r, &route.RouteMatch{PathSpecifier: &route.RouteMatch_Path{Path: r.Exact}})...)
			case r.Regex != "" && in != nil:
				in.nested = append(in.nested, r)
			case r.Regex != "":
				own = append(own, r)
			default:
				n := &noted{Route: r, path: r.Prefix + r.Under, parent: in}
				if r.Under != "" && r.Under != "/" {
					n.path = strings.TrimSuffix(r.Under, "/")
				}
				gather(kids, n)
				prefixes = append(prefixes, n)
			}
		}
	}
	gather(of, nil)
	slices.SortStableFunc(prefixes, func(x, y *noted) int { return len(y.path) - len(x.path) })
	for _, p := range prefixes {
		for _, m := range under(p) {
			if !p.Final {
				bound := &route.HeaderMatcher{Name: pathField}
				if exact := m.GetPath(); exact != "" {
					bound.HeaderMatchSpecifier = text(whole(regexp.QuoteMeta(exact)))
				} else {
					bound.HeaderMatchSpecifier = text(&matcher.StringMatcher{MatchPattern: &matcher.StringMatcher_Prefix{Prefix: m.GetPrefix()}})
				}
				with := &route.RouteMatch{}
				with.Headers = append(t.conditions(p.Route, with), bound)
				for in := p; in != nil; in = in.parent {
					out = append(out, t.expressions(in.nested, with)...)
				}
				out = append(out, t.expressions(own, with)...)
			}
			out = append(out, t.tell(p.Route, m)...)
		}
	}
	return append(out, t.expressions(own, &route.RouteMatch{})...)
}

// expressions are routes by expression under further conditions; those nested in one go before it, bound to it.
func (t *teller) expressions(list []*config.Route, with *route.RouteMatch) (out []*route.Route) {
	for _, r := range list {
		m := &route.RouteMatch{PathSpecifier: &route.RouteMatch_SafeRegex{SafeRegex: &matcher.RegexMatcher{Regex: anywhere(r.Regex)}},
			Headers: slices.Clone(with.Headers), QueryParameters: slices.Clone(with.QueryParameters)}
		for i := range r.Routes {
			bound := &route.RouteMatch{QueryParameters: slices.Clone(with.QueryParameters)}
			bound.Headers = append(slices.Clone(with.Headers), &route.HeaderMatcher{Name: pathField, HeaderMatchSpecifier: text(whole("[^?]*?(?:" + r.Regex + ")[^?]*"))})
			bound.Headers = t.conditions(r, bound)
			out = append(out, t.expressions([]*config.Route{&r.Routes[i]}, bound)...)
		}
		out = append(out, t.tell(r, m)...)
	}
	return out
}

// isComplete matches a whole path by an expression, whatever the query behind it is.
func whole(path string) *matcher.StringMatcher {
	return &matcher.StringMatcher{MatchPattern: &matcher.StringMatcher_SafeRegex{SafeRegex: &matcher.RegexMatcher{Regex: "(?:" + path + `)(\?.*)?`}}}
}

// under are the matches of a prefix; of one that ends with a part of the path there are two, which every subscriber understands.
func under(p *noted) []*route.RouteMatch {
	prefix := func(path string) *route.RouteMatch {
		return &route.RouteMatch{PathSpecifier: &route.RouteMatch_Prefix{Prefix: path}}
	}
	if p.Under == "" || p.path == "/" {
		return []*route.RouteMatch{prefix(p.path)}
	}
	return []*route.RouteMatch{{PathSpecifier: &route.RouteMatch_Path{Path: p.path}}, prefix(p.path + "/")}
}

// anywhere has an expression match anywhere in the path, as it does here; subscribers match the whole.
func anywhere(expr string) string { return ".*?(?:" + expr + ").*" }

func text(m *matcher.StringMatcher) *route.HeaderMatcher_StringMatch {
	return &route.HeaderMatcher_StringMatch{StringMatch: m}
}

// conditions are a route's on method and fields; those on the query go into the match.
func (t *teller) conditions(r *config.Route, m *route.RouteMatch) []*route.HeaderMatcher {
	out := m.Headers
	if len(r.Methods) > 0 {
		var all []string
		for _, name := range r.Methods {
			all = append(all, regexp.QuoteMeta(name))
		}
		out = append(out, &route.HeaderMatcher{Name: ":method", HeaderMatchSpecifier: text(&matcher.StringMatcher{
			MatchPattern: &matcher.StringMatcher_SafeRegex{SafeRegex: &matcher.RegexMatcher{Regex: strings.Join(all, "|")}}})})
	}
	for _, c := range r.Fields {
		h := &route.HeaderMatcher{Name: strings.ToLower(c.Name), InvertMatch: c.Negate, HeaderMatchSpecifier: &route.HeaderMatcher_PresentMatch{PresentMatch: true}}
		if c.Value != "" {
			h.HeaderMatchSpecifier = text(value(c))
		}
		out = append(out, h)
	}
	for _, c := range r.Query {
		if c.Negate {
			t.fault = append(t.fault, fmt.Errorf("route %q: query %q: that it is not so cannot be told to subscribers", r.Name, c.Name))
			continue
		}
		q := &route.QueryParameterMatcher{Name: c.Name, QueryParameterMatchSpecifier: &route.QueryParameterMatcher_PresentMatch{PresentMatch: true}}
		if c.Value != "" {
			q.QueryParameterMatchSpecifier = &route.QueryParameterMatcher_StringMatch{StringMatch: value(c)}
		}
		m.QueryParameters = append(m.QueryParameters, q)
	}
	return out
}

func value(c config.Condition) *matcher.StringMatcher {
	if c.Regex {
		return &matcher.StringMatcher{MatchPattern: &matcher.StringMatcher_SafeRegex{SafeRegex: &matcher.RegexMatcher{Regex: anywhere(c.Value)}}}
	}
	return &matcher.StringMatcher{MatchPattern: &matcher.StringMatcher_Exact{Exact: c.Value}}
}

// tell is one route with this match.
func (t *teller) tell(r *config.Route, m *route.RouteMatch) []*route.Route {
	m.Headers = t.conditions(r, m)
	out := &route.Route{Name: r.Name, Match: m}
	var err error
	switch {
	case r.Redirect != nil:
		var to *route.RedirectAction
		if to, err = redirect(r.Redirect); err == nil {
			out.Action = &route.Route_Redirect{Redirect: to}
		}
	case r.Response != nil:
		out.Action = &route.Route_DirectResponse{DirectResponse: &route.DirectResponseAction{Status: uint32(r.Response.Status),
			Body: &core.DataSource{Specifier: &core.DataSource_InlineString{InlineString: r.Response.Body}}}}
		if r.Response.Type != "" {
			out.ResponseHeadersToAdd = []*core.HeaderValueOption{{Header: &core.HeaderValue{Key: "content-type", Value: r.Response.Type},
				AppendAction: core.HeaderValueOption_OVERWRITE_IF_EXISTS_OR_ADD}}
		}
	default:
		var to *route.RouteAction
		if to, err = t.onward(r); err == nil {
			out.Action = &route.Route_Route{Route: to}
		}
	}
	if err != nil {
		err = fmt.Errorf("route %q: %w", r.Name, err)
		if !slices.ContainsFunc(t.fault, func(e error) bool { return e.Error() == err.Error() }) { // told once for all hosts and prefixes
			t.fault = append(t.fault, err)
		}
		return nil
	}
	if len(r.Limits) > 0 {
		if line := fmt.Sprintf("route %q: limits are not told: subscribers keep none", r.Name); !slices.Contains(t.left, line) {
			t.left = append(t.left, line)
		}
	}
	return []*route.Route{out}
}

// onward is where a route's requests go.
func (t *teller) onward(r *config.Route) (*route.RouteAction, error) {
	a := &route.RouteAction{}
	if r.Pool != "" {
		a.ClusterSpecifier = &route.RouteAction_Cluster{Cluster: r.Pool}
	} else {
		w := &route.WeightedCluster{}
		sum := 0.0
		for _, s := range r.Split {
			sum += s.Weight
		}
		for _, s := range r.Split {
			w.Clusters = append(w.Clusters, &route.WeightedCluster_ClusterWeight{Name: s.Pool, Weight: wrapperspb.UInt32(uint32(s.Weight/sum*millionth + .5))})
		}
		a.ClusterSpecifier = &route.RouteAction_WeightedClusters{WeightedClusters: w}
	}
	switch {
	case r.Rewrite == "":
	case r.Regex == "":
		a.PrefixRewrite = r.Rewrite
	default:
		to, err := substitute(r.Regex, r.Rewrite)
		if err != nil {
			return nil, err
		}
		a.RegexRewrite = &matcher.RegexMatchAndSubstitute{Pattern: &matcher.RegexMatcher{Regex: anywhere(r.Regex)}, Substitution: to}
	}
	for _, x := range t.setup.Classes {
		if x.Name == r.Class {
			a.Timeout = durationpb.New(time.Duration(x.Deadline * float64(time.Second)))
			a.MaxStreamDuration = &route.RouteAction_MaxStreamDuration{MaxStreamDuration: a.Timeout}
		}
	}
	rule := t.setup.RetryRule(r)
	again := &route.RetryPolicy{RetryOn: "connect-failure,refused-stream", NumRetries: wrapperspb.UInt32(1)} // these never ran
	if rule.MaxAttempts > 0 {
		again.NumRetries = wrapperspb.UInt32(uint32(rule.MaxAttempts - 1))
	}
	if len(r.Methods) > 0 && !slices.ContainsFunc(r.Methods, func(m string) bool { return rule.SafetyOf(m, false) != limits.RetryAlways }) {
		again.RetryOn += ",5xx,reset" // danger: only where every method of the route may run twice
	}
	if again.NumRetries.Value > 0 {
		a.RetryPolicy = again
	}
	return a, nil
}

// redirect is an address in the parts that subscribers put together.
func redirect(r *config.Redirect) (*route.RedirectAction, error) {
	if strings.Contains(r.To, "$") {
		return nil, fmt.Errorf("redirect to %q: captures cannot be told to subscribers", r.To)
	}
	u, err := url.Parse(r.To)
	if err != nil {
		return nil, fmt.Errorf("redirect: %w", err)
	}
	codes := map[int]route.RedirectAction_RedirectResponseCode{301: route.RedirectAction_MOVED_PERMANENTLY, 302: route.RedirectAction_FOUND,
		303: route.RedirectAction_SEE_OTHER, 307: route.RedirectAction_TEMPORARY_REDIRECT, 308: route.RedirectAction_PERMANENT_REDIRECT}
	code, ok := codes[r.Status]
	if !ok {
		return nil, fmt.Errorf("redirect with %d cannot be told to subscribers", r.Status)
	}
	a := &route.RedirectAction{ResponseCode: code, HostRedirect: u.Host, StripQuery: !r.KeepPath}
	if u.Scheme != "" {
		a.SchemeRewriteSpecifier = &route.RedirectAction_SchemeRedirect{SchemeRedirect: u.Scheme}
	}
	switch {
	case !r.KeepPath:
		a.PathRewriteSpecifier = &route.RedirectAction_PathRedirect{PathRedirect: u.RequestURI()}
	case strings.Trim(u.Path, "/") != "":
		return nil, fmt.Errorf("redirect to %q with the path kept behind it cannot be told to subscribers", r.To)
	}
	return a, nil
}

var captures = regexp.MustCompile(`\$\$|\$\{(\w+)\}|\$(\w+)`)

// substitute writes $1 and ${name} as the other form has them.
func substitute(expr, to string) (string, error) {
	re, err := regexp.Compile(expr)
	if err != nil {
		return "", err
	}
	out := captures.ReplaceAllStringFunc(strings.ReplaceAll(to, `\`, `\\`), func(one string) string {
		if one == "$$" {
			return "$"
		}
		name := strings.Trim(one, "${}")
		n, bad := strconv.Atoi(name)
		if bad != nil {
			n = re.SubexpIndex(name)
		}
		if n < 0 || n > re.NumSubexp() || n > 9 {
			err = fmt.Errorf("rewrite %q: no capture %q that can be told to subscribers", to, name)
			return ""
		}
		return `\` + strconv.Itoa(n)
	})
	return out, err
}
