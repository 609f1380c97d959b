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
	testListChanges(t, true, 200) // if removal is advisory, a removed server is used while it responds
}

func testListChanges(t *testing.T, removalIsAdvisory bool, statusWhenRemoved int) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		behaviors := map[string][]string{"b1": {okResponse}, "b1:1": {okResponse}, "b2:1": {okResponse}}
		env := startEnv(t, behaviors, func(cfg *BootstrapConfig) {
			cfg.SlowStartDuration, cfg.RemovalIsAdvisory = 0, removalIsAdvisory
		})
		target := func() (string, int) {
			status, _, _, err := env.roundTrip(idempotentRequest)
			assert.NoError(t, err)
			return env.dialed[len(env.dialed)-1], status
		}
		addr, _ := target()
		assert.Equal(t, "b1", addr)
		env.updateList(listChange(2, "b1", "active", 0))
		addr, _ = target()
		assert.Equal(t, "b1:1", addr, "the server has a new address")
		n := len(env.dialed)
		env.updateList(listChange(3, "b1", "active", 946684800000))
		target()
		assert.Len(t, env.dialed, n+1, "the server has restarted: a new connection is opened")
		env.updateList(listChange(4, "b2", "active", 0))
		env.updateList(listChange(5, "b1", "leaving", 946684800000))
		assert.Equal(t, 3, env.closedConns, "idle connections to the draining server are closed")
		for range 3 {
			addr, _ = target()
			assert.Equal(t, "b2:1", addr)
		}
		for _, list := range []string{`{"version":6,"full":true,"servers":[]}`, listChange(7, "b2", "left", 0),
			listChange(8, "b1", "left", 946684800000)} {
			env.updateList(list)
			addr, status := target()
			assert.Equal(t, statusWhenRemoved, status, "all servers are removed")
			assert.Equal(t, "b2:1", addr, "nothing is sent to the draining server")
		}
		time.Sleep(2 * time.Second)
		_, status := target()
		assert.Equal(t, 503, status, "the removed server has sent no response for 2 s")
		env.updateList(`{"version":9,"full":false,"servers":[]}`)
		env.post(func() { assert.Empty(t, env.registry.Name(0)+env.registry.Name(1), "their indexes are free") })
		env.stopAndWait()
	})
}

// A reload switches to another address of discovery. Requests in flight go on, and an address where nothing answers
// does not end the current subscription.
func TestReloadBootstrapChangesDiscovery(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		behaviors := map[string][]string{"b1": {noResponse}, "b2:1": {okResponse}, "b3:1": {okResponse},
			"nowhere": {refuseConnection}}
		env := startEnv(t, behaviors, nil)
		reload := func(addr string) {
			cfg := env.bootstrap
			cfg.Discovery = addr
			env.ReloadBootstrap(cfg)
			synctest.Wait()
		}
		inFlight := env.connect()
		go write(inFlight, idempotentRequest)
		synctest.Wait()
		reload("nowhere")
		time.Sleep(time.Second)
		env.updateList(listChange(2, "b1", "leaving", 0))
		env.updateList(listChange(3, "b2", "active", 0))
		status, _, _, err := env.roundTrip(idempotentRequest)
		assert.NoError(t, err)
		assert.Equal(t, 200, status, "the previous subscription is still in use")
		for range 3 {
			reload("agent2")
		}
		assert.Equal(t, []string{"agent from 1", "agent2 from 3", "agent ended"}, env.watchLog)
		env.listUpdates["agent2"] <- listChange(2, "b3", "active", 0) // agent2 counts versions by itself
		env.listUpdates["agent2"] <- listChange(3, "b2", "left", 0)
		synctest.Wait()
		_, _, _, err = env.roundTrip(idempotentRequest)
		assert.NoError(t, err)
		assert.Equal(t, "b3:1", env.dialed[len(env.dialed)-1])
		reload("nowhere")
		reload("agent2")
		reload("agent")
		reload("agent")
		assert.Equal(t, []string{"agent from 3", "agent2 ended"}, env.watchLog[3:])
		status, _, _, err = readResponse(inFlight)
		assert.NoError(t, err)
		assert.Equal(t, 503, status, "a request in flight at a server that does not respond is answered")
		env.stopAndWait()
		reload("agent2") // has no effect after the end
		assert.Equal(t, "agent ended", env.watchLog[len(env.watchLog)-1])
	})
}

