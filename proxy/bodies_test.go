package proxy

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"lockloom/internal/http1"
	"lockloom/internal/upstream"
)

// chunked is a request whose body comes in these chunks.
func chunked(chunks string) string {
	return strings.Replace(sms, "Content-Length: 3\r\n\r\nabc", "Transfer-Encoding: chunked\r\n\r\n"+chunks, 1)
}

// trickle writes so many bytes a second, in pieces that cut anywhere.
func trickle(c net.Conn, text string, pace int) {
	for len(text) > 0 {
		n := min(len(text), pace/7)
		if _, err := io.WriteString(c, text[:n]); err != nil {
			return
		}
		text = text[n:]
		time.Sleep(time.Second / 7)
	}
}

// long is a body of 320 kB, 5 s at the pace of slow clients; inChunks the same in chunks with an extension, and a
// trailer.
var long, inChunks = func() (string, string) {
	body, pieces := strings.Repeat("0123456789abcdef", 20_000), strings.Builder{}
	for at := 0; at < len(body); at += 10_000 {
		fmt.Fprintf(&pieces, "%X;name=value\r\n%s\r\n", 10_000, body[at:at+10_000])
	}
	return body, pieces.String() + "0\r\nX-After: all\r\n\r\n"
}()

// applyEndpointState is a request whose body is so long, and may be shorter.
func told(n int, body string) string {
	return strings.Replace(sms, "Content-Length: 3\r\n\r\nabc", fmt.Sprintf("Content-Length: %d\r\n\r\n", n)+body, 1)
}

// Danger: a client may take 2 s for a head and send a body at 64 kB/s; its time counts from the last byte. What flows
// blames no server, and is not sent twice.
func TestSlowRequests(t *testing.T) {
	for _, c := range []struct {
		name, in string
		taken    int
		slowHead bool
	}{{"told", told(len(long), long), len(long), false}, {"in chunks", chunked(inChunks), len(long), false},
		{"kept", told(60_000, long[:60_000]), 60_000, true},
		{"a slow head alone", sms, 3, true}, {"a few chunks", chunked("1;x\r\na\r\n2\r\nbc\r\n0\r\n\r\n"), 3, true}} {
		for _, first := range []bool{true, false} {
			synctest.Test(t, func(t *testing.T) {
				y := made(t, map[string][]string{"b1": {ok}}, nil)
				y.flows = true
				y.begin()
				conn := y.client()
				if !first { // on a connection that was used
					go io.WriteString(conn, look)
					_, _, _, err := answer(conn)
					assert.NoError(t, err)
					time.Sleep(time.Second)
				}
				y.got, y.taken = nil, 0
				go func() {
					head, rest, _ := strings.Cut(c.in, "\r\n\r\n")
					if c.slowHead {
						for i := range 10 {
							io.WriteString(conn, head[len(head)*i/10:len(head)*(i+1)/10])
							time.Sleep(190 * time.Millisecond)
						}
					} else {
						io.WriteString(conn, head)
					}
					trickle(conn, "\r\n\r\n"+rest, 64_000)
				}()
				status, _, text, err := answer(conn)
				assert.NoError(t, err, c.name)
				assert.Equal(t, 200, status, "%s %s", c.name, text)
				assert.Len(t, y.got, 1)
				assert.Equal(t, int64(c.taken), y.taken, c.name)
				conn.Close()
				errors := make(chan int, 1)
				y.post(func() { errors <- y.pools.platform.decisions.ServerStatuses(y.now())[0].Errors })
				assert.Zero(t, <-errors, "no backend is blamed for a slow client")
				y.end()
			})
		}
	}
}

// A request may be cut anywhere on its way: within a name, a number, between the two bytes of a line's end.
func TestCutAnywhere(t *testing.T) {
	few, flowing := chunked("1;x=y\r\na\r\n2\r\nbc\r\n0\r\nX-After: all\r\n\r\n"), chunked(inChunks)
	body := len(flowing) - len(inChunks)
	for _, c := range []struct {
		in       string
		taken    int64
		from, to int // where it is cut
	}{{few, 3, 1, len(few)}, {flowing, int64(len(long)), body - 2, body + 20}, {flowing, int64(len(long)), body + 10_010, body + 10_040},
		{flowing, int64(len(long)), len(flowing) - 30, len(flowing)}} {
		synctest.Test(t, func(t *testing.T) {
			y := made(t, map[string][]string{"b1": {ok}}, nil)
			y.flows = true
			y.begin()
			for at := c.from; at < c.to; at++ {
				y.taken = 0
				conn := y.client()
				go func() {
					io.WriteString(conn, c.in[:at])
					time.Sleep(10 * time.Millisecond)
					io.WriteString(conn, c.in[at:])
				}()
				status, _, _, err := answer(conn)
				assert.NoError(t, err)
				assert.Equal(t, []any{200, c.taken}, []any{status, y.taken}, "cut after %q", c.in[max(at-20, 0):at])
				conn.Close()
			}
			y.end()
		})
	}
}

