package main

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"

	"lockloom/internal/simwire"
)

// launch holds the messages that launch an instance with one server.
const launch = "launch Prng=5 Profiles.count=1 Profiles.0.Name=a Profiles.0.Effect=retryable " +
	"Profiles.0.DueTimeMs=300 Profiles.0.HardStopMs=1000 Profiles.0.Value=1 ReplicasOfMe=1 " +
	"Ceilings.MaxLegs=3 Discovery=subscribe ObjectiveMix.Whole=1 Zones=z Zone=z New.Thing=9\n" +
	"page List=0 NodesList=1\nentry Backend=10.0.0.1:7000 Az=z StageState=Ready Heft=1\nview Revision=1 How=C List=0\n"

// runHost returns the replies of a new host to input.
func runHost(in string) (string, error) {
	var out strings.Builder
	err := simwire.Read(strings.NewReader(in), newHost(&out))
	return out.String(), err
}

func TestRequestIsAnsweredOnTheWire(t *testing.T) {
	out, err := runHost("sync MomentMs=0 frame=1\ngo\nsync MomentMs=5.5 frame=2\ninstance Proxy=3\n" + launch +
		"order Job=j1 Class=a DeadlineMs=900\ngo\n" +
		"sync MomentMs=20 frame=3\ninstance Proxy=3\nfinished Job=j1 Leg=0 LatencyMs=14 Status=pass " +
		"Backend=10.0.0.1:7000 Over=1 Pressure=utilization:0.5,novel:1\nclient_left Job=j1\ngo\n" +
		"sync MomentMs=30 frame=4\ninstance Proxy=3\ndown\ngo\n")
	assert.NoError(t, err)
	assert.Equal(t, "ready frame=1\ncontext Proxy=3\nkeep_informed Enable=1\nwake_at AfterMs=884.500 Label=1\n"+
		"try Job=j1 Backend=10.0.0.1:7000 NotPastMs=900.000\nwake_at AfterMs=225.000 Label=1\nready frame=2\n"+
		"ready frame=3\nready frame=4\n", out)
}

func TestMalformedInput(t *testing.T) {
	begin := "sync MomentMs=0 frame=1\ninstance Proxy=3\n"
	for _, c := range []struct{ in, want string }{
		{"go\n", "line 1: go"},
		{"sync frame=1\n", "line 1: sync: MomentMs: missing"},
		{"sync MomentMs=x frame=1\n", "line 1: sync: MomentMs: not a number"},
		{begin + "hello\n", "line 3: hello: message: unknown"},
		{begin + "down\n", "line 3: down: Proxy: unknown instance 3"},
		{begin + "fired Label=1\n", "unknown instance 3"},
		{begin + "launch Prng=1\n", "line 3: launch: no classes"},
		{begin + strings.Replace(launch, "retryable", "odd", 1), "Profiles.0.Effect: unknown"},
		{begin + strings.Replace(launch, "StageState=Ready", "", 1), "line 5: entry: StageState: missing"},
		{begin + strings.Replace(launch, "How=C", "How=Q", 1), "line 6: view: How: unknown"},
		{begin + strings.Replace(launch, "C List=0", "C List=4", 1), "List: no such list"},
		{begin + launch + "order Job=j Class=b DeadlineMs=9\n", "line 7: order: Class: unknown"},
		{begin + launch + "order Job=j Class=a\n", "line 7: order: DeadlineMs: missing"},
		{begin + launch + "finished Job=j Leg=0 LatencyMs=1 Status=well\n", "Status: unknown"},
		{begin + launch + "fired Label=8\n", "Label: no timer has this label: 8"},
		{begin + launch + "check_result Status=pass\n", "check_result: Backend: missing"},
		{begin + launch + "peer_data Data=01\n", "peer_data: Who: missing"},
	} {
		_, err := runHost(c.in)
		assert.ErrorContains(t, err, c.want)
	}
}

// With gossip and health checks in use, the balancer's actions must be written, their results must reach the balancer,
// and malformed messages must change nothing.
func TestGossipAndHealthChecks(t *testing.T) {
	settings := strings.Replace(launch, "ReplicasOfMe=1",
		"ReplicasOfMe=2 SlotNo=1 KindOfService=mesh Ceilings.PeerMessages=true Ceilings.Probes=true "+
			"Feedback.Via=on_probe Feedback.Fields=outstanding,novel,utilization "+
			"Tariffs.Peer=0.004 Tariffs.Probe=0.004 Tariffs.Connection=0.03", 1)
	out, err := runHost("sync MomentMs=0 frame=1\ninstance Proxy=1\n" + settings +
		"order Job=j1 Class=a DeadlineMs=900\ngo\n" +
		"sync MomentMs=20 frame=2\ninstance Proxy=1\n" +
		"finished Job=j1 Leg=0 LatencyMs=14 Status=pass Backend=10.0.0.1:7000 Over=1\n" +
		"check_result Backend=10.0.0.1:7000 Status=pass LatencyMs=1 Pressure=outstanding:2.5,novel:x\n" +
		"check_result Backend=10.0.0.9:7000 Status=too_slow LatencyMs=150\n" +
		"peer_data Who=0 Data=0100\npeer_data Who=0 Data=010010\ngo\n" +
		"sync MomentMs=40 frame=3\ninstance Proxy=1\norder Job=j2 Class=a DeadlineMs=940\ngo\n" +
		"sync MomentMs=2100 frame=4\ninstance Proxy=1\n" +
		"finished Job=j2 Leg=0 LatencyMs=14 Status=pass Backend=10.0.0.1:7000 Over=1\ngo\n" +
		"sync MomentMs=4200 frame=5\ninstance Proxy=1\nfired Label=0\ngo\n")
	assert.NoError(t, err)
	assert.Contains(t, out, "inspect Backend=10.0.0.1:7000\n")
	assert.Contains(t, out, "broadcast_to Target=0 Data=01")
	assert.Contains(t, out, "hang_up Backend=10.0.0.1:7000\n")
}
