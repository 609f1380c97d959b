package http1

import (
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/assert"
)

// status is that of an error, 0 where it has none.
func status(err error) int {
	var e *Error
	if errors.As(err, &e) {
		return e.Status
	}
	return 0
}

func TestRequest(t *testing.T) {
	for _, c := range []struct {
		name, in string
		status   int // of the error
		body     string
		rest     string // what the next request's target must be
	}{
		{"no body", "GET /a?user=1 HTTP/1.1\r\nHost: x\r\n\r\nGET /b HTTP/1.1\r\n\r\n", 0, "", "/b"},
		{"length", "POST /a HTTP/1.1\r\nContent-Length: 3\r\n\r\nabcGET /b HTTP/1.1\r\n\r\n", 0, "abc", "/b"},
		{"chunks", "POST /a HTTP/1.1\r\nTransfer-Encoding: Chunked\r\n\r\n2;x=y\r\nab\r\n1\r\nc\r\n0\r\nT: 1\r\n\r\n" +
			"GET /b HTTP/1.1\r\n\r\n", 0, "abc", "/b"},
		{"bare line ends, and empty lines before", "\r\n\nGET /a HTTP/1.1\nHost: x\n\nGET /b HTTP/1.1\n\n", 0, "", "/b"},
		{"long head", "GET /a HTTP/1.1\r\nX: " + strings.Repeat("x", 60000) + "\r\n\r\nGET /b HTTP/1.1\r\n\r\n", 0, "", "/b"},
		{"head too large", "GET /a HTTP/1.1\r\nX: " + strings.Repeat("x", DefaultMaxBytes) + "\r\n\r\n", 431, "", ""},
		{"endless head", "GET /" + strings.Repeat("x", 3*DefaultMaxBytes), 431, "", ""},
		{"too many fields", "GET /a HTTP/1.1\r\n" + strings.Repeat("a:\r\n", mostFields+1) + "\r\n", 431, "", ""},
		{"body too large", "POST /a HTTP/1.1\r\nContent-Length: 65537\r\n\r\n", 413, "", ""},
		{"huge length", "POST /a HTTP/1.1\r\nContent-Length: 99999999999999999999\r\n\r\n", 400, "", ""},
		{"chunks too large", "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n" +
			strings.Repeat("8000\r\n"+strings.Repeat("x", 0x8000)+"\r\n", 3), 413, "", ""},
		{"endless chunk size", "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1;" +
			strings.Repeat("x", 4*DefaultMaxBytes), 413, "", ""},
		{"two lengths", "POST /a HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 1\r\n\r\n", 400, "", ""},
		{"length and chunks", "POST /a HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n", 400, "", ""},
		{"chunks and length", "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\nContent-Length: 1\r\n\r\n", 400, "", ""},
		{"signed length", "POST /a HTTP/1.1\r\nContent-Length: +1\r\n\r\n", 400, "", ""},
		{"other coding", "POST /a HTTP/1.1\r\nTransfer-Encoding: gzip, chunked\r\n\r\n", 501, "", ""},
		{"coding twice", "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n", 501, "", ""},
		{"bad chunk", "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", 400, "", ""},
		{"chunk not ended", "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nab\r\n0\r\n\r\n", 400, "", ""},
		{"bad trailer", "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nno colon\r\n\r\n", 400, "", ""},
		{"folded field", "GET /a HTTP/1.1\r\nX: 1\r\n y\r\n\r\n", 400, "", ""},
		{"space before colon", "GET /a HTTP/1.1\r\nX : 1\r\n\r\n", 400, "", ""},
		{"no colon", "GET /a HTTP/1.1\r\nX\r\n\r\n", 400, "", ""},
		{"control character", "GET /a HTTP/1.1\r\nX: a\x00b\r\n\r\n", 400, "", ""},
		{"return within a value", "GET /a HTTP/1.1\r\nX: a\rb\r\n\r\n", 400, "", ""},
		{"no version", "GET /a\r\n\r\n", 400, "", ""},
		{"other version", "GET /a HTTP/2.0\r\n\r\n", 400, "", ""},
		{"nonsense", "\x16\x03\x01 hello\r\n\r\n", 400, "", ""},
		{"expectation", "POST /a HTTP/1.1\r\nExpect: cake\r\n\r\n", 417, "", ""},
	} {
		for _, slow := range []bool{false, true} {
			var src io.Reader = strings.NewReader(c.in)
			if slow {
				src = iotest.OneByteReader(src)
			}
			r := NewReader(src)
			h, err := r.Request()
			if err != nil {
				assert.Equal(t, c.status, status(err), "%s: %v", c.name, err)
				continue
			}
			assert.Equal(t, "/a", string(h.Target[:2]), c.name)
			body, err := r.Body(h.Length, h.Chunked)
			if !assert.Equal(t, c.status, status(err), "%s: %v", c.name, err) || c.status != 0 {
				continue
			}
			assert.Equal(t, c.body, string(body), c.name)
			h, err = r.Request()
			if assert.NoError(t, err, c.name) {
				assert.Equal(t, c.rest, string(h.Target), c.name)
			}
		}
	}
}

