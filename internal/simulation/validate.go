package simulation

import (
	"regexp"
	"strings"

	"lockloom/balance"
	"lockloom/internal/emulator"
	"lockloom/internal/loadgen"
)

var (
	idempotencies = map[string]balance.Idempotency{
		"replayable": balance.Idempotent,
		"referenced": balance.Keyed,
		"single-use": balance.NonIdempotent,
	}
	scopes = map[string]balance.DedupScope{
		"":     0,
		"all":  balance.DedupAll,
		"zone": balance.DedupZone,
		"pod":  balance.DedupPod,
	}
	shapes = map[string]loadgen.Shape{
		"steady":   loadgen.Steady,
		"ramp":     loadgen.Ramp,
		"bursts":   loadgen.Bursts,
		"deadline": loadgen.DeadlineRush,
	}
)

// bounds holds the name of a field, its value, and the smallest and largest valid value.
type bounds struct {
	field    string
	value    float64
	min, max float64
}

// checkBounds returns an error for the first field whose value is out of its bounds. n is the position of the table,
// from 1, among the tables of the same name; 0: the file has only one such table.
func (s *Scenario) checkBounds(table string, n int, fields ...bounds) error {
	for _, b := range fields {
		if !(b.value >= b.min && b.value <= b.max) {
			return s.file.ErrorAt(table, n, b.field, "%v: expected %v to %v", b.value, b.min, b.max)
		}
	}
	return nil
}

const minPositive = 1e-6 // smallest valid value of a field that must be greater than 0

// check validates the scenario and returns the first error, such as fields that contradict each other or a value that
// exceeds its limit.
func (s *Scenario) check() error {
	for _, check := range []func() error{
		s.checkFleet,
		s.checkDeployment,
		s.checkLoad,
		s.checkClasses,
		s.checkTenants,
		s.checkServers,
		s.checkPhases,
		s.checkRate,
		s.checkFaults,
	} {
		if err := check(); err != nil {
			return err
		}
	}
	return nil
}

func (s *Scenario) checkFleet() error {
	if err := s.checkBounds("", 0, bounds{"seconds", s.Seconds, minPositive, maxSeconds}); err != nil {
		return err
	}
	f := &s.ProxyFleet
	return s.checkBounds("bank", 0,
		bounds{"proxies", float64(f.Count), 1, maxProxies},
		bounds{"cores", f.Cores, .01, 256},
		bounds{"memory_mb", f.MemoryMB, 8, 1 << 20},
		bounds{"sockets", float64(f.Sockets), 100, 1 << 20})
}

func (s *Scenario) checkDeployment() error {
	d := &s.Deployment
	return s.checkBounds("deployment", 0,
		bounds{"max_legs", float64(d.MaxAttempts), 1, 16},
		bounds{"max_advice", d.MaxRetryAfter, 0, 3600},
		bounds{"grace", d.DrainGrace, 0, 60},
		bounds{"counts_as_told_after", d.NotificationDeadline, .1, 600},
		bounds{"connect_for", d.ConnectTimeout, .001, 60},
		bounds{"idle_for", d.IdleTimeout, .1, 3600},
		bounds{"cold_share", d.SlowStartFraction, .001, 1},
		bounds{"cold_for", d.SlowStartDuration, .001, 3600},
		bounds{"fall_multiple", d.CrashFactor, .1, 1000},
		bounds{"fall_for", d.CrashDuration, 0, 600})
}

func (s *Scenario) checkLoad() error {
	err := s.checkBounds("keys", 0,
		bounds{"count", float64(s.Keys.Count), 0, maxKeys},
		bounds{"skew", s.Keys.ZipfExponent, 0, 5})
	if err != nil {
		return err
	}
	if err := s.checkBounds("arrivals", 0, bounds{"rate", s.Arrivals.Rate, minPositive, maxRate}); err != nil {
		return err
	}
	err = s.checkBounds("clients", 0,
		bounds{"tries", float64(s.Clients.MaxRequests), 1, 100},
		bounds{"backoff", s.Clients.Backoff, 0, 600},
		bounds{"patience", s.Clients.AbandonFraction, .01, 1})
	if err != nil {
		return err
	}
	return s.checkBounds("match", 0,
		bounds{"seconds", s.Match.Seconds, 0, 60},
		bounds{"share", s.Match.Share, 0, 1})
}

