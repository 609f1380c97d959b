package controlplane

import (
	"fmt"
	"regexp"
	"slices"
	"strings"
	"testing"

	listener "github.com/envoyproxy/go-control-plane/envoy/config/listener/v3"
	route "github.com/envoyproxy/go-control-plane/envoy/config/route/v3"
	matcher "github.com/envoyproxy/go-control-plane/envoy/type/matcher/v3"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"lockloom/assignment"
	"lockloom/routes"
)

// overlappingRoutes is a configuration with overlapping routes of every kind.
const overlappingRoutes = `
[[listener]]
address = "127.0.0.1:8080"
[[tariff]]
name = "t"
hard_stop = 2.0
[[pool]]
name = "p"
servers = ["127.0.0.1:9001"]
[[pool]]
name = "q"
servers = ["127.0.0.1:9002"]
backup = "p"
room = 3
[[limit]]
name = "l"
by = "all"
rate = 1.0
[[retry]]
name = "often"
freely = ["GET"]
legs = 3
[[route]]
name = "all"
prefix = "/"
pool = "p"
[[route]]
name = "shop-post"
under = "/shop"
methods = ["POST", "PUT"]
pool = "q"
[[route]]
name = "shop"
under = "/shop"
split = [{ pool = "p", weight = 1.0 }, { pool = "q", weight = 3.0 }]
limits = ["l"]
  [[route.route]]
  name = "shop-images"
  regex = '\.png$'
  pool = "q"
  [[route.route]]
  name = "shop-a"
  prefix = "/shop/a"
  pool = "p"
[[route]]
name = "kept"
prefix = "/shop/keep"
final = true
pool = "p"
methods = ["GET"]
retry = "often"
[[route]]
name = "versions"
regex = '^/v(?P<n>\d)/'
pool = "p"
rewrite = "/${n}"
fields = [{ name = "X-Beta", value = "yes" }]
  [[route.route]]
  name = "version-images"
  regex = 'gif'
  pool = "q"
[[route]]
name = "images"
regex = '\.(png|gif)'
pool = "p"
rewrite = "/img$0"
[[route]]
name = "exact"
exact = "/shop/a"
query = [{ name = "x" }]
answer = { status = 200, type = "text/plain", body = "hello" }
[[route]]
name = "host"
hosts = ["www.example.org", "*.example.org"]
prefix = "/"
redirect = { status = 301, to = "https://example.org", keep = true }
[[route]]
name = "host-shop"
hosts = ["www.example.org"]
prefix = "/shop"
pool = "p"
`

// headerFields are the header fields of a request, by name in lower case.
type headerFields map[string]string

// Get implements routes.Fields.
func (f headerFields) Get(name string) (string, bool) {
	value, ok := f[strings.ToLower(name)]
	return value, ok
}

// selectRoute returns the name of the route that a subscriber selects: the first that matches, in the virtual host that
// matches best. It is written from the xDS specification, not from the code under test.
func selectRoute(table *route.RouteConfiguration, request *routes.Request) string {
	host := selectHost(table, request.Host)
	if host == nil {
		return ""
	}
	for _, candidate := range host.Routes {
		if matchesPath(candidate.Match, request.Path) && matchesHeaders(candidate.Match, request) &&
			matchesQuery(candidate.Match, request.Query) {
			return candidate.Name
		}
	}
	return ""
}

// selectHost prefers a domain without a wildcard, then the longest one with a wildcard, then "*".
func selectHost(table *route.RouteConfiguration, host string) (best *route.VirtualHost) {
	bestRank := 0
	for _, candidate := range table.VirtualHosts {
		for _, domain := range candidate.Domains {
			rank := 0
			switch {
			case domain == host:
				rank = 4000
			case domain == "*":
				rank = 1
			case strings.HasPrefix(domain, "*") && strings.HasSuffix(host, domain[1:]) && len(host) >= len(domain):
				rank = 2000 + len(domain)
			}
			if rank > bestRank {
				best, bestRank = candidate, rank
			}
		}
	}
	return best
}

func matchesPath(match *route.RouteMatch, path string) bool {
	switch specifier := match.PathSpecifier.(type) {
	case *route.RouteMatch_Path:
		return specifier.Path == path
	case *route.RouteMatch_Prefix:
		return strings.HasPrefix(path, specifier.Prefix)
	case *route.RouteMatch_SafeRegex:
		return matchesRegex(specifier.SafeRegex.Regex, path)
	}
	return false
}

