package proxy

import (
	"fmt"
	"io"
	"net"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"lockloom/internal/config"
	"lockloom/internal/http1"
)

const operated = `
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

// opened is a proxy behind an ordinary door, with servers that play alike.
func opened(t *testing.T, plays map[string][]string) *yard {
	y := made(t, plays, nil)
	s, faults := config.Read("f.toml", []byte(operated))
	require.Empty(t, faults)
	y.ends2 = make(chan net.Conn, 100)
	require.NoError(t, y.Configure(s, second{y}))
	y.begin()
	return y
}

// second is the ordinary door's listener.
type second struct{ y *yard }

func (s second) Accept() (net.Conn, error) {
	select {
	case c := <-s.y.ends2:
		return c, nil
	case <-s.y.closed:
		return nil, net.ErrClosed
	}
}
func (s second) Close() error   { return nil }
func (s second) Addr() net.Addr { return &net.TCPAddr{} }

// want asks by the ordinary door and tells the status, the fields named and the body.
func (y *yard) want(request string, fields ...string) string {
	ours, theirs := net.Pipe()
	y.ends2 <- theirs
	defer ours.Close()
	go io.WriteString(ours, request)
	status, h, body, err := answer(ours)
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

func plain(method, target, more string) string {
	return method + " " + target + " HTTP/1.1\r\nHost: example.org\r\n" + more + "\r\n"
}

// What an ordinary client is answered, and how often its request was sent, by what the servers do in turn.
func TestOrdinary(t *testing.T) {
	const missing = "HTTP/1.1 404 x\r\nContent-Length: 4\r\n\r\nnone"
	const found = "HTTP/1.1 302 x\r\nLocation: /there\r\nContent-Length: 0\r\n\r\n"
	const broke = "HTTP/1.1 500 x\r\nX-From: b\r\nContent-Length: 5\r\n\r\nsorry"
	const nothing = "HTTP/1.1 204 x\r\n\r\n"
	post := "Content-Length: 3\r\n\r\nabc"
	for name, c := range map[string]struct {
		request, play, field, want string
		sent                       int
	}{
		"page":                               {plain("GET", "/a", ""), ok, "X-From", "200 b body", 1},
		"page, cut":                          {plain("GET", "/a", ""), cut, "", "200 body", 2},
		"page, error":                        {plain("GET", "/a", ""), fault, "", "200 body", 2},
		"not there":                          {plain("GET", "/a", ""), missing, "", "404 none", 1},
		"elsewhere":                          {plain("GET", "/a", ""), found, "Location", "302 /there", 1},
		"nothing to say":                     {plain("GET", "/a", ""), nothing, "Content-Length", "204", 1},
		"post, cut: may have run":            {plain("POST", "/a", post), cut, "", "502 forfeited", 1},
		"post, error":                        {plain("POST", "/a", post), broke, "X-From", "500 b sorry", 1},
		"post, its own 503":                  {plain("POST", "/a", post), own503, "", "502", 1},
		"other, error":                       {plain("GET", "/other", ""), broke, "", "500 sorry", 1},
		"post, never ran":                    {plain("POST", "/a", post), neverRan, "", "200 body", 2},
		"post, no connection":                {plain("POST", "/a", post), refused, "", "200 body", 1},
		"marked, where no server knows it":   {plain("POST", "/a", "Idempotency-Key: k\r\n"+post), cut, "", "502 forfeited", 1},
		"marked, where servers know it":      {plain("POST", "/sign", "Idempotency-Key: k\r\n"+post), cut, "", "200 body", 2},
		"a method that nobody knows":         {plain("BREW", "/a", post), cut, "", "502 forfeited", 1},
		"moved":                              {plain("GET", "/moved/x?y", ""), ok, "Location", "308 https://example.org/moved/x?y", 0},
		"fixed":                              {plain("GET", "/robots.txt", ""), ok, "Content-Type", "200 text/plain none", 0},
		"climbs":                             {plain("GET", "/../a", ""), ok, "", `400 400: path "/../a": it climbs above its root`, 0},
		"another host":                       {plain("GET", "http://other.org/a", ""), ok, "", "400 400: the target is for another host than Host", 0},
		"the same host":                      {plain("GET", "http://EXAMPLE.org:80/a", ""), ok, "", "200 body", 1},
		"no host":                            {"GET /a HTTP/1.1\r\n\r\n", ok, "", "400 400: no Host", 0},
		"no name of a host":                  {"GET /a HTTP/1.1\r\nHost: a/b@c\r\n\r\n", ok, "", "400 400: malformed Host", 0},
		"two hosts":                          {plain("GET", "/a", "Host: x\r\n"), ok, "", "400 400: Host twice", 0},
		"two framings":                       {plain("POST", "/a", "Transfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n0\r\n"), ok, "", "400 400: a length with chunks", 0},
		"a tunnel":                           {plain("CONNECT", "example.org:80", ""), ok, "", "501 501: method not served", 0},
		"its client's own patience":          {plain("GET", "/a", "X-Expires-In: 0.1\r\n"), silent, "", "503 dismissed", 1},
		"silent: the tariff's hard stop":     {plain("POST", "/a", post), silent, "", "502 forfeited", 1},
		"a second server is out of the pool": {plain("GET", "/other", ""), cut, "", "503 dismissed", 1},
	} {
		synctest.Test(t, func(t *testing.T) {
			y := opened(t, map[string][]string{"any": {c.play, ok}})
			began := time.Now()
			var fields []string
			if c.field != "" {
				fields = []string{c.field}
			}
			assert.Equal(t, c.want, y.want(c.request, fields...), name)
			assert.Less(t, time.Since(began), 800*time.Millisecond, name)
			assert.Len(t, y.got, c.sent, name)
			y.end()
		})
	}
}

func TestHead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		y := opened(t, map[string][]string{"any": {"HTTP/1.1 200 OK\r\nContent-Length: 700\r\n\r\n"}})
		ours, theirs := net.Pipe()
		y.ends2 <- theirs
		go io.WriteString(ours, plain("HEAD", "/a", "")+plain("HEAD", "/robots.txt", ""))
		buf := make([]byte, 4096)
		n, _ := io.ReadAtLeast(ours, buf, 100)
		text := string(buf[:n])
		assert.Contains(t, text, "Content-Length: 700\r\n\r\nHTTP/1.1 200", "the second answer follows the first one's head")
		assert.True(t, strings.HasSuffix(text, "Content-Length: 4\r\n\r\n"), "and is a head only, of the answer's length: %q", text)
		ours.Close()
		y.end()
	})
}

// What goes on: the path as it was matched, the client's fields but for those that this proxy says itself.
func TestOrdinaryOnward(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		y := opened(t, map[string][]string{"any": {ok}})
		y.heads = true
		y.want(plain("GET", "/sign/%61/../b?c=/../d", "X-Forwarded-For: 1.2.3.4\r\nForwarded: for=1.2.3.4\r\nVia: 1.0 x\r\nConnection: X-Hop\r\nX-Hop: 1\r\nX-Trace-Id: mine\r\nCookie: c\r\n"))
		head := strings.Join(y.got, "")
		for _, part := range []string{"GET /v2/b?c=/../d", "Host: example.org", "X-Forwarded-For: 1.2.3.4, pipe", "X-Forwarded-Proto: http",
			"X-Forwarded-Host: example.org", `Forwarded: for=1.2.3.4, for="pipe";host="example.org";proto=http`, "Via: 1.0 x, 1.1 lockloom", "X-Trace-Id: mine", "Cookie: c", "X-Expires-In: 0.8"} {
			assert.Contains(t, head, part)
		}
		assert.NotContains(t, head, "X-Hop")
		y.end()
	})
}

func TestForwarded(t *testing.T) {
	assert.Equal(t, `for="127.0.0.1";host="a:80";proto=http`, string(forwardedElement("127.0.0.1", "a:80")))
	assert.Equal(t, `for="[::1]";proto=http`, string(forwardedElement("::1", "")))
	assert.Equal(t, `for="x";host="a\";for=\\b";proto=http`, string(forwardedElement("x", `a";for=\b`)))
}

