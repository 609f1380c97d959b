package capture

import (
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"slices"

	"github.com/stretchr/testify/require"

	"lockloom/balance"
)

// randomOwner makes random calls on a captured pool, as the owner goroutine of a proxy does.
type randomOwner struct {
	*Balancer
	now      float64
	random   *rand.Rand
	inFlight []*Request
	attempts map[*Request]int // number of attempts sent
	lastRef  int
}

func testDeployment() balance.Deployment {
	return balance.Deployment{
		Seed:                 7,
		Proxies:              2,
		MaxAttempts:          3,
		CancelAllowed:        true,
		HedgingAllowed:       true,
		SlowStartFraction:    .2,
		SlowStartDuration:    20,
		CrashFactor:          3,
		CrashDuration:        2,
		NotificationDeadline: 10,
		Gossip:               true,
		HealthChecks:         true,
		GossipCost:           .01,
		HealthCheckCost:      .01,
		CacheAffinity:        true,
		MaxRetryAfter:        1,
		Classes: []balance.Class{
			{Name: "page", LatencyObjective: .3, Deadline: 1, PriorityWeight: 1},
			{
				Name: "sms", Idempotency: balance.NonIdempotent,
				LatencyObjective: .3, Deadline: 1, PriorityWeight: 4,
			},
			{
				Name: "sign", Idempotency: balance.Keyed, DedupScope: balance.DedupZone, DedupWindow: 2,
				LatencyObjective: .3, Deadline: 1, PriorityWeight: 2,
			},
		},
	}
}

func newRandomOwner(t require.TestingT, r *Recorder, pool string, seed uint64) *randomOwner {
	const startedAt = 100
	b, err := balance.New(testDeployment(), startedAt)
	require.NoError(t, err)
	o := &randomOwner{
		Balancer: r.Balancer(pool, b),
		now:      startedAt,
		random:   rand.New(rand.NewPCG(seed, 1)),
		attempts: map[*Request]int{},
	}
	o.updateEndpoints()
	return o
}

func (o *randomOwner) updateEndpoints() {
	var list []balance.Endpoint
	for i := range 6 {
		if o.random.Float64() >= .9 {
			continue
		}
		list = append(list, balance.Endpoint{
			Index:     i,
			NameHash:  uint64(i + 1),
			Zone:      i % 2,
			Pod:       i / 2,
			State:     balance.EndpointState(o.random.IntN(2) * o.random.IntN(2)),
			Cores:     2,
			StartedAt: float64(o.random.IntN(2)) * 90,
		})
	}
	o.EndpointsUpdated(o.now, true, o.lastRef == 0, list)
}

// step advances the time and makes a random call.
func (o *randomOwner) step() {
	o.now += o.random.ExpFloat64() * .004
	var r *Request
	if len(o.inFlight) > 0 {
		r = o.inFlight[o.random.IntN(len(o.inFlight))]
	}
	switch n := o.random.IntN(40); {
	case n < 14 || r == nil:
		o.arrive()
	case n < 36:
		o.stepRequest(n, r)
	default:
		o.stepBalancer(n)
	}
	o.inFlight = slices.DeleteFunc(o.inFlight, func(r *Request) bool {
		if r.Done() {
			delete(o.attempts, r)
		}
		return r.Done()
	})
}

func (o *randomOwner) arrive() {
	o.lastRef++
	info := balance.RequestInfo{
		Ref:          o.lastRef,
		Class:        o.random.IntN(3),
		Tenant:       -1,
		Deadline:     o.now + 1,
		ExpectedWork: o.random.Float64() * .05,
	}
	if o.random.IntN(2) == 0 {
		info.Key = o.random.Uint64N(20) + 1
	}
	r, actions := o.RequestArrived(o.now, info, fmt.Sprint("id", o.lastRef))
	o.countAttempts(r, actions)
	o.inFlight = append(o.inFlight, r)
}

func (o *randomOwner) stepRequest(n int, r *Request) {
	switch {
	case n < 30:
		if sent := o.attempts[r]; sent > 0 {
			outcome := balance.Outcome(o.random.IntN(9) * o.random.IntN(2))
			index, latency := o.random.IntN(sent), o.random.Float64()*.3
			o.countAttempts(r, r.AttemptEnded(o.now, index, outcome, latency, outcome == balance.Succeeded))
		}
	case n < 32:
		r.ClientDisconnected(o.now)
	case n < 34:
		o.countAttempts(r, r.TimerFired(o.now))
	default:
		o.TimerFired(o.now)
	}
}

func (o *randomOwner) stepBalancer(n int) {
	switch {
	case n == 36:
		o.HealthChecked(o.now, o.random.IntN(6), true, balance.LoadReport{InFlight: 3, Utilization: .5})
	case n == 37:
		observation := balance.Observation{NameHash: 2, Class: 0, Age: .1, Value: .4}
		message := balance.GossipMessage{Rate: 9, Observations: []balance.Observation{observation}}
		o.GossipReceived(o.now, 1, message)
	case n == 38 && o.random.IntN(20) == 0:
		o.updateEndpoints()
	case n == 39:
		o.ServerStatuses(o.now)
		o.OutcomesReported(o.now, []balance.ReportedOutcomes{{Endpoint: 1, Succeeded: 3, Failed: 1}})
	}
}

func (o *randomOwner) countAttempts(r *Request, actions *balance.Actions) {
	for i := range actions.Requests {
		if action := &actions.Requests[i]; action.Send && action.Ref == r.Ref {
			o.attempts[r]++
		}
	}
}

func openFile(name string) (io.ReadCloser, error) { return os.Open(name) }

// replayFolder replays the captures in a folder. Warnings and actions that differ from the recorded ones fail the test.
func replayFolder(t require.TestingT, dir string) *Player {
	files, err := Files(dir)
	require.NoError(t, err)
	p := &Player{Warn: func(text string) { require.Fail(t, text) }}
	require.NoError(t, p.Play(files, openFile))
	return p
}
