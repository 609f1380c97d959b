package proxy

import (
	"fmt"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"lockloom/balance"
	"lockloom/internal/admin"
)

// Guards against requests to a disabled server: it must receive none until it is enabled, whatever state the list
// reports.
func TestDisabledServerGetsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := startEnv(t, map[string][]string{"b1": {okResponse}, "b2": {okResponse}, "any": {okResponse}}, nil)
		env.sendRequests(20)
		assert.Greater(t, env.requestsByServer()["b1"], 0)
		assert.Equal(t, 404, env.adminCall(admin.Disable, "b3"), "the server was never listed")
		assert.Equal(t, 200, env.adminCall(admin.Disable, "b1"))
		assert.Equal(t, 200, env.adminCall(admin.Disable, "b1"))
		for _, update := range []string{
			listChange(2, "b1", "active", 0),
			listChange(3, "b1", "leaving", 0),
			listChange(4, "b1", "left", 0),
			listChange(5, "b1", "active", 1790000000000),
			`{"version":6,"full":true,"servers":[{"id":"b1","addr":"b1:1","state":"active"},` +
				`{"id":"b2","addr":"b2:1","state":"active"}]}`,
		} {
			env.updateList(update)
			env.sendRequests(20)
			assert.Equal(t, map[string]int{"b2": 20}, env.requestsByServer(), update)
		}
		assert.Equal(t, 200, env.adminCall(admin.Enable, "b1"))
		assert.InDelta(t, env.now(), env.startedAtOf("b1"), 0.001,
			"the list reports no start time: the server counts as started now")
		time.Sleep(2 * time.Second) // until slow start is over
		env.sendRequests(40)
		assert.Greater(t, env.requestsByServer()["b1"], 5)
		env.stopAndWait()
	})
}

// Guards against a call that is rejected since more servers were listed after its own than ids are kept: a server that
// is in use can always be disabled, and one that is disabled can always be enabled.
func TestServersInUseAndDisabledOnesStayKnown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := startEnv(t, map[string][]string{"b1": {okResponse}, "b2": {okResponse}}, nil)
		env.updateList(listChange(2, "gone", "active", 0))
		env.updateList(listChange(3, "disabled", "active", 0))
		assert.Equal(t, 200, env.adminCall(admin.Disable, "disabled"))
		env.updateList(listChange(4, "gone", "left", 0))
		env.updateList(listChange(5, "disabled", "left", 0))
		list := func(state balance.EndpointState) List {
			list := List{Version: 6}
			for i := range maxKnownIDs {
				list.Entries = append(list.Entries, listEntry(fmt.Sprint("s", i), state))
			}
			return list
		}
		env.post(func() {
			env.applyEndpointList(list(balance.Ready), false)
			env.applyEndpointList(list(balance.Removed), false)
		})
		synctest.Wait()
		assert.Equal(t, 404, env.adminCall(admin.Disable, "gone"), "its id was dropped")
		assert.Equal(t, 200, env.adminCall(admin.Disable, "b1"))
		assert.Equal(t, 200, env.adminCall(admin.Enable, "disabled"))
		env.sendRequests(20)
		assert.Equal(t, map[string]int{"b2": 20}, env.requestsByServer())
		env.stopAndWait()
	})
}

// startedAtOf returns when a server counts as started, in seconds since 1970.
func (env *testEnv) startedAtOf(id string) float64 {
	index, _ := env.registry.Find(id)
	return env.withAdminState(env.endpoints.known[index]).StartedAt
}

// A drained proxy fails its readiness check at once, serves until the load balancer in front has noticed, then closes
// all connections within 4 s.
func TestDrain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := startEnv(t, map[string][]string{"b1": {okResponse}}, nil)
		time.Sleep(firstListTimeout)
		synctest.Wait()
		readyStatus := func() int { status, _, _, _ := env.roundTrip("GET /up HTTP/1.1\r\n\r\n"); return status }
		assert.Equal(t, 200, readyStatus())
		kept := env.connect()
		go write(kept, idempotentRequest)
		env.readOK(kept)
		assert.Equal(t, 200, env.adminCall(admin.Drain, ""))
		drainedAt := time.Now()
		assert.Equal(t, 503, readyStatus())
		assert.Equal(t, 200, env.adminCall(admin.Ready, ""))
		for _, c := range []struct {
			after  time.Duration
			status int
			closes bool
		}{{200 * time.Millisecond, 200, false}, {700 * time.Millisecond, 200, true}, {1700 * time.Millisecond, 200, true},
			{1900 * time.Millisecond, 503, true}, {3900 * time.Millisecond, 503, true}} {
			time.Sleep(c.after - time.Since(drainedAt))
			if c.after > 2*time.Second {
				kept.SetReadDeadline(time.Now().Add(time.Millisecond))
				_, err := kept.Read(make([]byte, 1))
				assert.Equal(t, io.EOF, err, "idle connections are closed")
			}
			status, h, _, err := env.roundTrip(idempotentRequest)
			assert.NoError(t, err)
			assert.Equal(t, c.status, status, c.after)
			assert.Equal(t, c.closes, h.Close, c.after)
		}
		silent := env.connect()
		time.Sleep(time.Second)
		_, err := silent.Write([]byte("x"))
		assert.Error(t, err, "a new connection that sends nothing is closed too")
		count, _ := env.conns.counts()
		assert.Zero(t, count)
		assert.Equal(t, 200, env.adminCall(admin.Resume, ""))
		assert.Equal(t, 200, readyStatus())
		conn := env.connect()
		go write(conn, idempotentRequest)
		status, h, _, _ := readResponse(conn)
		assert.True(t, status == 200 && !h.Close)
		env.adminCall(admin.Drain, "")
		env.adminCall(admin.Resume, "")
		time.Sleep(5 * time.Second)
		go write(conn, idempotentRequest)
		status, _, _, err = readResponse(conn)
		assert.NoError(t, err, "resumed right after a drain: no connection is closed")
		assert.Equal(t, 200, status)
		conn.Close()
		env.adminCall(admin.Drain, "")
		env.stopAndWait() // a shutdown during a drain
	})
}

func TestAdminCallsDoNotWaitForTheOwner(t *testing.T) {
	env := newEnv(t, map[string][]string{"b1": {okResponse}}, nil)
	env.process.pinKnownID("b1")
	for range maxQueuedEvents {
		env.loop.events <- func() {}
	}
	answered := make(chan int, 4)
	go func() {
		for _, act := range []admin.Action{admin.Disable, admin.Drain, admin.Enable, admin.Resume} {
			status, _ := env.Administer(admin.Call{Action: act, ID: "b1"})
			answered <- status
		}
	}()
	assert.Eventually(t, func() bool { return len(answered) == 4 }, time.Second, time.Millisecond,
		"admin calls do not wait for the owner")
	for range len(answered) {
		assert.Equal(t, 200, <-answered)
	}
}
