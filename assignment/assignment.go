// Package assignment decides what subscribers, which are proxies and clients that lockloom does not run, are told of a pool: its servers,
// their health and weights. It turns what one instance holds of the servers (sights) into assignments that move seldom and by little,
// but for drains, which it passes on at once. It does no input or output and keeps no clock: times are passed in, in seconds since 1970.
// The control service calls it; it never picks a server for a request. A Pool is not safe for concurrent use.
package assignment

import (
	"maps"
	"math"
	"slices"
)

// Every constant of the assignments. A weight is 1 at a server like all others.
const (
	temperature = 0.1     // payoff; the decisions' own: a server 0.2 worse is drawn an eighth as often
	mostUneven  = 4.0     // times the mean weight, or the mean over it: what one instance sees is a part
	trialPart   = 0.1     // of the mean weight, of a server that comes back from a pause
	moveLeast   = 0.2     // of a weight: a smaller difference is not worth a new version at every subscriber
	moveMost    = 2.0     // factor by which a weight moves at once
	moveEvery   = 2.0     // s between moves of a pool's weights
	restLeast   = 1.0     // s told as paused at least: a success may be that of an attempt from before
	restMost    = 40.0    // s told as paused beyond what the decisions say, however often it was paused lately
	flapFor     = 60.0    // s after which a pause no longer counts as lately
	coldMargin  = 0.4     // of what makes a cold server fall, at least; the decisions' own, as are the next two
	coldMost    = 0.55    // and at most: the load may have grown since it was reported
	coldSpread  = 3.5     // deviations of what chance sends, to fit above the flow; fewer requests, wider ones
	coldSlack   = 0.05    // of a cold server's bound: a fall of less waits for the next move
	loadFalls   = 10.0    // s; the load that is reckoned with falls so slowly, and rises at once
	baseRises   = 60.0    // s; the time of a request that does not wait, as it is taken, rises so slowly, and falls at once
	timeOver    = 2.0     // s over which a request's time is the mean
	lostShare   = 0.5     // of the servers missing from a list at once: it is doubted
	holdFor     = 30.0    // s that a doubted list is held back
	oldest      = 600.0   // s; a memory as old as this says nothing
	ageFor      = 60.0    // s; a remembered weight goes back to 1
	scale       = 10000.0 // of told weights: the sum of those of a priority, about
)

// Health is what subscribers are told of a server.
type Health uint8

const (
	Healthy   Health = iota
	Unhealthy        // nothing is to be sent
	Draining         // nothing new is to be sent
)

func (h Health) String() string { return [...]string{"healthy", "unhealthy", "draining"}[h] }

// Settings are what holds for a pool.
type Settings struct {
	SlowStartFraction float64 // a server starts at this share of its capacity or more
	SlowStartDuration float64 // s until it is warm
	CrashFactor       float64 // sent more than this many times what it can do a cold server falls over; 0: none does
	CrashDuration     float64 // s for which it must be sent so much
	PreferLocalZone   bool    // subscribers keep to their own zone while it has a healthy server
}

// ServerEstimate is what the instance holds of one server.
type ServerEstimate struct {
	Name, Addr, Zone string
	Draining         bool
	Paused, Trial    bool    // paused; and cooled down, so that it may be tried
	Payoff           float64 // from 0 to 1
	Cores            float64 // cores; 0: not told
	StartedAt        float64 // 0: long ago
}

// Observation is what the instance holds of a pool at one time.
type Observation struct {
	Servers []ServerEstimate
	Removed []string // listed as gone since the last sight, as opposed to missing from a list
	Load    float64  // requests in work for all subscribers together; 0: not known
	Rate    float64  // of them begun a second; with it the load is reckoned without what waits
}

// Server is a server as a subscriber is told of it.
type Server struct {
	ServerEstimate
	Health   Health
	Weight   int // 1 or more; it counts among those of one priority
	Priority int // 0 first; the next is for when it has no healthy server
}

// Assignment is what a subscriber is told of a pool, by name of server.
type Assignment struct {
	Servers []Server
	Drop    float64 // share of requests not to be sent anywhere: all servers are cold and bear no more
}

// told is what holds for a server.
type told struct {
	ServerEstimate
	health  Health
	weight  float64
	cap     float64 // share of all requests that it is given at most; +Inf: no bound
	since   float64 // when its health was told
	rest    float64 // s that it is told as paused at least
	lostAt  float64 // when the list lost it; 0: it is listed
	resting bool    // back from a pause, its weight is on its way up
}

