// Package limits decides who has asked enough: rates, requests in hand, budgets of further attempts, and a pool's sharing between
// routes. It does no input or output and keeps no clock: every call takes the present time in seconds. Its caller is the
// proxy's owner, so none of it is safe for concurrent use.
package limits

import (
	"errors"
	"fmt"
	"math"
)

const (
	keysMost    = 1 << 20 // keys of one limit, unless it says less
	inHandMost  = 1 << 30
	lookedAt    = 16   // keys of which the one idle for longest is forgotten
	slack       = 1e-9 // s that reckoning may be off
	reservePart = 0.9  // of a pool: beyond it a route that has its fair part waits for the others
	activeFor   = 1.0  // s after its last request that a route still has a part of the pool
	budgetFor   = 10.0 // s: what is recent for a budget
	budgetLeast = 3.0  // further attempts in that time that are always allowed: a share of next to nothing would allow none
)

// Limit is a bound for each of many keys (a route, a tenant, an address), or for one thing with the key 0.
type Limit struct {
	Name        string
	Rate        float64 // requests a second; 0: no limit
	Burst       float64 // that may come at once, after a pause; less than 1 counts as 1
	Concurrency int     // requests at a time; 0: no limit
	MaxKeys     int     // remembered at once; 0: a million
}

// LimitKey is one limit that a request must pass, and the key it counts under there.
type LimitKey struct {
	Limit int
	Key   uint64
}

// Rejection is the limit that a request did not pass, and in how many seconds it would; 0: when another ends.
type Rejection struct {
	Limit      int
	RetryAfter float64
}

// Limits are limits in an order, wider ones first by custom.
type Limits struct {
	list   []Limit
	rates  []*buckets
	inHand []map[uint64]int
}

// Permit is what a request has taken; the zero value is nothing.
type Permit struct{ asks []LimitKey }

// New refuses limits that mean nothing.
func New(list []Limit) (*Limits, error) {
	l := &Limits{list: list}
	var faults []error
	for _, x := range list {
		if !(x.Rate >= 0) || math.IsInf(x.Rate, 1) || !(x.Burst >= 0) || math.IsInf(x.Burst, 1) || x.Concurrency < 0 || x.Concurrency > inHandMost ||
			x.MaxKeys < 0 || x.MaxKeys > keysMost {
			faults = append(faults, fmt.Errorf("limit %q: rate %v, burst %v, %d in hand, %d keys", x.Name, x.Rate, x.Burst, x.Concurrency, x.MaxKeys))
		} else if x.Rate == 0 && x.Concurrency == 0 {
			faults = append(faults, fmt.Errorf("limit %q: neither a rate nor a number in hand", x.Name))
		}
		keys := x.MaxKeys
		if keys == 0 {
			keys = keysMost
		}
		var b *buckets
		if x.Rate > 0 {
			b = &buckets{every: 1 / x.Rate, most: keys}
			b.depth = (max(x.Burst, 1) - 1) * b.every
		}
		l.rates, l.inHand = append(l.rates, b), append(l.inHand, map[uint64]int{})
	}
	return l, errors.Join(faults...)
}

// Acquire passes a request through limits in order. At the first that it does not pass it gives back what it took at the
// others: a request that is refused counts nowhere.
func (l *Limits) Acquire(now float64, asks []LimitKey) (Permit, *Rejection) {
	for i, a := range asks {
		after, ok := l.one(now, a)
		if !ok {
			for _, taken := range asks[:i] {
				l.undo(taken)
			}
			return Permit{}, &Rejection{Limit: a.Limit, RetryAfter: after}
		}
	}
	return Permit{asks}, nil
}

func (l *Limits) one(now float64, a LimitKey) (after float64, ok bool) {
	x := &l.list[a.Limit]
	if x.Concurrency > 0 && l.inHand[a.Limit][a.Key] >= x.Concurrency {
		return 0, false
	}
	if b := l.rates[a.Limit]; b != nil {
		if after = b.take(now, a.Key); after > 0 {
			return after, false
		}
	}
	if x.Concurrency > 0 {
		l.inHand[a.Limit][a.Key]++
	}
	return 0, true
}

func (l *Limits) undo(a LimitKey) {
	if b := l.rates[a.Limit]; b != nil {
		b.give(a.Key)
	}
	l.leave(a)
}

// Release tells that a request has ended: it is in hand no more. A second call does nothing.
func (l *Limits) Release(t *Permit) {
	for _, a := range t.asks {
		l.leave(a)
	}
	t.asks = nil
}

func (l *Limits) leave(a LimitKey) {
	if l.list[a.Limit].Concurrency == 0 {
		return
	}
	if n := l.inHand[a.Limit]; n[a.Key] > 1 {
		n[a.Key]--
	} else {
		delete(n, a.Key) // so that it holds no more keys than requests are in hand
	}
}

// MaxKeys is how many keys a limit remembers, and how many it has forgotten that still owed time: each of those may have had
// its burst again too soon.
func (l *Limits) KeyCounts(limit int) (remembered, forgotten int) {
	if b := l.rates[limit]; b != nil {
		return b.n, b.forgotten
	}
	return len(l.inHand[limit]), 0
}

