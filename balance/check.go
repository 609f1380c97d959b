package balance

import (
	"errors"
	"fmt"
)

// check names what in a deployment cannot be decided on.
func (d *Deployment) check() error {
	if len(d.Classes) == 0 {
		return errors.New("no tariffs")
	}
	type figure struct {
		name  string
		value float64
	}
	figures := []figure{{"cold time", d.SlowStartDuration}, {"fall time", d.CrashDuration}, {"fall multiple", d.CrashFactor},
		{"cold share", d.SlowStartFraction}, {"ask time", d.NotificationDeadline}, {"longest advice", d.MaxRetryAfter},
		{"price of connections", d.ConnectionCost}, {"price of notes", d.GossipCost},
		{"price of probes", d.HealthCheckCost}}
	for _, t := range d.Classes {
		figures = append(figures, figure{t.Name + ": due time", t.LatencyObjective}, figure{t.Name + ": hard stop", t.Deadline},
			figure{t.Name + ": window", t.DedupWindow}, figure{t.Name + ": value", t.PriorityWeight})
		if t.Deadline == 0 {
			return fmt.Errorf("%s: no hard stop", t.Name)
		}
	}
	for _, c := range d.Tenants {
		figures = append(figures, figure{c.Name + ": quota", c.Quota})
	}
	for _, f := range figures {
		if !(f.value >= 0) {
			return fmt.Errorf("%s is negative or no number: %v", f.name, f.value)
		}
	}
	return nil
}
