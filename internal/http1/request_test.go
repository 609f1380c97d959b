package http1

import (
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/assert"
)

// statusOf returns the status of an *Error, or 0 for any other error and nil.
func statusOf(err error) int {
	var e *Error
	if errors.As(err, &e) {
		return e.Status
	}
	return 0
}

func TestRequestsOfOneConnection(t *testing.T) {
	for _, c := range []struct {
		name, in   string
		status     int // of the *Error; 0: none
		body       string
		nextTarget string // of the next request
	}{
		{"no body", "GET /a?user=1 HTTP/1.1\r\nHost: x\r\n\r\nGET /b HTTP/1.1\r\n\r\n", 0, "", "/b"},
		{"length", "POST /a HTTP/1.1\r\nContent-Length: 3\r\n\r\nabcGET /b HTTP/1.1\r\n\r\n", 0, "abc", "/b"},
		{"chunks", "POST /a HTTP/1.1\r\nTransfer-Encoding: Chunked\r\n\r\n2;x=y\r\nab\r\n1\r\nc\r\n0\r\nT: 1\r\n\r\n" +
			"GET /b HTTP/1.1\r\n\r\n", 0, "abc", "/b"},
		{"bare line feeds, and empty lines before", "\r\n\nGET /a HTTP/1.1\nHost: x\n\nGET /b HTTP/1.1\n\n", 0, "", "/b"},
		{"long head", "GET /a HTTP/1.1\r\nX: " + strings.Repeat("x", 60000) + "\r\n\r\nGET /b HTTP/1.1\r\n\r\n", 0, "", "/b"},
		{"head too large", "GET /a HTTP/1.1\r\nX: " + strings.Repeat("x", DefaultMaxBytes) + "\r\n\r\n", 431, "", ""},
		{"endless head", "GET /" + strings.Repeat("x", 3*DefaultMaxBytes), 431, "", ""},
		{"too many fields", "GET /a HTTP/1.1\r\n" + strings.Repeat("a:\r\n", maxFields+1) + "\r\n", 431, "", ""},
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
		{"unknown transfer coding", "POST /a HTTP/1.1\r\nTransfer-Encoding: gzip, chunked\r\n\r\n", 501, "", ""},
		{"two codings", "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n", 501, "", ""},
		{"bad chunk", "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", 400, "", ""},
		{"chunk without line end", "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nab\r\n0\r\n\r\n", 400, "", ""},
		{"bad trailer", "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nno colon\r\n\r\n", 400, "", ""},
		{"folded field", "GET /a HTTP/1.1\r\nX: 1\r\n y\r\n\r\n", 400, "", ""},
		{"space before colon", "GET /a HTTP/1.1\r\nX : 1\r\n\r\n", 400, "", ""},
		{"no colon", "GET /a HTTP/1.1\r\nX\r\n\r\n", 400, "", ""},
		{"control character", "GET /a HTTP/1.1\r\nX: a\x00b\r\n\r\n", 400, "", ""},
		{"carriage return within a value", "GET /a HTTP/1.1\r\nX: a\rb\r\n\r\n", 400, "", ""},
		{"no version", "GET /a\r\n\r\n", 400, "", ""},
		{"other version", "GET /a HTTP/2.0\r\n\r\n", 400, "", ""},
		{"nonsense", "\x16\x03\x01 hello\r\n\r\n", 400, "", ""},
		{"expectation", "POST /a HTTP/1.1\r\nExpect: cake\r\n\r\n", 417, "", ""},
	} {
		for _, slow := range []bool{false, true} {
			var source io.Reader = strings.NewReader(c.in)
			if slow {
				source = iotest.OneByteReader(source)
			}
			r := NewReader(source)
			h, err := r.Request()
			if err != nil {
				assert.Equal(t, c.status, statusOf(err), "%s: %v", c.name, err)
				continue
			}
			assert.Equal(t, "/a", string(h.Target[:2]), c.name)
			body, err := r.Body(h.Length, h.Chunked)
			if !assert.Equal(t, c.status, statusOf(err), "%s: %v", c.name, err) || c.status != 0 {
				continue
			}
			assert.Equal(t, c.body, string(body), c.name)
			h, err = r.Request()
			if assert.NoError(t, err, c.name) {
				assert.Equal(t, c.nextTarget, string(h.Target), c.name)
			}
		}
	}
}

// Guards against storing lines between the chunks of a body, which carry nothing that is used: they once took memory of
// twice the size of a body.
func TestLinesBetweenChunksAreBounded(t *testing.T) {
	const chunked = "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
	long := strings.Repeat("x", 2*BufferBytes)
	for _, c := range []struct {
		name, in string
		status   int
	}{
		{"chunk extension", chunked + "3;" + long + "\r\nabc\r\n0\r\n\r\n", 413},
		{"trailer", chunked + "3\r\nabc\r\n0\r\nX: " + long + "\r\n\r\n", 413},
		{"many trailers", chunked + "3\r\nabc\r\n0\r\n" + strings.Repeat("X: y\r\n", maxFields+1) + "\r\n", 431},
		{"malformed trailer", chunked + "3\r\nabc\r\n0\r\nnonsense\r\n\r\n", 400},
		{"trailers", chunked + "3\r\nabc\r\n0\r\nX: y\r\nZ: z\r\n\r\n", 0},
	} {
		for _, streamed := range []bool{false, true} {
			r := NewReader(strings.NewReader(c.in))
			h, err := r.Request()
			assert.NoError(t, err, c.name)
			if streamed {
				_, err = io.ReadAll(r.StreamBody(h.Length, h.Chunked))
			} else {
				_, err = r.Body(h.Length, h.Chunked)
			}
			assert.Equal(t, c.status, statusOf(err), "%s: %v", c.name, err)
		}
	}
}

func TestConnectionEndsWithinMessage(t *testing.T) {
	for _, in := range []string{
		"GET /a HT",
		"POST /a HTTP/1.1\r\nContent-Length: 3\r\n\r\nab",
		"POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc",
		"POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n",
	} {
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

func TestConnectionPersists(t *testing.T) {
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
