package nginx

// operatorFile is the result of a conversion: the tables of an operator file, each kind in the order of first use.
type operatorFile struct {
	listeners []string // addresses
	classes   []string // names of request classes, which are their read timeouts, such as "60s"
	pools     []*pool
	limits    []*limit
	retries   []*retryPolicy
	routes    []*route
}

// pool is a group of servers that requests are balanced over.
type pool struct {
	name    string
	from    Place
	servers []string // host:port
	backup  string   // name of the backup pool, or empty
}

// limit bounds the rate of requests or the number of requests in flight, for each value of a key.
type limit struct {
	name, key string
	from      Place
	rate      float64 // requests per second
	burst     float64 // requests
	inFlight  int     // requests; 0 if the rate is limited
	usage     string  // parameters of the first directive that uses it, which all others must repeat; empty if unused
}

// retryPolicy bounds the number of attempts of a request.
type retryPolicy struct {
	name     string
	attempts int // maximum; 0 for the default
}

// route applies an action to the requests that it matches. A nested route that matches takes precedence.
type route struct {
	from   Place
	match  match
	action action
	policy policy
	nested []*route
}

// match holds the conditions that a request must meet for a route.
type match struct {
	hosts         []string
	path          pathMatch
	methods       []string
	fields, query []condition
}

// pathKind is how a path is compared. Its value is the key of the path in the operator file.
type pathKind string

const (
	exactPath  pathKind = "exact"
	prefixPath pathKind = "prefix"
	regexPath  pathKind = "regex"
)

// pathMatch holds the condition on the path of a request.
type pathMatch struct {
	kind  pathKind
	path  string
	final bool // for a prefix: no regular expression is tried after it matched
}

// condition compares the value of a header field or of a query parameter.
type condition struct {
	name, value string
	regex       bool
}

// action is what a route does with a request: send a response, redirect, or forward to one pool or a split of several.
type action struct {
	response *response
	redirect redirect // unset if its target is empty
	split    []weightedPool
	pool     string
	rewrite  string // replaces the matched prefix or, for a regular expression, the whole path; empty if unset
}

// response is a fixed response.
type response struct {
	status      int
	contentType string
	body        string
}

// redirect is a response that sends the client to another URL.
type redirect struct {
	status  int
	target  string
	keepURI bool // the path and the query of the request are appended to the target
}

// weightedPool is a pool and its share of a split.
type weightedPool struct {
	pool   string
	weight float64 // percent
}

// policy holds the names of the request class, the retry policy and the limits of a route; it is empty for a route
// that does not forward.
type policy struct {
	class  string
	retry  string
	limits []string
}

// pool returns the pool of a name, or nil if there is none.
func (f *operatorFile) pool(name string) *pool {
	for _, p := range f.pools {
		if p.name == name {
			return p
		}
	}
	return nil
}
