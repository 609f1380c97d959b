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

func TestNormal(t *testing.T) {
	for in, want := range map[string]string{
		"/": "/", "/a/b": "/a/b", "//a///b//": "/a/b/", "/a/./b/../c": "/a/c", "/a/..": "/", "/a/b/..": "/a/", "/a/.": "/a/",
		"/%61%2d%7E": "/a-~", "/a%2fb": "/a%2Fb", "/%2e%2e": "", "/a/%2e%2E/b": "/b", "/.well-known/x": "/.well-known/x",
		"/é": "/%C3%A9", "/a%3bb;c=1": "/a%3Bb;c=1", "/...": "/...", "/..a/": "/..a/",
		"": "", "a": "", "*": "", "/..": "", "/a/../..": "", "/%": "", "/%2": "", "/%zz": "", "/%00": "", "/a b": "", "/a\\b": "", "/a\x01": "",
		"/a/..;x/b": "", "/a/.;/b": "", "/a/..%2f..%2Fetc": "", "/a/%2e%2e%5cb": "", "/a#b": "", "/a?b": "", "/a%2f%2fb": "/a%2F%2Fb",
	} {
		got, err := NormalizePath(in)
		assert.Equal(t, want, got, in)
		assert.Equal(t, want == "", err != nil, in)
	}
	for in, want := range map[string][3]string{
		"/a?b=c":              {"", "/a", "b=c"},
		"http://x.org/a?b":    {"x.org", "/a", "b"},
		"HTTP://x.org:80":     {"x.org:80", "/", ""},
		"http://x.org?q=/../": {"x.org", "/", "q=/../"},
		"/a://b":              {"", "/a:/b", ""},
		"ftp://x/a":           {}, "http:///a": {}, "http://u@x/a": {}, "/a#b": {}, "/a?b#c": {}, "x.org:443": {}, "*": {},
	} {
		host, path, query, err := ParseTarget(in)
		if want[1] == "" {
			assert.Error(t, err, in)
			continue
		}
		assert.NoError(t, err, in)
		assert.Equal(t, want, [3]string{host, path, query}, in)
	}
	for in, want := range map[string]string{"X.org:8080": "x.org", "x.ORG.": "x.org", "[::1]:80": "[::1]", "x": "x", "": ""} {
		assert.Equal(t, want, NormalizeHost(in))
	}
}

// Reason is matched is what goes on: a normal path is its own normal form, and no reader of it finds a way up or a second slash.
func FuzzNormal(f *testing.F) {
	for _, seed := range []string{"/a/b", "//a/./%2e%2E/b%2f", "/%61;x/..", "/a/..%5c", "/\xff\x80", "/a%2F..%2fb"} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, in string) {
		out, err := NormalizePath(in)
		if err != nil {
			return
		}
		if again, err := NormalizePath(out); err != nil || again != out {
			t.Fatalf("%q: %q, then %q, %v", in, out, again, err)
		}
		if out[0] != '/' || strings.Contains(out, "//") || strings.ContainsAny(out, " \\?#\x00") {
			t.Fatalf("%q: %q", in, out)
		}
		decoded := strings.NewReplacer("%2F", "/", "%5C", "/").Replace(out)
		for segment := range strings.SplitSeq(decoded, "/") {
			if bare, _, _ := strings.Cut(segment, ";"); bare == "." || bare == ".." {
				t.Fatalf("%q: a way up in %q", in, out)
			}
		}
	})
}

func to(pool string) Action { return Action{Pools: []WeightedPool{{pool, 1}}} }

type fields map[string]string

func (f fields) Get(name string) (string, bool) {
	v, ok := f[strings.ToLower(name)]
	return v, ok
}

