// Package simulation plays scenarios: a fleet of emulated servers, clients and troubles round proxies, in virtual time
// round the decisions alone or on loopback sockets round whole programs.
package simulation

import (
	"errors"
	"fmt"
	"regexp"
	"slices"
	"strings"

	"lockloom/balance"
	"lockloom/internal/emulator"
	"lockloom/internal/loadgen"
	"lockloom/internal/settings"
	"lockloom/internal/tomlfile"
)

// Text a scenario may ask for at the most: past it a run outgrows the machine, or a slip of the pen is likelier.
const (
	maxFileSize  = 1 << 20
	maxSeconds   = 3600.0
	maxRate      = 200_000.0
	maxIntents   = 50_000_000.0
	maxServers   = 5000
	maxProxies   = 1024
	maxPrograms  = 64 // proxies on sockets: each is a program
	maxKeys      = 1_000_000
	maxFaults    = 1000
	maxClasses   = 64
	defaultSpeed = 1.0
)

// Scenario is what is played, as its file has it. Times are in seconds, work in seconds of a core at speed 1.
type Scenario struct {
	Name       string     `toml:"name"`
	About      string     `toml:"about"`
	Seconds    float64    `toml:"seconds"`
	ProxyFleet ProxyFleet `toml:"bank"`
	Deployment Deployment `toml:"deployment"`
	Classes    []Class    `toml:"tariff"`
	Tenants    []Tenant   `toml:"customer"`
	Keys       Keys       `toml:"keys"`
	Servers    []Servers  `toml:"servers"`
	Arrivals   Arrivals   `toml:"arrivals"`
	Clients    Clients    `toml:"clients"`
	Faults     []Fault    `toml:"trouble"`
	Match      Match      `toml:"match"`

	file *tomlfile.File
}

// Fleet is the proxies and what each of their machines has.
type ProxyFleet struct {
	Count    int     `toml:"proxies"`
	Cores    float64 `toml:"cores"`
	MemoryMB float64 `toml:"memory_mb"`
	Sockets  int     `toml:"sockets"`
}

// Deployment is what the proxies are told of it.
type Deployment struct {
	MaxAttempts          int     `toml:"max_legs"`
	CancelAllowed        bool    `toml:"call_off"`
	HedgingAllowed       bool    `toml:"beside"`
	MaxRetryAfter        float64 `toml:"max_advice"`
	DrainGrace           float64 `toml:"grace"`
	NotificationDeadline float64 `toml:"counts_as_told_after"`
	IndentedLists        bool    `toml:"indented"` // lists come over several lines
	ConnectTimeout       float64 `toml:"connect_for"`
	IdleTimeout          float64 `toml:"idle_for"`
	SlowStartFraction    float64 `toml:"cold_share"`
	SlowStartDuration    float64 `toml:"cold_for"`
	CrashFactor          float64 `toml:"fall_multiple"`
	CrashDuration        float64 `toml:"fall_for"`
}

// Class is a class of requests and its part of what clients ask.
type Class struct {
	Name             string  `toml:"name"`
	Idempotency      string  `toml:"kind"`
	DedupScope       string  `toml:"scope"`
	DedupWindow      float64 `toml:"window"`
	LatencyObjective float64 `toml:"due"`
	Deadline         float64 `toml:"hard_stop"`
	PriorityWeight   float64 `toml:"value"`
	Weight           float64 `toml:"share"`
	Work             float64 `toml:"work"`
	WorkVariation    float64 `toml:"spread"`
	KeyedFraction    float64 `toml:"keyed"`
	Pool             string  `toml:"pool"` // the group of servers that an ordinary client's requests go to
}

// Tenant is a tenant and its part of what is asked.
type Tenant struct {
	Name   string  `toml:"name"`
	Quota  float64 `toml:"quota"`
	Weight float64 `toml:"share"`
}

// Keys are the subjects of requests.
type Keys struct {
	Count        int     `toml:"count"`
	ZipfExponent float64 `toml:"skew"`
}

