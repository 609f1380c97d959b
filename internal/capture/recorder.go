package capture

import (
	"sync/atomic"

	"lockloom/balance"
	"lockloom/internal/whole"
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
	shareOf   = 50  // lookups in it; fewer are chance
)

// share triggers where more than a share of a second's lookups were dismissed.
func (r *Recorder) share(x *Call, o *balance.Orders) {
	if r.to.Dismissed == 0 {
		return
	}
	if x.Kind == Take {
		r.taken++
	}
	if o != nil {
		for i := range o.Steps {
			if o.Steps[i].Answer == balance.Dismissed {
				r.dismissed++
			}
		}
	}
	if x.Now < r.second+shareOver {
		return
	}
	if r.taken >= shareOf && float64(r.dismissed) > r.to.Dismissed*float64(r.taken) {
		r.Trigger("dismissals above their share")
	}
	r.second, r.taken, r.dismissed = x.Now, 0, 0
}

// state is what a segment begins with, for one pool.
type state struct {
	Pool int
	Name string
	B    *balance.Balancer
	Hand map[uint64]*balance.Lookup
	Next uint64
}

// Balancer is a Balancer whose calls are recorded.
type Balancer struct {
	*balance.Balancer
	rec  *Recorder
	pool int
	name string
	hand map[uint64]*balance.Lookup
	next uint64
}

// Lookup is a handle of one.
type Lookup struct {
	*balance.Lookup
	of     *Balancer
	number uint64
}

// Balancer has a pool's calls recorded.
func (r *Recorder) Balancer(name string, b *balance.Balancer) *Balancer {
	out := &Balancer{Balancer: b, rec: r, pool: len(r.pools), name: name, hand: map[uint64]*balance.Lookup{}}
	r.Flush()
	r.pools = append(r.pools, out)
	r.on = false // the next call begins a segment that has it
	return out
}

// Dropped forgets a pool that is gone.
func (b *Balancer) Dropped() { b.rec.pools[b.pool] = nil }

// note records a call that was made.
func (r *Recorder) note(x *Call, o *balance.Orders) {
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
	if len(r.to.chunks) > chunksMost/2 && !r.to.Wait { // it is behind: not yet
		r.missed++
		return
	}
	var texts [][]byte
	for _, b := range r.pools {
		if b == nil {
			continue
		}
		text, err := whole.Write(&state{b.pool, b.name, b.Balancer, b.hand, b.next})
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
	if r.to.Wait {
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

func (b *Balancer) did(x Call, o *balance.Orders) *balance.Orders {
	x.Pool = b.pool
	b.rec.note(&x, o)
	return o
}

func (l *Lookup) did(x Call, o *balance.Orders) *balance.Orders {
	x.Lookup = l.number
	l.of.did(x, o)
	if l.Done() {
		delete(l.of.hand, l.number)
	}
	return o
}

// The calls of a Balancer, as it has them; Take is told the lookup's id besides.

func (b *Balancer) Take(now float64, a balance.Arrival, id string) (*Lookup, *balance.Orders) {
	b.rec.ready(now)
	l, o := b.Balancer.Take(now, a)
	b.next++
	h := &Lookup{l, b, b.next}
	b.hand[b.next] = l
	return h, h.did(Call{Kind: Take, Now: now, Arrival: a, ID: IDOf(id)}, o)
}

func (l *Lookup) Ended(now float64, leg int, o balance.Outcome, latency float64, over bool) *balance.Orders {
	l.of.rec.ready(now)
	return l.did(Call{Kind: Ended, Now: now, Leg: leg, Outcome: o, Latency: latency, Over: over}, l.Lookup.Ended(now, leg, o, latency, over))
}

func (l *Lookup) Left(now float64) *balance.Orders {
	l.of.rec.ready(now)
	return l.did(Call{Kind: Left, Now: now}, l.Lookup.Left(now))
}

func (l *Lookup) Started(now float64, leg int) *balance.Orders {
	l.of.rec.ready(now)
	return l.did(Call{Kind: Started, Now: now, Leg: leg}, l.Lookup.Started(now, leg))
}

func (l *Lookup) Whole(now float64) *balance.Orders {
	l.of.rec.ready(now)
	return l.did(Call{Kind: Whole, Now: now}, l.Lookup.Whole(now))
}

func (l *Lookup) Wake(now float64) *balance.Orders {
	l.of.rec.ready(now)
	return l.did(Call{Kind: LookupWake, Now: now}, l.Lookup.Wake(now))
}

func (b *Balancer) Wake(now float64) *balance.Orders {
	b.rec.ready(now)
	return b.did(Call{Kind: Wake, Now: now}, b.Balancer.Wake(now))
}

func (b *Balancer) Listed(now float64, full, first bool, list []balance.Backend) *balance.Orders {
	b.rec.ready(now)
	return b.did(Call{Kind: Listed, Now: now, Full: full, First: first, List: list}, b.Balancer.Listed(now, full, first, list))
}

func (b *Balancer) ListFailed(now float64) *balance.Orders {
	b.rec.ready(now)
	return b.did(Call{Kind: ListFailed, Now: now}, b.Balancer.ListFailed(now))
}

func (b *Balancer) Probed(now float64, backend int, ok bool, r balance.Report) *balance.Orders {
	b.rec.ready(now)
	return b.did(Call{Kind: Probed, Now: now, Backend: backend, OK: ok, Report: r}, b.Balancer.Probed(now, backend, ok, r))
}

func (b *Balancer) Heard(now float64, from int, n balance.Note) *balance.Orders {
	b.rec.ready(now)
	return b.did(Call{Kind: Heard, Now: now, From: from, Note: n}, b.Balancer.Heard(now, from, n))
}

func (b *Balancer) Reported(now float64, all []balance.Results) {
	b.rec.ready(now)
	b.Balancer.Reported(now, all)
	b.did(Call{Kind: Reported, Now: now, Results: all}, nil)
}

func (b *Balancer) Part(part float64) {
	b.rec.ready(b.rec.begun)
	b.Balancer.Part(part)
	b.did(Call{Kind: Part, Now: b.rec.begun, Part: part}, nil)
}

func (b *Balancer) Slack(times, lag float64) {
	b.rec.ready(b.rec.begun)
	b.Balancer.Slack(times, lag)
	b.did(Call{Kind: Slack, Now: b.rec.begun, Slack: times, Lag: lag}, nil)
}

func (b *Balancer) Remember(now float64, m balance.Memory) {
	b.rec.ready(now)
	b.Balancer.Remember(now, m)
	b.did(Call{Kind: Remember, Now: now, Memory: m}, nil)
}

func (b *Balancer) Recall(now float64) balance.Memory {
	b.rec.ready(now)
	defer b.did(Call{Kind: Look, Now: now}, nil)
	return b.Balancer.Recall(now)
}

func (b *Balancer) Beliefs(now float64) []balance.Belief {
	b.rec.ready(now)
	defer b.did(Call{Kind: Look, Now: now}, nil)
	return b.Balancer.Beliefs(now)
}

func (b *Balancer) Admits(now float64) (any, trial bool) {
	b.rec.ready(now)
	defer b.did(Call{Kind: Look, Now: now}, nil)
	return b.Balancer.Admits(now)
}
