// Package simwire reads and writes the simulator's wire protocol, a text protocol with one message per line. Only this
// package uses the protocol's names: Read decodes the simulator's messages and calls the methods of a Receiver, and
// the methods of Writer write messages to the simulator.
package simwire

import (
	"lockloom/balance"
	"lockloom/internal/settings"
)

// Receiver handles the simulator's messages. An instance is one simulated proxy. The methods are called on the
// goroutine that called Read, which ends with the first error that they return. Times are in seconds.
type Receiver interface {
	// BatchStarted starts a batch: now is the time of all calls up to BatchEnded, and number identifies the batch in the
	// reply.
	BatchStarted(now float64, number string)
	// BatchEnded ends the batch and requests the reply to it.
	BatchEnded() error
	// InstanceSelected selects the instance that the following calls apply to.
	InstanceSelected(number int) error

	InstanceLaunched(settings.Settings) error
	InstanceStopped() error
	EndpointsListed(ListKind, []settings.Entry) error
	RequestArrived(Request) error
	ResponseStarted(requestID string, attempt int) error
	AttemptEnded(AttemptResult) error
	ClientDisconnected(requestID string) error
	TimerFired(label int) error
	HealthChecked(server string, ok bool, report balance.LoadReport) error
	GossipReceived(from int, message balance.GossipMessage) error
}

// ListKind is the kind of an update of the endpoint list.
type ListKind uint8

// The kinds of endpoint list updates.
const (
	Changes    ListKind = iota // only the changed entries
	FullList                   // all entries
	CachedList                 // all entries, perhaps stale
	PollFailed                 // no entries, because polling failed
)

// Request is a request with the simulator's names for its class, tenant and key. Ref, Class, Tenant and Key of the
// embedded RequestInfo are not set.
type Request struct {
	balance.RequestInfo
	ID, ClassName, TenantName, KeyName string
}

// AttemptResult is the result of an attempt.
type AttemptResult struct {
	RequestID   string
	Number      int // index among the request's attempts, from 0
	Outcome     balance.Outcome
	Latency     float64 // s
	RequestOver bool    // the request has ended, with this attempt or before it
}

// The protocol's names of outcomes, endpoint states and kinds of lists.
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
