package proxy

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/assert"

	"lockloom/balance"
	"lockloom/internal/http1"
	"lockloom/internal/settings"
)

// Guards against parsing as a request what follows the read part of a body that is not needed: a client could hide a
// request in it.
func TestRestOfDroppedBodyIsNotParsed(t *testing.T) {
	const size = 2 * http1.DefaultMaxBytes
	hidden := strings.Repeat("x", http1.DefaultMaxBytes+1) + idempotentRequest
	body := fmt.Sprintf("%x\r\n%s%s\r\n0\r\n\r\n", size, hidden, strings.Repeat("x", size-len(hidden)))
	synctest.Test(t, func(t *testing.T) {
		env := startEnv(t, map[string][]string{"b1": {okResponse}}, nil)
		time.Sleep(firstListTimeout)
		synctest.Wait() // until it is up: the wait of the proxy ends at the same instant
		status, head, _, err := env.roundTrip("POST /up HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n" + body)
		assert.NoError(t, err)
		assert.Equal(t, 200, status)
		assert.True(t, head.Close)
		assert.Empty(t, env.received)
		env.stopAndWait()
	})
}

func TestInvalidRequests(t *testing.T) {
	for _, c := range []struct {
		in     string
		status int
	}{
		{"nonsense\r\n\r\n", 400},
		{strings.Replace(idempotentRequest, "X-Qos: look", "X-Qos: sms", 1), 400},
		{strings.Replace(idempotentRequest, "X-Qos: look", "X-Qos: none", 1), 400},
		{strings.Replace(idempotentRequest, "X-Trace-Id: t1\r\n", "", 1), 400},
		{strings.Replace(idempotentRequest, "X-Qos", "X-Trace-Id: t9\r\nX-Qos", 1), 400},
		{strings.Replace(keyedRequest, "X-Qos", "Idempotency-Key: k2\r\nX-Qos", 1), 400},
		{strings.Replace(idempotentRequest, "X-Qos", "Content-Length: 3\r\nX-Qos", 1) + "abc", 400},
		{strings.Replace(idempotentRequest, "0.5", "soon", 1), 400},
		{strings.Replace(idempotentRequest, "0.5", "NaN", 1), 400},
		{strings.Replace(idempotentRequest, "X-Expires-In: 0.5\r\n", "", 1), 400},
		{strings.Replace(keyedRequest, "Idempotency-Key: k\r\n", "", 1), 400},
		{strings.Replace(nonIdempotentRequest, "POST", "GET", 1), 400},
		{strings.Replace(idempotentRequest, "GET", "PATCH", 1), 501},
		{strings.Replace(idempotentRequest, "/look?user=7", "/elsewhere", 1), 404},
		{strings.Replace(idempotentRequest, "/look?user=7", "look", 1), 404},
		{strings.Replace(idempotentRequest, "/look?user=7", "?user=7", 1), 404},
		{strings.Replace(strings.Replace(idempotentRequest, "/look?user=7", "?user=7", 1), "Qos: look", "Qos: none", 1), 404},
		{strings.Replace(idempotentRequest, "/look?user=7", "*", 1), 404},
		{strings.Replace(idempotentRequest, "/look?user=7", "/", 1), 404},
		{strings.Replace(idempotentRequest, "/look?user=7", "http://x", 1), 404},
		{strings.Replace(idempotentRequest, "/look?user=7", "http://x?user=7", 1), 404},
		{chunkedRequest("zz\r\nabc\r\n0\r\n\r\n"), 400},
		{chunkedRequest("3\r\nabcd\r\n0\r\n\r\n"), 400},
		{chunkedRequest("-1\r\nabc\r\n0\r\n\r\n"), 400},
		{"GET /elsewhere HTTP/1.1\r\n\r\n", 404},
		{strings.Replace(nonIdempotentRequest, "Content-Length: 3", "Content-Length: 70000000", 1), 413},
		{strings.Replace(idempotentRequest, "t1", strings.Repeat("x", http1.DefaultMaxBytes), 1), 431},
		{nonIdempotentRequest[:len(nonIdempotentRequest)-1], 408},
		{idempotentRequest[:30], 408},
	} {
		synctest.Test(t, func(t *testing.T) {
			env := startEnv(t, map[string][]string{"b1": {okResponse}}, nil)
			status, h, _, err := env.roundTrip(c.in)
			assert.NoError(t, err, c.in)
			assert.Equal(t, c.status, status, c.in)
			assert.True(t, h.Close, c.in)
			assert.Empty(t, env.received, c.in)
			status, _, _, err = env.roundTrip(idempotentRequest)
			assert.NoError(t, err)
			assert.Equal(t, 200, status, "the proxy serves the next request")
			env.stopAndWait()
		})
	}
}

