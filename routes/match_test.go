package routes

import (
	"fmt"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const testPool = "p"

func toPool() Action { return Action{Pools: []WeightedPool{{testPool, 1}}} }

func toPoolRewritten(rewrite string) Action {
	action := toPool()
	action.Rewrite = rewrite
	return action
}

func redirectTo(redirect Redirect) Action { return Action{Redirect: &redirect} }

type testFields map[string]string

func (f testFields) Get(name string) (string, bool) {
	value, present := f[strings.ToLower(name)]
	return value, present
}

func matchTable(t *testing.T) *Table {
	t.Helper()
	innerPHP := Route{Name: "inner-php", Kind: Regex, Path: `\.php$`, Action: toPool()}
	inner := Route{Name: "inner", Path: "/site/deep/", Action: toPool(), Nested: []Route{innerPHP}}
	outerGIF := Route{Name: "outer-gif", Kind: Regex, Path: `\.gif$`, Action: toPool()}
	isBeta := []Condition{{Name: "X-Beta", Value: "1"}}
	isNotOld := []Condition{{Name: "old", Negate: true}}
	moved := Redirect{Status: 301, To: "https://new.example.org/", KeepPath: true}
	table, err := Compile([]Route{
		{Name: "root", Path: "/", Action: toPool()},
		{Name: "exact", Kind: Exact, Path: "/sign", Action: toPool()},
		{Name: "under", Kind: Segments, Path: "/api", Action: toPoolRewritten("/v2")},
		{Name: "final", Path: "/static/", Final: true, Action: toPool()},
		{Name: "outer", Path: "/site/", Action: toPool(), Nested: []Route{inner, outerGIF}},
		{Name: "gif", Kind: Regex, Path: `\.gif$`, Action: toPool()},
		{Name: "php", Kind: Regex, Path: `^/(?<app>\w+)/(.*)\.php$`, Action: toPoolRewritten("/run/${app}/$2")},
		{Name: "post", Kind: Exact, Path: "/both", Methods: []string{"POST"}, Action: toPool()},
		{Name: "any", Kind: Exact, Path: "/both", Action: toPool()},
		{Name: "beta", Path: "/app/", Fields: isBeta, Query: isNotOld, Action: toPool()},
		{Name: "app", Path: "/app", Action: toPool()},
		{Name: "named", Hosts: []string{"a.example.org"}, Path: "/", Action: toPool()},
		{Name: "wild", Hosts: []string{"*.example.org", "example.*"}, Path: "/", Action: toPool()},
		{Name: "wilder", Hosts: []string{"*.b.example.org"}, Path: "/only", Action: toPool()},
		{Name: "moved", Path: "/old/", Action: redirectTo(moved)},
		{Name: "gone", Kind: Regex, Path: `^/gone/(\d+)`, Action: redirectTo(Redirect{Status: 302, To: "/found?n=$1"})},
	})
	require.NoError(t, err)
	return table
}

func TestMatch(t *testing.T) {
	table := matchTable(t)
	// field is the value of X-Beta. forwardedTo is the upstream path or the redirect's location; empty: not checked.
	for _, c := range []struct{ host, method, target, field, want, forwardedTo string }{
		{"", "GET", "/", "", "root", "/"},
		{"", "GET", "/sign", "", "exact", "/sign"},
		{"", "GET", "/sign/", "", "root", "/sign/"},
		{"", "GET", "/api", "", "under", "/v2"},
		{"", "GET", "/api/x", "", "under", "/v2/x"},
		{"", "GET", "/apix", "", "root", "/apix"},
		{"", "GET", "/static/a.gif", "", "final", ""},
		{"", "GET", "/x/a.gif", "", "gif", ""},
		{"", "GET", "/site/a.gif", "", "outer-gif", ""},
		{"", "GET", "/site/deep/a.gif", "", "outer-gif", ""},
		{"", "GET", "/site/deep/a.php", "", "inner-php", ""},
		{"", "GET", "/site/a.php", "", "php", "/run/site/a"},
		{"", "GET", "/site/a", "", "outer", ""},
		{"", "GET", "/x/y/z.php", "", "php", "/run/x/y/z"},
		{"", "GET", "/both", "", "any", ""},
		{"", "POST", "/both", "", "post", ""},
		{"", "GET", "/app/x", "1", "beta", ""},
		{"", "GET", "/app/x", "2", "app", ""},
		{"", "GET", "/app/x?old=", "1", "app", ""},
		{"a.example.org", "GET", "/sign", "", "named", ""},
		{"A.Example.org.:80", "GET", "/sign", "", "named", ""},
		{"c.example.org", "GET", "/x", "", "wild", ""},
		{"example.net", "GET", "/x", "", "wild", ""},
		{"x.b.example.org", "GET", "/only", "", "wilder", ""},
		{"x.b.example.org", "GET", "/x", "", "", ""}, // the host has routes, so the default host's are not tried
		{"example.org", "GET", "/x", "", "wild", ""}, // matches example.*
		{"other", "GET", "/old/a?b=1", "", "moved", "https://new.example.org/old/a?b=1"},
		{"other", "GET", "/gone/12", "", "gone", "/found?n=12"},
	} {
		_, path, query, err := ParseTarget(c.target)
		require.NoError(t, err)
		request := Request{Host: NormalizeHost(c.host), Method: c.method, Path: path, Query: query}
		if c.field != "" {
			request.Fields = testFields{"x-beta": c.field}
		}
		match, ok := table.Match(&request)
		if assert.Equal(t, c.want != "", ok, c.target); !ok {
			continue
		}
		assert.Equal(t, c.want, match.Route.Name, "%s %s", c.host, c.target)
		if c.forwardedTo != "" {
			assert.Equal(t, c.forwardedTo, forwardedTo(t, &match, query))
		}
	}
}

// forwardedTo returns the location of a redirect, or the upstream path of a forwarded request.
func forwardedTo(t *testing.T, match *Match, query string) string {
	t.Helper()
	if match.Route.Action.Redirect != nil {
		return match.Location(query)
	}
	path, err := match.UpstreamPath()
	require.NoError(t, err)
	return path
}

func TestExplain(t *testing.T) {
	_, _, considered := matchTable(t).Explain(&Request{Path: "/app/x", Method: "GET"})
	assert.Equal(t, "field X-Beta does not hold", considered[0].Reason)
	assert.Equal(t, "met: longest prefix", considered[len(considered)-1].Reason)
}

// referenceMatch returns the name of the route that a request matches, found by a linear search that follows the rules
// in the package documentation.
func referenceMatch(list []Route, request *Request) string {
	for i := range list {
		if r := &list[i]; r.Kind == Exact && r.Path == request.Path && methodMatches(r, request) {
			return r.Name
		}
	}
	prefix := referencePrefix(list, request)
	if prefix != nil && prefix.Final {
		return prefix.Name
	}
	for i := range list {
		r := &list[i]
		if r.Kind == Regex && regexp.MustCompile(r.Path).MatchString(request.Path) && methodMatches(r, request) {
			return r.Name
		}
	}
	if prefix != nil {
		return prefix.Name
	}
	return ""
}

// referencePrefix returns the first route of the longest prefix that matches; nil: none.
func referencePrefix(list []Route, request *Request) *Route {
	length := func(r *Route) int {
		if r.Kind == Segments && r.Path != "/" {
			return len(strings.TrimSuffix(r.Path, "/"))
		}
		return len(r.Path)
	}
	var longest *Route
	for i := range list {
		r := &list[i]
		path := r.Path[:length(r)]
		matches := r.Kind == Prefix && strings.HasPrefix(request.Path, path) ||
			r.Kind == Segments && (path == "/" || request.Path == path || strings.HasPrefix(request.Path, path+"/"))
		if matches && methodMatches(r, request) && (longest == nil || length(r) > length(longest)) {
			longest = r
		}
	}
	return longest
}

func methodMatches(r *Route, request *Request) bool {
	return len(r.Methods) == 0 || slices.Contains(r.Methods, request.Method)
}

func TestMatchAgainstReference(t *testing.T) {
	paths := rapid.SampledFrom([]string{
		"/", "/a", "/a/", "/ab", "/abc/", "/a/b", "/a/b/", "/a/bc", "/b", "/b/c/d", "/a/b/c/d/e",
	})
	endings := rapid.SampledFrom([]string{"", "b", "c", "d"})
	methods := rapid.SampledFrom([]string{"GET", "POST"})
	drawRoute := func(t *rapid.T, i int) Route {
		r := Route{
			Name:   fmt.Sprint("r", i),
			Kind:   MatchKind(rapid.IntRange(0, 3).Draw(t, "kind")),
			Path:   paths.Draw(t, "path"),
			Final:  rapid.Bool().Draw(t, "final"),
			Action: toPool(),
		}
		if r.Kind == Regex {
			r.Path = rapid.SampledFrom([]string{"^/a", "b", "c$", "/b/", "d|e"}).Draw(t, "expression")
		}
		if rapid.IntRange(0, 3).Draw(t, "conditions") == 0 {
			r.Methods = []string{"POST"}
		}
		return r
	}
	rapid.Check(t, func(t *rapid.T) {
		var list []Route
		for i := range rapid.IntRange(1, 12).Draw(t, "routes") {
			list = append(list, drawRoute(t, i))
		}
		table, err := Compile(list)
		require.NoError(t, err)
		for range 20 {
			request := Request{Path: paths.Draw(t, "begin") + endings.Draw(t, "end"), Method: methods.Draw(t, "method")}
			got := ""
			if match, ok := table.Match(&request); ok {
				got = match.Route.Name
			}
			if want := referenceMatch(list, &request); got != want {
				t.Fatalf("%s %s: matched route %q, the reference matches %q", request.Method, request.Path, got, want)
			}
		}
	})
}

// Pools must receive fractions of the keys by their weights, and a change of weights must move as few keys as possible.
func TestSelectPoolFollowsWeights(t *testing.T) {
	match := func(blue, green float64) *Match {
		pools := []WeightedPool{{"blue", blue}, {"green", green}, {"off", 0}}
		return &Match{Route: &Route{Action: Action{Pools: pools}}}
	}
	before, after := match(.9, .1), match(.85, .15)
	const keys = 20_000
	green, moved, movedBack := 0, 0, 0
	for k := range uint64(keys) {
		poolBefore, poolAfter := before.SelectPool(k+1), after.SelectPool(k+1)
		if poolBefore == 1 {
			green++
		}
		if poolBefore != poolAfter {
			moved++
			if poolBefore == 1 {
				movedBack++
			}
		}
	}
	assert.InEpsilon(t, .1, float64(green)/keys, .07)
	assert.InEpsilon(t, .05, float64(moved)/keys, .1, "the fraction of moved keys equals the change of the weights")
	assert.Zero(t, movedBack, "no key moves to the pool whose weight decreased")
	one := Match{Route: &Route{Action: toPool()}}
	assert.Equal(t, 0, one.SelectPool(5))
	assert.Equal(t, -1, (&Match{Route: &Route{}}).SelectPool(5))
}

func BenchmarkMatch(b *testing.B) {
	path := func(i int) string { return fmt.Sprintf("/petitions/%d/region-%d/page", i%977, i) }
	for _, n := range []int{10, 1000, 100_000} {
		list := []Route{{Name: "root", Path: "/", Action: toPool()}}
		for i := range n {
			list = append(list, Route{Name: "r", Kind: MatchKind(i % 3), Path: path(i), Action: toPool()})
		}
		table, err := Compile(list)
		require.NoError(b, err)
		var requests []Request
		for i := range 1024 {
			requests = append(requests, Request{Path: path((i * 7919) % n), Method: "GET"})
		}
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				if _, ok := table.Match(&requests[i%len(requests)]); !ok {
					b.Fatal("no route matched")
				}
			}
		})
	}
}
