// Package simulation plays scenarios: emulated servers, clients and faults around proxies. A run is either in virtual
// time, where each proxy is only its decision module, or on loopback sockets, where each proxy is a process.
package simulation

import (
	"math"

	"lockloom/internal/tomlfile"
)

// Upper limits of a scenario's values. A larger value exceeds what the machine can run, or is likely a typo.
const (
	maxFileSize  = 1 << 20 // bytes
	maxSeconds   = 3600.0
	maxRate      = 200_000.0 // intents per second
	maxIntents   = 50_000_000.0
	maxServers   = 5000
	maxProxies   = 1024
	maxProcesses = 64 // proxies in a run on sockets, where each proxy is a process
	maxKeys      = 1_000_000
	maxFaults    = 1000
	maxClasses   = 64
	defaultSpeed = 1.0
)

// Scenario holds the contents of a scenario file; the struct tags are the keys of the file. Times and durations are in
// seconds, work is in seconds of a core at speed 1.
type Scenario struct {
	Name       string        `toml:"name"`
	About      string        `toml:"about"`
	Seconds    float64       `toml:"seconds"`
	ProxyFleet ProxyFleet    `toml:"bank"`
	Deployment Deployment    `toml:"deployment"`
	Classes    []Class       `toml:"tariff"`
	Tenants    []Tenant      `toml:"customer"`
	Keys       Keys          `toml:"keys"`
	Servers    []ServerGroup `toml:"servers"`
	Arrivals   Arrivals      `toml:"arrivals"`
	Clients    Clients       `toml:"clients"`
	Faults     []Fault       `toml:"trouble"`
	Match      Match         `toml:"match"`

	file *tomlfile.File
}

// ProxyFleet is the number of proxies and the resources of the machine of each.
type ProxyFleet struct {
	Count    int     `toml:"proxies"`
	Cores    float64 `toml:"cores"`
	MemoryMB float64 `toml:"memory_mb"`
	Sockets  int     `toml:"sockets"`
}

// Deployment holds the deployment settings that all proxies share; see balance.Deployment.
type Deployment struct {
	MaxAttempts          int     `toml:"max_legs"`
	CancelAllowed        bool    `toml:"call_off"`
	HedgingAllowed       bool    `toml:"beside"`
	MaxRetryAfter        float64 `toml:"max_advice"`
	DrainGrace           float64 `toml:"grace"`
	NotificationDeadline float64 `toml:"counts_as_told_after"`
	IndentedLists        bool    `toml:"indented"` // endpoint lists are sent as indented JSON
	ConnectTimeout       float64 `toml:"connect_for"`
	IdleTimeout          float64 `toml:"idle_for"`
	SlowStartFraction    float64 `toml:"cold_share"`
	SlowStartDuration    float64 `toml:"cold_for"`
	CrashFactor          float64 `toml:"fall_multiple"`
	CrashDuration        float64 `toml:"fall_for"`
}

// Class describes a class of requests and its share of the workload.
type Class struct {
	Name             string  `toml:"name"`
	Idempotency      string  `toml:"kind"`
	DedupScope       string  `toml:"scope"`
	DedupWindow      float64 `toml:"window"`
	LatencyObjective float64 `toml:"due"`
	Deadline         float64 `toml:"hard_stop"`
	PriorityWeight   float64 `toml:"value"`
	Weight           float64 `toml:"share"`  // weight of the class among the requests, relative to the other classes
	Work             float64 `toml:"work"`   // mean work per request
	WorkVariation    float64 `toml:"spread"` // standard deviation of the work divided by its mean
	KeyedFraction    float64 `toml:"keyed"`  // fraction of the class's requests that have an affinity key
	Pool             string  `toml:"pool"`   // server group that serves the class; only with plain HTTP clients
}

// Tenant describes a tenant and its share of the workload.
type Tenant struct {
	Name   string  `toml:"name"`
	Quota  float64 `toml:"quota"` // requests per second; 0: no limit
	Weight float64 `toml:"share"` // weight of the tenant among the requests, relative to the other tenants
}

// Keys describes the affinity keys of requests.
type Keys struct {
	Count        int     `toml:"count"`
	ZipfExponent float64 `toml:"skew"`
}

