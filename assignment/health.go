package assignment

const (
	minPauseDuration = 1.0 // seconds; a success that ends a pause sooner may be that of an earlier attempt
	// maxPauseDuration bounds, in seconds, how much longer a server stays unhealthy than the circuit breaker says.
	maxPauseDuration     = 40.0
	pauseResetDelay      = 60.0 // seconds after a pause after which the next one is again as short as the first
	maxMissingFraction   = 0.5  // of the servers; a list that lacks this many at once is doubted
	missingServerTimeout = 30.0 // seconds for which the servers that a doubted list lacks are kept
)

// removeServers drops servers that the endpoint list removed. It reports whether there were any.
func (p *Pool) removeServers(names []string) (removed bool) {
	for _, name := range names {
		if p.servers[name] != nil {
			delete(p.servers, name)
			removed = true
		}
	}
	return removed
}

// dropMissingServers drops servers that are missing from the endpoint list. A list source that restarts empty or sends
// half of its list would leave every subscriber without servers; so where many are missing at once they are kept until
// they are listed as draining or removed, or for missingServerTimeout.
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
	doubted := float64(missing) >= maxMissingFraction*float64(len(p.servers))
	for name, server := range p.servers {
		switch {
		case listed[name]:
		case server.missingSince == 0 && doubted:
			server.missingSince = p.now
		case server.missingSince == 0 || p.now >= server.missingSince+missingServerTimeout:
			delete(p.servers, name)
			dropped = true
		}
	}
	return dropped
}

// updateHealth updates the health of every server and reports whether any changed. Where all would be unhealthy none
// is: without requests nothing more would be learned of any.
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

// estimatedHealth is the health of a server by what is known of it alone.
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

// setHealth changes a server's health. Each pause in a row is twice as long as the one before, so that a server at the
// threshold does not flap; a server that comes back from a pause starts with a small weight.
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
