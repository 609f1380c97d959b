package controlplane

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	core "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/types/known/anypb"

	"lockloom/assignment"
	"lockloom/internal/faultproxy"
)

func written(more string) string { return fmt.Sprintf(plain, more) }

const soon = 2500 * time.Millisecond // a drain is everywhere within this

// Danger: requests go on to a server that staff are about to stop. A drain is at every subscriber in time: one that is slow, one that
// refuses all, one that never acknowledges, and one whose stream was half open.
func TestDrainReachesEverybody(t *testing.T) {
	k := open(t, written(""), 5)
	way, err := faultproxy.Open(k.addr)
	require.NoError(t, err)
	t.Cleanup(way.Close)
	var all []*scripted
	for _, delta := range []bool{true, false} {
		for _, s := range []script{{id: "plain"}, {id: "slow", slow: 400 * time.Millisecond}, {id: "mute", mute: true}} {
			s.delta = delta
			all = append(all, k.subscribe(s))
		}
	}
	thin, err := faultproxy.Open(k.addr)
	require.NoError(t, err)
	t.Cleanup(thin.Close)
	thin.Set(faultproxy.Fault{Pace: 20_000, Delay: 20 * time.Millisecond})
	all = append(all, k.subscribe(script{id: "trickle", addr: thin.Addr(), delta: true}))
	refuser := k.subscribe(script{id: "refuser", delta: true, refuses: func(string, *anypb.Any) bool { return true }})
	half := k.subscribe(script{id: "half open", addr: way.Addr()})
	for _, s := range append(all, half) {
		s.until(3*time.Second, "holds endpoints", s.is("s0", core.HealthStatus_HEALTHY))
	}
	refuser.until(3*time.Second, "was told", func() bool { return strings.Contains(strings.Join(refuser.came, ";"), "endpoints p") })
	way.Set(faultproxy.Fault{Silent: true})
	time.Sleep(300 * time.Millisecond) // so that what is to be seen below is not what was on its way
	refuser.forget()
	began := time.Now()
	k.drain(0)
	for _, s := range all {
		s.until(soon, "is told of the drain", s.is("s0", core.HealthStatus_DRAINING))
		t.Logf("%s, delta %v: within %v", s.id, s.delta, time.Since(began))
	}
	refuser.until(soon, "is told, though it refuses", func() bool { return strings.Contains(strings.Join(refuser.came, ";"), "endpoints p") })
	assert.Eventually(t, func() bool { return !strings.Contains(fmt.Sprint(k.Subscribers()), "half open") }, 4*time.Second, 20*time.Millisecond,
		"a stream that is half open is ended")
	back := k.subscribe(script{id: "back", from: half})
	back.until(soon, "is told when it is back", back.is("s0", core.HealthStatus_DRAINING))
}

// Danger: a subscriber that does not read any more holds its stream, and what it should hear, for ever.
func TestWhoDoesNotReadIsCut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		began := time.Now()
		err := within(ctx, func() error { <-ctx.Done(); return ctx.Err() })
		assert.ErrorContains(t, err, "nothing read for 5s")
		assert.Equal(t, sendFor, time.Since(began))
	})
}

// A subscriber that comes back with what it held is told what differs and no more, also by another run that says the same.
func TestComesBack(t *testing.T) {
	for _, delta := range []bool{true, false} {
		k := open(t, written(""), 5)
		first := k.subscribe(script{delta: delta, id: "x"})
		first.until(3*time.Second, "holds all", first.whole)
		time.Sleep(200 * time.Millisecond) // its acknowledgements are on their way
		first.close()
		other := open(t, written(""), 5)
		for _, at := range []*station{k, other} {
			again := at.subscribe(script{delta: delta, id: "x", from: first})
			time.Sleep(300 * time.Millisecond)
			for _, line := range again.history() {
				assert.False(t, strings.Contains(line, " p") || strings.Contains(line, allRoutes), "delta %v: %v", delta, line)
			}
			again.close()
		}
		k.drain(1)
		again := k.subscribe(script{delta: delta, id: "x", from: first})
		again.until(soon, "is told", again.is("s1", core.HealthStatus_DRAINING))
		time.Sleep(200 * time.Millisecond)
		for _, line := range again.history() {
			assert.NotContains(t, line, allRoutes, "routes are as they were")
		}
		again.close()
	}
}

