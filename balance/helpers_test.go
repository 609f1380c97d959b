package balance

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// fleet is one proxy under test with a clock of its own.
type testProxy struct {
	*Balancer
	t     *testing.T
	clock float64
	refs  int
}

// deployment is two proxies' worth of plain figures for a test to bend.
func deployment(classes ...Class) Deployment {
	if len(classes) == 0 {
		classes = []Class{{Name: "plain"}}
	}
	for i := range classes {
		t := &classes[i]
		t.LatencyObjective, t.Deadline, t.PriorityWeight = 0.3, 1, max(t.PriorityWeight, 1)
	}
	return Deployment{Seed: 7, Proxies: 2, Classes: classes, MaxAttempts: 3, CancelAllowed: true,
		SlowStartFraction: 0.2, SlowStartDuration: 20, CrashFactor: 3, CrashDuration: 2, NotificationDeadline: 10}
}

// startProxy starts a proxy with n warm servers, three to a pod, two zones in turn.
func startProxy(t *testing.T, d Deployment, n int) *testProxy {
	b, err := New(d, 0)
	require.NoError(t, err)
	proxy := &testProxy{Balancer: b, t: t}
	proxy.EndpointsUpdated(0, true, true, endpointList(n))
	return proxy
}

func endpointList(n int) []Endpoint {
	list := make([]Endpoint, n)
	for i := range list {
		list[i] = Endpoint{Index: i, NameHash: uint64(i + 1), Zone: i % 2, Pod: i / 3}
	}
	return list
}

// arrive hands in a request and returns it with the steps ordered.
func (proxy *testProxy) arrive(a RequestInfo) (*Request, []RequestAction) {
	proxy.refs++
	a.Ref = proxy.refs
	if a.Deadline == 0 {
		a.Deadline = proxy.clock + 1
	}
	request, actions := proxy.RequestArrived(proxy.clock, a)
	return request, append([]RequestAction(nil), actions.Requests...)
}

// draw is where a class's request would go now, and whether it would go somewhere if there were room.
func (proxy *testProxy) draw(class int) (*server, bool) {
	return proxy.selectServer(&Request{balancer: proxy.Balancer, class: &proxy.classes[class], relativeWork: 1, RequestInfo: RequestInfo{Deadline: 99, Class: class}})
}

// endAttempts lets a server's attempts end in these ways, a letter each: h successful, l late, f fault, n no room, c canceled.
func (proxy *testProxy) endAttempts(s *server, letters string) {
	for _, c := range letters {
		actions := map[rune]Outcome{'h': Succeeded, 'l': Succeeded, 'f': ServerError, 'n': ServerRejected, 'c': Canceled}[c]
		latency := map[rune]float64{'h': 0.05, 'l': 0.5}[c]
		proxy.now = proxy.clock
		proxy.recordOutcome(&Request{balancer: proxy.Balancer, class: &proxy.classes[0], relativeWork: 1}, &attempt{server: s}, actions, latency)
	}
}

// countSends counts the attempts among the steps; answers lists the answers.
func countSends(steps []RequestAction) (n int) {
	for _, s := range steps {
		if s.Send {
			n++
		}
	}
	return n
}

func replies(steps []RequestAction) (list []Reply) {
	for _, s := range steps {
		if s.Reply != NoReply {
			list = append(list, s.Reply)
		}
	}
	return list
}

// sidecarDeployment is a fleet of four in which each client process has a proxy of its own, which tell one another.
func sidecarDeployment() Deployment {
	d := deployment()
	d.Proxies, d.Self, d.Sidecar, d.Gossip, d.GossipCost, d.ConnectionCost = 4, 1, true, true, 0.001, 0.03
	return d
}

// healthCheckDeployment is one proxy whose servers tell their load.
func healthCheckDeployment() Deployment {
	d := deployment()
	d.Proxies, d.Sidecar, d.HealthChecks, d.HealthCheckCost = 1, true, true, 0.002
	return d
}

// fillServers has so many attempts out at each server.
func (proxy *testProxy) fillServers(out int) {
	for _, s := range proxy.servers {
		s.breaker.inFlight = out
		proxy.concurrency.inFlight += out
	}
}

func gossipOf(sights ...Observation) GossipMessage {
	return GossipMessage{Rate: 1, Observations: sights}
}

// serveRequest has the proxy take a request, hands its orders to look, and has its attempt, if any, successful.
func (proxy *testProxy) serveRequest(look func(*Request, *Actions)) {
	proxy.clock += 0.1
	request, actions := proxy.RequestArrived(proxy.clock, RequestInfo{Deadline: proxy.clock + 1})
	look(request, actions)
	if len(request.attempts) > 0 {
		request.AttemptEnded(proxy.clock, 0, Succeeded, 0.05, true)
	}
}
