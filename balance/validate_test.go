package balance

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestInvalidDeploymentsAreRejected(t *testing.T) {
	for _, c := range []struct {
		want   string
		change func(*Deployment)
	}{
		{"no classes", func(d *Deployment) { d.Classes = nil }},
		{"plain: latency objective", func(d *Deployment) { d.Classes[0].LatencyObjective = -1 }},
		{`class "plain" has no deadline`, func(d *Deployment) { d.Classes[0].Deadline = 0 }},
		{"slow start duration", func(d *Deployment) { d.SlowStartDuration = -1 }},
		{"gossip cost", func(d *Deployment) { d.GossipCost = -1 }},
		{"small: quota", func(d *Deployment) { d.Tenants = []Tenant{{"small", -1}} }},
	} {
		d := deployment()
		c.change(&d)
		_, err := New(d, 0)
		assert.ErrorContains(t, err, c.want)
	}
}