// Servers is a group of servers alike.
type Servers struct {
	Name                string   `toml:"name"`
	Count               int      `toml:"count"`
	Zones               []string `toml:"zones"` // in turn
	Pod                 int      `toml:"pod"`   // servers to a pod
	Model               string   `toml:"model"`
	StartsCold          bool     `toml:"cold"`
	Cores               int      `toml:"cores"`
	Speed               float64  `toml:"speed"`
	QueueCapacity       int      `toml:"room"`
	CrashDowntime       float64  `toml:"down_for"` // after it fell over
	DegradeQueueLength  int      `toml:"choke_at"`
	DegradedSpeed       float64  `toml:"choke_to"`
	DegradeTimeConstant float64  `toml:"choke_in"`
	RecoverTimeConstant float64  `toml:"linger"`
	CacheSize           int      `toml:"warm_keys"`
	CachedWorkFraction  float64  `toml:"warm_work"`
}

// Arrivals is how many requests come.
type Arrivals struct {
	Rate   float64 `toml:"rate"`
	Phases []Phase `toml:"phase"`
}

// Phase changes the rate for a time.
type Phase struct {
	At            float64 `toml:"at"`
	Duration      float64 `toml:"for"`
	Shape         string  `toml:"shape"`
	Factor        float64 `toml:"times"`
	BurstInterval float64 `toml:"every"`
	BurstDuration float64 `toml:"lasts"`
}

// ClientsOnly is how clients take what they are told.
type Clients struct {
	MaxRequests  int     `toml:"tries"`
	Backoff      float64 `toml:"backoff"`
	Patience     float64 `toml:"patience"`
	MarksRetries bool    `toml:"marked"`
}

// Fault is something that happens to servers, proxies or the list.
type Fault struct {
	At       float64 `toml:"at"`
	Duration float64 `toml:"for"`
	Kind     string  `toml:"kind"`
	Servers  string  `toml:"servers"` // the group; empty: all
	From     int     `toml:"from"`    // the first of them
	Count    int     `toml:"count"`
	Share    float64 `toml:"share"`  // instead of a count
	Within   float64 `toml:"within"` // one after the other, over this long
	Factor   float64 `toml:"factor"`
	Class    string  `toml:"tariff"`
	Drain    float64 `toml:"drain"` // from draining to gone
	Proxy    int     `toml:"proxy"` // from 1; 0: all
}

// Match is how near a run on sockets must come to the virtual one.
type Match struct {
	Seconds float64 `toml:"seconds"` // events and servers' states
	Share   float64 `toml:"share"`   // of the value in time
}

// Open reads a scenario's file.
func Open(name string) (*Scenario, error) {
	text, err := tomlfile.Load(name, maxFileSize)
	if err != nil {
		return nil, err
	}
	return Read(name, text)
}

// Read reads a scenario strictly: what it does not know it refuses. The error is one line that names the place.
func Read(name string, text []byte) (*Scenario, error) {
	s := &Scenario{}
	file, faults := tomlfile.Decode(name, text, s)
	if len(faults) > 0 {
		return nil, faults[0]
	}
	s.file = file
	s.fill()
	if err := s.check(); err != nil {
		return nil, err
	}
	return s, nil
}

// or sets what a file leaves out.
func or[T comparable](field *T, left T) {
	var zero T
	if *field == zero {
		*field = left
	}
}

