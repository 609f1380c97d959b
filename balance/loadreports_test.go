package balance

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestReportedLoadsSteerSelection(t *testing.T) {
	proxy, selected := startProxy(t, healthCheckDeployment(), 4), map[*server]int{}
	selectAfter := func(reports ...LoadReport) (*server, bool) {
		for i, r := range reports {
			proxy.HealthChecked(1, i, true, r)
		}
		return proxy.selectForClass(0)
	}
	for range 200 {
		s, _ := selectAfter(LoadReport{2, 0.9}, LoadReport{2, 0.9}, LoadReport{2, 0.9}, LoadReport{0, 0.1})
		selected[s]++
	}
	assert.Greater(t, selected[proxy.servers[3]], 150, "the idle server is preferred")
	s, possible := selectAfter(LoadReport{900, 1}, LoadReport{900, 1}, LoadReport{900, 1}, LoadReport{900, 1})
	assert.Nil(t, s, "all servers are over their capacity")
	assert.True(t, possible)
	proxy.TimerFired(1 + loadReportTimeout + 0.1)
	s, _ = proxy.selectForClass(0)
	assert.NotNil(t, s, "after the last report has expired, only this proxy's attempts count")
	proxy = startProxy(t, healthCheckDeployment(), 2)
	for range 200 {
		proxy.HealthChecked(9, 0, true, LoadReport{InFlight: 1.5, Utilization: 0.5})
	}
	assert.InDelta(t, 3, proxy.servers[1].model.coresOrOne(), 0.01, "the cores are estimated per machine model")
}

func TestHealthChecksOfListedServers(t *testing.T) {
	proxy := startProxy(t, healthCheckDeployment(), 0)
	checked := func() (list []int) {
		proxy.serveRequest(func(_ *Request, actions *Actions) { list = append(list, actions.HealthChecks...) })
		return list
	}
	for range 100 {
		assert.Empty(t, checked(), "no servers are listed")
	}
	proxy.EndpointsUpdated(proxy.clock, true, false, endpointList(2))
	assert.LessOrEqual(t, len(checked()), int(maxHealthChecksPerRequest), "no budget saved up while there was no list")
	proxy.EndpointsUpdated(proxy.clock, false, false, []Endpoint{{Index: 0, NameHash: 1, State: Draining}})
	for range 50 {
		assert.NotContains(t, checked(), 0, "no health check of a draining server")
	}
	proxy.EndpointsUpdated(proxy.clock, false, false, []Endpoint{{Index: 1, NameHash: 2, State: Removed}})
	proxy.HealthChecked(proxy.clock, 0, false, LoadReport{InFlight: 5, Utilization: 1}) // a failed health check
	proxy.HealthChecked(proxy.clock, 0, true, LoadReport{InFlight: -1, Utilization: -1})
	proxy.HealthChecked(proxy.clock, 1, true, LoadReport{InFlight: 5})  // a removed server
	proxy.HealthChecked(proxy.clock, 50, true, LoadReport{InFlight: 5}) // no server has this index
	assert.False(t, proxy.loadsKnown())
	assert.False(t, proxy.servers[0].breaker.paused)
}
