package nginx

import (
	"encoding/json"
	"fmt"
	"net"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"unicode/utf8"

	"lockloom/routes"
)

// Import is what became of a configuration.
type Import struct {
	Text     string    // the operator file
	Verdicts []Verdict // one for each directive, in order
	Refused  int
}

// A word of the table in the operator file, as it is written there.
type (
	pool struct {
		name    string
		from    Place
		servers []string
		backup  string
	}
	limit struct {
		name, by string
		from     Place
		rate     float64
		burst    float64
		inHand   int
		extra    string // what each use says, which must be the same
	}
	retry struct {
		name string
		legs int
	}
	condition struct {
		name, value string
		regex       bool
	}
	share struct {
		pool   string
		weight float64
	}
	out struct {
		name, how, path string // how: exact, prefix, regex
		from            Place
		hosts           []string
		final           bool
		methods         []string
		fields, query   []condition
		pool            string
		split           []share
		rewrite         string
		status          int
		to              string
		keep            bool
		answer          bool
		kind, body      string
		tariff, retry   string
		limits          []string
		nested          []*out
	}
)

// level is what holds in a block, by nginx's inheritance: what a block says replaces what it had from outside, whole.
type level struct {
	read       float64
	tries      int
	off        bool
	kind       string
	reqs       []*Node
	conns      []*Node
	hasHost    bool
	reqsOwn    bool
	connsOwn   bool
	headersOwn bool
}

type mapping struct {
	*Node
	source string
}

type importer struct {
	said      map[*Node]Verdict
	pools     []*pool
	tariffs   []string
	limits    []*limit
	retries   []*retry
	routes    []*out
	listeners []string
	zones     map[string]*limit
	maps      map[string]*mapping
	splits    map[string]*Node
	names     map[string]int
}

// Convert takes a configuration over. With partial the text is written though directives were refused, which stand in it as comments.
func Convert(list []*Node, partial bool) *Import {
	m := &importer{said: map[*Node]Verdict{}, zones: map[string]*limit{}, maps: map[string]*mapping{}, splits: map[string]*Node{}, names: map[string]int{}}
	top := level{read: 60, kind: "text/plain"}
	https := 0
	for _, n := range list {
		if n.Name == "http" && n.Opens {
			if https++; https > 1 {
				m.say(n, Refused, "there are two")
				continue
			}
			m.http(n, top)
		}
	}
	if https == 0 && slices.ContainsFunc(list, func(n *Node) bool { return n.Name == "server" || n.Name == "upstream" }) { // a file that another includes
		m.http(&Node{Name: "http", Block: list, Opens: true}, top)
		list = []*Node{{Name: "http", Block: list, Opens: true}}
		m.said[list[0]] = Verdict{}
	}
	im := &Import{}
	m.gather(im, list, inMain)
	for i := range im.Verdicts {
		if im.Verdicts[i].Grade == Refused.String() {
			im.Refused++
		}
	}
	if im.Refused == 0 || partial {
		im.Text = m.text(im)
	}
	return im
}

func (m *importer) say(n *Node, g Grade, format string, args ...any) {
	if old, ok := m.said[n]; ok && old.Grade == Refused.String() && g != Refused { // what was refused stays so
		return
	}
	m.said[n] = Verdict{Place: n.Place, At: n.Place.String(), Name: n.Name, Grade: g.String(), Text: fmt.Sprintf(format, args...)}
}

// gather gives each directive its verdict: what was said of it, or what is known of its name. Danger: one that nobody has looked at must not
// be passed over in silence.
func (m *importer) gather(im *Import, list []*Node, in where) {
	for _, n := range list {
		if !utf8.ValidString(n.Name) || slices.ContainsFunc(n.Args, func(w string) bool { return !utf8.ValidString(w) }) {
			m.say(n, Refused, "bytes that are no UTF-8")
		}
		v, ok := m.said[n]
		r, known := rules[n.Name]
		if !ok {
			switch {
			case !known:
				m.say(n, Refused, "not known: what it means is not guessed")
			case r.in&in == 0:
				m.say(n, Refused, "it does not stand in %s", in)
			default:
				m.say(n, r.grade, "%s", r.text)
			}
			v = m.said[n]
		}
		if n.Place.Line > 0 {
			im.Verdicts = append(im.Verdicts, v)
		}
		if !n.Opens {
			continue
		}
		name := n.Name
		if in == 0 {
			name = ""
		}
		switch name {
		case "http":
			m.gather(im, n.Block, inHTTP)
		case "server":
			m.gather(im, n.Block, inServer)
		case "location":
			m.gather(im, n.Block, inLocation)
		case "upstream":
			m.gather(im, n.Block, inUpstream)
		case "if":
			m.gather(im, n.Block, inIf)
		case "events":
			m.gather(im, n.Block, inMain)
		case "types", "map", "split_clients": // their words are no directives
		default:
			for _, inner := range n.Block {
				m.say(inner, Refused, "within %s, which is refused", n.Name)
			}
			m.gather(im, n.Block, 0)
		}
	}
}

func (m *importer) http(n *Node, lv level) {
	lv = m.inherit(n.Block, lv)
	for _, d := range n.Block {
		switch d.Name {
		case "upstream":
			m.upstream(d)
		case "map":
			m.mapping(d)
		case "split_clients":
			m.split(d)
		case "limit_req_zone", "limit_conn_zone":
			m.zone(d)
		}
	}
	m.servers(n.Block, lv)
}

