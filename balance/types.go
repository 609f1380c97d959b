package balance

// Idempotency says whether the requests of a class may run more than once.
type Idempotency uint8

// Values of Idempotency.
const (
	Idempotent    Idempotency = iota // may run again
	Keyed                            // carries an idempotency key, by which the servers of a group drop repeats
	NonIdempotent                    // must never run twice
)

// DedupScope is the deduplication group: the servers that drop the repeats of a Keyed request.
type DedupScope uint8

// Values of DedupScope.
const (
	DedupAll  DedupScope = iota // all servers
	DedupZone                   // the servers of a zone
	DedupPod                    // the servers of a pod
)

// Outcome is how an attempt ended.
type Outcome uint8

// Outcomes. Most comments also state whether the server may have executed the attempt ("run").
const (
	Succeeded      Outcome = iota // the server answered without an error
	ServerError                   // the server returned an error; the attempt may have run
	ServerRejected                // the server had no capacity; the attempt never ran
	TimedOut                      // no answer in time; the attempt may have run, or still be running
	ConnectFailed                 // no connection was established in time; the attempt never ran
	ConnectionLost                // the connection dropped; the attempt may have run
	Canceled                      // the proxy canceled the attempt; it may have run
	NotSent                       // the attempt was not sent; it never ran
	InvalidRequest                // the server found the request invalid; the attempt may have run
)

// outcomeNames are the names in logs and in the output of lockloomctl why.
var outcomeNames = [...]string{
	Succeeded:      "succeeded",
	ServerError:    "server_error",
	ServerRejected: "no_capacity",
	TimedOut:       "timeout",
	ConnectFailed:  "connect_failed",
	ConnectionLost: "connection_lost",
	Canceled:       "cancelled", //nolint:misspell // the documentation and the operators' log searches use this spelling
	NotSent:        "never_sent",
	InvalidRequest: "request_fault",
}

// String returns the name that logs use for the outcome.
func (o Outcome) String() string { return outcomeNames[o] }

// NeverRan reports whether an outcome proves that the attempt never ran.
func (o Outcome) NeverRan() bool { return o == ServerRejected || o == ConnectFailed || o == NotSent }

// Reply is a final answer that the proxy itself generates. A successful request needs none: the response to its first
// successful attempt is forwarded to the client.
type Reply uint8

// Replies.
const (
	NoReply  Reply = iota // the proxy generates no answer now
	Rejected              // the request was not served; a retry by the client is safe
	Failed                // the request was not served, but may have taken effect
)

// Deployment holds the settings of a Balancer. Times are in seconds; costs are shares of the cost of the whole service.
type Deployment struct {
	Seed           uint64  `json:"Seed"`      // seed of all random decisions
	Proxies        int     `json:"Proxies"`   // number of proxies in the fleet, this one included
	ProxyIndex     int     `json:"Self"`      // index of this proxy among them, from 0
	Zone           int     `json:"Zone"`      // zone of this proxy; -1: unknown
	Sidecar        bool    `json:"Apart"`     // each client process has its own proxy, so their traffic differs widely
	Gossip         bool    `json:"Peers"`     // proxies may send gossip to one another
	HealthChecks   bool    `json:"Probes"`    // servers may be sent health checks, which return their load
	ConnectionCost float64 `json:"ConnPrice"` // cost of keeping a hundred connections per server open
	HandshakeCost  float64 `json:"OpenPrice"` // cost of opening one connection per request

	// ServerIdleTimeout is the time after which a server closes an idle connection at the latest; 0: unknown.
	ServerIdleTimeout float64 `json:"IdleFor"`

	GossipCost      float64  `json:"PeerPrice"`  // cost of sending one full gossip message per request
	HealthCheckCost float64  `json:"ProbePrice"` // cost of sending one health check per request
	Classes         []Class  `json:"Tariffs"`
	Tenants         []Tenant `json:"Customers"`
	WeightByWork    bool     `json:"ValueByWork"` // Class.PriorityWeight is per unit of a request's work, not per request
	MaxAttempts     int      `json:"MaxLegs"`     // most attempts per request, the first one included
	CancelAllowed   bool     `json:"CallOff"`     // attempts in flight may be canceled
	HedgingAllowed  bool     `json:"Beside"`      // two attempts of a request may be in flight at once
	MaxRetryAfter   float64  `json:"MaxAdvice"`   // the longest Retry-After that clients honor; 0: none
	CacheAffinity   bool     `json:"WarmKeys"`    // a server has less work with an affinity key that it served recently

	// RemovalIsAdvisory allows sending to a server that the endpoint list has removed or omits, as long as the server
	// still answers and unless it was draining.
	RemovalIsAdvisory bool `json:"GoneAdvises"`

	PollsEndpoints       bool    `json:"AsksList"`     // the proxy has to subscribe to the endpoint list
	NotificationDeadline float64 `json:"AskEvery"`     // time after which a change of the list always counts as received
	SlowStartFraction    float64 `json:"ColdShare"`    // least share of its full capacity that a server has when it starts
	SlowStartDuration    float64 `json:"ColdFor"`      // time from a server's start until it has its full capacity
	CrashFactor          float64 `json:"FallMultiple"` // multiple of its capacity that crashes a server as it warms up
	CrashDuration        float64 `json:"FallFor"`      // time for which that load has to last to crash the server
}