// Clients that wait for leave, old ones, and a server whose failure never ends.
func TestManners(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		y := opened(t, map[string][]string{"any": {ok}})
		ours, theirs := net.Pipe()
		y.ends2 <- theirs
		go io.WriteString(ours, plain("POST", "/a", "Expect: 100-continue\r\nContent-Length: 3\r\n"))
		buf := make([]byte, 100)
		n, _ := ours.Read(buf)
		assert.Equal(t, "HTTP/1.1 100 Continue\r\n\r\n", string(buf[:n]))
		go io.WriteString(ours, "abc")
		status, _, body, err := answer(ours)
		assert.Equal(t, []any{200, "body", nil}, []any{status, body, err})
		ours.Close()
		old, theirs := net.Pipe() // of HTTP/1.0, without a host; its connection ends with the answer
		y.ends2 <- theirs
		go io.WriteString(old, "GET /a HTTP/1.0\r\n\r\n")
		text, err := io.ReadAll(old)
		assert.NoError(t, err)
		assert.Contains(t, string(text), "\r\n\r\nbody")
		y.end()
	})
	synctest.Test(t, func(t *testing.T) {
		y := opened(t, map[string][]string{"any": {ok}})
		y.flood = func(end net.Conn) {
			io.WriteString(end, "HTTP/1.1 503 x\r\nTransfer-Encoding: chunked\r\n\r\n")
			for {
				if _, err := io.WriteString(end, "3e8\r\n"+strings.Repeat("x", 1000)+"\r\n"); err != nil {
					return
				}
			}
		}
		assert.Equal(t, "502 forfeited", y.want(plain("POST", "/a", "Content-Length: 0\r\n")))
		synctest.Wait()
		assert.Equal(t, 1, y.gone, "its connection has ended")
		y.end()
	})
}