func (s *Scenario) checkClasses() error {
	if len(s.Classes) == 0 || len(s.Classes) > maxClasses {
		return s.file.ErrorAt("tariff", 0, "", "%d tables defined, expected 1 to %d", len(s.Classes), maxClasses)
	}
	names := map[string]bool{}
	for i := range s.Classes {
		class := &s.Classes[i]
		if !plainName(class.Name) || names[class.Name] || class.Name == "up" {
			return s.file.ErrorAt("tariff", i+1, "name",
				`%q: expected a unique name of 1 to 64 letters, digits and dashes, other than "up"`, class.Name)
		}
		names[class.Name] = true
		if err := s.checkClass(i+1, class); err != nil {
			return err
		}
	}
	return nil
}

func (s *Scenario) checkClass(n int, c *Class) error {
	const table = "tariff"
	idempotency, known := idempotencies[c.Idempotency]
	_, scoped := scopes[c.DedupScope]
	switch {
	case !known:
		return s.file.ErrorAt(table, n, "kind", "%q: expected replayable, referenced or single-use", c.Idempotency)
	case !scoped || idempotency != balance.Keyed && c.DedupScope != "":
		return s.file.ErrorAt(table, n, "scope",
			"%q: expected all, zone or pod, and only in a referenced tariff", c.DedupScope)
	case idempotency == balance.Keyed && c.DedupWindow <= 0:
		return s.file.ErrorAt(table, n, "window", "a referenced tariff needs a window of more than 0 seconds")
	case c.LatencyObjective > c.Deadline:
		return s.file.ErrorAt(table, n, "due", "%v is greater than hard_stop, %v", c.LatencyObjective, c.Deadline)
	case (c.Pool != "") != s.PlainHTTP() || c.Pool != "" && s.count(c.Pool) == 0:
		return s.file.ErrorAt(table, n, "pool",
			"%q: expected the name of a group of servers, in every tariff or in none", c.Pool)
	case c.KeyedFraction > 0 && s.Keys.Count == 0:
		return s.file.ErrorAt(table, n, "keyed", "the scenario has no keys: keys.count is 0")
	}
	return s.checkBounds(table, n,
		bounds{"hard_stop", c.Deadline, .01, 60},
		bounds{"due", c.LatencyObjective, 0, 60},
		bounds{"window", c.DedupWindow, 0, 600},
		bounds{"value", c.PriorityWeight, 0, 1e6},
		bounds{"share", c.Weight, 0, 1e6},
		bounds{"work", c.Work, minPositive, 60},
		bounds{"spread", c.WorkVariation, 0, 20},
		bounds{"keyed", c.KeyedFraction, 0, 1})
}

func (s *Scenario) checkTenants() error {
	for i, t := range s.Tenants {
		if !plainName(t.Name) {
			return s.file.ErrorAt("customer", i+1, "name", "%q: expected 1 to 64 letters, digits and dashes", t.Name)
		}
		err := s.checkBounds("customer", i+1,
			bounds{"quota", t.Quota, 0, maxRate},
			bounds{"share", t.Weight, minPositive, 1e6})
		if err != nil {
			return err
		}
	}
	return nil
}

var plainName = regexp.MustCompile(`^[A-Za-z0-9-]{1,64}$`).MatchString

func (s *Scenario) checkServers() error {
	total := 0
	names := map[string]bool{}
	for i := range s.Servers {
		group := &s.Servers[i]
		if !plainName(group.Name) || names[group.Name] {
			return s.file.ErrorAt("servers", i+1, "name",
				"%q: expected a unique name of 1 to 64 letters, digits and dashes", group.Name)
		}
		names[group.Name] = true
		total += group.Count
		if err := s.checkServerGroup(i+1, group); err != nil {
			return err
		}
	}
	if total < 1 || total > maxServers {
		return s.file.ErrorAt("servers", 0, "", "%d servers in total, expected 1 to %d", total, maxServers)
	}
	return nil
}

