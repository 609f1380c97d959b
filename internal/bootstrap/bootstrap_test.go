package bootstrap

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"

	"lockloom/balance"
	"lockloom/internal/settings"
)

const file = `{"name":"n1","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"f2094eb940cf389a",
 "limits":{"cores":1.0,"memory_mb":192,"sockets":1024},
 "known":{"version":7,"full":true,"servers":[]},
 "settings":{"ReplicasOfMe":2,"Ceilings":{"Cancel":true,"ConnIdleMs":5000.0,"ConnectTimeoutMs":75.0,"MaxLegs":4,
   "RetryAfter":true,"MaxRetryAfterMs":1200.0},"Zones":["north","south"],"ValuePer":"work","Unheard":null,
  "Profiles":[{"Name":"look","Effect":"retryable","DueTimeMs":300,"HardStopMs":1000.0,"Value":1},
   {"Name":"sign","Effect":"dedup","DedupScope":"cell","WindowMs":300,"HardStopMs":500,"Value":10}],
  "Realms":[{"Name":"a","QuotaPerS":40}],"Rules":{"StopSendingWithinMs":2500}}}`

func TestParse(t *testing.T) {
	l, err := Parse([]byte(file))
	assert.NoError(t, err)
	assert.Equal(t, Limits{1, 192 << 20, 1024}, l.Limits)
	assert.Equal(t, int64(7), l.Known.Version)
	assert.Equal(t, settings.Settings{
		StreamsPerConnection: 1, Deployment: balance.Deployment{Seed: 0xf2094eb940cf389a, Proxies: 2, Zone: -1, MaxAttempts: 4, CancelAllowed: true, MaxRetryAfter: 1.2,
			WeightByWork: true, ServerIdleTimeout: 5, Classes: []balance.Class{
				{Name: "look", LatencyObjective: 0.3, Deadline: 1, PriorityWeight: 1},
				{Name: "sign", Idempotency: balance.Keyed, DedupScope: balance.DedupPod, DedupWindow: 0.3, Deadline: 0.5, PriorityWeight: 10}},
			Tenants: []balance.Tenant{{Name: "a", Quota: 40}}},
		Zones: []string{"north", "south"}, ConnectTimeout: 0.075, DrainGrace: 2.5}, l.Settings)
	r := l.NewRegistry()
	b := r.Endpoint(settings.Entry{Name: "s-1", ZoneName: "south", ModelName: "m"})
	assert.Equal(t, balance.Endpoint{Index: 0, NameHash: settings.NameHash("s-1"), Zone: 1, Model: 0}, b)
	assert.Equal(t, -1, r.Endpoint(settings.Entry{Name: "s-2", ZoneName: "west", ModelName: "m"}).Zone)
	assert.Equal(t, 0, r.Endpoint(settings.Entry{Name: "s-1"}).Index)
	assert.Equal(t, "s-2", r.Name(1))
	assert.Equal(t, -1, r.Tenant("b"))
}

func TestUnusable(t *testing.T) {
	for _, c := range []struct{ old, new, err string }{
		{`"f2094eb940cf389a"`, `"zz"`, "seed"},
		{`"127.0.0.1:1"`, `"nowhere"`, "discovery: address nowhere"},
		{`"sockets":1024`, `"sockets":0`, "limits"},
		{`"memory_mb":192`, `"memory_mb":"x"`, "memory_mb"},
		{`"known"`, `"unknown"`, "known or settings: missing"},
		{`"version":7,`, ``, "version: missing"},
		{`"retryable"`, `"odd"`, `settings: Profiles.0.Effect: unknown: "odd"`},
		{`"DueTimeMs":300`, `"DueTimeMs":"soon"`, "Profiles.0.DueTimeMs: not a number"},
		{`"Cancel":true`, `"Cancel":3`, "Ceilings.Cancel: not true or false"},
		{`{"name"`, `"name"`, "cannot unmarshal"},
	} {
		_, err := Parse([]byte(strings.Replace(file, c.old, c.new, 1)))
		assert.ErrorContains(t, err, c.err, c.new)
	}
}

func TestVariables(t *testing.T) {
	path := filepath.Join(t.TempDir(), "file.json")
	assert.NoError(t, os.WriteFile(path, []byte(file), 0o600))
	good := map[string]string{varName: "n3", varListen: "127.0.0.1:7", varDiscovery: "127.0.0.1:8", varFile: path}
	l, err := Read(func(name string) string { return good[name] })
	assert.NoError(t, err)
	assert.Equal(t, []string{"n3", "127.0.0.1:7", "127.0.0.1:1"}, []string{l.Name, l.Listen, l.Discovery})
	assert.NoError(t, os.WriteFile(path, []byte(strings.Replace(file, `"discovery"`, `"x"`, 1)), 0o600))
	l, err = Read(func(name string) string { return good[name] })
	assert.NoError(t, err)
	assert.Equal(t, "127.0.0.1:8", l.Discovery, "the variable's, where the file has none")
	for name := range good {
		_, err := Read(func(n string) string {
			if n == name {
				return ""
			}
			return good[n]
		})
		assert.EqualError(t, err, name+": missing")
	}
	for name, bad := range map[string]string{varListen: "nowhere", varDiscovery: "nowhere", varFile: path + "x"} {
		_, err := Read(func(n string) string {
			if n == name {
				return bad
			}
			return good[n]
		})
		assert.ErrorContains(t, err, name+": ")
	}
}