// inherit is what holds in a block.
func (m *importer) inherit(list []*Node, lv level) level {
	lv.reqsOwn, lv.connsOwn, lv.headersOwn = false, false, false
	for _, d := range list {
		switch d.Name {
		case "proxy_read_timeout":
			if s, ok := seconds(d.Args); ok {
				lv.read = s
			} else {
				m.say(d, Refused, "no time: %s", strings.Join(d.Args, " "))
			}
		case "proxy_next_upstream":
			lv.off = slices.Contains(d.Args, "off")
			if slices.Contains(d.Args, "non_idempotent") {
				m.say(d, Differs, "non_idempotent is not carried: what may have run is not sent again, whatever is lost by it")
			}
		case "proxy_next_upstream_tries":
			n, err := strconv.Atoi(strings.Join(d.Args, " "))
			if lv.tries = n; err != nil || n < 0 {
				m.say(d, Refused, "no number: %s", strings.Join(d.Args, " "))
			}
		case "default_type":
			if len(d.Args) == 1 {
				lv.kind = d.Args[0]
			}
		case "merge_slashes":
			if slices.Contains(d.Args, "off") {
				m.say(d, Refused, "several slashes are one: lockloom knows no other way")
			}
		case "limit_req":
			if !lv.reqsOwn {
				lv.reqs, lv.reqsOwn = nil, true
			}
			lv.reqs = append(lv.reqs, d)
		case "limit_conn":
			if !lv.connsOwn {
				lv.conns, lv.connsOwn = nil, true
			}
			lv.conns = append(lv.conns, d)
		case "proxy_set_header":
			if !lv.headersOwn {
				lv.hasHost, lv.headersOwn = false, true
			}
			m.header(d, &lv)
		}
	}
	return lv
}

// header takes those fields that lockloom sets alike.
func (m *importer) header(d *Node, lv *level) {
	if len(d.Args) != 2 {
		m.say(d, Refused, "it takes a field and a value")
		return
	}
	name, value := strings.ToLower(d.Args[0]), d.Args[1]
	alike := map[string][]string{"host": {"$host", "$http_host"}, "connection": {""}, "x-forwarded-for": {"$proxy_add_x_forwarded_for"},
		"x-forwarded-proto": {"$scheme"}, "x-forwarded-host": {"$host", "$http_host"}}
	switch {
	case slices.Contains(alike[name], value):
		lv.hasHost = lv.hasHost || name == "host"
		m.say(d, Carried, "as lockloom does")
	case alike[name] != nil:
		m.say(d, Refused, "lockloom sets this field its own way: %s cannot be had", value)
	default:
		m.say(d, Refused, "no field is added: have the server use X-Forwarded-For, -Proto and -Host")
	}
}

func seconds(args []string) (float64, bool) {
	if len(args) != 1 {
		return 0, false
	}
	text, sum := args[0], 0.0
	units := map[string]float64{"ms": .001, "s": 1, "m": 60, "h": 3600, "": 1}
	for text != "" {
		i := 0
		for i < len(text) && text[i] >= '0' && text[i] <= '9' {
			i++
		}
		k := i
		for k < len(text) && (text[k] < '0' || text[k] > '9') {
			k++
		}
		n, err := strconv.ParseFloat(text[:i], 64)
		unit, ok := units[text[i:k]]
		if err != nil || !ok {
			return 0, false
		}
		sum += n * unit
		text = text[k:]
	}
	return sum, sum > 0 && sum <= 3600
}

// address is host:port of a server, with nginx's usual port.
func address(text string) (string, bool) {
	if strings.HasPrefix(text, "unix:") || strings.ContainsAny(text, "$/ ") || text == "" {
		return "", false
	}
	if _, _, err := net.SplitHostPort(text); err == nil {
		return text, true
	}
	if strings.Count(text, ":") > 1 && !strings.HasPrefix(text, "[") {
		return "", false
	}
	return text + ":80", true
}

func (m *importer) upstream(n *Node) {
	if len(n.Args) != 1 || m.pool(n.Args[0]) != nil {
		m.say(n, Refused, "it takes one name, which no other has")
		return
	}
	p, backup := &pool{name: n.Args[0], from: n.Place}, &pool{name: n.Args[0] + "-backup", from: n.Place}
	for _, d := range n.Block {
		if d.Name == "server" {
			m.member(d, p, backup)
		}
	}
	if len(p.servers) == 0 {
		m.say(n, Refused, "it has no server that could be carried")
		return
	}
	m.pools = append(m.pools, p)
	if len(backup.servers) > 0 {
		p.backup = backup.name
		m.pools = append(m.pools, backup)
	}
}

func (m *importer) member(d *Node, p, backup *pool) {
	if len(d.Args) == 0 {
		m.say(d, Refused, "it names no server")
		return
	}
	at, ok := address(d.Args[0])
	if !ok {
		m.say(d, Refused, "%s: only host:port", d.Args[0])
		return
	}
	in, notes := p, []string(nil)
	for _, a := range d.Args[1:] {
		name, value, _ := strings.Cut(a, "=")
		switch name {
		case "weight":
			if value != "1" {
				notes = append(notes, "weight is not carried: servers are drawn by what their answers are worth")
			}
		case "max_fails", "fail_timeout":
			notes = append(notes, name+" is not carried: a server is paused by its share of failures")
		case "max_conns":
			notes = append(notes, "max_conns is not carried: limits are learned, for each server")
		case "slow_start":
			notes = append(notes, "slow_start is not carried: the cold budget is the deployment's")
		case "backup":
			in = backup
		case "down":
			m.say(d, Differs, "left out: it is down")
			return
		default:
			m.say(d, Refused, "%s: not known", a)
			return
		}
	}
	in.servers = append(in.servers, at)
	if len(notes) > 0 {
		m.say(d, Differs, "%s", strings.Join(notes, "; "))
	} else {
		m.say(d, Carried, "")
	}
}

