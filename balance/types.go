package balance

// Idempotency tells whether a class's requests may run more than once.
type Idempotency uint8

// Kinds of classes.
const (
	Idempotent    Idempotency = iota // may run again
	Keyed                            // carries a key by which a group of servers drops a repeat
	NonIdempotent                    // must never run twice
)

// DedupScope is the group of servers that drops the repeats of a keyed request.
type DedupScope uint8

// Groups of servers.
const (
	DedupAll  DedupScope = iota // all servers
	DedupZone                   // those of a zone
	DedupPod                    // those of a pod
)

// Outcome tells how an attempt ended.
type Outcome uint8

// Outcomes.
const (
	Succeeded      Outcome = iota // the server answered
	ServerError                   // the server returned an error; it may have run
	ServerRejected                // the server had no capacity; it never ran
	TimedOut                      // no answer in time; it may have run, or be running
	ConnectFailed                 // no connection in time; it never ran
	ConnectionLost                // the connection dropped; it may have run
	Canceled                      // we stopped waiting; it may have run
	NotSent                       // it was never sent; it never ran
	InvalidRequest                // the server found the request itself at fault; it may have run
)

// outcomeNames are those in logs and in the output of lockloomctl why.
var outcomeNames = [...]string{
	Succeeded:      "succeeded",
	ServerError:    "server_error",
	ServerRejected: "no_capacity",
	TimedOut:       "timeout",
	ConnectFailed:  "connect_failed",
	ConnectionLost: "connection_lost",
	Canceled:       "cancelled", //nolint:misspell // the pages and the operators' searches spell it so
	NotSent:        "never_sent",
	InvalidRequest: "request_fault",
}

// String returns the outcome's name in logs.
func (o Outcome) String() string { return outcomeNames[o] }

// NeverRan reports whether an outcome proves that the attempt never ran.
func (o Outcome) NeverRan() bool { return o == ServerRejected || o == ConnectFailed || o == NotSent }

// Reply is a final answer that the proxy gives by itself. A successful request needs none: the first successful attempt
// is passed on to the client as it comes.
type Reply uint8

// Replies.
const (
	NoReply  Reply = iota // the request goes on
	Rejected              // not served; a retry by the client is harmless
	Failed                // nothing is promised about its effect
)

// Deployment is what a proxy is told when it starts. Times are in seconds, costs and shares plain numbers.
type Deployment struct {
	Seed           uint64  `json:"Seed"`
	Proxies        int     `json:"Proxies"`   // in the fleet, this one included
	Self           int     `json:"Self"`      // this one's number among them, from 0
	Zone           int     `json:"Zone"`      // of this proxy; -1: not told
	Sidecar        bool    `json:"Apart"`     // each client process has a proxy, so their traffic differs widely
	Gossip         bool    `json:"Peers"`     // proxies may send messages to one another
	HealthChecks   bool    `json:"Probes"`    // servers may be asked for their load
	ConnectionCost float64 `json:"ConnPrice"` // of the service, for a hundred connections open to each server
	HandshakeCost  float64 `json:"OpenPrice"` // of the service, for opening one a request

	// A server closes a connection that is idle for this long, or earlier; 0: not told.
	ServerIdleTimeout float64 `json:"IdleFor"`

	GossipCost      float64  `json:"PeerPrice"`  // of the service, for one full message a request
	HealthCheckCost float64  `json:"ProbePrice"` // of the service, for one health check a request
	Classes         []Class  `json:"Tariffs"`
	Tenants         []Tenant `json:"Customers"`
	WeightByWork    bool     `json:"ValueByWork"` // the priority weight is for each unit of a request's work
	MaxAttempts     int      `json:"MaxLegs"`     // of a request
	CancelAllowed   bool     `json:"CallOff"`     // attempts may be canceled
	HedgingAllowed  bool     `json:"Beside"`      // attempts of a request may be in flight together
	MaxRetryAfter   float64  `json:"MaxAdvice"`   // the longest Retry-After that a client keeps to; 0: none
	CacheAffinity   bool     `json:"WarmKeys"`    // a server that served a key lately has less work with it

	// Only a drain binds: a server that the list removes, or leaves out, without one may still be sent to.
	RemovalIsAdvisory bool `json:"GoneAdvises"`

	PollsEndpoints       bool    `json:"AsksList"`     // the endpoint list comes only when asked for
	NotificationDeadline float64 `json:"AskEvery"`     // without subscription for so long, changes count as received
	SlowStartFraction    float64 `json:"ColdShare"`    // of its capacity that a server has at its start, at least
	SlowStartDuration    float64 `json:"ColdFor"`      // until a server has its full capacity
	CrashFactor          float64 `json:"FallMultiple"` // sent more than this many times its capacity
	CrashDuration        float64 `json:"FallFor"`      // for this long, a server that is warming up crashes
}

