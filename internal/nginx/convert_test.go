package nginx

import (
	"fmt"
	"os"
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Guards against missing or wrong refusals: for each sample exactly the listed directives are refused, each with a
// reason, and the operator file passes the check of internal/config.
func TestConvertSamples(t *testing.T) {
	all := samples(t)
	require.GreaterOrEqual(t, len(all), 40)
	for _, s := range all {
		converted, _ := imported(t, s.text)
		var got []string
		for _, v := range converted.Verdicts {
			if v.Grade == Refused.String() {
				got = append(got, fmt.Sprint(v.Place.Line, " ", v.Name))
				assert.NotEmpty(t, v.Text, "%s: %s", s.name, v.Name)
			}
		}
		assert.Equal(t, s.refused, got, s.name)
		assert.Equal(t, converted.Text, Convert(parsed(t, s.text), true).Text, "%s: conversions differ", s.name)
		if complete := Convert(parsed(t, s.text), false); len(s.refused) > 0 {
			assert.Empty(t, complete.Text, s.name)
		} else {
			assert.Equal(t, converted.Text, complete.Text, s.name)
		}
	}
}

// Guards against unknown directives being ignored silently: in any block, one is refused with its line.
func TestUnknownDirectiveIsRefused(t *testing.T) {
	all := samples(t)
	rapid.Check(t, func(t *rapid.T) {
		list, err := Parse("site.conf", []byte(rapid.SampledFrom(all).Draw(t, "sample").text))
		require.NoError(t, err)
		blocks := directiveBlocks(&list)
		into := rapid.SampledFrom(blocks).Draw(t, "block")
		at := rapid.IntRange(0, len(*into)).Draw(t, "at")
		*into = slices.Insert(*into, at, &Node{Place: Place{"site.conf", 4711, 1}, Name: "unheard_of", Args: []string{"x"}})
		converted := Convert(list, true)
		found := slices.ContainsFunc(converted.Verdicts, func(v Verdict) bool {
			return v.Name == "unheard_of" && v.Grade == "refused" && v.Place.Line == 4711
		})
		assert.True(t, found, "%+v", converted.Verdicts)
	})
}

// directiveBlocks returns a list of directives and all blocks in it that contain directives.
func directiveBlocks(list *[]*Node) []*[]*Node {
	blocks := []*[]*Node{list}
	for _, n := range *list {
		if n.HasBlock && n.Name != "types" && n.Name != "map" && n.Name != "split_clients" {
			blocks = append(blocks, directiveBlocks(&n.Block)...)
		}
	}
	return blocks
}

// Guards against an outdated page: docs/operators/nginx.md must contain the current output of DirectiveTable.
func TestTable(t *testing.T) {
	page, err := os.ReadFile("../../docs/operators/nginx.md")
	require.NoError(t, err)
	assert.Contains(t, string(page), DirectiveTable(),
		"outdated: go test ./internal/nginx -run Table -v prints the current table")
	if testing.Verbose() {
		fmt.Print(DirectiveTable())
	}
}
