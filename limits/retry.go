package limits

import "slices"

// RetrySafety says how a request may be sent again, as far as its rule goes; the decision module still decides each attempt.
type RetrySafety uint8

const (
	RetryNever  RetrySafety = iota // its effect must not come twice: single-use
	RetryKeyed                     // servers know a repeat by its mark: referenced
	RetryAlways                    // it may run again: replayable
)

func (a RetrySafety) String() string { return [...]string{"single-use", "referenced", "replayable"}[a] }

// RetryRule is a retry rule: by which method and mark a request may be sent again.
type RetryRule struct {
	Name              string
	IdempotentMethods []string // methods; nil: GET, HEAD, OPTIONS and TRACE
	KeyedMethods      []string // methods that a mark makes repeatable; nil: all others
	MaxAttempts       int      // of a request, at most; 0: as many as the deployment allows
	BudgetRatio       float64  // of recent first attempts in a pool that may be sent again
}

var freely = []string{"GET", "HEAD", "OPTIONS", "TRACE"}

// Owner is what a rule makes of a request: what it does not name is single-use. Danger: a method that is not known may have any
// effect, so it must not be taken for one that has none.
func (r *RetryRule) SafetyOf(method string, marked bool) RetrySafety {
	list := r.IdempotentMethods
	if list == nil {
		list = freely
	}
	switch {
	case slices.Contains(list, method):
		return RetryAlways
	case marked && (r.KeyedMethods == nil || slices.Contains(r.KeyedMethods, method)):
		return RetryKeyed
	}
	return RetryNever
}
