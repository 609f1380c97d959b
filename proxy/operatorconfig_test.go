package proxy

import (
	"net"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"lockloom/internal/config"
)

// Checks that a reload applies the whole operator file or nothing, that requests in flight end in their pool, and that
// unchanged pools and limits keep their state.
func TestReloadConfig(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := startOperatorEnv(t, map[string][]string{"b1:80": {noResponse}, "b2:80": {noResponse}, "b3:80": {noResponse},
			"c1:80": {okResponse}, "f1:80": {faultResponse}, "n1:80": {okResponse}})
		reload := func(change ...string) error {
			cfg, faults := config.Parse("f.toml", []byte(strings.NewReplacer(change...).Replace(operatorFile)))
			require.Empty(t, faults)
			return env.ReloadConfig(cfg)
		}
		sent := func(request string) string {
			env.received = nil
			text := env.operatorRoundTrip(request)
			for _, line := range env.received {
				text += " at " + line[:2]
			}
			return text
		}
		limited := plainRequest("GET", "/limited", "")
		for range 2 {
			assert.Equal(t, "200 body at c1", sent(limited))
		}
		clientEnd, proxyEnd := net.Pipe() // a request in flight in the first pool
		env.operatorConns <- proxyEnd
		go write(clientEnd, plainRequest("GET", "/a", "X-Expires-In: 0.5\r\n"))
		synctest.Wait()
		pools, staticServers := len(env.pools.all), len(env.endpoints.static)

		firstServers := `servers = ["b1:80", "b2:80", "b3:80"]`
		require.NoError(t, reload(firstServers, `servers = ["n1:80"]`))
		assert.Equal(t, "200 body at n1", sent(plainRequest("GET", "/a", "")), "the pool has other servers")
		assert.Equal(t, "429 over a limit", sent(limited), "unchanged limits keep their counts")
		status, _, _, err := readResponse(clientEnd)
		assert.Equal(t, []any{503, nil}, []any{status, err}, "the request in flight ends in its own pool")
		clientEnd.Close()
		synctest.Wait()
		assert.Equal(t, []int{pools, staticServers - 2}, []int{len(env.pools.all), len(env.endpoints.static)},
			"the old pool is removed with its last request")

		assert.ErrorContains(t, reload("hard_stop = 0.8", "hard_stop = 60.0"),
			"longer than 1.2s takes effect only after a restart")
		assert.ErrorContains(t, reload("[[pool]]\nname = \"first\"",
			"[[listener]]\naddress = \"127.0.0.1:1\"\n[[pool]]\nname = \"first\""), "listeners cannot be changed by a reload")
		assert.Equal(t, "200 body at n1", sent(plainRequest("GET", "/a", "")), "a failed reload changes nothing")

		for range 7 {
			sent(plainRequest("GET", "/frail", ""))
		}
		require.NoError(t, reload(firstServers, `servers = ["n1:80"]`, `prefix = "/none"`, ""))
		assert.Equal(t, "503 dismissed", sent(plainRequest("GET", "/frail", "")),
			"an unchanged pool keeps its paused servers")
		require.NoError(t, reload(firstServers, `servers = ["n1:80"]`, "under = \"/other\"", "under = \"/moved-on\""))
		assert.Equal(t, "200 body at n1", sent(plainRequest("GET", "/other", "")), "the path matches another route now")
		assert.Equal(t, "200 body at c1", sent(plainRequest("GET", "/moved-on", "")))
		require.NoError(t, reload(firstServers, `servers = ["n1:80"]`, "due = 0.3", "due = 0.2"))
		assert.Equal(t, "200 body at n1", sent(plainRequest("GET", "/a", "")), "changed classes replace the pools")
		assert.Len(t, env.pools.all, pools)
		env.stopAndWait()
	})
	synctest.Test(t, func(t *testing.T) {
		env := startEnv(t, map[string][]string{"b1": {okResponse}}, nil)
		cfg, _ := config.Parse("f.toml", []byte(operatorFile))
		assert.ErrorContains(t, env.ReloadConfig(cfg), "started without an operator file")
		env.stopAndWait()
		assert.ErrorContains(t, env.ReloadConfig(cfg), "has ended")
	})
}

// Guards against a request without any answer: its head was read under one operator file and its body ended under
// another, in which its pool no longer had its route. What it held of limits must be given back too.
func TestReloadWhileRequestIsRead(t *testing.T) {
	const narrow = "[[route]]\nname = \"narrow\"\nunder = \"/narrow\"\npool = \"second\""
	for _, c := range []struct {
		name   string
		change []string // of the operator file
	}{
		{"nothing has changed", nil},
		{"the route has another pool", []string{narrow, strings.Replace(narrow, "second", "first", 1)}},
		{"the route has another name", []string{narrow, strings.Replace(narrow, "\"narrow\"", "\"renamed\"", 1)}},
		{"the pool has no route", []string{`pool = "second"`, `pool = "first"`}},
		{"the pool has less room", []string{"room = 2", "room = 1"}},
		{"the pool has more room", []string{"room = 2", "room = 200"}},
		{"the pool has any room", []string{"room = 2", ""}},
		{"the limit is higher", []string{"in_hand = 1", "in_hand = 2"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				env := startOperatorEnv(t, map[string][]string{"b1:80": {okResponse}, "b2:80": {okResponse},
					"b3:80": {okResponse}, "c1:80": {okResponse}, "f1:80": {okResponse}})
				reload := func(change ...string) {
					cfg, faults := config.Parse("f.toml", []byte(strings.NewReplacer(change...).Replace(operatorFile)))
					require.Empty(t, faults)
					require.NoError(t, env.ReloadConfig(cfg))
				}
				for range 3 {
					conns := make([]net.Conn, 2)
					for i := range conns {
						var proxyEnd net.Conn
						conns[i], proxyEnd = net.Pipe()
						env.operatorConns <- proxyEnd
						write(conns[i], plainRequest("POST", "/narrow", "Content-Length: 5\r\n\r\nab"))
					}
					synctest.Wait()
					reload(c.change...)
					for _, conn := range conns {
						conn.SetReadDeadline(time.Now().Add(2 * time.Second))
						go write(conn, "c")
						status, _, _, err := readResponse(conn)
						assert.NoError(t, err)
						assert.Equal(t, 200, status, "answered, and its place in the limit is given back")
						conn.Close()
						synctest.Wait()
					}
					reload()
				}
				assert.Equal(t, "200 body", env.operatorRoundTrip(plainRequest("GET", "/narrow", "")))
				env.stopAndWait()
			})
		})
	}
}
