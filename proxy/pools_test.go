package proxy

import (
	"net"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"lockloom/internal/config"
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
