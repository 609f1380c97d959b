package proxy

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"lockloom/balance"
	"lockloom/internal/admin"
	"lockloom/internal/discovery"
)

// Full lists with "b2" and with both servers, as discovery sends them when it begins anew.
const (
	listWithoutB1 = `{"version":%d,"full":true,"servers":[{"id":"b2","addr":"b2:1","state":"active"}]}`
	listWithB1    = `{"version":%d,"full":true,"servers":[{"id":"b1","addr":"b1:1","state":"active"},` +
		`{"id":"b2","addr":"b2:1","state":"active"}]}`
)

// disabledServerTest runs the steps of a test with two servers, and sends requests between them.
type disabledServerTest struct {
	*testEnv
	version  int  // of the last endpoint list
	disabled bool // "b1" is
}

// run makes one step: an admin call for "b1", a pause, or an update of the list.
func (d *disabledServerTest) run(step string) {
	d.version++
	switch step {
	case "disable":
		assert.Equal(d.t, 200, d.adminCall(admin.Disable, "b1"))
		d.disabled = true
	case "enable":
		assert.Equal(d.t, 200, d.adminCall(admin.Enable, "b1"))
		d.disabled = false
	case "pause":
		time.Sleep(2 * time.Second)
	case "full without b1":
		d.updateList(fmt.Sprintf(listWithoutB1, d.version))
	case "full with b1":
		d.updateList(fmt.Sprintf(listWithB1, d.version))
	case "b1 moved":
		d.updateList(fmt.Sprintf(`{"version":%d,"servers":[{"id":"b1","addr":"b9:1","state":"active"}]}`, d.version))
	default: // a state of "b1"
		d.updateList(listChange(d.version, "b1", step, 0))
	}
}

// requestsToB1 sends requests and returns how many of them "b1" received, at either of its addresses.
func (d *disabledServerTest) requestsToB1() int {
	d.requestsByServer()
	d.sendRequests(20)
	counts := d.requestsByServer()
	return counts["b1"] + counts["b9"]
}

// newDisabledServerTest starts a proxy without slow start.
func newDisabledServerTest(t *testing.T, advisory bool) *disabledServerTest {
	t.Helper()
	return newSlowStartTest(t, advisory, 0)
}

// newSlowStartTest starts a proxy with the listed servers "b1" and "b2". Both answer all requests.
func newSlowStartTest(t *testing.T, advisory bool, slowStart float64) *disabledServerTest {
	t.Helper()
	behaviors := map[string][]string{}
	for _, addr := range []string{"b1", "b1:1", "b9:1", "b2", "b2:1"} {
		behaviors[addr] = []string{okResponse}
	}
	env := startEnv(t, behaviors, func(cfg *BootstrapConfig) {
		cfg.RemovalIsAdvisory, cfg.SlowStartDuration = advisory, slowStart
	})
	d := &disabledServerTest{testEnv: env, version: 1}
	d.run("full with b1")
	return d
}

// Guards against requests to a disabled server that the list does not name: where removal is advisory it is used as
// long as it answers, and the call of the operator must end that, whatever the list says before and after.
func TestDisabledServerThatIsNotListedGetsNothing(t *testing.T) {
	for _, c := range []struct {
		name   string
		steps  []string
		inUse  bool // "b1" was in use just before it was disabled
		listed bool // once more steps have run, it is listed as active, so that it is used once enabled
	}{
		{"removed before", []string{"left", "disable"}, true, false},
		{"left out before", []string{"full without b1", "disable"}, true, false},
		{"removed after", []string{"disable", "left"}, true, false},
		{"left out after", []string{"disable", "full without b1"}, true, false},
		{"removed, discovery begins anew", []string{"left", "disable", "full without b1"}, true, false},
		{"removed, listed again", []string{"left", "disable", "active"}, true, true},
		{"removed, listed by a full list", []string{"left", "disable", "full with b1"}, true, true},
		{"removed, listed elsewhere", []string{"left", "disable", "b1 moved"}, true, true},
		{"removed, listed and removed again", []string{"left", "disable", "active", "left"}, true, false},
		{"disabled three times", []string{"left", "disable", "disable", "full without b1", "disable"}, true, false},
		{"removed, disabled for long", []string{"left", "disable", "pause", "full without b1", "pause"}, true, false},
		{"no longer in use", []string{"left", "pause", "disable"}, false, false},
		{"no longer in use, listed again", []string{"left", "pause", "disable", "active"}, false, true},
	} {
		for _, advisory := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, advisory %v", c.name, advisory), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					d := newDisabledServerTest(t, advisory)
					assert.Positive(t, d.requestsToB1(), "it is in use")
					for _, step := range c.steps {
						if step == "disable" && !d.disabled && advisory {
							assert.Equal(t, c.inUse, d.requestsToB1() > 0, "in use before it is disabled")
						}
						d.run(step)
						if d.disabled {
							assert.Zero(t, d.requestsToB1(), "disabled, after %q", step)
						}
					}
					d.run("enable")
					if c.listed {
						assert.Positive(t, d.requestsToB1(), "it is in use once it is enabled")
					}
					d.stopAndWait()
				})
			})
		}
	}
}

