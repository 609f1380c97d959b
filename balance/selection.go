package balance

import (
	"math"

	"lockloom/internal/pcg"
)

// Costs are in units of the draw, in which payoffs are divided by the temperature.
const (
	zonePenalty        = 0.12 // payoff lost on the way to another zone
	zoneCost           = 3.0  // of another zone, while there is capacity to choose
	connectCost        = 15.0 // of opening a connection, times Deployment.HandshakeCost
	crowdingCost       = 8.0  // of a full server over an empty one
	crowdingMultiple   = 2.0  // of the mean in flight, above which a server is redrawn
	spareCapacityShare = 0.5  // of the capacity; with more in flight, costs would keep servers idle
	keyHomes           = 2    // servers to which a key is kept at first
	keyHomeWaitShare   = 0.2  // of the latency objective, that a request waits for them
	keyLoadShare       = 1.0  // of a server's even share of requests; a key with more counts as several keys
	subsetMultiple     = 4.0  // times its even part of the servers, to which one proxy of many keeps
	maxTrafficMultiple = 20.0 // times the even part of the traffic, or the even part over it
)

// candidate is a server that may be sent the request that is drawn for.
type candidate struct {
	server   *server
	score    float64
	load     float64 // attempts
	crowding float64 // the load, or its part of the capacity where loads are reported
	capacity float64 // attempts
}

// selectionState is what the last draw left behind.
type selectionState struct {
	candidates []candidate
	admitted   float64 // servers that were admitted, at least one
}

// cacheAffine reports whether servers may have cached what the request needs.
func (b *Balancer) cacheAffine(r *Request) bool { return b.deployment.CacheAffinity && r.Key != 0 }

// placement settles where a request goes, alike for all requests of a place; 0 leaves it to chance. A key is kept to a
// few servers; one with so many requests that it would crowd them counts as several keys. One proxy of many sees too
// little of each server to tell them apart, so it keeps to a subset.
func (b *Balancer) placement(r *Request) uint64 {
	admitted := b.selection.admitted
	if b.cacheAffine(r) {
		return r.Key + uint64(b.random.Float64()*math.Ceil(b.traffic.keys.Add(r.Key)*admitted/keyLoadShare))
	}
	if subset := subsetMultiple * admitted / float64(b.deployment.Proxies) * b.trafficMultiple(); subset < admitted {
		return b.deployment.Seed + uint64(b.random.Float64()*subset)
	}
	return 0
}

// trafficMultiple is this proxy's part of the fleet's traffic over the even part, as far as peers tell theirs.
func (b *Balancer) trafficMultiple() float64 {
	if !b.deployment.Sidecar || b.gossip.peerRate == 0 {
		return 1
	}
	multiple := 1 / max(b.traffic.interval, 1e-9) / b.gossip.peerRate
	return min(max(multiple, 1/maxTrafficMultiple), maxTrafficMultiple)
}

// mayAttempt reports whether another attempt of a request at a server is harmless and goes somewhere new.
func (b *Balancer) mayAttempt(r *Request, s *server) bool {
	for i := range r.attempts {
		a := &r.attempts[i]
		last := i == len(r.attempts)-1
		if a.server == s && (!a.neverRan || a.noRoute || last) {
			return false
		}
		if !a.neverRan && !b.repeatHarmless(r, a, s) {
			return false
		}
	}
	return true
}

// selectServer draws a server for an attempt by the softmax of payoffs, in Gumbel form: the greatest payoff over
// temperature plus noise. It returns nil where there is none to send to now, and reports whether some server would do
// if it had capacity.
func (b *Balancer) selectServer(r *Request) (chosen *server, possible bool) {
	if len(r.attempts) >= b.deployment.MaxAttempts || b.now >= r.Deadline-answerMargin {
		return nil, false
	}
	load, admitted := b.collectCandidates(r)
	possible = len(b.selection.candidates) > 0
	c := &b.concurrency
	c.utilization = min(load/max(c.capacity, 1e-9), 1)
	maxCrowding := c.utilization
	if !b.loadsKnown() {
		load = float64(c.inFlight)
		maxCrowding = crowdingMultiple * load / float64(max(admitted, 1))
	}
	// A capacity below one attempt binds over time, not at once. Without capacity nothing is scored: with many waiting
	// requests the scores took most of a core.
	if load >= b.availableCapacity(r.priority) {
		return nil, possible
	}
	b.scoreCandidates(r)
	b.selection.admitted = float64(max(admitted, 1))
	return b.drawCandidate(r, maxCrowding), possible
}

