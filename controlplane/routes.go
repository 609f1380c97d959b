package controlplane

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	core "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	route "github.com/envoyproxy/go-control-plane/envoy/config/route/v3"
	"google.golang.org/protobuf/types/known/anypb"
	"google.golang.org/protobuf/types/known/durationpb"
	"google.golang.org/protobuf/types/known/wrapperspb"

	"lockloom/internal/config"
	"lockloom/limits"
)

// maxHostRoutes limits the routes sent for one host. Their number can far exceed that of the configured routes, because
// a regex route is copied for each prefix route that must be tried after it.
const maxHostRoutes = 10_000

// The conditions of a retry policy: failures after which the server cannot have processed the request, and the
// additional ones after which it might have.
const (
	retryNotProcessed   = "connect-failure,refused-stream"
	retryMaybeProcessed = ",5xx,reset"
)

// poolRouteTable returns a route table that routes all requests to one pool.
func poolRouteTable(name, pool string) *route.RouteConfiguration {
	return &route.RouteConfiguration{
		Name: name,
		VirtualHosts: []*route.VirtualHost{{
			Name:    "all",
			Domains: []string{"*"},
			Routes: []*route.Route{{
				Match: prefixMatch(""),
				Action: &route.Route_Route{Route: &route.RouteAction{
					ClusterSpecifier: &route.RouteAction_Cluster{Cluster: pool},
				}},
			}},
		}},
	}
}

// restrictRoutes returns a copy of an encoded route table without the routes that use any pool that is not listed, or
// nil if the table cannot be decoded.
func restrictRoutes(table *anypb.Any, pools []string) *route.RouteConfiguration {
	restricted := &route.RouteConfiguration{}
	if table.UnmarshalTo(restricted) != nil {
		return nil
	}
	isHidden := func(r *route.Route) bool {
		action := r.GetRoute()
		if cluster := action.GetCluster(); cluster != "" && !slices.Contains(pools, cluster) {
			return true
		}
		return slices.ContainsFunc(action.GetWeightedClusters().GetClusters(),
			func(c *route.WeightedCluster_ClusterWeight) bool { return !slices.Contains(pools, c.Name) })
	}
	for _, host := range restricted.VirtualHosts {
		host.Routes = slices.DeleteFunc(host.Routes, isHidden)
	}
	return restricted
}

// routeTranslator translates the configured routes to xDS routes. Subscribers use the first route that matches.
type routeTranslator struct {
	config   *config.Config
	warnings []string // one for each setting that is not sent to subscribers
	errs     []error
}

// virtualHosts returns the virtual hosts, in the order in which the configuration first names them.
func (t *routeTranslator) virtualHosts() ([]*route.VirtualHost, error) {
	routesOf := map[string][]*config.Route{}
	var order []string
	for i := range t.config.Routes {
		configured := &t.config.Routes[i]
		names := configured.Hosts
		if len(names) == 0 {
			names = []string{"*"}
		}
		for _, name := range names {
			if routesOf[name] == nil {
				order = append(order, name)
			}
			routesOf[name] = append(routesOf[name], configured)
		}
	}
	var hosts []*route.VirtualHost
	for _, name := range order {
		host := &route.VirtualHost{
			Name:    name,
			Domains: []string{strings.ToLower(name)},
			Routes:  t.hostRoutes(routesOf[name]),
		}
		if len(host.Routes) > maxHostRoutes {
			t.errs = append(t.errs, fmt.Errorf("host %q: %d routes exceed the limit of %d: a regex is sent once for each prefix",
				name, len(host.Routes), maxHostRoutes))
		}
		hosts = append(hosts, host)
	}
	return hosts, errors.Join(t.errs...)
}

// hostRoutes orders one host's routes so that the first match is the route that package routes selects: exact paths;
// then prefixes, the longest first, each preceded by copies of the regex routes that are tried before it, which match
// only paths with that prefix; then the regex routes themselves.
func (t *routeTranslator) hostRoutes(configured []*config.Route) (translated []*route.Route) {
	var sorted routesByMatch
	sorted.add(configured, nil)
	for _, exact := range sorted.exact {
		translated = append(translated, t.translate(exact, exactMatch(exact.Exact))...)
	}
	slices.SortStableFunc(sorted.prefixes, func(a, b *prefixRoute) int { return len(b.path) - len(a.path) })
	for _, prefix := range sorted.prefixes {
		for _, match := range prefix.matches() {
			if !prefix.Final {
				translated = append(translated, t.regexesBefore(prefix, match, sorted.regexes)...)
			}
			translated = append(translated, t.translate(prefix.Route, match)...)
		}
	}
	return append(translated, t.regexRoutes(sorted.regexes, &route.RouteMatch{})...)
}

// regexesBefore returns copies of the regex routes that are tried before a prefix route: those nested in it and in its
// ancestors, and the top-level ones (regexes). Each copy also requires the prefix route's conditions and the given one
// of its matches.
func (t *routeTranslator) regexesBefore(
	prefix *prefixRoute, match *route.RouteMatch, regexes []*config.Route,
) (translated []*route.Route) {
	conditions := &route.RouteMatch{}
	t.addConditions(prefix.Route, conditions)
	conditions.Headers = append(conditions.Headers, pathCondition(match))
	for parent := prefix; parent != nil; parent = parent.parent {
		translated = append(translated, t.regexRoutes(parent.nestedRegexes, conditions)...)
	}
	return append(translated, t.regexRoutes(regexes, conditions)...)
}

