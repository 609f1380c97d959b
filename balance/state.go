package balance

import (
	"cmp"
	"math"
	"slices"

	"lockloom/internal/histogram"
	"lockloom/internal/pcg"
)

// Balancer decides for one proxy. It is not safe for concurrent use.
type Balancer struct {
	d               Deployment
	chance          pcg.Rand
	now             float64
	servers         []*server  // by Server.Index, nil where there is none
	rows            []row      // one a class
	held            []*Request // waiting with nothing out, by value, then by age
	cands           []cand     // scratch
	shares          []float64  // scratch
	orders          Actions
	out             int     // attempts in flight
	room            float64 // attempts all admitted servers bear, as of the last pick
	servable        float64 // servers admitted as of the last pick
	keys            histogram.Shares
	all             histogram.Times // what answers took, of all classes
	usual           float64         // priority of requests, smoothed
	lookups         float64         // taken
	gap, lastTake   float64         // s between requests taken; the last one
	fleet           *opinion
	models          []*model
	failShare       float64 // share of all results that were failures, smoothed
	pace, lastSend  float64 // s between sends while requests are held; the last one
	credit          float64 // attempts times seconds below the room, saved up
	askPause        float64
	askAt           float64 // when to ask the list again; +Inf: no need
	pumpAt          float64
	seenAt          float64       // when a server last told its load; 0: never
	fill, ease      float64       // of the room in use; latency objective over the usual time of a request alone, the least of the classes
	asks, tells     float64       // probes and notes saved up
	peerRate, notes float64       // requests a second of peers, smoothed; notes heard
	note            GossipMessage // scratch
	tidyAt          float64       // when to look for connections to close next
	part            float64       // of the proxy's own, while two of its processes decide
	slack, lag      float64       // see Slack
	gain            float64       // of limits, attempts a second, while over the usual: less with each cut
}

// row holds what differs by class.
type row struct {
	Class
	times histogram.Times
	alone histogram.Times  // the same over the crowd that shared the server
	work  float64          // mean hint, s
	base  float64          // the median when little waited, s
	all   *histogram.Times // of all classes
}

// median is what an answer of this class usually takes; while too little is known, a quarter of its latency objective. Danger: where that is long,
// the first request of a class would count as slow beyond all others, and wait for as long.
func (r *row) median() float64 {
	guess := r.LatencyObjective / 4
	if guess > guessMost {
		guess = min(r.all.Quantile(0.5, guess), guess)
	}
	return r.times.Quantile(0.5, guess)
}

// typical is what an answer of this request usually takes.
func (b *Balancer) typical(l *Request) float64 {
	return l.row.median() * max(l.heavy, 0.5)
}

// work is what an answer of this request usually takes where little waits; the base follows a fall of the median slowly.
func (b *Balancer) work(l *Request) float64 {
	return min(l.row.base, l.row.median()) * max(l.heavy, 0.5)
}

// warm says whether servers may be warm for this request.
func (b *Balancer) warm(l *Request) bool { return b.d.CacheAffinity && l.Key != 0 }

func (b *Balancer) cold(s *server) bool {
	return s.StartedAt > 0 && b.now < s.StartedAt+b.d.SlowStartDuration
}

// server is one server as this proxy knows it.
type server struct {
	Endpoint
	breaker                     // for requests of all classes
	tariffs        []breaker    // for those of one
	like           *model       // its machine's
	opinions       []*opinion   // of the fleet, its model and itself
	views          [][]*opinion // by class, the last of no room: these and, in a fleet that tells, that of the class there
	pace           float64      // smoothed time of its answers over the usual for their work
	served         float64      // when an attempt was successful last
	drained        bool         // the list told so since it started
	used           float64      // when an attempt ended last; 0: nothing is open
	sights         []sight      // the last of each class, and of no room
	told, toldAt   float64      // attempts of all proxies there, as it told last, and when
	since          int          // own attempts sent there since
	least          float64      // the limit's lower bound
	limit          float64      // attempts it bears from this proxy; below one, only some of the time
	bucket, flowed float64      // slow-start budget saved up, s of work; when it last flowed
}

