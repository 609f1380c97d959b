package capture

import (
	"sync/atomic"

	"lockloom/balance"
	"lockloom/internal/graphcodec"
)

// What the owner gathers before the writer has it.
const (
	chunkBytes = 32 << 10 // of calls
	chunkAge   = 0.25     // s
	chunksMost = 64       // on their way to the writer: then there is a gap
)

// Recorder takes in calls on the owner's goroutine. Where the writer cannot follow it leaves a gap, and begins anew with the whole state
// as soon as it can.
type Recorder struct {
	to      *writer
	pools   []*Balancer
	code    coder
	since   float64 // of the first call in code
	begun   float64 // of the segment
	bytes   int64   // of calls in it
	on      bool
	missed  uint64 // calls since the last that was written
	segment struct {
		bytes int64
		age   float64
	}
	Calls, Gaps atomic.Uint64 // calls recorded; gaps left

	second           float64 // when dismissals were counted from
	taken, dismissed int
}

const (
	shareOver = 1.0 // s over which dismissals are counted
	shareOf   = 50  // requests in it; fewer are chance
)

// share triggers where more than a share of a second's requests were rejected.
func (r *Recorder) share(x *Call, o *balance.Actions) {
	if r.to.RejectedShare == 0 {
		return
	}
	if x.Kind == RequestArrived {
		r.taken++
	}
	if o != nil {
		for i := range o.Requests {
			if o.Requests[i].Reply == balance.Rejected {
				r.dismissed++
			}
		}
	}
	if x.Now < r.second+shareOver {
		return
	}
	if r.taken >= shareOf && float64(r.dismissed) > r.to.RejectedShare*float64(r.taken) {
		r.Trigger("dismissals above their share")
	}
	r.second, r.taken, r.dismissed = x.Now, 0, 0
}

// state is the stored form of a pool, with which a segment begins. Its layout is published: see form.go.
type state struct {
	Pool     int
	Name     string
	Balancer *balance.Checkpoint
	Requests map[uint64]*balance.RequestCheckpoint
	Next     uint64
}

// Balancer is a Balancer whose calls are recorded.
type Balancer struct {
	*balance.Balancer
	rec  *Recorder
	pool int
	name string
	hand map[uint64]*balance.Request
	next uint64
}

// Request is a handle of one.
type Request struct {
	*balance.Request
	of     *Balancer
	number uint64
}

// Balancer has a pool's calls recorded.
func (r *Recorder) Balancer(name string, b *balance.Balancer) *Balancer {
	out := &Balancer{Balancer: b, rec: r, pool: len(r.pools), name: name, hand: map[uint64]*balance.Request{}}
	r.Flush()
	r.pools = append(r.pools, out)
	r.on = false // the next call begins a segment that has it
	return out
}

// Dropped forgets a pool that is gone.
func (b *Balancer) Dropped() { b.rec.pools[b.pool] = nil }

// note records a call that was made.
func (r *Recorder) note(x *Call, o *balance.Actions) {
	if !r.on {
		return
	}
	x.Digest = Digest(o)
	r.share(x, o)
	if len(r.code.out) == 0 {
		r.since = x.Now
		r.code.last = 0
	}
	before := len(r.code.out)
	r.code.call(x)
	r.bytes += int64(len(r.code.out) - before)
	r.Calls.Add(1)
	r.missed++
	if len(r.code.out) >= chunkBytes || x.Now-r.since >= chunkAge {
		r.flush()
	}
}

// ready is called before each call: it begins a segment where one is due, while the state is still that before the call.
func (r *Recorder) ready(now float64) {
	if !r.to.wanted.Load() {
		if r.on {
			r.flush()
			r.on = false
		}
		return
	}
	if r.on && (r.bytes >= r.segment.bytes || now-r.begun >= r.segment.age) {
		r.flush()
		r.on = false
	}
	if !r.on {
		r.begin(now)
	}
}

// begin writes down the state of all pools, if the writer has room for it.
func (r *Recorder) begin(now float64) {
	if len(r.to.chunks) > chunksMost/2 && !r.to.WaitForWriter { // it is behind: not yet
		r.missed++
		return
	}
	var texts [][]byte
	for _, b := range r.pools {
		if b == nil {
			continue
		}
		balancer, requests := b.Checkpoint(b.hand)
		text, err := graphcodec.Write(&state{b.pool, b.name, balancer, requests, b.next})
		if err != nil { // a type that cannot be written down: a fault of the program
			r.to.fail(err)
			return
		}
		texts = append(texts, text)
	}
	r.to.chunks <- chunk{kind: blockState, begins: true, texts: texts, missed: r.missed}
	r.on, r.begun, r.bytes, r.missed = true, now, 0, 0
	r.code.out = r.code.out[:0]
}

// flush hands the calls so far to the writer.
func (r *Recorder) flush() {
	if len(r.code.out) == 0 {
		return
	}
	c := chunk{kind: blockCalls, texts: [][]byte{append([]byte(nil), r.code.out...)}}
	if r.to.WaitForWriter {
		r.to.chunks <- c
		r.missed, r.code.out = 0, r.code.out[:0]
		return
	}
	select {
	case r.to.chunks <- c:
		r.missed = 0
	default: // danger: waiting for a slow disk would stop service
		r.Gaps.Add(1)
		r.on = false
	}
	r.code.out = r.code.out[:0]
}

// Flush has the writer have what was recorded; on the owner's goroutine, or once it has ended.
func (r *Recorder) Flush() {
	if r.on {
		r.flush()
	}
}

