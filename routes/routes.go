// Package routes decides which route a request meets, and so which pool its request goes to: by host, path, method, fields
// and query. It is compiled once and then only read; it does no input or output and keeps no clock. The proxy's door calls
// it for each request that does not speak the platform's own headers; it never chooses a server.
//
// The order of choice, the same wherever routes come from:
//
//  1. The host decides first: its exact name, else the longest "*.name", else the longest "name.*", else the default.
//     Routes of other hosts are not asked.
//  2. A route whose method, fields or query do not hold is passed over, wherever it stands.
//  3. An exact path wins. Else the longest prefix is noted; if it is Final, it wins.
//  4. Else regular expressions are asked in their order: those nested in the noted prefix first, then the host's own. The
//     first that matches wins.
//  5. Else the noted prefix wins. Routes alike in all this are asked in the order in which they are written.
package routes

import (
	"errors"
	"fmt"
	"math"
	"regexp"
	"slices"
	"strings"

	"lockloom/internal/pcg"
)

// Bounds of a table: past them a slip of the pen is likelier than a need.
const (
	routesMost = 1_000_000
	depthMost  = 8    // of nesting
	textMost   = 4096 // bytes of a path, expression or host
	splitMost  = 64   // pools of one route
)

// MatchKind is how a route's path is meant.
type MatchKind uint8

const (
	Prefix   MatchKind = iota // the path begins with it, at any character
	Segments                  // it is the path, or the path goes on behind it with a slash
	Exact
	Regex
)

func (k MatchKind) String() string { return [...]string{"prefix", "under", "exact", "regex"}[k] }

// Route is one route as it is written.
type Route struct {
	Name    string
	Hosts   []string // empty: the default
	Kind    MatchKind
	Path    string
	Final   bool // of a prefix: no expression is asked after it
	Methods []string
	Fields  []Condition
	Query   []Condition
	Nested  []Route // tried where this one's prefix is the longest; hosts are this one's
	Action  Action
}

// Condition is on a field of the head or of the query.
type Condition struct {
	Name   string
	Value  string // empty: it is there at all
	Regex  bool   // Value is an expression
	Negate bool
}

// Action is what becomes of a request: one of Pools, Redirect and Fixed.
type Action struct {
	Pools    []WeightedPool
	Rewrite  string // replaces the matched prefix; of an expression, the whole path, with $1 and ${name}
	Redirect *Redirect
	Response *FixedResponse
}

// WeightedPool is a pool's part of a route's requests.
type WeightedPool struct {
	Pool   string
	Weight float64
}

// Redirect sends the client elsewhere.
type Redirect struct {
	Status   int
	To       string // an address; may use the captures of an expression
	KeepPath bool   // path and query are appended
}

// FixedResponse is an answer given here.
type FixedResponse struct {
	Status int
	Type   string
	Body   string
}

// Fields are a request's, by name in whatever case; the first of several.
type Fields interface {
	Get(name string) (value string, there bool)
}

// Request is what a match goes by. Path is as Normal gives it, Host as Host gives it.
type Request struct {
	Host, Method, Path, Query string
	Fields                    Fields
}

// Table is routes compiled.
type Table struct {
	exact    map[string]*site
	leading  map[string]*site // by what stands behind "*"
	trailing map[string]*site // by what stands before "*"
	other    *site            // nil: none
	routes   []*compiled
}

// site is the routes of one host.
type site struct {
	exact map[string][]*compiled
	tree  tree
	regex []*compiled
}

// compiled is a route ready to match.
type compiled struct {
	*Route
	order  int
	path   string
	expr   *regexp.Regexp
	fields []condition
	query  []condition
	nested []*compiled // expressions
	parent *compiled
}

type condition struct {
	Condition
	expr *regexp.Regexp
}

// Match is what a request meets.
type Match struct {
	Route *Route
	found *compiled
	path  string
}

