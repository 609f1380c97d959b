package proxy

import (
	"fmt"
	"net"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"lockloom/internal/config"
	"lockloom/internal/discovery"
)

// A backup serves once its pool has had no admitted server for the configured time, and until the pool has had one
// again for a longer time.
func TestFailover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := startOperatorEnv(t,
			map[string][]string{"f1:80": append(slices.Repeat([]string{faultResponse}, 7), okResponse), "c1:80": {okResponse}})
		send := func(wait time.Duration) string {
			time.Sleep(wait)
			env.received = nil
			status := env.operatorRoundTrip(plainRequest("POST", "/frail", "Content-Length: 0\r\n"))[:3]
			for _, line := range env.received {
				status += " " + line[:2]
			}
			return status
		}
		for range 6 { // enough failures to pause the server
			assert.Equal(t, "500 f1", send(10*time.Millisecond))
		}
		assert.Equal(t, "503", send(10*time.Millisecond), "the server is paused, and the backup does not serve yet")
		assert.Equal(t, "200 c1", send(time.Second))
		assert.Equal(t, "500 f1", send(8*time.Second), "the cooldown is over: a trial with one request, which fails")
		assert.Equal(t, "200 c1", send(time.Second))
		assert.Equal(t, "200 f1", send(8*time.Second), "the next trial succeeds")
		assert.Equal(t, "200 c1", send(time.Second), "the server must stay admitted for some time first")
		assert.Equal(t, "200 c1", send(3*time.Second))
		assert.Equal(t, "200 f1", send(2*time.Second))
		env.stopAndWait()
	})
	synctest.Test(t, func(t *testing.T) { // a request in flight at a failover stays with its pool
		env := startOperatorEnv(t, map[string][]string{"f1:80": {noResponse}, "c1:80": {okResponse}})
		assert.Equal(t, "503 dismissed", env.operatorRoundTrip(plainRequest("GET", "/frail", "")))
		env.stopAndWait()
	})
}

// A pool whose servers fail every second attempt is never paused. Its requests are retried only within the retry
// budget.
func TestRetryBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var alternating []string
		for range 1000 {
			alternating = append(alternating, faultResponse, okResponse)
		}
		env := startOperatorEnv(t, map[string][]string{"b1:80": alternating, "b2:80": alternating, "b3:80": alternating})
		served, requests := 0, 300
		for range requests {
			if env.operatorRoundTrip(plainRequest("GET", "/storm", "")) == "200 body" {
				served++
			}
			time.Sleep(20 * time.Millisecond)
		}
		assert.LessOrEqual(t, len(env.received), requests+requests/10+4)
		assert.GreaterOrEqual(t, len(env.received), requests+requests/20, "the budget is used")
		assert.Greater(t, served, requests/2)
		env.stopAndWait()
	})
}

// A pool in which every attempt fails does not affect another pool, and its own servers receive few attempts.
func TestFailingPoolDoesNotAffectOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := startOperatorEnv(t, map[string][]string{"b1:80": {faultResponse}, "b2:80": {faultResponse},
			"b3:80": {faultResponse}, "c1:80": {okResponse}})
		requests, served := 0, 0
		for i := range 200 {
			if i%2 == 0 {
				env.operatorRoundTrip(plainRequest("GET", "/storm", ""))
				requests++
			} else if env.operatorRoundTrip(plainRequest("GET", "/other", "")) == "200 body" {
				served++
			}
			time.Sleep(20 * time.Millisecond)
		}
		attempts := 0
		for _, line := range env.received {
			if strings.HasPrefix(line, "b") {
				attempts++
			}
		}
		assert.Equal(t, 100, served)
		assert.LessOrEqual(t, attempts, requests, "the servers are paused, and receive trials only")
		env.stopAndWait()
	})
}

