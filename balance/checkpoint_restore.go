package balance

// Restore returns the balancer and the requests from which the Checkpoint was made. It returns a *CheckpointError if a
// value is missing or refers to one that the Checkpoint does not contain.
func (c *Checkpoint) Restore(requests map[uint64]*RequestCheckpoint) (*Balancer, map[uint64]*Request, error) {
	r := &checkpointReader{
		checkpoint: c,
		balancer:   c.balancer(),
		estimates:  map[*checkpointEstimate]*estimate{},
		models:     map[*checkpointModel]*model{},
		servers:    map[*checkpointServer]*server{},
		requests:   map[*RequestCheckpoint]*Request{},
	}
	if err := r.restore(); err != nil {
		return nil, nil, err
	}
	restored := make(map[uint64]*Request, len(requests))
	for key, stored := range requests {
		request, err := r.request(stored)
		if err != nil {
			return nil, nil, err
		}
		restored[key] = request
	}
	return r.balancer, restored, nil
}

// checkpointReader builds a balancer from its stored form. Its maps ensure that a value to which several others point
// is built only once.
type checkpointReader struct {
	checkpoint *Checkpoint
	balancer   *Balancer
	estimates  map[*checkpointEstimate]*estimate
	models     map[*checkpointModel]*model
	servers    map[*checkpointServer]*server
	requests   map[*RequestCheckpoint]*Request
}

// balancer returns a Balancer without classes, estimates, models, servers, requests and candidates.
func (c *Checkpoint) balancer() *Balancer {
	return &Balancer{
		deployment: c.deployment,
		random:     c.random,
		now:        c.now,
		traffic: trafficStats{
			keys:        c.keys,
			latencies:   c.latencies,
			priority:    c.meanPriority,
			arrivals:    c.arrivals,
			interval:    c.arrivalInterval,
			lastArrival: c.lastArrival,
		},
		queue: requestQueue{
			sendInterval: c.sendInterval,
			lastSend:     c.lastSend,
			dispatchAt:   c.dispatchAt,
		},
		failures: failureStats{
			share: c.failureShare,
		},
		concurrency: concurrencyStats{
			inFlight:    c.inFlight,
			capacity:    c.capacity,
			credit:      c.credit,
			utilization: c.utilization,
			growth:      c.limitGrowth,
		},
		selection: selectionState{
			admitted: c.admitted,
		},
		endpoints: endpointPoller{
			delay:       c.pollDelay,
			pollAt:      c.pollAt,
			idleCheckAt: c.idleCheckAt,
		},
		loadReports: loadReportStats{
			lastReport:        c.lastLoadReport,
			latencyHeadroom:   c.latencyHeadroom,
			healthCheckBudget: c.healthChecks,
		},
		gossip: gossipState{
			budget:   c.gossip,
			peerRate: c.peerRate,
			received: c.gossipReceived,
		},
		process: processState{
			budgetShare: c.budgetShare,
			delayFactor: c.delayFactor,
			localDelay:  c.localDelay,
		},
	}
}

func (r *checkpointReader) restore() error {
	c, b := r.checkpoint, r.balancer
	if len(c.classes) == 0 {
		return &CheckpointError{"no classes"}
	}
	if c.fleet == nil {
		return &CheckpointError{"no estimate of the fleet"}
	}
	b.estimates.fleet = r.estimate(c.fleet)
	if err := r.restoreClasses(); err != nil {
		return err
	}
	for _, stored := range c.models {
		if stored == nil {
			return &CheckpointError{"a machine model is nil"}
		}
		b.estimates.models = append(b.estimates.models, r.model(stored))
	}
	for _, stored := range c.servers {
		if stored == nil { // no server has this index
			b.servers = append(b.servers, nil)
			continue
		}
		s, err := r.server(stored)
		if err != nil {
			return err
		}
		b.servers = append(b.servers, s)
	}
	return r.restoreQueue()
}

func (r *checkpointReader) restoreClasses() error {
	c, b := r.checkpoint, r.balancer
	for i := range c.classes {
		stored := &c.classes[i]
		if stored.all != &c.latencies {
			return &CheckpointError{"class " + stored.class.Name + " does not refer to the latencies of all classes"}
		}
		b.classes = append(b.classes, classState{
			Class:             stored.class,
			latencies:         stored.latencies,
			unloadedLatencies: stored.unloadedLatencies,
			meanWork:          stored.meanWork,
			baseLatency:       stored.baseLatency,
			allLatencies:      &b.traffic.latencies,
		})
	}
	return nil
}

// restoreQueue restores the queued requests and the candidates of the last selection of a server.
func (r *checkpointReader) restoreQueue() error {
	c, b := r.checkpoint, r.balancer
	for i := range c.candidates {
		stored := &c.candidates[i]
		s, err := r.server(stored.server)
		if err != nil {
			return err
		}
		b.selection.candidates = append(b.selection.candidates, candidate{
			server:   s,
			score:    stored.score,
			load:     stored.load,
			crowding: stored.crowding,
			capacity: stored.capacity,
		})
	}
	for _, stored := range c.queue {
		request, err := r.request(stored)
		if err != nil {
			return err
		}
		b.queue.requests = append(b.queue.requests, request)
	}
	return nil
}

