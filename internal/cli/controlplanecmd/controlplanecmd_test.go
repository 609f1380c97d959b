package controlplanecmd

import (
	"bytes"
	"context"
	"fmt"
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
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/health/grpc_health_v1"

	"lockloom/internal/cli"
	"lockloom/internal/cli/ctlcmd"
	"lockloom/internal/faultproxy"
)

// counted is a gRPC server that counts its calls, and fails them all while it is told to.
type counted struct {
	failing
	calls atomic.Int64
	fails atomic.Bool
}

func (c *counted) Check(ctx context.Context, r *grpc_health_v1.HealthCheckRequest) (*grpc_health_v1.HealthCheckResponse, error) {
	c.calls.Add(1)
	f := c.failing
	if f.share = 0; c.fails.Load() {
		f.share = 1
	}
	return f.Check(ctx, r)
}

// yard is lockloom-controlplane as a program, with gRPC servers.
type yard struct {
	t       *testing.T
	servers []*counted
	env     map[string]string
}

func newYard(t *testing.T, n int) *yard {
	y := &yard{t: t, env: map[string]string{}}
	var addrs []string
	for range n {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		c := &counted{failing: failing{name: ln.Addr().String()}}
		server := grpc.NewServer()
		grpc_health_v1.RegisterHealthServer(server, c)
		go server.Serve(ln)
		t.Cleanup(server.Stop)
		y.servers, addrs = append(y.servers, c), append(addrs, c.name)
	}
	dir := t.TempDir()
	require.NoError(t, stand(dir, addrs))
	run := y.start(build(t, dir), dir)
	t.Cleanup(func() {
		run.Process.Signal(syscall.SIGTERM)
		assert.NoError(t, run.Wait())
	})
	return y
}

// build builds lockloom-controlplane into a folder.
func build(t *testing.T, dir string) string {
	program := filepath.Join(dir, "lockloom-controlplane")
	out, err := exec.Command("go", "build", "-o", program, "lockloom/cmd/lockloom-controlplane").CombinedOutput()
	require.NoError(t, err, string(out))
	return program
}

// variables are what stand wrote down for a program, beside this one's.
func (y *yard) variables(dir string) []string {
	text, err := os.ReadFile(filepath.Join(dir, "loomd.env"))
	require.NoError(y.t, err)
	all := append(os.Environ(), "TMPDIR="+dir)
	for line := range strings.Lines(string(text)) {
		name, value, _ := strings.Cut(strings.TrimSpace(line), "=")
		y.env[name] = value
		all = append(all, name+"="+value)
	}
	return all
}

// start starts the program in a folder, and waits until it takes clients.
func (y *yard) start(program, dir string) *exec.Cmd {
	run := exec.Command(program, "serve", "-operator", filepath.Join(dir, "operator.toml"))
	run.Env = y.variables(dir)
	log, err := os.CreateTemp(dir, "log")
	require.NoError(y.t, err)
	defer log.Close()
	run.Stderr = log
	require.NoError(y.t, run.Start())
	y.t.Cleanup(func() {
		if text, _ := os.ReadFile(log.Name()); y.t.Failed() {
			y.t.Log(string(text))
		}
	})
	require.Eventually(y.t, func() bool { return y.call("ready") == cli.Done }, 10*time.Second, 10*time.Millisecond)
	return run
}

// call makes an operators' call.
func (y *yard) call(words ...string) int {
	return Run(append(words, y.env["ROUTER_OPERATOR"]), io.Discard, io.Discard)
}

// client calls the pool until the test ends, steered through this address.
func (y *yard) client(id, control string) {
	builder, err := asksAt(control, id, "")
	require.NoError(y.t, err)
	conn, err := grpc.NewClient("xds:///pool/try", grpc.WithResolvers(builder), grpc.WithTransportCredentials(insecure.NewCredentials()))
	require.NoError(y.t, err)
	ctx, stop := context.WithCancel(context.Background())
	var over sync.WaitGroup
	over.Go(func() { callAll(ctx, conn, 100) })
	y.t.Cleanup(func() { stop(); over.Wait(); conn.Close() })
}

