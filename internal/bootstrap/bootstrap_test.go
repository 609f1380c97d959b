package bootstrap

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"lockloom/balance"
	"lockloom/internal/settings"
)

// sharedProxy is the launch file of a proxy that clients share.
const sharedProxy = `{"name":"n1","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"f2094eb940cf389a",
 "limits":{"cores":1.0,"memory_mb":192,"sockets":1024},
 "known":{"version":7,"full":true,"servers":[]},
 "settings":{"ReplicasOfMe":2,"Ceilings":{"Cancel":true,"ConnIdleMs":5000.0,"ConnectTimeoutMs":75.0,"MaxLegs":4,
   "RetryAfter":true,"MaxRetryAfterMs":1200.0},"Zones":["north","south"],"ValuePer":"work","Unheard":null,
  "Profiles":[{"Name":"look","Effect":"retryable","DueTimeMs":300,"HardStopMs":1000.0,"Value":1},
   {"Name":"sign","Effect":"dedup","DedupScope":"cell","WindowMs":300,"HardStopMs":500,"Value":10}],
  "Realms":[{"Name":"a","QuotaPerS":40}],"Rules":{"StopSendingWithinMs":2500}}}`

func TestParse(t *testing.T) {
	config, err := Parse([]byte(sharedProxy))
	require.NoError(t, err)
	assert.Equal(t, Limits{1, 192 << 20, 1024}, config.Limits)
	assert.Equal(t, int64(7), config.KnownEndpoints.Version)
	assert.Equal(t, settings.Settings{
		StreamsPerConnection: 1,
		Deployment: balance.Deployment{
			Seed: 0xf2094eb940cf389a, Proxies: 2, Zone: -1, MaxAttempts: 4, CancelAllowed: true, MaxRetryAfter: 1.2,
			WeightByWork: true, ServerIdleTimeout: 5,
			Classes: []balance.Class{
				{Name: "look", LatencyObjective: 0.3, Deadline: 1, PriorityWeight: 1},
				{
					Name: "sign", Idempotency: balance.Keyed, DedupScope: balance.DedupPod, DedupWindow: 0.3,
					Deadline: 0.5, PriorityWeight: 10,
				},
			},
			Tenants: []balance.Tenant{{Name: "a", Quota: 40}},
		},
		Zones: []string{"north", "south"}, ConnectTimeout: 0.075, DrainGrace: 2.5,
	}, config.Settings)
}

func TestRegistryOfParsedSettings(t *testing.T) {
	config, err := Parse([]byte(sharedProxy))
	require.NoError(t, err)
	registry := config.NewRegistry()
	endpoint := registry.Endpoint(settings.Entry{Name: "s-1", ZoneName: "south", ModelName: "m"})
	assert.Equal(t, balance.Endpoint{Index: 0, NameHash: settings.NameHash("s-1"), Zone: 1, Model: 0}, endpoint)
	assert.Equal(t, -1, registry.Endpoint(settings.Entry{Name: "s-2", ZoneName: "west", ModelName: "m"}).Zone)
	assert.Equal(t, 0, registry.Endpoint(settings.Entry{Name: "s-1"}).Index)
	assert.Equal(t, "s-2", registry.Name(1))
	assert.Equal(t, -1, registry.Tenant("b"))
}

func TestParseErrors(t *testing.T) {
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
		_, err := Parse([]byte(strings.Replace(sharedProxy, c.old, c.new, 1)))
		assert.ErrorContains(t, err, c.err, c.new)
	}
}

func TestReadVariables(t *testing.T) {
	path := filepath.Join(t.TempDir(), "file.json")
	require.NoError(t, os.WriteFile(path, []byte(sharedProxy), 0o600))
	variables := map[string]string{
		varName: "n3", varListen: "127.0.0.1:7", varDiscovery: "127.0.0.1:8", varFile: path,
	}
	getenv := func(name string) string { return variables[name] }
	getenvWith := func(changed, value string) func(string) string {
		return func(name string) string {
			if name == changed {
				return value
			}
			return variables[name]
		}
	}
	config, err := Read(getenv)
	require.NoError(t, err)
	assert.Equal(t, []string{"n3", "127.0.0.1:7", "127.0.0.1:1"}, []string{config.Name, config.Listen, config.Discovery})
	withoutDiscovery := strings.Replace(sharedProxy, `"discovery"`, `"x"`, 1)
	require.NoError(t, os.WriteFile(path, []byte(withoutDiscovery), 0o600))
	config, err = Read(getenv)
	require.NoError(t, err)
	assert.Equal(t, "127.0.0.1:8", config.Discovery, "the variable applies if the file has no discovery address")
	for name := range variables {
		_, err := Read(getenvWith(name, ""))
		assert.EqualError(t, err, name+": missing")
	}
	for name, bad := range map[string]string{varListen: "nowhere", varDiscovery: "nowhere", varFile: path + "x"} {
		_, err := Read(getenvWith(name, bad))
		assert.ErrorContains(t, err, name+": ")
	}
}

