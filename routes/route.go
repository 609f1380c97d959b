package routes

// MatchKind says how the path of a route is matched.
type MatchKind uint8

// The ways to match a path.
const (
	Prefix   MatchKind = iota // the request's path begins with the route's path
	Segments                  // the same, but the prefix must end at the end of a path segment
	Exact                     // the request's path is equal to the route's path
	Regex                     // the route's path is a regular expression
)

var kindNames = [...]string{"prefix", "under", "exact", "regex"}

// String returns the key of the kind in the operator file.
func (k MatchKind) String() string { return kindNames[k] }

// Route is the configuration of a route.
type Route struct {
	Name    string
	Hosts   []string // empty: the default, for requests whose host no other route names
	Kind    MatchKind
	Path    string
	Final   bool     // of a prefix: if it is the longest, no regular expressions are tried
	Methods []string // empty: any
	Fields  []Condition
	Query   []Condition
	Nested  []Route // without Hosts; regular expressions among them apply only within this route
	Action  Action
}

// Condition is a condition on a header field or a query parameter.
type Condition struct {
	Name   string
	Value  string // empty: any value, but the field or parameter must be present
	Regex  bool   // Value is a regular expression
	Negate bool   // the condition must not be met
}

// Action says how a route handles requests. Exactly one of Pools, Redirect and Response is set.
type Action struct {
	Pools    []WeightedPool
	Rewrite  string // replaces the matched prefix, or for Regex the whole path, with $1 and ${name} expanded
	Redirect *Redirect
	Response *FixedResponse
}

// WeightedPool is a pool and its weight relative to the other pools of the route.
type WeightedPool struct {
	Pool   string
	Weight float64
}

// Redirect is an action that answers a request with a redirect.
type Redirect struct {
	Status   int
	To       string // value of the Location field; for Regex, $1 and ${name} are expanded
	KeepPath bool   // appends the request's path and query to To
}

// FixedResponse is an action that answers a request in the proxy.
type FixedResponse struct {
	Status int
	Type   string // value of the Content-Type field
	Body   string
}

// Fields are a request's header fields.
type Fields interface {
	// Get returns the value of the first field with the given name, and whether there is one. Names are not
	// case-sensitive.
	Get(name string) (value string, present bool)
}

// Request holds the parts of a request that routes match. Path must be normalized by NormalizePath, and Host by
// NormalizeHost.
type Request struct {
	Host, Method, Path, Query string
	Fields                    Fields
}
