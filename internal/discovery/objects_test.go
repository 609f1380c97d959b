package discovery

import (
	"context"
	"net"
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestStreamIsSplitIntoObjects(t *testing.T) {
	indented := "{\n  \"version\": 7,\n  \"full\": true,\n  \"servers\": [\n    " + entryText + "\n  ]\n}"
	for name, c := range map[string]struct {
		in       string
		versions []int64
		err      string
	}{
		"one object per line": {
			`{"version":1,"servers":[]}` + "\n\n" + `{"version":2,"servers":[]}` + "\n", []int64{1, 2},
			"stream ended by discovery",
		},
		"indented": {indented + "\n\n" + indented, []int64{7, 7}, "stream ended by discovery"},
		"several objects per line": {
			`{"version":1,"servers":[]}{"version":2,"servers":[]} {"version":3,"servers":[]}`, []int64{1, 2, 3},
			"stream ended by discovery",
		},
		"braces in strings": {
			`{"version":1,"x":"}\"{\\","servers":[]}` + `{"version":2,"servers":[]}`, []int64{1, 2}, "stream ended by discovery",
		},
		"garbage between":    {`{"version":1,"servers":[]}` + "\nx", []int64{1}, "'x' where an object should start"},
		"an array":           {`[]`, nil, "'[' where an object should start"},
		"an incomplete list": {`{"version":1,"servers":[`, nil, "unexpected EOF"},
		"a malformed entry": {
			`{"version":1,"servers":[]}` + `{"version":2,"servers":[{"id":"s-9","state":"odd"}]}`, []int64{1},
			`endpoint "s-9": state: unknown: "odd"`,
		},
		"endless string":     {`{"x":"` + string(make([]byte, maxListBytes)), nil, "token too long"},
		"nothing but spaces": {" \r\n\t\n", nil, "stream ended by discovery"},
	} {
		for _, size := range []int{1, 7, 100, 1 << 20} {
			if len(c.in) > 1<<20 && size < 1<<20 {
				continue
			}
			versions, err := followInPieces(c.in, size)
			assert.Equal(t, c.versions, versions, "%s, in pieces of %d", name, size)
			assert.ErrorContains(t, err, c.err, "%s, in pieces of %d", name, size)
		}
	}
}

// followInPieces makes a call whose stream is sent in chunks of size bytes. It returns the versions of the lists that
// the call delivers, and why the call ended.
func followInPieces(in string, size int) (versions []int64, callErr error) {
	w := &Watch{Addr: "agent:1", Dial: func(context.Context, string) (net.Conn, error) {
		clientConn, serverConn := net.Pipe()
		go func() {
			defer serverConn.Close()
			receive(serverConn)
			send(serverConn, streamHead)
			for left := in; left != ""; {
				n := min(size, len(left))
				send(serverConn, chunk(left[:n]))
				left = left[n:]
			}
			send(serverConn, "0\r\n\r\n")
		}()
		return clientConn, nil
	}}
	c := &call{watch: w}
	_, callErr = c.follow(context.Background(), func(e event) {
		if e.list != nil {
			versions = append(versions, e.list.Version)
		}
	})
	return versions, callErr
}

func FuzzStreamIsSplitIntoObjects(f *testing.F) {
	f.Add(`{"version":1,"servers":[]}`, 3)
	f.Add("{\n \"version\": 1,\n \"servers\": [\n"+entryText+"\n]}\n\n{}", 1)
	f.Fuzz(func(t *testing.T, in string, size int) {
		if len(in) > 1<<16 {
			return
		}
		unsplit, _ := followInPieces(in, max(len(in), 1))
		split, _ := followInPieces(in, max(1, size%64))
		assert.Equal(t, unsplit, split, "the size of chunks must not matter")
	})
}