// breaker is one row of the source's.
type breaker struct {
	tracked, paused       bool // the row exists; it is paused
	errCount, totalCount  int
	roundLast, accessLast float64
	cooldown              float64
	inFlight              int
}

// sight is one and when it was seen.
type sight struct {
	Observation
	at float64
}

// told is what a note tells: what was seen lately, the newest first.
func (b *Balancer) told() *GossipMessage {
	b.note = GossipMessage{Rate: 1 / max(b.gap, 1e-3), Observations: b.note.Observations[:0]}
	for _, s := range b.servers {
		if s == nil {
			continue
		}
		for _, t := range s.sights {
			if t.Age, t.NameHash = b.now-t.at, uint32(s.NameHash); t.at > 0 && t.Age < sightFor {
				b.note.Observations = append(b.note.Observations, t.Observation)
			}
		}
		if age := b.now - s.toldAt; b.loads() && age < freshFor {
			b.note.Observations = append(b.note.Observations, Observation{NameHash: uint32(s.NameHash), Class: -1, Age: age, Value: s.told})
		}
	}
	slices.SortStableFunc(b.note.Observations, func(x, y Observation) int { return cmp.Compare(x.Age, y.Age) })
	return &b.note
}

// marked is the server with this mark, if it was up at that time already. Danger: what was seen of a server before it
// restarted under its name says nothing of it now.
func (b *Balancer) marked(mark uint32, at float64) *server {
	for _, s := range b.servers {
		if s != nil && uint32(s.NameHash) == mark && s.StartedAt <= at {
			return s
		}
	}
	return nil
}

// opinion is by how much the payoff of servers alike differs from what is else known of them.
type opinion struct{ pay, sure, heard, lasts float64 }

// model is what servers on machines alike have in common: an opinion, and what their reports tell.
type model struct {
	opinion
	held, busy, told float64 // attempts a server, share of its cores in use, both smoothed; reports
	least            float64 // of the first over the second, which is how many cores there are, where least waits; 0: not told
}

func (m *model) report(r LoadReport) {
	if r.Utilization < 0 {
		return
	}
	m.held += meanPart * (r.InFlight - m.held)
	m.busy += meanPart * (r.Utilization - m.busy)
	if m.told++; m.told > 1/meanPart && m.busy > meanPart && (m.least == 0 || m.held/m.busy < m.least) {
		m.least = m.held / m.busy
	}
}

// cores are a server's, as far as reports tell; else one is taken for granted.
func (m *model) cores() float64 { return max(m.least, 1) }

// attempts are those out at a server, overdue ones too.
func (s *server) legs() (n int) {
	for i := range s.tariffs {
		n += s.tariffs[i].inFlight
	}
	return n
}

// fade is the part of it that is not forgotten by now.
func (o *opinion) fade(now float64) float64 { return math.Exp((o.heard - now) / o.lasts) }

// at is what is left of its payoff.
func (o *opinion) at(now float64) float64 { return o.pay * o.fade(now) }

// payNow is a server's payoff; what was long unheard is forgotten, so it goes back to that of its like.
func (b *Balancer) payNow(s *server, class int) float64 {
	p := 1.0
	for _, o := range s.views[class] {
		p += o.at(b.now)
	}
	return p
}

type cand struct {
	s                         *server
	score, load, crowd, bears float64 // crowd: what the redraw bound is held to, the load or its part of what is borne
}

type leg struct {
	s                               *server
	pod, zone                       int
	sent                            float64
	crowd                           float64 // what shared each core of its server then
	out, neverRan, started, counted bool
	unloaded, noRoute               bool
}

// Request is the handle of one request.
type Request struct {
	RequestInfo
	b               *Balancer
	row             *row
	taken           float64
	legs            []leg
	out             int
	over, isHeld    bool
	heavy, priority float64
	place           uint64 // settles the noise of its draw; 0: chance does
}

// lost is how many attempts failed where they may have run.
func (l *Request) lost() (n int) {
	for i := range l.legs {
		if g := &l.legs[i]; !g.out && !g.neverRan {
			n++
		}
	}
	return n
}

// Done says that nothing more will happen to the request or its attempts.
func (l *Request) Done() bool { return l.over && l.out == 0 }

