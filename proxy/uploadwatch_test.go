package proxy

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

const (
	uploadWait       = 600 * time.Millisecond // how long the client of an upload waits for its response
	maxAnswerDelay   = 500 * time.Millisecond // after the client's time: a later answer counts as none
	uploadTestBytes  = 200_000                // more than the sockets of a connection to a server hold
	smallSocketBytes = 16 << 10
	largeSocketBytes = 1 << 20 // holds all that a client of these tests sends
)

// uploadRequests returns requests with bodies of so many bytes that stream, of classes that may and may not be retried,
// by name.
func uploadRequests(bytes int) map[string]string {
	requests := map[string]string{
		"length": requestOf("length", 0, bytes),
		"chunks": chunkedRequestOf("chunks", 0, bytes),
		"keyed": strings.Replace(strings.Replace(requestOf("keyed", 0, bytes), "/sms", "/sign", 1), "X-Qos: sms",
			"X-Qos: sign\r\nIdempotency-Key: k", 1),
	}
	for name, request := range requests {
		requests[name] = strings.Replace(request, "Expires-In: 1", fmt.Sprint("Expires-In: ", uploadWait.Seconds()), 1)
	}
	return requests
}

// readAtPace reads a body to its end, or until the context ends, in pieces with a pause after each, which next returns.
func readAtPace(ctx context.Context, body io.Reader, piece int64, next func() time.Duration) {
	for ctx.Err() == nil {
		if _, err := io.CopyN(io.Discard, body, piece); err != nil {
			return
		}
		time.Sleep(next())
	}
}

// Guards against a request without any answer: its client has sent everything, but its server has stopped reading the
// body, so that the proxy has not read the last byte, from which the client's time counts. A client that still sends is
// not answered as though it had finished, and an upload that makes progress is not cut, however long it takes in all.
func TestUploadIsAnsweredInItsClientsTime(t *testing.T) {
	hang := func(ctx context.Context, _ io.Reader) { <-ctx.Done() }
	const late = 200 * time.Millisecond
	for name, c := range map[string]struct {
		receiveBody func(ctx context.Context, body io.Reader)
		withheld    time.Duration // how long after the rest the client sends its last byte
		dialAfter   time.Duration // when connections to servers open, from the start of the request
		refused     int32         // how many of them are refused first
		statuses    []int         // permitted ones; default: 503, since no server has the last byte
		isSlow      bool          // the upload takes longer than its client waits, and is served
	}{
		"server hangs": {receiveBody: hang},
		"server stops reading": {receiveBody: func(ctx context.Context, body io.Reader) {
			_, _ = io.CopyN(io.Discard, body, uploadTestBytes/5)
			hang(ctx, body)
		}},
		"server reads ever more slowly": {receiveBody: func(ctx context.Context, body io.Reader) {
			pause := time.Millisecond
			readAtPace(ctx, body, 1000, func() time.Duration { pause = min(2*pause, time.Second); return pause })
		}},
		"client withholds its last byte":   {receiveBody: hang, withheld: uploadWait + maxAnswerDelay},
		"connection opens late":            {receiveBody: hang, dialAfter: late},
		"first connection is refused late": {receiveBody: hang, dialAfter: late, refused: 1},
		"no connection opens":              {receiveBody: hang, dialAfter: time.Minute, statuses: []int{502, 503}},
		"server reads slowly": {isSlow: true, statuses: []int{200}, receiveBody: func(ctx context.Context, body io.Reader) {
			readAtPace(ctx, body, uploadTestBytes/20, func() time.Duration { return 30 * time.Millisecond })
		}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			bytes, clientSocketBytes := uploadTestBytes, largeSocketBytes
			if c.isSlow {
				bytes, clientSocketBytes = 4*uploadTestBytes, smallSocketBytes
			}
			for form, request := range uploadRequests(bytes) {
				s := startSocketEnvWith(t, socketEnvOptions{
					receiveBody:       func(body io.Reader) { c.receiveBody(t.Context(), body) },
					respond:           func(_ int, end net.Conn) { write(end, okResponse) },
					serverSocketBytes: smallSocketBytes,
					clientSocketBytes: clientSocketBytes,
				})
				s.refusals.Store(c.refused)
				opening := time.AfterFunc(c.dialAfter, func() { close(s.dialGate) })
				partBytes := len(request)
				if c.withheld > 0 {
					partBytes--
				}
				began := time.Now()
				status, took := s.ask(request, partBytes, c.withheld)
				if c.statuses != nil {
					assert.Contains(t, c.statuses, status, form)
				} else {
					assert.Equal(t, 503, status, form)
					assert.Positive(t, s.serverErrors(), "%s: counts against the server", form)
				}
				if c.isSlow {
					assert.Greater(t, time.Since(began), 2*uploadWait, form)
				} else {
					assert.Greater(t, took, uploadWait/2, "%s: answered too early", form)
					assert.Less(t, took, uploadWait+maxAnswerDelay, form)
				}
				if opening.Stop() {
					close(s.dialGate)
				}
			}
		})
	}
}

// serverErrors returns the number of errors of all servers.
func (s *socketEnv) serverErrors() (n int) {
	counted := make(chan bool)
	s.post(func() {
		for _, status := range s.pools.platform.decisions.ServerStatuses(s.now()) {
			n += status.Errors
		}
		close(counted)
	})
	<-counted
	return n
}

// Guards against a client that waits too long because this core was busy: its time counts from when the system has
// received its last byte, not from when that was read, whichever of the two the owner processes first.
func TestUploadsDeadlineCountsFromTheReceivedLastByte(t *testing.T) {
	env := newEnv(t, map[string][]string{"b1": {okResponse}}, nil)
	readAt := time.Now()
	receivedAt := readAt.Add(-300 * time.Millisecond)
	for name, record := range map[string]func(req *request){
		"read late": func(req *request) { env.bodyCompleted(req, receivedAt, readAt) },
		"blocked, then sent": func(req *request) {
			env.uploadBlocked(req, receivedAt)
			env.bodyCompleted(req, readAt, readAt)
		},
	} {
		req := &request{deadline: env.toUnixSeconds(readAt) + maxUploadDuration.Seconds()}
		req.stream.clientWait = uploadWait.Seconds()
		record(req)
		assert.InDelta(t, env.toUnixSeconds(receivedAt)+uploadWait.Seconds(), req.deadline, 1e-6, name)
		assert.InDelta(t, env.toUnixSeconds(readAt), req.stream.completedAt, 1e-6, name)
	}
}
