package proxy

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"lockloom/balance"
	"lockloom/internal/admin"
	"lockloom/internal/discovery"
)

func TestListChanges(t *testing.T) {
	testListChanges(t, false, 503)
	testListChanges(t, true, 200) // where only a drain binds, what the list has lost serves while it answers
}

func testListChanges(t *testing.T, removalIsAdvisory bool, statusWhenRemoved int) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		plays := map[string][]string{"b1": {okResponse}, "b1:1": {okResponse}, "b2:1": {okResponse}}
		env := startEnv(t, plays, func(l *BootstrapConfig) {
			l.SlowStartDuration, l.RemovalIsAdvisory = 0,
				removalIsAdvisory
		})
		target := func() (string, int) {
			status, _, _, err := env.roundTrip(lookRequest)
			assert.NoError(t, err)
			return env.dialed[len(env.dialed)-1], status
		}
		addr, _ := target()
		assert.Equal(t, "b1", addr)
		env.updateList(listChange(2, "b1", "active", 0))
		addr, _ = target()
		assert.Equal(t, "b1:1", addr, "moved")
		n := len(env.dialed)
		env.updateList(listChange(3, "b1", "active", 946684800000))
		target()
		assert.Len(t, env.dialed, n+1, "began anew")
		env.updateList(listChange(4, "b2", "active", 0))
		env.updateList(listChange(5, "b1", "leaving", 946684800000))
		assert.Equal(t, 3, env.closedConns, "what was idle to the drained one is closed")
		for range 3 {
			addr, _ = target()
			assert.Equal(t, "b2:1", addr)
		}
		for _, list := range []string{`{"version":6,"full":true,"servers":[]}`, listChange(7, "b2", "left", 0),
			listChange(8, "b1", "left", 946684800000)} {
			env.updateList(list)
			addr, status := target()
			assert.Equal(t, statusWhenRemoved, status, "all are gone")
			assert.Equal(t, "b2:1", addr, "what drained is never sent to")
		}
		time.Sleep(2 * time.Second)
		_, status := target()
		assert.Equal(t, 503, status, "nothing was heard for long")
		env.updateList(`{"version":9,"full":false,"servers":[]}`)
		env.post(func() { assert.Empty(t, env.registry.Name(0)+env.registry.Name(1), "their indexes are free") })
		env.stopAndWait()
	})
}

// Another address of discovery is followed, requests in flight go on, and an address where nothing answers costs
// nothing.
func TestReloadBootstrapChangesDiscovery(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		plays := map[string][]string{"b1": {noResponse}, "b2:1": {okResponse}, "b3:1": {okResponse},
			"nowhere": {refuseConnection}}
		env := startEnv(t, plays, nil)
		reload := func(addr string) {
			cfg := env.bootstrap
			cfg.Discovery = addr
			env.ReloadBootstrap(cfg)
			synctest.Wait()
		}
		waits := env.connect()
		go write(waits, lookRequest)
		synctest.Wait()
		reload("nowhere")
		time.Sleep(time.Second)
		env.updateList(listChange(2, "b1", "leaving", 0))
		env.updateList(listChange(3, "b2", "active", 0))
		status, _, _, err := env.roundTrip(lookRequest)
		assert.NoError(t, err)
		assert.Equal(t, 200, status, "the one before is followed on")
		for range 3 {
			reload("agent2")
		}
		assert.Equal(t, []string{"agent from 1", "agent2 from 3", "agent ended"}, env.watchLog)
		env.listUpdates["agent2"] <- listChange(2, "b3", "active", 0) // another count of versions
		env.listUpdates["agent2"] <- listChange(3, "b2", "left", 0)
		synctest.Wait()
		_, _, _, err = env.roundTrip(lookRequest)
		assert.NoError(t, err)
		assert.Equal(t, "b3:1", env.dialed[len(env.dialed)-1])
		reload("nowhere")
		reload("agent2")
		reload("agent")
		reload("agent")
		assert.Equal(t, []string{"agent from 3", "agent2 ended"}, env.watchLog[3:])
		status, _, _, err = readResponse(waits)
		assert.NoError(t, err)
		assert.Equal(t, 503, status, "what was out at a silent backend gets its answer")
		env.stopAndWait()
		reload("agent2") // harmless
		assert.Equal(t, "agent ended", env.watchLog[len(env.watchLog)-1])
	})
}

