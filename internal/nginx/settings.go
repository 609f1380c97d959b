package nginx

import (
	"slices"
	"strconv"
	"strings"
)

const (
	defaultReadTimeout = 60   // s, nginx's own
	maxReadTimeout     = 3600 // s
	defaultContentType = "text/plain"
)

// settings are the directives that hold in a block. By nginx's inheritance, what a block says of a directive replaces
// all that it had of it from outside.
type settings struct {
	readTimeout      float64 // s
	retry            retrySettings
	contentType      string // of fixed answers
	requestLimits    []*Node
	connectionLimits []*Node
	setsHost         bool // the client's Host is passed on
}

// retrySettings are those of proxy_next_upstream.
type retrySettings struct {
	off   bool
	tries int // 0 for the default
}

func defaultSettings() settings {
	return settings{readTimeout: defaultReadTimeout, contentType: defaultContentType}
}

// blockReader reads the settings of one block. Directives that add up do so within a block only: the first one drops
// what was inherited.
type blockReader struct {
	*converter
	settings
	ownRequestLimits    bool
	ownConnectionLimits bool
	ownHeaders          bool
}

// inherit is what holds in a block that stands in one with the given settings.
func (c *converter) inherit(list []*Node, outer settings) settings {
	b := &blockReader{converter: c, settings: outer}
	for _, d := range list {
		b.read(d)
	}
	return b.settings
}

func (b *blockReader) read(d *Node) {
	switch d.Name {
	case "proxy_read_timeout":
		b.proxyReadTimeout(d)
	case "proxy_next_upstream":
		b.proxyNextUpstream(d)
	case "proxy_next_upstream_tries":
		b.proxyNextUpstreamTries(d)
	case "default_type":
		if len(d.Args) == 1 {
			b.contentType = d.Args[0]
		}
	case "merge_slashes":
		if slices.Contains(d.Args, "off") {
			b.refuse(d, "several slashes are one: lockloom knows no other way")
		}
	case "limit_req":
		b.limitReq(d)
	case "limit_conn":
		b.limitConn(d)
	case "proxy_set_header":
		b.proxySetHeader(d)
	}
}

func (b *blockReader) proxyReadTimeout(d *Node) {
	timeout, ok := seconds(d.Args)
	if !ok {
		b.refuse(d, "no time: %s", strings.Join(d.Args, " "))
		return
	}
	b.readTimeout = timeout
}

func (b *blockReader) proxyNextUpstream(d *Node) {
	b.retry.off = slices.Contains(d.Args, "off")
	if slices.Contains(d.Args, "non_idempotent") {
		b.add(d, Differs,
			"non_idempotent is not carried: what may have run is not sent again, whatever is lost by it")
	}
}

func (b *blockReader) proxyNextUpstreamTries(d *Node) {
	text := strings.Join(d.Args, " ")
	tries, err := strconv.Atoi(text)
	b.retry.tries = tries
	if err != nil || tries < 0 {
		b.refuse(d, "no number: %s", text)
	}
}

func (b *blockReader) limitReq(d *Node) {
	if !b.ownRequestLimits {
		b.requestLimits, b.ownRequestLimits = nil, true
	}
	b.requestLimits = append(b.requestLimits, d)
}

func (b *blockReader) limitConn(d *Node) {
	if !b.ownConnectionLimits {
		b.connectionLimits, b.ownConnectionLimits = nil, true
	}
	b.connectionLimits = append(b.connectionLimits, d)
}

// proxyHeaders are the fields that lockloom sets, in lower case, with the values that mean the same to nginx.
var proxyHeaders = map[string][]string{
	"host":              {"$host", "$http_host"},
	"connection":        {""},
	"x-forwarded-for":   {"$proxy_add_x_forwarded_for"},
	"x-forwarded-proto": {"$scheme"},
	"x-forwarded-host":  {"$host", "$http_host"},
}

// proxySetHeader takes the fields that lockloom sets to the same value.
func (b *blockReader) proxySetHeader(d *Node) {
	if !b.ownHeaders {
		b.setsHost, b.ownHeaders = false, true
	}
	if len(d.Args) != 2 {
		b.refuse(d, "it takes a field and a value")
		return
	}
	name, value := strings.ToLower(d.Args[0]), d.Args[1]
	same, known := proxyHeaders[name]
	switch {
	case slices.Contains(same, value):
		b.setsHost = b.setsHost || name == "host"
		b.add(d, Carried, "as lockloom does")
	case known:
		b.refuse(d, "lockloom sets this field its own way: %s cannot be had", value)
	default:
		b.refuse(d, "no field is added: have the server use X-Forwarded-For, -Proto and -Host")
	}
}

// timeUnits are nginx's units of time in seconds.
var timeUnits = map[string]float64{"ms": .001, "s": 1, "m": 60, "h": 3600, "": 1}

// seconds reads a time such as "1m 30s" without its space. It fails for none, and for more than an hour.
func seconds(args []string) (float64, bool) {
	if len(args) != 1 {
		return 0, false
	}
	rest, sum := args[0], 0.0
	for rest != "" {
		digits := len(rest) - len(strings.TrimLeft(rest, decimalDigits))
		unitEnd := len(rest)
		if next := strings.IndexAny(rest[digits:], decimalDigits); next >= 0 {
			unitEnd = digits + next
		}
		count, err := strconv.ParseFloat(rest[:digits], 64)
		unit, ok := timeUnits[rest[digits:unitEnd]]
		if err != nil || !ok {
			return 0, false
		}
		sum += count * unit
		rest = rest[unitEnd:]
	}
	return sum, sum > 0 && sum <= maxReadTimeout
}

const decimalDigits = "0123456789"