// Guards against a panic on a client's input, which would fail all requests.
func FuzzArrival(f *testing.F) {
	for _, request := range []string{
		idempotentRequest, keyedRequest, nonIdempotentRequest, "GET ?x HTTP/1.1\r\nX-Qos: none\r\n\r\n",
	} {
		f.Add([]byte(request))
	}
	log, _ := test.NewNullLogger()
	p, err := New(BootstrapConfig{Settings: settings.Settings{Deployment: balance.Deployment{
		Classes: []balance.Class{{Name: "look", Deadline: 1}}}}}, log)
	assert.NoError(f, err)
	f.Fuzz(func(t *testing.T, in []byte) {
		h, err := http1.NewReader(strings.NewReader(string(in))).Request()
		if err != nil {
			return
		}
		now := time.Now()
		path, query, _ := strings.Cut(string(h.Target), "?")
		if info, err := p.parseRequestInfo(h, []byte(path), []byte(query), now); err == nil {
			assert.LessOrEqual(t, info.Deadline, p.toUnixSeconds(now)+maxClientWaitSeconds)
			assert.GreaterOrEqual(t, info.ExpectedWork, 0.0)
		}
	})
}

// Checks that the server gets path and query unchanged from a target in absolute form.
func TestAbsoluteForm(t *testing.T) {
	for in, want := range map[string]string{"http://x:1/look?user=7": "/look?user=7", "HTTP://x/look": "/look",
		"/look?u=http://x/": "/look?u=http://x/",
		"http://x":          "/", "http://x?a=/b": "/?a=/b"} {
		assert.Equal(t, want, string(originForm([]byte(in))))
	}
	synctest.Test(t, func(t *testing.T) {
		env := startEnv(t, map[string][]string{"b1": {okResponse}}, nil)
		status, _, _, err := env.roundTrip(strings.Replace(idempotentRequest, "/look?user=7", "http://x/look?user=7", 1))
		assert.NoError(t, err)
		assert.Equal(t, 200, status)
		assert.Contains(t, env.received[0], "GET /look?user=7 ")
		env.stopAndWait()
	})
}

// Checks that a request may be received in two pieces, cut anywhere: within a name, a number or a CRLF.
func TestRequestSplitAnywhere(t *testing.T) {
	shortRequest, streamedRequest := chunkedRequest("1;x=y\r\na\r\n2\r\nbc\r\n0\r\nX-After: all\r\n\r\n"),
		chunkedRequest(longBodyChunked)
	bodyStart := len(streamedRequest) - len(longBodyChunked)
	for _, c := range []struct {
		in       string
		bytes    int64
		from, to int // range of the offsets at which it is cut
	}{{shortRequest, 3, 1, len(shortRequest)},
		{streamedRequest, int64(len(longBody)), bodyStart - 2, bodyStart + 20},
		{streamedRequest, int64(len(longBody)), bodyStart + 10_010, bodyStart + 10_040},
		{streamedRequest, int64(len(longBody)), len(streamedRequest) - 30, len(streamedRequest)}} {
		synctest.Test(t, func(t *testing.T) {
			env := newEnv(t, map[string][]string{"b1": {okResponse}}, nil)
			env.streamBodies = true
			env.start()
			for at := c.from; at < c.to; at++ {
				env.bodyBytes = 0
				conn := env.connect()
				go func() {
					write(conn, c.in[:at])
					time.Sleep(10 * time.Millisecond)
					write(conn, c.in[at:])
				}()
				status, _, _, err := readResponse(conn)
				assert.NoError(t, err)
				assert.Equal(t, []any{200, c.bytes}, []any{status, env.bodyBytes}, "cut after %q", c.in[max(at-20, 0):at])
				conn.Close()
			}
			env.stopAndWait()
		})
	}
}