func TestMatch(t *testing.T) {
	table, err := Compile([]Route{
		{Name: "root", Path: "/", Action: to("p")},
		{Name: "exact", Kind: Exact, Path: "/sign", Action: to("p")},
		{Name: "under", Kind: Segments, Path: "/api", Action: Action{Pools: []WeightedPool{{"p", 1}}, Rewrite: "/v2"}},
		{Name: "final", Path: "/static/", Final: true, Action: to("p")},
		{Name: "outer", Path: "/site/", Action: to("p"), Nested: []Route{
			{Name: "inner", Path: "/site/deep/", Action: to("p"), Nested: []Route{{Name: "inner-php", Kind: Regex, Path: `\.php$`, Action: to("p")}}},
			{Name: "outer-gif", Kind: Regex, Path: `\.gif$`, Action: to("p")}}},
		{Name: "gif", Kind: Regex, Path: `\.gif$`, Action: to("p")},
		{Name: "php", Kind: Regex, Path: `^/(?<app>\w+)/(.*)\.php$`, Action: Action{Pools: []WeightedPool{{"p", 1}}, Rewrite: "/run/${app}/$2"}},
		{Name: "post", Kind: Exact, Path: "/both", Methods: []string{"POST"}, Action: to("p")},
		{Name: "any", Kind: Exact, Path: "/both", Action: to("p")},
		{Name: "beta", Path: "/app/", Fields: []Condition{{Name: "X-Beta", Value: "1"}}, Query: []Condition{{Name: "old", Negate: true}}, Action: to("p")},
		{Name: "app", Path: "/app", Action: to("p")},
		{Name: "named", Hosts: []string{"a.example.org"}, Path: "/", Action: to("p")},
		{Name: "wild", Hosts: []string{"*.example.org", "example.*"}, Path: "/", Action: to("p")},
		{Name: "wilder", Hosts: []string{"*.b.example.org"}, Path: "/only", Action: to("p")},
		{Name: "moved", Path: "/old/", Action: Action{Redirect: &Redirect{Status: 301, To: "https://new.example.org/", KeepPath: true}}},
		{Name: "gone", Kind: Regex, Path: `^/gone/(\d+)`, Action: Action{Redirect: &Redirect{Status: 302, To: "/found?n=$1"}}},
	})
	require.NoError(t, err)
	for _, c := range []struct{ host, method, target, field, want, onward string }{
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
		{"x.b.example.org", "GET", "/x", "", "", ""}, // the host has decided
		{"example.org", "GET", "/x", "", "wild", ""}, // as example.*
		{"other", "GET", "/old/a?b=1", "", "moved", "https://new.example.org/old/a?b=1"},
		{"other", "GET", "/gone/12", "", "gone", "/found?n=12"},
	} {
		_, path, query, err := ParseTarget(c.target)
		require.NoError(t, err)
		q := Request{Host: NormalizeHost(c.host), Method: c.method, Path: path, Query: query}
		if c.field != "" {
			q.Fields = fields{"x-beta": c.field}
		}
		m, ok := table.Match(&q)
		if assert.Equal(t, c.want != "", ok, c.target); !ok {
			continue
		}
		assert.Equal(t, c.want, m.Route.Name, "%s %s", c.host, c.target)
		if c.onward == "" {
			continue
		}
		onward := ""
		if m.Route.Action.Redirect != nil {
			onward = m.Location(query)
		} else if onward, err = m.UpstreamPath(); err != nil {
			t.Fatal(err)
		}
		assert.Equal(t, c.onward, onward)
	}
	_, _, asked := table.Explain(&Request{Path: "/app/x", Method: "GET"})
	assert.Equal(t, "field X-Beta does not hold", asked[0].Reason)
	assert.Equal(t, "met: longest prefix", asked[len(asked)-1].Reason)
}

