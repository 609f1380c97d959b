package balance

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// Danger: in a crowd every server refuses, and payoffs would tell of little else.
func TestPayoffOfARejectedAttempt(t *testing.T) {
	for _, c := range []struct {
		warm, peers bool
		key         uint64
		worth       float64
	}{{true, true, 5, rejectedKeyPayoff}, {true, true, 0, 0}, {false, true, 5, 0}, {true, false, 5, 0}} {
		d := sidecarDeployment()
		d.CacheAffinity, d.Gossip = c.warm, c.peers
		proxy := startProxy(t, d, 2)
		request := &Request{balancer: proxy.Balancer, class: &proxy.classes[0], relativeWork: 1, RequestInfo: RequestInfo{Key: c.key}}
		for range 200 {
			proxy.recordOutcome(request, &attempt{server: proxy.servers[0]}, ServerRejected, 0)
		}
		assert.InDelta(t, c.worth, proxy.payoffOf(proxy.servers[0], 0), 0.05, "%v", c)
	}
}
