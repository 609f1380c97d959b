package assignment

import (
	"math"
	"slices"
)

const (
	// softmaxTemperature is a difference of payoffs: a server whose payoff is 0.2 less has about an eighth of the weight.
	// Package balance selects servers with the same temperature.
	softmaxTemperature = 0.1
	// maxWeightRatio bounds the weight that results from a server's payoff to between 1/4 and 4, where a server of mean
	// payoff has 1. The payoffs are estimated by one proxy, which sees only part of the requests.
	maxWeightRatio       = 4.0
	trialWeight          = 0.1 // weight during a trial, and first weight after a pause; servers of mean payoff have 1
	minWeightChange      = 0.2 // fraction of a weight; a smaller change is not worth an update of every subscriber
	maxWeightStep        = 2.0 // maximum factor by which a weight changes in one update
	weightUpdateInterval = 2.0 // seconds
	// totalWeight is the approximate sum of the integer weights of one priority.
	totalWeight = 10000.0
)

// updateWeights moves the weights toward the softmax of the payoffs, by which package balance selects servers too. If
// immediate is true, they reach their targets in one step. It reports whether any weight changed.
func (p *Pool) updateWeights(immediate bool) (changed bool) {
	mean := p.meanPayoff()
	for _, server := range p.servers {
		if server.health != Healthy || server.missingSince > 0 {
			continue
		}
		if server.recovering && server.healthSince == p.now { // it keeps trialWeight until the next update
			continue
		}
		target := min(max(math.Exp((server.Payoff-mean)/softmaxTemperature), 1/maxWeightRatio), maxWeightRatio)
		if server.Paused { // on trial
			target = trialWeight
		}
		if !immediate && !server.recovering && math.Abs(target/server.weight-1) <= minWeightChange {
			continue
		}
		previous := server.weight
		server.weight = target
		if !immediate {
			server.weight = min(max(target, previous/maxWeightStep), previous*maxWeightStep)
		}
		server.recovering = server.weight < target
		changed = changed || server.weight != previous
	}
	return changed
}

// meanPayoff returns the mean payoff of the healthy servers that are not on trial; 0 if there are none.
func (p *Pool) meanPayoff() float64 {
	sum, count := 0.0, 0.0
	for _, name := range p.names() {
		if server := p.servers[name]; server.health == Healthy && !server.Paused {
			sum += server.Payoff
			count++
		}
	}
	return sum / max(count, 1)
}

// assignWeights sets the weights of the servers of one priority, and returns the fraction of requests to drop. The caps
// assume that all requests of the pool go to this priority, because subscribers in different zones have different
// priorities, and some may have no healthy server of priority 0.
func (p *Pool) assignWeights(servers []Server, priority int) (drop float64) {
	var healthy []*Server
	var weights, caps []float64
	for i := range servers {
		server := &servers[i]
		if server.Priority != priority || server.Health != Healthy {
			continue
		}
		state := p.servers[server.Name]
		healthy = append(healthy, server)
		weights = append(weights, state.weight*max(state.Cores, 1))
		caps = append(caps, state.slowStartCap)
	}
	shares, capacity := distribute(weights, caps)
	for i, server := range healthy {
		share := shares[i] * totalWeight
		server.Weight = max(int(share), 1)
		if share < 1 && !math.IsInf(caps[i], 1) { // even the minimum weight exceeds the cap
			server.Health = Unhealthy
		}
	}
	if capacity == 1 || p.load.value == 0 {
		return 0
	}
	return max(1-capacity*p.caps.load/p.load.value, 0) // of the measured load, not of the minimum that caps.load assumes
}

// distribute divides a total of 1 into shares in proportion to weights, with no share above its cap. It returns the
// shares and the capacity, which is the sum of the caps, but at most 1. If the capacity is less than 1, the shares are
// scaled up to a sum of 1.
func distribute(weights, caps []float64) (shares []float64, capacity float64) {
	shares = make([]float64, len(weights))
	capped := make([]bool, len(weights))
	remaining := 1.0
	for again := true; again; {
		remaining, again = distributeRemaining(weights, caps, shares, capped, remaining)
	}
	if slices.Contains(capped, false) || len(weights) == 0 {
		return shares, 1
	}
	for i := range shares {
		shares[i] /= 1 - remaining
	}
	return shares, 1 - remaining
}

// distributeRemaining divides the remaining part of the total among the shares that are not at their caps yet. It
// returns the part that is left after the shares that now reached their caps, and whether there were any. If so, it
// must be called again.
func distributeRemaining(weights, caps, shares []float64, capped []bool, remaining float64) (rest float64, again bool) {
	sum := 0.0
	for i, weight := range weights {
		if !capped[i] {
			sum += weight
		}
	}
	rest = remaining
	for i, weight := range weights {
		if capped[i] {
			continue
		}
		shares[i] = remaining * weight / sum
		if shares[i] > caps[i] {
			shares[i], capped[i], again = caps[i], true, true
			rest -= caps[i]
		}
	}
	return rest, again
}
