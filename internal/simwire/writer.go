package simwire

import (
	"bufio"
	"io"
	"math"
	"strconv"
	"strings"
)

// writeBufferBytes is the size of the write buffer.
const writeBufferBytes = 1 << 16

// Writer writes replies, one message per line. Times are in seconds. BatchReady returns the first write error.
type Writer struct{ out *bufio.Writer }

// NewWriter returns a writer to out.
func NewWriter(out io.Writer) *Writer { return &Writer{bufio.NewWriterSize(out, writeBufferBytes)} }

// SelectInstance selects the instance that the following messages are from.
func (w *Writer) SelectInstance(number int) { w.message("context Proxy=", strconv.Itoa(number)) }

// Send requests an attempt at a server; the attempt ends by the deadline. The deadline is rounded down to microseconds,
// so that the attempt never ends after it.
func (w *Writer) Send(requestID, server string, deadline float64) {
	deadline = math.Floor(deadline*1e6) / 1e6
	w.message("try Job=", requestID, " Backend=", server, " NotPastMs=", milliseconds(deadline))
}

// CancelAttempt cancels an attempt, counted from 0: the simulator stops waiting for it.
func (w *Writer) CancelAttempt(requestID string, attempt int) {
	w.message("stop_attempt Job=", requestID, " Leg=", strconv.Itoa(attempt))
}

// Reject rejects a request. The client may retry it after retryAfter; if that is 0, the message gives no time.
func (w *Writer) Reject(requestID string, retryAfter float64) {
	if retryAfter > 0 {
		w.message("refuse Job=", requestID, " CoolDownMs=", milliseconds(retryAfter))
		return
	}
	w.message("refuse Job=", requestID)
}

// Fail answers a request with an error, which leaves open whether the request took effect.
func (w *Writer) Fail(requestID string) { w.message("respond_error Job=", requestID) }

// SetTimer requests a timer, which fires with its label after delay.
func (w *Writer) SetTimer(delay float64, label int) {
	w.message("wake_at AfterMs=", milliseconds(delay), " Label=", strconv.Itoa(label))
}

// Subscribe requests the endpoint list and its changes from now on.
func (w *Writer) Subscribe() { w.message("keep_informed Enable=1") }

// CheckHealth requests a health check, with which a server reports its load.
func (w *Writer) CheckHealth(server string) { w.message("inspect Backend=", server) }

// CloseIdle closes the idle connections to a server.
func (w *Writer) CloseIdle(server string) { w.message("hang_up Backend=", server) }

// SendGossip sends a gossip message, encoded by gossip.ToHex, to a peer.
func (w *Writer) SendGossip(peer int, text string) {
	w.message("broadcast_to Target=", strconv.Itoa(peer), " Data=", text)
}

// ReportFailure reports that an instance's balancer has panicked. Each run of white space in text, newlines included,
// becomes one space.
func (w *Writer) ReportFailure(text string) {
	w.message("give_in Line=", strings.Join(strings.Fields(text), " "))
}

// BatchReady ends the reply to the batch with this number, written as frame, and flushes it.
func (w *Writer) BatchReady(number string) error {
	w.message("ready frame=", number)
	return w.out.Flush()
}

// message writes a line. The buffered writer keeps a write error and returns it from the next Flush.
func (w *Writer) message(parts ...string) {
	for _, part := range parts {
		_, _ = w.out.WriteString(part)
	}
	_ = w.out.WriteByte('\n')
}

// milliseconds formats a time in seconds as milliseconds with three decimals.
func milliseconds(seconds float64) string { return strconv.FormatFloat(seconds*1000, 'f', 3, 64) }