// Class is a class of requests. Times are in seconds.
type Class struct {
	Name             string      `json:"Name"`
	Idempotency      Idempotency `json:"Kind"`
	DedupScope       DedupScope  `json:"Scope"`    // for Keyed: the servers that drop repeats
	DedupWindow      float64     `json:"Window"`   // for Keyed: time after sending for which repeats are dropped
	LatencyObjective float64     `json:"Due"`      // an answer within it earns the full PriorityWeight; 0: Deadline/2
	Deadline         float64     `json:"HardStop"` // time from the request's arrival until the client gives up
	PriorityWeight   float64     `json:"Value"`    // value of an answer in time, relative to other classes
}

// Tenant is a group of clients with a common quota.
type Tenant struct {
	Name  string  `json:"Name"`
	Quota float64 `json:"Quota"` // requests per second, over all proxies; not enforced by this package; 0: no limit
}

// EndpointState is the state of a server in the endpoint list.
type EndpointState uint8

// Values of EndpointState.
const (
	Ready    EndpointState = iota // may be sent requests
	Draining                      // must not be sent new requests
	Removed                       // no longer in the list
)

// Endpoint is an entry of the endpoint list.
type Endpoint struct {
	Index     int    // small number, constant for this server as long as the proxy runs
	NameHash  uint64 // hash of the server's name, the same at every proxy
	Zone      int
	Pod       int
	Model     int // machine model, a small number
	State     EndpointState
	Cores     float64 // approximate number of CPU cores; 0: unknown
	StartedAt float64 // s, time at which the server last started; 0: long ago
}

// RequestInfo describes a request that arrives at the proxy.
type RequestInfo struct {
	Ref           int     // the number by which the caller identifies the request, returned in each RequestAction
	Class         int     // index in Deployment.Classes
	Tenant        int     // index in Deployment.Tenants; -1: none
	Key           uint64  // hash of the request's affinity key, the same at every proxy; 0: none
	Deadline      float64 // s, time at which the client gives up
	ExpectedWork  float64 // s of server work, approximate; 0: unknown
	ClientRetry   bool    // the client is known to be retrying
	StreamingBody bool    // its body is still being received; the server starts work after BodyCompleted
}

// RequestAction tells the proxy what to do for a request. Zero fields require nothing.
type RequestAction struct {
	Ref           int
	Send          bool    // send another attempt
	Endpoint      int     // with Send: index of the server
	Deadline      float64 // s, with Send: time at which the attempt times out
	CancelAttempt int     // number of the attempt to cancel, counted from 1
	Reply         Reply
	RetryAfter    float64 // s after which the client may retry, if Reply is Rejected; 0: not set
	WakeAt        float64 // s, call the request's TimerFired at this time; 0: no call
}

// LoadReport is the load that a server reports when its health is checked; -1 for a value that it does not report.
type LoadReport struct {
	InFlight    float64 // requests in flight at the server, of all proxies
	Utilization float64 // share of its CPU cores in use
}

// GossipMessage is a message of one proxy to another. It may be lost, late or wrong.
type GossipMessage struct {
	Rate         float64       // requests per second that arrive at the sender
	Observations []Observation // the newest first
}

// Observation is a proxy's latest observation of a server: the payoff of an attempt of a class there, or its load.
type Observation struct {
	NameHash uint32  // the lower half of Endpoint.NameHash
	Class    int     // -1: Value is a load; len(Deployment.Classes): Value is the payoff of a rejected attempt
	Age      float64 // s, at the time of sending
	Value    float64 // payoff of the attempt, 0 if it failed; or the load
}

// Actions is what the proxy has to do after a call to a Balancer or a Request. It is valid until the next call.
type Actions struct {
	HealthChecks []int           // send a health check to these servers
	CloseIdle    []int           // close the idle connections to these servers
	Gossip       *GossipMessage  // send this message to GossipPeer
	GossipPeer   int             // index of the proxy
	Requests     []RequestAction // to be carried out in this order
	Subscribe    bool            // subscribe to the endpoint list
	WakeAt       float64         // s, call the balancer's TimerFired at this time; 0: no call
}
