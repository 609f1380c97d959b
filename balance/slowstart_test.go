package balance

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestSlowStartBudget(t *testing.T) {
	for _, c := range []struct {
		name  string
		fresh bool // the proxy has no results yet
		work  float64
	}{{"heavy first burst", false, 0.2}, {"light burst", false, 0.01}, {"a proxy just started", true, 0}} {
		t.Run(c.name, func(t *testing.T) {
			d := deployment()
			proxy := startProxy(t, d, 2)
			if !c.fresh {
				proxy.endAttempts(proxy.servers[0], "ssssssssssssss")
			}
			proxy.classes[0].meanWork = 0.05
			list := endpointList(4) // all servers restarted at once
			for i := range list {
				list[i].StartedAt = 0.001
			}
			proxy.EndpointsUpdated(0.001, true, false, list)
			cost := map[int]float64{}
			requests := map[int]*Request{}
			for proxy.clock = 0.001; proxy.clock < 2; proxy.clock += 0.01 {
				request, actions := proxy.arrive(RequestInfo{ExpectedWork: c.work})
				requests[request.Ref] = request
				for _, action := range actions {
					if action.Send {
						cost[action.Endpoint] += requests[action.Ref].expectedWork()
						requests[action.Ref].AttemptEnded(proxy.clock, 0, Succeeded, 0.05, true)
					}
				}
			}
			assert.NotEmpty(t, cost, "servers that are warming up get some requests")
			for _, sum := range cost {
				share := d.CrashFactor * 2 * (d.SlowStartFraction + 0.1) * d.CrashDuration / float64(d.Proxies)
				assert.Less(t, sum, share, "less than the budget of two cores at the mean capacity of the window")
			}
		})
	}
}

func TestSlowStartBudgetOfManyProxies(t *testing.T) {
	for _, c := range []struct {
		age, minUsed float64 // age: s since the server's start; minUsed: share of the budget that has to be used at least
	}{{0, 0.25}, {15, 0.4}} { // the budget grows with age, so less of it is a margin for random variation
		const seeds = 10
		used := 0.0 // share of the budget
		for seed := range uint64(seeds) {
			d := deployment()
			d.Proxies, d.Seed = 300, seed
			var fleet []*testProxy
			for range d.Proxies {
				d.Seed = d.Seed*0x9e3779b97f4a7c15 + 11
				proxy := startProxy(t, d, 2)
				proxy.endAttempts(proxy.servers[0], "ssssssssssssss")
				proxy.EndpointsUpdated(c.age, false, false, []Endpoint{{Index: 1, NameHash: 2, Zone: 1, StartedAt: 0.001}})
				fleet = append(fleet, proxy)
			}
			var sent float64 // work in one window, with requests at every proxy
			for now := c.age + 0.01; now < c.age+d.CrashDuration; now += 0.05 {
				for _, proxy := range fleet {
					proxy.now = now
					request := proxy.request(RequestInfo{Deadline: 99})
					if s, _ := proxy.selectServer(request); s != nil && s.Index == 1 {
						sent += request.expectedWork()
					}
				}
			}
			budget := d.CrashFactor * (d.SlowStartFraction + (1-d.SlowStartFraction)*c.age/d.SlowStartDuration) * d.CrashDuration
			assert.Less(t, sent, budget*0.85)
			used += sent / budget / seeds
		}
		assert.Greater(t, used, c.minUsed, "the budget is used %v s after the start", c.age)
	}
}

// Guards against two processes of one proxy that each use the proxy's whole slow-start budget, and together overload a
// server that is warming up.
func TestSlowStartBudgetShare(t *testing.T) {
	countSent := func(share float64) (n int) {
		d := deployment()
		d.SlowStartDuration, d.SlowStartFraction = 1000, 0.1
		proxy := startProxy(t, d, 0)
		proxy.EndpointsUpdated(0, true, false, []Endpoint{{Index: 0, NameHash: 1, StartedAt: 0.001}})
		proxy.SetSlowStartShare(share)
		for range 4000 {
			proxy.clock += 0.01
			request, _ := proxy.arrive(RequestInfo{})
			if len(request.attempts) > 0 {
				n++
				request.AttemptEnded(proxy.clock, 0, Succeeded, 0.05, true)
			} else {
				request.ClientDisconnected(proxy.clock)
			}
		}
		return n
	}
	whole, half := countSent(1), countSent(0.5)
	assert.Greater(t, half, 0)
	assert.InDelta(t, 0.5, float64(half)/float64(whole), 0.12, "%d of %d", half, whole)
}

func TestLoadElsewhereLeavesTheSlowStartBudget(t *testing.T) {
	for name, slow := range map[string]int{"little load": 0, "overload at the other server": 120} {
		t.Run(name, func(t *testing.T) {
			proxy := startProxy(t, deployment(), 2)
			for range 200 {
				proxy.endAttempts(proxy.servers[0], "s") // succeeds after 0.05 s
			}
			for range slow {
				proxy.endAttempts(proxy.servers[0], "l") // succeeds after 0.5 s
			}
			proxy.EndpointsUpdated(0, false, false, []Endpoint{{Index: 1, NameHash: 2, Zone: 1, StartedAt: 0.001}})
			sent := 0
			request := proxy.request(RequestInfo{})
			for proxy.clock = 0; proxy.clock < 10; proxy.clock += 0.01 {
				proxy.now = proxy.clock
				if proxy.takeSlowStartBudget(request, proxy.servers[1]) {
					sent++
				}
			}
			assert.Greater(t, sent, 25, "queueing at another server does not reduce the budget of this one")
		})
	}
}
