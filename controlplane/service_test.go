package controlplane

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"slices"
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

const (
	// maxDrainDelay limits the time that a drain takes to reach a subscriber.
	maxDrainDelay = 2500 * time.Millisecond
	// startTimeout limits the time until a new subscriber has received all resources.
	startTimeout = 3 * time.Second
	// settleDelay lets acknowledgements in flight arrive.
	settleDelay = 200 * time.Millisecond
)

// Guards against a drain that a subscriber receives late or never, so that it sends requests to a server that is about
// to be stopped. Some subscribers are slow, nack everything, never acknowledge, or have a half-open connection.
func TestDrainReachesEverySubscriber(t *testing.T) {
	service := startService(t, configText(""), 5)
	silentProxy, err := faultproxy.Open(service.addr)
	require.NoError(t, err)
	t.Cleanup(silentProxy.Close)
	slowProxy, err := faultproxy.Open(service.addr)
	require.NoError(t, err)
	t.Cleanup(slowProxy.Close)
	slowProxy.SetFault(faultproxy.Fault{BytesPerSecond: 20_000, Delay: 20 * time.Millisecond})
	var subscribers []*testSubscriber
	for _, delta := range []bool{true, false} {
		for _, options := range []subscriberOptions{
			{id: "plain"}, {id: "slow", ackDelay: 400 * time.Millisecond}, {id: "never acks", neverAcks: true},
		} {
			options.delta = delta
			subscribers = append(subscribers, service.subscribe(options))
		}
	}
	slow := service.subscribe(subscriberOptions{id: "slow connection", addr: slowProxy.Addr(), delta: true})
	subscribers = append(subscribers, slow)
	nacksAll := service.subscribe(subscriberOptions{id: "nacks all", delta: true,
		nacks: func(string, *anypb.Any) bool { return true }})
	halfOpen := service.subscribe(subscriberOptions{id: "half open", addr: silentProxy.Addr()})
	for _, subscriber := range append(slices.Clone(subscribers), halfOpen) {
		subscriber.waitUntil(startTimeout, "has endpoints", subscriber.hasHealth("s0", core.HealthStatus_HEALTHY))
	}
	receivedEndpoints := func() bool { return strings.Contains(strings.Join(nacksAll.received, ";"), "endpoints p") }
	nacksAll.waitUntil(startTimeout, "received endpoints", receivedEndpoints)
	silentProxy.SetFault(faultproxy.Fault{Silent: true})
	time.Sleep(300 * time.Millisecond) // what is checked below must not be a response sent before the drain
	nacksAll.clearReceived()
	start := time.Now()
	service.drain(0)
	for _, subscriber := range subscribers {
		subscriber.waitUntil(maxDrainDelay, "receives the drain", subscriber.hasHealth("s0", core.HealthStatus_DRAINING))
		t.Logf("%s, delta %v: within %v", subscriber.id, subscriber.delta, time.Since(start))
	}
	nacksAll.waitUntil(maxDrainDelay, "receives the drain", receivedEndpoints)
	isGone := func() bool { return !strings.Contains(fmt.Sprint(service.Subscribers()), "half open") }
	assert.Eventually(t, isGone, 4*time.Second, 20*time.Millisecond, "a half-open stream must end")
	reconnected := service.subscribe(subscriberOptions{id: "reconnected", resumeFrom: halfOpen})
	reconnected.waitUntil(maxDrainDelay, "receives the drain", reconnected.hasHealth("s0", core.HealthStatus_DRAINING))
}

// Guards against a subscriber that stops reading, and so blocks its stream forever and never receives newer changes.
func TestSubscriberThatDoesNotReadIsDisconnected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		start := time.Now()
		err := sendWithTimeout(ctx, func() error { <-ctx.Done(); return ctx.Err() })
		assert.ErrorContains(t, err, "nothing read for 5s")
		assert.Equal(t, sendTimeout, time.Since(start))
	})
}

// A subscriber that reconnects and states the versions that it has receives only the resources whose version differs,
// also from another run of the service with the same resources.
func TestReconnectedSubscriberReceivesOnlyChanges(t *testing.T) {
	for _, delta := range []bool{true, false} {
		service := startService(t, configText(""), 5)
		first := service.subscribe(subscriberOptions{delta: delta, id: "x"})
		first.waitUntil(startTimeout, "has everything", first.isComplete)
		time.Sleep(settleDelay)
		first.close()
		otherRun := startService(t, configText(""), 5)
		for _, target := range []*testService{service, otherRun} {
			again := target.subscribe(subscriberOptions{delta: delta, id: "x", resumeFrom: first})
			time.Sleep(300 * time.Millisecond)
			for _, line := range again.receivedSoFar() {
				known := strings.Contains(line, " p") || strings.Contains(line, allRoutesName)
				assert.False(t, known, "delta %v: %v", delta, line)
			}
			again.close()
		}
		service.drain(1)
		again := service.subscribe(subscriberOptions{delta: delta, id: "x", resumeFrom: first})
		again.waitUntil(maxDrainDelay, "receives the drain", again.hasHealth("s1", core.HealthStatus_DRAINING))
		time.Sleep(settleDelay)
		for _, line := range again.receivedSoFar() {
			assert.NotContains(t, line, allRoutesName, "routes did not change")
		}
		again.close()
	}
}

