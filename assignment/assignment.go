// Package assignment computes the assignments of a pool that a control plane sends to its subscribers, which are
// proxies and clients that are not part of lockloom: the pool's servers, with their health and weights. They are
// computed from the estimates that one proxy has of the servers. Assignments change rarely and in small steps, except
// that a change of a server's health is assigned at once.
//
// The package does no I/O, starts no goroutines and does not read the clock. Times are passed in, in seconds since
// 1970; durations are in seconds. Package controlplane calls it. It never selects a server for a request.
package assignment

import (
	"maps"
	"math"
	"slices"
)

// Health is the health of a server as subscribers receive it. Snapshots store the numeric value.
type Health uint8

const (
	// Healthy servers receive requests in proportion to their weights.
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
	SlowStartFraction float64 // minimum fraction of its capacity that a server has when it starts
	SlowStartDuration float64 // seconds until a server has its full capacity
	// CrashFactor is the load, as a multiple of its current capacity, at which a server in slow start crashes. 0: servers
	// never crash, and slow start sets no caps.
	CrashFactor     float64
	CrashDuration   float64 // seconds for which that load must last until a server crashes
	PreferLocalZone bool    // subscribers use the servers of their own zone while any of them is healthy
}

// ServerEstimate is the state of a server as estimated by the proxy that runs in the control plane's process.
type ServerEstimate struct {
	Name, Addr, Zone string
	Draining         bool
	Paused           bool    // ejected by the circuit breaker, and not readmitted yet; true during a trial too
	Trial            bool    // the breaker's cooldown is over, and the paused server receives trial requests
	Payoff           float64 // from 0 to 1, higher is better
	Cores            float64 // number of CPU cores; 0: unknown
	StartedAt        float64 // seconds since 1970; 0: long ago, or unknown
}

// Observation is the state of a pool as the proxy observed it at one time.
type Observation struct {
	Servers []ServerEstimate
	// Removed names the servers explicitly removed from the endpoint list since the last observation. Servers that are
	// merely missing from the list are not among them.
	Removed []string
	Load    float64 // requests in flight, over all subscribers; 0: unknown
	Rate    float64 // requests started per second, over all subscribers; 0: unknown; then queued requests count as load
}

// Server is a server as sent to a subscriber.
type Server struct {
	ServerEstimate
	Health   Health
	Weight   int // at least 1; relative to the other servers of the same priority
	Priority int // 0 or 1; servers of priority 1 receive requests only while none of priority 0 is healthy
}

// Assignment is the state of a pool as sent to a subscriber. Servers are sorted by name.
type Assignment struct {
	Servers []Server
	Drop    float64 // fraction of requests to reject; above 0 when all servers are at their slow-start caps
}

// serverState is the state of a server in a Pool.
type serverState struct {
	ServerEstimate
	health        Health
	healthSince   float64 // when health last changed
	pauseDuration float64 // minimum number of seconds for which an unhealthy server remains unhealthy
	weight        float64 // relative to a server of average payoff, which has 1
	recovering    bool    // the weight is still rising after a pause
	slowStartCap  float64 // maximum fraction of the pool's requests; +Inf: no cap
	missingSince  float64 // since when the server is missing from the endpoint list; 0: it is listed
}

// Pool holds the state from which the assignments of one pool are computed. It is not safe for concurrent use.
type Pool struct {
	settings       Settings
	now            float64                 // time of the last Update
	servers        map[string]*serverState // by name
	load           loadEstimate
	weightsMovedAt float64 // when updateWeights last changed a weight
	caps           slowStartCaps
}

// New returns a Pool without servers.
func New(settings Settings) *Pool {
	return &Pool{settings: settings, servers: map[string]*serverState{}}
}

// Update updates the pool by an observation. It reports whether the assignment changed, and whether the change is
// urgent and must be sent before a subscriber has acknowledged the previous one: the health of a server changed, a
// server was removed, or a slow-start cap was lowered.
func (p *Pool) Update(now float64, observation Observation) (changed, urgent bool) {
	now = max(now, p.now) // if the clock was set back, timed changes would otherwise stop until it caught up
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

// updateEstimates updates the estimates of the listed servers, and adds servers that are new.
func (p *Pool) updateEstimates(estimates []ServerEstimate) (changed bool) {
	for _, estimate := range estimates {
		server := p.servers[estimate.Name]
		if server == nil {
			server = &serverState{weight: 1, slowStartCap: math.Inf(1), healthSince: p.now}
			p.servers[estimate.Name] = server
			changed = true
		}
		if server.StartedAt != estimate.StartedAt && server.Name != "" {
			// The server restarted: the cap computed for its previous start no longer applies.
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

// names returns the sorted names of the servers. Floating-point sums are computed in this order, since their last bits
// depend on the order, and that of a map changes with each iteration.
func (p *Pool) names() []string { return slices.Sorted(maps.Keys(p.servers)) }

// AssignmentFor returns the assignment for a subscriber in a zone, which is "" for one that did not name its zone.
func (p *Pool) AssignmentFor(zone string) Assignment {
	var assignment Assignment
	zoneHealthy := false
	for _, name := range p.names() {
		server := p.servers[name]
		assignment.Servers = append(assignment.Servers,
			Server{ServerEstimate: server.ServerEstimate, Health: server.health, Weight: 1})
		zoneHealthy = zoneHealthy || server.Zone == zone && server.health == Healthy
	}
	if p.settings.PreferLocalZone && zoneHealthy {
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
