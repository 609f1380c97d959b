package balance

import (
	"lockloom/internal/histogram"
	"lockloom/internal/pcg"
)

// A capture begins with the complete state of a balancer, so that a replay can start in the middle of its life. The
// types of this file are that stored form. internal/graphcodec writes them by memory layout: the order and the types
// of their fields are published, so a field that is not stored any more stays as a blank one. The state that the
// decisions work on may change freely, as long as it can be converted to this form and back.

// Checkpoint is the stored form of a Balancer. It shares no memory with the balancer.
type Checkpoint struct {
	deployment      Deployment
	random          pcg.Rand
	now             float64
	servers         []*checkpointServer
	classes         []checkpointClass
	waiting         []*RequestCheckpoint
	candidates      []checkpointCandidate
	_               []float64
	_               Actions
	inFlight        int
	capacity        float64
	admitted        float64
	keys            histogram.Shares
	latencies       histogram.Times
	usualPriority   float64
	arrivals        float64
	arrivalInterval float64
	lastArrival     float64
	fleet           *checkpointEstimate
	models          []*checkpointModel
	failureShare    float64
	sendInterval    float64
	lastSend        float64
	credit          float64
	pollDelay       float64
	pollAt          float64
	dispatchAt      float64
	lastLoadReport  float64
	utilization     float64
	latencyHeadroom float64
	healthChecks    float64
	gossip          float64
	peerRate        float64
	gossipReceived  float64
	_               GossipMessage
	idleCheckAt     float64
	budgetShare     float64
	attemptStretch  float64
	localDelay      float64
	limitGrowth     float64
}

// RequestCheckpoint is the stored form of a Request.
type RequestCheckpoint struct {
	info         RequestInfo
	balancer     *Checkpoint
	class        *checkpointClass
	arrivedAt    float64
	attempts     []checkpointAttempt
	inFlight     int
	over         bool
	waiting      bool
	relativeWork float64
	priority     float64
	placement    uint64
}

type checkpointAttempt struct {
	server      *checkpointServer
	pod         int
	zone        int
	sentAt      float64
	contention  float64
	inFlight    bool
	neverRan    bool
	started     bool
	overdue     bool
	uncounted   bool
	unreachable bool
}

type checkpointClass struct {
	class       Class
	latencies   histogram.Times
	unloaded    histogram.Times
	meanWork    float64
	baseLatency float64
	all         *histogram.Times
}

type checkpointServer struct {
	endpoint        Endpoint
	breaker         checkpointBreaker
	classBreakers   []checkpointBreaker
	model           *checkpointModel
	shared          []*checkpointEstimate
	byClass         [][]*checkpointEstimate
	relativeLatency float64
	lastSuccess     float64
	drained         bool
	lastUsed        float64
	observations    []checkpointObservation
	reportedLoad    float64
	reportedAt      float64
	sentSince       int
	minLimit        float64
	limit           float64
	budget          float64
	budgetAt        float64
}

type checkpointBreaker struct {
	tracked     bool
	paused      bool
	failures    int
	results     int
	windowStart float64
	lastResult  float64
	cooldown    float64
	inFlight    int
}

type checkpointObservation struct {
	observation Observation
	at          float64
}

type checkpointEstimate struct {
	payoff     float64
	confidence float64
	updatedAt  float64
	lifetime   float64
}

type checkpointModel struct {
	estimate    checkpointEstimate
	inFlight    float64
	utilization float64
	reports     float64
	cores       float64
}

type checkpointCandidate struct {
	server   *checkpointServer
	score    float64
	load     float64
	crowding float64
	capacity float64
}

// CheckpointError says why a Checkpoint cannot be restored: something in it refers to what it does not hold.
type CheckpointError struct {
	Reference string // what holds the dangling reference
}

func (e *CheckpointError) Error() string {
	return "checkpoint: dangling reference of " + e.Reference
}

// Checkpoint returns the stored form of the balancer and of the given requests, by the same keys. It changes nothing.
func (b *Balancer) Checkpoint(requests map[uint64]*Request) (*Checkpoint, map[uint64]*RequestCheckpoint) {
	w := newCheckpointWriter(b)
	stored := make(map[uint64]*RequestCheckpoint, len(requests))
	for key, request := range requests {
		stored[key] = w.request(request)
	}
	return w.checkpoint, stored
}

// checkpointWriter converts a balancer, each value that several others point to once.
type checkpointWriter struct {
	balancer   *Balancer
	checkpoint *Checkpoint
	estimates  map[*opinion]*checkpointEstimate
	models     map[*model]*checkpointModel
	servers    map[*server]*checkpointServer
	requests   map[*Request]*RequestCheckpoint
}

