package limits

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestRetryBudget(t *testing.T) {
	for name, c := range map[string]struct {
		rate, ratio        float64 // first attempts per second, all of which fail, and the budget's ratio
		minRatio, maxRatio float64 // bounds of the retries per first attempt, in the long run
	}{
		"ratio of a tenth":   {100, .1, .08, .14},
		"ratio of zero":      {100, 0, 0, .01},
		"few first attempts": {.01, .1, 1, 3},
	} {
		budget := RetryBudget{Ratio: c.ratio}
		firstAttempts := 0.0
		for now := 0.0; now < 600; now += 1 / c.rate {
			budget.FirstAttempt(now)
			firstAttempts++
			for range 3 {
				budget.AllowRetry(now)
			}
		}
		allowed := float64(budget.Allowed)
		within := allowed >= c.minRatio*firstAttempts && allowed <= c.maxRatio*firstAttempts+minRetries
		assert.True(t, within, "%s: %d retries allowed for %v first attempts", name, budget.Allowed, firstAttempts)
	}
}
