package proxy

import (
	"cmp"
	"context"
	"errors"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

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
	options        socketEnvOptions
	received       atomic.Int32 // requests that servers have received
	refusals       atomic.Int32 // connections to servers that are still to be refused
	discoveryDials atomic.Int32 // connection attempts to discovery
	cancel         context.CancelFunc
}

// startSocketEnv starts the proxy. respond is what a server does with the n-th request, counted over all servers.
func startSocketEnv(t *testing.T, respond func(n int, end net.Conn)) *socketEnv {
	t.Helper()
	return startSocketEnvWith(t, socketEnvOptions{respond: respond})
}

// socketEnvOptions are the servers' behavior and the limits of a socketEnv. The zero values of the fields with a
// default stand for it.
type socketEnvOptions struct {
	respond           func(n int, end net.Conn) // what a server does with the n-th request, counted over all servers
	receiveBody       func(body io.Reader)      // how a server reads a body; default: at once, to its end
	sockets           int                       // the proxy's file descriptors; default: 1024
	serverSocketBytes int                       // of each buffer of a connection to a server; default: the system's
	clientSocketBytes int                       // of the receive buffer of client connections; default: the system's
}

func startSocketEnvWith(t *testing.T, options socketEnvOptions) *socketEnv {
	t.Helper()
	s := &socketEnv{t: t, dialGate: make(chan struct{}), options: options}
	sockets := cmp.Or(options.sockets, 1024)
	cfg := BootstrapConfig{Name: "n0", Discovery: "agent", KnownEndpoints: List{Version: 1, Full: true},
		Limits: Limits{Cores: 1, Memory: 1 << 27, Sockets: sockets},
		Settings: Settings{ConnectTimeout: 5, DrainGrace: 2.5, Deployment: balance.Deployment{Proxies: 1, MaxAttempts: 4,
			CancelAllowed: true, HedgingAllowed: true,
			Classes: []balance.Class{{Name: "look", LatencyObjective: 4, Deadline: 5, PriorityWeight: 1},
				{Name: "sms", Idempotency: balance.NonIdempotent, LatencyObjective: 4, Deadline: 5, PriorityWeight: 1},
				{Name: "sign", Idempotency: balance.Keyed, DedupWindow: 5, LatencyObjective: 4, Deadline: 5, PriorityWeight: 1},
			}}}}
	for _, id := range []string{"b1", "b2"} {
		ln := listen(t, options.serverSocketBytes)
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
		if s.refusals.Add(-1) >= 0 {
			return nil, errors.New("refused")
		}
		conn, err := dial(ctx, addr)
		if err == nil && options.serverSocketBytes > 0 {
			err = conn.(*net.TCPConn).SetWriteBuffer(options.serverSocketBytes)
		}
		return conn, err
	}
	s.listener = listen(t, options.clientSocketBytes)
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
		if !s.readBody(r.StreamBody(h.Length, h.Chunked)) {
			return
		}
		s.options.respond(int(s.received.Add(1)), end)
	}
}

// readBody reads a body as the options say, and reports whether it is complete.
func (s *socketEnv) readBody(body io.Reader) bool {
	if s.options.receiveBody != nil {
		s.options.receiveBody(body)
	}
	_, err := io.Copy(io.Discard, body)
	return err == nil
}

// listen returns a listener whose connections have a receive buffer of so many bytes; 0: the system's default.
func listen(t *testing.T, bufferBytes int) net.Listener {
	t.Helper()
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			if bufferBytes > 0 {
				assert.NoError(t, unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, bufferBytes))
			}
		})
	}}
	ln, err := config.Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { ln.Close() })
	return ln
}

// ask sends a request in parts of a size, with a pause between them, and returns the status of the response and how
// long after the last part it was received.
func (s *socketEnv) ask(request string, partBytes int, pause time.Duration) (status int, took time.Duration) {
	s.t.Helper()
	conn := s.connect()
	for ; len(request) > partBytes; time.Sleep(pause) {
		write(conn, request[:partBytes])
		request = request[partBytes:]
	}
	write(conn, request)
	sentAt := time.Now()
	require.NoError(s.t, conn.SetReadDeadline(sentAt.Add(4*time.Second)))
	status, _, _, err := readResponse(conn)
	require.NoError(s.t, err, "no response")
	return status, time.Since(sentAt)
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