// sidecar is the launch file of a proxy that only one client process uses.
const sidecar = `{"seed":"1","limits":{"cores":1,"memory_mb":64,"sockets":264},
 "known":{"version":7,"full":true,"servers":[]},
 "peers":{"listen":"127.0.0.1:7100","peers":{"0":"127.0.0.1:7101"}},
 "settings":{"ReplicasOfMe":2,"SlotNo":1,"KindOfService":"mesh","Zone":"south","Zones":["north","south"],
  "Ceilings":{"PeerMessages":true,"Probes":true,"StreamsPerConn":1},"FamilyInfo":{"WarmKeys":false},
  "Feedback":{"Via":"on_probe","Fields":["outstanding","utilization"]},
  "Tariffs":{"Peer":0.01,"Probe":0.002,"Connection":0.03,"Handshake":0.12}}}`

func TestParseSidecar(t *testing.T) {
	config, err := Parse([]byte(sidecar))
	require.NoError(t, err)
	assert.Equal(t, Fleet{Listen: "127.0.0.1:7100", Peers: map[int]string{0: "127.0.0.1:7101"}}, config.Fleet)
	assert.Equal(t, balance.Deployment{
		Seed: 1, Proxies: 2, ProxyIndex: 1, Zone: 1, Sidecar: true, Gossip: true, HealthChecks: true,
		GossipCost: 0.01, HealthCheckCost: 0.002, ConnectionCost: 0.03, HandshakeCost: 0.12,
	}, config.Deployment)
	for _, field := range []string{`"outstanding"`, `"utilization"`} {
		config, err = Parse([]byte(strings.Replace(sidecar, field, `"backlog"`, 1)))
		require.NoError(t, err)
		assert.False(t, config.HealthChecks, "health checks are off unless both fields are reported")
	}
	replacer := strings.NewReplacer(`"mesh"`, `"proxy"`, `"Ceilings"`, `"Rules":{"GoneIsAdvice":true},"Ceilings"`)
	config, err = Parse([]byte(replacer.Replace(sidecar)))
	require.NoError(t, err, "proxies that clients share may send gossip and health checks too")
	assert.True(t, config.Gossip && config.HealthChecks && config.RemovalIsAdvisory && !config.Sidecar)
}

// Settings that contradict one another, or that this program does not support, are rejected with an error that names
// the key.
func TestSettingsErrors(t *testing.T) {
	for _, c := range []struct{ old, new, err string }{
		{`"PeerMessages":true`, `"PeerMessages":false`, "Ceilings.PeerMessages: not true, but peers are listed"},
		{`"PeerMessages":true,`, `"PeerMessages":3,`, "Ceilings.PeerMessages: not true or false"},
		{`"on_probe"`, `"inline"`, "Feedback.Via: inline is not supported if KindOfService is mesh"},
		{`"WarmKeys":false`, `"WarmKeys":true`, "FamilyInfo.WarmKeys: true is not supported if KindOfService is mesh"},
		{`"Zone":"south"`, `"Zone":"west"`, `Zone: not among Zones: "west"`},
		{`"StreamsPerConn":1`, `"StreamsPerConn":100`, "Ceilings.StreamsPerConn: 100: this program"},
		{`"StreamsPerConn":1`, `"StreamsPerConn":0`, "Ceilings.StreamsPerConn: must be at least 1"},
		{`"127.0.0.1:7100"`, `""`, "peers.listen is not an IP address with a port"},
		{`"127.0.0.1:7100"`, `"localhost:7100"`, "peers.listen is not an IP address with a port"},
		{`{"0":"127.0.0.1:7101"}`, `{}`, "peers.peers is empty"},
		{`"127.0.0.1:7101"`, `"here"`, "peers.peers: proxy 0: "},
		{`{"0":`, `{"1":`, "peers.peers: 1: not the number of another proxy in a fleet of 2"},
		{`"SlotNo":1`, `"SlotNo":"x"`, "SlotNo: not a number"},
		{`"Peer":0.01`, `"Peer":"x"`, "Tariffs.Peer: not a number"},
		{`"Probe":0.002`, `"Probe":"x"`, "Tariffs.Probe: not a number"},
		{`"Connection":0.03`, `"Connection":"x"`, "Tariffs.Connection: not a number"},
		{`"StreamsPerConn":1`, `"StreamsPerConn":"x"`, "Ceilings.StreamsPerConn: not a number"},
		{`"Tariffs"`, `"Rules":{"GoneIsAdvice":"perhaps"},"Tariffs"`,
			`Rules.GoneIsAdvice: not true or false: "perhaps"`},
		{`"SlotNo":1`, `"SlotNo":2`, "SlotNo: 2: out of range for a fleet of 2 proxies"},
	} {
		_, err := Parse([]byte(strings.Replace(sidecar, c.old, c.new, 1)))
		assert.ErrorContains(t, err, c.err, c.new)
	}
}