func TestUnfinished(t *testing.T) {
	for _, in := range []string{"GET /a HT", "POST /a HTTP/1.1\r\nContent-Length: 3\r\n\r\nab",
		"POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc", "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"} {
		r := NewReader(strings.NewReader(in))
		h, err := r.Request()
		if err == nil {
			_, err = r.Body(h.Length, h.Chunked)
		}
		assert.ErrorIs(t, err, io.ErrUnexpectedEOF, in)
	}
	_, err := NewReader(strings.NewReader("")).Request()
	assert.ErrorIs(t, err, io.EOF)
}

func TestConnectionLives(t *testing.T) {
	for _, c := range []struct {
		version, fields string
		closes          bool
	}{
		{"1.1", "", false},
		{"1.1", "Connection: close\r\n", true},
		{"1.1", "Connection: x, Close\r\nConnection: keep-alive\r\n", true},
		{"1.0", "", true},
		{"1.0", "Connection: Keep-Alive\r\n", false},
	} {
		h, err := NewReader(strings.NewReader("GET / HTTP/" + c.version + "\r\n" + c.fields + "\r\n")).Request()
		assert.NoError(t, err)
		assert.Equal(t, c.closes, h.Close, c)
	}
}

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
		{"to the close", "HTTP/1.1 200 OK\r\n\r\nabc", 200, "abc", true, false},
		{"interim first", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 503 x\r\nContent-Length: 0\r\n\r\n", 503, "", false, false},
		{"endless interim", strings.Repeat("HTTP/1.1 102 x\r\n\r\n", interimMost+1), 0, "", false, true},
		{"no body by status", "HTTP/1.1 204 x\r\nContent-Length: 9\r\n\r\n", 204, "", false, false},
		{"no reason", "HTTP/1.1 200\r\nContent-Length: 0\r\n\r\n", 200, "", false, false},
		{"cut short", "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nab", 200, "", false, true},
		{"chunks cut short", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n", 200, "", false, true},
		{"too large", "HTTP/1.1 200 OK\r\nContent-Length: 65537\r\n\r\n", 200, "", false, true},
		{"too large to the close", "HTTP/1.1 200 OK\r\n\r\n" + strings.Repeat("x", DefaultMaxBytes+1), 200, "", true, true},
		{"no status", "HTTP/1.1 OK\r\n\r\n", 0, "", false, true},
		{"other protocol", "SSH-2.0-x\r\n\r\n", 0, "", false, true},
		{"switch", "HTTP/1.1 101 x\r\n\r\n", 0, "", false, true},
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

func TestOnward(t *testing.T) {
	h, err := NewReader(strings.NewReader("POST /a?user=1 HTTP/1.1\r\nHost: x\r\nX-Trace-Id: 9\r\nConnection: close, X-Hop\r\n" +
		"x-hop: 1\r\nKeep-Alive: 5\r\nx-expires-in: 1\r\nContent-Length: 0\r\n\r\n")).Request()
	assert.NoError(t, err)
	out := AppendForwardedFields(AppendRequest(nil, h.Method, h.Target), h, "X-Expires-In")
	assert.Equal(t, "POST /a?user=1 HTTP/1.1\r\nHost: x\r\nX-Trace-Id: 9\r\n", string(out))
	out = AppendField(AppendLength(AppendStatus(nil, 503), 7), "Retry-After", AppendSeconds(nil, 0.1504))
	assert.Equal(t, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 7\r\nRetry-After: 0.150\r\n", string(out))
}

// Danger: bytes that a client sends ahead of its answer must not be lost, and its leaving behind them must show.
func TestWatchAhead(t *testing.T) {
	in, out := io.Pipe()
	go func() {
		io.WriteString(out, "GET /a HTTP/1.1\r\n\r\nGET /b HT")
		io.WriteString(out, "TP/1.1\r\n\r\n")
		out.Close()
	}()
	r := NewReader(in)
	h, err := r.Request()
	assert.NoError(t, err)
	assert.Equal(t, "/a", string(h.Target))
	assert.ErrorIs(t, r.Watch(), io.EOF)
	assert.True(t, r.Ready())
	h, err = r.Request()
	assert.NoError(t, err)
	assert.Equal(t, "/b", string(h.Target))
}

// Danger: who sends so much ahead that it fits no buffer would be read for ever, or be taken to have gone.
func TestWatchFull(t *testing.T) {
	r := NewReader(strings.NewReader("GET /a HTTP/1.1\r\n\r\n" + strings.Repeat("x", 2*firstBytes)))
	_, err := r.Request()
	assert.NoError(t, err)
	assert.NoError(t, r.Watch())
	assert.Equal(t, firstBytes, r.R.Buffered())
}

// Danger: a head that was taken to be there whole would be waited for with no time limit.
func TestReady(t *testing.T) {
	for text, want := range map[string]bool{
		"": false, "GET / HTTP/1.1\r\nA: b\r\n": false, "GET / HTTP/1.1\r\n\r\n": true, "GET / HTTP/1.1\n\nmore": true,
		"\r\n\r\nGET /": false, "\r\n\r\nGET / HTTP/1.1\r\n\r\n": true, "\n\n\n": false,
	} {
		r := NewReader(strings.NewReader(text))
		r.Wait()
		assert.Equal(t, want, r.Ready(), "%q", text)
	}
}

// A reader that reads another connection shows nothing of the one before.
func TestReset(t *testing.T) {
	r := NewReader(strings.NewReader("GET /a HTTP/1.1\r\nX: " + strings.Repeat("x", 60000) + "\r\n\r\nGET /rest"))
	_, err := r.Request()
	assert.NoError(t, err)
	r.AnyBodySize = true
	r.Reset(strings.NewReader("GET /b HTTP/1.1\r\n\r\n"))
	assert.Equal(t, firstBytes, r.R.Size())
	assert.False(t, r.AnyBodySize)
	assert.NoError(t, r.Wait())
	h, err := r.Request()
	assert.NoError(t, err)
	assert.Equal(t, "/b", string(h.Target))
	assert.Empty(t, h.Fields)
}

// Danger: one large head would hold a large buffer for as long as its connection lives.
func TestBufferIsGivenBack(t *testing.T) {
	in, out := io.Pipe()
	go io.WriteString(out, "GET /a HTTP/1.1\r\nX: "+strings.Repeat("x", 60000)+"\r\n\r\nGET /b HTTP/1.1\r\n\r\n")
	r := NewReader(in)
	for _, target := range []string{"/a", "/b"} {
		assert.NoError(t, r.Wait())
		h, err := r.Request()
		assert.NoError(t, err)
		assert.Equal(t, target, string(h.Target))
	}
	go out.Close()
	assert.ErrorIs(t, r.Wait(), io.EOF)
	assert.Equal(t, firstBytes, r.R.Size())
}

func FuzzMessages(f *testing.F) {
	f.Add([]byte("POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\nGET / HTTP/1.0\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: close\r\n\r\nab"))
	f.Fuzz(func(t *testing.T, in []byte) {
		for _, read := range []func(*Reader) (*Head, error){(*Reader).Request, (*Reader).Response} {
			r := NewReader(strings.NewReader(string(in)))
			for range len(in) + 1 { // each message takes a byte or ends it
				h, err := read(r)
				if err != nil {
					break
				}
				for _, x := range h.Fields {
					assert.True(t, token(x.Name) && printable(x.Value))
				}
				body, err := r.Body(h.Length, h.Chunked)
				assert.LessOrEqual(t, len(body), DefaultMaxBytes)
				if err != nil {
					break
				}
			}
		}
	})
}