func TestCompileRefuses(t *testing.T) {
	for want, r := range map[string]Route{
		"is not in its normal form": {Path: "/a//b", Action: to("p")},
		"does not begin with":       {Path: "a", Action: to("p")},
		"expression: ":              {Kind: Regex, Path: "(?=x)", Action: to("p")},
		"field X: expression":       {Path: "/", Fields: []Condition{{Name: "X", Value: "(", Regex: true}}, Action: to("p")},
		"query without a name":      {Path: "/", Query: []Condition{{}}, Action: to("p")},
		"one of pools":              {Path: "/"},
		"weights of 0":              {Path: "/", Action: Action{Pools: []WeightedPool{{"p", 0}}}},
		"weight -1":                 {Path: "/", Action: Action{Pools: []WeightedPool{{"p", -1}}}},
		"redirect 200":              {Path: "/", Action: Action{Redirect: &Redirect{Status: 200, To: "/"}}},
		"fixed answer 99":           {Path: "/", Action: Action{Response: &FixedResponse{Status: 99}}},
		"rewrite without pools":     {Path: "/", Action: Action{Rewrite: "/x", Response: &FixedResponse{Status: 200}}},
		"normal form of a path":     {Path: "/", Action: Action{Rewrite: "x", Pools: to("p").Pools}},
		"cannot stand within":       {Path: "/a/", Action: to("p"), Nested: []Route{{Name: "n", Path: "/b/", Action: to("p")}}},
		"hosts of its own":          {Path: "/a/", Action: to("p"), Nested: []Route{{Name: "n", Path: "/a/b/", Hosts: []string{"x"}, Action: to("p")}}},
		`host "a.*.b"`:              {Path: "/", Hosts: []string{"a.*.b"}, Action: to("p")},
	} {
		r.Name = "r"
		_, err := Compile([]Route{r, {Name: "s", Path: "bad", Action: to("p")}})
		assert.ErrorContains(t, err, want)
		assert.ErrorContains(t, err, `route "s"`, "every fault at once")
	}
}

// reference finds a route in the plainest way, straight from the order of choice.
func reference(list []Route, q *Request) string {
	holds := func(r *Route) bool { return len(r.Methods) == 0 || slices.Contains(r.Methods, q.Method) }
	var flat []*Route
	for i := range list {
		flat = append(flat, &list[i])
	}
	for _, r := range flat {
		if r.Kind == Exact && r.Path == q.Path && holds(r) {
			return r.Name
		}
	}
	var noted *Route
	for _, r := range flat {
		path := r.Path
		if r.Kind == Segments && path != "/" {
			path = strings.TrimSuffix(path, "/")
		}
		fits := r.Kind == Prefix && strings.HasPrefix(q.Path, path) ||
			r.Kind == Segments && (path == "/" || q.Path == path || strings.HasPrefix(q.Path, path+"/"))
		length := func(r *Route) int {
			if r.Kind == Segments && r.Path != "/" {
				return len(strings.TrimSuffix(r.Path, "/"))
			}
			return len(r.Path)
		}
		if fits && holds(r) && (noted == nil || length(r) > length(noted)) {
			noted = r
		}
	}
	if noted != nil && noted.Final {
		return noted.Name
	}
	for _, r := range flat {
		if r.Kind == Regex && regexp.MustCompile(r.Path).MatchString(q.Path) && holds(r) {
			return r.Name
		}
	}
	if noted != nil {
		return noted.Name
	}
	return ""
}

func TestAgainstReference(t *testing.T) {
	piece := rapid.SampledFrom([]string{"/", "/a", "/a/", "/ab", "/abc/", "/a/b", "/a/b/", "/a/bc", "/b", "/b/c/d", "/a/b/c/d/e"})
	rapid.Check(t, func(t *rapid.T) {
		var list []Route
		for i := range rapid.IntRange(1, 12).Draw(t, "routes") {
			r := Route{Name: fmt.Sprint("r", i), Kind: MatchKind(rapid.IntRange(0, 3).Draw(t, "kind")), Path: piece.Draw(t, "path"),
				Final: rapid.Bool().Draw(t, "final"), Action: to("p")}
			if r.Kind == Regex {
				r.Path = rapid.SampledFrom([]string{"^/a", "b", "c$", "/b/", "d|e"}).Draw(t, "expression")
			}
			if rapid.IntRange(0, 3).Draw(t, "conditions") == 0 {
				r.Methods = []string{"POST"}
			}
			list = append(list, r)
		}
		table, err := Compile(list)
		if err != nil {
			t.Fatal(err)
		}
		for range 20 {
			q := Request{Path: piece.Draw(t, "asked") + rapid.SampledFrom([]string{"", "b", "c", "d"}).Draw(t, "more"),
				Method: rapid.SampledFrom([]string{"GET", "POST"}).Draw(t, "method")}
			got := ""
			if m, ok := table.Match(&q); ok {
				got = m.Route.Name
			}
			if want := reference(list, &q); got != want {
				t.Fatalf("%s %s: %q, by the reference %q", q.Method, q.Path, got, want)
			}
		}
	})
}

