// Package capture records what a proxy's owner tells its Balancers, and replays it: the decisions have no clock, no input or output and
// seeded chance, so the same calls give the same orders. The proxy makes its calls through a Balancer of this package while it is
// captured; the tools read the files. It decides nothing, and never makes the owner wait. The format is in docs/formats/capture.md.
package capture

import (
	"encoding/binary"
	"errors"
	"hash/fnv"
	"io"
	"math"
	"math/bits"

	"lockloom/balance"
)

// Kind is which call it was.
type Kind uint8

const (
	LocalDelaySet Kind = iota // the last that was added: four bits hold no more
	RequestArrived
	AttemptEnded
	ClientDisconnected
	ResponseStarted
	BodyCompleted
	RequestTimerFired
	TimerFired
	EndpointsUpdated
	PollFailed
	HealthChecked
	GossipReceived
	OutcomesReported
	BudgetShareSet
	SnapshotRestored
	StateRead // Beliefs, Admits or Recall: they change nothing but how far the clock has come
)

func (k Kind) String() string {
	return [...]string{"slack", "take", "ended", "left", "started", "whole", "lookup-wake", "wake", "listed", "list-failed", "probed", "heard",
		"reported", "part", "remember", "look"}[k]
}

// Call is one call on a Balancer, and a digest of the orders that it returned.
type Call struct {
	Kind         Kind
	Pool         int
	Now          float64
	Digest       uint16
	Request      uint64 // which, counted from 1 by pool; of Take and of calls on a handle
	IDHash       uint32 // of Take: the hash of the id, see IDOf
	Arrival      balance.RequestInfo
	Attempt      int
	Outcome      balance.Outcome
	Latency      float64
	BodyComplete bool
	Full         bool // of Listed
	First        bool
	Endpoints    []balance.Endpoint
	Endpoint     int // of Probed
	OK           bool
	LoadReport   balance.LoadReport
	GossipPeer   int // of Heard
	Gossip       balance.GossipMessage
	Outcomes     []balance.ReportedOutcomes
	BudgetShare  float64
	DelayStretch float64
	Delay        float64
	Snapshot     balance.Snapshot
}

// IDOf is the hash under which a request's id is recorded.
func IDOf(id string) uint32 {
	h := fnv.New32a()
	io.WriteString(h, id)
	return h.Sum32()
}

// Digest is a number that two sets of orders share if they say the same, but for one chance in 65,536.
func Digest(o *balance.Actions) uint16 {
	if o == nil {
		return 0
	}
	h := uint64(14695981039346656037)
	add := func(n uint64) { h = (h ^ n) * 1099511628211; h ^= h >> 29 }
	for i := range o.Requests {
		s := &o.Requests[i]
		add(uint64(s.Ref)<<8 | uint64(s.Reply))
		if s.Send {
			add(uint64(s.Endpoint)<<1 | 1)
			add(math.Float64bits(s.Deadline))
		}
		add(uint64(s.CancelAttempt))
		add(math.Float64bits(s.RetryAfter))
		add(math.Float64bits(s.WakeAt))
	}
	for _, i := range o.HealthChecks {
		add(uint64(i) + 1<<40)
	}
	for _, i := range o.CloseIdle {
		add(uint64(i) + 1<<41)
	}
	if o.Gossip != nil {
		add(uint64(o.GossipPeer) + 1<<42)
		add(math.Float64bits(o.Gossip.Rate))
		for _, s := range o.Gossip.Observations {
			add(uint64(s.NameHash) ^ math.Float64bits(s.Value) ^ uint64(s.Class)<<48)
		}
	}
	if o.Subscribe {
		add(1 << 43)
	}
	add(math.Float64bits(o.WakeAt))
	return uint16(h ^ h>>16 ^ h>>32 ^ h>>48)
}

// coder writes calls, or reads them. Times are written as the distance of their bits to the last one's, which is small for times that are
// near; other numbers so that round ones are short.
type coder struct {
	out  []byte
	in   []byte
	last uint64
	bad  bool
	read bool
}

func (c *coder) uint(n *uint64) {
	if !c.read {
		c.out = binary.AppendUvarint(c.out, *n)
		return
	}
	v, size := binary.Uvarint(c.in)
	if size <= 0 {
		c.bad = true
		*n = 0
		return
	}
	c.in, *n = c.in[size:], v
}

func (c *coder) int(n *int) {
	z := uint64(*n)<<1 ^ uint64(*n>>63)
	c.uint(&z)
	*n = int(z>>1) ^ -int(z&1)
}

func (c *coder) bool(b *bool) {
	n := uint64(0)
	if *b {
		n = 1
	}
	c.uint(&n)
	*b = n == 1
}

func (c *coder) u32(n *uint32) {
	if !c.read {
		c.out = binary.LittleEndian.AppendUint32(c.out, *n)
	} else if len(c.in) < 4 {
		c.bad = true
	} else {
		*n, c.in = binary.LittleEndian.Uint32(c.in), c.in[4:]
	}
}

func (c *coder) u64(n *uint64) {
	if !c.read {
		c.out = binary.LittleEndian.AppendUint64(c.out, *n)
	} else if len(c.in) < 8 {
		c.bad = true
	} else {
		*n, c.in = binary.LittleEndian.Uint64(c.in), c.in[8:]
	}
}

