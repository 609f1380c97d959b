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

// A proxy under load is captured from the midst of its life, killed, started anew, and captured again: all that was recorded has its
// decisions again, and tells why a request went where it went.
func TestCaptureOverAKill(t *testing.T) {
	dir := t.TempDir()
	var servers []string
	for i := range 3 {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			if i == 2 {
				http.Error(w, "it fails", http.StatusInternalServerError)
			}
		}))
		t.Cleanup(s.Close)
		servers = append(servers, strings.TrimPrefix(s.URL, "http://"))
	}
	require.NoError(t, stand(dir, servers))
	free := func() string {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		defer ln.Close()
		return ln.Addr().String()
	}
	door, at, folder := free(), free(), filepath.Join(dir, "captures")
	file := filepath.Join(dir, "operator.toml")
	text, err := os.ReadFile(file)
	require.NoError(t, err)
	text = append(fmt.Appendf(nil, "[capture]\ndir = %q\naddress = %q\nage = 0.5\n[[listener]]\naddress = %q\n", folder, at, door), text...)
	require.NoError(t, os.WriteFile(file, text, 0o600))
	y := &yard{t: t, env: map[string]string{}}
	program := build(t, dir)
	lockloomctl := func(words ...string) (int, string) {
		var out bytes.Buffer
		code := ctlcmd.Run(words, &out, &out)
		return code, out.String()
	}
	ask := func(n int, id string) {
		for i := range n {
			r, err := http.NewRequest("GET", "http://"+door+"/x", nil)
			require.NoError(t, err)
			r.Header.Set("X-Trace-Id", fmt.Sprint(id, i))
			answer, err := http.DefaultClient.Do(r)
			require.NoError(t, err)
			io.Copy(io.Discard, answer.Body)
			answer.Body.Close()
		}
	}
	for run := range 2 {
		cmd := y.start(program, dir)
		ask(100, "before-")
		code, said := lockloomctl("capture", at, "-for", "1h")
		require.Equal(t, cli.Done, code, said)
		assert.Contains(t, said, "on true, 0 calls")
		ask(200, fmt.Sprint("run", run, "-"))
		time.Sleep(600 * time.Millisecond) // a look of the owner's hands on what was gathered, in the end
		ask(50, "late-")
		if run == 0 {
			require.NoError(t, cmd.Process.Signal(syscall.SIGKILL))
			cmd.Wait()
			continue
		}
		code, said = lockloomctl("capture", at, "-look")
		assert.Equal(t, cli.Done, code)
		assert.Contains(t, said, " 0 gaps")
		require.NoError(t, cmd.Process.Signal(syscall.SIGTERM))
		assert.NoError(t, cmd.Wait())
	}
	code, said := lockloomctl("replay", folder, "-times", "2")
	require.Equal(t, cli.Done, code, said)
	assert.Contains(t, said, " 0 differ, 0 passed over")
	for _, id := range []string{"run0-5", "run1-150"} {
		code, said = lockloomctl("why", folder, "-lookup", id)
		require.Equal(t, cli.Done, code, said)
		assert.Contains(t, said, `pool "try"`)
		assert.Contains(t, said, "succeeded")
		assert.Contains(t, said, "payoff")
	}
	code, said = lockloomctl("why", folder, "-lookup", "before-5")
	assert.Equal(t, cli.Failed, code, "it was not captured: %s", said)
}

// lockloom takes neither table: what it cannot do is refused by its key.
func TestPlatformProgramRefuses(t *testing.T) {
	dir := t.TempDir()
	require.NoError(t, stand(dir, []string{"127.0.0.1:1"}))
	program := filepath.Join(dir, "lockloom")
	out, err := exec.Command("go", "build", "-o", program, "lockloom/cmd/lockloom").CombinedOutput()
	require.NoError(t, err, string(out))
	y := &yard{t: t, env: map[string]string{}}
	run := exec.Command(program, "serve", "-operator", filepath.Join(dir, "operator.toml"))
	run.Env = y.variables(dir)
	out, err = run.CombinedOutput()
	assert.Error(t, err)
	assert.Contains(t, string(out), "control, capture: this program has neither; lockloom-controlplane has")
}
