package balance

import "math"

// A payoff is a number from 0 for a failure to 1 for an immediate answer.
const (
	temperature              = 0.1  // payoff; a server whose payoff is 0.23 lower is selected a tenth as often
	keyTemperature           = 0.25 // payoff, for requests with an affinity key: a brief drop of a payoff must move no key
	relativeLatencySmoothing = 0.1  // weight of one answer in serverScores.relativeLatency
	resultVariance           = 1.0  // variance of one attempt's payoff, divided by the variance of payoffs between servers
	gossipVariance           = 10.0 // resultVariance for a payoff received from a peer
	estimateLifetime         = 10.0 // s; the time constant with which an estimate decays without new results
	modelEstimateLifetime    = 60.0 // s; the time constant for the estimate of a machine model
	latencyPenalty           = 0.4  // payoff that an answer loses if it takes its whole latency objective
	latePayoff               = 0.3  // payoff of an answer after its latency objective
	rejectedKeyPayoff        = 0.5  // payoff of a rejected attempt with an affinity key, in a fleet that gossips
)

// Indices of the estimates that apply to a server: the estimate of all servers is first, then that of the server's
// machine model, then the server's own. In a fleet that gossips, a fourth one applies to each class at the server.
const (
	modelEstimate    = 1
	ownEstimate      = 2
	generalEstimates = 3 // the number of estimates that apply to all classes
)

// estimate is a learned correction of the expected payoff, common to a group of servers or specific to one. The payoff
// expected at a server is 1 plus all estimates that apply to it. An estimate decays exponentially to 0.
type estimate struct {
	payoff     float64 // the correction, as of updatedAt
	confidence float64 // in the correction as of updatedAt: 0 without results, toward 1 with many recent ones
	updatedAt  float64
	lifetime   float64 // s, the time constant of the decay
}

// decayFactor is the factor by which the estimate has decayed since its last update.
func (e *estimate) decayFactor(now float64) float64 {
	return math.Exp((e.updatedAt - now) / e.lifetime)
}

// payoffAt returns the correction of the payoff, decayed until now.
func (e *estimate) payoffAt(now float64) float64 { return e.payoff * e.decayFactor(now) }

// decay replaces the payoff and the confidence with their values decayed until now.
func (e *estimate) decay(now float64) {
	e.payoff, e.confidence, e.updatedAt = e.payoffAt(now), e.confidence*e.decayFactor(now), now
}

// sharedEstimates are the estimates that apply to several servers.
type sharedEstimates struct {
	fleet  *estimate
	models []*model // by Endpoint.Model
}

// model returns the machine model with an index (Endpoint.Model), which it creates if it does not exist.
func (e *sharedEstimates) model(index int) *model {
	for len(e.models) <= index {
		e.models = append(e.models, &model{estimate: estimate{lifetime: modelEstimateLifetime}})
	}
	return e.models[index]
}

// serverScores describes the payoffs and the latency of attempts at a server.
type serverScores struct {
	general         []*estimate   // the estimates that apply to all classes; see modelEstimate and ownEstimate
	byClass         [][]*estimate // the estimates that apply to each class; the last element is for rejections
	observations    []observation // the latest one of each class; the last element is for rejections
	relativeLatency float64       // smoothed ratio of the latency to the median of the class for the same work
}

// observation is an Observation with the time at which it was made.
type observation struct {
	Observation
	at float64
}

func (b *Balancer) newServerScores(m *model) serverScores {
	scores := serverScores{
		general:         []*estimate{b.estimates.fleet, &m.estimate, {lifetime: estimateLifetime}},
		observations:    make([]observation, len(b.classes)+1),
		relativeLatency: 1,
	}
	for range b.classes {
		estimates := scores.general
		if b.deployment.Gossip {
			estimates = append(estimates[:generalEstimates:generalEstimates], &estimate{lifetime: estimateLifetime})
		}
		scores.byClass = append(scores.byClass, estimates)
	}
	scores.byClass = append(scores.byClass, scores.general)
	return scores
}

// payoffOf is the payoff expected of an attempt at a server. Without new results, the estimates of the server decay
// faster than that of its machine model, so its payoff returns to that of the model.
func (b *Balancer) payoffOf(s *server, class int) float64 {
	payoff := 1.0
	for _, e := range s.scores.byClass[class] {
		payoff += e.payoffAt(b.now)
	}
	return payoff
}