// fill sets what the file left out; docs/operators/rehearsals.md names the same figures.
func (s *Scenario) fill() {
	or(&s.ProxyFleet.Count, 1)
	or(&s.ProxyFleet.Cores, 1)
	or(&s.ProxyFleet.MemoryMB, 192)
	or(&s.ProxyFleet.Sockets, 1024)
	d := &s.Deployment
	or(&d.MaxAttempts, 3)
	or(&d.DrainGrace, 2.5)
	or(&d.NotificationDeadline, 6)
	or(&d.ConnectTimeout, .1)
	or(&d.IdleTimeout, 5)
	or(&d.SlowStartFraction, 1)
	or(&d.SlowStartDuration, 1)
	or(&d.CrashFactor, 3)
	or(&d.CrashDuration, 1)
	or(&s.Clients.MaxRequests, 1)
	or(&s.Clients.Backoff, .1)
	or(&s.Clients.Patience, 1)
	or(&s.Match.Seconds, .5)
	or(&s.Match.Share, .1)
	for i := range s.Classes {
		t := &s.Classes[i]
		or(&t.Idempotency, "replayable")
		or(&t.PriorityWeight, 1)
		or(&t.Weight, 1)
		if t.Idempotency == "referenced" {
			or(&t.DedupScope, "all")
		}
	}
	for i := range s.Tenants {
		or(&s.Tenants[i].Weight, 1)
	}
	for i := range s.Servers {
		g := &s.Servers[i]
		or(&g.Count, 1)
		if len(g.Zones) == 0 {
			g.Zones = []string{"a"}
		}
		or(&g.Pod, 3)
		or(&g.Model, g.Name)
		or(&g.Cores, 1)
		or(&g.Speed, defaultSpeed)
		or(&g.QueueCapacity, 64)
		or(&g.CrashDowntime, 5)
		or(&g.DegradedSpeed, 1)
		or(&g.DegradeTimeConstant, 1)
		or(&g.RecoverTimeConstant, 20)
		or(&g.CachedWorkFraction, 1)
	}
	for i := range s.Arrivals.Phases {
		or(&s.Arrivals.Phases[i].Shape, "steady")
	}
}

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

// count is how many servers a group has, or all groups by an empty name.
func (s *Scenario) count(group string) (n int) {
	for _, g := range s.Servers {
		if group == "" || g.Name == group {
			n += g.Count
		}
	}
	return n
}

// affected is how many servers a trouble happens to.
func (s *Scenario) affected(t Fault) int {
	switch {
	case t.Count > 0:
		return t.Count
	case t.Share > 0:
		return max(int(t.Share*float64(s.count(t.Servers))), 1)
	}
	return s.count(t.Servers) - t.From
}

func (s *Scenario) class(name string) (int, bool) {
	for i, t := range s.Classes {
		if t.Name == name {
			return i, true
		}
	}
	return -1, false
}

// PlainHTTP tells whether its clients are ordinary ones, whose requests go to pools by routes.
func (s *Scenario) PlainHTTP() bool { return len(s.Classes) > 0 && s.Classes[0].Pool != "" }

// pools are the groups that requests go to, by number; -1 alone: all groups are one pool.
func (s *Scenario) pools() []int {
	if !s.PlainHTTP() {
		return []int{-1}
	}
	var list []int
	for i, g := range s.Servers {
		if slices.ContainsFunc(s.Classes, func(t Class) bool { return t.Pool == g.Name }) {
			list = append(list, i)
		}
	}
	return list
}

// Operator is the operator file of a proxy for ordinary clients: a route for each class, a pool for each group.
func (s *Scenario) Operator(listen string) []byte {
	var b strings.Builder
	fmt.Fprintf(&b, "# of the scenario %s\n[[listener]]\naddress = %q\n", s.Name, listen)
	for _, g := range s.pools() {
		fmt.Fprintf(&b, "[[pool]]\nname = %q\nkinds = [%q]\n", s.Servers[g].Name, s.Servers[g].Model)
	}
	for _, t := range s.Classes {
		fmt.Fprintf(&b, "[[tariff]]\nname = %q\ndue = %v\nhard_stop = %v\nvalue = %v\n", t.Name, t.LatencyObjective, t.Deadline, t.PriorityWeight)
		if t.DedupWindow > 0 {
			fmt.Fprintf(&b, "scope = %q\nwindow = %v\n", t.DedupScope, t.DedupWindow)
		}
		fmt.Fprintf(&b, "[[route]]\nname = %q\nunder = %q\npool = %q\ntariff = %q\n", t.Name, "/"+t.Name, t.Pool, t.Name)
	}
	return []byte(b.String())
}

