package launch

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"

	"lockloom/balance"
	"lockloom/internal/figures"
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
	assert.Equal(t, figures.Figures{
		Deployment: balance.Deployment{Seed: 0xf2094eb940cf389a, Proxies: 2, MaxLegs: 4, CallOff: true, MaxAdvice: 1.2,
			ValueByWork: true, Tariffs: []balance.Tariff{
				{Name: "look", Due: 0.3, HardStop: 1, Value: 1},
				{Name: "sign", Kind: balance.Referenced, Scope: balance.ScopePod, Window: 0.3, HardStop: 0.5, Value: 10}},
			Customers: []balance.Customer{{Name: "a", Quota: 40}}},
		Zones: []string{"north", "south"}, ConnectFor: 0.075, IdleFor: 5, DrainGrace: 2.5}, l.Figures)
	r := l.Register()
	b := r.Backend(figures.Entry{Name: "s-1", ZoneName: "south", ModelName: "m"})
	assert.Equal(t, balance.Backend{Index: 0, Mark: figures.Hash("s-1"), Zone: 1, Model: 0}, b)
	assert.Equal(t, -1, r.Backend(figures.Entry{Name: "s-2", ZoneName: "west", ModelName: "m"}).Zone)
	assert.Equal(t, 0, r.Backend(figures.Entry{Name: "s-1"}).Index)
	assert.Equal(t, "s-2", r.Name(1))
	assert.Equal(t, -1, r.Customer("b"))
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
