package routes

// MatchKind is how a route's path is meant.
type MatchKind uint8

// The kinds of paths.
const (
	Prefix   MatchKind = iota // the path begins with it, at any character
	Segments                  // the path is it, or continues behind it with a slash
	Exact
	Regex
)

var kindNames = [...]string{"prefix", "under", "exact", "regex"}

// String returns the kind's key in the operator file.
func (k MatchKind) String() string { return kindNames[k] }

// Route is one route as it is written.
type Route struct {
	Name    string
	Hosts   []string // empty: the default
	Kind    MatchKind
	Path    string
	Final   bool // of a prefix: no regular expression is tried after it
	Methods []string
	Fields  []Condition
	Query   []Condition
	Nested  []Route // tried where this one's prefix is the longest; their hosts are this one's
	Action  Action
}

// Condition is a condition on a header field or a query parameter.
type Condition struct {
	Name   string
	Value  string // empty: any value, if it is present
	Regex  bool   // Value is a regular expression
	Negate bool
}

// Action is what becomes of a request: one of Pools, Redirect and Response.
type Action struct {
	Pools    []WeightedPool
	Rewrite  string // replaces the matched prefix; of an expression, the whole path, with $1 and ${name}
	Redirect *Redirect
	Response *FixedResponse
}

// WeightedPool is a pool, and its weight among a route's pools.
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

// FixedResponse is given by the proxy itself.
type FixedResponse struct {
	Status int
	Type   string
	Body   string
}

// Fields are a request's header fields.
type Fields interface {
	// Get returns the first field of a name, in whatever case, and whether there is one.
	Get(name string) (value string, present bool)
}

// Request is what a match depends on. Path is as NormalizePath returns it, Host as NormalizeHost does.
type Request struct {
	Host, Method, Path, Query string
	Fields                    Fields
}
