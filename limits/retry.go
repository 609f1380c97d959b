package limits

import (
	"math"
	"slices"
)

// RetrySafety says whether a retry rule allows a request to be retried. Package balance still decides on each attempt.
type RetrySafety uint8

// Whether a request may be retried.
const (
	RetryNever  RetrySafety = iota // non-idempotent: it must not run twice
	RetryKeyed                     // may be retried: servers drop repeats by its idempotency key
	RetryAlways                    // idempotent: it may run more than once
)

var safetyNames = [...]string{"non-idempotent", "keyed", "idempotent"}

// String returns the name that the sub-command explain prints, such as "idempotent".
func (s RetrySafety) String() string { return safetyNames[s] }

// RetryRule says which requests may be retried, by their method and idempotency key, and how often.
type RetryRule struct {
	Name              string
	IdempotentMethods []string // nil: GET, HEAD, OPTIONS and TRACE
	KeyedMethods      []string // methods that may be retried with an idempotency key; nil: all others
	MaxAttempts       int      // maximum number of attempts of a request; 0: as many as the deployment allows
	BudgetRatio       float64  // maximum ratio of a pool's retries to its recent first attempts
}

var defaultIdempotentMethods = []string{"GET", "HEAD", "OPTIONS", "TRACE"}

// SafetyOf returns whether a request may be retried. A method that the rule does not cover is never retried, since an
// unknown method may have any effect.
func (r *RetryRule) SafetyOf(method string, hasKey bool) RetrySafety {
	idempotent := r.IdempotentMethods
	if idempotent == nil {
		idempotent = defaultIdempotentMethods
	}
	switch {
	case slices.Contains(idempotent, method):
		return RetryAlways
	case hasKey && (r.KeyedMethods == nil || slices.Contains(r.KeyedMethods, method)):
		return RetryKeyed
	}
	return RetryNever
}

const (
	budgetWindow = 10.0 // seconds; time constant of the exponential decay of the counted attempts
	minRetries   = 3.0  // retries per budgetWindow that are always allowed, since the ratio of few attempts allows none
)

// RetryBudget limits retries to a ratio of recent first attempts, which prevents a retry storm when a pool fails. The
// zero value is ready to use.
type RetryBudget struct {
	Ratio           float64 // maximum number of retries per first attempt
	Allowed, Denied int     // counts of retries since the start

	firstAttempts, retries float64 // counts that decay exponentially with the time constant budgetWindow
	decayedAt              float64 // time of the last decay, in seconds
}

func (b *RetryBudget) decay(now float64) {
	if now <= b.decayedAt {
		return
	}
	factor := math.Exp((b.decayedAt - now) / budgetWindow)
	b.firstAttempts *= factor
	b.retries *= factor
	b.decayedAt = now
}

// FirstAttempt records the first attempt of a request.
func (b *RetryBudget) FirstAttempt(now float64) {
	b.decay(now)
	b.firstAttempts++
}

// AllowRetry reports whether the budget allows a retry now, and if so, counts it.
func (b *RetryBudget) AllowRetry(now float64) bool {
	b.decay(now)
	if b.retries+1 > b.Ratio*b.firstAttempts+minRetries {
		b.Denied++
		return false
	}
	b.retries++
	b.Allowed++
	return true
}