// Compile makes a table, or names every route that cannot be.
func Compile(list []Route) (*Table, error) {
	t := &Table{exact: map[string]*site{}, leading: map[string]*site{}, trailing: map[string]*site{}}
	var faults []error
	for i := range list {
		r := &list[i]
		hosts := r.Hosts
		if len(hosts) == 0 {
			hosts = []string{""}
		}
		for k, host := range hosts {
			s, err := t.site(host)
			if err != nil {
				faults = append(faults, fmt.Errorf("route %q: %w", r.Name, err))
				continue
			}
			if err := t.add(s, r, nil, 0); err != nil {
				if k == 0 { // it is the same for each host
					faults = append(faults, err)
				}
			}
		}
	}
	if len(faults) > 0 {
		return nil, errors.Join(faults...)
	}
	return t, nil
}

// site is where a host's routes are, made when first named.
func (t *Table) site(host string) (*site, error) {
	of := func(m map[string]*site, name string) (*site, error) {
		if m[name] == nil {
			m[name] = &site{exact: map[string][]*compiled{}}
		}
		return m[name], nil
	}
	if len(host) > textMost {
		return nil, fmt.Errorf("host of %d bytes: %d at most", len(host), textMost)
	}
	name := NormalizeHost(host)
	behind, lead := strings.CutPrefix(name, "*.")
	before, trail := strings.CutSuffix(name, ".*")
	switch {
	case host == "" || host == "*":
		if t.other == nil {
			t.other = &site{exact: map[string][]*compiled{}}
		}
		return t.other, nil
	case lead && behind != "" && !strings.Contains(behind, "*"):
		return of(t.leading, behind)
	case trail && before != "" && !strings.Contains(before, "*"):
		return of(t.trailing, before)
	case name == "" || strings.ContainsAny(name, "*/ "):
		return nil, fmt.Errorf("host %q: a name, *.name or name.*", host)
	}
	return of(t.exact, name)
}

// add compiles one route into a site.
func (t *Table) add(s *site, r *Route, parent *compiled, depth int) error {
	c := &compiled{Route: r, order: len(t.routes), parent: parent}
	wrong := func(format string, args ...any) error {
		return fmt.Errorf("route %q: %s", r.Name, fmt.Sprintf(format, args...))
	}
	if len(t.routes) >= routesMost || depth > depthMost {
		return wrong("more than %d routes, or nested deeper than %d", routesMost, depthMost)
	}
	if len(r.Path) > textMost {
		return wrong("path of %d bytes: %d at most", len(r.Path), textMost)
	}
	var err error
	if r.Kind == Regex {
		if c.expr, err = regexp.Compile(r.Path); err != nil {
			return wrong("expression: %v", err)
		}
	} else {
		if c.path, err = NormalizePath(r.Path); err != nil {
			return wrong("%v", err)
		}
		if c.path != r.Path { // danger: it could never match, or match what its writer did not mean
			return wrong("path %q is not in its normal form, %q", r.Path, c.path)
		}
		if r.Kind == Segments && c.path != "/" {
			c.path = strings.TrimSuffix(c.path, "/")
		}
	}
	if c.fields, err = conditions(r.Fields); err != nil {
		return wrong("field %v", err)
	}
	if c.query, err = conditions(r.Query); err != nil {
		return wrong("query %v", err)
	}
	if err := r.Action.check(r.Kind); err != nil {
		return wrong("%v", err)
	}
	t.routes = append(t.routes, c)
	switch {
	case r.Kind == Exact:
		s.exact[c.path] = append(s.exact[c.path], c)
	case r.Kind != Regex:
		s.tree.add(c.path, c)
	case parent == nil:
		s.regex = append(s.regex, c)
	default:
		parent.nested = append(parent.nested, c)
	}
	for i := range r.Nested {
		n := &r.Nested[i]
		if len(n.Hosts) > 0 {
			return wrong("nested route %q has hosts of its own", n.Name)
		}
		if n.Kind != Regex && (r.Kind == Regex || !strings.HasPrefix(n.Path, r.Path)) || r.Kind == Exact {
			return wrong("nested route %q cannot stand within it", n.Name)
		}
		if err := t.add(s, n, c, depth+1); err != nil {
			return err
		}
	}
	return nil
}