// A pool of listed servers has those of its kinds. A pool that a reload adds has the current list at once, including
// what drains.
func TestPoolsOfListedServers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newEnv(t, map[string][]string{"b1": {okResponse}, "b2": {okResponse}}, func(cfg *BootstrapConfig) {
			for i := range cfg.KnownEndpoints.Entries {
				cfg.KnownEndpoints.Entries[i].ModelName = []string{"blue", "old"}[i]
			}
		})
		env.operatorConns = make(chan net.Conn, 100)
		text := "[[tariff]]\nname = \"page\"\nhard_stop = 0.5\n" +
			"[[pool]]\nname = \"p\"\nkinds = [\"blue\"]\n[[route]]\nname = \"all\"\nunder = \"/\"\npool = \"p\"\n"
		cfg, faults := config.Parse("f.toml", []byte(text))
		require.Empty(t, faults)
		require.NoError(t, env.Configure(cfg, operatorListener{env}))
		env.start()
		send := func() string {
			env.received = nil
			status := env.operatorRoundTrip(plainRequest("GET", "/", ""))[:3]
			for _, line := range env.received {
				status += " " + line[:2]
			}
			return status
		}
		for range 5 {
			assert.Equal(t, "200 b1", send())
		}
		cfg, faults = config.Parse("f.toml", []byte(strings.Replace(text, "blue", "old", 1)))
		require.Empty(t, faults)
		require.NoError(t, env.ReloadConfig(cfg))
		for range 5 {
			assert.Equal(t, "200 b2", send())
		}
		env.listUpdates["agent"] <- `{"version":9,"full":false,"servers":[{"id":"b2",` +
			`"addr":"b2:1","zone":"a","kind":"old","cell":0,"state":"leaving","started_ms":0}]}`
		time.Sleep(100 * time.Millisecond)
		assert.Equal(t, "503", send(), "the only server drains")
		env.stopAndWait()
	})
}

// Guards against a pool that goes on using a server which the list has moved to another kind: neither a drain nor an
// admin call reached the pool's balancer any more, since the server's entry no longer belongs to the pool.
func TestPoolDropsServersThatTheListMovesToAnother(t *testing.T) {
	entry := func(kind, state string) string {
		return fmt.Sprintf(`{"id":"b1","addr":"b1:1","kind":%q,"state":%q}`, kind, state)
	}
	change := func(servers ...string) string {
		return fmt.Sprintf(`{"version":9,"full":false,"servers":[%s]}`, strings.Join(servers, ","))
	}
	for _, c := range []struct {
		name     string
		lists    []string
		advisory bool
		used     bool // the server is still used by the pool
	}{
		{"by a change", []string{change(entry("old", "active"))}, false, false},
		{"by a change, advisory", []string{change(entry("old", "active"))}, true, false},
		{"and it drains", []string{change(entry("old", "active")), change(entry("old", "leaving"))}, true, false},
		{"as it drains", []string{change(entry("old", "leaving"))}, true, false},
		{"removed, by an entry of another kind", []string{change(entry("old", "left"))}, false, false},
		{"removed, by an entry of another kind, advisory", []string{change(entry("old", "left"))}, true, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				behaviors := map[string][]string{"b1": {okResponse}, "b1:1": {okResponse}, "b2": {okResponse}}
				env := newEnv(t, behaviors, func(cfg *BootstrapConfig) { cfg.RemovalIsAdvisory = c.advisory })
				env.pools.platform.accepts = func(entry *discovery.Entry) bool { return entry.ModelName != "old" }
				env.start()
				env.updateList(change(entry("blue", "active")))
				env.sendRequests(20)
				assert.Positive(t, env.requestsByServer()["b1"])
				for _, list := range c.lists {
					env.updateList(list)
				}
				env.sendRequests(20)
				assert.Equal(t, c.used, env.requestsByServer()["b1"] > 0)
				env.updateList(change(entry("blue", "active")))
				time.Sleep(2 * time.Second) // until slow start is over
				env.sendRequests(20)
				assert.Positive(t, env.requestsByServer()["b1"], "it belongs to the pool again")
				env.stopAndWait()
			})
		})
	}
}