func matchesHeaders(match *route.RouteMatch, request *routes.Request) bool {
	target := request.Path
	if request.Query != "" {
		target += "?" + request.Query
	}
	pseudoHeaders := map[string]string{":method": request.Method, ":path": target}
	for _, header := range match.Headers {
		value, ok := pseudoHeaders[header.Name], true
		if !strings.HasPrefix(header.Name, ":") {
			value, ok = request.Fields.Get(header.Name)
		}
		if expected := header.GetStringMatch(); expected != nil {
			ok = ok && matchesString(expected, value)
		}
		if ok == header.InvertMatch {
			return false
		}
	}
	return true
}

func matchesQuery(match *route.RouteMatch, query string) bool {
	for _, parameter := range match.QueryParameters {
		if !strings.Contains("&"+query, "&"+parameter.Name+"=") {
			return false
		}
	}
	return true
}

func matchesString(expected *matcher.StringMatcher, value string) bool {
	switch pattern := expected.MatchPattern.(type) {
	case *matcher.StringMatcher_Exact:
		return pattern.Exact == value
	case *matcher.StringMatcher_Prefix:
		return strings.HasPrefix(value, pattern.Prefix)
	case *matcher.StringMatcher_SafeRegex:
		return matchesRegex(pattern.SafeRegex.Regex, value)
	}
	panic("unknown pattern")
}

// matchesRegex reports whether a regex matches the whole of a value.
func matchesRegex(expr, value string) bool {
	return regexp.MustCompile("^(?:" + expr + ")$").MatchString(value)
}

func allRoutes(t *testing.T, resources *resourceSet) *route.RouteConfiguration {
	t.Helper()
	table := &route.RouteConfiguration{}
	require.NoError(t, resources[typeRoute][allRoutesName].body.UnmarshalTo(table))
	return table
}

// requestsTo returns requests with all combinations of the properties that overlappingRoutes match.
func requestsTo(host string) (requests []*routes.Request) {
	paths := []string{"/", "/shop", "/shop/", "/shop/a", "/shop/ab", "/shopping", "/shop/keep", "/shop/keep/x.png",
		"/shop/x.png", "/shop/x.gif", "/x.png", "/x.png/y", "/v1/x", "/av1/x", "/v2/x.gif", "/v2/.png",
		"/shop/a/v1/.png"}
	for _, method := range []string{"GET", "POST", "PUT", "DELETE"} {
		for _, path := range paths {
			for _, query := range []string{"", "x=1", "y=1&x=", "xx=gif"} {
				for _, fields := range []headerFields{{}, {"x-beta": "yes"}, {"x-beta": "yes and no"}} {
					requests = append(requests,
						&routes.Request{Host: host, Method: method, Path: path, Query: query, Fields: fields})
				}
			}
		}
	}
	return requests
}

// Guards against a route order in which subscribers, which use the first match, select another route than lockloom does
// by its own precedence.
func TestSubscribersSelectTheSameRoute(t *testing.T) {
	configured := parseConfig(t, overlappingRoutes)
	all, warnings, err := staticResources(configured)
	require.NoError(t, err)
	assert.Len(t, warnings, 2, "a capacity and a limit are not sent")
	table := allRoutes(t, &all)
	selected := map[string]int{}
	for _, host := range []string{"www.example.org", "a.example.org", "example.org", "other"} {
		for _, request := range requestsTo(host) {
			match, ok := configured.RouteTable.Match(request)
			want := ""
			if ok {
				want = match.Route.Name
			}
			selected[want]++
			assert.Equal(t, want, selectRoute(table, request), "%+v", request)
		}
	}
	assert.Len(t, selected, 12, "every route was selected: %v", selected)
}

func TestStaticResources(t *testing.T) {
	all, _, err := staticResources(parseConfig(t, overlappingRoutes))
	require.NoError(t, err)
	names := func(kind resourceType, onDemand bool) (names []string) {
		for name, r := range all[kind] {
			if r.onDemand == onDemand {
				names = append(names, name)
			}
		}
		slices.Sort(names)
		return names
	}
	assert.Equal(t, []string{"p", "q"}, names(typeCluster, false))
	assert.Equal(t, []string{"listener/127.0.0.1:8080"}, names(typeListener, false), "listeners of proxies")
	assert.Equal(t, []string{"pool/p", "pool/q", "www.example.org"}, names(typeListener, true),
		"listeners of clients that are not proxies")
	poolListener := &listener.Listener{}
	require.NoError(t, all[typeListener]["pool/q"].body.UnmarshalTo(poolListener))
	assert.NotNil(t, poolListener.ApiListener)
	again, _, err := staticResources(parseConfig(t, overlappingRoutes))
	require.NoError(t, err)
	for kind := range all {
		for name, r := range all[kind] {
			assert.Equal(t, r.version, again[kind][name].version, "the same content has the same version")
		}
	}
	restricted := restrictToPools(all, []string{"p"})
	assert.NotContains(t, restricted[typeCluster], "q")
	assert.NotContains(t, restricted[typeListener], "pool/q")
	text := fmt.Sprint(proto.MarshalOptions{}.Marshal(allRoutes(t, &restricted)))
	assert.NotContains(t, allRoutes(t, &restricted).String(), `"q"`, text)
	assert.Contains(t, allRoutes(t, &all).String(), `"q"`)
}