// Guards against the loss of a call that is made as the list drops its server, in either order: the owner applies the
// list before it applies the call.
func TestServerDisabledAsTheListDropsItGetsNothing(t *testing.T) {
	for _, c := range []struct {
		callFirst, full bool
	}{{true, true}, {true, false}, {false, true}, {false, false}} {
		t.Run(fmt.Sprintf("call first %v, full list %v", c.callFirst, c.full), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := newDisabledServerTest(t, true)
				assert.Positive(t, d.requestsToB1())
				list := List{Version: 3, Full: c.full, Entries: []discovery.Entry{listEntry("b2", balance.Ready)}}
				list.Entries[0].Addr = "b2:1"
				if !c.full {
					list.Entries = append(list.Entries, listEntry("b1", balance.Removed))
				}
				disable := func() {
					status, _ := d.Administer(admin.Call{Action: admin.Disable, ID: "b1"})
					assert.Equal(t, 200, status)
				}
				d.post(func() {
					if c.callFirst {
						disable()
					}
					d.applyEndpointList(list, false)
					if !c.callFirst {
						disable()
					}
				})
				synctest.Wait()
				assert.Zero(t, d.requestsToB1())
				d.stopAndWait()
			})
		})
	}
}

// Guards against the use of a disabled server that is the only one which answers: its retries, hedges and trials count
// too.
func TestOnlyServerThatAnswersStaysDisabled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDisabledServerTest(t, true)
		assert.Positive(t, d.requestsToB1())
		d.run("left")
		assert.Positive(t, d.requestsToB1())
		d.run("disable")
		d.mu.Lock()
		d.behaviors["b2:1"] = []string{faultResponse}
		d.mu.Unlock()
		for range 5 {
			assert.Zero(t, d.requestsToB1())
			time.Sleep(time.Second)
		}
		d.stopAndWait()
	})
}

// Guards against an attempt whose connection is still being opened when its server, which the list has dropped, is
// disabled: nothing may be written past the grace.
func TestServerDisabledWhileConnecting(t *testing.T) {
	for _, c := range []struct {
		grace float64
		want  int
	}{{0.3, 1}, {0.02, 0}} {
		synctest.Test(t, func(t *testing.T) {
			env := newEnv(t, map[string][]string{"b1": {okResponse}, "b1:1": {okResponse}}, func(cfg *BootstrapConfig) {
				cfg.DrainGrace, cfg.RemovalIsAdvisory = c.grace, true
			})
			env.start()
			env.sendRequests(1)
			env.updateList(listChange(2, "b1", "active", 0)) // at another address: a connection is opened
			env.sendRequests(1)
			env.updateList(listChange(3, "b1", "left", 0))
			env.requestsByServer()
			env.dialDelay = 60 * time.Millisecond
			time.Sleep(serverReuseDelay / 2) // its idle connection cannot be reused yet
			env.post(func() { env.upstream.CloseIdle(0) })
			conn := env.connect()
			go write(conn, idempotentRequest)
			synctest.Wait()
			assert.Equal(t, 200, env.adminCall(admin.Disable, "b1"))
			time.Sleep(100 * time.Millisecond)
			synctest.Wait()
			assert.Equal(t, c.want, env.requestsByServer()["b1"], "grace %v", c.grace)
			conn.Close()
			env.stopAndWait()
		})
	}
}

// Guards against an attempt that is written past the grace since the owner was too busy to apply the call: an answered
// call is in force for every connection, whatever the owner does meanwhile.
func TestDisableIsInForceBeforeTheOwnerAppliesIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newEnv(t, map[string][]string{"b1": {okResponse}}, func(cfg *BootstrapConfig) { cfg.DrainGrace = 0.02 })
		env.dialDelay = 60 * time.Millisecond
		env.start()
		conn := env.connect()
		go write(conn, idempotentRequest)
		synctest.Wait()
		go env.post(func() { time.Sleep(100 * time.Millisecond) })
		synctest.Wait()
		status, _ := env.Administer(admin.Call{Action: admin.Disable, ID: "b1"})
		assert.Equal(t, 200, status)
		time.Sleep(200 * time.Millisecond)
		synctest.Wait()
		assert.Zero(t, env.requestsByServer()["b1"])
		conn.Close()
		env.stopAndWait()
	})
}

