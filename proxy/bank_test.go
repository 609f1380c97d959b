package proxy

import (
	"context"
	"fmt"
	"io"
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

// member makes a proxy of a fleet of two, each client process having one of its own; notes go by loopback sockets.
func member(t *testing.T, number int, own, other string, plays map[string][]string) *yard {
	return made(t, plays, func(l *BootstrapConfig) {
		l.Fleet = bootstrap.Fleet{Listen: own, Peers: map[int]string{1 - number: other}}
		l.Proxies, l.Self, l.Sidecar, l.Gossip, l.HealthChecks = 2, number, true, true, true
		l.GossipCost, l.HealthCheckCost, l.MaxAttempts = 0.001, 0.001, 1
	})
}

func (y *yard) beliefs() []balance.ServerStatus {
	got := make(chan []balance.ServerStatus)
	y.post(func() { got <- y.pools.platform.decisions.ServerStatuses(y.now()) })
	return <-got
}

// What one proxy learns of a failing server reaches the other, which has sent nothing there; loads come by probes, and
// a report of unknown fields tells nothing and harms nothing.
func TestOneProxyTellsTheOther(t *testing.T) {
	plays := map[string][]string{"b1": {strings.Replace(ok, "X-From", "x-load: outstanding:1,utilization:0.5\r\nX-From", 1)},
		"b2": {strings.Replace(fault, "Content", "X-Load: novel:1\r\nContent", 1)}}
	var addrs []string
	for range 2 {
		c, err := net.ListenPacket("udp", "127.0.0.1:0")
		require.NoError(t, err)
		defer c.Close()
		addrs = append(addrs, c.LocalAddr().String())
		c.Close()
	}
	busy, quiet := member(t, 0, addrs[0], addrs[1], plays), member(t, 1, addrs[1], addrs[0], plays)
	ctx, stop := context.WithCancel(context.Background())
	for _, y := range []*yard{busy, quiet} {
		go func() { y.served <- y.Serve(ctx, y) }()
	}
	before := quiet.beliefs()
	assert.Equal(t, before[0].Payoff, before[1].Payoff, "nothing is known yet")
	for i := range 60 {
		c := busy.client()
		go io.WriteString(c, strings.Replace(look, "t1", fmt.Sprint("t", i), 1))
		_, _, _, err := answer(c)
		require.NoError(t, err)
		c.Close()
	}
	assert.Eventually(t, func() bool {
		b := quiet.beliefs()
		return b[1].Payoff < b[0].Payoff-0.05
	}, 5*time.Second, time.Millisecond)
	hook := test.NewLocal(quiet.log.(*logrus.Entry).Logger)
	other := quiet.bootstrap
	other.Fleet.Listen = "127.0.0.1:1"
	quiet.ReloadBootstrap(other)
	quiet.beliefs()
	require.NotEmpty(t, hook.AllEntries())
	assert.Contains(t, hook.AllEntries()[0].Message, "peers", "what is told anew of them counts from the next start")
	stop()
	for i, y := range []*yard{busy, quiet} {
		assert.NoError(t, <-y.served)
		c, err := net.ListenPacket("udp", addrs[i])
		require.NoError(t, err, "its address is free again")
		c.Close()
	}
	got := strings.Join(busy.got, "\n")
	for _, asked := range []string{"b1 GET /load", "b2 GET /load", "b2 GET /look"} {
		assert.Contains(t, got, asked)
	}
	assert.NotContains(t, strings.Join(quiet.got, "\n"), "/look")
	assert.Equal(t, busy.broken, broken(), "invariants")
}

// Danger: a note numbers the platform's classes; one of an operator's pool would be taken for those.
func TestPoolsTellNoNotes(t *testing.T) {
	y := member(t, 0, "", "", nil)
	s, faults := config.Read("f.toml", []byte(operated))
	require.Empty(t, faults)
	o, err := y.buildRouting(s, nil)
	require.NoError(t, err)
	for b, tells := range map[Decisions]bool{y.pools.platform.decisions: true, o.pools["first"].decisions: false} {
		_, orders := b.RequestArrived(y.now(), balance.RequestInfo{Deadline: y.now() + 1}, "")
		assert.Equal(t, tells, orders.Gossip != nil)
	}
}
