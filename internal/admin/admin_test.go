package admin

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/assert"

	"lockloom/internal/http1"
)

// opened is a door on loopback, and the calls that it has been made.
func opened(t *testing.T) (addr string, calls chan Call) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NoError(t, err)
	calls = make(chan Call, 1000)
	log, _ := test.NewNullLogger()
	door := &Server{Log: log, Do: func(c Call) (int, string) {
		calls <- c
		if c.ID == "unknown" {
			return 404, "never listed"
		}
		return 200, "done"
	}}
	served := make(chan error, 1)
	go func() { served <- door.Serve(ln) }()
	t.Cleanup(func() {
		ln.Close()
		assert.ErrorIs(t, <-served, net.ErrClosed)
	})
	return ln.Addr().String(), calls
}

// say says something at a door and returns status, body and whether it ends the connection.
func say(t *testing.T, addr, text string) (int, string) {
	nc, err := net.Dial("tcp", addr)
	if !assert.NoError(t, err) {
		return 0, ""
	}
	defer nc.Close()
	nc.SetDeadline(time.Now().Add(5 * time.Second))
	io.WriteString(nc, text)
	r := http1.NewReader(nc)
	h, err := r.Response()
	if err != nil {
		return 0, ""
	}
	status := h.Status
	assert.True(t, h.Close, "one call to a connection")
	body, err := r.Body(h.Length, h.Chunked)
	assert.NoError(t, err)
	return status, string(body)
}

func TestCalls(t *testing.T) {
	addr, calls := opened(t)
	for _, c := range []struct {
		line   string
		status int
		call   *Call
		says   string
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
		{"nonsense", 400, nil, "malformed request line\n"},
	} {
		line, field, _ := strings.Cut(c.line, "\n")
		status, said := say(t, addr, line+" HTTP/1.1\r\nHost: x\r\n"+strings.TrimPrefix(field+"\r\n", "\r\n")+"\r\n")
		assert.Equal(t, c.status, status, line)
		assert.Equal(t, c.says, said, line)
		if c.call != nil {
			assert.Equal(t, *c.call, <-calls)
			assert.Equal(t, line, c.call.Method()+" "+strings.ReplaceAll(c.call.Path(), "%3A", ":"), "as the command line makes it")
		}
		assert.Empty(t, calls, line)
	}
}

// Danger: callers who say nothing, or half a call, and stay would keep out the one who has to drain the proxy.
func TestSilentCallers(t *testing.T) {
	addr, _ := opened(t)
	var silent []net.Conn
	for i := range 200 {
		nc, err := net.Dial("tcp", addr)
		assert.NoError(t, err)
		defer nc.Close()
		if i%2 == 0 {
			io.WriteString(nc, "PUT /-/dra")
		}
		silent = append(silent, nc)
	}
	worst := time.Duration(0)
	for range 20 {
		began := time.Now()
		status, _ := say(t, addr, "PUT /-/drain HTTP/1.1\r\n\r\n")
		assert.Equal(t, 200, status)
		worst = max(worst, time.Since(began))
	}
	assert.Less(t, worst, time.Second)
	t.Logf("worst answer among 200 silent callers: %v", worst)
	ended := 0
	for _, nc := range silent { // the first to come were the first to go
		nc.SetReadDeadline(time.Now().Add(20 * time.Millisecond))
		if _, err := nc.Read(make([]byte, 1)); err != nil {
			if passing, ok := err.(net.Error); !ok || !passing.Timeout() {
				ended++
			}
		}
	}
	assert.GreaterOrEqual(t, ended, 200-MaxConnections)
}

// Danger: a panic over what a caller sends costs the requests of all; a call that is read otherwise than it was made does harm.
func FuzzRead(f *testing.F) {
	for _, line := range []string{"GET /-/ready", "PUT /-/backends/a/disable", "PUT /-/backends/%2f/enable", "PUT /-/drain"} {
		f.Add(line + " HTTP/1.1\r\n\r\n")
	}
	f.Fuzz(func(t *testing.T, text string) {
		h, err := http1.NewReader(strings.NewReader(text)).Request()
		if err != nil {
			return
		}
		c, err := Read(h)
		if err != nil {
			return
		}
		again, err := http1.NewReader(strings.NewReader(fmt.Sprintf("%s %s HTTP/1.1\r\n\r\n", c.Method(), c.Path()))).Request()
		if assert.NoError(t, err) {
			second, err := Read(again)
			assert.NoError(t, err)
			assert.Equal(t, c, second)
		}
	})
}
