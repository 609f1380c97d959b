package config

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const sampleFile = "../../deploy/operator/sample.toml"

func TestExplainSample(t *testing.T) {
	config, errs := ReadFile(sampleFile)
	require.Empty(t, errs)
	withKey := map[string]string{"idempotency-key": "k"}
	for _, c := range []struct {
		request Request
		want    []string // parts of the output, in order
	}{
		{
			Request{Method: "GET", Target: "/a//b/../c?x=1", Host: "Example.org:80"},
			[]string{
				`host "example.org", method GET, path "/a/c", query "x=1"`, "images (regex", "does not match",
				"met: longest prefix", "route pages", "limit everybody by all: 2000 in flight",
				"pool pages, weight 1", "class page: idempotent", "retry rule careful: 0.1 of", "forwarded as GET /a/c",
			},
		},
		{
			Request{Method: "POST", Target: "http://example.org/sign/7", Host: "example.org"},
			[]string{
				"route signing", "limit each-address by address: 20 per second, burst 40", "pool signatures",
				"class sign: non-idempotent", "POST /v2/sign/7",
			},
		},
		{
			Request{Method: "POST", Target: "/sign", Fields: withKey},
			[]string{"class sign: keyed", "POST /v2/sign"},
		},
		{
			Request{Method: "POST", Target: "/page", Fields: withKey}, // the class has no deduplication window
			[]string{"class page: non-idempotent"},
		},
		{
			Request{Method: "GET", Target: "/sign"},
			[]string{"method GET is not among POST", "route pages"},
		},
		{
			Request{Method: "GET", Target: "/sign/a.gif"},
			[]string{"met: expression", "pool pages, weight 9", "pool spare, weight 1", "retry rule plain"},
		},
		{
			Request{Method: "GET", Target: "/x?y", Host: "a.old.example.org"},
			[]string{"redirect 301 to https://new.example.org/x?y"},
		},
		{
			Request{Method: "GET", Target: "http://a.org/", Host: "b.org"},
			[]string{"rejected with 400: the target is for a.org, but Host is b.org"},
		},
		{
			Request{Method: "GET", Target: "/../etc"},
			[]string{"rejected with 400: path"},
		},
	} {
		var out strings.Builder
		require.NoError(t, config.Explain(&out, &c.request))
		remaining := out.String()
		for _, part := range c.want {
			i := strings.Index(remaining, part)
			request := c.request.Method + " " + c.request.Target
			if !assert.GreaterOrEqual(t, i, 0, "%s: %q in\n%s", request, part, out.String()) {
				break
			}
			remaining = remaining[i+len(part):]
		}
	}
}
