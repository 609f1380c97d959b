package proxy

import (
	"bytes"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"lockloom/internal/http1"
)

func TestClientConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := startEnv(t, map[string][]string{"b1": {okResponse}}, nil)
		c := env.connect()
		go write(c, lookRequest+smsRequest+lookRequest[:20]) // what comes ahead must not be lost
		for range 2 {
			status, _, _, err := readResponse(c)
			assert.NoError(t, err)
			assert.Equal(t, 200, status)
		}
		go write(c, lookRequest[20:])
		status, _, _, err := readResponse(c)
		assert.NoError(t, err)
		assert.Equal(t, 200, status)
		time.Sleep(clientIdleTimeout + sweepInterval)
		_, err = c.Write([]byte("x"))
		assert.Error(t, err, "idle for too long")

		for _, ahead := range []string{"", lookRequest[:20]} { // leaves while its request waits, also with bytes ahead
			env.behaviors["b1"] = []string{noResponse}
			c = env.connect()
			go write(c, lookRequest+ahead)
			synctest.Wait()
			n := env.closedConns
			c.Close()
			time.Sleep(clientWatchDelay)
			synctest.Wait()
			assert.Equal(t, n+1, env.closedConns, "its attempt is canceled")
		}
		assert.Equal(t, 2, env.counters.ClientGone)

		env.behaviors["b1"] = []string{okResponse}
		c = env.connect()
		go write(c, lookRequest)
		time.Sleep(clientWriteTimeout + 1) // never reads its answer
		_, err = c.Write([]byte("x"))
		assert.Error(t, err)

		c = env.connect()
		go write(c, strings.Replace(smsRequest, "Content-Length: 3\r\n\r\nabc",
			"Expect: 100-continue\r\nContent-Length: 3\r\n\r\n", 1))
		leave := make([]byte, len("HTTP/1.1 100 Continue\r\n\r\n"))
		_, err = io.ReadFull(c, leave)
		assert.NoError(t, err)
		assert.Contains(t, string(leave), "100")
		go write(c, "abc")
		status, _, _, err = readResponse(c)
		assert.NoError(t, err)
		assert.Equal(t, 200, status)
		env.stopAndWait()
	})
}

// hookedConn calls a function each time bytes were read from it, before their reader goes on.
type hookedConn struct {
	net.Conn
	afterRead func()
}

func (s *hookedConn) Read(p []byte) (int, error) {
	n, err := s.Conn.Read(p)
	if n > 0 && s.afterRead != nil {
		s.afterRead()
	}
	return n, err
}

// closeQueued closes all connections in queues, as the table does without capacity.
func (t *connTable) closeQueued() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for c := range t.all {
		if c.queue != nil {
			c.requestClose()
			t.dequeue(c)
		}
	}
}

// A request that its reader has, and that the connTable does not know of yet, is not lost when its connection is to
// close at that moment.
func TestCloseWhileRequestIsRead(t *testing.T) {
	head, body, _ := strings.Cut(smsRequest, "\r\n\r\n")
	for name, parts := range map[string][]string{"complete": {smsRequest}, "head and body": {head + "\r\n\r\n", body},
		"cut in its head": {smsRequest[:9], smsRequest[9:]}} {
		for last := range parts {
			synctest.Test(t, func(t *testing.T) {
				env := startEnv(t, map[string][]string{"b1": {okResponse}}, nil)
				ours, theirs := net.Pipe()
				end := &hookedConn{Conn: theirs}
				env.platformConns <- end
				synctest.Wait()
				for i, part := range parts {
					if i == last {
						end.afterRead = env.conns.closeQueued
						time.Sleep(2 * firstByteTimeout / 3)
					}
					go write(ours, part)
					synctest.Wait()
				}
				status, h, _, err := readResponse(ours)
				if assert.NoError(t, err, "%s, closed with part %d", name, last) {
					assert.Equal(t, 200, status)
					assert.True(t, h.Close, "it closes with its response")
				}
				ours.Close()
				env.stopAndWait()
			})
		}
	}
}

// A client that stays is served for as long as it waits, whatever it has sent ahead, and that is served next.
func TestPipelinedRequestsAreServed(t *testing.T) {
	s := startSocketEnv(t, func(_ int, end net.Conn) {
		time.Sleep(2 * clientCheckInterval)
		write(end, okResponse)
	})
	close(s.dialGate)
	c := s.connect()
	var all strings.Builder
	const n = 60
	for range n {
		all.WriteString(strings.Replace(longWaitRequest, "t1", strings.Repeat("t", 200), 1))
	}
	go write(c, all.String())
	r := http1.NewReader(c)
	for range n / 10 {
		h, err := r.Response()
		require.NoError(t, err)
		assert.Equal(t, 200, h.Status)
		_, err = r.Body(h.Length, h.Chunked)
		assert.NoError(t, err)
	}
}

// Closed over bytes that nobody has read, a connection is reset, and what the client has not taken of its response is
// lost. The client takes nothing until the proxy's side is done.
func TestResponsesOutliveTheirConnections(t *testing.T) {
	large := strings.Repeat("y", 60_000)
	served := "HTTP/1.1 200 OK\r\nContent-Length: 60000\r\n\r\n" + large
	closing := strings.Replace(longWaitRequest, "\r\n\r\n", "\r\nConnection: close\r\n\r\n", 1)
	junk := strings.Repeat("x", 32<<10)
	for _, c := range []struct {
		name, request string
		status        int
	}{
		{"closing by its client's wish", closing, 200},
		{"rejected while its body is streamed",
			"POST /sms HTTP/1.1\r\nX-Trace-Id: t\r\nX-Qos: sms\r\nX-Expires-In: 5\r\nTransfer-Encoding: chunked\r\n\r\n" +
				"20000\r\n" + strings.Repeat("z", 0x20000) + "\r\nno chunk\r\n", 400},
		{"rejected", strings.Replace(longWaitRequest, "X-Qos: look", "X-Qos: none", 1), 400},
		{"too large", strings.Replace(longWaitRequest, "t1", strings.Repeat("x", 3*http1.DefaultMaxBytes/2), 1), 431},
	} {
		t.Run(c.name, func(t *testing.T) {
			on := make(chan bool)
			s := startSocketEnv(t, func(_ int, end net.Conn) {
				<-on
				write(end, served)
			})
			close(s.dialGate)
			d := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error { // the answer does not fit
				return raw.Control(func(fd uintptr) {
					assert.NoError(t, syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 2048))
				})
			}}
			conn, err := d.Dial("tcp", s.listener.Addr().String())
			require.NoError(t, err)
			defer conn.Close()
			_, err = io.WriteString(conn, c.request+junk)
			require.NoError(t, err)
			time.Sleep(2 * clientWatchDelay)
			close(on)
			time.Sleep(clientCheckInterval)
			all, err := io.ReadAll(conn)
			assert.NoError(t, err, "it ends in order")
			r := http1.NewReader(bytes.NewReader(all))
			h, err := r.Response()
			require.NoError(t, err)
			assert.Equal(t, c.status, h.Status)
			body, err := r.Body(h.Length, h.Chunked)
			assert.NoError(t, err)
			if c.status == 200 {
				assert.Equal(t, large, string(body))
			}
		})
	}
}