// Class is a class of requests. Times are in seconds.
type Class struct {
	Name             string      `json:"Name"`
	Idempotency      Idempotency `json:"Kind"`
	DedupScope       DedupScope  `json:"Scope"`    // for Keyed
	DedupWindow      float64     `json:"Window"`   // for Keyed: how long repeats are dropped
	LatencyObjective float64     `json:"Due"`      // an answer within it earns the full weight; 0: half the deadline
	Deadline         float64     `json:"HardStop"` // the client waits no longer
	PriorityWeight   float64     `json:"Value"`
}

// Tenant is a tenant with a quota of the service.
type Tenant struct {
	Name  string  `json:"Name"`
	Quota float64 `json:"Quota"` // requests a second, over all proxies; passed on, not enforced here; 0: no limit
}

// EndpointState is what the endpoint list tells of a server.
type EndpointState uint8

// States of an endpoint.
const (
	Ready    EndpointState = iota // may be sent to
	Draining                      // gets no new requests
	Removed                       // gone from the list
)

// Endpoint is an entry of the endpoint list.
type Endpoint struct {
	Index     int    // small number, the same for this server as long as the proxy runs
	NameHash  uint64 // hash of its name, alike at every proxy
	Zone      int
	Pod       int
	Model     int // its machine's, a small number
	State     EndpointState
	Cores     float64 // roughly, as the list tells; 0: not told
	StartedAt float64 // s, when it last started; 0: long ago
}

// RequestInfo is a request as it reaches the proxy.
type RequestInfo struct {
	Ref          int     // the caller's number for it, handed back in each RequestAction
	Class        int     // index in Deployment.Classes
	Tenant       int     // index in Deployment.Tenants; -1: none
	Key          uint64  // hash of its subject, alike at every proxy; 0: none
	Deadline     float64 // the clock time at which the client gives up
	ExpectedWork float64 // roughly, in seconds; 0: not told
	ClientRetry  bool    // the client is known to be trying again
	Streaming    bool    // its body is still coming: its attempt is at work from BodyCompleted on
}

// RequestAction is one thing to do for a request. Zero fields mean nothing to do.
type RequestAction struct {
	Ref           int
	Send          bool    // send a further attempt
	Endpoint      int     // to this server
	Deadline      float64 // abandoned at this clock time
	CancelAttempt int     // cancel this attempt, counted from 1
	Reply         Reply
	RetryAfter    float64 // s, with Rejected: when to try again; 0: not told
	WakeAt        float64 // call the request's TimerFired at this clock time
}

// LoadReport is what a server tells of its load; -1 for what it does not tell.
type LoadReport struct {
	InFlight    float64 // requests it holds
	Utilization float64 // share of its cores in use
}

// GossipMessage is what one proxy tells another. It may be lost, late or wrong.
type GossipMessage struct {
	Rate         float64       // requests a second that its sender takes
	Observations []Observation // the newest first
}

// Observation is the last that any proxy saw of a server: what an attempt of a class was worth there, or its load.
type Observation struct {
	NameHash uint32  // the lower half of Endpoint.NameHash
	Class    int     // -1: a report of load; len(Deployment.Classes): a rejection
	Age      float64 // s, when it was told
	Value    float64 // the attempt's payoff, 0 where it failed, or the load
}

// Actions is what to do after a call. It is valid until the next call.
type Actions struct {
	HealthChecks []int           // ask these servers for their load
	CloseIdle    []int           // close the idle connections to these servers
	Gossip       *GossipMessage  // send this to a peer
	GossipPeer   int             // of this number
	Requests     []RequestAction // in this order
	Subscribe    bool            // ask for the endpoint list and its changes from now on
	WakeAt       float64         // call the balancer's TimerFired at this clock time; 0: no need
}