// Workload is what its clients ask.
func (s *Scenario) Workload() loadgen.Workload {
	m := loadgen.Workload{Rate: s.Arrivals.Rate, Duration: s.Seconds, KeyCount: s.Keys.Count, ZipfExponent: s.Keys.ZipfExponent}
	for _, p := range s.Arrivals.Phases {
		m.Phases = append(m.Phases, loadgen.Phase{At: p.At, Duration: p.Duration, Shape: shapes[p.Shape], Factor: p.Factor, BurstInterval: p.BurstInterval, BurstDuration: p.BurstDuration})
	}
	for _, t := range s.Classes {
		m.Classes = append(m.Classes, loadgen.ClassLoad{Weight: t.Weight, Work: t.Work, WorkVariation: t.WorkVariation, KeyedFraction: t.KeyedFraction})
	}
	for _, c := range s.Tenants {
		m.TenantWeights = append(m.TenantWeights, c.Weight)
	}
	return m
}

// Settings is what each proxy is told.
func (s *Scenario) Settings(seed uint64) settings.Settings {
	d := &s.Deployment
	f := settings.Settings{ConnectTimeout: d.ConnectTimeout, DrainGrace: d.DrainGrace, Zones: s.zones()}
	f.Deployment = balance.Deployment{Seed: seed, Proxies: s.ProxyFleet.Count, MaxAttempts: d.MaxAttempts, CancelAllowed: d.CancelAllowed, HedgingAllowed: d.HedgingAllowed,
		MaxRetryAfter: d.MaxRetryAfter, SlowStartFraction: d.SlowStartFraction, SlowStartDuration: d.SlowStartDuration, CrashFactor: d.CrashFactor, CrashDuration: d.CrashDuration,
		NotificationDeadline: d.NotificationDeadline, ServerIdleTimeout: d.IdleTimeout}
	for _, t := range s.Classes {
		f.Classes = append(f.Classes, balance.Class{Name: t.Name, Idempotency: idempotencies[t.Idempotency], DedupScope: scopes[t.DedupScope], DedupWindow: t.DedupWindow,
			LatencyObjective: t.LatencyObjective, Deadline: t.Deadline, PriorityWeight: t.PriorityWeight})
	}
	for _, c := range s.Tenants {
		f.Tenants = append(f.Tenants, balance.Tenant{Name: c.Name, Quota: c.Quota})
	}
	for _, g := range s.Servers {
		f.CacheAffinity = f.CacheAffinity || g.CacheSize > 0
	}
	return f
}

// zones are those of its servers, as they first come.
func (s *Scenario) zones() []string {
	var zones []string
	seen := map[string]bool{}
	for _, g := range s.Servers {
		for _, z := range g.Zones {
			if !seen[z] {
				zones, seen[z] = append(zones, z), true
			}
		}
	}
	return zones
}

// Fleet is its servers as they are at the start, now.
func (s *Scenario) Fleet(seed uint64, now float64) *emulator.Fleet {
	f := emulator.NewFleet(seed)
	d := &s.Deployment
	seat := 0
	for n, g := range s.Servers {
		b := emulator.Spec{Cores: g.Cores, Speed: g.Speed, QueueCapacity: g.QueueCapacity, SlowStartFraction: d.SlowStartFraction, SlowStartDuration: d.SlowStartDuration,
			CrashFactor: d.CrashFactor, CrashWindow: d.CrashDuration, CrashDowntime: g.CrashDowntime, DegradeQueueLength: g.DegradeQueueLength, DegradedSpeed: g.DegradedSpeed,
			DegradeTimeConstant: g.DegradeTimeConstant, RecoverTimeConstant: g.RecoverTimeConstant, CacheSize: g.CacheSize, CachedWorkFraction: g.CachedWorkFraction}
		for i := range g.Count {
			f.AddPosition(now, emulator.MemberSpec{Name: fmt.Sprintf("%s-%d", g.Name, i), Zone: g.Zones[i%len(g.Zones)], Model: g.Model,
				Pod: seat / g.Pod, Group: n, Spec: b}, !g.StartsCold)
			seat++
		}
	}
	return f
}
