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

// lines tells each line that is logged.
type lines chan string

func (l lines) Write(p []byte) (int, error) {
	l <- string(p)
	return len(p), nil
}

// wait waits for a line that holds this.
func (l lines) wait(part string) {
	for !strings.Contains(<-l, part) {
	}
}

// Danger: what nobody handles ends the program, with all requests that it has taken.
func TestSignals(t *testing.T) {
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
	watched := func(i int) {
		c, err := agents[i].Accept()
		assert.NoError(t, err)
		c.Read(make([]byte, 1000))
		io.WriteString(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
		t.Cleanup(func() { c.Close() })
	}
	free, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NoError(t, err)
	free.Close()
	t.Setenv("ROUTER_NAME", "n0")
	t.Setenv("ROUTER_LISTEN", free.Addr().String())
	t.Setenv("ROUTER_DISCOVERY", addr(0))
	t.Setenv("ROUTER_CONFIG", file)
	write(addr(0))
	log, code := make(lines, 100), 0
	var served sync.WaitGroup
	served.Go(func() { code = Run([]string{"serve"}, io.Discard, log) })
	watched(0)
	log.wait("serving")
	hangUp := func() { assert.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGHUP)) }
	write("nowhere")
	hangUp()
	log.wait("not told anew")
	write(addr(1))
	hangUp()
	watched(1)
	for Run([]string{"up", free.Addr().String()}, io.Discard, io.Discard) != cli.Done { // it serves on
		time.Sleep(10 * time.Millisecond)
	}
	own := make(chan os.Signal, 1)
	signal.Notify(own, syscall.SIGHUP) // it may have ended when the last one comes
	defer signal.Stop(own)
	assert.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGTERM))
	log.wait("stopping")
	hangUp()
	go func() {
		for range log { // so that no writer waits
		}
	}()
	served.Wait()
	assert.Equal(t, cli.Done, code)
}

const sample = "../../../deploy/operator/sample.toml"

func TestRun(t *testing.T) {
	for _, name := range []string{"ROUTER_NAME", "ROUTER_LISTEN", "ROUTER_DISCOVERY", "ROUTER_CONFIG"} {
		t.Setenv(name, "")
	}
	for _, c := range []struct {
		args      string
		code      int
		out, errs string // what they must hold; both are empty otherwise
	}{
		{"", cli.Misuse, "", "usage: lockloom"},
		{"dance", cli.Misuse, "", `unknown command "dance"`},
		{"serve -x", cli.Misuse, "", "flag provided but not defined"},
		{"serve more", cli.Misuse, "", "takes no further words"},
		{"up", cli.Misuse, "", "the proxy's address is missing"},
		{"help", cli.Done, "usage: lockloom", ""},
		{"serve -h", cli.Done, "", "-log"},
		{"version", cli.Done, "lockloom ", ""},
		{"serve -log loud", cli.Failed, "", "lockloom: -log: "},
		{"serve", cli.Failed, "", "lockloom: ROUTER_NAME: missing\n"},
		{"check", cli.Failed, "", "lockloom: ROUTER_NAME: missing\n"},
		{"check -operator " + sample, cli.Done, "3 pools, 4 routes", ""},
		{"check -operator no.toml", cli.Failed, "", "no.toml: no such file"},
		{"explain GET /", cli.Misuse, "", "-operator: missing"},
		{"explain -operator " + sample + " GET", cli.Misuse, "", "a method, a URL"},
		{"explain -operator " + sample + " GET / x", cli.Misuse, "", `"x": a field is NAME:VALUE`},
		{"explain -operator " + sample + " POST http://x.org/sign Idempotency-Key:k", cli.Done, "class sign: keyed", ""},
		{"up 127.0.0.1:1", cli.Failed, "", "lockloom: dial"},
	} {
		var out, errs strings.Builder
		assert.Equal(t, c.code, Run(strings.Fields(c.args), &out, &errs), c.args)
		assert.Contains(t, out.String(), c.out, c.args)
		assert.Contains(t, errs.String(), c.errs, c.args)
		if c.code == cli.Failed {
			assert.Equal(t, 1, strings.Count(errs.String(), "\n"), "one line says what is wrong: %s", c.args)
		}
		if c.out == "" {
			assert.Empty(t, out.String(), c.args)
		}
	}
}
