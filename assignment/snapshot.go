package assignment

import "math"

const (
	maxSnapshotAge          = 600.0 // seconds
	restoredWeightDecayTime = 60.0  // seconds; time constant by which restored weights approach 1 with the snapshot's age
)

// Snapshot is the state of a Pool, from which a restarted control plane continues. It is stored in files as JSON.
type Snapshot struct {
	At      float64          `json:"at"` // seconds since 1970
	Servers []ServerSnapshot `json:"servers"`
}

// ServerSnapshot is the state of a server in a Snapshot.
type ServerSnapshot struct {
	Name           string  `json:"name"`
	Addr           string  `json:"addr"`
	Zone           string  `json:"zone"`
	Health         Health  `json:"health"`
	Weight         float64 `json:"weight"`
	PauseRemaining float64 `json:"rest"`     // seconds
	StartedAt      float64 `json:"up_since"` // seconds since 1970; 0: long ago, or unknown
}

// Snapshot returns the state as of the last Update.
func (p *Pool) Snapshot() Snapshot {
	snapshot := Snapshot{At: p.now}
	for _, name := range p.names() {
		server := p.servers[name]
		snapshot.Servers = append(snapshot.Servers, ServerSnapshot{
			Name:           name,
			Addr:           server.Addr,
			Zone:           server.Zone,
			Health:         server.health,
			Weight:         server.weight,
			PauseRemaining: max(server.healthSince+server.pauseDuration-p.now, 0),
			StartedAt:      server.StartedAt,
		})
	}
	return snapshot
}

// Restore takes over the snapshot of another Pool. It must be called before the first Update. The older the snapshot,
// the closer the restored weights are to 1. A snapshot that is older than maxSnapshotAge or from the future is ignored.
// A paused server stays unhealthy for the rest of its pause, but at least for minPauseDuration.
func (p *Pool) Restore(now float64, snapshot Snapshot) {
	age := now - snapshot.At
	if !(age >= 0 && age < maxSnapshotAge) { // written so that NaN is ignored too
		return
	}
	p.now = now
	p.weightsMovedAt = now
	for i := range snapshot.Servers {
		if saved := &snapshot.Servers[i]; saved.valid() {
			p.servers[saved.Name] = saved.restore(now, age)
		}
	}
}

func (s *ServerSnapshot) valid() bool {
	return s.Name != "" && s.Addr != "" && s.Weight > 0 && s.Health <= Draining
}

func (s *ServerSnapshot) restore(now, age float64) *serverState {
	server := &serverState{
		ServerEstimate: ServerEstimate{
			Name:      s.Name,
			Addr:      s.Addr,
			Zone:      s.Zone,
			StartedAt: s.StartedAt,
			Payoff:    1,
			Draining:  s.Health == Draining,
		},
		health:       s.Health,
		healthSince:  now,
		slowStartCap: math.Inf(1),
	}
	weight := 1 + (s.Weight-1)*math.Exp(-age/restoredWeightDecayTime)
	server.weight = min(max(weight, trialWeight), maxWeightRatio)
	if s.Health == Unhealthy {
		server.pauseDuration = min(max(s.PauseRemaining-age, minPauseDuration), maxPauseDuration)
	}
	return server
}