func newCheckpointWriter(b *Balancer) *checkpointWriter {
	w := &checkpointWriter{
		balancer:   b,
		checkpoint: b.scalars(),
		estimates:  map[*opinion]*checkpointEstimate{},
		models:     map[*model]*checkpointModel{},
		servers:    map[*server]*checkpointServer{},
		requests:   map[*Request]*RequestCheckpoint{},
	}
	c := w.checkpoint
	c.fleet = w.estimate(b.fleet)
	for _, m := range b.models {
		c.models = append(c.models, w.model(m))
	}
	for i := range b.rows {
		c.classes = append(c.classes, b.rows[i].checkpoint(&c.latencies))
	}
	for _, s := range b.servers {
		c.servers = append(c.servers, w.server(s))
	}
	for i := range b.cands {
		c.candidates = append(c.candidates, w.candidate(&b.cands[i]))
	}
	for _, r := range b.held {
		c.waiting = append(c.waiting, w.request(r))
	}
	return w
}

// scalars is a Checkpoint with all that refers to nothing else.
func (b *Balancer) scalars() *Checkpoint {
	return &Checkpoint{
		deployment:      b.d,
		random:          b.chance,
		now:             b.now,
		inFlight:        b.out,
		capacity:        b.room,
		admitted:        b.servable,
		keys:            b.keys,
		latencies:       b.all,
		usualPriority:   b.usual,
		arrivals:        b.lookups,
		arrivalInterval: b.gap,
		lastArrival:     b.lastTake,
		failureShare:    b.failShare,
		sendInterval:    b.pace,
		lastSend:        b.lastSend,
		credit:          b.credit,
		pollDelay:       b.askPause,
		pollAt:          b.askAt,
		dispatchAt:      b.pumpAt,
		lastLoadReport:  b.seenAt,
		utilization:     b.fill,
		latencyHeadroom: b.ease,
		healthChecks:    b.asks,
		gossip:          b.tells,
		peerRate:        b.peerRate,
		gossipReceived:  b.notes,
		idleCheckAt:     b.tidyAt,
		budgetShare:     b.part,
		attemptStretch:  b.slack,
		localDelay:      b.lag,
		limitGrowth:     b.gain,
	}
}

func (r *row) checkpoint(all *histogram.Times) checkpointClass {
	return checkpointClass{
		class:       r.Class,
		latencies:   r.times,
		unloaded:    r.alone,
		meanWork:    r.work,
		baseLatency: r.base,
		all:         all,
	}
}

func (w *checkpointWriter) estimate(o *opinion) *checkpointEstimate {
	if stored := w.estimates[o]; stored != nil {
		return stored
	}
	stored := &checkpointEstimate{payoff: o.pay, confidence: o.sure, updatedAt: o.heard, lifetime: o.lasts}
	w.estimates[o] = stored
	return stored
}

// model makes the estimate a part of the model, as it is in the balancer.
func (w *checkpointWriter) model(m *model) *checkpointModel {
	if stored := w.models[m]; stored != nil {
		return stored
	}
	stored := &checkpointModel{
		estimate:    *w.estimate(&m.opinion),
		inFlight:    m.held,
		utilization: m.busy,
		reports:     m.told,
		cores:       m.least,
	}
	w.models[m] = stored
	w.estimates[&m.opinion] = &stored.estimate
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
		model:           w.model(s.like),
		shared:          w.estimateList(s.opinions),
		relativeLatency: s.pace,
		lastSuccess:     s.served,
		drained:         s.drained,
		lastUsed:        s.used,
		reportedLoad:    s.told,
		reportedAt:      s.toldAt,
		sentSince:       s.since,
		minLimit:        s.least,
		limit:           s.limit,
		budget:          s.bucket,
		budgetAt:        s.flowed,
	}
	w.servers[s] = stored
	for i := range s.tariffs {
		stored.classBreakers = append(stored.classBreakers, s.tariffs[i].checkpoint())
	}
	for _, view := range s.views {
		stored.byClass = append(stored.byClass, w.estimateList(view))
	}
	for _, o := range s.sights {
		stored.observations = append(stored.observations, checkpointObservation{o.Observation, o.at})
	}
	return stored
}

func (w *checkpointWriter) estimateList(list []*opinion) []*checkpointEstimate {
	stored := make([]*checkpointEstimate, len(list))
	for i, o := range list {
		stored[i] = w.estimate(o)
	}
	return stored
}

func (s *breaker) checkpoint() checkpointBreaker {
	return checkpointBreaker{
		tracked:     s.tracked,
		paused:      s.paused,
		failures:    s.errCount,
		results:     s.totalCount,
		windowStart: s.roundLast,
		lastResult:  s.accessLast,
		cooldown:    s.cooldown,
		inFlight:    s.inFlight,
	}
}

