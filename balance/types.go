package balance

// Idempotency says whether a class's requests may run more than once.
type Idempotency uint8

const (
	Idempotent    Idempotency = iota // may run again
	Keyed                            // carries a mark by which a group of servers knows a repeat
	NonIdempotent                    // must never run twice
)

// DedupScope is the group of servers that drops a referenced request's repeats.
type DedupScope uint8

const (
	DedupAll DedupScope = iota
	DedupZone
	DedupPod
)

// Outcome says how an attempt ended.
type Outcome uint8

const (
	Succeeded      Outcome = iota
	ServerError            // the server returned an error; it may have run
	ServerRejected         // rejected unseen; it never ran
	TimedOut               // no answer in time; it may have run, or be running
	ConnectFailed          // no connection in time; it never ran
	ConnectionLost         // the connection dropped; it may have run
	Canceled               // we stopped waiting; it may have run
	NotSent                // it never left; it never ran
	InvalidRequest         // the server found the request itself at fault; it may have run
)

// outcomeNames are those in logs and in the output of lockloomctl why.
var outcomeNames = [...]string{
	Succeeded:      "succeeded",
	ServerError:    "server_error",
	ServerRejected: "no_capacity",
	TimedOut:       "timeout",
	ConnectFailed:  "connect_failed",
	ConnectionLost: "connection_lost",
	Canceled:       "cancelled",
	NotSent:        "never_sent",
	InvalidRequest: "request_fault",
}

// String returns the outcome's name in logs.
func (o Outcome) String() string { return outcomeNames[o] }

// NeverRan says whether an outcome proves that the attempt never ran.
func (o Outcome) NeverRan() bool { return o == ServerRejected || o == ConnectFailed || o == NotSent }

// Reply is a final answer this proxy gives by itself. An successful request
// needs none: the first successful attempt is passed on to the client as it comes.
type Reply uint8

const (
	NoReply  Reply = iota
	Rejected       // rejected; trying again is harmless
	Failed         // failed; nothing is promised about its effect
)

// Deployment is what a proxy is told when it starts. Times are in seconds.
type Deployment struct {
	Seed                 uint64   `json:"Seed"`
	Proxies              int      `json:"Proxies"`    // proxies in the fleet, this one included
	Self                 int      `json:"Self"`       // this one's number among them, from 0
	Zone                 int      `json:"Zone"`       // where this one stands; -1: not told
	Sidecar              bool     `json:"Apart"`      // each client process has a proxy of its own, so their traffic differs widely
	Gossip               bool     `json:"Peers"`      // proxies may send one another notes
	HealthChecks         bool     `json:"Probes"`     // servers may be asked for their load
	ConnectionCost       float64  `json:"ConnPrice"`  // of the service, for a hundred connections open to each server
	HandshakeCost        float64  `json:"OpenPrice"`  // and for opening one a request
	ServerIdleTimeout    float64  `json:"IdleFor"`    // a server closes a connection idle for this long, or earlier; 0: not told
	GossipCost           float64  `json:"PeerPrice"`  // of the service, for one full note a request
	HealthCheckCost      float64  `json:"ProbePrice"` // and for one probe a request
	Classes              []Class  `json:"Tariffs"`
	Tenants              []Tenant `json:"Customers"`
	WeightByWork         bool     `json:"ValueByWork"`  // a request's value is its class's for each unit of its work
	MaxAttempts          int      `json:"MaxLegs"`      // attempts a request may have
	CancelAllowed        bool     `json:"CallOff"`      // attempts may be canceled
	HedgingAllowed       bool     `json:"Beside"`       // a request's attempts may be out beside one another
	MaxRetryAfter        float64  `json:"MaxAdvice"`    // the longest advice when to come back that a client keeps to; 0: none
	CacheAffinity        bool     `json:"WarmKeys"`     // a server that served a key lately serves it again with less work
	RemovalIsAdvisory    bool     `json:"GoneAdvises"`  // only a drain binds: what the list calls gone, or leaves out, without one may still be sent to
	PollsEndpoints       bool     `json:"AsksList"`     // the list of servers comes only after asking
	NotificationDeadline float64  `json:"AskEvery"`     // unsubscribed for this long, the proxy counts as told
	SlowStartFraction    float64  `json:"ColdShare"`    // a server starts at this share of its capacity or more
	SlowStartDuration    float64  `json:"ColdFor"`      // and is warm after this long
	CrashFactor          float64  `json:"FallMultiple"` // sent more than this many times what it can do
	CrashDuration        float64  `json:"FallFor"`      // for this long, a cold server falls over
}

