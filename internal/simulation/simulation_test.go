package simulation

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"lockloom/balance"
)

// smallScenario is the scenario that most tests extend by faults.
const smallScenario = `name = "small"
seconds = 4.0
[bank]
proxies = 2
[deployment]
call_off = true
cold_share = 0.2
cold_for = 5.0
[[tariff]]
name = "page"
due = 0.3
hard_stop = 1.0
work = 0.02
spread = 0.5
[[tariff]]
name = "sign"
kind = "referenced"
scope = "pod"
window = 0.4
due = 0.4
hard_stop = 1.0
work = 0.02
[[tariff]]
name = "sms"
kind = "single-use"
due = 0.4
hard_stop = 1.0
work = 0.02
[[servers]]
name = "s"
count = 6
cores = 2
room = 20
[arrivals]
rate = 200.0
[clients]
tries = 2
`

// scenario reads smallScenario with extra tables at its end.
func scenario(tb testing.TB, extra string) *Scenario {
	tb.Helper()
	s, err := Read("small.toml", []byte(smallScenario+extra))
	require.NoError(tb, err)
	return s
}

func TestBundledScenarios(t *testing.T) {
	files, _ := filepath.Glob("../../deploy/rehearsals/*.toml")
	assert.GreaterOrEqual(t, len(files), 5)
	for _, file := range files {
		s, err := Open(file)
		require.NoError(t, err)
		assert.Equal(t, filepath.Base(file), s.Name+".toml")
		s.Seconds /= 3 // a third of each keeps CI short
		var lines [2]bytes.Buffer
		for i := range lines {
			r, err := s.PlayVirtual("lockloom", Policies["lockloom"](), 7)
			require.NoError(t, err)
			assert.True(t, r.Passed(), "%s: rules broken: %v", s.Name, r.FirstBreaches)
			assert.Zero(t, r.Lost)
			assert.Equal(t, r.Tries, r.Succeeded+r.Rejected+r.Failed+r.LostWithProxy, "each try has exactly one outcome")
			assert.Greater(t, r.ValueInTime, .8)
			assert.NoError(t, r.Write(&lines[i]))
		}
		assert.Equal(t, lines[0].String(), lines[1].String(), "the same seed gives the same timeline")
	}
}

// Plays 350 proxies and 1024 servers, where discovery fails while servers are replaced, and all proxies are killed at
// once.
func TestLargeScenario(t *testing.T) {
	text := strings.NewReplacer(
		"proxies = 2", "proxies = 350",
		"count = 6", "count = 1024",
		"seconds = 4.0", "seconds = 2.0",
		"cores = 2", "cores = 1",
	).Replace(smallScenario)
	s, err := Read("large.toml", []byte(text+"[[trouble]]\nat = 0.2\nkind = \"list-silent\"\nfor = 0.6\n"+
		"[[trouble]]\nat = 0.6\nkind = \"replace\"\nservers = \"s\"\ncount = 100\ndrain = 0.5\n"+
		"[[trouble]]\nat = 0.9\nkind = \"proxy-kill\"\nfor = 0.2\n"))
	require.NoError(t, err)
	var lines [2]bytes.Buffer
	for i := range lines {
		r, err := s.PlayVirtual("lockloom", Policies["lockloom"](), 7)
		require.NoError(t, err)
		assert.True(t, r.Passed(), "%v", r.FirstBreaches)
		assert.NoError(t, r.Write(&lines[i]))
	}
	assert.Equal(t, lines[0].String(), lines[1].String(), "the same seed gives the same timeline")
	_, err = s.PlayOnSockets(t.Context(), SocketOptions{Proxy: "true"})
	assert.ErrorContains(t, err,
		"large.toml:4:1: bank: proxies: 350: at most 64 on sockets, where each proxy is a process")
}