func TestRouteActions(t *testing.T) {
	all, _, err := staticResources(parseConfig(t, overlappingRoutes))
	require.NoError(t, err)
	byName := map[string]*route.Route{}
	for _, host := range allRoutes(t, &all).VirtualHosts {
		for _, r := range host.Routes {
			byName[r.Name] = r
		}
	}
	assert.Equal(t, "connect-failure,refused-stream", byName["all"].GetRoute().RetryPolicy.RetryOn,
		"without a list of methods only requests that never ran are retried")
	kept := byName["kept"].GetRoute().RetryPolicy
	assert.Equal(t, "connect-failure,refused-stream,5xx,reset", kept.RetryOn)
	assert.EqualValues(t, 2, kept.NumRetries.Value)
	assert.Equal(t, `/\1`, byName["versions"].GetRoute().RegexRewrite.Substitution)
	assert.Equal(t, 2.0, byName["all"].GetRoute().Timeout.AsDuration().Seconds())
	assert.EqualValues(t, 750_000, byName["shop"].GetRoute().GetWeightedClusters().Clusters[1].Weight.Value)
	assert.Equal(t, "https", byName["host"].GetRedirect().GetSchemeRedirect())
}

const oneRouteConfig = `[[tariff]]
name = "t"
hard_stop = 2.0
[[pool]]
name = "p"
servers = ["127.0.0.1:9001"]
[[route]]
name = "r"
`

// A route that cannot be expressed in xDS is rejected with an error that names the route.
func TestInexpressibleRoutesAreRejected(t *testing.T) {
	for settings, want := range map[string]string{
		`regex = "a(b)"` + "\n" + `redirect = { status = 301, to = "/$1" }`: `route "r": redirect to "/$1": captures`,
		`prefix = "/"` + "\n" + `redirect = { status = 301, to = "http://x/y", keep = true }`: `route "r": redirect to ` +
			`"http://x/y" with the path`,
		`prefix = "/"` + "\n" + `pool = "p"` + "\n" + `query = [{ name = "x", value = "1", not = true }]`: `route "r": ` +
			`query "x"`,
	} {
		_, _, err := staticResources(parseConfig(t, oneRouteConfig+settings))
		assert.ErrorContains(t, err, want)
	}
}

func TestLoadAssignment(t *testing.T) {
	server := func(name, zone string, health assignment.Health, weight, priority int) assignment.Server {
		estimate := assignment.ServerEstimate{Name: name, Zone: zone, Addr: "10.0.0.1:80"}
		return assignment.Server{ServerEstimate: estimate, Health: health, Weight: weight, Priority: priority}
	}
	message := loadAssignment("p", []assignment.Assignment{
		{Drop: .25, Servers: []assignment.Server{
			server("a", "z", assignment.Healthy, 7000, 0),
			server("b", "y", assignment.Draining, 1, 1),
			server("c", "z", assignment.Unhealthy, 1, 0),
		}},
		{Servers: []assignment.Server{server("d", "z", assignment.Healthy, 10000, 0)}},
	})
	var got []string
	for _, l := range message.Endpoints {
		got = append(got, fmt.Sprint(l.Locality.Zone, "/", l.Locality.SubZone, " ", l.Priority, " ",
			l.LoadBalancingWeight.GetValue(), " ", l.LbEndpoints[0].HealthStatus))
	}
	want := []string{"z/a 0 7000 HEALTHY", "y/b 1 0 DRAINING", "z/c 0 0 UNHEALTHY", "z/d 2 10000 HEALTHY"}
	assert.Equal(t, want, got)
	assert.EqualValues(t, 250_000, message.Policy.DropOverloads[0].DropPercentage.Numerator)
}
