package balance

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// fleet is one proxy under test with a clock of its own.
type bank struct {
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

// open starts a proxy with n warm servers, three to a pod, two zones in turn.
func open(t *testing.T, d Deployment, n int) *bank {
	b, err := New(d, 0)
	require.NoError(t, err)
	k := &bank{Balancer: b, t: t}
	k.EndpointsUpdated(0, true, true, backends(n))
	return k
}

func backends(n int) []Endpoint {
	list := make([]Endpoint, n)
	for i := range list {
		list[i] = Endpoint{Index: i, NameHash: uint64(i + 1), Zone: i % 2, Pod: i / 3}
	}
	return list
}

// take hands in a request and returns it with the steps ordered.
func (k *bank) take(a RequestInfo) (*Request, []RequestAction) {
	k.refs++
	a.Ref = k.refs
	if a.Deadline == 0 {
		a.Deadline = k.clock + 1
	}
	l, o := k.RequestArrived(k.clock, a)
	return l, append([]RequestAction(nil), o.Requests...)
}

// draw is where a class's request would go now, and whether it would go somewhere if there were room.
func (k *bank) draw(class int) (*server, bool) {
	return k.selectServer(&Request{balancer: k.Balancer, class: &k.classes[class], relativeWork: 1, RequestInfo: RequestInfo{Deadline: 99, Class: class}})
}

// hear lets a server's attempts end in these ways, a letter each: h successful, l late, f fault, n no room, c canceled.
func (k *bank) hear(s *server, letters string) {
	for _, c := range letters {
		o := map[rune]Outcome{'h': Succeeded, 'l': Succeeded, 'f': ServerError, 'n': ServerRejected, 'c': Canceled}[c]
		latency := map[rune]float64{'h': 0.05, 'l': 0.5}[c]
		k.now = k.clock
		k.recordOutcome(&Request{balancer: k.Balancer, class: &k.classes[0], relativeWork: 1}, &attempt{server: s}, o, latency)
	}
}

// sends counts the attempts among the steps; answers lists the answers.
func sends(steps []RequestAction) (n int) {
	for _, s := range steps {
		if s.Send {
			n++
		}
	}
	return n
}

func answers(steps []RequestAction) (list []Reply) {
	for _, s := range steps {
		if s.Reply != NoReply {
			list = append(list, s.Reply)
		}
	}
	return list
}
