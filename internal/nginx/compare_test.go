package nginx

import (
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"lockloom/internal/config"
	"lockloom/routes"
)

// request is one that lockloom and the reference get.
type request struct {
	host, method, path, query string
	fields                    map[string]string
}

func (r *request) Get(name string) (string, bool) {
	v, ok := r.fields[strings.ToLower(name)]
	return v, ok
}

// outcome is what becomes of a request: servers and path if it is forwarded, else the answer.
type outcome struct {
	servers  []string // any of these
	path     string
	status   int
	location string
	body     string
}

// lockloomOutcome is what lockloom does by the imported file.
func lockloomOutcome(s *config.Config, q *request) outcome {
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
	w := &words{hosts: []string{"other.example"}, paths: []string{"/", "/x", "/x.png", "/a.gif"}}
	w.collect(list)
	slices.Sort(w.hosts)
	slices.Sort(w.paths)
	hosts, paths := slices.Compact(w.hosts), slices.Compact(w.paths)
	for _, host := range hosts {
		for _, path := range paths {
			all = append(all, requestsFor(host, path)...)
		}
	}
	return all
}

// requestsFor are the requests for a path, with all methods, queries and versions.
func requestsFor(host, path string) (all []request) {
	for _, method := range []string{"GET", "POST", "PUT", "DELETE"} {
		for _, query := range []string{"", "kind=big", "x=1&kind=BIG"} {
			for _, version := range []string{"", "v2", "V3", "beta7"} {
				all = append(all, request{host, method, path, query, map[string]string{"x-version": version}})
			}
		}
	}
	return all
}

// words are the hosts and paths that a configuration suggests.
type words struct {
	hosts, paths []string
}

func (w *words) collect(list []*Node) {
	for _, n := range list {
		switch n.Name {
		case "server_name":
			w.serverName(n)
		case "location":
			w.location(n)
		}
		w.collect(n.Block)
	}
}

func (w *words) serverName(n *Node) {
	for _, host := range n.Args {
		host = strings.Trim(strings.ReplaceAll(host, "*", "star"), ".")
		if host != "_" {
			w.hosts = append(w.hosts, host, "www."+host, "deep.www."+host)
		}
	}
}

var (
	digitClass = regexp.MustCompile(`\\[wd]\+?|\[0-9\]`)
	regexSigns = regexp.MustCompile(`[\^$()|\\?]`)
)

func (w *words) location(n *Node) {
	prefix := n.Args[len(n.Args)-1]
	prefix = digitClass.ReplaceAllString(prefix, "7")
	prefix = regexSigns.ReplaceAllString(prefix, "")
	if !strings.HasPrefix(prefix, "/") {
		prefix = "/" + prefix
	}
	for _, rest := range []string{"", "/", "a", "x.png", "a/1", "deep/x.css", "/9/b", "7"} {
		if path, err := routes.NormalizePath(prefix + rest); err == nil {
			w.paths = append(w.paths, path)
		}
	}
}

// For every sample that is carried whole, lockloom with the imported file chooses what the reference does, which is
// written from nginx's documentation alone.
func TestRoutesMatchReference(t *testing.T) {
	const maxPerSample = 20_000 // requests of one sample, at most
	compared, complete := 0, 0
	for _, s := range samples(t) {
		if len(s.refused) > 0 {
			continue
		}
		list := parsed(t, s.text)
		_, setup := imported(t, s.text)
		n := 0
		all := requests(list)
		for k := 0; k < len(all); k += max(len(all)/maxPerSample, 1) {
			q := all[k]
			want := reference(list, &q)
			if want.path != "" { // what goes on is in its normal form
				var err error
				want.path, err = routes.NormalizePath(want.path)
				require.NoError(t, err)
			}
			got := lockloomOutcome(setup, &q)
			if got.status == 302 || got.status == 301 || got.status == 308 {
				want.body, got.body = "", ""
			}
			if !assert.Equal(t, want, got, "%s: %+v", s.name, q) {
				break
			}
			n++
		}
		compared, complete = compared+n, complete+1
	}
	t.Log(compared, "requests,", complete, "of", len(samples(t)), "samples")
	assert.Greater(t, compared, 100_000)
}