// wake asks for a call at this time, if not for an earlier one.
func (b *Balancer) wake(at float64) {
	if at > 0 && (b.orders.WakeAt == 0 || at < b.orders.WakeAt) {
		b.orders.WakeAt = at
	}
}

func (b *Balancer) begin(now float64) *Balancer {
	if b.loads() {
		b.credit = 0
		b.ease = math.Inf(1)
		for i := range b.rows {
			b.ease = min(b.ease, b.rows[i].LatencyObjective/b.rows[i].alone.Quantile(0.5, b.rows[i].LatencyObjective/4))
		}
	}
	b.credit += (b.room - float64(b.out)) * (now - b.now)
	b.credit = min(b.credit, b.clumps()*b.rows[0].median())
	b.now = now
	b.orders = Actions{Requests: b.orders.Requests[:0]}
	return b
}

func (b *Balancer) step(s RequestAction) { b.orders.Requests = append(b.orders.Requests, s) }

func (b *Balancer) unhold(l *Request) {
	i := slices.Index(b.held, l)
	b.held = slices.Delete(b.held, i, i+1)
	l.isHeld = false
}

// took and gave keep what is out at a server, beside what unload does.
func (s *server) took(class int) {
	s.inFlight++
	s.since++
	s.tariffs[class].inFlight++
}

func (s *server) gave(class int, sent, now float64) {
	s.tariffs[class].inFlight--
	if sent > s.toldAt {
		s.since--
	}
	s.used = now
}

// BodyCompleted tells that a request whose body flows to its attempt has come to its end: the attempt counts from now, and in the room. Danger: a server begins
// with the last byte, and a client that sends slowly is no fault of its.
func (l *Request) BodyCompleted(now float64) *Actions {
	b := l.b.begin(now)
	for i := range l.legs {
		if g := &l.legs[i]; g.out && !l.over {
			g.sent = now
			if g.unloaded {
				g.unloaded = false
				b.out++
				g.s.inFlight++
			}
			b.step(RequestAction{Ref: l.Ref, WakeAt: now + b.patience(l)})
		}
	}
	return &b.orders
}

// unload takes an attempt from what is in flight, once: when it ends, or from when it is overdue. Danger: where a server's
// limit is too small to hold back an attempt, only the sum of what is out does, and overdue ones must count in it.
func (b *Balancer) unload(g *leg, when bool) {
	if when && !g.unloaded {
		g.unloaded = true
		b.out--
		g.s.inFlight--
	}
}

// place keeps the list of servers as told.
func (b *Balancer) place(full bool, list []Endpoint) {
	if full {
		for _, s := range b.servers {
			if s != nil {
				s.State = Removed // unless the list still has it, below
			}
		}
	}
	for _, e := range list {
		for len(b.servers) <= e.Index {
			b.servers = append(b.servers, nil)
		}
		s := b.servers[e.Index]
		if s == nil || s.StartedAt != e.StartedAt && e.State == Ready { // danger: a restart is a cold server
			s = b.unheard(e.Model, e.Cores)
			b.servers[e.Index] = s
		}
		s.Endpoint = e
		s.drained = s.drained || e.State == Draining
	}
	for i, s := range b.servers {
		if s != nil && s.State == Removed && !b.lingers(s) {
			b.servers[i] = nil // attempts still out keep their own hold on it
		}
	}
}

// SetBudgetShare sets this balancer's part, from 0 to 1, of what its proxy may send to cold servers. Danger: two processes of one proxy
// with a whole budget each would push them over together.
func (b *Balancer) SetBudgetShare(part float64) { b.part = part }

// SetLocalDelay sets how many times longer attempts are out than their servers have them, and by how many seconds at the most in all likelihood:
// where this proxy's own core is behind, answers wait here. No server is taken to be overdue, or full, for that.
func (b *Balancer) SetLocalDelay(times, lag float64) { b.slack, b.lag = max(times, 1), max(lag, 0) }

// Snapshot is what a balancer learned, for the one of the same proxy that comes after it.
type Snapshot struct {
	BaseLatencies []float64        `json:"Bases"` // by class: what an answer takes when little waited, s
	Servers       []ServerSnapshot `json:"Servers"`
}

