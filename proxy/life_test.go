package proxy

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"lockloom/balance"
	"lockloom/internal/admin"
	"lockloom/internal/discovery"
)

func (y *yard) call(act admin.Action, id string) int {
	status, _ := y.Administer(admin.Call{Action: act, ID: id})
	synctest.Wait()
	return status
}

// where counts the requests that each server got since the last look.
func (y *yard) where() map[string]int {
	y.mu.Lock()
	defer y.mu.Unlock()
	n := map[string]int{}
	for _, g := range y.got {
		n[g[:2]]++
	}
	y.got = nil
	return n
}

func (y *yard) asks(n int) {
	for i := range n {
		y.ask(strings.Replace(look, "t1", "a"+string(rune('a'+i%26))+string(rune('a'+i/26)), 1))
	}
}

// A ban holds whatever the list says, and ends with one call back.
func TestBan(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		y := serve(t, map[string][]string{"b1": {ok}, "b2": {ok}, "any": {ok}}, nil)
		y.asks(20)
		assert.Greater(t, y.where()["b1"], 0)
		assert.Equal(t, 404, y.call(admin.Disable, "b3"), "never listed")
		assert.Equal(t, 200, y.call(admin.Disable, "b1"))
		assert.Equal(t, 200, y.call(admin.Disable, "b1"))
		for _, told := range []string{change(2, "b1", "active", 0), change(3, "b1", "leaving", 0), change(4, "b1", "left", 0),
			change(5, "b1", "active", 1790000000000), `{"version":6,"full":true,"servers":[{"id":"b1","addr":"b1:1","state":"active"},{"id":"b2","addr":"b2:1","state":"active"}]}`} {
			y.tell(told)
			y.asks(20)
			assert.Equal(t, map[string]int{"b2": 20}, y.where(), told)
		}
		assert.Equal(t, 200, y.call(admin.Enable, "b1"))
		assert.InDelta(t, y.now(), y.beliefOf("b1"), 0.001, "the list tells no start: it counts as started just now")
		time.Sleep(2 * time.Second) // it is warm
		y.asks(40)
		assert.Greater(t, y.where()["b1"], 5)
		y.end()
	})
}

// beliefOf is when a server counts as started.
func (y *yard) beliefOf(id string) float64 {
	index, _ := y.registry.Find(id)
	e, _ := y.underAdminState(y.endpoints.known[index])
	return e.StartedAt
}

// Danger: an attempt ordered before the word, on a connection that is slow to come up, is written after its grace; and
// the word may have counters as told before this proxy came to hear it.
func TestToldWhileConnecting(t *testing.T) {
	ban := func(y *yard) { assert.Equal(y.t, 200, y.call(admin.Disable, "b1")) }
	listed := func(text string) func(y *yard) { return func(y *yard) { y.tell(text) } }
	late := func(by time.Duration) func(y *yard) {
		return func(y *yard) {
			y.post(func() {
				y.applyEndpointList(List{Version: 2, NotifiedAt: time.Now().Add(-by), Entries: []discovery.Entry{entry("b1", balance.Draining, 0)}}, false)
			})
		}
	}
	for _, c := range []struct {
		name  string
		grace float64
		say   func(y *yard)
		got   int
	}{
		{"ban", 0.3, ban, 1}, {"ban", 0.02, ban, 0},
		{"leaving", 0.3, listed(change(2, "b1", "leaving", 0)), 1}, {"leaving", 0.02, listed(change(2, "b1", "leaving", 0)), 0},
		{"left", 0.02, listed(change(2, "b1", "left", 0)), 0},
		{"left out", 0.3, listed(`{"version":2,"full":true,"servers":[]}`), 1}, {"left out", 0.02, listed(`{"version":2,"full":true,"servers":[]}`), 0},
		{"heard late", 0.3, late(200 * time.Millisecond), 1}, {"heard too late", 0.3, late(400 * time.Millisecond), 0},
	} {
		synctest.Test(t, func(t *testing.T) {
			y := made(t, map[string][]string{"b1": {ok}}, func(l *BootstrapConfig) { l.DrainGrace = c.grace })
			y.slow = 60 * time.Millisecond
			y.begin()
			conn := y.client()
			go io.WriteString(conn, look)
			synctest.Wait()
			c.say(y)
			time.Sleep(100 * time.Millisecond)
			synctest.Wait()
			assert.Equal(t, c.got, y.where()["b1"], "%s, grace %v", c.name, c.grace)
			conn.Close()
			y.end()
		})
	}
}

