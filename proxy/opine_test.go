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

// What the proxy holds of its pools is told as it changes: drains, bans and what is gone at once, pauses by own
// requests and by what others report; and nobody is told where nobody asks.
func TestOpine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		y := made(t, map[string][]string{"b1": {ok}, "b2": {ok}, "w1:80": {ok}}, nil)
		y.ends2 = make(chan net.Conn, 100)
		s, faults := config.Read("f.toml", []byte("[[tariff]]\nname = \"t\"\nhard_stop = 0.5\n[[pool]]\nname = \"all\"\n[[pool]]\nname = \"own\"\nservers = [\"w1:80\"]\n"+
			"[[route]]\nname = \"r\"\nunder = \"/\"\npool = \"all\"\n"))
		require.Empty(t, faults)
		require.NoError(t, y.Configure(s, second{y}))
		var mu sync.Mutex
		var last map[string]assignment.Observation
		var gone []string
		y.OnEstimates(func(_ float64, pools map[string]assignment.Observation) {
			mu.Lock()
			defer mu.Unlock()
			last, gone = pools, append(gone, pools["all"].Removed...)
		})
		y.begin()
		now := func(pool string) (assignment.Observation, []string) {
			synctest.Wait()
			mu.Lock()
			defer mu.Unlock()
			return last[pool], gone
		}
		of := func(pool, id string) *assignment.ServerEstimate {
			s, _ := now(pool)
			i := slices.IndexFunc(s.Servers, func(o assignment.ServerEstimate) bool { return o.Name == id })
			require.GreaterOrEqual(t, i, 0, "%s in %+v", id, s)
			return &s.Servers[i]
		}
		assert.Equal(t, "b1", of("all", "b1").Addr)
		assert.Equal(t, "w1:80", of("own", "own/w1:80").Addr)
		y.OutcomesReported("own", map[string][2]int{"own/w1:80": {0, 40}, "nobody": {1, 1}})
		y.OutcomesReported("all", map[string][2]int{"b1": {90, 10}, "b2": {10, 90}})
		y.OutcomesReported("none", map[string][2]int{"b1": {0, 90}})
		time.Sleep(2 * estimateInterval)
		assert.True(t, of("all", "b2").Paused && !of("all", "b1").Paused && of("own", "own/w1:80").Paused)
		assert.Less(t, of("all", "b2").Payoff, of("all", "b1").Payoff)
		time.Sleep(10 * time.Second)
		assert.True(t, of("all", "b2").Trial, "cooled down")
		for range 20 {
			y.want(plain("GET", "/", ""))
		}
		time.Sleep(estimateInterval)
		sight, _ := now("all")
		assert.Greater(t, sight.Rate, 0.0)
		y.tell(change(2, "b1", "leaving", 0))
		assert.True(t, of("all", "b1").Draining, "at once")
		y.tell(change(3, "b1", "left", 0))
		sight, told := now("all")
		assert.Equal(t, []string{"b1"}, told)
		assert.Len(t, sight.Servers, 1)
		assert.Equal(t, 200, y.call(admin.Disable, "own/w1:80"))
		assert.True(t, of("own", "own/w1:80").Draining, "at once")
		time.Sleep(estimateInterval)
		_, told = now("all")
		assert.Equal(t, []string{"b1"}, told, "told once")
		y.end()
	})
	synctest.Test(t, func(t *testing.T) {
		y := serve(t, map[string][]string{"b1": {ok}, "b2": {ok}}, nil)
		y.tell(change(2, "b1", "left", 0))
		y.end()
		assert.Empty(t, y.gone, "nothing gathers")
	})
}
