package proxy

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
)

// Checks the response to a client of an HTTP listener, and how often the request is sent. The first attempt gets the
// given behavior of its server, any further one okResponse.
func TestOperatorRequests(t *testing.T) {
	const notFound = "HTTP/1.1 404 x\r\nContent-Length: 4\r\n\r\nnone"
	const redirect = "HTTP/1.1 302 x\r\nLocation: /there\r\nContent-Length: 0\r\n\r\n"
	const serverError = "HTTP/1.1 500 x\r\nX-From: b\r\nContent-Length: 5\r\n\r\nsorry"
	const chunkedError = "HTTP/1.1 500 x\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nsorry\r\n0\r\n\r\n"
	const noContent = "HTTP/1.1 204 x\r\n\r\n"
	post := "Content-Length: 3\r\n\r\nabc"
	for name, c := range map[string]struct {
		request, behavior, field, want string // field: a response field to check; empty: none
		sent                           int    // requests that servers received
	}{
		"page":                    {plainRequest("GET", "/a", ""), okResponse, "X-From", "200 b body", 1},
		"page, cut":               {plainRequest("GET", "/a", ""), closeConnection, "", "200 body", 2},
		"page, error":             {plainRequest("GET", "/a", ""), faultResponse, "", "200 body", 2},
		"not found":               {plainRequest("GET", "/a", ""), notFound, "", "404 none", 1},
		"redirected":              {plainRequest("GET", "/a", ""), redirect, "Location", "302 /there", 1},
		"no content":              {plainRequest("GET", "/a", ""), noContent, "Content-Length", "204", 1},
		"post, cut: may have run": {plainRequest("POST", "/a", post), closeConnection, "", "502 forfeited", 1},
		"post, error":             {plainRequest("POST", "/a", post), serverError, "X-From", "500 b sorry", 1},
		"post, error in chunks":   {plainRequest("POST", "/a", post), chunkedError, "", "500 sorry", 1},
		"post, its own 503":       {plainRequest("POST", "/a", post), plain503Response, "", "502", 1},
		"other, error":            {plainRequest("GET", "/other", ""), serverError, "", "500 sorry", 1},
		"post, never ran":         {plainRequest("POST", "/a", post), neverRanResponse, "", "200 body", 2},
		"post, no connection":     {plainRequest("POST", "/a", post), refuseConnection, "", "200 body", 1},
		"keyed, not deduplicated": {plainRequest("POST", "/a", "Idempotency-Key: k\r\n"+post), closeConnection, "",
			"502 forfeited", 1},
		"keyed, deduplicated": {plainRequest("POST", "/sign", "Idempotency-Key: k\r\n"+post), closeConnection,
			"", "200 body", 2},
		"an unknown method": {plainRequest("BREW", "/a", post), closeConnection, "", "502 forfeited", 1},
		"moved": {plainRequest("GET", "/moved/x?y", ""), okResponse, "Location",
			"308 https://example.org/moved/x?y", 0},
		"fixed": {plainRequest("GET", "/robots.txt", ""), okResponse, "Content-Type",
			"200 text/plain none", 0},
		"above the root": {plainRequest("GET", "/../a", ""), okResponse, "",
			`400 400: path "/../a": it climbs above its root`, 0},
		"another host": {plainRequest("GET", "http://other.org/a", ""), okResponse, "",
			"400 400: the target is for another host than Host", 0},
		"the same host": {plainRequest("GET", "http://EXAMPLE.org:80/a", ""), okResponse, "",
			"200 body", 1},
		"no host": {"GET /a HTTP/1.1\r\n\r\n", okResponse, "", "400 400: no Host", 0},
		"a malformed host": {"GET /a HTTP/1.1\r\nHost: a/b@c\r\n\r\n", okResponse, "",
			"400 400: malformed Host", 0},
		"two hosts": {plainRequest("GET", "/a", "Host: x\r\n"), okResponse, "",
			"400 400: Host twice", 0},
		"a length and chunks": {plainRequest("POST", "/a",
			"Transfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n0\r\n"), okResponse, "", "400 400: a length with chunks", 0},
		"CONNECT": {plainRequest("CONNECT", "example.org:80", ""), okResponse, "",
			"501 501: method not served", 0},
		"the client's own deadline": {plainRequest("GET", "/a", "X-Expires-In: 0.1\r\n"), noResponse, "",
			"503 dismissed", 1},
		"no response: the class's deadline": {plainRequest("POST", "/a", post), noResponse, "", "502 forfeited", 1},
		"no second server in the pool":      {plainRequest("GET", "/other", ""), closeConnection, "", "503 dismissed", 1},
	} {
		synctest.Test(t, func(t *testing.T) {
			env := startOperatorEnv(t, map[string][]string{"any": {c.behavior, okResponse}})
			began := time.Now()
			var fields []string
			if c.field != "" {
				fields = []string{c.field}
			}
			assert.Equal(t, c.want, env.operatorRoundTrip(c.request, fields...), name)
			assert.Less(t, time.Since(began), 800*time.Millisecond, name)
			assert.Len(t, env.received, c.sent, name)
			env.stopAndWait()
			assert.Zero(t, env.memory.reserved.Load(), "%s: all reserved memory is released", name)
		})
	}
}

// Checks that the path is forwarded as it was matched and rewritten, and that the client's fields are forwarded
// unchanged, except for those that this proxy sets or drops.
func TestOperatorRequestsAreForwarded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := startOperatorEnv(t, map[string][]string{"any": {okResponse}})
		env.recordHeads = true
		env.operatorRoundTrip(plainRequest("GET", "/sign/%61/../b?c=/../d",
			"X-Forwarded-For: 1.2.3.4\r\nForwarded: for=1.2.3.4\r\nVia: 1.0 x\r\nConnection: X-Hop\r\nX-Hop: 1\r\n"+
				"X-Trace-Id: mine\r\nCookie: c\r\n"))
		head := strings.Join(env.received, "")
		for _, part := range []string{
			"GET /v2/b?c=/../d",
			"Host: example.org",
			"X-Forwarded-For: 1.2.3.4, pipe",
			"X-Forwarded-Proto: http",
			"X-Forwarded-Host: example.org",
			`Forwarded: for=1.2.3.4, for="pipe";host="example.org";proto=http`,
			"Via: 1.0 x, 1.1 lockloom",
			"X-Trace-Id: mine",
			"Cookie: c",
			"X-Expires-In: 0.8",
		} {
			assert.Contains(t, head, part)
		}
		assert.NotContains(t, head, "X-Hop")
		env.stopAndWait()
	})
}

func TestForwardedElement(t *testing.T) {
	assert.Equal(t, `for="127.0.0.1";host="a:80";proto=http`, string(forwardedElement("127.0.0.1", "a:80")))
	assert.Equal(t, `for="[::1]";proto=http`, string(forwardedElement("::1", "")))
	assert.Equal(t, `for="x";host="a\";for=\\b";proto=http`, string(forwardedElement("x", `a";for=\b`)))
}