const two = `[[pool]]
name = "q"
[[route]]
name = "more"
prefix = "/q"
pool = "q"
`

// Danger: a route that leads to a pool which is not there yet, or not there any more, fails what takes it.
func TestMadeBeforeBroken(t *testing.T) {
	for _, delta := range []bool{true, false} {
		k := open(t, written(""), 2)
		k.mu.Lock()
		k.sights["q"] = sight(2)
		k.mu.Unlock()
		s := k.subscribe(script{delta: delta, pools: []string{"p", "q"}})
		s.until(3*time.Second, "holds all", s.whole)
		time.Sleep(200 * time.Millisecond)
		s.forget()
		require.NoError(t, k.Operate(setupOf(t, written("")+two)))
		k.see()
		at := func(part string) int {
			for i, line := range s.came {
				if strings.Contains(line, part) {
					return i
				}
			}
			return -1
		}
		s.until(soon, "has the route", func() bool { return at("routes") >= 0 && at("endpoints q") >= 0 })
		s.mu.Lock()
		assert.True(t, at("clusters") >= 0 && at("clusters") < at("routes"), "%v", s.came)
		s.mu.Unlock()
		time.Sleep(100 * time.Millisecond)
		s.forget()
		require.NoError(t, k.Operate(setupOf(t, written(""))))
		gone := func() bool { return s.holds[urls[clusters]]["q"] == nil }
		s.until(soon, "has no more of the pool", gone)
		s.mu.Lock()
		assert.True(t, at("routes") >= 0 && at("routes") < at("clusters"), "delta %v: %v", delta, s.came)
		s.mu.Unlock()
		s.close()
	}
}

// One bad resource keeps no other from a subscriber; its last good version stands there, and staff see that.
func TestRefused(t *testing.T) {
	for _, delta := range []bool{true, false} {
		k := open(t, written("")+two, 2)
		k.mu.Lock()
		k.sights["q"] = sight(3)
		k.mu.Unlock()
		k.see()
		s := k.subscribe(script{delta: delta, id: "r", pools: []string{"p", "q"}, refuses: func(name string, b *anypb.Any) bool {
			return name == "q" && strings.Contains(b.String(), "DRAINING")
		}})
		s.until(3*time.Second, "holds both", func() bool { return len(s.holds[urls[endpoints]]) == 2 })
		k.mu.Lock()
		q := sight(3)
		q.Servers[0].Draining = true
		k.sights["q"] = q
		k.mu.Unlock()
		k.drain(1)
		s.until(soon, "is told of the one", func() bool {
			b := s.holds[urls[endpoints]]["p"]
			return b != nil && strings.Contains(b.String(), "DRAINING")
		})
		s.mu.Lock()
		assert.NotContains(t, s.holds[urls[endpoints]]["q"].String(), "DRAINING", "the last good one stands")
		s.mu.Unlock()
		require.Eventually(t, func() bool {
			table := fmt.Sprintf("%+v", k.Subscribers())
			return strings.Contains(table, "Refused:[q]") && strings.Contains(table, "no q")
		}, 3*time.Second, 10*time.Millisecond, "%+v", k.Subscribers())
		s.close()
	}
}

// Danger: a service that starts anew knows nothing bad of any server, and its list may be empty.
func TestStartsAnew(t *testing.T) {
	file := filepath.Join(t.TempDir(), "memory.json")
	with := written(fmt.Sprintf("memory = %q", file))
	k := open(t, with, 4)
	k.change(func(s *assignment.Observation) { s.Servers[2].Paused = true })
	first := k.subscribe(script{id: "x"})
	first.until(3*time.Second, "is told of the pause", first.is("s2", core.HealthStatus_UNHEALTHY))
	k.stop()
	next := open(t, with, 0)
	s := next.subscribe(script{id: "x"})
	s.until(3*time.Second, "is told of the pause by the next", s.is("s2", core.HealthStatus_UNHEALTHY))
	time.Sleep(200 * time.Millisecond)
	s.mu.Lock()
	_, _, there := s.told("s0")
	assert.True(t, there, "an empty list is doubted")
	s.mu.Unlock()
	next.stop()

	whole, err := os.ReadFile(file)
	require.NoError(t, err)
	for what, text := range map[string]string{"torn": string(whole[:len(whole)/2]), "foreign": "hello", "empty": "", "of another form": `{"format":9}`,
		"changed": strings.Replace(string(whole), `"s1"`, `"s7"`, 1)} {
		require.NoError(t, os.WriteFile(file, []byte(text), 0o600))
		k := open(t, with, 4)
		assert.Contains(t, fmt.Sprint(k.log.AllEntries()[0].Message), "passed over", what)
		assert.Contains(t, fmt.Sprint(k.log.AllEntries()[0].Data["error"]), file, what)
		k.stop()
	}
}