// calls are how many each server got in this time.
func (y *yard) calls(d time.Duration) []int64 {
	before := make([]int64, len(y.servers))
	for i, c := range y.servers {
		before[i] = c.calls.Load()
	}
	time.Sleep(d)
	for i, c := range y.servers {
		before[i] = c.calls.Load() - before[i]
	}
	return before
}

// gRPC's own xDS client follows: what is drained gets no more calls from any of three clients, by the servers' own counts; one that was
// cut off meanwhile goes on as it was told last, and follows as soon as it is back; what is put back gets calls again.
func TestClientsFollowDrains(t *testing.T) {
	y := newYard(t, 3)
	way, err := faultproxy.Open(y.env["LOOMD_CONTROL"])
	require.NoError(t, err)
	t.Cleanup(way.Close)
	y.client("a", y.env["LOOMD_CONTROL"])
	y.client("b", y.env["LOOMD_CONTROL"])
	y.client("cut off", way.Addr())
	all := func() bool {
		for _, n := range y.calls(200 * time.Millisecond) {
			if n == 0 {
				return false
			}
		}
		return true
	}
	require.Eventually(t, all, 10*time.Second, time.Millisecond)
	rows := &bytes.Buffer{}
	assert.Equal(t, cli.Done, ctlcmd.Run([]string{"subscribers", y.env["LOOMD_STATUS"]}, rows, io.Discard))
	assert.Equal(t, 3, strings.Count(rows.String(), "endpoints"), rows)
	way.Set(faultproxy.Fault{Silent: true})
	id := "try/" + y.servers[0].name
	require.Equal(t, cli.Done, y.call("disable", id))
	time.Sleep(500 * time.Millisecond)
	got := y.calls(time.Second)
	assert.True(t, got[0] > 5 && got[0] < 80, "of one client in three alone: %v", got)
	assert.Greater(t, got[1]+got[2], int64(150), "%v", got)
	way.Set(faultproxy.Fault{})
	way.Cut()
	time.Sleep(2500 * time.Millisecond)
	got = y.calls(time.Second)
	assert.Zero(t, got[0], "%v", got)
	require.Equal(t, cli.Done, y.call("enable", id))
	require.Eventually(t, all, 10*time.Second, time.Millisecond)
}

// What clients report of their calls pauses a server that fails, and brings it back once it is well.
func TestReportsPauseAndReadmit(t *testing.T) {
	y := newYard(t, 4)
	y.client("a", y.env["LOOMD_CONTROL"])
	y.client("b", y.env["LOOMD_CONTROL"])
	share := func() float64 {
		got := y.calls(500 * time.Millisecond)
		sum := int64(0)
		for _, n := range got {
			sum += n
		}
		return float64(got[0]) / float64(max(sum, 1))
	}
	require.Eventually(t, func() bool { return share() > .15 }, 10*time.Second, time.Millisecond)
	y.servers[0].fails.Store(true)
	require.Eventually(t, func() bool { return share() < .02 }, 10*time.Second, time.Millisecond, "paused")
	y.servers[0].fails.Store(false)
	began := time.Now()
	require.Eventually(t, func() bool { return share() > .15 }, 40*time.Second, time.Millisecond, "readmitted")
	t.Logf("readmitted %v after it was well", time.Since(began))
}

// The platform's program stays small: nothing of gRPC or protobuf gets into it.
func TestPlatformProgramIsClean(t *testing.T) {
	out, err := exec.Command("go", "list", "-deps", "lockloom/cmd/lockloom").Output()
	require.NoError(t, err)
	for _, not := range []string{"google.golang.org/grpc", "google.golang.org/protobuf", "envoyproxy", "gonum.org", "lockloom/controlplane", "net/http\n"} {
		assert.NotContains(t, string(out), not)
	}
	assert.Contains(t, string(out), "lockloom/assignment", fmt.Sprint("the opinions' form is pure"))
}