// Who is over a limit is told at once when to come back, and nothing is sent.
func TestLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		y := opened(t, map[string][]string{"any": {ok}})
		request := plain("GET", "/limited", "")
		for range 2 {
			assert.Equal(t, "200 body", y.want(request))
		}
		assert.Equal(t, "429 1.000 over a limit", y.want(request, "Retry-After"))
		assert.Len(t, y.got, 2)
		assert.Equal(t, "200 body", y.want(plain("GET", "/other", "")), "another route is not")
		time.Sleep(time.Second)
		assert.Equal(t, "200 body", y.want(request))
		y.end()
	})
	synctest.Test(t, func(t *testing.T) { // each value of a field, and each tenant, has a bucket of its own
		y := opened(t, map[string][]string{"any": {ok}})
		for _, c := range []struct{ team, customer, want string }{{"a", "x", "200"}, {"a", "y", "429"}, {"b", "x", "429"}, {"b", "y", "200"},
			{"c", "z", "200"}, {"", "", "200"}, {"", "", "429"}} {
			fields := ""
			if c.team != "" {
				fields = "X-Team: " + c.team + "\r\nX-Customer: " + c.customer + "\r\n"
			}
			assert.Equal(t, c.want, y.want(plain("GET", "/keyed", fields))[:3], "%v", c)
		}
		y.end()
	})
	synctest.Test(t, func(t *testing.T) { // what is in hand counts until its end, however that comes
		y := opened(t, map[string][]string{"any": {silent, ok}})
		request := plain("GET", "/narrow", "")
		ours, theirs := net.Pipe()
		y.ends2 <- theirs
		io.WriteString(ours, request)
		synctest.Wait()
		assert.Equal(t, "429 over a limit", y.want(request))
		ours.Close() // its client leaves
		time.Sleep(time.Second)
		synctest.Wait()
		assert.Equal(t, "200 body", y.want(request))
		y.end()
	})
}