func (m *importer) pool(name string) *pool {
	for _, p := range m.pools {
		if p.name == name {
			return p
		}
	}
	return nil
}

// keyOf is what a limit counts by.
func keyOf(v string) (string, bool) {
	switch {
	case v == "$binary_remote_addr" || v == "$remote_addr":
		return "address", true
	case strings.HasPrefix(v, "$http_") && !strings.Contains(v[1:], "$"):
		return "field:" + strings.ReplaceAll(v[len("$http_"):], "_", "-"), true
	}
	return "", false
}

func (m *importer) zone(d *Node) {
	by, name, rate, ok := "", "", 0.0, len(d.Args) >= 2
	if ok {
		by, ok = keyOf(d.Args[0])
	}
	if !ok {
		m.say(d, Refused, "only by $binary_remote_addr, $remote_addr or $http_NAME")
		return
	}
	for _, a := range d.Args[1:] {
		key, value, _ := strings.Cut(a, "=")
		switch key {
		case "zone":
			name, _, _ = strings.Cut(value, ":")
		case "rate":
			per := 1.0
			text, found := strings.CutSuffix(value, "r/s")
			if !found {
				text, found = strings.CutSuffix(value, "r/m")
				per = 60
			}
			n, err := strconv.ParseFloat(text, 64)
			if !found || err != nil || !(n > 0) {
				m.say(d, Refused, "no rate: %s", value)
				return
			}
			rate = n / per
		default:
			m.say(d, Refused, "%s: not known", a)
			return
		}
	}
	if name == "" || m.zones[name] != nil {
		m.say(d, Refused, "a zone has a name, which no other has")
		return
	}
	m.zones[name] = &limit{name: name, by: by, from: d.Place, rate: rate}
	m.say(d, Carried, "a limit by %s", by)
}

// used are the limits of a route.
func (m *importer) used(lv *level) (names []string) {
	for _, d := range slices.Concat(lv.reqs, lv.conns) {
		var z *limit
		extra, note := "", "over it 429 at once"
		burst, hand := 0.0, 0
		bad := ""
		if d.Name == "limit_req" {
			for _, a := range d.Args {
				key, value, _ := strings.Cut(a, "=")
				switch key {
				case "zone":
					z = m.zones[value]
				case "burst":
					var err error
					if burst, err = strconv.ParseFloat(value, 64); err != nil {
						bad = a
					}
				case "nodelay":
				case "delay":
					note = "over it 429 at once: nothing is delayed"
				default:
					bad = a
				}
			}
			if !slices.Contains(d.Args, "nodelay") && burst > 0 {
				note = "over it 429 at once: nothing is delayed"
			}
			extra = fmt.Sprint("req", burst)
		} else if len(d.Args) == 2 {
			z = m.zones[d.Args[0]]
			var err error
			if hand, err = strconv.Atoi(d.Args[1]); err != nil || hand <= 0 {
				bad = d.Args[1]
			}
			extra = fmt.Sprint("conn", hand)
		}
		switch {
		case z == nil:
			m.say(d, Refused, "no zone of that name")
			continue
		case bad != "":
			m.say(d, Refused, "%s: not known", bad)
			continue
		case z.extra != "" && z.extra != extra:
			m.say(d, Refused, "the zone is used in two ways: give each a zone of its own")
			continue
		}
		if z.extra == "" {
			z.extra, z.burst, z.inHand = extra, burst+1, hand
			if d.Name == "limit_conn" {
				z.burst = 0
			}
			m.limits = append(m.limits, z)
		}
		m.say(d, Differs, "%s", note)
		if !slices.Contains(names, z.name) {
			names = append(names, z.name)
		}
	}
	return names
}

func (m *importer) mapping(d *Node) {
	if len(d.Args) != 2 || m.maps[d.Args[1]] != nil {
		m.say(d, Refused, "it takes a source and a name, which no other has")
		return
	}
	source := d.Args[0]
	if !strings.HasPrefix(source, "$http_") && !strings.HasPrefix(source, "$arg_") && source != "$request_method" || strings.Contains(source[1:], "$") {
		m.say(d, Refused, "only of $http_NAME, $arg_NAME and $request_method")
		return
	}
	m.maps[d.Args[1]] = &mapping{Node: d, source: source}
	m.say(d, Refused, "nothing uses it that could be carried")
}

func (m *importer) split(d *Node) {
	if len(d.Args) != 2 || m.splits[d.Args[1]] != nil {
		m.say(d, Refused, "it takes a source and a name, which no other has")
		return
	}
	if d.Args[0] != "$remote_addr" && d.Args[0] != "${remote_addr}" && d.Args[0] != "$binary_remote_addr" {
		m.say(d, Refused, "only of $remote_addr: a split is by client address")
		return
	}
	m.splits[d.Args[1]] = d
	m.say(d, Refused, "nothing uses it that could be carried")
}

// site is a server block.
type site struct {
	*Node
	at      []string
	names   []string
	primary string // the first name, if it is an exact one
	def     bool
	skip    bool
}

