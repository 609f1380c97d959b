package upstream

import (
	"errors"
	"os"

	"lockloom/balance"
)

// How the end of an exchange maps to an outcome, and whether the server may have run the request. A server of the
// platform runs a request only after it has received its last byte, and sends X-Never-Ran if it did not run it; any
// other server (Passthrough) may start before.
//
//	end of the exchange                                    outcome          may have run?
//	a response with status 200 (Passthrough: below 500)    Succeeded        yes
//	503 or 504 with X-Never-Ran                            ServerRejected   no
//	4xx except 408 and 429, which are due to time and load InvalidRequest   yes
//	a response with any other status                       ServerError      yes
//	no connection                                          ConnectFailed    no
//	no response, request not fully written                 ConnectFailed    no
//	the same with Passthrough, request partly written      ConnectionLost   yes
//	the client has not sent the whole upload               NotSent          no
//	the same with Passthrough, request partly written      Canceled         yes
//	a 200 received before the request was fully written    ConnectFailed    no: it cannot be its response
//	not written: canceled, client gone, too late, draining NotSent          no
//	not written: connection closed, or bytes unread        NotSent          no
//	not written: another attempt sends the upload          NotSent          no
//	not written: the server was replaced or has moved      NotSent          no
//	canceled, request not fully written                    NotSent          no
//	canceled, request fully written                        Canceled         yes
//	the deadline passed, request fully written             TimedOut         yes
//	reset, cut short or malformed, request fully written   ConnectionLost   yes
//	response streamed, then client gone or canceled        Canceled         yes
//	response streamed, then failed                         ConnectionLost   yes

// succeeded reports whether a response with this status counts as successful.
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

// failureOutcome returns the outcome of an exchange without a complete response. Writing its request must have ended.
func (c *connection) failureOutcome(ex *Exchange, err error) balance.Outcome {
	mayHaveStarted := ex.Passthrough && !ex.fullyWritten && ex.partlyWritten
	canceled := c.isCanceled(ex)
	switch {
	case ex.bodyBrokenOff && mayHaveStarted: // not its server's fault
		return balance.Canceled
	case ex.bodyBrokenOff:
		return balance.NotSent
	case mayHaveStarted:
		return balance.ConnectionLost
	case canceled && ex.fullyWritten:
		return balance.Canceled
	case canceled:
		return balance.NotSent
	case !ex.fullyWritten:
		return balance.ConnectFailed
	case errors.Is(err, os.ErrDeadlineExceeded):
		return balance.TimedOut
	}
	return balance.ConnectionLost
}