// Once a pool has had no server admitted for its time, its backup serves; and until it has had one for longer.
func TestBackup(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		y := opened(t, map[string][]string{"f1:80": append(slices.Repeat([]string{fault}, 7), ok), "c1:80": {ok}})
		at := func(wait time.Duration) string {
			time.Sleep(wait)
			y.got = nil
			status := y.want(plain("POST", "/frail", "Content-Length: 0\r\n"))[:3]
			for _, line := range y.got {
				status += " " + line[:2]
			}
			return status
		}
		for range 6 { // so many results pause it
			assert.Equal(t, "500 f1", at(10*time.Millisecond))
		}
		assert.Equal(t, "503", at(10*time.Millisecond), "paused, and its backup not yet in its place")
		assert.Equal(t, "200 c1", at(time.Second))
		assert.Equal(t, "500 f1", at(8*time.Second), "cooled down, it is tried with one lookup, and fails it")
		assert.Equal(t, "200 c1", at(time.Second))
		assert.Equal(t, "200 f1", at(8*time.Second), "the next trial goes well")
		assert.Equal(t, "200 c1", at(time.Second), "but it must stay well for a time")
		assert.Equal(t, "200 c1", at(3*time.Second))
		assert.Equal(t, "200 f1", at(2*time.Second))
		y.end()
	})
	synctest.Test(t, func(t *testing.T) { // requests that are out when it changes end where they are
		y := opened(t, map[string][]string{"f1:80": {silent}, "c1:80": {ok}})
		assert.Equal(t, "503 dismissed", y.want(plain("GET", "/frail", "")))
		y.end()
	})
}

// A pool's room is shared: what is over it is told so at once.
func TestRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		y := opened(t, map[string][]string{"any": {silent}})
		for range 2 {
			ours, theirs := net.Pipe()
			y.ends2 <- theirs
			io.WriteString(ours, plain("GET", "/other", ""))
			synctest.Wait()
		}
		assert.Equal(t, "503 the pool is full", y.want(plain("GET", "/other", "")))
		time.Sleep(time.Second) // their deadline
		synctest.Wait()
		assert.Equal(t, "503 dismissed", y.want(plain("GET", "/other", "")))
		y.end()
	})
}

// A pool that fails every other attempt is never paused; its requests are tried again only as far as the budget goes.
func TestBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var every []string
		for range 1000 {
			every = append(every, fault, ok)
		}
		y := opened(t, map[string][]string{"b1:80": every, "b2:80": every, "b3:80": every})
		served, firsts := 0, 300
		for range firsts {
			if y.want(plain("GET", "/storm", "")) == "200 body" {
				served++
			}
			time.Sleep(20 * time.Millisecond)
		}
		assert.LessOrEqual(t, len(y.got), firsts+firsts/10+4)
		assert.GreaterOrEqual(t, len(y.got), firsts+firsts/20, "and that far they are")
		assert.Greater(t, served, firsts/2)
		y.end()
	})
}

// A pool that fails wholly leaves the other one as it is without it, and is itself not stormed.
func TestStorm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		y := opened(t, map[string][]string{"b1:80": {fault}, "b2:80": {fault}, "b3:80": {fault}, "c1:80": {ok}})
		firsts, served := 0, 0
		for i := range 200 {
			if i%2 == 0 {
				y.want(plain("GET", "/storm", ""))
				firsts++
			} else if y.want(plain("GET", "/other", "")) == "200 body" {
				served++
			}
			time.Sleep(20 * time.Millisecond)
		}
		attempts := 0
		for _, line := range y.got {
			if strings.HasPrefix(line, "b") {
				attempts++
			}
		}
		assert.Equal(t, 100, served)
		assert.LessOrEqual(t, attempts, firsts, "its servers are paused, and tried one leg at a time")
		y.end()
	})
}