func TestReadRefuses(t *testing.T) {
	for name, c := range map[string]struct{ text, want string }{
		"empty":    {"", "seconds: 0: expected 1e-06 to 3600"},
		"not TOML": {"name = ", "f.toml:1:"},
		"unknown field": {
			smallScenario + "[keys]\ncuont = 3\n", "f.toml:39:1: keys.cuont: no such field, did you mean count?",
		},
		"wrong type":    {strings.Replace(smallScenario, "= 4.0", `= "long"`, 1), "f.toml:2:"},
		"unknown table": {smallScenario + "[proxy]\n", "no such field"},
		"no tariff":     {"seconds = 1.0\n[arrivals]\nrate = 1.0\n", "tariff: 0 tables defined, expected 1 to 64"},
		"seconds out of range": {
			strings.Replace(smallScenario, "4.0", "1e9", 1), "f.toml:2:1: seconds: 1e+09: expected 1e-06 to 3600",
		},
		"not a number":          {strings.Replace(smallScenario, "4.0", "nan", 1), "f.toml:2:1: seconds: NaN"},
		"arrival rate too high": {strings.Replace(smallScenario, "200.0", "1e300", 1), "arrivals: rate"},
		"due after hard_stop": {
			strings.Replace(smallScenario, "due = 0.3", "due = 3.0", 1),
			"f.toml:11:1: tariff: due: 3 is greater than hard_stop, 1",
		},
		"referenced tariff without window": {
			strings.Replace(smallScenario, "window = 0.4", "", 1), "tariff: window: a referenced tariff needs a window",
		},
		"scope of a replayable tariff": {
			strings.Replace(smallScenario, `kind = "referenced"`, "", 1), "f.toml:18:1: tariff: scope",
		},
		"unknown kind of tariff": {
			strings.Replace(smallScenario, "single-use", "unsafe", 1),
			`f.toml:25:1: tariff: kind: "unsafe": expected replayable, referenced or single-use`,
		},
		"duplicate tariff name": {strings.Replace(smallScenario, "sign", "page", 1), `f.toml:16:1: tariff: name: "page"`},
		"keyed tariff without keys": {
			strings.Replace(smallScenario, "spread = 0.5", "keyed = 1.0", 1), "the scenario has no keys",
		},
		"a name with a slash": {strings.Replace(smallScenario, `"s"`, `"s/1"`, 1), "servers: name"},
		"unknown server group": {
			smallScenario + "[[trouble]]\nkind = \"crash\"\nservers = \"x\"\n", `trouble: servers: "x": no such group`,
		},
		"more servers than the group has": {
			smallScenario + "[[trouble]]\nkind = \"crash\"\ncount = 7\n", "trouble: count: servers 0 to 7 of 6",
		},
		"count and share": {
			smallScenario + "[[trouble]]\nkind = \"crash\"\ncount = 1\nshare = 0.5\n", "expected count or share, not both",
		},
		"unknown kind of trouble": {
			smallScenario + "[[trouble]]\nkind = \"flood\"\n", `trouble: kind: "flood": expected one of ban, crash, drain`,
		},
		"error in the second trouble": {
			smallScenario + "[[trouble]]\nkind = \"crash\"\n[[trouble]]\nkind = \"pause\"\n",
			"f.toml:40:1: trouble: for: pause needs a duration",
		},
		"factor of a crash": {smallScenario + "[[trouble]]\nkind = \"crash\"\nfactor = 2.0\n", "2: crash takes no factor"},
		"servers of a proxy fault": {
			smallScenario + "[[trouble]]\nkind = \"proxy-kill\"\nfor = 1.0\nservers = \"s\"\n", "does not affect servers",
		},
		"proxy out of range": {
			smallScenario + "[[trouble]]\nkind = \"proxy-kill\"\nfor = 1.0\nproxy = 3\n", "trouble: proxy: 3",
		},
		"bursts without lasts": {
			smallScenario + "[[arrivals.phase]]\nfor = 1.0\ntimes = 2.0\nshape = \"bursts\"\n", "arrivals.phase: lasts",
		},
	} {
		_, err := Read("f.toml", []byte(c.text))
		if assert.Error(t, err, name) {
			assert.Contains(t, err.Error(), c.want, name)
			assert.NotContains(t, err.Error(), "\n", "%s: the message has one line", name)
		}
	}
	_, err := Open("no/such.toml")
	assert.ErrorContains(t, err, "no/such.toml")
}

func FuzzRead(f *testing.F) {
	f.Add([]byte(smallScenario))
	files, _ := filepath.Glob("../../deploy/rehearsals/*.toml")
	for _, file := range files {
		text, err := os.ReadFile(file)
		require.NoError(f, err)
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		s, err := Read("f.toml", text)
		if err != nil {
			if strings.Contains(err.Error(), "\n") {
				t.Fatalf("error message has more than one line: %q", err)
			}
			return
		}
		s.Timeline() // must not panic for a scenario that Read accepts
	})
}

// ruleBreaker is a Decider that breaks one of the audit's rules and otherwise decides as the Decider that it wraps.
type ruleBreaker struct {
	Decider
	rule         int // 0: it breaks none
	deployment   balance.Deployment
	newestServer int  // a server that started during the run; 0: none
	done         bool // rules 1 and 2 are broken once
}

