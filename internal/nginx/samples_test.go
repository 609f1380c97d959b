package nginx

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"lockloom/internal/config"
)

// sample is a configuration and the line and name of each directive in it that must be refused.
type sample struct {
	name, text string
	refused    []string
}

func samples(tb testing.TB) (list []sample) {
	tb.Helper()
	text, err := os.ReadFile("testdata/samples.conf")
	require.NoError(tb, err)
	for part := range strings.SplitSeq(string(text), "=== ") {
		name, rest, ok := strings.Cut(part, "\n")
		if !ok {
			continue
		}
		s := sample{name: name}
		var refused string
		s.text, refused, _ = strings.Cut(rest, "--- refused\n")
		s.refused = strings.Split(strings.TrimSpace(refused), "\n")
		if refused == "" {
			s.refused = nil
		}
		list = append(list, s)
	}
	return append(list, sample{name: "a large site", text: largeSite()})
}

// largeSite returns a configuration of several hundred lines: twenty servers with locations of all kinds.
func largeSite() string {
	const servers = 20
	var b strings.Builder
	b.WriteString("http {\n")
	for i := range servers {
		fmt.Fprintf(&b, "upstream u%d {\n  least_conn;\n  server 10.0.0.%d:8%d;\n  server 10.0.0.%d:9%d;\n}\n",
			i, i%7+1, i%3, i%5+1, i%2)
	}
	for i := range servers {
		fmt.Fprintf(&b, "server {\n  listen 80;\n  server_name s%d.example *.s%d.example;\n", i, i)
		b.WriteString("  proxy_set_header Host $host;\n")
		for k := range 6 {
			fmt.Fprintf(&b, "  location /p%d/ {\n    proxy_pass http://u%d;\n", k, (i+k)%servers)
			fmt.Fprintf(&b, "    location /p%d/q {\n      proxy_pass http://u%d/w%d;\n    }\n  }\n", k, (i+2*k)%servers, k)
		}
		b.WriteString("  location ~ ^/item/(\\d+)$ {\n    return 302 https://items.example/$1;\n  }\n")
		fmt.Fprintf(&b, "  location ~* \\.(png|gif)$ {\n    proxy_pass http://u%d;\n  }\n", (i+3)%servers)
		fmt.Fprintf(&b, "  location = /health {\n    return 200 \"s%d\";\n  }\n", i)
		fmt.Fprintf(&b, "  location / {\n    proxy_pass http://u%d;\n  }\n}\n", i)
	}
	return b.String() + "}\n"
}

// parsed returns the directives of a configuration text.
func parsed(tb testing.TB, text string) []*Node {
	tb.Helper()
	list, err := Parse("site.conf", []byte(text))
	require.NoError(tb, err)
	return list
}

// imported converts a configuration text and reads the operator file that results.
func imported(tb testing.TB, text string) (*Conversion, *config.Config) {
	tb.Helper()
	converted := Convert(parsed(tb, text), true)
	setup, faults := config.Parse("site.toml", []byte(converted.Text))
	require.Empty(tb, faults, converted.Text)
	return converted, setup
}
