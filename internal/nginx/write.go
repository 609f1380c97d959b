package nginx

import (
	"encoding/json"
	"fmt"
	"path/filepath"
	"strconv"
	"strings"
)

// routeSizeHint is about how many bytes the table of a route takes.
const routeSizeHint = 160

// defaultClass is the request class of a file whose routes name none.
const defaultClass = "60s"

// fileWriter writes an operator file. The same tables give the same bytes.
type fileWriter struct {
	strings.Builder
	routeNames map[string]int // how many routes come of a line
}

// text is the operator file, with the refused directives as comments at its head.
func (f *operatorFile) text(verdicts []Verdict) string {
	w := &fileWriter{routeNames: map[string]int{}}
	w.Grow(len(f.routes) * routeSizeHint)
	w.head(verdicts)
	for _, address := range f.listeners {
		w.line("\n[[listener]]\naddress = %s", quote(address))
	}
	w.classes(f.classes)
	for _, p := range f.pools {
		w.pool(p)
	}
	for _, l := range f.limits {
		w.limit(l)
	}
	for _, r := range f.retries {
		w.retryPolicy(r)
	}
	for _, r := range f.routes {
		w.route(r, "route")
	}
	return w.String()
}

func (w *fileWriter) line(format string, args ...any) {
	fmt.Fprintf(w, format+"\n", args...)
}

func (w *fileWriter) head(verdicts []Verdict) {
	w.line("# Made by lockloomctl import nginx. Each table names the line that it is of.")
	for _, v := range verdicts {
		if v.Grade == Refused.String() {
			w.line("# refused: %s: %s: %s", v.At, v.Name, strings.Map(printable, v.Text))
		}
	}
}

// printable keeps a comment on its line.
func printable(r rune) rune {
	if r < ' ' {
		return ' '
	}
	return r
}

func (w *fileWriter) classes(names []string) {
	if len(names) == 0 {
		names = []string{defaultClass}
	}
	for _, name := range names {
		timeout, _ := strconv.ParseFloat(strings.TrimSuffix(name, "s"), 64) // made by FormatFloat
		w.line("\n[[tariff]] # proxy_read_timeout\nname = %s\nhard_stop = %s", quote(name), number(timeout))
	}
}

func (w *fileWriter) pool(p *pool) {
	w.line("\n[[pool]] # %s\nname = %s\nservers = %s", p.from, quote(p.name), quoteList(p.servers))
	if p.backup != "" {
		w.line("backup = %s", quote(p.backup))
	}
}

func (w *fileWriter) limit(l *limit) {
	w.line("\n[[limit]] # %s\nname = %s\nby = %s", l.from, quote(l.name), quote(l.key))
	if l.inFlight > 0 {
		w.line("in_hand = %d", l.inFlight)
		return
	}
	w.line("rate = %s\nburst = %s", number(l.rate), number(l.burst))
}

func (w *fileWriter) retryPolicy(r *retryPolicy) {
	w.line("\n[[retry]] # proxy_next_upstream\nname = %s", quote(r.name))
	w.line(`freely = ["GET", "HEAD", "OPTIONS", "TRACE", "PUT", "DELETE"]`)
	if r.attempts > 0 {
		w.line("legs = %d", r.attempts)
	}
}

// route writes a route and those within it.
func (w *fileWriter) route(r *route, table string) {
	w.line("\n[[%s]] # %s\nname = %s", table, r.from, quote(w.routeName(r.from)))
	w.match(&r.match)
	w.action(&r.action)
	w.policy(&r.policy)
	for _, nested := range r.nested {
		w.route(nested, table+".route")
	}
}

// routeName names a route by the line it is of. Further routes of a line are numbered.
func (w *fileWriter) routeName(from Place) string {
	name := fmt.Sprintf("%s:%d", filepath.Base(from.File), from.Line)
	if w.routeNames[name]++; w.routeNames[name] > 1 {
		name += "-" + strconv.Itoa(w.routeNames[name])
	}
	return name
}

func (w *fileWriter) match(m *match) {
	if len(m.hosts) > 0 {
		w.line("hosts = %s", quoteList(m.hosts))
	}
	w.line("%s = %s", m.path.kind, quote(m.path.path))
	if m.path.final {
		w.line("final = true")
	}
	if len(m.methods) > 0 {
		w.line("methods = %s", quoteList(m.methods))
	}
	w.conditions("fields", m.fields)
	w.conditions("query", m.query)
}

func (w *fileWriter) conditions(key string, list []condition) {
	for _, c := range list {
		w.line("%s = [{ name = %s, value = %s, regex = %v }]", key, quote(c.name), quote(c.value), c.regex)
	}
}

func (w *fileWriter) action(a *action) {
	switch {
	case a.response != nil:
		r := a.response
		w.line("answer = { status = %d, type = %s, body = %s }", r.status, quote(r.contentType), quote(r.body))
	case a.redirect.target != "":
		r := a.redirect
		w.line("redirect = { status = %d, to = %s, keep = %v }", r.status, quote(r.target), r.keepURI)
	case len(a.split) > 0:
		w.split(a.split)
	default:
		w.line("pool = %s", quote(a.pool))
	}
	if a.rewrite != "" {
		w.line("rewrite = %s", quote(a.rewrite))
	}
}

func (w *fileWriter) split(parts []weightedPool) {
	tables := make([]string, len(parts))
	for i, part := range parts {
		tables[i] = fmt.Sprintf("{ pool = %s, weight = %s }", quote(part.pool), number(part.weight))
	}
	w.line("split = [%s]", strings.Join(tables, ", "))
}

func (w *fileWriter) policy(p *policy) {
	if p.class != "" {
		w.line("tariff = %s\nretry = %s", quote(p.class), quote(p.retry))
	}
	if len(p.limits) > 0 {
		w.line("limits = %s", quoteList(p.limits))
	}
}

// quote is a TOML string: JSON's form, without the escapes that JSON makes for HTML and with one that it lacks.
func quote(s string) string {
	text, _ := json.Marshal(strings.ToValidUTF8(s, "\uFFFD")) // a string can always be encoded
	return jsonToTOML.Replace(string(text))
}

var jsonToTOML = strings.NewReplacer(`\u003c`, "<", `\u003e`, ">", `\u0026`, "&", "\x7f", `\u007f`)

func quoteList(list []string) string {
	parts := make([]string, len(list))
	for i, s := range list {
		parts[i] = quote(s)
	}
	return "[" + strings.Join(parts, ", ") + "]"
}

// number is a TOML float, which has a decimal point.
func number(x float64) string {
	text := strconv.FormatFloat(x, 'f', -1, 64)
	if !strings.Contains(text, ".") {
		text += ".0"
	}
	return text
}