// Guards against state that grows with every new id of a server, a request or a connection.
func TestNothingGrows(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		behaviors := map[string][]string{"any": {okResponse}, "b1": {okResponse}}
		env := startEnv(t, behaviors, func(cfg *BootstrapConfig) { cfg.SlowStartDuration = 0 })
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
				status, _, _, err := env.roundTrip(strings.Replace(idempotentRequest, "t1", fmt.Sprint("t", i), 1))
				assert.NoError(t, err)
				assert.Equal(t, 200, status)
				time.Sleep(serverReuseDelay)
			}
		}
		time.Sleep(2 * time.Second)
		env.post(func() {
			assert.LessOrEqual(t, env.registry.Size(), 4)
			assert.LessOrEqual(t, len(env.endpoints.stopSendAt), 4)
			assert.LessOrEqual(t, len(env.requests.byRef), 1)
			assert.Empty(t, env.requests.ids.open)
			assert.LessOrEqual(t, env.upstream.Total(), 1, "idle connections to removed servers are closed")
			assert.LessOrEqual(t, len(env.loop.timers), 10)
		})
		env.stopAndWait()
	})
}

// Guards against sending an attempt after the grace of a drain. This happens if its connection is slow to open, or if
// the proxy processes the drain long after the time at which it counts as received.
func TestDrainWhileConnecting(t *testing.T) {
	disable := func(env *testEnv) { assert.Equal(env.t, 200, env.adminCall(admin.Disable, "b1")) }
	listUpdate := func(text string) func(env *testEnv) { return func(env *testEnv) { env.updateList(text) } }
	lateDrain := func(delay time.Duration) func(env *testEnv) {
		return func(env *testEnv) {
			env.post(func() {
				entry := listEntry("b1", balance.Draining)
				entry.Addr = "b1:1"
				env.applyEndpointList(List{Version: 3, NotifiedAt: time.Now().Add(-delay),
					Entries: []discovery.Entry{entry}}, false)
			})
		}
	}
	for _, c := range []struct {
		name  string
		grace float64
		drain func(env *testEnv)
		want  int
	}{
		{"disabled", 0.3, disable, 1}, {"disabled", 0.02, disable, 0},
		{"leaving", 0.3, listUpdate(listChange(3, "b1", "leaving", 0)), 1},
		{"leaving", 0.02, listUpdate(listChange(3, "b1", "leaving", 0)), 0},
		{"left", 0.02, listUpdate(listChange(3, "b1", "left", 0)), 0},
		{"not in a full list", 0.3, listUpdate(`{"version":3,"full":true,"servers":[]}`), 1},
		{"not in a full list", 0.02, listUpdate(`{"version":3,"full":true,"servers":[]}`), 0},
		{"received late", 0.3, lateDrain(200 * time.Millisecond), 1},
		{"received too late", 0.3, lateDrain(400 * time.Millisecond), 0},
	} {
		synctest.Test(t, func(t *testing.T) {
			behaviors := map[string][]string{"b1": {okResponse}, "b1:1": {okResponse}}
			env := newEnv(t, behaviors, func(cfg *BootstrapConfig) { cfg.DrainGrace = c.grace })
			env.dialDelay = 60 * time.Millisecond
			env.start()
			env.updateList(listChange(2, "b1", "active", 0)) // with the address that the drains name
			conn := env.connect()
			go write(conn, idempotentRequest)
			synctest.Wait()
			c.drain(env)
			time.Sleep(100 * time.Millisecond)
			synctest.Wait()
			assert.Equal(t, c.want, env.requestsByServer()["b1"], "%s, grace %v", c.name, c.grace)
			conn.Close()
			env.stopAndWait()
		})
	}
}

// All 1,024 servers of a list drain at once, in an indented JSON message. One returns under its old id and is the only
// one to receive requests.
func TestManyServersDrainAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := startEnv(t, map[string][]string{"any": {okResponse}}, func(cfg *BootstrapConfig) {
			cfg.SlowStartDuration = 0
		})
		update := func(version int, full bool, state balance.EndpointState, ids ...string) {
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
		requestStatus := func() int { status, _, _, _ := env.roundTrip(idempotentRequest); return status }
		update(2, true, balance.Ready, all...)
		assert.Equal(t, 200, requestStatus())
		update(3, false, balance.Draining, all...)
		assert.Equal(t, 503, requestStatus(), "all servers drain")
		update(4, false, balance.Removed, "s-700")
		update(5, false, balance.Ready, "s-700")
		for range 20 {
			assert.Equal(t, 200, requestStatus())
			assert.Equal(t, "s-700:1", env.dialed[len(env.dialed)-1])
		}
		env.stopAndWait()
	})
}
