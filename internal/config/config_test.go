package config

import (
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Each change of the sample is reported at its place, with what was likely meant; several are reported at once.
func TestErrorsHaveTheirPlace(t *testing.T) {
	text, err := os.ReadFile(sampleFile)
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
		{`by = "address"`, `by = "addresz"`, `f.toml:43:1: limit: by: no way to tell apart "addresz": address?`},
		{`rate = 20.0`, `rate = -1.0`, `f.toml:41:1: limit: limit "each-address": rate -1`},
		{`share = 0.1`, `share = 10.0`, "f.toml:50:1: retry: share: 10: it is from 0 to 1"},
		{`retry = "careful"`, `retry = "carefulz"`, `f.toml:59:1: route: retry: no retry rule "carefulz": careful?`},
		{`limits = ["everybody"]`, `limits = ["everybdoy"]`, `f.toml:58:1: route: limits: no limit "everybdoy": everybody?`},
		{
			`under = "/sign"`, `under = "/sign"` + "\nexact = \"/x\"",
			`route: "signing": it has one of exact, prefix, under and regex, not 2`,
		},
		{
			`under = "/sign"`, `under = "/sign//x"`,
			`f.toml:61:1: route: "signing": path "/sign//x" is not in its normal form`,
		},
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
		_, errs := Read("f.toml", []byte(strings.Replace(string(text), c.old, c.new, 1)))
		if assert.NotEmpty(t, errs, c.new) {
			var all []string
			for _, err := range errs {
				all = append(all, err.Error())
				assert.NotContains(t, err.Error(), "\n", "one line")
			}
			assert.Contains(t, strings.Join(all, "\n"), c.want, c.new)
		}
	}
	unknown := strings.NewReplacer(`value = 1.0`, `valeu = 1.0`, `room = 200`, `romm = 200`)
	_, errs := Read("f.toml", []byte(unknown.Replace(string(text))))
	assert.Len(t, errs, 2, "every unknown field at once")
	contradictions := strings.NewReplacer(`due = 0.3`, `due = 9.0`, `share = 0.1`, `share = 7.0`,
		`backup = "spare"`, `backup = "x"`)
	_, errs = Read("f.toml", []byte(contradictions.Replace(string(text))))
	assert.Len(t, errs, 3, "every contradiction at once")
	_, errs = Read("f.toml", nil)
	assert.Len(t, errs, 2, "nothing at all: no tariff and no route")
	_, errs = Open("no/such.toml")
	assert.Len(t, errs, 1)
}

func FuzzRead(f *testing.F) {
	text, err := os.ReadFile(sampleFile)
	require.NoError(f, err)
	f.Add(text)
	f.Fuzz(func(t *testing.T, text []byte) {
		config, errs := Read("f.toml", text)
		if (config == nil) != (len(errs) > 0) {
			t.Fatal("neither a config nor an error, or both")
		}
	})
}
