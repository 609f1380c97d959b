package proxy

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"lockloom/internal/http1"
	"lockloom/internal/upstream"
)

// chunkedRequest returns a request with a chunked body.
func chunkedRequest(chunks string) string {
	return strings.Replace(nonIdempotentRequest, "Content-Length: 3\r\n\r\nabc",
		"Transfer-Encoding: chunked\r\n\r\n"+chunks, 1)
}

// trickle writes text at a rate, in pieces that do not follow its structure.
func trickle(c net.Conn, text string, bytesPerSecond int) {
	for len(text) > 0 {
		n := min(len(text), bytesPerSecond/7)
		if _, err := io.WriteString(c, text[:n]); err != nil {
			return
		}
		text = text[n:]
		time.Sleep(time.Second / 7)
	}
}

// longBody is 320 kB, which take 5 s at the 64 kB/s of slow clients. longBodyChunked is the same body in chunks with an
// extension, and with a trailer.
var longBody, longBodyChunked = func() (string, string) {
	body, pieces := strings.Repeat("0123456789abcdef", 20_000), strings.Builder{}
	for at := 0; at < len(body); at += 10_000 {
		fmt.Fprintf(&pieces, "%X;name=value\r\n%s\r\n", 10_000, body[at:at+10_000])
	}
	return body, pieces.String() + "0\r\nX-After: all\r\n\r\n"
}()

// requestWithLength returns a request with a Content-Length of n; body may be shorter.
func requestWithLength(n int, body string) string {
	return strings.Replace(nonIdempotentRequest, "Content-Length: 3\r\n\r\nabc",
		fmt.Sprintf("Content-Length: %d\r\n\r\n", n)+body, 1)
}

// Checks that a client may take 2 s for a head and send a body at 64 kB/s: its deadline counts from the last byte. A
// slow streamed body must not count as its server's fault, and must not be sent twice.
func TestSlowRequests(t *testing.T) {
	for _, c := range []struct {
		name, in string
		bytes    int
		slowHead bool
	}{
		{"with a length", requestWithLength(len(longBody), longBody), len(longBody), false},
		{"in chunks", chunkedRequest(longBodyChunked), len(longBody), false},
		{"not streamed", requestWithLength(60_000, longBody[:60_000]), 60_000, true},
		{"a slow head alone", nonIdempotentRequest, 3, true},
		{"a few chunks", chunkedRequest("1;x\r\na\r\n2\r\nbc\r\n0\r\n\r\n"), 3, true},
	} {
		for _, first := range []bool{true, false} {
			synctest.Test(t, func(t *testing.T) {
				env := newEnv(t, map[string][]string{"b1": {okResponse}}, nil)
				env.streamBodies = true
				env.start()
				conn := env.connect()
				if !first { // on a connection that has had a request
					go write(conn, idempotentRequest)
					_, _, _, err := readResponse(conn)
					assert.NoError(t, err)
					time.Sleep(time.Second)
				}
				env.received, env.bodyBytes = nil, 0
				go func() {
					head, rest, _ := strings.Cut(c.in, "\r\n\r\n")
					if c.slowHead {
						for i := range 10 {
							write(conn, head[len(head)*i/10:len(head)*(i+1)/10])
							time.Sleep(190 * time.Millisecond)
						}
					} else {
						write(conn, head)
					}
					trickle(conn, "\r\n\r\n"+rest, 64_000)
				}()
				status, _, text, err := readResponse(conn)
				assert.NoError(t, err, c.name)
				assert.Equal(t, 200, status, "%s %s", c.name, text)
				assert.Len(t, env.received, 1)
				assert.Equal(t, int64(c.bytes), env.bodyBytes, c.name)
				conn.Close()
				errors := make(chan int, 1)
				env.post(func() { errors <- env.pools.platform.decisions.ServerStatuses(env.now())[0].Errors })
				assert.Zero(t, <-errors, "a slow client does not count as a server's error")
				env.stopAndWait()
			})
		}
	}
}

