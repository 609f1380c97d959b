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

// small is a scenario that every test may add to.
const small = `name = "small"
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

func scenario(tb testing.TB, more string) *Scenario {
	tb.Helper()
	s, err := Read("small.toml", []byte(small+more))
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
		s.Seconds /= 3 // CI plays a part of each
		var lines [2]bytes.Buffer
		for i := range lines {
			r, err := s.Virtual("lockloom", Policies["lockloom"](), 7)
			require.NoError(t, err)
			assert.True(t, r.Passed(), "%s: rules broken: %v", s.Name, r.FirstBreaches)
			assert.Zero(t, r.Lost)
			assert.Equal(t, r.Tries, r.Succeeded+r.Rejected+r.Failed+r.LostWithProxy, "each try has one end")
			assert.Greater(t, r.ValueInTime, .8)
			assert.NoError(t, r.Write(&lines[i]))
		}
		assert.Equal(t, lines[0].String(), lines[1].String(), "the same seed, the same timeline, byte for byte")
	}
}

// A fleet of hundreds over a list of a thousand, whose discovery is down as servers are replaced and most proxies are
// killed at once.
func TestLargeScenario(t *testing.T) {
	text := strings.NewReplacer(
		"proxies = 2", "proxies = 350",
		"count = 6", "count = 1024",
		"seconds = 4.0", "seconds = 2.0",
		"cores = 2", "cores = 1",
	).Replace(small)
	s, err := Read("large.toml", []byte(text+"[[trouble]]\nat = 0.2\nkind = \"list-silent\"\nfor = 0.6\n"+
		"[[trouble]]\nat = 0.6\nkind = \"replace\"\nservers = \"s\"\ncount = 100\ndrain = 0.5\n"+
		"[[trouble]]\nat = 0.9\nkind = \"proxy-kill\"\nfor = 0.2\n"))
	require.NoError(t, err)
	var lines [2]bytes.Buffer
	for i := range lines {
		r, err := s.Virtual("lockloom", Policies["lockloom"](), 7)
		require.NoError(t, err)
		assert.True(t, r.Passed(), "%v", r.FirstBreaches)
		assert.NoError(t, r.Write(&lines[i]))
	}
	assert.Equal(t, lines[0].String(), lines[1].String(), "byte for byte")
	_, err = s.Sockets(t.Context(), Sockets{Proxy: "true"})
	assert.ErrorContains(t, err, "large.toml:4:1: bank: proxies: 350: on sockets each is a program")
}

func TestReadRefuses(t *testing.T) {
	for name, c := range map[string]struct{ text, want string }{
		"empty":            {"", "seconds: 0: it is from"},
		"not TOML":         {"name = ", "f.toml:1:"},
		"unknown field":    {small + "[keys]\ncuont = 3\n", "f.toml:39:1: keys.cuont: no such field, did you mean count?"},
		"wrong type":       {strings.Replace(small, "= 4.0", `= "long"`, 1), "f.toml:2:"},
		"unknown table":    {small + "[proxy]\n", "no such field"},
		"no tariff":        {"seconds = 1.0\n[arrivals]\nrate = 1.0\n", "tariff: 0 of them"},
		"too long":         {strings.Replace(small, "4.0", "1e9", 1), "f.toml:2:1: seconds: 1e+09: it is from"},
		"not a number":     {strings.Replace(small, "4.0", "nan", 1), "f.toml:2:1: seconds: NaN"},
		"too many lookups": {strings.Replace(small, "200.0", "1e300", 1), "arrivals: rate"},
		"due after the stop": {
			strings.Replace(small, "due = 0.3", "due = 3.0", 1), "f.toml:11:1: tariff: due: 3 is past the hard stop of 1",
		},
		"no window": {
			strings.Replace(small, "window = 0.4", "", 1), "tariff: window: a referenced tariff has one",
		},
		"a scope too many": {strings.Replace(small, `kind = "referenced"`, "", 1), "f.toml:18:1: tariff: scope"},
		"kind": {
			strings.Replace(small, "single-use", "unsafe", 1),
			`f.toml:25:1: tariff: kind: "unsafe": it is replayable, referenced or single-use`,
		},
		"the same name":       {strings.Replace(small, "sign", "page", 1), `f.toml:16:1: tariff: name: "page"`},
		"keys of nothing":     {strings.Replace(small, "spread = 0.5", "keyed = 1.0", 1), "there are no keys"},
		"a name with a slash": {strings.Replace(small, `"s"`, `"s/1"`, 1), "servers: name"},
		"no such group": {
			small + "[[trouble]]\nkind = \"crash\"\nservers = \"x\"\n", `trouble: servers: "x": no such group`,
		},
		"more than there are": {
			small + "[[trouble]]\nkind = \"crash\"\ncount = 7\n", "trouble: count: servers 0 to 7 of 6",
		},
		"count and share": {small + "[[trouble]]\nkind = \"crash\"\ncount = 1\nshare = 0.5\n", "a count or a share"},
		"unknown trouble": {
			small + "[[trouble]]\nkind = \"flood\"\n", `trouble: kind: "flood": it is ban, crash, drain`,
		},
		"the second trouble": {
			small + "[[trouble]]\nkind = \"crash\"\n[[trouble]]\nkind = \"pause\"\n",
			"f.toml:40:1: trouble: for: pause lasts for a time",
		},
		"a factor too many": {small + "[[trouble]]\nkind = \"crash\"\nfactor = 2.0\n", "not of crash"},
		"proxies have no group": {
			small + "[[trouble]]\nkind = \"proxy-kill\"\nfor = 1.0\nservers = \"s\"\n", "happens to no servers",
		},
		"a proxy too many": {small + "[[trouble]]\nkind = \"proxy-kill\"\nfor = 1.0\nproxy = 3\n", "trouble: proxy: 3"},
		"a burst without end": {
			small + "[[arrivals.phase]]\nfor = 1.0\ntimes = 2.0\nshape = \"bursts\"\n", "arrivals.phase: lasts",
		},
	} {
		_, err := Read("f.toml", []byte(c.text))
		if assert.Error(t, err, name) {
			assert.Contains(t, err.Error(), c.want, name)
			assert.NotContains(t, err.Error(), "\n", "%s: one line", name)
		}
	}
	_, err := Open("no/such.toml")
	assert.ErrorContains(t, err, "no/such.toml")
}

func FuzzRead(f *testing.F) {
	f.Add([]byte(small))
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
				t.Fatalf("more than one line: %q", err)
			}
			return
		}
		s.Timeline() // what is read can be laid out
	})
}

// rogue breaks one rule and is lockloom in all else.
type rogue struct {
	Decider
	rule int
	d    balance.Deployment
	cold int // the server that started last
	used bool
}

func (r *rogue) EndpointsUpdated(now float64, full, first bool, list []balance.Endpoint) *balance.Actions {
	if r.rule == 3 {
		for i := range list {
			if list[i].State == balance.Draining {
				list[i].State = balance.Ready // it does not listen
			}
		}
	}
	for _, b := range list {
		if b.StartedAt > 0 {
			r.cold = b.Index
		}
	}
	return r.Decider.EndpointsUpdated(now, full, first, list)
}

func (r *rogue) RequestArrived(now float64, a balance.RequestInfo) (RequestHandle, *balance.Actions) {
	h, o := r.Decider.RequestArrived(now, a)
	for i := range o.Requests {
		s := &o.Requests[i]
		single := r.d.Classes[a.Class].Idempotency == balance.NonIdempotent && s.Ref == a.Ref && s.Send && !r.used
		switch {
		case r.rule == 4 && s.Send && r.cold > 0 && a.Class == 0: // whatever it bears
			s.Endpoint = r.cold
		case r.rule == 1 && s.Send && !r.used:
			r.used, s.Send, s.WakeAt = true, false, 0
			return mute{}, o
		case r.rule == 2 && single: // two attempts at once
			r.used = true
			o.Requests = append(o.Requests, balance.RequestAction{Ref: a.Ref, Send: true, Endpoint: (s.Endpoint + 1) % 6})
			return twice{RequestHandle: h}, o
		}
	}
	return h, o
}

// mute never answers.
type mute struct{}

func (mute) AttemptEnded(float64, int, balance.Outcome, float64, bool) *balance.Actions {
	return &balance.Actions{}
}
func (mute) ClientDisconnected(float64) *balance.Actions { return &balance.Actions{} }
func (mute) TimerFired(float64) *balance.Actions         { return &balance.Actions{} }

// twice hides the second attempt from the decisions, which do not know of it.
type twice struct{ RequestHandle }

func (t twice) AttemptEnded(now float64, attempt int, o balance.Outcome, latency float64, over bool) *balance.Actions {
	if attempt > 0 {
		return &balance.Actions{}
	}
	return t.RequestHandle.AttemptEnded(now, attempt, o, latency, over)
}

// deaf receives its first list only.
type deaf struct{ Decider }

func (d deaf) EndpointsUpdated(now float64, full, first bool, list []balance.Endpoint) *balance.Actions {
	if !first {
		list = nil
	}
	return d.Decider.EndpointsUpdated(now, first, first, list)
}

// What the agent has once discovery answers again counts as notified, even to a proxy that ignores it; one that does
// not ignore it breaks no rule.
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
		"hears": func(d Decider) Decider { return d },
		"deaf":  func(d Decider) Decider { return deaf{d} },
	} {
		r, err := s.Virtual(name, func(d balance.Deployment, now float64) (Decider, error) {
			b, err := Policies["lockloom"]()(d, now)
			return wrap(b), err
		}, 3)
		require.NoError(t, err)
		assert.Equal(t, name == "deaf", r.RulesBroken[3] > 0, "%s: %v", name, r.FirstBreaches)
	}
}

// Each rule's check sees a proxy that breaks it, and no other rule's does.
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
			under := "lockloom"
			if rule == 4 {
				under = "random" // lockloom's limits would keep it from doing much harm
			}
			b, err := Policies[under]()(d, now)
			return &rogue{Decider: b, rule: rule, d: d}, err
		}
		if rule == 4 {
			s.Arrivals.Rate = 500
		}
		r, err := s.Virtual("rogue", policy, 3)
		require.NoError(t, err)
		for i := 1; i <= 4; i++ {
			assert.Equal(t, i == rule, r.RulesBroken[i] > 0, "rule %d planted, rule %d: %v", rule, i, r.FirstBreaches)
		}
		assert.Equal(t, rule == 0, r.Passed())
	}
}

// The kinds of faults show in the servers' states and in the baselines' results.
func TestFaults(t *testing.T) {
	for kind, c := range map[string]struct {
		more  string
		state func(Second) int
	}{
		"pause":         {"for = 2.0\ncount = 3", func(s Second) int { return s.Paused }},
		"silence":       {"for = 2.0\ncount = 3", func(s Second) int { return s.Unreachable }},
		"crash":         {"for = 2.0\ncount = 3", func(s Second) int { return s.Down }},
		"drain":         {"drain = 2.0\ncount = 3", func(s Second) int { return s.Draining }},
		"replace":       {"drain = 2.0\ncount = 3", func(s Second) int { return s.WarmingUp }},
		"replace-there": {"drain = 0.5\ncount = 3", func(s Second) int { return s.WarmingUp }},
	} {
		s := scenario(t, "[[trouble]]\nkind = \""+kind+"\"\nat = 0.5\n"+c.more+"\n")
		for name, policy := range Policies {
			r, err := s.Virtual(name, policy(), 3)
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

// A killed proxy loses the requests in flight and no others; one that is restarted in order loses none.
func TestProxyFaults(t *testing.T) {
	for kind, lost := range map[string]bool{"proxy-kill": true, "proxy-restart": false} {
		s := scenario(t, "[[trouble]]\nkind = \""+kind+"\"\nat = 1.0\nfor = 1.0\nproxy = 1\n")
		r, err := s.Virtual("lockloom", Policies["lockloom"](), 3)
		require.NoError(t, err)
		assert.Equal(t, lost, r.LostWithProxy > 0, kind)
		assert.Equal(t, []any{0, 0, true}, []any{r.Lost, r.NoProxy, r.Passed()}, "%s: %v", kind, r.FirstBreaches)
		assert.Equal(t, r.Tries, r.Succeeded+r.Rejected+r.Failed+r.LostWithProxy)
	}
	s := scenario(t, "[[trouble]]\nkind = \"proxy-kill\"\nat = 1.0\nfor = 1.5\n")
	r, err := s.Virtual("lockloom", Policies["lockloom"](), 3)
	require.NoError(t, err)
	assert.Greater(t, r.NoProxy, 0, "with none up there is nobody to take them")
	assert.True(t, r.Passed(), r.FirstBreaches)
}

func BenchmarkVirtual(b *testing.B) {
	s, err := Open("../../deploy/rehearsals/deadline-night.toml")
	require.NoError(b, err)
	for name, policy := range Policies {
		b.Run(name, func(b *testing.B) {
			tries := 0
			for b.Loop() {
				r, err := s.Virtual(name, policy(), 7)
				require.NoError(b, err)
				tries += r.Tries
			}
			b.ReportMetric(float64(tries)/b.Elapsed().Seconds(), "lookups/s")
		})
	}
}

// BenchmarkExperiment is the same with a run on each core.
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
