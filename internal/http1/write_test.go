package http1

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestForwardedFields(t *testing.T) {
	h, err := NewReader(strings.NewReader("POST /a?user=1 HTTP/1.1\r\nHost: x\r\nX-Trace-Id: 9\r\n" +
		"Connection: close, X-Hop\r\nx-hop: 1\r\nKeep-Alive: 5\r\nx-expires-in: 1\r\nContent-Length: 0\r\n\r\n")).Request()
	assert.NoError(t, err)
	out := AppendForwardedFields(AppendRequestLine(nil, h.Method, h.Target), h, "X-Expires-In")
	assert.Equal(t, "POST /a?user=1 HTTP/1.1\r\nHost: x\r\nX-Trace-Id: 9\r\n", string(out))
	out = AppendField(AppendContentLength(AppendStatusLine(nil, 503), 7), "Retry-After", AppendSeconds(nil, 0.1504))
	assert.Equal(t, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 7\r\nRetry-After: 0.150\r\n", string(out))
}