func (s *Scenario) checkServerGroup(n int, g *ServerGroup) error {
	return s.checkBounds("servers", n,
		bounds{"count", float64(g.Count), 1, maxServers},
		bounds{"pod", float64(g.Pod), 1, maxServers},
		bounds{"cores", float64(g.Cores), 1, 1024},
		bounds{"speed", g.Speed, .001, 1000},
		bounds{"room", float64(g.QueueCapacity), 0, 1e6},
		bounds{"down_for", g.CrashDowntime, .01, 3600},
		bounds{"choke_at", float64(g.DegradeQueueLength), 0, 1e6},
		bounds{"choke_to", g.DegradedSpeed, .01, 1},
		bounds{"choke_in", g.DegradeTimeConstant, 0, 600},
		bounds{"linger", g.RecoverTimeConstant, 0, 3600},
		bounds{"warm_keys", float64(g.CacheSize), 0, maxKeys},
		bounds{"warm_work", g.CachedWorkFraction, .001, 1})
}

func (s *Scenario) checkPhases() error {
	for i, p := range s.Arrivals.Phases {
		shape, known := shapes[p.Shape]
		if !known {
			return s.file.ErrorAt("arrivals.phase", i+1, "shape", "%q: expected steady, ramp, bursts or deadline", p.Shape)
		}
		if shape == loadgen.Bursts && !(p.BurstDuration > 0 && p.BurstDuration < p.BurstInterval) {
			return s.file.ErrorAt("arrivals.phase", i+1, "lasts",
				"%v: expected more than 0 and less than the interval between bursts, %v", p.BurstDuration, p.BurstInterval)
		}
		err := s.checkBounds("arrivals.phase", i+1,
			bounds{"at", p.At, 0, s.Seconds},
			bounds{"for", p.Duration, minPositive, maxSeconds},
			bounds{"times", p.Factor, 0, 1000})
		if err != nil {
			return err
		}
	}
	return nil
}

const rateSamples = 1000 // number of times at which checkRate evaluates the rate

// checkRate checks the arrival rate that the phases result in, and the total number of intents.
func (s *Scenario) checkRate() error {
	workload := s.Workload()
	total := 0.0
	for t := 0.0; t < s.Seconds; t += s.Seconds / rateSamples {
		rate := workload.RateAt(t)
		if rate > maxRate {
			return s.file.ErrorAt("arrivals", 0, "rate", "%v lookups per second at %v s, expected at most %v", rate, t, maxRate)
		}
		total += rate * s.Seconds / rateSamples
		if total > maxIntents {
			return s.file.ErrorAt("arrivals", 0, "rate", "more than %v lookups in total", maxIntents)
		}
	}
	return nil
}

// faultKind describes a kind of fault: what it affects and which fields it takes.
type faultKind struct {
	change      emulator.ChangeKind // change of each affected server; unused if ofProxies, ofLists or disables is set
	needsFactor bool
	reverts     bool // a second change ends the fault after its duration
	ofProxies   bool
	ofLists     bool
	disables    bool // admin calls at proxies disable servers
	instant     bool // the duration is unused or may be omitted
}

var faultKinds = map[string]faultKind{
	"slow":          {change: emulator.ChangeSpeed, needsFactor: true, reverts: true},
	"pause":         {change: emulator.ChangePause},
	"errors":        {change: emulator.ChangeErrorShare, needsFactor: true, reverts: true},
	"hang":          {change: emulator.ChangeHanging, reverts: true},
	"silence":       {change: emulator.ChangeUnreachable, reverts: true},
	"crash":         {change: emulator.ChangeCrash, instant: true},
	"drain":         {change: emulator.ChangeDrain, instant: true},
	"replace":       {change: emulator.ChangeReplace, instant: true},
	"replace-there": {change: emulator.ChangeReplaceInPlace, instant: true},
	"list-late":     {ofLists: true, needsFactor: true},
	"list-silent":   {ofLists: true},
	"list-reset":    {ofLists: true, instant: true},
	"list-mute":     {ofLists: true, instant: true},
	"proxy-kill":    {ofProxies: true},
	"proxy-restart": {ofProxies: true},
	"proxy-upgrade": {ofProxies: true, instant: true},
	"proxy-drain":   {ofProxies: true},
	"ban":           {disables: true},
}

