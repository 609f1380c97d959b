package simulation

import (
	"errors"
	"regexp"
	"strings"

	"lockloom/balance"
	"lockloom/internal/emulator"
	"lockloom/internal/loadgen"
)

var (
	idempotencies = map[string]balance.Idempotency{"replayable": balance.Idempotent, "referenced": balance.Keyed, "single-use": balance.NonIdempotent}
	scopes        = map[string]balance.DedupScope{"": 0, "all": balance.DedupAll, "zone": balance.DedupZone, "pod": balance.DedupPod}
	shapes        = map[string]loadgen.Shape{"steady": loadgen.Steady, "ramp": loadgen.Ramp, "bursts": loadgen.Bursts, "deadline": loadgen.DeadlineRush}
)

// bounds is a field with what it may be.
type bounds struct {
	field    string
	value    float64
	min, max float64
}

func (s *Scenario) within(table string, n int, fields ...bounds) error {
	for _, b := range fields {
		if !(b.value >= b.min && b.value <= b.max) {
			return s.file.At(table, n, b.field, "%v: it is from %v to %v", b.value, b.min, b.max)
		}
	}
	return nil
}

const minPositive = 1e-6 // more than nothing

// check names the first thing that contradicts itself or the machine.
func (s *Scenario) check() error {
	d := &s.Deployment
	err := errors.Join(
		s.within("", 0, bounds{"seconds", s.Seconds, minPositive, maxSeconds}),
		s.within("bank", 0, bounds{"proxies", float64(s.ProxyFleet.Count), 1, maxProxies}, bounds{"cores", s.ProxyFleet.Cores, .01, 256},
			bounds{"memory_mb", s.ProxyFleet.MemoryMB, 8, 1 << 20}, bounds{"sockets", float64(s.ProxyFleet.Sockets), 100, 1 << 20}),
		s.within("deployment", 0, bounds{"max_legs", float64(d.MaxAttempts), 1, 16}, bounds{"max_advice", d.MaxRetryAfter, 0, 3600},
			bounds{"grace", d.DrainGrace, 0, 60}, bounds{"counts_as_told_after", d.NotificationDeadline, .1, 600},
			bounds{"connect_for", d.ConnectTimeout, .001, 60}, bounds{"idle_for", d.IdleTimeout, .1, 3600},
			bounds{"cold_share", d.SlowStartFraction, .001, 1}, bounds{"cold_for", d.SlowStartDuration, .001, 3600},
			bounds{"fall_multiple", d.CrashFactor, .1, 1000}, bounds{"fall_for", d.CrashDuration, 0, 600}),
		s.within("keys", 0, bounds{"count", float64(s.Keys.Count), 0, maxKeys}, bounds{"skew", s.Keys.ZipfExponent, 0, 5}),
		s.within("arrivals", 0, bounds{"rate", s.Arrivals.Rate, minPositive, maxRate}),
		s.within("clients", 0, bounds{"tries", float64(s.Clients.MaxRequests), 1, 100}, bounds{"backoff", s.Clients.Backoff, 0, 600},
			bounds{"patience", s.Clients.Patience, .01, 1}),
		s.within("match", 0, bounds{"seconds", s.Match.Seconds, 0, 60}, bounds{"share", s.Match.Share, 0, 1}))
	for _, step := range []func() error{s.checkClasses, s.checkServers, s.checkPhases, s.checkFaults} {
		err = errors.Join(err, step())
	}
	var all interface{ Unwrap() []error }
	for errors.As(err, &all) { // the first is enough: one line
		err = all.Unwrap()[0]
	}
	return err
}