func conditions(list []Condition) ([]condition, error) {
	var out []condition
	for _, c := range list {
		one := condition{Condition: c}
		if c.Name == "" {
			return nil, errors.New("without a name")
		}
		if c.Regex {
			var err error
			if one.expr, err = regexp.Compile(c.Value); err != nil {
				return nil, fmt.Errorf("%s: expression: %w", c.Name, err)
			}
		}
		out = append(out, one)
	}
	return out, nil
}

func (a *Action) check(kind MatchKind) error {
	ways := 0
	for _, is := range []bool{len(a.Pools) > 0, a.Redirect != nil, a.Response != nil} {
		if is {
			ways++
		}
	}
	if ways != 1 {
		return errors.New("it has one of pools, redirect and fixed answer")
	}
	sum := 0.0
	for _, p := range a.Pools {
		if p.Pool == "" || !(p.Weight >= 0) || math.IsInf(p.Weight, 1) {
			return fmt.Errorf("pool %q: weight %v", p.Pool, p.Weight)
		}
		sum += p.Weight
	}
	if len(a.Pools) > splitMost || len(a.Pools) > 0 && sum == 0 {
		return fmt.Errorf("%d pools with weights of %v in all", len(a.Pools), sum)
	}
	if a.Rewrite != "" && kind != Regex {
		if n, err := NormalizePath(a.Rewrite); err != nil || n != a.Rewrite {
			return fmt.Errorf("rewrite %q is not in the normal form of a path", a.Rewrite)
		}
	}
	if a.Rewrite != "" && len(a.Pools) == 0 {
		return errors.New("a rewrite without pools")
	}
	if r := a.Redirect; r != nil && (!slices.Contains([]int{301, 302, 303, 307, 308}, r.Status) || r.To == "") {
		return fmt.Errorf("redirect %d to %q: 301, 302, 303, 307 or 308, and where to", r.Status, r.To)
	}
	if f := a.Response; f != nil && (f.Status < 200 || f.Status > 599) {
		return fmt.Errorf("fixed answer %d: 200 to 599", f.Status)
	}
	return nil
}

// find is the site of a host.
func (t *Table) find(host string) *site {
	if s := t.exact[host]; s != nil {
		return s
	}
	if len(t.leading) > 0 {
		for rest := host; ; {
			_, behind, ok := strings.Cut(rest, ".")
			if !ok {
				break
			}
			if s := t.leading[behind]; s != nil {
				return s
			}
			rest = behind
		}
	}
	if len(t.trailing) > 0 {
		for rest := host; ; {
			i := strings.LastIndexByte(rest, '.')
			if i < 0 {
				break
			}
			if rest = rest[:i]; t.trailing[rest] != nil {
				return t.trailing[rest]
			}
		}
	}
	return t.other
}

// Match finds the route that a request meets; false: none.
func (t *Table) Match(q *Request) (Match, bool) { return t.match(q, nil) }

// Considered is a route that was asked, and what came of it.
type Considered struct {
	Route  *Route
	Reason string
}

// Explain is Match with all routes that were asked on the way, in order.
func (t *Table) Explain(q *Request) (m Match, ok bool, asked []Considered) {
	m, ok = t.match(q, func(c *compiled, what string) { asked = append(asked, Considered{c.Route, what}) })
	return m, ok, asked
}

func (t *Table) match(q *Request, note func(*compiled, string)) (Match, bool) {
	s := t.find(q.Host)
	if s == nil {
		return Match{}, false
	}
	for _, c := range s.exact[q.Path] {
		if c.holds(q, note) {
			return c.met(q, note, "exact path"), true
		}
	}
	var noted *compiled
	for n := s.tree.longest(q.Path); n != nil && noted == nil; n = n.up {
		for _, c := range n.routes {
			if c.Kind == Segments && len(q.Path) > len(c.path) && c.path != "/" && q.Path[len(c.path)] != '/' {
				if note != nil {
					note(c, "the path goes on without a slash")
				}
				continue
			}
			if c.holds(q, note) {
				noted = c
				break
			}
		}
	}
	if noted != nil && noted.Final {
		return noted.met(q, note, "longest prefix, and final"), true
	}
	for p := noted; p != nil; p = p.parent {
		if c := first(p.nested, q, note); c != nil {
			return c.met(q, note, "expression within "+p.Name), true
		}
	}
	if c := first(s.regex, q, note); c != nil {
		return c.met(q, note, "expression"), true
	}
	if noted != nil {
		return noted.met(q, note, "longest prefix"), true
	}
	return Match{}, false
}

