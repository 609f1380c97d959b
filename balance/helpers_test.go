package balance

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// testProxy is one proxy under test with a clock of its own.
type testProxy struct {
	*Balancer
	clock float64
	refs  int
}

// deployment returns plain settings of one of two proxies, for a test to change.
func deployment(classes ...Class) Deployment {
	if len(classes) == 0 {
		classes = []Class{{Name: "plain"}}
	}
	for i := range classes {
		class := &classes[i]
		class.LatencyObjective, class.Deadline, class.PriorityWeight = 0.3, 1, max(class.PriorityWeight, 1)
	}
	return Deployment{
		Seed:                 7,
		Proxies:              2,
		Classes:              classes,
		MaxAttempts:          3,
		CancelAllowed:        true,
		SlowStartFraction:    0.2,
		SlowStartDuration:    20,
		CrashFactor:          3,
		CrashDuration:        2,
		NotificationDeadline: 10,
	}
}

// startProxy starts a proxy with n servers at full capacity, three to a pod, two zones in turn.
func startProxy(t *testing.T, d Deployment, n int) *testProxy {
	t.Helper()
	b, err := New(d, 0)
	require.NoError(t, err)
	proxy := &testProxy{Balancer: b}
	proxy.EndpointsUpdated(0, true, true, endpointList(n))
	return proxy
}

// endpointList returns n servers, three to a pod, two zones in turn.
func endpointList(n int) []Endpoint {
	list := make([]Endpoint, n)
	for i := range list {
		list[i] = Endpoint{Index: i, NameHash: uint64(i + 1), Zone: i % 2, Pod: i / 3}
	}
	return list
}

// arrive hands in a request and returns it with the actions for requests.
func (proxy *testProxy) arrive(info RequestInfo) (*Request, []RequestAction) {
	proxy.refs++
	info.Ref = proxy.refs
	if info.Deadline == 0 {
		info.Deadline = proxy.clock + 1
	}
	request, actions := proxy.RequestArrived(proxy.clock, info)
	return request, append([]RequestAction(nil), actions.Requests...)
}

// request returns a request of usual work that did not go through the queue.
func (proxy *testProxy) request(info RequestInfo) *Request {
	return &Request{
		balancer:     proxy.Balancer,
		class:        &proxy.classes[info.Class],
		relativeWork: 1,
		RequestInfo:  info,
	}
}

// draw returns where a class's request would go now, and whether it would go somewhere if there were capacity.
func (proxy *testProxy) draw(class int) (*server, bool) {
	return proxy.selectServer(proxy.request(RequestInfo{Deadline: 99, Class: class}))
}

// endAttempts lets attempts at a server end, a letter each: s succeeded in time, l succeeded late, f failed, r
// rejected, c canceled.
func (proxy *testProxy) endAttempts(s *server, letters string) {
	outcomes := map[rune]Outcome{'s': Succeeded, 'l': Succeeded, 'f': ServerError, 'r': ServerRejected, 'c': Canceled}
	latencies := map[rune]float64{'s': 0.05, 'l': 0.5}
	for _, letter := range letters {
		proxy.now = proxy.clock
		proxy.recordOutcome(proxy.request(RequestInfo{}), &attempt{server: s}, outcomes[letter], latencies[letter])
	}
}

// countSends counts the attempts that are sent.
func countSends(actions []RequestAction) (n int) {
	for _, action := range actions {
		if action.Send {
			n++
		}
	}
	return n
}

// replies lists the answers that the proxy gives by itself.
func replies(actions []RequestAction) (list []Reply) {
	for _, action := range actions {
		if action.Reply != NoReply {
			list = append(list, action.Reply)
		}
	}
	return list
}

// sidecarDeployment returns settings of a fleet of four, a proxy to each client process, that gossips.
func sidecarDeployment() Deployment {
	d := deployment()
	d.Proxies, d.Self, d.Sidecar, d.Gossip, d.GossipCost, d.ConnectionCost = 4, 1, true, true, 0.001, 0.03
	return d
}

// healthCheckDeployment returns settings of a single proxy whose servers report their load.
func healthCheckDeployment() Deployment {
	d := deployment()
	d.Proxies, d.Sidecar, d.HealthChecks, d.HealthCheckCost = 1, true, true, 0.002
	return d
}

// fillServers puts so many attempts in flight at each server.
func (proxy *testProxy) fillServers(attempts int) {
	for _, s := range proxy.servers {
		s.breaker.inFlight = attempts
		proxy.concurrency.inFlight += attempts
	}
}

// gossipOf returns a message of a peer.
func gossipOf(observations ...Observation) GossipMessage {
	return GossipMessage{Rate: 1, Observations: observations}
}

// serveRequest hands in a request, shows the actions to check, and has its attempt, if any, succeed.
func (proxy *testProxy) serveRequest(check func(*Request, *Actions)) {
	proxy.clock += 0.1
	request, actions := proxy.RequestArrived(proxy.clock, RequestInfo{Deadline: proxy.clock + 1})
	check(request, actions)
	if len(request.attempts) > 0 {
		request.AttemptEnded(proxy.clock, 0, Succeeded, 0.05, true)
	}
}