func (m *importer) servers(list []*Node, lv level) {
	var all []*site
	for _, n := range list {
		if n.Name == "server" && n.Opens {
			s := &site{Node: n}
			m.listen(s)
			m.named(s)
			all = append(all, s)
		}
	}
	var live []*site
	for _, s := range all {
		if !s.skip {
			live = append(live, s)
		}
	}
	if len(live) == 0 {
		return
	}
	for _, s := range live[1:] {
		if !slices.Equal(slices.Sorted(slices.Values(s.at)), slices.Sorted(slices.Values(live[0].at))) {
			m.say(s.Node, Refused, "it listens on %s, the first one on %s: routes are alike on all listeners", strings.Join(s.at, ", "), strings.Join(live[0].at, ", "))
			s.skip = true
		}
	}
	defaults := 0
	for _, s := range live {
		if s.def {
			if defaults++; defaults > 1 {
				m.say(s.Node, Refused, "two are the default of one address")
				s.skip = true
			}
		}
	}
	if defaults == 0 {
		live[0].def = true
	}
	taken := map[string]bool{}
	for _, s := range live {
		for _, name := range s.names {
			if taken[name] {
				m.say(s.Node, Refused, "the name %s is another server's, which has it", name)
				s.skip = true
			}
			taken[name] = true
		}
		if len(s.names) == 0 && !s.def {
			m.say(s.Node, Refused, "it has no name and is no default: nothing comes to it")
			s.skip = true
		}
	}
	for _, a := range live[0].at {
		if host, port, _ := net.SplitHostPort(a); host == "0.0.0.0" && slices.Contains(live[0].at, "[::]:"+port) {
			continue // that one takes both
		}
		m.listeners = append(m.listeners, a)
	}
	for _, s := range live {
		if !s.skip {
			m.server(s, lv)
		}
	}
}

func (m *importer) listen(s *site) {
	any := false
	for _, d := range s.Block {
		if d.Name != "listen" {
			continue
		}
		any = true
		if len(d.Args) == 0 {
			m.say(d, Refused, "it names no address")
			s.skip = true
			continue
		}
		at, grade, note := d.Args[0], Carried, ""
		switch {
		case strings.HasPrefix(at, "unix:"):
			m.say(d, Refused, "no unix sockets")
			s.skip = true
			continue
		case strings.Trim(at, "0123456789") == "":
			at = "0.0.0.0:" + at
		case strings.HasPrefix(at, "*:"):
			at = "0.0.0.0" + at[1:]
		default:
			if _, _, err := net.SplitHostPort(at); err != nil {
				at += ":80"
			}
		}
		if _, port, err := net.SplitHostPort(at); err != nil || strings.Trim(port, "0123456789") != "" || port == "" {
			m.say(d, Refused, "no address: %s", d.Args[0])
			s.skip = true
			continue
		}
		for _, a := range d.Args[1:] {
			key, _, _ := strings.Cut(a, "=")
			switch key {
			case "default_server", "default":
				s.def = true
			case "backlog", "rcvbuf", "sndbuf", "reuseport", "deferred", "so_keepalive", "fastopen", "bind", "ipv6only":
				grade, note = Differs, a+" is lockloom's own"
			case "ssl", "http2", "quic":
				grade, note = Refused, a+": plain HTTP/1.1 only: end it in front"
			default:
				grade, note = Refused, a+": not known"
			}
			if grade == Refused {
				break
			}
		}
		m.say(d, grade, "%s", note)
		if grade == Refused {
			s.skip = true
			continue
		}
		s.at = append(s.at, at)
	}
	if !any {
		s.at = []string{"0.0.0.0:80"}
	}
	if s.skip {
		m.say(s.Node, Refused, "it listens where lockloom cannot")
	}
}

func (m *importer) named(s *site) {
	first := true
	for _, d := range s.Block {
		if d.Name != "server_name" {
			continue
		}
		for _, name := range d.Args {
			name = strings.ToLower(name)
			switch {
			case strings.HasPrefix(name, "~"):
				m.say(d, Refused, "%s: no expressions for names: write them out", name)
			case name == "" || name == "_": // no request has it
			case strings.HasPrefix(name, "."):
				s.names = append(s.names, name[1:], "*"+name)
			case strings.Contains(name, "*") && !strings.HasPrefix(name, "*.") && !strings.HasSuffix(name, ".*") || strings.Count(name, "*") > 1:
				m.say(d, Refused, "%s: a star at one end alone", name)
			default:
				s.names = append(s.names, name)
				if first && !strings.Contains(name, "*") {
					s.primary = name
				}
			}
			first = false
		}
	}
}

func (m *importer) server(s *site, lv level) {
	lv = m.inherit(s.Block, lv)
	hosts := s.names
	if s.def {
		hosts = append(slices.Clone(hosts), "*")
	}
	c := &context{importer: m, site: s}
	for _, d := range s.Block {
		if d.Name == "return" {
			if r := c.answers(d, lv, &out{how: "prefix", path: "/", from: d.Place, hosts: hosts}, nil); r != nil {
				m.add(r)
			}
			for _, l := range s.Block {
				if l.Name == "location" {
					m.say(l, Differs, "never reached: the server returns before")
				}
			}
			return
		}
		if d.Name == "if" || d.Name == "rewrite" {
			m.say(d, Refused, "only within a location")
		}
	}
	for _, r := range c.locations(s.Block, lv, nil, false) {
		r.hosts = hosts
		m.add(r)
	}
}

func (m *importer) add(r *out) { m.routes = append(m.routes, r) }

// context is a server block while its locations are read.
type context struct {
	*importer
	site *site
}

// normal tells whether a path is as requests' are once they are matched.
func normal(path string) bool {
	n, err := routes.NormalizePath(path)
	return err == nil && n == path
}

type spot struct {
	*Node
	how, path string
	final     bool
}

