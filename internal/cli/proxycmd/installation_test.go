package proxycmd

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"lockloom/internal/cli"
	"lockloom/internal/hotrestart"
	"lockloom/internal/http1"
)

// slowResponseTime is how long a server takes for a request of "/write?slow".
const slowResponseTime = 15 * time.Millisecond

// The body of the response to a request of "/look?trickle", which takes 2 s.
const (
	tricklePieces     = 20
	tricklePieceBytes = 8 << 10
	tricklePause      = 100 * time.Millisecond
)

// largeResponseBytes is the size of the response to a request of "/look?large".
const largeResponseBytes = 32 << 20

// buildProgram returns the path of the lockloom program, which the first call builds.
var buildProgram = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "lockloom-test")
	if err != nil {
		return "", err
	}
	name := filepath.Join(dir, "lockloom")
	out, err := exec.Command("go", "build", "-o", name, "lockloom/cmd/lockloom").CombinedOutput()
	if err != nil {
		err = fmt.Errorf("%w: %s", err, out)
	}
	return name, err
})

// testEnvironment holds what the proxy processes of a test run with: two servers, a launch file whose endpoint list no
// agent changes, and a folder.
type testEnvironment struct {
	t             testing.TB
	env           []string
	addr          string // address of the proxy's platform listener
	dir           string
	serverAddrs   []string
	firstProgram  string      // path of the program of the first process
	laterProgram  string      // path of the program of all later processes
	startedCount  int         // number of processes started
	peer          *gossipPeer // nil: the proxy has no gossip
	failingServer string      // the ID of a server that fails all requests; set while no request is in flight

	mu       sync.Mutex
	servedBy map[string]int // number of requests, by server ID
	runs     map[string]int // number of executions, by request ID
}

// newTestEnvironment starts the servers and writes the launch file of a proxy with a memory limit of memoryMB and a
// limit on file descriptors. It starts no proxy.
func newTestEnvironment(tb testing.TB, memoryMB, sockets int) *testEnvironment {
	tb.Helper()
	program, err := buildProgram()
	require.NoError(tb, err)
	s := &testEnvironment{
		t:            tb,
		addr:         freeAddr(tb),
		dir:          tb.TempDir(),
		firstProgram: program,
		laterProgram: program,
		servedBy:     map[string]int{},
		runs:         map[string]int{},
	}
	var entries []string
	for _, id := range []string{"b1", "b2"} {
		addr := s.startServer(id)
		s.serverAddrs = append(s.serverAddrs, addr)
		entries = append(entries, fmt.Sprintf(`{"id":%q,"addr":%q,"state":"active","started_ms":0}`, id, addr))
	}
	file := s.launchFile()
	limits := fmt.Sprintf(`{"cores":1,"memory_mb":%d,"sockets":%d}`, memoryMB, sockets)
	text := `{"seed":"1","limits":` + limits + `,` +
		`"known":{"version":1,"full":true,"servers":[` + strings.Join(entries, ",") + `]},` +
		`"settings":{"Ceilings":{"MaxLegs":3,"ConnIdleMs":5000},"Rules":{"StopSendingWithinMs":500},` +
		`"Profiles":[{"Name":"look","Effect":"retryable","DueTimeMs":500,"HardStopMs":1000,"Value":1},` +
		`{"Name":"write","Effect":"fragile","DueTimeMs":500,"HardStopMs":1000,"Value":1}]}}`
	require.NoError(tb, os.WriteFile(file, []byte(text), 0o600))
	s.env = append(os.Environ(), "ROUTER_NAME=n0", "ROUTER_LISTEN="+s.addr, "ROUTER_DISCOVERY="+freeAddr(tb),
		"ROUTER_CONFIG="+file, "TMPDIR="+s.dir)
	return s
}

// launchFile returns the path of the launch file.
func (s *testEnvironment) launchFile() string { return filepath.Join(s.dir, "launch.json") }

// startServer runs a server until the test ends, and returns its address.
func (s *testEnvironment) startServer(id string) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(s.t, err)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.serve(id, w, r)
	})}
	go func() { assert.ErrorIs(s.t, server.Serve(ln), http.ErrServerClosed) }()
	s.t.Cleanup(func() { assert.NoError(s.t, server.Close()) })
	return ln.Addr().String()
}

// writeSized writes a body of zeros.
func writeSized(w http.ResponseWriter, bytes int64) {
	w.Header().Set("Content-Length", strconv.FormatInt(bytes, 10))
	writeBody(w, io.LimitReader(zeros{}, bytes))
}

// trickle writes a body slowly, in pieces.
func trickle(w http.ResponseWriter) {
	controller := http.NewResponseController(w)
	for range tricklePieces {
		writeBody(w, io.LimitReader(zeros{}, tricklePieceBytes))
		_ = controller.Flush() // fails if the proxy has closed the connection, like the next write
		time.Sleep(tricklePause)
	}
}