// regexRoutes translates regex routes and adds conditions to their matches. The routes nested in a regex route precede
// it, and their matches also require its conditions and that its regex matches the path.
func (t *routeTranslator) regexRoutes(
	configured []*config.Route, conditions *route.RouteMatch,
) (translated []*route.Route) {
	for _, regexRoute := range configured {
		match := regexMatch(regexRoute.Regex)
		match.Headers = slices.Clone(conditions.Headers)
		match.QueryParameters = slices.Clone(conditions.QueryParameters)
		for i := range regexRoute.Routes {
			nested := &route.RouteMatch{QueryParameters: slices.Clone(conditions.QueryParameters)}
			nested.Headers = append(slices.Clone(conditions.Headers), pathContains(regexRoute.Regex))
			t.addConditions(regexRoute, nested)
			translated = append(translated, t.regexRoutes([]*config.Route{&regexRoute.Routes[i]}, nested)...)
		}
		translated = append(translated, t.translate(regexRoute, match)...)
	}
	return translated
}

// translate returns a route with its conditions added to a match. If the route cannot be expressed in xDS, it records
// an error and returns no route.
func (t *routeTranslator) translate(configured *config.Route, match *route.RouteMatch) []*route.Route {
	t.addConditions(configured, match)
	translated := &route.Route{Name: configured.Name, Match: match}
	if err := t.setAction(translated, configured); err != nil {
		t.reportOnce(fmt.Errorf("route %q: %w", configured.Name, err))
		return nil
	}
	if len(configured.Limits) > 0 {
		warning := fmt.Sprintf("route %q: limits are not sent to subscribers, which enforce none", configured.Name)
		if !slices.Contains(t.warnings, warning) {
			t.warnings = append(t.warnings, warning)
		}
	}
	return []*route.Route{translated}
}

// reportOnce records an error, unless the same error is already recorded for another host or prefix.
func (t *routeTranslator) reportOnce(err error) {
	if !slices.ContainsFunc(t.errs, func(reported error) bool { return reported.Error() == err.Error() }) {
		t.errs = append(t.errs, err)
	}
}

// setAction sets what a route does with a request.
func (t *routeTranslator) setAction(translated *route.Route, configured *config.Route) error {
	switch {
	case configured.Redirect != nil:
		redirect, err := redirectAction(configured.Redirect)
		if err != nil {
			return err
		}
		translated.Action = &route.Route_Redirect{Redirect: redirect}
	case configured.Response != nil:
		setDirectResponse(translated, configured.Response)
	default:
		action, err := t.routeAction(configured)
		if err != nil {
			return err
		}
		translated.Action = &route.Route_Route{Route: action}
	}
	return nil
}

func setDirectResponse(translated *route.Route, configured *config.FixedResponse) {
	translated.Action = &route.Route_DirectResponse{DirectResponse: &route.DirectResponseAction{
		Status: uint32(configured.Status),
		Body:   &core.DataSource{Specifier: &core.DataSource_InlineString{InlineString: configured.Body}},
	}}
	if configured.Type == "" {
		return
	}
	translated.ResponseHeadersToAdd = []*core.HeaderValueOption{{
		Header:       &core.HeaderValue{Key: "content-type", Value: configured.Type},
		AppendAction: core.HeaderValueOption_OVERWRITE_IF_EXISTS_OR_ADD,
	}}
}

// routeAction returns the action of a route that sends requests to pools.
func (t *routeTranslator) routeAction(configured *config.Route) (*route.RouteAction, error) {
	action := &route.RouteAction{}
	if configured.Pool != "" {
		action.ClusterSpecifier = &route.RouteAction_Cluster{Cluster: configured.Pool}
	} else {
		action.ClusterSpecifier = &route.RouteAction_WeightedClusters{WeightedClusters: weightedClusters(configured.Split)}
	}
	if err := setRewrite(action, configured); err != nil {
		return nil, err
	}
	t.setDeadline(action, configured.Class)
	action.RetryPolicy = t.retryPolicy(configured)
	return action, nil
}

func weightedClusters(split []config.WeightedPool) *route.WeightedCluster {
	sum := 0.0
	for _, pool := range split {
		sum += pool.Weight
	}
	clusters := &route.WeightedCluster{}
	for _, pool := range split {
		clusters.Clusters = append(clusters.Clusters, &route.WeightedCluster_ClusterWeight{
			Name:   pool.Pool,
			Weight: wrapperspb.UInt32(uint32(pool.Weight/sum*partsPerMillion + .5)),
		})
	}
	return clusters
}

// setDeadline sets the deadline of a request class as both the timeout of requests and the maximum duration of streams.
func (t *routeTranslator) setDeadline(action *route.RouteAction, className string) {
	for i := range t.config.Classes {
		class := &t.config.Classes[i]
		if class.Name != className {
			continue
		}
		action.Timeout = durationpb.New(time.Duration(class.Deadline * float64(time.Second)))
		action.MaxStreamDuration = &route.RouteAction_MaxStreamDuration{MaxStreamDuration: action.Timeout}
	}
}

// retryPolicy returns the conditions under which a subscriber retries a request, or nil if it never does. A request
// that the server might have processed is retried only if all methods of the route are idempotent.
func (t *routeTranslator) retryPolicy(configured *config.Route) *route.RetryPolicy {
	rule := t.config.RetryRule(configured)
	retries := uint32(1)
	if rule.MaxAttempts > 0 {
		retries = uint32(rule.MaxAttempts - 1)
	}
	if retries == 0 {
		return nil
	}
	policy := &route.RetryPolicy{RetryOn: retryNotProcessed, NumRetries: wrapperspb.UInt32(retries)}
	isNotIdempotent := func(method string) bool { return rule.SafetyOf(method, false) != limits.RetryAlways }
	if len(configured.Methods) > 0 && !slices.ContainsFunc(configured.Methods, isNotIdempotent) {
		policy.RetryOn += retryMaybeProcessed
	}
	return policy
}
