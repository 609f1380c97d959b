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
		go write(c, idempotentRequest+nonIdempotentRequest+idempotentRequest[:20]) // pipelined bytes must not be lost
		for range 2 {
			status, _, _, err := readResponse(c)
			assert.NoError(t, err)
			assert.Equal(t, 200, status)
		}
		go write(c, idempotentRequest[20:])
		status, _, _, err := readResponse(c)
		assert.NoError(t, err)
		assert.Equal(t, 200, status)
		time.Sleep(clientIdleTimeout + sweepInterval)
		_, err = c.Write([]byte("x"))
		assert.Error(t, err, "closed: idle for too long")

		// The client closes before the response, also with pipelined bytes.
		for _, pipelined := range []string{"", idempotentRequest[:20]} {
			env.behaviors["b1"] = []string{noResponse}
			c = env.connect()
			go write(c, idempotentRequest+pipelined)
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
		go write(c, idempotentRequest)
		time.Sleep(clientWriteTimeout + 1) // the client does not read the response
		_, err = c.Write([]byte("x"))
		assert.Error(t, err)

		c = env.connect()
		go write(c, strings.Replace(nonIdempotentRequest, "Content-Length: 3\r\n\r\nabc",
			"Expect: 100-continue\r\nContent-Length: 3\r\n\r\n", 1))
		interim := make([]byte, len("HTTP/1.1 100 Continue\r\n\r\n"))
		_, err = io.ReadFull(c, interim)
		assert.NoError(t, err)
		assert.Contains(t, string(interim), "100")
		go write(c, "abc")
		status, _, _, err = readResponse(c)
		assert.NoError(t, err)
		assert.Equal(t, 200, status)
		env.stopAndWait()
	})
}

// hookedConn calls a function each time bytes were read from it, before Read returns.
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

// closeQueued closes all connections that are in one of the table's queues, in the way that evict closes one.
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

// Guards against losing a request whose connection is evicted after the request was read and before the connTable knows
// of it.
func TestCloseWhileRequestIsRead(t *testing.T) {
	head, body, _ := strings.Cut(nonIdempotentRequest, "\r\n\r\n")
	for name, parts := range map[string][]string{
		"complete": {nonIdempotentRequest}, "head and body": {head + "\r\n\r\n", body},
		"cut in its head": {nonIdempotentRequest[:9], nonIdempotentRequest[9:]},
	} {
		for last := range parts {
			synctest.Test(t, func(t *testing.T) {
				env := startEnv(t, map[string][]string{"b1": {okResponse}}, nil)
				clientEnd, proxyEnd := net.Pipe()
				end := &hookedConn{Conn: proxyEnd}
				env.platformConns <- end
				synctest.Wait()
				for i, part := range parts {
					if i == last {
						end.afterRead = env.conns.closeQueued
						time.Sleep(2 * firstByteTimeout / 3)
					}
					go write(clientEnd, part)
					synctest.Wait()
				}
				status, h, _, err := readResponse(clientEnd)
				if assert.NoError(t, err, "%s, closed with part %d", name, last) {
					assert.Equal(t, 200, status)
					assert.True(t, h.Close, "the connection closes after the response")
				}
				clientEnd.Close()
				env.stopAndWait()
			})
		}
	}
}

// Guards against taking a client for gone that has pipelined more requests than the buffer holds. These are served in
// order.
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

// Guards against losing a response when the proxy closes a connection with unread bytes, which makes the kernel send a
// reset. The client reads nothing until the proxy has closed its side.
func TestResponsesOutliveTheirConnections(t *testing.T) {
	large := strings.Repeat("y", 60_000)
	served := "HTTP/1.1 200 OK\r\nContent-Length: 60000\r\n\r\n" + large
	closing := strings.Replace(longWaitRequest, "\r\n\r\n", "\r\nConnection: close\r\n\r\n", 1)
	junk := strings.Repeat("x", 32<<10)
	for _, c := range []struct {
		name, request string
		status        int
	}{
		{"closed as its client asked", closing, 200},
		{"rejected while its body is streamed",
			"POST /sms HTTP/1.1\r\nX-Trace-Id: t\r\nX-Qos: sms\r\nX-Expires-In: 5\r\nTransfer-Encoding: chunked\r\n\r\n" +
				"20000\r\n" + strings.Repeat("z", 0x20000) + "\r\nno chunk\r\n", 400},
		{"rejected", strings.Replace(longWaitRequest, "X-Qos: look", "X-Qos: none", 1), 400},
		{"too large", strings.Replace(longWaitRequest, "t1", strings.Repeat("x", 3*http1.DefaultMaxBytes/2), 1), 431},
	} {
		t.Run(c.name, func(t *testing.T) {
			respond := make(chan bool)
			s := startSocketEnv(t, func(_ int, end net.Conn) {
				<-respond
				write(end, served)
			})
			close(s.dialGate)
			d := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error { // the response does not fit
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
			close(respond)
			time.Sleep(clientCheckInterval)
			all, err := io.ReadAll(conn)
			assert.NoError(t, err, "closed without a reset")
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