// Pool is one pool's state.
type Pool struct {
	terms    Settings
	now      float64
	told     map[string]*told
	movedAt  float64 // when weights moved last
	raisedAt float64 // when the bounds of cold servers rose last
	load     float64 // of all that is sent, in servers wholly in use; 0: never told
	holds    float64 // requests in work, smoothed
	rate     float64 // begun a second, smoothed
	base     float64 // s that one takes where little waits; 0: not known
	loadAt   float64
	reckoned float64 // the load that the bounds are made for
}

// New is a pool that nothing is known of.
func New(t Settings) *Pool { return &Pool{terms: t, told: map[string]*told{}} }

// Update takes in a sight. It tells whether the assignment changed, and whether that must not wait at anybody: a server drains, is gone,
// is paused, or is given less because it is cold.
func (p *Pool) Update(now float64, s Observation) (changed, urgent bool) {
	now = max(now, p.now) // danger: a clock that is set back would stop all moves until it has caught up
	p.now = now
	p.loads(now, s)
	for _, name := range s.Removed {
		if p.told[name] != nil {
			delete(p.told, name)
			urgent = true
		}
	}
	fresh := len(p.told) == 0
	for _, o := range s.Servers {
		t := p.told[o.Name]
		if t == nil {
			t = &told{weight: 1, cap: math.Inf(1), since: now}
			p.told[o.Name] = t
			changed = true
		}
		if t.StartedAt != o.StartedAt && t.Name != "" { // danger: what it was given when warm would push it over now that it is cold
			t.cap, changed = math.Inf(1), true
		}
		changed = changed || t.Addr != o.Addr || t.Zone != o.Zone || t.lostAt > 0
		t.ServerEstimate, t.lostAt = o, 0
	}
	urgent = p.lose(s) || urgent
	urgent = p.judge() || urgent
	if fresh || now >= p.movedAt+moveEvery {
		if p.move(fresh) {
			p.movedAt, changed = now, true
		}
	}
	warmed, cold := p.chill()
	urgent = urgent || cold
	return changed || warmed || urgent, urgent
}

// loads takes in how much is sent. Danger: reckoned by what is in work, a crowd that waits at the warm servers would shut the cold
// ones, which makes the crowd; so it is the rate times what a request takes where little waits.
func (p *Pool) loads(now float64, s Observation) {
	passed := now - p.loadAt
	p.loadAt = now
	load := s.Load
	if s.Rate > 0 {
		part := 1 - math.Exp(-min(passed, timeOver)/timeOver)
		if p.rate == 0 {
			part = 1
		}
		p.holds += part * (s.Load - p.holds)
		p.rate += part * (s.Rate - p.rate)
		took := p.holds / p.rate
		if p.base == 0 || took < p.base {
			p.base = took
		} else {
			p.base += (1 - math.Exp(-min(passed, baseRises)/baseRises)) * (took - p.base)
		}
		load = min(load, max(s.Rate, p.rate)*p.base)
	}
	p.load = max(load, p.load*math.Exp(-passed/loadFalls))
}

// lose drops servers that the list has lost. Danger: a list source that restarts empty, or tells half, would have every subscriber
// without servers; where many are missing at once they are held, until they are listed as drained or gone, or for holdFor.
func (p *Pool) lose(s Observation) (urgent bool) {
	listed := make(map[string]bool, len(s.Servers))
	for i := range s.Servers {
		listed[s.Servers[i].Name] = true
	}
	missing := 0
	for name := range p.told {
		if !listed[name] {
			missing++
		}
	}
	doubted := float64(missing) >= lostShare*float64(len(p.told))
	for name, t := range p.told {
		switch {
		case listed[name]:
		case t.lostAt == 0 && doubted:
			t.lostAt = p.now
		case t.lostAt == 0 || p.now >= t.lostAt+holdFor:
			delete(p.told, name)
			urgent = true
		}
	}
	return urgent
}