// Danger: a service that has not seen its pools yet knows of no endpoints; who comes back to it would be told that all are gone.
func TestTellsNothingBeforeItSees(t *testing.T) {
	k := open(t, written(""), 3)
	for _, delta := range []bool{true, false} {
		first := k.subscribe(script{id: "x", delta: delta})
		first.until(3*time.Second, "holds all", first.whole)
		time.Sleep(200 * time.Millisecond)
		first.close()
		next := begin(t, written(""), 3)
		s := next.subscribe(script{id: "x", delta: delta, from: first})
		require.Eventually(t, func() bool { return len(next.Subscribers()) == 1 }, 3*time.Second, 5*time.Millisecond)
		time.Sleep(200 * time.Millisecond)
		assert.Empty(t, s.history(), "delta %v", delta)
		next.drain(0)
		s.until(soon, "is told once it sees", s.is("s0", core.HealthStatus_DRAINING))
		s.mu.Lock()
		assert.NotContains(t, fmt.Sprint(s.came), "-p", "and never that they are gone")
		s.mu.Unlock()
	}
}

func TestBounds(t *testing.T) {
	k := open(t, written("subscribers = 1"), 1)
	s := k.subscribe(script{id: "x"})
	s.until(3*time.Second, "holds all", s.whole)
	more := k.subscribe(script{id: "y"})
	<-more.over
	assert.ErrorContains(t, more.err, "1 subscribers: no more are taken")
	s.close()
	names := make([]string, namesMost+1)
	for i := range names {
		names[i] = fmt.Sprint(i)
	}
	require.Eventually(t, func() bool { return len(k.Subscribers()) == 0 }, 3*time.Second, 5*time.Millisecond)
	many := k.subscribe(script{id: "z", pools: names, delta: true})
	<-many.over
	assert.ErrorContains(t, many.err, "more than 10000 names")
	sub := &subscriber{}
	sub.waits[endpoints] = time.Now().Add(-ackFor - time.Second)
	kind, late := sub.late()
	assert.True(t, late && kind == endpoints, "who acknowledges nothing is cut")
}

// What a node says of itself narrows what it is told, and no further than to what it may see.
func TestSubsets(t *testing.T) {
	k := open(t, written("[[control.subset]]\nnode = \"shop-*\"\nzone = \"a\"\npools = [\"q\"]\n")+two, 2)
	k.mu.Lock()
	k.sights["q"] = sight(2)
	k.mu.Unlock()
	k.see()
	for _, c := range []struct {
		id, zone string
		pools    int
	}{{"shop-1", "a", 1}, {"shop-1", "b", 2}, {"else", "a", 2}} {
		s := k.subscribe(script{id: c.id, zone: c.zone, pools: []string{"p", "q"}})
		s.until(3*time.Second, "holds all", s.whole)
		s.mu.Lock()
		assert.Len(t, s.holds[urls[clusters]], c.pools, "%+v", c)
		assert.Contains(t, s.holds[urls[clusters]], "q")
		s.mu.Unlock()
	}
	assert.Equal(t, "q\n", k.narrowed("q\nr\n", &core.Node{Id: "shop-1", Locality: &core.Locality{Zone: "a"}}))
}

// Weights and zones: what a pool's assignment says reaches each kind of subscriber.
func TestZones(t *testing.T) {
	k := open(t, written("local = true"), 4)
	s := k.subscribe(script{zone: "a", only: true, delta: true})
	s.until(3*time.Second, "is told", s.is("s0", core.HealthStatus_HEALTHY))
	s.mu.Lock()
	defer s.mu.Unlock()
	assert.Contains(t, fmt.Sprint(s.holds[urls[endpoints]]["p"]), "priority:1")
}
