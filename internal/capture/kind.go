package capture

// Kind identifies the method of Balancer or Request that a call is made on.
type Kind uint8

// Kinds of calls. Files store a kind in four bits, all values of which are in use.
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

// kindNames are the names of the kinds that docs/formats/capture.md publishes.
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

// String returns the published name of the kind.
func (k Kind) String() string { return kindNames[k] }

// onRequest reports whether calls of this kind belong to one request.
func (k Kind) onRequest() bool { return k >= RequestArrived && k <= RequestTimerFired }
