package balance

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// Guards against payoffs that reflect only rejections: while all servers are full, each of them rejects requests with
// an affinity key.
func TestPayoffOfARejectedAttempt(t *testing.T) {
	for _, c := range []struct {
		cacheAffinity, gossip bool
		key                   uint64
		payoff                float64
	}{{true, true, 5, rejectedKeyPayoff}, {true, true, 0, 0}, {false, true, 5, 0}, {true, false, 5, 0}} {
		d := sidecarDeployment()
		d.CacheAffinity, d.Gossip = c.cacheAffinity, c.gossip
		proxy := startProxy(t, d, 2)
		request := proxy.request(RequestInfo{Key: c.key})
		for range 200 {
			proxy.recordOutcome(request, &attempt{server: proxy.servers[0]}, ServerRejected, 0)
		}
		assert.InDelta(t, c.payoff, proxy.payoffOf(proxy.servers[0], 0), 0.05, "%v", c)
	}
}