// Guards against a client that stops within a body and so holds a client connection and a server connection without a
// time limit.
func TestUnfinishedBodiesTimeOut(t *testing.T) {
	for _, c := range []struct {
		in     string
		status int
	}{{requestWithLength(300_000, "abc"), 408}, {requestWithLength(300, "abc"), 408}, {chunkedRequest("100000\r\nabc"),
		408}, {chunkedRequest("5\r\nabc"), 408},
		{chunkedRequest(longBodyChunked[:100_000]), 408}, {chunkedRequest(longBodyChunked[:10*10_019] + "zz\r\n"), 400}} {
		synctest.Test(t, func(t *testing.T) {
			env := newEnv(t, map[string][]string{"b1": {okResponse}}, nil)
			env.streamBodies = true
			env.start()
			began, conn := time.Now(), env.connect()
			go write(conn, c.in)
			status, _, _, err := readResponse(conn)
			assert.NoError(t, err)
			assert.Equal(t, c.status, status)
			assert.Less(t, time.Since(began), 3*time.Second)
			conn.Close()
			env.stopAndWait()
		})
	}
}

// Checks that large bodies are streamed, as fast as the server accepts them, and to no other server once one has
// received some of it.
func TestStreamedUploads(t *testing.T) {
	const size = 3_000_000
	length := fmt.Sprintf("Content-Length: %d\r\n", size)
	for name, c := range map[string]struct {
		method, framing, behavior, want string
		sent                            int   // requests whose heads reached a server
		minBytes                        int64 // minimum number of body bytes that reached a server
	}{
		"with a length":                 {"POST", length, okResponse, "200 body", 1, size},
		"in chunks":                     {"POST", "Transfer-Encoding: chunked\r\n", okResponse, "200 body", 1, size},
		"the first server refuses":      {"POST", length, refuseConnection, "200 body", 1, size},
		"idempotent, but streamed: cut": {"GET", length, cutInBody, "503 dismissed", 1, 0},
		"post: cut in the middle":       {"POST", length, cutInBody, "502 forfeited", 1, 0},
		"answered before it is read":    {"POST", length, earlyResponse, "400", 1, 0},
		"its route answers":             {"PUT", length, "moved", "308", 0, 0},
	} {
		synctest.Test(t, func(t *testing.T) {
			env := startOperatorEnv(t, map[string][]string{"any": {c.behavior, okResponse}})
			env.streamBodies = true
			target := "/a"
			if c.behavior == "moved" {
				target = "/moved"
			}
			clientEnd, proxyEnd := net.Pipe()
			env.operatorConns <- proxyEnd
			go func() {
				write(clientEnd, plainRequest(c.method, target, c.framing))
				piece := strings.Repeat("x", 10_000)
				for range size / len(piece) {
					text := piece
					if strings.Contains(c.framing, "chunked") {
						text = fmt.Sprintf("%x\r\n%s\r\n", len(piece), piece)
					}
					if _, err := io.WriteString(clientEnd, text); err != nil {
						return
					}
				}
				if strings.Contains(c.framing, "chunked") {
					write(clientEnd, "0\r\n\r\n")
				}
			}()
			status, _, body, err := readResponse(clientEnd)
			assert.NoError(t, err, name)
			assert.Equal(t, c.want, strings.TrimSpace(fmt.Sprint(status, " ", body)), name)
			clientEnd.Close()
			env.stopAndWait()
			assert.Len(t, env.received, c.sent, name)
			assert.GreaterOrEqual(t, env.bodyBytes, c.minBytes, name)
		})
	}
}

// Guards against rejecting a request whose body is malformed, as if a retry were harmless. The body's error and the end
// of the attempt that failed because of it are both there when the connection's goroutine looks.
func TestBodyErrorTakesPrecedenceOverRejection(t *testing.T) {
	malformed := &http1.Error{Status: 400, Text: "malformed chunk"}
	for _, c := range []struct {
		name          string
		status        int
		bodyErr, want error
	}{
		{"rejected", 503, malformed, malformed},
		{"failed", 502, malformed, malformed},
		{"rejected, upload stopped", 503, upstream.ErrUploadStopped, nil},
		{"rejected, body complete", 503, nil, nil},
	} {
		for range 100 { // select chooses at random
			conn, req := &clientConn{uploadDone: make(chan error, 1)}, &request{response: make(chan response, 1)}
			conn.uploadDone <- c.bodyErr
			req.response <- response{status: c.status, notServed: true}
			resp, err := conn.awaitResponse(req)
			assert.Equal(t, c.want, err, c.name)
			assert.Equal(t, c.want == nil, resp.status == c.status, c.name)
			assert.Nil(t, conn.uploadDone, c.name)
		}
	}
}
