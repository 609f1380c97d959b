package limits

import (
	"errors"
	"fmt"
	"math"
)

const (
	maxKeys        = 1 << 20 // upper bound and default of Limit.MaxKeys
	maxConcurrency = 1 << 30 // upper bound of Limit.Concurrency
)

// Limit bounds the request rate or concurrency of each key (a route, a tenant or a client address). A limit that
// applies to all requests together uses the key 0.
type Limit struct {
	Name        string
	Rate        float64 // requests per second for each key; 0: no limit
	Burst       float64 // requests that a key may send at once after an idle time; less than 1 counts as 1
	Concurrency int     // requests in flight for each key; 0: no limit
	MaxKeys     int     // keys whose rate is tracked; 0: a million (1 << 20)
}

func (l *Limit) check() error {
	valid := l.Rate >= 0 && !math.IsInf(l.Rate, 1) && l.Burst >= 0 && !math.IsInf(l.Burst, 1) &&
		l.Concurrency >= 0 && l.Concurrency <= maxConcurrency && l.MaxKeys >= 0 && l.MaxKeys <= maxKeys
	if !valid {
		return fmt.Errorf("limit %q: rate %v, burst %v, concurrency %d, %d keys: must be finite and not negative, "+
			"concurrency at most %d, keys at most %d",
			l.Name, l.Rate, l.Burst, l.Concurrency, l.MaxKeys, maxConcurrency, maxKeys)
	}
	if l.Rate == 0 && l.Concurrency == 0 {
		return fmt.Errorf("limit %q: neither a rate nor a concurrency is set", l.Name)
	}
	return nil
}

// LimitKey names a limit that applies to a request, and the key under which the request is counted there.
type LimitKey struct {
	Limit int // index in the list passed to New
	Key   uint64
}

// Rejection says which limit rejected a request.
type Rejection struct {
	Limit      int     // index in the list passed to New
	RetryAfter float64 // seconds until it would be admitted; 0: unknown, another request of the key must end first
}

// Limits enforces a list of limits. By convention, wider limits come first in the list.
type Limits struct {
	limits []limitState
}

// limitState holds a limit and the state of its keys.
type limitState struct {
	Limit
	rates    *rateTable     // nil: no rate limit
	inFlight map[uint64]int // number of requests in flight, by key
}

// Permit records the limits under which an admitted request is counted. The zero value records none.
type Permit struct{ keys []LimitKey }

// New returns Limits for a list. The returned error joins one error per invalid limit.
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

// Acquire checks a request against the limits of its keys, in order. If a limit rejects the request, the limits checked
// before it stop counting the request, so that a rejected request counts toward no limit. The Permit keeps a reference
// to keys until it is released.
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

// Release records that a request has ended and is no longer in flight. Further calls with the same permit do nothing.
func (l *Limits) Release(permit *Permit) {
	for _, key := range permit.keys {
		l.limits[key.Limit].release(key.Key)
	}
	permit.keys = nil
}

// KeyCounts returns how many keys a limit tracks, and how many it has evicted before a full burst was available to them
// again. A key evicted that early may exceed its rate by up to one burst.
func (l *Limits) KeyCounts(limit int) (tracked, evictedEarly int) {
	state := &l.limits[limit]
	if state.rates != nil {
		return state.rates.count, state.rates.evictedEarly
	}
	return len(state.inFlight), 0
}

// acquire counts a request unless its concurrency or rate limit is reached; retryAfter is as in Rejection.
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

// undo reverts an acquire that admitted a request.
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
		delete(l.inFlight, key) // the map never holds more keys than there are requests in flight
	}
}