// moved is the file of a fleet in which each client process has a proxy of its own.
const moved = `{"seed":"1","limits":{"cores":1,"memory_mb":64,"sockets":264},
 "known":{"version":7,"full":true,"servers":[]},
 "peers":{"listen":"127.0.0.1:7100","peers":{"0":"127.0.0.1:7101"}},
 "settings":{"ReplicasOfMe":2,"SlotNo":1,"KindOfService":"mesh","Zone":"south","Zones":["north","south"],
  "Ceilings":{"PeerMessages":true,"Probes":true,"StreamsPerConn":1},"FamilyInfo":{"WarmKeys":false},
  "Feedback":{"Via":"on_probe","Fields":["outstanding","utilization"]},"Tariffs":{"Peer":0.01,"Probe":0.002,"Connection":0.03,"Handshake":0.12}}}`

// A mix of two shapes, or a setting that this program does not carry out, is refused by its key.
func TestMixedShapes(t *testing.T) {
	l, err := Parse([]byte(moved))
	assert.NoError(t, err)
	assert.Equal(t, Fleet{Listen: "127.0.0.1:7100", Peers: map[int]string{0: "127.0.0.1:7101"}}, l.Fleet)
	assert.Equal(t, balance.Deployment{Seed: 1, Proxies: 2, Self: 1, Zone: 1, Sidecar: true, Gossip: true, HealthChecks: true,
		GossipCost: 0.01, HealthCheckCost: 0.002, ConnectionCost: 0.03, HandshakeCost: 0.12}, l.Deployment)
	for _, field := range []string{`"outstanding"`, `"utilization"`} {
		l, err = Parse([]byte(strings.Replace(moved, field, `"backlog"`, 1)))
		assert.NoError(t, err)
		assert.False(t, l.HealthChecks, "a probe costs, and without both nothing that is told would help")
	}
	l, err = Parse([]byte(strings.NewReplacer(`"mesh"`, `"proxy"`, `"Ceilings"`, `"Rules":{"GoneIsAdvice":true},"Ceilings"`).Replace(moved)))
	assert.NoError(t, err, "proxies that clients share may tell and ask too")
	assert.True(t, l.Gossip && l.HealthChecks && l.RemovalIsAdvisory && !l.Sidecar)
	for _, c := range []struct{ text, old, new, err string }{
		{moved, `"PeerMessages":true`, `"PeerMessages":false`, "Ceilings.PeerMessages: not true, but there are peers"},
		{moved, `"PeerMessages":true,`, `"PeerMessages":3,`, "Ceilings.PeerMessages: not true or false"},
		{moved, `"on_probe"`, `"inline"`, "Feedback.Via: inline, but KindOfService is mesh"},
		{moved, `"WarmKeys":false`, `"WarmKeys":true`, "FamilyInfo.WarmKeys: true, but KindOfService is mesh"},
		{moved, `"Zone":"south"`, `"Zone":"west"`, `Zone: not among Zones: "west"`},
		{moved, `"StreamsPerConn":1`, `"StreamsPerConn":100`, "Ceilings.StreamsPerConn: 100: this program"},
		{moved, `"StreamsPerConn":1`, `"StreamsPerConn":0`, "Ceilings.StreamsPerConn: under 1"},
		{moved, `"127.0.0.1:7100"`, `""`, "peers.listen is no address"},
		{moved, `"127.0.0.1:7100"`, `"localhost:7100"`, "peers.listen is no address"},
		{moved, `{"0":"127.0.0.1:7101"}`, `{}`, "peers.peers has none"},
		{moved, `"127.0.0.1:7101"`, `"here"`, "peers.peers: 0: "},
		{moved, `{"0":`, `{"1":`, "peers.peers: 1: no other proxy's number of 2"},
		{moved, `"SlotNo":1`, `"SlotNo":"x"`, "SlotNo: not a number"},
		{moved, `"Peer":0.01`, `"Peer":"x"`, "Tariffs.Peer: not a number"},
		{moved, `"Probe":0.002`, `"Probe":"x"`, "Tariffs.Probe: not a number"},
		{moved, `"Connection":0.03`, `"Connection":"x"`, "Tariffs.Connection: not a number"},
		{moved, `"StreamsPerConn":1`, `"StreamsPerConn":"x"`, "Ceilings.StreamsPerConn: not a number"},
		{moved, `"Tariffs"`, `"Rules":{"GoneIsAdvice":"perhaps"},"Tariffs"`, `Rules.GoneIsAdvice: not true or false: "perhaps"`},
		{moved, `"SlotNo":1`, `"SlotNo":2`, "SlotNo: 2: no number of a proxy of 2"},
	} {
		_, err := Parse([]byte(strings.Replace(c.text, c.old, c.new, 1)))
		assert.ErrorContains(t, err, c.err, c.new)
	}
}