// A reload of the operator file: all of it or nothing; what is in hand ends where it is, what is as it was keeps what
// it knows.
func TestReoperate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		y := opened(t, map[string][]string{"b1:80": {silent}, "b2:80": {silent}, "b3:80": {silent}, "c1:80": {ok}, "f1:80": {fault}, "n1:80": {ok}})
		again := func(change ...string) error {
			s, faults := config.Read("f.toml", []byte(strings.NewReplacer(change...).Replace(operated)))
			require.Empty(t, faults)
			return y.ReloadConfig(s)
		}
		sent := func(request string) string {
			y.got = nil
			text := y.want(request)
			for _, line := range y.got {
				text += " at " + line[:2]
			}
			return text
		}
		limited := plain("GET", "/limited", "")
		for range 2 {
			assert.Equal(t, "200 body at c1", sent(limited))
		}
		ours, theirs := net.Pipe() // in hand at the first pool
		y.ends2 <- theirs
		go io.WriteString(ours, plain("GET", "/a", "X-Expires-In: 0.5\r\n"))
		synctest.Wait()
		branches, written := len(y.pools.all), len(y.endpoints.static)

		first := `servers = ["b1:80", "b2:80", "b3:80"]`
		require.NoError(t, again(first, `servers = ["n1:80"]`))
		assert.Equal(t, "200 body at n1", sent(plain("GET", "/a", "")), "the pool has other servers now")
		assert.Equal(t, "429 over a limit", sent(limited), "limits that are as they were keep their counts")
		status, _, _, err := answer(ours)
		assert.Equal(t, []any{503, nil}, []any{status, err}, "what was in hand has its own end")
		ours.Close()
		synctest.Wait()
		assert.Equal(t, []int{branches, written - 2}, []int{len(y.pools.all), len(y.endpoints.static)}, "the old pool has gone with it")

		assert.ErrorContains(t, again("hard_stop = 0.8", "hard_stop = 60.0"), "longer than 1.2s counts from the next start")
		assert.ErrorContains(t, again("[[pool]]\nname = \"first\"", "[[listener]]\naddress = \"127.0.0.1:1\"\n[[pool]]\nname = \"first\""), "listeners change")
		assert.Equal(t, "200 body at n1", sent(plain("GET", "/a", "")), "refused, it changes nothing")

		for range 7 {
			sent(plain("GET", "/frail", ""))
		}
		require.NoError(t, again(first, `servers = ["n1:80"]`, `prefix = "/none"`, ""))
		assert.Equal(t, "503 dismissed", sent(plain("GET", "/frail", "")), "a pool that is as it was still knows whom it paused")
		require.NoError(t, again(first, `servers = ["n1:80"]`, "under = \"/other\"", "under = \"/moved-on\""))
		assert.Equal(t, "200 body at n1", sent(plain("GET", "/other", "")), "the route is another's now")
		assert.Equal(t, "200 body at c1", sent(plain("GET", "/moved-on", "")))
		require.NoError(t, again(first, `servers = ["n1:80"]`, "due = 0.3", "due = 0.2"))
		assert.Equal(t, "200 body at n1", sent(plain("GET", "/a", "")), "other tariffs, other pools")
		assert.Len(t, y.pools.all, branches)
		y.end()
	})
	synctest.Test(t, func(t *testing.T) {
		y := serve(t, map[string][]string{"b1": {ok}}, nil)
		s, _ := config.Read("f.toml", []byte(operated))
		assert.ErrorContains(t, y.ReloadConfig(s), "started without an operator file")
		y.end()
		assert.ErrorContains(t, y.ReloadConfig(s), "has ended")
	})
}

