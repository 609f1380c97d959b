package balance

import "math"

const (
	minPollDelay         = 0.25 // s; the first delay before the endpoint list is requested again
	maxPollDelay         = 4.0  // s; the longest delay before it is requested again
	pollJitter           = 0.5  // largest share of the delay that is added or subtracted at random
	removedServerTimeout = 1.0  // s after its last success until a server that was removed from the list is no longer used
	maxIdleDuration      = 2.0  // s; keeping a connection idle for longer costs more than opening a new one
	idleCloseMargin      = 0.5  // s; an idle connection counts as closed this long before the server closes it
	idleCheckInterval    = 0.02 // s between checks for idle connections
)

// endpointPoller schedules the requests for the endpoint list and the checks for idle connections.
type endpointPoller struct {
	delay       float64 // s before the next poll after a failure, without jitter
	pollAt      float64 // time of the next poll; +Inf: none is scheduled
	idleCheckAt float64 // time of the next check for idle connections; 0: none is scheduled
}

// failed schedules the next poll after a failure, with exponential backoff.
func (p *endpointPoller) failed(now, random, notificationDeadline float64) {
	p.pollAt = now + p.delay*(pollJitter+random)
	p.delay = min(2*p.delay, maxPollDelay, max(notificationDeadline/4, minPollDelay))
}

// takePoll reports whether a poll is due, and if so takes it off the schedule.
func (p *endpointPoller) takePoll(now float64) bool {
	if now < p.pollAt-timerTolerance {
		return false
	}
	p.pollAt = math.Inf(1)
	return true
}

// EndpointsUpdated applies the endpoint list if full is set, else only its changed entries. first is set for the first
// list that the proxy receives, which it answers with a subscription if Deployment.PollsEndpoints is set.
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
	// Without a subscription, no change of the list arrives, but each counts as received after NotificationDeadline.
	if b.deployment.PollsEndpoints {
		b.endpoints.failed(now, b.random.Float64(), b.deployment.NotificationDeadline)
		b.wakeAt(b.endpoints.pollAt)
	}
	return &b.actions
}

// HasEndpoint reports whether the server with this index is listed, or was removed from the list but still serves. If
// not, no later action refers to the index, unless the list contains the server again.
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

// updateEndpoint applies one entry of the endpoint list. It drops what was learned about a server before a restart.
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

// stillServing reports whether a server that was removed from the list may be used. It may only while it goes on
// answering: after a pause it may have restarted and be warming up, which cannot be seen from a list that omits it.
func (b *Balancer) stillServing(s *server) bool {
	return b.deployment.RemovalIsAdvisory && s.State == Removed && !s.drained && b.now < s.lastSuccess+removedServerTimeout
}

// connectionOpen reports whether a connection to a server is probably open, judging by when its last attempt ended.
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