// locations are the routes of a block's; regexes: there are expressions further out.
func (c *context) locations(list []*Node, lv level, parent *spot, regexes bool) (routes []*out) {
	seen := map[string]bool{}
	var spots []*spot
	for _, n := range list {
		if n.Name != "location" || !n.Opens {
			continue
		}
		s, ok := c.spot(n, parent)
		if !ok {
			continue
		}
		if key := s.how + " " + s.path; seen[key] {
			c.say(n, Refused, "the same location twice")
			continue
		} else {
			seen[key] = true
		}
		spots = append(spots, s)
	}
	regexes = regexes || slices.ContainsFunc(spots, func(s *spot) bool { return s.how == "regex" })
	for _, s := range spots {
		routes = append(routes, c.location(s, lv, parent, regexes)...)
	}
	return routes
}

// spot is what a location matches.
func (c *context) spot(n *Node, parent *spot) (*spot, bool) {
	s := &spot{Node: n}
	mod, path := "", ""
	switch len(n.Args) {
	case 1:
		path = n.Args[0]
		for _, x := range []string{"=", "^~", "~*", "~"} { // they may stand without a space
			if rest, ok := strings.CutPrefix(path, x); ok {
				mod, path = x, rest
				break
			}
		}
	case 2:
		mod, path = n.Args[0], n.Args[1]
	default:
		c.say(n, Refused, "it takes a path, and how it is meant")
		return nil, false
	}
	if !utf8.ValidString(path) {
		c.say(n, Refused, "bytes that are no UTF-8")
		return nil, false
	}
	switch mod {
	case "=":
		s.how = "exact"
	case "^~", "":
		s.how, s.final = "prefix", mod != ""
	case "~", "~*":
		s.how = "regex"
		if mod == "~*" {
			path = "(?i)" + path
		}
		if _, err := regexp.Compile(path); err != nil {
			c.say(n, Refused, "the expression cannot be run here: %v", err)
			return nil, false
		}
	default:
		c.say(n, Refused, "%s: not known", mod)
		return nil, false
	}
	s.path = path
	switch {
	case s.how != "regex" && strings.HasPrefix(path, "@"):
		c.say(n, Refused, "named: nothing is routed within")
	case s.how != "regex" && !strings.HasPrefix(path, "/"):
		c.say(n, Refused, "a path begins with a slash")
	case s.how != "regex" && !normal(path):
		c.say(n, Refused, "no request's path is like this once it is in its normal form")
	case parent != nil && parent.how == "exact":
		c.say(n, Refused, "nothing stands within an exact location")
	case parent != nil && parent.how == "regex" && s.how != "regex":
		c.say(n, Refused, "only an expression stands within an expression")
	case parent != nil && s.how != "regex" && !strings.HasPrefix(path, parent.path):
		c.say(n, Refused, "it lies outside of %s, within which it stands", parent.path)
	default:
		return s, true
	}
	return nil, false
}

// location is a location's routes: those that its conditions and rewrites make, and its own.
func (c *context) location(s *spot, lv level, parent *spot, regexes bool) []*out {
	lv = c.inherit(s.Block, lv)
	if parent != nil && s.how == "prefix" && s.final != parent.final && regexes {
		c.say(s.Node, Refused, "within %s, with expressions beside: which of them are asked is not the same here", parent.path)
		return nil
	}
	r := &out{how: s.how, path: s.path, final: s.final, from: s.Place}
	var pass, answer *Node
	var rewrites, ifs []*Node
	for _, d := range s.Block {
		switch d.Name {
		case "proxy_pass":
			pass = d
		case "return":
			if answer == nil {
				answer = d
			}
		case "rewrite":
			rewrites = append(rewrites, d)
		case "if":
			ifs = append(ifs, d)
		}
	}
	var before []*out
	for _, d := range ifs {
		if x := c.when(d, lv, s); x != nil {
			before = append(before, x)
		}
	}
	routes := []*out{r}
	switch {
	case answer != nil:
		if len(rewrites) > 0 {
			c.say(rewrites[0], Refused, "beside return")
			return nil
		}
		if r = c.answers(answer, lv, r, s); r == nil {
			c.say(s.Node, Refused, "what it returns could not be carried")
			return nil
		}
	case pass != nil:
		if routes = c.passes(pass, lv, r, s); routes == nil {
			c.say(s.Node, Refused, "what it passes to could not be carried")
			return nil
		}
		if len(rewrites) > 0 && !c.rewrites(rewrites, routes, s, regexes) {
			return nil
		}
	default:
		c.say(s.Node, Refused, "it has neither proxy_pass nor return: it would serve files, which lockloom does not")
		return nil
	}
	if nested := c.locations(s.Block, lv, s, regexes); len(nested) > 0 {
		if len(rewrites) > 0 {
			c.say(rewrites[0], Refused, "beside nested locations")
			return nil
		}
		last := routes[len(routes)-1]
		last.nested = append(last.nested, nested...)
		if len(routes) > 1 {
			c.say(s.Node, Refused, "nested locations beside a map: which of them holds is not told apart")
			return nil
		}
	}
	c.say(s.Node, Carried, "")
	return append(before, routes...)
}

// when is if ($request_method = M) { return N; }.
func (c *context) when(d *Node, lv level, s *spot) *out {
	words := strings.Fields(strings.Trim(strings.Join(d.Args, " "), "()"))
	if len(words) != 3 || words[0] != "$request_method" || words[1] != "=" || len(d.Block) != 1 || d.Block[0].Name != "return" {
		c.say(d, Refused, "only if ($request_method = M) { return N; }: what else nginx makes of it depends on too much")
		return nil
	}
	r := c.answers(d.Block[0], lv, &out{how: s.how, path: s.path, final: s.final, from: d.Place, methods: []string{words[2]}}, s)
	if r == nil {
		c.say(d, Refused, "what it returns could not be carried")
		return nil
	}
	c.say(d, Carried, "")
	return r
}

