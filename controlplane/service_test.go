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

func configText(more string) string { return fmt.Sprintf(plainConfig, more) }

const maxDrainDelay = 2500 * time.Millisecond // a drain is everywhere within this

// Danger: requests go on to a server that staff are about to stop. A drain is at every subscriber in time: one that is slow, one that
// refuses all, one that never acknowledges, and one whose stream was half open.
func TestDrainReachesEverySubscriber(t *testing.T) {
	k := startService(t, configText(""), 5)
	way, err := faultproxy.Open(k.addr)
	require.NoError(t, err)
	t.Cleanup(way.Close)
	var all []*testSubscriber
	for _, delta := range []bool{true, false} {
		for _, s := range []subscriberOptions{{id: "plain"}, {id: "slow", ackDelay: 400 * time.Millisecond}, {id: "mute", neverAcks: true}} {
			s.delta = delta
			all = append(all, k.subscribe(s))
		}
	}
	thin, err := faultproxy.Open(k.addr)
	require.NoError(t, err)
	t.Cleanup(thin.Close)
	thin.Set(faultproxy.Fault{Pace: 20_000, Delay: 20 * time.Millisecond})
	all = append(all, k.subscribe(subscriberOptions{id: "trickle", addr: thin.Addr(), delta: true}))
	refuser := k.subscribe(subscriberOptions{id: "refuser", delta: true, nacks: func(string, *anypb.Any) bool { return true }})
	half := k.subscribe(subscriberOptions{id: "half open", addr: way.Addr()})
	for _, s := range append(all, half) {
		s.waitUntil(3*time.Second, "holds endpoints", s.hasHealth("s0", core.HealthStatus_HEALTHY))
	}
	refuser.waitUntil(3*time.Second, "was told", func() bool { return strings.Contains(strings.Join(refuser.received, ";"), "endpoints p") })
	way.Set(faultproxy.Fault{Silent: true})
	time.Sleep(300 * time.Millisecond) // so that what is to be seen below is not what was on its way
	refuser.clearReceived()
	began := time.Now()
	k.drain(0)
	for _, s := range all {
		s.waitUntil(maxDrainDelay, "is told of the drain", s.hasHealth("s0", core.HealthStatus_DRAINING))
		t.Logf("%s, delta %v: within %v", s.id, s.delta, time.Since(began))
	}
	refuser.waitUntil(maxDrainDelay, "is told, though it refuses", func() bool { return strings.Contains(strings.Join(refuser.received, ";"), "endpoints p") })
	assert.Eventually(t, func() bool { return !strings.Contains(fmt.Sprint(k.Subscribers()), "half open") }, 4*time.Second, 20*time.Millisecond,
		"a stream that is half open is ended")
	back := k.subscribe(subscriberOptions{id: "back", resumeFrom: half})
	back.waitUntil(maxDrainDelay, "is told when it is back", back.hasHealth("s0", core.HealthStatus_DRAINING))
}

// Danger: a subscriber that does not read any more holds its stream, and what it should hear, for ever.
func TestSubscriberThatDoesNotReadIsDisconnected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		began := time.Now()
		err := sendWithTimeout(ctx, func() error { <-ctx.Done(); return ctx.Err() })
		assert.ErrorContains(t, err, "nothing read for 5s")
		assert.Equal(t, sendTimeout, time.Since(began))
	})
}

// A subscriber that comes back with what it held is told what differs and no more, also by another run that says the same.
func TestReconnectedSubscriberReceivesOnlyChanges(t *testing.T) {
	for _, delta := range []bool{true, false} {
		k := startService(t, configText(""), 5)
		first := k.subscribe(subscriberOptions{delta: delta, id: "x"})
		first.waitUntil(3*time.Second, "holds all", first.isComplete)
		time.Sleep(200 * time.Millisecond) // its acknowledgements are on their way
		first.close()
		other := startService(t, configText(""), 5)
		for _, at := range []*testService{k, other} {
			again := at.subscribe(subscriberOptions{delta: delta, id: "x", resumeFrom: first})
			time.Sleep(300 * time.Millisecond)
			for _, line := range again.receivedSoFar() {
				assert.False(t, strings.Contains(line, " p") || strings.Contains(line, allRoutesName), "delta %v: %v", delta, line)
			}
			again.close()
		}
		k.drain(1)
		again := k.subscribe(subscriberOptions{delta: delta, id: "x", resumeFrom: first})
		again.waitUntil(maxDrainDelay, "is told", again.hasHealth("s1", core.HealthStatus_DRAINING))
		time.Sleep(200 * time.Millisecond)
		for _, line := range again.receivedSoFar() {
			assert.NotContains(t, line, allRoutesName, "routes are as they were")
		}
		again.close()
	}
}

