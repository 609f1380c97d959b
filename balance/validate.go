package balance

import (
	"errors"
	"fmt"
)

// setting is a number in a Deployment, and its name in error messages.
type setting struct {
	name  string
	value float64
}

// validate returns an error that names the first missing or invalid setting, or nil if there is none.
func (d *Deployment) validate() error {
	if len(d.Classes) == 0 {
		return errors.New("no classes")
	}
	for _, class := range d.Classes {
		if class.Deadline == 0 {
			return fmt.Errorf("class %q has no deadline", class.Name)
		}
	}
	for _, s := range d.settings() {
		if !(s.value >= 0) { // true for NaN, too
			return fmt.Errorf("%s is negative or not a number: %v", s.name, s.value)
		}
	}
	return nil
}

// settings returns the numbers that must not be negative.
func (d *Deployment) settings() []setting {
	list := []setting{
		{"slow start duration", d.SlowStartDuration},
		{"crash duration", d.CrashDuration},
		{"crash factor", d.CrashFactor},
		{"slow start fraction", d.SlowStartFraction},
		{"notification deadline", d.NotificationDeadline},
		{"longest Retry-After", d.MaxRetryAfter},
		{"connection cost", d.ConnectionCost},
		{"gossip cost", d.GossipCost},
		{"health check cost", d.HealthCheckCost},
	}
	for _, class := range d.Classes {
		list = append(list,
			setting{class.Name + ": latency objective", class.LatencyObjective},
			setting{class.Name + ": deadline", class.Deadline},
			setting{class.Name + ": deduplication window", class.DedupWindow},
			setting{class.Name + ": priority weight", class.PriorityWeight},
		)
	}
	for _, tenant := range d.Tenants {
		list = append(list, setting{tenant.Name + ": quota", tenant.Quota})
	}
	return list
}