// judge settles each server's health. A pause is passed on at once, and what drains; a server comes back after a rest that grows with
// how often it was paused lately, by a weight that grows from little. Where all would be paused none is: sent nowhere, nothing more
// would be known of any.
func (p *Pool) judge() (urgent bool) {
	none := true
	for _, t := range p.told {
		none = none && p.verdict(t) != Healthy
	}
	for _, t := range p.told {
		h := p.verdict(t)
		if none && h == Unhealthy {
			h = Healthy
		}
		if h == t.health {
			continue
		}
		if t.health == Unhealthy && h == Healthy {
			t.weight, t.resting = trialPart, true
		}
		if h == Unhealthy {
			if p.now > t.since+t.rest+flapFor {
				t.rest = 0
			}
			t.rest = min(max(2*t.rest, restLeast), restMost)
		}
		t.health, t.since = h, p.now
		urgent = true
	}
	return urgent
}

// verdict is a server's health by what is held of it alone.
func (p *Pool) verdict(t *told) Health {
	switch {
	case t.Draining:
		return Draining
	case t.Paused && !t.Trial, t.health == Unhealthy && p.now < t.since+t.rest:
		return Unhealthy
	}
	return Healthy
}

// move brings weights nearer to what payoffs say, by the softmax that the decisions draw with.
func (p *Pool) move(whole bool) (moved bool) {
	mean, n := 0.0, 0.0
	for _, name := range p.names() { // danger: a sum in the order of a map differs in its last bits from one call to the next
		if t := p.told[name]; t.health == Healthy && !t.Paused {
			mean, n = mean+t.Payoff, n+1
		}
	}
	mean /= max(n, 1)
	for _, t := range p.told {
		want := min(max(math.Exp((t.Payoff-mean)/temperature), 1/mostUneven), mostUneven)
		if t.Paused { // on trial
			want = trialPart
		}
		switch {
		case t.health != Healthy || t.lostAt > 0 || t.resting && t.since == p.now:
			continue
		case !whole && !t.resting && math.Abs(want/t.weight-1) <= moveLeast:
			continue
		}
		was := t.weight
		if t.weight = want; !whole {
			t.weight = min(max(want, was/moveMost), was*moveMost)
		}
		t.resting = t.weight < want
		moved = moved || t.weight != was
	}
	return moved
}

// chill bounds what cold servers get: of all that subscribers send, so that all together do not push one over. A bound that falls holds
// at once; one that rises, as the server warms, at the next move. Danger: a crowd is reported only after it came, so each server is
// taken to be wholly in use at least.
func (p *Pool) chill() (changed, urgent bool) {
	p.reckoned = max(p.load, float64(len(p.told)))
	rises := p.now >= p.raisedAt+moveEvery
	for _, t := range p.told {
		bound := math.Inf(1)
		if can := p.can(t); can < 1 && p.terms.CrashFactor > 0 {
			budget := p.terms.CrashFactor * can * max(t.Cores, 1)
			bound = p.margin(budget) * budget / p.reckoned
		}
		switch {
		case bound < t.cap*(1-coldSlack):
			t.cap, urgent = bound, true
		case rises && t.cap != bound:
			t.cap, changed = bound, true
		}
	}
	if changed {
		p.raisedAt = p.now
	}
	return changed, urgent
}

// margin is the part of a cold server's budget that is given out, so that what chance adds in one time to fall still fits.
func (p *Pool) margin(budget float64) float64 {
	if p.base == 0 || p.terms.CrashDuration == 0 {
		return coldMargin
	}
	spread := coldSpread * math.Sqrt(2*p.base/(budget*p.terms.CrashDuration))
	return max(coldMargin, min(math.Pow((math.Sqrt(spread*spread+4)-spread)/2, 2), coldMost))
}

// can is the share of its capacity that a server has at least.
func (p *Pool) can(t *told) float64 {
	if t.StartedAt == 0 || p.now >= t.StartedAt+p.terms.SlowStartDuration {
		return 1
	}
	return min(p.terms.SlowStartFraction+(1-p.terms.SlowStartFraction)*max(p.now-t.StartedAt, 0)/p.terms.SlowStartDuration, 1)
}

func (p *Pool) names() []string { return slices.Sorted(maps.Keys(p.told)) }

