// Package simulation plays scenarios: emulated servers, clients and faults around proxies, in virtual time with the
// decisions alone, or on loopback sockets with whole programs.
package simulation

import (
	"math"

	"lockloom/internal/tomlfile"
)

// Bounds of a scenario: above them a run outgrows the machine, or the value is more likely a typing error.
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

// Scenario is a scenario as its file describes it; the tags are the file's keys. Times are in seconds, work in seconds
// of a core at speed 1.
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

// ProxyFleet is the proxies and what each of their machines has.
type ProxyFleet struct {
	Count    int     `toml:"proxies"`
	Cores    float64 `toml:"cores"`
	MemoryMB float64 `toml:"memory_mb"`
	Sockets  int     `toml:"sockets"`
}

// Deployment is what the proxies' settings say of the deployment.
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

// Class is a class of requests and its part of the workload.
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

// Tenant is a tenant and its part of the workload.
type Tenant struct {
	Name   string  `toml:"name"`
	Quota  float64 `toml:"quota"`
	Weight float64 `toml:"share"`
}

// Keys are the cache-affine keys of requests.
type Keys struct {
	Count        int     `toml:"count"`
	ZipfExponent float64 `toml:"skew"`
}

// Servers is a group of like servers.
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

// Arrivals is the rate of the clients' intents.
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

// Clients is how clients retry and how long they wait; see loadgen.Clients.
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

// Match is the tolerance between a run on sockets and the virtual one.
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

// Read reads a scenario; unknown keys are errors. The error is one line that names the place.
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

// count is how many servers a group has, or all groups by an empty name.
func (s *Scenario) count(group string) (n int) {
	for _, g := range s.Servers {
		if group == "" || g.Name == group {
			n += g.Count
		}
	}
	return n
}

// affected is how many servers a fault happens to.
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

// PlainHTTP reports whether clients speak plain HTTP, and routes send their requests to pools.
func (s *Scenario) PlainHTTP() bool { return len(s.Classes) > 0 && s.Classes[0].Pool != "" }

// WholeSeconds is how many whole seconds a scenario lasts.
func (s *Scenario) WholeSeconds() int { return int(math.Ceil(s.Seconds)) }