// Danger: who stops in a body holds a connection, here and at a server, for as long as it likes.
func TestUnfinishedBodies(t *testing.T) {
	for _, c := range []struct {
		in     string
		status int
	}{{told(300_000, "abc"), 408}, {told(300, "abc"), 408}, {chunked("100000\r\nabc"), 408}, {chunked("5\r\nabc"), 408},
		{chunked(inChunks[:100_000]), 408}, {chunked(inChunks[:10*10_019] + "zz\r\n"), 400}} {
		synctest.Test(t, func(t *testing.T) {
			y := made(t, map[string][]string{"b1": {ok}}, nil)
			y.flows = true
			y.begin()
			came, conn := time.Now(), y.client()
			go io.WriteString(conn, c.in)
			status, _, _, err := answer(conn)
			assert.NoError(t, err)
			assert.Equal(t, c.status, status)
			assert.Less(t, time.Since(came), 3*time.Second)
			conn.Close()
			y.end()
		})
	}
}

// Danger: an answer may be larger than all the memory there is, and slow on both sides. Its first bytes are passed on
// as it begins.
func TestLargeAnswers(t *testing.T) {
	for _, c := range []struct {
		name, head, rest string
		closes           bool
		pause            time.Duration // after the head
	}{
		{"told", "HTTP/1.1 200 OK\r\nContent-Length: 320000\r\n\r\n", long, false, 0},
		{"told, a while after its head", "HTTP/1.1 200 OK\r\nContent-Length: 320000\r\n\r\n", long, false, 100 * time.Millisecond},
		{"in chunks, a while after its head", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", inChunks, false, 100 * time.Millisecond},
		{"in chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", inChunks, false, 0},
		{"to its end", "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n", long, true, 0},
	} {
		synctest.Test(t, func(t *testing.T) {
			y := made(t, map[string][]string{"b1": {ok}}, func(l *BootstrapConfig) { l.Limits.Memory = 1 << 20 })
			y.flood = func(end net.Conn) {
				io.WriteString(end, c.head)
				time.Sleep(c.pause)
				trickle(end, c.rest, 64_000)
				if c.closes {
					end.Close()
				}
			}
			y.begin()
			conn, came := y.client(), time.Now()
			go io.WriteString(conn, look)
			r := http1.NewReader(conn)
			h, err := r.Response()
			assert.NoError(t, err)
			assert.Equal(t, 200, h.Status)
			assert.Less(t, time.Since(came), c.pause+50*time.Millisecond, "%s: it begins with its first bytes", c.name)
			got, err := io.ReadAll(r.StreamBody(h.Length, h.Chunked))
			assert.NoError(t, err, c.name)
			assert.True(t, long == string(got), c.name)
			assert.Greater(t, time.Since(came), 3*time.Second, "past the hard stop")
			conn.Close()
			y.end()
		})
	}
}

// What breaks before it was passed on may be another attempt's; what breaks later is shown as broken.
func TestBrokenLargeAnswers(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n"
	for _, c := range []struct {
		sent  int
		whole bool
	}{{1000, true}, {50_000, false}} {
		synctest.Test(t, func(t *testing.T) {
			y := made(t, map[string][]string{"b1": {ok}, "b2": {ok}}, nil)
			broke := false
			y.flood = func(end net.Conn) {
				if broke {
					io.WriteString(end, ok)
					return
				}
				broke = true
				io.WriteString(end, head+strings.Repeat("x", c.sent))
				end.Close()
			}
			y.begin()
			conn := y.client()
			go io.WriteString(conn, look)
			r := http1.NewReader(conn)
			h, err := r.Response()
			assert.NoError(t, err)
			got, err := io.ReadAll(r.StreamBody(h.Length, h.Chunked))
			if c.whole {
				assert.NoError(t, err)
				assert.Equal(t, "body", string(got))
			} else {
				assert.ErrorIs(t, err, io.ErrUnexpectedEOF)
				assert.Len(t, got, c.sent)
			}
			conn.Close()
			y.end()
		})
	}
}

// Whatever a head says of its target, the server gets path and query as they were.
func TestAbsoluteForm(t *testing.T) {
	for in, want := range map[string]string{"http://x:1/look?user=7": "/look?user=7", "HTTP://x/look": "/look", "/look?u=http://x/": "/look?u=http://x/",
		"http://x": "/", "http://x?a=/b": "/?a=/b"} {
		assert.Equal(t, want, string(originForm([]byte(in))))
	}
	synctest.Test(t, func(t *testing.T) {
		y := serve(t, map[string][]string{"b1": {ok}}, nil)
		status, _, _, err := y.ask(strings.Replace(look, "/look?user=7", "http://x/look?user=7", 1))
		assert.NoError(t, err)
		assert.Equal(t, 200, status)
		assert.Contains(t, y.got[0], "GET /look?user=7 ")
		y.end()
	})
}

// The time in which a client sends is none of its server's, whenever the answer comes.
func TestTookFromTheLastByte(t *testing.T) {
	flows := &upstream.Upload{}
	for _, c := range []struct {
		l    request
		want float64
	}{
		{request{}, 9},
		{request{stream: bodyStream{upload: flows, completedAt: 8}}, 2},
		{request{stream: bodyStream{upload: flows, completedAt: 11}}, 0},
		{request{stream: bodyStream{upload: flows}}, 0},
	} {
		assert.Equal(t, c.want, c.l.latency(1, 10))
	}
}
