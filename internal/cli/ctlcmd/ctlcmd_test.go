package ctlcmd

import (
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"lockloom/internal/cli"
	"lockloom/internal/cli/proxycmd"
	"lockloom/internal/simulation"
)

// TestMain makes the test binary act as both programs: simulations start it as the proxy, tests as lockloomctl.
func TestMain(m *testing.M) {
	if len(os.Args) > 1 && os.Args[1] == "serve" {
		if os.Getenv(proxyHangs) != "" {
			time.Sleep(time.Minute)
		}
		os.Exit(proxycmd.Run(os.Args[1:], os.Stdout, os.Stderr))
	}
	if len(os.Args) > 1 && os.Args[1] == "rehearse" {
		os.Exit(Run(os.Args[1:], os.Stdout, os.Stderr))
	}
	os.Exit(m.Run())
}

// proxyHangs is the environment variable that keeps the proxy from becoming ready.
const proxyHangs = "REHEARSAL_HANGS"

// bundledScenarios is the folder of the project's scenarios.
const bundledScenarios = "../../../deploy/rehearsals/"

// shortScenario writes a short version of a bundled scenario: it lasts the given seconds, its rate is low, and its
// other times are multiplied by fraction.
func shortScenario(t *testing.T, name string, seconds, fraction float64) string {
	t.Helper()
	text, err := os.ReadFile(bundledScenarios + name + ".toml")
	require.NoError(t, err)
	var out []string
	table := ""
	for line := range strings.SplitSeq(string(text), "\n") {
		if strings.HasPrefix(line, "[") {
			table = strings.Trim(line, "[]")
		}
		field, value, ok := strings.Cut(line, " = ")
		times := map[string][]string{
			"":               {"seconds"},
			"trouble":        {"at", "for", "within", "drain"},
			"arrivals.phase": {"at", "for"},
		}
		if x, err := strconv.ParseFloat(value, 64); ok && err == nil {
			if slices.Contains(times[table], field) {
				line = fmt.Sprintf("%s = %g", field, max(x*fraction, .2))
			} else if field == "rate" {
				line = "rate = 60.0"
			}
			if field == "seconds" {
				line = fmt.Sprintf("seconds = %g", seconds)
			}
		}
		out = append(out, line)
	}
	file := filepath.Join(t.TempDir(), name+".toml")
	require.NoError(t, os.WriteFile(file, []byte(strings.Join(out, "\n")), 0o600))
	return file
}

// runCommand runs a command line, and returns the exit code, the standard output and the standard error.
func runCommand(args ...string) (int, string, string) {
	var out, errs strings.Builder
	code := Run(args, &out, &errs)
	return code, out.String(), errs.String()
}

// In a short version of the scenario deadline-night, played with -clock sockets, every request gets one response and no
// rule is broken.
func TestDeadlineNight(t *testing.T) {
	file, dir := shortScenario(t, "deadline-night", 9, .1), t.TempDir()
	own, err := os.Executable()
	require.NoError(t, err)
	code, out, errs := runCommand("rehearse", file, "-clock", "sockets", "-proxy", own,
		"-json", dir+"/r.json", "-html", dir+"/r.html", "-timeline", dir+"/r.txt", "-logs", dir)
	text, err := os.ReadFile(dir + "/r.json")
	require.NoError(t, err, errs)
	var r simulation.Result
	require.NoError(t, json.Unmarshal(text, &r))
	assert.Equal(t, r.Tries, r.Succeeded+r.Rejected+r.Failed+r.Lost+r.LostWithProxy+r.ClientGone+r.Mismatched)
	assert.Greater(t, r.Attempts, 300)
	assert.Zero(t, r.Mismatched+r.ClientFaults)
	assert.Equal(t, 12, len(scriptedEvents(r.Events)), "all scripted events must occur: %v", r.Events)
	if r.Void != "" { // the machine was too busy: the run must fail as void, whatever the proxies did
		assert.Equal(t, cli.ExitFailure, code)
		assert.Contains(t, out, "void: ")
		return
	}
	assert.Equal(t, cli.ExitOK, code, "%s%s", out, errs)
	assert.Zero(t, r.Lost)
	page, err := os.ReadFile(dir + "/r.html")
	require.NoError(t, err)
	assert.Equal(t, 4, strings.Count(string(page), "<svg"))
	assert.NotContains(t, string(page), "http-equiv")
}