func (s *Scenario) checkFaults() error {
	if len(s.Faults) > maxFaults {
		return s.file.ErrorAt("trouble", 0, "", "%d tables defined, expected at most %d", len(s.Faults), maxFaults)
	}
	for i := range s.Faults {
		fault := &s.Faults[i]
		kind, known := faultKinds[fault.Kind]
		if !known {
			kinds := strings.Join(sortedNames(faultKinds), ", ")
			return s.file.ErrorAt("trouble", i+1, "kind", "%q: expected one of %s", fault.Kind, kinds)
		}
		if err := s.checkFaultServers(i+1, fault, kind); err != nil {
			return err
		}
		if err := s.checkFaultFields(i+1, fault, kind); err != nil {
			return err
		}
	}
	return nil
}

// checkFaultServers checks the fields that select the servers or proxies that a fault affects.
func (s *Scenario) checkFaultServers(n int, f *Fault, kind faultKind) error {
	const table = "trouble"
	ofServers := !kind.ofProxies && !kind.ofLists
	group := s.count(f.Servers)
	switch {
	case ofServers && group == 0:
		return s.file.ErrorAt(table, n, "servers", "%q: no such group", f.Servers)
	case !ofServers && (f.Servers != "" || f.Count != 0 || f.Share != 0 || f.From != 0):
		return s.file.ErrorAt(table, n, "kind", "%s does not affect servers: omit servers, from, count and share", f.Kind)
	case ofServers && !kind.disables && f.Proxy != 0:
		return s.file.ErrorAt(table, n, "proxy", "%s affects servers, not proxies: omit proxy", f.Kind)
	case f.Count != 0 && f.Share != 0:
		return s.file.ErrorAt(table, n, "share", "expected count or share, not both")
	case f.From < 0 || f.Count < 0 || ofServers && f.From+s.affected(*f) > group:
		return s.file.ErrorAt(table, n, "count", "servers %d to %d of %d: outside of the group",
			f.From, f.From+s.affected(*f), group)
	}
	return nil
}

// checkFaultFields checks the class, factor, times, share and proxy number of a fault.
func (s *Scenario) checkFaultFields(n int, f *Fault, kind faultKind) error {
	const table = "trouble"
	_, classKnown := s.class(f.Class)
	switch {
	case f.Class != "" && !classKnown:
		return s.file.ErrorAt(table, n, "tariff", "%q: no such tariff", f.Class)
	case f.Class != "" && f.Kind != "errors" && f.Kind != "hang":
		return s.file.ErrorAt(table, n, "tariff", "%s cannot be limited to one tariff", f.Kind)
	case kind.needsFactor && f.Factor <= 0:
		return s.file.ErrorAt(table, n, "factor", "%v: expected more than 0", f.Factor)
	case !kind.needsFactor && f.Factor != 0:
		return s.file.ErrorAt(table, n, "factor", "%v: %s takes no factor", f.Factor, f.Kind)
	case f.Duration <= 0 && !kind.instant:
		return s.file.ErrorAt(table, n, "for", "%s needs a duration: expected more than 0 seconds", f.Kind)
	}
	return s.checkBounds(table, n,
		bounds{"at", f.At, 0, s.Seconds},
		bounds{"for", f.Duration, 0, maxSeconds},
		bounds{"within", f.Within, 0, maxSeconds},
		bounds{"factor", f.Factor, 0, 100},
		bounds{"drain", f.Drain, 0, 600},
		bounds{"share", f.Share, 0, 1},
		bounds{"proxy", float64(f.Proxy), 0, float64(s.ProxyFleet.Count)})
}
