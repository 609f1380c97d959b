package config

import (
	"net"
	"slices"

	"lockloom/internal/tomlfile"
)

// reader checks a decoded file and collects its errors.
type reader struct {
	config *Config
	file   *File // &config.File
	source *tomlfile.File
	errs   []error

	routeTables map[string]int   // number of route tables read so far, by table name
	routes      map[string]table // route tables, by the name of the route
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

// fail adds an error at a field of the n-th table named tableName, counted from 1. n = 0 means that the file has at
// most one such table.
func (r *reader) fail(tableName string, n int, field, format string, args ...any) {
	r.errs = append(r.errs, r.source.ErrorAt(tableName, n, field, format, args...))
}

// table identifies the n-th table with a name in the file, counted from 1. n = 0 means that the file has at most one
// such table.
type table struct {
	reader *reader
	name   string
	n      int
}

func (r *reader) table(name string, n int) table { return table{r, name, n} }

func (t table) fail(field, format string, args ...any) {
	t.reader.fail(t.name, t.n, field, format, args...)
}

// checkName adds an error if name, the table's name field, is empty or among previous, the names of the tables before
// it.
func (t table) checkName(name string, previous []string) {
	switch {
	case name == "":
		t.fail("name", "missing")
	case slices.Contains(previous, name):
		t.fail("name", "%q is already in use", name)
	}
}

// checkKnown adds an error if name, the value of a field, is neither empty nor among known. kind says in the error what
// the field names, such as a pool.
func (t table) checkKnown(field, kind, name string, known []string) {
	if name == "" || slices.Contains(known, name) {
		return
	}
	if nearest := tomlfile.Nearest(name, known); nearest != "" {
		t.fail(field, "unknown %s %q, did you mean %q?", kind, name, nearest)
		return
	}
	t.fail(field, "unknown %s %q", kind, name)
}

func (t table) checkRange(field string, value, minimum, maximum float64) {
	if !(value >= minimum && value <= maximum) {
		t.fail(field, "%v: must be between %v and %v", value, minimum, maximum)
	}
}

func (t table) checkAddress(field, address string) {
	if _, _, err := net.SplitHostPort(address); err != nil {
		t.fail(field, "%v", err)
	}
}

// checkLoopback adds an error unless address is a loopback address. It is for endpoints that do not authenticate their
// clients.
func (t table) checkLoopback(field, address string) {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		t.fail(field, "%v", err)
		return
	}
	ip := net.ParseIP(host)
	if host != "localhost" && (ip == nil || !ip.IsLoopback()) {
		t.fail(field, "%s: must be a loopback address: clients are not authenticated there", address)
	}
}