const secondPool = `[[pool]]
name = "q"
[[route]]
name = "more"
prefix = "/q"
pool = "q"
`

// Danger: a route that leads to a pool which is not there yet, or not there any more, fails what takes it.
func TestReferencedResourcesArriveFirstAndLeaveLast(t *testing.T) {
	for _, delta := range []bool{true, false} {
		k := startService(t, configText(""), 2)
		k.mu.Lock()
		k.observations["q"] = observationOf(2)
		k.mu.Unlock()
		s := k.subscribe(subscriberOptions{delta: delta, pools: []string{"p", "q"}})
		s.waitUntil(3*time.Second, "holds all", s.isComplete)
		time.Sleep(200 * time.Millisecond)
		s.clearReceived()
		require.NoError(t, k.Reload(parseConfig(t, configText("")+secondPool)))
		k.observe()
		at := func(part string) int {
			for i, line := range s.received {
				if strings.Contains(line, part) {
					return i
				}
			}
			return -1
		}
		s.waitUntil(maxDrainDelay, "has the route", func() bool { return at("routes") >= 0 && at("endpoints q") >= 0 })
		s.mu.Lock()
		assert.True(t, at("clusters") >= 0 && at("clusters") < at("routes"), "%v", s.received)
		s.mu.Unlock()
		time.Sleep(100 * time.Millisecond)
		s.clearReceived()
		require.NoError(t, k.Reload(parseConfig(t, configText(""))))
		gone := func() bool { return s.resources[typeURLs[typeCluster]]["q"] == nil }
		s.waitUntil(maxDrainDelay, "has no more of the pool", gone)
		s.mu.Lock()
		assert.True(t, at("routes") >= 0 && at("routes") < at("clusters"), "delta %v: %v", delta, s.received)
		s.mu.Unlock()
		s.close()
	}
}

// One bad resource keeps no other from a subscriber; its last good version stands there, and staff see that.
func TestNackedResourceKeepsItsLastGoodVersion(t *testing.T) {
	for _, delta := range []bool{true, false} {
		k := startService(t, configText("")+secondPool, 2)
		k.mu.Lock()
		k.observations["q"] = observationOf(3)
		k.mu.Unlock()
		k.observe()
		s := k.subscribe(subscriberOptions{delta: delta, id: "r", pools: []string{"p", "q"}, nacks: func(name string, b *anypb.Any) bool {
			return name == "q" && strings.Contains(b.String(), "DRAINING")
		}})
		s.waitUntil(3*time.Second, "holds both", func() bool { return len(s.resources[typeURLs[typeEndpoint]]) == 2 })
		k.mu.Lock()
		q := observationOf(3)
		q.Servers[0].Draining = true
		k.observations["q"] = q
		k.mu.Unlock()
		k.drain(1)
		s.waitUntil(maxDrainDelay, "is told of the one", func() bool {
			b := s.resources[typeURLs[typeEndpoint]]["p"]
			return b != nil && strings.Contains(b.String(), "DRAINING")
		})
		s.mu.Lock()
		assert.NotContains(t, s.resources[typeURLs[typeEndpoint]]["q"].String(), "DRAINING", "the last good one stands")
		s.mu.Unlock()
		require.Eventually(t, func() bool {
			table := fmt.Sprintf("%+v", k.Subscribers())
			return strings.Contains(table, "Nacked:[q]") && strings.Contains(table, "no q")
		}, 3*time.Second, 10*time.Millisecond, "%+v", k.Subscribers())
		s.close()
	}
}

// Danger: a service that starts anew knows nothing bad of any server, and its list may be empty.
func TestSnapshotIsRestoredAtStart(t *testing.T) {
	file := filepath.Join(t.TempDir(), "memory.json")
	with := configText(fmt.Sprintf("memory = %q", file))
	k := startService(t, with, 4)
	k.changePool(func(s *assignment.Observation) { s.Servers[2].Paused = true })
	first := k.subscribe(subscriberOptions{id: "x"})
	first.waitUntil(3*time.Second, "is told of the pause", first.hasHealth("s2", core.HealthStatus_UNHEALTHY))
	k.stop()
	next := startService(t, with, 0)
	s := next.subscribe(subscriberOptions{id: "x"})
	s.waitUntil(3*time.Second, "is told of the pause by the next", s.hasHealth("s2", core.HealthStatus_UNHEALTHY))
	time.Sleep(200 * time.Millisecond)
	s.mu.Lock()
	_, _, there := s.server("s0")
	assert.True(t, there, "an empty list is doubted")
	s.mu.Unlock()
	next.stop()

	whole, err := os.ReadFile(file)
	require.NoError(t, err)
	for what, text := range map[string]string{"torn": string(whole[:len(whole)/2]), "foreign": "hello", "empty": "", "of another form": `{"format":9}`,
		"changed": strings.Replace(string(whole), `"s1"`, `"s7"`, 1)} {
		require.NoError(t, os.WriteFile(file, []byte(text), 0o600))
		k := startService(t, with, 4)
		assert.Contains(t, fmt.Sprint(k.log.AllEntries()[0].Message), "ignored", what)
		assert.Contains(t, fmt.Sprint(k.log.AllEntries()[0].Data["error"]), file, what)
		k.stop()
	}
}

