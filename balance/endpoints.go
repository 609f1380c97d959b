package balance

import "math"

const (
	minPollDelay         = 0.25 // s; the first delay before the endpoint list is asked for again
	maxPollDelay         = 4.0  // s
	pollJitter           = 0.5  // of the delay, either way
	removedServerTimeout = 1.0  // s after its last answer that a server which the list has lost is still sent to
	maxIdleDuration      = 2.0  // s; keeping a connection for longer costs more than opening it anew
	idleCloseMargin      = 0.5  // s before the server closes an idle connection
	idleCheckInterval    = 0.02 // s between looks at idle connections
)

// endpointPoller decides when to ask for the endpoint list, and when to look at idle connections.
type endpointPoller struct {
	delay       float64 // s before the next poll after a failure
	pollAt      float64 // +Inf: no poll is due
	idleCheckAt float64
}

// failed sets the next poll, each later than the one before.
func (p *endpointPoller) failed(now, random, notificationDeadline float64) {
	p.pollAt = now + p.delay*(pollJitter+random)
	p.delay = min(2*p.delay, maxPollDelay, max(notificationDeadline/4, minPollDelay))
}

// takePoll reports, once, whether it is time to poll.
func (p *endpointPoller) takePoll(now float64) bool {
	if now < p.pollAt-timerTolerance {
		return false
	}
	p.pollAt = math.Inf(1)
	return true
}

// EndpointsUpdated takes in the endpoint list or, unless full, its changed entries. The first list also subscribes.
func (b *Balancer) EndpointsUpdated(now float64, full, first bool, list []Endpoint) *Actions {
	b.begin(now)
	b.updateEndpoints(full, list)
	if !first {
		b.endpoints.delay = minPollDelay
	}
	b.actions.Subscribe = first && b.deployment.PollsEndpoints
	return b.dispatch()
}

// PollFailed tells that the endpoint list could not be had, or that the subscription ended.
func (b *Balancer) PollFailed(now float64) *Actions {
	b.begin(now)
	if b.deployment.PollsEndpoints { // without a subscription, changes count as received soon, though none was heard
		b.endpoints.failed(now, b.random.Float64(), b.deployment.NotificationDeadline)
		b.wakeAt(b.endpoints.pollAt)
	}
	return &b.actions
}

// HasEndpoint reports whether a server is still known: as listed, or as one that still serves. An index that is not
// will not be named again.
func (b *Balancer) HasEndpoint(index int) bool {
	return index < len(b.servers) && b.servers[index] != nil
}

// updateEndpoints keeps the servers as the list tells them.
func (b *Balancer) updateEndpoints(full bool, list []Endpoint) {
	if full {
		for _, s := range b.servers {
			if s != nil {
				s.State = Removed // unless the list still has it, below
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

// updateEndpoint takes in one entry. A server that was restarted is a new one.
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

// stillServing reports whether a server that the list has lost may be sent to, as long as it goes on answering. One
// that is up again would be warming up, which the list could not tell.
func (b *Balancer) stillServing(s *server) bool {
	return b.deployment.RemovalIsAdvisory && s.State == Removed && !s.drained && b.now < s.lastSuccess+removedServerTimeout
}

// connectionOpen reports whether a connection to a server is idle, as far as its attempts tell.
func (b *Balancer) connectionOpen(s *server) bool {
	return s.lastUsed > 0 && b.now < s.lastUsed+b.deployment.ServerIdleTimeout-idleCloseMargin
}

// closeIdleConnections closes connections that were idle for too long, where they have a cost.
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
