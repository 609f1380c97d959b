package balance

// Idempotency says whether the requests of a class may run more than once.
type Idempotency uint8

// Values of Idempotency.
const (
	Idempotent    Idempotency = iota // may run again
	Keyed                            // carries an idempotency key by which a deduplication group drops repeats
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

// Outcomes.
const (
	Succeeded      Outcome = iota // the server answered without an error
	ServerError                   // the server returned an error; it may have run
	ServerRejected                // the server had no capacity; it never ran
	TimedOut                      // no answer in time; it may have run, or be running
	ConnectFailed                 // no connection in time; it never ran
	ConnectionLost                // the connection dropped; it may have run
	Canceled                      // the proxy canceled it; it may have run
	NotSent                       // it was not sent; it never ran
	InvalidRequest                // the server found the request invalid; it may have run
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

// String returns the outcome's name in logs.
func (o Outcome) String() string { return outcomeNames[o] }

// NeverRan reports whether an outcome proves that the attempt never ran.
func (o Outcome) NeverRan() bool { return o == ServerRejected || o == ConnectFailed || o == NotSent }

// Reply is a final answer that the proxy itself generates. A successful request needs none: the response of its first
// successful attempt is forwarded to the client.
type Reply uint8

// Replies.
const (
	NoReply  Reply = iota // the request is not answered yet
	Rejected              // not served; a retry by the client is safe
	Failed                // not served; it may have taken effect
)

// Deployment holds the settings of a Balancer. Times are in seconds; costs and shares have no unit.
type Deployment struct {
	Seed           uint64  `json:"Seed"`      // of all random decisions
	Proxies        int     `json:"Proxies"`   // number in the fleet, this one included
	Self           int     `json:"Self"`      // index of this proxy among them, from 0
	Zone           int     `json:"Zone"`      // of this proxy; -1: unknown
	Sidecar        bool    `json:"Apart"`     // one proxy per client process, so their traffic differs widely
	Gossip         bool    `json:"Peers"`     // proxies may send gossip to one another
	HealthChecks   bool    `json:"Probes"`    // servers may be sent health checks, which return their load
	ConnectionCost float64 `json:"ConnPrice"` // cost of a hundred open connections per server, as a share of the service
	HandshakeCost  float64 `json:"OpenPrice"` // cost of opening a connection per request, as a share of the service

	// ServerIdleTimeout is the longest time after which a server closes an idle connection; 0: unknown.
	ServerIdleTimeout float64 `json:"IdleFor"`

	GossipCost      float64  `json:"PeerPrice"`  // cost of a full message per request, as a share of the service
	HealthCheckCost float64  `json:"ProbePrice"` // cost of a health check per request, as a share of the service
	Classes         []Class  `json:"Tariffs"`
	Tenants         []Tenant `json:"Customers"`
	WeightByWork    bool     `json:"ValueByWork"` // priority weights are per unit of a request's work
	MaxAttempts     int      `json:"MaxLegs"`     // per request
	CancelAllowed   bool     `json:"CallOff"`     // attempts may be canceled
	HedgingAllowed  bool     `json:"Beside"`      // attempts of a request may be in flight together
	MaxRetryAfter   float64  `json:"MaxAdvice"`   // the longest Retry-After that clients honor; 0: none
	CacheAffinity   bool     `json:"WarmKeys"`    // a server that served a key recently has less work with it

	// RemovalIsAdvisory allows sending to a server that the endpoint list has removed or omits, unless it was draining.
	RemovalIsAdvisory bool `json:"GoneAdvises"`

	PollsEndpoints       bool    `json:"AsksList"`     // the endpoint list has to be subscribed to
	NotificationDeadline float64 `json:"AskEvery"`     // without a subscription for this long, changes count as received
	SlowStartFraction    float64 `json:"ColdShare"`    // least share of its capacity that a server has at its start
	SlowStartDuration    float64 `json:"ColdFor"`      // from its start until a server has its full capacity
	CrashFactor          float64 `json:"FallMultiple"` // multiple of its capacity that crashes a server that is warming up
	CrashDuration        float64 `json:"FallFor"`      // time for which that load has to last
}

// Class is a class of requests. Times are in seconds.
type Class struct {
	Name             string      `json:"Name"`
	Idempotency      Idempotency `json:"Kind"`
	DedupScope       DedupScope  `json:"Scope"`    // for Keyed
	DedupWindow      float64     `json:"Window"`   // for Keyed: time for which repeats are dropped
	LatencyObjective float64     `json:"Due"`      // an answer within it earns the full weight; 0: Deadline/2
	Deadline         float64     `json:"HardStop"` // after which the client gives up
	PriorityWeight   float64     `json:"Value"`    // relative value of an answer in time
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
	NameHash  uint64 // hash of its name, the same at every proxy
	Zone      int
	Pod       int
	Model     int // machine model, a small number
	State     EndpointState
	Cores     float64 // approximate, from the endpoint list; 0: unknown
	StartedAt float64 // s, time of its last start; 0: long ago
}

// RequestInfo describes a request that arrives at the proxy.
type RequestInfo struct {
	Ref          int     // the caller's number for it, returned in each RequestAction
	Class        int     // index in Deployment.Classes
	Tenant       int     // index in Deployment.Tenants; -1: none
	Key          uint64  // hash of its affinity key, the same at every proxy; 0: none
	Deadline     float64 // s, time at which the client gives up
	ExpectedWork float64 // s, approximate; 0: unknown
	ClientRetry  bool    // the client is known to be retrying
	Streaming    bool    // its body is still being received: the server works on it from BodyCompleted on
}

// RequestAction tells the proxy what to do for a request. Zero fields require nothing.
type RequestAction struct {
	Ref           int
	Send          bool    // send another attempt
	Endpoint      int     // with Send: index of the server
	Deadline      float64 // s, with Send: time at which the attempt times out
	CancelAttempt int     // cancel the attempt of this number, counted from 1
	Reply         Reply
	RetryAfter    float64 // s, with Rejected: time after which to retry; 0: not set
	WakeAt        float64 // s, call the request's TimerFired at this time; 0: no call
}

// LoadReport is the load that a server reports in a health check; -1 for a value that it does not report.
type LoadReport struct {
	InFlight    float64 // requests in flight at the server
	Utilization float64 // share of its cores in use
}

// GossipMessage is a message of one proxy to another. It may be lost, late or wrong.
type GossipMessage struct {
	Rate         float64       // requests per second that arrive at the sender
	Observations []Observation // the newest first
}

// Observation is a proxy's latest observation of a server: the payoff of an attempt of a class there, or its load.
type Observation struct {
	NameHash uint32  // the lower half of Endpoint.NameHash
	Class    int     // -1: Value is a load; len(Deployment.Classes): of a rejected attempt
	Age      float64 // s, at the time of sending
	Value    float64 // payoff of the attempt, 0 if it failed; or the load
}

// Actions is what to do after a call. It is valid until the next call.
type Actions struct {
	HealthChecks []int           // send a health check to these servers
	CloseIdle    []int           // close the idle connections to these servers
	Gossip       *GossipMessage  // send this message to GossipPeer
	GossipPeer   int             // index of the proxy
	Requests     []RequestAction // to be carried out in this order
	Subscribe    bool            // subscribe to the endpoint list
	WakeAt       float64         // s, call the balancer's TimerFired at this time; 0: no call
}
