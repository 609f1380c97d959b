package controlplanecmd

import (
	"bytes"
	"context"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"lockloom/internal/cli"
	"lockloom/internal/cli/ctlcmd"
	"lockloom/internal/faultproxy"
)

// countingServer is a gRPC server that counts its calls, and fails all of them while fails is set.
type countingServer struct {
	healthServer
	calls atomic.Int64
	fails atomic.Bool
}

func (s *countingServer) Check(ctx context.Context, r *healthRequest) (*healthResponse, error) {
	s.calls.Add(1)
	server := healthServer{name: s.name}
	if s.fails.Load() {
		server.failureFraction = 1
	}
	return server.Check(ctx, r)
}

// testProgram is a process of lockloom-controlplane with its gRPC servers.
type testProgram struct {
	t       *testing.T
	servers []*countingServer
	env     map[string]string
}

// startTestProgram starts the program and n servers, until the test ends.
func startTestProgram(t *testing.T, n int) *testProgram {
	t.Helper()
	p := &testProgram{t: t, env: map[string]string{}}
	var addrs []string
	for range n {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		server := &countingServer{healthServer: healthServer{name: ln.Addr().String()}}
		t.Cleanup(serveHealth(ln, server))
		p.servers = append(p.servers, server)
		addrs = append(addrs, server.name)
	}
	dir := t.TempDir()
	require.NoError(t, writeInstallation(dir, addrs))
	run := p.start(buildProgram(t, dir), dir)
	t.Cleanup(func() {
		assert.NoError(t, run.Process.Signal(syscall.SIGTERM))
		assert.NoError(t, run.Wait())
	})
	return p
}

// buildProgram builds lockloom-controlplane into a folder.
func buildProgram(t *testing.T, dir string) string {
	t.Helper()
	program := filepath.Join(dir, "lockloom-controlplane")
	out, err := exec.Command("go", "build", "-o", program, "lockloom/cmd/lockloom-controlplane").CombinedOutput()
	require.NoError(t, err, string(out))
	return program
}

// environment returns the environment variables of this process and those of loomd.env, which it also stores in p.env.
func (p *testProgram) environment(dir string) []string {
	text, err := os.ReadFile(filepath.Join(dir, "loomd.env"))
	require.NoError(p.t, err)
	all := append(os.Environ(), "TMPDIR="+dir)
	for line := range strings.Lines(string(text)) {
		name, value, _ := strings.Cut(strings.TrimSpace(line), "=")
		p.env[name] = value
		all = append(all, name+"="+value)
	}
	return all
}

// start starts the program with the operator file and the variables in the folder dir, and waits until it is ready for
// clients. The program's log is written to dir too.
func (p *testProgram) start(program, dir string) *exec.Cmd {
	run := exec.Command(program, "serve", "-operator", filepath.Join(dir, "operator.toml"))
	run.Env = p.environment(dir)
	log, err := os.CreateTemp(dir, "log")
	require.NoError(p.t, err)
	run.Stderr = log
	require.NoError(p.t, run.Start())
	require.NoError(p.t, log.Close())
	p.t.Cleanup(func() {
		if text, _ := os.ReadFile(log.Name()); p.t.Failed() {
			p.t.Log(string(text))
		}
	})
	require.Eventually(p.t, func() bool { return p.call("ready") == cli.ExitOK }, 10*time.Second, 10*time.Millisecond)
	return run
}

// call runs a sub-command that calls the admin endpoint, such as ready, and returns its exit code.
func (p *testProgram) call(words ...string) int {
	return Run(append(words, p.env["ROUTER_OPERATOR"]), io.Discard, io.Discard)
}

// startClient calls the pool until the test ends, through the control plane at an address.
func (p *testProgram) startClient(id, control string) {
	conn, err := dialXDS(control, "pool/try", id)
	require.NoError(p.t, err)
	ctx, stop := context.WithCancel(context.Background())
	var calls sync.WaitGroup
	calls.Go(func() { callAtRate(ctx, conn, 100) })
	p.t.Cleanup(func() {
		stop()
		calls.Wait()
		assert.NoError(p.t, conn.Close())
	})
}

