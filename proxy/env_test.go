package proxy

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/assert"

	"lockloom/balance"
	"lockloom/internal/admin"
	"lockloom/internal/discovery"
	"lockloom/internal/http1"
	"lockloom/internal/invariant"
	"lockloom/internal/settings"
)

// Behaviors of a fake server for a request. A value that is a response is written as it is; any other value names what
// the server does instead.
const (
	okResponse             = "HTTP/1.1 200 OK\r\nX-From: b\r\nContent-Length: 4\r\n\r\nbody"
	neverRanResponse       = "HTTP/1.1 503 x\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n"
	plain503Response       = "HTTP/1.1 503 x\r\nContent-Length: 0\r\n\r\n"
	invalidRequestResponse = "HTTP/1.1 400 x\r\nContent-Length: 0\r\n\r\n"
	faultResponse          = "HTTP/1.1 500 x\r\nContent-Length: 0\r\n\r\n"
	closeConnection        = "cut"
	cutInBody              = "cut in a body"
	earlyResponse          = "HTTP/1.1 400 x\r\nContent-Length: 0\r\n\r\n"
	cutAfterDelay          = "cut after 0.23 s"
	refuseConnection       = "refused"
	noResponse             = ""
)

// testEnv is a proxy on connections in memory. The test acts as its clients, servers and discovery. As a net.Listener
// it is the platform's.
type testEnv struct {
	*Proxy
	t             *testing.T
	platformConns chan net.Conn // client connections to be accepted
	operatorConns chan net.Conn // the same, of the operator's listener
	closed        chan struct{} // closed when the listeners are
	cancel        context.CancelFunc
	serveResult   chan error
	brokenBefore  int // broken invariants when the environment was made

	mu sync.Mutex // guards the fields below
	fakeServers
	fakeDiscovery
}

// fakeServers configures the behavior of the fake servers and records what they receive.
type fakeServers struct {
	behaviors    map[string][]string // by server address (or "any"), used one after the other; the last is repeated
	respondWith  func(end net.Conn)  // replaces the behavior of all servers; nil: it does not
	streamBodies bool                // request bodies of any size are read as a stream
	recordHeads  bool                // received includes all header fields
	dialDelay    time.Duration       // how long opening a connection takes
	dialed       []string            // addresses
	received     []string            // requests: address, head and body
	bodyBytes    int64               // bytes of streamed bodies that were read
	closedConns  int                 // connections that a server has closed
}

// fakeDiscovery is the discovery service, at one or more addresses.
type fakeDiscovery struct {
	listUpdates map[string]chan string // changes of the endpoint list to send, by address of the discovery service
	watchLog    []string               // address and requested version of each watch, and its end
}

func (env *testEnv) Accept() (net.Conn, error) {
	select {
	case <-env.closed: // also for a caller that was waiting
		return nil, net.ErrClosed
	default:
	}
	select {
	case c := <-env.platformConns:
		return c, nil
	case <-env.closed:
		return nil, net.ErrClosed
	}
}

func (env *testEnv) Close() error { close(env.closed); return nil }

func (env *testEnv) Addr() net.Addr { return &net.TCPAddr{} }

func listEntry(id string, state balance.EndpointState) discovery.Entry {
	return discovery.Entry{Entry: settings.Entry{Name: id, Endpoint: balance.Endpoint{State: state}}, Addr: id}
}

// startEnv starts a proxy whose servers have their ids as names and addresses.
func startEnv(t *testing.T, behaviors map[string][]string, set func(*BootstrapConfig)) *testEnv {
	t.Helper()
	env := newEnv(t, behaviors, set)
	env.start()
	return env
}

// newEnv makes such a proxy without starting it.
func newEnv(t *testing.T, behaviors map[string][]string, set func(*BootstrapConfig)) *testEnv {
	t.Helper()
	cfg := BootstrapConfig{
		Name:      "n0",
		Discovery: "agent",
		Limits:    Limits{Cores: 1, Memory: 1 << 27, Sockets: 264},
		Settings: Settings{ConnectTimeout: 0.075, DrainGrace: 2.5, Deployment: balance.Deployment{
			ServerIdleTimeout: 5, Seed: 1, Proxies: 1, MaxAttempts: 4, CancelAllowed: true, MaxRetryAfter: 1,
			SlowStartFraction: 1, SlowStartDuration: 1, CrashFactor: 3, CrashDuration: 1,
			Classes: []balance.Class{
				{Name: "look", LatencyObjective: 0.3, Deadline: 1, PriorityWeight: 1},
				{Name: "sign", Idempotency: balance.Keyed, DedupScope: balance.DedupPod, DedupWindow: 0.3,
					LatencyObjective: 0.2, Deadline: 0.5, PriorityWeight: 5},
				{Name: "sms", Idempotency: balance.NonIdempotent, LatencyObjective: 0.3, Deadline: 1.2,
					PriorityWeight: 2},
			},
		}},
		KnownEndpoints: List{Version: 1, Full: true},
	}
	for _, id := range []string{"b1", "b2", "b3"} {
		if behaviors[id] != nil {
			cfg.KnownEndpoints.Entries = append(cfg.KnownEndpoints.Entries, listEntry(id, balance.Ready))
		}
	}
	if set != nil {
		set(&cfg)
	}
	log, _ := test.NewNullLogger()
	p, err := New(cfg, log)
	assert.NoError(t, err)
	env := &testEnv{
		Proxy:         p,
		t:             t,
		platformConns: make(chan net.Conn, 100),
		closed:        make(chan struct{}),
		serveResult:   make(chan error, 1),
		brokenBefore:  brokenInvariants(),
		fakeServers:   fakeServers{behaviors: behaviors},
	}
	env.listUpdates = map[string]chan string{"agent": make(chan string, 10), "agent2": make(chan string, 10)}
	p.Dial = env.dialServer
	return env
}

