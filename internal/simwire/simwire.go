// Package simwire reads and writes the simulator's wire, a text protocol with a message a line. The wire's names end
// here: Read turns its messages into calls on a Receiver, and Writer turns calls into messages.
package simwire

import (
	"lockloom/balance"
	"lockloom/internal/settings"
)

// Receiver gets what the simulator sends, on the goroutine of Read. Times are in seconds. An error ends Read.
type Receiver interface {
	// BatchStarted says the time of the calls up to BatchEnded, whose reply has this number.
	BatchStarted(now float64, number string)
	// BatchEnded asks for the reply.
	BatchEnded() error
	// InstanceSelected says for which instance the calls below are.
	InstanceSelected(number int) error

	InstanceLaunched(settings.Settings) error
	InstanceStopped() error
	EndpointsListed(ListKind, []settings.Entry) error
	RequestArrived(Request) error
	ResponseStarted(requestID string, attempt int) error
	AttemptEnded(Attempt) error
	ClientDisconnected(requestID string) error
	TimerFired(label int) error
	HealthChecked(server string, ok bool, report balance.LoadReport) error
	GossipReceived(from int, message balance.GossipMessage) error
}

// ListKind says what an endpoint list holds.
type ListKind uint8

// The kinds of endpoint lists.
const (
	Changes    ListKind = iota // the changed entries
	FullList                   // all entries
	CachedList                 // all entries, perhaps stale
	PollFailed                 // none: polling failed
)

// Request is a request with its names; of RequestInfo, Ref, Class, Tenant and Key are not set.
type Request struct {
	balance.RequestInfo
	ID, ClassName, TenantName, KeyName string
}

// Attempt is an attempt that has ended.
type Attempt struct {
	RequestID string
	Number    int // among the request's attempts, from 0
	Outcome   balance.Outcome
	Latency   float64 // s
	Over      bool    // the request is over with it, or was before
}

// The published names of outcomes, endpoint states and kinds of lists.
var (
	outcomes = map[string]balance.Outcome{
		"pass":       balance.Succeeded,
		"fault":      balance.ServerError,
		"no_room":    balance.ServerRejected,
		"too_slow":   balance.TimedOut,
		"no_route":   balance.ConnectFailed,
		"cut":        balance.ConnectionLost,
		"undone":     balance.Canceled,
		"stale_send": balance.NotSent,
	}
	endpointStates = map[string]balance.EndpointState{
		"Ready":       balance.Ready,
		"Terminating": balance.Draining,
		"Gone":        balance.Removed,
	}
	listKinds = map[string]ListKind{
		"D": Changes,
		"F": FullList,
		"C": CachedList,
		"X": PollFailed,
	}
)
