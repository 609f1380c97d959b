package proxy

import (
	"context"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"lockloom/balance"
	"lockloom/internal/http1"
)

// socketEnv is a proxy on real sockets, with two servers, of which a test can block the dialing and the owner.
type socketEnv struct {
	*Proxy
	t              *testing.T
	listener       net.Listener
	mu             sync.Mutex
	dialGate       chan struct{} // connections to servers are opened once it is closed
	respond        func(n int, end net.Conn)
	received       atomic.Int32 // requests that servers have received
	discoveryDials atomic.Int32 // connection attempts to discovery
	cancel         context.CancelFunc
}

// startSocketEnv starts the proxy. respond is what a server does with the n-th request, counted over all servers.
func startSocketEnv(t *testing.T, respond func(n int, end net.Conn)) *socketEnv {
	t.Helper()
	return startSocketEnvWithSockets(t, 1024, respond)
}

func startSocketEnvWithSockets(t *testing.T, sockets int, respond func(n int, end net.Conn)) *socketEnv {
	t.Helper()
	s := &socketEnv{t: t, dialGate: make(chan struct{}), respond: respond}
	cfg := BootstrapConfig{Name: "n0", Discovery: "agent", KnownEndpoints: List{Version: 1, Full: true},
		Limits: Limits{Cores: 1, Memory: 1 << 27, Sockets: sockets},
		Settings: Settings{ConnectTimeout: 5, DrainGrace: 2.5, Deployment: balance.Deployment{Proxies: 1, MaxAttempts: 4,
			CancelAllowed: true, HedgingAllowed: true,
			Classes: []balance.Class{{Name: "look", LatencyObjective: 4, Deadline: 5, PriorityWeight: 1},
				{Name: "sms", Idempotency: balance.NonIdempotent, LatencyObjective: 4, Deadline: 5, PriorityWeight: 1}}}}}
	for _, id := range []string{"b1", "b2"} {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		t.Cleanup(func() { ln.Close() })
		go func() {
			for end, err := ln.Accept(); err == nil; end, err = ln.Accept() {
				go s.runServer(end)
			}
		}()
		entry := listEntry(id, balance.Ready)
		entry.Addr = ln.Addr().String()
		cfg.KnownEndpoints.Entries = append(cfg.KnownEndpoints.Entries, entry)
	}
	log, _ := test.NewNullLogger()
	p, err := New(cfg, log)
	require.NoError(t, err)
	s.Proxy = p
	p.Dial = func(ctx context.Context, addr string) (net.Conn, error) {
		if addr == "agent" {
			s.discoveryDials.Add(1)
			<-ctx.Done()
			return nil, ctx.Err()
		}
		s.mu.Lock()
		gate := s.dialGate
		s.mu.Unlock()
		<-gate
		return dial(ctx, addr)
	}
	s.listener, err = net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	ctx, stop := context.WithCancel(t.Context())
	s.cancel = stop
	served := make(chan error, 1)
	go func() { served <- p.Serve(ctx, s.listener) }()
	t.Cleanup(func() {
		stop()
		assert.NoError(t, <-served)
	})
	return s
}

func (s *socketEnv) runServer(end net.Conn) {
	defer end.Close()
	r := http1.NewReader(end)
	r.AllowLargeBodies = true
	for {
		h, err := r.Request()
		if err != nil {
			return
		}
		r.SetMaxBytes(maxBodyBytes)
		if _, err = r.Body(h.Length, h.Chunked); err != nil {
			return
		}
		s.respond(int(s.received.Add(1)), end)
	}
}

func (s *socketEnv) connect() *net.TCPConn {
	conn, err := net.Dial("tcp", s.listener.Addr().String())
	require.NoError(s.t, err)
	s.t.Cleanup(func() { conn.Close() })
	return conn.(*net.TCPConn)
}

// blockOwner blocks the owner until the returned function is called.
func (s *socketEnv) blockOwner() (unblock func()) {
	blocked, release := make(chan bool), make(chan bool)
	s.post(func() { blocked <- true; <-release })
	<-blocked
	return func() { close(release) }
}

// waitForAttempt waits until the owner has started an attempt, whether or not it is sent yet.
func (s *socketEnv) waitForAttempt() {
	require.Eventually(s.t, func() bool {
		started := make(chan bool, 1)
		s.post(func() { started <- s.counters.Attempts > 0 })
		return <-started
	}, 5*time.Second, time.Millisecond)
}

var longWaitRequest = strings.Replace(idempotentRequest, "In: 0.5", "In: 5", 1)
