package proxy

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"lockloom/internal/http1"
)

// A response may be larger than the memory limit, and slow on both sides. Its first bytes are relayed as soon as they
// arrive.
func TestLargeResponsesAreStreamed(t *testing.T) {
	for _, c := range []struct {
		name, head, rest string
		closes           bool
		pause            time.Duration // pause of the server after the head
	}{
		{"with a length", "HTTP/1.1 200 OK\r\nContent-Length: 320000\r\n\r\n", longBody, false, 0},
		{"with a length, a while after its head", "HTTP/1.1 200 OK\r\nContent-Length: 320000\r\n\r\n", longBody, false,
			100 * time.Millisecond},
		{"in chunks, a while after its head", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", longBodyChunked,
			false, 100 * time.Millisecond},
		{"in chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", longBodyChunked, false, 0},
		{"until the connection ends", "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n", longBody, true, 0},
	} {
		synctest.Test(t, func(t *testing.T) {
			env := newEnv(t, map[string][]string{"b1": {okResponse}}, func(cfg *BootstrapConfig) { cfg.Limits.Memory = 1 << 20 })
			env.respondWith = func(end net.Conn) {
				write(end, c.head)
				time.Sleep(c.pause)
				trickle(end, c.rest, 64_000)
				if c.closes {
					end.Close()
				}
			}
			env.start()
			conn, startedAt := env.connect(), time.Now()
			go write(conn, idempotentRequest)
			r := http1.NewReader(conn)
			h, err := r.Response()
			assert.NoError(t, err)
			assert.Equal(t, 200, h.Status)
			assert.Less(t, time.Since(startedAt), c.pause+50*time.Millisecond, "%s: the first bytes are relayed at once", c.name)
			got, err := io.ReadAll(r.StreamBody(h.Length, h.Chunked))
			assert.NoError(t, err, c.name)
			assert.True(t, longBody == string(got), c.name)
			assert.Greater(t, time.Since(startedAt), 3*time.Second, "the response may end after the deadline")
			conn.Close()
			env.stopAndWait()
			assert.Zero(t, env.memory.reserved.Load(), "%s: all reserved memory is released", c.name)
		})
	}
}

// Guards against releasing the memory of a response when its server has sent the end, though the client has not taken
// what was stored before streaming began.
func TestUnreadStreamHoldsItsMemory(t *testing.T) {
	const size = 30_000
	synctest.Test(t, func(t *testing.T) {
		env := newEnv(t, map[string][]string{"b1": {okResponse}}, nil)
		env.respondWith = func(end net.Conn) {
			write(end, fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n", size))
			write(end, strings.Repeat("x", size))
			time.Sleep(50 * time.Millisecond) // streaming begins with what is stored
			write(end, "\r\n0\r\n\r\n")
		}
		env.start()
		conn := env.connect()
		go write(conn, idempotentRequest)
		time.Sleep(500 * time.Millisecond)
		assert.GreaterOrEqual(t, env.memory.reserved.Load(), int64(size))
		_, _, body, err := readResponse(conn)
		assert.NoError(t, err)
		assert.Len(t, body, size)
		synctest.Wait()
		assert.Zero(t, env.memory.reserved.Load())
		conn.Close()
		env.stopAndWait()
	})
}

// A response that breaks off before any of it was relayed may be replaced by another attempt. One that breaks off later
// reaches the client incomplete.
func TestBrokenLargeResponses(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n"
	for _, c := range []struct {
		sent     int
		complete bool
	}{{1000, true}, {50_000, false}} {
		synctest.Test(t, func(t *testing.T) {
			env := newEnv(t, map[string][]string{"b1": {okResponse}, "b2": {okResponse}}, nil)
			broke := false
			env.respondWith = func(end net.Conn) {
				if broke {
					write(end, okResponse)
					return
				}
				broke = true
				write(end, head+strings.Repeat("x", c.sent))
				end.Close()
			}
			env.start()
			conn := env.connect()
			go write(conn, idempotentRequest)
			r := http1.NewReader(conn)
			h, err := r.Response()
			assert.NoError(t, err)
			got, err := io.ReadAll(r.StreamBody(h.Length, h.Chunked))
			if c.complete {
				assert.NoError(t, err)
				assert.Equal(t, "body", string(got))
			} else {
				assert.ErrorIs(t, err, io.ErrUnexpectedEOF)
				assert.Len(t, got, c.sent)
			}
			conn.Close()
			env.stopAndWait()
		})
	}
}

func TestHead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := startOperatorEnv(t, map[string][]string{"any": {"HTTP/1.1 200 OK\r\nContent-Length: 700\r\n\r\n"}})
		ours, theirs := net.Pipe()
		env.operatorConns <- theirs
		go write(ours, plainRequest("HEAD", "/a", "")+plainRequest("HEAD", "/robots.txt", ""))
		buf := make([]byte, 4096)
		n, _ := io.ReadAtLeast(ours, buf, 100)
		text := string(buf[:n])
		assert.Contains(t, text, "Content-Length: 700\r\n\r\nHTTP/1.1 200", "the second response follows the first head")
		assert.True(t, strings.HasSuffix(text, "Content-Length: 4\r\n\r\n"),
			"the second response is a head with the length of the body that it leaves out: %q", text)
		ours.Close()
		env.stopAndWait()
	})
}

