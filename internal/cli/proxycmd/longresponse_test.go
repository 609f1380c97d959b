package proxycmd

import (
	"fmt"
	"io"
	"net"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"lockloom/internal/http1"
)

const longResponses = 10 // of each kind at a time

// Guards against cutting off a response that its server still writes: a stream that has begun is not subject to its
// request's deadline, and a process that is told to end has time until it may be killed.
func TestLongResponsesAreNotCut(t *testing.T) {
	const tookTime = tricklePieces * tricklePause
	for _, c := range []struct {
		name  string
		event func(s *testEnvironment, p *process) // happens 0.6 s after the requests
		stops bool                                 // the process ends by it
	}{
		{"nothing happens", func(*testEnvironment, *process) {}, false},
		{"a flood", func(s *testEnvironment, _ *process) {
			go pipelinedChecks.start(s.addr)()
		}, false},
		{"an upgrade", func(s *testEnvironment, _ *process) { s.startReady() }, false},
		{"an upgrade, the old process is stopped", func(s *testEnvironment, p *process) {
			s.startReady()
			assert.NoError(s.t, p.Process.Signal(syscall.SIGTERM))
		}, true},
		{"a stop", func(s *testEnvironment, p *process) {
			assert.NoError(s.t, p.Process.Signal(syscall.SIGTERM))
		}, true},
		{"a stop and a flood", func(s *testEnvironment, p *process) {
			go pipelinedChecks.start(s.addr)()
			assert.NoError(s.t, p.Process.Signal(syscall.SIGTERM))
		}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newTestEnvironment(t, 64, 1024)
			p := s.startReady()
			var running sync.WaitGroup
			for _, query := range []string{"?trickle", "?trickle-with-length"} {
				for n := range longResponses {
					running.Go(func() { assert.NoError(t, s.readLong(query, n), query) })
				}
			}
			time.Sleep(600 * time.Millisecond)
			c.event(s, p)
			running.Wait()
			if c.stops {
				select {
				case <-p.ended:
				case <-time.After(tookTime):
					assert.Fail(t, "the process did not end")
				}
			}
		})
	}
}

// readLong sends a request for a long response and reads it to its end.
func (s *testEnvironment) readLong(query string, number int) error {
	conn, err := net.Dial("tcp", s.addr)
	require.NoError(s.t, err)
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(10 * time.Second))
	send(conn, []byte(lookRequest(fmt.Sprintf("long%s-%d", query[1:], number), query)))
	reader := http1.NewReader(conn)
	head, err := reader.Response()
	if err != nil {
		return err
	}
	if head.Status != 200 {
		return fmt.Errorf("status %d", head.Status)
	}
	received, err := io.Copy(io.Discard, reader.StreamBody(head.Length, head.Chunked))
	if err == nil && received != tricklePieces*tricklePieceBytes {
		err = fmt.Errorf("received %d bytes: %w", received, io.ErrUnexpectedEOF)
	}
	return err
}