// A pool of listed servers has those of its kinds, and a reload's new pool knows at once what is listed, and what
// drains.
func TestListedPools(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		y := made(t, map[string][]string{"b1": {ok}, "b2": {ok}}, func(l *BootstrapConfig) {
			for i := range l.Known.Entries {
				l.Known.Entries[i].ModelName = []string{"blue", "old"}[i]
			}
		})
		y.ends2 = make(chan net.Conn, 100)
		text := "[[tariff]]\nname = \"page\"\nhard_stop = 0.5\n[[pool]]\nname = \"p\"\nkinds = [\"blue\"]\n[[route]]\nname = \"all\"\nunder = \"/\"\npool = \"p\"\n"
		s, faults := config.Read("f.toml", []byte(text))
		require.Empty(t, faults)
		require.NoError(t, y.Configure(s, second{y}))
		y.begin()
		at := func() string {
			y.got = nil
			status := y.want(plain("GET", "/", ""))[:3]
			for _, line := range y.got {
				status += " " + line[:2]
			}
			return status
		}
		for range 5 {
			assert.Equal(t, "200 b1", at())
		}
		s, faults = config.Read("f.toml", []byte(strings.Replace(text, "blue", "old", 1)))
		require.Empty(t, faults)
		require.NoError(t, y.ReloadConfig(s))
		for range 5 {
			assert.Equal(t, "200 b2", at())
		}
		y.agents["agent"] <- `{"version":9,"full":false,"servers":[{"id":"b2","addr":"b2:1","zone":"a","kind":"old","cell":0,"state":"leaving","started_ms":0}]}`
		time.Sleep(100 * time.Millisecond)
		assert.Equal(t, "503", at(), "it drains")
		y.end()
	})
}

