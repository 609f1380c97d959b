package main

import (
	"errors"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestCheck(t *testing.T) {
	const line = "TestA: loses one; issue 47\n"
	for name, c := range map[string]struct {
		text  string
		fails []string // tests that do
		err   string   // empty: it passes
		says  string
		skips string
	}{
		"nothing known, all pass":  {"", nil, "", "ok", ""},
		"nothing known, one fails": {"", []string{"TestB"}, "tests failed", "FAIL TestB", ""},
		"known, and fails":         {line, []string{"TestA"}, "", `known red: TestA, tags "debug": loses one (issue 47)`, "^(TestA)$"},
		"known, and another fails": {line, []string{"TestA", "TestB"}, "tests failed", "FAIL TestB", "^(TestA)$"},
		"known, and passes":        {line, nil, "tests failed", "TestA passes: take it off", "^(TestA)$"},
		"two known":                {line + "TestB: as well; issue 2\n", []string{"TestA", "TestB"}, "", "as well (issue 2)", "^(TestA|TestB)$"},
		"no such test":             {"TestC: loses one; issue 47\n", nil, "no test is called TestC", "", ""},
		"part of a name":           {"Test: loses one; issue 47\n", nil, `KNOWN-RED.txt:1: not of the form`, "", ""},
		"no cause":                 {line + "TestB: ; issue 47\n", nil, "KNOWN-RED.txt:2: not of the form", "", ""},
		"no issue":                 {"TestB: loses one\n", nil, "KNOWN-RED.txt:1: not of the form", "", ""},
		"a comment":                {"# none\n", nil, "KNOWN-RED.txt:1: not of the form", "", ""},
		"an empty line":            {line + "\n" + line, nil, "KNOWN-RED.txt:2: not of the form", "", ""},
		"too many":                 {strings.Repeat(line, 4), nil, "KNOWN-RED.txt:4: more than 3 lines", "", ""},
	} {
		t.Run(name, func(t *testing.T) {
			var out strings.Builder
			var skips []string
			err := check(c.text, &out, func(args ...string) (string, error) {
				after := func(flag string) string {
					if i := slices.Index(args, flag); i >= 0 {
						return args[i+1]
					}
					return ""
				}
				if list := after("-list"); list != "" {
					return map[string]string{"^TestA$": "TestA\nok\n", "^TestB$": "ok\nTestB\nok\n"}[list], nil
				}
				if skip := after("-skip"); skip != "" {
					skips = append(skips, skip)
				}
				for _, test := range c.fails {
					if only := after("-run"); only == "^"+test+"$" || only == "" && !strings.Contains(after("-skip"), test) {
						return "FAIL " + test + "\n", errors.New("exit 1")
					}
				}
				return "ok\n", nil
			})
			if c.err == "" {
				assert.NoError(t, err)
			} else {
				assert.ErrorContains(t, err, c.err)
			}
			assert.Contains(t, out.String(), c.says)
			if c.skips != "" {
				assert.Equal(t, []string{c.skips, c.skips}, skips, "both builds")
			}
		})
	}
}
