package proxy

import (
	"context"
	"fmt"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"lockloom/balance"
	"lockloom/internal/discovery"
	"lockloom/internal/heads"
	"lockloom/internal/launch"
)

// loader is a stand-in for a backend on loopback: it tells its load, and answers lookups as it is made to.
type loader struct {
	addr         string
	probes, legs atomic.Int64
	lookup, load string
}

func load(t *testing.T, lookup, load string) *loader {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { ln.Close() })
	b := &loader{addr: ln.Addr().String(), lookup: lookup, load: load}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go b.serve(c)
		}
	}()
	return b
}

func (b *loader) serve(c net.Conn) {
	defer c.Close()
	for r := heads.NewReader(c); ; {
		h, err := r.Request()
		if err != nil {
			return
		}
		answer := b.lookup
		if string(h.Target) == "/load" {
			b.probes.Add(1)
			answer = "HTTP/1.1 200 OK\r\n" + b.load + "Content-Length: 0\r\n\r\n"
		} else {
			b.legs.Add(1)
		}
		if _, err := io.WriteString(c, answer); err != nil {
			return
		}
	}
}

// member is a proxy of a bank of two on loopback, each client process having one of its own.
func member(t *testing.T, number int, own, other string, listed ...*loader) (p *Proxy, addr string) {
	l := Launch{Name: fmt.Sprint("n", number), Discovery: "127.0.0.1:1", Limits: Limits{Cores: 1, Memory: 1 << 27, Sockets: 264},
		Bank: launch.Bank{Listen: own, Peers: map[int]string{1 - number: other}},
		Figures: Figures{ConnectFor: 1, IdleFor: 5, DrainGrace: 2.5, Deployment: balance.Deployment{
			Seed: 1, Proxies: 2, Self: number, Apart: true, Peers: true, Probes: true, PeerPrice: 0.001, ProbePrice: 0.001,
			MaxLegs: 1, ColdShare: 1, ColdFor: 1, FallMultiple: 3, FallFor: 1,
			Tariffs: []balance.Tariff{{Name: "look", Due: 0.3, HardStop: 1, Value: 1}}}},
		Known: List{Version: 1, Full: true}}
	for i, b := range listed {
		e := discovery.Entry{Addr: b.addr}
		e.Name = fmt.Sprint("b", i)
		l.Known.Entries = append(l.Known.Entries, e)
	}
	log, _ := test.NewNullLogger()
	p, err := New(l, log)
	require.NoError(t, err)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	ctx, stop := context.WithCancel(context.Background())
	served := make(chan error, 1)
	go func() { served <- p.Serve(ctx, ln) }()
	t.Cleanup(func() {
		stop()
		assert.NoError(t, <-served)
	})
	return p, ln.Addr().String()
}

func free(t *testing.T) string {
	c, err := net.ListenPacket("udp", "127.0.0.1:0")
	require.NoError(t, err)
	defer c.Close()
	return c.LocalAddr().String()
}

// beliefs are what a proxy holds of the backends, by their order in the list.
func (p *Proxy) beliefs() []balance.Belief {
	got := make(chan []balance.Belief)
	p.post(func() { got <- p.main.b.Beliefs(p.now()) })
	return <-got
}

// What one proxy learns of a failing backend reaches the other, which has sent nothing there; loads come by probes.
func TestOneProxyTellsTheOther(t *testing.T) {
	good := load(t, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", "X-Load: outstanding:1,utilization:0.5\r\n")
	bad := load(t, fault, "X-Load: novel:1\r\n")
	one, two := free(t), free(t)
	_, addr := member(t, 0, one, two, good, bad)
	quiet, _ := member(t, 1, two, one, good, bad)
	assert.Eventually(t, func() bool { return quiet.ready.Load() }, 5*time.Second, time.Millisecond)
	before := quiet.beliefs()
	assert.Equal(t, before[0].Payoff, before[1].Payoff, "nothing is known yet")
	for i := range 60 {
		c, err := net.Dial("tcp", addr)
		require.NoError(t, err)
		fmt.Fprintf(c, "GET /look HTTP/1.1\r\nX-Trace-Id: t%d\r\nX-Qos: look\r\nX-Expires-In: 1\r\n\r\n", i)
		_, _, _, err = answer(c)
		require.NoError(t, err)
		c.Close()
	}
	require.Positive(t, bad.legs.Load())
	assert.Eventually(t, func() bool {
		b := quiet.beliefs()
		return b[1].Payoff < b[0].Payoff-0.05
	}, 5*time.Second, time.Millisecond)
	assert.Positive(t, good.probes.Load())
	assert.Positive(t, bad.probes.Load(), "a report of unknown fields tells nothing and harms nothing")
}