// learnPayoff updates the estimates that apply to a server with the payoff of an attempt. at is the time at which the
// payoff was observed, and variance is resultVariance or gossipVariance. The prediction error is divided between the
// estimates of the server, of its machine model and of all servers in proportion to their uncertainty: in a large fleet
// a proxy gets too few results from one server, but enough from all servers of its model.
func (b *Balancer) learnPayoff(s *server, class int, payoff, at, variance float64) {
	s.scores.observations[class] = observation{Observation{Class: class, Value: payoff}, at}
	predictionError, total := payoff-b.payoffOf(s, class), variance
	estimates := s.scores.byClass[class]
	for _, e := range estimates {
		e.decay(b.now)
		total += 1 - e.confidence
	}
	for _, e := range estimates {
		gain := (1 - e.confidence) / total
		e.payoff += gain * predictionError
		e.confidence += gain * (1 - e.confidence)
	}
}

// rejectionClass is the index that stands for rejected attempts, after the indices of the classes.
func (b *Balancer) rejectionClass() int { return len(b.classes) }

// recordOutcome updates all statistics with the outcome of an attempt.
func (b *Balancer) recordOutcome(r *Request, a *attempt, outcome Outcome, latency float64) {
	switch outcome {
	case Canceled:
		b.recordCanceled(r, a)
	case NotSent, InvalidRequest: // not caused by the server
	case ServerRejected:
		b.recordRejected(r, a)
	case Succeeded:
		b.recordSucceeded(r, a, latency)
	default:
		if !a.overdue {
			b.recordFailed(r, a)
		}
	}
}

// recordCanceled counts the time that an overdue attempt has taken until now as a latency: if only answers counted, a
// slow class would seem to be as fast as those few of its attempts that were answered.
func (b *Balancer) recordCanceled(r *Request, a *attempt) {
	if a.overdue {
		r.class.latencies.Add((b.now - a.sentAt) / max(r.relativeWork, minRelativeWork))
	}
}

// recordRejected records a rejection by a full server. It is no failure, so the breakers do not change.
func (b *Balancer) recordRejected(r *Request, a *attempt) {
	// An attempt that is rejected at once must use as much credit as one that is served, or else hundreds of attempts per
	// second would be sent to full servers.
	b.concurrency.credit -= max(r.class.medianLatency()-(b.now-a.sentAt), 0)
	cut, payoff := rejectionCut, 0.0
	if b.deployment.Gossip {
		cut = gossipRejectionCut
	}
	// While all servers are full, many requests with an affinity key are rejected. If a rejection had a payoff of 0, the
	// rejections would outweigh all other results of these requests.
	if b.deployment.Gossip && b.cacheAffine(r) {
		payoff = rejectedKeyPayoff
	}
	b.scaleLimits(a.server, cut, 1)
	b.learnPayoff(a.server, b.rejectionClass(), payoff, b.now, resultVariance)
}

// recordFailed records a failure.
func (b *Balancer) recordFailed(r *Request, a *attempt) {
	b.recordResult(r.Class, a.server, false)
	b.learnPayoff(a.server, r.Class, 0, b.now, resultVariance)
}

// recordSucceeded records a successful answer.
func (b *Balancer) recordSucceeded(r *Request, a *attempt, latency float64) {
	a.server.lastSuccess = b.now
	b.recordResult(r.Class, a.server, true)
	b.learnLatency(r, a, latency)
	b.learnPayoff(a.server, r.Class, r.payoffOfAnswer(latency), b.now, resultVariance)
	b.learnLimit(r, a.server, latency)
}

// learnLatency records the latency of an answer.
func (b *Balancer) learnLatency(r *Request, a *attempt, latency float64) {
	class, scores := r.class, &a.server.scores
	unloaded := latency / max(a.contention, 1) / max(r.relativeWork, minRelativeWork)
	class.unloadedLatencies.Add(unloaded)
	median := class.medianUnloadedLatency()
	scores.relativeLatency += relativeLatencySmoothing * (unloaded/median - scores.relativeLatency)
	class.latencies.Add(latency / max(r.relativeWork, minRelativeWork))
	b.traffic.latencies.Add(latency / max(r.relativeWork, minRelativeWork))
	class.learnBaseLatency(median)
}

// latencyObjective is that of the class; for a request with more work than the mean, it is scaled by the relative work.
func (r *Request) latencyObjective() float64 {
	return r.class.LatencyObjective * max(r.relativeWork, 1)
}

// payoffOfAnswer is the payoff of an answer with this latency in seconds.
func (r *Request) payoffOfAnswer(latency float64) float64 {
	if objective := r.latencyObjective(); latency <= objective {
		return 1 - latencyPenalty*latency/objective
	}
	return latePayoff
}
