package upstream

import (
	"errors"
	"os"

	"lockloom/balance"
)

// What each ending of an exchange proves. A server of the platform runs a request when its last byte has come, and says
// with X-Never-Ran that it did not run it; any other server (Passthrough) may begin before.
//
//	ending                                                 outcome          may it have run?
//	a response with status 200 (Passthrough: below 500)    Succeeded        yes
//	503 or 504 with X-Never-Ran                            ServerRejected   no
//	4xx, but for 408 and 429, which tell of time and load  InvalidRequest   yes
//	a response with any other status                       ServerError      yes
//	no connection                                          ConnectFailed    no
//	no response, last byte not written                     ConnectFailed    no
//	the same, Passthrough, a byte written                  ConnectionLost   yes
//	a 200 that came before the last byte was written       ConnectFailed    no: it cannot be its response
//	not written: canceled, client gone, too late, draining NotSent          no
//	not written: the connection was closed or had bytes    NotSent          no
//	canceled, last byte not written                        NotSent          no
//	canceled, last byte written                            Canceled         yes
//	the deadline passed, last byte written                 TimedOut         yes
//	reset, cut short or malformed, last byte written       ConnectionLost   yes
//	its response streamed, and its client went or canceled Canceled         yes
//	its response streamed, and failed                      ConnectionLost   yes

// succeeded reports whether a status is one of success for an exchange.
func (ex *Exchange) succeeded(status int) bool {
	return status == 200 || ex.Passthrough && status < 500
}

// responseOutcome returns the outcome of an exchange with a complete response.
func (ex *Exchange) responseOutcome(status int, neverRan bool) balance.Outcome {
	switch {
	case ex.succeeded(status):
		return balance.Succeeded
	case (status == 503 || status == 504) && neverRan:
		return balance.ServerRejected
	case status >= 400 && status < 500 && status != 408 && status != 429:
		return balance.InvalidRequest
	}
	return balance.ServerError
}

// failureOutcome returns the outcome of an exchange whose writing has ended and that has no complete response.
func (c *connection) failureOutcome(ex *Exchange, err error) balance.Outcome {
	if ex.Passthrough && !ex.complete && ex.partial {
		return balance.ConnectionLost
	}
	canceled := c.isCanceled(ex)
	switch {
	case canceled && ex.complete:
		return balance.Canceled
	case canceled:
		return balance.NotSent
	case !ex.complete:
		return balance.ConnectFailed
	case errors.Is(err, os.ErrDeadlineExceeded):
		return balance.TimedOut
	}
	return balance.ConnectionLost
}
