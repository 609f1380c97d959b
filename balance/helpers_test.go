package balance

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// testProxy is a Balancer under test, with the current time and the number of the last request, which a proxy keeps.
type testProxy struct {
	*Balancer
	clock float64
	refs  int
}

// deployment returns the settings of one of two proxies, without gossip and health checks, for a test to change.
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

// startProxy starts a proxy with the servers of endpointList(n), all at full capacity.
func startProxy(t *testing.T, d Deployment, n int) *testProxy {
	t.Helper()
	b, err := New(d, 0)
	require.NoError(t, err)
	proxy := &testProxy{Balancer: b}
	proxy.EndpointsUpdated(0, true, true, endpointList(n))
	return proxy
}

// endpointList returns n servers, three per pod, alternating between two zones.
func endpointList(n int) []Endpoint {
	list := make([]Endpoint, n)
	for i := range list {
		list[i] = Endpoint{Index: i, NameHash: uint64(i + 1), Zone: i % 2, Pod: i / 3}
	}
	return list
}

// arrive calls RequestArrived, by default with a deadline in 1 s. It returns the request and a copy of
// Actions.Requests.
func (proxy *testProxy) arrive(info RequestInfo) (*Request, []RequestAction) {
	proxy.refs++
	info.Ref = proxy.refs
	if info.Deadline == 0 {
		info.Deadline = proxy.clock + 1
	}
	request, actions := proxy.RequestArrived(proxy.clock, info)
	return request, append([]RequestAction(nil), actions.Requests...)
}

// request returns a request of mean work that did not pass through RequestArrived.
func (proxy *testProxy) request(info RequestInfo) *Request {
	return &Request{
		balancer:     proxy.Balancer,
		class:        &proxy.classes[info.Class],
		relativeWork: 1,
		RequestInfo:  info,
	}
}

// selectForClass calls selectServer for a new request of a class.
func (proxy *testProxy) selectForClass(class int) (*server, bool) {
	return proxy.selectServer(proxy.request(RequestInfo{Deadline: 99, Class: class}))
}

// endAttempts records the outcomes of attempts at a server, one per letter: s succeeded in time, l succeeded late, f
// failed, r rejected, c canceled.
func (proxy *testProxy) endAttempts(s *server, letters string) {
	outcomes := map[rune]Outcome{'s': Succeeded, 'l': Succeeded, 'f': ServerError, 'r': ServerRejected, 'c': Canceled}
	latencies := map[rune]float64{'s': 0.05, 'l': 0.5}
	for _, letter := range letters {
		proxy.now = proxy.clock
		proxy.recordOutcome(proxy.request(RequestInfo{}), &attempt{server: s}, outcomes[letter], latencies[letter])
	}
}

// countSends counts the actions that send an attempt.
func countSends(actions []RequestAction) (n int) {
	for _, action := range actions {
		if action.Send {
			n++
		}
	}
	return n
}

// replies lists the replies in the actions.
func replies(actions []RequestAction) (list []Reply) {
	for _, action := range actions {
		if action.Reply != NoReply {
			list = append(list, action.Reply)
		}
	}
	return list
}

// sidecarDeployment returns the settings of a proxy in a fleet of four that gossips, with one proxy per client process.
func sidecarDeployment() Deployment {
	d := deployment()
	d.Proxies, d.ProxyIndex, d.Sidecar, d.Gossip, d.GossipCost, d.ConnectionCost = 4, 1, true, true, 0.001, 0.03
	return d
}

// healthCheckDeployment returns the settings of a single proxy whose servers report their load.
func healthCheckDeployment() Deployment {
	d := deployment()
	d.Proxies, d.Sidecar, d.HealthChecks, d.HealthCheckCost = 1, true, true, 0.002
	return d
}

// fillServers counts this many attempts as in flight at each server.
func (proxy *testProxy) fillServers(attempts int) {
	for _, s := range proxy.servers {
		s.breaker.inFlight = attempts
		proxy.concurrency.inFlight += attempts
	}
}

// gossipOf returns a message of a peer with these observations.
func gossipOf(observations ...Observation) GossipMessage {
	return GossipMessage{Rate: 1, Observations: observations}
}

// serveRequest calls RequestArrived, passes the result to check, and lets the attempt, if there is one, succeed.
func (proxy *testProxy) serveRequest(check func(*Request, *Actions)) {
	proxy.clock += 0.1
	request, actions := proxy.RequestArrived(proxy.clock, RequestInfo{Deadline: proxy.clock + 1})
	check(request, actions)
	if len(request.attempts) > 0 {
		request.AttemptEnded(proxy.clock, 0, Succeeded, 0.05, true)
	}
}
