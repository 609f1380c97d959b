package nginx

import (
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"lockloom/internal/config"
	"lockloom/routes"
)

type sample struct {
	name, text string
	refused    []string
}

func samples(t testing.TB) (list []sample) {
	text, err := os.ReadFile("testdata/samples.conf")
	require.NoError(t, err)
	for part := range strings.SplitSeq(string(text), "=== ") {
		name, rest, ok := strings.Cut(part, "\n")
		if !ok {
			continue
		}
		s := sample{name: name}
		var refused string
		s.text, refused, _ = strings.Cut(rest, "--- refused\n")
		s.refused = strings.Split(strings.TrimSpace(refused), "\n")
		if refused == "" {
			s.refused = nil
		}
		list = append(list, s)
	}
	return append(list, sample{name: "a large site", text: large()})
}

// large is a site of several hundred lines: twenty servers with locations of all kinds.
func large() string {
	var b strings.Builder
	b.WriteString("http {\n")
	for i := range 20 {
		fmt.Fprintf(&b, "upstream u%d {\n  least_conn;\n  server 10.0.0.%d:8%d;\n  server 10.0.0.%d:9%d;\n}\n", i, i%7+1, i%3, i%5+1, i%2)
	}
	for i := range 20 {
		fmt.Fprintf(&b, "server {\n  listen 80;\n  server_name s%d.example *.s%d.example;\n  proxy_set_header Host $host;\n", i, i)
		for k := range 6 {
			fmt.Fprintf(&b, "  location /p%d/ {\n    proxy_pass http://u%d;\n    location /p%d/q {\n      proxy_pass http://u%d/w%d;\n    }\n  }\n", k, (i+k)%20, k, (i+2*k)%20, k)
		}
		fmt.Fprintf(&b, "  location ~ ^/item/(\\d+)$ {\n    return 302 https://items.example/$1;\n  }\n  location ~* \\.(png|gif)$ {\n    proxy_pass http://u%d;\n  }\n", (i+3)%20)
		fmt.Fprintf(&b, "  location = /health {\n    return 200 \"s%d\";\n  }\n  location / {\n    proxy_pass http://u%d;\n  }\n}\n", i, i)
	}
	return b.String() + "}\n"
}

func parsed(t testing.TB, text string) []*Node {
	list, err := Parse("site.conf", []byte(text))
	require.NoError(t, err)
	return list
}

func imported(t testing.TB, text string) (*Import, *config.Config) {
	im := Convert(parsed(t, text), true)
	s, faults := config.Read("site.toml", []byte(im.Text))
	require.Empty(t, faults, im.Text)
	return im, s
}

// Each sample has its list of what is refused, and the file that is written passes the operator's own check.
func TestSamples(t *testing.T) {
	all := samples(t)
	require.GreaterOrEqual(t, len(all), 40)
	for _, s := range all {
		im, _ := imported(t, s.text)
		var got []string
		for _, v := range im.Verdicts {
			if v.Grade == Refused.String() {
				got = append(got, fmt.Sprint(v.Place.Line, " ", v.Name))
				assert.NotEmpty(t, v.Text, "%s: %s", s.name, v.Name)
			}
		}
		assert.Equal(t, s.refused, got, s.name)
		assert.Equal(t, im.Text, Convert(parsed(t, s.text), true).Text, "%s: the same bytes each time", s.name)
		if whole := Convert(parsed(t, s.text), false); len(s.refused) > 0 {
			assert.Empty(t, whole.Text, s.name)
		} else {
			assert.Equal(t, im.Text, whole.Text, s.name)
		}
	}
}

// request is one to ask both of.
type request struct {
	host, method, path, query string
	fields                    map[string]string
}

func (r *request) Get(name string) (string, bool) {
	v, ok := r.fields[strings.ToLower(name)]
	return v, ok
}

// outcome is what becomes of one.
type outcome struct {
	servers  []string // any of these
	path     string
	status   int
	location string
	body     string
}

// lockloom's outcome by the imported file.
func ours(s *config.Config, q *request) outcome {
	m, ok := s.RouteTable.Match(&routes.Request{Host: q.host, Method: q.method, Path: q.path, Query: q.query, Fields: q})
	if !ok {
		return outcome{status: 404}
	}
	a := &m.Route.Action
	switch {
	case a.Redirect != nil:
		return outcome{status: a.Redirect.Status, location: m.Location(q.query)}
	case a.Response != nil:
		return outcome{status: a.Response.Status, body: a.Response.Body}
	}
	path, err := m.UpstreamPath()
	if err != nil {
		return outcome{status: 400}
	}
	var servers []string
	for _, share := range a.Pools {
		for _, p := range s.Pools {
			if p.Name == share.Pool {
				servers = append(servers, p.Servers...)
			}
		}
	}
	slices.Sort(servers)
	return outcome{servers: servers, path: path}
}

