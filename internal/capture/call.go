package capture

import (
	"hash/fnv"

	"lockloom/balance"
)

// Call is one call on a Balancer or one of its requests, with a digest of the actions that it returned. The kind
// determines which of the fields after Digest are set.
type Call struct {
	Kind   Kind
	Pool   int     // number of the pool in the capture
	Now    float64 // s, of the balancer's clock
	Digest uint16

	Request uint64              // number of the request in its pool, from 1; 0 for a call on the Balancer
	IDHash  uint32              // hash of the request's id, see HashID; set for RequestArrived
	Arrival balance.RequestInfo // argument of RequestArrived
	Attempt AttemptEvent

	Endpoints   EndpointUpdate
	HealthCheck HealthCheck
	Gossip      Gossip
	Outcomes    []balance.ReportedOutcomes
	BudgetShare float64
	LocalDelay  LocalDelay
	Snapshot    balance.Snapshot
}

// AttemptEvent holds the arguments of AttemptEnded. ResponseStarted has only the index.
type AttemptEvent struct {
	Index       int // of the attempt in its request, from 0
	Outcome     balance.Outcome
	Latency     float64 // s
	RequestOver bool    // the request ended with this attempt or before it
}

// EndpointUpdate holds the arguments of EndpointsUpdated.
type EndpointUpdate struct {
	Full  bool // List is the whole endpoint list, not only its changed entries
	First bool // the pool's first endpoint list
	List  []balance.Endpoint
}

// HealthCheck holds the arguments of HealthChecked.
type HealthCheck struct {
	Endpoint int
	OK       bool
	Report   balance.LoadReport
}

// Gossip holds the arguments of GossipReceived.
type Gossip struct {
	From    int // number of the peer
	Message balance.GossipMessage
}

// LocalDelay holds the arguments of SetLocalDelay.
type LocalDelay struct {
	Stretch float64 // duration of an attempt at the proxy, as a multiple of its duration at the server
	Delay   float64 // s, how much longer an attempt takes at the proxy, at most in nearly all cases
}

// HashID returns the hash under which a request's id is recorded.
func HashID(id string) uint32 {
	hash := fnv.New32a()
	hash.Write([]byte(id))
	return hash.Sum32()
}
