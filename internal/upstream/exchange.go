package upstream

import (
	"errors"
	"io"
	"time"

	"lockloom/balance"
)

// ErrClientGone closes the Stream of a response whose client has gone, and is the error of an exchange that was not
// sent because of that.
var ErrClientGone = errors.New("the client has gone")

// Why an exchange was not sent, or why a response is not its response.
var (
	errUnsolicited = errors.New("closed, or a response to no request")
	errCanceled    = errors.New("canceled")
	errTooLate     = errors.New("too late to be sent again")
	errDraining    = errors.New("the server is draining")
	errEarly       = errors.New("a response that came before its request was written")
)

// Exchange is one request to one server: an attempt. Its exported fields are set before Send and not changed after it.
type Exchange struct {
	Head, Tail, Body []byte      // written one after the other
	Deadline         time.Time   // without a response by then it has timed out
	SendBy           time.Time   // not sent if it cannot be at its server by then; zero: no such bound
	ClientGone       func() bool // if true it is not sent; called by any goroutine; nil: no client waits for it
	Passthrough      bool        // a response is forwarded as it is, unless it is a failure of the server itself
	HeadOnly         bool        // only a head is requested

	Upload          *Upload       // the rest of a body that is not stored; nil: Body is complete
	ResponseTimeout time.Duration // of an exchange with an Upload, from its last byte; 0: Deadline holds

	// Both are called on the owner's goroutine.
	OnResponseStarted func(Result) // a large response streams; called at most once, before OnDone; nil: none streams
	OnDone            func(Result) // called once

	progress
}

// progress is how far an exchange has come.
type progress struct {
	conn        *connection
	connectTime time.Duration // of the connection that was opened for it; 0 on an idle one; the writer's until written

	// Under the connection's lock.
	beganAt     time.Time // when writing began
	canceled    bool      // it is not to be sent any more, or its connection is closed
	begun       bool      // its bytes may go out from now on
	isStreaming bool      // its response has begun to stream

	// Set by the writer before it closes written, and read after that.
	written  chan struct{}
	sentAt   time.Time // beganAt, or for an exchange that opened its connection as much earlier as that took
	complete bool      // its last byte is written
	partial  bool      // a byte may have gone out
}

// Result is what came of an exchange.
type Result struct {
	Outcome       balance.Outcome
	SentAt        time.Time      // when it was written, or, if it opened its connection, as much earlier; zero: it was not
	EndedAt       time.Time      // when the response's end was received, or whatever else ended it
	Err           error          // why there is no complete response
	Status        int            // of a response; 0: none came
	Length        int            // of its body, or of the one that a HeadOnly request leaves out; -1: unknown
	Fields        []byte         // the field lines to forward, of a successful response and of any with Passthrough
	Body          []byte         // of a response that has begun to stream: its first bytes
	ReservedBytes int64          // memory held for Body: whoever gets the Result gives it back
	Stream        *io.PipeReader // of a response that has begun to stream: the rest. It is read to its end or closed
}

// awaitWritten waits until the writing of a request has ended. An upload is stopped first: it may wait for its client,
// who waits for the response.
func (ex *Exchange) awaitWritten() {
	if ex.Upload != nil && ex.Upload.Started() {
		ex.Upload.Stop()
	}
	<-ex.written
}
