package config

import (
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Each error in the sample file is reported with its position and, for a misspelled name, the most similar one. Several
// errors are reported together.
func TestErrorsHaveTheirPlace(t *testing.T) {
	text, err := os.ReadFile(sampleFile)
	require.NoError(t, err)
	for _, c := range []struct{ old, new, want string }{
		{`value = 1.0`, `valeu = 1.0`, "f.toml:10:1: tariff.valeu: no such field, did you mean value?"},
		{`due = 0.3`, `due = "soon"`, "f.toml:8:"},
		{`due = 0.3`, `due = 3.0`, "f.toml:8:1: tariff: due: 3: must be between 0 and 2"},
		{`window = 2.0`, ``, "f.toml:12:1: tariff: window: scope and window must be set together"},
		{`scope = "zone"`, `scope = "zones"`, `f.toml:17:1: tariff: scope: unknown scope "zones", did you mean "zone"?`},
		{`backup = "spare"`, `backup = "spair"`, `f.toml:23:1: pool: backup: unknown pool "spair", did you mean "spare"?`},
		{`kinds = ["old"]`, `backup = "pages"`, "f.toml:29:1: pool: backup: cycle: spare -> pages -> spare"},
		{`"127.0.0.1:9002"`, `"127.0.0.1"`, "f.toml:33:1: pool: servers: address 127.0.0.1: missing port"},
		{`room = 200`, `kinds = ["x"]`, "f.toml:33:1: pool: servers: cannot be combined with kinds"},
		{`by = "address"`, `by = "addresz"`, `f.toml:43:1: limit: by: unknown key "addresz", did you mean "address"?`},
		{`rate = 20.0`, `rate = -1.0`, `f.toml:41:1: limit: limit "each-address": rate -1`},
		{`share = 0.1`, `share = 10.0`, "f.toml:50:1: retry: share: 10: must be between 0 and 1"},
		{
			`retry = "careful"`, `retry = "carefulz"`,
			`f.toml:59:1: route: retry: unknown retry rule "carefulz", did you mean "careful"?`,
		},
		{
			`limits = ["everybody"]`, `limits = ["everybdoy"]`,
			`f.toml:58:1: route: limits: unknown limit "everybdoy", did you mean "everybody"?`,
		},
		{
			`under = "/sign"`, `under = "/sign"` + "\nexact = \"/x\"",
			`route: "signing": exactly one of exact, prefix, under and regex must be set, not 2`,
		},
		{
			`under = "/sign"`, `under = "/sign//x"`,
			`f.toml:61:1: route: "signing": path "/sign//x" is not in its normal form`,
		},
		{`methods = ["POST"]`, `methods = ["post"]`, `f.toml:64:1: route: methods: "post" must be in upper case`},
		{`name = "images"`, `name = "pages"`, `route: name: "pages" is already in use`},
		{`(gif|png)`, `(?=gif)`, `f.toml:71:1: route: "images": expression`},
		{`weight = 9.0`, `weight = -1.0`, `"images": pool "pages": weight -1`},
		{`status = 301`, `status = 200`, `"moved": redirect 200`},
		{
			`pool = "signatures"`, `pool = "signature"`,
			`f.toml:65:1: route: pool: unknown pool "signature", did you mean "signatures"?`,
		},
		{"tariff = \"page\"\nlimits", "limits", "route: tariff: missing: required because the file has 2 tariffs, not one"},
		{`address = "127.0.0.1:8080"`, `address = "8080"`, "f.toml:4:1: listener: address: "},
	} {
		require.Contains(t, string(text), c.old)
		_, errs := Parse("f.toml", []byte(strings.Replace(string(text), c.old, c.new, 1)))
		if assert.NotEmpty(t, errs, c.new) {
			var all []string
			for _, err := range errs {
				all = append(all, err.Error())
				assert.NotContains(t, err.Error(), "\n", "an error must be one line")
			}
			assert.Contains(t, strings.Join(all, "\n"), c.want, c.new)
		}
	}
	unknown := strings.NewReplacer(`value = 1.0`, `valeu = 1.0`, `room = 200`, `romm = 200`)
	_, errs := Parse("f.toml", []byte(unknown.Replace(string(text))))
	assert.Len(t, errs, 2, "every unknown field is reported")
	invalidValues := strings.NewReplacer(`due = 0.3`, `due = 9.0`, `share = 0.1`, `share = 7.0`,
		`backup = "spare"`, `backup = "x"`)
	_, errs = Parse("f.toml", []byte(invalidValues.Replace(string(text))))
	assert.Len(t, errs, 3, "every invalid value is reported")
	_, errs = Parse("f.toml", nil)
	assert.Len(t, errs, 2, "an empty file has no tariff and no route")
	_, errs = ReadFile("no/such.toml")
	assert.Len(t, errs, 1)
}

func FuzzRead(f *testing.F) {
	text, err := os.ReadFile(sampleFile)
	require.NoError(f, err)
	f.Add(text)
	f.Fuzz(func(t *testing.T, text []byte) {
		config, errs := Parse("f.toml", text)
		if (config == nil) != (len(errs) > 0) {
			t.Fatal("Read must return either a config or errors")
		}
	})
}