func (w *checkpointWriter) candidate(c *cand) checkpointCandidate {
	return checkpointCandidate{
		server:   w.server(c.s),
		score:    c.score,
		load:     c.load,
		crowding: c.crowd,
		capacity: c.bears,
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
		arrivedAt:    r.taken,
		inFlight:     r.out,
		over:         r.over,
		waiting:      r.isHeld,
		relativeWork: r.heavy,
		priority:     r.priority,
		placement:    r.place,
	}
	w.requests[r] = stored
	for i := range r.legs {
		stored.attempts = append(stored.attempts, w.attempt(&r.legs[i]))
	}
	return stored
}

func (w *checkpointWriter) attempt(a *leg) checkpointAttempt {
	return checkpointAttempt{
		server:      w.server(a.s),
		pod:         a.pod,
		zone:        a.zone,
		sentAt:      a.sent,
		contention:  a.crowd,
		inFlight:    a.out,
		neverRan:    a.neverRan,
		started:     a.started,
		overdue:     a.counted,
		uncounted:   a.unloaded,
		unreachable: a.noRoute,
	}
}

// Restore builds the balancer and its requests that a Checkpoint was made of. It returns a *CheckpointError where the
// Checkpoint refers to what it does not hold.
func (c *Checkpoint) Restore(requests map[uint64]*RequestCheckpoint) (*Balancer, map[uint64]*Request, error) {
	r := &checkpointReader{
		checkpoint: c,
		balancer:   c.balancer(),
		estimates:  map[*checkpointEstimate]*opinion{},
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

// checkpointReader builds a balancer, each value that several others point to once.
type checkpointReader struct {
	checkpoint *Checkpoint
	balancer   *Balancer
	estimates  map[*checkpointEstimate]*opinion
	models     map[*checkpointModel]*model
	servers    map[*checkpointServer]*server
	requests   map[*RequestCheckpoint]*Request
}

// balancer has all that refers to nothing else.
func (c *Checkpoint) balancer() *Balancer {
	return &Balancer{
		d:         c.deployment,
		chance:    c.random,
		now:       c.now,
		out:       c.inFlight,
		room:      c.capacity,
		servable:  c.admitted,
		keys:      c.keys,
		all:       c.latencies,
		usual:     c.usualPriority,
		lookups:   c.arrivals,
		gap:       c.arrivalInterval,
		lastTake:  c.lastArrival,
		failShare: c.failureShare,
		pace:      c.sendInterval,
		lastSend:  c.lastSend,
		credit:    c.credit,
		askPause:  c.pollDelay,
		askAt:     c.pollAt,
		pumpAt:    c.dispatchAt,
		seenAt:    c.lastLoadReport,
		fill:      c.utilization,
		ease:      c.latencyHeadroom,
		asks:      c.healthChecks,
		tells:     c.gossip,
		peerRate:  c.peerRate,
		notes:     c.gossipReceived,
		tidyAt:    c.idleCheckAt,
		part:      c.budgetShare,
		slack:     c.attemptStretch,
		lag:       c.localDelay,
		gain:      c.limitGrowth,
	}
}

func (r *checkpointReader) restore() error {
	c, b := r.checkpoint, r.balancer
	if len(c.classes) == 0 {
		return &CheckpointError{"the balancer: no class"}
	}
	if c.fleet == nil {
		return &CheckpointError{"the balancer: no estimate of the fleet"}
	}
	b.fleet = r.estimate(c.fleet)
	if err := r.restoreClasses(); err != nil {
		return err
	}
	for _, stored := range c.models {
		if stored == nil {
			return &CheckpointError{"a machine model"}
		}
		b.models = append(b.models, r.model(stored))
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
			return &CheckpointError{"class " + stored.class.Name + " to the latencies of all classes"}
		}
		b.rows = append(b.rows, row{
			Class: stored.class,
			times: stored.latencies,
			alone: stored.unloaded,
			work:  stored.meanWork,
			base:  stored.baseLatency,
			all:   &b.all,
		})
	}
	return nil
}

// restoreQueue restores the requests that wait and the candidates of the last draw.
func (r *checkpointReader) restoreQueue() error {
	c, b := r.checkpoint, r.balancer
	for i := range c.candidates {
		stored := &c.candidates[i]
		s, err := r.server(stored.server)
		if err != nil {
			return err
		}
		b.cands = append(b.cands, cand{
			s:     s,
			score: stored.score,
			load:  stored.load,
			crowd: stored.crowding,
			bears: stored.capacity,
		})
	}
	for _, stored := range c.waiting {
		request, err := r.request(stored)
		if err != nil {
			return err
		}
		b.held = append(b.held, request)
	}
	return nil
}

func (r *checkpointReader) estimate(stored *checkpointEstimate) *opinion {
	if o := r.estimates[stored]; o != nil {
		return o
	}
	o := &opinion{pay: stored.payoff, sure: stored.confidence, heard: stored.updatedAt, lasts: stored.lifetime}
	r.estimates[stored] = o
	return o
}

func (r *checkpointReader) model(stored *checkpointModel) *model {
	if m := r.models[stored]; m != nil {
		return m
	}
	m := &model{
		opinion: *r.estimate(&stored.estimate),
		held:    stored.inFlight,
		busy:    stored.utilization,
		told:    stored.reports,
		least:   stored.cores,
	}
	r.models[stored] = m
	r.estimates[&stored.estimate] = &m.opinion
	return m
}

func (r *checkpointReader) server(stored *checkpointServer) (*server, error) {
	if stored == nil {
		return nil, &CheckpointError{"an attempt or a candidate to its server"}
	}
	if s := r.servers[stored]; s != nil {
		return s, nil
	}
	classes := len(r.checkpoint.classes)
	if stored.model == nil || len(stored.shared) != 3 || len(stored.byClass) != classes+1 ||
		len(stored.classBreakers) != classes || len(stored.observations) != classes+1 {
		return nil, &CheckpointError{"a server to its classes, its machine model or its estimates"}
	}
	s := &server{
		Endpoint: stored.endpoint,
		breaker:  stored.breaker.breaker(),
		like:     r.model(stored.model),
		pace:     stored.relativeLatency,
		served:   stored.lastSuccess,
		drained:  stored.drained,
		used:     stored.lastUsed,
		told:     stored.reportedLoad,
		toldAt:   stored.reportedAt,
		since:    stored.sentSince,
		least:    stored.minLimit,
		limit:    stored.limit,
		bucket:   stored.budget,
		flowed:   stored.budgetAt,
	}
	r.servers[stored] = s
	for i := range stored.classBreakers {
		s.tariffs = append(s.tariffs, stored.classBreakers[i].breaker())
	}
	for _, o := range stored.observations {
		s.sights = append(s.sights, sight{o.observation, o.at})
	}
	return s, r.restoreEstimates(s, stored)
}

func (r *checkpointReader) restoreEstimates(s *server, stored *checkpointServer) error {
	var err error
	if s.opinions, err = r.estimateList(stored.shared); err != nil {
		return err
	}
	for _, list := range stored.byClass {
		estimates, err := r.estimateList(list)
		if err != nil {
			return err
		}
		s.views = append(s.views, estimates)
	}
	return nil
}

func (r *checkpointReader) estimateList(stored []*checkpointEstimate) ([]*opinion, error) {
	list := make([]*opinion, len(stored))
	for i, o := range stored {
		if o == nil {
			return nil, &CheckpointError{"a server to an estimate"}
		}
		list[i] = r.estimate(o)
	}
	return list, nil
}

func (s *checkpointBreaker) breaker() breaker {
	return breaker{
		tracked:    s.tracked,
		paused:     s.paused,
		errCount:   s.failures,
		totalCount: s.results,
		roundLast:  s.windowStart,
		accessLast: s.lastResult,
		cooldown:   s.cooldown,
		inFlight:   s.inFlight,
	}
}

func (r *checkpointReader) request(stored *RequestCheckpoint) (*Request, error) {
	if stored == nil {
		return nil, &CheckpointError{"the queue or the caller to a request"}
	}
	if request := r.requests[stored]; request != nil {
		return request, nil
	}
	c, class := r.checkpoint, stored.info.Class
	if stored.balancer != c || class < 0 || class >= len(c.classes) || stored.class != &c.classes[class] {
		return nil, &CheckpointError{"a request to its balancer or its class"}
	}
	request := &Request{
		RequestInfo: stored.info,
		b:           r.balancer,
		row:         &r.balancer.rows[class],
		taken:       stored.arrivedAt,
		out:         stored.inFlight,
		over:        stored.over,
		isHeld:      stored.waiting,
		heavy:       stored.relativeWork,
		priority:    stored.priority,
		place:       stored.placement,
	}
	r.requests[stored] = request
	for i := range stored.attempts {
		a := &stored.attempts[i]
		s, err := r.server(a.server)
		if err != nil {
			return nil, err
		}
		request.legs = append(request.legs, a.attempt(s))
	}
	return request, nil
}

func (a *checkpointAttempt) attempt(s *server) leg {
	return leg{
		s:        s,
		pod:      a.pod,
		zone:     a.zone,
		sent:     a.sentAt,
		crowd:    a.contention,
		out:      a.inFlight,
		neverRan: a.neverRan,
		started:  a.started,
		counted:  a.overdue,
		unloaded: a.uncounted,
		noRoute:  a.unreachable,
	}
}