// time is one near the call's own; keep: the next are near this one.
func (c *coder) time(t *float64, keep bool) {
	now := math.Float64bits(*t)
	z := int64(now - c.last)
	n := uint64(z)<<1 ^ uint64(z>>63)
	c.uint(&n)
	now = c.last + (n>>1 ^ -(n & 1))
	*t = math.Float64frombits(now)
	if keep {
		c.last = now
	}
}

func (c *coder) float(f *float64) {
	n := bits.ReverseBytes64(math.Float64bits(*f))
	c.uint(&n)
	*f = math.Float64frombits(bits.ReverseBytes64(n))
}

// some reads or writes how many there are, bounded by what is left to read.
func (c *coder) some(n int) int {
	m := uint64(n)
	c.uint(&m)
	if c.read && m > uint64(len(c.in)) {
		c.bad = true
		return 0
	}
	return int(m)
}

func all[T any](c *coder, list *[]T, one func(*T)) {
	n := c.some(len(*list))
	if c.read {
		*list = make([]T, n)
		if n == 0 {
			*list = nil
		}
	}
	for i := range *list {
		one(&(*list)[i])
	}
}

// call writes or reads one.
func (c *coder) call(x *Call) {
	kind, pool := uint64(x.Kind), uint64(x.Pool)
	head := kind | pool<<4
	c.uint(&head)
	x.Kind, x.Pool = Kind(head&15), int(head>>4)
	c.time(&x.Now, true)
	lo, hi := x.Digest&0xff, x.Digest>>8
	if c.read {
		if len(c.in) < 2 {
			c.bad = true
			return
		}
		x.Digest, c.in = uint16(c.in[0])|uint16(c.in[1])<<8, c.in[2:]
	} else {
		c.out = append(c.out, byte(lo), byte(hi))
	}
	switch x.Kind {
	case RequestArrived:
		a := &x.Arrival
		c.uint(&x.Request)
		c.u32(&x.IDHash)
		c.int(&a.Ref)
		c.int(&a.Class)
		c.int(&a.Tenant)
		keyed := a.Key != 0
		c.bool(&keyed)
		if keyed {
			c.u64(&a.Key)
		}
		c.time(&a.Deadline, false)
		c.float(&a.ExpectedWork)
		c.bool(&a.ClientRetry)
		c.bool(&a.Streaming)
	case AttemptEnded:
		c.uint(&x.Request)
		c.int(&x.Attempt)
		o := uint64(x.Outcome)
		if x.BodyComplete {
			o |= 16
		}
		c.uint(&o)
		x.Outcome, x.BodyComplete = balance.Outcome(o&15), o&16 != 0
		c.float(&x.Latency)
	case ClientDisconnected, BodyCompleted, RequestTimerFired:
		c.uint(&x.Request)
	case ResponseStarted:
		c.uint(&x.Request)
		c.int(&x.Attempt)
	case EndpointsUpdated:
		c.bool(&x.Full)
		c.bool(&x.First)
		all(c, &x.Endpoints, func(b *balance.Endpoint) {
			c.int(&b.Index)
			c.u64(&b.NameHash)
			c.int(&b.Zone)
			c.int(&b.Pod)
			c.int(&b.Model)
			s := uint64(b.State)
			c.uint(&s)
			b.State = balance.EndpointState(s)
			c.float(&b.Cores)
			c.float(&b.StartedAt)
		})
	case HealthChecked:
		c.int(&x.Endpoint)
		c.bool(&x.OK)
		c.float(&x.LoadReport.InFlight)
		c.float(&x.LoadReport.Utilization)
	case GossipReceived:
		c.int(&x.GossipPeer)
		c.float(&x.Gossip.Rate)
		all(c, &x.Gossip.Observations, func(s *balance.Observation) {
			c.u32(&s.NameHash)
			c.int(&s.Class)
			c.float(&s.Age)
			c.float(&s.Value)
		})
	case OutcomesReported:
		all(c, &x.Outcomes, func(r *balance.ReportedOutcomes) {
			c.int(&r.Endpoint)
			c.int(&r.Class)
			c.int(&r.Succeeded)
			c.int(&r.Failed)
		})
	case BudgetShareSet:
		c.float(&x.BudgetShare)
	case LocalDelaySet:
		c.float(&x.DelayStretch)
		c.float(&x.Delay)
	case SnapshotRestored:
		all(c, &x.Snapshot.BaseLatencies, c.float)
		all(c, &x.Snapshot.Servers, func(l *balance.ServerSnapshot) {
			c.u64(&l.NameHash)
			for _, f := range []*float64{&l.StartedAt, &l.Limit, &l.RelativeLatency, &l.Payoff, &l.Confidence, &l.Age, &l.PauseRemaining} {
				c.float(f)
			}
			c.bool(&l.Paused)
			c.int(&l.Errors)
			c.int(&l.Results)
		})
	}
}

// errTorn is a block that does not hold whole calls.
var errTorn = errors.New("a call that cannot be read")

// calls reads a block's.
func calls(text []byte, each func(*Call) error) error {
	c := coder{in: text, read: true}
	for len(c.in) > 0 {
		var x Call
		if c.call(&x); c.bad {
			return errTorn
		}
		if err := each(&x); err != nil {
			return err
		}
	}
	return nil
}