// callsWithin waits for a duration, and returns how many calls each server received in it.
func (p *testProgram) callsWithin(duration time.Duration) []int64 {
	counts := make([]int64, len(p.servers))
	for i, server := range p.servers {
		counts[i] = -server.calls.Load()
	}
	time.Sleep(duration)
	for i, server := range p.servers {
		counts[i] += server.calls.Load()
	}
	return counts
}

// gRPC's own xDS client follows the control plane: a disabled server receives no more calls, an enabled one receives
// calls again. A client that is disconnected meanwhile keeps its last assignment, and follows once it reconnects. Calls
// are counted by the servers.
func TestClientsFollowDisabledServers(t *testing.T) {
	p := startTestProgram(t, 3)
	link, err := faultproxy.Open(p.env["LOOMD_CONTROL"])
	require.NoError(t, err)
	t.Cleanup(link.Close)
	p.startClient("a", p.env["LOOMD_CONTROL"])
	p.startClient("b", p.env["LOOMD_CONTROL"])
	p.startClient("cut off", link.Addr())
	allAreCalled := func() bool {
		for _, n := range p.callsWithin(200 * time.Millisecond) {
			if n == 0 {
				return false
			}
		}
		return true
	}
	require.Eventually(t, allAreCalled, 10*time.Second, time.Millisecond)
	subscribers := &bytes.Buffer{}
	assert.Equal(t, cli.ExitOK, ctlcmd.Run([]string{"subscribers", p.env["LOOMD_STATUS"]}, subscribers, io.Discard))
	assert.Equal(t, 3, strings.Count(subscribers.String(), "endpoints"), subscribers)
	link.SetFault(faultproxy.Fault{Silent: true})
	id := "try/" + p.servers[0].name
	require.Equal(t, cli.ExitOK, p.call("disable", id))
	time.Sleep(500 * time.Millisecond)
	got := p.callsWithin(time.Second)
	assert.True(t, got[0] > 5 && got[0] < 80, "only the disconnected one of three clients calls it: %v", got)
	assert.Greater(t, got[1]+got[2], int64(150), "%v", got)
	link.SetFault(faultproxy.Fault{})
	link.Cut()
	time.Sleep(2500 * time.Millisecond)
	got = p.callsWithin(time.Second)
	assert.Zero(t, got[0], "%v", got)
	require.Equal(t, cli.ExitOK, p.call("enable", id))
	require.Eventually(t, allAreCalled, 10*time.Second, time.Millisecond)
}

// A failing server is paused by the load reports of clients, and readmitted once it has recovered.
func TestReportsPauseAndReadmit(t *testing.T) {
	p := startTestProgram(t, 4)
	p.startClient("a", p.env["LOOMD_CONTROL"])
	p.startClient("b", p.env["LOOMD_CONTROL"])
	shareOfFirst := func() float64 {
		got := p.callsWithin(500 * time.Millisecond)
		sum := int64(0)
		for _, n := range got {
			sum += n
		}
		return float64(got[0]) / float64(max(sum, 1))
	}
	require.Eventually(t, func() bool { return shareOfFirst() > .15 }, 10*time.Second, time.Millisecond)
	p.servers[0].fails.Store(true)
	require.Eventually(t, func() bool { return shareOfFirst() < .02 }, 10*time.Second, time.Millisecond, "paused")
	p.servers[0].fails.Store(false)
	start := time.Now()
	require.Eventually(t, func() bool { return shareOfFirst() > .15 }, 40*time.Second, time.Millisecond, "readmitted")
	t.Logf("readmitted %v after it had recovered", time.Since(start))
}

// Guards against a large lockloom binary: it must not depend on gRPC, protobuf and other large packages.
func TestPlatformProgramHasNoControlPlane(t *testing.T) {
	out, err := exec.Command("go", "list", "-deps", "lockloom/cmd/lockloom").Output()
	require.NoError(t, err)
	for _, excluded := range []string{
		"google.golang.org/grpc", "google.golang.org/protobuf", "envoyproxy", "gonum.org", "lockloom/controlplane",
		"net/http\n",
	} {
		assert.NotContains(t, string(out), excluded)
	}
	assert.Contains(t, string(out), "lockloom/assignment", "assignment is used, but has no such dependency")
}
