package nginx

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestParse(t *testing.T) {
	for _, c := range []struct{ text, want string }{
		{"a b;c{d;}", "a b;\nc {\n    d;\n}\n"},
		{"a \"b c\" 'd\\'e' f\\ g;", "a \"b c\" d'e f\\ g;"},
		{"a ${x}y $z{b;}", "a ${x}y $z{b;"},
		{"a \"x\"y;", "site.conf:1:6: missing space after a quoted string"},
		{"a 'x", "site.conf:1:3: unterminated quoted string"},
		{"a", "site.conf:1:1: a: missing ; or { at the end of the directive"},
		{"a {", "site.conf:1:4: unexpected end of file: missing } of a block"},
		{"}", "site.conf:1:1: unexpected }: no block is open"},
		{"\n ; ", `site.conf:2:2: unexpected ";": expected the name of a directive`},
		{"x_by_lua_block { return }", "Lua blocks are not supported"},
		{strings.Repeat("a{", 70), "blocks are nested more than 64 deep"},
		{"a \"" + strings.Repeat("x", 1<<20), "unterminated quoted string"},
	} {
		list, err := Parse("site.conf", []byte(c.text))
		if err != nil {
			assert.Contains(t, err.Error(), c.want, c.text[:min(len(c.text), 30)])
			continue
		}
		again, err := Parse("site.conf", []byte(Print(list)))
		require.NoError(t, err, c.text)
		assert.Equal(t, withoutPlaces(list), withoutPlaces(again), c.text)
	}
}

// withoutPlaces returns a copy of directives without their places.
func withoutPlaces(list []*Node) []*Node {
	var out []*Node
	for _, n := range list {
		out = append(out, &Node{Name: n.Name, Args: n.Args, HasBlock: n.HasBlock, Block: withoutPlaces(n.Block)})
	}
	return out
}

func TestReaderIncludes(t *testing.T) {
	dir := t.TempDir()
	write := func(name, text string) string {
		name = filepath.Join(dir, name)
		require.NoError(t, os.MkdirAll(filepath.Dir(name), 0o755))
		require.NoError(t, os.WriteFile(name, []byte(text), 0o600))
		return name
	}
	write("sites/b.conf", "b;")
	write("sites/a.conf", "a;\ninclude deep/*.conf;")
	write("deep/x.conf", "x;")
	for text, want := range map[string]string{
		"include sites/*.conf; z;":       "a;\nx;\nb;\nz;\n",
		"c { include sites/b.conf; }":    "c {\n    b;\n}\n",
		"include none/*.conf;":           "",
		"include none.conf;":             "no such file",
		"include ../x.conf;":             "lies outside of",
		"include /etc/passwd;":           "lies outside of",
		"include main.conf;":             "include cycle through",
		"include a b;":                   "expected one file name or pattern",
		"include sites/../../../../etc;": "lies outside of",
	} {
		main := write("main.conf", text)
		list, err := NewReader(dir).File(main)
		if err != nil {
			assert.ErrorContains(t, err, want, text)
		} else {
			assert.Equal(t, want, Print(list), text)
		}
	}
}

func FuzzParse(f *testing.F) {
	for _, s := range samples(f)[:8] {
		f.Add([]byte(s.text))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		list, err := Parse("x", text)
		if err != nil {
			return
		}
		again, err := Parse("x", []byte(Print(list)))
		require.NoError(t, err)
		assert.Equal(t, withoutPlaces(list), withoutPlaces(again))
		Convert(list, true)
	})
}