// flood answers with a body of so many bytes, told or in chunks, and breaks off before its end where it is to.
func flood(end net.Conn, bytes int, chunked, breaks bool, written *atomic.Int64) {
	piece := strings.Repeat("x", 10_000)
	if chunked {
		io.WriteString(end, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
	} else {
		fmt.Fprintf(end, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", bytes)
	}
	if breaks {
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
	if breaks {
		end.Close()
	} else if chunked {
		io.WriteString(end, "0\r\n\r\n")
	}
}

// Large answers flow at the client's pace; one that breaks is shown as broken; one whose client goes ends at its server
// too.
func TestFlow(t *testing.T) {
	const size = 8_000_000
	for name, c := range map[string]struct {
		version         string
		chunked, breaks bool
		whole           bool
	}{
		"told":                     {"1.1", false, false, true},
		"in chunks":                {"1.1", true, false, true},
		"in chunks, to an old one": {"1.0", true, false, true},
		"told, breaks":             {"1.1", false, true, false},
		"in chunks, breaks":        {"1.1", true, true, false},
		"told, breaks, an old one": {"1.0", false, true, false},
	} {
		synctest.Test(t, func(t *testing.T) {
			y := opened(t, map[string][]string{"any": {ok}})
			var written atomic.Int64
			y.flood = func(end net.Conn) { flood(end, size, c.chunked, c.breaks, &written) }
			ours, theirs := net.Pipe()
			y.ends2 <- theirs
			io.WriteString(ours, strings.Replace(plain("GET", "/a", ""), "HTTP/1.1", "HTTP/"+c.version, 1))
			time.Sleep(3 * time.Second) // a client that does not read; the deadline is long past
			assert.Less(t, written.Load(), int64(200_000), "%s: what is not taken is not read", name)
			r := http1.NewReader(ours)
			h, err := r.Response()
			require.NoError(t, err, name)
			assert.Equal(t, c.chunked && c.version == "1.1", h.Chunked, name)
			n, err := io.Copy(io.Discard, r.StreamBody(h.Length, h.Chunked))
			if c.whole {
				assert.Equal(t, []any{int64(size), nil}, []any{n, err}, name)
			} else {
				assert.Error(t, err, name)
			}
			ours.Close()
			y.end()
			assert.Equal(t, []int{1, 0}, []int{y.counters.Succeeded, y.counters.Failed}, name)
		})
	}
	synctest.Test(t, func(t *testing.T) {
		y := opened(t, map[string][]string{"any": {ok}})
		var written atomic.Int64
		y.flood = func(end net.Conn) { flood(end, 1<<40, true, false, &written) } // an answer without end
		ours, theirs := net.Pipe()
		y.ends2 <- theirs
		go io.WriteString(ours, plain("GET", "/a", ""))
		io.ReadFull(ours, make([]byte, 100_000))
		ours.Close()
		synctest.Wait()
		assert.Equal(t, 1, y.gone, "the server's connection has ended")
		before := written.Load()
		time.Sleep(time.Minute)
		assert.Equal(t, before, written.Load())
		y.end()
	})
}

// Large bodies flow to one server at its pace, and to no other once they have begun to.
func TestUpload(t *testing.T) {
	const size = 3_000_000
	told := fmt.Sprintf("Content-Length: %d\r\n", size)
	for name, c := range map[string]struct {
		method, framing, play, want string
		sent                        int   // requests whose heads reached a server
		least                       int64 // bytes that reached one
	}{
		"told":                          {"POST", told, ok, "200 body", 1, size},
		"in chunks":                     {"POST", "Transfer-Encoding: chunked\r\n", ok, "200 body", 1, size},
		"the first server is not there": {"POST", told, refused, "200 body", 1, size},
		"replayable, but not kept: cut": {"GET", told, cutBody, "503 dismissed", 1, 0},
		"post: cut in the middle":       {"POST", told, cutBody, "502 forfeited", 1, 0},
		"answered before it is read":    {"POST", told, early, "400", 1, 0},
		"its route answers":             {"PUT", told, "moved", "308", 0, 0},
	} {
		synctest.Test(t, func(t *testing.T) {
			y := opened(t, map[string][]string{"any": {c.play, ok}})
			y.flows = true
			target := "/a"
			if c.play == "moved" {
				target = "/moved"
			}
			ours, theirs := net.Pipe()
			y.ends2 <- theirs
			go func() {
				io.WriteString(ours, plain(c.method, target, c.framing))
				piece := strings.Repeat("x", 10_000)
				for range size / len(piece) {
					text := piece
					if strings.Contains(c.framing, "chunked") {
						text = fmt.Sprintf("%x\r\n%s\r\n", len(piece), piece)
					}
					if _, err := io.WriteString(ours, text); err != nil {
						return
					}
				}
				if strings.Contains(c.framing, "chunked") {
					io.WriteString(ours, "0\r\n\r\n")
				}
			}()
			status, _, body, err := answer(ours)
			assert.NoError(t, err, name)
			assert.Equal(t, c.want, strings.TrimSpace(fmt.Sprint(status, " ", body)), name)
			ours.Close()
			y.end()
			assert.Len(t, y.got, c.sent, name)
			assert.GreaterOrEqual(t, y.taken, c.least, name)
		})
	}
}

// Downloads that their clients take slowly are no load at their servers: others are served beside them.
func TestFlowsAreNoLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		y := opened(t, map[string][]string{"any": {ok}})
		var written atomic.Int64
		y.flood = func(end net.Conn) { flood(end, 1<<40, false, false, &written) }
		const downloads = 30 // a server that was never heard is given two attempts
		var clients []net.Conn
		for range downloads {
			ours, theirs := net.Pipe()
			y.ends2 <- theirs
			io.WriteString(ours, plain("GET", "/a", ""))
			io.ReadFull(ours, make([]byte, 20_000))
			clients = append(clients, ours)
		}
		assert.Equal(t, downloads, y.counters.Succeeded)
		for _, c := range clients {
			c.Close()
		}
		y.end()
	})
}