// Under ever new ids of servers, requests and connections, what is held must not grow.
func TestNothingGrows(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		plays := map[string][]string{"any": {okResponse}, "b1": {okResponse}}
		env := startEnv(t, plays, func(l *BootstrapConfig) { l.SlowStartDuration = 0 })
		for i := range 100 {
			id, last := fmt.Sprint("s", i), fmt.Sprint("s", i-1)
			env.updateList(listChange(2*i+2, id, "active", 0))
			if i%2 == 0 {
				env.updateList(listChange(2*i+3, last, "left", 0))
			} else {
				env.updateList(fmt.Sprintf(`{"version":%d,"full":true,"servers":[{"id":%q,"addr":"same:1","state":"active"}]}`,
					2*i+3, id))
			}
			for range 3 {
				status, _, _, err := env.roundTrip(strings.Replace(lookRequest, "t1", fmt.Sprint("t", i), 1))
				assert.NoError(t, err)
				assert.Equal(t, 200, status)
			}
		}
		time.Sleep(2 * time.Second)
		env.post(func() {
			assert.LessOrEqual(t, env.registry.Size(), 4)
			assert.LessOrEqual(t, len(env.endpoints.stopSendAt), 4)
			assert.LessOrEqual(t, len(env.requests.byRef), 1)
			assert.Empty(t, env.requests.openIDs)
			assert.LessOrEqual(t, env.upstream.Total(), 1, "what was idle to those that are gone is closed")
			assert.LessOrEqual(t, len(env.loop.timers), 10)
		})
		env.stopAndWait()
	})
}

// An attempt that was ordered before its server drains, on a connection that is slow to open, must not be sent after
// the grace; and a drain may count as received before this proxy gets it.
func TestDrainWhileConnecting(t *testing.T) {
	ban := func(env *testEnv) { assert.Equal(env.t, 200, env.adminCall(admin.Disable, "b1")) }
	listed := func(text string) func(env *testEnv) { return func(env *testEnv) { env.updateList(text) } }
	late := func(by time.Duration) func(env *testEnv) {
		return func(env *testEnv) {
			env.post(func() {
				env.applyEndpointList(List{Version: 2, NotifiedAt: time.Now().Add(-by),
					Entries: []discovery.Entry{listEntry("b1", balance.Draining)}}, false)
			})
		}
	}
	for _, c := range []struct {
		name  string
		grace float64
		say   func(env *testEnv)
		got   int
	}{
		{"ban", 0.3, ban, 1}, {"ban", 0.02, ban, 0},
		{"leaving", 0.3, listed(listChange(2, "b1", "leaving", 0)), 1}, {"leaving", 0.02,
			listed(listChange(2, "b1", "leaving", 0)), 0},
		{"left", 0.02, listed(listChange(2, "b1", "left", 0)), 0},
		{"left out", 0.3, listed(`{"version":2,"full":true,"servers":[]}`), 1}, {"left out", 0.02,
			listed(`{"version":2,"full":true,"servers":[]}`), 0},
		{"heard late", 0.3, late(200 * time.Millisecond), 1}, {"heard too late", 0.3, late(400 * time.Millisecond), 0},
	} {
		synctest.Test(t, func(t *testing.T) {
			env := newEnv(t, map[string][]string{"b1": {okResponse}}, func(l *BootstrapConfig) { l.DrainGrace = c.grace })
			env.dialDelay = 60 * time.Millisecond
			env.start()
			conn := env.connect()
			go write(conn, lookRequest)
			synctest.Wait()
			c.say(env)
			time.Sleep(100 * time.Millisecond)
			synctest.Wait()
			assert.Equal(t, c.got, env.requestsByServer()["b1"], "%s, grace %v", c.name, c.grace)
			conn.Close()
			env.stopAndWait()
		})
	}
}

// A list of 1,024 servers, indented, in which all drain at once; one comes back under its id and is the only one that
// is sent to.
func TestManyServersDrainAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := startEnv(t, map[string][]string{"any": {okResponse}}, func(cfg *BootstrapConfig) {
			cfg.SlowStartDuration = 0
		})
		say := func(version int, full bool, state balance.EndpointState, ids ...string) {
			list := List{Version: int64(version), Full: full}
			for _, id := range ids {
				list.Entries = append(list.Entries, listEntry(id, state))
				list.Entries[len(list.Entries)-1].Addr += ":1"
			}
			text, err := json.MarshalIndent(list, "", "    ")
			assert.NoError(t, err)
			env.updateList(string(text))
		}
		all := make([]string, 1024)
		for i := range all {
			all[i] = fmt.Sprint("s-", i)
		}
		answered := func() int { status, _, _, _ := env.roundTrip(lookRequest); return status }
		say(2, true, balance.Ready, all...)
		assert.Equal(t, 200, answered())
		say(3, false, balance.Draining, all...)
		assert.Equal(t, 503, answered(), "all leave")
		say(4, false, balance.Removed, "s-700")
		say(5, false, balance.Ready, "s-700")
		for range 20 {
			assert.Equal(t, 200, answered())
			assert.Equal(t, "s-700:1", env.dialed[len(env.dialed)-1])
		}
		env.stopAndWait()
	})
}