func (env *testEnv) start() {
	ctx, stop := context.WithCancel(context.Background())
	env.cancel = stop
	go func() { env.serveResult <- env.Serve(ctx, env) }()
	synctest.Wait()
}

// stopAndWait stops the proxy, waits until all its goroutines have ended, and checks that no invariant was broken.
func (env *testEnv) stopAndWait() {
	env.cancel()
	assert.NoError(env.t, <-env.serveResult)
	time.Sleep(time.Minute)
	synctest.Wait()
	assert.Equal(env.t, env.brokenBefore, brokenInvariants(), "number of broken invariants")
}

// brokenInvariants returns how often invariants were broken so far.
func brokenInvariants() int {
	n := 0
	for _, times := range invariant.Broken() {
		n += times
	}
	return n
}

// dialServer is the proxy's Dial: it connects to a fake server or to the fake discovery.
func (env *testEnv) dialServer(ctx context.Context, addr string) (net.Conn, error) {
	ours, theirs := net.Pipe()
	if changes := env.listUpdates[addr]; changes != nil {
		go env.runDiscovery(addr, theirs, changes)
		return ours, nil
	}
	time.Sleep(env.dialDelay)
	env.mu.Lock()
	defer env.mu.Unlock()
	env.dialed = append(env.dialed, addr)
	if env.nextBehavior(addr, refuseConnection) == refuseConnection {
		return nil, errors.New("connection refused")
	}
	go env.runServer(addr, theirs)
	return ours, nil
}

