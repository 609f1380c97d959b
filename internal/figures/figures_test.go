package figures

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"lockloom/balance"
)

func TestReport(t *testing.T) {
	for _, c := range []struct {
		text string
		want balance.Report
	}{
		{"outstanding:3.5,utilization:0.25", balance.Report{Held: 3.5, Busy: 0.25}},
		{"utilization:1, outstanding: 0", balance.Report{Held: 0, Busy: 1}},
		{"novel:7,outstanding:2", balance.Report{Held: 2, Busy: untold}},
		{"", balance.Report{Held: untold, Busy: untold}},
		{"outstanding", balance.Report{Held: untold, Busy: untold}},
		{"outstanding:x,utilization:NaN", balance.Report{Held: untold, Busy: untold}},
		{"outstanding:-1,utilization:1e300", balance.Report{Held: untold, Busy: untold}},
	} {
		assert.Equal(t, c.want, Report(c.text), c.text)
	}
}

func TestShape(t *testing.T) {
	told := map[string]string{"Zones": "a,b", "Zone": "b", "SlotNo": "3", "KindOfService": "mesh", "Ceilings.PeerMessages": "true",
		"Ceilings.Probes": "true", "Feedback.Via": "on_probe", "Feedback.Fields": "utilization,outstanding", "Tariffs.Peer": "0.01",
		"Tariffs.Probe": "0.002", "Tariffs.Connection": "0.03", "Ceilings.StreamsPerConn": "100"}
	f, err := Read(told, 1)
	assert.NoError(t, err)
	assert.Equal(t, balance.Deployment{Seed: 1, Self: 3, Zone: 1, Apart: true, Peers: true, Probes: true, PeerPrice: 0.01,
		ProbePrice: 0.002, ConnPrice: 0.03}, f.Deployment)
	assert.Equal(t, 100, f.Streams)
	told["Feedback.Fields"] = "throughput,backlog"
	f, err = Read(told, 1)
	assert.NoError(t, err)
	assert.False(t, f.Probes, "a probe costs, and nothing that is told would help")
	f, err = Read(map[string]string{"Zones": "a"}, 1)
	assert.NoError(t, err)
	assert.Equal(t, balance.Deployment{Seed: 1, Zone: -1}, f.Deployment, "the old shape is the default")
	assert.Equal(t, 1, f.Streams)
	for _, key := range []string{"SlotNo", "Tariffs.Peer", "Tariffs.Probe", "Tariffs.Connection", "Ceilings.StreamsPerConn"} {
		_, err = Read(map[string]string{key: "x"}, 1)
		assert.ErrorContains(t, err, key+": not a number")
	}
}
