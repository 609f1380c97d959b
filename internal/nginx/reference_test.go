package nginx

import (
	"regexp"
	"slices"
	"strings"
)

// reference routes a request as nginx does. It is simple and slow, written from nginx's documentation independently of
// the converter, and supports only the directives that the samples use.
func reference(list []*Node, q *request) outcome {
	http := list
	for _, n := range list {
		if n.Name == "http" {
			http = n.Block
		}
	}
	r := &router{http: http, q: q}
	server := r.server()
	for _, d := range server.Block {
		if d.Name == "return" {
			return r.returnOutcome(d, nil)
		}
	}
	loc, captures := r.location(server.Block)
	if loc == nil {
		return outcome{status: 404}
	}
	return r.handle(loc, captures)
}

type router struct {
	http    []*Node
	q       *request
	current *Node
}

func directivesNamed(list []*Node, name string) (out []*Node) {
	for _, n := range list {
		if n.Name == name {
			out = append(out, n)
		}
	}
	return out
}

// server returns the server for the host: that with the exact name, else with the longest name that begins with an
// asterisk, else with the longest that ends with one, else the default server.
func (r *router) server() *Node {
	servers := directivesNamed(r.http, "server")
	defaultServer := servers[0]
	for _, s := range servers {
		for _, l := range directivesNamed(s.Block, "listen") {
			if slices.Contains(l.Args, "default_server") {
				defaultServer = s
			}
		}
	}
	best, bestRank := defaultServer, 0
	for _, s := range servers {
		for _, d := range directivesNamed(s.Block, "server_name") {
			for _, name := range d.Args {
				if rank := nameRank(name, r.q.host); rank > bestRank {
					best, bestRank = s, rank
				}
			}
		}
	}
	r.current = best
	return best
}

// nameRank returns the precedence of a server's name for a host, or 0 if the name does not match the host.
func nameRank(name, host string) int {
	switch {
	case name == host || "."+host == name:
		return 3_000_000
	case strings.HasPrefix(name, "*.") && strings.HasSuffix(host, name[1:]):
		return 2_000_000 + len(name)
	case strings.HasPrefix(name, ".") && strings.HasSuffix(host, name):
		return 2_000_000 + len(name) + 1
	case strings.HasSuffix(name, ".*") && strings.HasPrefix(host, name[:len(name)-1]):
		return 1_000_000 + len(name)
	}
	return 0
}

func modifierAndPath(n *Node) (mod, path string) {
	if len(n.Args) == 2 {
		return n.Args[0], n.Args[1]
	}
	return "", n.Args[0]
}

func expression(mod, path string) *regexp.Regexp {
	if mod == "~*" {
		path = "(?i)" + path
	}
	return regexp.MustCompile(path)
}

// location returns the location for the path and the captures of its expression. An exact location ends the search.
// Else the locations nested in the one with the longest prefix are searched and then, unless it has ^~, the regular
// expressions in their order. If none matches, it is the location with the longest prefix.
func (r *router) location(list []*Node) (*Node, []string) {
	exact, longest := r.literalLocation(list)
	if exact != nil {
		return exact, nil
	}
	var found *Node
	var captures []string
	final := false
	if longest != nil {
		mod, _ := modifierAndPath(longest)
		final = mod == "^~"
		if found, captures = r.location(longest.Block); found != nil && endsSearch(found) {
			return found, captures
		}
	}
	if !final {
		if n, c := r.regexLocation(list); n != nil {
			return n, c
		}
	}
	if found != nil {
		return found, captures
	}
	return longest, nil
}

// literalLocation returns the exact location of the path, or else the location with the longest prefix of it.
func (r *router) literalLocation(list []*Node) (exact, longest *Node) {
	for _, n := range directivesNamed(list, "location") {
		mod, path := modifierAndPath(n)
		switch {
		case mod == "=" && r.q.path == path:
			return n, nil
		case mod == "" || mod == "^~":
			if !strings.HasPrefix(r.q.path, path) {
				continue
			}
			if longest == nil {
				longest = n
			} else if _, old := modifierAndPath(longest); len(path) > len(old) {
				longest = n
			}
		}
	}
	return nil, longest
}

// regexLocation returns the first location whose expression matches the path, or the matching location nested in it.
func (r *router) regexLocation(list []*Node) (*Node, []string) {
	for _, n := range directivesNamed(list, "location") {
		mod, path := modifierAndPath(n)
		if mod != "~" && mod != "~*" {
			continue
		}
		if m := expression(mod, path).FindStringSubmatch(r.q.path); m != nil {
			if inner, c := r.location(n.Block); inner != nil {
				return inner, c
			}
			return n, m
		}
	}
	return nil, nil
}