// scriptedEvents returns the texts of the events that a scenario scripts.
func scriptedEvents(all []simulation.Event) (list []string) {
	for _, e := range all {
		if !strings.HasPrefix(e.Text, "!") {
			list = append(list, e.Text)
		}
	}
	return list
}

// On SIGINT the proxies are stopped, and no report is written.
func TestInterrupted(t *testing.T) {
	file, dir := shortScenario(t, "calm", 60, 1), t.TempDir()
	own, err := os.Executable()
	require.NoError(t, err)
	cmd := exec.Command(own, "rehearse", file, "-clock", "sockets", "-proxy", own, "-json", dir+"/r.json", "-logs", dir)
	var errs strings.Builder
	cmd.Stderr = &errs
	require.NoError(t, cmd.Start())
	log := func() string {
		text, _ := os.ReadFile(dir + "/p1.log")
		return string(text)
	}
	require.Eventually(t, func() bool { return strings.Contains(log(), "serving") }, 30*time.Second, 10*time.Millisecond)
	require.NoError(t, cmd.Process.Signal(syscall.SIGINT))
	var exit *exec.ExitError
	require.ErrorAs(t, cmd.Wait(), &exit)
	assert.Equal(t, cli.ExitFailure, exit.ExitCode())
	assert.Contains(t, errs.String(), "context canceled")
	names, err := filepath.Glob(dir + "/*")
	require.NoError(t, err)
	assert.Equal(t, []string{dir + "/p1.log", dir + "/p2.log"}, names, "no report must be written, not even a part")
	assert.Contains(t, log(), "stopping", "the command must end the proxies before it ends")
}

func TestExitCodesAndOutput(t *testing.T) {
	calm := bundledScenarios + "calm.toml"
	one := filepath.Join(t.TempDir(), "one.toml")
	text, err := os.ReadFile(calm)
	require.NoError(t, err)
	require.NoError(t, os.WriteFile(one, []byte(strings.Replace(string(text), "proxies = 2", "proxies = 1", 1)), 0o600))
	bad := filepath.Join(t.TempDir(), "bad.toml")
	require.NoError(t, os.WriteFile(bad, []byte("seconds = 1\nspeed = 3\n"), 0o600))
	for _, c := range []struct {
		args      string
		code      int
		out, errs string // texts that the outputs contain
	}{
		{"", cli.ExitUsage, "", "usage: lockloomctl"},
		{"dance", cli.ExitUsage, "", `unknown command "dance"`},
		{"help", cli.ExitOK, "rehearse", ""},
		{"version", cli.ExitOK, "lockloomctl ", ""},
		{"rehearse -h", cli.ExitOK, "", "-timeline FILE"},
		{"rehearse", cli.ExitUsage, "", "expected one scenario, got 0"},
		{"rehearse -x " + calm, cli.ExitUsage, "", "flag provided but not defined: -x"},
		{"rehearse no.toml", cli.ExitFailure, "", "no.toml: no such file"},
		{"rehearse " + bad, cli.ExitFailure, "", "bad.toml:2:1: speed: no such field"},
		{"rehearse -clock slow " + calm, cli.ExitUsage, "", `-clock: "slow"`},
		{"rehearse -policy best " + calm, cli.ExitUsage, "", `policy "best": expected one of`},
		{"rehearse " + calm + " -match", cli.ExitUsage, "", "require -clock sockets"},
		{"rehearse " + calm + " -json no/such/place", cli.ExitFailure, "value in time", "no/such"},
		{"rehearse " + calm + " -clock sockets -proxy /no/such/program", cli.ExitFailure, "", "proxy program: "},
		{"rehearse " + one + " -clock sockets -proxy /bin/false", cli.ExitFailure, "", "proxy 1 ended"},
		{"experiment", cli.ExitUsage, "", "at least one scenario"},
		{"experiment " + calm + " -seeds 0", cli.ExitUsage, "", "-seeds: 0"},
		{"experiment " + calm + " -policies a,b", cli.ExitUsage, "", `policy "a"`},
		{"experiment " + calm + " -against x", cli.ExitUsage, "", "require -clock sockets"},
		{"load " + calm, cli.ExitUsage, "", "-to: missing"},
		{"load " + calm + " -to 127.0.0.1:1", cli.ExitFailure, "", "proxy at 127.0.0.1:1: "},
		{"load " + calm + " -to 127.0.0.1:1 -rate 1e12", cli.ExitFailure, "", "arrivals: rate"},
	} {
		code, out, errs := runCommand(strings.Fields(c.args)...)
		assert.Equal(t, c.code, code, "%s: %s", c.args, errs)
		assert.Contains(t, out, c.out, c.args)
		assert.Contains(t, errs, c.errs, c.args)
		if c.code == cli.ExitFailure {
			assert.Equal(t, 1, strings.Count(errs, "\n"), "the error must be one line: %s", c.args)
		}
	}
}

