package simwire

import (
	"bufio"
	"io"
	"math"
	"strconv"
	"strings"
)

// writeBufferBytes is the size of the writer's buffer.
const writeBufferBytes = 1 << 16

// Writer writes replies, a message a line. Times are in seconds. An error in writing is returned by BatchReady.
type Writer struct{ out *bufio.Writer }

// NewWriter returns a writer to out.
func NewWriter(out io.Writer) *Writer { return &Writer{bufio.NewWriterSize(out, writeBufferBytes)} }

// SelectInstance says of which instance the messages below are.
func (w *Writer) SelectInstance(number int) { w.message("context Proxy=", strconv.Itoa(number)) }

// Send orders an attempt, which ends by a deadline. That is rounded down, so that an attempt never outlives it.
func (w *Writer) Send(requestID, server string, deadline float64) {
	deadline = math.Floor(deadline*1e6) / 1e6
	w.message("try Job=", requestID, " Backend=", server, " NotPastMs=", milliseconds(deadline))
}

// CancelAttempt orders that the simulator stops waiting for an attempt, counted from 0.
func (w *Writer) CancelAttempt(requestID string, attempt int) {
	w.message("stop_attempt Job=", requestID, " Leg=", strconv.Itoa(attempt))
}

// Reject answers a request that may be retried after a time; 0: no time is named.
func (w *Writer) Reject(requestID string, retryAfter float64) {
	if retryAfter > 0 {
		w.message("refuse Job=", requestID, " CoolDownMs=", milliseconds(retryAfter))
		return
	}
	w.message("refuse Job=", requestID)
}

// Fail answers a request of whose effect nothing is promised.
func (w *Writer) Fail(requestID string) { w.message("respond_error Job=", requestID) }

// SetTimer asks for a timer, which fires with its label after a delay.
func (w *Writer) SetTimer(delay float64, label int) {
	w.message("wake_at AfterMs=", milliseconds(delay), " Label=", strconv.Itoa(label))
}

// Subscribe asks for the changes of the endpoint list.
func (w *Writer) Subscribe() { w.message("keep_informed Enable=1") }

// CheckHealth asks a server for its load.
func (w *Writer) CheckHealth(server string) { w.message("inspect Backend=", server) }

// CloseIdle closes the idle connections to a server.
func (w *Writer) CloseIdle(server string) { w.message("hang_up Backend=", server) }

// SendGossip sends a gossip message, in its text form, to a peer.
func (w *Writer) SendGossip(peer int, text string) {
	w.message("broadcast_to Target=", strconv.Itoa(peer), " Data=", text)
}

// ReportFailure says that the decisions have failed, and how.
func (w *Writer) ReportFailure(text string) {
	w.message("give_in Line=", strings.Join(strings.Fields(text), " "))
}

// BatchReady ends the reply to the batch of this number, and sends it.
func (w *Writer) BatchReady(number string) error {
	w.message("ready frame=", number)
	return w.out.Flush()
}

// message writes a line. Its error is kept by the buffer and returned by its next Flush.
func (w *Writer) message(parts ...string) {
	for _, part := range parts {
		_, _ = w.out.WriteString(part)
	}
	_ = w.out.WriteByte('\n')
}

// milliseconds formats a time with three decimals.
func milliseconds(seconds float64) string { return strconv.FormatFloat(seconds*1000, 'f', 3, 64) }