// requests are some thousand that a configuration's own words suggest.
func requests(list []*Node) (all []request) {
	hosts, paths := []string{"other.example"}, []string{"/", "/x", "/x.png", "/a.gif"}
	var walk func(list []*Node)
	walk = func(list []*Node) {
		for _, n := range list {
			switch n.Name {
			case "server_name":
				for _, h := range n.Args {
					h = strings.Trim(strings.ReplaceAll(h, "*", "star"), ".")
					if h != "_" {
						hosts = append(hosts, h, "www."+h, "deep.www."+h)
					}
				}
			case "location":
				p := n.Args[len(n.Args)-1]
				p = regexp.MustCompile(`\\[wd]\+?|\[0-9\]`).ReplaceAllString(p, "7")
				p = regexp.MustCompile(`[\^$()|\\?]`).ReplaceAllString(p, "")
				if !strings.HasPrefix(p, "/") {
					p = "/" + p
				}
				for _, more := range []string{"", "/", "a", "x.png", "a/1", "deep/x.css", "/9/b", "7"} {
					if path, err := routes.NormalizePath(p + more); err == nil {
						paths = append(paths, path)
					}
				}
			}
			walk(n.Block)
		}
	}
	walk(list)
	slices.Sort(hosts)
	slices.Sort(paths)
	hosts, paths = slices.Compact(hosts), slices.Compact(paths)
	for _, h := range hosts {
		for _, p := range paths {
			for _, method := range []string{"GET", "POST", "PUT", "DELETE"} {
				for _, query := range []string{"", "kind=big", "x=1&kind=BIG"} {
					for _, version := range []string{"", "v2", "V3", "beta7"} {
						all = append(all, request{h, method, p, query, map[string]string{"x-version": version}})
					}
				}
			}
		}
	}
	return all
}

// For every sample that is carried whole, lockloom with the imported file chooses what the reference does, which is
// written from nginx's documentation alone.
func TestAgainstTheReference(t *testing.T) {
	const ofOne = 20_000 // requests of one sample, at most
	asked, whole := 0, 0
	for _, s := range samples(t) {
		if len(s.refused) > 0 {
			continue
		}
		list := parsed(t, s.text)
		_, setup := imported(t, s.text)
		n := 0
		all := requests(list)
		for k := 0; k < len(all); k += max(len(all)/ofOne, 1) {
			q := all[k]
			want := reference(list, &q)
			if want.path != "" { // what goes on is in its normal form
				var err error
				want.path, err = routes.NormalizePath(want.path)
				require.NoError(t, err)
			}
			got := ours(setup, &q)
			if got.status == 302 || got.status == 301 || got.status == 308 {
				want.body, got.body = "", ""
			}
			if !assert.Equal(t, want, got, "%s: %+v", s.name, q) {
				break
			}
			n++
		}
		asked, whole = asked+n, whole+1
	}
	t.Log(asked, "requests,", whole, "of", len(samples(t)), "samples")
	assert.Greater(t, asked, 100_000)
}

// Whatever unknown directive stands wherever, it is reported with its line.
func TestUnknownIsNeverPassedOver(t *testing.T) {
	all := samples(t)
	rapid.Check(t, func(t *rapid.T) {
		list, err := Parse("site.conf", []byte(rapid.SampledFrom(all).Draw(t, "sample").text))
		require.NoError(t, err)
		var blocks []*[]*Node
		var walk func(list *[]*Node)
		walk = func(list *[]*Node) {
			blocks = append(blocks, list)
			for _, n := range *list {
				if n.Opens && n.Name != "types" && n.Name != "map" && n.Name != "split_clients" {
					walk(&n.Block)
				}
			}
		}
		walk(&list)
		into := rapid.SampledFrom(blocks).Draw(t, "block")
		at := rapid.IntRange(0, len(*into)).Draw(t, "at")
		*into = slices.Insert(*into, at, &Node{Place: Place{"site.conf", 4711, 1}, Name: "unheard_of", Args: []string{"x"}})
		im := Convert(list, true)
		found := slices.ContainsFunc(im.Verdicts, func(v Verdict) bool { return v.Name == "unheard_of" && v.Grade == "refused" && v.Place.Line == 4711 })
		assert.True(t, found, "%+v", im.Verdicts)
	})
}

