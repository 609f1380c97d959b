package discovery

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/assert"

	"lockloom/internal/discovery/notification"
)

// localAgent is a discovery agent on the proxy's own machine that fails from failsAt to restoredAt.
type localAgent struct {
	failure        string // the kind of failure, see dial and serve
	failsAt        time.Time
	restoredAt     time.Time
	changedVersion int // version of the list from restoredAt on
}

func (a *localAgent) failed() bool {
	now := time.Now()
	return !now.Before(a.failsAt) && now.Before(a.restoredAt)
}

func (a *localAgent) dial(ctx context.Context, _ string) (net.Conn, error) {
	if a.failed() && a.failure == "refuses" {
		return nil, errors.New("refused")
	}
	if a.failed() && a.failure == "hangs" {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	clientConn, serverConn := net.Pipe()
	go a.serve(serverConn)
	return clientConn, nil
}

// serve handles the agent's side of one connection: it reads the request for the list, then sends lists and heartbeats,
// or fails in the way that failure names.
func (a *localAgent) serve(serverConn net.Conn) {
	defer serverConn.Close()
	if receive(serverConn) == "" {
		return
	}
	unsent := streamHead + listChunk(1, true)
	if a.failed() {
		switch a.failure {
		case "resets":
			return
		case "silent for good":
			time.Sleep(time.Hour)
		case "silent after its head":
			send(serverConn, streamHead)
			time.Sleep(time.Hour)
		case "silent after half a list":
			send(serverConn, streamHead+chunk(`{"version":41,`))
			time.Sleep(time.Hour)
		case "sends garbage":
			send(serverConn, streamHead+chunk("junk\n"))
			return
		case "rejects":
			reject(serverConn)
			return
		default: // "holds": the agent holds back its response until restoredAt
			time.Sleep(time.Until(a.restoredAt))
		}
	}
	if !time.Now().Before(a.restoredAt) {
		unsent = streamHead + listChunk(a.changedVersion, true)
	}
	for sentAt := time.Now(); ; time.Sleep(100 * time.Millisecond) {
		if unsent != "" {
			if !send(serverConn, unsent) {
				return
			}
			unsent = ""
			sentAt = time.Now()
		}
		if time.Since(sentAt) >= 2*time.Second {
			unsent = chunk("\n")
		}
		if a.failed() {
			if a.failure == "resets" || a.failure == "refuses" {
				return
			}
			time.Sleep(time.Hour) // an open watch does not recover
		}
	}
}

// Guards against retrying a failed local agent too slowly. A change counts as received from the time at which the agent
// is restored, and the grace of a drain may be as short as 2.5 s: the retry delay for a discovery service that the
// whole fleet shares would be too long for an agent that serves only this proxy.
func TestChangeIsReceivedWithinGraceAfterAnOutage(t *testing.T) {
	for _, failure := range []string{
		"holds", "refuses", "hangs", "resets", "silent for good", "silent after its head", "silent after half a list",
		"sends garbage",
	} {
		worst := 0.0 // fraction of the grace used
		for _, fleetSize := range []int{1, 8, 80, 350, 1024} {
			for _, duration := range []time.Duration{
				100 * time.Millisecond, time.Second, 8 * time.Second, 30 * time.Second, 10 * time.Minute,
			} {
				worst = max(worst, graceUsedAfterOutage(t, failure, fleetSize, duration))
			}
		}
		t.Logf("%s: received at most %.2f of the grace after it counts as received", failure, worst)
		assert.Less(t, worst, 1.0, failure)
	}
}

// graceUsedAfterOutage returns the time from when a change counts as received to when it is received, as a fraction of
// the grace of a drain.
func graceUsedAfterOutage(t *testing.T, failure string, fleetSize int, duration time.Duration) (used float64) {
	t.Helper()
	grace := map[int]float64{1: 0.3, 8: 1, 80: 2.5, 350: 1, 1024: 0.5}[fleetSize]
	synctest.Test(t, func(t *testing.T) {
		log, _ := test.NewNullLogger()
		agent := &localAgent{failure: failure, failsAt: time.Now().Add(5300 * time.Millisecond), changedVersion: 43}
		agent.restoredAt = agent.failsAt.Add(duration)
		ctx, stop := context.WithCancel(t.Context())
		var receivedAt time.Time
		w := &Watch{
			Addr:        "agent:1",
			FleetSize:   fleetSize,
			DrainGrace:  grace,
			Dial:        agent.dial,
			Log:         log,
			OnConnected: func() {},
			OnList: func(l List) {
				if l.Version == int64(agent.changedVersion) && receivedAt.IsZero() {
					receivedAt = time.Now()
					assert.False(t, l.NotifiedAt.After(agent.restoredAt), "a change may count as received from restoredAt on")
				}
			},
			Rand: rand.New(rand.NewPCG(1, uint64(fleetSize))).Float64,
		}
		go w.Run(ctx)
		time.Sleep(time.Until(agent.restoredAt) + 10*time.Second)
		stop()
		synctest.Wait()
		assert.False(t, receivedAt.IsZero(), "%s, fleet of %d, %v", failure, fleetSize, duration)
		// Changes that the watch missed count as received from the notification deadline on, if it is after restoredAt.
		untilDeadline := time.Until(agent.failsAt.Add(toDuration(notification.DeadlineDelay))) + time.Since(agent.restoredAt)
		used = (receivedAt.Sub(agent.restoredAt) - max(0, untilDeadline)).Seconds() / grace
		time.Sleep(3 * time.Hour) // until the agent's goroutines end
	})
	return used
}

// Guards against too long a delay after a rejected call: a change counts as received 6 s after discovery has it and no
// longer rejects calls, and the proxy must receive it within the grace of a drain after these 6 s.
func TestChangeIsReceivedAfterRejectionsEnd(t *testing.T) {
	for _, fleetSize := range []int{1, 8, 80, 350, 1024} {
		const grace = 0.5
		const limit = notification.DeadlineDelay + grace
		worst := 0.0
		for seed := range uint64(20) {
			synctest.Test(t, func(t *testing.T) {
				log, _ := test.NewNullLogger()
				agent := &localAgent{failure: "rejects", failsAt: time.Now(), changedVersion: 43}
				agent.restoredAt = agent.failsAt.Add(time.Duration(seed+1) * 3 * time.Second)
				ctx, stop := context.WithCancel(t.Context())
				var receivedAt time.Time
				w := &Watch{
					Addr:        "agent:1",
					FleetSize:   fleetSize,
					DrainGrace:  grace,
					Dial:        agent.dial,
					Log:         log,
					OnConnected: func() {},
					OnList:      func(List) { receivedAt = time.Now() },
					Rand:        rand.New(rand.NewPCG(seed, uint64(fleetSize))).Float64,
				}
				go w.Run(ctx)
				time.Sleep(time.Until(agent.restoredAt) + toDuration(limit))
				stop()
				synctest.Wait()
				assert.False(t, receivedAt.IsZero(), "fleet of %d, rejected for %v",
					fleetSize, agent.restoredAt.Sub(agent.failsAt))
				worst = max(worst, receivedAt.Sub(agent.restoredAt).Seconds())
				time.Sleep(3 * time.Hour)
			})
		}
		t.Logf("fleet of %d: received at most %.2f s after discovery stopped rejecting calls", fleetSize, worst)
	}
}
