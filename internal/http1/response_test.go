package http1

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestResponse(t *testing.T) {
	for _, c := range []struct {
		name, in string
		status   int
		body     string
		closes   bool
		fails    bool
	}{
		{"length", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab", 200, "ab", false, false},
		{"chunked", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n", 200, "ab", false, false},
		{"until close", "HTTP/1.1 200 OK\r\n\r\nabc", 200, "abc", true, false},
		{"interim first", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 503 x\r\nContent-Length: 0\r\n\r\n", 503, "", false, false},
		{"endless interim", strings.Repeat("HTTP/1.1 102 x\r\n\r\n", maxInterimResponses+1), 0, "", false, true},
		{"no body by status", "HTTP/1.1 204 x\r\nContent-Length: 9\r\n\r\n", 204, "", false, false},
		{"no reason", "HTTP/1.1 200\r\nContent-Length: 0\r\n\r\n", 200, "", false, false},
		{"cut short", "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nab", 200, "", false, true},
		{"chunks cut short", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n", 200, "", false, true},
		{"too large", "HTTP/1.1 200 OK\r\nContent-Length: 65537\r\n\r\n", 200, "", false, true},
		{"too large until close", "HTTP/1.1 200 OK\r\n\r\n" + strings.Repeat("x", DefaultMaxBytes+1), 200, "", true, true},
		{"no status", "HTTP/1.1 OK\r\n\r\n", 0, "", false, true},
		{"other protocol", "SSH-2.0-x\r\n\r\n", 0, "", false, true},
		{"switching protocols", "HTTP/1.1 101 x\r\n\r\n", 0, "", false, true},
	} {
		r := NewReader(strings.NewReader(c.in))
		h, err := r.Response()
		if err == nil {
			assert.Equal(t, c.status, h.Status, c.name)
			assert.Equal(t, c.closes, h.Close, c.name)
			var body []byte
			if body, err = r.Body(h.Length, h.Chunked); err == nil {
				assert.Equal(t, c.body, string(body), c.name)
			}
		}
		assert.Equal(t, c.fails, err != nil, "%s: %v", c.name, err)
	}
}
