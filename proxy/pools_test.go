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

// Once a pool has had no admitted server for its time, its backup serves, until the pool has had one for longer.
func TestFailover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := startOperatorEnv(t,
			map[string][]string{"f1:80": append(slices.Repeat([]string{faultResponse}, 7), okResponse), "c1:80": {okResponse}})
		at := func(wait time.Duration) string {
			time.Sleep(wait)
			env.received = nil
			status := env.operatorRoundTrip(plainRequest("POST", "/frail", "Content-Length: 0\r\n"))[:3]
			for _, line := range env.received {
				status += " " + line[:2]
			}
			return status
		}
		for range 6 { // so many results pause it
			assert.Equal(t, "500 f1", at(10*time.Millisecond))
		}
		assert.Equal(t, "503", at(10*time.Millisecond), "paused, and its backup not yet in its place")
		assert.Equal(t, "200 c1", at(time.Second))
		assert.Equal(t, "500 f1", at(8*time.Second), "cooled down, it is tried with one request, which fails")
		assert.Equal(t, "200 c1", at(time.Second))
		assert.Equal(t, "200 f1", at(8*time.Second), "the next trial goes well")
		assert.Equal(t, "200 c1", at(time.Second), "but it must stay well for a time")
		assert.Equal(t, "200 c1", at(3*time.Second))
		assert.Equal(t, "200 f1", at(2*time.Second))
		env.stopAndWait()
	})
	synctest.Test(t, func(t *testing.T) { // requests that are out when it changes end where they are
		env := startOperatorEnv(t, map[string][]string{"f1:80": {noResponse}, "c1:80": {okResponse}})
		assert.Equal(t, "503 dismissed", env.operatorRoundTrip(plainRequest("GET", "/frail", "")))
		env.stopAndWait()
	})
}

// A pool that fails every other attempt is never paused; its requests are retried only as far as the budget goes.
func TestRetryBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var every []string
		for range 1000 {
			every = append(every, faultResponse, okResponse)
		}
		env := startOperatorEnv(t, map[string][]string{"b1:80": every, "b2:80": every, "b3:80": every})
		served, requests := 0, 300
		for range requests {
			if env.operatorRoundTrip(plainRequest("GET", "/storm", "")) == "200 body" {
				served++
			}
			time.Sleep(20 * time.Millisecond)
		}
		assert.LessOrEqual(t, len(env.received), requests+requests/10+4)
		assert.GreaterOrEqual(t, len(env.received), requests+requests/20, "and that far they are")
		assert.Greater(t, served, requests/2)
		env.stopAndWait()
	})
}

// A pool that fails wholly leaves the other as it is without it, and its own servers get few attempts.
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
		assert.LessOrEqual(t, attempts, requests, "its servers are paused, and tried one attempt at a time")
		env.stopAndWait()
	})
}

// A pool of listed servers has those of its kinds, and a pool that a reload adds knows at once what is listed, and what
// drains.
func TestPoolsOfListedServers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newEnv(t, map[string][]string{"b1": {okResponse}, "b2": {okResponse}}, func(l *BootstrapConfig) {
			for i := range l.Known.Entries {
				l.Known.Entries[i].ModelName = []string{"blue", "old"}[i]
			}
		})
		env.operatorConns = make(chan net.Conn, 100)
		text := "[[tariff]]\nname = \"page\"\nhard_stop = 0.5\n" +
			"[[pool]]\nname = \"p\"\nkinds = [\"blue\"]\n[[route]]\nname = \"all\"\nunder = \"/\"\npool = \"p\"\n"
		cfg, faults := config.Read("f.toml", []byte(text))
		require.Empty(t, faults)
		require.NoError(t, env.Configure(cfg, operatorListener{env}))
		env.start()
		at := func() string {
			env.received = nil
			status := env.operatorRoundTrip(plainRequest("GET", "/", ""))[:3]
			for _, line := range env.received {
				status += " " + line[:2]
			}
			return status
		}
		for range 5 {
			assert.Equal(t, "200 b1", at())
		}
		cfg, faults = config.Read("f.toml", []byte(strings.Replace(text, "blue", "old", 1)))
		require.Empty(t, faults)
		require.NoError(t, env.ReloadConfig(cfg))
		for range 5 {
			assert.Equal(t, "200 b2", at())
		}
		env.listUpdates["agent"] <- `{"version":9,"full":false,"servers":[{"id":"b2",` +
			`"addr":"b2:1","zone":"a","kind":"old","cell":0,"state":"leaving","started_ms":0}]}`
		time.Sleep(100 * time.Millisecond)
		assert.Equal(t, "503", at(), "it drains")
		env.stopAndWait()
	})
}
