package proxy

import (
	"net"
	"strings"
	"testing"
	"testing/synctest"

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
