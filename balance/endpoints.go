package balance

import "math"

const (
	minPollDelay         = 0.25 // s; the first delay before the endpoint list is requested again
	maxPollDelay         = 4.0  // s
	pollJitter           = 0.5  // of the delay, added or subtracted at most
	removedServerTimeout = 1.0  // s since its last success, for which a server removed from the list is still used
	maxIdleDuration      = 2.0  // s; keeping a connection idle for longer costs more than opening a new one
	idleCloseMargin      = 0.5  // s before the server closes an idle connection, from when it counts as closed
	idleCheckInterval    = 0.02 // s between checks for idle connections
)

// endpointPoller schedules the requests for the endpoint list and the checks for idle connections.
type endpointPoller struct {
	delay       float64 // s before the next poll after a failure, without jitter
	pollAt      float64 // +Inf: no poll is due
	idleCheckAt float64
}

// failed schedules the next poll after a failure, with exponential backoff.
func (p *endpointPoller) failed(now, random, notificationDeadline float64) {
	p.pollAt = now + p.delay*(pollJitter+random)
	p.delay = min(2*p.delay, maxPollDelay, max(notificationDeadline/4, minPollDelay))
}

// takePoll reports whether a poll is due, and clears it.
func (p *endpointPoller) takePoll(now float64) bool {
	if now < p.pollAt-timerTolerance {
		return false
	}
	p.pollAt = math.Inf(1)
	return true
}

// EndpointsUpdated applies the endpoint list or, unless full, its changed entries. The first list also subscribes to
// changes, if PollsEndpoints is set.
func (b *Balancer) EndpointsUpdated(now float64, full, first bool, list []Endpoint) *Actions {
	b.beginCall(now)
	b.updateEndpoints(full, list)
	if !first {
		b.endpoints.delay = minPollDelay
	}
	b.actions.Subscribe = first && b.deployment.PollsEndpoints
	return b.dispatch()
}

// PollFailed reports that the endpoint list could not be fetched, or that the subscription ended.
func (b *Balancer) PollFailed(now float64) *Actions {
	b.beginCall(now)
	if b.deployment.PollsEndpoints { // without a subscription, changes soon count as received, though none was
		b.endpoints.failed(now, b.random.Float64(), b.deployment.NotificationDeadline)
		b.wakeAt(b.endpoints.pollAt)
	}
	return &b.actions
}

// HasEndpoint reports whether the server of an index is listed, or was removed but still serves. Later actions do not
// refer to any other index, unless the list adds it again.
func (b *Balancer) HasEndpoint(index int) bool {
	return index < len(b.servers) && b.servers[index] != nil
}

// updateEndpoints creates, updates and removes servers by the entries of the list.
func (b *Balancer) updateEndpoints(full bool, list []Endpoint) {
	if full {
		for _, s := range b.servers {
			if s != nil {
				s.State = Removed // unless updateEndpoint sets another state below
			}
		}
	}
	for _, e := range list {
		b.updateEndpoint(e)
	}
	for i, s := range b.servers {
		if s != nil && s.State == Removed && !b.stillServing(s) {
			b.servers[i] = nil // attempts in flight still refer to it
		}
	}
}

// updateEndpoint applies one entry. A server that was restarted gets a new state.
func (b *Balancer) updateEndpoint(e Endpoint) {
	for len(b.servers) <= e.Index {
		b.servers = append(b.servers, nil)
	}
	s := b.servers[e.Index]
	if s == nil || s.StartedAt != e.StartedAt && e.State == Ready {
		s = b.newServer(e.Model, e.Cores)
		b.servers[e.Index] = s
	}
	s.Endpoint = e
	s.drained = s.drained || e.State == Draining
}

// stillServing reports whether a server that was removed from the list may be used: only while it goes on answering,
// since after a restart it would be warming up, which a list without it cannot report.
func (b *Balancer) stillServing(s *server) bool {
	return b.deployment.RemovalIsAdvisory && s.State == Removed && !s.drained && b.now < s.lastSuccess+removedServerTimeout
}

// connectionOpen reports whether there should be an open connection to a server, by the time of its last attempt.
func (b *Balancer) connectionOpen(s *server) bool {
	return s.lastUsed > 0 && b.now < s.lastUsed+b.deployment.ServerIdleTimeout-idleCloseMargin
}

// closeIdleConnections closes connections that were idle for maxIdleDuration, if open connections have a cost.
func (b *Balancer) closeIdleConnections() {
	d := &b.deployment
	if !d.Sidecar && !d.Gossip || d.ConnectionCost == 0 || b.endpoints.idleCheckAt > b.now {
		return
	}
	b.endpoints.idleCheckAt = 0
	for _, s := range b.servers {
		if s == nil || s.attemptsInFlight() > 0 || s.lastUsed == 0 {
			continue
		}
		b.endpoints.idleCheckAt = b.now + idleCheckInterval
		if b.now >= s.lastUsed+maxIdleDuration {
			s.lastUsed = 0
			b.actions.CloseIdle = append(b.actions.CloseIdle, s.Index)
		}
	}
	b.wakeAt(b.endpoints.idleCheckAt)
}
