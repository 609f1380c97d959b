package config

import (
	"slices"
	"strings"

	"lockloom/limits"
)

const (
	fieldPrefix = "field:" // prefix of a limit's key that names a header field
	maxAttempts = 16
)

var limitKeys = []string{"all", "route", "customer", "address"}

// readLimits checks the limits, and builds them unless the file has had an error so far.
func (r *reader) readLimits() {
	names := r.file.limitNames()
	var list []limits.Limit
	for i, limit := range r.file.Limits {
		table := r.table("limit", i+1)
		table.checkName(limit.Name, names[:i])
		if !strings.HasPrefix(limit.By, fieldPrefix) {
			table.checkKnown("by", "key", limit.By, limitKeys)
		}
		if limit.By == "" {
			table.fail("by", "missing: must be all, route, customer, address or field:NAME")
		}
		list = append(list, limits.Limit{
			Name:        limit.Name,
			Rate:        limit.Rate,
			Burst:       limit.Burst,
			Concurrency: limit.Concurrency,
			MaxKeys:     limit.MaxKeys,
		})
		if _, err := limits.New(list[i:]); err != nil {
			table.fail("", "%v", err)
		}
	}
	if len(r.errs) == 0 {
		r.config.Limits, _ = limits.New(list) // no error: each limit was checked above
	}
}

func (r *reader) readRetries() {
	names := r.file.retryNames()
	for i, retry := range r.file.Retries {
		table := r.table("retry", i+1)
		table.checkName(retry.Name, names[:i])
		budgetRatio := defaultBudgetRatio
		if retry.BudgetRatio != nil {
			budgetRatio = *retry.BudgetRatio
		}
		table.checkRange("share", budgetRatio, 0, 1)
		table.checkRange("legs", float64(retry.MaxAttempts), 0, maxAttempts)
		for _, method := range slices.Concat(retry.IdempotentMethods, retry.KeyedMethods) {
			if !isMethod(method) {
				table.fail("freely", "method %q must be in upper case", method)
			}
		}
		r.config.RetryRules = append(r.config.RetryRules, limits.RetryRule{
			Name:              retry.Name,
			IdempotentMethods: retry.IdempotentMethods,
			KeyedMethods:      retry.KeyedMethods,
			MaxAttempts:       retry.MaxAttempts,
			BudgetRatio:       budgetRatio,
		})
	}
}

func isMethod(method string) bool { return method != "" && strings.ToUpper(method) == method }
