// Package simulation plays scenarios: a fleet of emulated servers, clients and troubles round proxies, in virtual time round
// the decisions alone or on loopback sockets round whole programs.
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

// What a scenario may ask for at the most: past it a run outgrows the machine, or a slip of the pen is likelier.
const (
	fileMost     = 1 << 20
	secondsMost  = 3600.0
	rateMost     = 200_000.0
	lookupsMost  = 50_000_000.0
	serversMost  = 5000
	proxiesMost  = 1024
	programsMost = 64 // proxies on sockets: each is a program
	keysMost     = 1_000_000
	troublesMost = 1000
	tariffsMost  = 64
	speedDefault = 1.0
)

// Scenario is what is played, as its file has it. Times are in seconds, work in seconds of a core at speed 1.
type Scenario struct {
	Name       string     `toml:"name"`
	About      string     `toml:"about"`
	Seconds    float64    `toml:"seconds"`
	Bank       Bank       `toml:"bank"`
	Deployment Deployment `toml:"deployment"`
	Tariffs    []Tariff   `toml:"tariff"`
	Customers  []Customer `toml:"customer"`
	Keys       Keys       `toml:"keys"`
	Servers    []Servers  `toml:"servers"`
	Arrivals   Arrivals   `toml:"arrivals"`
	Clients    Clients    `toml:"clients"`
	Troubles   []Trouble  `toml:"trouble"`
	Match      Match      `toml:"match"`

	file *tomlfile.File
}

// Fleet is the proxies and what each of their machines has.
type Bank struct {
	Proxies  int     `toml:"proxies"`
	Cores    float64 `toml:"cores"`
	MemoryMB float64 `toml:"memory_mb"`
	Sockets  int     `toml:"sockets"`
}

// Deployment is what the proxies are told of it.
type Deployment struct {
	MaxLegs      int     `toml:"max_legs"`
	CallOff      bool    `toml:"call_off"`
	Beside       bool    `toml:"beside"`
	MaxAdvice    float64 `toml:"max_advice"`
	Grace        float64 `toml:"grace"`
	CountsAfter  float64 `toml:"counts_as_told_after"`
	Indented     bool    `toml:"indented"` // lists come over several lines
	ConnectFor   float64 `toml:"connect_for"`
	IdleFor      float64 `toml:"idle_for"`
	ColdShare    float64 `toml:"cold_share"`
	ColdFor      float64 `toml:"cold_for"`
	FallMultiple float64 `toml:"fall_multiple"`
	FallFor      float64 `toml:"fall_for"`
}

// Class is a class of requests and its part of what clients ask.
type Tariff struct {
	Name     string  `toml:"name"`
	Kind     string  `toml:"kind"`
	Scope    string  `toml:"scope"`
	Window   float64 `toml:"window"`
	Due      float64 `toml:"due"`
	HardStop float64 `toml:"hard_stop"`
	Value    float64 `toml:"value"`
	Share    float64 `toml:"share"`
	Work     float64 `toml:"work"`
	Spread   float64 `toml:"spread"`
	Keyed    float64 `toml:"keyed"`
	Pool     string  `toml:"pool"` // the group of servers that an ordinary client's requests go to
}

// Tenant is a tenant and its part of what is asked.
type Customer struct {
	Name  string  `toml:"name"`
	Quota float64 `toml:"quota"`
	Share float64 `toml:"share"`
}

// Keys are the subjects of requests.
type Keys struct {
	Count int     `toml:"count"`
	Skew  float64 `toml:"skew"`
}