func (s *Scenario) checkClasses() error {
	if len(s.Classes) == 0 || len(s.Classes) > maxClasses {
		return s.file.At("tariff", 0, "", "%d of them: there are 1 to %d", len(s.Classes), maxClasses)
	}
	names := map[string]bool{}
	for i, t := range s.Classes {
		kind, known := idempotencies[t.Idempotency]
		_, scoped := scopes[t.DedupScope]
		switch n := i + 1; {
		case !plainName(t.Name) || names[t.Name] || t.Name == "up":
			return s.file.At("tariff", n, "name", "%q: a name of its own, of letters, digits and dashes", t.Name)
		case !known:
			return s.file.At("tariff", n, "kind", "%q: it is replayable, referenced or single-use", t.Idempotency)
		case !scoped || kind != balance.Keyed && t.DedupScope != "":
			return s.file.At("tariff", n, "scope", "%q: it is all, zone or pod, of a referenced tariff", t.DedupScope)
		case kind == balance.Keyed && t.DedupWindow <= 0:
			return s.file.At("tariff", n, "window", "a referenced tariff has one")
		case t.LatencyObjective > t.Deadline:
			return s.file.At("tariff", n, "due", "%v is past the hard stop of %v", t.LatencyObjective, t.Deadline)
		case (t.Pool != "") != s.PlainHTTP() || t.Pool != "" && s.count(t.Pool) == 0:
			return s.file.At("tariff", n, "pool", "%q: a group of servers, for every tariff or for none", t.Pool)
		case t.KeyedFraction > 0 && s.Keys.Count == 0:
			return s.file.At("tariff", n, "keyed", "there are no keys")
		}
		names[t.Name] = true
		if err := s.within("tariff", i+1, bounds{"hard_stop", t.Deadline, .01, 60}, bounds{"due", t.LatencyObjective, 0, 60},
			bounds{"window", t.DedupWindow, 0, 600}, bounds{"value", t.PriorityWeight, 0, 1e6}, bounds{"share", t.Weight, 0, 1e6},
			bounds{"work", t.Work, minPositive, 60}, bounds{"spread", t.WorkVariation, 0, 20}, bounds{"keyed", t.KeyedFraction, 0, 1}); err != nil {
			return err
		}
	}
	for i, c := range s.Tenants {
		if !plainName(c.Name) {
			return s.file.At("customer", i+1, "name", "%q: of letters, digits and dashes", c.Name)
		}
		if err := s.within("customer", i+1, bounds{"quota", c.Quota, 0, maxRate}, bounds{"share", c.Weight, minPositive, 1e6}); err != nil {
			return err
		}
	}
	return nil
}

var plainName = regexp.MustCompile(`^[A-Za-z0-9-]{1,64}$`).MatchString

func (s *Scenario) checkServers() error {
	total, names := 0, map[string]bool{}
	for i, g := range s.Servers {
		if !plainName(g.Name) || names[g.Name] {
			return s.file.At("servers", i+1, "name", "%q: a name of its own, of letters, digits and dashes", g.Name)
		}
		names[g.Name] = true
		total += g.Count
		if err := s.within("servers", i+1, bounds{"count", float64(g.Count), 1, maxServers}, bounds{"pod", float64(g.Pod), 1, maxServers},
			bounds{"cores", float64(g.Cores), 1, 1024}, bounds{"speed", g.Speed, .001, 1000}, bounds{"room", float64(g.QueueCapacity), 0, 1e6},
			bounds{"down_for", g.CrashDowntime, .01, 3600}, bounds{"choke_at", float64(g.DegradeQueueLength), 0, 1e6}, bounds{"choke_to", g.DegradedSpeed, .01, 1},
			bounds{"choke_in", g.DegradeTimeConstant, 0, 600}, bounds{"linger", g.RecoverTimeConstant, 0, 3600}, bounds{"warm_keys", float64(g.CacheSize), 0, maxKeys},
			bounds{"warm_work", g.CachedWorkFraction, .001, 1}); err != nil {
			return err
		}
	}
	if total < 1 || total > maxServers {
		return s.file.At("servers", 0, "", "%d in all: there are 1 to %d", total, maxServers)
	}
	return nil
}

func (s *Scenario) checkPhases() error {
	for i, p := range s.Arrivals.Phases {
		shape, known := shapes[p.Shape]
		switch n := i + 1; {
		case !known:
			return s.file.At("arrivals.phase", n, "shape", "%q: it is steady, ramp, bursts or deadline", p.Shape)
		case shape == loadgen.Bursts && !(p.BurstDuration > 0 && p.BurstDuration < p.BurstInterval):
			return s.file.At("arrivals.phase", n, "lasts", "%v: each burst lasts less than from one to the next, %v", p.BurstDuration, p.BurstInterval)
		}
		if err := s.within("arrivals.phase", i+1, bounds{"at", p.At, 0, s.Seconds}, bounds{"for", p.Duration, minPositive, maxSeconds},
			bounds{"times", p.Factor, 0, 1000}); err != nil {
			return err
		}
	}
	mix := s.Workload()
	sum := 0.0
	for t := 0.0; t < s.Seconds; t += s.Seconds / 1000 {
		if rate := mix.RateAt(t); rate > maxRate {
			return s.file.At("arrivals", 0, "rate", "%v a second at %v s: %v at most", rate, t, maxRate)
		} else if sum += rate * s.Seconds / 1000; sum > maxIntents {
			return s.file.At("arrivals", 0, "rate", "more than %v lookups in all", maxIntents)
		}
	}
	return nil
}

