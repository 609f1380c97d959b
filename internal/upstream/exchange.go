package upstream

import (
	"errors"
	"io"
	"time"

	"lockloom/balance"
)

// ErrClientGone is the error with which the Stream of a response is closed when its client has gone, and the error of
// an exchange that was not sent for that reason.
var ErrClientGone = errors.New("the client has gone")

// Reasons why an exchange was not sent, or why the bytes received are not its response.
var (
	errUnsolicited   = errors.New("connection closed by the server, or bytes received, before the request was written")
	errCanceled      = errors.New("canceled")
	errTooLate       = errors.New("request would reach the server after its send-by time")
	errDraining      = errors.New("the server is draining")
	errEarlyResponse = errors.New("response received before the request was written")
)

// Exchange is one attempt: a request to one server. Its exported fields must not be changed after Send.
type Exchange struct {
	Head, Tail, Body []byte      // written in this order
	Deadline         time.Time   // the exchange times out without a response by then
	SendBy           time.Time   // the request is not sent if it would reach the server later; zero: no limit
	ClientGone       func() bool // if true the request is not sent; called from any goroutine; nil: it has no client
	Passthrough      bool        // responses are forwarded unchanged; only a status of 500 or above is a server error
	HeadOnly         bool        // the request is a HEAD request: its response has no body

	Upload          *Upload       // streams the rest of a body that is not stored; nil: Body is complete
	ResponseTimeout time.Duration // for the response, from the Upload's last byte on; 0: Deadline applies

	// Both callbacks run on the owner's goroutine.
	OnResponseStarted func(Result) // streaming has started; called at most once, before OnDone; nil: no streaming
	OnDone            func(Result) // the exchange has ended; called exactly once

	progress
}

// progress is the state of an exchange between Send and OnDone.
type progress struct {
	conn        *connection
	connectTime time.Duration // of a connection opened for the exchange, else 0; the writer's until writeDone is closed

	// Guarded by the connection's lock.
	writeStartedAt time.Time
	canceled       bool // it must not be sent any more, or its connection is closed
	writeStarted   bool // its bytes may be sent from now on
	isStreaming    bool // streaming its response has started

	// Set by the writer before it closes writeDone, and read after that.
	writeDone     chan struct{}
	sentAt        time.Time // writeStartedAt minus connectTime
	fullyWritten  bool
	partlyWritten bool // at least one byte may have been sent
}

// Result is the result of an exchange, or its state when the response starts to stream.
type Result struct {
	Outcome       balance.Outcome
	SentAt        time.Time      // when writing started, less the time to open the connection for it; zero: not sent
	EndedAt       time.Time      // when the response was completely received, or the exchange failed
	Err           error          // why there is no complete response
	Status        int            // of the response; 0: none was received
	Length        int            // of the body, or what a response to HEAD announces, in bytes; -1: unknown
	Fields        []byte         // header field lines to forward, if the status is 200 or with Passthrough
	Body          []byte         // the complete body, or in OnResponseStarted its first bytes
	ReservedBytes int64          // memory reserved for Body, which the receiver of the Result must release
	Stream        *io.PipeReader // in OnResponseStarted: the rest of the body; must be read to its end or closed
}

// awaitWriteDone waits until writing the request has ended. An upload is stopped first: it may be waiting for its
// client, which may be waiting for the response.
func (ex *Exchange) awaitWriteDone() {
	if ex.Upload != nil && ex.Upload.Started() {
		ex.Upload.Stop()
	}
	<-ex.writeDone
}
