package balance

import (
	"math"

	"lockloom/internal/pcg"
)

// Costs are subtracted from scores. A score is a payoff divided by the temperature; see Balancer.score.
const (
	zonePenalty        = 0.12 // payoff that an attempt loses in another zone
	zoneCost           = 3.0  // cost of a server in another zone while there is spare capacity
	connectCost        = 15.0 // cost of opening a connection, multiplied by Deployment.HandshakeCost
	crowdingCost       = 8.0  // cost of a full server, compared with an empty one
	crowdingMultiple   = 2.0  // multiple of the mean attempts in flight per server; a server with more is passed over
	spareCapacityShare = 0.5  // share of the capacity; with more in use, zone and connect costs would keep servers idle
	keyHomes           = 2    // number of home servers of a key: those with the best scores, which alone are used at first
	keyHomeWaitShare   = 0.2  // share of the latency objective for which a request may go only to its key's home servers
	keyLoadShare       = 1.0  // multiple of a server's equal share of requests; a key with more is treated as several keys
	subsetMultiple     = 4.0  // size of a proxy's subset, as a multiple of the number of servers per proxy
	maxTrafficMultiple = 20.0 // upper bound of trafficMultiple; its reciprocal is the lower bound
)

// candidate is a server to which the current request may be sent.
type candidate struct {
	server   *server
	score    float64
	load     float64 // attempts in flight; see Balancer.loadOf
	crowding float64 // the load; if servers report loads, the load divided by the capacity
	capacity float64 // attempts; see Balancer.capacityOf
}

// selectionState holds the candidates of the last selection of a server, for any request.
type selectionState struct {
	candidates []candidate
	admitted   float64 // number of admitted servers, at least one
}

// cacheAffine reports whether a request should go to servers that may have cached the data of its key.
func (b *Balancer) cacheAffine(r *Request) bool { return b.deployment.CacheAffinity && r.Key != 0 }

// placement returns a hash that replaces the random noise when a server is selected for the request, so that requests
// with the same placement prefer the same servers; 0 keeps the noise random. Requests with the same affinity key have
// the same placement, unless they would overload the key's few servers; then the key is treated as several keys. In a
// large fleet each proxy gets too few results per server to rank all servers, so the placements of its other requests
// limit them to a subset.
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

// trafficMultiple is this proxy's request rate divided by the mean rate that its peers gossip, or 1 if none is known.
func (b *Balancer) trafficMultiple() float64 {
	if !b.deployment.Sidecar || b.gossip.peerRate == 0 {
		return 1
	}
	multiple := 1 / max(b.traffic.interval, 1e-9) / b.gossip.peerRate
	return min(max(multiple, 1/maxTrafficMultiple), maxTrafficMultiple)
}

// mayAttempt reports whether the next attempt of a request may be sent to a server. It may not if the attempt could
// repeat an effect that an earlier attempt had on the servers. Nor may it if an earlier attempt was sent to this server
// and was the last one, may have run, or could not connect.
func (b *Balancer) mayAttempt(r *Request, s *server) bool {
	for i := range r.attempts {
		a := &r.attempts[i]
		last := i == len(r.attempts)-1
		if a.server == s && (!a.neverRan || a.connectFailed || last) {
			return false
		}
		if !a.neverRan && !b.retrySafe(r, a, s) {
			return false
		}
	}
	return true
}

// selectServer selects a server for the next attempt of a request at random. The probabilities are the softmax of the
// scores: it uses the Gumbel-max trick, which adds Gumbel noise to each score, about the payoff divided by the
// temperature, and takes the server with the greatest sum. chosen is nil if no server can receive an attempt now;
// possible reports whether one could if it had capacity.
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
	// This check also enforces a capacity below one attempt, on average over time. It comes before the scoring, which
	// would take most of a CPU core while many requests are queued.
	if load >= b.availableCapacity(r.priority) {
		return nil, possible
	}
	b.scoreCandidates(r)
	b.selection.admitted = float64(max(admitted, 1))
	return b.drawCandidate(r, maxCrowding), possible
}

// collectCandidates sets the candidates, which are the servers to which the request may be sent, and the capacity of
// all admitted servers, which are those whose breaker admits an attempt. It returns the total load and the number of
// the admitted servers.
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

// payoffAndCost returns the payoff expected of an attempt at a server, and the cost of reaching the server.
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

// score returns the score of a server with a payoff, which is the payoff divided by the temperature. For a request with
// an affinity key, only the part that all servers of the machine model have in common is divided by that, and the rest
// by the higher keyTemperature, so that keys seldom move to other servers. For other requests, the score is reduced by
// the time that work above the mean takes at this server.
func (b *Balancer) score(r *Request, s *server, payoff float64) float64 {
	if b.cacheAffine(r) {
		common := s.scores.general[modelEstimate].payoffAt(b.now)
		return common/temperature + (payoff-common)/keyTemperature
	}
	extraWork := max(r.relativeWork-1, 0)
	penalty := latencyPenalty * extraWork * r.class.medianLatency() * s.scores.relativeLatency / r.class.LatencyObjective
	return (payoff - penalty) / temperature
}

// noise returns Gumbel noise. It is random or, if the request has a placement, derived from a hash of the placement and
// the server's name. The placement of a key is the same at every proxy; the placements that select a subset are
// specific to the proxy. Over all placements the hashed noise has the same distribution as the random noise.
func (b *Balancer) noise(r *Request, s *server) float64 {
	u := b.random.Float64()
	if r.placement != 0 {
		u = pcg.HashFloat64(r.placement, s.NameHash)
	}
	return -math.Log(-math.Log(u))
}

// drawCandidate tries candidates in the order of their scores, the greatest first. It returns the first one that has
// capacity and whose crowding is at most maxCrowding, else the least crowded one tried that has capacity, else nil. A
// server that is warming up needs slow-start budget instead of capacity.
func (b *Balancer) drawCandidate(r *Request, maxCrowding float64) *server {
	candidates := b.selection.candidates
	draws := len(candidates)
	// If the requests of a key went to every server, no server would keep the data of the key in its cache.
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

// moveBestTo moves the candidate with the greatest score of candidates[n:] to index n. Most requests need only the
// first few candidates, so the list is not sorted as a whole.
func moveBestTo(candidates []candidate, n int) {
	for i := n + 1; i < len(candidates); i++ {
		if candidates[i].score > candidates[n].score {
			candidates[i], candidates[n] = candidates[n], candidates[i]
		}
	}
}
