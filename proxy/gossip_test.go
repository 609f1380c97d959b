package proxy

import (
	"context"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"lockloom/balance"
	"lockloom/internal/bootstrap"
	"lockloom/internal/config"
)

// newFleetMember makes one of two proxies of a fleet, as sidecars of their clients. They gossip over loopback sockets.
func newFleetMember(t *testing.T, number int, listenAddr, peerAddr string, behaviors map[string][]string) *testEnv {
	t.Helper()
	return newEnv(t, behaviors, func(cfg *BootstrapConfig) {
		cfg.Fleet = bootstrap.Fleet{Listen: listenAddr, Peers: map[int]string{1 - number: peerAddr}}
		cfg.Proxies, cfg.ProxyIndex, cfg.Sidecar, cfg.Gossip, cfg.HealthChecks = 2, number, true, true, true
		cfg.GossipCost, cfg.HealthCheckCost, cfg.MaxAttempts = 0.001, 0.001, 1
	})
}

// A proxy learns of a failing server from a peer, without sending anything there. Load reports come by health checks; a
// report with unknown fields only is ignored.
func TestGossipSharesServerFailures(t *testing.T) {
	behaviors := map[string][]string{
		"b1": {strings.Replace(okResponse, "X-From", "x-load: outstanding:1,utilization:0.5\r\nX-From", 1)},
		"b2": {strings.Replace(faultResponse, "Content", "X-Load: novel:1\r\nContent", 1)},
	}
	var addrs []string
	for range 2 {
		c, err := net.ListenPacket("udp", "127.0.0.1:0")
		require.NoError(t, err)
		addrs = append(addrs, c.LocalAddr().String())
		require.NoError(t, c.Close())
	}
	busy := newFleetMember(t, 0, addrs[0], addrs[1], behaviors)
	quiet := newFleetMember(t, 1, addrs[1], addrs[0], behaviors)
	ctx, stop := context.WithCancel(context.Background())
	for _, env := range []*testEnv{busy, quiet} {
		go func() { env.serveResult <- env.Serve(ctx, env) }()
	}
	before := quiet.serverStatuses()
	assert.Equal(t, before[0].Payoff, before[1].Payoff, "no results yet")
	for i := range 60 {
		c := busy.connect()
		go write(c, strings.Replace(idempotentRequest, "t1", fmt.Sprint("t", i), 1))
		_, _, _, err := readResponse(c)
		require.NoError(t, err)
		require.NoError(t, c.Close())
	}
	assert.Eventually(t, func() bool {
		b := quiet.serverStatuses()
		return b[1].Payoff < b[0].Payoff-0.05
	}, 5*time.Second, time.Millisecond)
	hook := test.NewLocal(quiet.log.(*logrus.Entry).Logger)
	changed := quiet.bootstrap
	changed.Fleet.Listen = "127.0.0.1:1"
	quiet.ReloadBootstrap(changed)
	quiet.serverStatuses()
	require.NotEmpty(t, hook.AllEntries())
	assert.Contains(t, hook.AllEntries()[0].Message, "peers", "changed peers take effect at the next start")
	stop()
	for i, env := range []*testEnv{busy, quiet} {
		assert.NoError(t, <-env.serveResult)
		c, err := net.ListenPacket("udp", addrs[i])
		require.NoError(t, err, "the gossip address is free again")
		require.NoError(t, c.Close())
	}
	got := strings.Join(busy.received, "\n")
	for _, request := range []string{"b1 GET /load", "b2 GET /load", "b2 GET /look"} {
		assert.Contains(t, got, request)
	}
	assert.NotContains(t, strings.Join(quiet.received, "\n"), "/look")
	assert.Equal(t, busy.brokenBefore, brokenInvariants(), "number of broken invariants")
}

// Gossip messages refer to classes by their index among the platform's classes. An operator's pool has other classes,
// so peers would apply its messages to the wrong ones.
func TestOperatorPoolsSendNoGossip(t *testing.T) {
	env := newFleetMember(t, 0, "", "", nil)
	cfg, faults := config.Parse("f.toml", []byte(operatorFile))
	require.Empty(t, faults)
	routing, err := env.buildRouting(cfg, nil)
	require.NoError(t, err)
	for decisions, sendsGossip := range map[Decider]bool{
		env.pools.platform.decisions:     true,
		routing.pools["first"].decisions: false,
	} {
		_, actions := decisions.RequestArrived(env.now(), balance.RequestInfo{Deadline: env.now() + 1}, "")
		assert.Equal(t, sendsGossip, actions.Gossip != nil)
	}
}