// Clients that wait for 100 Continue, clients of HTTP/1.0, and a server whose error response never ends.
func TestContinueAndHTTP10(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := startOperatorEnv(t, map[string][]string{"any": {okResponse}})
		ours, theirs := net.Pipe()
		env.operatorConns <- theirs
		go write(ours, plainRequest("POST", "/a", "Expect: 100-continue\r\nContent-Length: 3\r\n"))
		buf := make([]byte, 100)
		n, _ := ours.Read(buf)
		assert.Equal(t, "HTTP/1.1 100 Continue\r\n\r\n", string(buf[:n]))
		go write(ours, "abc")
		status, _, body, err := readResponse(ours)
		assert.Equal(t, []any{200, "body", nil}, []any{status, body, err})
		ours.Close()
		old, theirs := net.Pipe() // HTTP/1.0 without Host; the connection ends with the response
		env.operatorConns <- theirs
		go write(old, "GET /a HTTP/1.0\r\n\r\n")
		text, err := io.ReadAll(old)
		assert.NoError(t, err)
		assert.Contains(t, string(text), "\r\n\r\nbody")
		env.stopAndWait()
	})
	synctest.Test(t, func(t *testing.T) {
		env := startOperatorEnv(t, map[string][]string{"any": {okResponse}})
		env.respondWith = func(end net.Conn) {
			write(end, "HTTP/1.1 503 x\r\nTransfer-Encoding: chunked\r\n\r\n")
			for {
				if _, err := io.WriteString(end, "3e8\r\n"+strings.Repeat("x", 1000)+"\r\n"); err != nil {
					return
				}
			}
		}
		assert.Equal(t, "502 forfeited", env.operatorRoundTrip(plainRequest("POST", "/a", "Content-Length: 0\r\n")))
		synctest.Wait()
		assert.Equal(t, 1, env.closedConns, "the connection to the server is closed")
		env.stopAndWait()
	})
}

// Large responses are streamed at the client's pace. If the server breaks off, the client gets an incomplete response;
// if the client disconnects, the exchange with the server ends too.
func TestStreamedResponses(t *testing.T) {
	const size = 8_000_000
	for name, c := range map[string]struct {
		version         string
		chunked, breaks bool
		complete        bool
	}{
		"with a length":                   {"1.1", false, false, true},
		"in chunks":                       {"1.1", true, false, true},
		"in chunks, to HTTP/1.0":          {"1.0", true, false, true},
		"with a length, breaks":           {"1.1", false, true, false},
		"in chunks, breaks":               {"1.1", true, true, false},
		"with a length, breaks, HTTP/1.0": {"1.0", false, true, false},
	} {
		synctest.Test(t, func(t *testing.T) {
			env := startOperatorEnv(t, map[string][]string{"any": {okResponse}})
			var written atomic.Int64
			env.respondWith = func(end net.Conn) { writeLargeBody(end, size, c.chunked, c.breaks, &written) }
			ours, theirs := net.Pipe()
			env.operatorConns <- theirs
			write(ours, strings.Replace(plainRequest("GET", "/a", ""), "HTTP/1.1", "HTTP/"+c.version, 1))
			time.Sleep(3 * time.Second) // the client does not read until long after the deadline
			assert.Less(t, written.Load(), int64(200_000), "%s: the proxy reads no more than the client takes", name)
			r := http1.NewReader(ours)
			h, err := r.Response()
			require.NoError(t, err, name)
			assert.Equal(t, c.chunked && c.version == "1.1", h.Chunked, name)
			n, err := io.Copy(io.Discard, r.StreamBody(h.Length, h.Chunked))
			if c.complete {
				assert.Equal(t, []any{int64(size), nil}, []any{n, err}, name)
			} else {
				assert.Error(t, err, name)
			}
			ours.Close()
			env.stopAndWait()
			assert.Equal(t, []int{1, 0}, []int{env.counters.Succeeded, env.counters.Failed}, name)
		})
	}
	synctest.Test(t, func(t *testing.T) {
		env := startOperatorEnv(t, map[string][]string{"any": {okResponse}})
		var written atomic.Int64
		env.respondWith = func(end net.Conn) { writeLargeBody(end, 1<<40, true, false, &written) } // an endless response
		ours, theirs := net.Pipe()
		env.operatorConns <- theirs
		go write(ours, plainRequest("GET", "/a", ""))
		_, err := io.ReadFull(ours, make([]byte, 100_000))
		assert.NoError(t, err)
		ours.Close()
		synctest.Wait()
		assert.Equal(t, 1, env.closedConns, "the connection to the server is closed")
		before := written.Load()
		time.Sleep(time.Minute)
		assert.Equal(t, before, written.Load())
		env.stopAndWait()
	})
}

// Downloads that clients read slowly do not count toward the concurrency limit of their servers: other requests are
// served.
func TestStreamedResponsesAreNoLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := startOperatorEnv(t, map[string][]string{"any": {okResponse}})
		var written atomic.Int64
		env.respondWith = func(end net.Conn) { writeLargeBody(end, 1<<40, false, false, &written) }
		const downloads = 30 // a server without any result is limited to two attempts at a time
		var clients []net.Conn
		for range downloads {
			ours, theirs := net.Pipe()
			env.operatorConns <- theirs
			write(ours, plainRequest("GET", "/a", ""))
			_, err := io.ReadFull(ours, make([]byte, 20_000))
			assert.NoError(t, err)
			clients = append(clients, ours)
		}
		assert.Equal(t, downloads, env.counters.Succeeded)
		for _, c := range clients {
			c.Close()
		}
		env.stopAndWait()
	})
}