// Class is a class of requests.
type Class struct {
	Name             string      `json:"Name"`
	Idempotency      Idempotency `json:"Kind"`
	DedupScope       DedupScope  `json:"Scope"`    // for Referenced
	DedupWindow      float64     `json:"Window"`   // for Referenced: how long repeats are known
	LatencyObjective float64     `json:"Due"`      // an answer within this time earns the full value; 0: none set
	Deadline         float64     `json:"HardStop"` // the client waits no longer
	PriorityWeight   float64     `json:"Value"`
}

// Tenant is a tenant with a share of the service.
type Tenant struct {
	Name  string  `json:"Name"`
	Quota float64 `json:"Quota"` // requests a second, over all proxies, within its share; told on, not weighed; 0: no limit
}

// EndpointState is what the list says of a server.
type EndpointState uint8

const (
	Ready EndpointState = iota
	Draining
	Removed
)

// Endpoint is an entry of the list of servers.
type Endpoint struct {
	Index     int    // small number, the same for this server as long as the proxy runs
	NameHash  uint64 // hash of its name, alike at every proxy
	Zone      int
	Pod       int
	Model     int // its machine's, a small number
	State     EndpointState
	Cores     float64 // roughly its cores, as the list tells; 0: not told
	StartedAt float64 // when it last started; 0: long ago
}

// RequestInfo is a request as it reaches the proxy.
type RequestInfo struct {
	Ref          int // the caller's number for it, handed back in each Step
	Class        int
	Tenant       int     // -1: none
	Key          uint64  // hash of its subject, alike at every proxy; 0: none
	Deadline     float64 // the clock time at which the client gives up
	ExpectedWork float64 // expected work, roughly, in seconds; 0: not told
	ClientRetry  bool    // the client is known to be trying again
	Streaming    bool    // its body is on its way yet: its attempt is at work from Whole on
}

// RequestAction is one thing to do for a request. Fields at rest mean nothing to do.
type RequestAction struct {
	Ref           int
	Send          bool    // send a further attempt
	Endpoint      int     // to this server
	Deadline      float64 // abandoned at this clock time
	CancelAttempt int     // cancel this attempt, counted from 1
	Reply         Reply
	RetryAfter    float64 // with Rejected: come back after this long; 0: no advice
	WakeAt        float64 // call the request's Wake at this clock time
}

// LoadReport is what a server tells of its load; -1 for what it does not tell.
type LoadReport struct {
	InFlight    float64 // requests it holds
	Utilization float64 // share of its cores in use
}

// GossipMessage is what one proxy tells another: gossip, which may be lost, late or wrong.
type GossipMessage struct {
	Rate         float64       // requests a second that its sender takes
	Observations []Observation // the newest first
}

// Observation is the last that was seen of a server by any proxy: what an attempt of a class was worth there, or its load.
type Observation struct {
	NameHash uint32  // the lower half of Server.Mark
	Class    int     // -1: a report of load
	Age      float64 // s, at the time of telling
	Value    float64 // the attempt's payoff, 0 where it failed, or the load
}

// Actions is what to do after a call. It is valid until the next call.
type Actions struct {
	HealthChecks []int           // ask these servers for their load
	CloseIdle    []int           // close the idle connections to these
	Gossip       *GossipMessage  // send this to a peer
	GossipPeer   int             // of this number
	Requests     []RequestAction // in this order
	Subscribe    bool            // ask the list of servers for its changes from now on
	WakeAt       float64         // call the balancer's Wake at this clock time; 0: no need
}
