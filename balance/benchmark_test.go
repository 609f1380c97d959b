package balance

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// BenchmarkRequest measures a request that arrives, is sent to one of 20 servers and succeeds.
func BenchmarkRequest(b *testing.B) {
	for name, d := range map[string]Deployment{
		"shared":        deployment(),
		"sidecar":       sidecarDeployment(),
		"health-checks": healthCheckDeployment(),
	} {
		b.Run(name, func(b *testing.B) {
			balancer, err := New(d, 0)
			require.NoError(b, err)
			balancer.EndpointsUpdated(0, true, true, endpointList(20))
			b.ReportAllocs()
			now := 0.0
			for b.Loop() {
				now += 0.01
				request, _ := balancer.RequestArrived(now, RequestInfo{Tenant: -1, Deadline: now + 1})
				request.AttemptEnded(now+0.005, 0, Succeeded, 0.005, true)
			}
		})
	}
}
