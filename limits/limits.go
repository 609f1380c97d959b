package limits

import (
	"errors"
	"fmt"
	"math"
)

const (
	maxKeys        = 1 << 20 // of one limit, and the number that it remembers if it sets none
	maxConcurrency = 1 << 30
)

// Limit bounds the requests of each of many keys (a route, a tenant, an address), or of one thing with the key 0.
type Limit struct {
	Name        string
	Rate        float64 // requests a second; 0: no limit
	Burst       float64 // requests that may come at once after a pause; less than 1 counts as 1
	Concurrency int     // requests in flight; 0: no limit
	MaxKeys     int     // remembered for the rate; 0: a million
}

func (l *Limit) check() error {
	valid := l.Rate >= 0 && !math.IsInf(l.Rate, 1) && l.Burst >= 0 && !math.IsInf(l.Burst, 1) &&
		l.Concurrency >= 0 && l.Concurrency <= maxConcurrency && l.MaxKeys >= 0 && l.MaxKeys <= maxKeys
	if !valid {
		return fmt.Errorf("limit %q: rate %v, burst %v, concurrency %d, %d keys",
			l.Name, l.Rate, l.Burst, l.Concurrency, l.MaxKeys)
	}
	if l.Rate == 0 && l.Concurrency == 0 {
		return fmt.Errorf("limit %q: neither a rate nor a concurrency", l.Name)
	}
	return nil
}

// LimitKey is one limit that a request must pass, and the key under which it counts there.
type LimitKey struct {
	Limit int // its index in the list that New was given
	Key   uint64
}

// Rejection is the limit that a request did not pass.
type Rejection struct {
	Limit      int
	RetryAfter float64 // seconds until it would pass; 0: when another request of the key ends
}

// Limits are limits in an order, by custom the wider ones first.
type Limits struct {
	limits []limitState
}

// limitState is a limit, and what counts under it.
type limitState struct {
	Limit
	rates    *rateTable     // nil: no rate
	inFlight map[uint64]int // by key
}

// Permit is what a request has taken of its limits; the zero value is nothing.
type Permit struct{ keys []LimitKey }

// New returns limits. The error joins one for each limit that is not valid.
func New(list []Limit) (*Limits, error) {
	limits := &Limits{}
	var errs []error
	for _, limit := range list {
		if err := limit.check(); err != nil {
			errs = append(errs, err)
		}
		state := limitState{Limit: limit, inFlight: map[uint64]int{}}
		if limit.Rate > 0 {
			state.rates = newRateTable(limit)
		}
		limits.limits = append(limits.limits, state)
	}
	return limits, errors.Join(errs...)
}

// Acquire takes a request through limits in order. If one rejects it, what it took of the others is given back: a
// rejected request counts nowhere. The Permit refers to keys until it is released.
func (l *Limits) Acquire(now float64, keys []LimitKey) (Permit, *Rejection) {
	for i, key := range keys {
		retryAfter, admitted := l.limits[key.Limit].acquire(now, key.Key)
		if !admitted {
			for _, taken := range keys[:i] {
				l.limits[taken.Limit].undo(taken.Key)
			}
			return Permit{}, &Rejection{Limit: key.Limit, RetryAfter: retryAfter}
		}
	}
	return Permit{keys}, nil
}

// Release records that a request has ended: it is no longer in flight. A second call for a permit does nothing.
func (l *Limits) Release(permit *Permit) {
	for _, key := range permit.keys {
		l.limits[key.Limit].release(key.Key)
	}
	permit.keys = nil
}

// KeyCounts returns how many keys a limit remembers, and how many it has forgotten before their rate allowed a full
// burst again: each of those may have had its next burst too soon.
func (l *Limits) KeyCounts(limit int) (remembered, forgotten int) {
	state := &l.limits[limit]
	if state.rates != nil {
		return state.rates.count, state.rates.forgotten
	}
	return len(state.inFlight), 0
}

func (l *limitState) acquire(now float64, key uint64) (retryAfter float64, admitted bool) {
	if l.Concurrency > 0 && l.inFlight[key] >= l.Concurrency {
		return 0, false
	}
	if l.rates != nil {
		if retryAfter = l.rates.take(now, key); retryAfter > 0 {
			return retryAfter, false
		}
	}
	if l.Concurrency > 0 {
		l.inFlight[key]++
	}
	return 0, true
}

func (l *limitState) undo(key uint64) {
	if l.rates != nil {
		l.rates.giveBack(key)
	}
	l.release(key)
}

func (l *limitState) release(key uint64) {
	if l.Concurrency == 0 {
		return
	}
	if l.inFlight[key] > 1 {
		l.inFlight[key]--
	} else {
		delete(l.inFlight, key) // so that the map holds no more keys than requests are in flight
	}
}