// A proxy that never becomes ready is killed, and the error names it.
func TestProxyThatNeverGetsReady(t *testing.T) {
	t.Setenv(proxyHangs, "1")
	own, err := os.Executable()
	require.NoError(t, err)
	s, err := simulation.Open(shortScenario(t, "calm", 1, 1))
	require.NoError(t, err)
	began := time.Now()
	_, err = s.PlayOnSockets(t.Context(), simulation.SocketOptions{Proxy: own, Ready: 200 * time.Millisecond})
	assert.EqualError(t, err, "proxy 1 is not up after 200ms: its log is empty")
	assert.Less(t, time.Since(began), time.Minute, "the proxy must be killed before it ends by itself")
}

func TestExperimentComparesPolicies(t *testing.T) {
	file, dir := shortScenario(t, "linger", 20, .25), t.TempDir()
	code, out, errs := runCommand("experiment", file, "-seeds", "2", "-policies", "lockloom,random",
		"-json", dir+"/x.json", "-html", dir+"/x.html")
	assert.Equal(t, cli.ExitOK, code, errs)
	assert.Equal(t, 3, strings.Count(out, "\n"), out)
	var all []simulation.Result
	text, err := os.ReadFile(dir + "/x.json")
	require.NoError(t, err)
	require.NoError(t, json.Unmarshal(text, &all))
	var order []string
	for _, r := range all {
		order = append(order, fmt.Sprint(r.Policy, r.Seed))
	}
	assert.Equal(t, []string{"lockloom1", "lockloom2", "random1", "random2"}, order, "ordered, whichever run ends first")
}

// Ports in use are skipped: a second installation that starts from the same port gets other ports.
func TestOccupiedPortsAreSkipped(t *testing.T) {
	s, err := simulation.Open(bundledScenarios + "calm.toml")
	require.NoError(t, err)
	seen := map[string]bool{}
	for range 2 {
		servers, err := s.StartServers(t.TempDir(), 1)
		require.NoError(t, err)
		defer servers.Close()
		require.Len(t, servers.Environments, 2)
		for _, v := range servers.Environments {
			agent := v[2]
			assert.False(t, seen[agent], agent)
			seen[agent] = true
			text, err := os.ReadFile(strings.TrimPrefix(v[3], "ROUTER_CONFIG="))
			require.NoError(t, err)
			var file struct {
				Known struct{ Servers []struct{ Addr string } }
			}
			require.NoError(t, json.Unmarshal(text, &file))
			require.Len(t, file.Known.Servers, 12)
			for _, server := range file.Known.Servers {
				assert.False(t, seen[server.Addr], server.Addr)
				seen[server.Addr] = true
			}
		}
	}
}