// endsSearch reports whether a nested location ends the search: it is an exact one or a regular expression.
func endsSearch(n *Node) bool {
	mod, _ := modifierAndPath(n)
	return mod == "=" || mod == "~" || mod == "~*"
}

func (r *router) handle(loc *Node, captures []string) outcome {
	uri := r.q.path
	rewritten := false
	for _, d := range loc.Block {
		switch d.Name {
		case "if":
			if strings.Trim(d.Args[len(d.Args)-1], "()") == r.q.method {
				return r.returnOutcome(d.Block[0], captures)
			}
		case "return":
			return r.returnOutcome(d, captures)
		}
	}
	for _, d := range directivesNamed(loc.Block, "rewrite") {
		m := regexp.MustCompile(d.Args[0]).FindStringSubmatch(uri)
		if m == nil {
			continue
		}
		to := d.Args[1]
		for i, c := range m {
			if i > 0 {
				to = strings.ReplaceAll(to, "$"+string(rune('0'+i)), c)
			}
		}
		if d.Args[2] == "permanent" {
			return outcome{status: 301, location: strings.TrimSuffix(to, "?")}
		}
		uri, rewritten = to, true
		break
	}
	pass := directivesNamed(loc.Block, "proxy_pass")[0].Args[0]
	pass = strings.TrimSuffix(strings.TrimPrefix(pass, "http://"), "$request_uri")
	host, path, hasPath := strings.Cut(pass, "/")
	_, locationPath := modifierAndPath(loc)
	if hasPath && !rewritten {
		uri = "/" + path + strings.TrimPrefix(uri, locationPath)
	}
	return outcome{servers: r.servers(host), path: uri}
}

func (r *router) servers(host string) (out []string) {
	if strings.HasPrefix(host, "$") {
		for _, m := range directivesNamed(r.http, "map") {
			if m.Args[1] == host {
				return r.servers(r.mapped(m))
			}
		}
		for _, s := range directivesNamed(r.http, "split_clients") { // any pool, since nginx assigns clients by a hash
			if s.Args[1] == host {
				for _, e := range s.Block {
					out = append(out, r.servers(e.Args[0])...)
				}
			}
		}
		slices.Sort(out)
		return out
	}
	for _, u := range directivesNamed(r.http, "upstream") {
		if u.Args[0] == host {
			for _, s := range directivesNamed(u.Block, "server") {
				if !slices.Contains(s.Args, "backup") && !slices.Contains(s.Args, "down") {
					out = append(out, s.Args[0])
				}
			}
			slices.Sort(out)
			return out
		}
	}
	if !strings.Contains(host, ":") {
		host += ":80"
	}
	return []string{host}
}

func (r *router) mapped(m *Node) string {
	value := ""
	switch source := m.Args[0]; {
	case source == "$request_method":
		value = r.q.method
	case strings.HasPrefix(source, "$http_"):
		value = r.q.fields[strings.ReplaceAll(strings.TrimPrefix(source, "$http_"), "_", "-")]
	case strings.HasPrefix(source, "$arg_"):
		for part := range strings.SplitSeq(r.q.query, "&") {
			if name, v, _ := strings.Cut(part, "="); name == strings.TrimPrefix(source, "$arg_") {
				value = v
				break
			}
		}
	}
	defaultValue := ""
	for _, e := range m.Block {
		if strings.EqualFold(e.Name, value) && e.Name != "default" {
			return e.Args[0]
		}
		if e.Name == "default" {
			defaultValue = e.Args[0]
		}
	}
	for _, e := range m.Block {
		if expr, ok := strings.CutPrefix(e.Name, "~"); ok && regexp.MustCompile(expr).MatchString(value) {
			return e.Args[0]
		}
	}
	return defaultValue
}

func (r *router) returnOutcome(d *Node, captures []string) outcome {
	text := ""
	status := 302
	if c := d.Args[0]; c[0] >= '0' && c[0] <= '9' {
		status = int(c[0]-'0')*100 + int(c[1]-'0')*10 + int(c[2]-'0')
		if len(d.Args) > 1 {
			text = d.Args[1]
		}
	} else {
		text = c
	}
	name := directivesNamed(r.current.Block, "server_name")[0].Args[0]
	uri := r.q.path
	if r.q.query != "" {
		uri += "?" + r.q.query
	}
	variables := map[string]string{"$request_uri": uri, "$scheme": "http", "$host": r.q.host, "$server_name": name}
	for from, to := range variables {
		text = strings.ReplaceAll(text, from, to)
	}
	for i, c := range captures {
		if i > 0 {
			text = strings.ReplaceAll(text, "$"+string(rune('0'+i)), c)
		}
	}
	if status == 301 || status == 302 || status == 303 || status == 307 || status == 308 {
		return outcome{status: status, location: text}
	}
	return outcome{status: status, body: text}
}