// AssignmentFor is what a subscriber in a zone is told; "" is one that says none.
func (p *Pool) AssignmentFor(zone string) Assignment {
	var a Assignment
	local := false
	for _, name := range p.names() {
		t := p.told[name]
		a.Servers = append(a.Servers, Server{ServerEstimate: t.ServerEstimate, Health: t.health, Weight: 1})
		local = local || t.Zone == zone && t.health == Healthy
	}
	for i := range a.Servers {
		if p.terms.PreferLocalZone && local && a.Servers[i].Zone != zone {
			a.Servers[i].Priority = 1
		}
	}
	for priority := range 2 {
		if drop := p.weigh(a.Servers, priority); priority == 0 {
			a.Drop = drop
		}
	}
	return a
}

// weigh sets the weights of one priority. Each is bounded as though all that is sent went there: one subscriber may be in another zone
// than the next, or have no server left of the first priority.
func (p *Pool) weigh(list []Server, priority int) (drop float64) {
	var of []*Server
	var weights, caps []float64
	for i := range list {
		s := &list[i]
		if t := p.told[s.Name]; s.Priority == priority && s.Health == Healthy {
			of, weights, caps = append(of, s), append(weights, t.weight*max(t.Cores, 1)), append(caps, t.cap)
		}
	}
	shares, fits := fill(weights, caps)
	for i, s := range of {
		s.Weight = max(int(shares[i]*scale), 1)
		if share := shares[i] * scale; share < 1 && !math.IsInf(caps[i], 1) { // danger: the least weight is more than it bears
			s.Health = Unhealthy
		}
	}
	if fits == 1 || p.load == 0 {
		return 0
	}
	return max(1-fits*p.reckoned/p.load, 0) // of what is known to come: nobody is rejected on a guess
}

// fill gives shares in proportion to weights, none above its cap, that come to one in all; fits is how much of it the caps
// bear.
func fill(weights, caps []float64) (shares []float64, fits float64) {
	shares = make([]float64, len(weights))
	capped := make([]bool, len(weights))
	rest := 1.0
	for again := true; again; {
		again = false
		sum := 0.0
		for i, w := range weights {
			if !capped[i] {
				sum += w
			}
		}
		left := rest
		for i, w := range weights {
			if capped[i] {
				continue
			}
			if shares[i] = left * w / sum; shares[i] > caps[i] {
				shares[i], capped[i], again = caps[i], true, true
				rest -= caps[i]
			}
		}
	}
	if slices.Contains(capped, false) || len(weights) == 0 {
		return shares, 1
	}
	for i := range shares {
		shares[i] /= 1 - rest
	}
	return shares, 1 - rest
}

// Snapshot is what a pool was told, for the service that comes after this one.
type Snapshot struct {
	At      float64          `json:"at"`
	Servers []ServerSnapshot `json:"servers"`
}

// ServerSnapshot is what was told of one server.
type ServerSnapshot struct {
	Name           string  `json:"name"`
	Addr           string  `json:"addr"`
	Zone           string  `json:"zone"`
	Health         Health  `json:"health"`
	Weight         float64 `json:"weight"`
	PauseRemaining float64 `json:"rest"` // s that are left of a pause
	StartedAt      float64 `json:"up_since"`
}

// Snapshot tells what holds.
func (p *Pool) Snapshot() Snapshot {
	m := Snapshot{At: p.now}
	for _, name := range p.names() {
		t := p.told[name]
		m.Servers = append(m.Servers, ServerSnapshot{name, t.Addr, t.Zone, t.health, t.weight, max(t.since+t.rest-p.now, 0), t.StartedAt})
	}
	return m
}

// Restore takes over what another service told, before the first sight. It weighs by its age; what was paused stays so for what was
// left of its rest, and for restLeast at least.
func (p *Pool) Restore(now float64, m Snapshot) {
	age := now - m.At
	if !(age >= 0 && age < oldest) {
		return
	}
	p.now = now
	p.movedAt = now
	for _, r := range m.Servers {
		if r.Name == "" || r.Addr == "" || !(r.Weight > 0) || r.Health > Draining {
			continue
		}
		t := &told{health: r.Health, since: now, cap: math.Inf(1)}
		t.Name, t.Addr, t.Zone, t.StartedAt, t.Payoff = r.Name, r.Addr, r.Zone, r.StartedAt, 1
		t.weight = min(max(1+(r.Weight-1)*math.Exp(-age/ageFor), trialPart), mostUneven)
		t.Draining = r.Health == Draining
		if r.Health == Unhealthy {
			t.rest = min(max(r.PauseRemaining-age, restLeast), restMost)
		}
		p.told[r.Name] = t
	}
}
