package nginx

// operatorFile is what a configuration becomes: the tables of an operator file, each kind in the order of first use.
type operatorFile struct {
	listeners []string // addresses
	classes   []string // names of request classes: the read timeout, as in "60s"
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
	backup  string   // name of the pool that stands in for it, or empty
}

// limit bounds the rate of requests, or the requests in flight, by a key of the client.
type limit struct {
	name, key string
	from      Place
	rate      float64 // requests per second
	burst     float64 // requests
	inFlight  int     // requests; 0 if the rate is limited
	usage     string  // the parameters of its first use, which each further use must repeat; empty if unused
}

// retryPolicy says how often a request may be sent.
type retryPolicy struct {
	name     string
	attempts int // 0 for the default
}

// route takes the requests that it matches to an action. Of its nested routes, the one that matches goes before it.
type route struct {
	from   Place
	match  match
	action action
	policy policy
	nested []*route
}

// match says which requests a route takes.
type match struct {
	hosts         []string
	path          pathMatch
	methods       []string
	fields, query []condition
}

// pathKind is how a path is compared, in the operator file's word.
type pathKind string

const (
	exactPath  pathKind = "exact"
	prefixPath pathKind = "prefix"
	regexPath  pathKind = "regex"
)

// pathMatch says which paths a route takes.
type pathMatch struct {
	kind  pathKind
	path  string
	final bool // a prefix after which no regular expression is tried
}

// condition compares a header field or a query parameter.
type condition struct {
	name, value string
	regex       bool
}

// action is what a route does with a request: it answers, redirects, or forwards to one pool or to a split of several.
type action struct {
	response *response
	redirect redirect // none if its target is empty
	split    []weightedPool
	pool     string
	rewrite  string // the path that goes upstream, or empty
}

// response is a fixed answer.
type response struct {
	status      int
	contentType string
	body        string
}

// redirect is an answer that names another address.
type redirect struct {
	status  int
	target  string
	keepURI bool // the request's path and query follow the target
}

// weightedPool is a pool's part of a split.
type weightedPool struct {
	pool   string
	weight float64 // percent
}

// policy is how a route forwards, by names of other tables; empty where it does not forward.
type policy struct {
	class  string
	retry  string
	limits []string
}

// pool finds a pool by its name; nil if there is none.
func (f *operatorFile) pool(name string) *pool {
	for _, p := range f.pools {
		if p.name == name {
			return p
		}
	}
	return nil
}
