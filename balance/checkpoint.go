package balance

import (
	"lockloom/internal/histogram"
	"lockloom/internal/pcg"
)

// A capture begins with the complete state of a balancer, so that a replay can start at any time after the start of the
// proxy. The types of this file are the stored form of that state. internal/graphcodec encodes them by memory layout,
// so the order and the types of their fields must not change, and a field that is no longer stored remains as a blank
// one. All other types of this package may change, as long as they can be converted to the stored form and back.

// Checkpoint is the stored form of a Balancer. It shares no memory with the balancer.
type Checkpoint struct {
	deployment      Deployment
	random          pcg.Rand
	now             float64
	servers         []*checkpointServer
	classes         []checkpointClass
	queue           []*RequestCheckpoint
	candidates      []checkpointCandidate
	_               []float64
	_               Actions
	inFlight        int
	capacity        float64
	admitted        float64
	keys            histogram.Shares
	latencies       histogram.Times
	meanPriority    float64
	arrivals        float64
	arrivalInterval float64
	lastArrival     float64
	fleet           *checkpointEstimate
	models          []*checkpointModel
	failureShare    float64
	sendInterval    float64
	lastSend        float64
	credit          float64
	pollDelay       float64
	pollAt          float64
	dispatchAt      float64
	lastLoadReport  float64
	utilization     float64
	latencyHeadroom float64
	healthChecks    float64
	gossip          float64
	peerRate        float64
	gossipReceived  float64
	_               GossipMessage
	idleCheckAt     float64
	budgetShare     float64
	delayFactor     float64
	localDelay      float64
	limitGrowth     float64
}

// RequestCheckpoint is the stored form of a Request.
type RequestCheckpoint struct {
	info         RequestInfo
	balancer     *Checkpoint
	class        *checkpointClass
	arrivedAt    float64
	attempts     []checkpointAttempt
	inFlight     int
	finished     bool
	queued       bool
	relativeWork float64
	priority     float64
	placement    uint64
}

type checkpointAttempt struct {
	server        *checkpointServer
	pod           int
	zone          int
	sentAt        float64
	contention    float64
	inFlight      bool
	neverRan      bool
	started       bool
	overdue       bool
	released      bool
	connectFailed bool
}

type checkpointClass struct {
	class             Class
	latencies         histogram.Times
	unloadedLatencies histogram.Times
	meanWork          float64
	baseLatency       float64
	all               *histogram.Times
}

type checkpointServer struct {
	endpoint        Endpoint
	breaker         checkpointBreaker
	classBreakers   []checkpointBreaker
	model           *checkpointModel
	general         []*checkpointEstimate
	byClass         [][]*checkpointEstimate
	relativeLatency float64
	lastSuccess     float64
	drained         bool
	lastUsed        float64
	observations    []checkpointObservation
	reportedLoad    float64
	reportedAt      float64
	sentSince       int
	minLimit        float64
	limit           float64
	budget          float64
	budgetAt        float64
}

type checkpointBreaker struct {
	tracked     bool
	paused      bool
	failures    int
	results     int
	windowStart float64
	lastResult  float64
	cooldown    float64
	inFlight    int
}

type checkpointObservation struct {
	observation Observation
	at          float64
}

type checkpointEstimate struct {
	payoff     float64
	confidence float64
	updatedAt  float64
	lifetime   float64
}

type checkpointModel struct {
	estimate    checkpointEstimate
	inFlight    float64
	utilization float64
	reports     float64
	cores       float64
}

type checkpointCandidate struct {
	server   *checkpointServer
	score    float64
	load     float64
	crowding float64
	capacity float64
}

// CheckpointError reports that a Checkpoint cannot be restored, because a value is missing or refers to one that the
// Checkpoint does not contain.
type CheckpointError struct {
	Reason string // which value or reference is missing
}

func (e *CheckpointError) Error() string {
	return "invalid checkpoint: " + e.Reason
}
