package config

import (
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const sample = "../../deploy/operator/sample.toml"

func TestSample(t *testing.T) {
	s, faults := Open(sample)
	require.Empty(t, faults)
	for _, c := range []struct {
		ask  Request
		want []string // lines, or parts of them, in order
	}{
		{Request{Method: "GET", Target: "/a//b/../c?x=1", Host: "Example.org:80"},
			[]string{`host "example.org", method GET, path "/a/c", query "x=1"`, "images (regex", "does not match", "met: longest prefix",
				"route pages", "limit everybody by all: 2000 in hand", "pool pages, weight 1", "tariff page: idempotent",
				"retry rule careful: 0.1 of", "goes on as GET /a/c"}},
		{Request{Method: "POST", Target: "http://example.org/sign/7", Host: "example.org"},
			[]string{"route signing", "limit each-address by address: 20 a second, 40 at once", "pool signatures", "tariff sign: non-idempotent", "POST /v2/sign/7"}},
		{Request{Method: "POST", Target: "/sign", Fields: map[string]string{"idempotency-key": "k"}}, []string{"tariff sign: keyed", "POST /v2/sign"}},
		{Request{Method: "POST", Target: "/page", Fields: map[string]string{"idempotency-key": "k"}}, []string{"tariff page: non-idempotent"}}, // no server knows it
		{Request{Method: "GET", Target: "/sign"}, []string{"method GET is not among POST", "route pages"}},
		{Request{Method: "GET", Target: "/sign/a.gif"}, []string{"met: expression", "pool pages, weight 9", "pool spare, weight 1", "retry rule plain"}},
		{Request{Method: "GET", Target: "/x?y", Host: "a.old.example.org"}, []string{"redirect 301 to https://new.example.org/x?y"}},
		{Request{Method: "GET", Target: "http://a.org/", Host: "b.org"}, []string{"refused with 400: the target is for a.org, Host says b.org"}},
		{Request{Method: "GET", Target: "/../etc"}, []string{"refused with 400: path"}},
	} {
		var out strings.Builder
		require.NoError(t, s.Explain(&out, &c.ask))
		rest := out.String()
		for _, part := range c.want {
			i := strings.Index(rest, part)
			if !assert.GreaterOrEqual(t, i, 0, "%s %s: %q in\n%s", c.ask.Method, c.ask.Target, part, out.String()) {
				break
			}
			rest = rest[i+len(part):]
		}
	}
}

// Each change of the sample is told at its place, with what was likely meant; several are told at once.
func TestFaults(t *testing.T) {
	text, err := os.ReadFile(sample)
	require.NoError(t, err)
	for _, c := range []struct{ old, new, want string }{
		{`value = 1.0`, `valeu = 1.0`, "f.toml:10:1: tariff.valeu: no such field: value?"},
		{`due = 0.3`, `due = "soon"`, "f.toml:8:"},
		{`due = 0.3`, `due = 3.0`, "f.toml:8:1: tariff: due: 3: it is from 0 to 2"},
		{`window = 2.0`, ``, "f.toml:12:1: tariff: window: a scope and a window go together"},
		{`scope = "zone"`, `scope = "zones"`, `f.toml:17:1: tariff: scope: no scope "zones": zone?`},
		{`backup = "spare"`, `backup = "spair"`, `f.toml:23:1: pool: backup: no pool "spair": spare?`},
		{`kinds = ["old"]`, `backup = "pages"`, "f.toml:29:1: pool: backup: spare to pages to spare come back"},
		{`"127.0.0.1:9002"`, `"127.0.0.1"`, "f.toml:33:1: pool: servers: address 127.0.0.1: missing port"},
		{`room = 200`, `kinds = ["x"]`, "f.toml:33:1: pool: servers: written out, or of the list"},
		{`by = "address"`, `by = "adress"`, `f.toml:43:1: limit: by: no way to tell apart "adress": address?`},
		{`rate = 20.0`, `rate = -1.0`, `f.toml:41:1: limit: limit "each-address": rate -1`},
		{`share = 0.1`, `share = 10.0`, "f.toml:50:1: retry: share: 10: it is from 0 to 1"},
		{`retry = "careful"`, `retry = "carefull"`, `f.toml:59:1: route: retry: no retry rule "carefull": careful?`},
		{`limits = ["everybody"]`, `limits = ["everybdoy"]`, `f.toml:58:1: route: limits: no limit "everybdoy": everybody?`},
		{`under = "/sign"`, `under = "/sign"` + "\nexact = \"/x\"", `route: "signing": it has one of exact, prefix, under and regex, not 2`},
		{`under = "/sign"`, `under = "/sign//x"`, `f.toml:61:1: route: "signing": path "/sign//x" is not in its normal form`},
		{`methods = ["POST"]`, `methods = ["post"]`, `f.toml:64:1: route: methods: "post": in capitals`},
		{`name = "images"`, `name = "pages"`, `route: name: "pages" is another's already`},
		{`(gif|png)`, `(?=gif)`, `f.toml:71:1: route: "images": expression`},
		{`weight = 9.0`, `weight = -1.0`, `"images": pool "pages": weight -1`},
		{`status = 301`, `status = 200`, `"moved": redirect 200`},
		{`pool = "signatures"`, `pool = "signature"`, `f.toml:65:1: route: pool: no pool "signature": signatures?`},
		{"tariff = \"page\"\nlimits", "limits", "route: tariff: missing: there are 2"},
		{`address = "127.0.0.1:8080"`, `address = "8080"`, "f.toml:4:1: listener: address: "},
	} {
		require.Contains(t, string(text), c.old)
		_, faults := Read("f.toml", []byte(strings.Replace(string(text), c.old, c.new, 1)))
		if assert.NotEmpty(t, faults, c.new) {
			var all []string
			for _, f := range faults {
				all = append(all, f.Error())
				assert.NotContains(t, f.Error(), "\n", "one line")
			}
			assert.Contains(t, strings.Join(all, "\n"), c.want, c.new)
		}
	}
	both := strings.NewReplacer(`value = 1.0`, `valeu = 1.0`, `room = 200`, `romm = 200`).Replace(string(text))
	_, faults := Read("f.toml", []byte(both))
	assert.Len(t, faults, 2, "every unknown field at once")
	both = strings.NewReplacer(`due = 0.3`, `due = 9.0`, `share = 0.1`, `share = 7.0`, `backup = "spare"`, `backup = "x"`).Replace(string(text))
	_, faults = Read("f.toml", []byte(both))
	assert.Len(t, faults, 3, "every contradiction at once")
	_, faults = Read("f.toml", nil)
	assert.Len(t, faults, 2, "nothing at all: no tariff and no route")
	_, faults = Open("no/such.toml")
	assert.Len(t, faults, 1)
}

func FuzzRead(f *testing.F) {
	text, err := os.ReadFile(sample)
	require.NoError(f, err)
	f.Add(text)
	f.Fuzz(func(t *testing.T, text []byte) {
		s, faults := Read("f.toml", text)
		if (s == nil) != (len(faults) > 0) {
			t.Fatal("neither a setup nor a fault, or both")
		}
	})
}

// The control service's table, each fault at its place.
func TestControl(t *testing.T) {
	rest := "[[tariff]]\nname = \"t\"\nhard_stop = 1.0\n[[pool]]\nname = \"p\"\n[[route]]\nname = \"r\"\nprefix = \"/\"\npool = \"p\"\n"
	keys := "certificate = \"c\"\nkey = \"k\"\nauthority = \"a\"\n"
	for _, c := range []struct{ table, want string }{
		{`address = "127.0.0.1:1"`, ""},
		{`address = "[::1]:1"` + "\nstatus = \"localhost:2\"", ""},
		{"address = \"0.0.0.0:1\"\n" + keys + "[[control.allow]]\nname = \"edge-*\"\npools = [\"p\"]", ""},
		{`address = "1"`, "f.toml:2:1: control: address: address 1: missing port"},
		{`address = "0.0.0.0:1"`, "f.toml:2:1: control: address: 0.0.0.0:1: it must be of the loopback"},
		{"address = \"0.0.0.0:1\"\nstatus = \"0.0.0.0:2\"\n" + keys, "f.toml:3:1: control: status: 0.0.0.0:2: it must be of the loopback"},
		{"address = \"127.0.0.1:1\"\nkey = \"k\"", "f.toml:1:1: control: certificate: certificate, key and authority go together"},
		{"address = \"127.0.0.1:1\"\nsubscribers = -1", "f.toml:3:1: control: subscribers: -1"},
		{"address = \"127.0.0.1:1\"\n[[control.allow]]\nname = \"x\"", "control: allow: without certificates nobody has a name"},
		{"address = \"127.0.0.1:1\"\n" + keys + "[[control.allow]]\npools = [\"q\"]", "f.toml:6:1: control.allow: name: missing"},
		{"address = \"127.0.0.1:1\"\n" + keys + "[[control.allow]]\nname = \"x\"\npools = [\"q\"]", `f.toml:8:1: control.allow: pools: no pool "q"`},
		{"address = \"127.0.0.1:1\"\n[[control.subset]]\nnode = \"x\"", "f.toml:3:1: control.subset: pools: missing"},
		{`adress = "127.0.0.1:1"`, "f.toml:2:1: control.adress: no such field: address?"},
	} {
		_, faults := Read("f.toml", []byte("[control]\n"+c.table+"\n"+rest))
		if c.want == "" {
			assert.Empty(t, faults, c.table)
		} else if assert.NotEmpty(t, faults, c.table) {
			assert.Contains(t, faults[0].Error(), c.want, c.table)
		}
	}
	for table, want := range map[string]string{
		"dir = \"x\"\nring_mb = 9\ndismissed = 0.1\naddress = \"127.0.0.1:1\"": "",
		"on = true":                             "f.toml:1:1: capture: dir: missing",
		"dir = \"x\"\naddress = \"10.0.0.1:1\"": "f.toml:3:1: capture: address: 10.0.0.1:1: it must be of the loopback",
		"dir = \"x\"\ndismissed = 0.1":          "f.toml:3:1: capture: dismissed: it is a trigger",
		"dir = \"x\"\ntotal_mb = -1":            "f.toml:3:1: capture: total_mb: -1",
		"dir = \"x\"\nring = 1":                 "f.toml:3:1: capture.ring: no such field",
	} {
		_, faults := Read("f.toml", []byte("[capture]\n"+table+"\n"+rest))
		if want == "" {
			assert.Empty(t, faults, table)
		} else if assert.NotEmpty(t, faults, table) {
			assert.Contains(t, faults[0].Error(), want, table)
		}
	}
	a := Allow{Name: "edge-*"}
	assert.True(t, a.Fits("edge-1") && !a.Fits("core-1") && !a.Fits("edge"))
	a.Name = "one"
	assert.True(t, a.Fits("one") && !a.Fits("one-1"))
}
