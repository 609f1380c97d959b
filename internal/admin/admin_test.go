package admin

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"lockloom/internal/http1"
)

// startServer starts an admin endpoint on loopback and returns its address and a channel of the calls it receives.
func startServer(t *testing.T) (addr string, calls chan Call) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	calls = make(chan Call, 1000)
	log, _ := test.NewNullLogger()
	server := &Server{Log: log, Do: func(call Call) (int, string) {
		calls <- call
		if call.ID == "unknown" {
			return 404, "never listed"
		}
		return 200, "done"
	}}
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	t.Cleanup(func() {
		listener.Close()
		assert.ErrorIs(t, <-served, net.ErrClosed)
	})
	return listener.Addr().String(), calls
}

// send sends text to an admin endpoint and returns the status and body of the response, or 0 and "" if there is none.
func send(t *testing.T, addr, text string) (status int, body string) {
	t.Helper()
	conn, err := net.Dial("tcp", addr)
	if !assert.NoError(t, err) {
		return 0, ""
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(5 * time.Second))
	_, _ = io.WriteString(conn, text) // fails if the server responds and closes before it has read all
	reader := http1.NewReader(conn)
	head, err := reader.Response()
	if err != nil {
		return 0, ""
	}
	status = head.Status
	assert.True(t, head.Close, "the server must close the connection after one call")
	content, err := reader.Body(head.Length, head.Chunked)
	assert.NoError(t, err)
	return status, string(content)
}

func TestCallsAndAnswers(t *testing.T) {
	addr, calls := startServer(t)
	for _, c := range []struct {
		line   string
		status int
		call   *Call
		answer string
	}{
		{"GET /-/ready", 200, &Call{Action: Ready}, "done\n"},
		{"PUT /-/drain", 200, &Call{Action: Drain}, "done\n"},
		{"PUT /-/resume", 200, &Call{Action: Resume}, "done\n"},
		{"PUT /-/backends/s-1/disable", 200, &Call{Disable, "s-1"}, "done\n"},
		{"PUT /-/backends/s-1/enable", 200, &Call{Enable, "s-1"}, "done\n"},
		{"PUT /-/backends/web%2F127.0.0.1:90/disable", 200, &Call{Disable, "web/127.0.0.1:90"}, "done\n"},
		{"PUT /-/backends/unknown/disable", 404, &Call{Disable, "unknown"}, "never listed\n"},
		{"GET /-/drain", 405, nil, "this call is made with PUT\n"},
		{"PUT /-/ready", 405, nil, "this call is made with GET\n"},
		{"GET /-/backends/s-1/disable", 405, nil, "this call is made with PUT\n"},
		{"PUT /-/backends//disable", 400, nil, "malformed id of a backend\n"},
		{"PUT /-/backends/%zz/disable", 400, nil, "malformed id of a backend\n"},
		{"PUT /-/backends/s-1", 404, nil, "no such call\n"},
		{"PUT /-/backends/s-1/disable/x", 404, nil, "no such call\n"},
		{"PUT /-/backends/s-1/ready", 404, nil, "no such call\n"},
		{"GET /up", 404, nil, "no such call\n"},
		{"GET /-/ready?x=1", 404, nil, "no such call\n"},
		{"PUT /-/drain\nContent-Length: 0", 200, &Call{Action: Drain}, "done\n"},
		{"PUT /-/drain\nContent-Length: 3", 400, nil, "a call has no body\n"},
		{"PUT /-/drain\nX: " + strings.Repeat("x", http1.DefaultMaxBytes), 431, nil, "head too large\n"},
		{"PUT /-/drain\nX: " + strings.Repeat("x", http1.BufferBytes), 431, nil, "head too large\n"},
		{"nonsense", 400, nil, "malformed request line\n"},
	} {
		line, field, _ := strings.Cut(c.line, "\n")
		fields := "Host: x\r\n" + strings.TrimPrefix(field+"\r\n", "\r\n")
		status, answer := send(t, addr, line+" HTTP/1.1\r\n"+fields+"\r\n")
		assert.Equal(t, c.status, status, line)
		assert.Equal(t, c.answer, answer, line)
		if c.call != nil {
			assert.Equal(t, *c.call, <-calls)
			path := strings.ReplaceAll(c.call.Path(), "%3A", ":")
			assert.Equal(t, line, c.call.Method()+" "+path, "Method and Path must return the same request line")
		}
		assert.Empty(t, calls, line)
	}
}

// Clients that send nothing, or half a call, and stay connected must not block an operator who has to drain the proxy.
func TestSilentCallersKeepNobodyOut(t *testing.T) {
	addr, _ := startServer(t)
	var silent []net.Conn
	for i := range 200 {
		conn, err := net.Dial("tcp", addr)
		require.NoError(t, err)
		t.Cleanup(func() { conn.Close() })
		if i%2 == 0 {
			// The write may fail: the server closes the oldest connection when too many have sent no call.
			_, _ = io.WriteString(conn, "PUT /-/dra")
		}
		silent = append(silent, conn)
	}
	longest := time.Duration(0)
	for range 20 {
		start := time.Now()
		status, _ := send(t, addr, "PUT /-/drain HTTP/1.1\r\n\r\n")
		assert.Equal(t, 200, status)
		longest = max(longest, time.Since(start))
	}
	assert.Less(t, longest, time.Second)
	t.Logf("longest response time with 200 silent clients: %v", longest)
	closed := 0
	for _, conn := range silent { // the server closes the oldest connections first
		conn.SetReadDeadline(time.Now().Add(20 * time.Millisecond))
		if _, err := conn.Read(make([]byte, 1)); err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			closed++
		}
	}
	assert.GreaterOrEqual(t, closed, 200-maxUnreadConnections)
}

// For any bytes that readCall accepts, Method and Path of the call must make a request that is read as the same call.
func FuzzRead(f *testing.F) {
	for _, line := range []string{
		"GET /-/ready", "PUT /-/backends/a/disable", "PUT /-/backends/%2f/enable", "PUT /-/drain",
	} {
		f.Add(line + " HTTP/1.1\r\n\r\n")
	}
	f.Fuzz(func(t *testing.T, text string) {
		head, err := http1.NewReader(strings.NewReader(text)).Request()
		if err != nil {
			return
		}
		call, err := readCall(head)
		if err != nil {
			return
		}
		text = fmt.Sprintf("%s %s HTTP/1.1\r\n\r\n", call.Method(), call.Path())
		head, err = http1.NewReader(strings.NewReader(text)).Request()
		if assert.NoError(t, err) {
			again, err := readCall(head)
			assert.NoError(t, err)
			assert.Equal(t, call, again)
		}
	})
}
