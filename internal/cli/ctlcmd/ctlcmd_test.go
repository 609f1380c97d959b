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

// The test's own program stands for both programs: simulations start it as a proxy, tests as lockloomctl.
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

// proxyHangs, in the environment, keeps the proxy from getting ready.
const proxyHangs = "REHEARSAL_HANGS"

// bundledScenarios is the folder of the scenarios that come with the project.
const bundledScenarios = "../../../deploy/rehearsals/"

// shortScenario writes a scenario of so many seconds, made from a bundled one with a low rate and times that are a
// fraction of its own.
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

// runCommand runs a command line, and returns the exit code and what it printed.
func runCommand(args ...string) (int, string, string) {
	var out, errs strings.Builder
	code := Run(args, &out, &errs)
	return code, out.String(), errs.String()
}

// In a part of the deadline night with whole programs, every request has one answer and no rule is broken.
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
	assert.Equal(t, 12, len(scriptedEvents(r.Events)), "all scripted events happened: %v", r.Events)
	if r.Void != "" { // the machine was too busy: that is said, and nothing is blamed on the proxy
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

// scriptedEvents returns the events that a scenario scripts.
func scriptedEvents(all []simulation.Event) (list []string) {
	for _, e := range all {
		if !strings.HasPrefix(e.Text, "!") {
			list = append(list, e.Text)
		}
	}
	return list
}

// On an interrupt the proxies end, and no report is written.
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
	assert.Equal(t, []string{dir + "/p1.log", dir + "/p2.log"}, names, "no report, nor a part of one")
	assert.Contains(t, log(), "stopping", "the proxies were told to stop and had ended before it did")
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
		out, errs string // what they contain
	}{
		{"", cli.ExitUsage, "", "usage: lockloomctl"},
		{"dance", cli.ExitUsage, "", `unknown command "dance"`},
		{"help", cli.ExitOK, "rehearse", ""},
		{"version", cli.ExitOK, "lockloomctl ", ""},
		{"rehearse -h", cli.ExitOK, "", "-timeline FILE"},
		{"rehearse", cli.ExitUsage, "", "it takes one scenario, not 0"},
		{"rehearse -x " + calm, cli.ExitUsage, "", "flag provided but not defined: -x"},
		{"rehearse no.toml", cli.ExitFailure, "", "no.toml: no such file"},
		{"rehearse " + bad, cli.ExitFailure, "", "bad.toml:2:1: speed: no such field"},
		{"rehearse -clock slow " + calm, cli.ExitUsage, "", `-clock: "slow"`},
		{"rehearse -policy best " + calm, cli.ExitUsage, "", `policy "best": expected one of`},
		{"rehearse " + calm + " -match", cli.ExitUsage, "", "of the clock sockets"},
		{"rehearse " + calm + " -json no/such/place", cli.ExitFailure, "value in time", "no/such"},
		{"rehearse " + calm + " -clock sockets -proxy /no/such/program", cli.ExitFailure, "", "proxy program: "},
		{"rehearse " + one + " -clock sockets -proxy /bin/false", cli.ExitFailure, "", "proxy 1 ended"},
		{"experiment", cli.ExitUsage, "", "one at least"},
		{"experiment " + calm + " -seeds 0", cli.ExitUsage, "", "-seeds: 0"},
		{"experiment " + calm + " -policies a,b", cli.ExitUsage, "", `policy "a"`},
		{"experiment " + calm + " -against x", cli.ExitUsage, "", "of the clock sockets"},
		{"load " + calm, cli.ExitUsage, "", "-to: missing"},
		{"load " + calm + " -to 127.0.0.1:1", cli.ExitFailure, "", "proxy at 127.0.0.1:1: "},
		{"load " + calm + " -to 127.0.0.1:1 -rate 1e12", cli.ExitFailure, "", "arrivals: rate"},
	} {
		code, out, errs := runCommand(strings.Fields(c.args)...)
		assert.Equal(t, c.code, code, "%s: %s", c.args, errs)
		assert.Contains(t, out, c.out, c.args)
		assert.Contains(t, errs, c.errs, c.args)
		if c.code == cli.ExitFailure {
			assert.Equal(t, 1, strings.Count(errs, "\n"), "one line says what is wrong: %s", c.args)
		}
	}
}

// A program that never gets ready is killed and named.
func TestProxyThatNeverGetsReady(t *testing.T) {
	t.Setenv(proxyHangs, "1")
	own, err := os.Executable()
	require.NoError(t, err)
	s, err := simulation.Open(shortScenario(t, "calm", 1, 1))
	require.NoError(t, err)
	began := time.Now()
	_, err = s.Sockets(t.Context(), simulation.Sockets{Proxy: own, Ready: 200 * time.Millisecond})
	assert.EqualError(t, err, "proxy 1 is not up after 200ms: its log is empty")
	assert.Less(t, time.Since(began), time.Minute, "it did not wait for the program's own end")
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
	assert.Equal(t, []string{"lockloom1", "lockloom2", "random1", "random2"}, order, "in one order, whichever ends first")
}

// Ports that are in use are skipped: an installation that begins at the same port comes up on others.
func TestOccupiedPortsAreSkipped(t *testing.T) {
	s, err := simulation.Open(bundledScenarios + "calm.toml")
	require.NoError(t, err)
	seen := map[string]bool{}
	for range 2 {
		st, err := s.StartServers(t.TempDir(), 1)
		require.NoError(t, err)
		defer st.Close()
		require.Len(t, st.Variables, 2)
		for _, v := range st.Variables {
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