// runDiscovery answers one watch with changes of the list.
func (env *testEnv) runDiscovery(addr string, end net.Conn, changes chan string) {
	r := http1.NewReader(end)
	h, _ := r.Request()
	_, from, _ := strings.Cut(string(h.Target), "index=")
	env.mu.Lock()
	env.watchLog = append(env.watchLog, addr+" from "+from)
	env.mu.Unlock()
	ended := make(chan struct{})
	go func() {
		waitForEnd(r)
		env.mu.Lock()
		env.watchLog = append(env.watchLog, addr+" ended")
		env.mu.Unlock()
		close(ended)
	}()
	write(end, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
	for line := "\n"; ; {
		if _, err := fmt.Fprintf(end, "%x\r\n%s\r\n", len(line), line); err != nil {
			return
		}
		select {
		case line = <-changes:
			line += "\n"
		case <-ended:
			return
		case <-time.After(2 * time.Second):
			line = "\n"
		}
	}
}

// nextBehavior returns what a server is to do now, and advances to its next behavior. If advanceFrom is set, it
// advances only from that behavior: refuseConnection is used up by opening a connection, all others by a request.
func (env *testEnv) nextBehavior(addr string, advanceFrom string) string {
	if env.behaviors["any"] != nil {
		addr = "any"
	}
	behaviors := env.behaviors[addr]
	if len(behaviors) > 1 && (advanceFrom == "" || behaviors[0] == advanceFrom) {
		env.behaviors[addr] = behaviors[1:]
	}
	return behaviors[0]
}

// runServer serves one connection to a fake server.
func (env *testEnv) runServer(addr string, end net.Conn) {
	defer func() {
		end.Close()
		env.mu.Lock()
		env.closedConns++
		env.mu.Unlock()
	}()
	r := http1.NewReader(end)
	r.AllowLargeBodies = env.streamBodies
	for {
		h, err := r.Request()
		if err != nil {
			return
		}
		head := addr + " " + string(h.Method) + " " + string(h.Target) + " "
		for _, name := range []string{"X-Trace-Id", "Idempotency-Key", "X-Expires-In"} {
			head += string(h.Get(name)) + " "
		}
		for i := 0; env.recordHeads && i < len(h.Fields); i++ {
			head += "\n" + string(h.Fields[i].Name) + ": " + string(h.Fields[i].Value)
		}
		var body []byte
		if !env.streamBodies {
			if body, err = r.Body(h.Length, h.Chunked); err != nil {
				return
			}
		}
		env.mu.Lock()
		env.received = append(env.received, head+string(body))
		behavior := env.nextBehavior(addr, "")
		env.mu.Unlock()
		if env.streamBodies && behavior != earlyResponse {
			body := r.StreamBody(h.Length, h.Chunked)
			if behavior == cutInBody {
				body = io.LimitReader(body, 100_000)
			}
			n, err := io.Copy(io.Discard, body)
			env.mu.Lock()
			env.bodyBytes += n
			env.mu.Unlock()
			if err != nil || behavior == cutInBody {
				return
			}
		}
		if env.respondWith != nil {
			env.respondWith(end)
			continue
		}
		switch behavior {
		case closeConnection:
			return
		case cutAfterDelay:
			time.Sleep(230 * time.Millisecond)
			return
		case noResponse:
			waitForEnd(r)
			return
		}
		write(end, behavior)
	}
}

// connect opens a client connection to the proxy.
func (env *testEnv) connect() net.Conn {
	ours, theirs := net.Pipe()
	env.platformConns <- theirs
	return ours
}

// waitForEnd waits until the other side sends something or closes.
func waitForEnd(r *http1.Reader) { _ = r.Wait() }

// readOK reads a response and checks its status.
func (env *testEnv) readOK(conn net.Conn) {
	env.t.Helper()
	status, _, _, err := readResponse(conn)
	assert.NoError(env.t, err)
	assert.Equal(env.t, 200, status)
}

// readResponse reads a response and returns its status, a copy of its head, and its body.
func readResponse(c net.Conn) (int, *http1.Head, string, error) {
	r := http1.NewReader(c)
	h, err := r.Response()
	if err != nil {
		return 0, nil, "", err
	}
	status, copied := h.Status, *h
	copied.Fields = nil
	for _, f := range h.Fields {
		copied.Fields = append(copied.Fields, http1.Field{Name: []byte(string(f.Name)), Value: []byte(string(f.Value))})
	}
	r.SetMaxBytes(1 << 20)
	body, err := r.Body(h.Length, h.Chunked)
	return status, &copied, string(body), err
}

// roundTrip sends a request on a new connection and reads the response.
func (env *testEnv) roundTrip(request string) (int, *http1.Head, string, error) {
	c := env.connect()
	go write(c, request)
	status, h, body, err := readResponse(c)
	synctest.Wait()
	c.Close()
	return status, h, body, err
}

// Requests of three classes: idempotent, keyed and non-idempotent.
const (
	idempotentRequest = "GET /look?user=7 HTTP/1.1\r\nX-Trace-Id: t1\r\nX-Qos: look\r\nX-Expires-In: 0.5\r\n\r\n"
	keyedRequest      = "POST /sign HTTP/1.1\r\nX-Trace-Id: t2\r\nX-Qos: sign\r\nX-Expires-In: 0.5\r\n" +
		"Idempotency-Key: k\r\nContent-Length: 3\r\n\r\nabc"
	nonIdempotentRequest = "POST /sms HTTP/1.1\r\nX-Trace-Id: t3\r\nX-Qos: sms\r\nX-Expires-In: 0.5\r\n" +
		"Content-Length: 3\r\n\r\nabc"
)

// updateList makes discovery send a change of the list, and waits until it is applied.
func (env *testEnv) updateList(line string) {
	env.listUpdates["agent"] <- line
	synctest.Wait()
}

func listChange(version int, id, state string, started int) string {
	return fmt.Sprintf(`{"version":%d,"full":false,"servers":[{"id":%q,"addr":%q,"state":%q,"started_ms":%d}]}`,
		version, id, id+":1", state, started)
}

// requestsByServer counts the requests that each server has received since the last call.
func (env *testEnv) requestsByServer() map[string]int {
	env.mu.Lock()
	defer env.mu.Unlock()
	counts := map[string]int{}
	for _, request := range env.received {
		counts[request[:2]]++
	}
	env.received = nil
	return counts
}

func (env *testEnv) sendRequests(n int) {
	for i := range n {
		id := "a" + string(rune('a'+i%26)) + string(rune('a'+i/26))
		_, _, _, err := env.roundTrip(strings.Replace(idempotentRequest, "t1", id, 1))
		assert.NoError(env.t, err)
	}
}

func (env *testEnv) serverStatuses() []balance.ServerStatus {
	got := make(chan []balance.ServerStatus)
	env.post(func() { got <- env.pools.platform.decisions.ServerStatuses(env.now()) })
	return <-got
}

func (env *testEnv) adminCall(act admin.Action, id string) int {
	status, _ := env.Administer(admin.Call{Action: act, ID: id})
	synctest.Wait()
	return status
}

// write writes to a connection. It ignores errors: if the other side has closed the connection, the next read of the
// test fails.
func write(w io.Writer, text string) { _, _ = io.WriteString(w, text) }
