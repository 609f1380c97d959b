package config

import (
	"net"
	"slices"

	"lockloom/internal/tomlfile"
)

// reader gathers the errors of a file while it is read.
type reader struct {
	config *Config
	file   *File // the config's
	source *tomlfile.File
	errs   []error

	routeTables map[string]int   // route tables met so far, by their name in the file
	routes      map[string]table // by the route's name
}

func newReader(config *Config, source *tomlfile.File) *reader {
	return &reader{
		config:      config,
		file:        &config.File,
		source:      source,
		routeTables: map[string]int{},
		routes:      map[string]table{},
	}
}

// fail adds an error at a field of the n-th table of a name, from 1; n 0: of the only one.
func (r *reader) fail(tableName string, n int, field, format string, args ...any) {
	r.errs = append(r.errs, r.source.At(tableName, n, field, format, args...))
}

// table is one table of the file, the n-th of its name, from 1; 0: the only one.
type table struct {
	reader *reader
	name   string
	n      int
}

func (r *reader) table(name string, n int) table { return table{r, name, n} }

func (t table) fail(field, format string, args ...any) {
	t.reader.fail(t.name, t.n, field, format, args...)
}

// checkName checks the table's name, and that none before it has the same.
func (t table) checkName(name string, before []string) {
	switch {
	case name == "":
		t.fail("name", "missing")
	case slices.Contains(before, name):
		t.fail("name", "%q is another's already", name)
	}
}

// checkKnown checks that a field is empty or names something there is, of this kind.
func (t table) checkKnown(field, kind, name string, among []string) {
	if name == "" || slices.Contains(among, name) {
		return
	}
	if near := tomlfile.Nearest(name, among); near != "" {
		t.fail(field, "no %s %q: %s?", kind, name, near)
		return
	}
	t.fail(field, "no %s %q", kind, name)
}

func (t table) checkRange(field string, value, least, greatest float64) {
	if !(value >= least && value <= greatest) {
		t.fail(field, "%v: it is from %v to %v", value, least, greatest)
	}
}

func (t table) checkAddress(field, address string) {
	if _, _, err := net.SplitHostPort(address); err != nil {
		t.fail(field, "%v", err)
	}
}

// checkLoopback checks an address whose clients are not authenticated.
func (t table) checkLoopback(field, address string) {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		t.fail(field, "%v", err)
		return
	}
	ip := net.ParseIP(host)
	if host != "localhost" && (ip == nil || !ip.IsLoopback()) {
		t.fail(field, "%s: it must be of the loopback: nobody is asked who he is there", address)
	}
}
