package capture

import (
	"hash/fnv"

	"lockloom/balance"
)

// Call is one call on a Balancer or one of its requests, with a digest of the actions that it returned. Which of the
// fields behind Digest are set depends on the kind.
type Call struct {
	Kind   Kind
	Pool   int
	Now    float64 // s, of the balancer's clock
	Digest uint16

	Request uint64 // of calls on requests: its number in its pool, from 1
	IDHash  uint32 // of RequestArrived, see IDOf
	Arrival balance.RequestInfo
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
	RequestOver bool
}

// EndpointUpdate holds the arguments of EndpointsUpdated.
type EndpointUpdate struct {
	Full  bool
	First bool
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
	From    int
	Message balance.GossipMessage
}

// LocalDelay holds the arguments of SetLocalDelay.
type LocalDelay struct {
	Stretch float64
	Delay   float64 // s
}

// IDOf returns the hash under which a request's id is recorded.
func IDOf(id string) uint32 {
	hash := fnv.New32a()
	hash.Write([]byte(id))
	return hash.Sum32()
}
