package balance

// Snapshot holds what a balancer has learned, for its successor in the next process of the same proxy.
type Snapshot struct {
	BaseLatencies []float64        `json:"Bases"` // s, by class: median latency without queueing
	Servers       []ServerSnapshot `json:"Servers"`
}

// ServerSnapshot holds what was learned about one server since its start.
type ServerSnapshot struct {
	NameHash        uint64  `json:"Mark"`
	StartedAt       float64 `json:"UpSince"`
	Limit           float64 `json:"Limit"`
	RelativeLatency float64 `json:"Pace"`
	Payoff          float64 `json:"Pay"` // the server's own estimate, without those of its machine model and the fleet
	Confidence      float64 `json:"Sure"`
	Age             float64 `json:"Age"` // s since the estimate was updated
	Paused          bool    `json:"Paused"`
	PauseRemaining  float64 `json:"PausedFor"` // s until the cooldown is over
	Errors          int     `json:"Errors"`
	Results         int     `json:"Results"`
}

// Snapshot returns what the balancer has learned.
func (b *Balancer) Snapshot(now float64) Snapshot {
	b.beginCall(now)
	var snapshot Snapshot
	for i := range b.classes {
		snapshot.BaseLatencies = append(snapshot.BaseLatencies, b.classes[i].baseLatency)
	}
	for _, s := range b.servers {
		if s != nil {
			snapshot.Servers = append(snapshot.Servers, s.snapshot(now))
		}
	}
	return snapshot
}

func (s *server) snapshot(now float64) ServerSnapshot {
	own := s.scores.general[ownEstimate]
	return ServerSnapshot{
		NameHash:        s.NameHash,
		StartedAt:       s.StartedAt,
		Limit:           s.limit.value,
		RelativeLatency: s.scores.relativeLatency,
		Payoff:          own.payoff,
		Confidence:      own.confidence,
		Age:             now - own.updatedAt,
		Paused:          s.breaker.paused,
		PauseRemaining:  max(s.breaker.lastResult+s.breaker.cooldown-now, 0),
		Errors:          s.breaker.failures,
		Results:         s.breaker.results,
	}
}

// Restore applies the snapshot of the balancer in the previous process of this proxy. What was learned about a server
// does not apply after the server's restart, so it is restored only for servers with the same start time. Estimates
// decay by their age. The safety of retries does not depend on a snapshot.
func (b *Balancer) Restore(now float64, snapshot Snapshot) {
	b.beginCall(now)
	for i := range min(len(snapshot.BaseLatencies), len(b.classes)) {
		if base := snapshot.BaseLatencies[i]; base > 0 && base <= b.classes[i].LatencyObjective {
			b.classes[i].baseLatency = base
		}
	}
	for i := range snapshot.Servers {
		learned := &snapshot.Servers[i]
		if !learned.valid() {
			continue
		}
		for _, s := range b.servers {
			if s != nil && s.NameHash == learned.NameHash && s.StartedAt == learned.StartedAt {
				s.restore(now, learned)
			}
		}
	}
}

func (learned *ServerSnapshot) valid() bool {
	return learned.Limit > 0 && learned.RelativeLatency > 0 && learned.Age >= 0
}

func (s *server) restore(now float64, learned *ServerSnapshot) {
	s.limit.value = max(s.limit.minimum, learned.Limit)
	s.scores.relativeLatency = learned.RelativeLatency
	own := s.scores.general[ownEstimate]
	own.payoff = min(max(learned.Payoff, -1), 1)
	own.confidence = min(max(learned.Confidence, 0), 1)
	own.updatedAt = now - learned.Age
	if learned.Paused {
		s.breaker.restorePause(now, learned)
	}
}

func (br *breaker) restorePause(now float64, learned *ServerSnapshot) {
	br.tracked, br.paused = true, true
	br.cooldown = min(learned.PauseRemaining, 2*breakerCooldown)
	br.lastResult, br.windowStart = now, now
	br.failures, br.results = learned.Errors, learned.Results
}
