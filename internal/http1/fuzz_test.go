package http1

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
)

func FuzzMessages(f *testing.F) {
	f.Add([]byte("POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\nGET / HTTP/1.0\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: close\r\n\r\nab"))
	f.Fuzz(func(t *testing.T, in []byte) {
		for _, read := range []func(*Reader) (*Head, error){(*Reader).Request, (*Reader).Response} {
			r := NewReader(strings.NewReader(string(in)))
			for range len(in) + 1 { // each message consumes at least one byte, or reading it fails
				h, err := read(r)
				if err != nil {
					break
				}
				for _, field := range h.Fields {
					assert.True(t, isToken(field.Name) && isPrintable(field.Value))
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