func TestRead(t *testing.T) {
	for _, c := range []struct{ text, want string }{
		{"a b;c{d;}", "a b;\nc {\n    d;\n}\n"},
		{"a \"b c\" 'd\\'e' f\\ g;", "a \"b c\" d'e f\\ g;"},
		{"a ${x}y $z{b;}", "a ${x}y $z{b;"},
		{"a \"x\"y;", "site.conf:1:6: a space is missing behind a string"},
		{"a 'x", "site.conf:1:3: a string that does not end"},
		{"a", "site.conf:1:1: a: it does not end: ; or { is missing"},
		{"a {", "site.conf:1:4: it ends within a block: } is missing"},
		{"}", "site.conf:1:1: } without a block"},
		{"\n ; ", `site.conf:2:2: ";" without a directive`},
		{"x_by_lua_block { return }", "blocks of another language are not read"},
		{strings.Repeat("a{", 70), "blocks are 64 deep"},
		{"a \"" + strings.Repeat("x", 1<<20), "a string that does not end"},
	} {
		list, err := Parse("site.conf", []byte(c.text))
		if err != nil {
			assert.Contains(t, err.Error(), c.want, c.text[:min(len(c.text), 30)])
			continue
		}
		again, err := Parse("site.conf", []byte(Print(list)))
		require.NoError(t, err, c.text)
		assert.Equal(t, bare(list), bare(again), c.text)
	}
}

// bare are directives without their places.
func bare(list []*Node) []*Node {
	var out []*Node
	for _, n := range list {
		out = append(out, &Node{Name: n.Name, Args: n.Args, Opens: n.Opens, Block: bare(n.Block)})
	}
	return out
}

func TestIncludes(t *testing.T) {
	dir := t.TempDir()
	write := func(name, text string) string {
		name = filepath.Join(dir, name)
		require.NoError(t, os.MkdirAll(filepath.Dir(name), 0o755))
		require.NoError(t, os.WriteFile(name, []byte(text), 0o600))
		return name
	}
	write("sites/b.conf", "b;")
	write("sites/a.conf", "a;\ninclude deep/*.conf;")
	write("deep/x.conf", "x;")
	for text, want := range map[string]string{
		"include sites/*.conf; z;":       "a;\nx;\nb;\nz;\n",
		"c { include sites/b.conf; }":    "c {\n    b;\n}\n",
		"include none/*.conf;":           "",
		"include none.conf;":             "no such file",
		"include ../x.conf;":             "lies outside of",
		"include /etc/passwd;":           "lies outside of",
		"include main.conf;":             "it includes itself",
		"include a b;":                   "it takes one file or pattern",
		"include sites/../../../../etc;": "lies outside of",
	} {
		main := write("main.conf", text)
		list, err := NewReader(dir).File(main)
		if err != nil {
			assert.ErrorContains(t, err, want, text)
		} else {
			assert.Equal(t, want, Print(list), text)
		}
	}
}

func FuzzParse(f *testing.F) {
	for _, s := range samples(f)[:8] {
		f.Add([]byte(s.text))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		list, err := Parse("x", text)
		if err != nil {
			return
		}
		again, err := Parse("x", []byte(Print(list)))
		require.NoError(t, err)
		assert.Equal(t, bare(list), bare(again))
		Convert(list, true)
	})
}

// The table in the operators' page is that of the code.
func TestTable(t *testing.T) {
	page, err := os.ReadFile("../../docs/operators/nginx.md")
	require.NoError(t, err)
	assert.Contains(t, string(page), Table(), "write it anew: go test ./internal/nginx -run Table -v prints it")
	if testing.Verbose() {
		fmt.Print(Table())
	}
}

// BenchmarkImport tells how long so many locations take, and what memory.
func BenchmarkImport(b *testing.B) {
	for _, n := range []int{100, 10_000, 100_000} {
		b.Run(strconv.Itoa(n), func(b *testing.B) {
			var text strings.Builder
			text.WriteString("http { upstream u { server 10.0.0.1:81; } server { listen 80; server_name a.example;\n")
			for i := range n {
				fmt.Fprintf(&text, "location /p%d/ { proxy_pass http://u; proxy_read_timeout 5s; }\n", i)
			}
			text.WriteString("} }")
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			var check time.Duration
			var last *config.Config
			for b.Loop() {
				im := Convert(parsed(b, text.String()), false)
				began := time.Now()
				s, faults := config.Read("x", []byte(im.Text))
				if len(faults) > 0 {
					b.Fatal(faults[0])
				}
				last = s
				check += time.Since(began)
			}
			runtime.ReadMemStats(&after)
			b.ReportMetric(float64(after.TotalAlloc-before.TotalAlloc)/float64(b.N)/(1<<20), "MiB/op")
			b.ReportMetric((b.Elapsed()-check).Seconds()/float64(b.N), "import-s")
			b.ReportMetric(check.Seconds()/float64(b.N), "check-s")
			const asked = 100_000
			began := time.Now()
			for i := range asked {
				last.RouteTable.Match(&routes.Request{Host: "a.example", Method: "GET", Path: "/p" + strconv.Itoa(i%n) + "/x", Fields: &request{}})
			}
			b.ReportMetric(float64(time.Since(began).Nanoseconds())/asked, "match-ns")
		})
	}
}