// Servers is a group of servers alike.
type Servers struct {
	Name     string   `toml:"name"`
	Count    int      `toml:"count"`
	Zones    []string `toml:"zones"` // in turn
	Pod      int      `toml:"pod"`   // servers to a pod
	Model    string   `toml:"model"`
	Cold     bool     `toml:"cold"`
	Cores    int      `toml:"cores"`
	Speed    float64  `toml:"speed"`
	Room     int      `toml:"room"`
	DownFor  float64  `toml:"down_for"` // after it fell over
	ChokeAt  int      `toml:"choke_at"`
	ChokeTo  float64  `toml:"choke_to"`
	ChokeIn  float64  `toml:"choke_in"`
	Linger   float64  `toml:"linger"`
	WarmKeys int      `toml:"warm_keys"`
	WarmWork float64  `toml:"warm_work"`
}

// Arrivals is how many requests come.
type Arrivals struct {
	Rate   float64 `toml:"rate"`
	Phases []Phase `toml:"phase"`
}

// Phase changes the rate for a time.
type Phase struct {
	At    float64 `toml:"at"`
	For   float64 `toml:"for"`
	Shape string  `toml:"shape"`
	Times float64 `toml:"times"`
	Every float64 `toml:"every"`
	Lasts float64 `toml:"lasts"`
}

// Clients is how clients take what they are told.
type Clients struct {
	MaxRequests  int     `toml:"tries"`
	Backoff      float64 `toml:"backoff"`
	Patience     float64 `toml:"patience"`
	MarksRetries bool    `toml:"marked"`
}

// Trouble is something that happens to servers, proxies or the list.
type Trouble struct {
	At      float64 `toml:"at"`
	For     float64 `toml:"for"`
	Kind    string  `toml:"kind"`
	Servers string  `toml:"servers"` // the group; empty: all
	From    int     `toml:"from"`    // the first of them
	Count   int     `toml:"count"`
	Share   float64 `toml:"share"`  // instead of a count
	Within  float64 `toml:"within"` // one after the other, over this long
	Factor  float64 `toml:"factor"`
	Tariff  string  `toml:"tariff"`
	Drain   float64 `toml:"drain"` // from draining to gone
	Proxy   int     `toml:"proxy"` // from 1; 0: all
}

// Match is how near a run on sockets must come to the virtual one.
type Match struct {
	Seconds float64 `toml:"seconds"` // events and servers' states
	Share   float64 `toml:"share"`   // of the value in time
}

// Open reads a scenario's file.
func Open(name string) (*Scenario, error) {
	text, err := tomlfile.Load(name, fileMost)
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
	or(&s.Bank.Proxies, 1)
	or(&s.Bank.Cores, 1)
	or(&s.Bank.MemoryMB, 192)
	or(&s.Bank.Sockets, 1024)
	d := &s.Deployment
	or(&d.MaxLegs, 3)
	or(&d.Grace, 2.5)
	or(&d.CountsAfter, 6)
	or(&d.ConnectFor, .1)
	or(&d.IdleFor, 5)
	or(&d.ColdShare, 1)
	or(&d.ColdFor, 1)
	or(&d.FallMultiple, 3)
	or(&d.FallFor, 1)
	or(&s.Clients.MaxRequests, 1)
	or(&s.Clients.Backoff, .1)
	or(&s.Clients.Patience, 1)
	or(&s.Match.Seconds, .5)
	or(&s.Match.Share, .1)
	for i := range s.Tariffs {
		t := &s.Tariffs[i]
		or(&t.Kind, "replayable")
		or(&t.Value, 1)
		or(&t.Share, 1)
		if t.Kind == "referenced" {
			or(&t.Scope, "all")
		}
	}
	for i := range s.Customers {
		or(&s.Customers[i].Share, 1)
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
		or(&g.Speed, speedDefault)
		or(&g.Room, 64)
		or(&g.DownFor, 5)
		or(&g.ChokeTo, 1)
		or(&g.ChokeIn, 1)
		or(&g.Linger, 20)
		or(&g.WarmWork, 1)
	}
	for i := range s.Arrivals.Phases {
		or(&s.Arrivals.Phases[i].Shape, "steady")
	}
}