func (r *checkpointReader) estimate(stored *checkpointEstimate) *estimate {
	if e := r.estimates[stored]; e != nil {
		return e
	}
	e := &estimate{
		payoff:     stored.payoff,
		confidence: stored.confidence,
		updatedAt:  stored.updatedAt,
		lifetime:   stored.lifetime,
	}
	r.estimates[stored] = e
	return e
}

func (r *checkpointReader) model(stored *checkpointModel) *model {
	if m := r.models[stored]; m != nil {
		return m
	}
	m := &model{
		estimate:    *r.estimate(&stored.estimate),
		inFlight:    stored.inFlight,
		utilization: stored.utilization,
		reports:     stored.reports,
		cores:       stored.cores,
	}
	r.models[stored] = m
	r.estimates[&stored.estimate] = &m.estimate
	return m
}

func (r *checkpointReader) server(stored *checkpointServer) (*server, error) {
	if stored == nil {
		return nil, &CheckpointError{"an attempt or a candidate has no server"}
	}
	if s := r.servers[stored]; s != nil {
		return s, nil
	}
	classes := len(r.checkpoint.classes)
	if stored.model == nil || len(stored.general) != generalEstimates || len(stored.byClass) != classes+1 ||
		len(stored.classBreakers) != classes || len(stored.observations) != classes+1 {
		return nil, &CheckpointError{"a server has no model, or a wrong number of breakers, estimates or observations"}
	}
	s := &server{
		Endpoint:    stored.endpoint,
		breaker:     stored.breaker.breaker(),
		model:       r.model(stored.model),
		scores:      serverScores{relativeLatency: stored.relativeLatency},
		limit:       concurrencyLimit{value: stored.limit, minimum: stored.minLimit},
		load:        reportedLoad{inFlight: stored.reportedLoad, at: stored.reportedAt, sentSince: stored.sentSince},
		slowStart:   slowStartBudget{tokens: stored.budget, refilledAt: stored.budgetAt},
		lastSuccess: stored.lastSuccess,
		lastUsed:    stored.lastUsed,
		drained:     stored.drained,
	}
	r.servers[stored] = s
	for i := range stored.classBreakers {
		s.classBreakers = append(s.classBreakers, stored.classBreakers[i].breaker())
	}
	for _, o := range stored.observations {
		s.scores.observations = append(s.scores.observations, observation{o.observation, o.at})
	}
	return s, r.restoreEstimates(s, stored)
}

func (r *checkpointReader) restoreEstimates(s *server, stored *checkpointServer) error {
	var err error
	if s.scores.general, err = r.estimateList(stored.general); err != nil {
		return err
	}
	for _, list := range stored.byClass {
		estimates, err := r.estimateList(list)
		if err != nil {
			return err
		}
		s.scores.byClass = append(s.scores.byClass, estimates)
	}
	return nil
}

func (r *checkpointReader) estimateList(stored []*checkpointEstimate) ([]*estimate, error) {
	list := make([]*estimate, len(stored))
	for i, e := range stored {
		if e == nil {
			return nil, &CheckpointError{"an estimate of a server is nil"}
		}
		list[i] = r.estimate(e)
	}
	return list, nil
}

func (stored *checkpointBreaker) breaker() breaker {
	return breaker{
		tracked:     stored.tracked,
		paused:      stored.paused,
		failures:    stored.failures,
		results:     stored.results,
		windowStart: stored.windowStart,
		lastResult:  stored.lastResult,
		cooldown:    stored.cooldown,
		inFlight:    stored.inFlight,
	}
}

func (r *checkpointReader) request(stored *RequestCheckpoint) (*Request, error) {
	if stored == nil {
		return nil, &CheckpointError{"a request is nil"}
	}
	if request := r.requests[stored]; request != nil {
		return request, nil
	}
	c, class := r.checkpoint, stored.info.Class
	if stored.balancer != c || class < 0 || class >= len(c.classes) || stored.class != &c.classes[class] {
		return nil, &CheckpointError{"a request refers to another balancer or to an unknown class"}
	}
	request := &Request{
		RequestInfo:  stored.info,
		balancer:     r.balancer,
		class:        &r.balancer.classes[class],
		arrivedAt:    stored.arrivedAt,
		inFlight:     stored.inFlight,
		finished:     stored.finished,
		queued:       stored.queued,
		relativeWork: stored.relativeWork,
		priority:     stored.priority,
		placement:    stored.placement,
	}
	r.requests[stored] = request
	for i := range stored.attempts {
		a := &stored.attempts[i]
		s, err := r.server(a.server)
		if err != nil {
			return nil, err
		}
		request.attempts = append(request.attempts, a.attempt(s))
	}
	return request, nil
}

func (a *checkpointAttempt) attempt(s *server) attempt {
	return attempt{
		server:        s,
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