// ServerSnapshot is what was learned of one server since its start.
type ServerSnapshot struct {
	NameHash        uint64  `json:"Mark"`
	StartedAt       float64 `json:"UpSince"`
	Limit           float64 `json:"Limit"`
	RelativeLatency float64 `json:"Pace"`
	Payoff          float64 `json:"Pay"` // of its own payoff, beside those of its model and the fleet
	Confidence      float64 `json:"Sure"`
	Age             float64 `json:"Age"` // s since it was heard
	Paused          bool    `json:"Paused"`
	PauseRemaining  float64 `json:"PausedFor"` // s that are left of a pause
	Errors          int     `json:"Errors"`
	Results         int     `json:"Results"`
}

// Snapshot tells what was learned.
func (b *Balancer) Snapshot(now float64) Snapshot {
	b.begin(now)
	var m Snapshot
	for i := range b.rows {
		m.BaseLatencies = append(m.BaseLatencies, b.rows[i].base)
	}
	for _, s := range b.servers {
		if s != nil {
			o := s.opinions[2]
			m.Servers = append(m.Servers, ServerSnapshot{s.NameHash, s.StartedAt, s.limit, s.pace, o.pay, o.sure, now - o.heard,
				s.paused, max(s.accessLast+s.cooldown-now, 0), s.errCount, s.totalCount})
		}
	}
	return m
}

// Restore takes in what another balancer of this proxy learned. Danger: what it knew of a server before a restart is not true of
// it now, so that only one with the same start takes it over; it ages like anything heard, and no rule rests on it.
func (b *Balancer) Restore(now float64, m Snapshot) {
	b.begin(now)
	for i := range min(len(m.BaseLatencies), len(b.rows)) {
		if m.BaseLatencies[i] > 0 && m.BaseLatencies[i] <= b.rows[i].LatencyObjective {
			b.rows[i].base = m.BaseLatencies[i]
		}
	}
	for _, l := range m.Servers {
		for _, s := range b.servers {
			if s == nil || s.NameHash != l.NameHash || s.StartedAt != l.StartedAt || !(l.Limit > 0 && l.RelativeLatency > 0 && l.Age >= 0) {
				continue
			}
			s.limit, s.pace = max(s.least, l.Limit), l.RelativeLatency
			o := s.opinions[2]
			o.pay, o.sure, o.heard = min(max(l.Payoff, -1), 1), min(max(l.Confidence, 0), 1), now-l.Age
			if l.Paused {
				s.tracked, s.paused, s.cooldown, s.accessLast, s.roundLast = true, true, min(l.PauseRemaining, 2*recoverInterval), now, now
				s.errCount, s.totalCount = l.Errors, l.Results
			}
		}
	}
}

// ReportedOutcomes are attempts of a class that others sent to a server, by how they ended.
type ReportedOutcomes struct{ Endpoint, Class, Succeeded, Failed int }

// mostReported results of one server count of a report: more tell no more, and would take long.
const mostReported = 50

// OutcomesReported takes in what others tell of their attempts since they told last. Danger: the failures of one server in a row, or all of its
// results before another's, would pause one that mostly serves or raise the bar for all; so what each tells is spread evenly over
// the report, a failure last, and what holds after it is what the shares say.
func (b *Balancer) OutcomesReported(now float64, all []ReportedOutcomes) {
	b.begin(now)
	most := 0
	for _, r := range all {
		most = max(most, min(r.Succeeded+r.Failed, mostReported))
	}
	for round := 1; round <= most; round++ {
		for _, r := range all {
			n := r.Succeeded + r.Failed
			count := min(n, mostReported)
			i := round * count / most // of its results that count
			if i == (round-1)*count/most || !b.HasEndpoint(r.Endpoint) {
				continue
			}
			failed := (r.Failed*count + n/2) / n
			fails := i*failed/count - (i-1)*failed/count
			b.results(r.Class, b.servers[r.Endpoint], fails == 0)
			b.servers[r.Endpoint].payoff(b, r.Class, 1-float64(fails), now, oneResult)
		}
	}
}

// HasEndpoint says whether a server is still known: as listed, or as one that lingers. One that is not is never named again.
func (b *Balancer) HasEndpoint(index int) bool {
	return index < len(b.servers) && b.servers[index] != nil
}

