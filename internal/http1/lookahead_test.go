package http1

import (
	"errors"
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

// prefixes calls check with prefixes of text, with every length near both of its ends and some between, and with
// whether the prefix is all of it.
func prefixes(text string, check func(prefix string, complete bool)) {
	const near = 40
	for n := 0; n <= len(text); n++ {
		if n < near || n > len(text)-near || n%997 == 0 {
			check(text[:n], n == len(text))
		}
	}
}

// Guards against a request that waits as an incomplete one although all of it was received: its end is found in what is
// buffered and in what was not read yet, however much of it was consumed before.
func TestLookaheadFindsTheEndOfABody(t *testing.T) {
	for name, c := range map[string]struct {
		body    string
		length  int
		chunked bool
	}{
		"chunks":        {chunks(9000), 0, true},
		"no data":       {chunks(0), 0, true},
		"with a length": {strings.Repeat("c", 9000), 9000, false},
	} {
		for _, consumed := range []int{0, 500, 5000} {
			prefixes(c.body, func(received string, complete bool) {
				source := strings.NewReader(received)
				r := NewReader(source)
				r.renewBudget()
				body := r.StreamBody(c.length, c.chunked)
				if _, err := io.ReadFull(body, make([]byte, consumed)); err != nil {
					return // no more was received than is consumed
				}
				unread := unreadBytes(t, source)
				got := NewLookahead().BodyEnds(body, strings.NewReader(unread), len(unread))
				assert.Equal(t, complete, got, "%s: %d of %d bytes received, %d consumed", name, len(received), len(c.body),
					consumed)
			})
		}
	}
}

// unreadBytes returns what source has not returned yet, without reading it.
func unreadBytes(t *testing.T, source *strings.Reader) string {
	t.Helper()
	unread := make([]byte, source.Len())
	_, err := source.ReadAt(unread, source.Size()-int64(source.Len()))
	require.True(t, err == nil || errors.Is(err, io.EOF))
	return string(unread)
}

// As above, from a wait for memory while the head is read.
func TestLookaheadFindsTheEndOfARequest(t *testing.T) {
	large := "X-Props: " + strings.Repeat("a", 3*BufferBytes) + "\r\n"
	for name, text := range map[string]string{
		"no body":       "GET / HTTP/1.1\r\n" + large + "\r\n",
		"with a length": "POST / HTTP/1.1\r\n" + large + "Content-Length: 7000\r\n\r\n" + strings.Repeat("c", 7000),
		"large":         "POST / HTTP/1.1\r\n" + large + "Content-Length: 90000\r\n\r\n" + strings.Repeat("c", 90_000),
		"chunks":        "POST / HTTP/1.1\r\n" + large + "Transfer-Encoding: chunked\r\n\r\n" + chunks(7000),
	} {
		prefixes(text, func(received string, complete bool) {
			source := strings.NewReader(received)
			r := NewReader(source)
			lookahead := NewLookahead()
			looks := 0
			r.ReserveHead = func(int) error {
				looks++
				unread := unreadBytes(t, source)
				got := lookahead.HeadEnds(r, strings.NewReader(unread), len(unread))
				assert.Equal(t, complete, got, "%s: %d of %d bytes received, look %d", name, len(received), len(text), looks)
				return nil
			}
			r.AllowLargeBodies = true
			_, err := r.Request()
			if complete {
				require.NoError(t, err, name)
				assert.GreaterOrEqual(t, looks, 2, name)
			}
		})
	}
}

// A rest that is not valid is answered at once, so reading it does not wait for its sender.
func TestLookaheadTakesMalformedRequestsForReceived(t *testing.T) {
	for name, text := range map[string]string{
		"head":      "POST /\r\n\r\n",
		"two lines": "POST / HTTP/1.1\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\n",
		"chunk":     "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
		"too large": strings.Repeat("a", DefaultMaxBytes),
	} {
		received := NewLookahead().HeadEnds(NewReader(nil), strings.NewReader(text), len(text))
		assert.True(t, received, name)
	}
}