// A list of 1,024, indented, in which all leave at once; one comes back under its id, and is the only one that is sent
// to.
func TestManyLeaveAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		y := serve(t, map[string][]string{"any": {ok}}, func(l *BootstrapConfig) { l.SlowStartDuration = 0 })
		say := func(version int, full bool, state balance.EndpointState, ids ...string) {
			l := List{Version: int64(version), Full: full}
			for _, id := range ids {
				l.Entries = append(l.Entries, entry(id, state, 0))
				l.Entries[len(l.Entries)-1].Addr += ":1"
			}
			text, err := json.MarshalIndent(l, "", "    ")
			assert.NoError(t, err)
			y.tell(string(text))
		}
		all := make([]string, 1024)
		for i := range all {
			all[i] = fmt.Sprint("s-", i)
		}
		answered := func() int { status, _, _, _ := y.ask(look); return status }
		say(2, true, balance.Ready, all...)
		assert.Equal(t, 200, answered())
		say(3, false, balance.Draining, all...)
		assert.Equal(t, 503, answered(), "all leave")
		say(4, false, balance.Removed, "s-700")
		say(5, false, balance.Ready, "s-700")
		for range 20 {
			assert.Equal(t, 200, answered())
			assert.Equal(t, "s-700:1", y.dials[len(y.dials)-1])
		}
		y.end()
	})
}

// A drained proxy says no at once, serves until the front has noticed, then lets go of all: what the rule asks for at 4
// s holds.
func TestDrain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		y := serve(t, map[string][]string{"b1": {ok}}, nil)
		time.Sleep(firstListTimeout)
		synctest.Wait()
		up := func() int { status, _, _, _ := y.ask("GET /up HTTP/1.1\r\n\r\n"); return status }
		assert.Equal(t, 200, up())
		kept := y.client()
		go io.WriteString(kept, look)
		answer(kept)
		assert.Equal(t, 200, y.call(admin.Drain, ""))
		drained := time.Now()
		assert.Equal(t, 503, up())
		assert.Equal(t, 200, y.call(admin.Ready, ""))
		for _, c := range []struct {
			after  time.Duration
			status int
			closes bool
		}{{200 * time.Millisecond, 200, false}, {700 * time.Millisecond, 200, true}, {1700 * time.Millisecond, 200, true},
			{1900 * time.Millisecond, 503, true}, {3900 * time.Millisecond, 503, true}} {
			time.Sleep(c.after - time.Since(drained))
			if c.after > 2*time.Second {
				kept.SetReadDeadline(time.Now().Add(time.Millisecond))
				_, err := kept.Read(make([]byte, 1))
				assert.Equal(t, io.EOF, err, "idle ones are closed")
			}
			status, h, _, err := y.ask(look)
			assert.NoError(t, err)
			assert.Equal(t, c.status, status, c.after)
			assert.Equal(t, c.closes, h.Close, c.after)
		}
		silent := y.client()
		time.Sleep(time.Second)
		_, err := silent.Write([]byte("x"))
		assert.Error(t, err, "one that comes and says nothing goes too")
		count, _ := y.conns.counts()
		assert.Zero(t, count)
		assert.Equal(t, 200, y.call(admin.Resume, ""))
		assert.Equal(t, 200, up())
		conn := y.client()
		go io.WriteString(conn, look)
		status, h, _, _ := answer(conn)
		assert.True(t, status == 200 && !h.Close)
		y.call(admin.Drain, "")
		y.call(admin.Resume, "")
		time.Sleep(5 * time.Second)
		go io.WriteString(conn, look)
		status, _, _, err = answer(conn)
		assert.NoError(t, err, "drained and resumed quickly: nothing was closed")
		assert.Equal(t, 200, status)
		conn.Close()
		y.call(admin.Drain, "")
		y.end() // SIGTERM in a drain
	})
}

// Danger: the door must answer whatever the owner has to do.
func TestDoorDoesNotWaitForTheOwner(t *testing.T) {
	y := made(t, map[string][]string{"b1": {ok}}, nil)
	y.process.rememberID("b1")
	for range maxQueuedEvents {
		y.loop.events <- func() {}
	}
	answered := make(chan int, 4)
	go func() {
		for _, act := range []admin.Action{admin.Disable, admin.Drain, admin.Enable, admin.Resume} {
			status, _ := y.Administer(admin.Call{Action: act, ID: "b1"})
			answered <- status
		}
	}()
	assert.Eventually(t, func() bool { return len(answered) == 4 }, time.Second, time.Millisecond, "it waits")
	for range len(answered) {
		assert.Equal(t, 200, <-answered)
	}
}

// Danger: the next process asks for an address as its operator file has it, and an accept queue that it does not find
// is lost.
func TestHandedOverAsAskedFor(t *testing.T) {
	y := made(t, nil, nil)
	ln, err := y.Listen(":0")
	assert.NoError(t, err)
	defer ln.Close()
	s, lns := y.handOver()
	assert.Equal(t, []string{":0"}, s.Listeners)
	assert.Len(t, lns, 1)
}