func (b *Balancer) did(x Call, o *balance.Actions) *balance.Actions {
	x.Pool = b.pool
	b.rec.note(&x, o)
	return o
}

func (l *Request) did(x Call, o *balance.Actions) *balance.Actions {
	x.Request = l.number
	l.of.did(x, o)
	if l.Done() {
		delete(l.of.hand, l.number)
	}
	return o
}

// The calls of a Balancer, as it has them; Take is told the request's id besides.

func (b *Balancer) RequestArrived(now float64, a balance.RequestInfo, id string) (*Request, *balance.Actions) {
	b.rec.ready(now)
	l, o := b.Balancer.RequestArrived(now, a)
	b.next++
	h := &Request{l, b, b.next}
	b.hand[b.next] = l
	return h, h.did(Call{Kind: RequestArrived, Now: now, Arrival: a, IDHash: IDOf(id)}, o)
}

func (l *Request) AttemptEnded(now float64, attempt int, o balance.Outcome, latency float64, over bool) *balance.Actions {
	l.of.rec.ready(now)
	return l.did(Call{Kind: AttemptEnded, Now: now, Attempt: attempt, Outcome: o, Latency: latency, BodyComplete: over}, l.Request.AttemptEnded(now, attempt, o, latency, over))
}

func (l *Request) ClientDisconnected(now float64) *balance.Actions {
	l.of.rec.ready(now)
	return l.did(Call{Kind: ClientDisconnected, Now: now}, l.Request.ClientDisconnected(now))
}

func (l *Request) ResponseStarted(now float64, attempt int) *balance.Actions {
	l.of.rec.ready(now)
	return l.did(Call{Kind: ResponseStarted, Now: now, Attempt: attempt}, l.Request.ResponseStarted(now, attempt))
}

func (l *Request) BodyCompleted(now float64) *balance.Actions {
	l.of.rec.ready(now)
	return l.did(Call{Kind: BodyCompleted, Now: now}, l.Request.BodyCompleted(now))
}

func (l *Request) TimerFired(now float64) *balance.Actions {
	l.of.rec.ready(now)
	return l.did(Call{Kind: RequestTimerFired, Now: now}, l.Request.TimerFired(now))
}

func (b *Balancer) TimerFired(now float64) *balance.Actions {
	b.rec.ready(now)
	return b.did(Call{Kind: TimerFired, Now: now}, b.Balancer.TimerFired(now))
}

func (b *Balancer) EndpointsUpdated(now float64, full, first bool, list []balance.Endpoint) *balance.Actions {
	b.rec.ready(now)
	return b.did(Call{Kind: EndpointsUpdated, Now: now, Full: full, First: first, Endpoints: list}, b.Balancer.EndpointsUpdated(now, full, first, list))
}

func (b *Balancer) PollFailed(now float64) *balance.Actions {
	b.rec.ready(now)
	return b.did(Call{Kind: PollFailed, Now: now}, b.Balancer.PollFailed(now))
}

func (b *Balancer) HealthChecked(now float64, server int, ok bool, r balance.LoadReport) *balance.Actions {
	b.rec.ready(now)
	return b.did(Call{Kind: HealthChecked, Now: now, Endpoint: server, OK: ok, LoadReport: r}, b.Balancer.HealthChecked(now, server, ok, r))
}

func (b *Balancer) GossipReceived(now float64, from int, n balance.GossipMessage) *balance.Actions {
	b.rec.ready(now)
	return b.did(Call{Kind: GossipReceived, Now: now, GossipPeer: from, Gossip: n}, b.Balancer.GossipReceived(now, from, n))
}

func (b *Balancer) OutcomesReported(now float64, all []balance.ReportedOutcomes) {
	b.rec.ready(now)
	b.Balancer.OutcomesReported(now, all)
	b.did(Call{Kind: OutcomesReported, Now: now, Outcomes: all}, nil)
}

func (b *Balancer) SetBudgetShare(part float64) {
	b.rec.ready(b.rec.begun)
	b.Balancer.SetBudgetShare(part)
	b.did(Call{Kind: BudgetShareSet, Now: b.rec.begun, BudgetShare: part}, nil)
}

func (b *Balancer) SetLocalDelay(times, lag float64) {
	b.rec.ready(b.rec.begun)
	b.Balancer.SetLocalDelay(times, lag)
	b.did(Call{Kind: LocalDelaySet, Now: b.rec.begun, DelayStretch: times, Delay: lag}, nil)
}

func (b *Balancer) Restore(now float64, m balance.Snapshot) {
	b.rec.ready(now)
	b.Balancer.Restore(now, m)
	b.did(Call{Kind: SnapshotRestored, Now: now, Snapshot: m}, nil)
}

func (b *Balancer) Snapshot(now float64) balance.Snapshot {
	b.rec.ready(now)
	defer b.did(Call{Kind: StateRead, Now: now}, nil)
	return b.Balancer.Snapshot(now)
}

func (b *Balancer) ServerStatuses(now float64) []balance.ServerStatus {
	b.rec.ready(now)
	defer b.did(Call{Kind: StateRead, Now: now}, nil)
	return b.Balancer.ServerStatuses(now)
}

func (b *Balancer) Availability(now float64) (any, trial bool) {
	b.rec.ready(now)
	defer b.did(Call{Kind: StateRead, Now: now}, nil)
	return b.Balancer.Availability(now)
}
