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
	"lockloom/internal/config"
	"lockloom/routes"
)

// overlappingRoutes is routes of every kind that get into each other's way.
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

func parseConfig(t testing.TB, text string) *config.Config {
	s, faults := config.Read("test.toml", []byte(text))
	require.Empty(t, faults)
	return s
}

// headerFields are a request's for routes.
type headerFields map[string]string

func (f headerFields) Get(name string) (string, bool) {
	v, ok := f[strings.ToLower(name)]
	return v, ok
}

// selectRoute is the route that a subscriber would choose by what it is told: the first that matches, in the host that matches best. It is
// written from the published protocol alone.
func selectRoute(table *route.RouteConfiguration, host, method, path, query string, f headerFields) string {
	var best *route.VirtualHost
	grade := 0
	for _, h := range table.VirtualHosts {
		for _, d := range h.Domains {
			g := 0
			switch {
			case d == host:
				g = 4000
			case d == "*":
				g = 1
			case strings.HasPrefix(d, "*") && strings.HasSuffix(host, d[1:]) && len(host) >= len(d):
				g = 2000 + len(d)
			}
			if g > grade {
				best, grade = h, g
			}
		}
	}
	if best == nil {
		return ""
	}
	whole := func(expr, s string) bool { return regexp.MustCompile("^(?:" + expr + ")$").MatchString(s) }
	is := func(m *matcher.StringMatcher, s string) bool {
		switch p := m.MatchPattern.(type) {
		case *matcher.StringMatcher_Exact:
			return p.Exact == s
		case *matcher.StringMatcher_Prefix:
			return strings.HasPrefix(s, p.Prefix)
		case *matcher.StringMatcher_SafeRegex:
			return whole(p.SafeRegex.Regex, s)
		}
		panic("unknown")
	}
	full := path
	if query != "" {
		full += "?" + query
	}
	for _, r := range best.Routes {
		ok := false
		switch p := r.Match.PathSpecifier.(type) {
		case *route.RouteMatch_Path:
			ok = p.Path == path
		case *route.RouteMatch_Prefix:
			ok = strings.HasPrefix(path, p.Prefix)
		case *route.RouteMatch_SafeRegex:
			ok = whole(p.SafeRegex.Regex, path)
		}
		for _, h := range r.Match.Headers {
			v, there := map[string]string{":method": method, ":path": full}[h.Name], true
			if !strings.HasPrefix(h.Name, ":") {
				v, there = f.Get(h.Name)
			}
			if m := h.GetStringMatch(); m != nil {
				there = there && is(m, v)
			}
			ok = ok && there != h.InvertMatch
		}
		for _, q := range r.Match.QueryParameters {
			ok = ok && strings.Contains("&"+query, "&"+q.Name+"=")
		}
		if ok {
			return r.Name
		}
	}
	return ""
}

func routeTable(t testing.TB, s *resourceSet, name string) *route.RouteConfiguration {
	out := &route.RouteConfiguration{}
	require.NoError(t, s[typeRoute][name].body.UnmarshalTo(out))
	return out
}

// Every subscriber chooses the route that lockloom itself would, though its rule is another: the first match.
func TestSubscribersSelectTheSameRoute(t *testing.T) {
	s := parseConfig(t, overlappingRoutes)
	all, left, err := staticResources(s)
	require.NoError(t, err)
	assert.Len(t, left, 2, "a room and a limit cannot be told")
	table := routeTable(t, &all, allRoutesName)
	met := map[string]int{}
	for _, host := range []string{"www.example.org", "a.example.org", "example.org", "other"} {
		for _, method := range []string{"GET", "POST", "PUT", "DELETE"} {
			for _, path := range []string{"/", "/shop", "/shop/", "/shop/a", "/shop/ab", "/shopping", "/shop/keep", "/shop/keep/x.png", "/shop/x.png", "/shop/x.gif",
				"/x.png", "/x.png/y", "/v1/x", "/av1/x", "/v2/x.gif", "/v2/.png", "/shop/a/v1/.png"} {
				for _, query := range []string{"", "x=1", "y=1&x=", "xx=gif"} {
					for _, f := range []headerFields{{}, {"x-beta": "yes"}, {"x-beta": "yes and no"}} {
						m, ok := s.RouteTable.Match(&routes.Request{Host: host, Method: method, Path: path, Query: query, Fields: f})
						want := ""
						if ok {
							want = m.Route.Name
						}
						met[want]++
						assert.Equal(t, want, selectRoute(table, host, method, path, query, f), "%s %s%s?%s %v", method, host, path, query, f)
					}
				}
			}
		}
	}
	assert.Len(t, met, 12, "every route was met: %v", met)
}

