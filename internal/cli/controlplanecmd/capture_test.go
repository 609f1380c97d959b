package controlplanecmd

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"lockloom/internal/cli"
	"lockloom/internal/cli/ctlcmd"
)

// A capture is turned on in a proxy under load, the proxy is killed, started again and captured again. All recorded
// calls can be replayed, and explain how a request was balanced.
func TestCaptureSurvivesKill(t *testing.T) {
	dir := t.TempDir()
	var servers []string
	for i := range 3 {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			if i == 2 {
				http.Error(w, "it fails", http.StatusInternalServerError)
			}
		}))
		t.Cleanup(server.Close)
		servers = append(servers, strings.TrimPrefix(server.URL, "http://"))
	}
	require.NoError(t, writeInstallation(dir, servers))
	freeAddress := func() string {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		defer ln.Close()
		return ln.Addr().String()
	}
	listener, captureAddr := freeAddress(), freeAddress()
	folder := filepath.Join(dir, "captures")
	file := filepath.Join(dir, "operator.toml")
	text, err := os.ReadFile(file)
	require.NoError(t, err)
	tables := fmt.Appendf(nil, "[capture]\ndir = %q\naddress = %q\nage = 0.5\n[[listener]]\naddress = %q\n",
		folder, captureAddr, listener)
	text = append(tables, text...)
	require.NoError(t, os.WriteFile(file, text, 0o600))
	p := &testProgram{t: t, env: map[string]string{}}
	program := buildProgram(t, dir)
	lockloomctl := func(args ...string) (int, string) {
		var out bytes.Buffer
		code := ctlcmd.Run(args, &out, &out)
		return code, out.String()
	}
	sendRequests := func(n int, id string) {
		for i := range n {
			r, err := http.NewRequest("GET", "http://"+listener+"/x", nil)
			require.NoError(t, err)
			r.Header.Set("X-Trace-Id", fmt.Sprint(id, i))
			response, err := http.DefaultClient.Do(r)
			require.NoError(t, err)
			_, err = io.Copy(io.Discard, response.Body)
			require.NoError(t, err)
			require.NoError(t, response.Body.Close())
		}
	}
	for run := range 2 {
		cmd := p.start(program, dir)
		sendRequests(100, "before-")
		code, output := lockloomctl("capture", captureAddr, "-for", "1h")
		require.Equal(t, cli.ExitOK, code, output)
		assert.Contains(t, output, "on true, 0 calls")
		sendRequests(200, fmt.Sprint("run", run, "-"))
		time.Sleep(600 * time.Millisecond) // until the segment, whose maximum age is 0.5 s, is written to a file
		sendRequests(50, "late-")
		if run == 0 {
			require.NoError(t, cmd.Process.Signal(syscall.SIGKILL))
			assert.Error(t, cmd.Wait(), "the process was killed")
			continue
		}
		code, output = lockloomctl("capture", captureAddr, "-look")
		assert.Equal(t, cli.ExitOK, code)
		assert.Contains(t, output, " 0 gaps")
		require.NoError(t, cmd.Process.Signal(syscall.SIGTERM))
		assert.NoError(t, cmd.Wait())
	}
	code, output := lockloomctl("replay", folder, "-times", "2")
	require.Equal(t, cli.ExitOK, code, output)
	assert.Contains(t, output, " 0 differ, 0 passed over")
	for _, id := range []string{"run0-5", "run1-150"} {
		code, output = lockloomctl("why", folder, "-lookup", id)
		require.Equal(t, cli.ExitOK, code, output)
		assert.Contains(t, output, `pool "try"`)
		assert.Contains(t, output, "succeeded")
		assert.Contains(t, output, "payoff")
	}
	code, output = lockloomctl("why", folder, "-lookup", "before-5")
	assert.Equal(t, cli.ExitFailure, code, "the request came before the capture: %s", output)
}

// lockloom rejects an operator file with a table that only lockloom-controlplane supports.
func TestPlatformProgramRefusesControlAndCapture(t *testing.T) {
	dir := t.TempDir()
	require.NoError(t, writeInstallation(dir, []string{"127.0.0.1:1"}))
	program := filepath.Join(dir, "lockloom")
	out, err := exec.Command("go", "build", "-o", program, "lockloom/cmd/lockloom").CombinedOutput()
	require.NoError(t, err, string(out))
	p := &testProgram{t: t, env: map[string]string{}}
	run := exec.Command(program, "serve", "-operator", filepath.Join(dir, "operator.toml"))
	run.Env = p.environment(dir)
	out, err = run.CombinedOutput()
	assert.Error(t, err)
	assert.Contains(t, string(out), "the control and capture tables require lockloom-controlplane")
}
