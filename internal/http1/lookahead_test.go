package http1

import (
	"fmt"
	"io"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// chunks returns a chunked body with data of so many bytes, an extension and a trailer.
func chunks(bytes int) string {
	const size = 1000
	var body strings.Builder
	for ; bytes > 0; bytes -= size {
		n := min(bytes, size)
		fmt.Fprintf(&body, "%x;a=b\r\n%s\r\n", n, strings.Repeat("c", n))
	}
	return body.String() + "0\r\nX-After: all\r\n\r\n"
}

// Guards against a request that waits as an incomplete one although all of it was received: its end is found in what is
// buffered and in what was not read yet, from a wait for memory while a large head is read, and from one in the body,
// however much of that was consumed before. Checked with every length of the received part near both of its ends and
// some between.
func TestLookaheadFindsTheEndOfARequest(t *testing.T) {
	const near, far = 40, 997
	large := "X-Props: " + strings.Repeat("a", 3*BufferBytes) + "\r\n"
	for name, c := range map[string]struct{ fields, body string }{
		"no body":                {large, ""},
		"length":                 {"Content-Length: 9000\r\n", strings.Repeat("c", 9000)},
		"large head, length":     {large + "Content-Length: 7000\r\n", strings.Repeat("c", 7000)},
		"large head, large body": {large + "Content-Length: 90000\r\n", strings.Repeat("c", 90_000)},
		"no data":                {"Transfer-Encoding: chunked\r\n", chunks(0)},
		"chunks":                 {"Transfer-Encoding: chunked\r\n", chunks(9000)},
		"large head, chunks":     {large + "Transfer-Encoding: chunked\r\n", chunks(7000)},
	} {
		text := "POST / HTTP/1.1\r\n" + c.fields + "\r\n" + c.body
		for n := range len(text) + 1 {
			if n < near || n > len(text)-near || n%far == 0 {
				for _, consumed := range []int{0, 500, 5000} {
					checkLookahead(t, name, text, n, consumed, len(c.fields) > BufferBytes)
				}
			}
		}
	}
}

// checkLookahead checks the lookahead in a request of which n bytes were received, while a large head is read and after
// so many bytes of the body are consumed.
func checkLookahead(t *testing.T, name, text string, n, consumed int, isLarge bool) {
	t.Helper()
	source := strings.NewReader(text[:n])
	lookahead, looks := NewLookahead(), 0
	r := NewReader(source)
	r.AllowLargeBodies = true
	unread := func() (*strings.Reader, int) { return strings.NewReader(text[n-source.Len() : n]), source.Len() }
	check := func(got bool) {
		looks++
		assert.Equal(t, n == len(text), got, "%s: %d of %d bytes received, %d consumed", name, n, len(text), consumed)
	}
	r.ReserveHead = func(int) error {
		rest, count := unread()
		check(lookahead.HeadEnds(r, rest, count))
		return nil
	}
	head, err := r.Request()
	if err != nil {
		require.Less(t, n, len(text), name)
		return
	}
	assert.Equal(t, isLarge, looks >= 2, "%s: %d looks while the head was read", name, looks)
	body := r.StreamBody(head.Length, head.Chunked)
	if _, err := io.ReadFull(body, make([]byte, consumed)); err == nil { // else no more was received than is consumed
		rest, count := unread()
		check(lookahead.BodyEnds(body, rest, count))
	}
}

// A rest that is not valid is answered at once, so reading it does not wait for its sender.
func TestLookaheadTakesMalformedRequestsForReceived(t *testing.T) {
	for _, text := range []string{
		"POST /\r\n\r\n",
		"POST / HTTP/1.1\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\n",
		"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
		strings.Repeat("a", DefaultMaxBytes),
	} {
		received := NewLookahead().HeadEnds(NewReader(nil), strings.NewReader(text), len(text))
		assert.True(t, received, "%.80s", text)
	}
}
