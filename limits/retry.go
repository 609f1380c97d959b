package limits

import (
	"math"
	"slices"
)

// RetrySafety is how a request may be retried, as far as its rule goes; package balance still decides each attempt.
type RetrySafety uint8

// The degrees of safety.
const (
	RetryNever  RetrySafety = iota // non-idempotent: it must not run twice
	RetryKeyed                     // servers drop a repeat by its idempotency key
	RetryAlways                    // idempotent: it may run again
)

var safetyNames = [...]string{"non-idempotent", "keyed", "idempotent"}

// String returns the glossary's word for the requests of this safety.
func (s RetrySafety) String() string { return safetyNames[s] }

// RetryRule says by which method and key a request may be retried.
type RetryRule struct {
	Name              string
	IdempotentMethods []string // nil: GET, HEAD, OPTIONS and TRACE
	KeyedMethods      []string // those that an idempotency key makes repeatable; nil: all others
	MaxAttempts       int      // of a request; 0: as many as the deployment allows
	BudgetRatio       float64  // the most retries in a pool for each of its recent first attempts
}

var defaultIdempotentMethods = []string{"GET", "HEAD", "OPTIONS", "TRACE"}

// SafetyOf returns how a request may be retried. One that the rule does not name never is: a method that is unknown may
// have any effect.
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
	budgetWindow = 10.0 // seconds: the time constant by which attempts fade from a budget
	minRetries   = 3.0  // in that time that are always allowed: a fraction of next to nothing would allow none
)

// RetryBudget bounds retries to a fraction of recent first attempts, so that a pool that fails is not stormed. The zero
// value is ready for use.
type RetryBudget struct {
	Ratio           float64 // retries for each first attempt
	Allowed, Denied int     // retries, since the start

	firstAttempts, retries float64 // recent ones
	fadedAt                float64 // seconds
}

func (b *RetryBudget) fade(now float64) {
	if now <= b.fadedAt {
		return
	}
	factor := math.Exp((b.fadedAt - now) / budgetWindow)
	b.firstAttempts *= factor
	b.retries *= factor
	b.fadedAt = now
}

// FirstAttempt records a request's first attempt.
func (b *RetryBudget) FirstAttempt(now float64) {
	b.fade(now)
	b.firstAttempts++
}

// AllowRetry reports whether a retry is within the budget, and spends it.
func (b *RetryBudget) AllowRetry(now float64) bool {
	b.fade(now)
	if b.retries+1 > b.Ratio*b.firstAttempts+minRetries {
		b.Denied++
		return false
	}
	b.retries++
	b.Allowed++
	return true
}