// serve answers with the request's ID, or with a large response of the kind that the query names.
func (s *testEnvironment) serve(id string, w http.ResponseWriter, r *http.Request) {
	switch r.URL.RawQuery {
	case "large":
		writeSized(w, largeResponseBytes)
		return
	case "sized":
		writeSized(w, http1.DefaultMaxBytes)
		return
	case "trickle":
		trickle(w)
		return
	case "trickle-with-length":
		w.Header().Set("Content-Length", strconv.Itoa(tricklePieces*tricklePieceBytes))
		trickle(w)
		return
	case "head":
		w.Header().Set("X-Filler", strings.Repeat("a", http1.DefaultMaxBytes-1000))
		writeSized(w, http1.DefaultMaxBytes)
		return
	}
	if r.URL.RawQuery == "read" {
		_, _ = io.Copy(io.Discard, r.Body) // ends with an error if the client stops half way
	}
	if r.URL.RawQuery == "slow" {
		defer time.Sleep(slowResponseTime)
	}
	requestID := r.Header.Get("X-Trace-Id")
	s.mu.Lock()
	s.servedBy[id]++
	s.runs[requestID]++
	fails := s.failingServer == id
	s.mu.Unlock()
	if fails {
		http.Error(w, "it fails", http.StatusInternalServerError)
		return
	}
	writeBody(w, strings.NewReader(requestID))
}

// writeBody writes a response's body. It ignores write errors, which a killed proxy causes.
func writeBody(w io.Writer, body io.Reader) { _, _ = io.Copy(w, body) }

// zeros reads as an endless sequence of zero bytes.
type zeros struct{}

func (zeros) Read(p []byte) (int, error) {
	clear(p)
	return len(p), nil
}

var freeAddrs atomic.Int64 // number of addresses that freeAddr has returned

// freeAddr returns an unused address on a loopback IP of its own. On a shared IP another process could take the port
// before the caller listens on it, or the same port could be returned twice.
func freeAddr(tb testing.TB) string {
	tb.Helper()
	n := freeAddrs.Add(1)
	ln, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.%d:0", 64+os.Getpid()%64, n/250%250, 1+n%250))
	require.NoError(tb, err)
	defer ln.Close()
	return ln.Addr().String()
}

// process is one process of the proxy.
type process struct {
	*exec.Cmd
	t         testing.TB
	adminAddr string
	logFile   string
	ended     chan struct{}
	err       error // result of Wait; read it only after ended is closed
}

// startProcess starts a process of the proxy; it is killed when the test ends.
func (s *testEnvironment) startProcess() *process {
	program := s.firstProgram
	if s.startedCount++; s.startedCount > 1 {
		program = s.laterProgram
	}
	p := &process{Cmd: exec.Command(program, "serve"), t: s.t, adminAddr: freeAddr(s.t), ended: make(chan struct{})}
	p.Env = slices.Concat(s.env, []string{"ROUTER_OPERATOR=" + p.adminAddr})
	log, err := os.CreateTemp(s.dir, "log")
	require.NoError(s.t, err)
	p.logFile = log.Name()
	p.Stderr = log
	require.NoError(s.t, p.Start())
	require.NoError(s.t, log.Close())
	go func() {
		p.err = p.Wait()
		close(p.ended)
	}()
	s.t.Cleanup(p.kill)
	return p
}

// startReady starts a process and waits until it is ready for clients.
func (s *testEnvironment) startReady() *process {
	p := s.startProcess()
	isReady := func() bool { return p.call("ready") == cli.ExitOK }
	require.Eventually(s.t, isReady, 20*time.Second, 5*time.Millisecond, p.log())
	return p
}

// call runs a sub-command that calls the admin endpoint of the process, such as drain, and returns its exit code.
func (p *process) call(args ...string) int {
	return Run(append(args, p.adminAddr), io.Discard, io.Discard)
}

// kill kills the process unless it has ended, and waits for its end.
func (p *process) kill() {
	if err := p.Process.Kill(); !errors.Is(err, os.ErrProcessDone) {
		assert.NoError(p.t, err)
	}
	<-p.ended
}

// stop sends SIGTERM and waits until the process ends.
func (p *process) stop() {
	assert.NoError(p.t, p.Process.Signal(syscall.SIGTERM))
	select {
	case <-p.ended:
		assert.NoError(p.t, p.err, p.log())
	case <-time.After(2500 * time.Millisecond): // the platform may kill it after its longest deadline and 0.7 s
		assert.Fail(p.t, "the process did not end after SIGTERM", p.log())
	}
}

// log returns what the process has logged.
func (p *process) log() string {
	text, err := os.ReadFile(p.logFile)
	assert.NoError(p.t, err)
	return string(text)
}

// memory returns a value of /proc/PID/status in kB: VmRSS is the current memory, VmHWM the peak.
func (p *process) memory(name string) (kB int) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.Process.Pid))
	assert.NoError(p.t, err)
	_, rest, _ := strings.Cut(string(text), name+":")
	_, err = fmt.Sscan(rest, &kB)
	assert.NoError(p.t, err)
	return kB
}

// offeredState returns the state that the serving process would hand over now, nil if no process offers a hot restart.
func (s *testEnvironment) offeredState() *hotrestart.State {
	identity := hotrestart.Identity{Format: hotrestart.FormatVersion, Name: "n0", Listen: s.addr}
	state, sockets, link, err := hotrestart.TakeOver(hotrestart.Path(s.dir, identity), identity)
	if err != nil {
		return nil
	}
	link.Close()
	sockets.Close()
	return state
}

// awaitState waits until a process offers its state for a hot restart, and returns that state. A process that resumes
// serving because its successor ended takes a moment to offer its state again.
func (s *testEnvironment) awaitState() (state *hotrestart.State) {
	for end := time.Now().Add(5 * time.Second); state == nil && time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		state = s.offeredState()
	}
	require.NotNil(s.t, state)
	return state
}
