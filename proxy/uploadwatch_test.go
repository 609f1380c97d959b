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
	"github.com/stretchr/testify/require"
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
	wait := fmt.Sprintf("Expires-In: %.3f", uploadWait.Seconds())
	withWait := func(request string) string { return strings.Replace(request, "Expires-In: 1", wait, 1) }
	length := withWait(requestOf("length", 0, bytes))
	return map[string]string{
		"length": length,
		"chunks": withWait(chunkedRequestOf("chunks", 0, bytes)),
		"keyed": strings.Replace(strings.Replace(length, "/sms", "/sign", 1), "X-Qos: sms",
			"X-Qos: sign\r\nIdempotency-Key: k", 1),
	}
}

// startUploadEnv starts a proxy whose connections to servers hold little, with servers that do with a body what
// receiveBody does.
func startUploadEnv(t *testing.T, clientSocketBytes int, receiveBody func(body io.Reader)) *socketEnv {
	t.Helper()
	s := startSocketEnvWith(t, socketEnvOptions{
		receiveBody:       receiveBody,
		respond:           func(_ int, end net.Conn) { write(end, okResponse) },
		serverSocketBytes: smallSocketBytes,
		clientSocketBytes: clientSocketBytes,
	})
	return s
}

func (s *socketEnv) serverErrors() int {
	errors := make(chan int, 1)
	s.post(func() {
		n := 0
		for _, status := range s.pools.platform.decisions.ServerStatuses(s.now()) {
			n += status.Errors
		}
		errors <- n
	})
	return <-errors
}

// Guards against a request without any answer: its client has sent everything, but its server has stopped reading the
// body, so that the proxy has not read the last byte, from which the client's time counts.
func TestBodyThatItsServerDoesNotReadIsAnsweredInTime(t *testing.T) {
	hang := func(ctx context.Context, _ io.Reader) { <-ctx.Done() }
	for name, c := range map[string]struct {
		receiveBody func(ctx context.Context, body io.Reader)
		noDial      bool // connections to servers do not open
		atFault     bool // the servers are
	}{
		"the server hangs": {hang, false, true},
		"the server stops reading": {func(ctx context.Context, body io.Reader) {
			_, _ = io.CopyN(io.Discard, body, uploadTestBytes/5)
			hang(ctx, body)
		}, false, true},
		"the server reads ever more slowly": {func(ctx context.Context, body io.Reader) {
			for pause := time.Millisecond; ctx.Err() == nil; pause = min(2*pause, time.Second) {
				_, _ = io.CopyN(io.Discard, body, 1000)
				time.Sleep(pause)
			}
		}, false, true},
		"the connection does not open": {hang, true, false},
	} {
		t.Run(name, func(t *testing.T) {
			for form, request := range uploadRequests(uploadTestBytes) {
				s := startUploadEnv(t, largeSocketBytes, func(body io.Reader) { c.receiveBody(t.Context(), body) })
				if !c.noDial {
					close(s.dialGate)
				}
				conn := s.connect()
				write(conn, request)
				sentAt := time.Now()
				require.NoError(t, conn.SetReadDeadline(sentAt.Add(4*time.Second)))
				status, _, _, err := readResponse(conn)
				require.NoError(t, err, form)
				assert.Contains(t, []int{502, 503}, status, form)
				if c.atFault {
					assert.Equal(t, 503, status, "%s: no server has received the last byte, so none ran it", form)
					assert.Positive(t, s.serverErrors(), "%s: counts against the server", form)
				}
				assert.Less(t, time.Since(sentAt), uploadWait+maxAnswerDelay, form)
				if c.noDial {
					close(s.dialGate)
				}
			}
		})
	}
}

// A client that still sends is not answered as though it had finished, although its server does not read.
func TestClientsTimeCountsFromItsLastByte(t *testing.T) {
	for form, request := range uploadRequests(uploadTestBytes) {
		s := startUploadEnv(t, largeSocketBytes, func(io.Reader) { <-t.Context().Done() })
		close(s.dialGate)
		conn := s.connect()
		write(conn, request[:len(request)-1])
		require.NoError(t, conn.SetReadDeadline(time.Now().Add(uploadWait+maxAnswerDelay)))
		_, err := conn.Read(make([]byte, 1))
		var timeout net.Error
		require.ErrorAs(t, err, &timeout, "%s: answered before the last byte", form)
		write(conn, request[len(request)-1:])
		sentAt := time.Now()
		require.NoError(t, conn.SetReadDeadline(sentAt.Add(4*time.Second)))
		status, _, _, err := readResponse(conn)
		require.NoError(t, err, form)
		assert.Equal(t, 503, status, form)
		assert.Greater(t, time.Since(sentAt), uploadWait/2, form)
		assert.Less(t, time.Since(sentAt), uploadWait+maxAnswerDelay, form)
	}
}

// An upload that makes progress is not cut, however long it takes in all, if what lies between its client and its
// server is sent on in the client's time.
func TestUploadToASlowServerIsNotCut(t *testing.T) {
	const bytes, bytesPerRead, pause = 800_000, 10_000, 30 * time.Millisecond // 2.4 s for the whole body
	for form, request := range uploadRequests(bytes) {
		s := startUploadEnv(t, smallSocketBytes, func(body io.Reader) {
			for {
				if _, err := io.CopyN(io.Discard, body, bytesPerRead); err != nil {
					return
				}
				time.Sleep(pause)
			}
		})
		close(s.dialGate)
		conn := s.connect()
		began := time.Now()
		write(conn, request)
		status, _, _, err := readResponse(conn)
		require.NoError(t, err, form)
		assert.Equal(t, 200, status, form)
		assert.Greater(t, time.Since(began), 2*uploadWait, "%s: the upload took longer than its client waits", form)
	}
}

// Guards against a client that waits too long because this core was busy: its time counts from when the system has
// received its last byte, not from when that was read, whichever of the two the owner hears of first.
func TestUploadsDeadlineCountsFromTheReceivedLastByte(t *testing.T) {
	env := newEnv(t, map[string][]string{"b1": {okResponse}}, nil)
	readAt := time.Now()
	receivedAt := readAt.Add(-300 * time.Millisecond)
	want := env.toUnixSeconds(receivedAt) + uploadWait.Seconds()
	for name, record := range map[string]func(req *request){
		"read late": func(req *request) { env.bodyCompleted(req, receivedAt, readAt) },
		"held up, then sent": func(req *request) {
			env.uploadHeldUp(req, receivedAt)
			env.bodyCompleted(req, readAt, readAt)
		},
	} {
		req := &request{deadline: env.toUnixSeconds(readAt) + maxUploadDuration.Seconds()}
		req.stream.clientWait = uploadWait.Seconds()
		record(req)
		assert.InDelta(t, want, req.deadline, 1e-6, name)
		assert.InDelta(t, env.toUnixSeconds(readAt), req.stream.completedAt, 1e-6, name)
	}
}
