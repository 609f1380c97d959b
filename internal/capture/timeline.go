package capture

import "lockloom/balance"

// Sample is the status of one server at one time, and the number of attempts that ended there since its previous
// sample.
type Sample struct {
	Pool string
	At   float64 // s since the first call
	balance.ServerStatus
	AttemptCounts
}

// AttemptCounts count the attempts that ended at a server since its previous sample, except for those that were
// canceled or never sent.
type AttemptCounts struct {
	Succeeded int
	Failed    int
	Rejected  int // by the server, for lack of capacity
}

func (c *AttemptCounts) add(outcome balance.Outcome) {
	switch outcome {
	case balance.Succeeded:
		c.Succeeded++
	case balance.ServerRejected:
		c.Rejected++
	case balance.Canceled, balance.NotSent:
	default:
		c.Failed++
	}
}

// Timeline samples the status of the servers of all pools at an interval during a replay: set Player.After to its
// Observe.
type Timeline struct {
	Interval float64 // s
	Samples  []Sample

	beganAt  float64
	pools    map[string]*poolTimeline
	attempts map[*balance.Request][]int // server of each attempt, by its index, for requests in flight
}

// poolTimeline holds the counts of one pool since its last samples.
type poolTimeline struct {
	nextSampleAt float64
	ended        map[int]*AttemptCounts // by number of the server
}

func (p *poolTimeline) countsOf(server int) *AttemptCounts {
	counts := p.ended[server]
	if counts == nil {
		counts = &AttemptCounts{}
		p.ended[server] = counts
	}
	return counts
}

// Observe counts an attempt that ended with a call, and takes samples if they are due. It is called after each call.
func (t *Timeline) Observe(p *Pool, call *Call, actions *balance.Actions) {
	if t.pools == nil {
		t.beganAt = call.Now
		t.pools = map[string]*poolTimeline{}
		t.attempts = map[*balance.Request][]int{}
	}
	pool := t.pools[p.Name]
	if pool == nil {
		pool = &poolTimeline{ended: map[int]*AttemptCounts{}}
		t.pools[p.Name] = pool
	}
	if r := p.LastRequest; r != nil {
		t.countEnd(pool, r, call)
		t.trackAttempts(r, actions)
	}
	if call.Now >= pool.nextSampleAt {
		pool.nextSampleAt = call.Now + t.Interval
		t.sample(p, pool, call.Now)
	}
}

// countEnd counts an attempt that ended with a call for the server that the attempt was sent to.
func (t *Timeline) countEnd(pool *poolTimeline, r *balance.Request, call *Call) {
	attempts := t.attempts[r]
	if call.Kind == AttemptEnded && call.Attempt.Index < len(attempts) {
		pool.countsOf(attempts[call.Attempt.Index]).add(call.Attempt.Outcome)
	}
}

// trackAttempts stores the servers that a request is sent to, and removes the request once it is done.
func (t *Timeline) trackAttempts(r *balance.Request, actions *balance.Actions) {
	if r.Done() {
		delete(t.attempts, r)
		return
	}
	if actions == nil {
		return
	}
	for i := range actions.Requests {
		action := &actions.Requests[i]
		if action.Send && action.Ref == r.Ref {
			t.attempts[r] = append(t.attempts[r], action.Endpoint)
		}
	}
}

func (t *Timeline) sample(p *Pool, pool *poolTimeline, now float64) {
	for _, status := range p.Balancer.CurrentStatuses() {
		counts := pool.countsOf(status.Endpoint)
		t.Samples = append(t.Samples, Sample{
			Pool:          p.Name,
			At:            now - t.beganAt,
			ServerStatus:  status,
			AttemptCounts: *counts,
		})
		*counts = AttemptCounts{}
	}
}
