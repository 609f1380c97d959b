package balance

import (
	"cmp"
	"slices"
)

const (
	observationTimeout  = 3.0   // s; older observations are not told on, nor taken in
	gossipDelay         = 0.02  // s that a message is taken to be on its way
	maxGossipPerRequest = 2.0   // messages, however cheap
	minGossipInterval   = 0.001 // s between arrivals, for the rate that is told
)

// gossipState is what this proxy tells its peers and hears from them.
type gossipState struct {
	budget   float64       // messages saved up
	peerRate float64       // requests a second of a peer, smoothed; 0: not told
	received float64       // messages
	message  GossipMessage // reused for each
}

// receive counts a message.
func (g *gossipState) receive(message *GossipMessage) {
	g.received++
	g.peerRate += max(1/g.received, meanSmoothing) * (message.Rate - g.peerRate)
}

// GossipReceived takes in what a peer tells. It ages, weighs less than what this proxy saw, and counts once. It bears
// on payoffs, loads and, where there is no capacity, limits; no rule and no breaker rests on it.
func (b *Balancer) GossipReceived(now float64, from int, message GossipMessage) *Actions {
	b.begin(now)
	if !b.deployment.Gossip || from == b.deployment.Self || from < 0 || from >= b.deployment.Proxies {
		return &b.actions
	}
	b.gossip.receive(&message)
	for i := range message.Observations {
		b.observe(&message.Observations[i])
	}
	return b.dispatch()
}

// observe takes in one observation of a peer.
func (b *Balancer) observe(o *Observation) {
	at := b.now - o.Age - gossipDelay
	s := b.serverByNameHash(o.NameHash, at)
	switch {
	case s == nil || o.Age+gossipDelay > observationTimeout || o.Class > b.rejectionClass():
	case o.Class < 0:
		if at > s.load.at {
			s.load.inFlight, s.load.at = o.Value, at
		}
	case at > s.scores.observations[o.Class].at+gossipDelay: // one that comes round would count again
		b.learnPayoff(s, o.Class, o.Value, at, gossipNoise)
		if o.Class == b.rejectionClass() {
			b.moveLimits(s, gossipRejectionCut, 1)
		}
	}
}

// serverByNameHash returns the server of this name, if it was up at that time already: what was seen of a server before
// its restart says nothing of it now.
func (b *Balancer) serverByNameHash(hash uint32, at float64) *server {
	for _, s := range b.servers {
		if s != nil && uint32(s.NameHash) == hash && s.StartedAt <= at {
			return s
		}
	}
	return nil
}

// sendGossip orders a message to one peer by chance, as often as its cost allows.
func (b *Balancer) sendGossip() {
	b.gossip.budget += min(overheadShare/max(b.deployment.GossipCost, 1e-9), maxGossipPerRequest)
	if !b.deployment.Gossip || b.deployment.Proxies < 2 || b.gossip.budget < 1 {
		return
	}
	b.gossip.budget = 0
	b.actions.Gossip = b.gossipMessage()
	peer := b.deployment.Self + 1 + int(b.random.Float64()*float64(b.deployment.Proxies-1))
	b.actions.GossipPeer = peer % b.deployment.Proxies
}

// gossipMessage tells what was seen lately, the newest first.
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