// A disabled server does not keep the one that is listed at its address from being used.
func TestDisablingBindsTheNameNotTheAddress(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDisabledServerTest(t, true)
		assert.Positive(t, d.requestsToB1())
		d.run("left")
		d.run("disable")
		d.updateList(`{"version":9,"servers":[{"id":"c","addr":"b1:1","state":"active"}]}`)
		assert.Positive(t, d.requestsToB1(), "the server at that address is another one")
		d.run("enable")
		assert.Positive(t, d.requestsToB1())
		d.post(func() {
			index, found := d.registry.Find("b1")
			assert.False(t, found && d.pools.inUse(index), "it is not used under its old name")
		})
		d.stopAndWait()
	})
}

// Guards against a call that lifts more than its own: enabling a server must not lift a drain that the list ordered, a
// state in the list must not lift the call, and what the list ordered must not outlast the list's own end of it.
func TestEnabledServer(t *testing.T) {
	for _, c := range []struct {
		name  string
		steps []string
		used  bool // "b1" is in use after them
	}{
		{"listed", []string{"disable", "enable"}, true},
		{"draining by the list", []string{"leaving", "disable", "enable"}, false},
		{"draining by the list while it was disabled", []string{"disable", "leaving", "enable"}, false},
		{"drained by the list, then removed", []string{"leaving", "left", "disable", "enable"}, false},
		{"drained by the list and removed while it was disabled", []string{"disable", "leaving", "left", "enable"}, false},
		{"the list ended its drain while it was disabled", []string{"leaving", "disable", "active", "enable"}, true},
		{"the same, once it was removed", []string{"leaving", "left", "disable", "active", "enable"}, true},
		{"the list drained it and ended that", []string{"disable", "leaving", "active", "enable"}, true},
		{"the list ends its drain later", []string{"disable", "leaving", "enable", "active"}, true},
		{"listed again while it was disabled", []string{"left", "disable", "active", "enable"}, true},
		{"listed again once it was enabled", []string{"left", "disable", "pause", "enable", "pause", "active"}, true},
		{"enabled twice", []string{"disable", "enable", "enable"}, true},
		{"removed before", []string{"left", "disable", "enable"}, true},
		{"left out before", []string{"full without b1", "disable", "enable"}, true},
		{"removed while it was disabled", []string{"disable", "left", "pause", "enable"}, true},
		{"left out while it was disabled", []string{"disable", "full without b1", "pause", "enable"}, true},
		{"left out again while it was disabled", []string{"left", "disable", "pause", "full without b1", "enable"}, true},
		{"disabled twice, enabled once", []string{"left", "disable", "disable", "enable"}, true},
		{"enabled, disabled, enabled", []string{"left", "disable", "enable", "disable", "enable"}, true},
		{"unlisted, enabled twice", []string{"left", "disable", "enable", "enable"}, true},
		{"listed, drained and removed while it was disabled",
			[]string{"left", "disable", "active", "leaving", "left", "enable"}, false},
		{"disabled again", []string{"left", "disable", "enable", "active", "disable"}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := newDisabledServerTest(t, true)
				assert.Positive(t, d.requestsToB1())
				for _, step := range c.steps {
					d.run(step)
					if d.disabled {
						assert.Zero(t, d.requestsToB1(), "disabled, after %q", step)
					}
				}
				assert.Equal(t, c.used, d.requestsToB1() > 0)
				d.stopAndWait()
			})
		})
	}
}

