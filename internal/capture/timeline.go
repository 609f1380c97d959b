package capture

import "lockloom/balance"

// Sample is what a Balancer held of one server at one time.
type Sample struct {
	Pool string
	At   float64 // s since the first call
	balance.ServerStatus
	AttemptCounts
}

// AttemptCounts count the attempts that ended at a server since the sample before. Those that were canceled or never
// sent are not counted.
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

// Timeline samples the servers of all pools at an interval, as calls are replayed: use its Observe as Player.After.
type Timeline struct {
	Interval float64 // s
	Samples  []Sample

	beganAt  float64
	pools    map[string]*poolTimeline
	attempts map[*balance.Request][]int // servers by attempt, of requests in flight
}

// poolTimeline is what was counted in one pool since its last samples.
type poolTimeline struct {
	nextSampleAt float64
	ended        map[int]*AttemptCounts // by server
}

func (p *poolTimeline) countsOf(server int) *AttemptCounts {
	counts := p.ended[server]
	if counts == nil {
		counts = &AttemptCounts{}
		p.ended[server] = counts
	}
	return counts
}

// Observe is called after each call.
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

// countEnd counts an attempt that ended, at the server that it was sent to.
func (t *Timeline) countEnd(pool *poolTimeline, r *balance.Request, call *Call) {
	attempts := t.attempts[r]
	if call.Kind == AttemptEnded && call.Attempt.Index < len(attempts) {
		pool.countsOf(attempts[call.Attempt.Index]).add(call.Attempt.Outcome)
	}
}

// trackAttempts takes in where a request is sent, and forgets the request once it is done.
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