// answers makes a route of return.
func (c *context) answers(d *Node, lv level, r *out, s *spot) *out {
	if len(d.Args) == 0 || len(d.Args) > 2 {
		c.say(d, Refused, "it takes a status, and a text or an address")
		return nil
	}
	status, err := strconv.Atoi(d.Args[0])
	to := ""
	if err != nil {
		status, to = 302, d.Args[0]
		if len(d.Args) == 2 {
			c.say(d, Refused, "no status: %s", d.Args[0])
			return nil
		}
	} else if len(d.Args) == 2 {
		to = d.Args[1]
	}
	if slices.Contains([]int{301, 302, 303, 307, 308}, status) {
		return c.redirects(d, r, s, status, to)
	}
	if status < 200 || status > 599 || status == 444 {
		c.say(d, Refused, "%d cannot be answered: 200 to 599", status)
		return nil
	}
	if strings.Contains(to, "$") {
		c.say(d, Refused, "no variables in a fixed answer")
		return nil
	}
	r.answer, r.status, r.body = true, status, to
	if to != "" {
		r.kind = lv.kind
	}
	if to == "" && status >= 400 {
		c.say(d, Differs, "without nginx's page")
	} else {
		c.say(d, Carried, "")
	}
	return r
}

var capture = regexp.MustCompile(`\$([1-9])`)

func (c *context) redirects(d *Node, r *out, s *spot, status int, to string) *out {
	r.status = status
	rest, keep := strings.CutSuffix(to, "$request_uri")
	r.to, r.keep = rest, keep
	r.to = strings.Replace(r.to, "$scheme://", "http://", 1)
	if strings.Contains(r.to, "$server_name") && c.site.primary != "" {
		r.to = strings.ReplaceAll(r.to, "$server_name", c.site.primary)
	}
	if strings.Contains(r.to, "$host") && len(c.site.names) == 1 && c.site.primary != "" && !c.site.def {
		r.to = strings.ReplaceAll(r.to, "$host", c.site.primary)
	}
	if s != nil && s.how == "regex" && !keep {
		r.to = capture.ReplaceAllString(r.to, "$${$1}")
	}
	left := strings.Contains(strings.ReplaceAll(r.to, "${", ""), "$")
	switch {
	case r.to == "":
		c.say(d, Refused, "it tells no address")
		return nil
	case left:
		c.say(d, Refused, "a variable in %s whose value is not known here: $host is, where a server has one name and is no default", to)
		return nil
	case keep && strings.Count(r.to, "/") > 2:
		c.say(d, Refused, "%s: a path before $request_uri", to)
		return nil
	case strings.HasPrefix(r.to, "/"):
		c.say(d, Differs, "the address goes out as it is written, without scheme and host")
	default:
		c.say(d, Carried, "")
	}
	return r
}

// passes makes a route of proxy_pass, or several where a map chooses.
func (c *context) passes(d *Node, lv level, r *out, s *spot) []*out {
	if len(d.Args) != 1 {
		c.say(d, Refused, "it takes one address")
		return nil
	}
	rest, ok := strings.CutPrefix(d.Args[0], "http://")
	if !ok {
		c.say(d, Refused, "%s: only http://", d.Args[0])
		return nil
	}
	whole := strings.HasSuffix(rest, "$request_uri")
	rest = strings.TrimSuffix(rest, "$request_uri")
	host, path := rest, ""
	if i := strings.IndexByte(rest, '/'); i >= 0 {
		host, path = rest[:i], rest[i:]
	}
	switch {
	case strings.Contains(path, "$"):
		c.say(d, Refused, "variables in the path: write a location for each, or a rewrite")
		return nil
	case path != "" && whole:
		c.say(d, Refused, "a path before $request_uri")
		return nil
	case path != "" && s.how == "regex":
		c.say(d, Refused, "a path beside an expression")
		return nil
	case strings.Contains(path, "?"):
		c.say(d, Refused, "a query of its own")
		return nil
	case path != "" && !normal(path):
		c.say(d, Refused, "a path that is not in its normal form")
		return nil
	}
	r.rewrite = path
	r.tariff, r.retry, r.limits = c.tariff(lv.read), c.retry(lv), c.used(&lv)
	note := ""
	if !lv.hasHost {
		note = "the client's Host goes on, where nginx sends the upstream's name"
	}
	done := func(list []*out) []*out {
		if note != "" {
			c.say(d, Differs, "%s", note)
		} else {
			c.say(d, Carried, "")
		}
		return list
	}
	if !strings.Contains(host, "$") {
		if r.pool = c.target(host, d.Place); r.pool == "" {
			c.say(d, Refused, "%s: no upstream, and no host:port", host)
			return nil
		}
		return done([]*out{r})
	}
	if m := c.maps[host]; m != nil {
		if list := c.mapped(m, d, r); list != nil {
			return done(list)
		}
		return nil
	}
	if sp := c.splits[host]; sp != nil {
		rest := 100.0
		for _, e := range sp.Block {
			pct, percent := strings.CutSuffix(e.Name, "%")
			n, err := strconv.ParseFloat(pct, 64)
			if e.Name == "*" {
				n, err, percent = rest, nil, true
			}
			pool := ""
			if len(e.Args) == 1 {
				pool = c.target(e.Args[0], e.Place)
			}
			if err != nil || !percent || pool == "" || n < 0 || n > rest+1e-9 {
				c.say(d, Refused, "%s: %s is no share of an upstream", host, e.Name)
				return nil
			}
			rest -= n
			if n > 0 {
				r.split = append(r.split, share{pool, n})
			}
		}
		c.said[sp] = Verdict{Place: sp.Place, At: sp.Place.String(), Name: sp.Name, Grade: Differs.String(),
			Text: "a split by client address: who has which is drawn anew"}
		return done([]*out{r})
	}
	c.say(d, Refused, "%s: its value is not known here", host)
	return nil
}