// Guards against a server that stays in use for good, though the list does not name it and it does not answer: once it
// is enabled it may be used for reenabledTrial, from then on only while it answers.
func TestEnabledServerThatIsNotListedIsTried(t *testing.T) {
	for _, c := range []struct {
		name            string
		advisory        bool
		answers         bool // once it is enabled
		tried, inUse    bool // within the trial, and after it
		listedMeanwhile bool
	}{
		{"it answers", true, true, true, true, false},
		{"it does not answer", true, false, true, false, false},
		{"it does not answer, but is listed", true, false, true, true, true},
		{"removal is binding", false, true, false, false, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := newDisabledServerTest(t, c.advisory)
				assert.Positive(t, d.requestsToB1())
				d.run("left")
				d.run("disable")
				d.run("pause")
				if !c.answers {
					d.mu.Lock()
					d.behaviors["b1:1"] = []string{neverRanResponse}
					d.mu.Unlock()
				}
				d.run("enable")
				assert.Equal(t, c.tried, d.requestsToB1() > 0, "tried")
				if c.listedMeanwhile {
					d.run("active")
				}
				for range 7 {
					time.Sleep(reenabledTrial / 6)
					d.sendRequests(20)
				}
				d.updateList(`{"version":99,"full":false,"servers":[]}`)
				d.post(func() {
					index, found := d.registry.Find("b1")
					assert.Equal(t, c.inUse, found && d.pools.inUse(index))
					assert.Equal(t, c.inUse && !c.listedMeanwhile, len(d.endpoints.unlisted) > 0)
				})
				time.Sleep(2 * reenabledTrial)
				d.updateList(`{"version":100,"full":false,"servers":[]}`)
				d.post(func() {
					index, found := d.registry.Find("b1")
					assert.Equal(t, c.listedMeanwhile, found && d.pools.inUse(index), "it has not answered for long")
					assert.Empty(t, d.endpoints.unlisted)
				})
				d.stopAndWait()
			})
		})
	}
}

// A server that is enabled while the list does not name it counts as started then: it has been restarted.
func TestEnabledServerThatIsNotListedWarmsUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const slowStart = 0.5 // s
		d := newSlowStartTest(t, true, slowStart)
		warmingUp := func() (warming bool) {
			index, found := d.registry.Find("b1")
			for _, status := range d.serverStatuses() {
				warming = warming || found && status.Endpoint == index && status.WarmingUp
			}
			return warming
		}
		d.post(func() { assert.Empty(t, d.endpoints.unlisted) })
		d.requestsToB1()
		d.run("full without b1")
		d.post(func() { assert.Len(t, d.endpoints.unlisted, 1) })
		d.requestsToB1()
		d.run("disable")
		d.run("pause")
		assert.False(t, warmingUp())
		d.run("enable")
		assert.True(t, warmingUp())
		time.Sleep(seconds(2 * slowStart))
		assert.Positive(t, d.requestsToB1())
		assert.False(t, warmingUp())
		d.stopAndWait()
	})
}

// A health check that is due for a server is not sent once the server is disabled, though no balancer has been told.
func TestDisabledServerIsNotChecked(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDisabledServerTest(t, true)
		sent := func() (checks int) {
			done := make(chan struct{})
			d.post(func() {
				index, _ := d.registry.Find("b1")
				before := d.counters.HealthChecks
				d.healthCheck(d.pools.platform, index)
				checks = d.counters.HealthChecks - before
				close(done)
			})
			<-done
			synctest.Wait()
			return checks
		}
		assert.Equal(t, 1, sent())
		d.run("leaving")
		d.run("active")
		assert.Equal(t, 1, sent())
		d.run("disable")
		assert.Equal(t, 0, sent())
		d.run("active")
		assert.Equal(t, 0, sent(), "the list does not lift the call")
		d.run("enable")
		assert.Equal(t, 1, sent())
		d.stopAndWait()
	})
}

// recordingDecider records the servers that a balancer received last.
type recordingDecider struct {
	uncaptured
	received []balance.Endpoint
}

func (r *recordingDecider) EndpointsUpdated(now float64, full, first bool, list []balance.Endpoint) *balance.Actions {
	r.received = list
	return r.uncaptured.EndpointsUpdated(now, full, first, list)
}

// A pool that a reload adds while a server is disabled does not use that server, listed or not.
func TestPoolAddedWhileAServerIsDisabled(t *testing.T) {
	for _, steps := range [][]string{{"disable"}, {"left", "disable"}, {"disable", "left"}} {
		synctest.Test(t, func(t *testing.T) {
			d := newDisabledServerTest(t, true)
			d.requestsToB1()
			for _, step := range steps {
				d.run(step)
			}
			balancer, err := balance.New(d.bootstrap.Deployment, d.now())
			assert.NoError(t, err)
			decisions := &recordingDecider{uncaptured: uncaptured{balancer}}
			d.post(func() { d.addPool(&serverPool{name: "p", decisions: decisions, classes: d.bootstrap.Classes}, nil) })
			synctest.Wait()
			ready := 0
			for _, endpoint := range decisions.received {
				if endpoint.State == balance.Ready {
					ready++
				}
			}
			assert.Equal(t, 1, ready, "only the other server may be used: %v", steps)
			d.stopAndWait()
		})
	}
}