// Danger: a service that has not seen its pools yet knows of no endpoints; who comes back to it would be told that all are gone.
func TestNothingIsSentBeforeTheFirstObservation(t *testing.T) {
	k := startService(t, configText(""), 3)
	for _, delta := range []bool{true, false} {
		first := k.subscribe(subscriberOptions{id: "x", delta: delta})
		first.waitUntil(3*time.Second, "holds all", first.isComplete)
		time.Sleep(200 * time.Millisecond)
		first.close()
		next := startWithoutObservation(t, configText(""), 3)
		s := next.subscribe(subscriberOptions{id: "x", delta: delta, resumeFrom: first})
		require.Eventually(t, func() bool { return len(next.Subscribers()) == 1 }, 3*time.Second, 5*time.Millisecond)
		time.Sleep(200 * time.Millisecond)
		assert.Empty(t, s.receivedSoFar(), "delta %v", delta)
		next.drain(0)
		s.waitUntil(maxDrainDelay, "is told once it sees", s.hasHealth("s0", core.HealthStatus_DRAINING))
		s.mu.Lock()
		assert.NotContains(t, fmt.Sprint(s.received), "-p", "and never that they are gone")
		s.mu.Unlock()
	}
}

func TestLimitsOnSubscribersNamesAndAcknowledgements(t *testing.T) {
	k := startService(t, configText("subscribers = 1"), 1)
	s := k.subscribe(subscriberOptions{id: "x"})
	s.waitUntil(3*time.Second, "holds all", s.isComplete)
	more := k.subscribe(subscriberOptions{id: "y"})
	<-more.done
	assert.ErrorContains(t, more.err, "1 subscribers: no more are taken")
	s.close()
	names := make([]string, maxNames+1)
	for i := range names {
		names[i] = fmt.Sprint(i)
	}
	require.Eventually(t, func() bool { return len(k.Subscribers()) == 0 }, 3*time.Second, 5*time.Millisecond)
	many := k.subscribe(subscriberOptions{id: "z", pools: names, delta: true})
	<-many.done
	assert.ErrorContains(t, many.err, "more than 10000 names")
	sub := &subscriber{}
	sub.unackedSince[typeEndpoint] = time.Now().Add(-ackTimeout - time.Second)
	kind, late := sub.overdueAck()
	assert.True(t, late && kind == typeEndpoint, "who acknowledges nothing is cut")
}

// What a node says of itself narrows what it is told, and no further than to what it may see.
func TestSubsetNarrowsPoolsByNode(t *testing.T) {
	k := startService(t, configText("[[control.subset]]\nnode = \"shop-*\"\nzone = \"a\"\npools = [\"q\"]\n")+secondPool, 2)
	k.mu.Lock()
	k.observations["q"] = observationOf(2)
	k.mu.Unlock()
	k.observe()
	for _, c := range []struct {
		id, zone string
		pools    int
	}{{"shop-1", "a", 1}, {"shop-1", "b", 2}, {"else", "a", 2}} {
		s := k.subscribe(subscriberOptions{id: c.id, zone: c.zone, pools: []string{"p", "q"}})
		s.waitUntil(3*time.Second, "holds all", s.isComplete)
		s.mu.Lock()
		assert.Len(t, s.resources[typeURLs[typeCluster]], c.pools, "%+v", c)
		assert.Contains(t, s.resources[typeURLs[typeCluster]], "q")
		s.mu.Unlock()
	}
	assert.Equal(t, poolFilter("q\n"), k.subsetPools("q\nr\n", &core.Node{Id: "shop-1", Locality: &core.Locality{Zone: "a"}}))
}

// Weights and zones: what a pool's assignment says reaches each kind of subscriber.
func TestZoneSetsPriority(t *testing.T) {
	k := startService(t, configText("local = true"), 4)
	s := k.subscribe(subscriberOptions{zone: "a", endpointsOnly: true, delta: true})
	s.waitUntil(3*time.Second, "is told", s.hasHealth("s0", core.HealthStatus_HEALTHY))
	s.mu.Lock()
	defer s.mu.Unlock()
	assert.Contains(t, fmt.Sprint(s.resources[typeURLs[typeEndpoint]]["p"]), "priority:1")
}
