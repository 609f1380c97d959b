package nginx

import (
	"slices"
	"strconv"
	"strings"
)

const (
	defaultReadTimeout = 60   // s, the default of nginx
	maxReadTimeout     = 3600 // s
	defaultContentType = "text/plain"
)

// settings holds the values of the directives that a block inherits or sets. As in nginx, a directive in a block
// replaces all inherited directives of the same name.
type settings struct {
	readTimeout      float64 // s
	retry            retrySettings
	contentType      string // of fixed responses
	requestLimits    []*Node
	connectionLimits []*Node
	setsHost         bool // proxy_set_header passes on the client's Host
}

// retrySettings holds the values of proxy_next_upstream and proxy_next_upstream_tries.
type retrySettings struct {
	off   bool
	tries int // 0 for the default
}

func defaultSettings() settings {
	return settings{readTimeout: defaultReadTimeout, contentType: defaultContentType}
}

// blockReader reads the settings of one block. Directives that can be repeated, such as limit_req, add up only within
// one block: the first one in a block discards the inherited ones.
type blockReader struct {
	*converter
	settings
	ownRequestLimits    bool
	ownConnectionLimits bool
	ownHeaders          bool
}

// inherit returns the settings of a block: those of the outer block, changed by the directives of the list.
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
			b.refuse(d, "off is not supported: lockloom always merges slashes")
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
		b.refuse(d, "invalid time %q: expected more than 0 and at most 1 h", strings.Join(d.Args, " "))
		return
	}
	b.readTimeout = timeout
}

func (b *blockReader) proxyNextUpstream(d *Node) {
	b.retry.off = slices.Contains(d.Args, "off")
	if slices.Contains(d.Args, "non_idempotent") {
		b.add(d, Differs,
			"non_idempotent is not carried: a request that may have run is not retried unless its method is idempotent")
	}
}

func (b *blockReader) proxyNextUpstreamTries(d *Node) {
	text := strings.Join(d.Args, " ")
	tries, err := strconv.Atoi(text)
	b.retry.tries = tries
	if err != nil || tries < 0 {
		b.refuse(d, "invalid number of tries: %q", text)
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

// proxyHeaders holds the fields that lockloom sets, in lower case, with the nginx values that have the same meaning.
var proxyHeaders = map[string][]string{
	"host":              {"$host", "$http_host"},
	"connection":        {""},
	"x-forwarded-for":   {"$proxy_add_x_forwarded_for"},
	"x-forwarded-proto": {"$scheme"},
	"x-forwarded-host":  {"$host", "$http_host"},
}

// proxySetHeader accepts only the fields and values that lockloom itself sets.
func (b *blockReader) proxySetHeader(d *Node) {
	if !b.ownHeaders {
		b.setsHost, b.ownHeaders = false, true
	}
	if len(d.Args) != 2 {
		b.refuse(d, "expected a field and a value")
		return
	}
	name, value := strings.ToLower(d.Args[0]), d.Args[1]
	same, known := proxyHeaders[name]
	switch {
	case slices.Contains(same, value):
		b.setsHost = b.setsHost || name == "host"
		b.add(d, Carried, "lockloom sets the same value")
	case known:
		b.refuse(d, "lockloom sets this field itself: the value %s is not supported", value)
	default:
		b.refuse(d, "other fields cannot be set: have the server use X-Forwarded-For, X-Forwarded-Proto and X-Forwarded-Host")
	}
}

// timeUnits holds nginx's units of time, in seconds.
var timeUnits = map[string]float64{"ms": .001, "s": 1, "m": 60, "h": 3600, "": 1}

// seconds parses a time such as "1m30s". It returns false for a malformed time, for 0 and for more than maxReadTimeout.
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