func first(list []*compiled, q *Request, note func(*compiled, string)) *compiled {
	for _, c := range list {
		if !c.expr.MatchString(q.Path) {
			if note != nil {
				note(c, "the expression does not match")
			}
			continue
		}
		if c.holds(q, note) {
			if n := first(c.nested, q, note); n != nil {
				return n
			}
			return c
		}
	}
	return nil
}

func (c *compiled) met(q *Request, note func(*compiled, string), how string) Match {
	if note != nil {
		note(c, "met: "+how)
	}
	return Match{Route: c.Route, found: c, path: q.Path}
}

// holds tells whether a route's conditions do.
func (c *compiled) holds(q *Request, note func(*compiled, string)) bool {
	if len(c.Methods) > 0 && !slices.Contains(c.Methods, q.Method) {
		if note != nil {
			note(c, "method "+q.Method+" is not among "+strings.Join(c.Methods, ", "))
		}
		return false
	}
	for i := range c.fields {
		value, there := "", false
		if q.Fields != nil {
			value, there = q.Fields.Get(c.fields[i].Name)
		}
		if !c.fields[i].holds(value, there) {
			if note != nil {
				note(c, "field "+c.fields[i].Name+" does not hold")
			}
			return false
		}
	}
	for i := range c.query {
		if value, there := parameter(q.Query, c.query[i].Name); !c.query[i].holds(value, there) {
			if note != nil {
				note(c, "query "+c.query[i].Name+" does not hold")
			}
			return false
		}
	}
	return true
}

func (c *condition) holds(value string, there bool) bool {
	ok := there
	switch {
	case c.expr != nil:
		ok = there && c.expr.MatchString(value)
	case c.Value != "":
		ok = there && value == c.Value
	}
	return ok != c.Negate
}

// parameter is the first of a name in a query, as it stands.
func parameter(query, name string) (string, bool) {
	for query != "" {
		var part string
		part, query, _ = strings.Cut(query, "&")
		if key, value, _ := strings.Cut(part, "="); key == name {
			return value, true
		}
	}
	return "", false
}

// SelectPool is the pool that a key's requests go to, as an index of the route's Pools; -1 where it has none. A key stays where it is
// when weights move a little: only as much moves as they do. A request without a key has one drawn by chance.
func (m *Match) SelectPool(key uint64) int {
	pools := m.Route.Action.Pools
	if len(pools) < 2 {
		return len(pools) - 1
	}
	best, most := -1, math.Inf(-1)
	for i, p := range pools {
		if p.Weight == 0 {
			continue
		}
		// weighted rendezvous: the greatest of ln(u)/weight, where key and pool settle u
		if score := math.Log(pcg.HashFloat64(key, nameHash(p.Pool))) / p.Weight; score > most {
			best, most = i, score
		}
	}
	return best
}

func nameHash(s string) uint64 {
	h := uint64(14695981039346656037)
	for i := 0; i < len(s); i++ {
		h = (h ^ uint64(s[i])) * 1099511628211
	}
	return h
}

// UpstreamPath is the path that goes on to a pool.
func (m *Match) UpstreamPath() (string, error) {
	a := &m.Route.Action
	if a.Rewrite == "" {
		return m.path, nil
	}
	if c := m.found; c.expr != nil {
		return NormalizePath(m.expand(a.Rewrite))
	}
	return NormalizePath(a.Rewrite + m.path[len(m.found.path):])
}

// Location is where a redirect sends the client.
func (m *Match) Location(query string) string {
	r := m.Route.Action.Redirect
	to := r.To
	if m.found.expr != nil {
		to = m.expand(to)
	}
	if r.KeepPath {
		to = strings.TrimSuffix(to, "/") + m.path
		if query != "" {
			to += "?" + query
		}
	}
	return to
}

func (m *Match) expand(template string) string {
	at := m.found.expr.FindStringSubmatchIndex(m.path)
	return string(m.found.expr.ExpandString(nil, template, m.path, at))
}