// buckets is a rate for each key, by the generic cell rate algorithm: due is when a key's bucket is full again. A key whose
// time has come is as good as unknown, so forgetting it loses nothing.
//
// They stand in one open table, a place of memory a request: at a million keys a map and a list of their order cost twice as much.
type buckets struct {
	every, depth float64 // s a request; s that a key may be ahead
	most         int
	list         []bucket // a power of two, half of it free; probed one after the other
	n            int
	hand         int // where the search for one to forget goes on
	forgotten    int
}

type bucket struct {
	key uint64 // 0: free
	due float64
}

const (
	noKey      = 0x9e3779b97f4a7c15 // stands for the key 0
	listLeast  = 16
	keysSpread = 0xd6e8feb86659fd93 // odd: spreads keys over the table
)

func (b *buckets) place(key uint64) int {
	key = (key ^ key>>32) * keysSpread
	return int(key>>20) & (len(b.list) - 1)
}

// find is where a key is, or the free place where it would be.
func (b *buckets) find(key uint64) *bucket {
	for i := b.place(key); ; i = (i + 1) & (len(b.list) - 1) {
		if x := &b.list[i]; x.key == key || x.key == 0 {
			return x
		}
	}
}

// take returns 0 where one more may come now, else in how many seconds.
func (b *buckets) take(now float64, key uint64) float64 {
	if key == 0 {
		key = noKey
	}
	if len(b.list) == 0 {
		b.list = make([]bucket, listLeast)
	}
	x := b.find(key)
	if x.key == 0 {
		if b.n >= b.most {
			b.forget(now)
		}
		if b.n++; 2*b.n > len(b.list) {
			b.grow()
		}
		x = b.find(key)
		x.key, x.due = key, 0
	}
	due := max(x.due, now) // a long pause fills the bucket and no more
	if ahead := due - now - b.depth; ahead > slack {
		return ahead
	}
	x.due = due + b.every
	return 0
}

// give takes back what take took.
func (b *buckets) give(key uint64) {
	if key == 0 {
		key = noKey
	}
	if x := b.find(key); x.key == key {
		x.due -= b.every
	}
}

func (b *buckets) grow() {
	old := b.list
	b.list = make([]bucket, 2*len(old))
	for _, x := range old {
		if x.key != 0 {
			*b.find(x.key) = x
		}
	}
}

// forget drops the key, of a few, that has been idle for longest.
func (b *buckets) forget(now float64) {
	best, mask := -1, len(b.list)-1
	for seen := 0; seen < min(lookedAt, b.n); b.hand = (b.hand + 1) & mask {
		if x := &b.list[b.hand]; x.key != 0 {
			if seen++; best < 0 || x.due < b.list[best].due {
				best = b.hand
			}
		}
	}
	if b.list[best].due > now {
		b.forgotten++
	}
	b.n--
	// what stands behind closes up, so that no search ends too early
	free := best
	for i := (best + 1) & mask; b.list[i].key != 0; i = (i + 1) & mask {
		if home := b.place(b.list[i].key); (i-home)&mask >= (i-free)&mask {
			b.list[free], free = b.list[i], i
		}
	}
	b.list[free] = bucket{}
}

// RetryBudget bounds further attempts to a share of recent first ones, so that a pool that fails is not stormed.
type RetryBudget struct {
	Ratio           float64
	Allowed, Denied int // further attempts allowed and not, since the start
	firsts, more    float64
	at              float64
}

func (b *RetryBudget) fade(now float64) {
	if now > b.at {
		f := math.Exp((b.at - now) / budgetFor)
		b.firsts, b.more, b.at = b.firsts*f, b.more*f, now
	}
}

// FirstAttempt notes a request's first attempt.
func (b *RetryBudget) FirstAttempt(now float64) {
	b.fade(now)
	b.firsts++
}

// AllowRetry tells whether a further attempt is in the budget, and spends it.
func (b *RetryBudget) AllowRetry(now float64) bool {
	b.fade(now)
	if b.more+1 > b.Ratio*b.firsts+budgetLeast {
		b.Denied++
		return false
	}
	b.more++
	b.Allowed++
	return true
}

// FairLimiter shares a pool's room between routes when it is nearly full: a route that has its part then waits for those that have
// not. With room left nobody is held to a part.
type FairLimiter struct {
	Capacity int
	Weights  []float64 // by route
	inHand   []int
	total    int
	asked    []float64 // when each route last did
}

// NewFairLimiter shares room between routes of these weights.
func NewFairLimiter(room int, weights []float64) *FairLimiter {
	f := &FairLimiter{Capacity: room, Weights: weights, inHand: make([]int, len(weights)), asked: make([]float64, len(weights))}
	for i := range f.asked {
		f.asked[i] = math.Inf(-1)
	}
	return f
}

// Acquire takes room for a route's request; false: there is none for it now.
func (f *FairLimiter) Acquire(now float64, route int) bool {
	f.asked[route] = now
	if f.total >= f.Capacity {
		return false
	}
	if float64(f.total) >= reservePart*float64(f.Capacity) && float64(f.inHand[route]+1) > f.part(now, route) {
		return false
	}
	f.inHand[route]++
	f.total++
	return true
}

// part is what a route may have of the room while others want it too.
func (f *FairLimiter) part(now float64, route int) float64 {
	sum := 0.0
	for i, w := range f.Weights {
		if f.inHand[i] > 0 || now-f.asked[i] <= activeFor {
			sum += w
		}
	}
	return max(float64(f.Capacity)*f.Weights[route]/sum, 1)
}

// Release gives a request's room back.
func (f *FairLimiter) Release(route int) {
	f.inHand[route]--
	f.total--
}