// ServerGroup describes a group of identical servers; see emulator.Spec.
type ServerGroup struct {
	Name                string   `toml:"name"`
	Count               int      `toml:"count"`
	Zones               []string `toml:"zones"` // assigned to the servers in turn
	Pod                 int      `toml:"pod"`   // servers per pod
	Model               string   `toml:"model"`
	StartsCold          bool     `toml:"cold"`
	Cores               int      `toml:"cores"`
	Speed               float64  `toml:"speed"`
	QueueCapacity       int      `toml:"room"`
	CrashDowntime       float64  `toml:"down_for"` // time from a server's crash in slow start to its restart
	DegradeQueueLength  int      `toml:"choke_at"`
	DegradedSpeed       float64  `toml:"choke_to"`
	DegradeTimeConstant float64  `toml:"choke_in"`
	RecoverTimeConstant float64  `toml:"linger"`
	CacheSize           int      `toml:"warm_keys"`
	CachedWorkFraction  float64  `toml:"warm_work"`
}

// Arrivals describes the arrival rate of the clients' intents, in intents per second.
type Arrivals struct {
	Rate   float64 `toml:"rate"`
	Phases []Phase `toml:"phase"`
}

// Phase changes the arrival rate for a duration; see loadgen.Phase.
type Phase struct {
	At            float64 `toml:"at"`
	Duration      float64 `toml:"for"`
	Shape         string  `toml:"shape"`
	Factor        float64 `toml:"times"`
	BurstInterval float64 `toml:"every"`
	BurstDuration float64 `toml:"lasts"`
}

// Clients describes how clients retry and how long they wait for a response; see loadgen.ClientPolicy.
type Clients struct {
	MaxRequests     int     `toml:"tries"`
	Backoff         float64 `toml:"backoff"`
	AbandonFraction float64 `toml:"patience"`
	MarksRetries    bool    `toml:"marked"`
}

// Fault describes a fault or a planned change of servers, proxies or endpoint lists.
type Fault struct {
	At       float64 `toml:"at"`
	Duration float64 `toml:"for"`
	Kind     string  `toml:"kind"`
	Servers  string  `toml:"servers"` // name of the group; empty: all groups
	From     int     `toml:"from"`    // index of the first affected server in the group
	Count    int     `toml:"count"`
	Share    float64 `toml:"share"`  // affected share of the group, instead of Count
	Within   float64 `toml:"within"` // spreads the fault over this duration, one server or proxy after the other
	Factor   float64 `toml:"factor"` // depends on Kind: factor of the speed, share of error responses, or delay in seconds
	Class    string  `toml:"tariff"`
	Drain    float64 `toml:"drain"` // time from the start of draining to the removal
	Proxy    int     `toml:"proxy"` // number of the proxy, from 1; 0: all proxies
}

// Match is the tolerance for differences between a run on sockets and the same run in virtual time.
type Match struct {
	Seconds float64 `toml:"seconds"` // tolerated difference in the times of events and of servers' states
	Share   float64 `toml:"share"`   // tolerated difference in Result.ValueInTime
}

// Open reads and validates a scenario file.
func Open(name string) (*Scenario, error) {
	text, err := tomlfile.Load(name, maxFileSize)
	if err != nil {
		return nil, err
	}
	return Read(name, text)
}

// Read parses and validates the text of a scenario file; name appears in errors. An unknown key is an error. The error
// is one line that starts with the file's name and, if known, line and column.
func Read(name string, text []byte) (*Scenario, error) {
	s := &Scenario{}
	file, errs := tomlfile.Decode(name, text, s)
	if len(errs) > 0 {
		return nil, errs[0]
	}
	s.file = file
	s.setDefaults()
	if err := s.check(); err != nil {
		return nil, err
	}
	return s, nil
}

// count returns the number of servers in a group, or in all groups if the name is empty.
func (s *Scenario) count(group string) (n int) {
	for _, g := range s.Servers {
		if group == "" || g.Name == group {
			n += g.Count
		}
	}
	return n
}

// affected returns the number of servers that a fault affects.
func (s *Scenario) affected(f Fault) int {
	switch {
	case f.Count > 0:
		return f.Count
	case f.Share > 0:
		return max(int(f.Share*float64(s.count(f.Servers))), 1)
	}
	return s.count(f.Servers) - f.From
}

// class returns the index of the class with this name, or -1 and false if there is none.
func (s *Scenario) class(name string) (int, bool) {
	for i, c := range s.Classes {
		if c.Name == name {
			return i, true
		}
	}
	return -1, false
}

// PlainHTTP reports whether clients send plain HTTP requests, which proxies assign to pools by routes.
func (s *Scenario) PlainHTTP() bool { return len(s.Classes) > 0 && s.Classes[0].Pool != "" }

// WholeSeconds returns the duration of the scenario in seconds, rounded up.
func (s *Scenario) WholeSeconds() int { return int(math.Ceil(s.Seconds)) }