// mapped makes a route for each value of a map: words first, then expressions in their order, then the default, as nginx asks them.
func (c *context) mapped(m *mapping, d *Node, r *out) []*out {
	var words, exprs []*out
	def := ""
	for _, e := range m.Block {
		if len(e.Args) != 1 {
			c.say(d, Refused, "%s: %s is not one value", m.Args[1], e.Name)
			return nil
		}
		pool := c.target(e.Args[0], e.Place)
		if pool == "" {
			c.say(d, Refused, "%s: %s is no upstream", m.Args[1], e.Args[0])
			return nil
		}
		if e.Name == "default" {
			def = pool
			continue
		}
		x := *r
		x.from, x.pool = e.Place, pool
		expr, isExpr := strings.CutPrefix(e.Name, "~")
		if isExpr {
			if rest, fold := strings.CutPrefix(expr, "*"); fold {
				expr = "(?i)" + rest
			}
		} else {
			expr = "(?i)^" + regexp.QuoteMeta(strings.TrimPrefix(e.Name, `\`)) + "$"
		}
		_, err := regexp.Compile(expr)
		switch name := m.source; {
		case err != nil || e.Name == "" || e.Name == "hostnames" || e.Name == "include" || e.Name == "volatile":
			c.say(d, Refused, "%s: %q cannot be asked for", m.Args[1], e.Name)
			return nil
		case name == "$request_method" && isExpr:
			c.say(d, Refused, "%s: a method by expression", m.Args[1])
			return nil
		case name == "$request_method":
			x.methods = []string{strings.ToUpper(e.Name)}
		case strings.HasPrefix(name, "$http_"):
			x.fields = []condition{{strings.ReplaceAll(name[len("$http_"):], "_", "-"), expr, true}}
		default:
			x.query = []condition{{name[len("$arg_"):], expr, true}}
		}
		if isExpr {
			exprs = append(exprs, &x)
		} else {
			words = append(words, &x)
		}
	}
	if def == "" {
		c.say(d, Refused, "%s has no default: other values would go nowhere", m.Args[1])
		return nil
	}
	r.pool = def
	c.said[m.Node] = Verdict{Place: m.Place, At: m.Place.String(), Name: m.Name, Grade: Carried.String(), Text: "a route for each value"}
	return append(append(words, exprs...), r)
}

// target is the pool of an upstream, or of one server by its address.
func (m *importer) target(host string, from Place) string {
	if p := m.pool(host); p != nil {
		return p.name
	}
	at, ok := address(host)
	if !ok {
		return ""
	}
	if m.pool(at) == nil {
		m.pools = append(m.pools, &pool{name: at, from: from, servers: []string{at}})
	}
	return at
}

func (m *importer) tariff(s float64) string {
	name := strconv.FormatFloat(s, 'g', -1, 64) + "s"
	if !slices.Contains(m.tariffs, name) {
		m.tariffs = append(m.tariffs, name)
	}
	return name
}

func (m *importer) retry(lv level) string {
	attempts := lv.tries
	if lv.off {
		attempts = 1
	}
	name := "nginx"
	if attempts > 0 {
		name += "-" + strconv.Itoa(attempts)
	}
	if !slices.ContainsFunc(m.retries, func(r *retry) bool { return r.name == name }) {
		m.retries = append(m.retries, &retry{name, attempts})
	}
	return name
}

// rewrites makes nested routes of rewrite directives, the first that matches first.
func (c *context) rewrites(list []*Node, routes []*out, s *spot, regexes bool) bool {
	refuse := func(d *Node, format string, args ...any) bool {
		c.say(d, Refused, format, args...)
		c.say(s.Node, Refused, "a rewrite in it could not be carried")
		return false
	}
	if len(routes) != 1 {
		return refuse(list[0], "beside a map")
	}
	r := routes[0]
	if r.rewrite != "" {
		return refuse(list[0], "beside a path in proxy_pass")
	}
	if s.how == "prefix" && (s.final || regexes) {
		return refuse(list[0], "with ^~ or expressions beside, an expression of its own would be asked in another order: write it as location ~")
	}
	for _, d := range list {
		if len(d.Args) != 3 {
			return refuse(d, "without break, redirect or permanent locations are searched anew, which lockloom does not")
		}
		re, err := regexp.Compile(d.Args[0])
		if err != nil {
			return refuse(d, "the expression cannot be run here: %v", err)
		}
		to := capture.ReplaceAllString(d.Args[1], "$${$1}")
		if strings.Contains(strings.ReplaceAll(to, "${", ""), "$") {
			return refuse(d, "a variable whose value is not known here")
		}
		x := *r
		x.how, x.path, x.from, x.final, x.nested = "regex", d.Args[0], d.Place, false, nil
		switch d.Args[2] {
		case "break":
			if strings.Contains(to, "?") {
				return refuse(d, "a query of its own")
			}
			if s.how == "exact" {
				if re.MatchString(s.path) && r.rewrite == "" {
					r.rewrite = string(re.ExpandString(nil, to, s.path, re.FindStringSubmatchIndex(s.path)))
				}
				c.say(d, Carried, "")
				continue
			}
			x.rewrite = to
		case "redirect", "permanent":
			bare, ok := strings.CutSuffix(to, "?")
			if !ok || strings.Contains(bare, "?") {
				return refuse(d, "the query would be lost: end the replacement with ? where that is meant")
			}
			if s.how == "exact" {
				return refuse(d, "in an exact location: write return")
			}
			x.pool, x.split, x.tariff, x.retry, x.limits = "", nil, "", "", nil
			x.to, x.status = bare, map[string]int{"redirect": 302, "permanent": 301}[d.Args[2]]
		default:
			return refuse(d, "%s: locations are searched anew, which lockloom does not", d.Args[2])
		}
		r.nested = append(r.nested, &x)
		c.say(d, Carried, "")
	}
	return true
}

// text is the operator file. The same configuration gives the same bytes.
func (m *importer) text(im *Import) string {
	var b strings.Builder
	b.Grow(len(m.routes) * routeGuess)
	line := func(format string, args ...any) { fmt.Fprintf(&b, format+"\n", args...) }
	line("# Made by lockloomctl import nginx. Each table names the line that it is of.")
	for _, v := range im.Verdicts {
		if v.Grade == Refused.String() {
			line("# refused: %s: %s: %s", v.At, v.Name, strings.Map(func(r rune) rune {
				if r < ' ' {
					return ' '
				}
				return r
			}, v.Text))
		}
	}
	for _, a := range m.listeners {
		line("\n[[listener]]\naddress = %s", quote(a))
	}
	if len(m.tariffs) == 0 {
		m.tariffs = []string{"60s"}
	}
	for _, t := range m.tariffs {
		s, _ := strconv.ParseFloat(strings.TrimSuffix(t, "s"), 64)
		line("\n[[tariff]] # proxy_read_timeout\nname = %s\nhard_stop = %s", quote(t), number(s))
	}
	for _, p := range m.pools {
		line("\n[[pool]] # %s\nname = %s\nservers = %s", p.from, quote(p.name), quotes(p.servers))
		if p.backup != "" {
			line("backup = %s", quote(p.backup))
		}
	}
	for _, l := range m.limits {
		line("\n[[limit]] # %s\nname = %s\nby = %s", l.from, quote(l.name), quote(l.by))
		if l.inHand > 0 {
			line("in_hand = %d", l.inHand)
		} else {
			line("rate = %s\nburst = %s", number(l.rate), number(l.burst))
		}
	}
	for _, r := range m.retries {
		line("\n[[retry]] # proxy_next_upstream\nname = %s\nfreely = [\"GET\", \"HEAD\", \"OPTIONS\", \"TRACE\", \"PUT\", \"DELETE\"]", quote(r.name))
		if r.legs > 0 {
			line("legs = %d", r.legs)
		}
	}
	for _, r := range m.routes {
		m.route(&b, r, "route")
	}
	return b.String()
}

func (m *importer) route(b *strings.Builder, r *out, table string) {
	line := func(format string, args ...any) { fmt.Fprintf(b, format+"\n", args...) }
	name := fmt.Sprintf("%s:%d", filepath.Base(r.from.File), r.from.Line)
	if m.names[name]++; m.names[name] > 1 {
		name += "-" + strconv.Itoa(m.names[name])
	}
	line("\n[[%s]] # %s\nname = %s", table, r.from, quote(name))
	if len(r.hosts) > 0 {
		line("hosts = %s", quotes(r.hosts))
	}
	line("%s = %s", r.how, quote(r.path))
	if r.final {
		line("final = true")
	}
	if len(r.methods) > 0 {
		line("methods = %s", quotes(r.methods))
	}
	for _, list := range []struct {
		name string
		of   []condition
	}{{"fields", r.fields}, {"query", r.query}} {
		for _, c := range list.of {
			line("%s = [{ name = %s, value = %s, regex = %v }]", list.name, quote(c.name), quote(c.value), c.regex)
		}
	}
	switch {
	case r.answer:
		line("answer = { status = %d, type = %s, body = %s }", r.status, quote(r.kind), quote(r.body))
	case r.to != "":
		line("redirect = { status = %d, to = %s, keep = %v }", r.status, quote(r.to), r.keep)
	case len(r.split) > 0:
		var parts []string
		for _, s := range r.split {
			parts = append(parts, fmt.Sprintf("{ pool = %s, weight = %s }", quote(s.pool), number(s.weight)))
		}
		line("split = [%s]", strings.Join(parts, ", "))
	default:
		line("pool = %s", quote(r.pool))
	}
	if r.rewrite != "" {
		line("rewrite = %s", quote(r.rewrite))
	}
	if r.tariff != "" {
		line("tariff = %s\nretry = %s", quote(r.tariff), quote(r.retry))
	}
	if len(r.limits) > 0 {
		line("limits = %s", quotes(r.limits))
	}
	for _, n := range r.nested {
		m.route(b, n, table+".route")
	}
}

const routeGuess = 160 // bytes of a route's table

// quote is a string as TOML has it: JSON's form, but for one escape that it lacks.
func quote(s string) string {
	text, _ := json.Marshal(strings.ToValidUTF8(s, "\uFFFD"))
	return unescaped.Replace(string(text))
}

var unescaped = strings.NewReplacer(`\u003c`, "<", `\u003e`, ">", `\u0026`, "&", "\x7f", `\u007f`)

func quotes(list []string) string {
	parts := make([]string, len(list))
	for i, s := range list {
		parts[i] = quote(s)
	}
	return "[" + strings.Join(parts, ", ") + "]"
}

func number(x float64) string {
	text := strconv.FormatFloat(x, 'f', -1, 64)
	if !strings.Contains(text, ".") {
		text += ".0"
	}
	return text
}
