package balance

import "lockloom/internal/histogram"

// Checkpoint returns the stored form of the balancer and of the given requests, by the same keys. It does not change
// the balancer.
func (b *Balancer) Checkpoint(requests map[uint64]*Request) (*Checkpoint, map[uint64]*RequestCheckpoint) {
	w := newCheckpointWriter(b)
	stored := make(map[uint64]*RequestCheckpoint, len(requests))
	for key, request := range requests {
		stored[key] = w.request(request)
	}
	return w.checkpoint, stored
}

// checkpointWriter converts a balancer to its stored form. Its maps ensure that a value to which several others point
// is converted only once.
type checkpointWriter struct {
	balancer   *Balancer
	checkpoint *Checkpoint
	estimates  map[*estimate]*checkpointEstimate
	models     map[*model]*checkpointModel
	servers    map[*server]*checkpointServer
	requests   map[*Request]*RequestCheckpoint
}

func newCheckpointWriter(b *Balancer) *checkpointWriter {
	w := &checkpointWriter{
		balancer:   b,
		checkpoint: b.scalars(),
		estimates:  map[*estimate]*checkpointEstimate{},
		models:     map[*model]*checkpointModel{},
		servers:    map[*server]*checkpointServer{},
		requests:   map[*Request]*RequestCheckpoint{},
	}
	c := w.checkpoint
	c.fleet = w.estimate(b.estimates.fleet)
	for _, m := range b.estimates.models {
		c.models = append(c.models, w.model(m))
	}
	for i := range b.classes {
		c.classes = append(c.classes, b.classes[i].checkpoint(&c.latencies))
	}
	for _, s := range b.servers {
		c.servers = append(c.servers, w.server(s))
	}
	for i := range b.selection.candidates {
		c.candidates = append(c.candidates, w.candidate(&b.selection.candidates[i]))
	}
	for _, r := range b.queue.requests {
		c.queue = append(c.queue, w.request(r))
	}
	return w
}

// scalars returns a Checkpoint without classes, estimates, models, servers, requests and candidates.
func (b *Balancer) scalars() *Checkpoint {
	return &Checkpoint{
		deployment:      b.deployment,
		random:          b.random,
		now:             b.now,
		inFlight:        b.concurrency.inFlight,
		capacity:        b.concurrency.capacity,
		admitted:        b.selection.admitted,
		keys:            b.traffic.keys,
		latencies:       b.traffic.latencies,
		meanPriority:    b.traffic.priority,
		arrivals:        b.traffic.arrivals,
		arrivalInterval: b.traffic.interval,
		lastArrival:     b.traffic.lastArrival,
		failureShare:    b.failures.share,
		sendInterval:    b.queue.sendInterval,
		lastSend:        b.queue.lastSend,
		credit:          b.concurrency.credit,
		pollDelay:       b.endpoints.delay,
		pollAt:          b.endpoints.pollAt,
		dispatchAt:      b.queue.dispatchAt,
		lastLoadReport:  b.loadReports.lastReport,
		utilization:     b.concurrency.utilization,
		latencyHeadroom: b.loadReports.latencyHeadroom,
		healthChecks:    b.loadReports.healthCheckBudget,
		gossip:          b.gossip.budget,
		peerRate:        b.gossip.peerRate,
		gossipReceived:  b.gossip.received,
		idleCheckAt:     b.endpoints.idleCheckAt,
		budgetShare:     b.process.budgetShare,
		delayFactor:     b.process.delayFactor,
		localDelay:      b.process.localDelay,
		limitGrowth:     b.concurrency.growth,
	}
}

func (c *classState) checkpoint(all *histogram.Times) checkpointClass {
	return checkpointClass{
		class:             c.Class,
		latencies:         c.latencies,
		unloadedLatencies: c.unloadedLatencies,
		meanWork:          c.meanWork,
		baseLatency:       c.baseLatency,
		all:               all,
	}
}

func (w *checkpointWriter) estimate(e *estimate) *checkpointEstimate {
	if stored := w.estimates[e]; stored != nil {
		return stored
	}
	stored := &checkpointEstimate{
		payoff:     e.payoff,
		confidence: e.confidence,
		updatedAt:  e.updatedAt,
		lifetime:   e.lifetime,
	}
	w.estimates[e] = stored
	return stored
}