func (r *ruleBreaker) EndpointsUpdated(now float64, full, first bool, list []balance.Endpoint) *balance.Actions {
	if r.rule == 3 {
		for i := range list {
			if list[i].State == balance.Draining {
				list[i].State = balance.Ready // draining servers still get requests
			}
		}
	}
	for _, b := range list {
		if b.StartedAt > 0 {
			r.newestServer = b.Index
		}
	}
	return r.Decider.EndpointsUpdated(now, full, first, list)
}

func (r *ruleBreaker) RequestArrived(now float64, info balance.RequestInfo) (RequestHandle, *balance.Actions) {
	handle, actions := r.Decider.RequestArrived(now, info)
	for i := range actions.Requests {
		action := &actions.Requests[i]
		nonIdempotentSend := r.deployment.Classes[info.Class].Idempotency == balance.NonIdempotent &&
			action.Ref == info.Ref && action.Send && !r.done
		switch {
		case r.rule == 4 && action.Send && r.newestServer > 0 && info.Class == 0: // beyond the server's capacity
			action.Endpoint = r.newestServer
		case r.rule == 1 && action.Send && !r.done:
			r.done, action.Send, action.WakeAt = true, false, 0
			return unansweredRequest{}, actions
		case r.rule == 2 && nonIdempotentSend: // two attempts at once
			r.done = true
			actions.Requests = append(actions.Requests,
				balance.RequestAction{Ref: info.Ref, Send: true, Endpoint: (action.Endpoint + 1) % 6})
			return duplicatedRequest{RequestHandle: handle}, actions
		}
	}
	return handle, actions
}

// unansweredRequest is the handle of a request that never gets a reply.
type unansweredRequest struct{}

func (unansweredRequest) AttemptEnded(float64, int, balance.Outcome, float64, bool) *balance.Actions {
	return &balance.Actions{}
}
func (unansweredRequest) ClientDisconnected(float64) *balance.Actions { return &balance.Actions{} }
func (unansweredRequest) TimerFired(float64) *balance.Actions         { return &balance.Actions{} }

// duplicatedRequest hides the second attempt from the wrapped handle, which did not send it.
type duplicatedRequest struct{ RequestHandle }

func (r duplicatedRequest) AttemptEnded(
	now float64, attempt int, outcome balance.Outcome, latency float64, over bool,
) *balance.Actions {
	if attempt > 0 {
		return &balance.Actions{}
	}
	return r.RequestHandle.AttemptEnded(now, attempt, outcome, latency, over)
}

// firstListOnly applies its first endpoint list and ignores all updates.
type firstListOnly struct{ Decider }

func (d firstListOnly) EndpointsUpdated(now float64, full, first bool, list []balance.Endpoint) *balance.Actions {
	if !first {
		list = nil
	}
	return d.Decider.EndpointsUpdated(now, first, first, list)
}

// Once discovery answers again, the changes that were lost meanwhile count as notified. A proxy that ignores them
// breaks the rule of draining; one that applies them breaks no rule.
func TestLostListCountsAsNotified(t *testing.T) {
	s := scenario(t, `
[[trouble]]
kind = "list-silent"
at = 0.2
for = 1.0
[[trouble]]
kind = "drain"
servers = "s"
at = 0.5
count = 3
drain = 30.0
`)
	s.Deployment.DrainGrace = 0.5
	for name, wrap := range map[string]func(Decider) Decider{
		"applies updates": func(d Decider) Decider { return d },
		"ignores updates": func(d Decider) Decider { return firstListOnly{d} },
	} {
		r, err := s.PlayVirtual(name, func(d balance.Deployment, now float64) (Decider, error) {
			b, err := Policies["lockloom"]()(d, now)
			return wrap(b), err
		}, 3)
		require.NoError(t, err)
		assert.Equal(t, name == "ignores updates", r.RulesBroken[3] > 0, "%s: %v", name, r.FirstBreaches)
	}
}

// The check of each rule detects a proxy that breaks the rule, and the checks of the other rules do not.
func TestPlantedDefectsAreFound(t *testing.T) {
	s := scenario(t, `
[[trouble]]
kind = "replace"
at = 0.5
count = 3
drain = 4.0
`)
	for rule := range 5 {
		policy := func(d balance.Deployment, now float64) (Decider, error) {
			base := "lockloom"
			if rule == 4 {
				base = "random" // lockloom's concurrency limits would prevent the crash
			}
			b, err := Policies[base]()(d, now)
			return &ruleBreaker{Decider: b, rule: rule, deployment: d}, err
		}
		if rule == 4 {
			s.Arrivals.Rate = 500
		}
		r, err := s.PlayVirtual("rule breaker", policy, 3)
		require.NoError(t, err)
		for i := 1; i <= 4; i++ {
			assert.Equal(t, i == rule, r.RulesBroken[i] > 0,
				"proxy that breaks rule %d: breaches of rule %d: %v", rule, i, r.FirstBreaches)
		}
		assert.Equal(t, rule == 0, r.Passed())
	}
}

