package proxycmd

import (
	"io"
	"net"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"lockloom/internal/cli"
)

// logLines receives each line that is logged.
type logLines chan string

func (l logLines) Write(p []byte) (int, error) {
	l <- string(p)
	return len(p), nil
}

// wait reads lines until one contains a text.
func (l logLines) wait(text string) {
	for !strings.Contains(<-l, text) {
	}
}

// SIGHUP reloads the launch file. It is handled until the process ends: an unhandled SIGHUP would end the process and
// all requests in flight with it.
func TestReloadOnHangUp(t *testing.T) {
	file := filepath.Join(t.TempDir(), "file.json")
	write := func(discovery string) {
		text := `{"discovery":"` + discovery + `","seed":"1","limits":{"cores":1,"memory_mb":64,"sockets":256},
			"known":{"version":1,"full":true,"servers":[]},
			"settings":{"Profiles":[{"Name":"look","Effect":"retryable","HardStopMs":100}]}}`
		assert.NoError(t, os.WriteFile(file, []byte(text), 0o600))
	}
	var agents []net.Listener
	for range 2 {
		agent, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NoError(t, err)
		defer agent.Close()
		agents = append(agents, agent)
	}
	addr := func(i int) string { return agents[i].Addr().String() }
	acceptWatch := func(i int) {
		c, err := agents[i].Accept()
		assert.NoError(t, err)
		t.Cleanup(func() { c.Close() })
		_, err = c.Read(make([]byte, 1000))
		assert.NoError(t, err)
		_, err = io.WriteString(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
		assert.NoError(t, err)
	}
	free, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NoError(t, err)
	free.Close()
	t.Setenv("ROUTER_NAME", "n0")
	t.Setenv("ROUTER_LISTEN", free.Addr().String())
	t.Setenv("ROUTER_DISCOVERY", addr(0))
	t.Setenv("ROUTER_CONFIG", file)
	write(addr(0))
	log, code := make(logLines, 100), 0
	var served sync.WaitGroup
	served.Go(func() { code = Run([]string{"serve"}, io.Discard, log) })
	acceptWatch(0)
	log.wait("serving")
	sendHangUp := func() { assert.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGHUP)) }
	write("nowhere")
	sendHangUp()
	log.wait("launch file not reloaded")
	write(addr(1))
	sendHangUp()
	acceptWatch(1)
	for Run([]string{"up", free.Addr().String()}, io.Discard, io.Discard) != cli.ExitOK { // it still serves
		time.Sleep(10 * time.Millisecond)
	}
	hangUps := make(chan os.Signal, 1)
	signal.Notify(hangUps, syscall.SIGHUP) // serve may have stopped handling SIGHUP when the last one arrives
	defer signal.Stop(hangUps)
	assert.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGTERM))
	log.wait("stopping")
	sendHangUp()
	go func() {
		for range log { // drained, so that no log write blocks
		}
	}()
	served.Wait()
	assert.Equal(t, cli.ExitOK, code)
}

const sample = "../../../deploy/operator/sample.toml"

func TestExitCodesAndOutput(t *testing.T) {
	for _, name := range []string{"ROUTER_NAME", "ROUTER_LISTEN", "ROUTER_DISCOVERY", "ROUTER_CONFIG"} {
		t.Setenv(name, "")
	}
	for _, c := range []struct {
		args      string
		code      int
		out, errs string // parts of the outputs; if out is empty, standard output must be
	}{
		{"", cli.ExitUsage, "", "usage: lockloom"},
		{"dance", cli.ExitUsage, "", `unknown command "dance"`},
		{"serve -x", cli.ExitUsage, "", "flag provided but not defined"},
		{"serve more", cli.ExitUsage, "", `unexpected argument "more"`},
		{"up", cli.ExitUsage, "", "the proxy's address is missing"},
		{"help", cli.ExitOK, "usage: lockloom", ""},
		{"serve -h", cli.ExitOK, "", "-log"},
		{"version", cli.ExitOK, "lockloom ", ""},
		{"serve -log loud", cli.ExitFailure, "", "lockloom: -log: "},
		{"serve", cli.ExitFailure, "", "lockloom: ROUTER_NAME: missing\n"},
		{"check", cli.ExitFailure, "", "lockloom: ROUTER_NAME: missing\n"},
		{"check -operator " + sample, cli.ExitOK, "3 pools, 4 routes", ""},
		{"check -operator no.toml", cli.ExitFailure, "", "no.toml: no such file"},
		{"explain GET /", cli.ExitUsage, "", "-operator: missing"},
		{"explain -operator " + sample + " GET", cli.ExitUsage, "", "expected a method, a URL or path"},
		{"explain -operator " + sample + " GET / x", cli.ExitUsage, "", `header field "x": expected NAME:VALUE`},
		{"explain -operator " + sample + " POST http://x.org/sign Idempotency-Key:k", cli.ExitOK,
			"class sign: keyed", ""},
		{"up 127.0.0.1:1", cli.ExitFailure, "", "lockloom: dial"},
	} {
		var out, errs strings.Builder
		assert.Equal(t, c.code, Run(strings.Fields(c.args), &out, &errs), c.args)
		assert.Contains(t, out.String(), c.out, c.args)
		assert.Contains(t, errs.String(), c.errs, c.args)
		if c.code == cli.ExitFailure {
			assert.Equal(t, 1, strings.Count(errs.String(), "\n"), "the error must be one line: %s", c.args)
		}
		if c.out == "" {
			assert.Empty(t, out.String(), c.args)
		}
	}
}