// A key stays where it is when weights move a little, and the parts are those of the weights.
func TestPool(t *testing.T) {
	match := func(a, b float64) *Match {
		return &Match{Route: &Route{Action: Action{Pools: []WeightedPool{{"blue", a}, {"green", b}, {"off", 0}}}}}
	}
	before, after := match(.9, .1), match(.85, .15)
	const keys = 20_000
	green, moved, back := 0, 0, 0
	for k := range uint64(keys) {
		x, y := before.SelectPool(k+1), after.SelectPool(k+1)
		if x == 1 {
			green++
		}
		if x != y {
			moved++
			if x == 1 {
				back++
			}
		}
	}
	assert.InEpsilon(t, .1, float64(green)/keys, .07)
	assert.InEpsilon(t, .05, float64(moved)/keys, .1, "as much moves as the weights do")
	assert.Zero(t, back, "and nothing the other way")
	one := Match{Route: &Route{Action: to("p")}}
	assert.Equal(t, 0, one.SelectPool(5))
	assert.Equal(t, -1, (&Match{Route: &Route{}}).SelectPool(5))
}

func BenchmarkMatch(b *testing.B) {
	for _, n := range []int{10, 1000, 100_000} {
		list := []Route{{Name: "root", Path: "/", Action: to("p")}}
		for i := range n {
			list = append(list, Route{Name: "r", Kind: MatchKind(i % 3), Path: fmt.Sprintf("/petitions/%d/region-%d/page", i%977, i), Action: to("p")})
		}
		table, err := Compile(list)
		require.NoError(b, err)
		var asked []Request
		for i := range 1024 {
			k := (i * 7919) % n
			asked = append(asked, Request{Path: fmt.Sprintf("/petitions/%d/region-%d/page", k%977, k), Method: "GET"})
		}
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				if _, ok := table.Match(&asked[i%len(asked)]); !ok {
					b.Fatal("none")
				}
			}
		})
	}
}

func BenchmarkNormal(b *testing.B) {
	b.ReportAllocs()
	for b.Loop() {
		NormalizePath("/petitions/17/region-4/page.html")
	}
}

func TestStandby(t *testing.T) {
	s := Failover{ActivateAfter: 1, RecoverAfter: 5}
	for _, c := range []struct {
		at       float64
		admitted bool
		serves   bool
	}{{0, true, false}, {1, false, false}, {1.9, false, false}, {2, false, true}, {2.1, true, true}, {6, true, true}, {6.5, false, true},
		{7, true, true}, {11.9, true, true}, {12, true, false}, {12.1, false, false}, {12.2, true, false}, {13.2, false, false}, {14.3, false, true}} {
		assert.Equal(t, c.serves, s.Active(c.at, c.admitted), "at %v", c.at)
	}
	flaps, before := 0, false
	flap := Failover{ActivateAfter: 1, RecoverAfter: 5}
	for now := 0.0; now < 100; now += .1 { // a pool that comes and goes every half second
		if serves := flap.Active(now, int(now*2)%2 == 0); serves != before {
			flaps, before = flaps+1, serves
		}
	}
	assert.Zero(t, flaps)
}
