package balance

import (
	"cmp"
	"slices"
)

const (
	observationTimeout  = 3.0   // s; older observations are neither sent nor accepted
	gossipDelay         = 0.02  // s, the assumed network latency of a message
	maxGossipPerRequest = 2.0   // messages per request at most, however low their cost is
	minGossipInterval   = 0.001 // s; shorter intervals between requests count as this one, which bounds GossipMessage.Rate
)

// gossipState is the state of gossip with the peers of this proxy.
type gossipState struct {
	budget   float64       // number of messages that may be sent
	peerRate float64       // smoothed mean of the peers' requests per second; 0: unknown
	received float64       // number of messages received so far
	message  GossipMessage // the last message sent; its memory is reused for the next one
}

// receive counts a message and updates peerRate.
func (g *gossipState) receive(message *GossipMessage) {
	g.received++
	g.peerRate += max(1/g.received, meanSmoothing) * (message.Rate - g.peerRate)
}

// GossipReceived processes a message from a peer. The peer's observations have less weight than this proxy's own, and
// each counts only once, even if it is received from several peers; a load also loses weight with its age. They change
// payoffs, loads and, for rejections, limits. Breakers, slow-start budgets and the safety of retries do not depend on
// gossip, as it may be wrong.
func (b *Balancer) GossipReceived(now float64, from int, message GossipMessage) *Actions {
	b.beginCall(now)
	if !b.deployment.Gossip || from == b.deployment.ProxyIndex || from < 0 || from >= b.deployment.Proxies {
		return &b.actions
	}
	b.gossip.receive(&message)
	for i := range message.Observations {
		b.observe(&message.Observations[i])
	}
	return b.dispatch()
}

// observe applies one observation of a peer, unless it is too old, already known, or of an unknown server or class.
func (b *Balancer) observe(o *Observation) {
	at := b.now - o.Age - gossipDelay
	s := b.serverByNameHash(o.NameHash, at)
	switch {
	case s == nil || o.Age+gossipDelay > observationTimeout || o.Class > b.rejectionClass():
	case o.Class < 0:
		if at > s.load.at {
			s.load.inFlight, s.load.at = o.Value, at
		}
	case at > s.scores.observations[o.Class].at+gossipDelay: // else it was probably received before, from another peer
		b.learnPayoff(s, o.Class, o.Value, at, gossipVariance)
		if o.Class == b.rejectionClass() {
			b.scaleLimits(s, gossipRejectionCut, 1)
		}
	}
}

// serverByNameHash returns the server with this name hash if it had started by the time at, else nil: observations from
// before a restart do not apply to the restarted server.
func (b *Balancer) serverByNameHash(hash uint32, at float64) *server {
	for _, s := range b.servers {
		if s != nil && uint32(s.NameHash) == hash && s.StartedAt <= at {
			return s
		}
	}
	return nil
}

// sendGossip adds a message to a random peer to the actions, as often as Deployment.GossipCost allows.
func (b *Balancer) sendGossip() {
	b.gossip.budget += min(overheadShare/max(b.deployment.GossipCost, 1e-9), maxGossipPerRequest)
	if !b.deployment.Gossip || b.deployment.Proxies < 2 || b.gossip.budget < 1 {
		return
	}
	b.gossip.budget = 0
	b.actions.Gossip = b.gossipMessage()
	peer := b.deployment.ProxyIndex + 1 + int(b.random.Float64()*float64(b.deployment.Proxies-1))
	b.actions.GossipPeer = peer % b.deployment.Proxies
}

// gossipMessage returns a message with the recent observations of this proxy, the newest first.
func (b *Balancer) gossipMessage() *GossipMessage {
	list := b.gossip.message.Observations[:0]
	for _, s := range b.servers {
		if s != nil {
			list = b.appendObservations(list, s)
		}
	}
	slices.SortStableFunc(list, func(x, y Observation) int { return cmp.Compare(x.Age, y.Age) })
	b.gossip.message = GossipMessage{Rate: 1 / max(b.traffic.interval, minGossipInterval), Observations: list}
	return &b.gossip.message
}

func (b *Balancer) appendObservations(list []Observation, s *server) []Observation {
	for i := range s.scores.observations {
		seen := &s.scores.observations[i]
		if age := b.now - seen.at; seen.at > 0 && age < observationTimeout {
			o := seen.Observation
			o.Age, o.NameHash = age, uint32(s.NameHash)
			list = append(list, o)
		}
	}
	if age := b.now - s.load.at; b.loadsKnown() && age < freshLoadDuration {
		list = append(list, Observation{NameHash: uint32(s.NameHash), Class: -1, Age: age, Value: s.load.inFlight})
	}
	return list
}
