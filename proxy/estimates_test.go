package proxy

import (
	"net"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"lockloom/assignment"
	"lockloom/internal/admin"
	"lockloom/internal/config"
)

// Estimates are reported when they change: draining, disabled and removed servers at once, and servers that are paused
// after failures of own requests or after reported outcomes. Without an observer no names of removed servers are kept.
func TestEstimatesAreReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newEnv(t, map[string][]string{"b1": {okResponse}, "b2": {okResponse}, "w1:80": {okResponse}}, nil)
		env.operatorConns = make(chan net.Conn, 100)
		cfg, faults := config.Parse("f.toml",
			[]byte("[[tariff]]\nname = \"t\"\nhard_stop = 0.5\n[[pool]]\nname = \"all\"\n"+
				"[[pool]]\nname = \"own\"\nservers = [\"w1:80\"]\n"+
				"[[route]]\nname = \"r\"\nunder = \"/\"\npool = \"all\"\n"))
		require.Empty(t, faults)
		require.NoError(t, env.Configure(cfg, operatorListener{env}))
		var mu sync.Mutex
		var lastPools map[string]assignment.Observation
		var removedSoFar []string
		env.OnEstimates(func(_ float64, pools map[string]assignment.Observation) {
			mu.Lock()
			defer mu.Unlock()
			lastPools, removedSoFar = pools, append(removedSoFar, pools["all"].Removed...)
		})
		env.start()
		latest := func(pool string) (assignment.Observation, []string) {
			synctest.Wait()
			mu.Lock()
			defer mu.Unlock()
			return lastPools[pool], removedSoFar
		}
		estimate := func(pool, id string) *assignment.ServerEstimate {
			observation, _ := latest(pool)
			i := slices.IndexFunc(observation.Servers, func(o assignment.ServerEstimate) bool { return o.Name == id })
			require.GreaterOrEqual(t, i, 0, "server %s is not in %+v", id, observation)
			return &observation.Servers[i]
		}
		assert.Equal(t, "b1", estimate("all", "b1").Addr)
		assert.Equal(t, "w1:80", estimate("own", "own/w1:80").Addr)
		env.ReportOutcomes("own", map[string][2]int{"own/w1:80": {0, 40}, "nobody": {1, 1}})
		env.ReportOutcomes("all", map[string][2]int{"b1": {90, 10}, "b2": {10, 90}})
		env.ReportOutcomes("none", map[string][2]int{"b1": {0, 90}})
		time.Sleep(2 * estimateInterval)
		assert.True(t, estimate("all", "b2").Paused && !estimate("all", "b1").Paused && estimate("own", "own/w1:80").Paused)
		assert.Less(t, estimate("all", "b2").Payoff, estimate("all", "b1").Payoff)
		time.Sleep(10 * time.Second)
		assert.True(t, estimate("all", "b2").Trial, "the cooldown is over")
		for range 20 {
			env.operatorRoundTrip(plainRequest("GET", "/", ""))
		}
		time.Sleep(estimateInterval)
		observation, _ := latest("all")
		assert.Greater(t, observation.Rate, 0.0)
		env.updateList(listChange(2, "b1", "leaving", 0))
		assert.True(t, estimate("all", "b1").Draining, "reported at once")
		env.updateList(listChange(3, "b1", "left", 0))
		observation, removed := latest("all")
		assert.Equal(t, []string{"b1"}, removed)
		assert.Len(t, observation.Servers, 1)
		assert.Equal(t, 200, env.adminCall(admin.Disable, "own/w1:80"))
		assert.True(t, estimate("own", "own/w1:80").Draining, "reported at once")
		time.Sleep(estimateInterval)
		_, removed = latest("all")
		assert.Equal(t, []string{"b1"}, removed, "a removed server is reported once")
		env.stopAndWait()
	})
	synctest.Test(t, func(t *testing.T) {
		env := startEnv(t, map[string][]string{"b1": {okResponse}, "b2": {okResponse}}, nil)
		env.updateList(listChange(2, "b1", "left", 0))
		env.stopAndWait()
		assert.Empty(t, env.closedConns, "connections that servers have closed")
	})
}

// Guards against subscribers of the control plane that go on with a disabled server: a list from which half of the
// servers are missing is suspect, so that they are kept, and no entry of the list says that one was disabled meanwhile.
func TestDisabledServerThatIsMissingFromTheListIsNotAssigned(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newEnv(t, map[string][]string{"b1": {okResponse}, "b2": {okResponse}}, nil)
		env.operatorConns = make(chan net.Conn, 100)
		cfg, faults := config.Parse("f.toml", []byte("[[tariff]]\nname = \"t\"\nhard_stop = 0.5\n"+
			"[[pool]]\nname = \"all\"\n[[route]]\nname = \"r\"\nunder = \"/\"\npool = \"all\"\n"))
		require.Empty(t, faults)
		require.NoError(t, env.Configure(cfg, operatorListener{env}))
		assigned := assignment.New(assignment.Settings{})
		env.OnEstimates(func(now float64, pools map[string]assignment.Observation) { assigned.Update(now, pools["all"]) })
		env.start()
		healthy := func() (names []string) {
			done := make(chan struct{})
			env.post(func() {
				for _, server := range assigned.AssignmentFor("").Servers {
					if server.Health == assignment.Healthy {
						names = append(names, server.Name)
					}
				}
				close(done)
			})
			<-done
			return names
		}
		assert.Equal(t, []string{"b1", "b2"}, healthy())
		env.updateList(`{"version":2,"full":true,"servers":[]}`)
		assert.Equal(t, []string{"b1", "b2"}, healthy(), "the list is suspect")
		assert.Equal(t, 200, env.adminCall(admin.Disable, "b1"))
		assert.Equal(t, []string{"b2"}, healthy())
		env.updateList(`{"version":3,"full":true,"servers":[{"id":"b1","addr":"b1:1","state":"active"}]}`)
		assert.NotContains(t, healthy(), "b1", "the list does not lift the call")
		assert.Equal(t, 200, env.adminCall(admin.Enable, "b1"))
		assert.Contains(t, healthy(), "b1")
		env.stopAndWait()
	})
}