// model converts a machine model. Pointers to its estimate then refer to the copy that is embedded in the stored model.
func (w *checkpointWriter) model(m *model) *checkpointModel {
	if stored := w.models[m]; stored != nil {
		return stored
	}
	stored := &checkpointModel{
		estimate:    *w.estimate(&m.estimate),
		inFlight:    m.inFlight,
		utilization: m.utilization,
		reports:     m.reports,
		cores:       m.cores,
	}
	w.models[m] = stored
	w.estimates[&m.estimate] = &stored.estimate
	return stored
}

func (w *checkpointWriter) server(s *server) *checkpointServer {
	if s == nil {
		return nil
	}
	if stored := w.servers[s]; stored != nil {
		return stored
	}
	stored := &checkpointServer{
		endpoint:        s.Endpoint,
		breaker:         s.breaker.checkpoint(),
		model:           w.model(s.model),
		general:         w.estimateList(s.scores.general),
		relativeLatency: s.scores.relativeLatency,
		lastSuccess:     s.lastSuccess,
		drained:         s.drained,
		lastUsed:        s.lastUsed,
		reportedLoad:    s.load.inFlight,
		reportedAt:      s.load.at,
		sentSince:       s.load.sentSince,
		minLimit:        s.limit.minimum,
		limit:           s.limit.value,
		budget:          s.slowStart.tokens,
		budgetAt:        s.slowStart.refilledAt,
	}
	w.servers[s] = stored
	for i := range s.classBreakers {
		stored.classBreakers = append(stored.classBreakers, s.classBreakers[i].checkpoint())
	}
	for _, list := range s.scores.byClass {
		stored.byClass = append(stored.byClass, w.estimateList(list))
	}
	for _, o := range s.scores.observations {
		stored.observations = append(stored.observations, checkpointObservation{o.Observation, o.at})
	}
	return stored
}

func (w *checkpointWriter) estimateList(list []*estimate) []*checkpointEstimate {
	stored := make([]*checkpointEstimate, len(list))
	for i, e := range list {
		stored[i] = w.estimate(e)
	}
	return stored
}

func (br *breaker) checkpoint() checkpointBreaker {
	return checkpointBreaker{
		tracked:     br.tracked,
		paused:      br.paused,
		failures:    br.failures,
		results:     br.results,
		windowStart: br.windowStart,
		lastResult:  br.lastResult,
		cooldown:    br.cooldown,
		inFlight:    br.inFlight,
	}
}

func (w *checkpointWriter) candidate(c *candidate) checkpointCandidate {
	return checkpointCandidate{
		server:   w.server(c.server),
		score:    c.score,
		load:     c.load,
		crowding: c.crowding,
		capacity: c.capacity,
	}
}

func (w *checkpointWriter) request(r *Request) *RequestCheckpoint {
	if stored := w.requests[r]; stored != nil {
		return stored
	}
	stored := &RequestCheckpoint{
		info:         r.RequestInfo,
		balancer:     w.checkpoint,
		class:        &w.checkpoint.classes[r.Class],
		arrivedAt:    r.arrivedAt,
		inFlight:     r.inFlight,
		finished:     r.finished,
		queued:       r.queued,
		relativeWork: r.relativeWork,
		priority:     r.priority,
		placement:    r.placement,
	}
	w.requests[r] = stored
	for i := range r.attempts {
		stored.attempts = append(stored.attempts, w.attempt(&r.attempts[i]))
	}
	return stored
}

func (w *checkpointWriter) attempt(a *attempt) checkpointAttempt {
	return checkpointAttempt{
		server:        w.server(a.server),
		pod:           a.pod,
		zone:          a.zone,
		sentAt:        a.sentAt,
		contention:    a.contention,
		inFlight:      a.inFlight,
		neverRan:      a.neverRan,
		started:       a.started,
		overdue:       a.overdue,
		released:      a.released,
		connectFailed: a.connectFailed,
	}
}