// faultKinds is what each kind of trouble needs, and what it does.
var faultKinds = map[string]struct {
	deed           emulator.ChangeKind
	factor, lasts  bool // needs a factor, ends after For
	proxies, lists bool // not of servers
	bans           bool // of servers at proxies
	once           bool // lasts for no time, or for one that may be left out
}{
	"slow":          {deed: emulator.ChangeSpeed, factor: true, lasts: true},
	"pause":         {deed: emulator.ChangePause},
	"errors":        {deed: emulator.ChangeErrorShare, factor: true, lasts: true},
	"hang":          {deed: emulator.ChangeHanging, lasts: true},
	"silence":       {deed: emulator.ChangeUnreachable, lasts: true},
	"crash":         {deed: emulator.ChangeCrash, once: true},
	"drain":         {deed: emulator.ChangeDrain, once: true},
	"replace":       {deed: emulator.ChangeReplace, once: true},
	"replace-there": {deed: emulator.ChangeReplaceInPlace, once: true},
	"list-late":     {lists: true, factor: true},
	"list-silent":   {lists: true},
	"list-reset":    {lists: true, once: true},
	"list-mute":     {lists: true, once: true},
	"proxy-kill":    {proxies: true},
	"proxy-restart": {proxies: true},
	"proxy-upgrade": {proxies: true, once: true},
	"proxy-drain":   {proxies: true},
	"ban":           {bans: true},
}

func (s *Scenario) checkFaults() error {
	if len(s.Faults) > maxFaults {
		return s.file.At("trouble", 0, "", "%d of them: %d at most", len(s.Faults), maxFaults)
	}
	for i, t := range s.Faults {
		n, group := i+1, s.count(t.Servers)
		kind, known := faultKinds[t.Kind]
		if !known {
			return s.file.At("trouble", n, "kind", "%q: it is %s", t.Kind, strings.Join(sortedNames(faultKinds), ", "))
		}
		ofServers := !kind.proxies && !kind.lists
		_, class := s.class(t.Class)
		switch {
		case ofServers && group == 0:
			return s.file.At("trouble", n, "servers", "%q: no such group", t.Servers)
		case !ofServers && (t.Servers != "" || t.Count != 0 || t.Share != 0 || t.From != 0):
			return s.file.At("trouble", n, "kind", "%s happens to no servers", t.Kind)
		case ofServers && !kind.bans && t.Proxy != 0:
			return s.file.At("trouble", n, "proxy", "%s happens to servers", t.Kind)
		case t.Count != 0 && t.Share != 0:
			return s.file.At("trouble", n, "share", "a count or a share, not both")
		case t.From < 0 || t.Count < 0 || ofServers && t.From+s.affected(t) > group:
			return s.file.At("trouble", n, "count", "servers %d to %d of %d", t.From, t.From+s.affected(t), group)
		case t.Class != "" && !class:
			return s.file.At("trouble", n, "tariff", "%q: no such tariff", t.Class)
		case t.Class != "" && t.Kind != "errors" && t.Kind != "hang":
			return s.file.At("trouble", n, "tariff", "%s is of no one tariff", t.Kind)
		case kind.factor && t.Factor <= 0 || !kind.factor && t.Factor != 0:
			return s.file.At("trouble", n, "factor", "%v: %s", t.Factor, map[bool]string{true: "more than nothing", false: "not of " + t.Kind}[kind.factor])
		case t.Duration <= 0 && !kind.once:
			return s.file.At("trouble", n, "for", "%s lasts for a time", t.Kind)
		}
		if err := s.within("trouble", n, bounds{"at", t.At, 0, s.Seconds}, bounds{"for", t.Duration, 0, maxSeconds},
			bounds{"within", t.Within, 0, maxSeconds}, bounds{"factor", t.Factor, 0, 100}, bounds{"drain", t.Drain, 0, 600},
			bounds{"share", t.Share, 0, 1}, bounds{"proxy", float64(t.Proxy), 0, float64(s.ProxyFleet.Count)}); err != nil {
			return err
		}
	}
	return nil
}