// Guards against a subscriber that receives a route before its pool, or the removal of a pool before that of its route:
// requests on a route without a pool would fail.
func TestDependenciesArriveFirstAndLeaveLast(t *testing.T) {
	for _, delta := range []bool{true, false} {
		service := startService(t, configText(""), 2)
		service.setSecondPool(observationOf(2))
		subscriber := service.subscribe(subscriberOptions{delta: delta, pools: []string{"p", "q"}})
		subscriber.waitUntil(startTimeout, "has everything", subscriber.isComplete)
		time.Sleep(settleDelay)
		subscriber.clearReceived()
		require.NoError(t, service.Reload(parseConfig(t, configText("")+secondPool)))
		service.observe()
		position := func(part string) int {
			return slices.IndexFunc(subscriber.received, func(line string) bool { return strings.Contains(line, part) })
		}
		subscriber.waitUntil(maxDrainDelay, "has the route", func() bool {
			return position("routes") >= 0 && position("endpoints q") >= 0
		})
		subscriber.mu.Lock()
		assert.True(t, position("clusters") >= 0 && position("clusters") < position("routes"), "%v", subscriber.received)
		subscriber.mu.Unlock()
		time.Sleep(100 * time.Millisecond)
		subscriber.clearReceived()
		require.NoError(t, service.Reload(parseConfig(t, configText(""))))
		subscriber.waitUntil(maxDrainDelay, "has lost the pool", func() bool {
			return subscriber.resources[typeURLs[typeCluster]]["q"] == nil
		})
		subscriber.mu.Lock()
		assert.True(t, position("routes") >= 0 && position("routes") < position("clusters"),
			"delta %v: %v", delta, subscriber.received)
		subscriber.mu.Unlock()
		subscriber.close()
	}
}

// Guards against a bad resource that keeps others from a subscriber. The subscriber keeps the last good version of the
// bad resource, and the status shows the nack.
func TestNackedResourceKeepsItsLastGoodVersion(t *testing.T) {
	for _, delta := range []bool{true, false} {
		service := startService(t, configText("")+secondPool, 2)
		service.setSecondPool(observationOf(3))
		service.observe()
		subscriber := service.subscribe(subscriberOptions{
			delta: delta,
			id:    "r",
			pools: []string{"p", "q"},
			nacks: func(name string, body *anypb.Any) bool {
				return name == "q" && strings.Contains(body.String(), "DRAINING")
			},
		})
		subscriber.waitUntil(startTimeout, "has both pools", func() bool {
			return len(subscriber.resources[typeURLs[typeEndpoint]]) == 2
		})
		draining := observationOf(3)
		draining.Servers[0].Draining = true
		service.setSecondPool(draining)
		service.drain(1)
		subscriber.waitUntil(maxDrainDelay, "receives the good resource", func() bool {
			body := subscriber.resources[typeURLs[typeEndpoint]]["p"]
			return body != nil && strings.Contains(body.String(), "DRAINING")
		})
		subscriber.mu.Lock()
		assert.NotContains(t, subscriber.resources[typeURLs[typeEndpoint]]["q"].String(), "DRAINING",
			"the last good version stays in effect")
		subscriber.mu.Unlock()
		require.Eventually(t, func() bool {
			status := fmt.Sprintf("%+v", service.Subscribers())
			return strings.Contains(status, "Nacked:[q]") && strings.Contains(status, "no q")
		}, startTimeout, 10*time.Millisecond, "%+v", service.Subscribers())
		subscriber.close()
	}
}

// Guards against a restarted service that sends requests to paused servers again, or removes all servers because its
// endpoint list is still empty.
func TestSnapshotIsRestoredAtStart(t *testing.T) {
	file := filepath.Join(t.TempDir(), "memory.json")
	text := configText(fmt.Sprintf("memory = %q", file))
	service := startService(t, text, 4)
	service.changePool(func(o *assignment.Observation) { o.Servers[2].Paused = true })
	first := service.subscribe(subscriberOptions{id: "x"})
	first.waitUntil(startTimeout, "receives the pause", first.hasHealth("s2", core.HealthStatus_UNHEALTHY))
	service.stop()
	next := startService(t, text, 0)
	subscriber := next.subscribe(subscriberOptions{id: "x"})
	subscriber.waitUntil(startTimeout, "receives the pause from the next service",
		subscriber.hasHealth("s2", core.HealthStatus_UNHEALTHY))
	time.Sleep(settleDelay)
	subscriber.mu.Lock()
	_, ok := subscriber.serverHealth("s0")
	assert.True(t, ok, "an empty endpoint list must not remove the servers")
	subscriber.mu.Unlock()
	next.stop()

	snapshot, err := os.ReadFile(file)
	require.NoError(t, err)
	for kind, content := range map[string]string{
		"incomplete":        string(snapshot[:len(snapshot)/2]),
		"foreign":           "hello",
		"empty":             "",
		"of another format": `{"format":9}`,
		"changed":           strings.Replace(string(snapshot), `"s1"`, `"s7"`, 1),
	} {
		require.NoError(t, os.WriteFile(file, []byte(content), 0o600))
		service := startService(t, text, 4)
		entry := service.log.AllEntries()[0]
		assert.Contains(t, fmt.Sprint(entry.Message), "ignored", kind)
		assert.Contains(t, fmt.Sprint(entry.Data["error"]), file, kind)
		service.stop()
	}
}