// unheard is a server that nothing is known of but its model and size.
func (b *Balancer) unheard(kind int, size float64) *server {
	limit, least := b.bounds(size)
	for len(b.models) <= kind {
		b.models = append(b.models, &model{opinion: opinion{lasts: forgetModel}})
	}
	like := b.models[kind]
	s := &server{limit: limit, least: least, pace: 1, flowed: b.now, tariffs: make([]breaker, len(b.rows)),
		sights: make([]sight, len(b.rows)+1), like: like, opinions: []*opinion{b.fleet, &like.opinion, {lasts: forget}}}
	for range b.rows {
		view := s.opinions
		if b.d.Gossip {
			view = append(view[:3:3], &opinion{lasts: forget})
		}
		s.views = append(s.views, view)
	}
	s.views = append(s.views, s.opinions)
	return s
}

// Availability tells whether any listed server is admitted: as ever, or only for a trial, after a pause's cooldown.
func (b *Balancer) Availability(now float64) (any, trial bool) {
	b.begin(now)
	for _, s := range b.servers {
		if s != nil && s.State == Ready {
			any = any || !s.paused
			trial = trial || s.paused && b.admitted(&s.breaker)
		}
	}
	return any, trial
}

// ScoreBreakdown is what speaks for and against a server for one request now, for those who ask why.
type ScoreBreakdown struct {
	Endpoint        int
	State           EndpointState
	Paused, Trial   bool // by its own row; and cooled down
	Errors, Results int  // of that row
	ClassPaused     bool // by the request's class's row there
	ClassErrors     int  // and its counts
	ClassResults    int
	RetrySafe       bool // another attempt there is
	WarmingUp       bool
	Load, Capacity  float64 // attempts; as many as the limit lets
	Payoff          float64
	Score           float64 // of the last draw, if it was in it; greatest wins where there is room
	Considered      bool
}

// ScoreBreakdown are those of all listed servers. It changes nothing. Scores are those of the draw that came last.
func (l *Request) ScoreBreakdown() (list []ScoreBreakdown) {
	b := l.b
	for _, s := range b.servers {
		if s == nil {
			continue
		}
		t := &s.tariffs[l.Class]
		r := ScoreBreakdown{s.Index, s.State, s.paused, s.paused && b.admitted(&s.breaker), s.errCount, s.totalCount, !b.admitted(t), t.errCount,
			t.totalCount, b.may(l, s), b.cold(s), b.load(s), b.bears(s), b.payNow(s, l.Class), 0, false}
		for i := range b.cands {
			if b.cands[i].s == s {
				r.Score, r.Considered = b.cands[i].score, b.cands[i].score != 0 // 0: there was no room to draw for
			}
		}
		list = append(list, r)
	}
	return list
}

// Capacity is what is out and what all bear, as of the last draw, how many requests wait, and the places that a request of this priority may fill.
func (l *Request) Capacity() (out int, space float64, held int) {
	return l.b.out, l.b.space(l.priority), len(l.b.held)
}

// ServerStatus is what the decisions hold of one server, for those who ask why.
type ServerStatus struct {
	Endpoint          int
	InFlight          int     // attempts
	Limit, Payoff     float64 // attempts it bears, and what one is worth there
	Paused, WarmingUp bool
	Trial             bool    // paused, and cooled down: one attempt may go there
	Errors, Results   int     // of the present window
	Age               float64 // s since an attempt's end told of it
}

// ServerStatuses are those of all listed servers.
func (b *Balancer) ServerStatuses(now float64) []ServerStatus { return b.begin(now).CurrentStatuses() }

// Deployment is what it was made of.
func (b *Balancer) Deployment() Deployment { return b.d }

// CurrentStatuses is Beliefs as of the last call. It changes nothing.
func (b *Balancer) CurrentStatuses() []ServerStatus {
	now := b.now
	var all []ServerStatus
	for _, s := range b.servers {
		if s != nil {
			all = append(all, ServerStatus{s.Index, s.inFlight, s.limit, b.payNow(s, 0), s.paused, b.cold(s),
				s.paused && b.admitted(&s.breaker), s.errCount, s.totalCount, now - s.opinions[2].heard})
		}
	}
	return all
}
