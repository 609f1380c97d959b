package assignment

const (
	minPauseDuration = 1.0 // seconds; an earlier success may be that of an attempt that began before the pause
	// maxPauseDuration is the maximum time, in seconds, for which a server stays unhealthy after the circuit breaker
	// readmitted it.
	maxPauseDuration = 40.0
	// pauseResetDelay is a time in seconds. A server that was not paused for this long, plus the duration of its last
	// pause, is next paused for minPauseDuration.
	pauseResetDelay      = 60.0
	maxMissingFraction   = 0.5  // fraction of the servers; a list from which this many are missing is suspect
	missingServerTimeout = 30.0 // seconds for which servers missing from a suspect list are kept
)

// removeServers removes the named servers, and reports whether the pool had any of them.
func (p *Pool) removeServers(names []string) (removed bool) {
	for _, name := range names {
		if p.servers[name] != nil {
			delete(p.servers, name)
			removed = true
		}
	}
	return removed
}

// dropMissingServers drops servers that are missing from the endpoint list, and reports whether there were any. If the
// source of the list restarts with an empty list or sends only a part of it, subscribers would lose most servers.
// Therefore, if many servers are missing at once, the list is suspect: they are kept until they are explicitly removed,
// or for missingServerTimeout.
func (p *Pool) dropMissingServers(estimates []ServerEstimate) (dropped bool) {
	listed := make(map[string]bool, len(estimates))
	for i := range estimates {
		listed[estimates[i].Name] = true
	}
	missing := 0
	for name := range p.servers {
		if !listed[name] {
			missing++
		}
	}
	suspect := float64(missing) >= maxMissingFraction*float64(len(p.servers))
	for name, server := range p.servers {
		switch {
		case listed[name]:
		case server.missingSince == 0 && suspect:
			server.missingSince = p.now
		case server.missingSince == 0 || p.now >= server.missingSince+missingServerTimeout:
			delete(p.servers, name)
			dropped = true
		}
	}
	return dropped
}

// updateHealth updates the health of every server, and reports whether any changed. If no server would be healthy,
// those that would be unhealthy are healthy instead: without requests, their estimates would never be updated.
func (p *Pool) updateHealth() (changed bool) {
	noneHealthy := true
	for _, server := range p.servers {
		noneHealthy = noneHealthy && p.estimatedHealth(server) != Healthy
	}
	for _, server := range p.servers {
		health := p.estimatedHealth(server)
		if noneHealthy && health == Unhealthy {
			health = Healthy
		}
		if health != server.health {
			server.setHealth(p.now, health)
			changed = true
		}
	}
	return changed
}

// estimatedHealth returns the health of a server by its own estimate, regardless of the other servers.
func (p *Pool) estimatedHealth(server *serverState) Health {
	switch {
	case server.Draining:
		return Draining
	case server.Paused && !server.Trial:
		return Unhealthy
	case server.health == Unhealthy && p.now < server.healthSince+server.pauseDuration:
		return Unhealthy
	}
	return Healthy
}

// setHealth changes the health of a server. Each pause soon after another lasts twice as long, so that a server at the
// threshold of the circuit breaker does not flap. After a pause, the weight starts at trialWeight.
func (s *serverState) setHealth(now float64, health Health) {
	if s.health == Unhealthy && health == Healthy {
		s.weight, s.recovering = trialWeight, true
	}
	if health == Unhealthy {
		if now > s.healthSince+s.pauseDuration+pauseResetDelay {
			s.pauseDuration = 0
		}
		s.pauseDuration = min(max(2*s.pauseDuration, minPauseDuration), maxPauseDuration)
	}
	s.health, s.healthSince = health, now
}