// Guards against a service that, before its first observation, sends the removal of all endpoints to a reconnected
// subscriber.
func TestNothingIsSentBeforeTheFirstObservation(t *testing.T) {
	service := startService(t, configText(""), 3)
	for _, delta := range []bool{true, false} {
		first := service.subscribe(subscriberOptions{id: "x", delta: delta})
		first.waitUntil(startTimeout, "has everything", first.isComplete)
		time.Sleep(settleDelay)
		first.close()
		next := startWithoutObservation(t, configText(""), 3)
		subscriber := next.subscribe(subscriberOptions{id: "x", delta: delta, resumeFrom: first})
		isConnected := func() bool { return len(next.Subscribers()) == 1 }
		require.Eventually(t, isConnected, startTimeout, 5*time.Millisecond)
		time.Sleep(settleDelay)
		assert.Empty(t, subscriber.receivedSoFar(), "delta %v", delta)
		next.drain(0)
		subscriber.waitUntil(maxDrainDelay, "receives the drain once it is observed",
			subscriber.hasHealth("s0", core.HealthStatus_DRAINING))
		subscriber.mu.Lock()
		assert.NotContains(t, fmt.Sprint(subscriber.received), "-p", "endpoints must not be sent as removed")
		subscriber.mu.Unlock()
	}
}

func TestLimitsOnSubscribersNamesAndAcknowledgements(t *testing.T) {
	silent := &subscriber{}
	silent.unackedSince[typeEndpoint] = time.Now().Add(-ackTimeout - time.Second)
	kind, overdue := silent.overdueAck()
	assert.True(t, overdue && kind == typeEndpoint, "a subscriber that acknowledges nothing is disconnected")
	service := startService(t, configText("subscribers = 1"), 1)
	subscriber := service.subscribe(subscriberOptions{id: "x"})
	subscriber.waitUntil(startTimeout, "has everything", subscriber.isComplete)
	tooMany := service.subscribe(subscriberOptions{id: "y"})
	<-tooMany.done
	assert.ErrorContains(t, tooMany.err, "1 subscribers: no more are taken")
	subscriber.close()
	names := make([]string, maxNames+1)
	for i := range names {
		names[i] = fmt.Sprint(i)
	}
	hasNone := func() bool { return len(service.Subscribers()) == 0 }
	require.Eventually(t, hasNone, startTimeout, 5*time.Millisecond)
	manyNames := service.subscribe(subscriberOptions{id: "z", pools: names, delta: true})
	<-manyNames.done
	assert.ErrorContains(t, manyNames.err, "more than 10000 names")
}

// The pools that a node receives depend on its id and zone, and are always among the allowed ones.
func TestSubsetNarrowsPoolsByNode(t *testing.T) {
	subset := "[[control.subset]]\nnode = \"shop-*\"\nzone = \"a\"\npools = [\"q\"]\n"
	service := startService(t, configText(subset)+secondPool, 2)
	service.setSecondPool(observationOf(2))
	service.observe()
	for _, c := range []struct {
		id, zone string
		pools    int
	}{{"shop-1", "a", 1}, {"shop-1", "b", 2}, {"else", "a", 2}} {
		subscriber := service.subscribe(subscriberOptions{id: c.id, zone: c.zone, pools: []string{"p", "q"}})
		subscriber.waitUntil(startTimeout, "has everything", subscriber.isComplete)
		subscriber.mu.Lock()
		assert.Len(t, subscriber.resources[typeURLs[typeCluster]], c.pools, "%+v", c)
		assert.Contains(t, subscriber.resources[typeURLs[typeCluster]], "q")
		subscriber.mu.Unlock()
	}
	node := &core.Node{Id: "shop-1", Locality: &core.Locality{Zone: "a"}}
	assert.Equal(t, poolFilter("q\n"), service.subsetPools("q\nr\n", node))
}

// A subscriber receives endpoints whose priorities prefer the servers in its own zone.
func TestZoneSetsPriority(t *testing.T) {
	service := startService(t, configText("local = true"), 4)
	subscriber := service.subscribe(subscriberOptions{zone: "a", endpointsOnly: true, delta: true})
	subscriber.waitUntil(startTimeout, "has endpoints", subscriber.hasHealth("s0", core.HealthStatus_HEALTHY))
	subscriber.mu.Lock()
	defer subscriber.mu.Unlock()
	assert.Contains(t, fmt.Sprint(subscriber.resources[typeURLs[typeEndpoint]]["p"]), "priority:1")
}
