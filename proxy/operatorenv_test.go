package proxy

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"

	"lockloom/internal/config"
)

const operatorFile = `
[[tariff]]
name = "page"
due = 0.3
hard_stop = 0.8
[[tariff]]
name = "sign"
due = 0.3
hard_stop = 0.8
scope = "all"
window = 5.0
[[pool]]
name = "first"
servers = ["b1:80", "b2:80", "b3:80"]
[[pool]]
name = "second"
servers = ["c1:80"]
room = 2
[[pool]]
name = "frail"
servers = ["f1:80"]
backup = "second"
backup_after = 0.5
backup_until = 5.0
[[route]]
name = "frail"
under = "/frail"
pool = "frail"
tariff = "page"
[[limit]]
name = "two"
by = "address"
rate = 1.0
burst = 2.0
[[limit]]
name = "one-in-hand"
by = "route"
in_hand = 1
[[limit]]
name = "team"
by = "field:X-Team"
rate = 1.0
[[limit]]
name = "customer"
by = "customer"
rate = 1.0
[[route]]
name = "keyed"
under = "/keyed"
pool = "second"
tariff = "page"
limits = ["team", "customer"]
[[retry]]
name = "little"
share = 0.1
[[route]]
name = "all"
under = "/"
pool = "first"
tariff = "page"
[[route]]
name = "sign"
under = "/sign"
pool = "first"
tariff = "sign"
rewrite = "/v2"
[[route]]
name = "other"
under = "/other"
pool = "second"
tariff = "page"
[[route]]
name = "limited"
under = "/limited"
pool = "second"
tariff = "page"
limits = ["two"]
[[route]]
name = "narrow"
under = "/narrow"
pool = "second"
tariff = "page"
limits = ["one-in-hand"]
[[route]]
name = "storm"
under = "/storm"
pool = "first"
tariff = "page"
retry = "little"
[[route]]
name = "moved"
under = "/moved"
redirect = { status = 308, to = "https://example.org", keep = true }
[[route]]
name = "fixed"
exact = "/robots.txt"
answer = { status = 200, type = "text/plain", body = "none" }
`

// startOperatorEnv starts a proxy with the operator file and with servers of the given behaviors, by address.
func startOperatorEnv(t *testing.T, behaviors map[string][]string) *testEnv {
	t.Helper()
	env := newEnv(t, behaviors, nil)
	cfg, faults := config.Parse("f.toml", []byte(operatorFile))
	require.Empty(t, faults)
	env.operatorConns = make(chan net.Conn, 100)
	require.NoError(t, env.Configure(cfg, operatorListener{env}))
	env.start()
	return env
}

// operatorListener is the HTTP listener of a testEnv. It accepts the connections of operatorConns.
type operatorListener struct{ env *testEnv }

func (l operatorListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.env.operatorConns:
		return c, nil
	case <-l.env.closed:
		return nil, net.ErrClosed
	}
}

func (s operatorListener) Close() error { return nil }

func (s operatorListener) Addr() net.Addr { return &net.TCPAddr{} }

// operatorRoundTrip sends a request to the HTTP listener and returns the status, the named fields and the body of its
// response.
func (env *testEnv) operatorRoundTrip(request string, fields ...string) string {
	clientEnd, proxyEnd := net.Pipe()
	env.operatorConns <- proxyEnd
	defer clientEnd.Close()
	go write(clientEnd, request)
	status, h, body, err := readResponse(clientEnd)
	if err != nil {
		return err.Error()
	}
	synctest.Wait()
	text := fmt.Sprint(status)
	for _, name := range fields {
		text += " " + string(h.Get(name))
	}
	return strings.TrimSpace(text + " " + body)
}

// plainRequest returns a request to an HTTP listener. rest is what follows the field Host: fields, or fields, an empty
// line and a body.
func plainRequest(method, target, rest string) string {
	return method + " " + target + " HTTP/1.1\r\nHost: example.org\r\n" + rest + "\r\n"
}

// writeLargeBody writes a response with a body of the given size, chunked or with Content-Length, and adds to written
// what it has written of the body. With cutHalfway it closes the connection after half of the body.
func writeLargeBody(end net.Conn, bytes int, chunked, cutHalfway bool, written *atomic.Int64) {
	piece := strings.Repeat("x", 10_000)
	if chunked {
		write(end, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
	} else {
		write(end, fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", bytes))
	}
	if cutHalfway {
		bytes /= 2
	}
	for n := 0; n < bytes; n += len(piece) {
		text := piece
		if chunked {
			text = fmt.Sprintf("%x\r\n%s\r\n", len(piece), piece)
		}
		if _, err := io.WriteString(end, text); err != nil {
			return
		}
		written.Add(int64(len(piece)))
	}
	if cutHalfway {
		end.Close()
	} else if chunked {
		write(end, "0\r\n\r\n")
	}
}
