package capture

// Kind tells which method of a Balancer, or of one of its requests, a call is on.
type Kind uint8

// Kinds of calls. Files hold their numbers in four bits, so there is no room for more.
const (
	LocalDelaySet Kind = iota
	RequestArrived
	AttemptEnded
	ClientDisconnected
	ResponseStarted
	BodyCompleted
	RequestTimerFired
	TimerFired
	EndpointsUpdated
	PollFailed
	HealthChecked
	GossipReceived
	OutcomesReported
	BudgetShareSet
	SnapshotRestored
	StateRead // ServerStatuses, Availability or Snapshot: they only advance the balancer's clock
)

// kindNames are the published names, of docs/formats/capture.md.
var kindNames = [...]string{
	LocalDelaySet:      "slack",
	RequestArrived:     "take",
	AttemptEnded:       "ended",
	ClientDisconnected: "left",
	ResponseStarted:    "started",
	BodyCompleted:      "whole",
	RequestTimerFired:  "lookup-wake",
	TimerFired:         "wake",
	EndpointsUpdated:   "listed",
	PollFailed:         "list-failed",
	HealthChecked:      "probed",
	GossipReceived:     "heard",
	OutcomesReported:   "reported",
	BudgetShareSet:     "part",
	SnapshotRestored:   "remember",
	StateRead:          "look",
}

// String returns the published name.
func (k Kind) String() string { return kindNames[k] }

// onRequest reports whether calls of this kind belong to one request.
func (k Kind) onRequest() bool { return k >= RequestArrived && k <= RequestTimerFired }