var (
	kinds  = map[string]balance.Idempotency{"replayable": balance.Idempotent, "referenced": balance.Keyed, "single-use": balance.NonIdempotent}
	scopes = map[string]balance.DedupScope{"": 0, "all": balance.DedupAll, "zone": balance.DedupZone, "pod": balance.DedupPod}
	shapes = map[string]loadgen.Shape{"steady": loadgen.Steady, "ramp": loadgen.Ramp, "bursts": loadgen.Bursts, "deadline": loadgen.DeadlineRush}
)

// bounds is a field with what it may be.
type bounds struct {
	field       string
	value       float64
	least, most float64
}

func (s *Scenario) within(table string, n int, fields ...bounds) error {
	for _, b := range fields {
		if !(b.value >= b.least && b.value <= b.most) {
			return s.file.At(table, n, b.field, "%v: it is from %v to %v", b.value, b.least, b.most)
		}
	}
	return nil
}

const tiny = 1e-6 // more than nothing

// check names the first thing that contradicts itself or the machine.
func (s *Scenario) check() error {
	d := &s.Deployment
	err := errors.Join(
		s.within("", 0, bounds{"seconds", s.Seconds, tiny, secondsMost}),
		s.within("bank", 0, bounds{"proxies", float64(s.Bank.Proxies), 1, proxiesMost}, bounds{"cores", s.Bank.Cores, .01, 256},
			bounds{"memory_mb", s.Bank.MemoryMB, 8, 1 << 20}, bounds{"sockets", float64(s.Bank.Sockets), 100, 1 << 20}),
		s.within("deployment", 0, bounds{"max_legs", float64(d.MaxLegs), 1, 16}, bounds{"max_advice", d.MaxAdvice, 0, 3600},
			bounds{"grace", d.Grace, 0, 60}, bounds{"counts_as_told_after", d.CountsAfter, .1, 600},
			bounds{"connect_for", d.ConnectFor, .001, 60}, bounds{"idle_for", d.IdleFor, .1, 3600},
			bounds{"cold_share", d.ColdShare, .001, 1}, bounds{"cold_for", d.ColdFor, .001, 3600},
			bounds{"fall_multiple", d.FallMultiple, .1, 1000}, bounds{"fall_for", d.FallFor, 0, 600}),
		s.within("keys", 0, bounds{"count", float64(s.Keys.Count), 0, keysMost}, bounds{"skew", s.Keys.Skew, 0, 5}),
		s.within("arrivals", 0, bounds{"rate", s.Arrivals.Rate, tiny, rateMost}),
		s.within("clients", 0, bounds{"tries", float64(s.Clients.MaxRequests), 1, 100}, bounds{"backoff", s.Clients.Backoff, 0, 600},
			bounds{"patience", s.Clients.Patience, .01, 1}),
		s.within("match", 0, bounds{"seconds", s.Match.Seconds, 0, 60}, bounds{"share", s.Match.Share, 0, 1}))
	for _, step := range []func() error{s.checkTariffs, s.checkServers, s.checkPhases, s.checkTroubles} {
		err = errors.Join(err, step())
	}
	var all interface{ Unwrap() []error }
	for errors.As(err, &all) { // the first is enough: one line
		err = all.Unwrap()[0]
	}
	return err
}

