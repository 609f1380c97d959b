package upstream

import (
	"errors"
	"io"
	"time"

	"lockloom/balance"
)

// ErrClientGone means that the client of an exchange has gone. It is the Err of the Result if the request was not sent
// because of that, and the error with which the reader of Result.Stream closes it if the client goes later.
var ErrClientGone = errors.New("the client has gone")

// Reasons why an exchange was not sent, or why the bytes received are not its response.
var (
	errUnsolicited   = errors.New("connection closed by the server, or bytes received, before the request was written")
	errCanceled      = errors.New("canceled")
	errTooLate       = errors.New("send-by time of the request would pass before it reaches the server")
	errReplaced      = errors.New("another process has the address of the server, or the server has another address")
	errDraining      = errors.New("the server is draining")
	errStopped       = errors.New("the server is disabled")
	errBodyBrokenOff = errors.New("the client has not sent the whole body")
	errUploadClaimed = errors.New("another attempt sends the request body")
	errEarlyResponse = errors.New("response received before the request was written")
)

// Exchange is one attempt: a request to one server. Its exported fields must not be changed after Send.
type Exchange struct {
	Head, Tail, Body []byte      // written in this order
	Deadline         time.Time   // the exchange times out if its response is neither complete nor streaming by this time
	SendBy           time.Time   // the request is not sent if it would reach the server later; zero: no limit
	ClientGone       func() bool // if true the request is not sent; called from any goroutine; nil: it has no client
	Passthrough      bool        // responses are forwarded unchanged; only a status of 500 or above is a server error
	HeadOnly         bool        // the request is a HEAD request: its response has no body

	Upload          *Upload       // streams a body that is not stored, if no other exchange does; nil: Body is complete
	ResponseTimeout time.Duration // limit for the response, from the end of the Upload; 0: Deadline applies

	// Both callbacks run on the owner's goroutine.
	OnResponseStarted func(Result) // streaming has started; called at most once, before OnDone; nil: no streaming
	OnDone            func(Result) // the exchange has ended; called exactly once

	progress
}

// progress is the state of an exchange between Send and OnDone.
type progress struct {
	conn        *connection
	writeAt     time.Time     // when the connection may be reused for the exchange; zero: at once
	resent      bool          // by resend; only the owner uses it
	connectTime time.Duration // to open the connection; 0 if reused. Only the writer uses it until writeDone is closed

	// Guarded by the connection's lock.
	writeStartedAt time.Time
	limits         UploadLimits // see Pool.LimitUpload
	uploadSent     bool         // the request, with its upload, was written completely
	canceled       bool         // the request must not be sent any more; if it was being sent, its connection is closed
	writeStarted   bool         // from now on, bytes of the request may be sent
	isStreaming    bool         // streaming its response has started

	// Set by the writer before it closes writeDone. Other goroutines read them only once writeDone is closed.
	writeDone     chan struct{}
	reuseWait     time.Duration // how long the writer waited until writeAt, on all connections together
	sentAt        time.Time     // writeStartedAt minus connectTime
	fullyWritten  bool
	partlyWritten bool // at least one byte may have been sent
	bodyBrokenOff bool // the client has not sent the whole Upload
}

// Result is the result of an exchange, or its state when the response starts to stream.
type Result struct {
	Outcome       balance.Outcome
	SentAt        time.Time      // when writing started, less the time to open the connection for it; zero: not sent
	ReuseWait     time.Duration  // how long the exchange waited because of ReuseDelay; 0: not sent
	EndedAt       time.Time      // when the response was completely received, or the exchange failed
	Err           error          // why there is no complete response
	Status        int            // status code of the response; 0: no response was received
	Length        int            // of the body in bytes; for HEAD: the announced Content-Length; -1: unknown
	Fields        []byte         // header field lines to forward, if the status is 200 or with Passthrough
	Body          []byte         // the complete body, or in OnResponseStarted its first bytes
	ReservedBytes int64          // memory reserved for Fields and Body, which the receiver of the Result must release
	Stream        *io.PipeReader // in OnResponseStarted: the rest of the body; must be read to its end or closed
}

// UploadLimits are time limits of an exchange with an Upload. The zero value sets none.
type UploadLimits struct {
	SentBy      time.Time // until the server has accepted the whole request, if it accepts nothing more of it
	RespondedBy time.Time // until the response is complete or streaming
}

// limited returns a time limit for the exchange's next event, or that of Pool.LimitUpload if it is earlier. The caller
// holds the connection's lock.
func (ex *Exchange) limited(by time.Time) time.Time {
	limit := ex.limits.SentBy
	if ex.uploadSent {
		limit = ex.limits.RespondedBy
	}
	if !limit.IsZero() && limit.Before(by) {
		return limit
	}
	return by
}

// awaitWriteDone waits until writing the request has ended. An upload is stopped first: it may be waiting for its
// client, which may be waiting for the response.
func (ex *Exchange) awaitWriteDone() {
	if ex.Upload != nil {
		ex.Upload.exchangeEnded(ex)
	}
	<-ex.writeDone
}
