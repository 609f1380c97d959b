// Package assignment decides what the subscribers of a control plane, which are proxies and clients that lockloom does
// not run, receive of a pool: its servers, their health and their weights. It turns the estimates that one proxy has of
// the servers into assignments that change seldom and in small steps; only the health of a server changes at once.
//
// The package is pure: it does no input or output, starts no goroutine and keeps no clock. Times are passed in, in
// seconds since 1970, and durations are in seconds. Package controlplane calls it; it never selects a server for a
// request.
package assignment

import (
	"maps"
	"math"
	"slices"
)

// Health is the health of a server as subscribers receive it. Snapshots store its number.
type Health uint8

const (
	// Healthy servers receive requests by their weight.
	Healthy Health = iota
	// Unhealthy servers receive no requests.
	Unhealthy
	// Draining servers finish their requests and receive no new ones.
	Draining
)

// String returns the health in lower case.
func (h Health) String() string { return [...]string{"healthy", "unhealthy", "draining"}[h] }

// Settings configure a Pool.
type Settings struct {
	SlowStartFraction float64 // of its capacity that a server has when it starts, at least
	SlowStartDuration float64 // seconds until a server has its whole capacity
	// CrashFactor is how many times its present capacity a warming server can be sent before it crashes; 0: it never
	// crashes, and slow start limits nothing.
	CrashFactor     float64
	CrashDuration   float64 // seconds for which a server must be sent that much to crash
	PreferLocalZone bool    // subscribers use the servers of their own zone while it has a healthy one
}

// ServerEstimate is what the proxy beside the control plane knows of one server.
type ServerEstimate struct {
	Name, Addr, Zone string
	Draining         bool
	Paused           bool    // ejected by the circuit breaker
	Trial            bool    // the pause has cooled down, and the server may be tried
	Payoff           float64 // from 0 to 1, higher is better
	Cores            float64 // 0: unknown
	StartedAt        float64 // 0: long ago, or unknown
}

// Observation is what the proxy knows of a pool at one time.
type Observation struct {
	Servers []ServerEstimate
	Removed []string // servers that the endpoint list removed since the last observation, not ones merely missing from it
	Load    float64  // requests in flight of all subscribers together; 0: unknown
	Rate    float64  // requests that they begin per second; with it, requests that only wait are kept out of the load
}

// Server is a server as a subscriber receives it.
type Server struct {
	ServerEstimate
	Health   Health
	Weight   int // 1 or more, relative to the other servers of the same priority
	Priority int // 0 is used first; the next priority serves while this one has no healthy server
}

// Assignment is what a subscriber receives of a pool, ordered by the name of the servers.
type Assignment struct {
	Servers []Server
	Drop    float64 // fraction of requests to reject, because all servers are in slow start and can take no more
}

// serverState is what a Pool knows of one server.
type serverState struct {
	ServerEstimate
	health        Health
	healthSince   float64
	pauseDuration float64 // seconds for which an unhealthy server stays so at least
	weight        float64 // 1 is that of a server like all others
	recovering    bool    // back from a pause, its weight is still rising
	slowStartCap  float64 // maximum fraction of all requests; +Inf: no limit
	missingSince  float64 // when the endpoint list lost the server; 0: it is listed
}

// Pool holds the assignment of one pool of servers. It is not safe for concurrent use.
type Pool struct {
	settings       Settings
	now            float64
	servers        map[string]*serverState // by name
	load           loadEstimate
	weightsMovedAt float64
	caps           slowStartCaps
}

// New returns a Pool that knows no servers yet.
func New(settings Settings) *Pool {
	return &Pool{settings: settings, servers: map[string]*serverState{}}
}

// Update takes in an observation. It reports whether the assignment changed, and whether the change is urgent, so that
// it must not wait for a subscriber's acknowledgement: a server is draining, removed or paused, or may be sent less
// because it is in slow start.
func (p *Pool) Update(now float64, observation Observation) (changed, urgent bool) {
	now = max(now, p.now) // a clock that is set back would stop all changes until it has caught up
	p.now = now
	p.load.update(now, &observation)
	removed := p.removeServers(observation.Removed)
	first := len(p.servers) == 0
	changed = p.updateEstimates(observation.Servers)
	dropped := p.dropMissingServers(observation.Servers)
	healthChanged := p.updateHealth()
	if first || now >= p.weightsMovedAt+weightUpdateInterval {
		if p.updateWeights(first) {
			p.weightsMovedAt, changed = now, true
		}
	}
	raised, lowered := p.updateSlowStartCaps()
	urgent = removed || dropped || healthChanged || lowered
	return changed || raised || urgent, urgent
}

// updateEstimates takes over the estimates of the listed servers and adds the new servers.
func (p *Pool) updateEstimates(estimates []ServerEstimate) (changed bool) {
	for _, estimate := range estimates {
		server := p.servers[estimate.Name]
		if server == nil {
			server = &serverState{weight: 1, slowStartCap: math.Inf(1), healthSince: p.now}
			p.servers[estimate.Name] = server
			changed = true
		}
		if server.StartedAt != estimate.StartedAt && server.Name != "" {
			// The server restarted: the limit of its last start says nothing of this one.
			server.slowStartCap = math.Inf(1)
			changed = true
		}
		moved := server.Addr != estimate.Addr || server.Zone != estimate.Zone
		changed = changed || moved || server.missingSince > 0
		server.ServerEstimate = estimate
		server.missingSince = 0
	}
	return changed
}

// names returns the names of the servers in order. Sums of floating-point numbers are made in this order, since in the
// order of a map their last bits would differ from one call to the next.
func (p *Pool) names() []string { return slices.Sorted(maps.Keys(p.servers)) }

// AssignmentFor returns what a subscriber in a zone receives; a subscriber that names no zone passes "".
func (p *Pool) AssignmentFor(zone string) Assignment {
	var assignment Assignment
	zoneServes := false
	for _, name := range p.names() {
		server := p.servers[name]
		assignment.Servers = append(assignment.Servers,
			Server{ServerEstimate: server.ServerEstimate, Health: server.health, Weight: 1})
		zoneServes = zoneServes || server.Zone == zone && server.health == Healthy
	}
	if p.settings.PreferLocalZone && zoneServes {
		for i := range assignment.Servers {
			if assignment.Servers[i].Zone != zone {
				assignment.Servers[i].Priority = 1
			}
		}
	}
	assignment.Drop = p.assignWeights(assignment.Servers, 0)
	p.assignWeights(assignment.Servers, 1)
	return assignment
}