func (s *Scenario) checkTariffs() error {
	if len(s.Tariffs) == 0 || len(s.Tariffs) > tariffsMost {
		return s.file.At("tariff", 0, "", "%d of them: there are 1 to %d", len(s.Tariffs), tariffsMost)
	}
	names := map[string]bool{}
	for i, t := range s.Tariffs {
		kind, known := kinds[t.Kind]
		_, scoped := scopes[t.Scope]
		switch n := i + 1; {
		case !plainName(t.Name) || names[t.Name] || t.Name == "up":
			return s.file.At("tariff", n, "name", "%q: a name of its own, of letters, digits and dashes", t.Name)
		case !known:
			return s.file.At("tariff", n, "kind", "%q: it is replayable, referenced or single-use", t.Kind)
		case !scoped || kind != balance.Keyed && t.Scope != "":
			return s.file.At("tariff", n, "scope", "%q: it is all, zone or pod, of a referenced tariff", t.Scope)
		case kind == balance.Keyed && t.Window <= 0:
			return s.file.At("tariff", n, "window", "a referenced tariff has one")
		case t.Due > t.HardStop:
			return s.file.At("tariff", n, "due", "%v is past the hard stop of %v", t.Due, t.HardStop)
		case (t.Pool != "") != s.Ordinary() || t.Pool != "" && s.count(t.Pool) == 0:
			return s.file.At("tariff", n, "pool", "%q: a group of servers, for every tariff or for none", t.Pool)
		case t.Keyed > 0 && s.Keys.Count == 0:
			return s.file.At("tariff", n, "keyed", "there are no keys")
		}
		names[t.Name] = true
		if err := s.within("tariff", i+1, bounds{"hard_stop", t.HardStop, .01, 60}, bounds{"due", t.Due, 0, 60},
			bounds{"window", t.Window, 0, 600}, bounds{"value", t.Value, 0, 1e6}, bounds{"share", t.Share, 0, 1e6},
			bounds{"work", t.Work, tiny, 60}, bounds{"spread", t.Spread, 0, 20}, bounds{"keyed", t.Keyed, 0, 1}); err != nil {
			return err
		}
	}
	for i, c := range s.Customers {
		if !plainName(c.Name) {
			return s.file.At("customer", i+1, "name", "%q: of letters, digits and dashes", c.Name)
		}
		if err := s.within("customer", i+1, bounds{"quota", c.Quota, 0, rateMost}, bounds{"share", c.Share, tiny, 1e6}); err != nil {
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
		if err := s.within("servers", i+1, bounds{"count", float64(g.Count), 1, serversMost}, bounds{"pod", float64(g.Pod), 1, serversMost},
			bounds{"cores", float64(g.Cores), 1, 1024}, bounds{"speed", g.Speed, .001, 1000}, bounds{"room", float64(g.Room), 0, 1e6},
			bounds{"down_for", g.DownFor, .01, 3600}, bounds{"choke_at", float64(g.ChokeAt), 0, 1e6}, bounds{"choke_to", g.ChokeTo, .01, 1},
			bounds{"choke_in", g.ChokeIn, 0, 600}, bounds{"linger", g.Linger, 0, 3600}, bounds{"warm_keys", float64(g.WarmKeys), 0, keysMost},
			bounds{"warm_work", g.WarmWork, .001, 1}); err != nil {
			return err
		}
	}
	if total < 1 || total > serversMost {
		return s.file.At("servers", 0, "", "%d in all: there are 1 to %d", total, serversMost)
	}
	return nil
}

func (s *Scenario) checkPhases() error {
	for i, p := range s.Arrivals.Phases {
		shape, known := shapes[p.Shape]
		switch n := i + 1; {
		case !known:
			return s.file.At("arrivals.phase", n, "shape", "%q: it is steady, ramp, bursts or deadline", p.Shape)
		case shape == loadgen.Bursts && !(p.Lasts > 0 && p.Lasts < p.Every):
			return s.file.At("arrivals.phase", n, "lasts", "%v: each burst lasts less than from one to the next, %v", p.Lasts, p.Every)
		}
		if err := s.within("arrivals.phase", i+1, bounds{"at", p.At, 0, s.Seconds}, bounds{"for", p.For, tiny, secondsMost},
			bounds{"times", p.Times, 0, 1000}); err != nil {
			return err
		}
	}
	mix := s.Mix()
	sum := 0.0
	for t := 0.0; t < s.Seconds; t += s.Seconds / 1000 {
		if rate := mix.RateAt(t); rate > rateMost {
			return s.file.At("arrivals", 0, "rate", "%v a second at %v s: %v at most", rate, t, rateMost)
		} else if sum += rate * s.Seconds / 1000; sum > lookupsMost {
			return s.file.At("arrivals", 0, "rate", "more than %v lookups in all", lookupsMost)
		}
	}
	return nil
}

// troubles is what each kind of trouble needs, and what it does.
var troubles = map[string]struct {
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

func (s *Scenario) checkTroubles() error {
	if len(s.Troubles) > troublesMost {
		return s.file.At("trouble", 0, "", "%d of them: %d at most", len(s.Troubles), troublesMost)
	}
	for i, t := range s.Troubles {
		n, group := i+1, s.count(t.Servers)
		kind, known := troubles[t.Kind]
		if !known {
			return s.file.At("trouble", n, "kind", "%q: it is %s", t.Kind, strings.Join(sortedNames(troubles), ", "))
		}
		ofServers := !kind.proxies && !kind.lists
		_, class := s.tariff(t.Tariff)
		switch {
		case ofServers && group == 0:
			return s.file.At("trouble", n, "servers", "%q: no such group", t.Servers)
		case !ofServers && (t.Servers != "" || t.Count != 0 || t.Share != 0 || t.From != 0):
			return s.file.At("trouble", n, "kind", "%s happens to no servers", t.Kind)
		case ofServers && !kind.bans && t.Proxy != 0:
			return s.file.At("trouble", n, "proxy", "%s happens to servers", t.Kind)
		case t.Count != 0 && t.Share != 0:
			return s.file.At("trouble", n, "share", "a count or a share, not both")
		case t.From < 0 || t.Count < 0 || ofServers && t.From+s.hit(t) > group:
			return s.file.At("trouble", n, "count", "servers %d to %d of %d", t.From, t.From+s.hit(t), group)
		case t.Tariff != "" && !class:
			return s.file.At("trouble", n, "tariff", "%q: no such tariff", t.Tariff)
		case t.Tariff != "" && t.Kind != "errors" && t.Kind != "hang":
			return s.file.At("trouble", n, "tariff", "%s is of no one tariff", t.Kind)
		case kind.factor && t.Factor <= 0 || !kind.factor && t.Factor != 0:
			return s.file.At("trouble", n, "factor", "%v: %s", t.Factor, map[bool]string{true: "more than nothing", false: "not of " + t.Kind}[kind.factor])
		case t.For <= 0 && !kind.once:
			return s.file.At("trouble", n, "for", "%s lasts for a time", t.Kind)
		}
		if err := s.within("trouble", n, bounds{"at", t.At, 0, s.Seconds}, bounds{"for", t.For, 0, secondsMost},
			bounds{"within", t.Within, 0, secondsMost}, bounds{"factor", t.Factor, 0, 100}, bounds{"drain", t.Drain, 0, 600},
			bounds{"share", t.Share, 0, 1}, bounds{"proxy", float64(t.Proxy), 0, float64(s.Bank.Proxies)}); err != nil {
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

// hit is how many servers a trouble happens to.
func (s *Scenario) hit(t Trouble) int {
	switch {
	case t.Count > 0:
		return t.Count
	case t.Share > 0:
		return max(int(t.Share*float64(s.count(t.Servers))), 1)
	}
	return s.count(t.Servers) - t.From
}

func (s *Scenario) tariff(name string) (int, bool) {
	for i, t := range s.Tariffs {
		if t.Name == name {
			return i, true
		}
	}
	return -1, false
}

// Ordinary tells whether its clients are ordinary ones, whose requests go to pools by routes.
func (s *Scenario) Ordinary() bool { return len(s.Tariffs) > 0 && s.Tariffs[0].Pool != "" }

// pools are the groups that requests go to, by number; -1 alone: all groups are one pool.
func (s *Scenario) pools() []int {
	if !s.Ordinary() {
		return []int{-1}
	}
	var list []int
	for i, g := range s.Servers {
		if slices.ContainsFunc(s.Tariffs, func(t Tariff) bool { return t.Pool == g.Name }) {
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
	for _, t := range s.Tariffs {
		fmt.Fprintf(&b, "[[tariff]]\nname = %q\ndue = %v\nhard_stop = %v\nvalue = %v\n", t.Name, t.Due, t.HardStop, t.Value)
		if t.Window > 0 {
			fmt.Fprintf(&b, "scope = %q\nwindow = %v\n", t.Scope, t.Window)
		}
		fmt.Fprintf(&b, "[[route]]\nname = %q\nunder = %q\npool = %q\ntariff = %q\n", t.Name, "/"+t.Name, t.Pool, t.Name)
	}
	return []byte(b.String())
}

// Mix is what its clients ask.
func (s *Scenario) Mix() loadgen.Workload {
	m := loadgen.Workload{Rate: s.Arrivals.Rate, Duration: s.Seconds, KeyCount: s.Keys.Count, ZipfExponent: s.Keys.Skew}
	for _, p := range s.Arrivals.Phases {
		m.Phases = append(m.Phases, loadgen.Phase{At: p.At, Duration: p.For, Shape: shapes[p.Shape], Factor: p.Times, BurstInterval: p.Every, BurstDuration: p.Lasts})
	}
	for _, t := range s.Tariffs {
		m.Classes = append(m.Classes, loadgen.ClassLoad{Weight: t.Share, Work: t.Work, WorkVariation: t.Spread, KeyedFraction: t.Keyed})
	}
	for _, c := range s.Customers {
		m.TenantWeights = append(m.TenantWeights, c.Share)
	}
	return m
}

// Figures is what each proxy is told.
func (s *Scenario) Figures(seed uint64) settings.Settings {
	d := &s.Deployment
	f := settings.Settings{ConnectTimeout: d.ConnectFor, DrainGrace: d.Grace, Zones: s.zones()}
	f.Deployment = balance.Deployment{Seed: seed, Proxies: s.Bank.Proxies, MaxAttempts: d.MaxLegs, CancelAllowed: d.CallOff, HedgingAllowed: d.Beside,
		MaxRetryAfter: d.MaxAdvice, SlowStartFraction: d.ColdShare, SlowStartDuration: d.ColdFor, CrashFactor: d.FallMultiple, CrashDuration: d.FallFor,
		NotificationDeadline: d.CountsAfter, ServerIdleTimeout: d.IdleFor}
	for _, t := range s.Tariffs {
		f.Classes = append(f.Classes, balance.Class{Name: t.Name, Idempotency: kinds[t.Kind], DedupScope: scopes[t.Scope], DedupWindow: t.Window,
			LatencyObjective: t.Due, Deadline: t.HardStop, PriorityWeight: t.Value})
	}
	for _, c := range s.Customers {
		f.Tenants = append(f.Tenants, balance.Tenant{Name: c.Name, Quota: c.Quota})
	}
	for _, g := range s.Servers {
		f.CacheAffinity = f.CacheAffinity || g.WarmKeys > 0
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
		b := emulator.Spec{Cores: g.Cores, Speed: g.Speed, QueueCapacity: g.Room, SlowStartFraction: d.ColdShare, SlowStartDuration: d.ColdFor,
			CrashFactor: d.FallMultiple, CrashWindow: d.FallFor, CrashDowntime: g.DownFor, DegradeQueueLength: g.ChokeAt, DegradedSpeed: g.ChokeTo,
			DegradeTimeConstant: g.ChokeIn, RecoverTimeConstant: g.Linger, CacheSize: g.WarmKeys, CachedWorkFraction: g.WarmWork}
		for i := range g.Count {
			f.AddPosition(now, emulator.MemberSpec{Name: fmt.Sprintf("%s-%d", g.Name, i), Zone: g.Zones[i%len(g.Zones)], Model: g.Model,
				Pod: seat / g.Pod, Group: n, Spec: b}, !g.Cold)
			seat++
		}
	}
	return f
}