// Each kind of fault changes the states of 3 servers, and no policy breaks rules 1 to 3 under it.
func TestFaults(t *testing.T) {
	for kind, c := range map[string]struct {
		table string
		state func(Second) int
	}{
		"pause":         {"for = 2.0\ncount = 3", func(s Second) int { return s.Paused }},
		"silence":       {"for = 2.0\ncount = 3", func(s Second) int { return s.Unreachable }},
		"crash":         {"for = 2.0\ncount = 3", func(s Second) int { return s.Down }},
		"drain":         {"drain = 2.0\ncount = 3", func(s Second) int { return s.Draining }},
		"replace":       {"drain = 2.0\ncount = 3", func(s Second) int { return s.WarmingUp }},
		"replace-there": {"drain = 0.5\ncount = 3", func(s Second) int { return s.WarmingUp }},
	} {
		s := scenario(t, "[[trouble]]\nkind = \""+kind+"\"\nat = 0.5\n"+c.table+"\n")
		for name, policy := range Policies {
			r, err := s.PlayVirtual(name, policy(), 3)
			require.NoError(t, err)
			assert.Equal(
				t,
				[2]int{0, 3},
				[2]int{c.state(r.Seconds[0]) % 3, c.state(r.Seconds[1])},
				"%s under %s: %+v",
				kind,
				name,
				r.Seconds[:3],
			)
			assert.Zero(t, r.RulesBroken[1]+r.RulesBroken[2]+r.RulesBroken[3], "%s under %s: %v", kind, name, r.FirstBreaches)
		}
	}
}

// A killed proxy loses the requests in flight and no others. A proxy that is restarted with SIGTERM loses none.
func TestProxyFaults(t *testing.T) {
	for kind, lost := range map[string]bool{"proxy-kill": true, "proxy-restart": false} {
		s := scenario(t, "[[trouble]]\nkind = \""+kind+"\"\nat = 1.0\nfor = 1.0\nproxy = 1\n")
		r, err := s.PlayVirtual("lockloom", Policies["lockloom"](), 3)
		require.NoError(t, err)
		assert.Equal(t, lost, r.LostWithProxy > 0, kind)
		assert.Equal(t, []any{0, 0, true}, []any{r.Lost, r.NoProxy, r.Passed()}, "%s: %v", kind, r.FirstBreaches)
		assert.Equal(t, r.Tries, r.Succeeded+r.Rejected+r.Failed+r.LostWithProxy)
	}
	s := scenario(t, "[[trouble]]\nkind = \"proxy-kill\"\nat = 1.0\nfor = 1.5\n")
	r, err := s.PlayVirtual("lockloom", Policies["lockloom"](), 3)
	require.NoError(t, err)
	assert.Greater(t, r.NoProxy, 0, "requests find no proxy while all are down")
	assert.True(t, r.Passed(), r.FirstBreaches)
}

func BenchmarkVirtual(b *testing.B) {
	s, err := Open("../../deploy/rehearsals/deadline-night.toml")
	require.NoError(b, err)
	for name, policy := range Policies {
		b.Run(name, func(b *testing.B) {
			tries := 0
			for b.Loop() {
				r, err := s.PlayVirtual(name, policy(), 7)
				require.NoError(b, err)
				tries += r.Tries
			}
			b.ReportMetric(float64(tries)/b.Elapsed().Seconds(), "lookups/s")
		})
	}
}

// BenchmarkExperiment plays the scenario of BenchmarkVirtual with many seeds, with as many runs at a time as Experiment
// allows.
func BenchmarkExperiment(b *testing.B) {
	s, err := Open("../../deploy/rehearsals/deadline-night.toml")
	require.NoError(b, err)
	tries := 0
	for b.Loop() {
		all, err := s.Experiment(b.Context(), []string{"lockloom"}, Seeds(1, 32))
		require.NoError(b, err)
		for _, r := range all[0] {
			tries += r.Tries
		}
	}
	b.ReportMetric(float64(tries)/b.Elapsed().Seconds(), "lookups/s")
}
