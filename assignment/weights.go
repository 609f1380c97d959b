package assignment

import (
	"math"
	"slices"
)

const (
	// softmaxTemperature is in payoff: a server whose payoff is 0.2 worse has about an eighth of the weight. Package
	// balance selects servers by the same temperature.
	softmaxTemperature   = 0.1
	maxWeightRatio       = 4.0 // of a weight to the mean and of the mean to a weight: one proxy sees only a part
	trialWeight          = 0.1 // of a server that comes back from a pause
	minWeightChange      = 0.2 // fraction of a weight; less is not worth a new version at every subscriber
	maxWeightStep        = 2.0 // factor by which a weight changes at once
	weightUpdateInterval = 2.0 // seconds
	// totalWeight is about the sum of the integer weights of one priority.
	totalWeight = 10000.0
)

// updateWeights moves the weights towards the softmax of the payoffs, by which package balance selects servers too.
// With immediate they take their new values at once. It reports whether any weight changed.
func (p *Pool) updateWeights(immediate bool) (changed bool) {
	mean := p.meanPayoff()
	for _, server := range p.servers {
		if server.health != Healthy || server.missingSince > 0 {
			continue
		}
		if server.recovering && server.healthSince == p.now { // it keeps trialWeight for one interval
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

// meanPayoff is the mean payoff of the healthy servers that are not on trial; 0 if there is none.
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

// assignWeights sets the weights of the servers of one priority and returns the fraction of requests to drop. Each
// server is capped as though all requests went to this priority: one subscriber may be in another zone than the next,
// or have no server left of the first priority.
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
		if share < 1 && !math.IsInf(caps[i], 1) { // even the minimum weight is more than it can take
			server.Health = Unhealthy
		}
	}
	if capacity == 1 || p.load.value == 0 {
		return 0
	}
	return max(1-capacity*p.caps.load/p.load.value, 0) // of the measured load: nothing is dropped on a guess
}

// distribute returns shares of one in proportion to weights, none above its cap, and how much of the whole the caps
// allow. Where they allow less than all, the shares are scaled to a sum of one.
func distribute(weights, caps []float64) (shares []float64, capacity float64) {
	shares = make([]float64, len(weights))
	capped := make([]bool, len(weights))
	rest := 1.0
	for again := true; again; {
		rest, again = distributeRest(weights, caps, shares, capped, rest)
	}
	if slices.Contains(capped, false) || len(weights) == 0 {
		return shares, 1
	}
	for i := range shares {
		shares[i] /= 1 - rest
	}
	return shares, 1 - rest
}

// distributeRest distributes what is left among those not capped yet. It returns what is left less the caps that were
// reached, and whether any was, so that the rest has to be distributed anew.
func distributeRest(weights, caps, shares []float64, capped []bool, left float64) (rest float64, again bool) {
	sum := 0.0
	for i, weight := range weights {
		if !capped[i] {
			sum += weight
		}
	}
	rest = left
	for i, weight := range weights {
		if capped[i] {
			continue
		}
		shares[i] = left * weight / sum
		if shares[i] > caps[i] {
			shares[i], capped[i], again = caps[i], true, true
			rest -= caps[i]
		}
	}
	return rest, again
}