func TestStaticResources(t *testing.T) {
	s := parseConfig(t, overlappingRoutes)
	all, _, err := staticResources(s)
	require.NoError(t, err)
	names := func(kind resourceType, named bool) (out []string) {
		for name, r := range all[kind] {
			if r.onDemand == named {
				out = append(out, name)
			}
		}
		slices.Sort(out)
		return out
	}
	assert.Equal(t, []string{"p", "q"}, names(typeCluster, false))
	assert.Equal(t, []string{"listener/127.0.0.1:8080"}, names(typeListener, false), "those that listen")
	assert.Equal(t, []string{"pool/p", "pool/q", "www.example.org"}, names(typeListener, true), "and those of clients that are no proxies")
	l := &listener.Listener{}
	require.NoError(t, all[typeListener]["pool/q"].body.UnmarshalTo(l))
	assert.NotNil(t, l.ApiListener)
	by := map[string]*route.Route{}
	for _, h := range routeTable(t, &all, allRoutesName).VirtualHosts {
		for _, r := range h.Routes {
			by[r.Name] = r
		}
	}
	assert.Equal(t, "connect-failure,refused-stream", by["all"].GetRoute().RetryPolicy.RetryOn, "any method: only what never ran")
	assert.Equal(t, "connect-failure,refused-stream,5xx,reset", by["kept"].GetRoute().RetryPolicy.RetryOn)
	assert.EqualValues(t, 2, by["kept"].GetRoute().RetryPolicy.NumRetries.Value)
	assert.Equal(t, `/\1`, by["versions"].GetRoute().RegexRewrite.Substitution)
	assert.Equal(t, 2.0, by["all"].GetRoute().Timeout.AsDuration().Seconds())
	assert.EqualValues(t, 750_000, by["shop"].GetRoute().GetWeightedClusters().Clusters[1].Weight.Value)
	assert.Equal(t, "https", by["host"].GetRedirect().GetSchemeRedirect())
	again, _, _ := staticResources(parseConfig(t, overlappingRoutes))
	for kind := range all {
		for name, r := range all[kind] {
			assert.Equal(t, r.version, again[kind][name].version, "what says the same has the same version")
		}
	}
	less := restrictToPools(all, []string{"p"})
	assert.NotContains(t, less[typeCluster], "q")
	assert.NotContains(t, less[typeListener], "pool/q")
	text := fmt.Sprint(proto.MarshalOptions{}.Marshal(routeTable(t, &less, allRoutesName)))
	assert.NotContains(t, routeTable(t, &less, allRoutesName).String(), `"q"`, text)
	assert.Contains(t, routeTable(t, &all, allRoutesName).String(), `"q"`)
}

// What subscribers cannot be told is refused with its route, not told by half.
func TestInexpressibleRoutesAreRejected(t *testing.T) {
	for route, says := range map[string]string{
		`regex = "a(b)"` + "\nredirect = { status = 301, to = \"/$1\" }":                      `route "r": redirect to "/$1": captures`,
		"prefix = \"/\"\nredirect = { status = 301, to = \"http://x/y\", keep = true }":       `route "r": redirect to "http://x/y" with the path`,
		"prefix = \"/\"\npool = \"p\"\nquery = [{ name = \"x\", value = \"1\", not = true }]": `route "r": query "x"`,
	} {
		s := parseConfig(t, "[[tariff]]\nname = \"t\"\nhard_stop = 2.0\n[[pool]]\nname = \"p\"\nservers = [\"127.0.0.1:9001\"]\n[[route]]\nname = \"r\"\n"+route)
		_, _, err := staticResources(s)
		assert.ErrorContains(t, err, says)
	}
}

func TestLoadAssignment(t *testing.T) {
	server := func(name, zone string, h assignment.Health, weight, priority int) assignment.Server {
		return assignment.Server{ServerEstimate: assignment.ServerEstimate{Name: name, Zone: zone, Addr: "10.0.0.1:80"}, Health: h, Weight: weight, Priority: priority}
	}
	out := loadAssignment("p", []assignment.Assignment{
		{Drop: .25, Servers: []assignment.Server{server("a", "z", assignment.Healthy, 7000, 0), server("b", "y", assignment.Draining, 1, 1), server("c", "z", assignment.Unhealthy, 1, 0)}},
		{Servers: []assignment.Server{server("d", "z", assignment.Healthy, 10000, 0)}}})
	var got []string
	for _, l := range out.Endpoints {
		got = append(got, fmt.Sprint(l.Locality.Zone, "/", l.Locality.SubZone, " ", l.Priority, " ", l.LoadBalancingWeight.GetValue(), " ", l.LbEndpoints[0].HealthStatus))
	}
	assert.Equal(t, []string{"z/a 0 7000 HEALTHY", "y/b 1 0 DRAINING", "z/c 0 0 UNHEALTHY", "z/d 2 10000 HEALTHY"}, got)
	assert.EqualValues(t, 250_000, out.Policy.DropOverloads[0].DropPercentage.Numerator)
}
