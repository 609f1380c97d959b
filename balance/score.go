package balance

import "math"

// Payoffs are plain numbers: 1 for an answer at once, 0 for a failure.
const (
	temperature              = 0.1  // payoff; a server that is 0.23 worse is drawn a tenth as often
	keyTemperature           = 0.25 // payoff, for requests with a key: a passing dip of a payoff must not move keys
	relativeLatencySmoothing = 0.1  // part that one answer replaces
	resultNoise              = 1.0  // chance in one payoff, over the usual square of what one server differs by
	gossipNoise              = 10.0 // the same in a payoff that a peer tells
	estimateLifetime         = 10.0 // s until an estimate that hears nothing has lost most of its weight
	modelEstimateLifetime    = 60.0 // s, the same for a machine model
	latencyPenalty           = 0.4  // payoff that an answer loses by using its whole latency objective
	latePayoff               = 0.3  // payoff of an answer after its latency objective
	rejectedKeyPayoff        = 0.5  // payoff of a rejected attempt that may have been cached, in a fleet that gossips
)

// The estimates of a server: of the fleet, of its machine model and its own. In a fleet that gossips a fourth one is of
// a class there.
const (
	modelEstimate    = 1
	ownEstimate      = 2
	generalEstimates = 3 // how many there are
)

// estimate is by how much the payoff of a group of servers differs from what else is known of them. It fades with time.
type estimate struct {
	payoff     float64
	confidence float64 // from 0 to 1
	updatedAt  float64
	lifetime   float64 // s
}

// remaining is the part of the estimate that has not faded.
func (e *estimate) remaining(now float64) float64 { return math.Exp((e.updatedAt - now) / e.lifetime) }

// payoffAt is what is left of the payoff.
func (e *estimate) payoffAt(now float64) float64 { return e.payoff * e.remaining(now) }

// fade brings the estimate to the present.
func (e *estimate) fade(now float64) {
	e.payoff, e.confidence, e.updatedAt = e.payoffAt(now), e.confidence*e.remaining(now), now
}

// sharedEstimates are those that servers have in common.
type sharedEstimates struct {
	fleet  *estimate
	models []*model // by Endpoint.Model
}

// model returns the machine model of an index, a new one if need be.
func (e *sharedEstimates) model(index int) *model {
	for len(e.models) <= index {
		e.models = append(e.models, &model{estimate: estimate{lifetime: modelEstimateLifetime}})
	}
	return e.models[index]
}

// serverScores are what attempts at a server were worth, and what they took.
type serverScores struct {
	general         []*estimate   // that bear on all classes; see modelEstimate and ownEstimate
	byClass         [][]*estimate // that bear on a class, the last on rejections
	observations    []observation // the last of each class, and of rejections
	relativeLatency float64       // over the usual for the same work, smoothed
}

// observation is one with the time when it was made.
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

// payoffOf is the payoff expected of a server. An estimate that hears nothing fades, so that the payoff returns to that
// of servers alike.
func (b *Balancer) payoffOf(s *server, class int) float64 {
	payoff := 1.0
	for _, e := range s.scores.byClass[class] {
		payoff += e.payoffAt(b.now)
	}
	return payoff
}

// learnPayoff takes in what an attempt at a server was worth at a time; noise is the chance in it. The surprise is
// divided between the server, its model and the fleet by how little is known of each: one proxy of many hears too
// seldom from one server, but often enough of its like.
func (b *Balancer) learnPayoff(s *server, class int, payoff, at, noise float64) {
	s.scores.observations[class] = observation{Observation{Class: class, Value: payoff}, at}
	surprise, total := payoff-b.payoffOf(s, class), noise
	estimates := s.scores.byClass[class]
	for _, e := range estimates {
		e.fade(b.now)
		total += 1 - e.confidence
	}
	for _, e := range estimates {
		part := (1 - e.confidence) / total
		e.payoff += part * surprise
		e.confidence += part * (1 - e.confidence)
	}
}

// rejectionClass stands for a class where rejections are learned.
func (b *Balancer) rejectionClass() int { return len(b.classes) }

// recordOutcome learns from how an attempt ended.
func (b *Balancer) recordOutcome(r *Request, a *attempt, outcome Outcome, latency float64) {
	switch outcome {
	case Canceled:
		b.recordCanceled(r, a)
	case NotSent, InvalidRequest: // these say nothing of the server
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

// recordCanceled counts the time of an overdue attempt: if only answers counted, the slowest class would look as fast
// as its luckiest answers.
func (b *Balancer) recordCanceled(r *Request, a *attempt) {
	if a.overdue {
		r.class.latencies.Add((b.now - a.sentAt) / max(r.relativeWork, minRelativeWork))
	}
}

// recordRejected learns from a full server. It is no broken one: its breakers stay as they are.
func (b *Balancer) recordRejected(r *Request, a *attempt) {
	// An attempt that is rejected at once uses up as much capacity as one that is served: else hundreds a second would
	// pass.
	b.concurrency.credit -= max(r.class.medianLatency()-(b.now-a.sentAt), 0)
	cut, payoff := rejectionCut, 0.0
	if b.deployment.Gossip {
		cut = gossipRejectionCut
	}
	// While everything is crowded, rejections would outweigh all else that payoffs tell of cached keys.
	if b.deployment.Gossip && b.cacheAffine(r) {
		payoff = rejectedKeyPayoff
	}
	b.moveLimits(a.server, cut, 1)
	b.learnPayoff(a.server, b.rejectionClass(), payoff, b.now, resultNoise)
}

// recordFailed learns from a failure.
func (b *Balancer) recordFailed(r *Request, a *attempt) {
	b.recordResult(r.Class, a.server, false)
	b.learnPayoff(a.server, r.Class, 0, b.now, resultNoise)
}

// recordSucceeded learns from an answer.
func (b *Balancer) recordSucceeded(r *Request, a *attempt, latency float64) {
	a.server.lastSuccess = b.now
	b.recordResult(r.Class, a.server, true)
	b.learnLatency(r, a, latency)
	b.learnPayoff(a.server, r.Class, r.payoffOfAnswer(latency), b.now, resultNoise)
	b.learnLimit(r, a.server, latency)
}

// learnLatency takes in what an answer took.
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

// latencyObjective is that of the class, longer for a request of much work.
func (r *Request) latencyObjective() float64 {
	return r.class.LatencyObjective * max(r.relativeWork, 1)
}

// payoffOfAnswer is what an answer after this time is worth.
func (r *Request) payoffOfAnswer(latency float64) float64 {
	if objective := r.latencyObjective(); latency <= objective {
		return 1 - latencyPenalty*latency/objective
	}
	return latePayoff
}