// collectCandidates lists the servers that may be sent the request. It returns the load of all admitted servers and
// their number, and sets the capacity.
func (b *Balancer) collectCandidates(r *Request) (load float64, admitted int) {
	b.selection.candidates, b.concurrency.capacity = b.selection.candidates[:0], 0
	for _, s := range b.servers {
		if s == nil || s.State != Ready && !b.stillServing(s) || !s.breaker.admits(b.now) {
			continue
		}
		c := candidate{server: s, load: b.loadOf(s), capacity: b.capacityOf(s)}
		admitted++
		b.concurrency.capacity += c.capacity
		load += c.load
		if s.classBreakers[r.Class].admits(b.now) && b.mayAttempt(r, s) {
			b.selection.candidates = append(b.selection.candidates, c)
		}
	}
	return load, admitted
}

// scoreCandidates sets the score and the crowding of each candidate.
func (b *Balancer) scoreCandidates(r *Request) {
	utilization := b.concurrency.utilization
	spare := max(1-utilization/spareCapacityShare, 0)
	for i := range b.selection.candidates {
		c := &b.selection.candidates[i]
		payoff, cost := b.payoffAndCost(r, c.server)
		score := b.score(r, c.server, payoff)
		c.crowding = c.load
		if b.loadsKnown() {
			c.crowding /= c.capacity
			score -= crowdingCost * (c.crowding - utilization)
		}
		c.score = score - cost*spare + b.noise(r, c.server)
	}
}

// payoffAndCost is what an attempt at a server is worth, and what it costs to go there.
func (b *Balancer) payoffAndCost(r *Request, s *server) (payoff, cost float64) {
	payoff = b.payoffOf(s, r.Class)
	if !b.deployment.Gossip {
		return payoff, 0
	}
	if b.deployment.Zone >= 0 && s.Zone != b.deployment.Zone {
		payoff -= zonePenalty
		cost = zoneCost
	}
	if !b.connectionOpen(s) {
		cost += connectCost * b.deployment.HandshakeCost
	}
	return payoff, cost
}

// score weighs a payoff. A key is moved by what servers of one machine model have in common, and less by what tells
// them apart; a request without a key is weighed by what its work takes at this server.
func (b *Balancer) score(r *Request, s *server, payoff float64) float64 {
	if b.cacheAffine(r) {
		common := s.scores.general[modelEstimate].payoffAt(b.now)
		return common/temperature + (payoff-common)/keyTemperature
	}
	extraWork := max(r.relativeWork-1, 0)
	penalty := latencyPenalty * extraWork * r.class.medianLatency() * s.scores.relativeLatency / r.class.LatencyObjective
	return (payoff - penalty) / temperature
}

// noise is Gumbel noise: by chance or, where the request has a placement, by that and the server. The placement of a
// key is alike at every proxy; a proxy of many has a few of its own. Over all placements the draw is the same.
func (b *Balancer) noise(r *Request, s *server) float64 {
	u := b.random.Float64()
	if r.placement != 0 {
		u = pcg.HashFloat64(r.placement, s.NameHash)
	}
	return -math.Log(-math.Log(u))
}

// drawCandidate returns the candidate of the greatest score that is not too crowded, else the least crowded that was
// drawn; nil: none can take an attempt.
func (b *Balancer) drawCandidate(r *Request, maxCrowding float64) *server {
	candidates := b.selection.candidates
	draws := len(candidates)
	// A key that is sent to every server is cached at none.
	if b.cacheAffine(r) && b.now < r.arrivedAt+keyHomeWaitShare*r.class.LatencyObjective {
		draws = min(draws, keyHomes)
	}
	var leastCrowded candidate
	for n := 0; n < draws; n++ {
		moveBestTo(candidates, n)
		c := candidates[n]
		if b.warmingUp(c.server) {
			if float64(c.server.breaker.inFlight) <= maxCrowding && b.takeSlowStartBudget(r, c.server) {
				return c.server
			}
			draws = min(draws+1, len(candidates))
		} else if c.load < max(c.capacity, 1) {
			if c.crowding <= maxCrowding {
				return c.server
			}
			if leastCrowded.server == nil || c.crowding < leastCrowded.crowding {
				leastCrowded = c
			}
		}
	}
	return leastCrowded.server
}

// moveBestTo moves the greatest score of those from n on to n. The first draws settle most requests, so the whole list
// is never sorted.
func moveBestTo(candidates []candidate, n int) {
	for i := n + 1; i < len(candidates); i++ {
		if candidates[i].score > candidates[n].score {
			candidates[i], candidates[n] = candidates[n], candidates[i]
		}
	}
}
