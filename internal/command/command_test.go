package command

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestRun(t *testing.T) {
	for _, name := range []string{"ROUTER_NAME", "ROUTER_LISTEN", "ROUTER_DISCOVERY", "ROUTER_CONFIG"} {
		t.Setenv(name, "")
	}
	for _, c := range []struct {
		args      string
		code      int
		out, errs string // what they must hold; both are empty otherwise
	}{
		{"", misuse, "", "usage: lockloom"},
		{"dance", misuse, "", `unknown command "dance"`},
		{"serve -x", misuse, "", "flag provided but not defined"},
		{"serve more", misuse, "", "takes no further words"},
		{"up", misuse, "", "the proxy's address is missing"},
		{"help", done, "usage: lockloom", ""},
		{"serve -h", done, "", "-log"},
		{"version", done, "lockloom ", ""},
		{"serve -log loud", failed, "", "lockloom: -log: "},
		{"serve", failed, "", "lockloom: ROUTER_NAME: missing\n"},
		{"check", failed, "", "lockloom: ROUTER_NAME: missing\n"},
		{"up 127.0.0.1:1", failed, "", "lockloom: dial"},
	} {
		var out, errs strings.Builder
		assert.Equal(t, c.code, Run(strings.Fields(c.args), &out, &errs), c.args)
		assert.Contains(t, out.String(), c.out, c.args)
		assert.Contains(t, errs.String(), c.errs, c.args)
		if c.code == failed {
			assert.Equal(t, 1, strings.Count(errs.String(), "\n"), "one line says what is wrong: %s", c.args)
		}
		if c.out == "" {
			assert.Empty(t, out.String(), c.args)
		}
	}
}
